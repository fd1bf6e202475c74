"""Tests of the known evacuations, and of what one gateway does by them."""

import random
import types

import anyio
import pytest
import virtual_time

from marigoldramp.gateway.balancing import endpoints
from marigoldramp.gateway import listings
from marigoldramp.gateway import peer_reports
from marigoldramp.gateway.queueing import dispatch
from marigoldramp.gateway.shared_state import evacuation_follower
from marigoldramp.gateway.shared_state import evacuations
from marigoldramp import outcomes
from marigoldramp import store

from . import fake_endpoint as fake
from . import site

BOUNDS = site.msgspec.structs.replace(site.make_settings().bounds, evacuate=5)


def names(text):
    return frozenset(text.split())


class State:
    """A state of evacuations with what its callbacks were called with."""

    def __init__(self, *, is_on=True):
        self.now = 100.0
        self.restored_at = float('-inf')
        self.changes = []
        self.withdrawn = []
        self.state = evacuations.Evacuations(
            is_on=is_on,
            clock=lambda: self.now,
            restored_at=lambda: self.restored_at,
        )
        self.state.on_change(self.changes.append)
        self.state.on_withdrawal(self.withdrawn.append)

    def merge(self, version, text, source='peer'):
        self.state.merge(
            version=version, data_centres=names(text), source=source
        )


@pytest.mark.parametrize(
    ('merges', 'version', 'in_force'),
    [
        ([], 0, ''),
        ([(0, 'a')], 0, ''),
        ([(3, '')], 3, ''),
        ([(3, 'a')], 3, 'a'),
        ([(3, 'a'), (4, '')], 4, ''),
        ([(4, ''), (3, 'a')], 4, ''),
        ([(3, 'a'), (4, 'b')], 4, 'b'),
        ([(3, 'a'), (3, 'b')], 3, 'a b'),
        ([(3, 'a'), (3, '')], 3, 'a'),
    ],
)
def test_highest_version_is_in_force(merges, version, in_force):
    """Guards against a state that depends on the order of its sources."""
    known = State()
    for merge in merges:
        known.merge(*merge)
    assert known.state.version == version
    assert known.state.in_force == names(in_force)
    assert known.state.is_known == (version > 0)


def test_callbacks_get_each_change_once():
    """Guards against a change that is missed or repeated."""
    known = State()
    for merge in ((1, ''), (2, 'a'), (3, 'a'), (3, 'a'), (4, 'b')):
        known.merge(*merge)
    assert [(one.added, one.withdrawn) for one in known.changes] == [
        (names(''), names('')),
        (names('a'), names('')),
        (names('b'), names('a')),
    ]
    assert known.withdrawn == [names('a')]


def test_removals_wait_after_a_restore():
    """Guards against requests while the operator's objects are missing."""
    known = State()
    known.merge(10, 'a')
    known.restored_at = known.now
    known.merge(20, 'b')
    assert known.state.in_force == names('a b')
    known.now += 2.1
    known.state.refresh()
    assert known.state.in_force == names('a b')
    known.now += 0.2
    known.state.refresh()
    assert known.state.in_force == names('b')
    assert known.withdrawn == [names('a')]


def test_written_again_after_a_restore():
    """Guards against an evacuation that ends although it was restored."""
    known = State()
    known.merge(10, 'a')
    known.restored_at = known.now
    known.merge(20, '')
    known.now += 2.0
    known.merge(21, 'a')
    known.now += 1.0
    known.state.refresh()
    assert known.state.in_force == names('a')
    assert not known.withdrawn


def test_without_the_setting_reports_are_ignored():
    """Guards against evacuations in deployments that do not use them."""
    known = State(is_on=False)
    assert known.state.is_known
    known.state.merge_report(
        site.make_report(
            evacuations=peer_reports.ReportedEvacuations(
                version=9, data_centres=('a',)
            )
        )
    )
    assert not known.state.in_force
    assert known.state.make_report() == peer_reports.ReportedEvacuations()


@pytest.mark.parametrize(
    ('source', 'age', 'fields'),
    [
        ('store', 0.2, {'source': 'store', 'age': 0.2}),
        ('entry-2', None, {'source': 'entry-2'}),
    ],
)
def test_log_lines(caplog, source, age, fields):
    """Guards against an evacuation that operators cannot trace."""
    caplog.set_level('INFO', logger='absl')
    state = evacuations.Evacuations(is_on=True, clock=lambda: 0.0)
    for version, text in ((7, 'a'), (8, '')):
        state.merge(
            version=version, data_centres=names(text), source=source, age=age
        )
    lines = [record for record in caplog.records if 'evacu' in record.msg]
    assert [one.msg for one in lines] == [
        'evacuation in force',
        'evacuation withdrawn',
    ]
    for record, version in zip(lines, (7, 8)):
        expected = {'data_centre': 'a', 'version': version} | fields
        assert record.fields == expected


