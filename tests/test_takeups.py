"""Tests of the record of who has a bundle in force, and since when."""

import contextlib

import anyio
import fake_bundles
import fake_fleet
import fake_network
import pytest
import virtual_time

from marigoldramp import messages
from marigoldramp import takeups


@pytest.fixture
def anyio_backend():
    return virtual_time.make_backend()


@contextlib.asynccontextmanager
async def open_fleet():
    """Yield entries that hear few others, and agents beside them."""
    few = {'peers': 2, 'heartbeat': 2.0, 'suspect_after': 6.4}
    async with fake_fleet.open_fleet(8, changes=few) as fleet:
        fleet.start(4, role=messages.Role.AGENT, service='s', changes=few)
        await anyio.sleep(62)
        fleet.table.counts.__init__()
        yield fleet


async def read(fleet, number):
    return await takeups.read(fleet.store, data_centre='a', number=number)


def names(found):
    return {each.instance for each in found.instances}


def everybody(fleet):
    return {node.name for node in fleet.nodes}


async def roll(fleet, number):
    await fake_bundles.publish(fleet.table, fake_bundles.make_bundle(number))
    fleet.table.counts.writes = 0


@pytest.mark.anyio
async def test_roll_is_recorded():
    async with open_fleet() as fleet:
        rolled_at = fake_network.wall()
        await roll(fleet, 2)
        await anyio.sleep(70)
        found = await read(fleet, 2)
        assert names(found) == everybody(fleet)
        assert all(
            rolled_at <= each.at < rolled_at + 1 for each in found.instances
        )
        assert fleet.table.counts.writes == 1


@pytest.mark.anyio
async def test_nothing_changes_nothing_is_written():
    async with open_fleet() as fleet:
        await anyio.sleep(130)
        assert fleet.table.counts.writes == 0


@pytest.mark.anyio
async def test_both_watchers_die():
    """The processes that have heard of all die; one more takes it up.

    The next watcher has heard of few.  It adds these to the record.
    """
    async with open_fleet() as fleet:
        await roll(fleet, 2)
        await anyio.sleep(3)
        before = everybody(fleet)
        watchers = fleet.nodes[0].membership.watchers(2)
        for node in list(fleet.nodes):
            if node.name in watchers:
                fleet.site.kill(node)
                fleet.nodes.remove(node)
        fleet.site.seed(*fleet.nodes)
        late = fleet.start()
        await anyio.sleep(120)
        found = await read(fleet, 2)
        assert names(found) == before | {late.name}


@pytest.mark.anyio
async def test_bundles_in_quick_succession():
    async with open_fleet() as fleet:
        for number in (2, 3):
            await roll(fleet, number)
            await anyio.sleep(1)
        await anyio.sleep(5)
        for number in (2, 3):
            assert names(await read(fleet, number)) == everybody(fleet)


@pytest.mark.anyio
@pytest.mark.parametrize('fault', ['lose_replies', 'lose_requests'])
async def test_lost_write(fault):
    async with open_fleet() as fleet:
        await roll(fleet, 2)
        setattr(fleet.table.faults, fault, 1)
        await anyio.sleep(30)
        assert names(await read(fleet, 2)) == everybody(fleet)
        assert fleet.table.counts.writes == 2


@pytest.mark.anyio
async def test_store_away():
    async with open_fleet() as fleet:
        await roll(fleet, 2)
        await anyio.sleep(0.5)
        fleet.table.faults.outage = True
        fleet.table.wake()
        await anyio.sleep(100)
        fleet.table.faults.outage = False
        await anyio.sleep(100)
        assert names(await read(fleet, 2)) == everybody(fleet)


@pytest.mark.anyio
async def test_name_is_used_anew():
    async with open_fleet() as fleet:
        later = 1 + takeups.MOST_KEPT
        assert names(await read(fleet, 1))
        await roll(fleet, later)
        await anyio.sleep(5)
        assert await read(fleet, 1) is None
        assert names(await read(fleet, later)) == everybody(fleet)
