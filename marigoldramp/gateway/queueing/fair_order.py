"""The share of each customer in the slots that this gateway assigns.

Customers are told apart by two moving averages of the slots they got: what
they use now, and, over a longer time, what they usually use.  A customer that
gets more than usual, compared with all, is served after the others.
"""

import math

#: Time constants of the two averages.  The longer one spans bursts; the
#: shorter one some slots of a customer that sends few requests.
RECENT_SECONDS = 10.0
USUAL_SECONDS = 60.0
#: Part of the mean usual use that customers have at least: new ones are not
#: compared with a use of nothing.
MIN_USUAL_SHARE = 0.5
#: Customers whose averages are kept, and the use below which they are not.
MAX_CUSTOMERS = 4096
MIN_USE = 0.01


class _Use:
    """Slots that one customer got, as decayed sums."""

    __slots__ = ('recent', 'usual', 'noted_at')

    def __init__(self, *, now: float) -> None:
        self.recent = 0.0
        self.usual = 0.0
        self.noted_at = now

    def decay(self, now: float) -> None:
        """Reduce both sums by the time that has passed."""
        age = now - self.noted_at
        self.recent *= math.exp(-age / RECENT_SECONDS)
        self.usual *= math.exp(-age / USUAL_SECONDS)
        self.noted_at = now

    def add(self) -> None:
        """Add one slot."""
        self.recent += 1.0
        self.usual += RECENT_SECONDS / USUAL_SECONDS


class CustomerShares:
    """Recent and usual use of slots by customer."""

    __slots__ = ('_uses', '_total')

    def __init__(self) -> None:
        self._uses: dict[str, _Use] = {}
        self._total = _Use(now=0.0)

    def note_slot(self, customer: str, *, now: float) -> None:
        """Record that a request of a customer got a slot."""
        use = self._uses.get(customer)
        if use is None:
            if len(self._uses) >= MAX_CUSTOMERS:
                self._forget_idle(now)
            use = self._uses[customer] = _Use(now=now)
        for one in (use, self._total):
            one.decay(now)
            one.add()

    def _forget_idle(self, now: float) -> None:
        """Remove the customers with little use, or else the oldest one."""
        for one in self._uses.values():
            one.decay(now)
        kept = {
            name: one
            for name, one in self._uses.items()
            if one.usual >= MIN_USE
        }
        if len(kept) >= MAX_CUSTOMERS:
            del kept[next(iter(kept))]
        self._uses = kept

    def find_excess(self, customer: str, *, now: float) -> int:
        """Return by how many steps a customer exceeds its usual share.

        It is 0 for customers within their share.
        """
        use = self._uses.get(customer)
        if use is None:
            return 0
        use.decay(now)
        self._total.decay(now)
        least = MIN_USUAL_SHARE * self._total.usual / len(self._uses)
        usual = max(use.usual, least)
        expected = usual * self._total.recent / max(self._total.usual, MIN_USE)
        # A single request more than expected is no excess.
        return int(max(0.0, use.recent - 1.0) / max(expected, MIN_USE))