def make_table(*records):
    table = endpoints.EndpointTable(data_centre='a', random=random.Random(1))
    for identity, data_centre in records:
        table.put(make_record(identity, data_centre))
    return table


def make_record(identity, data_centre):
    return site.make_record(
        types.SimpleNamespace(identity=identity, port=1),
        data_centre=data_centre,
        slots=1,
    )


def list_open(table):
    return {one.identity for one in table if one.is_open(now=0.0)}


def test_endpoints_follow_their_data_centre():
    """Guards against an endpoint that misses an evacuation or its end."""
    table = make_table(('i-1', 'a'), ('i-2', 'b'))
    table.set_evacuated(None)
    assert not list_open(table)
    table.set_evacuated(names('b'))
    table.put(make_record('i-3', 'b'))
    assert list_open(table) == {'i-1'}
    assert table.find('i-2').opens_at == float('inf')
    table.put(make_record('i-3', 'a'))
    table.put(make_record('i-1', 'b'))
    assert list_open(table) == {'i-3'}
    table.set_evacuated(names(''))
    assert list_open(table) == {'i-1', 'i-2', 'i-3'}


def make_dispatcher(table):
    return dispatch.Dispatcher(
        table=table,
        clock=virtual_time.now,
        slots=lambda one: float(one.record.slots),
        random=random.Random(1),
    )


class TestDispatcher:
    """Tests of queued and new requests, in virtual time."""

    pytestmark = pytest.mark.anyio

    @pytest.fixture
    def anyio_backend(self):
        return virtual_time.make_backend()

    async def test_evacuated_endpoints_have_no_capacity(self):
        """Guards against a limit that counts endpoints that take nothing."""
        table = make_table(('i-1', 'a'), ('i-2', 'b'))
        dispatcher = make_dispatcher(table)
        table.set_evacuated(names('b'))
        request = dispatch.SlotRequest(
            service='notes', priority=1, start_by=9.0
        )
        slot = await dispatcher.acquire(request)
        assert slot.endpoint.identity == 'i-1'
        running, limit = dispatcher._chooser('notes')._count_running()
        assert running >= limit

    async def test_queued_requests_are_refused(self):
        """Guards against callers that wait for an evacuated service."""
        table = make_table(('i-1', 'b'))
        dispatcher = make_dispatcher(table)
        request = dispatch.SlotRequest(
            service='notes', priority=1, start_by=9.0
        )
        ends = []

        async def wait():
            ends.append((await dispatcher.acquire(request), now()))

        now = virtual_time.now
        await dispatcher.acquire(request)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(wait)
            await anyio.sleep(1.0)
            table.set_evacuated(names('b'))
            dispatcher.assign_all_slots()
            await anyio.sleep(0.5)
            tasks.start_soon(wait)
        assert [at for _, at in ends] == [1.0, 1.5]
        for refusal, _ in ends:
            assert isinstance(refusal, outcomes.NotRun)
            assert refusal.reason is outcomes.Reason.NO_ENDPOINT
            assert 1.0 <= refusal.retry_after <= 1.5


class Source(evacuation_follower.EvacuationSource):
    """A store whose evacuations a test can change.

    :ivar answers: what the next calls return instead.
    """

    def __init__(self, text=''):
        self.names = names(text)
        self.withdrawn = frozenset()
        self.version = 1
        self.calls = []
        self.answers = []
        self.changed = anyio.Event()

    def show(self, text):
        """Change the evacuations."""
        self.withdrawn |= self.names
        self.names = names(text)
        self.version += 1
        self.changed.set()
        self.changed = anyio.Event()

    async def list_all(self):
        self.calls.append('list')
        if self.answers:
            return self.answers.pop(0)
        return evacuation_follower.Listing(
            data_centres=self.names, version=self.version
        )

    async def watch(self, *, after, seconds):
        self.calls.append(f'watch {after}')
        if self.answers:
            return self.answers.pop(0)
        if after == self.version:
            with anyio.move_on_after(seconds):
                await self.changed.wait()
        return evacuation_follower.Changes(
            added=self.names,
            removed=self.withdrawn - self.names,
            version=self.version,
        )


