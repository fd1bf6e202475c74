"""Small fakes at the interfaces of the router and the queue.

An endpoint is a real admission queue before an engine that sleeps; an entry
is a real router and a real retry budget.  Between them stands a network of
half a millisecond.
"""

import collections
import dataclasses
import enum
import random as random_module
from typing import Callable

import anyio
import anyio.abc

from marigoldramp import admission
from marigoldramp import bundle
from marigoldramp import messages
from marigoldramp import outcomes
from marigoldramp import retries
from marigoldramp import routing

from . import traffic
from . import virtual

NETWORK_SECONDS = 0.0005
REPORT_SECONDS = 0.5
#: Silence until membership's verdict: 1.6 s, then a probe of 0.7 s.
VERDICT_SECONDS = 2.3
#: Blocks that an engine's prefix cache holds.
CACHE_BLOCKS = 600


class Result(enum.StrEnum):
    """How a call of the input ended."""

    ANSWERED = 'answered'
    REFUSED = 'refused'
    LATE = 'late'
    UNKNOWN = 'unknown'


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Ended:
    """A call and how it ended.

    :ivar served: engine seconds of the attempt that was answered.
    """

    call: traffic.Call
    result: Result
    ended_at: float
    seconds: float
    attempts: int
    served: float = 0.0
    reason: str = ''


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Answer:
    """An endpoint's answer.

    :ivar waited: seconds in the agent's queue, as the answer's head says.
    :ivar served: engine seconds.
    """

    waited: float
    served: float


@dataclasses.dataclass(slots=True, kw_only=True)
class Faults:
    """What is wrong with an endpoint; changed while the run goes on.

    :ivar factor: its engine takes so many times as long.
    :ivar dead: it takes calls and sends nothing any more.
    :ivar mute: calls to it and their answers are lost, its reports are not.
    :ivar lies_low: it reports no load and a fast engine.
    :ivar delay: its reports arrive so much later.
    """

    factor: float = 1.0
    dead: bool = False
    mute: bool = False
    lies_low: bool = False
    delay: float = 0.0


class Endpoint:
    """An agent's queue and the engine beside it."""

    def __init__(
        self,
        *,
        instance: str,
        data_centre: str,
        service: str,
        slots: int,
        bound: int,
        make_queue: Callable[..., admission.Queue] = admission.Queue,
    ) -> None:
        self.instance = instance
        self.data_centre = data_centre
        self.service = service
        self.faults = Faults()
        self.queue = make_queue(
            slots=slots, bound=bound, clock=virtual.clock, margin=0.03
        )
        self.busy = 0.0
        self.wasted = 0.0
        self.received: list[float] = []
        self._cache: collections.OrderedDict[bytes, None] = (
            collections.OrderedDict()
        )
        self._sequence = 0
        self._died = anyio.Event()

    def die(self) -> None:
        """Fall silent; calls in flight are never answered."""
        self.faults.dead = True
        self._died.set()

    async def run(
        self, *, call: traffic.Call, attempt: int, remaining: float
    ) -> Answer | outcomes.NotRun:
        """Take one attempt, as an agent would."""
        await anyio.sleep(NETWORK_SECONDS)
        self.received.append(virtual.clock())
        if self.faults.dead or self.faults.mute:
            await anyio.sleep_forever()
        slot = await self.queue.enter(
            waiting=admission.Waiting(
                call=f'{call.number}.{attempt}',
                customer=call.customer,
                weight=1.0,
                priority=call.priority,
                deadline=virtual.clock() + remaining,
                cost=float(max(1, call.tokens)),
            )
        )
        if isinstance(slot, outcomes.NotRun):
            await anyio.sleep(NETWORK_SECONDS)
            return slot
        served = await self._generate(call=call, slot=slot)
        if self.faults.dead:
            await anyio.sleep_forever()
        await anyio.sleep(NETWORK_SECONDS)
        return Answer(waited=slot.waited, served=served)

    async def _generate(
        self, *, call: traffic.Call, slot: admission.Slot
    ) -> float:
        """Hold the slot while the engine works; stop when nobody waits."""
        began = virtual.clock()
        whole = False
        try:
            cached = self._look_up(call.blocks)
            await anyio.sleep(call.work(cached=cached) * self.faults.factor)
            whole = True
        finally:
            seconds = virtual.clock() - began
            self.busy += seconds
            if not whole:
                self.wasted += seconds
            self.queue.leave(slot, seconds, completed=whole)
        return seconds

    def _look_up(self, blocks: tuple[bytes, ...]) -> int:
        """Return the leading blocks in the cache, then hold them all."""
        cached = 0
        for block in blocks:
            if block not in self._cache:
                break
            cached += 1
        for block in blocks:
            self._cache[block] = None
            self._cache.move_to_end(block)
        while len(self._cache) > CACHE_BLOCKS:
            self._cache.popitem(last=False)
        return cached

    def heartbeat(self) -> messages.Heartbeat:
        """Return the datagram that the agent sends now."""
        self._sequence += 1
        load = self.queue.load()
        if self.faults.lies_low:
            load = messages.Load(
                running=0,
                queued=0,
                slots=load.slots,
                service_ms=load.service_ms // 4,
                wait_ms=0,
                received=load.received,
            )
        return messages.Heartbeat(
            instance=self.instance,
            role=messages.Role.AGENT,
            data_centre=self.data_centre,
            host='127.0.0.1',
            call_port=1,
            control_port=2,
            datagram_port=3,
            incarnation=1,
            sequence=self._sequence,
            sent_at=virtual.clock(),
            bundle=1,
            service=self.service,
            load=load,
        )


