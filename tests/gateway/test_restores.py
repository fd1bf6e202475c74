"""Tests of entries whose store comes back from an older copy."""

import contextlib
import random

import anyio
import msgspec
import pytest
import virtual_time

from marigoldramp.gateway import configurations
from marigoldramp.gateway import departures
from marigoldramp.gateway import discovery
from marigoldramp.gateway import endpoints
from marigoldramp.gateway import listings
from marigoldramp.gateway import outbound
from marigoldramp.gateway import peer_registry
from marigoldramp.gateway import peers
from marigoldramp.gateway import presence
from marigoldramp.gateway import refresh
from marigoldramp import store
from marigoldramp_standins import memory

from . import site

pytestmark = pytest.mark.anyio
AGAIN = departures.RESTORE_WINDOW_SECONDS


@pytest.fixture
def anyio_backend():
    return virtual_time.make_backend()


class Fake:
    """Where an endpoint listens."""

    def __init__(self, identity):
        self.identity = identity
        self.port = 1


def make_record(identity='i-1', **more):
    return site.make_record(Fake(identity), **more)


def listing(*records, revision):
    return listings.Listing(
        records=records, revision=revision, newest=revision
    )


def changes(*records, removed=(), revision):
    return listings.Changes(
        records=records, removed=removed, revision=revision, newest=revision
    )


class Followed:
    """What one entry knows of endpoints, and a store that is restored."""

    def __init__(self):
        self.restored_at = float('-inf')
        self.gone = []
        self.table = endpoints.EndpointTable(
            data_centre='one', random=random.Random(1)
        )
        self.source = site.FakeEndpoints()
        self.follower = discovery.EndpointFollower(
            source=self.source,
            table=self.table,
            clock=virtual_time.now,
            presence=presence.Presence(
                table=self.table,
                clock=virtual_time.now,
                on_gone=self.gone.append,
                on_restart=self.gone.append,
                restored_at=lambda: self.restored_at,
            ),
            on_change=lambda: None,
        )

    def restore(self, *records, revision=100):
        """Come back from a copy that lists some endpoints."""
        self.restored_at = virtual_time.now()
        self.follower.note_restore()
        self.source.records = list(records)
        self.source.revision = revision
        self.follower.apply_listing(listing(*records, revision=revision))

    @contextlib.asynccontextmanager
    async def run(self):
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self.follower.run)
            await anyio.sleep(0.5)
            yield self
            tasks.cancel_scope.cancel()

    def open(self, identity='i-1'):
        """Whether an endpoint may be given requests."""
        found = self.table.find(identity)
        return found is not None and found.is_open(now=virtual_time.now())


# Endpoints


@pytest.mark.parametrize('said', [True, False])
async def test_endpoint_that_has_left_is_not_brought_back(said):
    """Requests are lost to an endpoint that left ten seconds ago.

    Sequence: an endpoint leaves, with or without a word; its entry goes.  The
    store comes back from a copy of before, with the entry in it.
    Cause: a list was taken at its word.
    """
    one = Followed()
    one.source.records = [make_record(), make_record('i-2')]
    async with one.run():
        if said:
            one.follower.apply_changes(
                changes(make_record(leaving=True), revision=5)
            )
        one.follower.apply_changes(changes(removed=('i-1',), revision=6))
        await anyio.sleep(10.0)
        one.restore(make_record(), make_record('i-2'))
        assert (one.open('i-1'), one.open('i-2')) == (False, True)
        # Its entry lapses, as nobody writes it.
        await anyio.sleep(AGAIN - 1.0)
        one.follower.apply_changes(changes(removed=('i-1',), revision=101))
        await anyio.sleep(AGAIN)
        assert not one.open('i-1')


async def test_endpoint_that_was_leaving_goes_on_leaving():
    """An endpoint that has said that it leaves gets requests again."""
    one = Followed()
    one.source.records = [make_record(leaving=True)]
    async with one.run():
        one.restore(make_record())
        await anyio.sleep(2.0 * AGAIN)
        assert one.table.find('i-1') is not None
        assert not one.open()


@pytest.mark.parametrize(
    ('seconds', 'writes', 'is_open'),
    [
        (0.1, True, True),
        (AGAIN - 0.5, False, False),
        (AGAIN + 0.5, False, True),
    ],
)
async def test_endpoint_that_was_taken_as_gone_and_lives_comes_back(
    seconds, writes, is_open
):
    """An endpoint that lives gets nothing for good.

    Sequence: its entry lapses though it lives, and it is taken as gone; after
    the restore it writes its entry anew, or goes on with the one of the copy.
    """
    one = Followed()
    one.source.records = [make_record()]
    async with one.run():
        one.follower.apply_changes(changes(removed=('i-1',), revision=6))
        one.restore(make_record())
        if writes:
            one.follower.apply_changes(changes(make_record(), revision=101))
        await anyio.sleep(seconds)
        assert one.open() is is_open


async def test_endpoint_that_starts_anew_is_another_one():
    one = Followed()
    one.source.records = [make_record(born=1000)]
    async with one.run():
        one.follower.apply_changes(changes(removed=('i-1',), revision=6))
        one.restore(make_record(born=2000))
        assert one.open()
        # A copy of before does not bring the older start back.
        one.restore(make_record(born=1000), revision=200)
        assert one.table.find('i-1').record.born == 2000


@pytest.mark.parametrize('comes_back', [True, False])
async def test_endpoint_that_the_copy_lacks_is_kept_for_a_moment(comes_back):
    """All requests are refused after a restore.

    Sequence: the endpoints have registered since the copy was made, so the
    store lists none until they have written their entries again.
    """
    one = Followed()
    one.source.records = [make_record()]
    async with one.run():
        one.restore()
        assert one.open()
        await anyio.sleep(presence.KEEP_UNLISTED_SECONDS - 0.5)
        assert one.open()
        if comes_back:
            one.follower.apply_changes(changes(make_record(), revision=101))
        await anyio.sleep(1.0)
        assert one.open() is comes_back


