"""Tests of a gateway's state: configuration, peers, endpoints and queues."""

import random

import anyio
import hypothesis
from hypothesis import strategies
import msgspec
import pytest
import virtual_time

from marigoldramp.gateway.balancing import endpoints
from marigoldramp.gateway import configurations
from marigoldramp.gateway import discovery
from marigoldramp.gateway import event_frames
from marigoldramp.gateway import listings
from marigoldramp.gateway import peer_news
from marigoldramp.gateway import peer_reports
from marigoldramp.gateway import peers
from marigoldramp.gateway import presence
from marigoldramp.gateway.queueing import dispatch
from marigoldramp.gateway import refresh
from marigoldramp.gateway import report_intervals
from marigoldramp.gateway import retry_budget
from marigoldramp.gateway import routes
from marigoldramp.gateway import store_outages

from . import address_fleet
from . import site

pytestmark = pytest.mark.anyio


@pytest.fixture
def anyio_backend():
    return virtual_time.make_backend()


class Clock:
    """A clock that a test moves."""

    def __init__(self):
        self.now = 100.0

    def __call__(self):
        return self.now


# Routes


@pytest.mark.parametrize(
    ('host', 'path', 'name'),
    [
        ('a', '/x/', 'short'),
        ('a', '/x/y', 'short'),
        ('a', '/x/y/z', 'long'),
        ('A:80', '/x/y/', 'long'),
        ('a', '/x', None),
        ('a', '/', None),
        ('a', '', None),
        ('b', '/x/', None),
        ('c', '/anything', 'all'),
    ],
)
def test_longest_prefix_of_the_host_wins(host, path, name):
    table = routes.RouteTable(
        routes=[
            site.make_route(name='short', host='a', prefix='/x/'),
            site.make_route(name='long', host='a', prefix='/x/y/'),
            site.make_route(name='all', host='c', prefix='/'),
        ]
    )
    found = table.find(host=host, path=path)
    assert (None if found is None else found.name) == name


# Events


@pytest.mark.parametrize(
    ('pauses', 'accepted'),
    [((), 0.0), ((0.0,), 0.0), ((0.2, 0.0, 0.12, 0.15), 0.12)],
)
def test_shortest_accepted_pause_counts_for_a_service(pauses, accepted):
    table = routes.RouteTable(
        routes=[
            site.make_route(prefix=f'/{number}/', longest_pause=pause)
            for number, pause in enumerate(pauses)
        ]
    )
    assert table.accepted_pause('notes') == accepted
    assert table.accepted_pause('other') == 0.0


@hypothesis.given(
    strategies.lists(
        strategies.sampled_from(
            [b'id: 1\ndata: a\n\n', b'data: b\r\n\r\n', b'id:7\n\n']
        ),
        max_size=8,
    ),
    strategies.data(),
)
def test_events_are_the_same_however_bytes_are_cut(events, data):
    whole = b''.join(events) + b'id: 9\ndata: rest'
    splitter = event_frames.Splitter()
    found = []
    at = 0
    while at < len(whole):
        end = data.draw(strategies.integers(at + 1, len(whole)))
        found += splitter.feed(whole[at:end])
        at = end
    assert [frame.data for frame in found] == events
    assert splitter.rest == b'id: 9\ndata: rest'


# The retry budget


@hypothesis.given(
    strategies.lists(
        strategies.tuples(
            strategies.floats(0.0, 0.5),
            strategies.integers(0, 2),
            strategies.booleans(),
        ),
        max_size=150,
    )
)
def test_entries_together_keep_the_budget(steps):
    """A service gets more repeats than the operator allows.

    Sequence: entries that do not hear each other all repeat what fails.
    Cause: an entry that takes more than its part of what is shared.
    """
    clock = Clock()
    bounds = retry_budget.Bounds(ratio=0.2, extra=12.0, window=10.0)
    names = frozenset(('a', 'b', 'c'))
    budgets = [
        retry_budget.RetryBudget(
            instance=name,
            bounds=lambda: bounds,
            members=lambda: names,
            random=random.Random(1),
            clock=clock,
        )
        for name in sorted(names)
    ]
    clock.now += bounds.window
    requests = []
    repeats = []
    for pause, entry, fails in steps:
        clock.now += pause
        budgets[entry].note_request('s')
        requests.append(clock.now)
        reservation = budgets[entry].reserve('s') if fails else None
        if reservation is not None and reservation.spend():
            repeats.append(clock.now)
        since = clock.now - bounds.window
        window = sum(at > since for at in requests)
        spent = sum(at > since for at in repeats)
        assert spent <= bounds.ratio * window + bounds.extra


# Configuration


class Source(configurations.ConfigurationSource):
    """Decodes documents that hold only their version."""

    async def fetch(self):
        raise NotImplementedError

    def decode(self, document):
        return site.make_configuration(version=int(document))


@hypothesis.given(
    strategies.lists(strategies.integers(1, 9), min_size=1, max_size=20)
)
def test_configuration_never_goes_back(versions):
    active = configurations.ActiveConfiguration(source=Source())
    highest = 0
    for number, version in enumerate(versions):
        active.apply(b'%d' % version, newest_at=float(number))
        highest = max(highest, version)
        assert active.version == highest


