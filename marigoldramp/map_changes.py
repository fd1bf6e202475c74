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

from absl import logging
import anyio

from . import expert_maps
from . import leases
from . import logs
from . import map_client
from . import map_orders
from . import map_reconciliation
from . import steps

Failure = map_client.Failure

#: The rank that is held during a change; any one does.
HELD_RANK = 0

#: Steps by which a held step is ahead of the last one that was reported, where
#: loads are timed: a report is 0.2 s old, about three steps.  One that has
#: begun is refused, and the next one tried.
FIRST_LEAD = 3
MOST_LEAD = 16
#: Steps that are added while orders are slow to be obeyed, and seconds for
#: which one that was counts.  Each order without a reply takes 0.1 s, and the
#: group stands while ranks are still to be told to arm or to go on; five more
#: steps take 0.35 s.  Without them streams of a loaded group, of which a tenth
#: of the orders went unanswered, had pauses of 0.17 to 0.23 s.
SLOW_LEAD = 5
SLOW_SECONDS = 6.0
#: Seconds from which on ordering all ranks counts as slow; usual is 0.02 to
#: 0.06, and an order that is sent again takes 0.1.
SLOW_ORDERS = 0.1
#: Seconds for which ranks that still load are told to arm again and again.
ARM_PATIENCE = 0.4
ARM_RETRY = 0.02

#: Seconds for which a loaded change waits until calls in flight can wait.
#: Loaded weights take memory, so they are dropped after that.
SLACK_PATIENCE = 10.0


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Plan:
    """A change that the planner wants.

    :ivar layers: the new map.
    :ivar load_limit: seconds after which unfinished loads are given up.
    :ivar load_seconds: time that loads take, if it is known.  The change goes
        on after it without waiting for all ranks to report, which takes
        0.3 s longer; a rank that is not ready refuses to arm.
    :ivar stall_seconds: how long the group may have to wait; the change is
        not armed while a call in flight cannot wait so long.
    """

    layers: tuple[expert_maps.Layer, ...]
    load_limit: float
    load_seconds: float | None = None
    stall_seconds: float = 0.0


