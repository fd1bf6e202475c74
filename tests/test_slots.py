"""Tests that no slot of a queue is lost, and that some are kept."""

import anyio
import hypothesis
from hypothesis import strategies
import queue_calls

from marigoldramp import admission
from marigoldramp import outcomes
from marigoldramp_measure import virtual


def test_slots_are_kept_for_urgent_calls():
    """Drafts must not hold every slot while urgent calls keep coming.

    Symptom: urgent calls miss their deadline with nothing else queued.
    Sequence: steady urgent work of one slot; drafts take all that is free.
    Cause: a draft holds its slot for many seconds once it has it.
    """

    async def main():
        queue = queue_calls.make_queue(slots=4)
        for _ in range(40):
            slot = await queue.enter(
                waiting=queue_calls.make_waiting(priority=queue_calls.URGENT)
            )
            await anyio.sleep(0.5)
            queue.leave(slot, 0.5)
        async with anyio.create_task_group() as tasks:
            for one in range(4):
                tasks.start_soon(_hold, queue, one)
            await queue_calls.settle()
            running = queue.load().running
            urgent = await queue.enter(
                waiting=queue_calls.make_waiting(priority=queue_calls.URGENT)
            )
            tasks.cancel_scope.cancel()
        return running, urgent

    async def _hold(queue, one):
        await queue.enter(waiting=queue_calls.make_waiting(f'd{one}'))
        await anyio.sleep_forever()

    running, urgent = virtual.drive(main)
    assert running == 3
    assert urgent.waited == 0.0


ENTER = strategies.tuples(
    strategies.just('enter'),
    strategies.integers(0, 2),
    strategies.sampled_from('abc'),
    strategies.floats(0.5, 8.0),
)
STEPS = strategies.lists(
    strategies.one_of(
        ENTER,
        ENTER,
        strategies.tuples(
            strategies.just('cancel'), strategies.integers(0, 9)
        ),
        strategies.tuples(strategies.just('leave'), strategies.integers(0, 9)),
        strategies.tuples(
            strategies.just('pass'), strategies.floats(0.0, 1.0)
        ),
        strategies.tuples(strategies.just('yield')),
    ),
    min_size=10,
    max_size=60,
)


class Bench:
    """Drives a queue by drawn steps and keeps account of every call."""

    def __init__(self, *, tasks):
        self.tasks = tasks
        self.queue = queue_calls.make_queue(slots=2, bound=5, margin=0.01)
        self.scopes = []
        self.held = []
        self.refused = []

    async def apply(self, step):
        match step:
            case 'enter', priority, customer, seconds:
                scope = anyio.CancelScope()
                self.scopes.append(scope)
                waiting = queue_calls.make_waiting(
                    f'{len(self.scopes)}',
                    priority=priority,
                    customer=customer,
                    deadline=virtual.clock() + seconds,
                )
                self.tasks.start_soon(self._enter, waiting, scope)
            case 'cancel', number:
                if self.scopes:
                    self.scopes[-1 - number % len(self.scopes)].cancel()
            case 'leave', number:
                if self.held:
                    slot = self.held.pop(number % len(self.held))
                    self.queue.leave(slot, 1.0)
            case 'pass', seconds:
                await anyio.sleep(seconds)
            case _:
                await anyio.sleep(0)

    async def _enter(self, waiting, scope):
        with scope:
            result = await self.queue.enter(waiting=waiting)
            match result:
                case admission.Slot():
                    assert virtual.clock() < waiting.deadline
                    self.held.append(result)
                case outcomes.NotRun():
                    self.refused.append(waiting.call)

    def check(self):
        load = self.queue.load()
        assert len(self.held) <= load.running <= load.slots
        assert load.queued <= 5 or load.running < load.slots
        held = {slot.waiting.call for slot in self.held}
        assert not held & set(self.refused)


@hypothesis.given(steps=STEPS)
def test_no_slot_is_lost(steps):
    """No interleaving of grant, cancel and expiry may lose a slot.

    Symptom: an endpoint runs fewer calls at once than it has slots.
    Sequence: any; the worst is a cancellation after the grant, before the
    caller has run again.
    Cause: a slot granted to a caller that never learns of it.
    """

    async def main():
        async with anyio.create_task_group() as tasks:
            bench = Bench(tasks=tasks)
            for step in steps:
                await bench.apply(step)
                bench.check()
            for scope in bench.scopes:
                scope.cancel()
            await queue_calls.settle()
            while bench.held:
                bench.queue.leave(bench.held.pop(), 1.0)
            load = bench.queue.load()
            assert (load.running, load.queued) == (0, 0)
            await bench.queue.idle()

    virtual.drive(main)
