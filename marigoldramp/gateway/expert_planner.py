"""Decides when to change the expert map of a group, and to what.

Reading counts has a cost and pauses the group, so while nothing changes only
one rank is read, or a few of a large group, about once a second.  When forward
passes get slower, a few ranks are sampled again and the plan uses only these
new counts.
"""

import math
import statistics
from typing import Callable
from typing import Sequence

from absl import logging
import anyio

from .. import expert_maps
from .. import layer_moves
from .. import logs
from .. import map_changes
from .. import map_client
from .. import map_moves
from .. import placement
from .. import slow_rank_relief
from . import demand_watch
from . import expert_demand
from . import ranks
from .balancing import endpoints
from .queueing import pass_times

#: Duration of one planning attempt, after which the leader checks the group.
MAX_PLAN_SECONDS = 1.0
#: Interval between reads of the ranks that are monitored.
READ_INTERVAL_SECONDS_AT_LOW_UTILIZATION = 2.0
READ_INTERVAL_SECONDS_AT_HIGH_UTILIZATION = 1.0
#: One rank is monitored for each 48 ranks of a group.  Groups of more than 96
#: ranks are read more often, down to half the interval: a read costs the same
#: in each group, but a large group loses more by an uneven map.
RANKS_PER_MONITORED_RANK = 48
MAX_RANKS_FOR_FULL_INTERVAL = 96
MIN_INTERVAL_FACTOR = 0.5
#: Interval between checks of the pass duration, which cost nothing.
PASS_CHECK_INTERVAL_SECONDS = 0.05
#: Total request slots of the ranks that are sampled for a plan.  Ranks of a
#: large group run fewer requests each, so more of them are sampled.
SAMPLED_SLOTS_AT_LOW_UTILIZATION = 12.0
SAMPLED_SLOTS_AT_HIGH_UTILIZATION = 36.0
#: Bounds the time of sampling in a group that each read pauses for long, where
#: ranks are read one after the other.
MAX_SAMPLED_RANKS = 6
#: Time that the copies of one change may take on any rank.  With 72 ranks, 144
#: experts and 12 layers, five copies of 0.016 s per rank reduce a skew of 3.2
#: to 1.14, and seven to 1.11.  Passes take 15 % longer while copies run, when
#: the skew already makes them the longest of all.
MAX_COPY_SECONDS = 0.09
#: Copies that a rank may make even if they exceed MAX_COPY_SECONDS, and the
#: time that these may take.  With three copies of 0.11 s per rank, the skew of
#: a group of 16 falls from between 2.3 and 3.8 to between 1.12 and 1.2.
MAX_LONG_COPIES = 3
MAX_LONG_COPY_SECONDS = 0.36
#: Minimum reduction of the mean skew for which a map is changed, as a change
#: takes some forty orders.
MIN_GAIN_AT_LOW_UTILIZATION = 0.35
MIN_GAIN_AT_HIGH_UTILIZATION = 0.08
#: Minimum reduction of the mean skew for which the first plan after a shift is
#: refined with newer counts.  For 0.5 s after each change, until reports show
#: it, no shift is detected: the plan for a shift in that time is made 1.2 s
#: after the shift instead of 0.6 s.  A reduction from 1.25 to 1.07 takes as
#: many copies as one from 3.0 to 1.17.
MIN_REFINEMENT_GAIN = 0.25
#: Minimum reduction of the mean skew if each rank copies one expert.  A single
#: copy requires this divided by the number of ranks, as in a larger group it
#: costs a smaller part of what is served.  A copy costs the same at any
#: utilization, but an even group serves many more requests in time when it is
#: full.
MIN_GAIN_PER_COPY_AT_LOW_UTILIZATION = 0.4
MIN_GAIN_PER_COPY_AT_HIGH_UTILIZATION = 0.0224
#: Duration of a copy for which the minimum per copy applies, and the smallest
#: factor by which it is reduced for quicker copies.  Where a copy takes
#: 2.6 ms, an even map is cheap at low utilization too, and keeps requests in
#: time when demand shifts while load rises.
REFERENCE_COPY_SECONDS = 0.11
MIN_COPY_COST_FACTOR = 0.15
#: Utilization up to which the values for low utilization apply, and from which
#: on those for high utilization do; between them values are interpolated.
#: Utilization is the share of the group's concurrency limit that is in use, or
#: the ratio of its streams' pauses to the accepted pause, whichever is higher.
#: The share is not of the slots: a group that is limited below its slots
#: because of long pauses needs an even map most, but its pauses no longer show
#: it.
LOW_UTILIZATION = 0.4
HIGH_UTILIZATION = 0.65
#: Moves tried in one layer for each rank, and other ranks tried for each move.
#: From the initial map of 72 ranks, 144 experts and 3 slots for experts, the
#: search ends after some 55 moves at a skew of 1.1; 24 moves leave it at 1.3,
#: and more than 6 other ranks give no better result.
MAX_MOVES_PER_RANK = 1.5
MAX_TARGET_RANKS = 6
#: Factor on the copy time computed from size and link rate: four copies of
#: 0.111 s take 0.52 to 0.56 s.
COPY_TIME_MARGIN = 1.25
#: Time after which a preparation is abandoned.
MAX_PREPARE_SECONDS = 4.0


