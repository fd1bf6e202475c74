"""Search for moves of experts within one layer.

Two kinds of move lower the load of the most loaded rank: a *replacement*
puts a replica of an expert into a free slot or in the place of an expert that
other ranks also hold (one weight load), and a *swap* exchanges two experts
between ranks (two weight loads).  A move is rated by how it changes the loads
of the ranks that it affects.
"""

from typing import Collection
from typing import Iterator
from typing import Sequence

import msgspec

from . import expert_maps


class Replacement(msgspec.Struct, frozen=True, kw_only=True):
    """Rank ``rank`` loads ``new`` in place of ``old`` (None: a free slot)."""

    rank: int
    old: int | None
    new: int

    #: Number of weight loads that the move needs.
    loads = 1


class Swap(msgspec.Struct, frozen=True, kw_only=True):
    """Two ranks exchange ``first_expert`` and ``second_expert``."""

    first_rank: int
    first_expert: int
    second_rank: int
    second_expert: int

    #: Number of weight loads that the move needs.
    loads = 2


Move = Replacement | Swap


class LayerSearch:
    """Local search over the placement of one layer's experts.

    :param popularity: load of each expert, in any unit.
    :param slots: maximum number of experts on a rank.
    :param most_others: maximum number of target ranks, least loaded first;
        ``None`` for no limit.  Without a limit, a search over many ranks
        spends nearly all of its time on targets that gain little.
    :param most_new: maximum number of new experts on a rank, which are those
        that it did not hold at the start; one number for all ranks or one
        for each rank; ``None`` for no limit.
    :param copies_left: number of new experts that each rank may still copy
        in all layers together.  The searches of all layers share this list
        and update it.  Enforced only if ``most_new`` is given.
    :param first: the layer at the start, from which new experts are counted,
        if it differs from ``layer``.
    :param closed: ranks excluded from the search: slow ranks that were
        emptied.
    """

    __slots__ = (
        '_max_new_experts',
        '_remaining_copies',
        '_max_targets',
        '_active_ranks',
        '_initial_experts',
        '_new_expert_counts',
        '_slots',
        '_experts_by_rank',
        '_popularity',
        '_holders',
        '_replica_loads',
        'loads',
    )

    def __init__(
        self,
        *,
        layer: expert_maps.Layer,
        popularity: Sequence[float],
        slots: int,
        most_new: int | Sequence[int] | None = None,
        most_others: int | None = None,
        copies_left: list[int] | None = None,
        first: expert_maps.Layer | None = None,
        closed: Collection[int] = (),
    ) -> None:
        self._max_targets = most_others
        self._active_ranks = [
            rank for rank in range(len(layer)) if rank not in closed
        ]
        self._slots = slots
        self._max_new_experts = (
            [most_new] * len(layer) if isinstance(most_new, int) else most_new
        )
        self._remaining_copies = copies_left
        self._initial_experts = [frozenset(held) for held in first or layer]
        self._new_expert_counts = [
            len(set(held) - before)
            for held, before in zip(layer, self._initial_experts)
        ]
        self._experts_by_rank = [list(held) for held in layer]
        self._popularity = popularity
        self._holders: list[set[int]] = [set() for _ in popularity]
        for rank, held in enumerate(layer):
            for expert in held:
                self._holders[expert].add(rank)
        #: Load of one replica of each expert.
        self._replica_loads = [
            load / max(1, len(holders))
            for load, holders in zip(popularity, self._holders)
        ]
        self.loads = expert_maps.rank_loads(layer=layer, popularity=popularity)

    @property
    def skew(self) -> float:
        """Return the ratio of the largest to the mean load of active ranks."""
        return expert_maps.skew(
            [self.loads[rank] for rank in self._active_ranks]
        )

    def layer(self) -> expert_maps.Layer:
        """Return the layer after the moves applied so far."""
        return tuple(tuple(sorted(held)) for held in self._experts_by_rank)

    def find(self) -> Move | None:
        """Return the move with the largest gain per weight load, if any.

        The gain is the decrease of the excess load.  The excess load is the
        sum over ranks of the square of the load that exceeds the mean.
        Unlike the largest load, it also falls when only one of several
        equally loaded ranks is relieved.
        """
        mean = sum(self.loads) / len(self._active_ranks)
        hot_rank = max(self._active_ranks, key=self.loads.__getitem__)
        # Load moved to a rank above the mean only becomes excess there;
        # excluding these ranks halves the work.
        targets = [
            rank for rank in self._active_ranks if self.loads[rank] < mean
        ]
        if self._max_targets is not None:
            targets.sort(key=self.loads.__getitem__)
            del targets[self._max_targets :]
        best: Move | None = None
        best_gain = 0.0
        for move in self.candidates(hot_rank, targets):
            if (
                self._max_new_experts is not None
                and not self._is_within_copy_limits(move)
            ):
                continue
            gain = self._compute_gain(move, hot_rank, mean) / move.loads
            if gain > best_gain:
                best = move
                best_gain = gain
        return best

    def candidates(
        self, hot_rank: int, targets: Sequence[int]
    ) -> Iterator[Move]:
        """Generate the moves that can relieve the most loaded rank."""
        for rank in targets:
            for expert in self._experts_by_rank[hot_rank]:
                if rank not in self._holders[expert]:
                    yield from self._generate_pair_moves(
                        hot_rank, expert, rank
                    )
        yield from self._generate_relief_moves(hot_rank)

    def _generate_pair_moves(
        self, hot_rank: int, expert: int, rank: int
    ) -> Iterator[Move]:
        """Generate the moves that put an expert of the hot rank on a rank."""
        if len(self._experts_by_rank[rank]) < self._slots:
            yield Replacement(rank=rank, old=None, new=expert)
        for other in self._experts_by_rank[rank]:
            if len(self._holders[other]) > 1:
                yield Replacement(rank=rank, old=other, new=expert)
            if (
                hot_rank not in self._holders[other]
                and self._replica_loads[other] < self._replica_loads[expert]
            ):
                yield Swap(
                    first_rank=hot_rank,
                    first_expert=expert,
                    second_rank=rank,
                    second_expert=other,
                )

    def _generate_relief_moves(self, hot_rank: int) -> Iterator[Move]:
        """Generate moves that replace a replica on the most loaded rank.

        The new expert is the one whose replica would have the lowest load.
        """
        replicated = [
            expert
            for expert in self._experts_by_rank[hot_rank]
            if len(self._holders[expert]) > 1
        ]
        if not replicated:
            return
        lightest = min(
            (
                expert
                for expert, holders in enumerate(self._holders)
                if hot_rank not in holders
            ),
            key=lambda expert: self._popularity[expert]
            / (len(self._holders[expert]) + 1),
            default=None,
        )
        if lightest is not None:
            for expert in replicated:
                yield Replacement(rank=hot_rank, old=expert, new=lightest)

    def changes(self, move: Move) -> dict[int, float]:
        """Return the load change of each rank that a move affects."""
        changes: dict[int, float] = {}
        match move:
            case Replacement(rank=rank, old=old, new=new):
                self._add_replica_changes(changes, new, rank)
                if old is not None:
                    self._remove_replica_changes(changes, old, rank)
            case Swap():
                moved_load = (
                    self._replica_loads[move.first_expert]
                    - self._replica_loads[move.second_expert]
                )
                changes[move.first_rank] = -moved_load
                changes[move.second_rank] = moved_load
        return changes

    def _add_replica_changes(
        self, changes: dict[int, float], expert: int, rank: int
    ) -> None:
        """Add the load changes of copying an expert to a rank."""
        holders = self._holders[expert]
        replica_load = self._popularity[expert] / (len(holders) + 1)
        change = replica_load - self._replica_loads[expert]
        for holder in holders:
            changes[holder] = changes.get(holder, 0.0) + change
        changes[rank] = changes.get(rank, 0.0) + replica_load

    def _remove_replica_changes(
        self, changes: dict[int, float], expert: int, rank: int
    ) -> None:
        """Add the load changes of removing an expert from a rank."""
        holders = self._holders[expert]
        replica_load = self._replica_loads[expert]
        increase = self._popularity[expert] / (len(holders) - 1) - replica_load
        for holder in holders:
            if holder != rank:
                changes[holder] = changes.get(holder, 0.0) + increase
        changes[rank] = changes.get(rank, 0.0) - replica_load

    def _compute_gain(self, move: Move, hot_rank: int, mean: float) -> float:
        """Return the decrease of the excess load; negative if it grows.

        The gain is -1 if the largest load would grow, or if another rank would
        get as much.  Relief of other ranks does not make up for that, as each
        pass waits for the most loaded rank.
        """
        limit = self.loads[hot_rank]
        if isinstance(move, Swap):
            # Most candidates are swaps, for which the general computation
            # below takes three times as long.
            moved_load = (
                self._replica_loads[move.first_expert]
                - self._replica_loads[move.second_expert]
            )
            load = self.loads[move.second_rank]
            after = load + moved_load
            if after >= limit:
                return -1.0
            return (
                max(limit - mean, 0.0) ** 2
                - max(limit - moved_load - mean, 0.0) ** 2
                + max(load - mean, 0.0) ** 2
                - max(after - mean, 0.0) ** 2
            )
        gain = 0.0
        for rank, change in self.changes(move).items():
            load = self.loads[rank]
            after = load + change
            if after > limit or (after == limit and rank != hot_rank):
                return -1.0
            gain += max(load - mean, 0.0) ** 2 - max(after - mean, 0.0) ** 2
        return gain

    def apply(self, move: Move) -> None:
        """Apply a move to the layer and to the loads."""
        for rank, change in self.changes(move).items():
            self.loads[rank] += change
        match move:
            case Replacement(rank=rank, old=old, new=new):
                if old is not None:
                    self._remove_expert(rank, old)
                self._add_expert(rank, new)
            case Swap():
                self._remove_expert(move.first_rank, move.first_expert)
                self._remove_expert(move.second_rank, move.second_expert)
                self._add_expert(move.first_rank, move.second_expert)
                self._add_expert(move.second_rank, move.first_expert)

    def restore(self, layer: expert_maps.Layer) -> None:
        """Return to an earlier state of the layer."""
        for rank, held in enumerate(layer):
            for expert in set(self._experts_by_rank[rank]) - set(held):
                self._remove_expert(rank, expert)
            for expert in set(held) - set(self._experts_by_rank[rank]):
                self._add_expert(rank, expert)
        self.loads = expert_maps.rank_loads(
            layer=layer, popularity=self._popularity
        )

    def _is_within_copy_limits(self, move: Move) -> bool:
        """Return whether a move keeps its ranks within their copy limits."""
        match move:
            case Replacement(rank=rank, new=new):
                return self._can_copy(rank, new)
            case Swap():
                return self._can_copy(
                    move.first_rank, move.second_expert
                ) and self._can_copy(move.second_rank, move.first_expert)

    def _can_copy(self, rank: int, expert: int) -> bool:
        if expert in self._initial_experts[rank]:
            return True
        if (
            self._remaining_copies is not None
            and self._remaining_copies[rank] <= 0
        ):
            return False
        assert self._max_new_experts is not None
        return self._new_expert_counts[rank] < self._max_new_experts[rank]

    def _add_expert(self, rank: int, expert: int) -> None:
        self._update_new_count(rank, expert, 1)
        self._experts_by_rank[rank].append(expert)
        self._holders[expert].add(rank)
        self._update_replica_load(expert)

    def _remove_expert(self, rank: int, expert: int) -> None:
        self._update_new_count(rank, expert, -1)
        self._experts_by_rank[rank].remove(expert)
        self._holders[expert].discard(rank)
        self._update_replica_load(expert)

    def _update_new_count(self, rank: int, expert: int, change: int) -> None:
        if expert in self._initial_experts[rank]:
            return
        self._new_expert_counts[rank] += change
        if self._remaining_copies is not None:
            self._remaining_copies[rank] -= change

    def _update_replica_load(self, expert: int) -> None:
        holders = len(self._holders[expert])
        self._replica_loads[expert] = self._popularity[expert] / max(
            1, holders
        )
