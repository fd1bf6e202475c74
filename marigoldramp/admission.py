"""Bounded queue before an endpoint's slots.

A call holds a slot while it runs on the endpoint.  Calls that find no free
slot wait, in the order of :mod:`.fair_order`.  A call that cannot end in time
is refused at once, and one whose time runs out while it waits is taken out
first and refused after that, so that a call which was told "not run" can
never start.
"""

import enum
from typing import Callable

import anyio

from . import bundle
from . import estimates
from . import fair_order
from . import messages
from . import outcomes
from . import queue_order
from . import slots as slots_module

Slot = slots_module.Slot
Waiting = queue_order.Waiting

MILLISECONDS = 1000.0
#: Mean deviations added to the expected service time when it is decided
#: whether a call can still end in time.  With 0 an overloaded endpoint
#: spends a tenth and more of its time on calls that then miss it.
DEVIATIONS = 1.0
LEAST_RETRY_AFTER = 0.05


class _State(enum.Enum):
    QUEUED = enum.auto()
    GRANTED = enum.auto()
    REFUSED = enum.auto()


class _Place(queue_order.Place):
    """One call's place in the queue and what became of it."""

    __slots__ = ('event', 'state', 'result')

    def __init__(
        self, *, waiting: Waiting, seconds: float, arrived: float
    ) -> None:
        super().__init__(waiting=waiting, seconds=seconds, arrived=arrived)
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
        order: queue_order.Order[_Place] | None = None,
    ) -> None:
        self._slots = slots_module.Slots(count=slots, clock=clock)
        self._bound = bound
        self._clock = clock
        self._margin = margin
        self._order = fair_order.FairOrder() if order is None else order
        self._received = 0
        self._times = estimates.ServiceTimes(clock=clock)
        self._service = estimates.Smoothed()
        self._wait = estimates.Smoothed()
        self._closed = False
        self._idle = anyio.Event()

    async def enter(self, *, waiting: Waiting) -> Slot | outcomes.NotRun:
        """Wait for a slot; a cancelled caller leaves nothing behind."""
        self._received += 1
        now = self._clock()
        place = _Place(
            waiting=waiting, seconds=self._expect(waiting), arrived=now
        )
        self._slots.expect(waiting=waiting, seconds=place.seconds)
        refusal = self._refuse_on_arrival(place=place, now=now)
        if refusal is not None:
            return refusal
        self._order.push(place)
        self._grant()
        try:
            with anyio.move_on_after(self._latest_start(place) - now):
                await place.event.wait()
        except BaseException:
            self._abandon(place)
            raise
        if place.state is _State.QUEUED:
            self._order.remove(place)
            self._refuse(place, _expired())
        assert place.result is not None
        return place.result

    def leave(
        self, slot: Slot, seconds: float, *, completed: bool = True
    ) -> None:
        """Give a slot back after the call ran for ``seconds``.

        :param completed: false for a call that was cut short, whose time
            says nothing about how long such calls take.
        """
        self._slots.give_back(slot)
        if completed:
            self._service.observe(seconds, now=self._clock())
            self._times.observe(
                priority=slot.waiting.priority,
                size=slot.waiting.cost,
                seconds=seconds,
            )
        self._grant()
        self._note_idle()

    def close(self) -> None:
        """Refuse new calls; those that wait or run go on."""
        self._closed = True

    def load(self) -> messages.Load:
        """Return the load report for heartbeats."""
        waits = (self._forecast_for(priority) for priority in bundle.Priority)
        return messages.Load(
            running=len(self._slots),
            queued=len(self._order),
            slots=self._slots.count,
            service_ms=round(self._service.value * MILLISECONDS),
            wait_ms=round(self._wait.value * MILLISECONDS),
            received=self._received,
            waits_ms=tuple(round(wait * MILLISECONDS) for wait in waits),
        )

    async def idle(self) -> None:
        """Wait until no call waits or runs."""
        while self._slots or self._order:
            await self._idle.wait()

    def _expect(self, waiting: Waiting) -> float:
        return self._times.expect(priority=waiting.priority, size=waiting.cost)

    def _latest_start(self, place: _Place) -> float:
        """Return the time after which starting the call is useless."""
        needed = self._times.expect(
            priority=place.waiting.priority,
            size=place.waiting.cost,
            deviations=DEVIATIONS,
        )
        return place.waiting.deadline - max(self._margin, needed)

    def _refuse_on_arrival(
        self, *, place: _Place, now: float
    ) -> outcomes.NotRun | None:
        waiting = place.waiting
        if self._closed:
            return outcomes.NotRun(
                reason=outcomes.Reason.LEAVING,
                detail='this endpoint is being stopped',
                retry_after=0.0,
            )
        if waiting.deadline - self._margin <= now:
            return _expired()
        late = now + self._forecast(place) - self._latest_start(place)
        if late > 0.0:
            return outcomes.NotRun(
                reason=outcomes.Reason.CANNOT_END_IN_TIME,
                detail='the wait for a slot is too long for the deadline',
                retry_after=max(LEAST_RETRY_AFTER, late),
            )
        if self._is_full(priority=waiting.priority):
            return self._displace(place)
        return None

    def _is_full(self, *, priority: int) -> bool:
        if len(self._order) < self._bound:
            return False
        return not self._slots.has_free(priority=priority)

    def _forecast(self, place: _Place) -> float:
        """Return the expected seconds until the call would start."""
        priority = place.waiting.priority
        if self._slots.has_free(priority=priority):
            return 0.0
        ahead = self._order.ahead(waiting=place.waiting, seconds=place.seconds)
        return self._drain(ahead, priority=priority)

    def _forecast_for(self, priority: int) -> float:
        """Return the forecast for a new call of any customer."""
        if self._slots.has_free(priority=priority):
            return 0.0
        work = self._order.work(priority=priority)
        return self._drain(work, priority=priority)

    def _drain(self, work: float, *, priority: int) -> float:
        """Return how long work takes that precedes a call, and one more."""
        slots = self._slots.open_to(priority)
        return (work + self._service.value) / slots

    def _displace(self, place: _Place) -> outcomes.NotRun | None:
        """Make room in a full queue, or refuse the new call."""
        displaced = self._order.find_displaced(
            waiting=place.waiting, seconds=place.seconds
        )
        if displaced is None:
            return self._full()
        self._order.remove(displaced)
        self._refuse(displaced, self._full())
        return None

    def _full(self) -> outcomes.NotRun:
        """Refuse, to come back when about half the queue has moved on."""
        drain = len(self._order) * self._service.value / self._slots.count
        return outcomes.NotRun(
            reason=outcomes.Reason.QUEUE_FULL,
            detail='as many calls wait here as may',
            retry_after=max(LEAST_RETRY_AFTER, drain / 2.0),
        )

    def _grant(self) -> None:
        """Give free slots to queued calls that can still end in time."""
        now = self._clock()
        while len(self._slots) < self._slots.count:
            place = self._order.pop(urgent_only=self._slots.is_reserved())
            if place is None:
                return
            if now > self._latest_start(place):
                self._refuse(place, _expired())
                continue
            waited = now - place.arrived
            self._wait.observe(waited, now=now)
            place.state = _State.GRANTED
            place.result = self._slots.take(
                waiting=place.waiting, waited=waited
            )
            place.event.set()

    def _refuse(self, place: _Place, refusal: outcomes.NotRun) -> None:
        """Tell a call that is out of the order already."""
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
                self._order.remove(place)
            case _State.GRANTED, Slot() as slot:
                self._slots.give_back(slot)
                self._grant()
        self._note_idle()

    def _note_idle(self) -> None:
        if not self._slots and not self._order:
            self._idle.set()
            self._idle = anyio.Event()


def _expired() -> outcomes.NotRun:
    return outcomes.NotRun(
        reason=outcomes.Reason.DEADLINE,
        detail='the time left is too short to start the call',
    )
