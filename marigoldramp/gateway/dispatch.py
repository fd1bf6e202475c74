"""Gives requests a place at an endpoint, in order of urgency.

A request that finds no room waits here and not at an endpoint: here it can
still go to whichever endpoint has room first, and can be refused as "not
run" for certain.
"""

import dataclasses
import math
import random as random_module
from typing import Callable

from absl import logging
import anyio

from .. import logs
from .. import outcomes
from . import circuit_breakers
from . import concurrency_limits
from . import deployment
from . import endpoints

#: Requests that an endpoint without published slots is given at once.
USUAL_SLOTS = 4
#: Shortest time after which a refused caller is told to come back.
LEAST_RETRY_AFTER = 0.1
#: Maximum jitter in seconds added to the retry delay of refused callers.
MAX_RETRY_JITTER_SECONDS = 0.5


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class SlotRequest:
    """A request for a place.

    :ivar priority: 0 is the most urgent.
    :ivar start_by: time after which a place is of no use.
    :ivar late_after: time until which a place lets the answer count in
        full; requests past it go behind all others of their priority.
    :ivar avoid: endpoints that are not to be used.
    :ivar repeated: the request was sent before.
    :ivar suspect: fingerprint of a request under which an endpoint has ended,
        empty for others.
    """

    service: str
    priority: int
    start_by: float
    late_after: float = 0.0
    avoid: frozenset[str] = frozenset()
    repeated: bool = False
    suspect: str = ''

    @property
    def is_particular(self) -> bool:
        """Whether a place that others may have can be closed to it."""
        return bool(self.avoid) or self.repeated or bool(self.suspect)


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Slot:
    """The right to run one request on an endpoint."""

    endpoint: endpoints.Endpoint
    waited: float
    suspect: str = ''


class _Waiter:
    """A request that waits for a place."""

    __slots__ = ('demand', 'arrived', 'event', 'endpoint')

    def __init__(self, *, demand: SlotRequest, arrived: float) -> None:
        self.demand = demand
        self.arrived = arrived
        self.event = anyio.Event()
        self.endpoint: endpoints.Endpoint | None = None

    def rank(self, now: float) -> tuple[int, bool, float]:
        """Return by what requests are ordered.

        Under more load than can be served, strict order of arrival makes
        every answer late.  Those that can still be in time go first.
        """
        is_late = now > self.demand.late_after
        return self.demand.priority, is_late, self.arrived


