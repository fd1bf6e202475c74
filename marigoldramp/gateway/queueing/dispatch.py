"""Assigns requests to free endpoint slots in priority order.

A request that finds no free slot is queued here and not at an endpoint.  It
can then go to whichever endpoint frees a slot first, and a refusal can state
with certainty that the request was not run.
"""

import collections
import math
import random as random_module
from typing import Callable

from absl import logging
import anyio

from ... import logs
from ... import outcomes
from .. import deployment
from ..balancing import endpoints
from . import circuit_breakers
from . import concurrency_limits
from . import contention as contention_module
from . import endpoint_choice
from . import opening_times
from . import retry_delays
from . import slot_requests

#: Concurrent requests on an endpoint that publishes no slot count.
DEFAULT_SLOTS = 4
#: Retry delay while all endpoints of a service are in evacuated data centres,
#: about as long as a withdrawal takes to reach all gateways.
EVACUATED_RETRY_AFTER_SECONDS = 1.0
MAX_RETRY_JITTER_SECONDS = retry_delays.MAX_RETRY_JITTER_SECONDS

SlotRequest = slot_requests.SlotRequest
Slot = slot_requests.Slot
Waiter = slot_requests.Waiter


class Dispatcher:
    """Assigns endpoint slots to requests.

    :param slots: returns how many requests an endpoint may run at once.
    :param random: source of the retry jitter.
    :param engine: returns the published performance figures of a service's
        engines.
    :param accepted_pause: returns the longest pause between events that
        callers of a service's streams accept, 0 if none is known.
    :param priorities: returns the priorities of a service's routes.
    :param note_refusal: called with each request that is refused early.
    :param gateways: returns how many gateways are live, with this one.
    """

    __slots__ = (
        '_table',
        '_clock',
        '_slots',
        '_random',
        '_engine',
        '_accepted_pause',
        '_queues',
        '_breakers',
        '_limiters',
        '_priorities',
        '_note_refusal',
        '_gateways',
        '_contentions',
        '_choosers',
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
        priorities: Callable[[str], frozenset[int]] = lambda _: frozenset(),
        note_refusal: Callable[[SlotRequest], None] = lambda _: None,
        gateways: Callable[[], int] = lambda: 1,
    ) -> None:
        self._table = table
        self._clock = clock
        self._slots = slots
        self._random = random
        self._engine = engine
        self._accepted_pause = accepted_pause
        self._priorities = priorities
        self._note_refusal = note_refusal
        self._gateways = gateways
        self._choosers: dict[str, endpoint_choice.EndpointChooser] = {}
        self._contentions: dict[str, contention_module.Contention] = {}
        self._queues: dict[str, list[Waiter]] = {}
        self._breakers: dict[str, circuit_breakers.CircuitBreaker] = {}
        self._limiters: dict[str, concurrency_limits.ConcurrencyLimiter] = {}

    def limiter(self, service: str) -> concurrency_limits.ConcurrencyLimiter:
        """Return the concurrency limiter of a service."""
        found = self._limiters.get(service)
        if found is None:
            found = concurrency_limits.ConcurrencyLimiter(
                clock=self._clock,
                running=lambda: self._find_mean_running(service),
                engine=lambda: self._engine(service),
                accepted_pause=lambda: self._accepted_pause(service),
            )
            self._limiters[service] = found
        return found

    def _find_mean_running(self, service: str) -> float:
        """Return the mean number of requests that an endpoint runs."""
        candidates = self._table.list_without_slow_ranks(
            service, now=self._clock()
        )
        return sum(endpoint.in_flight for endpoint in candidates) / max(
            1, len(candidates)
        )

    def limited_services(self) -> list[str]:
        """Return the services that have a concurrency limiter."""
        return list(self._limiters)

    def circuit_breaker(self, service: str) -> circuit_breakers.CircuitBreaker:
        """Return the circuit breaker of a service."""
        found = self._breakers.get(service)
        if found is None:
            found = circuit_breakers.CircuitBreaker(
                service=service, clock=self._clock
            )
            self._breakers[service] = found
        return found

    def contention(self, service: str) -> contention_module.Contention:
        """Return what decides between the requests of a service."""
        found = self._contentions.get(service)
        if found is None:
            found = contention_module.Contention()
            self._contentions[service] = found
        found.priorities = self._priorities(service)
        return found

    def contended_services(self) -> list[str]:
        """Return the services whose requests have several priorities."""
        return [
            service
            for service in self._contentions
            if self.contention(service).has_priorities
        ]

    def count_waiting_by_priority(self, service: str) -> dict[int, int]:
        """Return the number of queued requests of a service by priority."""
        return collections.Counter(
            waiter.request.priority for waiter in self._queues.get(service, ())
        )

    def _chooser(self, service: str) -> endpoint_choice.EndpointChooser:
        found = self._choosers.get(service)
        if found is None:
            found = endpoint_choice.EndpointChooser(
                service=service,
                table=self._table,
                clock=self._clock,
                slots=self._slots,
                limiter=self.limiter(service),
                contention=self.contention(service),
                gateways=self._gateways,
            )
            self._choosers[service] = found
        return found

    def list_reserves(self) -> dict[str, float]:
        """Return the reserve of each service with several priorities."""
        return {
            one: self.find_reserve(one) for one in self.contended_services()
        }

    def count_all_waiting(self) -> dict[str, float]:
        """Return the queued requests of all services by priority."""
        total: collections.Counter[int] = collections.Counter()
        for service in self.services():
            total.update(self.count_waiting_by_priority(service))
        return {str(one): float(count) for one, count in total.items()}

    def find_reserve(self, service: str) -> float:
        """Return the slots that the least urgent requests leave free."""
        least_urgent = max(self.contention(service).priorities, default=0)
        return self._chooser(service).find_reserve(least_urgent)

    def count_waiting(self, service: str) -> int:
        """Return the number of queued requests of a service."""
        return len(self._queues.get(service, ()))

    def services(self) -> list[str]:
        """Return the services that have queued requests."""
        return [name for name, queue in self._queues.items() if queue]

    async def acquire(self, request: SlotRequest) -> Slot | outcomes.NotRun:
        """Wait for a slot; a cancelled wait holds no slot or queue entry."""
        arrived = self._clock()
        contention = self.contention(request.service)
        contention.note_arrival(request.priority, now=arrived)
        if not self.count_waiting(request.service):
            endpoint = self._try_acquire(request)
            if endpoint is not None:
                contention.note_slot(request, queue=(), now=arrived)
                return Slot(
                    endpoint=endpoint, waited=0.0, suspect=request.suspect
                )
        known = self._table.list_for_service(request.service)
        if not known:
            return self._refuse(request, 'no endpoint of the service is known')
        if all(endpoint.is_evacuated for endpoint in known):
            return self._refuse(request, 'all endpoints are evacuated')
        if self._find_start_time(request) > request.start_by:
            return self._refuse(request, 'no endpoint takes requests in time')
        return await self._wait(request, arrived)

    def release(self, slot: Slot) -> None:
        """Free a slot and assign it to a queued request."""
        slot.endpoint.remove_request(suspect=slot.suspect)
        self.assign_slots(slot.endpoint.record.service)

    def assign_slots(self, service: str) -> None:
        """Assign free slots to the queued requests of a service."""
        queue = self._queues.get(service)
        if not queue:
            return
        now = self._clock()
        contention = self.contention(service)
        ordered = contention.sort(queue, now=now)
        blocked = math.inf
        for waiter in ordered:
            request = waiter.request
            if waiter.event.is_set() or request.priority >= blocked:
                continue
            endpoint = self._try_acquire(request)
            if endpoint is not None:
                queue.remove(waiter)
                waiter.endpoint = endpoint
                waiter.event.set()
                contention.note_slot(request, queue=queue, now=now)
            elif contention.can_use_any_slot(request):
                # None is free for those behind it.
                blocked = request.priority
        self._refuse_late_waiters(
            service,
            [one for one in ordered if not one.event.is_set()],
        )

    def _refuse_late_waiters(
        self, service: str, ordered: list[Waiter]
    ) -> None:
        """Wake requests that get no slot in time, to refuse them."""
        times = self._list_opening_times(service, len(ordered))
        for waiter, opens_at in zip(ordered, times, strict=True):
            if opens_at > waiter.request.start_by:
                waiter.event.set()
        contention = self.contention(service)
        if contention.is_contended(ordered):
            contention.refuse_hopeless(
                ordered,
                rate=self._chooser(service).find_rate(),
                now=self._clock(),
            )

    def assign_all_slots(self) -> None:
        """Assign free slots to the queued requests of all services."""
        for service in self.services():
            self.assign_slots(service)

    async def _wait(
        self, request: SlotRequest, arrived: float
    ) -> Slot | outcomes.NotRun:
        waiter = Waiter(request=request, arrived=arrived)
        queue = self._queues.setdefault(request.service, [])
        queue.append(waiter)
        if self.contention(request.service).is_contended(queue):
            self.assign_slots(request.service)
        try:
            with anyio.move_on_after(request.start_by - arrived):
                await waiter.event.wait()
        except BaseException:
            self._abandon(queue, waiter)
            raise
        if waiter.endpoint is None:
            self._abandon(queue, waiter)
            if waiter.expected_wait is not None:
                return self._refuse_early(request, waiter.expected_wait)
            return self._refuse(request, 'no endpoint had room in time')
        return Slot(
            endpoint=waiter.endpoint,
            waited=self._clock() - arrived,
            suspect=request.suspect,
        )

    def _abandon(self, queue: list[Waiter], waiter: Waiter) -> None:
        """Remove a request from the queue, or free its slot.

        A cancellation can arrive after a slot was assigned and before the
        waiting task resumes; without this the slot would never be freed.
        """
        if waiter.endpoint is None:
            queue.remove(waiter)
            return
        waiter.endpoint.remove_request(suspect=waiter.request.suspect)
        self.assign_slots(waiter.request.service)

    def _try_acquire(self, request: SlotRequest) -> endpoints.Endpoint | None:
        breaker = self.circuit_breaker(request.service)
        if not breaker.allows(repeated=request.repeated):
            return None
        endpoint = self._chooser(request.service).choose(request)
        if endpoint is not None:
            endpoint.add_request(suspect=request.suspect)
            endpoint.rate_limit.take_turn(now=self._clock())
            breaker.note_trial()
        return endpoint

    def _refuse_early(
        self, request: SlotRequest, wait: float
    ) -> outcomes.NotRun:
        """Refuse a request that would get a slot too late."""
        now = self._clock()
        service = request.service
        logging.info(
            'refused early',
            extra=logs.fields(
                service=service,
                priority=request.priority,
                customer=request.customer,
                expected_wait=round(wait, 3),
                useful=round(request.start_by - now, 3),
                late=now > request.late_after,
                rate=round(self._chooser(service).find_rate(), 2),
                reserve=round(self.find_reserve(service), 1),
                waiting=str(dict(self.count_waiting_by_priority(service))),
            ),
        )
        self._note_refusal(request)
        return outcomes.NotRun(
            reason=outcomes.Reason.CANNOT_END_IN_TIME,
            detail='no endpoint has room in time',
            retry_after=retry_delays.spread_retry_delay(
                wait, random=self._random
            ),
        )

    def _refuse(self, request: SlotRequest, detail: str) -> outcomes.NotRun:
        candidates = self._list_not_evacuated(request.service)
        now = self._clock()
        logging.info(
            'no place',
            extra=logs.fields(
                service=request.service,
                detail=detail,
                endpoints=len(candidates),
                open=sum(endpoint.is_open(now=now) for endpoint in candidates),
                in_flight=sum(endpoint.in_flight for endpoint in candidates),
                waiting=self.count_waiting(request.service),
            ),
        )
        return outcomes.NotRun(
            reason=(
                outcomes.Reason.CANNOT_END_IN_TIME
                if candidates
                else outcomes.Reason.NO_ENDPOINT
            ),
            detail=detail,
            retry_after=self.estimate_wait(request.service),
        )

    def _list_not_evacuated(self, service: str) -> list[endpoints.Endpoint]:
        """Return the endpoints of a service outside evacuated data centres."""
        known = self._table.list_for_service(service)
        return [endpoint for endpoint in known if not endpoint.is_evacuated]

    def has_sound_endpoint(
        self, service: str, *, besides: frozenset[str]
    ) -> bool:
        """Whether an endpoint of a service is not known to fail.

        :param besides: identities of endpoints that do not count.
        """
        return any(
            not endpoint.failures
            and not endpoint.is_withdrawn
            and endpoint.identity not in besides
            for endpoint in self._table.list_for_service(service)
        )

    def _list_opening_times(self, service: str, count: int) -> list[float]:
        return opening_times.list_opening_times(
            self._list_staying(service), count
        )

    def _list_staying(self, service: str) -> list[endpoints.Endpoint]:
        """Return the endpoints of a service that are not shutting down.

        Those in evacuated data centres are among them, as endpoints that never
        open: without others, requests are refused and do not wait for one.
        """
        known = self._table.list_for_service(service)
        return [endpoint for endpoint in known if not endpoint.is_leaving]

    def _find_start_time(self, request: SlotRequest) -> float:
        """Return the earliest time at which a new request can be sent."""
        queue = self._queues.get(request.service, ())
        ahead = sum(
            waiter.request.priority <= request.priority for waiter in queue
        )
        return self._list_opening_times(request.service, ahead + 1)[-1]

    def estimate_wait(self, service: str) -> float:
        """Return the expected seconds until a slot is free."""
        candidates = self._list_not_evacuated(service)
        if not candidates and self._table.list_for_service(service):
            return EVACUATED_RETRY_AFTER_SECONDS + self._random.uniform(
                0.0, MAX_RETRY_JITTER_SECONDS
            )
        return retry_delays.estimate_retry_delay(
            candidates,
            queued=self.count_waiting(service),
            slots=self._slots,
            random=self._random,
            now=self._clock(),
        )


def find_slots(
    endpoint: endpoints.Endpoint, engine: deployment.Engine | None
) -> float:
    """Return how many requests an endpoint can run at once."""
    if endpoint.record.slots:
        return float(endpoint.record.slots)
    if engine is not None:
        return float(engine.slots)
    return float(DEFAULT_SLOTS)
