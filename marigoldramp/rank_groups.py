"""An agent's part in a rank group: serving its ranks and leading the group.

A group is led by one of the agents that run its ranks.  Two of them, chosen by
rendezvous hashing over the instance list, contend for the lease; more would
only add calls to the platform's store.
"""

import math
from typing import Callable
from typing import Mapping
from typing import Sequence

import anyio
import msgspec

from . import bundle
from . import expert_maps
from . import leases
from . import map_fences
from . import map_leader
from . import map_orders
from . import map_ranks
from . import peers
from . import planner
from . import popularity
from . import rendezvous
from . import store as store_module

MAX_CONTENDERS = 2
LEASE_SECONDS = 10.0
RENEW_SECONDS = 3.0
#: Time between two attempts of a contender to take the lease.
CONTEND_SECONDS = 5.0
ORDER_SECONDS = 2.0
#: Longest wait at a planned stop for the group to be reconciled.
RESIGN_SECONDS = 10.0
MAX_POLL_SECONDS = 5.0
INSPECTIONS_PER_INTERVAL = 4


class PeerTransport:
    """Delivers orders to the agents of a group over gRPC.

    :param find: returns an agent's row of the instance list.
    """

    __slots__ = ('_client', '_find')

    def __init__(
        self,
        *,
        client: peers.Client,
        find: Callable[[str], store_module.Instance | None],
    ) -> None:
        self._client = client
        self._find = find

    async def order(
        self, *, rank_agent: str, order: map_orders.Order
    ) -> map_orders.Reply | map_orders.Lost:
        """Deliver an order; return the reply, or ``Lost`` if none came."""
        row = self._find(rank_agent)
        if row is None:
            return map_orders.Lost(detail='the agent is not listed')
        reply = await self._client.order(
            row.host,
            row.control_port,
            receiver=rank_agent,
            order=peers.MapOrder(
                group=order.group,
                fence=order.fence,
                leader=order.leader,
                order=msgspec.msgpack.encode(order),
            ),
            timeout=ORDER_SECONDS,
        )
        if isinstance(reply, peers.Unreachable):
            return map_orders.Lost(detail=reply.detail)
        return decode_reply(reply)


def decode_reply(reply: peers.MapReply) -> map_orders.Reply | map_orders.Lost:
    """Return an agent's reply, or ``Lost`` if it cannot be decoded."""
    try:
        return msgspec.msgpack.decode(reply.state, type=map_orders.Reply)
    except msgspec.MsgspecError as error:
        return map_orders.Lost(detail=str(error))


class ContendedLease(leases.LeaseWrapper):
    """A lease for which only some agents of the group contend.

    The others return ``NotHeld`` without a call to the store.
    """

    __slots__ = ('_may_contend',)

    def __init__(
        self, *, lease: leases.Lease, may_contend: Callable[[], bool]
    ) -> None:
        super().__init__(lease=lease)
        self._may_contend = may_contend

    async def acquire(self) -> leases.Held | leases.NotHeld:
        """Take the lease if this agent is one of the contenders."""
        if not self._may_contend():
            return leases.NotHeld(detail='other agents come first')
        return await self._lease.acquire()


