"""Search for moves of experts within one layer.

Two kinds of move lower the load of the most loaded rank: a *replacement*
puts a replica of an expert in the place of an expert that other ranks hold
as well (one load of weights), and a *swap* exchanges two experts (two loads).
Each is judged by what it does to the loads of the ranks that it touches.
"""

import dataclasses
from typing import Collection
from typing import Iterator
from typing import Sequence

from . import expert_maps


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Replacement:
    """Rank ``rank`` drops ``old`` (``None``: a free slot), loads ``new``."""

    rank: int
    old: int | None
    new: int

    loads = 1


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Swap:
    """Ranks exchange ``first_expert`` and ``second_expert``."""

    first: int
    first_expert: int
    second: int
    second_expert: int

    loads = 2


Move = Replacement | Swap


class LayerSearch:
    """The state of one layer while moves are sought.

    :param popularity: load of each expert, in any unit.
    :param slots: experts that a rank can hold.
    :param most_others: least loaded ranks that may take from the most loaded
        one; ``None`` for all.  With many ranks nearly all of the time goes
        into those that are hardly better than others.
    :param most_new: experts that a rank may hold at the end that it did not
        hold at the start, for all ranks or for each; ``None`` for any number.
    :param copies_left: new experts that each rank may still get in all layers
        together; kept up to date, and shared by their searches.
    :param first: the layer at the start, if ``layer`` is not it.
    :param closed: ranks that take no part: slow ones that were emptied.
    """

    __slots__ = (
        '_most_new',
        '_copies_left',
        '_most_others',
        '_open',
        '_first',
        '_new',
        '_slots',
        '_ranks',
        '_popularity',
        '_holders',
        '_shares',
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
        self._most_others = most_others
        self._open = [one for one in range(len(layer)) if one not in closed]
        self._slots = slots
        self._most_new = (
            [most_new] * len(layer) if isinstance(most_new, int) else most_new
        )
        self._copies_left = copies_left
        self._first = [frozenset(held) for held in first or layer]
        self._new = [
            len(set(held) - before) for held, before in zip(layer, self._first)
        ]
        self._ranks = [list(held) for held in layer]
        self._popularity = popularity
        self._holders: list[set[int]] = [set() for _ in popularity]
        for rank, held in enumerate(layer):
            for expert in held:
                self._holders[expert].add(rank)
        #: Load that an expert brings to each rank that holds it.
        self._shares = [
            load / max(1, len(holders))
            for load, holders in zip(popularity, self._holders)
        ]
        self.loads = expert_maps.rank_loads(layer=layer, popularity=popularity)

    @property
    def skew(self) -> float:
        """Return the largest rank load over the mean."""
        return expert_maps.skew([self.loads[rank] for rank in self._open])

    def layer(self) -> expert_maps.Layer:
        """Return the layer with all moves made."""
        return tuple(tuple(sorted(held)) for held in self._ranks)

    def find(self) -> Move | None:
        """Return the move that lowers the excess load most, per load.

        Excess is the sum of squares of what ranks carry above the mean: it
        falls also when one of several equally loaded ranks is relieved, at
        which the largest load itself does not change yet.
        """
        mean = sum(self.loads) / len(self._open)
        hot = max(self._open, key=self.loads.__getitem__)
        # A rank above the mean that takes more only trades one excess for
        # another; leaving these out halves the work.
        others = [rank for rank in self._open if self.loads[rank] < mean]
        if self._most_others is not None:
            others.sort(key=self.loads.__getitem__)
            del others[self._most_others :]
        best: Move | None = None
        best_gain = 0.0
        for move in self.candidates(hot, others):
            if self._most_new is not None and not self._may_copy(move):
                continue
            gain = self._judge(move, hot, mean) / move.loads
            if gain > best_gain:
                best = move
                best_gain = gain
        return best

    def candidates(self, hot: int, others: Sequence[int]) -> Iterator[Move]:
        for rank in others:
            for expert in self._ranks[hot]:
                if rank not in self._holders[expert]:
                    yield from self._pair(hot, expert, rank)
        yield from self._lighten(hot)

    def _pair(self, hot: int, expert: int, rank: int) -> Iterator[Move]:
        if len(self._ranks[rank]) < self._slots:
            yield Replacement(rank=rank, old=None, new=expert)
        for other in self._ranks[rank]:
            if len(self._holders[other]) > 1:
                yield Replacement(rank=rank, old=other, new=expert)
            if (
                hot not in self._holders[other]
                and self._shares[other] < self._shares[expert]
            ):
                yield Swap(
                    first=hot,
                    first_expert=expert,
                    second=rank,
                    second_expert=other,
                )

    def _lighten(self, hot: int) -> Iterator[Move]:
        """Let the hot rank give up a replica for the coldest expert."""
        dropped = [
            expert
            for expert in self._ranks[hot]
            if len(self._holders[expert]) > 1
        ]
        if not dropped:
            return
        coldest = min(
            (
                expert
                for expert, holders in enumerate(self._holders)
                if hot not in holders
            ),
            key=lambda one: self._popularity[one]
            / (len(self._holders[one]) + 1),
            default=None,
        )
        if coldest is not None:
            for expert in dropped:
                yield Replacement(rank=hot, old=expert, new=coldest)

    def changes(self, move: Move) -> dict[int, float]:
        """Return by how much a move changes the load of each rank."""
        changes: dict[int, float] = {}
        match move:
            case Replacement(rank=rank, old=old, new=new):
                self._add_holder(changes, new, rank)
                if old is not None:
                    self._drop_holder(changes, old, rank)
            case Swap():
                less = (
                    self._shares[move.first_expert]
                    - self._shares[move.second_expert]
                )
                changes[move.first] = -less
                changes[move.second] = less
        return changes

    def _add_holder(
        self, changes: dict[int, float], expert: int, rank: int
    ) -> None:
        holders = self._holders[expert]
        share = self._popularity[expert] / (len(holders) + 1)
        less = share - self._shares[expert]
        for holder in holders:
            changes[holder] = changes.get(holder, 0.0) + less
        changes[rank] = changes.get(rank, 0.0) + share

    def _drop_holder(
        self, changes: dict[int, float], expert: int, rank: int
    ) -> None:
        holders = self._holders[expert]
        share = self._shares[expert]
        more = self._popularity[expert] / (len(holders) - 1) - share
        for holder in holders:
            if holder != rank:
                changes[holder] = changes.get(holder, 0.0) + more
        changes[rank] = changes.get(rank, 0.0) - share

    def _judge(self, move: Move, hot: int, mean: float) -> float:
        """Return how much excess a move removes; negative is worse."""
        limit = self.loads[hot]
        if isinstance(move, Swap):
            # Most candidates are swaps; the general way below takes three
            # times as long for them.
            less = (
                self._shares[move.first_expert]
                - self._shares[move.second_expert]
            )
            load = self.loads[move.second]
            after = load + less
            if after >= limit:
                return -1.0
            return (
                max(limit - mean, 0.0) ** 2
                - max(limit - less - mean, 0.0) ** 2
                + max(load - mean, 0.0) ** 2
                - max(after - mean, 0.0) ** 2
            )
        gain = 0.0
        for rank, change in self.changes(move).items():
            load = self.loads[rank]
            after = load + change
            if rank != hot and after >= limit:
                return -1.0
            gain += max(load - mean, 0.0) ** 2 - max(after - mean, 0.0) ** 2
        return gain

    def apply(self, move: Move) -> None:
        """Make a move."""
        for rank, change in self.changes(move).items():
            self.loads[rank] += change
        match move:
            case Replacement(rank=rank, old=old, new=new):
                if old is not None:
                    self._take_away(rank, old)
                self._give(rank, new)
            case Swap():
                self._take_away(move.first, move.first_expert)
                self._take_away(move.second, move.second_expert)
                self._give(move.first, move.second_expert)
                self._give(move.second, move.first_expert)

    def restore(self, layer: expert_maps.Layer) -> None:
        """Go back to a layer that was found before."""
        for rank, held in enumerate(layer):
            for expert in set(self._ranks[rank]) - set(held):
                self._take_away(rank, expert)
            for expert in set(held) - set(self._ranks[rank]):
                self._give(rank, expert)
        self.loads = expert_maps.rank_loads(
            layer=layer, popularity=self._popularity
        )

    def _may_copy(self, move: Move) -> bool:
        """Whether the ranks of a move may get that many new experts."""
        match move:
            case Replacement(rank=rank, new=new):
                return self._has_room(rank, new)
            case Swap():
                return self._has_room(
                    move.first, move.second_expert
                ) and self._has_room(move.second, move.first_expert)

    def _has_room(self, rank: int, expert: int) -> bool:
        if expert in self._first[rank]:
            return True
        if self._copies_left is not None and self._copies_left[rank] <= 0:
            return False
        assert self._most_new is not None
        return self._new[rank] < self._most_new[rank]

    def _give(self, rank: int, expert: int) -> None:
        self._count_new(rank, expert, 1)
        self._ranks[rank].append(expert)
        self._holders[expert].add(rank)
        self._count(expert)

    def _take_away(self, rank: int, expert: int) -> None:
        self._count_new(rank, expert, -1)
        self._ranks[rank].remove(expert)
        self._holders[expert].discard(rank)
        self._count(expert)

    def _count_new(self, rank: int, expert: int, change: int) -> None:
        if expert in self._first[rank]:
            return
        self._new[rank] += change
        if self._copies_left is not None:
            self._copies_left[rank] -= change

    def _count(self, expert: int) -> None:
        holders = len(self._holders[expert])
        self._shares[expert] = self._popularity[expert] / max(1, holders)