class Dispatcher:
    """Hands out places at endpoints.

    :param slots: returns how many requests an endpoint may run at once.
    :param random: source of the retry jitter.
    :param engine: returns the published figures of a service's engines.
    :param accepted: returns the longest pause that callers of a service's
        streams accept, 0 if none is known.
    """

    __slots__ = (
        '_table',
        '_clock',
        '_slots',
        '_random',
        '_engine',
        '_accepted',
        '_queues',
        '_breakers',
        '_limiters',
    )

    def __init__(
        self,
        *,
        table: endpoints.EndpointTable,
        clock: Callable[[], float],
        slots: Callable[[endpoints.Endpoint], float],
        random: random_module.Random,
        engine: Callable[[str], deployment.Engine | None] = lambda _: None,
        accepted_pause: Callable[[str], float] = lambda _: 0.0,
    ) -> None:
        self._table = table
        self._clock = clock
        self._slots = slots
        self._random = random
        self._engine = engine
        self._accepted = accepted_pause
        self._queues: dict[str, list[_Waiter]] = {}
        self._breakers: dict[str, circuit_breakers.CircuitBreaker] = {}
        self._limiters: dict[str, concurrency_limits.ConcurrencyLimiter] = {}

    def limiter(self, service: str) -> concurrency_limits.ConcurrencyLimiter:
        """Return the pace of a service."""
        found = self._limiters.get(service)
        if found is None:
            found = concurrency_limits.ConcurrencyLimiter(
                clock=self._clock,
                running=lambda: self._find_running(service),
                engine=lambda: self._engine(service),
                accepted_pause=lambda: self._accepted(service),
            )
            self._limiters[service] = found
        return found

    def _find_running(self, service: str) -> float:
        """Return how many requests an endpoint runs on average."""
        known = self._table.list_without_slow_ranks(service, now=self._clock())
        return sum(one.in_flight for one in known) / max(1, len(known))

    def limited_services(self) -> list[str]:
        """Return the services whose pace is known."""
        return list(self._limiters)

    def circuit_breaker(self, service: str) -> circuit_breakers.CircuitBreaker:
        """Return the gate of a service."""
        found = self._breakers.get(service)
        if found is None:
            found = circuit_breakers.CircuitBreaker(
                service=service, clock=self._clock
            )
            self._breakers[service] = found
        return found

    def count_waiting(self, service: str) -> int:
        """Return how many requests wait for a service."""
        return len(self._queues.get(service, ()))

    def services(self) -> list[str]:
        """Return the services for which requests wait."""
        return [name for name, queue in self._queues.items() if queue]

    async def acquire(self, demand: SlotRequest) -> Slot | outcomes.NotRun:
        """Wait for a place; a cancelled caller leaves nothing behind."""
        arrived = self._clock()
        if not self.count_waiting(demand.service):
            endpoint = self._take(demand)
            if endpoint is not None:
                return Slot(
                    endpoint=endpoint, waited=0.0, suspect=demand.suspect
                )
        if not self._table.list_for_service(demand.service):
            return self._refuse(demand, 'no endpoint of the service is known')
        if self._find_open_time(demand.service) > demand.start_by:
            return self._refuse(demand, 'no endpoint takes requests in time')
        return await self._wait(demand, arrived)

    def release(self, place: Slot) -> None:
        """Give a place back."""
        place.endpoint.remove_request(suspect=place.suspect)
        self.assign_slots(place.endpoint.record.service)

    def assign_slots(self, service: str) -> None:
        """Give free places to waiting requests."""
        queue = self._queues.get(service)
        if not queue:
            return
        now = self._clock()
        for waiter in sorted(queue, key=lambda one: one.rank(now)):
            endpoint = self._take(waiter.demand)
            if endpoint is not None:
                queue.remove(waiter)
                waiter.endpoint = endpoint
                waiter.event.set()
            elif not waiter.demand.is_particular:
                # Nothing is open to it, so nothing is to those behind it.
                break
        self._refuse_late_waiters(service, queue)

    def _refuse_late_waiters(self, service: str, queue: list[_Waiter]) -> None:
        """Wake requests that no endpoint can take before their deadline."""
        open_time = self._find_open_time(service)
        for waiter in queue:
            if open_time > waiter.demand.start_by:
                waiter.event.set()

    def assign_all_slots(self) -> None:
        """Look at all queues again, as endpoints may have come free."""
        for service in self.services():
            self.assign_slots(service)

    async def _wait(
        self, demand: SlotRequest, arrived: float
    ) -> Slot | outcomes.NotRun:
        waiter = _Waiter(demand=demand, arrived=arrived)
        queue = self._queues.setdefault(demand.service, [])
        queue.append(waiter)
        try:
            with anyio.move_on_after(demand.start_by - arrived):
                await waiter.event.wait()
        except BaseException:
            self._abandon(queue, waiter)
            raise
        if waiter.endpoint is None:
            self._abandon(queue, waiter)
            return self._refuse(demand, 'no endpoint had room in time')
        return Slot(
            endpoint=waiter.endpoint,
            waited=self._clock() - arrived,
            suspect=demand.suspect,
        )

    def _abandon(self, queue: list[_Waiter], waiter: _Waiter) -> None:
        """Undo what a request holds that waits no longer.

        A cancellation can arrive after a place was given and before the
        request has run again; the place would be held for ever.
        """
        if waiter.endpoint is None:
            queue.remove(waiter)
            return
        waiter.endpoint.remove_request(suspect=waiter.demand.suspect)
        self.assign_slots(waiter.demand.service)

    def _take(self, demand: SlotRequest) -> endpoints.Endpoint | None:
        breaker = self.circuit_breaker(demand.service)
        if not breaker.allows(repeated=demand.repeated):
            return None
        limiter = self.limiter(demand.service)
        if self._is_at_limit(demand.service, limiter):
            return None
        endpoint = self._table.choose(
            service=demand.service,
            now=self._clock(),
            slots=lambda one: math.ceil(limiter.limit(self._slots(one))),
            avoid=demand.avoid,
            suspect=demand.suspect,
        )
        if endpoint is not None:
            endpoint.add_request(suspect=demand.suspect)
            breaker.note_trial()
        return endpoint

    def _is_at_limit(
        self, service: str, limiter: concurrency_limits.ConcurrencyLimiter
    ) -> bool:
        """Whether all endpoints together run as many as they should."""
        known = self._table.list_without_slow_ranks(service, now=self._clock())
        room = sum(limiter.limit(self._slots(one)) for one in known)
        return sum(one.in_flight for one in known) >= room

    def _refuse(self, demand: SlotRequest, detail: str) -> outcomes.NotRun:
        known = self._table.list_for_service(demand.service)
        now = self._clock()
        logging.info(
            'no place',
            extra=logs.fields(
                service=demand.service,
                detail=detail,
                endpoints=len(known),
                open=sum(one.is_open(now=now) for one in known),
                in_flight=sum(one.in_flight for one in known),
                waiting=self.count_waiting(demand.service),
            ),
        )
        return outcomes.NotRun(
            reason=(
                outcomes.Reason.CANNOT_END_IN_TIME
                if known
                else outcomes.Reason.NO_ENDPOINT
            ),
            detail=detail,
            retry_after=self.estimate_wait(demand.service),
        )

    def _find_open_time(self, service: str) -> float:
        """Return the time by which the first endpoint opens.

        Returns 0 if all known endpoints are leaving, as a replacement may
        register at any time.
        """
        known = self._table.list_for_service(service)
        open_time = min((one.opens_at for one in known), default=0.0)
        return open_time if math.isfinite(open_time) else 0.0

    def estimate_wait(self, service: str) -> float:
        """Return the seconds after which there may be room."""
        delay = self._find_open_time(service) - self._clock()
        if delay > 0.0:
            # Jitter keeps callers from retrying together and failing again.
            return delay + self._random.uniform(0.0, MAX_RETRY_JITTER_SECONDS)
        known = self._table.list_for_service(service)
        slots = sum(self._slots(one) for one in known)
        times = [one.seconds for one in known if one.seconds]
        if not slots or not times:
            return LEAST_RETRY_AFTER * 5.0
        mean = sum(times) / len(times)
        queued = self.count_waiting(service) + 1
        return max(LEAST_RETRY_AFTER, mean * queued / slots)


def find_slots(
    endpoint: endpoints.Endpoint, engine: deployment.Engine | None
) -> float:
    """Return how many requests an endpoint runs at once."""
    if endpoint.record.slots:
        return float(endpoint.record.slots)
    if engine is not None:
        return float(engine.slots)
    return float(USUAL_SLOTS)
