"""Changes a group's expert map in four phases.

1. *Prepare*: every rank loads the weights that the new map needs.
2. *Hold*: one rank is told not to enter step s.
3. *Arm*: every rank is told to use the new map from step s + 1.
4. *Release*: the held rank may go on.

As ranks run in lock-step, none can enter step s + 1 while one is held before
step s, so none uses the new map before all have armed it.  Usually the
release comes before step s and the group never waits; at worst it waits, and
still all ranks use the same map in each step.
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

#: The rank that is held during a change; any rank would do.
HELD_RANK = 0

#: How many steps after the last reported one a rank is held when the time of
#: the loads is known: a report is 0.2 s old, about three steps.  A rank
#: refuses a step that it has entered, and the next one is tried.
TIMED_LEAD_STEPS = 3
MAX_HOLD_ATTEMPTS = 16
#: Steps that are added to the lead for a while after orders were slow.  An
#: order without a reply takes 0.1 s, and the group waits while ranks still
#: have to be armed or released; five more steps take 0.35 s.  Without them the
#: streams of a loaded group that leaves a tenth of the orders unanswered pause
#: for 0.17 to 0.23 s.
SLOW_ORDER_LEAD_STEPS = 5
SLOW_ORDER_PERIOD_SECONDS = 6.0
#: Time from which on an order to all ranks counts as slow: 0.02 to 0.06 s is
#: usual, and an order that is sent again takes 0.1 s.
MIN_SLOW_ORDER_SECONDS = 0.1
#: Time for which ranks that are still loading are asked to arm repeatedly.
MAX_ARM_SECONDS = 0.4
ARM_RETRY_SECONDS = 0.02

#: Longest wait, once weights are loaded, until every call in flight can be
#: delayed.  Loaded weights take memory, so they are dropped after it.
MAX_SLACK_WAIT_SECONDS = 10.0


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Plan:
    """A change that the planner asks for.

    :ivar layers: the layers of the new map.
    :ivar load_limit: seconds after which unfinished loads are given up.
    :ivar load_seconds: time that the loads take, if it is known.  The change
        continues after it without waiting for reports of all ranks, which
        take 0.3 s longer; a rank that is still loading refuses to arm.
    :ivar stall_seconds: how long the change may make the group wait; it is
        not armed while a call in flight cannot be delayed by as much.
    """

    layers: tuple[expert_maps.Layer, ...]
    load_limit: float
    load_seconds: float | None = None
    stall_seconds: float = 0.0


class MapChanger:
    """Carries out the map changes of one leader.

    :param may_continue: returns whether the leader still holds its lease.
    :param fenced: whether ranks refuse orders of older leaders.
    """

    __slots__ = (
        '_instance',
        '_timing',
        '_clock',
        '_sleep',
        '_may_continue',
        '_fenced',
        '_orders_slow_until',
    )

    def __init__(
        self,
        *,
        instance: str,
        timing: map_reconciliation.Timing,
        clock: Callable[[], float],
        may_continue: Callable[[], bool],
        fenced: bool = True,
        sleep: Callable[[float], Awaitable[None]] = anyio.sleep,
    ) -> None:
        self._instance = instance
        self._timing = timing
        self._clock = clock
        self._may_continue = may_continue
        self._fenced = fenced
        self._orders_slow_until = float('-inf')
        self._sleep = sleep

    async def change(
        self,
        client: map_client.GroupClient,
        plan: Plan,
    ) -> bool:
        """Carry out a change; return whether all ranks have armed it.

        After any failure the change stops where it is, and reconciliation
        undoes or finishes it.
        """
        version = client.new_version()
        new = expert_maps.ExpertMap(version=version, layers=plan.layers)
        if plan.load_seconds is None:
            held = await self._hold_after_reports(client, new, plan)
            max_seconds = 0.0
        else:
            held = await self._hold_after_delay(client, new, plan.load_seconds)
            max_seconds = MAX_ARM_SECONDS
        if held is None:
            return False
        rank = self._choose_held_rank(client)
        logging.info(
            'step held',
            extra=logs.fields(version=str(version), rank=rank, step=held),
        )
        await steps.reach(steps.Step.MAP_ARM_SENT, self._instance)
        order = map_orders.Arm(version=version, from_step=held + 1)
        if not await self._arm(client, order, max_seconds):
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
            client, (self._choose_held_rank(client),), self._instance
        )
        return True

    async def _hold_after_reports(
        self,
        client: map_client.GroupClient,
        new: expert_maps.ExpertMap,
        plan: Plan,
    ) -> int | None:
        """Hold a rank once all ranks have reported their weights loaded."""
        if not await self._prepare(client, new, plan.load_limit):
            return None
        states = await self._await_slack(client, plan.stall_seconds)
        if isinstance(states, Failure) or not self._may_continue():
            return None
        if _is_any_held(states):
            return None
        agent = client.find_agent(self._choose_held_rank(client))
        if agent is None:
            return None
        entered = max((state.entered for state in states), default=0)
        return await self._hold_first_accepted(
            client, agent, entered + self._timing.lead_steps
        )

    async def _hold_after_delay(
        self,
        client: map_client.GroupClient,
        new: expert_maps.ExpertMap,
        seconds: float,
    ) -> int | None:
        """Hold a rank once the known time of the loads has passed."""
        await steps.reach(steps.Step.MAP_PREPARE_SENT, self._instance)
        started = self._clock()
        failure = await client.send_all(map_orders.Prepare(expert_map=new))
        self._note_order_time(since=started)
        if failure is not None:
            return None
        await self._sleep(seconds)
        agent = client.find_agent(self._choose_held_rank(client))
        if agent is None:
            return None
        # A lower bound of the rank's step suffices.  A report that shows the
        # effect of all orders comes 0.35 s after the last of them; waiting
        # for it leaves a group of 72 ranks uneven for 0.45 s from each plan
        # on instead of 0.26 s.
        answer = await client.send(agent, map_orders.Confirm(settled=False))
        if isinstance(answer, Failure) or not self._may_continue():
            return None
        if _is_any_held(answer.states):
            return None
        first = answer.states[0].entered + TIMED_LEAD_STEPS
        if self._clock() < self._orders_slow_until:
            first += SLOW_ORDER_LEAD_STEPS
        return await self._hold_first_accepted(client, agent, first)

    async def _hold_first_accepted(
        self, client: map_client.GroupClient, agent: str, first: int
    ) -> int | None:
        """Hold a rank before the first step that it accepts; return it."""
        for step in range(first, first + MAX_HOLD_ATTEMPTS):
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
        max_seconds: float,
    ) -> bool:
        """Arm a map on all ranks; return whether all of them obeyed.

        Ranks that refuse, as they are still loading, are asked again for up
        to ``max_seconds``.
        """
        started = self._clock()
        pending = tuple(client.members())
        while pending:
            answers = await client.ask_each(
                {agent: order for agent in pending}
            )
            self._note_order_time(since=started)
            pending = tuple(
                agent
                for agent, answer in answers.items()
                if isinstance(answer, Failure)
            )
            if any(answers[one] != Failure.REFUSED for one in pending):
                return False
            if pending and self._clock() - started >= max_seconds:
                return False
            if pending:
                await self._sleep(ARM_RETRY_SECONDS)
        return True

    def _note_order_time(self, *, since: float) -> None:
        """Note whether ranks were slow to obey an order."""
        now = self._clock()
        if now - since >= MIN_SLOW_ORDER_SECONDS:
            self._orders_slow_until = now + SLOW_ORDER_PERIOD_SECONDS

    async def _prepare(
        self,
        client: map_client.GroupClient,
        new: expert_maps.ExpertMap,
        limit: float,
    ) -> bool:
        """Have every rank load a map's weights within a time limit."""
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
        self, client: map_client.GroupClient, stall_seconds: float
    ) -> tuple[map_orders.RankState, ...] | Failure:
        """Return the states of all ranks once every call can be delayed.

        Loading takes seconds, and calls have begun since the plan was made.
        """
        until = self._clock() + MAX_SLACK_WAIT_SECONDS
        while True:
            states = await client.inspect_members()
            if isinstance(states, Failure) or client.slack() >= stall_seconds:
                return states
            if self._clock() >= until or not self._may_continue():
                return Failure.REFUSED
            await self._sleep(self._timing.retry_seconds)

    async def _hold(
        self, client: map_client.GroupClient, agent: str, step: int
    ) -> int | Failure:
        """Hold a rank; return the step before which it is held."""
        rank = self._choose_held_rank(client)
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
        """Return whether this leader may hold a given step.

        Where ranks check no fences, successive leaders that hold the same
        rank use even and odd steps in turn, also across a restore of the
        store, so that a late release of one never names a hold of the next.
        """
        if self._fenced:
            return True
        turn = client.fence // len(client.members())
        turn += client.fence // leases.FENCES_PER_ERA
        return step % 2 == turn % 2

    def _choose_held_rank(self, client: map_client.GroupClient) -> int:
        """Return the rank that is held during a change.

        Where ranks check no fences, successive leaders hold different ranks,
        so that a late release order of the previous leader cannot end a hold
        of this one.
        """
        return (
            HELD_RANK if self._fenced else client.fence % len(client.members())
        )


def _is_any_held(states: Sequence[map_orders.RankState]) -> bool:
    """Return whether another leader holds a rank and may release it."""
    return any(state.hold_before is not None for state in states)
