"""Takes the experts of one layer away from slow ranks.

All ranks of a group make each pass together, so one rank that computes more
slowly than the others makes every pass as slow as itself.  A move search
that counts loads alone does not see it, and one that weighs them would go on
dealing the slow rank its part.  So its experts go elsewhere first, as far as
there are places.
"""

from typing import Collection
from typing import Sequence

from . import expert_maps


class Evacuation:
    """The state of one layer while slow ranks are emptied.

    :param slots: experts that a rank can hold.
    :param most_new: experts that a rank can copy that it does not hold.
    """

    __slots__ = (
        '_ranks',
        '_first',
        '_popularity',
        '_slots',
        '_most_new',
        '_slow',
    )

    def __init__(
        self,
        *,
        layer: expert_maps.Layer,
        popularity: Sequence[float],
        slots: int,
        most_new: int,
        slow: Collection[int],
    ) -> None:
        self._ranks = [list(held) for held in layer]
        self._first = [frozenset(held) for held in layer]
        self._popularity = popularity
        self._slots = slots
        self._most_new = most_new
        self._slow = frozenset(slow)

    def empty(self) -> expert_maps.Layer:
        """Return the layer with the slow ranks as empty as can be.

        The most popular experts go first, as each slow rank takes as long
        as what is left on it.
        """
        for rank in sorted(self._slow):
            held = sorted(
                self._ranks[rank],
                key=self._popularity.__getitem__,
                reverse=True,
            )
            for expert in held:
                if self._is_elsewhere(expert) or self._place(expert):
                    self._ranks[rank].remove(expert)
        return tuple(tuple(sorted(held)) for held in self._ranks)

    def _is_elsewhere(self, expert: int) -> bool:
        """Whether a rank that is not slow holds an expert."""
        return any(
            expert in held
            for rank, held in enumerate(self._ranks)
            if rank not in self._slow
        )

    def _place(self, expert: int) -> bool:
        """Copy an expert to the least loaded rank that can take it."""
        loads = expert_maps.rank_loads(
            layer=tuple(tuple(held) for held in self._ranks),
            popularity=self._popularity,
        )
        order = sorted(
            (one for one in range(len(loads)) if one not in self._slow),
            key=loads.__getitem__,
        )
        for rank in order:
            if self._count_new(rank) < self._most_new and self._free(rank):
                self._ranks[rank].append(expert)
                return True
        return False

    def _count_new(self, rank: int) -> int:
        return len(set(self._ranks[rank]) - self._first[rank])

    def _free(self, rank: int) -> bool:
        """Make a place on a rank, by the replica that is missed least."""
        held = self._ranks[rank]
        if len(held) < self._slots:
            return True
        spare = [
            expert
            for expert in held
            if self._count_holders(expert) > 1 and expert in self._first[rank]
        ]
        if not spare:
            return False
        held.remove(min(spare, key=self._popularity.__getitem__))
        return True

    def _count_holders(self, expert: int) -> int:
        """Return how many ranks that are not slow hold an expert."""
        return sum(
            expert in held
            for rank, held in enumerate(self._ranks)
            if rank not in self._slow
        )
