"""Named steps of the program's own flow, at which tests place a fault.

Production code calls :func:`reach` at each named step.  Outside tests the
call finds no observer and returns at once.  A test installs an observer that
may wait on an event (freeze), raise (kill or cut) or record the order, so a
fault lands exactly at a step without any sleep.
"""

import contextlib
import contextvars
import enum
from typing import Awaitable
from typing import Callable
from typing import Iterator


class Step(enum.StrEnum):
    """The named steps, grouped by the flow to which they belong."""

    CALL_ADMITTED = 'call.admitted'
    CALL_ENDPOINT_CHOSEN = 'call.endpoint_chosen'
    CALL_SENT = 'call.sent'
    CALL_ANSWER_STARTED = 'call.answer_started'
    CALL_ANSWER_ENDED = 'call.answer_ended'
    AGENT_RECEIVED = 'agent.received'
    AGENT_QUEUED = 'agent.queued'
    AGENT_RECORDED = 'agent.recorded'
    AGENT_HANDED_OVER = 'agent.handed_over'
    AGENT_ANSWERED = 'agent.answered'
    BUNDLE_WRITTEN = 'bundle.written'
    BUNDLE_SEEN = 'bundle.seen'
    BUNDLE_FETCHED = 'bundle.fetched'
    BUNDLE_IN_FORCE = 'bundle.in_force'
    LEASE_TAKEN = 'lease.taken'
    LEASE_RENEWED = 'lease.renewed'
    MAP_PREPARE_SENT = 'map.prepare_sent'
    MAP_PREPARED = 'map.prepared'
    MAP_HOLD_SENT = 'map.hold_sent'
    MAP_HELD = 'map.held'
    MAP_ARM_SENT = 'map.arm_sent'
    MAP_ARMED = 'map.armed'
    MAP_RELEASE_SENT = 'map.release_sent'
    MAP_RELEASED = 'map.released'
    DRAIN_STARTED = 'drain.started'
    DRAIN_ANNOUNCED = 'drain.announced'
    DRAIN_IDLE = 'drain.idle'
    DRAIN_HANDED_OVER = 'drain.handed_over'
    START_LISTENING = 'start.listening'
    START_BUNDLE = 'start.bundle'
    START_READY = 'start.ready'


Observer = Callable[[Step, str], Awaitable[None]]

_observer: contextvars.ContextVar[Observer | None] = contextvars.ContextVar(
    'observer', default=None
)


async def reach(step: Step, where: str = '') -> None:
    """Tell the observer, if any, that ``where`` has come to ``step``."""
    observer = _observer.get()
    if observer is not None:
        await observer(step, where)


@contextlib.contextmanager
def observe(observer: Observer) -> Iterator[None]:
    """Install an observer for this context and the tasks started in it."""
    token = _observer.set(observer)
    try:
        yield
    finally:
        _observer.reset(token)