@pytest.mark.parametrize(
    ('version', 'at', 'expected'),
    [(2, 5.0, 5.0), (2, 0.5, 1.0), (1, 5.0, 1.0), (3, 5.0, 1.0)],
)
def test_only_the_version_in_force_is_confirmed(version, at, expected):
    active = configurations.ActiveConfiguration(source=Source())
    active.apply(b'2', newest_at=1.0)
    active.confirm(version=version, newest_at=at)
    assert active.confirmed_at == expected


def test_version_from_a_peer_keeps_the_age_of_what_was_known():
    """Guards against keys being rejected for a moment after each change.

    A newer configuration is fetched from a peer, which does not say when it
    was the newest.  The time of the last confirmation must still count.
    """
    active = configurations.ActiveConfiguration(source=Source())
    active.apply(b'2', newest_at=5.0)
    active.apply(b'3', newest_at=float('-inf'))
    assert (active.version, active.confirmed_at) == (3, 5.0)


def test_document_that_cannot_be_read_changes_nothing():
    active = configurations.ActiveConfiguration(source=Source())
    active.apply(b'2', newest_at=1.0)
    assert not active.apply(b'broken', newest_at=2.0)
    assert (active.version, active.confirmed_at) == (2, 1.0)


async def test_gateways_read_the_store_in_turn_when_they_hear_peers():
    source = site.FakeConfigurationSource()
    source.current = site.make_configuration()
    active = configurations.ActiveConfiguration(source=source)
    refresher = make_refresher(active, source)
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(refresher.run)
        await anyio.sleep(1.0)
        first = source.reads
        for _ in range(100):
            await anyio.sleep(0.1)
            active.confirm(version=1, newest_at=virtual_time.now())
        quiet = source.reads
        await anyio.sleep(10.0)
        tasks.cancel_scope.cancel()
    assert first >= 1
    assert quiet - first <= 1
    assert 8 <= source.reads - quiet <= 15


async def test_silence_of_the_store_is_told_by_reads_of_the_configuration():
    """Guards against taking a store without changes for one that is away."""
    source = site.FakeConfigurationSource()
    source.current = site.make_configuration()
    outages = store_outages.StoreOutages(clock=virtual_time.now)
    refresher = make_refresher(
        configurations.ActiveConfiguration(source=source),
        source,
        outages=outages,
    )
    seen = []
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(refresher.run)
        for away in (False, True):
            source.away = away
            await anyio.sleep(5.0)
            seen.append(outages.may_hide_endpoints())
        tasks.cancel_scope.cancel()
    assert seen == [False, True]


async def test_newer_version_is_fetched_from_a_peer_while_the_store_is_down():
    source = site.FakeConfigurationSource()
    source.current = site.make_configuration()
    active = configurations.ActiveConfiguration(source=source)
    asked = []

    async def from_peers(version):
        asked.append(version)
        source.current = site.make_configuration(version=version)
        return msgspec.json.encode(version)

    refresher = make_refresher(active, source, from_peers)
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(refresher.run)
        await anyio.sleep(1.0)
        source.away = True
        refresher.note_peer_version(4)
        await anyio.sleep(1.0)
        tasks.cancel_scope.cancel()
    assert active.version == 4
    assert asked[0] == 4


def make_refresher(active, source, from_peers=None, *, outages=None):
    async def nobody(version):
        return None

    return refresh.Refresher(
        configuration=active,
        source=source,
        from_peers=from_peers or nobody,
        clock=virtual_time.now,
        position=lambda: 0,
        outages=outages or store_outages.StoreOutages(clock=virtual_time.now),
    )


# Peers


def make_peers(clock):
    return peers.PeerTable(instance='me', clock=clock, random=random.Random(1))


def test_requests_of_live_peers_count_once():
    clock = Clock()
    table = make_peers(clock)
    table.apply_report(site.make_report('a', in_flight={'x': 2}))
    table.apply_report(site.make_report('b', in_flight={'x': 1, 'y': 1}))
    assert (table.in_flight('x'), table.in_flight('y')) == (3, 1)
    table.apply_report(site.make_report('a', sent=2.0, in_flight={'x': 1}))
    assert table.in_flight('x') == 2
    assert (
        table.apply_report(site.make_report('a', sent=1.5, in_flight={'x': 9}))
        is None
    )
    assert table.in_flight('x') == 2
    clock.now += peers.MIN_SILENCE_SECONDS + 0.1
    table.apply_report(site.make_report('b', sent=3.0, in_flight={'y': 1}))
    table.expire_silent()
    assert (table.in_flight('x'), table.in_flight('y')) == (0, 1)
    table.apply_report(site.make_report('a', sent=3.0, in_flight={'x': 4}))
    assert table.in_flight('x') == 4


@pytest.mark.parametrize(
    ('more', 'listed'),
    [
        ({}, True),
        ({'ready': False}, False),
        ({'leaving': True}, False),
        ({'call_host': ''}, False),
    ],
)
def test_only_ready_peers_are_given_to_callers(more, listed):
    table = make_peers(Clock())
    table.apply_report(site.make_report(**more))
    selector = address_fleet.make_selector(table, lambda: 0.0)
    assert bool(selector.choose()) is listed


