"""Tests of the retry budget over all gateways, from arrivals at endpoints."""

import pickle
import random

import anyio
import pytest
import virtual_time

from marigoldramp.gateway import boot_clock
from marigoldramp.gateway import peers
from marigoldramp.gateway import retry_budget

from . import retry_fleet

pytestmark = pytest.mark.anyio
BOUNDS = retry_budget.Bounds(ratio=0.2, extra=92.0, window=10.0)
#: Seconds before the first fault: more than a window.
LEAD_SECONDS = 14.0
#: Part of the allowed retries that has to be used while all requests fail.
MIN_USED_SHARE = 0.6


@pytest.fixture
def anyio_backend():
    return virtual_time.make_backend()


@pytest.fixture(autouse=True)
def use_virtual_clock(monkeypatch):
    monkeypatch.setattr(boot_clock, 'read_clock', virtual_time.now)


async def restart_all(fleet):
    """Restart all gateways one after the other while all requests fail."""
    fleet.fail()
    await anyio.sleep(3.0)
    for gateway in fleet.gateways:
        gateway.start()
        await anyio.sleep(1.0 / len(fleet.gateways))
    await anyio.sleep(8.0)


async def restart_repeatedly(fleet):
    """Restart all gateways three times within a window."""
    fleet.fail()
    for _ in range(3):
        await anyio.sleep(2.5)
        for gateway in fleet.gateways:
            gateway.start()
    await anyio.sleep(8.0)


async def restart_isolated(fleet):
    """Restart all gateways while they reach neither store nor peers."""
    fleet.store.away = True
    fleet.isolate()
    for gateway in fleet.gateways:
        gateway.start()
    await anyio.sleep(BOUNDS.window + 2.0)
    fleet.fail()
    await anyio.sleep(10.0)


async def lose_most_gateways(fleet):
    """Kill most gateways after they have spent, so that callers move."""
    fleet.fail()
    await anyio.sleep(2.0)
    for gateway in fleet.gateways[1:]:
        gateway.stop()
    await anyio.sleep(10.0)


async def close_endpoints(fleet):
    """Close all endpoints and open them again, so that retries wait."""
    for _ in range(3):
        fleet.close()
        await anyio.sleep(5.0)
        fleet.close(is_closed=False)
        await anyio.sleep(0.2)
    await anyio.sleep(8.0)


async def freeze_half(fleet):
    """Freeze half of the gateways while all requests fail."""
    fleet.fail()
    await anyio.sleep(1.0)
    for gateway in fleet.gateways[::2]:
        gateway.freeze()
    await anyio.sleep(6.0)
    for gateway in fleet.gateways[::2]:
        gateway.resumed.set()
    await anyio.sleep(8.0)


async def forget_peers(fleet):
    """Partition the gateways until each half forgets the other."""
    fleet.store.away = True
    fleet.cut = set(fleet.gateways[::2])
    fleet.is_quiet = True
    await anyio.sleep(peers.MAX_ABSENCE_SECONDS + 5.0)
    for gateway in fleet.gateways:
        gateway.peers.expire_silent()
    fleet.is_quiet = False
    await anyio.sleep(LEAD_SECONDS)
    fleet.fail()
    await anyio.sleep(12.0)


async def fail_all(fleet):
    """Have all requests fail."""
    fleet.fail()
    await anyio.sleep(30.0)


class RandomFaults:
    """Random restarts, kills, freezes and outages within a few windows."""

    def __init__(self, seed):
        self._random = random.Random(seed)

    async def __call__(self, fleet):
        fleet.fail()
        for _ in range(self._random.randint(4, 8)):
            await anyio.sleep(self._random.uniform(0.0, 3.0))
            self._play_fault(fleet)
        await anyio.sleep(BOUNDS.window)

    def _play_fault(self, fleet):
        count = self._random.randint(1, len(fleet.gateways))
        chosen = self._random.sample(fleet.gateways, count)
        match self._random.choice(('restart', 'kill', 'freeze', 'cut', 'all')):
            case 'restart':
                for gateway in chosen:
                    gateway.start()
            case 'kill':
                for gateway in chosen[1:]:
                    gateway.stop()
            case 'freeze':
                for gateway in chosen[1:]:
                    gateway.freeze()
            case 'cut':
                fleet.cut = set(chosen)
                fleet.store.away = not fleet.store.away
            case 'all':
                fleet.fail(fails=self._random.random() < 0.7)
                fleet.close(is_closed=self._random.random() < 0.3)
                for gateway in fleet.gateways:
                    gateway.resumed.set()
                    if gateway.is_down:
                        gateway.start()


