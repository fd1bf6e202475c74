"""Which experts the requests of a group choose, from counts of a few ranks.

What requests ask for changes at one moment: 35 to 50 in 100 of the choices go
to other experts, and stay there for seconds.  Counts from before that
moment say nothing of what comes after it, so they are dropped as a whole.
Smoothed away over some seconds, they led to two changes of the map for each
shift, the first of which left a skew of 1.2 to 1.5.

Counts of one rank differ from one window to the next by what its own
requests are about.  That is the error by which a shift is told from chance.
In a large group one rank has few requests, so windows of several are added up.
"""

import dataclasses
from typing import Iterable
from typing import Sequence

from . import ranks

#: Least counts of a window, for each expert, from which it says anything.
LEAST_COUNTS = 8
#: Distance of a window from what was counted before, as the part of the
#: choices that moved to other experts, from which on it always is a shift.
#: Windows of 0.2 s of one of 16 ranks differ by 0.06 to 0.17 with nothing
#: changed, and by 0.31 to 0.50 after a shift.
SHIFT = 0.22
#: The same for windows that differ less by chance.
LEAST_SHIFT = 0.08
#: By how much more than planned for the map in force is uneven for a window,
#: from which on that always is a shift, and the same for windows that differ
#: less by chance.  With 192 ranks a shift moves 0.1 of the choices, which
#: chance does, too, but some of them to one rank, so that a skew of 1.1
#: becomes one of 1.6 to 2.4.  With 16 ranks it becomes one of 2.4 to 3.2, and
#: windows of 0.2 s show up to 1.6 with nothing changed.
UNEVEN = 0.8
LEAST_UNEVEN = 0.35
#: How many times more than usual a window has to differ.
CHANCE_FACTOR = 1.8
#: Weight of the newest distance in the usual one.
SMOOTHING = 0.2
#: Seconds after which a count weighs half.
HALF_LIFE = 3.0


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Window:
    """What ranks counted between two reads.

    :ivar counts: experts of all layers behind one another.
    """

    counts: tuple[int, ...]

    def is_enough(self) -> bool:
        """Whether there is enough to say what is popular."""
        return sum(self.counts) >= LEAST_COUNTS * len(self.counts)


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class _Seen:
    """Counts of a rank at its last read."""

    epoch: int
    born: int
    counts: tuple[int, ...]


class Chance:
    """How much windows of one kind differ with nothing changed.

    :param most: from which on a difference always is a shift.
    :param least: below which it never is one.
    """

    __slots__ = ('_most', '_least', '_usual')

    def __init__(self, *, most: float, least: float) -> None:
        self._most = most
        self._least = least
        self._usual: float | None = None

    def limit(self) -> float:
        """Return the difference from which on a window shows a shift."""
        if self._usual is None:
            return self._most
        return min(self._most, max(self._least, CHANCE_FACTOR * self._usual))

    def note(self, difference: float) -> None:
        """Learn of a window that showed none."""
        if self._usual is None:
            self._usual = difference
        self._usual += SMOOTHING * (difference - self._usual)


class Signs:
    """The signs by which windows of one kind show a shift.

    :ivar distance: of windows from what was counted before.
    :ivar uneven: how much more than planned for the map in force is uneven.
    """

    __slots__ = ('distance', 'uneven')

    def __init__(self) -> None:
        self.distance = Chance(most=SHIFT, least=LEAST_SHIFT)
        self.uneven = Chance(most=UNEVEN, least=LEAST_UNEVEN)


class ExpertDemand:
    """Popularity of the experts of a group since its last shift."""

    __slots__ = ('_layers', '_experts', '_seen', '_counted', '_added_at')

    def __init__(self, *, layers: int, experts: int) -> None:
        self._layers = layers
        self._experts = experts
        self._seen: dict[str, _Seen] = {}
        self._counted = [0.0] * (layers * experts)
        self._added_at = 0.0

    def read(self, *, name: str, found: ranks.RankCounts) -> Window | None:
        """Return what one rank has counted since it was last read.

        :returns: ``None`` if there is nothing to compare, as after a start
            of the rank, when it counts from zero again; or too little, which
            is then part of the next window.
        """
        window = self._compare(name, found)
        if window is not None and not window.is_enough():
            return None
        self._remember(name, found)
        return window

    def read_part(
        self, *, name: str, found: ranks.RankCounts
    ) -> Window | None:
        """Return what a rank has counted, however little, to be added up."""
        window = self._compare(name, found)
        self._remember(name, found)
        return window

    def _remember(self, name: str, found: ranks.RankCounts) -> None:
        self._seen[name] = _Seen(
            epoch=found.epoch, born=found.born, counts=found.counts
        )

    def _compare(self, name: str, found: ranks.RankCounts) -> Window | None:
        last = self._seen.get(name)
        if last is None or len(found.counts) != self._layers * self._experts:
            return None
        if (last.epoch, last.born) != (found.epoch, found.born):
            return None
        if len(last.counts) != len(found.counts):
            return None
        fresh = tuple(new - old for new, old in zip(found.counts, last.counts))
        return None if min(fresh) < 0 else Window(counts=fresh)

    @property
    def size(self) -> int:
        """Numbers that one rank counts."""
        return self._layers * self._experts

    def restart(self) -> None:
        """Forget what was counted before a shift."""
        self._counted = [0.0] * len(self._counted)

    def add(self, window: Window, *, now: float) -> None:
        """Take a window into the estimate."""
        kept = 0.5 ** ((now - self._added_at) / HALF_LIFE)
        self._added_at = now
        self._counted = [
            kept * old + new for old, new in zip(self._counted, window.counts)
        ]

    def is_known(self) -> bool:
        """Whether anything was counted since the last shift."""
        return any(self._counted)

    def distance(self, window: Window) -> float:
        """Return the part of the choices that moved, mean of the layers."""
        total = 0.0
        for number in range(self._layers):
            total += _compare(
                self.estimate(number), self._slice(window.counts, number)
            )
        return total / self._layers

    def estimate(self, layer: int) -> Sequence[float]:
        """Return the popularity of a layer's experts; even if unknown."""
        counted = self._slice(self._counted, layer)
        return counted if any(counted) else [1.0] * self._experts

    def _slice(self, row: Sequence[float], layer: int) -> Sequence[float]:
        start = layer * self._experts
        return row[start : start + self._experts]


def merge(windows: Iterable[Window]) -> Window | None:
    """Return the sum of windows, ``None`` if it is not enough."""
    rows = [window.counts for window in windows]
    if not rows:
        return None
    merged = Window(counts=tuple(map(sum, zip(*rows))))
    return merged if merged.is_enough() else None


def _compare(first: Sequence[float], second: Sequence[float]) -> float:
    """Return half the sum of the differences of two sets of shares."""
    all_first = sum(first) or 1.0
    all_second = sum(second) or 1.0
    return 0.5 * sum(
        abs(one / all_first - other / all_second)
        for one, other in zip(first, second)
    )
