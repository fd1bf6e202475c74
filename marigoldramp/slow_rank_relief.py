"""Moves the experts of one layer away from slow ranks.

All ranks of a group run each forward pass together, so one slow rank makes
every pass as slow as itself.  A move search that counts only loads does not
detect a slow rank, and one that weights the loads would still give it a part
of them.  So its experts are moved away before the search, as far as other
ranks have room.
"""

from typing import Collection
from typing import Sequence

from . import expert_maps


class SlowRankRelief:
    """Moves experts of one layer from slow ranks to normal ranks.

    :param slots: maximum number of experts on a rank.
    :param most_new: maximum number of new experts copied to each rank.
    :param slow: the slow ranks.
    """

    __slots__ = (
        '_experts_by_rank',
        '_initial_experts',
        '_popularity',
        '_slots',
        '_max_new_experts',
        '_slow_ranks',
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
        self._experts_by_rank = [list(held) for held in layer]
        self._initial_experts = [frozenset(held) for held in layer]
        self._popularity = popularity
        self._slots = slots
        self._max_new_experts = most_new
        self._slow_ranks = frozenset(slow)

    def empty(self) -> expert_maps.Layer:
        """Return the layer with as few experts on slow ranks as possible.

        The most popular experts are moved first, as the time that a slow
        rank takes depends on the load that is left on it.
        """
        for rank in sorted(self._slow_ranks):
            held = sorted(
                self._experts_by_rank[rank],
                key=self._popularity.__getitem__,
                reverse=True,
            )
            for expert in held:
                if self._is_on_normal_rank(
                    expert
                ) or self._copy_to_normal_rank(expert):
                    self._experts_by_rank[rank].remove(expert)
        return tuple(tuple(sorted(held)) for held in self._experts_by_rank)

    def _is_on_normal_rank(self, expert: int) -> bool:
        """Return whether a normal rank holds an expert."""
        return any(
            expert in held
            for rank, held in enumerate(self._experts_by_rank)
            if rank not in self._slow_ranks
        )

    def _copy_to_normal_rank(self, expert: int) -> bool:
        """Copy an expert to the least loaded normal rank with room for it.

        Return whether there was one.
        """
        loads = expert_maps.rank_loads(
            layer=tuple(tuple(held) for held in self._experts_by_rank),
            popularity=self._popularity,
        )
        targets = sorted(
            (
                rank
                for rank in range(len(loads))
                if rank not in self._slow_ranks
            ),
            key=loads.__getitem__,
        )
        for rank in targets:
            if self._count_new_experts(
                rank
            ) < self._max_new_experts and self._ensure_free_slot(rank):
                self._experts_by_rank[rank].append(expert)
                return True
        return False

    def _count_new_experts(self, rank: int) -> int:
        return len(
            set(self._experts_by_rank[rank]) - self._initial_experts[rank]
        )

    def _ensure_free_slot(self, rank: int) -> bool:
        """Free a slot if needed by removing the least popular replica.

        Return whether the rank has a free slot.  Only an expert that the
        rank held at the start and that another normal rank holds is removed.
        """
        held = self._experts_by_rank[rank]
        if len(held) < self._slots:
            return True
        removable = [
            expert
            for expert in held
            if self._count_normal_holders(expert) > 1
            and expert in self._initial_experts[rank]
        ]
        if not removable:
            return False
        held.remove(min(removable, key=self._popularity.__getitem__))
        return True

    def _count_normal_holders(self, expert: int) -> int:
        """Return the number of normal ranks that hold an expert."""
        return sum(
            expert in held
            for rank, held in enumerate(self._experts_by_rank)
            if rank not in self._slow_ranks
        )
