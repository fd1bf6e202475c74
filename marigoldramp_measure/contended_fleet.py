"""Gateways, endpoints and callers of a contended service in virtual time.

The gateways use the product's dispatcher.  Each learns of the others from
reports of a given age.
"""

import asyncio
import dataclasses
import random as random_module

import anyio

from marigoldramp.gateway.balancing import endpoints
from marigoldramp.gateway import deployment
from marigoldramp.gateway.queueing import dispatch
from marigoldramp import outcomes

from . import engine_model
from . import virtual

SERVICE = 'model'
ENDPOINTS = 64
#: Reports leave each gateway at this interval and are this old on average.
REPORT_INTERVAL = 0.1
REPORT_AGE = 0.3
#: Part of a request's objective within which it must get a slot, and time
#: that a caller's wait leaves to the first event; see `call_deadlines`.
ON_TIME_START_SHARE = 0.55
FIRST_EVENT_SECONDS = 0.4
TIMEOUT = 8.1
MAX_ATTEMPTS = 4
#: Part of the callers that retry immediately.
EAGER_SHARE = 0.25
EAGER_DELAY = 0.01
#: Part of their remaining time that callers wait before a retry.
MAX_DELAY_SHARE = 1.0 / 3.0


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Kind:
    """A kind of requests; times in seconds."""

    name: str
    priority: int
    objective: float


KINDS = (
    Kind(name='live', priority=0, objective=0.406),
    Kind(name='adapt', priority=1, objective=0.407),
    Kind(name='overnight', priority=2, objective=1.007),
)


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Way:
    """A way to decide between requests.

    :ivar ordered: gateways order their queues by priority.
    :ivar marked: endpoints order theirs by `Request-Priority`.
    :ivar competing: gateways apply the rules of the product's `contention`.
    :ivar single: one gateway receives all requests.
    """

    name: str
    ordered: bool = True
    marked: bool = False
    competing: bool = False
    single: bool = False


@dataclasses.dataclass(slots=True, kw_only=True)
class Call:
    """A request of a caller and its result.

    :ivar first_event: seconds from its first attempt to its first event.
    :ivar waits: seconds after which its attempts were refused.
    """

    at: float
    kind: Kind
    customer: str
    is_eager: bool
    prompt_tokens: int
    passes: int
    first_event: float | None = None
    ended_at: float | None = None
    waits: list[float] = dataclasses.field(default_factory=list)

    @property
    def is_on_time(self) -> bool:
        """Whether the first event came within the objective."""
        if self.ended_at is None or self.first_event is None:
            return False
        return self.first_event <= self.kind.objective


class Gateway:
    """One gateway with its own table of endpoints."""

    def __init__(
        self,
        *,
        way: Way,
        gateways: int,
        random: random_module.Random,
    ) -> None:
        self.table = endpoints.EndpointTable(data_centre='a', random=random)
        for number in range(ENDPOINTS):
            self.table.put(
                deployment.EndpointRecord(
                    identity=f'e-{number}',
                    service=SERVICE,
                    host='127.0.0.1',
                    port=1,
                    data_centre='a',
                    slots=engine_model.SLOTS,
                    leaving=False,
                )
            )
        priorities = frozenset(one.priority for one in KINDS if way.competing)
        self.dispatcher = dispatch.Dispatcher(
            table=self.table,
            clock=virtual.clock,
            slots=lambda one: float(one.record.slots),
            random=random,
            priorities=lambda _: priorities,
            gateways=lambda: gateways,
        )

    def make_report(self) -> 'Report':
        """Return what this gateway reports to its peers."""
        demand = self.dispatcher.contention(SERVICE).demand
        return Report(
            in_flight={one.identity: one.own_requests for one in self.table},
            waiting=self.dispatcher.count_waiting_by_priority(SERVICE),
            arrivals=demand.list_arrivals(now=virtual.clock()),
        )


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Report:
    """The requests of one gateway, by endpoint and by priority."""

    in_flight: dict[str, int]
    waiting: dict[int, int]
    arrivals: dict[int, float]


