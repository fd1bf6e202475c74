"""Brings the ranks of a group to one map, whatever state they are in.

It looks at all ranks, does the next thing that :mod:`.map_recovery` says, and
looks again.  A new leader begins with it, and each change ends in it.
"""

import dataclasses
from typing import Awaitable
from typing import Callable
from typing import Iterable
from typing import Protocol
from typing import Sequence

from absl import logging
import anyio

from . import expert_maps
from . import logs
from . import map_completion
from . import map_conversation
from . import map_orders
from . import map_recovery
from . import steps

Trouble = map_conversation.Trouble
Decision = map_recovery.Decision | map_completion.Decision


class Decide(Protocol):
    """Says what to do next, by the states of all ranks."""

    def __call__(
        self, *, states: Sequence[map_orders.RankState], ranks: int
    ) -> Decision:
        """Return what has to be done next."""


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


class Settler:
    """Settles one group, in the name of one leader.

    :param shape: dimensions of the map that a group without one is given.
    :param decide: :func:`.map_recovery.decide` where ranks refuse orders of
        older leaders, :func:`.map_completion.decide` where they do not.
    :ivar decision: what was to be done at the last look, for operators.
    :ivar trouble: why the last look or deed failed, ``None`` if it did not.
    """

    __slots__ = (
        '_instance',
        '_shape',
        '_pace',
        '_decide',
        '_sleep',
        'decision',
        'trouble',
    )

    def __init__(
        self,
        *,
        instance: str,
        shape: expert_maps.Shape,
        pace: Pace,
        decide: Decide = map_recovery.decide,
        sleep: Callable[[float], Awaitable[None]] = anyio.sleep,
    ) -> None:
        self._instance = instance
        self._shape = shape
        self._pace = pace
        self._decide = decide
        self._sleep = sleep
        self.decision: Decision | None = None
        self.trouble: Trouble | None = None

    async def settle(
        self, talk: map_conversation.Conversation
    ) -> Trouble | None:
        """Bring all ranks to one map with nothing armed, held or left."""
        while True:
            states = await talk.inspect()
            if isinstance(states, Trouble):
                trouble: Trouble | None = states
            else:
                decision = self._decide(states=states, ranks=self._shape.ranks)
                self._note_decision(decision)
                if isinstance(decision, map_recovery.Settled):
                    self._note_trouble(None)
                    return None
                trouble = await self._act(talk, decision)
            self._note_trouble(trouble)
            if trouble == Trouble.DEPOSED:
                return trouble
            if trouble is not None or not _goes_on(self.decision):
                await self._sleep(self._pace.retry)

    def _note_decision(self, decision: Decision) -> None:
        """Remember what is to be done; tell when that changes."""
        if decision != self.decision and not isinstance(
            decision, map_recovery.Settled
        ):
            logging.info(
                'group to settle',
                extra=logs.fields(
                    decision=type(decision).__name__, **_describe(decision)
                ),
            )
        self.decision = decision

    def _note_trouble(self, trouble: Trouble | None) -> None:
        """Remember why a look or deed failed; tell when that changes."""
        if trouble != self.trouble:
            logging.info(
                'ranks looked at',
                extra=logs.fields(
                    decision=type(self.decision).__name__,
                    trouble='' if trouble is None else trouble.value,
                ),
            )
        self.trouble = trouble

    async def _act(
        self,
        talk: map_conversation.Conversation,
        decision: Decision,
    ) -> Trouble | None:
        match decision:
            case map_recovery.Start():
                return await self._start_group(talk)
            case map_recovery.Undo():
                return await talk.send_all(map_orders.Undo())
            case map_recovery.Admit(schedule=schedule, states=states):
                return await self._admit(talk, schedule, states)
            case map_recovery.Release(ranks=ranks, unarmed=unarmed):
                if unarmed:
                    trouble = await talk.send_all(map_orders.Undo())
                    if trouble is not None:
                        return trouble
                return await release(talk, ranks, self._instance)
            case map_completion.Complete():
                return await self._complete(talk, decision)
            case map_completion.Abandon(version=version):
                return await talk.send_all(map_orders.Undo(version=version))
            case map_completion.Seal(version=version, holders=holders):
                trouble = await self._seal(talk, version, talk.members())
                if trouble is not None:
                    return trouble
                return await release(talk, holders, self._instance)
        return None

    async def _complete(
        self,
        talk: map_conversation.Conversation,
        decision: map_completion.Complete,
    ) -> Trouble | None:
        """Arm a map on the ranks that have not armed it yet.

        A rank that refuses has lost the map to one that it copies still,
        which its report does not show.  Left so, the group would stand for
        good, so the rank is given a version that its report does show.
        """
        order = map_orders.Arm(
            version=decision.version, from_step=decision.from_step
        )
        for rank in decision.ranks:
            agent = talk.find_agent(rank)
            if agent is None:
                return Trouble.UNREACHED
            answer = await talk.send(agent, order)
            if answer == Trouble.REFUSED:
                return await self._seal(talk, decision.in_force, (agent,))
            if isinstance(answer, Trouble):
                return answer
        return None

    async def _seal(
        self,
        talk: map_conversation.Conversation,
        version: expert_maps.Version,
        agents: Sequence[str],
    ) -> Trouble | None:
        """Give agents the map in force again, under a newer version.

        It brings no new experts, so it is prepared at once, and no older
        version can be armed from then on.
        """
        found = await fetch(talk, version)
        if isinstance(found, Trouble):
            return found
        newer = expert_maps.ExpertMap(
            version=talk.name_map(), layers=found.layers
        )
        return await talk.send_each(
            {agent: map_orders.Prepare(expert_map=newer) for agent in agents}
        )

    async def _start_group(
        self, talk: map_conversation.Conversation
    ) -> Trouble | None:
        version = talk.name_map()
        first = expert_maps.spread(shape=self._shape, version=version)
        schedule = expert_maps.Schedule(in_force=version)
        while True:
            trouble = await talk.send_all(map_orders.Prepare(expert_map=first))
            if trouble is not None:
                return trouble
            states = await talk.inspect_members()
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
        found = await fetch(talk, version)
        if isinstance(found, Trouble):
            return found
        answer = await talk.send(
            agent, map_orders.Prepare(expert_map=found, ranks=(rank,))
        )
        return answer if isinstance(answer, Trouble) else None


