"""Decides when the expert map of a group is changed, and to what.

Counts are paid for and make the group pause, so few are read while nothing
changes: those of one rank each second.  When passes take longer, a few ranks
are counted anew, and the plan is made from these counts alone.
"""

import math
import statistics
from typing import Callable
from typing import Sequence

from absl import logging
import anyio

from .. import evacuation
from .. import expert_maps
from .. import layer_moves
from .. import logs
from .. import map_changes
from .. import map_client
from .. import map_moves
from .. import placement
from . import demand_monitor
from . import endpoints
from . import expert_demand
from . import pass_times
from . import ranks

#: Seconds for which one look for a shift lasts; then the leader looks at the
#: group again.
SAMPLE_SECONDS = 1.0
#: Seconds between two reads of the one rank that is watched, when endpoints
#: are little used and when they are full.
WATCH_IDLE = 2.0
WATCH_FULL = 1.0
#: Ranks of a group for each one that is watched, and for which the pause is
#: that long; in a larger group it is shorter, down to a part.  A reading costs
#: the same in each, and a large group has more to lose by an uneven map.
RANKS_A_WATCHED = 48
RANKS_A_PAUSE = 96
LEAST_PAUSE_PART = 0.5
#: Seconds between two looks at how long passes last, which cost nothing.
LOOK_SECONDS = 0.05
#: Requests that the ranks whose counts a plan is made from can run at once,
#: when endpoints are little used and when they are full.  Ranks of a large
#: group run fewer requests each, so more of them are read.
MEASURED_IDLE = 12.0
MEASURED_FULL = 36.0
#: Most of these ranks, as they are read one after the other where each makes
#: the group pause for long.
MOST_MEASURED = 6
#: Seconds that the copies of one change may take on any rank.  With 72 ranks,
#: 144 experts and 12 layers five copies of 0.016 s a rank bring a skew of 3.2
#: down to 1.14, and seven to 1.11; meanwhile passes take 15 in 100 longer, and
#: those are the longest of all.
COPY_SECONDS = 0.09
#: Copies that a rank may make even so, and the seconds that these may take.
#: With three copies of 0.11 s a rank a group of 16 comes from a skew of 2.3
#: to 3.8 down to 1.12 to 1.2.
FEW_COPIES = 3
FEW_COPY_SECONDS = 0.36
#: Least fall of the mean skew for which a map is changed; a change costs some
#: forty orders.
LEAST_GAIN_IDLE = 0.35
LEAST_GAIN_FULL = 0.08
#: The same for a better plan soon after a shift, by what was counted since the
#: first one.  For half a second after each change no shift is told, as reports
#: have to show it first: demand that shifted just then was planned for 1.2 s
#: later instead of 0.6 s, and a fall from 1.25 to 1.07 costs as many copies as
#: one from 3.0 to 1.17.
LEAST_REFINED_GAIN = 0.25
#: Least fall of the mean skew for a copy of an expert to one rank in so many,
#: when endpoints are little used and when they are full.  A copy costs the
#: same on both, but an even group serves many more requests in time when it
#: is full; and in a larger group it costs a smaller part of what is served.
GAIN_A_COPY_IDLE = 0.4
GAIN_A_COPY_FULL = 0.0224
#: Seconds of a copy for which these hold, and the least part of them.  Where a
#: copy takes 2.6 ms, an even map is as cheap for a little used group, which is
#: then full of requests in time when demand shifts.
USUAL_COPY_SECONDS = 0.11
LEAST_COPY_PART = 0.15
#: Use up to which a group counts as little used, and from which on it counts
#: as full: the part in use of what it may run at once, or the pauses of its
#: streams as a part of the accepted ones, whichever is higher.  What it may
#: run counts, not its slots: a group that is kept below its slots for its
#: pauses needs an even map most, and its pauses no longer show it.
IDLE_USE = 0.4
FULL_USE = 0.65
#: Moves that are tried in one layer for each rank, and ranks that each one
#: may go to.  From a first map of 72 ranks, 144 experts and 3 places the
#: search ends after some 55 moves at a skew of 1.1; 24 leave it at 1.3, and
#: more than 6 other ranks lead nowhere else.
MAX_MOVES_PER_RANK = 1.5
MAX_TARGET_RANKS = 6
#: What copies take over what the size and the link say: four copies of 0.111 s
#: were ready after 0.52 to 0.56 s.
COPY_MARGIN = 1.25
#: Seconds after which a preparation is given up.
PREPARE_SECONDS = 4.0


