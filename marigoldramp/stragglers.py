"""Detects ranks that are slower than their expert load explains.

The step time of each rank is compared with the time expected for its expert
load.  A rank that takes longer has another fault, such as a throttled
accelerator or a bad link.  Moving experts away would compensate for the fault
only in part and would go on forever, so the rank is reported to the operator
instead.
"""

import dataclasses
import statistics
from typing import Sequence

from . import popularity


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Straggler:
    """A slow rank, reported to the operator.

    :ivar slowdown: its step time over the time expected for its load.
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
    """Compares the step times of the ranks of a group.

    :param tolerance: excess over the expected time that is still normal, as
        a fraction.
    :param min_rounds: consecutive rounds of timings in which a rank is slow
        before it is reported.
    """

    __slots__ = ('_tolerance', '_min_rounds', '_slow_rounds', '_latest')

    def __init__(
        self, *, tolerance: float = 0.15, min_rounds: int = 3
    ) -> None:
        self._tolerance = tolerance
        self._min_rounds = min_rounds
        self._slow_rounds: dict[int, int] = {}
        self._latest: dict[int, Straggler] = {}

    def take(self, timings: Sequence[popularity.RankTiming]) -> None:
        """Process one round of timings of all ranks."""
        usable = [
            timing for timing in timings if timing.steps and timing.tokens > 0
        ]
        if len(usable) < 3:
            return
        loads = [timing.tokens / timing.steps for timing in usable]
        times = [timing.busy_seconds / timing.steps for timing in usable]
        mean = sum(loads) / len(loads)
        slope, intercept = fit_line(loads=loads, times=times)
        for timing, load, time in zip(usable, loads, times):
            expected = intercept + slope * load
            slowdown = time / expected if expected > 0 else 1.0
            self._update_rank(timing.rank, slowdown, load / mean)

    def _update_rank(self, rank: int, slowdown: float, load: float) -> None:
        if slowdown <= 1.0 + self._tolerance:
            self._slow_rounds.pop(rank, None)
            self._latest.pop(rank, None)
            return
        self._slow_rounds[rank] = self._slow_rounds.get(rank, 0) + 1
        self._latest[rank] = Straggler(rank=rank, slowdown=slowdown, load=load)

    def findings(self) -> tuple[Straggler, ...]:
        """Return the ranks whose slowness their load does not explain."""
        return tuple(
            self._latest[rank]
            for rank, rounds in sorted(self._slow_rounds.items())
            if rounds >= self._min_rounds
        )


def fit_line(
    *, loads: Sequence[float], times: Sequence[float]
) -> tuple[float, float]:
    """Return slope and intercept of the step time over the load.

    The Theil-Sen estimator takes the median of the slopes of all pairs; a
    least-squares line would follow the straggler and partly hide it.
    """
    slopes = [
        (times[one] - times[other]) / (loads[one] - loads[other])
        for one in range(len(loads))
        for other in range(one)
        if loads[one] != loads[other]
    ]
    slope = max(statistics.median(slopes), 0.0) if slopes else 0.0
    intercept = statistics.median(
        time - slope * load for load, time in zip(loads, times)
    )
    return slope, intercept
