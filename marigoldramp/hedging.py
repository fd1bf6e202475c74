"""A second attempt beside a first one that gives no answer.

Only for idempotent calls, after a time that the bundle sets for a service,
and out of the retry budget.  Whichever answer begins first goes to the
caller; the other attempt ends before a byte of it has.
"""

from typing import Any
from typing import MutableMapping

import anyio

from . import deliveries
from . import outcomes

#: Attempts of the second delivery count from here: where both come to the
#: same agent, an answer to one must not be taken for one to the other.
SECOND_ATTEMPT = 500


class _Lane:
    """One of the deliveries that race.

    :ivar whole: its answer has come to its end.
    """

    __slots__ = ('delivery', 'scope', 'ended', 'refusal', 'whole')

    def __init__(self, *, delivery: deliveries.Delivery) -> None:
        self.delivery = delivery
        self.scope = anyio.CancelScope()
        self.ended = anyio.Event()
        self.refusal: outcomes.Refusal | None = None
        self.whole = False


class _Race:
    """Two deliveries of one call, of which one answers the caller."""

    __slots__ = ('_delivery', '_lanes', '_winner')

    def __init__(self, *, delivery: deliveries.Delivery) -> None:
        self._delivery = delivery
        self._lanes: list[_Lane] = []
        self._winner: _Lane | None = None

    async def run(self, *, after: float) -> outcomes.Refusal | None:
        """Deliver the call; ``None`` when its answer is whole."""
        try:
            async with anyio.create_task_group() as tasks:
                first = self._open()
                tasks.start_soon(self._run, first, frozenset[str]())
                with anyio.move_on_after(after):
                    await first.ended.wait()
                if self._needs_second(first):
                    second = self._open()
                    second.delivery.attempt = SECOND_ATTEMPT
                    tasks.start_soon(self._run, second, _asked(first))
        finally:
            self._hand_back()
        return self._conclude()

    def _open(self) -> _Lane:
        lane: _Lane

        async def send(message: MutableMapping[str, Any]) -> None:
            await self._claim(lane)
            await self._delivery.send(message)

        lane = _Lane(delivery=self._delivery.fork(send=send))
        self._lanes.append(lane)
        return lane

    async def _claim(self, lane: _Lane) -> None:
        """Let the first answer that begins through, and no other.

        The loser may have its answer at hand before its cancellation
        arrives.  Without this the caller would get a mix of both.
        """
        if self._winner is None:
            self._winner = lane
            for other in self._lanes:
                if other is not lane:
                    other.scope.cancel()
        elif self._winner is not lane:
            await anyio.sleep_forever()

    async def _run(self, lane: _Lane, exclude: frozenset[str]) -> None:
        with lane.scope:
            lane.refusal = await lane.delivery.run(
                exclude=exclude, first=lane is self._lanes[0]
            )
            lane.whole = lane.refusal is None
        lane.ended.set()
        if lane.scope.cancel_called:
            await lane.delivery.give_up()

    def _needs_second(self, first: _Lane) -> bool:
        if first.ended.is_set() or self._winner is not None:
            return False
        return self._delivery.may_retry()

    def _hand_back(self) -> None:
        """Let the call's own delivery tell how far its answer has come."""
        told = self._winner or self._lanes[0]
        own = self._delivery
        own.maybe = own.maybe or any(
            lane.delivery.maybe for lane in self._lanes
        )
        own.at_work = told.delivery.at_work
        if self._winner is not None:
            own.answer = told.delivery.answer

    def _conclude(self) -> outcomes.Refusal | None:
        """Return the refusal that is true of all attempts together."""
        if any(lane.whole for lane in self._lanes):
            return None
        refusals = [
            lane.refusal for lane in self._lanes if lane.refusal is not None
        ]
        for refusal in refusals:
            if isinstance(refusal, outcomes.OutcomeUnknown):
                return refusal
        return self._delivery.soften(refusals[0])


def _asked(lane: _Lane) -> frozenset[str]:
    """Return the agent that a lane is asking now."""
    target = lane.delivery.at_work
    return frozenset[str]() if target is None else frozenset({target.instance})


async def deliver(
    *, delivery: deliveries.Delivery, after: float
) -> outcomes.Refusal | None:
    """Deliver an idempotent call, with a second attempt after a time.

    :param after: seconds without the beginning of an answer; 0 for never.
    """
    if after <= 0.0:
        return await delivery.run()
    return await _Race(delivery=delivery).run(after=after)
