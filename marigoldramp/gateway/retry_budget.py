"""The retry budget, which all gateways share without coordination.

The operator limits the retries of all gateways together in any time window to
a share of the requests plus a fixed extra.  Each gateway spends that share of
its *own* requests, and the extra divided by the number of gateways that may be
alive.  If only reachable gateways counted, each half of a partition would
spend the whole extra.
"""

import collections
import dataclasses
from typing import Callable

from absl import logging

from .. import logs

#: Part of the budget that may be spent.  The rest allows for events at the
#: edges of a window and for new gateways that are not known yet.
MAX_SPENT_SHARE = 0.75
#: Number of unknown gateways that is assumed when the extra is divided.
UNKNOWN_GATEWAYS = 1


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Bounds:
    """The operator's limit on retries.

    :ivar ratio: retries as a share of the requests.
    :ivar extra: further retries in each window.
    :ivar window: length of a window in seconds.
    """

    ratio: float
    extra: float
    window: float


class _Window:
    """Times of the events in a sliding window."""

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
    """The part of the budget that one gateway may spend.

    :param bounds: returns the limit in force.
    :param entries: returns how many gateways may be alive, with this one.
    """

    __slots__ = (
        '_bounds',
        '_entries',
        '_clock',
        '_started_at',
        '_requests',
        '_retries',
    )

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
        self._started_at = clock()
        self._requests: dict[str, _Window] = {}
        self._retries: dict[str, _Window] = {}

    def note_request(self, service: str) -> None:
        """Count a caller's request for a service."""
        self._requests.setdefault(service, _Window()).add(self._clock())

    def take(self, service: str) -> bool:
        """Spend one retry if the budget allows it, and return whether."""
        now = self._clock()
        retries = self._retries.setdefault(service, _Window())
        spent = retries.count(since=now - self._bounds().window)
        limit = self._find_limit(service, now)
        if spent + 1 > limit:
            return False
        retries.add(now)
        logging.info(
            'retry allowed',
            extra=logs.fields(
                service=service,
                spent=spent + 1,
                limit=round(limit, 2),
                gateways=self._entries(),
                started=round(now - self._started_at, 1),
            ),
        )
        return True

    def _find_limit(self, service: str, now: float) -> float:
        """Return how many retries this gateway may send in a window."""
        bounds = self._bounds()
        requests = self._requests.setdefault(service, _Window())
        own = requests.count(since=now - bounds.window)
        entries = max(1, self._entries()) + UNKNOWN_GATEWAYS
        return MAX_SPENT_SHARE * (bounds.ratio * own + bounds.extra / entries)
