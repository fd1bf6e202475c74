"""Sends a leader's orders to the agents of its group."""

import dataclasses
import enum
import math
from typing import Callable
from typing import Mapping
from typing import Protocol
from typing import Sequence

import anyio

from . import expert_maps
from . import map_orders


class Transport(Protocol):
    """Delivers orders to agents."""

    async def order(
        self, *, rank_agent: str, order: map_orders.Order
    ) -> map_orders.Reply | map_orders.Lost:
        """Deliver an order; return the reply, or ``Lost`` if none came."""


class Failure(enum.Enum):
    """Why a leader could not carry out an order or an inspection."""

    DEPOSED = 'an agent knows a higher fence'
    UNREACHED = 'an agent did not answer'
    REFUSED = 'an agent refused an order'


@dataclasses.dataclass(slots=True, kw_only=True)
class Counters:
    """Last numbers that a process gave to its orders and its maps.

    They outlive a :class:`GroupClient`.  A process whose lease has lapsed may
    take it again under the same fence if no other process took it.  If it
    numbered orders from 1 again, agents would refuse them as overtaken, and a
    new map could get the version of an old one.
    """

    orders: int = 0
    maps: int = 0


class GroupClient:
    """Sends the orders of one leader under one fence.

    It numbers the orders and stores the latest reply of each agent.  An order
    to all goes to the members: the agents that were listed when the group was
    last inspected.  An agent that is unlisted later stays a member; without
    it, a change could be released although that agent has not armed the map.

    :param agents: returns the names of the agents that are now listed for
        the group.
    :ivar replies: the latest reply of each agent, shown to operators.
    """

    __slots__ = (
        '_group',
        '_leader',
        '_fence',
        '_agents',
        '_transport',
        '_counters',
        '_incarnations',
        '_members',
        'replies',
    )

    def __init__(
        self,
        *,
        group: str,
        leader: str,
        fence: int,
        agents: Callable[[], Sequence[str]],
        transport: Transport,
        counters: Counters | None = None,
    ) -> None:
        self._group = group
        self._leader = leader
        self._fence = fence
        self._agents = agents
        self._transport = transport
        self._counters = counters or Counters()
        self._incarnations: dict[str, int] = {}
        self._members: tuple[str, ...] = ()
        self.replies: dict[str, map_orders.Reply | map_orders.Lost] = {}

    @property
    def fence(self) -> int:
        """Return the fence under which orders are sent."""
        return self._fence

    def members(self) -> tuple[str, ...]:
        """Return the agents that were listed at the last inspection."""
        return self._members

    def new_version(self) -> expert_maps.Version:
        """Return a version that no other map of the group has."""
        self._counters.maps += 1
        return expert_maps.Version(
            fence=self._fence, number=self._counters.maps
        )

    def slack(self) -> float:
        """Return the seconds by which every call of the group can be delayed.

        All ranks advance in lock-step, so a change delays the calls of every
        agent, not only those of the leader's own.
        """
        return min(
            (
                reply.slack
                for reply in self.replies.values()
                if isinstance(reply, map_orders.Reply)
            ),
            default=math.inf,
        )

    def find_agent(self, rank: int) -> str | None:
        """Return the agent that reported a rank in its latest reply."""
        for agent, reply in self.replies.items():
            if isinstance(reply, map_orders.Reply):
                if any(state.rank == rank for state in reply.states):
                    return agent
        return None

    async def inspect(
        self,
    ) -> tuple[map_orders.RankState, ...] | Failure:
        """Return the states of all ranks, after renewing the members.

        The agents that are now listed become the members.  No older leader
        can change the returned states any more.
        """
        self._members = tuple(self._agents())
        self._forget_former_members()
        return await self.inspect_members()

    async def inspect_members(
        self,
    ) -> tuple[map_orders.RankState, ...] | Failure:
        """Return the states of all ranks of the members.

        New agents first adopt this leader's fence and report their
        incarnation; then all agents are asked again.  An agent that restarted
        in between may know a lower fence and may have obeyed an older leader;
        it refuses the second order, which names the old incarnation.
        """
        new = [one for one in self._members if one not in self._incarnations]
        failure = await self.send_each(
            {agent: map_orders.Inspect() for agent in new}
        )
        if failure is not None:
            return failure
        failure = await self.send_all(map_orders.Confirm())
        if failure is not None:
            return failure
        return tuple(
            state
            for reply in self.replies.values()
            if isinstance(reply, map_orders.Reply)
            for state in reply.states
        )

    def _forget_former_members(self) -> None:
        for agent in set(self.replies) - set(self._members):
            del self.replies[agent]
        for agent in set(self._incarnations) - set(self._members):
            del self._incarnations[agent]

    async def send_all(self, body: map_orders.Body) -> Failure | None:
        """Send one order to all members; return a failure if there is one."""
        return await self.send_each({agent: body for agent in self._members})

    async def send_each(
        self, bodies: Mapping[str, map_orders.Body]
    ) -> Failure | None:
        """Send each agent its order; return a failure if there is one."""
        answers = await self.ask_each(bodies)
        for failure in Failure:
            if failure in answers.values():
                return failure
        return None

    async def ask_each(
        self, bodies: Mapping[str, map_orders.Body]
    ) -> dict[str, map_orders.Reply | Failure]:
        """Send each agent its order; return the result of each."""
        answers: dict[str, map_orders.Reply | Failure] = {}

        async def send(agent: str, body: map_orders.Body) -> None:
            answers[agent] = await self.send(agent, body)

        async with anyio.create_task_group() as tasks:
            for agent, body in bodies.items():
                tasks.start_soon(send, agent, body)
        return answers

    async def send(
        self, agent: str, body: map_orders.Body
    ) -> map_orders.Reply | Failure:
        """Send an order to one agent; return its reply if it obeyed."""
        self._counters.orders += 1
        order = map_orders.Order(
            group=self._group,
            leader=self._leader,
            fence=self._fence,
            incarnation=self._incarnations.get(agent, 0),
            sequence=self._counters.orders,
            body=body,
        )
        answer = await self._transport.order(rank_agent=agent, order=order)
        if isinstance(answer, map_orders.Lost):
            self.replies[agent] = answer
            return Failure.UNREACHED
        return self._evaluate(agent, answer)

    def _evaluate(
        self, agent: str, reply: map_orders.Reply
    ) -> map_orders.Reply | Failure:
        if reply.fence > self._fence:
            return Failure.DEPOSED
        if reply.expert_map is None:
            self.replies[agent] = reply
        match reply.refusal:
            case map_orders.Refusal.NONE:
                self._incarnations[agent] = reply.incarnation
                return reply
            case map_orders.Refusal.FENCE_OLD:
                return Failure.DEPOSED
            case map_orders.Refusal.INCARNATION:
                self._incarnations.pop(agent, None)
        return Failure.REFUSED
