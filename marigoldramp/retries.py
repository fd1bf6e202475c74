"""Budget of second attempts: retries grow with first attempts only.

Without a budget an overload feeds itself: calls fail because the endpoints
are full, each failure is sent again, and the endpoints stay full after the
burst that filled them.  One notices it by attempts a call rising together
with refusals.  A budget bounds the extra work to a fixed share.
"""

from typing import Callable

#: Retries that may be saved up, so that a quiet service can lose an
#: endpoint with a handful of calls in flight and still send them again.
MOST_SAVED = 10.0


class Budget:
    """Allows retries in proportion to first attempts.

    :param share: retries allowed per first attempt, as a fraction.
    :param clock: seconds; a slow trickle refills an idle budget by it.
    """

    __slots__ = ('_share', '_clock', '_saved', '_filled_at', '_least')

    def __init__(
        self,
        *,
        share: float,
        clock: Callable[[], float],
        least_per_second: float = 0.1,
    ) -> None:
        self._share = share
        self._clock = clock
        self._least = least_per_second if share > 0.0 else 0.0
        self._saved = MOST_SAVED if share > 0.0 else 0.0
        self._filled_at = clock()

    def first(self) -> None:
        """Count a first attempt."""
        self._saved = min(MOST_SAVED, self._saved + self._share)

    def take(self) -> bool:
        """Take one retry out of the budget; false when it is spent."""
        now = self._clock()
        trickle = self._least * max(0.0, now - self._filled_at)
        self._filled_at = now
        self._saved = min(MOST_SAVED, self._saved + trickle)
        if self._saved < 1.0:
            return False
        self._saved -= 1.0
        return True
