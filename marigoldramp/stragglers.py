"""Recognises a rank that is slow although its expert load is normal.

Step time by rank is compared with what the rank's expert load explains.  A
rank that takes longer than that has another fault (a throttled accelerator,
a bad link).  Moving experts away from it mends only a part and would go on
for ever, so the operator is told instead.
"""

import dataclasses
import statistics
from typing import Sequence

from . import popularity


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Straggler:
    """A finding for the operator.

    :ivar slowdown: its time over the time that its load explains.
    :ivar load: its expert load over the mean of all ranks.
    """

    rank: int
    slowdown: float
    load: float

    def __str__(self) -> str:
        return (
            f'rank {self.rank} takes {self.slowdown:.2f} times as long as '
            f'its expert load explains (load {self.load:.2f} of the mean); '
            'moving experts does not mend this, look at its accelerator '
            'and links'
        )


class Detector:
    """Watches the timings of all ranks of a group.

    :param tolerance: how much longer than explained is still normal.
    :param needed: rounds of reports in a row before a rank is reported.
    """

    __slots__ = ('_tolerance', '_needed', '_rounds', '_latest')

    def __init__(self, *, tolerance: float = 0.15, needed: int = 3) -> None:
        self._tolerance = tolerance
        self._needed = needed
        self._rounds: dict[int, int] = {}
        self._latest: dict[int, Straggler] = {}

    def take(self, timings: Sequence[popularity.RankTiming]) -> None:
        """Judge one round of timings of all ranks."""
        steady = [one for one in timings if one.steps and one.tokens > 0]
        if len(steady) < 3:
            return
        loads = [one.tokens / one.steps for one in steady]
        times = [one.busy_seconds / one.steps for one in steady]
        mean = sum(loads) / len(loads)
        slope, base = fit(loads=loads, times=times)
        for timing, load, time in zip(steady, loads, times):
            explained = base + slope * load
            slowdown = time / explained if explained > 0 else 1.0
            self._judge(timing.rank, slowdown, load / mean)

    def _judge(self, rank: int, slowdown: float, load: float) -> None:
        if slowdown <= 1.0 + self._tolerance:
            self._rounds.pop(rank, None)
            self._latest.pop(rank, None)
            return
        self._rounds[rank] = self._rounds.get(rank, 0) + 1
        self._latest[rank] = Straggler(rank=rank, slowdown=slowdown, load=load)

    def findings(self) -> tuple[Straggler, ...]:
        """Return the ranks that are slow for no reason of their load."""
        return tuple(
            self._latest[rank]
            for rank, rounds in sorted(self._rounds.items())
            if rounds >= self._needed
        )


def fit(
    *, loads: Sequence[float], times: Sequence[float]
) -> tuple[float, float]:
    """Return slope and base of the time over the load.

    Medians of the pairs' slopes (Theil and Sen): a least-squares line would
    be drawn towards the straggler and half hide it.
    """
    slopes = [
        (times[one] - times[other]) / (loads[one] - loads[other])
        for one in range(len(loads))
        for other in range(one)
        if loads[one] != loads[other]
    ]
    slope = max(statistics.median(slopes), 0.0) if slopes else 0.0
    base = statistics.median(
        time - slope * load for load, time in zip(loads, times)
    )
    return slope, base
