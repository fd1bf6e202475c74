"""Tests of deployments with about a hundred gateways and endpoints.

The numbers are those of 99 gateways in five data centres and 192 endpoints
with three slots each, where each gateway has about five requests in flight.
The tests bound what would grow with the square of the number of
gateways: reports between them, calls to the store, and selections of one
endpoint by several gateways at once.
"""

import contextlib
import random

import anyio
import pytest
import virtual_time

from marigoldramp.gateway import address_selection
from marigoldramp.gateway.balancing import endpoints
from marigoldramp.gateway import discovery
from marigoldramp.gateway import gossip
from marigoldramp.gateway import group_members
from marigoldramp.gateway import listings
from marigoldramp.gateway import peer_exchange
from marigoldramp.gateway import peer_reports
from marigoldramp.gateway import peers
from marigoldramp.gateway import presence
from marigoldramp.gateway import ranks
from marigoldramp.gateway import report_intervals
from marigoldramp.gateway import store_outages

from . import address_fleet
from . import site

pytestmark = pytest.mark.anyio
DATA_CENTRES = ('one', 'two', 'three', 'four', 'five')


@pytest.fixture
def anyio_backend():
    return virtual_time.make_backend()


def make_report(instance, **more):
    """Return the report of a gateway in data centre ``one``."""
    values = dict(
        host=instance,
        echo=1.0,
        call_host=instance,
        can_lead=True,
        data_centre='one',
        period=0.1,
    )
    return site.make_report(instance, **(values | more))


def make_table(*reports):
    table = peers.PeerTable(
        instance='m',
        data_centre='one',
        clock=virtual_time.now,
        random=random.Random(1),
    )
    for report in reports:
        table.apply_report(report)
    return table


def make_presence(table):
    return presence.Presence(
        table=table,
        outages=store_outages.StoreOutages(clock=virtual_time.now),
        clock=virtual_time.now,
        on_gone=lambda identity: None,
        on_restart=lambda identity: None,
    )


def make_reports(count, **more):
    return [make_report(f'p{number:02}', **more) for number in range(count)]


# Reports


@pytest.mark.parametrize(
    ('near', 'remote', 'leads', 'expected'),
    [
        (2, 5, False, (0.1, 0.125)),
        (15, 31, False, (0.1, 0.775)),
        (19, 79, False, (0.119, 1.975)),
        (19, 79, True, (0.153, 0.153)),
        (0, 0, False, (0.1, 0.1)),
    ],
)
async def test_reports_between_data_centres_are_fewer(
    near, remote, leads, expected
):
    """Guards against too many reports between data centres.

    If 99 gateways in five data centres report to all peers at the same
    interval, 0.6 s, they send 12,900 reports per second across data centres,
    which is most of the traffic there.
    """
    found = report_intervals.compute_intervals(
        near=near, remote=remote, leads=leads
    )
    assert (found.near, found.remote) == pytest.approx(expected, abs=0.001)


class RecordingSocket:
    """Records the datagrams that one gateway sends."""

    def __init__(self):
        self.sent = []

    def send(self, data, host, port):
        report = peer_reports.decode(data)
        self.sent.append((virtual_time.now(), host, report.period))


class Sender:
    """One gateway with 98 peers, which leads a group or not."""

    def __init__(self, near=19, remote=79):
        # The peers send nothing here, so they announce a long interval.
        reports = make_reports(near, period=60.0)
        reports += [
            make_report(f'q{number:02}', data_centre='two', period=60.0)
            for number in range(remote)
        ]
        self.leads = False
        self.table = make_table(*reports)
        self.socket = RecordingSocket()
        self.gossip = gossip.Gossip(
            table=self.table,
            seeds=lambda: (),
            encode_report=lambda peer, period: peer_reports.encode(
                make_report('m', period=period)
            ),
            on_report=lambda report, touched: None,
            leads=lambda: self.leads,
            clock=virtual_time.now,
            random=random.Random(2),
        )
        self.gossip._socket = self.socket

    @contextlib.asynccontextmanager
    async def run(self):
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self.gossip._send_all)
            yield
            tasks.cancel_scope.cancel()

    def times(self, host):
        return [at for at, to, _ in self.socket.sent if to == host]

    def gaps(self, host):
        times = self.times(host)
        return [after - before for before, after in zip(times, times[1:])]


