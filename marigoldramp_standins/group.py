"""A stand-in group of ranks that run in lock-step on an expert map.

A rank enters a step once every rank has entered the step before; it picks
its map as it enters.  So a rank can be one step ahead of another, and a rank
that is held keeps every other from going further than the step before which
it is held.  The map of every rank in every step is recorded.
"""

import dataclasses

from marigoldramp import expert_maps
from marigoldramp import map_orders
from marigoldramp import map_ranks


@dataclasses.dataclass(slots=True, kw_only=True)
class Rank:
    """State of one rank and its engine.

    :ivar loads: seconds that each load still takes, by version.
    """

    number: int
    entered: int = 0
    alive: bool = True
    fence: int = 0
    schedule: expert_maps.Schedule | None = None
    maps: dict[expert_maps.Version, expert_maps.ExpertMap]
    loads: dict[expert_maps.Version, float]
    hold_before: int | None = None

    @property
    def loaded(self) -> tuple[expert_maps.Version, ...]:
        """Return the versions whose weights are all there."""
        return tuple(sorted(set(self.maps) - set(self.loads)))


class Group:
    """Ranks in lock-step.

    :param checks_fence: engines refuse an order with an old fence.
    :param load_seconds: time that one expert's weights take to load.
    """

    def __init__(
        self,
        *,
        ranks: int,
        checks_fence: bool = False,
        load_seconds: float = 0.0,
    ) -> None:
        self.ranks = [
            Rank(number=number, maps={}, loads={}) for number in range(ranks)
        ]
        self.checks_fence = checks_fence
        self.load_seconds = load_seconds
        self.endless_loads: set[int] = set()
        self.record: dict[int, dict[int, expert_maps.Version]] = {}
        self.mixed_steps: list[int] = []
        self.stalls = 0
        self._furthest = 0

    def engines(self) -> dict[int, map_ranks.RankEngine]:
        """Return the engine of each rank."""
        return {
            rank.number: Engine(group=self, rank=rank) for rank in self.ranks
        }

    def install(self, expert_map: expert_maps.ExpertMap) -> None:
        """Put a map into force on every rank, as before a test."""
        for rank in self.ranks:
            rank.maps = {expert_map.version: expert_map}
            rank.schedule = expert_maps.Schedule(in_force=expert_map.version)

    def can_enter(self, number: int) -> bool:
        """Say whether a rank can enter its next step."""
        rank = self.ranks[number]
        if not rank.alive or rank.schedule is None:
            return False
        if rank.hold_before is not None:
            if rank.entered + 1 >= rank.hold_before:
                return False
        return all(other.entered >= rank.entered for other in self.ranks)

    def enter(self, number: int) -> bool:
        """Let a rank enter its next step, if it can."""
        if not self.can_enter(number):
            return False
        rank = self.ranks[number]
        assert rank.schedule is not None
        rank.entered += 1
        version = rank.schedule.find(rank.entered)
        if version != rank.schedule.in_force:
            rank.schedule = expert_maps.Schedule(in_force=version)
            rank.maps = {version: rank.maps[version]}
        self._record(number, rank.entered, version)
        return True

    def _record(
        self, number: int, step: int, version: expert_maps.Version
    ) -> None:
        self._furthest = max(self._furthest, step)
        versions = self.record.setdefault(step, {})
        versions[number] = version
        if len(set(versions.values())) > 1:
            self.mixed_steps.append(step)

    @property
    def steps(self) -> int:
        """Return how many steps all ranks have entered."""
        return min(rank.entered for rank in self.ranks)

    def step(self) -> bool:
        """Let ranks enter a step; count a stall if the group could not."""
        before = self.steps
        for rank in self.ranks:
            self.enter(rank.number)
        if self.steps == before:
            self.stalls += 1
        return self.steps > before

    def advance(self, seconds: float) -> None:
        """Let loads go on for some time."""
        for rank in self.ranks:
            if rank.number in self.endless_loads:
                continue
            for version in list(rank.loads):
                rank.loads[version] -= seconds
                if rank.loads[version] <= 0:
                    del rank.loads[version]

    def restart(self, number: int) -> None:
        """Restart a rank's engine, which loses its map, hold and fence.

        The step that it did not live to end is done again.
        """
        # Whoever entered the furthest step had finished those before it.
        entered = min(self.ranks[number].entered, self._furthest - 1)
        entered = max(entered, 0)
        self.record.get(entered + 1, {}).pop(number, None)
        self.ranks[number] = Rank(
            number=number, entered=entered, maps={}, loads={}
        )

    def kill(self, number: int) -> None:
        """End a rank's engine for good."""
        self.ranks[number].alive = False

    def record_versions(self) -> set[expert_maps.Version]:
        """Return every map that was used in some step."""
        return {
            version
            for versions in self.record.values()
            for version in versions.values()
        }

    def versions(self) -> set[expert_maps.Version | None]:
        """Return the maps in force over all ranks."""
        return {
            rank.schedule.in_force if rank.schedule else None
            for rank in self.ranks
        }


