"""The agent's side of an expert-map change.

``OrderHandler`` passes the orders of a group's leader to the engines of this
agent's ranks, one order at a time.  It refuses outdated orders, so that an
engine that ignores fencing numbers is as safe as one that checks them.
"""

import abc
import dataclasses
import math
from typing import Awaitable
from typing import Callable
from typing import Mapping

import anyio

from . import expert_maps
from . import map_orders
from . import popularity


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class EngineRefusal:
    """An engine did not carry out a call."""

    reason: map_orders.Refusal


EngineAnswer = map_orders.RankState | EngineRefusal


class RankEngine(abc.ABC):
    """Interface to the engine of one rank.

    Every call returns soon; loading continues in the engine.  Calls are
    idempotent: an engine accepts a call whose effect is already there.  After
    a restart an engine has no map and enters no step before it has adopted
    one.  A call has no effect after it has returned, even if it failed.
    """

    @abc.abstractmethod
    async def state(self) -> EngineAnswer:
        """Return the state of the rank."""

    @abc.abstractmethod
    async def fetch_map(
        self, *, version: expert_maps.Version
    ) -> expert_maps.ExpertMap | None:
        """Return a map that the rank uses or has loaded."""

    async def fetch_report(self) -> popularity.Report | None:
        """Return the counts since the last call."""
        return None

    @abc.abstractmethod
    async def prepare(
        self, *, fence: int, expert_map: expert_maps.ExpertMap
    ) -> EngineAnswer:
        """Start loading the weights that a map needs."""

    @abc.abstractmethod
    async def hold(self, *, fence: int, before_step: int) -> EngineAnswer:
        """Do not enter ``before_step``, or the next step if that is later.

        An existing hold is never moved to a later step.
        """

    @abc.abstractmethod
    async def arm(
        self, *, fence: int, version: expert_maps.Version, from_step: int
    ) -> EngineAnswer:
        """Use a loaded map from a step on that is not entered yet."""

    @abc.abstractmethod
    async def release(self, *, fence: int) -> EngineAnswer:
        """Let the rank go on."""

    @abc.abstractmethod
    async def undo(self, *, fence: int) -> EngineAnswer:
        """Disarm a map; drop weights that the one in force does not need."""

    @abc.abstractmethod
    async def adopt(
        self, *, fence: int, schedule: expert_maps.Schedule
    ) -> EngineAnswer:
        """Adopt a schedule; only for a rank that has none."""


#: Returns the fence in force, or ``None`` while it cannot be known.
LearnFence = Callable[[], Awaitable[int | None]]


def _no_deadline() -> float:
    return math.inf


