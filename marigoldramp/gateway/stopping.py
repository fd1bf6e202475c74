"""The graceful shutdown, which lets the requests of callers end."""

from typing import Awaitable
from typing import Callable
from typing import Collection

import anyio
import msgspec

from .. import supervision
from . import inbound
from . import listeners

#: How long new connections are still accepted after the request to stop, as
#: callers cache addresses for a while.  Between these bounds, the listener is
#: closed once no request has come for ``QUIET_SECONDS``.  The longer an
#: instance takes to stop, the longer it is missing, and others may stop
#: meanwhile.
MIN_ACCEPTING_SECONDS = 0.8
MAX_ACCEPTING_SECONDS = 2.5
QUIET_SECONDS = 0.5
#: How long a connection must be idle before it is closed: a request may be on
#: its way on one that has just been opened or used.
MIN_IDLE_SECONDS = 0.25
#: How long before the forced stop the process exits by itself.
EXIT_MARGIN_SECONDS = 0.4
CHECK_INTERVAL_SECONDS = 0.05


class Components(msgspec.Struct, frozen=True, kw_only=True):
    """The components that take part in a shutdown.

    :ivar resign: gives up leadership of all groups of ranks.
    :ivar listener: accepts the connections of callers.
    :ivar connections: open connections of callers, kept up to date.
    :ivar last_request_at: returns when the last request came.
    """

    resign: Callable[[], Awaitable[None]]
    listener: listeners.Listener
    connections: Collection[inbound.Connection]
    last_request_at: Callable[[], float]
    clock: Callable[[], float]


def find_exit_time(now: float, *, grace: float) -> float:
    """Return when a process exits at the latest that is asked to stop.

    :param grace: seconds between the request to stop and the forced stop.
    """
    return now + grace - EXIT_MARGIN_SECONDS


async def shut_down(components: Components, *, ends_at: float) -> None:
    """Shut down; return when all requests have ended, or at the deadline.

    :param ends_at: see :func:`find_exit_time`.
    """
    started_at = components.clock()
    with anyio.move_on_after((ends_at - started_at) / 2.0):
        await supervision.run_contained(components.resign)
    await anyio.sleep(MIN_ACCEPTING_SECONDS)
    while components.clock() < min(
        started_at + MAX_ACCEPTING_SECONDS, ends_at
    ):
        if components.clock() - components.last_request_at() > QUIET_SECONDS:
            break
        await anyio.sleep(CHECK_INTERVAL_SECONDS)
    components.listener.close()
    while components.clock() < ends_at:
        for connection in list(components.connections):
            connection.close_if_idle(longer_than=MIN_IDLE_SECONDS)
        if not components.connections:
            break
        await anyio.sleep(CHECK_INTERVAL_SECONDS)