async def test_reports_keep_the_announced_interval():
    """Peers take a gateway for dead if it exceeds its announced interval."""
    sender = Sender()
    async with sender.run():
        await anyio.sleep(12.0)
    announced = {host: period for _, host, period in sender.socket.sent}
    assert announced['p00'] < 0.2 < 1.9 < announced['q00']
    for host, period in announced.items():
        assert max(sender.gaps(host)) <= period + 0.01
    remote = [at for at, host, _ in sender.socket.sent if host[0] == 'q']
    settled = [at for at in remote if at > remote[0] + 4.0]
    assert len(settled) <= 45 * (remote[-1] - remote[0] - 4.0)
    # The reports are spread out: no burst to all peers every two seconds.
    bursts = [sum(abs(at - one) < 0.01 for at in settled) for one in settled]
    assert max(bursts) < 30


@pytest.mark.parametrize('leads', [True, False])
async def test_all_peers_hear_at_once_who_leads(leads):
    """Guards against two gateways that keep taking a lease from each other.

    A gateway takes the lease of a group.  If remote peers learned of it only
    from its next regular report, two seconds later, its last one would still
    say that it does not lead, and one of them would take the lease over.
    """
    sender = Sender()
    sender.leads = not leads
    async with sender.run():
        await anyio.sleep(5.0)
        sender.leads = leads
        changed_at = virtual_time.now()
        await anyio.sleep(0.2)
    notified = {host for at, host, _ in sender.socket.sent if at >= changed_at}
    assert len(notified) == 98


async def test_gateway_that_has_just_started_is_answered_at_once():
    sender = Sender()
    async with sender.run():
        await anyio.sleep(5.0)
        report = make_report('q05', data_centre='two', echo=0.0, sent=9.0)
        sender.gossip._handle_datagram(peer_reports.encode(report), 'q05')
        heard_at = virtual_time.now()
        await anyio.sleep(0.2)
    assert any(at >= heard_at for at in sender.times('q05'))


# Selection of gateways for callers, leadership, and reads of the store


@pytest.mark.parametrize(
    ('near', 'remote', 'expected'),
    [(20, 79, 20), (8, 79, 8), (7, 5, 12), (2, 5, 7)],
    ids=['many', 'just enough', 'few', 'small deployment'],
)
async def test_callers_are_sent_to_gateways_of_their_data_centre(
    near, remote, expected
):
    table = make_table(
        *make_reports(near),
        *[
            make_report(f'q{number:02}', data_centre='two')
            for number in range(remote)
        ],
    )
    found = address_fleet.make_selector(table, virtual_time.now).choose()
    assert len(found) == expected
    if near >= address_selection.MIN_NEAR_ADDRESSES:
        assert all(one.host.startswith('p') for one in found)


@pytest.mark.parametrize(
    ('count', 'listed'), [(20, False), (11, False), (10, True), (5, True)]
)
async def test_leader_takes_no_callers_where_others_can(count, listed):
    """Guards against late changes of the expert map, which delay all streams.

    A leader that serves its share of the callers sends each change to 192
    ranks too late.
    """
    table = make_table(*make_reports(count))
    table.apply_report(make_report('p00', sent=2.0, leads=('g',)))
    selector = address_fleet.make_selector(table, virtual_time.now)
    hosts = {one.host for one in selector.choose()}
    assert ('p00' in hosts) is listed


@pytest.mark.parametrize(
    ('capacities', 'own', 'candidates', 'has_stronger'),
    [
        ({'a': 1.0, 'b': 1.0}, 1.0, {'a', 'b'}, False),
        ({'a': 2.1, 'b': 1.0}, 1.0, {'a'}, True),
        ({'a': 2.1, 'b': 1.0}, 2.1, {'a'}, False),
        ({'a': 1.0, 'b': 1.1}, 1.1, {'a', 'b'}, False),
        ({'a': 1.0}, 2.1, set(), False),
        ({}, 1.0, set(), False),
    ],
)
async def test_strongest_gateways_lead(
    capacities, own, candidates, has_stronger
):
    """Guards against a leader with too little capacity.

    A leader with 20 Mbit/s sends 25 KB to each of 192 ranks, which takes two
    seconds.  Its reports to peers wait behind this, so the peers take it for
    dead and leadership keeps moving.
    """
    table = make_table(
        *[make_report(name, capacity=one) for name, one in capacities.items()]
    )
    assert set(table.list_leader_candidates(capacity=own)) == candidates
    assert table.has_stronger_peer(capacity=own) is has_stronger


