"""Baseline: the move that lowers the largest load most, above a threshold.

At most a fixed number of moves a layer and interval, chosen by the larger
load of the two ranks afterwards, without regard to what a move costs.
"""

import anyio

from marigoldramp import layer_moves
from marigoldramp import placement

MOST_MOVES = 6


class PlainGreedy(placement.RebalancingPolicy):
    """Greedy best move or swap; a baseline, not offered to operators."""

    name = 'plain_greedy'

    async def begin_interval(
        self, *, situation: placement.Situation
    ) -> placement.Proposal | placement.Stay:
        """Move until every layer is below the threshold."""
        layers = []
        for layer, shares in zip(situation.layers, situation.popularity):
            search = layer_moves.LayerSearch(
                layer=layer, popularity=shares, slots=self.group.slots
            )
            for _ in range(MOST_MOVES):
                move = self._find(search)
                if move is None:
                    break
                search.apply(move)
            layers.append(search.layer())
            await anyio.sleep(0)
        new = tuple(layers)
        return placement.Proposal(
            layers=new,
            loads=placement.count_loads(old=situation.layers, new=new),
            skew_before=1.0,
            skew_after=1.0,
        )

    def _find(
        self, search: layer_moves.LayerSearch
    ) -> layer_moves.Move | None:
        if search.skew <= self.group.skew_threshold:
            return None
        order = sorted(range(len(search.loads)), key=search.loads.__getitem__)
        hot = order[-1]
        best = None
        least = search.loads[hot]
        for move in search.candidates(hot, order[:-1]):
            changes = search.changes(move)
            after = max(
                search.loads[rank] + change for rank, change in changes.items()
            )
            if hot in changes and after < least:
                best = move
                least = after
        return best
