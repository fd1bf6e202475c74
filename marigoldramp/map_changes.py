"""One change of a group's map: prepare, hold, arm, release.

*Prepare*: every rank loads weights.  *Hold*: one rank is told not to enter
step s.  *Arm*: every rank is told to use the new map from step s + 1.
*Release* the held rank.  As ranks run in lock-step, none can enter step s + 1
while one is held before step s, so none uses the new map before all have
armed it.  In the common case the release comes before step s and the group
never waits; in the worst case it waits, and still no step mixes maps.
"""

import dataclasses
from typing import Awaitable
from typing import Callable
from typing import Sequence

import anyio

from . import expert_maps
from . import map_conversation
from . import map_orders
from . import map_settling
from . import steps

Trouble = map_conversation.Trouble

#: The rank that is held during a change; any one does.
HELD_RANK = 0

#: Seconds for which a loaded change waits until calls in flight can wait.
#: Loaded weights take memory, so they are dropped after that.
SLACK_PATIENCE = 10.0


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Plan:
    """A change that the planner wants.

    :ivar layers: the new map.
    :ivar load_limit: seconds after which unfinished loads are given up.
    :ivar stall_seconds: how long the group may have to wait; the change is
        not armed while a call in flight cannot wait so long.
    """

    layers: tuple[expert_maps.Layer, ...]
    load_limit: float
    stall_seconds: float = 0.0


class Changer:
    """Makes changes in the name of one leader.

    :param may_go_on: says whether the leader's lease still lasts.
    :param fenced: whether ranks refuse orders of older leaders.
    """

    __slots__ = (
        '_instance',
        '_pace',
        '_clock',
        '_sleep',
        '_may_go_on',
        '_fenced',
    )

    def __init__(
        self,
        *,
        instance: str,
        pace: map_settling.Pace,
        clock: Callable[[], float],
        may_go_on: Callable[[], bool],
        fenced: bool = True,
        sleep: Callable[[float], Awaitable[None]] = anyio.sleep,
    ) -> None:
        self._instance = instance
        self._pace = pace
        self._clock = clock
        self._may_go_on = may_go_on
        self._fenced = fenced
        self._sleep = sleep

    async def change(
        self,
        talk: map_conversation.Conversation,
        plan: Plan,
    ) -> bool:
        """Take a change up to the release; return whether all have armed it.

        On any trouble it stops where it is, and settling undoes or finishes
        what stands.
        """
        version = talk.name_map()
        new = expert_maps.ExpertMap(version=version, layers=plan.layers)
        if not await self._prepare(talk, new, plan.load_limit):
            return False
        states = await self._await_slack(talk, plan.stall_seconds)
        if isinstance(states, Trouble) or not self._may_go_on():
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
        await map_settling.release(
            talk, (self._choose_held(talk, states),), self._instance
        )
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

    async def _await_slack(
        self, talk: map_conversation.Conversation, stall: float
    ) -> tuple[map_orders.RankState, ...] | Trouble:
        """Return the states of all ranks once every call can wait.

        Loading took seconds, and calls have begun since the plan was made.
        """
        until = self._clock() + SLACK_PATIENCE
        while True:
            states = await talk.inspect()
            if isinstance(states, Trouble) or talk.slack() >= stall:
                return states
            if self._clock() >= until or not self._may_go_on():
                return Trouble.REFUSED
            await self._sleep(self._pace.retry)

    async def _hold(
        self,
        talk: map_conversation.Conversation,
        states: Sequence[map_orders.RankState],
    ) -> int | None:
        """Hold one rank; return the step before which it holds.

        A step that is held already is another leader's, who may release it
        at any moment.
        """
        if any(state.hold_before is not None for state in states):
            return None
        entered = max((state.entered for state in states), default=0)
        rank = self._choose_held(talk, states)
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

    def _choose_held(
        self,
        talk: map_conversation.Conversation,
        states: Sequence[map_orders.RankState],
    ) -> int:
        """Return the rank that is held during a change; any one does.

        Without fences, leaders that follow each other hold different ranks,
        so that a late copy of an order to release, from the one before, ends
        nothing of ours.
        """
        return HELD_RANK if self._fenced else talk.fence % len(states)
