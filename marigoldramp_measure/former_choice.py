"""A choice of endpoints by requests in flight, as a baseline for experiments.

Only slowness from a ratio of 1.8 to the median counts, and it fades within
some seconds.
"""

import math
import statistics

from marigoldramp.gateway.balancing import endpoints
from marigoldramp.gateway.balancing import quality

SMOOTHING_WEIGHT = 0.25
HALF_LIFE_SECONDS = 4.0
MIN_SLOW_RATIO = 1.8
MAX_SLOWNESS = 20.0


class FormerQuality(quality.Quality):
    """Takes the larger one of the measured and the reported slowness."""

    def note_answer(self, *, seconds: float, now: float) -> None:
        """Record a latency."""
        if not self.seconds or now - self._updated_at > 16.0:
            self.seconds = seconds
        else:
            self.seconds += SMOOTHING_WEIGHT * (seconds - self.seconds)
        self.note_success(now=now)

    def measured_slowness(self, *, usual: float, now: float) -> float:
        """Return its latency as a multiple of the usual one."""
        if not self.seconds or not usual:
            return 1.0
        ratio = self.seconds / max(0.005, usual)
        if ratio < MIN_SLOW_RATIO:
            return 1.0
        over = min(MAX_SLOWNESS, ratio) - 1.0
        return 1.0 + over * _decay(now - self._updated_at)

    def note_peer_slowness(self, *, slowness: float, now: float) -> None:
        """Record what a peer reports."""
        self._peer_slowness = slowness
        self._peer_slowness_at = now

    def slowness(self, *, usual: float, now: float) -> float:
        """Return its slowness as measured here or reported by peers."""
        reported = 1.0 + (self._peer_slowness - 1.0) * _decay(
            now - self._peer_slowness_at
        )
        return max(self.measured_slowness(usual=usual, now=now), reported)


class Table(endpoints.EndpointTable):
    """A table that chooses by requests in flight and slowness."""

    def put(self, record):  # type: ignore[no-untyped-def]
        """Add an endpoint."""
        super().put(record)
        self._by_identity[record.identity].quality = FormerQuality()

    def choose(  # type: ignore[no-untyped-def]
        self, *, service, now, slots, avoid, suspect='', late_after=math.inf
    ):
        """Return the endpoint with the lowest score."""
        known = self.list_for_service(service)
        found = [
            one
            for one in known
            if one.is_open(now=now) and one.in_flight < slots(one)
        ]
        usual = find_median(self, service)
        penalty = 0.05
        compared = self._sample(found)
        if sum(self._is_local(one) for one in known) >= 8:
            penalty = 1.5
            compared += self._sample(list(filter(self._is_local, found)))
        return min(
            compared,
            key=lambda one: (
                1.0
                + one.in_flight
                + (0.0 if self._is_local(one) else penalty)
                + 6.0 * one.quality.error_rate(now=now)
                + 0.1 * self._random.random()
            )
            * one.quality.slowness(usual=usual, now=now)
            / slots(one),
            default=None,
        )


def find_median(table: endpoints.EndpointTable, service: str) -> float:
    """Return the median latency of a service, 0 if unknown."""
    known = [
        one.quality.seconds
        for one in table.list_for_service(service)
        if one.quality.seconds
    ]
    return statistics.median_low(known) if known else 0.0


def list_slow(
    table: endpoints.EndpointTable, *, now: float
) -> dict[str, float]:
    """Return the endpoints that are reported to peers as slow."""
    found = {
        one.identity: one.quality.measured_slowness(
            usual=find_median(table, one.record.service), now=now
        )
        for one in table
    }
    return {
        name: round(slowness, 2)
        for name, slowness in found.items()
        if slowness > MIN_SLOW_RATIO
    }


def _decay(age: float) -> float:
    return float(0.5 ** (max(0.0, age) / HALF_LIFE_SECONDS))
