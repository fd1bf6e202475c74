"""Reads the expert counts of a group's ranks and detects shifts of demand.

Reading counts has a cost and pauses the group.  While nothing changes one rank
is read now and then.  When passes get slower or that rank shows a shift, a few
ranks are read twice, a moment apart, so that the counts are all from after the
shift.
"""

import enum
from typing import Callable

from absl import logging
import anyio

from .. import logs
from . import expert_demand
from . import ranks
from .balancing import endpoints
from .queueing import pass_times

#: Time after a shift for which counts are collected before the first plan.
#: With the interval between batches the window is 0.2 s.  Plans from a window
#: twice as long leave a skew of 1.26 to 1.29; plans from this one leave 1.20
#: to 1.31, 0.1 s sooner.
MEASURE_WINDOW_SECONDS = 0.1
#: Time after the first plan when more counts allow a better one.
REFINE_AFTER_SECONDS = 0.8
#: Interval between plans while no shift is detected.
REPLAN_INTERVAL_SECONDS = 3.0
#: Maximum interval between reads while nothing has been counted.
MAX_INITIAL_READ_INTERVAL_SECONDS = 0.4
#: Time after a check that showed no shift for which slower passes do not cause
#: another check.
SHIFT_CHECK_COOLDOWN_SECONDS = 0.5
#: Ranks are read in batches of this size, about one pass apart.
MAX_CONCURRENT_READS = 6
READ_BATCH_INTERVAL_SECONDS = 0.1
#: Time for which reads may pause the group in one pass, and its pause for each
#: counter of a rank that is read.  With 192 ranks of 3,840 counters, six reads
#: at once add 29 ms to a pass of 0.12 s, while callers accept pauses of
#: 0.15 s: each batch would make all streams late.
MAX_READ_PAUSE_SECONDS = 0.01
PAUSE_SECONDS_PER_COUNTER = 0.0005 / 400


#: Returns the skew of the map in force if demand is as counted in a window.
SkewFunction = Callable[[expert_demand.Window], float]


class ReplanReason(enum.Enum):
    """Why a new plan is needed.

    :cvar SHIFTED: requests choose other experts than before.
    :cvar COUNTED: more has been counted since the first plan after a shift.
    :cvar DRIFTED: demand may have changed gradually.
    """

    NONE = enum.auto()
    SHIFTED = enum.auto()
    COUNTED = enum.auto()
    DRIFTED = enum.auto()


