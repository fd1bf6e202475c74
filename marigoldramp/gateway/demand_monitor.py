"""Reads the counts of a group's ranks when they tell most.

Counts are paid for and make the group pause.  So those of one rank are read
now and then, and those of a few when passes take longer or that one shows a
shift: twice, a moment apart, so that they are of after the shift alone.
"""

import enum
from typing import Callable

from absl import logging
import anyio

from .. import logs
from . import endpoints
from . import expert_demand
from . import pass_times
from . import ranks

#: Seconds after a shift for which counts are taken before the first plan; with
#: the pause between reads a window of 0.2 s.  A plan from twice the time left
#: a skew of 1.26 to 1.29 where this leaves 1.20 to 1.31, 0.1 s sooner.
MEASURE_SECONDS = 0.1
#: Seconds after a first plan from which on more counts make a better one, and
#: seconds between two plans while nothing shifts.
REFINE_SECONDS = 0.8
DRIFT_SECONDS = 3.0
#: Seconds between two looks while nothing is known of what a group does.
FIRST_SECONDS = 0.4
#: Seconds after one look that showed no shift in which it is not looked again.
QUIET_SECONDS = 0.5
#: Most ranks that are read at the same time, and seconds until the next ones,
#: which is a pass or so.
READ_AT_ONCE = 6
READ_PAUSE = 0.1
#: Seconds for which a group may pause for reads in one pass, and for which it
#: pauses for each number that one rank has counted.  With 192 ranks that count
#: 3,840 numbers six at once take 29 ms of passes of 0.12 s, of which callers
#: accept 0.15: all streams are late by each read.
LONGEST_PAUSE = 0.01
PAUSE_A_NUMBER = 0.0005 / 400


#: Returns the skew of the map in force, were a window all that is asked for.
FindSkew = Callable[[expert_demand.Window], float]


class Sign(enum.Enum):
    """Why to look for a better map.

    :cvar SHIFTED: requests ask for other experts.
    :cvar COUNTED: more has been counted since the plan for a shift.
    :cvar DRIFTED: what requests ask for may have changed little by little.
    """

    NONE = enum.auto()
    SHIFTED = enum.auto()
    COUNTED = enum.auto()
    DRIFTED = enum.auto()