@pytest.mark.parametrize(
    ('heard_at', 'suspects'),
    [
        ({'a': 0.0, 'b': 1.0, 'c': 1.0}, {'a'}),
        ({'a': 1.0, 'b': 1.0, 'c': 1.0}, set()),
        ({'a': 0.0, 'b': 0.0, 'c': 1.0}, set()),
        ({'a': 0.0, 'b': 0.0, 'c': 0.0}, set()),
        ({'a': 0.0}, set()),
    ],
    ids=['one silent', 'none', 'most silent', 'all silent', 'alone'],
)
def test_silent_peer_is_suspect_while_others_are_heard(heard_at, suspects):
    """Guards against a group of ranks waiting for a leader that has died.

    A gateway that hears few peers is more likely to have a fault itself.
    """
    clock = Clock()
    table = make_peers(clock)
    for at in sorted(set(heard_at.values())):
        clock.now = at
        for name, last in heard_at.items():
            if at <= last:
                table.apply_report(
                    site.make_report(
                        name, sent=at, can_lead=True, leads=(name,)
                    )
                )
    clock.now = 1.05
    assert {name for name in heard_at if table.is_suspect(name)} == suspects
    assert table.list_led_groups() == set(heard_at) - suspects
    assert set(table.list_leader_candidates()) == set(heard_at) - suspects


@pytest.mark.parametrize(
    ('heard', 'since', 'unreachable'),
    [
        (('a', 'b'), 1.3, True),
        (('a', 'b'), 1.0, False),
        ((), 1.3, False),
    ],
    ids=['silent all the while', 'just started', 'nobody is heard'],
)
def test_leader_that_was_never_heard_is_unreachable(heard, since, unreachable):
    """Guards against a group that stalls for four seconds.

    A leader freezes during a change of the expert map.  Its successor starts
    just after that, so it has never heard the leader.  If only peers that were
    heard before could be suspect, it would wait for the lease to expire.
    """
    clock = Clock()
    table = make_peers(clock)
    clock.now += since
    for name in heard:
        table.apply_report(site.make_report(name, sent=since))
    assert table.is_unreachable('frozen') is unreachable
    assert not table.is_suspect('frozen')


@pytest.mark.parametrize(
    ('peer_count', 'leads', 'silent', 'suspect'),
    [
        (8, True, 1.2, 0.5),
        (33, False, 1.2, 1.03),
        (33, True, 1.2, 0.5),
        (320, True, 1.5, 2.5),
        (320, False, 6.0, 10.0),
    ],
)
def test_peer_expires_after_missed_reports(peer_count, leads, silent, suspect):
    """Guards against false suspicions in a large deployment.

    With many gateways each reports to the others less often.  If a peer
    counted as silent after a fixed time instead of a number of missed reports,
    gateways would take each other for dead again and again.
    """
    clock = Clock()
    table = make_peers(clock)
    names = [f'p{number}' for number in range(peer_count)]
    groups = ('g',) if leads else ()
    interval = report_intervals.compute_intervals(
        near=peer_count, remote=0, leads=leads
    ).near

    def apply_all():
        for name in names:
            table.apply_report(
                site.make_report(
                    name,
                    leads=groups if name == 'p0' else (),
                    period=interval if name == 'p0' else 0.1,
                )
            )

    apply_all()

    def report_others():
        for name in names[1:]:
            table.apply_report(site.make_report(name, sent=clock.now + 2.0))

    begun = clock.now
    clock.now = begun + suspect - 0.05
    report_others()
    assert not table.is_suspect('p0')
    clock.now = begun + suspect + 0.05
    report_others()
    assert table.is_suspect('p0')
    table = make_peers(clock)
    apply_all()
    begun = clock.now
    clock.now = begun + silent - 0.05
    report_others()
    table.expire_silent()
    assert len(table.live()) == peer_count
    clock.now = begun + silent + 0.05
    report_others()
    table.expire_silent()
    assert len(table.live()) == peer_count - 1


def test_peers_are_learned_from_peers_and_removed_at_last():
    clock = Clock()
    table = make_peers(clock)
    known = peer_reports.KnownPeer(instance='far', host='f', port=3)
    me = peer_reports.KnownPeer(instance='me', host='m', port=3)
    table.apply_report(site.make_report(known_peers=(known, me)))
    assert {peer.instance for peer in table} == {'p', 'far'}
    clock.now += peers.MAX_ABSENCE_SECONDS + 1.0
    table.expire_silent()
    assert table.count_known() == 0


@hypothesis.given(
    strategies.dictionaries(
        strategies.text('abc0123', min_size=10, max_size=20),
        strategies.integers(1, 9),
        max_size=200,
    )
)
def test_reports_fit_a_datagram_and_come_back(in_flight):
    report = site.make_report(in_flight=in_flight)
    data = peer_reports.encode(report)
    assert len(data) <= peer_reports.MAX_DATAGRAM_BYTES
    found = peer_reports.decode(data)
    assert found.in_flight.items() <= in_flight.items()


async def test_confirmation_counts_from_when_the_question_was_sent():
    """Guards against accepting a revoked key after a freeze.

    A peer's report arrives, and the gateway freezes for seconds before it
    reads it.  The age of the confirmation must not count from the reading.
    """
    active = configurations.ActiveConfiguration(source=Source())
    active.apply(b'1', newest_at=0.0)
    asked = 50.0
    report = site.make_report(echo=asked, echo_incarnation=7, version_age=0.25)
    active.confirm(
        version=report.version, newest_at=report.echo - report.version_age
    )
    assert active.confirmed_at == 49.75


