"""Tests of the exchange of suspects between gateways, in virtual time.

The load is one caller that retries a request which ends its endpoint, every
0.3 s on average at any of 8 gateways.  Meanwhile reports are lost, and
gateways are cut off from the others or restarted.
"""

import os

import anyio
import pytest
import virtual_time

from marigoldramp.gateway.shared_state import suspect_exchange
from marigoldramp.gateway.shared_state import suspects

from . import suspect_network

pytestmark = pytest.mark.anyio
#: Seconds after a fault from which a gateway counts as connected again.
CALM_SECONDS = 3.0
#: Limit of sends of a request by connected gateways, counted from
#: ``CALM_SECONDS`` after it has ended three endpoints.
MAX_SENDS = 3
#: Number of random fault schedules; `make test-long` runs more.
SEEDS = 50 if os.environ.get('HYPOTHESIS_PROFILE') == 'long' else 3


@pytest.fixture
def anyio_backend():
    return virtual_time.make_backend()


@pytest.mark.parametrize(
    ('seconds', 'blocked'),
    [(0.01, 0), (suspects.PEER_REPORT_SECONDS + 0.01, 12)],
)
async def test_all_gateways_block_within_a_tenth_of_a_second(seconds, blocked):
    async with anyio.create_task_group() as tasks:
        network = suspect_network.Network(tasks, 12)
        network.gateways[0].end('i-1', 'a')
        network.gateways[1].end('i-2', 'a')
        await anyio.sleep(seconds)
        assert network.count_decisions('a') == blocked
        assert network.count_decisions('a', suspects.Allowed) == 0
        tasks.cancel_scope.cancel()


async def test_answer_at_one_gateway_clears_a_request_at_all():
    async with anyio.create_task_group() as tasks:
        network = suspect_network.Network(tasks, 12)
        network.gateways[0].end('i-1', 'a')
        await anyio.sleep(0.05)
        network.gateways[5].suspects.note_answer('a')
        network.gateways[5].exchange.note_change('a')
        await anyio.sleep(0.05)
        assert network.count_decisions('a', suspects.Allowed) == 12
        tasks.cancel_scope.cancel()


@pytest.mark.parametrize('seen_by', ['those cut off', 'the others', 'both'])
async def test_missed_reports_are_made_up_by_fetching(seen_by):
    """Guards against a request that some gateways do not block.

    Four of twelve gateways are cut off for longer than reports mention an end.
    Meanwhile a request ends two endpoints.
    """
    async with anyio.create_task_group() as tasks:
        network = suspect_network.Network(tasks, 12)
        network.cut.update(network.gateways[:4])
        if seen_by != 'the others':
            network.gateways[0].end('i-1', 'a')
            network.gateways[0].end('i-2', 'a')
        if seen_by != 'those cut off':
            network.gateways[9].end('i-3', 'a', 'b')
            network.gateways[9].end('i-4', 'a')
        await anyio.sleep(suspect_exchange.REPORTING_SECONDS + 1.0)
        network.cut.clear()
        await anyio.sleep(suspect_exchange.MIN_DIFFERENCE_SECONDS + 0.5)
        assert network.count_decisions('a') == 12
        await anyio.sleep(10.0)
        digests = {str(one.suspects.digest()) for one in network.gateways}
        assert len(digests) == 1
        # Each fetches a few times and then stops.
        assert max(one.fetches for one in network.gateways) <= 4
        tasks.cancel_scope.cancel()


async def test_new_gateway_fetches_once_and_nobody_fetches_from_it():
    """Guards against all gateways fetching from one that has just started."""
    async with anyio.create_task_group() as tasks:
        network = suspect_network.Network(tasks, 12)
        network.gateways[0].end('i-1', 'a')
        network.gateways[0].end('i-2', 'a')
        await anyio.sleep(suspect_exchange.REPORTING_SECONDS + 1.0)
        network.gateways[0].start()
        await anyio.sleep(0.35)
        assert network.count_decisions('a') == 12
        await anyio.sleep(5.0)
        assert [one.fetches for one in network.gateways] == [1] + [0] * 11
        tasks.cancel_scope.cancel()


class Caller:
    """A caller that retries a request which ends its endpoint.

    :ivar ends: times of the ends.
    :ivar sends: times at which connected gateways sent the request.
    :ivar refused: number of refusals.
    """

    def __init__(self, network):
        self.network = network
        self.ends = []
        self.sends = []
        self.refused = 0

    async def run(self, seconds):
        end = virtual_time.now() + seconds
        async with anyio.create_task_group() as tasks:
            while virtual_time.now() < end:
                for _ in range(self.network.random.choice([1, 1, 1, 3])):
                    gateway = self.network.random.choice(self.network.gateways)
                    tasks.start_soon(self.ask, gateway)
                await anyio.sleep(self.network.random.uniform(0.05, 0.6))

    async def ask(self, gateway):
        """Send the request to a gateway, where a slot is always free."""
        known = gateway.suspects
        while isinstance(known.decide('a'), suspects.Undecided):
            await anyio.sleep(suspects.PEER_REPORT_SECONDS / 4.0)
        if isinstance(known.decide('a'), suspects.Blocked):
            self.refused += 1
            return
        known.begin('a')
        now = virtual_time.now()
        if now - gateway.cut_until > CALM_SECONDS:
            self.sends.append(now)
        await anyio.sleep(self.network.random.uniform(0.01, 0.2))
        known.finish('a')
        self.ends.append(virtual_time.now())
        gateway.end(f'i-{len(self.ends)}', 'a')

    def late_sends(self):
        """Return the sends that count against the limit."""
        if len(self.ends) < 3:
            return []
        third = sorted(self.ends)[2]
        return [at for at in self.sends if at > third + CALM_SECONDS]


@pytest.mark.parametrize('seed', range(SEEDS))
@pytest.mark.parametrize(
    ('loss', 'kinds'),
    [
        (0.0, ()),
        (0.3, ()),
        (0.05, ('cut',)),
        (0.05, ('restart',)),
        (0.2, ('cut', 'restart')),
    ],
)
async def test_retried_request_ends_few_endpoints(loss, kinds, seed):
    """Guards against a request that ends an endpoint at each gateway.

    Whatever faults occur, connected gateways send it at most three times more
    once all of them could know of the third end.
    """
    async with anyio.create_task_group() as tasks:
        network = suspect_network.Network(tasks, 8, seed=seed, loss=loss)
        caller = Caller(network)
        if kinds:
            tasks.start_soon(suspect_network.disturb, network, kinds)
        await caller.run(45.0)
        tasks.cancel_scope.cancel()
    assert caller.refused > 50
    assert len(caller.late_sends()) <= MAX_SENDS
