"""Tests of which endpoints count as cold, and of what follows from it."""

import math
import random
import types

import anyio
import hypothesis
from hypothesis import strategies
import msgspec
import pytest

from marigoldramp.gateway.balancing import endpoints
from marigoldramp.gateway import deployment
from marigoldramp.gateway import discovery
from marigoldramp.gateway import presence
from marigoldramp.gateway import settings
from marigoldramp.gateway.shared_state import bounds
from marigoldramp.gateway.shared_state import cold_limits
from marigoldramp.gateway.shared_state import cold_starts
from marigoldramp.gateway.shared_state import rate_shares
from marigoldramp.gateway import store_outages

from . import fake_endpoint as fake
from . import rate_limit_fleet
from . import site

SECONDS = 10.0
COLD_START = deployment.ColdStart(seconds=SECONDS, rate=15.0)
#: A port at which nothing listens.
CLOSED_PORT = 1
COLD_BOUNDS = settings.ColdBounds(factor=1.5, extra=5.0)


class ColdGateway:
    """The endpoints of one gateway, driven by a test."""

    def __init__(self, *, cold_bounds=COLD_BOUNDS, cold_start=COLD_START):
        self.clock = rate_limit_fleet.Clock()
        self.table = endpoints.EndpointTable(
            data_centre='one', random=random.Random(1)
        )
        self.shares = rate_limit_fleet.make_shares(
            self.table, clock=self.clock.read
        )
        self.cold_starts = cold_starts.ColdStarts(
            table=self.table,
            shares=self.shares,
            cold_bounds=lambda: cold_bounds,
            find_cold_start=lambda service: cold_start,
            clock=self.clock.read,
        )
        self.outages = store_outages.StoreOutages(clock=self.clock.read)
        self.presence = presence.Presence(
            table=self.table,
            outages=self.outages,
            clock=self.clock.read,
            on_gone=lambda identity: None,
            on_restart=lambda identity: None,
            on_put=self.cold_starts.note_put,
        )
        self.follower = discovery.EndpointFollower(
            source=None,
            table=self.table,
            clock=self.clock.read,
            presence=self.presence,
            on_change=lambda: None,
            find_cold_seconds=self.cold_starts.find_remaining,
        )

    def put(self, *, born=1, revision=1, cold_seconds=None):
        """Apply the record that an endpoint has written."""
        record = rate_limit_fleet.make_record('i-0', born=born)
        self.presence.put_written(
            msgspec.structs.replace(
                record, revision=revision, cold_seconds=cold_seconds
            )
        )

    def answer(self, cold_seconds, *, sent_seconds_ago=0.0):
        """Receive a response of the endpoint."""
        call = types.SimpleNamespace(
            facts=types.SimpleNamespace(attempt_id='a'),
            sent_at=self.clock.now - sent_seconds_ago,
        )
        self.cold_starts.note_answer(
            call=call,
            endpoint=self.table.find('i-0'),
            facts=rate_limit_fleet.make_facts(0.0, cold_seconds=cold_seconds),
        )

    def refuse(self):
        """Have the port of the endpoint refuse a connection."""
        self.cold_starts.note_refused(self.table.find('i-0'))

    def come_back(self, **more):
        """Have the endpoint's record be missing after a restored store."""
        self.outages.note_restore()
        self.presence.note_unlisted('i-0', revision=1)
        self.put(**more)

    def withdraw(self, data_centre='one'):
        """Withdraw the evacuation of a data centre."""
        self.cold_starts.note_withdrawal([data_centre])

    def wait(self, seconds):
        """Let some time pass."""
        self.clock.now += seconds
        self.cold_starts.refresh()

    def find_seconds(self):
        """Return for how much longer the endpoint is cold, 0 if it is not."""
        self.cold_starts.refresh()
        cold = self.table.find('i-0').rate_limit.cold
        return cold.until - self.clock.now if cold.is_cold else 0.0


WARM = ('put', dict(cold_seconds=0.0))


