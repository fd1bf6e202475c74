"""Brings all ranks of a group to one map, whatever state they are in.

The loop reads the states of all ranks, carries out what :mod:`.map_decisions`
(or :mod:`.map_decisions_unfenced`) decides, and reads them again.  It runs
when a leader starts and after each map change.
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
from . import map_client
from . import map_decisions
from . import map_decisions_unfenced
from . import map_orders
from . import steps

Failure = map_client.Failure
Decision = map_decisions.Decision | map_decisions_unfenced.Decision


class Decide(Protocol):
    """Decides what to do next from the states of all ranks."""

    def __call__(
        self, *, states: Sequence[map_orders.RankState], ranks: int
    ) -> Decision:
        """Return what has to be done next."""


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Timing:
    """Intervals at which a leader acts.

    :ivar poll_seconds: between two inspections of the group.
    :ivar retry_seconds: between two attempts at something that failed.
    :ivar contend_seconds: between two attempts to take a lease that another
        process holds; each costs a call to the platform's store.
    :ivar lead_steps: how far ahead of the group the hold is placed.  Too
        few and the group waits for the change; too many delay it only.
    """

    poll_seconds: float = 1.0
    retry_seconds: float = 0.25
    contend_seconds: float = 0.25
    lead_steps: int = 8


class Reconciler:
    """Runs the reconciliation loop of one leader.

    :param shape: dimensions of the map that a group without one is given.
    :param decide: :func:`.map_decisions.decide` where ranks refuse orders of
        older leaders, :func:`.map_decisions_unfenced.decide` where they do
        not.
    :ivar decision: the latest decision, shown to operators.
    :ivar failure: why the last inspection or order failed, ``None`` if it
        succeeded.
    """

    __slots__ = (
        '_instance',
        '_shape',
        '_timing',
        '_decide',
        '_sleep',
        'decision',
        'failure',
    )

    def __init__(
        self,
        *,
        instance: str,
        shape: expert_maps.Shape,
        timing: Timing,
        decide: Decide = map_decisions.decide,
        sleep: Callable[[float], Awaitable[None]] = anyio.sleep,
    ) -> None:
        self._instance = instance
        self._shape = shape
        self._timing = timing
        self._decide = decide
        self._sleep = sleep
        self.decision: Decision | None = None
        self.failure: Failure | None = None

    async def reconcile(
        self, client: map_client.GroupClient
    ) -> Failure | None:
        """Bring all ranks to one map with nothing armed, held or left over.

        Return a failure only when a newer leader has taken over.
        """
        while True:
            states = await client.inspect()
            if isinstance(states, Failure):
                failure: Failure | None = states
            else:
                decision = self._decide(states=states, ranks=self._shape.ranks)
                self._note_decision(decision)
                if isinstance(decision, map_decisions.Settled):
                    self._note_failure(None)
                    return None
                failure = await self._act(client, decision)
            self._note_failure(failure)
            if failure == Failure.DEPOSED:
                return failure
            if failure is not None or not _has_acted(self.decision):
                await self._sleep(self._timing.retry_seconds)

    def _note_decision(self, decision: Decision) -> None:
        """Store a decision and log it if it is new."""
        if decision != self.decision and not isinstance(
            decision, map_decisions.Settled
        ):
            logging.info(
                'group to settle',
                extra=logs.fields(
                    decision=type(decision).__name__, **_describe(decision)
                ),
            )
        self.decision = decision

    def _note_failure(self, failure: Failure | None) -> None:
        """Store why an iteration failed and log it if that is new."""
        if failure != self.failure:
            logging.info(
                'ranks looked at',
                extra=logs.fields(
                    decision=type(self.decision).__name__,
                    trouble='' if failure is None else failure.value,
                ),
            )
        self.failure = failure

    async def _act(
        self,
        client: map_client.GroupClient,
        decision: Decision,
    ) -> Failure | None:
        match decision:
            case map_decisions.Start():
                return await self._start_group(client)
            case map_decisions.Undo():
                return await client.send_all(map_orders.Undo())
            case map_decisions.Admit(schedule=schedule, states=states):
                return await self._admit(client, schedule, states)
            case map_decisions.Release(ranks=ranks, unarmed=unarmed):
                if unarmed:
                    failure = await client.send_all(map_orders.Undo())
                    if failure is not None:
                        return failure
                return await release(client, ranks, self._instance)
            case map_decisions_unfenced.Complete():
                return await self._complete(client, decision)
            case map_decisions_unfenced.Abandon(version=version):
                return await client.send_all(map_orders.Undo(version=version))
            case map_decisions_unfenced.Seal(version=version, holders=holders):
                failure = await self._seal(client, version, client.members())
                if failure is not None:
                    return failure
                return await release(client, holders, self._instance)
        return None

    async def _complete(
        self,
        client: map_client.GroupClient,
        decision: map_decisions_unfenced.Complete,
    ) -> Failure | None:
        """Arm a map on the ranks that have not armed it yet.

        A rank refuses if it is copying a newer map, which its report does not
        show.  The group would then wait forever, so the rank is given a
        version that its report does show.
        """
        order = map_orders.Arm(
            version=decision.version, from_step=decision.from_step
        )
        for rank in decision.ranks:
            agent = client.find_agent(rank)
            if agent is None:
                return Failure.UNREACHED
            answer = await client.send(agent, order)
            if answer == Failure.REFUSED:
                return await self._seal(client, decision.in_force, (agent,))
            if isinstance(answer, Failure):
                return answer
        return None

    async def _seal(
        self,
        client: map_client.GroupClient,
        version: expert_maps.Version,
        agents: Sequence[str],
    ) -> Failure | None:
        """Give agents the map in force again, under a newer version.

        That map needs no new weights, so it is prepared at once, and from
        then on the agents refuse to arm any older version.
        """
        found = await fetch(client, version)
        if isinstance(found, Failure):
            return found
        newer = expert_maps.ExpertMap(
            version=client.new_version(), layers=found.layers
        )
        return await client.send_each(
            {agent: map_orders.Prepare(expert_map=newer) for agent in agents}
        )

    async def _start_group(
        self, client: map_client.GroupClient
    ) -> Failure | None:
        version = client.new_version()
        first = expert_maps.spread(shape=self._shape, version=version)
        schedule = expert_maps.Schedule(in_force=version)
        while True:
            failure = await client.send_all(
                map_orders.Prepare(expert_map=first)
            )
            if failure is not None:
                return failure
            states = await client.inspect_members()
            if isinstance(states, Failure):
                return states
            if any(state.schedule is not None for state in states):
                return None
            if all(version in state.loaded for state in states):
                return await self._admit(client, schedule, states)
            await self._sleep(self._timing.retry_seconds)

    async def _admit(
        self,
        client: map_client.GroupClient,
        schedule: expert_maps.Schedule,
        states: Sequence[map_orders.RankState],
    ) -> Failure | None:
        """Load maps on ranks that have none, then have them adopt those."""
        waiting = False
        for state in states:
            agent = client.find_agent(state.rank)
            if agent is None:
                return Failure.UNREACHED
            lacking = set(schedule.versions()) - set(state.loaded)
            for version in sorted(lacking):
                waiting = True
                failure = await self._load(client, agent, state.rank, version)
                if failure is not None:
                    return failure
            if lacking:
                continue
            answer = await client.send(
                agent,
                map_orders.Adopt(rank=state.rank, schedule=schedule),
            )
            if isinstance(answer, Failure):
                return answer
        if waiting:
            await self._sleep(self._timing.retry_seconds)
        return None

    async def _load(
        self,
        client: map_client.GroupClient,
        agent: str,
        rank: int,
        version: expert_maps.Version,
    ) -> Failure | None:
        found = await fetch(client, version)
        if isinstance(found, Failure):
            return found
        answer = await client.send(
            agent, map_orders.Prepare(expert_map=found, ranks=(rank,))
        )
        return answer if isinstance(answer, Failure) else None


async def fetch(
    client: map_client.GroupClient, version: expert_maps.Version
) -> expert_maps.ExpertMap | Failure:
    """Return a map, fetched from the first agent that has it."""
    failure = Failure.REFUSED
    for agent in client.members():
        answer = await client.send(agent, map_orders.Fetch(version=version))
        if isinstance(answer, Failure):
            failure = answer
            continue
        if answer.expert_map is not None:
            return answer.expert_map
    return failure


async def release(
    client: map_client.GroupClient, ranks: Sequence[int], instance: str
) -> Failure | None:
    """Release held ranks."""
    for rank in ranks:
        agent = client.find_agent(rank)
        if agent is None:
            return Failure.UNREACHED
        await steps.reach(steps.Step.MAP_RELEASE_SENT, instance)
        answer = await client.send(agent, map_orders.Release(rank=rank))
        if isinstance(answer, Failure):
            return answer
        await steps.reach(steps.Step.MAP_RELEASED, instance)
    return None


def _describe(decision: Decision) -> dict[str, str]:
    """Return the log fields with the ranks and versions of a decision."""
    match decision:
        case map_decisions.Missing(ranks=ranks):
            return {'ranks': _join(ranks)}
        case map_decisions.Release(ranks=ranks):
            return {'ranks': _join(ranks)}
        case map_decisions.Disagree(versions=versions):
            return {'versions': _join(versions)}
        case map_decisions.Await(schedule=schedule):
            return {'versions': _join(schedule.versions())}
        case map_decisions_unfenced.Complete(version=version, ranks=ranks):
            return {'versions': str(version), 'ranks': _join(ranks)}
        case map_decisions_unfenced.Abandon(version=version):
            return {'versions': str(version)}
        case map_decisions_unfenced.Seal(version=version, holders=holders):
            return {'versions': str(version), 'ranks': _join(holders)}
    return {}


def _join(values: Iterable[object]) -> str:
    return ', '.join(map(str, values))


def _has_acted(decision: Decision | None) -> bool:
    """Return whether to inspect again at once, as something was done."""
    return not isinstance(
        decision,
        map_decisions.Missing | map_decisions.Disagree | map_decisions.Await,
    )
