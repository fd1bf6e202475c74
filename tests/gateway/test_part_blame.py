"""Tests of which parts of prompts are blocked, over all gateways.

The load is requests that share their first parts, of which some also have a
harmful part and end their endpoints, beside 3 to 16 others.
"""

import anyio
import pytest
import virtual_time

from . import part_fleet
from . import suspect_network

pytestmark = pytest.mark.anyio
Load = part_fleet.Load
#: Limit of sends of requests with a harmful part, by gateways in touch, later
#: than the time of contact after its fifth end.
MAX_SENDS = 3
SECONDS = 30.0
LOSS = 0.05


@pytest.fixture
def anyio_backend():
    return virtual_time.make_backend()


async def play(load, *, gateways, seed, kinds):
    """Play a load while gateways are cut off or restarted."""
    async with anyio.create_task_group() as tasks:
        network = suspect_network.Network(
            tasks, gateways, seed=seed, loss=LOSS
        )
        fleet = part_fleet.PartFleet(network, load)
        if kinds:
            tasks.start_soon(suspect_network.disturb, network, kinds)
        await fleet.run(SECONDS)
        tasks.cancel_scope.cancel()
    return fleet


@pytest.mark.parametrize(
    ('gateways', 'seed', 'load', 'kinds'),
    [
        (6, 1, Load(), ('cut', 'restart')),
        (6, 2, Load(slots=3, bad=4.0), ('restart',)),
        (6, 3, Load(slots=16, sound=120.0), ()),
        (6, 13, Load(grouped=True), ('cut',)),
        (6, 4, Load(chance=0.3), ('cut', 'restart')),
        (6, 5, Load(pairs=True), ()),
        (16, 1, Load(), ('cut', 'restart')),
    ],
)
async def test_harmful_part_is_blocked_and_harmless_ones_are_not(
    gateways, seed, load, kinds
):
    """Guards against ends without end, and against blocking what is shared."""
    fleet = await play(load, gateways=gateways, seed=seed, kinds=kinds)
    assert len(fleet.ends) >= 3
    assert len(fleet.late_sends()) <= MAX_SENDS
    refused, asked = fleet.count_refused()
    assert asked > 100
    assert refused == 0


@pytest.mark.parametrize('grouped', [False, True])
async def test_ends_by_chance_block_no_part(grouped):
    """Guards against blocking parts that run wherever endpoints end."""
    load = Load(bad=0.0, chance=0.5, grouped=grouped)
    fleet = await play(load, gateways=6, seed=1, kinds=('cut', 'restart'))
    refused, asked = fleet.count_refused()
    assert asked > 1000
    assert refused == 0
