"""Which entries serve a customer, and the share of its limits at each.

A customer is served by few entries out of all, chosen by rendezvous hashing
over the live ones.  Every process that sees the same entries chooses the
same few without asking anybody, a customer's burst touches few entries, and
an entry holds state for the customers that it serves only.
"""

import dataclasses
import math
from typing import Callable
from typing import Collection

from . import bundle
from . import demands
from . import rendezvous

#: Seconds between two looks at which entries are up.
LOOK_SECONDS = 0.25


def entries_of(
    customer: bundle.Customer, live_entries: Collection[str]
) -> tuple[str, ...]:
    """Return the entries that serve a customer, best first."""
    return rendezvous.choose(
        key=customer.name,
        names=live_entries,
        count=max(1, customer.entries),
    )


def equal_share(
    *,
    customer: bundle.Customer,
    entry: str,
    live_entries: Collection[str],
) -> float:
    """Return the fraction of a customer's limits that ``entry`` may use.

    It is 0 for an entry that does not serve the customer.
    """
    serving = entries_of(customer, live_entries)
    if entry not in serving:
        return 0.0
    return 1.0 / len(serving)


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class _Sharing:
    """What a customer's share depends on, besides the live entries."""

    customer: str
    entries: int


class Shares:
    """Shares of customers at one entry.

    Ranking 350 entries takes over a millisecond, and each call needs its
    customer's share, so the entries that serve a customer are remembered
    while the live ones stay.

    :param live_entries: returns the names of the entries that are up.
    :param clock: seconds; the live entries are looked at again by it.
    :param most: customers remembered at once.
    :param known: what is asked at this entry and at its peers; without it
        all entries that serve a customer have equal shares.
    """

    __slots__ = (
        '_entry',
        '_live_entries',
        '_clock',
        '_most',
        '_demands',
        '_live',
        '_looked_at',
        '_serving',
    )

    def __init__(
        self,
        *,
        entry: str,
        live_entries: Callable[[], Collection[str]],
        clock: Callable[[], float],
        most: int,
        known: demands.Demands | None = None,
    ) -> None:
        self._entry = entry
        self._live_entries = live_entries
        self._clock = clock
        self._most = most
        self._demands = known
        self._live: frozenset[str] = frozenset()
        self._looked_at = -math.inf
        self._serving: dict[_Sharing, tuple[str, ...]] = {}

    def find(self, customer: bundle.Customer) -> float:
        """Return the share of a customer's limits that this entry may use."""
        serving = self.serving(customer)
        if self._entry not in serving:
            return 0.0
        if self._demands is None:
            return 1.0 / len(serving)
        return self._demands.share(customer=customer.name, serving=serving)

    def serving(self, customer: bundle.Customer) -> tuple[str, ...]:
        """Return the entries that serve a customer, best first."""
        self._look()
        sharing = _Sharing(customer=customer.name, entries=customer.entries)
        serving = self._serving.get(sharing)
        if serving is None:
            serving = entries_of(customer, self._live)
            if len(self._serving) >= self._most:
                self._serving.clear()
            self._serving[sharing] = serving
        return serving

    def _look(self) -> None:
        now = self._clock()
        if now - self._looked_at < LOOK_SECONDS:
            return
        self._looked_at = now
        live = frozenset(self._live_entries())
        if live != self._live:
            self._live = live
            self._serving.clear()
