"""Demand for one service by priority, here and at the other gateways."""

import collections
import math
from typing import Mapping

import msgspec

#: Time constant of the moving average of arrivals: a burst of a few seconds
#: must show in it, and a few requests must not.
ARRIVAL_SECONDS = 1.0
#: What a peer reported is used for this time, or for this many of its report
#: intervals if that is longer.
MIN_REPORT_SECONDS = 1.0
MAX_MISSED_REPORTS = 3.0
#: Totals over the peers are kept for this time, as they are read for each
#: request and change only with reports.
TOTALS_SECONDS = 0.05


class _PeerDemand(msgspec.Struct, frozen=True, kw_only=True):
    """What one peer has reported."""

    expires_at: float
    period: float
    waiting: Mapping[int, int]
    arrivals: Mapping[int, float]


class Totals(msgspec.Struct, frozen=True, kw_only=True):
    """Demand at all peers.

    :ivar arrivals: requests per second, by priority.
    :ivar delay: mean interval of the reports of peers with demand, in seconds;
        0 if there are none.
    """

    waiting: Mapping[int, int]
    arrivals: Mapping[int, float]
    delay: float


class Demand:
    """Arrivals and queued requests of one service by priority."""

    __slots__ = ('_rates', '_noted_at', '_peers', '_totals', '_totals_at')

    def __init__(self) -> None:
        self._rates: dict[int, float] = {}
        self._noted_at: dict[int, float] = {}
        self._peers: dict[str, _PeerDemand] = {}
        self._totals = Totals(waiting={}, arrivals={}, delay=0.0)
        self._totals_at = float('-inf')

    def note_arrival(self, *, priority: int, now: float) -> None:
        """Record a request that arrived at this gateway."""
        rate = self._find_rate(priority, now)
        self._rates[priority] = rate + 1.0 / ARRIVAL_SECONDS
        self._noted_at[priority] = now

    def list_arrivals(self, *, now: float) -> dict[int, float]:
        """Return the requests per second here, by priority."""
        return {one: self._find_rate(one, now) for one in self._rates}

    def _find_rate(self, priority: int, now: float) -> float:
        rate = self._rates.get(priority, 0.0)
        age = now - self._noted_at.get(priority, now)
        return rate * math.exp(-age / ARRIVAL_SECONDS)

    def note_peer(
        self,
        *,
        instance: str,
        waiting: Mapping[int, int],
        arrivals: Mapping[int, float],
        period: float,
        now: float,
    ) -> None:
        """Record the demand that a peer reports.

        :param period: seconds until the peer's next report.
        """
        if not waiting and not arrivals:
            self._peers.pop(instance, None)
            return
        lifetime = max(MIN_REPORT_SECONDS, MAX_MISSED_REPORTS * period)
        self._peers[instance] = _PeerDemand(
            expires_at=now + lifetime,
            period=period,
            waiting=waiting,
            arrivals=arrivals,
        )

    def sum_peers(self, *, now: float) -> Totals:
        """Return the demand at the peers whose reports are recent."""
        if now - self._totals_at >= TOTALS_SECONDS:
            self._totals_at = now
            self._totals = self._add_peers(now)
        return self._totals

    def _add_peers(self, now: float) -> Totals:
        self._peers = {
            name: one
            for name, one in self._peers.items()
            if one.expires_at > now
        }
        waiting: collections.Counter[int] = collections.Counter()
        arrivals: dict[int, float] = collections.defaultdict(float)
        for one in self._peers.values():
            waiting.update(one.waiting)
            for priority, rate in one.arrivals.items():
                arrivals[priority] += rate
        periods = sum(one.period for one in self._peers.values())
        return Totals(
            waiting=waiting,
            arrivals=arrivals,
            delay=periods / max(1, len(self._peers)),
        )
