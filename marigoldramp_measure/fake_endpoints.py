"""An endpoint: a real admission queue before an engine that sleeps."""

import collections
import dataclasses
from typing import Callable

import anyio

from marigoldramp import admission
from marigoldramp import messages
from marigoldramp import outcomes

from . import traffic
from . import virtual

NETWORK_SECONDS = 0.0005
#: Blocks that an engine's prefix cache holds.
CACHE_BLOCKS = 600


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
