"""The leader of one rank group: changes the expert map, one at a time.

A change goes: *prepare* (every rank loads weights), *hold* (one rank is told
not to enter step s), *arm* (every rank is told to use the new map from step
s + 1), *release*.  As ranks run in lock-step, none can enter step s + 1
while one is held before step s, so none uses the new map before all have
armed it.  In the common case the release comes before step s and the group
never waits; in the worst case it waits, and still no step mixes maps.

Whatever goes wrong, the leader falls back on settling the group: it looks at
all ranks and does the next thing that :mod:`.map_recovery` says.  A new
leader begins with that as well.
"""

import dataclasses
from typing import Awaitable
from typing import Callable
from typing import Protocol
from typing import Sequence

import anyio

from . import expert_maps
from . import map_conversation
from . import map_orders
from . import map_recovery
from . import steps

Trouble = map_conversation.Trouble

#: The rank that is held during a change; any one does.
HELD_RANK = 0


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Pace:
    """Times of the leader, in seconds or steps.

    :ivar poll: between two looks at the group.
    :ivar retry: between two attempts at something that failed.
    :ivar contend: between two attempts to take a lease that is another's;
        each costs a call of the platform's store.
    :ivar lead_steps: how far ahead of the group the hold is placed.  Too
        few and the group waits for the change; too many delay it only.
    """

    poll: float = 1.0
    retry: float = 0.25
    contend: float = 0.25
    lead_steps: int = 8


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Plan:
    """A change that the planner wants.

    :ivar layers: the new map.
    :ivar load_limit: seconds after which unfinished loads are given up.
    """

    layers: tuple[expert_maps.Layer, ...]
    load_limit: float


class Planner(Protocol):
    """Decides when to change the map, and to what."""

    async def plan(
        self,
        *,
        expert_map: expert_maps.ExpertMap,
        conversation: map_conversation.Conversation,
    ) -> Plan | None:
        """Return the change to make now, if any."""

    def ended(self, *, plan: Plan, done: bool) -> None:
        """Learn whether a change took place."""


class Lease(Protocol):
    """What the leader needs of :class:`.leases.Lease`."""

    async def acquire(self) -> object:
        """Take the lease; the answer has ``fence`` when it is held."""

    async def renew(self) -> object:
        """Prolong it."""

    async def release(self) -> None:
        """Give it up, so that another agent need not wait for its end."""

    def held(self) -> bool:
        """Say whether it is still held, by the holder's own clock."""