class DemandWatch:
    """Estimates the expert demand of one group and detects shifts.

    :param find_endpoint: returns the endpoint with a name.
    :param passes: durations of the group's forward passes.
    :ivar demand: the current estimate.
    """

    __slots__ = (
        '_api',
        '_find_endpoint',
        '_passes',
        '_clock',
        '_planned_at',
        '_refined',
        '_last_read_at',
        '_cooldown_until',
        '_monitored_thresholds',
        '_sampled_thresholds',
        '_planned_skew',
        'demand',
    )

    def __init__(
        self,
        *,
        api: ranks.RankApi,
        demand: expert_demand.ExpertDemand,
        find_endpoint: Callable[[str], endpoints.Endpoint | None],
        passes: pass_times.PassTimes,
        clock: Callable[[], float],
    ) -> None:
        self._api = api
        self._find_endpoint = find_endpoint
        self._passes = passes
        self._clock = clock
        self._planned_at = float('-inf')
        self._refined = True
        self._last_read_at = float('-inf')
        self._cooldown_until = float('-inf')
        self._monitored_thresholds = expert_demand.ShiftThresholds()
        self._sampled_thresholds = expert_demand.ShiftThresholds()
        self._planned_skew: float | None = None
        self.demand = demand

    def mark_planned(self) -> None:
        """Record that a plan was made from the current estimate."""
        self._planned_at = self._clock()

    def set_planned_skew(self, skew: float) -> None:
        """Set the expected skew of the map in force from now on."""
        self._planned_skew = skew

    def has_planned_skew(self) -> bool:
        """Return whether the skew of the map in force is known."""
        return self._planned_skew is not None

    def have_passes_slowed(self) -> bool:
        """Return whether passes became slower since the last check."""
        if (
            self._clock() < self._cooldown_until
            or not self.demand.has_counts()
        ):
            return False
        return self._passes.are_longer()

    async def measure_initially(
        self, names: list[str], interval: float
    ) -> bool:
        """Collect the first counts of a group; return whether there are any.

        When a group has lost its leader, all callers come back at once, and
        its map is some seconds old.  Waiting for the next read of one rank
        would leave that map in force for another second.
        """
        if self.demand.has_counts() or not self._is_read_due(
            min(interval, MAX_INITIAL_READ_INTERVAL_SECONDS)
        ):
            return False
        self._last_read_at = self._clock()
        self._add(await self._read_ranks(names))
        if not self.demand.has_counts():
            await anyio.sleep(MEASURE_WINDOW_SECONDS)
            self._add(await self._read_ranks(names))
        self._refined = False
        return self.demand.has_counts()

    async def measure(
        self, names: list[str], compute_skew: SkewFunction
    ) -> bool:
        """Sample ranks from now on; return whether demand has shifted."""
        await self._read_ranks(names)
        await anyio.sleep(MEASURE_WINDOW_SECONDS)
        window = await self._read_ranks(names)
        self._passes.reset_baseline()
        if not self._shows_shift(
            window, self._sampled_thresholds, compute_skew
        ):
            self._add(window)
            self._cooldown_until = self._clock() + SHIFT_CHECK_COOLDOWN_SECONDS
            return False
        self.demand.reset()
        self._add(window)
        self._refined = False
        return True

    def _shows_shift(
        self,
        window: expert_demand.Window | None,
        thresholds: expert_demand.ShiftThresholds,
        compute_skew: SkewFunction,
    ) -> bool:
        """Return whether a window differs from the estimate beyond noise."""
        if window is None or not self.demand.has_counts():
            return False
        distance = self.demand.compute_distance(window)
        skew = compute_skew(window)
        planned_skew = (
            skew if self._planned_skew is None else self._planned_skew
        )
        excess_skew = max(0.0, skew - planned_skew)
        shifted = (
            distance > thresholds.distance.limit()
            or excess_skew > thresholds.excess_skew.limit()
        )
        logging.info(
            'demand measured',
            extra=logs.fields(
                counted=sum(window.counts),
                distance=round(distance, 3),
                distance_limit=round(thresholds.distance.limit(), 3),
                skew=round(skew, 3),
                skew_limit=round(
                    planned_skew + thresholds.excess_skew.limit(), 3
                ),
                shifted=shifted,
            ),
        )
        if not shifted:
            thresholds.distance.record(distance)
            thresholds.excess_skew.record(excess_skew)
        return shifted

    async def check(
        self,
        names: list[str],
        monitored_count: int,
        interval: float,
        compute_skew: SkewFunction,
    ) -> ReplanReason:
        """Read counts if a read is due; return why a new plan is needed.

        :param monitored_count: number of ranks read while nothing changes.
        """
        if not self._is_read_due(interval):
            return ReplanReason.NONE
        now = self._clock()
        self._last_read_at = now
        age = now - self._planned_at
        due = age >= (
            REPLAN_INTERVAL_SECONDS if self._refined else REFINE_AFTER_SECONDS
        )
        thresholds = (
            self._sampled_thresholds if due else self._monitored_thresholds
        )
        if due:
            window = await self._read_ranks(names)
        elif monitored_count > 1:
            window = await self._read_ranks(names[:monitored_count])
        else:
            window = await self._read_one(names[0])
        if self._shows_shift(window, thresholds, compute_skew):
            if await self.measure(names, compute_skew):
                return ReplanReason.SHIFTED
            # After a first plan from few counts a window can look like a shift
            # without one; the plan still has to be refined.
        self._add(window)
        if not due or not self.demand.has_counts():
            return ReplanReason.NONE
        reason = (
            ReplanReason.DRIFTED if self._refined else ReplanReason.COUNTED
        )
        self._refined = True
        return reason

    def _is_read_due(self, interval: float) -> bool:
        """Return whether a periodic read is due."""
        return self._clock() - self._last_read_at >= interval

    def _add(self, window: expert_demand.Window | None) -> None:
        if window is not None:
            self.demand.add(window, now=self._clock())

    async def _read_one(self, name: str) -> expert_demand.Window | None:
        """Return what one rank has counted since its last read."""
        counts = await self._request_counts(name)
        if counts is None:
            return None
        return self.demand.take_window(name=name, rank_counts=counts)

    async def _read_ranks(
        self, names: list[str]
    ) -> expert_demand.Window | None:
        """Return what ranks together have counted since their last read.

        Ranks are read in batches, as each read pauses the group.
        """
        windows: list[expert_demand.Window] = []

        async def read(name: str) -> None:
            counts = await self._request_counts(name)
            if counts is None:
                return
            window = self.demand.take_partial_window(
                name=name, rank_counts=counts
            )
            if window is not None:
                windows.append(window)

        batch_size = self._limit_concurrent_reads()
        for first in range(0, len(names), batch_size):
            if first:
                await anyio.sleep(READ_BATCH_INTERVAL_SECONDS)
            async with anyio.create_task_group() as tasks:
                for name in names[first : first + batch_size]:
                    tasks.start_soon(read, name)
        return expert_demand.merge(windows)

    def _limit_concurrent_reads(self) -> int:
        """Return the maximum number of ranks to read in one pass."""
        pause = PAUSE_SECONDS_PER_COUNTER * self.demand.counter_count
        return max(
            1,
            min(MAX_CONCURRENT_READS, int(MAX_READ_PAUSE_SECONDS / pause)),
        )

    async def _request_counts(self, name: str) -> ranks.RankCounts | None:
        endpoint = self._find_endpoint(name)
        if endpoint is None:
            return None
        counts = await self._api.counts(
            address=endpoint.address, identity=name
        )
        return None if isinstance(counts, ranks.NoReply) else counts