class DemandMonitor:
    """Follows what the requests of one group ask for.

    :param find: returns the endpoint of a name.
    :param passes: how long the passes of the group last.
    :ivar demand: what is known of it.
    """

    __slots__ = (
        '_api',
        '_find',
        '_passes',
        '_clock',
        '_planned_at',
        '_refined',
        '_read_at',
        '_quiet_until',
        '_watched',
        '_measured',
        '_planned_skew',
        'demand',
    )

    def __init__(
        self,
        *,
        api: ranks.RankApi,
        demand: expert_demand.ExpertDemand,
        find: Callable[[str], endpoints.Endpoint | None],
        passes: pass_times.PassTimes,
        clock: Callable[[], float],
    ) -> None:
        self._api = api
        self._find = find
        self._passes = passes
        self._clock = clock
        self._planned_at = float('-inf')
        self._refined = True
        self._read_at = float('-inf')
        self._quiet_until = float('-inf')
        self._watched = expert_demand.Signs()
        self._measured = expert_demand.Signs()
        self._planned_skew: float | None = None
        self.demand = demand

    def note_planned(self) -> None:
        """A plan was looked for, by what is known now."""
        self._planned_at = self._clock()

    def note_skew(self, skew: float) -> None:
        """The map in force from now on should have this skew."""
        self._planned_skew = skew

    def has_planned(self) -> bool:
        """Whether the skew of the map in force is known."""
        return self._planned_skew is not None

    def are_passes_longer(self) -> bool:
        """Whether passes take longer, for a reason not yet looked for."""
        if self._clock() < self._quiet_until or not self.demand.is_known():
            return False
        return self._passes.are_longer()

    async def measure_first(self, names: list[str], pause: float) -> bool:
        """Count what a group does that we begin to lead; say if we do now.

        All callers come back at once to a group that has lost its leader,
        and find the map of some seconds ago; waiting for the next reading of
        one rank would leave it to them for a second more.
        """
        if self.demand.is_known() or not self._may_read(
            min(pause, FIRST_SECONDS)
        ):
            return False
        self._read_at = self._clock()
        self._add(await self._read(names))
        if not self.demand.is_known():
            await anyio.sleep(MEASURE_SECONDS)
            self._add(await self._read(names))
        self._refined = False
        return self.demand.is_known()

    async def measure(self, names: list[str], find_skew: FindSkew) -> bool:
        """Count anew, from now on; return whether demand has shifted."""
        await self._read(names)
        await anyio.sleep(MEASURE_SECONDS)
        window = await self._read(names)
        self._passes.reset_baseline()
        if not self._shows_shift(window, self._measured, find_skew):
            self._add(window)
            self._quiet_until = self._clock() + QUIET_SECONDS
            return False
        self.demand.restart()
        self._add(window)
        self._refined = False
        return True

    def _shows_shift(
        self,
        window: expert_demand.Window | None,
        signs: expert_demand.Signs,
        find_skew: FindSkew,
    ) -> bool:
        """Whether a window differs by more than chance from the last ones."""
        if window is None or not self.demand.is_known():
            return False
        distance = self.demand.distance(window)
        skew = find_skew(window)
        planned = skew if self._planned_skew is None else self._planned_skew
        uneven = max(0.0, skew - planned)
        shifted = (
            distance > signs.distance.limit() or uneven > signs.uneven.limit()
        )
        logging.info(
            'demand measured',
            extra=logs.fields(
                counted=sum(window.counts),
                distance=round(distance, 3),
                distance_limit=round(signs.distance.limit(), 3),
                skew=round(skew, 3),
                skew_limit=round(planned + signs.uneven.limit(), 3),
                shifted=shifted,
            ),
        )
        if not shifted:
            signs.distance.note(distance)
            signs.uneven.note(uneven)
        return shifted

    async def look(
        self,
        names: list[str],
        watched: int,
        pause: float,
        find_skew: FindSkew,
    ) -> Sign:
        """Read counts if it is time; say why to look for a better map.

        :param watched: how many of the ranks are read while nothing changes.
        """
        if not self._may_read(pause):
            return Sign.NONE
        now = self._clock()
        self._read_at = now
        age = now - self._planned_at
        due = age >= (DRIFT_SECONDS if self._refined else REFINE_SECONDS)
        signs = self._measured if due else self._watched
        if due:
            window = await self._read(names)
        elif watched > 1:
            window = await self._read(names[:watched])
        else:
            window = await self._read_one(names[0])
        if self._shows_shift(window, signs, find_skew):
            if await self.measure(names, find_skew):
                return Sign.SHIFTED
            # A first plan that was made from few counts looks like that, too;
            # it is to be refined all the same.
        self._add(window)
        if not due or not self.demand.is_known():
            return Sign.NONE
        found = Sign.DRIFTED if self._refined else Sign.COUNTED
        self._refined = True
        return found

    def _may_read(self, pause: float) -> bool:
        """Whether it is time to read counts without any other reason."""
        return self._clock() - self._read_at >= pause

    def _add(self, window: expert_demand.Window | None) -> None:
        if window is not None:
            self.demand.add(window, now=self._clock())

    async def _read_one(self, name: str) -> expert_demand.Window | None:
        """Return what one rank has counted since it was last read."""
        found = await self._ask(name)
        if found is None:
            return None
        return self.demand.read(name=name, found=found)

    async def _read(self, names: list[str]) -> expert_demand.Window | None:
        """Return what ranks together have counted since they were last read.

        The group pauses for each answer, so few are read at a time.
        """
        windows: list[expert_demand.Window] = []

        async def read(name: str) -> None:
            found = await self._ask(name)
            if found is None:
                return
            window = self.demand.read_part(name=name, found=found)
            if window is not None:
                windows.append(window)

        at_once = self._count_at_once()
        for first in range(0, len(names), at_once):
            if first:
                await anyio.sleep(READ_PAUSE)
            async with anyio.create_task_group() as tasks:
                for name in names[first : first + at_once]:
                    tasks.start_soon(read, name)
        return expert_demand.merge(windows)

    def _count_at_once(self) -> int:
        """Return how many ranks may be read in one pass."""
        pause = PAUSE_A_NUMBER * self.demand.size
        return max(1, min(READ_AT_ONCE, int(LONGEST_PAUSE / pause)))

    async def _ask(self, name: str) -> ranks.RankCounts | None:
        endpoint = self._find(name)
        if endpoint is None:
            return None
        found = await self._api.counts(address=endpoint.address, identity=name)
        return None if isinstance(found, ranks.NoReply) else found
