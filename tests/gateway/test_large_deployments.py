"""Tests of some hundred entries before some hundred endpoints.

The load is that of 99 entries in five data centres before 192 endpoints of
three slots, of which each entry has some five requests in flight.  What grows
with the square of the entries is bounded here: reports between them, calls of
the store, and choices of one endpoint by several entries at once.
"""

import contextlib
import random

import anyio
import pytest
import virtual_time

from marigoldramp.gateway import discovery
from marigoldramp.gateway import endpoints
from marigoldramp.gateway import gossip
from marigoldramp.gateway import group_members
from marigoldramp.gateway import listings
from marigoldramp.gateway import peer_exchange
from marigoldramp.gateway import peer_reports
from marigoldramp.gateway import peers
from marigoldramp.gateway import presence
from marigoldramp.gateway import ranks
from marigoldramp.gateway import report_intervals

from . import site

pytestmark = pytest.mark.anyio
CENTRES = ('one', 'two', 'three', 'four', 'five')
NEAR = 20


@pytest.fixture
def anyio_backend():
    return virtual_time.make_backend()


def make_report(instance, **more):
    """Return what an entry of our data centre reports."""
    values = dict(
        host=instance,
        echo=1.0,
        call_host=instance,
        fit=True,
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
        table.take(report)
    return table


def make_presence(table):
    return presence.Presence(
        table=table,
        clock=virtual_time.now,
        on_gone=lambda identity: None,
        on_restart=lambda identity: None,
    )


def make_entries(count, **more):
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
    """Most bytes between data centres are reports of entries.

    Sequence: 99 entries in five data centres report to each other each 0.6 s,
    12,900 times a second across data centres.
    Cause: all peers counted the same, wherever they are.
    """
    found = report_intervals.compute_intervals(
        near=near, remote=remote, leads=leads
    )
    assert (found.near, found.remote) == pytest.approx(expected, abs=0.001)


class Wire:
    """Takes the datagrams of one entry."""

    def __init__(self):
        self.sent = []

    async def sendto(self, data, host, port):
        report = peer_reports.decode(data)
        self.sent.append((virtual_time.now(), host, report.period))


class Sender:
    """One entry among 98 peers, which it leads or not."""

    def __init__(self, near=19, remote=79):
        # Nobody sends to it here, so its peers have promised to be silent.
        reports = make_entries(near, period=60.0)
        reports += [
            make_report(f'q{number:02}', data_centre='two', period=60.0)
            for number in range(remote)
        ]
        self.leads = False
        self.table = make_table(*reports)
        self.wire = Wire()
        self.gossip = gossip.Gossip(
            table=self.table,
            seeds=lambda: (),
            make=lambda peer, period: make_report('m', period=period),
            take=lambda report, touched: None,
            leads=lambda: self.leads,
            clock=virtual_time.now,
            random=random.Random(2),
        )
        self.gossip._socket = self.wire

    @contextlib.asynccontextmanager
    async def run(self):
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self.gossip._send_all)
            yield
            tasks.cancel_scope.cancel()

    def times(self, host):
        return [at for at, to, _ in self.wire.sent if to == host]

    def gaps(self, host):
        times = self.times(host)
        return [after - before for before, after in zip(times, times[1:])]


async def test_each_report_comes_by_the_time_that_the_one_before_promised():
    """A peer that waits longer than it was told takes us for gone."""
    sender = Sender()
    async with sender.run():
        await anyio.sleep(12.0)
    promised = {host: period for _, host, period in sender.wire.sent}
    assert promised['p00'] < 0.2 < 1.9 < promised['q00']
    for host, period in promised.items():
        assert max(sender.gaps(host)) <= period + 0.01
    remote = [at for at, host, _ in sender.wire.sent if host[0] == 'q']
    settled = [at for at in remote if at > remote[0] + 4.0]
    assert len(settled) <= 45 * (remote[-1] - remote[0] - 4.0)
    # They are spread: no burst to all data centres each two seconds.
    bursts = [sum(abs(at - one) < 0.01 for at in settled) for one in settled]
    assert max(bursts) < 30


@pytest.mark.parametrize('leads', [True, False])
async def test_all_peers_hear_at_once_who_leads(leads):
    """Two entries take each other's lease by turns.

    Sequence: an entry takes the lease of a group; entries elsewhere hear of it
    after two seconds, and meanwhile its last report says that it does not.
    Cause: reports that go out seldom, without regard to what they say.
    """
    sender = Sender()
    sender.leads = not leads
    async with sender.run():
        await anyio.sleep(5.0)
        sender.leads = leads
        changed_at = virtual_time.now()
        await anyio.sleep(0.2)
    told = {host for at, host, _ in sender.wire.sent if at >= changed_at}
    assert len(told) == 98