class Entry:
    """A router, a retry budget, and the loop that uses them."""

    def __init__(
        self,
        *,
        data_centre: str,
        random: random_module.Random,
        endpoints: dict[str, Endpoint],
        policy: str,
        retry_share: float = 0.1,
    ) -> None:
        self.router = routing.Router(
            clock=virtual.clock,
            random=random,
            data_centre=data_centre,
            most_endpoints=64,
        )
        self._endpoints = endpoints
        self._services = {
            name: bundle.Service(name=name, kind='model', routing=policy)
            for name in (traffic.MODEL, traffic.PLAIN)
        }
        self._budget = retries.Budget(share=retry_share, clock=virtual.clock)
        # Ordered, unlike a set: two runs with one seed must agree.
        self._scopes: dict[str, dict[anyio.CancelScope, None]] = {
            name: {} for name in endpoints
        }

    def declare_dead(self, instance: str) -> None:
        """Act on membership's verdict: drop it, end what waits for it."""
        self.router.drop(instance=instance)
        for scope in self._scopes[instance]:
            scope.cancel()

    async def serve(self, call: traffic.Call) -> Ended:
        """Take one call to its end."""
        began = virtual.clock()
        attempts = 0
        exclude: frozenset[str] = frozenset()
        refusal = None
        self._budget.first()
        while True:
            remaining = call.deadline - (virtual.clock() - began)
            facts = make_facts(call=call, attempt=attempts, left=remaining)
            choice = self.router.choose(
                service=self._services[call.service],
                facts=facts,
                exclude=exclude,
            )
            if isinstance(choice, outcomes.NotRun):
                refusal = refusal or choice
                break
            attempts += 1
            result = await self._attempt(
                choice=choice, call=call, facts=facts, attempt=attempts
            )
            seconds = virtual.clock() - began
            if isinstance(result, Answer):
                in_time = seconds <= call.deadline
                return Ended(
                    call=call,
                    result=Result.ANSWERED if in_time else Result.LATE,
                    ended_at=virtual.clock(),
                    seconds=seconds,
                    attempts=attempts,
                    served=result.served,
                )
            refusal = result
            exclude |= {choice.instance}
            if seconds >= call.deadline or not self._budget.take():
                break
        unknown = refusal is None
        return Ended(
            call=call,
            result=Result.UNKNOWN if unknown else Result.REFUSED,
            ended_at=virtual.clock(),
            seconds=virtual.clock() - began,
            attempts=attempts,
            reason='' if refusal is None else refusal.reason,
        )

    async def _attempt(
        self,
        *,
        choice: routing.Candidate,
        call: traffic.Call,
        facts: routing.CallFacts,
        attempt: int,
    ) -> Answer | outcomes.NotRun | None:
        """Send one attempt; ``None`` where nothing came back."""
        began = virtual.clock()
        self.router.sent(candidate=choice, facts=facts)
        endpoint = self._endpoints[choice.instance]
        result: Answer | outcomes.NotRun | None = None
        with anyio.move_on_after(facts.remaining) as scope:
            self._scopes[choice.instance][scope] = None
            result = await endpoint.run(
                call=call, attempt=attempt, remaining=facts.remaining
            )
        del self._scopes[choice.instance][scope]
        self.router.ended(
            candidate=choice,
            facts=facts,
            seconds=virtual.clock() - began,
            answered=isinstance(result, Answer),
        )
        return result