class Engine(map_ranks.RankEngine):
    """The engine of one rank, called in process."""

    def __init__(self, *, group: Group, rank: Rank) -> None:
        self._group = group
        self._number = rank.number

    @property
    def _rank(self) -> Rank:
        return self._group.ranks[self._number]

    async def state(self) -> map_ranks.EngineAnswer:
        """Report the state."""
        rank = self._rank
        if not rank.alive:
            return _refuse(map_orders.Refusal.ENGINE_FAILED)
        return map_orders.RankState(
            rank=rank.number,
            entered=rank.entered,
            schedule=rank.schedule,
            loaded=rank.loaded,
            loading=next(iter(rank.loads), None),
            hold_before=rank.hold_before,
        )

    async def fetch_map(
        self, *, version: expert_maps.Version
    ) -> expert_maps.ExpertMap | None:
        """Return a map that the rank uses or has loaded."""
        return self._rank.maps.get(version) if self._rank.alive else None

    async def prepare(
        self, *, fence: int, expert_map: expert_maps.ExpertMap
    ) -> map_ranks.EngineAnswer:
        """Begin to load the weights that a map needs."""
        refusal = self._check_fence(fence)
        if refusal is not None:
            return refusal
        rank = self._rank
        version = expert_map.version
        if version not in rank.maps:
            seconds = self._load_time(expert_map)
            if seconds > 0:
                rank.loads[version] = seconds
            rank.maps[version] = expert_map
        return await self.state()

    def _load_time(self, expert_map: expert_maps.ExpertMap) -> float:
        rank = self._rank
        old = None
        if rank.schedule is not None:
            old = rank.maps[rank.schedule.in_force]
        loads = expert_maps.count_weight_loads(old=old, new=expert_map)
        return loads[rank.number] * self._group.load_seconds

    async def hold(
        self, *, fence: int, before_step: int
    ) -> map_ranks.EngineAnswer:
        """Do not enter a step."""
        refusal = self._check_fence(fence) or self._check_map()
        if refusal is not None:
            return refusal
        rank = self._rank
        step = max(before_step, rank.entered + 1)
        if rank.hold_before is not None:
            step = min(step, rank.hold_before)
        rank.hold_before = step
        return await self.state()

    async def arm(
        self, *, fence: int, version: expert_maps.Version, from_step: int
    ) -> map_ranks.EngineAnswer:
        """Use a loaded map from a step on."""
        refusal = self._check_fence(fence) or self._check_map()
        if refusal is not None:
            return refusal
        rank = self._rank
        assert rank.schedule is not None
        wanted = expert_maps.Schedule(
            in_force=rank.schedule.in_force,
            following=version,
            from_step=from_step,
        )
        if rank.schedule == wanted or rank.schedule.in_force == version:
            return await self.state()
        if rank.schedule.following is not None:
            return _refuse(map_orders.Refusal.CHANGE_ARMED)
        if version not in rank.loaded:
            return _refuse(map_orders.Refusal.NOT_LOADED)
        if rank.entered >= from_step:
            return _refuse(map_orders.Refusal.STEP_ENTERED)
        rank.schedule = wanted
        return await self.state()

    async def release(self, *, fence: int) -> map_ranks.EngineAnswer:
        """Stop holding."""
        refusal = self._check_fence(fence)
        if refusal is not None:
            return refusal
        self._rank.hold_before = None
        return await self.state()

    async def undo(self, *, fence: int) -> map_ranks.EngineAnswer:
        """Forget an armed map and the weights that nothing needs."""
        refusal = self._check_fence(fence)
        if refusal is not None:
            return refusal
        rank = self._rank
        kept: set[expert_maps.Version] = set()
        if rank.schedule is not None:
            kept = {rank.schedule.in_force}
            rank.schedule = expert_maps.Schedule(
                in_force=rank.schedule.in_force
            )
        rank.maps = {one: rank.maps[one] for one in rank.maps if one in kept}
        rank.loads = {}
        return await self.state()

    async def adopt(
        self, *, fence: int, schedule: expert_maps.Schedule
    ) -> map_ranks.EngineAnswer:
        """Take on a schedule."""
        refusal = self._check_fence(fence)
        if refusal is not None:
            return refusal
        rank = self._rank
        if rank.schedule is not None:
            if rank.schedule == schedule:
                return await self.state()
            return _refuse(map_orders.Refusal.HAS_MAP)
        if not set(schedule.versions()) <= set(rank.loaded):
            return _refuse(map_orders.Refusal.NOT_LOADED)
        rank.schedule = schedule
        return await self.state()

    def _check_fence(self, fence: int) -> map_ranks.EngineRefusal | None:
        rank = self._rank
        if not rank.alive:
            return _refuse(map_orders.Refusal.ENGINE_FAILED)
        if self._group.checks_fence:
            if fence < rank.fence:
                return _refuse(map_orders.Refusal.FENCE_OLD)
            rank.fence = fence
        return None

    def _check_map(self) -> map_ranks.EngineRefusal | None:
        if self._rank.schedule is None:
            return _refuse(map_orders.Refusal.NO_MAP)
        return None


def _refuse(reason: map_orders.Refusal) -> map_ranks.EngineRefusal:
    return map_ranks.EngineRefusal(reason=reason)
