"""Chooses an endpoint for a request, within the limits of its service."""

import math
from typing import Callable
from typing import Iterator

from ..balancing import endpoints
from . import concurrency_limits
from . import contention as contention_module
from . import slot_requests

#: Requests that may be sent to an endpoint beyond its slots if they are not
#: of the least urgent priority: they take the next slot that it frees.
EXTRA_PER_ENDPOINT = 1
#: Limit on these requests over all endpoints of a service, as a part of their
#: slots.  More of them would make the passes of the engines longer.
MAX_EXTRA_SHARE = 0.06
#: Seconds after which an urgent request may queue at an endpoint.  Before that
#: a slot usually becomes free.
ENDPOINT_QUEUE_DELAY_SECONDS = 0.3

SlotCount = Callable[[endpoints.Endpoint], float]


class EndpointChooser:
    """Chooses endpoints for the requests of one service.

    :param slots: returns how many requests an endpoint may run at once.
    :param gateways: returns how many gateways are live, with this one.
    """

    __slots__ = (
        '_service',
        '_table',
        '_clock',
        '_slots',
        '_limiter',
        '_contention',
        '_gateways',
    )

    def __init__(
        self,
        *,
        service: str,
        table: endpoints.EndpointTable,
        clock: Callable[[], float],
        slots: SlotCount,
        limiter: concurrency_limits.ConcurrencyLimiter,
        contention: contention_module.Contention,
        gateways: Callable[[], int],
    ) -> None:
        self._service = service
        self._table = table
        self._clock = clock
        self._slots = slots
        self._limiter = limiter
        self._contention = contention
        self._gateways = gateways

    def choose(
        self, request: slot_requests.SlotRequest
    ) -> endpoints.Endpoint | None:
        """Return the best endpoint for a request, if it may have one."""
        for slots in self._list_bounds(request):
            endpoint = self._table.choose(
                service=self._service,
                now=self._clock(),
                slots=slots,
                avoid=request.avoid,
                suspect=request.suspect,
                late_after=request.late_after,
            )
            if endpoint is not None:
                return endpoint
        return None

    def find_reserve(self, priority: int) -> float:
        """Return the slots that requests leave to more urgent ones."""
        return self._contention.find_reserve(
            priority, limit=self._count_running()[1], now=self._clock()
        )

    def find_rate(self) -> float:
        """Return the slots per second that become free for this gateway.

        It is infinite if it is not known how long requests take.
        """
        known = self._table.list_for_service(self._service)
        times = [one.seconds for one in known if one.seconds]
        if not times:
            return math.inf
        _, limit = self._count_running()
        own = sum(one.own_requests for one in known)
        share = limit / self._gateways()
        return max(own, share) * len(times) / sum(times)

    def _list_bounds(
        self, request: slot_requests.SlotRequest
    ) -> Iterator[SlotCount]:
        """Return limits on an endpoint's requests, the best ones first."""
        running, limit = self._count_running()
        if not self._contention.has_priorities:
            if running < limit:
                yield self._find_limit
            return
        now = self._clock()
        reserve = self._contention.find_reserve(
            self._contention.find_rank(request, now=now), limit=limit, now=now
        )
        if running + reserve < limit:
            yield self._find_limit
        if not self._contention.may_queue_at_endpoint(request):
            return
        if now - request.asked_at < ENDPOINT_QUEUE_DELAY_SECONDS:
            return
        if running < limit * (1.0 + MAX_EXTRA_SHARE):
            yield lambda one: self._find_limit(one) + EXTRA_PER_ENDPOINT

    def _find_limit(self, one: endpoints.Endpoint) -> float:
        return math.ceil(self._limiter.limit(self._slots(one)))

    def _count_running(self) -> tuple[int, float]:
        """Return how many requests the endpoints run, and how many they may.

        Slow ranks are left out.
        """
        candidates = self._table.list_without_slow_ranks(
            self._service, now=self._clock()
        )
        return (
            sum(endpoint.in_flight for endpoint in candidates),
            sum(self._limiter.limit(self._slots(one)) for one in candidates),
        )
