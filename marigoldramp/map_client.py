"""One leader's talk with the agents of its group, under one fence."""

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
    """Carries orders to agents."""

    async def order(
        self, *, rank_agent: str, order: map_orders.Order
    ) -> map_orders.Reply | map_orders.Lost:
        """Deliver an order and return the reply, or that it is lost."""


class Failure(enum.Enum):
    """Why a leader could not go on with what it was doing."""

    DEPOSED = 'an agent knows a higher fence'
    UNREACHED = 'an agent did not answer'
    REFUSED = 'an agent refused an order'


@dataclasses.dataclass(slots=True, kw_only=True)
class Numbers:
    """Numbers that a leading process gives its orders and maps.

    They go on from one conversation to the next.  A lease that has lapsed,
    with nobody else to take it, is taken again under the same fence; were
    orders numbered from 1 again, agents would refuse them as overtaken, and
    a new map could be named like an old one.
    """

    orders: int = 0
    maps: int = 0


class GroupClient:
    """Numbers a leader's orders and remembers what agents answered.

    An order to all goes to the members: the agents that were listed when the
    group was last inspected.  One that is no longer listed in between stays a
    member; were it left out, a change could end with all others armed.

    :param agents: returns the names of the agents that are now listed for
        the group.
    """

    __slots__ = (
        '_group',
        '_leader',
        '_fence',
        '_agents',
        '_transport',
        '_numbers',
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
        numbers: Numbers | None = None,
    ) -> None:
        self._group = group
        self._leader = leader
        self._fence = fence
        self._agents = agents
        self._transport = transport
        self._numbers = numbers or Numbers()
        self._incarnations: dict[str, int] = {}
        self._members: tuple[str, ...] = ()
        #: The latest answer of each agent, for operators.
        self.replies: dict[str, map_orders.Reply | map_orders.Lost] = {}

    @property
    def fence(self) -> int:
        """Return the fence under which this leader gives orders."""
        return self._fence

    def members(self) -> tuple[str, ...]:
        """Return the agents that were listed at the last inspection."""
        return self._members

    def name_map(self) -> expert_maps.Version:
        """Return a version that no other map of the group has."""
        self._numbers.maps += 1
        return expert_maps.Version(
            fence=self._fence, number=self._numbers.maps
        )

    def slack(self) -> float:
        """Return the seconds by which every call of the group can wait.

        All ranks advance together, so a change delays the calls beside
        every agent, not only those beside the leader.
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
        """Return the agent that carried a rank when it last answered."""
        for agent, reply in self.replies.items():
            if isinstance(reply, map_orders.Reply):
                if any(state.rank == rank for state in reply.states):
                    return agent
        return None

    async def inspect(
        self,
    ) -> tuple[map_orders.RankState, ...] | Failure:
        """Return the states of all ranks, none of which an older leader
        can still change.

        The agents that are now listed become the members.
        """
        self._members = tuple(self._agents())
        self._forget_others()
        return await self.inspect_members()

    async def inspect_members(
        self,
    ) -> tuple[map_orders.RankState, ...] | Failure:
        """Return the states of all ranks of the members.

        Agents first take on this leader's fence and tell their incarnation;
        then all are asked again.  An agent that restarted in between may
        know a lower fence and may have obeyed an older leader; the second
        question, which names the incarnation, finds it out.
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

    def _forget_others(self) -> None:
        for agent in set(self.replies) - set(self._members):
            del self.replies[agent]
        for agent in set(self._incarnations) - set(self._members):
            del self._incarnations[agent]

    async def send_all(self, body: map_orders.Body) -> Failure | None:
        """Give all members one order; return what went wrong, if anything."""
        return await self.send_each({agent: body for agent in self._members})

    async def send_each(
        self, bodies: Mapping[str, map_orders.Body]
    ) -> Failure | None:
        """Give each agent its order; return what went wrong, if anything."""
        answers = await self.ask_each(bodies)
        for failure in Failure:
            if failure in answers.values():
                return failure
        return None

    async def ask_each(
        self, bodies: Mapping[str, map_orders.Body]
    ) -> dict[str, map_orders.Reply | Failure]:
        """Give each agent its order; return what became of each."""
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
        """Give one agent an order; return its reply if it obeyed."""
        self._numbers.orders += 1
        order = map_orders.Order(
            group=self._group,
            leader=self._leader,
            fence=self._fence,
            incarnation=self._incarnations.get(agent, 0),
            sequence=self._numbers.orders,
            body=body,
        )
        answer = await self._transport.order(rank_agent=agent, order=order)
        if isinstance(answer, map_orders.Lost):
            self.replies[agent] = answer
            return Failure.UNREACHED
        return self._take(agent, answer)

    def _take(
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
