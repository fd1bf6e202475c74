"""The budget of repeated sends that all entries share without asking.

The operator bounds the sends beyond the first of each request, summed over
all entries in any window: a share of the requests, and a fixed extra.  Each
entry spends its share of its *own* requests, and the extra divided by the
number of entries that may live.  Counting only entries that are heard would
give both halves of a partition the whole extra.
"""

import collections
import dataclasses
from typing import Callable

#: Part of the budget that is spent, for events at a window's edge and for
#: entries that have come without being known yet.
SPENT_SHARE = 0.75
#: Entries added to those known when the extra is divided.
UNKNOWN_ENTRIES = 1


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Bounds:
    """The operator's bound.

    :ivar ratio: sends beyond the first, as a share of the requests.
    :ivar extra: sends beyond the first that are allowed besides, a window.
    :ivar window: seconds.
    """

    ratio: float
    extra: float
    window: float


class _Window:
    """Times of the events of the last few seconds."""

    __slots__ = ('_times',)

    def __init__(self) -> None:
        self._times: collections.deque[float] = collections.deque()

    def add(self, now: float) -> None:
        self._times.append(now)

    def count(self, *, since: float) -> int:
        while self._times and self._times[0] < since:
            self._times.popleft()
        return len(self._times)


class RetryBudget:
    """The part of one entry.

    :param entries: returns how many entries may live, this one included.
    """

    __slots__ = ('_bounds', '_entries', '_clock', '_requests', '_repeats')

    def __init__(
        self,
        *,
        bounds: Callable[[], Bounds],
        entries: Callable[[], int],
        clock: Callable[[], float],
    ) -> None:
        self._bounds = bounds
        self._entries = entries
        self._clock = clock
        self._requests: dict[str, _Window] = {}
        self._repeats: dict[str, _Window] = {}

    def note_request(self, service: str) -> None:
        """Count a caller's request for a service."""
        self._requests.setdefault(service, _Window()).add(self._clock())

    def take(self, service: str) -> bool:
        """Take the right to send a request once more, if there is one."""
        now = self._clock()
        repeats = self._repeats.setdefault(service, _Window())
        if repeats.count(since=now - self._bounds().window) + 1 > self._most(
            service, now
        ):
            return False
        repeats.add(now)
        return True

    def _most(self, service: str, now: float) -> float:
        """Return the repeats that this entry may send in a window."""
        bounds = self._bounds()
        requests = self._requests.setdefault(service, _Window())
        own = requests.count(since=now - bounds.window)
        entries = max(1, self._entries()) + UNKNOWN_ENTRIES
        return SPENT_SHARE * (bounds.ratio * own + bounds.extra / entries)
