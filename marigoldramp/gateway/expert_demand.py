"""Estimates the demand for each expert of a group from counts of a few ranks.

Demand shifts abruptly: 35 to 50 % of the choices of experts go to others and
stay there for seconds.  Counts from before a shift say nothing about the
demand after it, so they are all dropped.  An average over some seconds would
need two map changes for each shift, the first of which leaves a skew of 1.2 to
1.5.

Counts of one rank vary between windows with the topics of its requests; a
shift has to exceed that noise.  In a large group one rank has few requests, so
windows of several ranks are added up.
"""

from typing import Iterable
from typing import Sequence

import msgspec

from . import ranks

#: A window with fewer counts per expert on average is too small to use.
MIN_COUNTS_PER_EXPERT = 8
#: Bounds of the distance above which a window shows a shift.  The distance is
#: the part of the choices that moved to other experts.  Windows of 0.2 s of
#: one of 16 ranks differ by 0.06 to 0.17 without a shift, and by 0.31 to 0.50
#: after one.  The lower bound applies where noise is low.
MAX_DISTANCE_THRESHOLD = 0.22
MIN_DISTANCE_THRESHOLD = 0.08
#: Bounds of the excess skew above which a window shows a shift.  The excess
#: skew is the skew of the map in force for a window, less the planned skew.
#: With 192 ranks a shift moves 0.1 of the choices, as noise does, but some of
#: them to one rank, so that a skew of 1.1 becomes 1.6 to 2.4.  With 16 ranks
#: it becomes 2.4 to 3.2, and windows of 0.2 s show up to 1.6 without a shift.
MAX_EXCESS_SKEW_THRESHOLD = 0.8
MIN_EXCESS_SKEW_THRESHOLD = 0.35
#: Multiple of the typical difference above which a window shows a shift.
NOISE_FACTOR = 1.8
#: Weight of the newest difference in the moving average of differences.
NOISE_SMOOTHING = 0.2
#: Age at which a count has half its weight.
HALF_LIFE_SECONDS = 3.0


class Window(msgspec.Struct, frozen=True, kw_only=True):
    """Choices counted by ranks between two reads.

    :ivar counts: by expert, with the layers concatenated.
    """

    counts: tuple[int, ...]

    def is_sufficient(self) -> bool:
        """Return whether there are enough counts for an estimate."""
        return sum(self.counts) >= MIN_COUNTS_PER_EXPERT * len(self.counts)


class _LastRead(msgspec.Struct, frozen=True, kw_only=True):
    """Counters of a rank at its last read."""

    epoch: int
    born: int
    counts: tuple[int, ...]


class AdaptiveThreshold:
    """Threshold for a shift that follows the noise between windows.

    :param maximum: a difference above it always is a shift.
    :param minimum: a difference below it never is a shift.
    """

    __slots__ = ('_maximum', '_minimum', '_typical')

    def __init__(self, *, maximum: float, minimum: float) -> None:
        self._maximum = maximum
        self._minimum = minimum
        self._typical: float | None = None

    def limit(self) -> float:
        """Return the difference above which a window shows a shift."""
        if self._typical is None:
            return self._maximum
        return min(
            self._maximum, max(self._minimum, NOISE_FACTOR * self._typical)
        )

    def record(self, difference: float) -> None:
        """Add the difference of a window without a shift."""
        if self._typical is None:
            self._typical = difference
        self._typical += NOISE_SMOOTHING * (difference - self._typical)


class ShiftThresholds:
    """Thresholds by which windows of one kind show a shift.

    :ivar distance: distance of a window from the estimate.
    :ivar excess_skew: skew of the map in force, less the planned skew.
    """

    __slots__ = ('distance', 'excess_skew')

    def __init__(self) -> None:
        self.distance = AdaptiveThreshold(
            maximum=MAX_DISTANCE_THRESHOLD, minimum=MIN_DISTANCE_THRESHOLD
        )
        self.excess_skew = AdaptiveThreshold(
            maximum=MAX_EXCESS_SKEW_THRESHOLD,
            minimum=MIN_EXCESS_SKEW_THRESHOLD,
        )


