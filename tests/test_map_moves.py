"""Tests of the search for moves over all layers of a map.

They model a shift of demand in a full group: all layers become uneven at
once, ranks can copy few experts before callers notice, and the time of a pass
is the sum over all layers.
"""

import random

import anyio
import pytest

from marigoldramp import expert_maps
from marigoldramp import layer_moves
from marigoldramp import map_moves

pytestmark = pytest.mark.anyio
SHAPE = expert_maps.Shape(ranks=24, experts=48, layers=6, slots=3)
MAX_NEW_EXPERTS = 2
#: Least gain of a copy, as for a full group.
MIN_GAIN_PER_COPY = 0.002


def draw_shift(seed):
    """Return the layers of a map and the popularity after a shift."""
    draw = random.Random(seed)
    version = expert_maps.Version(fence=0, number=0)
    layers = expert_maps.spread(shape=SHAPE, version=version).layers
    popularities = [
        [draw.paretovariate(2.2) for _ in range(SHAPE.experts)] for _ in layers
    ]
    return layers, popularities


def make_searches(layers, popularities, copies_left):
    return [
        layer_moves.LayerSearch(
            layer=layer,
            popularity=popularity,
            slots=SHAPE.slots,
            most_new=MAX_NEW_EXPERTS,
            copies_left=copies_left,
        )
        for layer, popularity in zip(layers, popularities)
    ]


async def improve(layers, popularities, copies, gain=MIN_GAIN_PER_COPY):
    copies_left = [copies] * SHAPE.ranks
    found = await improve_with(layers, popularities, copies_left, gain)
    return found, copies_left


async def improve_with(
    layers, popularities, copies_left, gain=MIN_GAIN_PER_COPY
):
    return await map_moves.MapSearch(
        searches=make_searches(layers, popularities, copies_left),
        min_gain_per_copy=gain,
        max_moves=100,
    ).improve()


def find_skews(layers, popularities):
    return [
        expert_maps.skew(
            expert_maps.rank_loads(layer=layer, popularity=popularity)
        )
        for layer, popularity in zip(layers, popularities)
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
    """Half of the layers keep their skew after a shift of demand.

    Sequence: demand shifts in all layers; ranks may copy few experts; the
    first layers are evened out to the last hundredth.
    Cause: layers are searched one after the other.
    """
    layers, popularities = draw_shift(seed)
    found, left = await improve(layers, popularities, copies)
    made = count_copies(layers, found)
    assert max(made) <= copies
    assert [copies - one for one in made] == left
    left = [copies] * SHAPE.ranks
    one_by_one = [
        (await improve_with([layer], [popularity], left))[0]
        for layer, popularity in zip(layers, popularities)
    ]
    after = find_skews(found, popularities)
    assert sum(after) < sum(find_skews(one_by_one, popularities))
    assert max(after) < max(find_skews(one_by_one, popularities))


@pytest.mark.parametrize('seed', range(4))
async def test_map_stays_whole(seed):
    layers, popularities = draw_shift(seed)
    found, _ = await improve(layers, popularities, 4)
    new = expert_maps.ExpertMap(
        version=expert_maps.Version(fence=0, number=1), layers=found
    )
    assert expert_maps.check(expert_map=new, shape=SHAPE) == ()


@pytest.mark.parametrize('gain', [0.01, 0.05])
@pytest.mark.parametrize('seed', range(4))
async def test_copies_that_gain_little_are_not_made(seed, gain):
    layers, popularities = draw_shift(seed)
    found, left = await improve(layers, popularities, 6, gain=gain)
    gained = sum(find_skews(layers, popularities)) - sum(
        find_skews(found, popularities)
    )
    copies = 6 * SHAPE.ranks - sum(left)
    assert copies == sum(count_copies(layers, found))
    assert gained >= gain * copies - 1e-9


async def test_other_work_goes_on_meanwhile():
    layers, popularities = draw_shift(1)
    turns = 0

    async def work():
        nonlocal turns
        while True:
            turns += 1
            await anyio.sleep(0)

    async with anyio.create_task_group() as tasks:
        tasks.start_soon(work)
        await improve(layers, popularities, 4)
        tasks.cancel_scope.cancel()
    assert turns > 20
