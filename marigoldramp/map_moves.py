"""Search for moves of experts over all layers of one map.

Each pass of a group takes the sum of what the most loaded rank of each layer
takes, and a rank copies the experts of all layers over one link.  So the next
move is always sought in the most uneven layer, and layers share what a rank
may copy.  Searched one after the other, the first layers spent the copies of
ranks on their last hundredths, and the last ones were left with
their whole skew: after a shift that left 72 ranks with a skew of 6.0, five
copies a rank led to 1.28 instead of 1.77.
"""

from typing import Sequence

import anyio

from . import expert_maps
from . import layer_moves


class _LayerState:
    """A layer, and the best that has been found for it.

    :ivar spent: copies since then.
    """

    __slots__ = ('search', 'best', 'best_skew', 'spent', 'moves')

    def __init__(self, *, search: layer_moves.LayerSearch) -> None:
        self.search = search
        self.best = search.layer()
        self.best_skew = search.skew
        self.spent = 0
        self.moves = 0


class MapSearch:
    """The state of all layers while moves are sought.

    :param min_gain_per_copy: least fall of the skew of a layer for one copy.
    :param max_moves: moves that are tried in one layer.
    """

    __slots__ = ('_layers', '_min_gain_per_copy', '_max_moves')

    def __init__(
        self,
        *,
        searches: Sequence[layer_moves.LayerSearch],
        min_gain_per_copy: float,
        max_moves: int,
    ) -> None:
        self._layers = [_LayerState(search=one) for one in searches]
        self._min_gain_per_copy = min_gain_per_copy
        self._max_moves = max_moves

    async def improve(self) -> tuple[expert_maps.Layer, ...]:
        """Make moves while they pay; return the best layers."""
        left = list(self._layers)
        while left:
            layer = max(left, key=lambda one: one.search.skew)
            if not self._move(layer):
                layer.search.restore(layer.best)
                left.remove(layer)
            # Streams of callers run in the same process.
            await anyio.sleep(0)
        return tuple(one.best for one in self._layers)

    def _move(self, layer: _LayerState) -> bool:
        """Make the next move in a layer; return whether there was one."""
        search = layer.search
        # No more can be gained than what is above an even layer.
        unpaid = self._min_gain_per_copy * layer.spent
        if layer.moves >= self._max_moves or unpaid >= layer.best_skew - 1.0:
            return False
        move = search.find()
        if move is None:
            return False
        search.apply(move)
        layer.moves += 1
        layer.spent += move.loads
        gained = layer.best_skew - search.skew
        if gained >= self._min_gain_per_copy * layer.spent:
            layer.best = search.layer()
            layer.best_skew = search.skew
            layer.spent = 0
        return True