class RankGroup:
    """Serves one agent's ranks and leads their group when it may.

    :param name: the group's name.
    :param list_instances: returns the instance list as it was last read.
    :param engines: engine of each of this agent's ranks.
    :param slack: see :class:`.map_ranks.OrderHandler`.
    """

    def __init__(
        self,
        *,
        name: str,
        instance: str,
        incarnation: int,
        engines: Mapping[int, map_ranks.RankEngine],
        platform: store_module.PlatformStore,
        client: peers.Client,
        list_instances: Callable[[], Sequence[store_module.Instance]],
        clock: Callable[[], float],
        timing: map_leader.Timing | None = None,
        slack: Callable[[], float] = lambda: math.inf,
    ) -> None:
        self._name = name
        self._instance = instance
        self._incarnation = incarnation
        self._engines = dict(engines)
        self._platform = platform
        self._list_instances = list_instances
        self._clock = clock
        self._timing = timing
        self._report_count = 0
        self._key = store_module.Key(kind=leases.KIND, name=f'group-{name}')
        self._transport = PeerTransport(client=client, find=self._find)
        self.leader: map_leader.Leader | None = None
        self.order_handler = map_ranks.OrderHandler(
            group=name,
            engines=engines,
            incarnation=incarnation,
            learn_fence=self._learn_fence,
            slack=slack,
        )

    async def lead(
        self, *, group: bundle.Group, map_planner: map_leader.Planner
    ) -> None:
        """Contend for the group's lease; lead the group while holding it."""
        self.leader = map_leader.Leader(
            group=self._name,
            instance=self._instance,
            shape=expert_maps.Shape(
                ranks=group.ranks,
                experts=group.experts,
                layers=group.layers,
                slots=group.slots,
            ),
            agents=self.agents,
            transport=self._transport,
            lease=self._make_lease(),
            renew_seconds=RENEW_SECONDS,
            planner=map_planner,
            clock=self._clock,
            timing=self._timing or _choose_timing(group),
        )
        await self.leader.run()

    async def resign(self) -> None:
        """Stop leading; wait a limited time for the group to be reconciled."""
        if self.leader is not None:
            with anyio.move_on_after(RESIGN_SECONDS):
                await self.leader.resign()

    def _make_lease(self) -> ContendedLease:
        lease = leases.Lease(
            store=self._platform,
            name=self._key.name,
            holder=self._instance,
            seconds=LEASE_SECONDS,
            clock=self._clock,
        )
        return ContendedLease(lease=lease, may_contend=self._may_contend)

    async def handle(self, order: peers.MapOrder) -> peers.MapReply:
        """Obey or refuse an order of an authenticated peer."""
        try:
            decoded = msgspec.msgpack.decode(
                order.order, type=map_orders.Order
            )
        except msgspec.MsgspecError:
            reason = map_orders.Refusal.MALFORMED
            return peers.MapReply(accepted=False, reason=reason)
        if isinstance(decoded.body, map_orders.Count):
            reply = await self._count()
        else:
            reply = await self.order_handler.handle(decoded)
        return peers.MapReply(
            accepted=reply.accepted,
            fence=reply.fence,
            reason=reply.refusal.value,
            state=msgspec.msgpack.encode(reply),
        )

    async def _count(self) -> map_orders.Reply:
        """Return the merged counts of this agent's ranks."""
        fetched = [await one.fetch_report() for one in self._engines.values()]
        reports = [one for one in fetched if one is not None]
        self._report_count += 1
        merged = popularity.merge(
            reports=reports,
            series=self._incarnation,
            sequence=self._report_count,
        )
        return map_orders.Reply(
            refusal=map_orders.Refusal.NONE,
            fence=self.order_handler.fence or 0,
            incarnation=self._incarnation,
            reports=(merged,) if reports else (),
        )

    async def collect(self) -> tuple[planner.AgentReports, ...]:
        """Return the counts of the ranks of all agents of the group.

        An agent that does not answer is left out; the estimate continues
        without it.
        """
        collected: list[planner.AgentReports] = []

        async def ask(agent: str) -> None:
            order = map_orders.Order(
                group=self._name,
                leader=self._instance,
                fence=0,
                incarnation=0,
                sequence=0,
                body=map_orders.Count(),
            )
            reply = await self._transport.order(rank_agent=agent, order=order)
            if isinstance(reply, map_orders.Reply):
                collected.append(
                    planner.AgentReports(agent=agent, reports=reply.reports)
                )

        async with anyio.create_task_group() as tasks:
            for agent in self.agents():
                tasks.start_soon(ask, agent)
        return tuple(sorted(collected, key=lambda one: one.agent))

    def agents(self) -> Sequence[str]:
        """Return the names of the agents that run the group's ranks."""
        return [
            row.name
            for row in self._list_instances()
            if row.group == self._name
        ]

    def _find(self, name: str) -> store_module.Instance | None:
        for row in self._list_instances():
            if row.name == name:
                return row
        return None

    def _may_contend(self) -> bool:
        staying = [
            row.name
            for row in self._list_instances()
            if row.group == self._name and not row.leaving
        ]
        return self._instance in rendezvous.choose(
            key=self._key.name, names=staying, count=MAX_CONTENDERS
        )

    async def _learn_fence(self) -> int | None:
        return await map_fences.learn(
            group=self._name,
            instance=self._instance,
            agents=self.agents(),
            transport=self._transport,
            read_fence=self._read_fence,
        )

    async def _read_fence(self) -> int | None:
        return await map_fences.read(platform=self._platform, key=self._key)


def _choose_timing(group: bundle.Group) -> map_leader.Timing:
    """Return how often the leader inspects its group.

    Each inspection asks every agent; four in a planning interval are enough
    to plan in time.
    """
    poll = min(
        MAX_POLL_SECONDS, group.interval_seconds / INSPECTIONS_PER_INTERVAL
    )
    return map_leader.Timing(
        poll_seconds=poll, contend_seconds=CONTEND_SECONDS
    )
