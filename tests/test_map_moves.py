"""Tests of the search for moves over all layers of a map.

The load that these stand for is a shift of demand in a full group: all layers
turn uneven at once, ranks can copy few experts before callers notice, and a
pass takes the sum of what all layers take.
"""

import random

import anyio
import pytest

from marigoldramp import expert_maps
from marigoldramp import layer_moves
from marigoldramp import map_moves

pytestmark = pytest.mark.anyio
SHAPE = expert_maps.Shape(ranks=24, experts=48, layers=6, slots=3)
SPARE = 2
#: Gain of a copy that a full group of some ranks asks for.
GAIN = 0.002


def draw_shift(seed):
    """Return a map, and what is asked for after a shift."""
    draw = random.Random(seed)
    version = expert_maps.Version(fence=0, number=0)
    layers = expert_maps.spread(shape=SHAPE, version=version).layers
    popular = [
        [draw.paretovariate(2.2) for _ in range(SHAPE.experts)] for _ in layers
    ]
    return layers, popular


def begin(layers, popular, copies_left):
    return [
        layer_moves.LayerSearch(
            layer=layer,
            popularity=popularity,
            slots=SHAPE.slots,
            most_new=SPARE,
            copies_left=copies_left,
        )
        for layer, popularity in zip(layers, popular)
    ]


async def improve(layers, popular, copies, gain=GAIN):
    copies_left = [copies] * SHAPE.ranks
    found = await improve_with(layers, popular, copies_left, gain)
    return found, copies_left


async def improve_with(layers, popular, copies_left, gain=GAIN):
    return await map_moves.MapSearch(
        searches=begin(layers, popular, copies_left),
        min_gain_per_copy=gain,
        max_moves=100,
    ).improve()


def find_skews(layers, popular):
    return [
        expert_maps.skew(
            expert_maps.rank_loads(layer=layer, popularity=popularity)
        )
        for layer, popularity in zip(layers, popular)
    ]


def count_copies(old, new):
    """Return the experts that each rank has to copy, over all layers."""
    return [
        sum(
            len(set(after[rank]) - set(before[rank]))
            for before, after in zip(old, new)
        )
        for rank in range(SHAPE.ranks)
    ]


@pytest.mark.parametrize('copies', [2, 3, 5])
@pytest.mark.parametrize('seed', range(4))
async def test_layers_share_what_ranks_may_copy(seed, copies):
    """Half of the layers stay as uneven as a shift has left them.

    Sequence: demand shifts in all layers; ranks may copy few experts; the
    first layers are evened out to the last hundredth.
    Cause: layers were searched one after the other.
    """
    layers, popular = draw_shift(seed)
    found, left = await improve(layers, popular, copies)
    made = count_copies(layers, found)
    assert max(made) <= copies
    assert [copies - one for one in made] == left
    left = [copies] * SHAPE.ranks
    one_by_one = [
        (await improve_with([layer], [popularity], left))[0]
        for layer, popularity in zip(layers, popular)
    ]
    after = find_skews(found, popular)
    assert sum(after) < sum(find_skews(one_by_one, popular))
    assert max(after) < max(find_skews(one_by_one, popular))


@pytest.mark.parametrize('seed', range(4))
async def test_map_stays_whole(seed):
    layers, popular = draw_shift(seed)
    found, _ = await improve(layers, popular, 4)
    new = expert_maps.ExpertMap(
        version=expert_maps.Version(fence=0, number=1), layers=found
    )
    assert expert_maps.check(expert_map=new, shape=SHAPE) == ()


@pytest.mark.parametrize('gain', [0.01, 0.05])
@pytest.mark.parametrize('seed', range(4))
async def test_copies_that_gain_little_are_not_made(seed, gain):
    layers, popular = draw_shift(seed)
    found, left = await improve(layers, popular, 6, gain=gain)
    gained = sum(find_skews(layers, popular)) - sum(find_skews(found, popular))
    copies = 6 * SHAPE.ranks - sum(left)
    assert copies == sum(count_copies(layers, found))
    assert gained >= gain * copies - 1e-9


async def test_other_work_goes_on_meanwhile():
    layers, popular = draw_shift(1)
    turns = 0

    async def work():
        nonlocal turns
        while True:
            turns += 1
            await anyio.sleep(0)

    async with anyio.create_task_group() as tasks:
        tasks.start_soon(work)
        await improve(layers, popular, 4)
        tasks.cancel_scope.cancel()
    assert turns > 20