class TestFollower:
    """Tests of the calls to the store, in virtual time."""

    pytestmark = pytest.mark.anyio

    @pytest.fixture
    def anyio_backend(self):
        return virtual_time.make_backend()

    async def follow(self, source, known, *, seconds, relies=lambda: False):
        follower = evacuation_follower.EvacuationFollower(
            source=source,
            state=known.state,
            clock=virtual_time.now,
            random=random.Random(1),
            relies_on_peers=relies,
            is_store_reachable=lambda: True,
            position=lambda: 0,
        )
        with anyio.move_on_after(seconds):
            await follower.run()

    @pytest.mark.parametrize(
        ('answers', 'calls'),
        [
            ([], ['list', 'watch 1']),
            (
                [store.Unavailable(detail='busy')],
                ['list', 'list', 'watch 1'],
            ),
            (
                [
                    evacuation_follower.Listing(
                        data_centres=names('b'), version=1
                    ),
                    listings.HistoryGone(),
                ],
                ['list', 'watch 1', 'list', 'watch 1'],
            ),
            (
                [
                    evacuation_follower.Listing(
                        data_centres=names('b'), version=1
                    ),
                    store.Unavailable(detail='reset'),
                ],
                ['list', 'watch 1', 'list', 'watch 1'],
            ),
        ],
        ids=['calm', 'busy', 'history gone', 'watch ended'],
    )
    async def test_calls(self, answers, calls):
        """Guards against a reader that does not list or watch again."""
        source = Source('a')
        source.answers = answers
        known = State()
        await self.follow(source, known, seconds=5.0)
        assert source.calls == calls
        assert 'a' in known.state.in_force

    async def test_told_gateway_makes_no_calls(self):
        """Guards against calls of gateways that learn from peers."""
        source = Source('a')
        known = State()
        known.merge(1, 'a')
        await self.follow(source, known, seconds=60.0, relies=lambda: True)
        assert not source.calls

    async def test_silent_watch_is_replaced(self):
        """Guards against a watch that stays silent while peers know more."""
        source = Source('a')
        known = State()

        async def tell():
            await anyio.sleep(1.0)
            source.names = names('b')
            source.version = 2
            known.merge(2, 'b')

        async with anyio.create_task_group() as tasks:
            tasks.start_soon(tell)
            await self.follow(source, known, seconds=5.0)
        assert source.calls == ['list', 'watch 1', 'watch 2']


class TestGateway:
    """Tests of a gateway on real sockets."""

    pytestmark = pytest.mark.anyio

    async def test_gateway_of_an_evacuated_service(self):
        """Guards against requests, idle connections and a wrong status."""
        source = Source()
        one = fake.FakeEndpoint(identity='i-1', scripts=[fake.answer()] * 9)
        async with site.run_site(
            one, evacuation_source=source, bounds=BOUNDS
        ) as entry:
            gateway = entry.gateway
            assert (await site.call(entry)).status == 200
            source.show('one')
            await entry.until(lambda: gateway.evacuation.state.in_force)
            assert not any(gateway.pool._idle.values())
            answer = await site.call(entry)
            assert answer.status == 503
            assert float(answer.headers['retry-after']) >= 1.0
            status = gateway.describer.describe()
            assert status.evacuated == ('one',)
            assert status.endpoints[0].state == 'evacuated'
            text = gateway._metrics.render().decode()
            assert 'evacuated_data_centres 1.0' in text
            source.show('')
            await entry.until(lambda: not gateway.evacuation.state.in_force)
            assert (await site.call(entry)).status == 200
        assert 'sends_to_evacuated' not in text

    async def test_gateway_waits_for_the_evacuations(self):
        """Guards against a gateway that is ready before it knows them."""
        source = Source()
        source.answers = [store.Unavailable(detail='away')] * 2
        one = fake.FakeEndpoint(identity='i-1', scripts=[fake.answer()])
        async with site.run_site(
            one, evacuation_source=source, bounds=BOUNDS, ready=False
        ) as entry:
            await entry.until(lambda: source.calls)
            await entry.until(lambda: entry.gateway.follower.known.listed)
            assert not entry.gateway.is_ready()
            assert entry.gateway.describer.describe().evacuated is None
            assert (await site.call(entry)).status == 503
            await entry.until(entry.gateway.is_ready)
            assert (await site.call(entry)).status == 200

    async def test_without_the_setting_the_store_is_not_asked(self):
        """Guards against calls in deployments without evacuations."""
        source = Source('one')
        one = fake.FakeEndpoint(identity='i-1', scripts=[fake.answer()])
        async with site.run_site(one, evacuation_source=source) as entry:
            assert (await site.call(entry)).status == 200
            assert entry.gateway.describer.describe().evacuated == ()
        assert not source.calls