class ExpertPlanner:
    """Plans expert maps of one group, see :class:`.map_leader.Planner`.

    :param max_new_experts: new experts that a rank can copy in each layer.
    :param slots: concurrent requests of a rank.
    :param find_endpoint: returns the endpoint with a name.
    :param utilization: returns the utilization of the group, see
        :data:`LOW_UTILIZATION`.
    :param passes: durations of the group's forward passes.
    :param slow_ranks: returns the slowdown factor of each slow rank.
    :param copy_seconds: time in which a rank copies one expert, 0 if unknown.
    """

    __slots__ = (
        '_shape',
        '_max_new_experts',
        '_slots',
        '_utilization',
        '_slow_ranks',
        '_clock',
        '_copy_seconds',
        '_watch',
        '_planned_slow_ranks',
    )

    def __init__(
        self,
        *,
        api: ranks.RankApi,
        shape: expert_maps.Shape,
        max_new_experts: int,
        slots: float,
        find_endpoint: Callable[[str], endpoints.Endpoint | None],
        utilization: Callable[[], float],
        passes: pass_times.PassTimes,
        slow_ranks: Callable[[], dict[int, float]],
        clock: Callable[[], float],
        copy_seconds: float = 0.0,
    ) -> None:
        self._utilization = utilization
        self._slow_ranks = slow_ranks
        self._shape = shape
        self._max_new_experts = max_new_experts
        self._slots = slots
        self._copy_seconds = copy_seconds
        self._clock = clock
        self._watch = demand_watch.DemandWatch(
            api=api,
            demand=expert_demand.ExpertDemand(
                layers=shape.layers, experts=shape.experts
            ),
            find_endpoint=find_endpoint,
            passes=passes,
            clock=clock,
        )
        self._planned_slow_ranks: frozenset[int] = frozenset()

    async def plan(
        self,
        *,
        expert_map: expert_maps.ExpertMap,
        client: map_client.GroupClient,
    ) -> map_changes.Plan | None:
        """Monitor demand briefly; return the change to make, if any."""
        until = self._clock() + MAX_PLAN_SECONDS

        def compute_skew(window: expert_demand.Window) -> float:
            return self._compute_skew(expert_map, window)

        while True:
            utilization = self._utilization()
            names = self._choose_sampled_ranks(client, utilization)
            if self._has_new_slow_ranks():
                return await self._search_map(expert_map)
            interval = self._choose_read_interval(utilization)
            if utilization and await self._watch.measure_initially(
                names, interval
            ):
                return await self._search_map(expert_map)
            if self._watch.have_passes_slowed():
                if not await self._watch.measure(names, compute_skew):
                    # A rank may have become slow, which its report shows.
                    return None
                return await self._search_map(expert_map)
            match await self._watch.check(
                names, self._count_monitored_ranks(), interval, compute_skew
            ):
                case (
                    demand_watch.ReplanReason.SHIFTED
                    | demand_watch.ReplanReason.DRIFTED
                ):
                    return await self._search_map(expert_map)
                case demand_watch.ReplanReason.COUNTED:
                    return await self._search_map(
                        expert_map, MIN_REFINEMENT_GAIN
                    )
            if self._clock() + PASS_CHECK_INTERVAL_SECONDS > until:
                return None
            await anyio.sleep(PASS_CHECK_INTERVAL_SECONDS)

    def record_outcome(self, *, plan: map_changes.Plan, done: bool) -> None:
        """Log whether a change was completed."""
        logging.info('map change ended', extra=logs.fields(done=done))

    def _choose_sampled_ranks(
        self, client: map_client.GroupClient, utilization: float
    ) -> list[str]:
        """Return the ranks to sample; the first ones are monitored."""
        # Slow ranks get no requests, so their counts do not change.
        slow = {client.find_agent(rank) for rank in self._slow_ranks()}
        names = sorted(client.members())
        candidates = [name for name in names if name not in slow] or names
        slots = _interpolate(
            utilization,
            SAMPLED_SLOTS_AT_LOW_UTILIZATION,
            SAMPLED_SLOTS_AT_HIGH_UTILIZATION,
        )
        return candidates[
            : min(MAX_SAMPLED_RANKS, math.ceil(slots / self._slots))
        ]

    def _has_new_slow_ranks(self) -> bool:
        """Return whether ranks became slow since the last plan."""
        slow = frozenset(self._slow_ranks())
        return (
            self._watch.demand.has_counts()
            and not slow <= self._planned_slow_ranks
        )

    def _compute_copy_limits(self) -> list[int]:
        """Return the maximum number of copies per rank in one change."""
        limit = self._max_new_experts * self._shape.layers
        if self._copy_seconds:
            long_copies = min(
                MAX_LONG_COPIES,
                int(MAX_LONG_COPY_SECONDS / self._copy_seconds),
            )
            limit = max(
                1, long_copies, int(MAX_COPY_SECONDS / self._copy_seconds)
            )
        return [limit] * self._shape.ranks

    def _compute_skew(
        self, expert_map: expert_maps.ExpertMap, window: expert_demand.Window
    ) -> float:
        """Return the mean skew of the layers for the counts of a window."""
        slow = self._slow_ranks()
        experts = self._shape.experts
        return statistics.fmean(
            _compute_layer_skew(
                layer,
                window.counts[number * experts : (number + 1) * experts],
                slow,
            )
            for number, layer in enumerate(expert_map.layers)
        )

    def _choose_read_interval(self, utilization: float) -> float:
        """Return the seconds between reads of counts."""
        factor = MAX_RANKS_FOR_FULL_INTERVAL / self._shape.ranks
        factor = min(1.0, max(MIN_INTERVAL_FACTOR, factor))
        return factor * _interpolate(
            utilization,
            READ_INTERVAL_SECONDS_AT_LOW_UTILIZATION,
            READ_INTERVAL_SECONDS_AT_HIGH_UTILIZATION,
        )

    def _count_monitored_ranks(self) -> int:
        return max(1, self._shape.ranks // RANKS_PER_MONITORED_RANK)

    def _choose_min_gain_per_copy(self, utilization: float) -> float:
        """Return the reduction of a layer's skew required for one copy."""
        gain = _interpolate(
            utilization,
            MIN_GAIN_PER_COPY_AT_LOW_UTILIZATION,
            MIN_GAIN_PER_COPY_AT_HIGH_UTILIZATION,
        )
        factor = 1.0
        if self._copy_seconds:
            factor = self._copy_seconds / REFERENCE_COPY_SECONDS
        factor = min(1.0, max(MIN_COPY_COST_FACTOR, factor))
        return gain * factor * self._shape.layers / self._shape.ranks

    def _evacuate(
        self,
        layer: expert_maps.Layer,
        popularity: Sequence[float],
        slow: dict[int, float],
    ) -> expert_maps.Layer:
        """Return the layer with experts moved off slow ranks if possible."""
        if not slow:
            return layer
        return slow_rank_relief.SlowRankRelief(
            layer=layer,
            popularity=popularity,
            slots=self._shape.slots,
            most_new=self._max_new_experts,
            slow=slow,
        ).empty()

    async def _search_map(
        self, expert_map: expert_maps.ExpertMap, min_gain: float = 0.0
    ) -> map_changes.Plan | None:
        """Search for moves whose gain is worth their copies.

        :param min_gain: additional lower bound on the gain in mean skew.
        """
        self._watch.mark_planned()
        utilization = self._utilization()
        slow = self._slow_ranks()
        self._planned_slow_ranks = frozenset(slow)
        popularities = [
            self._watch.demand.estimate(number)
            for number in range(self._shape.layers)
        ]
        new = await map_moves.MapSearch(
            searches=self._create_searches(expert_map, popularities, slow),
            min_gain_per_copy=self._choose_min_gain_per_copy(utilization),
            max_moves=math.ceil(MAX_MOVES_PER_RANK * self._shape.ranks),
        ).improve()
        before = mean_skew(expert_map.layers, popularities, slow)
        after = mean_skew(new, popularities, slow)
        copies = placement.count_loads(old=expert_map.layers, new=new)
        changes = before - after >= max(
            min_gain,
            _interpolate(
                utilization,
                MIN_GAIN_AT_LOW_UTILIZATION,
                MIN_GAIN_AT_HIGH_UTILIZATION,
            ),
        )
        logging.info(
            'map considered',
            extra=logs.fields(
                version=str(expert_map.version),
                skew=round(before, 3),
                skew_after=round(after, 3),
                copies=copies,
                use=round(utilization, 3),
                slow_ranks=len(slow),
                changes=changes,
            ),
        )
        if changes:
            self._watch.set_planned_skew(after)
        elif not min_gain or not self._watch.has_planned_skew():
            self._watch.set_planned_skew(before)
        if not changes:
            return None
        return map_changes.Plan(
            layers=new,
            load_limit=MAX_PREPARE_SECONDS,
            load_seconds=self._estimate_copy_seconds(expert_map.layers, new),
        )

    def _create_searches(
        self,
        expert_map: expert_maps.ExpertMap,
        popularities: Sequence[Sequence[float]],
        slow: dict[int, float],
    ) -> list[layer_moves.LayerSearch]:
        """Return a search per layer, starting with slow ranks evacuated."""
        copies_left = self._compute_copy_limits()
        searches = []
        for layer, popularity in zip(expert_map.layers, popularities):
            evacuated = self._evacuate(layer, popularity, slow)
            for rank, held in enumerate(evacuated):
                copies_left[rank] -= len(set(held) - set(layer[rank]))
            searches.append(
                layer_moves.LayerSearch(
                    layer=evacuated,
                    popularity=popularity,
                    slots=self._shape.slots,
                    most_new=self._max_new_experts,
                    most_others=MAX_TARGET_RANKS,
                    copies_left=copies_left,
                    first=layer,
                    closed=slow,
                )
            )
        return searches

    def _estimate_copy_seconds(
        self,
        old: Sequence[expert_maps.Layer],
        new: Sequence[expert_maps.Layer],
    ) -> float | None:
        """Return the expected seconds until all ranks have copied."""
        if not self._copy_seconds:
            return None
        copies = max(
            sum(
                len(set(after[rank]) - set(before[rank]))
                for before, after in zip(old, new)
            )
            for rank in range(self._shape.ranks)
        )
        return copies * self._copy_seconds * COPY_TIME_MARGIN


def _compute_layer_skew(
    layer: expert_maps.Layer,
    popularity: Sequence[float],
    slow: dict[int, float],
) -> float:
    """Return the longest rank time over that of an even map.

    An even map spreads the load over the ranks that are not slow.
    """
    loads = expert_maps.rank_loads(layer=layer, popularity=popularity)
    total = sum(loads)
    if total <= 0.0:
        return 1.0
    times = [load * slow.get(rank, 1.0) for rank, load in enumerate(loads)]
    return max(times) * (len(loads) - len(slow)) / total


def _interpolate(utilization: float, low: float, high: float) -> float:
    """Interpolate geometrically between two values by utilization."""
    part = min(
        1.0,
        max(
            0.0,
            (utilization - LOW_UTILIZATION)
            / (HIGH_UTILIZATION - LOW_UTILIZATION),
        ),
    )
    return float(low * (high / low) ** part)


def mean_skew(
    layers: Sequence[expert_maps.Layer],
    popularities: Sequence[Sequence[float]],
    slow: dict[int, float],
) -> float:
    """Return the mean skew of layers, with slow ranks weighted."""
    return statistics.fmean(
        _compute_layer_skew(layer, popularity, slow)
        for layer, popularity in zip(layers, popularities)
    )
