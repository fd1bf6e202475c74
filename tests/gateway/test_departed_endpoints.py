"""Tests that no gateway uses an endpoint that has left, over all gateways."""

import functools

import anyio
import pytest
import virtual_time

from marigoldramp.gateway import peer_exchange

from . import drain_fleet
from . import drain_schedules

pytestmark = pytest.mark.anyio
#: Seconds before the first fault: more than a gateway takes to start.
LEAD_SECONDS = 6.0
#: Seconds after the last fault in which the rule is checked.
CHECK_SECONDS = 8.0
#: Gateways of a deployment to which the bounds of small ones apply.
MAX_SMALL_GATEWAYS = 20


@pytest.fixture
def anyio_backend():
    return virtual_time.make_backend()


async def run(play, monkeypatch, *, gateways, bounds, seed=1):
    """Return what a scenario has broken."""
    async with anyio.create_task_group() as tasks:
        fleet = drain_fleet.Fleet(
            tasks, gateways=gateways, endpoints=24, seed=seed, bounds=bounds
        )
        monkeypatch.setattr(peer_exchange, 'fetch_endpoints', fleet.fetch)
        tasks.start_soon(fleet.check)
        await anyio.sleep(LEAD_SECONDS)
        await play(fleet)
        await anyio.sleep(CHECK_SECONDS)
        tasks.cancel_scope.cancel()
    return fleet.broken


async def run_schedule(schedule, monkeypatch, *, gateways, seed):
    """Return what a random schedule of a class has broken."""
    return await run(
        lambda fleet: schedule(fleet, seed).run(),
        monkeypatch,
        gateways=gateways,
        bounds=choose_bounds(gateways),
        seed=seed,
    )


def choose_bounds(gateways):
    """Return the bounds of a deployment with some gateways."""
    if gateways <= MAX_SMALL_GATEWAYS:
        return drain_fleet.SMALL_BOUNDS
    return drain_fleet.GROWN_BOUNDS


@pytest.mark.parametrize(
    ('gateways', 'seed'),
    [
        (6, 3),
        (6, 15),
        (6, 16),
        (6, 24),
        (6, 54),
        (6, 57),
        (6, 62),
        (6, 87),
        (6, 97),
        (39, 31),
    ],
)
async def test_endpoint_that_has_left_is_not_used(gateways, seed, monkeypatch):
    """Guards against requests to endpoints that left during faults."""
    assert not await run_schedule(
        drain_schedules.Schedule, monkeypatch, gateways=gateways, seed=seed
    )


async def leave_while_history_is_lost(fleet):
    """Have an endpoint leave while the store forgets its history."""
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(fleet.store.compact)
        await anyio.sleep(drain_fleet.MUTE_SECONDS / 2.0)
        fleet.leave('i-3', reports=False)


async def leave_while_watches_are_cut(fleet):
    """Have an endpoint leave before the history goes and watches are cut."""
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(functools.partial(fleet.store.compact, cuts=True))
        await anyio.sleep(drain_fleet.MUTE_SECONDS / 10.0)
        fleet.leave('i-3', reports=False)


async def leave_while_readers_restart(fleet):
    """Have an endpoint leave while no gateway reads the store."""
    async with anyio.create_task_group() as tasks:
        for gateway in fleet.list_readers():
            tasks.start_soon(
                gateway.suffer, 'kill', drain_schedules.RESTART_SECONDS
            )
        await anyio.sleep(drain_schedules.RESTART_SECONDS / 2.0)
        fleet.leave('i-3', reports=False)


@pytest.mark.parametrize('gateways', [6, 12, 39])
@pytest.mark.parametrize(
    'play', [leave_while_history_is_lost, leave_while_readers_restart]
)
async def test_departure_that_only_a_list_shows_is_known_to_all(
    gateways, play, monkeypatch
):
    """Guards against endpoints that peers use on after one was listed gone.

    No gateway sees the removal as a change: those that read the store list
    the endpoints anew, and the others take their lists from them.
    """

    async def play_after_a_change(fleet):
        fleet.store.write(fleet.store.records['i-9'])
        await anyio.sleep(LEAD_SECONDS)
        await play(fleet)

    broken = await run(
        play_after_a_change,
        monkeypatch,
        gateways=gateways,
        bounds=choose_bounds(gateways),
    )
    assert not broken