async def fetch(
    talk: map_conversation.Conversation, version: expert_maps.Version
) -> expert_maps.ExpertMap | Trouble:
    """Return a map's contents from whichever agent has them."""
    trouble = Trouble.REFUSED
    for agent in talk.members():
        answer = await talk.send(agent, map_orders.Fetch(version=version))
        if isinstance(answer, Trouble):
            trouble = answer
            continue
        if answer.expert_map is not None:
            return answer.expert_map
    return trouble


async def release(
    talk: map_conversation.Conversation, ranks: Sequence[int], instance: str
) -> Trouble | None:
    """Release ranks that hold."""
    for rank in ranks:
        agent = talk.find_agent(rank)
        if agent is None:
            return Trouble.UNREACHED
        await steps.reach(steps.Step.MAP_RELEASE_SENT, instance)
        answer = await talk.send(agent, map_orders.Release(rank=rank))
        if isinstance(answer, Trouble):
            return answer
        await steps.reach(steps.Step.MAP_RELEASED, instance)
    return None


def _describe(decision: Decision) -> dict[str, str]:
    """Return the ranks and maps that a decision is about, for the log."""
    match decision:
        case map_recovery.Missing(ranks=ranks):
            return {'ranks': _join(ranks)}
        case map_recovery.Release(ranks=ranks):
            return {'ranks': _join(ranks)}
        case map_recovery.Disagree(versions=versions):
            return {'versions': _join(versions)}
        case map_recovery.Await(schedule=schedule):
            return {'versions': _join(schedule.versions())}
        case map_completion.Complete(version=version, ranks=ranks):
            return {'versions': str(version), 'ranks': _join(ranks)}
        case map_completion.Abandon(version=version):
            return {'versions': str(version)}
        case map_completion.Seal(version=version, holders=holders):
            return {'versions': str(version), 'ranks': _join(holders)}
    return {}


def _join(values: Iterable[object]) -> str:
    return ', '.join(map(str, values))


def _goes_on(decision: Decision | None) -> bool:
    """Say whether to look again at once, as something has been done."""
    return not isinstance(
        decision,
        map_recovery.Missing | map_recovery.Disagree | map_recovery.Await,
    )