async def test_watch_of_before_is_given_up():
    """An entry learns of nothing until its watch has ended by itself.

    Sequence: a watch waits, for 25 s, at a store that is replaced by a copy
    behind it; another call tells of the restore.
    """
    one = Followed()
    one.source.records = [make_record()]
    async with one.run():
        watching = one.follower._watching
        one.restored_at = virtual_time.now()
        one.follower.note_restore()
        await anyio.sleep(0.1)
        assert one.follower._watching is not watching


async def test_departures_that_are_remembered_are_bounded():
    known = departures.Departures(
        restored_at=lambda: 0.0, clock=virtual_time.now
    )
    for number in range(1000):
        known.note(make_record(f'i-{number}'))
        await anyio.sleep(1.0)
    assert len(known._left_at) <= departures.RETENTION_SECONDS + 1


# Configuration


class Documents(configurations.ConfigurationSource):
    """What the store shows of configurations; each is its version."""

    def __init__(self, version):
        self.version = version
        self.reads = []

    async def fetch(self):
        self.reads.append(virtual_time.now())
        return msgspec.json.encode(self.version)

    def decode(self, document):
        return site.make_configuration(version=msgspec.json.decode(document))


class Refreshed:
    """What one entry knows of the configuration."""

    def __init__(self, version, position=0):
        self.restored_at = float('-inf')
        self.source = Documents(version)
        self.held = configurations.ActiveConfiguration(source=self.source)
        self.refresher = refresh.Refresher(
            configuration=self.held,
            source=self.source,
            from_peers=self._ask_peers,
            clock=virtual_time.now,
            position=lambda: position,
            restored_at=lambda: self.restored_at,
        )

    async def _ask_peers(self, version):
        return None

    def restore(self, version):
        self.restored_at = virtual_time.now()
        self.source.version = version

    @contextlib.asynccontextmanager
    async def run(self):
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self.refresher.run)
            await anyio.sleep(2.0)
            yield self
            tasks.cancel_scope.cancel()

    @property
    def age(self):
        return virtual_time.now() - self.held.confirmed_at


@pytest.mark.parametrize('older', [5, 7])
async def test_version_that_a_restore_shows_is_not_taken_for_the_newest(older):
    """A key that was taken away works for longer than it may.

    Sequence: version 8 takes a key away and is acknowledged; before an entry
    has read it, the store comes back from a copy with an older one, and the
    operator writes 8 again two seconds later.
    Cause: what the store shows was taken for the newest.
    """
    async with Refreshed(7).run() as one:
        assert one.age < 1.5
        one.restore(older)
        await anyio.sleep(2.0)
        assert one.held.version == 7
        assert one.age > 2.0
        one.source.version = 8
        await anyio.sleep(1.0)
        assert one.held.version == 8


async def test_version_in_force_is_confirmed_again_after_a_restore():
    """All keys are refused for as long as nobody changes anything."""
    async with Refreshed(7).run() as one:
        one.restore(7)
        await anyio.sleep(refresh.RESTORED_SECONDS + 1.0)
        assert one.age < 1.5
        assert one.held.version == 7


@pytest.mark.parametrize(('position', 'most'), [(0, 25), (1, 13), (20, 6)])
async def test_entries_do_not_all_ask_for_what_is_not_there_yet(
    position, most
):
    """Dozens of entries read the store ten times a second after a restore."""
    async with Refreshed(7, position).run() as one:
        before = len(one.source.reads)
        one.restore(5)
        await anyio.sleep(10.0)
        assert 2 <= len(one.source.reads) - before <= most


# Rows of entries


class Rostered:
    """An entry's row in a store that is restored."""

    def __init__(self, table, name):
        self.store = memory.MemoryStore(table=table, clock=virtual_time.now)
        self.peers = peers.PeerTable(
            instance=name, clock=virtual_time.now, random=random.Random(1)
        )
        self.roster = peer_registry.PeerRegistry(
            store=self.store,
            table=self.peers,
            instance=name,
            address=outbound.Address(host=name, port=7),
            random=random.Random(name),
        )
        self.store.on_restore(self.roster.note_restore)

    async def read(self):
        """Call the store for something else, as entries do."""
        key = store.Key(kind='config', name='main')
        await self.store.read(key=key)


def list_rows(table):
    return sorted(
        key.name
        for key, changes in table._changes.items()
        if key.kind == peer_registry.KIND and changes[-1].value is not None
    )


@pytest.mark.parametrize('away', [0.0, 3.0])
async def test_rows_stand_again_soon_after_a_restore(away):
    """An entry that starts after a restore finds no other one.

    Sequence: entries have written their rows since the copy was made, and
    look at the list once a minute.
    """
    stands = memory.MemoryStore().table
    entries = [Rostered(stands, f'e-{number}') for number in range(20)]
    empty = stands.copy()
    async with anyio.create_task_group() as tasks:
        for entry in entries:
            tasks.start_soon(entry.roster.run)
        await anyio.sleep(1.0)
        assert len(list_rows(stands)) == 20
        lists = stands.counts.lists
        stands.restore(empty)
        assert list_rows(stands) == []
        for entry in entries:
            await entry.read()
        stands.faults.outage = bool(away)
        await anyio.sleep(away)
        stands.faults.outage = False
        await anyio.sleep(
            peer_registry.MAX_REWRITE_DELAY_SECONDS
            + peer_registry.RETRY_INTERVAL_SECONDS
        )
        assert len(list_rows(stands)) == 20
        assert stands.counts.lists == lists
        tasks.cancel_scope.cancel()