# Endpoints


class EndpointStub:
    """A fake endpoint that has only what its record needs."""

    def __init__(self, identity):
        self.identity = identity
        self.port = 1


def make_follower(clock=None, source=None):
    table = endpoints.EndpointTable(data_centre='one', random=random.Random(1))
    gone = []
    follower = discovery.EndpointFollower(
        source=source or site.FakeEndpoints(),
        table=table,
        clock=clock or virtual_time.now,
        presence=presence.Presence(
            table=table,
            outages=store_outages.StoreOutages(
                clock=clock or virtual_time.now
            ),
            clock=clock or virtual_time.now,
            on_gone=gone.append,
            on_restart=gone.append,
        ),
        on_change=lambda: None,
    )
    return follower, table, gone


def follow(tasks, follower, source):
    """Run a follower, while the store answers other calls as well."""
    tasks.start_soon(follower.run)
    tasks.start_soon(site.note_answers, follower.presence.outages, source)


def listing(*records, revision=1):
    return listings.Listing(
        records=records, revision=revision, newest=revision
    )


def test_leaving_endpoint_never_comes_back():
    """Guards against new requests to a leaving endpoint.

    The endpoint reports that it is leaving.  A list that arrives later but is
    out of date shows it as ready.
    """
    follower, table, _ = make_follower(Clock())
    record = site.make_record(EndpointStub('i-1'))
    follower.known.apply_listing(listing(record))
    follower.known.apply_listing(
        listing(
            site.make_record(EndpointStub('i-1'), leaving=True), revision=2
        )
    )
    follower.known.apply_peer_listing(listing(record, revision=3))
    follower.known.apply_listing(listing(record, revision=4))
    assert table.find('i-1').record.leaving
    assert not table.find('i-1').is_open(now=0.0)


@pytest.mark.parametrize(
    ('written_at', 'settled', 'is_used'),
    [
        (1, False, False),
        (5, False, False),
        (6, False, True),
        (6, True, True),
    ],
    ids=['before', 'at the removal', 'after', 'after, settled'],
)
def test_unsettled_list_brings_back_no_endpoint_that_has_left(
    written_at, settled, is_used
):
    """Guards against requests to an endpoint that an older list still has."""
    follower, table, _ = make_follower(Clock())
    old = site.make_record(EndpointStub('i-1'), born=1, revision=1)
    follower.known.apply_listing(listing(old))
    follower.known.apply_changes(
        listings.Changes(records=(), removed=('i-1',), revision=5, newest=5)
    )
    found = msgspec.structs.replace(old, revision=written_at)
    follower.known.apply_peer_listing(
        msgspec.structs.replace(listing(found, revision=7), settled=settled)
    )
    assert (table.find('i-1') is not None) is is_used


@pytest.mark.parametrize(
    ('complete', 'is_used'), [(5, False), (9, True)], ids=['older', 'as late']
)
def test_older_settled_list_brings_back_no_endpoint_that_has_left(
    complete, is_used
):
    """Guards against using an endpoint for good that an older list has.

    This gateway's own list lacks it, and is complete up to a later revision;
    the peer's names a newer change of a listed endpoint.
    """
    follower, table, _ = make_follower(Clock())
    left = site.make_record(EndpointStub('i-1'), revision=1)
    other = site.make_record(EndpointStub('i-2'), revision=2)
    follower.known.apply_listing(listing(left, other, revision=2))
    follower.known.apply_listing(
        msgspec.structs.replace(listing(other, revision=9), newest=2)
    )
    follower.known.apply_peer_listing(
        listings.Listing(
            records=(left, other), revision=complete, newest=5, settled=True
        )
    )
    assert (table.find('i-1') is not None) is is_used
    assert follower.known.revision == 9


@pytest.mark.parametrize('answer', ['list', 'watch'])
async def test_older_answer_of_the_store_brings_back_no_endpoint(answer):
    """Guards against requests to an endpoint that a late answer still has.

    The store's answer was made before a peer's list, which lacks an endpoint
    that has left meanwhile, and arrives after it.
    """
    source = site.LateEndpoints()
    record = site.make_record(EndpointStub('i-1'), revision=1)
    other = site.make_record(EndpointStub('i-2'), revision=2)
    follower, table, _ = make_follower(source=source)
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(follower.run)
        await anyio.sleep(0.1)
        if answer == 'watch':
            source.answer(listing(record, other, revision=3))
            await anyio.sleep(0.1)
        follower.known.apply_peer_listing(
            msgspec.structs.replace(
                listing(other, revision=9), newest=9, settled=True
            )
        )
        if answer == 'list':
            source.answer(listing(record, other, revision=3))
        else:
            source.answer(
                listings.Changes(
                    records=(record,), removed=(), revision=4, newest=4
                )
            )
        await anyio.sleep(0.1)
        assert table.find('i-1') is None
        assert follower.known.revision == 9
        tasks.cancel_scope.cancel()