@pytest.mark.parametrize(
    ('strong', 'can_lead', 'weak_before', 'relies'),
    [
        (3, True, 0, True),
        (2, True, 0, False),
        (2, True, 1, True),
        (0, True, 2, False),
        (3, False, 0, False),
        (6, False, 0, True),
        (3, False, 3, True),
    ],
)
async def test_few_gateways_of_a_data_centre_read_the_store(
    strong, can_lead, weak_before, relies
):
    """Calls to the store are the largest cost of a day without faults.

    If the store turns away the gateways that read it, some others try, but
    never all: with the store down, every attempt of every gateway would cost
    money.
    """
    table = make_table(
        *[
            make_report(f'x{number}', capacity=2.1, can_lead=can_lead)
            for number in range(strong)
        ],
        *[make_report(f'a{number}') for number in range(weak_before)],
        *[make_report(f'z{number}') for number in range(9)],
        *[
            make_report(f'q{number}', capacity=2.1, data_centre='two')
            for number in range(9)
        ],
    )
    assert table.has_enough_store_readers(capacity=1.0) is relies


async def test_silent_peers_do_not_count_as_store_readers():
    table = make_table(
        *[make_report(f'x{number}', capacity=2.1) for number in range(3)]
    )
    assert table.has_enough_store_readers(capacity=1.0)
    await anyio.sleep(0.7)
    assert not table.has_enough_store_readers(capacity=1.0)


@pytest.mark.parametrize(
    ('heard_since', 'suspect'), [(0, False), (9, False), (11, True)]
)
async def test_gateway_that_was_suspended_suspects_nobody(
    heard_since, suspect
):
    """Guards against a healthy leader losing its lease to a frozen gateway.

    A gateway freezes for four seconds and has heard nobody meanwhile.  Remote
    peers report only every two seconds and still count as heard for ten, which
    does not prove that this gateway can be reached.
    """
    near = make_reports(19)
    leader = make_report('q00', data_centre='two', leads=('g',))
    remote = [
        make_report(f'q{number:02}', data_centre='two', period=2.0)
        for number in range(1, 80)
    ]
    table = make_table(*near, leader, *remote)
    await anyio.sleep(4.0)
    for number in range(heard_since):
        table.apply_report(make_report(f'p{number:02}', sent=5.0))
    assert table.is_suspect('q00') is suspect


# Endpoints


class EndpointStub:
    """A fake endpoint that has only what its record needs."""

    def __init__(self, identity):
        self.identity = identity
        self.port = 1


#: Seconds of an outage in which records of live endpoints lapse.
OUTAGE_SECONDS = 3.0