async def run(play, *, gateways, rate=60.0, **more):
    """Return the fleet after a scenario."""
    async with anyio.create_task_group() as tasks:
        fleet = retry_fleet.Fleet(
            tasks, gateways=gateways, bounds=BOUNDS, **more
        )
        tasks.start_soon(fleet.demand, rate, 200.0)
        await anyio.sleep(LEAD_SECONDS)
        await play(fleet)
        tasks.cancel_scope.cancel()
    return fleet


@pytest.mark.parametrize('gateways', [3, 6, 15, 39, 350])
async def test_restarted_gateways_do_not_spend_the_budget_again(gateways):
    """Guards against a second budget after a restart of all gateways."""
    fleet = await run(restart_all, gateways=gateways)
    assert fleet.repeats
    assert fleet.find_excess() <= 0.0


@pytest.mark.parametrize('rate', [20.0, 150.0])
@pytest.mark.parametrize('gateways', [2, 6, 39])
@pytest.mark.parametrize(
    'play',
    [
        restart_repeatedly,
        restart_isolated,
        lose_most_gateways,
        close_endpoints,
        freeze_half,
        forget_peers,
        fail_all,
    ],
)
async def test_repeats_stay_within_the_budget(play, gateways, rate):
    """Guards against more repeats than the operator allows all gateways."""
    fleet = await run(play, gateways=gateways, rate=rate)
    assert fleet.find_excess() <= 0.0


@pytest.mark.parametrize(
    ('gateways', 'seed'), [(2, 1), (6, 7), (6, 10), (6, 13), (15, 1), (39, 1)]
)
async def test_repeats_stay_within_the_budget_under_random_faults(
    gateways, seed
):
    """Guards against more repeats than the operator allows all gateways."""
    fleet = await run(RandomFaults(seed), gateways=gateways, seed=seed)
    assert fleet.repeats
    assert fleet.find_excess() <= 0.0


@pytest.mark.parametrize('gateways', [3, 6, 39, 350])
async def test_budget_is_used_while_there_is_need(gateways):
    """Guards against a budget that is safe because nobody can spend it."""
    fleet = await run(fail_all, gateways=gateways)
    since = LEAD_SECONDS
    assert fleet.measure_use(since, since + 30.0) >= MIN_USED_SHARE


@pytest.mark.parametrize(
    ('extra', 'members'), [(69, 3), (69, 39), (69, 350), (0, 5), (7, 7)]
)
def test_parts_of_the_extra_add_up_to_no_more(extra, members):
    names = frozenset(f'entry-{number}' for number in range(members))
    parts = [
        retry_budget.divide_extra(
            extra, key='notes', instance=name, members=names
        )
        for name in names
    ]
    assert extra - extra // members - members <= sum(parts) <= extra


def make_budget(clock):
    """Return the budget of a gateway that does not know the others."""
    return retry_budget.RetryBudget(
        instance='entry-1',
        bounds=lambda: BOUNDS,
        members=lambda: None,
        random=random.Random(1),
        clock=clock,
    )


@pytest.mark.parametrize(
    ('waited', 'is_valid'), [(0.0, True), (2.4, True), (2.6, False)]
)
def test_reserved_retry_expires_like_any_other(waited, is_valid):
    """Guards against retries that wait for a place and go out together."""
    now = 100.0
    budget = make_budget(lambda: now)
    for _ in range(14):
        budget.note_request('notes')
    reserved = budget.reserve('notes')
    now += waited
    assert reserved.spend() is is_valid


def test_reservations_are_limited_and_can_be_given_back():
    budget = make_budget(lambda: 100.0)
    for _ in range(14):
        budget.note_request('notes')
    reserved = [budget.reserve('notes') for _ in range(3)]
    assert [one is not None for one in reserved] == [True, True, False]
    reserved[0].cancel()
    assert budget.reserve('notes') is not None


def test_budget_does_not_grow_while_no_request_is_retried():
    """Guards against memory that grows with each request."""
    now = 100.0
    budget = make_budget(lambda: now)
    sizes = []
    for _ in range(2):
        for _ in range(2000):
            now += 0.01
            budget.note_request('notes')
        sizes.append(len(pickle.dumps(budget._accounts)))
    assert sizes[1] <= sizes[0] * 1.1