class StoppableEndpoints(site.FakeEndpoints):
    """Fails waiting watches too when the store goes away."""

    def fail(self):
        """Fail the waiting watch and all calls that follow."""
        self.away = True
        self.changed.set()


#: Seconds of an outage in which records of live endpoints lapse.
OUTAGE_SECONDS = 4.0


async def lose_record_in_outage(source):
    """Have the store fail, and list ``i-1`` no longer when it is back."""
    await anyio.sleep(0.1)
    source.fail()
    await anyio.sleep(OUTAGE_SECONDS)
    source.records = []
    source.revision = 5
    source.away = False
    await anyio.sleep(discovery.RETRY_SECONDS)


@pytest.mark.parametrize('settled', [True, False])
async def test_peer_tells_that_a_kept_endpoint_is_leaving(settled):
    """Guards against requests to a leaving endpoint that is kept unlisted.

    Its record is missing after an outage, as if it had lapsed; a peer has
    seen meanwhile that it is leaving.
    """
    source = StoppableEndpoints()
    record = site.make_record(EndpointStub('i-1'), revision=1)
    source.records = [record]
    follower, table, _ = make_follower(source=source)
    async with anyio.create_task_group() as tasks:
        follow(tasks, follower, source)
        await lose_record_in_outage(source)
        assert table.find('i-1').is_open(now=virtual_time.now())
        leaving = msgspec.structs.replace(record, leaving=True)
        follower.known.apply_peer_listing(
            msgspec.structs.replace(
                listing(leaving, revision=9), settled=settled
            )
        )
        assert not table.find('i-1').is_open(now=virtual_time.now())
        tasks.cancel_scope.cancel()


async def test_older_record_of_a_peer_does_not_bring_a_kept_endpoint_back():
    """Guards against using an endpoint on that a peer has not yet missed."""
    source = StoppableEndpoints()
    record = site.make_record(EndpointStub('i-1'), revision=1)
    source.records = [record]
    follower, table, _ = make_follower(source=source)
    async with anyio.create_task_group() as tasks:
        follow(tasks, follower, source)
        await lose_record_in_outage(source)
        follower.known.apply_peer_listing(listing(record, revision=9))
        await anyio.sleep(store_outages.RETURN_SECONDS + 1.0)
        tasks.cancel_scope.cancel()
    assert table.find('i-1') is None


@pytest.mark.parametrize('source', ['store', 'peer'])
def test_list_removes_no_endpoint_that_was_written_after_it(source):
    """Guards against losing a new endpoint to a list that is older."""
    follower, table, _ = make_follower(Clock())
    first = site.make_record(EndpointStub('i-1'), revision=1)
    new = site.make_record(EndpointStub('i-2'), revision=7)
    follower.known.apply_listing(listing(first, revision=2))
    follower.known.apply_peer_listing(listing(first, new, revision=7))
    older = msgspec.structs.replace(listing(first, revision=5), settled=True)
    if source == 'store':
        follower.known.apply_listing(older)
    else:
        follower.known.apply_peer_listing(older)
    assert table.find('i-2') is not None


async def test_removal_after_one_failed_call_counts_at_once():
    """Guards against requests to an endpoint that the store has removed.

    One call of this gateway failed before, too short a time for the records
    of live endpoints to lapse.
    """
    source = StoppableEndpoints()
    source.records = [site.make_record(EndpointStub('i-1'), revision=1)]
    follower, table, _ = make_follower(source=source)
    async with anyio.create_task_group() as tasks:
        follow(tasks, follower, source)
        await anyio.sleep(0.1)
        source.fail()
        await anyio.sleep(discovery.RETRY_SECONDS / 2.0)
        source.away = False
        await anyio.sleep(discovery.RETRY_SECONDS)
        source.show(
            listings.Changes(
                records=(), removed=('i-1',), revision=5, newest=5
            )
        )
        await anyio.sleep(0.1)
        assert table.find('i-1') is None
        tasks.cancel_scope.cancel()


async def test_watch_that_stays_behind_is_restarted_whoever_else_is_behind():
    """Guards against requests to a leaving endpoint that only peers know of.

    This gateway's watch has stalled.  One peer is ahead; another, which knows
    as little as this gateway, reports as often.
    """
    clock = Clock()
    follower, _, _ = make_follower(clock)
    follower.known.apply_listing(listing())
    watch = follower._watching = anyio.CancelScope()
    for _ in range(10):
        follower.note_peer(listings.Summary(newest=9))
        follower.note_peer(listings.Summary(newest=1))
        clock.now += peer_news.MAX_BEHIND_SECONDS / 4.0
    assert watch.cancel_called


@pytest.mark.parametrize(
    ('waited', 'is_listed'), [(5.0, True), (0.1, False)], ids=['late', 'early']
)
async def test_endpoints_are_listed_at_once_after_a_cut_watch(
    waited, is_listed
):
    """Guards against using an endpoint on that left while a watch was cut."""
    source = StoppableEndpoints()
    source.records = [site.make_record(EndpointStub('i-1'), revision=1)]
    follower, table, _ = make_follower(source=source)
    async with anyio.create_task_group() as tasks:
        follow(tasks, follower, source)
        await anyio.sleep(waited)
        source.fail()
        await anyio.sleep(0.0)
        source.records = []
        source.revision = 5
        source.away = False
        await anyio.sleep(discovery.RETRY_SECONDS / 5.0)
        assert (table.find('i-1') is None) is is_listed
        await anyio.sleep(discovery.RETRY_SECONDS)
        assert table.find('i-1') is None
        tasks.cancel_scope.cancel()