@pytest.mark.parametrize(
    ('events', 'seconds'),
    [
        ([('put', dict())], SECONDS),
        ([('put', dict(cold_seconds=4.0))], 4.0),
        ([WARM], 0.0),
        ([('put', dict()), ('wait', dict(seconds=4.0))], 6.0),
        ([('put', dict()), ('wait', dict(seconds=10.0))], 0.0),
        ([WARM, ('put', dict(revision=2))], 0.0),
        ([WARM, ('put', dict(revision=2, cold_seconds=3.0))], 3.0),
        ([WARM, ('put', dict(revision=1, cold_seconds=3.0))], 0.0),
        ([WARM, ('put', dict(born=2, revision=2))], SECONDS),
        ([WARM, ('refuse', dict())], SECONDS),
        ([WARM, ('come_back', dict(revision=2))], SECONDS),
        ([WARM, ('come_back', dict(revision=2, cold_seconds=0.0))], 0.0),
        ([WARM, ('withdraw', dict())], SECONDS),
        ([WARM, ('withdraw', dict(data_centre='two'))], 0.0),
        (
            [
                WARM,
                ('withdraw', dict()),
                ('put', dict(revision=2, cold_seconds=0.0)),
            ],
            0.0,
        ),
        ([WARM, ('answer', dict(cold_seconds=2.0))], 2.0),
        ([WARM, ('answer', dict(cold_seconds=None))], 0.0),
        (
            [
                WARM,
                ('refuse', dict()),
                ('wait', dict(seconds=1.0)),
                ('answer', dict(cold_seconds=0.0)),
            ],
            0.0,
        ),
        (
            [
                WARM,
                ('refuse', dict()),
                ('answer', dict(cold_seconds=0.0, sent_seconds_ago=1.0)),
            ],
            SECONDS,
        ),
        (
            [
                ('put', dict()),
                ('wait', dict(seconds=4.0)),
                ('refuse', dict()),
            ],
            SECONDS,
        ),
    ],
)
def test_endpoint_counts_as_cold(events, seconds):
    """Guards against a source of cold starts that is missed or misread."""
    gateway = ColdGateway()
    for name, values in events:
        getattr(gateway, name)(**values)
    assert gateway.find_seconds() == pytest.approx(seconds)


@pytest.mark.parametrize(
    'more', [dict(cold_bounds=None), dict(cold_start=None)]
)
def test_nothing_is_cold_unless_asked_for(more):
    """Guards against limits in deployments that know no cold starts."""
    gateway = ColdGateway(**more)
    gateway.put(cold_seconds=5.0)
    gateway.refuse()
    gateway.withdraw()
    gateway.answer(3.0)
    assert gateway.find_seconds() == 0.0
    assert math.isinf(gateway.table.find('i-0').rate_limit.share)
    listed = gateway.follower.known.make_listing().records[0]
    assert listed.cold_seconds == 5.0


@pytest.mark.parametrize(
    ('passed', 'seconds'), [(0.0, 8.0), (6.0, 2.0), (9.0, 0.0)]
)
def test_peer_learns_what_remains_of_a_cold_start(passed, seconds):
    """Guards against a time that begins anew at each gateway."""
    gateway = ColdGateway()
    gateway.put(cold_seconds=8.0)
    gateway.wait(passed)
    peer = ColdGateway()
    peer.follower.known.apply_peer_listing(
        gateway.follower.known.make_listing()
    )
    assert peer.find_seconds() == pytest.approx(seconds)
    peer.wait(1.0)
    peer.follower.known.apply_peer_listing(
        gateway.follower.known.make_listing()
    )
    assert peer.find_seconds() == pytest.approx(max(0.0, seconds - 1.0))


def test_load_returns_in_steps_within_a_second():
    """Guards against the whole load at once when an endpoint is warm."""
    gateway = ColdGateway()
    gateway.put(cold_seconds=5.0)
    cold = gateway.table.find('i-0').rate_limit.cold
    rates = []
    for _ in range(16):
        bound = cold.find_bound(now=gateway.clock.now)
        rates.append(math.inf if bound is None else bound.rate)
        gateway.wait(0.5 if cold.is_cold else 0.25)
    steps = [one for one in rates if one > 15.0]
    assert steps == sorted(steps)
    assert rates[0] == 15.0 and steps[0] == 30.0 and rates[-1] == math.inf
    duration = cold_limits.RECOVERY_STEPS * cold_limits.RECOVERY_STEP_SECONDS
    assert duration <= 1.0
    assert cold.bound is None


@pytest.mark.parametrize(
    ('named', 'share'), [(0.0, 15.0), (2.0, 2.0), (40.0, 15.0)]
)
def test_smaller_share_of_both_limits_counts(named, share):
    """Guards against a cold endpoint that gets more than it names."""
    gateway = ColdGateway()
    gateway.put(cold_seconds=0.0)
    gateway.clock.now += 4.0
    gateway.shares = rate_limit_fleet.make_shares(
        gateway.table, clock=gateway.clock.read
    )
    shares = gateway.shares
    endpoint = gateway.table.find('i-0')
    endpoint.rate_limit.cold.begin(until=1000.0, since=gateway.clock.now)
    endpoint.rate_limit.cold.bound = bounds.make_cold(
        15.0, factor=1.5, extra=5.0
    )
    if named:
        endpoint.rate_limit.note_named(
            named, version=1, confirmed_at=200.0, now=gateway.clock.now
        )
    membership = shares._membership
    membership._registered = lambda: frozenset({'entry-1'})
    membership._started_at -= 10.0
    shares.refresh()
    assert endpoint.rate_limit.share == pytest.approx(share)


