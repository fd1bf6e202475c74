"""Tests of the search for expert moves within a layer."""

import hypothesis
from hypothesis import strategies
import pytest

from marigoldramp import expert_maps
from marigoldramp import layer_moves


@strategies.composite
def searches(draw):
    ranks = draw(strategies.integers(2, 8))
    slots = draw(strategies.integers(1, 4))
    experts = draw(strategies.integers(slots, ranks * slots))
    shape = expert_maps.Shape(
        ranks=ranks, experts=experts, layers=1, slots=slots
    )
    popularity = draw(
        strategies.lists(
            strategies.integers(0, 1000), min_size=experts, max_size=experts
        )
    )
    return shape, popularity, spread(shape)


SHAPE = expert_maps.Shape(ranks=5, experts=10, layers=1, slots=4)
LOADS = [513, 0, 9, 0, 11, 308, 265, 158, 16, 89]


def spread(shape):
    """Return a layer of the first map."""
    return expert_maps.spread(
        shape=shape, version=expert_maps.Version(fence=0, number=0)
    ).layers[0]


@hypothesis.given(searches())
@hypothesis.example((SHAPE, LOADS, spread(SHAPE)))
def test_moves_keep_the_map_whole_and_lower_the_skew(case):
    shape, popularity, layer = case
    search = layer_moves.LayerSearch(
        layer=layer, popularity=popularity, slots=shape.slots
    )
    loads = 0
    for _ in range(20):
        move = search.find()
        if move is None:
            break
        before = search.skew
        search.apply(move)
        loads += move.loads
        assert search.skew <= before + 1e-9
    after = search.layer()
    expert_map = expert_maps.ExpertMap(
        version=expert_maps.Version(fence=0, number=1), layers=(after,)
    )
    assert expert_maps.check(expert_map=expert_map, shape=shape) == ()
    assert search.loads == pytest.approx(
        expert_maps.rank_loads(layer=after, popularity=popularity)
    )
    old = expert_maps.ExpertMap(
        version=expert_maps.Version(fence=0, number=0), layers=(layer,)
    )
    assert (
        sum(expert_maps.count_weight_loads(old=old, new=expert_map)) <= loads
    )


@pytest.mark.parametrize(
    ('layer', 'popularity', 'slots', 'expected'),
    [
        (
            ((0, 1, 2), (3, 4, 5)),
            [6, 5, 1, 2, 2, 2],
            3,
            layer_moves.Swap(
                first_rank=0, first_expert=1, second_rank=1, second_expert=3
            ),
        ),
        (
            ((0, 1), (2,)),
            [8, 4, 1],
            2,
            layer_moves.Replacement(rank=1, old=None, new=0),
        ),
        (
            ((0, 1), (1, 2)),
            [12, 1, 1],
            2,
            layer_moves.Replacement(rank=1, old=1, new=0),
        ),
    ],
    ids=['swap', 'free-slot', 'replica'],
)
def test_best_move(layer, popularity, slots, expected):
    search = layer_moves.LayerSearch(
        layer=layer, popularity=popularity, slots=slots
    )
    assert search.find() == expected
