"""A planned stop: nothing that callers have sent is cut off."""

import dataclasses
from typing import Awaitable
from typing import Callable
from typing import Collection

import anyio

from . import inbound
from . import listeners

#: Seconds for which new connections are still taken after the request for a
#: stop, at least and at most: callers keep an address answer for a while.
#: In between it ends when none has come for some time.  An instance that
#: takes longer to stop is missing longer, and others stop meanwhile.
ACCEPTING_LEAST = 0.8
ACCEPTING_MOST = 2.5
QUIET_SECONDS = 0.5
#: Seconds for which a connection must be idle before a stop closes it; a
#: request may be on its way on one that has just been opened or used.
IDLE_BEFORE_CLOSE = 0.25
#: Seconds before the forced stop at which the process ends by itself.
SPARE = 0.4
#: Seconds between two looks at what is still open.
LOOK_EVERY = 0.05


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Parts:
    """What a stop needs of a process.

    :ivar resign: gives up what this entry leads.
    :ivar connections: of callers; the collection changes meanwhile.
    :ivar asked_at: returns when the last request came.
    """

    resign: Callable[[], Awaitable[None]]
    listener: listeners.Listener
    connections: Collection[inbound.Connection]
    asked_at: Callable[[], float]
    clock: Callable[[], float]


async def lead_through(parts: Parts, *, grace: float) -> None:
    """Return when all requests have ended, or the time is over.

    :param grace: seconds between the request for a stop and the forced one.
    """
    begun = parts.clock()
    with anyio.move_on_after(grace / 2):
        await parts.resign()
    ends = begun + grace - SPARE
    await anyio.sleep(ACCEPTING_LEAST)
    while parts.clock() < min(begun + ACCEPTING_MOST, ends):
        if parts.clock() - parts.asked_at() > QUIET_SECONDS:
            break
        await anyio.sleep(LOOK_EVERY)
    parts.listener.close()
    while parts.clock() < ends:
        for connection in list(parts.connections):
            connection.close_if_idle(longer_than=IDLE_BEFORE_CLOSE)
        if not parts.connections:
            break
        await anyio.sleep(LOOK_EVERY)