class CountedReads(site.FakeEndpoints):
    """Counts the reads that wait for no change."""

    def __init__(self):
        super().__init__()
        self.reads = 0

    async def watch(self, *, after, seconds):
        if not seconds:
            self.reads += 1
        return await super().watch(after=after, seconds=seconds)


@pytest.mark.parametrize(
    ('complete', 'age', 'expected'),
    [(1, 0.0, 0), (0, 0.0, 3), (2, 0.0, 3), (1, 3.0, 3)],
    ids=['confirmed', 'not settled', 'peer ahead', 'old'],
)
async def test_list_that_nobody_confirms_is_read_again(
    complete, age, expected
):
    """Guards against taking a watch that says nothing for an answer."""
    source = CountedReads()
    follower, _, _ = make_follower(source=source)
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(follower.run)
        for _ in range(50):
            await anyio.sleep(0.1)
            follower.note_peer(
                listings.Summary(newest=0, complete=complete, checksum=7),
                confirmed_at=virtual_time.now() - age,
            )
        tasks.cancel_scope.cancel()
    assert source.reads == expected


@pytest.mark.parametrize('relies', [True, False])
async def test_only_readers_count_the_store_as_lost_by_a_failed_read(relies):
    """Guards against readers that others rely on though they do not read.

    One for which peers read is none, and must not call until it has an
    answer.
    """
    source = site.FakeEndpoints()
    source.records = [site.make_record(EndpointStub('i-1'))]
    follower, _, _ = make_follower(source=source)
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(follower.run)
        await anyio.sleep(0.5)
        follower.relies_on_peers = lambda: relies
        source.away = True
        await anyio.sleep(3.0)
        tasks.cancel_scope.cancel()
    assert follower.store.reached is relies


async def test_change_that_only_a_read_shows_restarts_the_watch():
    """Guards against waiting on a watch whose connection is dead."""
    source = site.FakeEndpoints()
    source.records = [site.make_record(EndpointStub('i-1'))]
    follower, table, _ = make_follower(source=source)
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(follower.run)
        await anyio.sleep(0.5)
        watch = follower._watching
        source.changes = [
            listings.Changes(records=(), removed=('i-1',), revision=9)
        ]
        await anyio.sleep(1.0)
        assert table.find('i-1') is None
        assert watch.cancel_called
        assert not follower._watching.cancel_called
        tasks.cancel_scope.cancel()


async def test_history_that_is_gone_for_a_read_is_listed():
    """Guards against a list that stays old as its revision does."""
    source = site.FakeEndpoints()
    source.records = [site.make_record(EndpointStub('i-1'))]
    follower, table, _ = make_follower(source=source)
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(follower.run)
        await anyio.sleep(0.5)
        source.records = []
        source.revision = 30
        source.changes = [listings.HistoryGone()]
        await anyio.sleep(1.0)
        tasks.cancel_scope.cancel()
    assert table.find('i-1') is None
    assert follower.known.revision == 30


def test_list_after_a_restore_without_era_is_applied():
    """Guards against endpoints that are never learned after a restore.

    The revisions of a store that was restored may have fallen, so a list that
    was asked for after a newer one counts.
    """
    follower, table, _ = make_follower(Clock())
    follower.known.apply_listing(listing(revision=9))
    follower.known.apply_listing(
        listing(site.make_record(EndpointStub('i-1')), revision=3)
    )
    assert table.find('i-1') is not None


@pytest.mark.parametrize(
    ('born', 'is_used'), [(1, False), (2, True)], ids=['same', 'restarted']
)
def test_leaving_endpoint_stays_so_after_its_record_was_gone(born, is_used):
    """Guards against requests to a leaving endpoint whose record lapsed.

    The record comes back as it was before the endpoint began to leave.
    """
    follower, table, _ = make_follower(Clock())
    record = site.make_record(EndpointStub('i-1'), born=1, revision=1)
    follower.known.apply_listing(listing(record))
    follower.known.apply_changes(
        listings.Changes(
            records=(msgspec.structs.replace(record, leaving=True),),
            removed=(),
            revision=2,
            newest=2,
        )
    )
    follower.known.apply_changes(
        listings.Changes(records=(), removed=('i-1',), revision=3, newest=3)
    )
    back = msgspec.structs.replace(record, born=born, revision=4)
    follower.known.apply_listing(listing(back, revision=4))
    assert table.find('i-1').is_open(now=0.0) is is_used


