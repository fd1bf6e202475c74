"""Which experts the requests of a group choose, from counts of a few ranks.

What requests ask for changes at one moment: 35 to 50 in 100 of the choices go
to other experts, and stay there for seconds.  Counts from before that
moment say nothing of what comes after it, so they are dropped as a whole.
Smoothed away over some seconds, they led to two changes of the map for each
shift, the first of which left a skew of 1.2 to 1.5.

Counts of one rank differ from one window to the next by what its own
requests are about.  That is the error by which a shift is told from chance.
"""

import dataclasses
from typing import Sequence

from . import ranks

#: Least counts of a window, for each expert, from which it says anything.
LEAST_COUNTS = 8
#: Distance of a window of one rank from what was counted before, as the part
#: of the choices that moved to other experts, from which on it is a shift.
#: Windows of 0.2 s of one rank differ by 0.06 to 0.17 with nothing changed,
#: and by 0.31 to 0.50 after a shift.
SHIFT = 0.22
#: Seconds after which a count weighs half.
HALF_LIFE = 3.0


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Window:
    """What one rank counted between two reads.

    :ivar seconds: time between them.
    :ivar counts: experts of all layers behind one another.
    """

    seconds: float
    counts: tuple[int, ...]


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class _Seen:
    """Counts of a rank at its last read."""

    epoch: int
    born: int
    at: float
    counts: tuple[int, ...]


class ExpertDemand:
    """Popularity of the experts of a group since its last shift."""

    __slots__ = ('_layers', '_experts', '_seen', '_counted', '_added_at')

    def __init__(self, *, layers: int, experts: int) -> None:
        self._layers = layers
        self._experts = experts
        self._seen: dict[str, _Seen] = {}
        self._counted = [0.0] * (layers * experts)
        self._added_at = 0.0

    def read(
        self, *, name: str, found: ranks.RankCounts, now: float
    ) -> Window | None:
        """Return what a rank has counted since it was last read.

        :returns: ``None`` if there is nothing to compare, as after a start
            of the rank, when it counts from zero again.
        """
        last = self._seen.get(name)
        self._seen[name] = _Seen(
            epoch=found.epoch,
            born=found.born,
            at=now,
            counts=found.counts,
        )
        if len(found.counts) != self._layers * self._experts:
            return None
        if last is None:
            return None
        if (last.epoch, last.born) != (found.epoch, found.born):
            return None
        fresh = tuple(new - old for new, old in zip(found.counts, last.counts))
        if min(fresh) < 0 or sum(fresh) < LEAST_COUNTS * len(fresh):
            return None
        return Window(seconds=now - last.at, counts=fresh)

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

    def is_shift(self, window: Window) -> bool:
        """Whether a window differs by more than chance."""
        return self.is_known() and self.distance(window) > SHIFT

    def estimate(self, layer: int) -> Sequence[float]:
        """Return the popularity of a layer's experts; even if unknown."""
        counted = self._slice(self._counted, layer)
        return counted if any(counted) else [1.0] * self._experts

    def _slice(self, row: Sequence[float], layer: int) -> Sequence[float]:
        start = layer * self._experts
        return row[start : start + self._experts]


def _compare(first: Sequence[float], second: Sequence[float]) -> float:
    """Return half the sum of the differences of two sets of shares."""
    all_first = sum(first) or 1.0
    all_second = sum(second) or 1.0
    return 0.5 * sum(
        abs(one / all_first - other / all_second)
        for one, other in zip(first, second)
    )