async def test_entry_that_has_just_started_is_answered_at_once():
    sender = Sender()
    async with sender.run():
        await anyio.sleep(5.0)
        report = make_report('q05', data_centre='two', echo=0.0, sent=9.0)
        sender.gossip._hear(peer_reports.encode(report), 'q05')
        heard_at = virtual_time.now()
        await anyio.sleep(0.2)
    assert any(at >= heard_at for at in sender.times('q05'))


# Who is given to callers, leads groups, and asks the store


@pytest.mark.parametrize(
    ('near', 'remote', 'expected'),
    [(20, 79, 20), (8, 79, 8), (7, 5, 12), (2, 5, 7)],
    ids=['many', 'just enough', 'few', 'small deployment'],
)
async def test_callers_are_sent_to_entries_of_their_data_centre(
    near, remote, expected
):
    table = make_table(
        *make_entries(near),
        *[
            make_report(f'q{number:02}', data_centre='two')
            for number in range(remote)
        ],
    )
    found = table.ready_addresses()
    assert len(found) == expected
    if near >= peers.ENOUGH_NEAR:
        assert all(one.host.startswith('p') for one in found)


@pytest.mark.parametrize(
    ('count', 'listed'), [(20, False), (11, False), (10, True), (5, True)]
)
async def test_leader_takes_no_callers_where_others_can(count, listed):
    """Each change of a map comes late, which makes all streams late.

    Sequence: the entry that tells 192 ranks of a change serves its part of
    the callers at the same time.
    Cause: an entry was given to callers whatever else it does.
    """
    table = make_table(*make_entries(count))
    table.take(make_report('p00', sent=2.0, leads=('g',)))
    hosts = {one.host for one in table.ready_addresses()}
    assert ('p00' in hosts) is listed


@pytest.mark.parametrize(
    ('strengths', 'own', 'rivals', 'outdone'),
    [
        ({'a': 1.0, 'b': 1.0}, 1.0, {'a', 'b'}, False),
        ({'a': 2.1, 'b': 1.0}, 1.0, {'a'}, True),
        ({'a': 2.1, 'b': 1.0}, 2.1, {'a'}, False),
        ({'a': 1.0, 'b': 1.1}, 1.1, {'a', 'b'}, False),
        ({'a': 1.0}, 2.1, set(), False),
        ({}, 1.0, set(), False),
    ],
)
async def test_strongest_entries_lead(strengths, own, rivals, outdone):
    """A change of a map takes two seconds, and leaders take turns.

    Sequence: an entry with 20 Mbit/s sends 25 KB to each of 192 ranks; its
    reports to peers wait behind them, so that it is taken for gone.
    Cause: any entry could lead, however little it can do.
    """
    table = make_table(
        *[make_report(name, strength=one) for name, one in strengths.items()]
    )
    assert set(table.fit_to_lead(strength=own)) == rivals
    assert table.is_outdone(strength=own) is outdone