class ExpertPlanner:
    """Plans for one group, see :class:`.map_leader.Planner`.

    :param find: returns the endpoint of a name.
    :param spare: new experts that a rank can copy in each layer.
    :param slots: requests that a rank runs at once.
    :param seconds_a_copy: time in which a rank copies one expert.
    :param use: returns the use of the group, see :data:`IDLE_USE`.
    :param passes: how long the passes of the group last.
    :param slow_ranks: returns the pace of ranks that are slow.
    """

    __slots__ = (
        '_shape',
        '_spare',
        '_slots',
        '_use',
        '_slow_ranks',
        '_clock',
        '_seconds_a_copy',
        '_watch',
        '_slow_planned',
    )

    def __init__(
        self,
        *,
        api: ranks.RankApi,
        shape: expert_maps.Shape,
        spare: int,
        slots: float,
        find: Callable[[str], endpoints.Endpoint | None],
        use: Callable[[], float],
        passes: pass_times.PassTimes,
        slow_ranks: Callable[[], dict[int, float]],
        clock: Callable[[], float],
        seconds_a_copy: float = 0.0,
    ) -> None:
        self._use = use
        self._slow_ranks = slow_ranks
        self._shape = shape
        self._spare = spare
        self._slots = slots
        self._seconds_a_copy = seconds_a_copy
        self._clock = clock
        self._watch = demand_monitor.DemandMonitor(
            api=api,
            demand=expert_demand.ExpertDemand(
                layers=shape.layers, experts=shape.experts
            ),
            find=find,
            passes=passes,
            clock=clock,
        )
        self._slow_planned: frozenset[int] = frozenset()

    async def plan(
        self,
        *,
        expert_map: expert_maps.ExpertMap,
        client: map_client.GroupClient,
    ) -> map_changes.Plan | None:
        """Return the change to make now, if any; watch for a while."""
        until = self._clock() + SAMPLE_SECONDS

        def find_skew(window: expert_demand.Window) -> float:
            return self._find_skew(expert_map, window)

        while True:
            use = self._use()
            names = self._choose(client, use)
            if self._are_newly_slow():
                return await self._search(expert_map)
            pause = self._find_pause(use)
            if use and await self._watch.measure_first(names, pause):
                return await self._search(expert_map)
            if self._watch.are_passes_longer():
                if not await self._watch.measure(names, find_skew):
                    # A rank may have turned slow; its report says so.
                    return None
                return await self._search(expert_map)
            match await self._watch.look(
                names, self._count_watched(), pause, find_skew
            ):
                case demand_monitor.Sign.SHIFTED | demand_monitor.Sign.DRIFTED:
                    return await self._search(expert_map)
                case demand_monitor.Sign.COUNTED:
                    return await self._search(expert_map, LEAST_REFINED_GAIN)
            if self._clock() + LOOK_SECONDS > until:
                return None
            await anyio.sleep(LOOK_SECONDS)

    def record_outcome(self, *, plan: map_changes.Plan, done: bool) -> None:
        """Learn whether a change took place."""
        logging.info('map change ended', extra=logs.fields(done=done))

    def _choose(self, client: map_client.GroupClient, use: float) -> list[str]:
        """Return the ranks to read; the first ones are watched."""
        # A slow rank gets no requests, so it counts nothing.
        slow = {client.find_agent(rank) for rank in self._slow_ranks()}
        names = sorted(client.members())
        known = [name for name in names if name not in slow] or names
        places = _weigh(use, MEASURED_IDLE, MEASURED_FULL)
        return known[: min(MOST_MEASURED, math.ceil(places / self._slots))]

    def _are_newly_slow(self) -> bool:
        """Whether ranks have turned slow that the last plan used."""
        slow = frozenset(self._slow_ranks())
        return self._watch.demand.is_known() and not slow <= self._slow_planned

    def _count_copies(self) -> list[int]:
        """Return how many experts each rank may copy in one change."""
        most = self._spare * self._shape.layers
        if self._seconds_a_copy:
            few = min(FEW_COPIES, int(FEW_COPY_SECONDS / self._seconds_a_copy))
            most = max(1, few, int(COPY_SECONDS / self._seconds_a_copy))
        return [most] * self._shape.ranks

    def _find_skew(
        self, expert_map: expert_maps.ExpertMap, window: expert_demand.Window
    ) -> float:
        """Return the mean skew of the layers for what a window counted."""
        slow = self._slow_ranks()
        experts = self._shape.experts
        return statistics.fmean(
            _weigh_skew(
                layer,
                window.counts[number * experts : (number + 1) * experts],
                slow,
            )
            for number, layer in enumerate(expert_map.layers)
        )

    def _find_pause(self, use: float) -> float:
        """Return the seconds between two looks for a shift by counts."""
        part = RANKS_A_PAUSE / self._shape.ranks
        part = min(1.0, max(LEAST_PAUSE_PART, part))
        return part * _weigh(use, WATCH_IDLE, WATCH_FULL)

    def _count_watched(self) -> int:
        return max(1, self._shape.ranks // RANKS_A_WATCHED)

    def _find_gain_a_copy(self, use: float) -> float:
        """Return the least fall of a layer's skew for one copy."""
        gain = _weigh(use, GAIN_A_COPY_IDLE, GAIN_A_COPY_FULL)
        part = 1.0
        if self._seconds_a_copy:
            part = self._seconds_a_copy / USUAL_COPY_SECONDS
        part = min(1.0, max(LEAST_COPY_PART, part))
        return gain * part * self._shape.layers / self._shape.ranks

    def _evacuate(
        self,
        layer: expert_maps.Layer,
        popularity: Sequence[float],
        slow: dict[int, float],
    ) -> expert_maps.Layer:
        """Return the layer without experts on slow ranks, if it can be."""
        if not slow:
            return layer
        return evacuation.Evacuation(
            layer=layer,
            popularity=popularity,
            slots=self._shape.slots,
            most_new=self._spare,
            slow=slow,
        ).empty()

    async def _search(
        self, expert_map: expert_maps.ExpertMap, least_gain: float = 0.0
    ) -> map_changes.Plan | None:
        """Look for moves that are worth their copies.

        :param least_gain: least fall of the mean skew besides.
        """
        self._watch.note_planned()
        use = self._use()
        slow = self._slow_ranks()
        self._slow_planned = frozenset(slow)
        popular = [
            self._watch.demand.estimate(number)
            for number in range(self._shape.layers)
        ]
        new = await map_moves.MapSearch(
            searches=self._begin_searches(expert_map, popular, slow),
            min_gain_per_copy=self._find_gain_a_copy(use),
            max_moves=math.ceil(MAX_MOVES_PER_RANK * self._shape.ranks),
        ).improve()
        before = mean_skew(expert_map.layers, popular, slow)
        after = mean_skew(new, popular, slow)
        copies = placement.count_loads(old=expert_map.layers, new=new)
        changes = before - after >= max(
            least_gain, _weigh(use, LEAST_GAIN_IDLE, LEAST_GAIN_FULL)
        )
        logging.info(
            'map considered',
            extra=logs.fields(
                version=str(expert_map.version),
                skew=round(before, 3),
                skew_after=round(after, 3),
                copies=copies,
                use=round(use, 3),
                slow_ranks=len(slow),
                changes=changes,
            ),
        )
        if changes:
            self._watch.note_skew(after)
        elif not least_gain or not self._watch.has_planned():
            self._watch.note_skew(before)
        if not changes:
            return None
        return map_changes.Plan(
            layers=new,
            load_limit=PREPARE_SECONDS,
            load_seconds=self._time_copies(expert_map.layers, new),
        )

    def _begin_searches(
        self,
        expert_map: expert_maps.ExpertMap,
        popular: Sequence[Sequence[float]],
        slow: dict[int, float],
    ) -> list[layer_moves.LayerSearch]:
        """Return a search for each layer, with slow ranks emptied."""
        copies_left = self._count_copies()
        searches = []
        for layer, popularity in zip(expert_map.layers, popular):
            emptied = self._evacuate(layer, popularity, slow)
            for rank, held in enumerate(emptied):
                copies_left[rank] -= len(set(held) - set(layer[rank]))
            searches.append(
                layer_moves.LayerSearch(
                    layer=emptied,
                    popularity=popularity,
                    slots=self._shape.slots,
                    most_new=self._spare,
                    most_others=MAX_TARGET_RANKS,
                    copies_left=copies_left,
                    first=layer,
                    closed=slow,
                )
            )
        return searches

    def _time_copies(
        self,
        old: Sequence[expert_maps.Layer],
        new: Sequence[expert_maps.Layer],
    ) -> float | None:
        """Return the seconds after which all ranks should have copied."""
        if not self._seconds_a_copy:
            return None
        most = max(
            sum(
                len(set(after[rank]) - set(before[rank]))
                for before, after in zip(old, new)
            )
            for rank in range(self._shape.ranks)
        )
        return most * self._seconds_a_copy * COPY_MARGIN


def _weigh_skew(
    layer: expert_maps.Layer,
    popularity: Sequence[float],
    slow: dict[int, float],
) -> float:
    """Return the time of the slowest rank over the mean of the others."""
    loads = expert_maps.rank_loads(layer=layer, popularity=popularity)
    total = sum(loads)
    if total <= 0.0:
        return 1.0
    times = [load * slow.get(rank, 1.0) for rank, load in enumerate(loads)]
    return max(times) * (len(loads) - len(slow)) / total


def _weigh(use: float, idle: float, full: float) -> float:
    """Return the value between two that fits the use of a group."""
    part = min(1.0, max(0.0, (use - IDLE_USE) / (FULL_USE - IDLE_USE)))
    return float(idle * (full / idle) ** part)


def mean_skew(
    layers: Sequence[expert_maps.Layer],
    popular: Sequence[Sequence[float]],
    slow: dict[int, float],
) -> float:
    """Return the mean skew of layers."""
    return statistics.fmean(
        _weigh_skew(layer, popularity, slow)
        for layer, popularity in zip(layers, popular)
    )