class Fleet:
    """A deployment under contention."""

    def __init__(
        self, *, way: Way, gateways: int, random: random_module.Random
    ) -> None:
        self._way = way
        self._random = random
        self._engines = {
            f'e-{number}': engine_model.Engine() for number in range(ENDPOINTS)
        }
        count = 1 if way.single else gateways
        self._gateways = [
            Gateway(way=way, gateways=count, random=random)
            for _ in range(count)
        ]

    def note_history(
        self, shares: dict[str, float], *, rate: float, seconds: float
    ) -> None:
        """Record the usual use of customers before the time 0."""
        at = -seconds
        while (at := at + self._random.expovariate(rate)) < 0.0:
            gateway = self._random.choice(self._gateways)
            customer = self._random.choices(
                list(shares), list(shares.values())
            )[0]
            gateway.dispatcher.contention(SERVICE).shares.note_slot(
                customer, now=at
            )

    async def serve(self, calls: list[Call]) -> None:
        """Serve all calls."""
        async with anyio.create_task_group() as reports:
            reports.start_soon(self._exchange_reports)
            async with anyio.create_task_group() as tasks:
                for call in calls:
                    await anyio.sleep(max(0.0, call.at - virtual.clock()))
                    tasks.start_soon(self._call, call)
            reports.cancel_scope.cancel()

    async def _exchange_reports(self) -> None:
        loop = asyncio.get_running_loop()
        while True:
            sent = [one.make_report() for one in self._gateways]
            delay = REPORT_AGE - REPORT_INTERVAL / 2.0
            for number in range(len(self._gateways)):
                shift = REPORT_INTERVAL * number / len(self._gateways)
                loop.call_later(delay + shift, self._apply, number, sent)
            await anyio.sleep(REPORT_INTERVAL)

    def _apply(self, receiver: int, sent: list[Report]) -> None:
        gateway = self._gateways[receiver]
        others = [one for n, one in enumerate(sent) if n != receiver]
        for endpoint in gateway.table:
            endpoint.peer_requests = sum(
                one.in_flight[endpoint.identity] for one in others
            )
        demand = gateway.dispatcher.contention(SERVICE).demand
        if self._way.competing:
            for number, one in enumerate(others):
                demand.note_peer(
                    instance=str(number),
                    waiting=one.waiting,
                    arrivals=one.arrivals,
                    period=REPORT_AGE,
                    now=virtual.clock(),
                )
        gateway.dispatcher.assign_all_slots()

    async def _call(self, call: Call) -> None:
        """Make the attempts of one caller."""
        for _ in range(MAX_ATTEMPTS):
            began = virtual.clock()
            gateway = self._random.choice(self._gateways)
            refusal = await self._attempt(call, gateway)
            if refusal is None:
                return
            call.waits.append(virtual.clock() - began)
            delay = refusal.retry_after or 0.0
            if call.is_eager:
                delay = EAGER_DELAY
            remaining = call.at + TIMEOUT - virtual.clock()
            if delay > MAX_DELAY_SHARE * remaining:
                return
            await anyio.sleep(delay)

    async def _attempt(
        self, call: Call, gateway: Gateway
    ) -> outcomes.NotRun | None:
        """Make one attempt; return the refusal, if it is refused."""
        kind = call.kind
        patience = max(2.0, 4.0 * kind.objective)
        began = virtual.clock()
        while True:
            slot = await gateway.dispatcher.acquire(
                dispatch.SlotRequest(
                    service=SERVICE,
                    asked_at=began,
                    settled_at=began + kind.objective / 8.0,
                    priority=kind.priority if self._way.ordered else 0,
                    start_by=began + patience - FIRST_EVENT_SECONDS,
                    late_after=call.at + ON_TIME_START_SHARE * kind.objective,
                    customer=call.customer if self._way.competing else '',
                    may_queue=self._way.competing,
                )
            )
            if isinstance(slot, outcomes.NotRun):
                return slot
            try:
                with anyio.move_on_after(began + patience - virtual.clock()):
                    if await self._run(call, slot):
                        return None
            finally:
                gateway.dispatcher.release(slot)
            if virtual.clock() >= began + patience:
                return None

    async def _run(self, call: Call, slot: dispatch.Slot) -> bool:
        """Have an endpoint run a call; return whether it was accepted."""
        began = virtual.clock()
        job = engine_model.Job(
            priority=call.kind.priority if self._way.marked else 5,
            prompt_tokens=call.prompt_tokens,
            passes=call.passes,
        )
        if not self._engines[slot.endpoint.identity].submit(job):
            slot.endpoint.note_full(now=began)
            return False
        try:
            await job.first_event.wait()
        except BaseException:
            job.is_cancelled = True
            raise
        call.first_event = virtual.clock() - call.at
        with anyio.CancelScope(shield=True):
            await job.done.wait()
        call.ended_at = virtual.clock()
        slot.endpoint.note_success(seconds=call.ended_at - began)
        return True