class Leader:
    """Leads one group for as long as it holds the lease.

    :param agents: returns the names of the agents that carry the group.
    :param renew_seconds: between two renewals of the lease.
    """

    __slots__ = (
        '_group',
        '_instance',
        '_shape',
        '_agents',
        '_transport',
        '_lease',
        '_renew_seconds',
        '_planner',
        '_pace',
        '_clock',
        '_sleep',
        '_number',
        '_current',
        '_resigning',
        '_in_office',
        'decision',
        'trouble',
        'conversation',
    )

    def __init__(
        self,
        *,
        group: str,
        instance: str,
        shape: expert_maps.Shape,
        agents: Callable[[], Sequence[str]],
        transport: map_conversation.Transport,
        lease: Lease,
        renew_seconds: float,
        planner: Planner,
        clock: Callable[[], float],
        pace: Pace | None = None,
        sleep: Callable[[float], Awaitable[None]] = anyio.sleep,
    ) -> None:
        self._group = group
        self._instance = instance
        self._shape = shape
        self._agents = agents
        self._transport = transport
        self._lease = lease
        self._renew_seconds = renew_seconds
        self._planner = planner
        self._pace = pace or Pace()
        self._clock = clock
        self._sleep = sleep
        self._number = 0
        self._current: expert_maps.ExpertMap | None = None
        self._resigning = False
        self._in_office = False
        #: What the leader is at, for operators.
        self.decision: map_recovery.Decision | None = None
        self.trouble: Trouble | None = None
        self.conversation: map_conversation.Conversation | None = None

    async def run(self) -> None:
        """Take the lease and lead, again and again, until resigned."""
        while not self._resigning:
            taken = await self._lease.acquire()
            fence = getattr(taken, 'fence', None)
            if fence is not None:
                await self._hold_office(fence)
            await self._sleep(self._pace.contend)

    async def resign(self) -> None:
        """Return when the group is settled and the lease given up.

        A leader that just stopped in the middle of a change would leave a
        rank held.  The whole group would wait until the lease has lapsed
        and the next leader has found it, and every stream with it.
        """
        self._resigning = True
        while self._in_office:
            await self._sleep(self._pace.retry)

    async def _hold_office(self, fence: int) -> None:
        self._in_office = True
        try:
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(self._renew)
                await self._lead(fence)
                tasks.cancel_scope.cancel()
        finally:
            self._in_office = False

    async def _renew(self) -> None:
        while True:
            await self._sleep(self._renew_seconds)
            await self._lease.renew()

    async def _lead(self, fence: int) -> None:
        """Settle the group and change its map until deposed.

        A leader whose lease has lapsed begins nothing new, but goes on
        settling: with the store away nobody else can, and the group may be
        waiting for a release.  That is safe as long as agents obey it; they
        refuse it from the moment a newer leader has spoken to them.
        """
        talk = map_conversation.Conversation(
            group=self._group,
            leader=self._instance,
            fence=fence,
            agents=self._agents,
            transport=self._transport,
        )
        self.conversation = talk
        self._number = 0
        while True:
            trouble = await self._settle(talk)
            if trouble == Trouble.DEPOSED or not self._lease.held():
                return
            if self._resigning:
                await self._lease.release()
                return
            if not await self._consider(talk):
                await self._sleep(self._pace.poll)

    async def _settle(
        self, talk: map_conversation.Conversation
    ) -> Trouble | None:
        """Bring all ranks to one map with nothing armed, held or left."""
        while True:
            states = await talk.inspect()
            if isinstance(states, Trouble):
                trouble: Trouble | None = states
            else:
                self.decision = map_recovery.decide(
                    states=states, ranks=self._shape.ranks
                )
                if isinstance(self.decision, map_recovery.Settled):
                    self.trouble = None
                    return None
                trouble = await self._act(talk, self.decision)
            self.trouble = trouble
            if trouble == Trouble.DEPOSED:
                return trouble
            if trouble is not None or not _goes_on(self.decision):
                await self._sleep(self._pace.retry)

    async def _act(
        self,
        talk: map_conversation.Conversation,
        decision: map_recovery.Decision,
    ) -> Trouble | None:
        match decision:
            case map_recovery.Start():
                return await self._start_group(talk)
            case map_recovery.Undo():
                return await talk.send_all(map_orders.Undo())
            case map_recovery.Admit(schedule=schedule, states=states):
                return await self._admit(talk, schedule, states)
            case map_recovery.Release(ranks=ranks):
                return await self._release(talk, ranks)
        return None

    async def _start_group(
        self, talk: map_conversation.Conversation
    ) -> Trouble | None:
        self._number += 1
        version = expert_maps.Version(fence=talk.fence, number=self._number)
        first = expert_maps.spread(shape=self._shape, version=version)
        schedule = expert_maps.Schedule(in_force=version)
        while True:
            trouble = await talk.send_all(map_orders.Prepare(expert_map=first))
            if trouble is not None:
                return trouble
            states = await talk.inspect()
            if isinstance(states, Trouble):
                return states
            if any(state.schedule is not None for state in states):
                return None
            if all(version in state.loaded for state in states):
                return await self._admit(talk, schedule, states)
            await self._sleep(self._pace.retry)

    async def _admit(
        self,
        talk: map_conversation.Conversation,
        schedule: expert_maps.Schedule,
        states: Sequence[map_orders.RankState],
    ) -> Trouble | None:
        """Load maps on ranks that have none, then let them adopt."""
        waiting = False
        for state in states:
            agent = talk.find_agent(state.rank)
            if agent is None:
                return Trouble.UNREACHED
            lacking = set(schedule.versions()) - set(state.loaded)
            for version in sorted(lacking):
                waiting = True
                trouble = await self._load(talk, agent, state.rank, version)
                if trouble is not None:
                    return trouble
            if lacking:
                continue
            answer = await talk.send(
                agent,
                map_orders.Adopt(rank=state.rank, schedule=schedule),
            )
            if isinstance(answer, Trouble):
                return answer
        if waiting:
            await self._sleep(self._pace.retry)
        return None

    async def _load(
        self,
        talk: map_conversation.Conversation,
        agent: str,
        rank: int,
        version: expert_maps.Version,
    ) -> Trouble | None:
        found = await self._fetch(talk, version)
        if isinstance(found, Trouble):
            return found
        answer = await talk.send(
            agent, map_orders.Prepare(expert_map=found, ranks=(rank,))
        )
        return answer if isinstance(answer, Trouble) else None

    async def _fetch(
        self,
        talk: map_conversation.Conversation,
        version: expert_maps.Version,
    ) -> expert_maps.ExpertMap | Trouble:
        """Return a map's contents from whichever agent has them."""
        trouble = Trouble.REFUSED
        for agent in self._agents():
            answer = await talk.send(agent, map_orders.Fetch(version=version))
            if isinstance(answer, Trouble):
                trouble = answer
                continue
            if answer.expert_map is not None:
                return answer.expert_map
        return trouble

    async def _release(
        self, talk: map_conversation.Conversation, ranks: Sequence[int]
    ) -> Trouble | None:
        for rank in ranks:
            agent = talk.find_agent(rank)
            if agent is None:
                return Trouble.UNREACHED
            await steps.reach(steps.Step.MAP_RELEASE_SENT, self._instance)
            answer = await talk.send(agent, map_orders.Release(rank=rank))
            if isinstance(answer, Trouble):
                return answer
            await steps.reach(steps.Step.MAP_RELEASED, self._instance)
        return None

    async def _consider(self, talk: map_conversation.Conversation) -> bool:
        """Ask the planner, and change the map if it wants that.

        :returns: whether a change was begun, so that the group is to be
            settled at once.
        """
        decision = self.decision
        if not isinstance(decision, map_recovery.Settled):
            return False
        current = await self._find_current(talk, decision.version)
        if isinstance(current, Trouble):
            return False
        plan = await self._planner.plan(expert_map=current, conversation=talk)
        if plan is None:
            return False
        done = await self._change(talk, plan)
        self._planner.ended(plan=plan, done=done)
        return True

    async def _find_current(
        self,
        talk: map_conversation.Conversation,
        version: expert_maps.Version,
    ) -> expert_maps.ExpertMap | Trouble:
        """Return the map in force, fetched once for each version.

        A version never names two maps.  Fetched at every look, a map of 61
        layers would cost more than all other control of the instance.
        """
        if self._current is not None and self._current.version == version:
            return self._current
        found = await self._fetch(talk, version)
        if isinstance(found, expert_maps.ExpertMap):
            self._current = found
        return found

    async def _change(
        self, talk: map_conversation.Conversation, plan: Plan
    ) -> bool:
        """Take a change up to the point where every rank has armed it.

        On any trouble it stops where it is, and settling undoes or finishes
        what stands.
        """
        self._number += 1
        version = expert_maps.Version(fence=talk.fence, number=self._number)
        new = expert_maps.ExpertMap(version=version, layers=plan.layers)
        if not await self._prepare(talk, new, plan.load_limit):
            return False
        states = await talk.inspect()
        if isinstance(states, Trouble) or not self._lease.held():
            return False
        held = await self._hold(talk, states)
        if held is None:
            return False
        await steps.reach(steps.Step.MAP_ARM_SENT, self._instance)
        trouble = await talk.send_all(
            map_orders.Arm(version=version, from_step=held + 1)
        )
        if trouble is not None:
            return False
        await steps.reach(steps.Step.MAP_ARMED, self._instance)
        await self._release(talk, (HELD_RANK,))
        return True

    async def _prepare(
        self,
        talk: map_conversation.Conversation,
        new: expert_maps.ExpertMap,
        limit: float,
    ) -> bool:
        """Have every rank load a map's weights; give up at the limit."""
        until = self._clock() + limit
        await steps.reach(steps.Step.MAP_PREPARE_SENT, self._instance)
        trouble = await talk.send_all(map_orders.Prepare(expert_map=new))
        if trouble is not None:
            return False
        while self._clock() < until:
            states = await talk.inspect()
            if isinstance(states, Trouble):
                return False
            if all(new.version in state.loaded for state in states):
                await steps.reach(steps.Step.MAP_PREPARED, self._instance)
                return True
            if any(state.schedule is None for state in states):
                return False
            await self._sleep(self._pace.retry)
        return False

    async def _hold(
        self,
        talk: map_conversation.Conversation,
        states: Sequence[map_orders.RankState],
    ) -> int | None:
        """Hold one rank; return the step before which it holds."""
        entered = max((state.entered for state in states), default=0)
        rank = HELD_RANK
        agent = talk.find_agent(rank)
        if agent is None:
            return None
        await steps.reach(steps.Step.MAP_HOLD_SENT, self._instance)
        answer = await talk.send(
            agent,
            map_orders.Hold(
                rank=rank, before_step=entered + self._pace.lead_steps
            ),
        )
        if isinstance(answer, Trouble):
            return None
        for state in answer.states:
            if state.rank == rank and state.hold_before is not None:
                await steps.reach(steps.Step.MAP_HELD, self._instance)
                return state.hold_before
        return None


def _goes_on(decision: map_recovery.Decision | None) -> bool:
    """Say whether to look again at once, as something has been done."""
    return not isinstance(
        decision,
        map_recovery.Missing | map_recovery.Disagree | map_recovery.Await,
    )