@pytest.mark.parametrize(
    ('strong', 'fit', 'weak_before', 'relies'),
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
async def test_few_entries_of_a_data_centre_ask_the_store(
    strong, fit, weak_before, relies
):
    """Calls of the store are the largest price of a calm day.

    Where those that ask it are turned away some others try, but never all:
    with the store down for all, each try of each entry would be paid for.
    """
    table = make_table(
        *[
            make_report(f'x{number}', strength=2.1, fit=fit)
            for number in range(strong)
        ],
        *[make_report(f'a{number}') for number in range(weak_before)],
        *[make_report(f'z{number}') for number in range(9)],
        *[
            make_report(f'q{number}', strength=2.1, data_centre='two')
            for number in range(9)
        ],
    )
    assert table.read_store_for_us(strength=1.0) is relies


async def test_peers_that_are_not_heard_ask_nothing_for_us():
    table = make_table(
        *[make_report(f'x{number}', strength=2.1) for number in range(3)]
    )
    assert table.read_store_for_us(strength=1.0)
    await anyio.sleep(0.7)
    assert not table.read_store_for_us(strength=1.0)


@pytest.mark.parametrize(
    ('heard_since', 'suspect'), [(0, False), (9, False), (11, True)]
)
async def test_entry_that_was_suspended_suspects_nobody(heard_since, suspect):
    """A leader that is well loses its lease to an entry that was frozen.

    Sequence: an entry freezes for four seconds and wakes; it has heard nobody
    meanwhile, but peers elsewhere report each two seconds only and count as
    heard for ten.
    Cause: these were taken for a proof that it can be reached.
    """
    near = make_entries(19)
    leader = make_report('q00', data_centre='two', leads=('g',))
    remote = [
        make_report(f'q{number:02}', data_centre='two', period=2.0)
        for number in range(1, 80)
    ]
    table = make_table(*near, leader, *remote)
    await anyio.sleep(4.0)
    for number in range(heard_since):
        table.take(make_report(f'p{number:02}', sent=5.0))
    assert table.is_suspect('q00') is suspect


# Endpoints


class Fake:
    """Stands for an endpoint of which only the record matters."""

    def __init__(self, identity):
        self.identity = identity
        self.port = 1


class Relying:
    """A follower whose peers follow the store for it, or not."""

    def __init__(self):
        self.relies = True
        self.listing = None
        self.source = site.FakeEndpoints()
        self.record = site.make_record(Fake('i-1'))
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

    async def fetch(self, newer_than):
        self.asked.append(newer_than)
        return self.listing

    def tell(self, *records, settled, newest):
        self.listing = listings.Listing(
            records=records, revision=newest, newest=newest, settled=settled
        )
        self.follower.note_peer_revision(change_revision=newest)


@pytest.mark.parametrize('settled', [True, False])
async def test_changes_are_learned_from_peers(settled):
    """Each change of an endpoint costs a call of the store for each entry.

    One that is missing in a peer's list is gone only if the peer's own list
    was whole: entries of endpoints lapse while the store is away.
    """
    site_of_one = Relying()
    leaving = site.make_record(Fake('i-2'), leaving=True)
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(site_of_one.follower.run)
        await anyio.sleep(1.0)
        watched = site_of_one.follower._watching
        site_of_one.tell(leaving, settled=settled, newest=9)
        await anyio.sleep(0.3)
        tasks.cancel_scope.cancel()
    assert watched is None
    assert len(site_of_one.asked) == 1
    assert site_of_one.table.find('i-2').record.leaving
    assert (site_of_one.table.find('i-1') is None) is settled


@pytest.mark.parametrize('settles_after', [0.2, 1.0, 2.0])
async def test_list_that_was_not_settled_is_asked_for_again(settles_after):
    """An endpoint that has left gets requests for 3.5 s, until another leaves.

    Sequence: the store turns a third of the entries away for some seconds; an
    endpoint that never says that it leaves is removed just after; an entry
    that relies on peers asks one whose own view is not settled yet, adds what
    is new and keeps what is missing; then nothing changes.
    Cause: an entry asked again only once it heard of another change.
    """
    site_of_one = Relying()
    other = site.make_record(Fake('i-2'))
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(site_of_one.follower.run)
        await anyio.sleep(1.0)
        site_of_one.tell(other, settled=False, newest=9)
        await anyio.sleep(settles_after)
        kept = site_of_one.table.find('i-1')
        site_of_one.tell(other, settled=True, newest=9)
        await anyio.sleep(discovery.UNSETTLED_RETRY_SECONDS + 0.3)
        gone = site_of_one.table.find('i-1')
        asked = len(site_of_one.asked)
        await anyio.sleep(3.0)
        tasks.cancel_scope.cancel()
    assert kept is not None
    assert gone is None
    assert asked == len(site_of_one.asked)
    assert (
        asked <= 2 + (settles_after + 0.5) / discovery.UNSETTLED_RETRY_SECONDS
    )


async def test_list_from_an_unsettled_one_is_not_told_as_settled():
    """An endpoint that has left gets requests for 3.2 s.

    Sequence: an entry that relies on peers takes a list that is not settled,
    and keeps what is missing in it; the next one asks this entry, which is in
    touch with the store, and takes what it keeps for what is there.
    Cause: a list was told as settled by the state of the store alone.
    """
    site_of_one = Relying()
    other = site.make_record(Fake('i-2'))
    told = []
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(site_of_one.follower.run)
        await anyio.sleep(presence.KEEP_UNLISTED_SECONDS + 1.0)
        told.append(site_of_one.follower.make_listing().settled)
        site_of_one.tell(other, settled=False, newest=9)
        await anyio.sleep(0.3)
        told.append(site_of_one.follower.make_listing().settled)
        site_of_one.tell(other, settled=True, newest=9)
        await anyio.sleep(discovery.UNSETTLED_RETRY_SECONDS + 0.3)
        told.append(site_of_one.follower.make_listing().settled)
        tasks.cancel_scope.cancel()
    assert told == [True, False, True]


async def test_peers_with_a_settled_list_are_asked_first(monkeypatch):
    """An endpoint that has left gets requests for 3.05 s.

    Sequence: the store has turned away all that follow it in a data centre;
    their lists are settled two seconds later; an entry there asks one of them
    after the other, though those elsewhere know at once.
    Cause: peers of the own data centre were asked first, whatever they knew.
    """
    near = [make_report(f'p{one}', revision=9, settled=0) for one in range(6)]
    far = [
        make_report(f'q{one}', revision=9, settled=settled, data_centre='two')
        for one, settled in enumerate((0, 4, 9))
    ]
    source = peer_exchange.PeerSource(
        peers=make_table(*near, *far), random=random.Random(3)
    )
    asked = []

    async def fetch(*, address):
        asked.append(address)
        return listings.Listing(records=(), revision=9, newest=9)

    monkeypatch.setattr(peer_exchange, 'fetch_endpoints', fetch)
    for _ in range(20):
        await source.fetch_endpoints(newer_than=4)
    assert {one.host for one in asked} == {'q2'}


@pytest.mark.parametrize(
    ('settles', 'told'), [(True, 9), (False, 0)], ids=['settled', 'not']
)
async def test_report_tells_up_to_where_a_list_is_settled(settles, told):
    site_of_one = Relying()
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(site_of_one.follower.run)
        await anyio.sleep(presence.KEEP_UNLISTED_SECONDS + 1.0)
        site_of_one.tell(site_of_one.record, settled=settles, newest=9)
        await anyio.sleep(0.3)
        seen = site_of_one.follower.reported_settled_revision()
        tasks.cancel_scope.cancel()
    assert seen == told


async def test_list_is_not_settled_while_a_lapsed_entry_is_kept():
    """A peer takes an endpoint that has lapsed for one that is there.

    Sequence: the store was away; an entry lapses and is kept for a moment;
    a peer asks just as the moment is over.
    Cause: what is kept is dropped a tenth of a second later.
    """
    site_of_one = Relying()
    site_of_one.relies = False
    follower = site_of_one.follower
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(follower.run)
        await anyio.sleep(presence.KEEP_UNLISTED_SECONDS + 1.0)
        follower.presence.note_store_outage()
        follower.apply_changes(
            listings.Changes(
                records=(), removed=('i-1',), revision=9, newest=9
            )
        )
        seen = []
        for _ in range(60):
            await anyio.sleep(0.05)
            listing = follower.make_listing()
            seen.append((listing.settled, bool(listing.records)))
        tasks.cancel_scope.cancel()
    assert (True, True) not in seen
    assert seen[0] == (False, True)
    assert seen[-1] == (True, False)


@pytest.mark.parametrize(
    ('position', 'most'), [(0, 21), (1, 11), (4, 5), (19, 5)]
)
async def test_store_that_is_down_is_tried_by_few_entries_often(
    position, most
):
    """An outage of the store costs more than what it breaks.

    Sequence: the store is down; each of 99 entries tries it twice a second,
    and each call is paid for.
    Cause: all tried as often as the first, which would tell the others.
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


async def test_store_is_asked_again_when_peers_do_not():
    """A leaving endpoint goes on getting requests.

    Sequence: an entry relies on peers; these are killed together.
    Cause: nobody follows the store for it any more, and it does not itself.
    """
    site_of_one = Relying()
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(site_of_one.follower.run)
        await anyio.sleep(1.0)
        site_of_one.relies = False
        await anyio.sleep(0.5)
        site_of_one.source.show(
            listings.Changes(
                records=(site.make_record(Fake('i-1'), leaving=True),),
                removed=(),
                revision=9,
                newest=9,
            )
        )
        await anyio.sleep(0.3)
        tasks.cancel_scope.cancel()
    assert site_of_one.table.find('i-1').record.leaving


async def test_peers_of_our_data_centre_are_asked_first_by_chance():
    table = make_table(
        *[make_report(f'q{one}', data_centre='two') for one in range(9)],
        *make_entries(9),
    )
    source = peer_exchange.PeerSource(peers=table, random=random.Random(3))
    orders = [source._order(table.live()) for _ in range(20)]
    for order in orders:
        assert all(table.is_near(peer) for peer in order[:9])
    assert len({order[0].instance for order in orders}) > 3


class Groups(ranks.RankApi):
    """Endpoints that say which group they are in, and count who asks."""

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
    """Each entry asks thousands of questions while endpoints start.

    Sequence: 192 endpoints start one after the other; all that are known are
    asked again at each.
    Cause: whom to ask was decided by whether the set of names had changed.
    """
    api = Groups()
    table = endpoints.EndpointTable(data_centre='one', random=random.Random(1))
    groups = group_members.GroupMembers(api=api, table=table)

    def put(number, born=1):
        table.put(
            site.make_record(Fake(f'i-{number}'), born=born, host=str(number))
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
        centre = 'one' if number < near else CENTRES[1 + number % 4]
        record = site.make_record(
            Fake(f'i-{number}'), data_centre=centre, slots=3
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
    """Four of five requests cross data centres, and all entries compete.

    Sequence: 99 entries choose among 192 endpoints by reports that are 0.6 s
    old.
    Cause: the data centre decided between equals only.
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