class Changer:
    """Makes changes in the name of one leader.

    :param may_go_on: says whether the leader's lease still lasts.
    :param fenced: whether ranks refuse orders of older leaders.
    """

    __slots__ = (
        '_instance',
        '_timing',
        '_clock',
        '_sleep',
        '_may_go_on',
        '_fenced',
        '_slow_until',
    )

    def __init__(
        self,
        *,
        instance: str,
        timing: map_reconciliation.Timing,
        clock: Callable[[], float],
        may_go_on: Callable[[], bool],
        fenced: bool = True,
        sleep: Callable[[float], Awaitable[None]] = anyio.sleep,
    ) -> None:
        self._instance = instance
        self._timing = timing
        self._clock = clock
        self._may_go_on = may_go_on
        self._fenced = fenced
        self._slow_until = float('-inf')
        self._sleep = sleep

    async def change(
        self,
        client: map_client.GroupClient,
        plan: Plan,
    ) -> bool:
        """Take a change up to the release; return whether all have armed it.

        On any trouble it stops where it is, and settling undoes or finishes
        what stands.
        """
        version = client.name_map()
        new = expert_maps.ExpertMap(version=version, layers=plan.layers)
        if plan.load_seconds is None:
            held = await self._hold_loaded(client, new, plan)
            patience = 0.0
        else:
            held = await self._hold_timed(client, new, plan.load_seconds)
            patience = ARM_PATIENCE
        if held is None:
            return False
        rank = self._choose_held(client)
        logging.info(
            'step held',
            extra=logs.fields(version=str(version), rank=rank, step=held),
        )
        await steps.reach(steps.Step.MAP_ARM_SENT, self._instance)
        order = map_orders.Arm(version=version, from_step=held + 1)
        if not await self._arm(client, order, patience):
            return False
        logging.info(
            'map armed',
            extra=logs.fields(
                version=str(version),
                from_step=order.from_step,
                ranks=len(client.members()),
            ),
        )
        await steps.reach(steps.Step.MAP_ARMED, self._instance)
        await map_reconciliation.release(
            client, (self._choose_held(client),), self._instance
        )
        return True

    async def _hold_loaded(
        self,
        client: map_client.GroupClient,
        new: expert_maps.ExpertMap,
        plan: Plan,
    ) -> int | None:
        """Hold a rank once all have reported that they have loaded."""
        if not await self._prepare(client, new, plan.load_limit):
            return None
        states = await self._await_slack(client, plan.stall_seconds)
        if isinstance(states, Failure) or not self._may_go_on():
            return None
        if _is_held(states):
            return None
        agent = client.find_agent(self._choose_held(client))
        if agent is None:
            return None
        entered = max((state.entered for state in states), default=0)
        return await self._hold_first(
            client, agent, entered + self._timing.lead_steps
        )

    async def _hold_timed(
        self,
        client: map_client.GroupClient,
        new: expert_maps.ExpertMap,
        seconds: float,
    ) -> int | None:
        """Hold a rank after the time in which all should have loaded."""
        await steps.reach(steps.Step.MAP_PREPARE_SENT, self._instance)
        began = self._clock()
        failure = await client.send_all(map_orders.Prepare(expert_map=new))
        self._note_orders(since=began)
        if failure is not None:
            return None
        await self._sleep(seconds)
        agent = client.find_agent(self._choose_held(client))
        if agent is None:
            return None
        # The step that the rank has begun at the least is all that is asked.
        # A report that shows the effect of all orders comes 0.35 s after the
        # last one; waiting for it left a group of 72 ranks uneven for 0.45 s
        # from each plan on instead of 0.26.
        answer = await client.send(agent, map_orders.Confirm(settled=False))
        if isinstance(answer, Failure) or not self._may_go_on():
            return None
        if _is_held(answer.states):
            return None
        first = answer.states[0].entered + FIRST_LEAD
        if self._clock() < self._slow_until:
            first += SLOW_LEAD
        return await self._hold_first(client, agent, first)

    async def _hold_first(
        self, client: map_client.GroupClient, agent: str, first: int
    ) -> int | None:
        """Hold one rank before the first step that it does not refuse."""
        for step in range(first, first + MOST_LEAD):
            if not self._may_hold(client, step):
                continue
            held = await self._hold(client, agent, step)
            if held != Failure.REFUSED:
                return held if isinstance(held, int) else None
        return None

    async def _arm(
        self,
        client: map_client.GroupClient,
        order: map_orders.Arm,
        patience: float,
    ) -> bool:
        """Have all ranks arm a map; return whether all of them have."""
        began = self._clock()
        left = tuple(client.members())
        while left:
            answers = await client.ask_each({agent: order for agent in left})
            self._note_orders(since=began)
            left = tuple(
                agent
                for agent, answer in answers.items()
                if isinstance(answer, Failure)
            )
            if any(answers[one] != Failure.REFUSED for one in left):
                return False
            if left and self._clock() - began >= patience:
                return False
            if left:
                await self._sleep(ARM_RETRY)
        return True

    def _note_orders(self, *, since: float) -> None:
        """Learn how long ranks took to obey."""
        now = self._clock()
        if now - since >= SLOW_ORDERS:
            self._slow_until = now + SLOW_SECONDS

    async def _prepare(
        self,
        client: map_client.GroupClient,
        new: expert_maps.ExpertMap,
        limit: float,
    ) -> bool:
        """Have every rank load a map's weights; give up at the limit."""
        until = self._clock() + limit
        await steps.reach(steps.Step.MAP_PREPARE_SENT, self._instance)
        failure = await client.send_all(map_orders.Prepare(expert_map=new))
        if failure is not None:
            return False
        while self._clock() < until:
            states = await client.inspect_members()
            if isinstance(states, Failure):
                return False
            if all(new.version in state.loaded for state in states):
                await steps.reach(steps.Step.MAP_PREPARED, self._instance)
                return True
            if any(state.schedule is None for state in states):
                return False
            await self._sleep(self._timing.retry_seconds)
        return False

    async def _await_slack(
        self, client: map_client.GroupClient, stall: float
    ) -> tuple[map_orders.RankState, ...] | Failure:
        """Return the states of all ranks once every call can wait.

        Loading took seconds, and calls have begun since the plan was made.
        """
        until = self._clock() + SLACK_PATIENCE
        while True:
            states = await client.inspect_members()
            if isinstance(states, Failure) or client.slack() >= stall:
                return states
            if self._clock() >= until or not self._may_go_on():
                return Failure.REFUSED
            await self._sleep(self._timing.retry_seconds)

    async def _hold(
        self, client: map_client.GroupClient, agent: str, step: int
    ) -> int | Failure:
        """Hold one rank; return the step before which it holds."""
        rank = self._choose_held(client)
        await steps.reach(steps.Step.MAP_HOLD_SENT, self._instance)
        answer = await client.send(
            agent, map_orders.Hold(rank=rank, before_step=step)
        )
        if isinstance(answer, Failure):
            return answer
        for state in answer.states:
            if state.rank == rank and state.hold_before is not None:
                await steps.reach(steps.Step.MAP_HELD, self._instance)
                return state.hold_before
        return Failure.REFUSED

    def _may_hold(self, client: map_client.GroupClient, step: int) -> bool:
        """Whether a change of ours may hold a step.

        Of the leaders that hold one rank without fences each holds every
        other step, in turn, also where the store was restored in between.
        """
        if self._fenced:
            return True
        turn = client.fence // len(client.members())
        turn += client.fence // leases.FENCES_PER_ERA
        return step % 2 == turn % 2

    def _choose_held(self, client: map_client.GroupClient) -> int:
        """Return the rank that is held during a change; any one does.

        Without fences, leaders that follow each other hold different ranks,
        so that a late copy of an order to release, from the one before, ends
        nothing of ours.
        """
        return (
            HELD_RANK if self._fenced else client.fence % len(client.members())
        )


def _is_held(states: Sequence[map_orders.RankState]) -> bool:
    """Whether a step is held already, by a leader who may release it."""
    return any(state.hold_before is not None for state in states)
