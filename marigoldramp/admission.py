"""Bounded queue before an endpoint's slots.

A call holds a slot while it runs on the endpoint.  Calls that find no free
slot wait, in order of priority and of the share that each customer has had.
A call that cannot end in time is refused at once, and one whose time runs
out while it waits is taken out first and refused after that, so that a call
which was told "not run" can never start.
"""

import collections
import dataclasses
import enum
from typing import Callable

import anyio

from . import bundle
from . import messages
from . import outcomes

#: Weight of the newest observation in a smoothed value.
SMOOTHING = 0.1
MILLISECONDS = 1000.0


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Waiting:
    """A call that asks for a slot.

    :ivar weight: share of its customer under contention.
    :ivar deadline: clock time at which the answer is worthless.
    :ivar cost: expected work, in any unit that is the same for all calls of
        the queue; generated tokens, or 1 where all calls are alike.
    """

    call: str
    customer: str
    weight: float
    priority: int
    deadline: float
    cost: float


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Slot:
    """The right to run one call; given back by :meth:`Queue.leave`.

    :ivar number: distinguishes the slots given by one queue.
    :ivar waited: seconds that the call waited for it.
    """

    number: int
    waiting: Waiting
    waited: float


class _State(enum.Enum):
    QUEUED = enum.auto()
    GRANTED = enum.auto()
    REFUSED = enum.auto()


class _Place:
    """One call's place in the queue."""

    __slots__ = ('waiting', 'arrived', 'event', 'state', 'result')

    def __init__(self, *, waiting: Waiting, arrived: float) -> None:
        self.waiting = waiting
        self.arrived = arrived
        self.event = anyio.Event()
        self.state = _State.QUEUED
        self.result: Slot | outcomes.NotRun | None = None


class Queue:
    """Hands out an endpoint's slots.

    :param slots: calls that run at once.
    :param bound: calls that wait at most.
    :param margin: seconds before its deadline at which a call expires.
    """

    def __init__(
        self,
        *,
        slots: int,
        bound: int,
        clock: Callable[[], float],
        margin: float,
    ) -> None:
        self._slots = slots
        self._bound = bound
        self._clock = clock
        self._margin = margin
        self._queues: dict[int, collections.deque[_Place]] = {
            priority: collections.deque() for priority in bundle.Priority
        }
        self._running: dict[int, Slot] = {}
        self._number = 0
        self._received = 0
        self._service = 0.0
        self._wait = 0.0
        self._closed = False
        self._idle = anyio.Event()

    async def enter(self, *, waiting: Waiting) -> Slot | outcomes.NotRun:
        """Wait for a slot; a cancelled caller leaves nothing behind."""
        self._received += 1
        now = self._clock()
        refusal = self._refuse_on_arrival(waiting=waiting, now=now)
        if refusal is not None:
            return refusal
        place = _Place(waiting=waiting, arrived=now)
        self._queues[waiting.priority].append(place)
        self._grant()
        try:
            with anyio.move_on_after(
                max(0.0, waiting.deadline - self._margin - now)
            ):
                await place.event.wait()
        except BaseException:
            self._abandon(place)
            raise
        if place.state is _State.QUEUED:
            self._refuse(
                place,
                outcomes.NotRun(
                    reason=outcomes.Reason.DEADLINE,
                    detail='the deadline came while the call was queued',
                ),
            )
        assert place.result is not None
        return place.result

    def leave(self, slot: Slot, seconds: float) -> None:
        """Give a slot back after the call ran for ``seconds``."""
        del self._running[slot.number]
        self._service = _smooth(self._service, seconds)
        self._grant()
        self._note_idle()

    def close(self) -> None:
        """Refuse new calls; those that wait or run go on."""
        self._closed = True

    def load(self) -> messages.Load:
        """Return the load report for heartbeats."""
        return messages.Load(
            running=len(self._running),
            queued=self._queued(),
            slots=self._slots,
            service_ms=round(self._service * MILLISECONDS),
            wait_ms=round(self._wait * MILLISECONDS),
            received=self._received,
        )

    async def idle(self) -> None:
        """Wait until no call waits or runs."""
        while self._running or self._queued():
            await self._idle.wait()

    def _queued(self) -> int:
        return sum(len(queue) for queue in self._queues.values())

    def _refuse_on_arrival(
        self, *, waiting: Waiting, now: float
    ) -> outcomes.NotRun | None:
        if self._closed:
            return outcomes.NotRun(
                reason=outcomes.Reason.LEAVING,
                detail='this endpoint is being stopped',
                retry_after=0.0,
            )
        if waiting.deadline - self._margin <= now:
            return outcomes.NotRun(
                reason=outcomes.Reason.DEADLINE,
                detail='the deadline has passed',
            )
        if self._queued() >= self._bound:
            return outcomes.NotRun(
                reason=outcomes.Reason.QUEUE_FULL,
                detail='as many calls wait here as may',
                retry_after=max(0.05, self._service / self._slots),
            )
        return None

    def _grant(self) -> None:
        now = self._clock()
        for queue in self._queues.values():
            while queue and len(self._running) < self._slots:
                place = queue.popleft()
                self._number += 1
                slot = Slot(
                    number=self._number,
                    waiting=place.waiting,
                    waited=now - place.arrived,
                )
                self._running[slot.number] = slot
                self._wait = _smooth(self._wait, slot.waited)
                place.state = _State.GRANTED
                place.result = slot
                place.event.set()

    def _refuse(self, place: _Place, refusal: outcomes.NotRun) -> None:
        self._queues[place.waiting.priority].remove(place)
        place.state = _State.REFUSED
        place.result = refusal
        place.event.set()
        self._note_idle()

    def _abandon(self, place: _Place) -> None:
        """Undo what a cancelled caller holds.

        A cancellation can arrive after the slot was granted and before the
        caller has run again.  Its slot would be held for ever, seen as an
        endpoint that runs fewer calls at once than it has slots.
        """
        match place.state, place.result:
            case _State.QUEUED, _:
                self._queues[place.waiting.priority].remove(place)
            case _State.GRANTED, Slot() as slot:
                del self._running[slot.number]
                self._grant()
        self._note_idle()

    def _note_idle(self) -> None:
        if not self._running and not self._queued():
            self._idle.set()
            self._idle = anyio.Event()


def _smooth(value: float, observed: float) -> float:
    if value == 0.0:
        return observed
    return value + SMOOTHING * (observed - value)
