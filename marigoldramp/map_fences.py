"""Finds the fence in force for an agent that has just started."""

from typing import Awaitable
from typing import Callable
from typing import Sequence

import anyio
import msgspec

from . import leases
from . import map_client
from . import map_orders
from . import store as store_module

#: Reads the fence from the lease; ``None`` if the store does not answer.
ReadFence = Callable[[], Awaitable[int | None]]


async def read(
    *, platform: store_module.PlatformStore, key: store_module.Key
) -> int | None:
    """Return the fence in a lease's object, ``None`` if unreadable.

    It is 0 before anybody has held the lease.
    """
    found = await platform.read(key=key)
    match found:
        case store_module.Stored(value=value):
            try:
                record = msgspec.json.decode(value, type=leases.Record)
            except msgspec.MsgspecError:
                return None
            return record.fence
        case store_module.Absent():
            return 0
        case store_module.Unavailable():
            return None


async def learn(
    *,
    group: str,
    instance: str,
    agents: Sequence[str],
    transport: map_client.Transport,
    read_fence: ReadFence,
) -> int | None:
    """Return the fence in force, or ``None`` while it cannot be known.

    The store is read first: it has the fence of the newest leader before that
    leader sends its first order.  If the store does not answer, all other
    agents of the group are asked, and every one has to return a fence: one
    that stays silent could be the only one that the newest leader reached.
    """
    known = await read_fence()
    if known is not None:
        return known
    others = [agent for agent in agents if agent != instance]
    if not others:
        return None
    fences: list[int] = []

    async def ask(agent: str) -> None:
        order = map_orders.Order(
            group=group,
            leader=instance,
            fence=0,
            incarnation=0,
            sequence=0,
            body=map_orders.Ask(),
        )
        reply = await transport.order(rank_agent=agent, order=order)
        if isinstance(reply, map_orders.Reply) and reply.fence:
            fences.append(reply.fence)

    async with anyio.create_task_group() as tasks:
        for agent in others:
            tasks.start_soon(ask, agent)
    return max(fences) if len(fences) == len(others) else None