class RelyingGateway:
    """A follower that gets endpoints from peers, or from the store."""

    def __init__(self):
        self.relies = True
        self.listing = None
        self.source = site.FakeEndpoints()
        self.record = site.make_record(EndpointStub('i-1'))
        self.source.records = [self.record]
        self.asked = []
        self.table = endpoints.EndpointTable(
            data_centre='one', random=random.Random(1)
        )
        self.follower = discovery.EndpointFollower(
            source=self.source,
            table=self.table,
            clock=virtual_time.now,
            presence=make_presence(self.table),
            on_change=lambda: None,
            relies_on_peers=lambda: self.relies,
            fetch_from_peers=self.fetch,
        )

    async def run(self):
        """Run the follower, while other calls to the store are answered."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(
                site.note_answers, self.follower.presence.outages, self.source
            )
            tasks.start_soon(self.follower.run)

    async def fetch(self, known):
        self.asked.append(known.settled)
        return self.listing

    def announce(self, *records, settled, newest):
        self.listing = listings.Listing(
            records=records, revision=newest, newest=newest, settled=settled
        )
        self.follower.note_peer(listings.Summary(newest=newest))


@pytest.mark.parametrize('settled', [True, False])
async def test_changes_are_learned_from_peers(settled):
    """Learning changes from peers saves a call to the store per gateway.

    An endpoint that is missing from a peer's list is gone only if that list is
    settled: registrations of endpoints lapse while the store is down.
    """
    relying = RelyingGateway()
    leaving = site.make_record(EndpointStub('i-2'), leaving=True)
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(relying.run)
        await anyio.sleep(1.0)
        watched = relying.follower._watching
        relying.announce(leaving, settled=settled, newest=9)
        await anyio.sleep(0.3)
        tasks.cancel_scope.cancel()
    assert watched is None
    assert len(relying.asked) == 1
    assert relying.table.find('i-2').record.leaving
    assert (relying.table.find('i-1') is None) is settled


@pytest.mark.parametrize('settles_after', [0.2, 1.0, 2.0])
async def test_list_that_was_not_settled_is_fetched_again(settles_after):
    """Guards against requests to an endpoint that has left.

    The store turns away a third of the gateways for some seconds.  Just after,
    an endpoint is removed without having reported that it leaves.  A gateway
    that relies on peers fetches a list that is not settled yet, so it keeps
    the missing endpoint.  If it fetched again only after another change, it
    would use that endpoint for 3.5 s or longer.
    """
    relying = RelyingGateway()
    other = site.make_record(EndpointStub('i-2'))
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(relying.run)
        await anyio.sleep(1.0)
        relying.announce(other, settled=False, newest=9)
        await anyio.sleep(settles_after)
        kept = relying.table.find('i-1')
        relying.announce(other, settled=True, newest=9)
        await anyio.sleep(discovery.UNSETTLED_RETRY_SECONDS + 0.3)
        gone = relying.table.find('i-1')
        asked = len(relying.asked)
        await anyio.sleep(3.0)
        tasks.cancel_scope.cancel()
    assert kept is not None
    assert gone is None
    assert asked == len(relying.asked)
    assert (
        asked <= 2 + (settles_after + 0.5) / discovery.UNSETTLED_RETRY_SECONDS
    )


async def test_list_from_an_unsettled_peer_is_not_announced_as_settled():
    """Guards against using an endpoint for 3.2 s after it has left.

    A gateway that relies on peers fetches a list that is not settled, and
    keeps the endpoints missing from it.  If it then announced its own list as
    settled because the store answers it, the next gateway that asks it would
    take the kept endpoints for existing ones.
    """
    relying = RelyingGateway()
    other = site.make_record(EndpointStub('i-2'))
    announced = []
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(relying.run)
        await anyio.sleep(store_outages.RETURN_SECONDS + 1.0)
        announced.append(relying.follower.known.make_listing().settled)
        relying.announce(other, settled=False, newest=9)
        await anyio.sleep(0.3)
        announced.append(relying.follower.known.make_listing().settled)
        relying.announce(other, settled=True, newest=9)
        await anyio.sleep(discovery.UNSETTLED_RETRY_SECONDS + 0.3)
        announced.append(relying.follower.known.make_listing().settled)
        tasks.cancel_scope.cancel()
    assert announced == [True, False, True]


async def test_peers_with_a_settled_list_are_asked_first(monkeypatch):
    """Guards against using an endpoint for 3.05 s after it has left.

    The store turns away all gateways of a data centre that read it, so their
    lists are settled only two seconds later.  A gateway there that asked local
    peers first, whatever they know, would get one unsettled list after the
    other, though remote peers have settled ones at once.
    """
    near = [make_report(f'p{one}', revision=9, settled=0) for one in range(6)]
    far = [
        make_report(f'q{one}', revision=9, settled=settled, data_centre='two')
        for one, settled in enumerate((0, 4, 9))
    ]
    client = peer_exchange.PeerClient(
        peers=make_table(*near, *far), random=random.Random(3)
    )
    asked = []

    async def fetch(*, address):
        asked.append(address)
        return listings.Listing(records=(), revision=9, newest=9)

    monkeypatch.setattr(peer_exchange, 'fetch_endpoints', fetch)
    for _ in range(20):
        await client.fetch_endpoints(listings.Summary(newest=4, settled=4))
    assert {one.host for one in asked} == {'q2'}


async def test_kept_endpoint_is_removed_though_peers_tell_nothing_new():
    """Guards against using an endpoint that left until its peers' next change.

    This gateway's own list lacks it and is later than those of its peers,
    which know as much but were not told of a later revision.
    """
    relying = RelyingGateway()
    relying.relies = False
    source = relying.source
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(relying.run)
        await anyio.sleep(1.0)
        source.away = True
        source.changed.set()
        await anyio.sleep(OUTAGE_SECONDS)
        source.away = False
        source.records = []
        source.revision = 50
        await anyio.sleep(discovery.RETRY_SECONDS + 0.1)
        assert relying.table.find('i-1') is not None
        relying.relies = True
        relying.follower.note_peer(
            listings.Summary(newest=1, settled=1, complete=48)
        )
        await anyio.sleep(
            store_outages.RETURN_SECONDS + discovery.MAX_PEER_WAIT_SECONDS
        )
        assert relying.table.find('i-1') is None
        tasks.cancel_scope.cancel()


async def test_peer_that_stands_still_does_not_delay_a_departure(monkeypatch):
    """Guards against using an endpoint on while one peer does not answer."""
    reports = [make_report(f'p{one}', revision=9, settled=9) for one in (0, 1)]
    client = peer_exchange.PeerClient(
        peers=make_table(*reports), random=random.Random(3)
    )
    asked = []

    async def fetch(*, address):
        asked.append(address)
        if len(asked) == 1:
            await anyio.sleep(peer_exchange.EXCHANGE_TIMEOUT_SECONDS)
            return None
        return listings.Listing(records=(), revision=9, newest=9)

    monkeypatch.setattr(peer_exchange, 'fetch_endpoints', fetch)
    found = None
    with anyio.move_on_after(2.0 * peer_exchange.NEXT_PEER_SECONDS):
        found = await client.fetch_endpoints(
            listings.Summary(newest=4, settled=4)
        )
    assert found is not None


@pytest.mark.parametrize(
    ('settles', 'expected'), [(True, 9), (False, 0)], ids=['settled', 'not']
)
async def test_report_tells_up_to_where_a_list_is_settled(settles, expected):
    relying = RelyingGateway()
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(relying.run)
        await anyio.sleep(store_outages.RETURN_SECONDS + 1.0)
        relying.announce(relying.record, settled=settles, newest=9)
        await anyio.sleep(0.3)
        seen = relying.follower.known.summarize().settled
        tasks.cancel_scope.cancel()
    assert seen == expected


async def test_list_is_not_settled_while_a_lapsed_endpoint_is_kept():
    """Guards against passing on an endpoint whose registration has lapsed.

    After the store was down, a registration lapses and is kept for a moment.
    A peer asks just after that moment, but the kept endpoint is dropped only a
    tenth of a second later.
    """
    relying = RelyingGateway()
    relying.relies = False
    follower = relying.follower
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(relying.run)
        await anyio.sleep(store_outages.RETURN_SECONDS + 1.0)
        relying.source.away = True
        await anyio.sleep(OUTAGE_SECONDS)
        relying.source.away = False
        follower.known.apply_changes(
            listings.Changes(
                records=(), removed=('i-1',), revision=9, newest=9
            )
        )
        seen = []
        for _ in range(80):
            await anyio.sleep(0.05)
            listing = follower.known.make_listing()
            seen.append((listing.settled, bool(listing.records)))
        tasks.cancel_scope.cancel()
    assert (True, True) not in seen
    assert seen[0] == (False, True)
    assert seen[-1] == (True, False)


@pytest.mark.parametrize(
    ('position', 'most'), [(0, 21), (1, 11), (4, 5), (19, 5)]
)
async def test_store_that_is_down_is_tried_often_by_few_gateways(
    position, most
):
    """Guards against the cost of calls to a store that is down.

    Every call costs money.  If each of 99 gateways tried twice a second, the
    calls would cost more than the outage itself; it is enough that the first
    tries often, as it would tell the others.
    """
    source = site.FakeEndpoints()
    source.away = True
    tries = []
    listed = source.list_all

    async def list_all():
        tries.append(virtual_time.now())
        return await listed()

    source.list_all = list_all
    table = endpoints.EndpointTable(data_centre='one', random=random.Random(1))
    follower = discovery.EndpointFollower(
        source=source,
        table=table,
        clock=virtual_time.now,
        presence=make_presence(table),
        on_change=lambda: None,
        position=lambda: position,
    )
    with anyio.move_on_after(10.0):
        await follower.run()
    assert most - 2 <= len(tries) <= most


async def test_store_is_read_again_when_peers_stop():
    """Guards against requests to a leaving endpoint.

    A gateway gets changes from peers, and these are killed together.  It must
    read the store itself then.
    """
    relying = RelyingGateway()
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(relying.run)
        await anyio.sleep(1.0)
        relying.relies = False
        await anyio.sleep(0.5)
        relying.source.show(
            listings.Changes(
                records=(site.make_record(EndpointStub('i-1'), leaving=True),),
                removed=(),
                revision=9,
                newest=9,
            )
        )
        await anyio.sleep(0.3)
        tasks.cancel_scope.cancel()
    assert relying.table.find('i-1').record.leaving


async def test_local_peers_are_asked_first_in_random_order():
    table = make_table(
        *[make_report(f'q{one}', data_centre='two') for one in range(9)],
        *make_reports(9),
    )
    client = peer_exchange.PeerClient(peers=table, random=random.Random(3))
    orders = [client._order_for_asking(table.live()) for _ in range(20)]
    for order in orders:
        assert all(table.is_near(peer) for peer in order[:9])
    assert len({order[0].instance for order in orders}) > 3


class FakeRankApi(ranks.RankApi):
    """Reports the same group for all endpoints, and records each query."""

    def __init__(self):
        self.asked = []

    async def report(self, *, address, identity):
        self.asked.append(identity)
        return ranks.RankReport(
            group='g',
            epoch=1,
            rank=int(identity[2:]),
            size=192,
            group_open=True,
            step=0,
            version=0,
            prepared=None,
            armed=None,
            held=None,
        )

    async def counts(self, *, address, identity):
        raise NotImplementedError

    async def experts(self, *, address, identity):
        raise NotImplementedError

    async def order(self, *, address, identity, order):
        raise NotImplementedError


async def test_each_start_of_an_endpoint_is_asked_once_for_its_group():
    """Guards against thousands of queries while endpoints start.

    192 endpoints start one after the other.  If any change of the set of names
    triggered queries, all known endpoints would be asked again at each start.
    """
    api = FakeRankApi()
    table = endpoints.EndpointTable(data_centre='one', random=random.Random(1))
    groups = group_members.GroupMembers(api=api, table=table)

    def put(number, born=1):
        table.put(
            site.make_record(
                EndpointStub(f'i-{number}'), born=born, host=str(number)
            )
        )

    for number in range(0, 192, 4):
        for each in range(4):
            put(number + each)
        await groups.refresh('notes')
    assert len(api.asked) == len(set(api.asked)) == 192
    assert len(groups.list_known('g')) == 192
    put(7, born=2)
    table.remove('i-8')
    await groups.refresh('notes')
    assert api.asked[192:] == ['i-7']
    assert len(groups.list_known('g')) == 191


def make_endpoints(data_centre='one', near=39, each=38):
    table = endpoints.EndpointTable(
        data_centre=data_centre, random=random.Random(1)
    )
    for number in range(near + 4 * each):
        centre = 'one' if number < near else DATA_CENTRES[1 + number % 4]
        record = site.make_record(
            EndpointStub(f'i-{number}'), data_centre=centre, slots=3
        )
        table.put(record)
    return table


def choose(table):
    return table.choose(
        service='notes', now=1.0, slots=lambda one: 3.0, avoid=frozenset()
    )


@pytest.mark.parametrize(
    ('in_use', 'is_near'),
    [(0, True), (1, True), (2, False), (3, False)],
    ids=['free', 'one each', 'nearly full', 'full'],
)
async def test_requests_stay_in_their_data_centre_while_it_has_room(
    in_use, is_near
):
    """Guards against requests that needlessly cross data centres.

    99 gateways select among 192 endpoints by reports that are 0.6 s old.  If
    the data centre only broke ties, four of five requests would cross data
    centres and all gateways would compete for the same endpoints.
    """
    table = make_endpoints()
    for endpoint in table:
        if endpoint.record.data_centre == 'one':
            endpoint.peer_requests = in_use
    near = [choose(table).record.data_centre == 'one' for _ in range(40)]
    assert sum(near) >= 36 if is_near else sum(near) <= 4


async def test_few_endpoints_of_a_data_centre_get_no_more_than_others():
    table = make_endpoints(near=2, each=2)
    for endpoint in table:
        if endpoint.record.data_centre == 'one':
            endpoint.peer_requests = 1
    assert choose(table).record.data_centre != 'one'