@hypothesis.given(
    gateways=strategies.integers(1, 400),
    rate=strategies.floats(0.5, 1000.0),
    factor=strategies.floats(1.0, 3.0),
    extra=strategies.floats(2.0, 20.0),
    isolated_part=strategies.floats(0.0, 1.0),
)
@hypothesis.example(
    gateways=350, rate=15.0, factor=1.5, extra=5.0, isolated_part=0.4
)
@hypothesis.example(
    gateways=3, rate=1.0, factor=1.0, extra=2.0, isolated_part=0.0
)
def test_shares_and_bursts_fit_the_bound(
    gateways, rate, factor, extra, isolated_part
):
    """Guards against many gateways each sending one request at once.

    A part of the gateways is isolated, and the others hold their shares.
    """
    bound = bounds.make_cold(rate, factor=factor, extra=extra)
    isolated = math.floor(isolated_part * gateways)
    alone = bound.count_most_sends(bound.find_isolated_share(gateways))
    division = bound.divide(max(1, gateways - isolated))
    sends = division.holders * bound.count_most_sends(division.share)
    assert sends <= bound.allowed
    assert division.holders * division.share >= 0.7 * rate
    if 2 * isolated >= gateways:
        assert gateways * alone <= bound.allowed
    else:
        assert sends + isolated * alone <= bound.allowed


@pytest.mark.parametrize(
    ('left', 'is_cold_chosen'), [(0.1, False), (0.4, False), (2.0, True)]
)
def test_requests_with_time_warm_an_endpoint_up(left, is_cold_chosen):
    """Guards against urgent requests on an endpoint that is slow."""
    table = rate_limit_fleet.make_table(2)
    warm, cold = table
    warm.own_requests = 1
    cold.rate_limit.cold.is_cold = True
    chosen = table.choose(
        service='notes',
        now=100.0,
        slots=lambda one: 4.0,
        avoid=frozenset(),
        late_after=100.0 + left,
    )
    assert (chosen is cold) == is_cold_chosen


@pytest.mark.anyio
async def test_cold_endpoint_is_shown(lines):
    """Guards against a cold endpoint that operators do not see."""
    scripts = [fake.answer(more='Cold-Ms: 4000\r\n')]
    cold = fake.FakeEndpoint(identity='i-1', scripts=scripts)
    async with site.run_site(cold) as running:
        gateway = running.gateway
        limit_cold_starts(running)
        gateway.cold_starts.note_put('i-1', False)
        while gateway.table.find('i-1').rate_limit.share in (0.0, math.inf):
            await anyio.sleep(0.05)
        await anyio.sleep(1.0 / COLD_START.rate + 0.1)
        await site.call(running, attempt='a1')
        seen = gateway.describer.describe().endpoints[0]
    assert (seen.state, seen.cold_seconds) == ('cold', pytest.approx(4.0, 0.2))
    began = lines('endpoint cold')[0]
    assert (began['cause'], began['seconds']) == (
        cold_starts.Cause.STARTED.value,
        SECONDS,
    )
    assert [one['request'] for one in lines('sent to cold endpoint')] == ['a1']


def limit_cold_starts(running):
    """Have the services of a gateway limit cold starts."""
    starts = running.gateway.cold_starts
    starts._cold_bounds = lambda: COLD_BOUNDS
    starts._find_cold_start = lambda service: COLD_START


@pytest.mark.anyio
async def test_request_that_may_not_go_any_more_is_withdrawn(monkeypatch):
    """Guards against a request assigned before its endpoint was cold."""
    verdicts = [False, True]
    monkeypatch.setattr(
        rate_shares.RateShares,
        'may_send',
        lambda shares, endpoint: verdicts.pop(0),
    )
    endpoint = fake.FakeEndpoint(identity='i-1', scripts=[fake.answer()])
    async with site.run_site(endpoint) as running:
        answer = await site.call(running)
    assert answer.status == 200
    assert (len(endpoint.seen), verdicts) == (1, [])


@pytest.mark.anyio
async def test_refused_connection_counts_as_a_restart(lines):
    """Guards against full load on a process that replaces an ended one."""
    ended = fake.FakeEndpoint(identity='i-1', scripts=[])
    other = fake.FakeEndpoint(identity='i-2', scripts=[fake.answer()] * 40)
    async with site.run_site(ended, other) as running:
        gateway = running.gateway
        known = gateway.table.find('i-1')
        known.record = msgspec.structs.replace(
            known.record, port=CLOSED_PORT, cold_seconds=0.0
        )
        limit_cold_starts(running)
        while not lines('endpoint cold'):
            await site.call(running)
    (began,) = lines('endpoint cold')
    assert began['endpoint'] == 'i-1'
    assert began['cause'] == cold_starts.Cause.REFUSED.value