class ExpertDemand:
    """Estimate of the experts' popularity since the last shift."""

    __slots__ = (
        '_layers',
        '_experts',
        '_last_reads',
        '_weighted_counts',
        '_updated_at',
    )

    def __init__(self, *, layers: int, experts: int) -> None:
        self._layers = layers
        self._experts = experts
        self._last_reads: dict[str, _LastRead] = {}
        self._weighted_counts = [0.0] * (layers * experts)
        self._updated_at = 0.0

    def take_window(
        self, *, name: str, rank_counts: ranks.RankCounts
    ) -> Window | None:
        """Return what one rank has counted since its last window.

        :returns: ``None`` if there is no comparable last read, as after a
            restart of the rank, when it counts from zero; or if there are too
            few counts, which then become part of the next window.
        """
        window = self._subtract_last(name, rank_counts)
        if window is not None and not window.is_sufficient():
            return None
        self._set_last_read(name, rank_counts)
        return window

    def take_partial_window(
        self, *, name: str, rank_counts: ranks.RankCounts
    ) -> Window | None:
        """Return what a rank has counted, however little, for merging."""
        window = self._subtract_last(name, rank_counts)
        self._set_last_read(name, rank_counts)
        return window

    def _set_last_read(self, name: str, rank_counts: ranks.RankCounts) -> None:
        self._last_reads[name] = _LastRead(
            epoch=rank_counts.epoch,
            born=rank_counts.born,
            counts=rank_counts.counts,
        )

    def _subtract_last(
        self, name: str, rank_counts: ranks.RankCounts
    ) -> Window | None:
        last = self._last_reads.get(name)
        if (
            last is None
            or len(rank_counts.counts) != self._layers * self._experts
        ):
            return None
        if (last.epoch, last.born) != (rank_counts.epoch, rank_counts.born):
            return None
        if len(last.counts) != len(rank_counts.counts):
            return None
        fresh = tuple(
            new - old for new, old in zip(rank_counts.counts, last.counts)
        )
        return None if min(fresh) < 0 else Window(counts=fresh)

    @property
    def counter_count(self) -> int:
        """Number of counters of one rank."""
        return self._layers * self._experts

    def reset(self) -> None:
        """Drop all counts from before a shift."""
        self._weighted_counts = [0.0] * len(self._weighted_counts)

    def add(self, window: Window, *, now: float) -> None:
        """Add a window to the estimate, with older counts decayed."""
        kept = 0.5 ** ((now - self._updated_at) / HALF_LIFE_SECONDS)
        self._updated_at = now
        self._weighted_counts = [
            kept * old + new
            for old, new in zip(self._weighted_counts, window.counts)
        ]

    def has_counts(self) -> bool:
        """Return whether anything was counted since the last shift."""
        return any(self._weighted_counts)

    def compute_distance(self, window: Window) -> float:
        """Return the part of the choices that moved, averaged over layers."""
        total = 0.0
        for number in range(self._layers):
            total += _compute_distance(
                self.estimate(number), self._slice(window.counts, number)
            )
        return total / self._layers

    def estimate(self, layer: int) -> Sequence[float]:
        """Return the popularity of a layer's experts, uniform if unknown."""
        counted = self._slice(self._weighted_counts, layer)
        return counted if any(counted) else [1.0] * self._experts

    def _slice(self, row: Sequence[float], layer: int) -> Sequence[float]:
        start = layer * self._experts
        return row[start : start + self._experts]


def merge(windows: Iterable[Window]) -> Window | None:
    """Return the sum of windows, ``None`` if it has too few counts."""
    rows = [window.counts for window in windows]
    if not rows:
        return None
    merged = Window(counts=tuple(map(sum, zip(*rows))))
    return merged if merged.is_sufficient() else None


def _compute_distance(
    first: Sequence[float], second: Sequence[float]
) -> float:
    """Return the total variation distance of two distributions."""
    all_first = sum(first) or 1.0
    all_second = sum(second) or 1.0
    return 0.5 * sum(
        abs(one / all_first - other / all_second)
        for one, other in zip(first, second)
    )
