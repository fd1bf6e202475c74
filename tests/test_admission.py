"""Tests of the queue before an endpoint's slots."""

import anyio
import pytest

from marigoldramp import admission
from marigoldramp import outcomes


class Clock:
    """A clock that tests set."""

    def __init__(self):
        self.now = 0.0

    def __call__(self):
        return self.now


def make_waiting(call='c', *, priority=1, customer='a', **rest):
    values = {'weight': 1.0, 'deadline': 1000.0, 'cost': 1.0, **rest}
    return admission.Waiting(
        call=call, customer=customer, priority=priority, **values
    )


def make_queue(*, slots=1, bound=8, clock=None, margin=0.0):
    return admission.Queue(
        slots=slots, bound=bound, clock=clock or Clock(), margin=margin
    )


async def settle():
    for _ in range(5):
        await anyio.sleep(0)


@pytest.mark.anyio
async def test_urgent_overtakes():
    queue = make_queue()
    order = []

    async def run(call, priority):
        slot = await queue.enter(waiting=make_waiting(call, priority=priority))
        order.append(call)
        queue.leave(slot, 1.0)

    first = await queue.enter(waiting=make_waiting('first'))
    async with anyio.create_task_group() as tasks:
        for call, priority in (('draft', 1), ('batch', 2), ('urgent', 0)):
            tasks.start_soon(run, call, priority)
        await settle()
        queue.leave(first, 1.0)
    assert order == ['urgent', 'draft', 'batch']


@pytest.mark.anyio
async def test_refusals_on_arrival():
    queue = make_queue(bound=0)
    await queue.enter(waiting=make_waiting('first'))
    full = await queue.enter(waiting=make_waiting('second'))
    late = await queue.enter(waiting=make_waiting(deadline=0.0))
    queue.close()
    leaving = await queue.enter(waiting=make_waiting('third'))
    assert [one.reason for one in (full, late, leaving)] == [
        outcomes.Reason.QUEUE_FULL,
        outcomes.Reason.DEADLINE,
        outcomes.Reason.LEAVING,
    ]


@pytest.mark.anyio
async def test_idle_waits_for_running_and_queued():
    queue = make_queue()
    first = await queue.enter(waiting=make_waiting('first'))
    done = anyio.Event()

    async def wait():
        await queue.idle()
        done.set()

    async with anyio.create_task_group() as tasks:
        tasks.start_soon(wait)
        await settle()
        assert not done.is_set()
        queue.leave(first, 1.0)
        await done.wait()