@pytest.mark.parametrize('gateways', [6, 12, 39])
async def test_cut_watches_do_not_delay_a_departure(gateways, monkeypatch):
    """Guards against taking a watch that is cut off for an outage.

    The endpoint that is missing from the next list is kept as if its record
    could have lapsed, though the store answers all the time.
    """
    broken = await run(
        leave_while_watches_are_cut,
        monkeypatch,
        gateways=gateways,
        bounds=choose_bounds(gateways),
    )
    assert not broken


@pytest.mark.parametrize('gateways', [6, 12, 39])
@pytest.mark.parametrize('fault', ['busy', 'silent'])
async def test_live_endpoints_are_kept_around_an_outage(
    gateways, fault, monkeypatch
):
    """Guards against losing live endpoints whose records lapse."""
    fewest = []

    async def watch_tables(fleet):
        while True:
            await anyio.sleep(drain_fleet.TICK_SECONDS)
            fewest.append(min(len(one.table) for one in fleet.gateways))

    async def play(fleet):
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(watch_tables, fleet)
            await fleet.fail_store(fault, 4.0, lapses=0.5)
            await anyio.sleep(CHECK_SECONDS)
            tasks.cancel_scope.cancel()

    await run(
        play, monkeypatch, gateways=gateways, bounds=choose_bounds(gateways)
    )
    assert min(fewest) == 24


@pytest.mark.parametrize(('gateways', 'seed'), [(12, 33), (12, 37)])
async def test_departures_are_known_whatever_the_readers_suffer(
    gateways, seed, monkeypatch
):
    """Guards against endpoints that are used for ever after faults."""
    assert not await run_schedule(
        drain_schedules.WideSchedule, monkeypatch, gateways=gateways, seed=seed
    )


@pytest.mark.parametrize(
    ('gateways', 'seed'), [(6, 1), (6, 2), (6, 3), (6, 92), (12, 1), (12, 47)]
)
async def test_short_failures_do_not_delay_departures(
    gateways, seed, monkeypatch
):
    """Guards against keeping endpoints that left after failed calls."""
    assert not await run_schedule(
        drain_schedules.ShortFailureSchedule,
        monkeypatch,
        gateways=gateways,
        seed=seed,
    )


async def cut_readers_off(fleet, seconds):
    """Have the store be silent for all gateways that read it."""
    async with anyio.create_task_group() as tasks:
        for gateway in fleet.list_readers():
            tasks.start_soon(gateway.suffer, 'silent', seconds)


async def leave_after_readers_are_cut_off(fleet):
    """Have an endpoint leave while watches wait on dead connections."""
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(cut_readers_off, fleet, 8.0)
        await anyio.sleep(0.1)
        fleet.leave('i-3', reports=True)


async def leave_while_readers_connect(fleet):
    """Have an endpoint leave while watches wait for their connections."""
    fleet.store.write(fleet.store.records['i-9'])
    await anyio.sleep(0.1)
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(cut_readers_off, fleet, 8.0)
        await anyio.sleep(0.8)
        fleet.leave('i-3', reports=True)


async def leave_as_one_reader_is_cut_off(fleet):
    """Have an endpoint leave as one gateway is cut off.

    Nothing changes afterwards, so no other news makes up for the departure.
    """
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(fleet.list_readers()[0].suffer, 'silent', 7.6)
        await anyio.sleep(0.1)
        fleet.leave('i-3', reports=True)


@pytest.mark.parametrize('gateways', [6, 12, 39])
@pytest.mark.parametrize(
    'play',
    [
        leave_after_readers_are_cut_off,
        leave_while_readers_connect,
        leave_as_one_reader_is_cut_off,
    ],
)
async def test_silent_watches_do_not_delay_a_departure(
    gateways, play, monkeypatch
):
    """Guards against taking a watch that says nothing for an unchanged list.

    The gateway uses the endpoint until its watch fails, and so do all that
    rely on it to read the store.
    """
    broken = await run(
        play, monkeypatch, gateways=gateways, bounds=choose_bounds(gateways)
    )
    assert not broken


@pytest.mark.parametrize(
    ('gateways', 'seed'), [(6, 1), (6, 2), (12, 1), (39, 1)]
)
async def test_endpoint_that_told_a_gateway_is_not_used_there(
    gateways, seed, monkeypatch
):
    """Guards against lists that bring back what an endpoint itself denied."""
    assert not await run_schedule(
        drain_schedules.ToldSchedule, monkeypatch, gateways=gateways, seed=seed
    )
