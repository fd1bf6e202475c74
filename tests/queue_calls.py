"""Queues and calls for tests, on virtual time."""

import anyio

from marigoldramp import admission
from marigoldramp_measure import virtual

URGENT, DRAFT, BATCH = 0, 1, 2


def make_waiting(call='c', *, priority=DRAFT, customer='a', **rest):
    values = {'weight': 1.0, 'deadline': 1000.0, 'cost': 1.0, **rest}
    return admission.Waiting(
        call=call, customer=customer, priority=priority, **values
    )


def make_queue(*, slots=1, bound=8, margin=0.0):
    return admission.Queue(
        slots=slots, bound=bound, clock=virtual.clock, margin=margin
    )


async def settle():
    for _ in range(5):
        await anyio.sleep(0)