@pytest.mark.parametrize('heard_by', ['list', 'watch', 'peer'])
def test_state_of_an_earlier_start_is_discarded(heard_by):
    """Guards against a restarted endpoint that gets no requests or fails them.

    An endpoint fails, leaves, and starts again under the same name.  The state
    and the connections of its earlier start must not be used for it.
    """
    follower, table, gone = make_follower(Clock())
    old = site.make_record(EndpointStub('i-1'), leaving=True, born=1000)
    new = site.make_record(EndpointStub('i-1'), born=2000)
    follower.known.apply_listing(listing(old))
    table.find('i-1').note_failure(now=0.0)
    match heard_by:
        case 'list':
            follower.known.apply_listing(listing(new, revision=2))
        case 'watch':
            follower.known.apply_changes(
                listings.Changes(records=(new,), removed=(), revision=2)
            )
        case 'peer':
            follower.known.apply_peer_listing(listing(new, revision=2))
    assert gone == ['i-1']
    assert table.find('i-1').is_open(now=0.0)
    assert table.find('i-1').failures == 0
    # An outdated list does not restore the record of the earlier start.
    follower.known.apply_listing(listing(old, revision=3))
    assert table.find('i-1').is_open(now=0.0)
    assert gone == ['i-1']


def test_removed_endpoint_is_dropped_at_once_while_the_store_works():
    follower, table, gone = make_follower(Clock())
    follower.known.apply_listing(
        listing(site.make_record(EndpointStub('i-1')))
    )
    follower.known.apply_changes(
        listings.Changes(records=(), removed=('i-1',), revision=2)
    )
    assert table.find('i-1') is None
    assert gone == ['i-1']


@pytest.mark.parametrize('comes_back', [False, True])
async def test_endpoint_whose_registration_lapses_is_kept_for_a_moment(
    comes_back,
):
    """Guards against losing all endpoints when the store comes back.

    While the store is down, the registrations of endpoints lapse.  When it is
    back, its list is empty until the endpoints have registered again.
    """
    source = site.FakeEndpoints()
    record = site.make_record(EndpointStub('i-1'))
    source.records = [record]
    follower, table, gone = make_follower(source=source)
    async with anyio.create_task_group() as tasks:
        follow(tasks, follower, source)
        await anyio.sleep(1.0)
        source.away = True
        source.changed.set()
        await anyio.sleep(3.0)
        source.away = False
        source.records = []
        await anyio.sleep(1.5)
        assert table.find('i-1') is not None
        if comes_back:
            source.show(
                listings.Changes(records=(record,), removed=(), revision=5)
            )
        await anyio.sleep(2.5)
        tasks.cancel_scope.cancel()
    assert (table.find('i-1') is not None) is comes_back
    assert bool(gone) is not comes_back


async def test_watch_that_has_gone_silent_is_restarted():
    """Guards against requests to a leaving endpoint.

    The connection of a gateway's watch goes silent, while its peers learn of
    the change.  A silent watch must not count as one without changes.
    """
    source = site.FakeEndpoints()
    record = site.make_record(EndpointStub('i-1'))
    source.records = [record]
    follower, table, _ = make_follower(source=source)
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(follower.run)
        await anyio.sleep(0.5)
        source.changes = [
            listings.Changes(
                records=(site.make_record(EndpointStub('i-1'), leaving=True),),
                removed=(),
                revision=9,
                newest=9,
            )
        ]
        for _ in range(8):
            follower.note_peer(listings.Summary(newest=9))
            await anyio.sleep(0.1)
        tasks.cancel_scope.cancel()
    assert table.find('i-1').record.leaving


async def test_gateways_with_the_same_endpoints_restart_no_watch():
    """Guards against restarting a working watch several times a second.

    One gateway's watch answers just after other objects have changed, so it
    has seen everything up to a higher revision.  That revision must not count
    as a change of an endpoint that the other gateway has missed.
    """
    source = site.FakeEndpoints()
    record = site.make_record(EndpointStub('i-1'))
    source.records = [record]
    follower, _, _ = make_follower(source=source)
    other, _, _ = make_follower(source=site.FakeEndpoints())
    for each, revision in ((follower, 7), (other, 12)):
        each.known.apply_changes(
            listings.Changes(
                records=(record,), removed=(), revision=revision, newest=6
            )
        )
    assert other.known.change_revision == 6
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(follower.run)
        await anyio.sleep(0.5)
        watching = follower._watching
        for _ in range(20):
            follower.note_peer(other.known.summarize())
            await anyio.sleep(0.1)
        assert follower._watching is watching
        for _ in range(40):
            follower.note_peer(listings.Summary(newest=99))
            await anyio.sleep(0.1)
        again = follower._watching
        assert again is not watching
        for _ in range(40):
            follower.note_peer(listings.Summary(newest=99))
            await anyio.sleep(0.1)
        assert follower._watching is again
        tasks.cancel_scope.cancel()


async def test_endpoints_are_listed_again_when_the_watch_history_is_gone():
    source = site.FakeEndpoints()
    source.records = [site.make_record(EndpointStub('i-1'))]
    follower, table, _ = make_follower(source=source)
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(follower.run)
        await anyio.sleep(0.5)
        source.records = [site.make_record(EndpointStub('i-2'))]
        source.show(listings.HistoryGone())
        await anyio.sleep(0.5)
        tasks.cancel_scope.cancel()
    assert table.find('i-1') is None
    assert table.find('i-2') is not None


@pytest.mark.parametrize(
    ('failures', 'pause'), [(1, 0.25), (2, 0.5), (3, 1.0), (9, 4.0)]
)
def test_backoff_of_a_failing_endpoint_grows(failures, pause):
    endpoint = endpoints.Endpoint(record=site.make_record(EndpointStub('i-1')))
    for _ in range(failures):
        endpoint.note_failure(now=10.0)
    assert not endpoint.is_open(now=10.0 + pause - 0.01)
    assert endpoint.is_open(now=10.0 + pause)
    endpoint.note_success(seconds=1.0)
    assert endpoint.failures == 0