def make_facts(
    *, call: traffic.Call, attempt: int, left: float
) -> routing.CallFacts:
    """Return what the router is told about an attempt of a call."""
    return routing.CallFacts(
        call=f'{call.number}.{attempt}',
        service=call.service,
        customer=call.customer,
        priority=call.priority,
        remaining=left,
        prefix=call.blocks,
        tokens=call.tokens,
        prompt_bytes=len(call.blocks) * traffic.BLOCK_BYTES,
    )


class Fleet:
    """All endpoints and entries of one run."""

    def __init__(
        self,
        *,
        policy: str,
        seed: int,
        bound: int = 64,
        retry_share: float = 0.1,
        make_queue: Callable[..., admission.Queue] = admission.Queue,
        make_entry: type[Entry] = Entry,
    ) -> None:
        self.endpoints: dict[str, Endpoint] = {}
        for service, count, slots in (
            (traffic.MODEL, traffic.MODEL_RUNNERS, traffic.MODEL_SLOTS),
            (traffic.PLAIN, traffic.PLAIN_RUNNERS, traffic.PLAIN_SLOTS),
        ):
            for one in range(count):
                instance = f'{service}-{one}'
                self.endpoints[instance] = Endpoint(
                    instance=instance,
                    data_centre=f'dc{one % 3}',
                    service=service,
                    slots=slots,
                    bound=bound,
                    make_queue=make_queue,
                )
        self.entries = [
            make_entry(
                data_centre=f'dc{one % 3}',
                random=random_module.Random(seed * 1000 + one),
                endpoints=self.endpoints,
                policy=policy,
                retry_share=retry_share,
            )
            for one in range(traffic.ENTRIES)
        ]
        self.ended: list[Ended] = []

    async def serve(
        self,
        calls: list[traffic.Call],
        *,
        at: float | None = None,
        then: Callable[['Fleet'], None] = lambda fleet: None,
    ) -> None:
        """Send the calls; at a time of the run call ``then``."""
        async with anyio.create_task_group() as background:
            for position, endpoint in enumerate(self.endpoints.values()):
                background.start_soon(self._report, endpoint, position)
            if at is not None:
                background.start_soon(self._fault, at, then)
            await anyio.sleep(REPORT_SECONDS)
            async with anyio.create_task_group() as tasks:
                began = virtual.clock()
                for call in calls:
                    await anyio.sleep(began + call.at - virtual.clock())
                    tasks.start_soon(self._serve, call)
            background.cancel_scope.cancel()

    def kill(self, instance: str) -> None:
        """Let an endpoint fall silent."""
        self.endpoints[instance].die()

    async def _serve(self, call: traffic.Call) -> None:
        ended = await self.entries[call.entry].serve(call)
        self.ended.append(ended)

    async def _fault(self, at: float, then: Callable[['Fleet'], None]) -> None:
        await anyio.sleep(at + REPORT_SECONDS)
        then(self)
        dead = [one for one in self.endpoints.values() if one.faults.dead]
        await anyio.sleep(VERDICT_SECONDS)
        for endpoint in dead:
            for entry in self.entries:
                entry.declare_dead(endpoint.instance)

    async def _report(self, endpoint: Endpoint, position: int) -> None:
        """Send heartbeats, each endpoint at its own phase."""
        await anyio.sleep(REPORT_SECONDS * position / len(self.endpoints))
        async with anyio.create_task_group() as tasks:
            while not endpoint.faults.dead:
                tasks.start_soon(
                    self._deliver, endpoint.heartbeat(), endpoint.faults.delay
                )
                await anyio.sleep(REPORT_SECONDS)

    async def _deliver(
        self, heartbeat: messages.Heartbeat, delay: float
    ) -> None:
        await anyio.sleep(NETWORK_SECONDS + delay)
        for entry in self.entries:
            entry.router.report(heartbeat=heartbeat, now=virtual.clock())