class OrderHandler:
    """Obeys or refuses the orders to the ranks of one agent.

    :param engines: engine of each rank, by rank.
    :param incarnation: number of this start of the agent process.
    :param learn_fence: returns the fence in force; called after a start.
    :param slack: returns the seconds by which every call that the agent runs
        can be delayed without missing its promised deadline.
    """

    __slots__ = (
        '_group',
        '_engines',
        '_incarnation',
        '_learn_fence',
        '_slack',
        '_fence',
        '_sequence',
        '_lock',
    )

    def __init__(
        self,
        *,
        group: str,
        engines: Mapping[int, RankEngine],
        incarnation: int,
        learn_fence: LearnFence,
        slack: Callable[[], float] = _no_deadline,
    ) -> None:
        self._group = group
        self._engines = dict(sorted(engines.items()))
        self._incarnation = incarnation
        self._learn_fence = learn_fence
        self._slack = slack
        self._fence: int | None = None
        self._sequence = 0
        self._lock = anyio.Lock()

    @property
    def fence(self) -> int | None:
        """Return the highest known fence, ``None`` before one is known."""
        return self._fence

    async def handle(self, order: map_orders.Order) -> map_orders.Reply:
        """Obey an order or refuse it."""
        if order.group != self._group:
            return self._reply(map_orders.Refusal.OTHER_GROUP)
        if isinstance(order.body, map_orders.Ask):
            return await self._report(map_orders.Refusal.NONE)
        if self._fence is None:
            await self._learn()
        # An order is carried out to its end even if its sender disconnects.
        # If it were cancelled, its engine calls could take effect after a
        # newer leader's order was answered, and that leader would act on an
        # outdated state.
        with anyio.CancelScope(shield=True):
            async with self._lock:
                refusal = self._check(order)
                if refusal == map_orders.Refusal.NONE:
                    reply = await self._obey(order)
                else:
                    reply = self._reply(refusal)
        return reply

    async def _learn(self) -> None:
        # A process that has just started knows no fence.  The first order
        # that arrives may come from a deposed leader; if it were obeyed, a
        # rank without a map could adopt one that is no longer in force.
        known = await self._learn_fence()
        if known is not None:
            self._fence = max(known, self._fence or 0)

    def _check(self, order: map_orders.Order) -> map_orders.Refusal:
        if self._fence is None:
            return map_orders.Refusal.FENCE_UNKNOWN
        if order.fence < self._fence:
            return map_orders.Refusal.FENCE_OLD
        if order.fence > self._fence:
            self._fence = order.fence
            self._sequence = 0
        if isinstance(order.body, map_orders.Inspect):
            return map_orders.Refusal.NONE
        if order.incarnation != self._incarnation:
            return map_orders.Refusal.INCARNATION
        if order.sequence <= self._sequence:
            return map_orders.Refusal.SEQUENCE
        self._sequence = order.sequence
        return map_orders.Refusal.NONE

    async def _obey(self, order: map_orders.Order) -> map_orders.Reply:
        fence = order.fence
        match order.body:
            case map_orders.Fetch(version=version):
                return await self._fetch(version)
            case map_orders.Prepare(expert_map=expert_map, ranks=ranks):
                refusal = await self._call_engines(
                    lambda one: one.prepare(
                        fence=fence, expert_map=expert_map
                    ),
                    ranks,
                )
            case map_orders.Hold(rank=rank, before_step=step):
                refusal = await self._call_engines(
                    lambda one: one.hold(fence=fence, before_step=step),
                    (rank,),
                )
            case map_orders.Arm(version=version, from_step=step):
                refusal = await self._call_engines(
                    lambda one: one.arm(
                        fence=fence, version=version, from_step=step
                    )
                )
            case map_orders.Release(rank=rank):
                refusal = await self._call_engines(
                    lambda one: one.release(fence=fence), (rank,)
                )
            case map_orders.Undo():
                refusal = await self._call_engines(
                    lambda one: one.undo(fence=fence)
                )
            case map_orders.Adopt(rank=rank, schedule=schedule):
                refusal = await self._call_engines(
                    lambda one: one.adopt(fence=fence, schedule=schedule),
                    (rank,),
                )
            case _:
                refusal = map_orders.Refusal.NONE
        return await self._report(refusal)

    async def _call_engines(
        self,
        call: Callable[[RankEngine], Awaitable[EngineAnswer]],
        ranks: tuple[int, ...] = (),
    ) -> map_orders.Refusal:
        """Call the engines of some or all ranks; return the first refusal."""
        chosen = ranks or tuple(self._engines)
        if not set(chosen) <= set(self._engines):
            return map_orders.Refusal.NO_SUCH_RANK
        answers = await self._collect_answers(call, chosen)
        for answer in answers:
            if isinstance(answer, EngineRefusal):
                return answer.reason
        return map_orders.Refusal.NONE

    async def _collect_answers(
        self,
        call: Callable[[RankEngine], Awaitable[EngineAnswer]],
        ranks: tuple[int, ...],
    ) -> list[EngineAnswer]:
        answers: dict[int, EngineAnswer] = {}

        async def ask(rank: int) -> None:
            answers[rank] = await call(self._engines[rank])

        async with anyio.create_task_group() as tasks:
            for rank in ranks:
                tasks.start_soon(ask, rank)
        return [answers[rank] for rank in ranks]

    async def _fetch(self, version: expert_maps.Version) -> map_orders.Reply:
        for engine in self._engines.values():
            found = await engine.fetch_map(version=version)
            if found is not None:
                return self._reply(map_orders.Refusal.NONE, expert_map=found)
        return self._reply(map_orders.Refusal.NO_MAP)

    async def _report(self, refusal: map_orders.Refusal) -> map_orders.Reply:
        answers = await self._collect_answers(
            lambda one: one.state(), tuple(self._engines)
        )
        states = tuple(
            answer
            for answer in answers
            if isinstance(answer, map_orders.RankState)
        )
        return self._reply(refusal, states=states)

    def _reply(
        self,
        refusal: map_orders.Refusal,
        states: tuple[map_orders.RankState, ...] = (),
        expert_map: expert_maps.ExpertMap | None = None,
    ) -> map_orders.Reply:
        return map_orders.Reply(
            refusal=refusal,
            fence=self._fence or 0,
            incarnation=self._incarnation,
            states=states,
            expert_map=expert_map,
            slack=self._slack(),
        )