# Queueing and dispatch


def make_dispatcher(slots=1, count=1):
    table = endpoints.EndpointTable(data_centre='one', random=random.Random(1))
    for number in range(count):
        table.put(site.make_record(EndpointStub(f'i-{number}'), slots=slots))
    dispatcher = dispatch.Dispatcher(
        table=table,
        clock=virtual_time.now,
        slots=lambda endpoint: endpoint.record.slots,
        random=random.Random(1),
    )
    return dispatcher, table


def make_slot_request(priority=1, seconds=10.0, avoid=()):
    return dispatch.SlotRequest(
        service='notes',
        priority=priority,
        start_by=virtual_time.now() + seconds,
        avoid=frozenset(avoid),
    )


@pytest.mark.parametrize(
    ('paces', 'used'),
    [
        ({}, {'i-0', 'i-1', 'i-2'}),
        ({'i-0': 1.1}, {'i-0', 'i-1', 'i-2'}),
        ({'i-0': 1.6}, {'i-1', 'i-2'}),
        ({'i-0': 1.6, 'i-1': 4.0}, {'i-0', 'i-1', 'i-2'}),
    ],
)
@pytest.mark.parametrize('from_peer', [False, True])
async def test_slow_rank_gets_no_requests(paces, used, from_peer):
    """A request on a slow rank delays the forward passes of all others.

    If most ranks are slow, they are used too, as the others could not serve
    all requests.
    """
    dispatcher, table = make_dispatcher(count=3)
    for identity, pace in paces.items():
        quality = table.find(identity).quality
        note = quality.note_peer_pace if from_peer else quality.note_pace
        note(pace=pace, now=virtual_time.now())
    got = set()
    for _ in range(len(used)):
        got.add(
            (await dispatcher.acquire(make_slot_request())).endpoint.identity
        )
    assert got == used
    refused = await dispatcher.acquire(make_slot_request(seconds=0.5))
    assert refused.retry_after > 0.0


async def test_reported_pace_expires():
    _, table = make_dispatcher()
    known = table.find('i-0').quality
    known.note_pace(pace=4.0, now=virtual_time.now())
    assert known.is_slow_rank(now=virtual_time.now())
    await anyio.sleep(4.0)
    assert not known.is_slow_rank(now=virtual_time.now())


async def test_urgent_requests_get_slots_first():
    dispatcher, _ = make_dispatcher()
    order = []

    async def run(name, priority):
        slot = await dispatcher.acquire(make_slot_request(priority))
        order.append(name)
        await anyio.sleep(0.1)
        dispatcher.release(slot)

    async with anyio.create_task_group() as tasks:
        tasks.start_soon(run, 'first', 5)
        await anyio.sleep(0.01)
        tasks.start_soon(run, 'late', 5)
        tasks.start_soon(run, 'urgent', 0)
    assert order == ['first', 'urgent', 'late']


@pytest.mark.parametrize('granted', [False, True])
async def test_request_that_is_cancelled_holds_no_slot(granted):
    """Guards against slots of an endpoint that stay occupied forever.

    A caller disconnects while its request waits, or just after the request got
    a slot.
    """
    dispatcher, table = make_dispatcher()
    held = await dispatcher.acquire(make_slot_request())

    async def run():
        slot = await dispatcher.acquire(make_slot_request())
        try:
            await anyio.sleep(1.0)
        finally:
            dispatcher.release(slot)

    async with anyio.create_task_group() as tasks:
        tasks.start_soon(run)
        await anyio.sleep(0.01)
        if granted:
            dispatcher.release(held)
        tasks.cancel_scope.cancel()
    if not granted:
        dispatcher.release(held)
    assert table.find('i-0').own_requests == 0
    assert dispatcher.count_waiting('notes') == 0


async def test_request_without_a_slot_is_refused_in_time():
    dispatcher, _ = make_dispatcher()
    await dispatcher.acquire(make_slot_request())
    refused = await dispatcher.acquire(make_slot_request(seconds=0.5))
    assert virtual_time.now() == pytest.approx(0.5, abs=0.01)
    assert refused.retry_after > 0.0


async def test_waiting_request_does_not_block_those_behind_it():
    dispatcher, table = make_dispatcher(count=2)
    first = await dispatcher.acquire(make_slot_request())
    second = await dispatcher.acquire(make_slot_request())
    names = {first.endpoint.identity, second.endpoint.identity}
    assert names == {'i-0', 'i-1'}
    got = []

    async def run(avoid):
        slot = await dispatcher.acquire(make_slot_request(avoid=avoid))
        got.append(slot.endpoint.identity)

    async with anyio.create_task_group() as tasks:
        tasks.start_soon(run, (first.endpoint.identity,))
        await anyio.sleep(0.01)
        tasks.start_soon(run, ())
        await anyio.sleep(0.01)
        dispatcher.release(first)
        await anyio.sleep(0.01)
        assert got == [first.endpoint.identity]
        dispatcher.release(second)
