"""Tests of a store that comes back from an older copy.

The symptom is one throughout: what was read before a restore is taken for
what is there now, as revisions are given out again.
"""

import pytest

from marigoldramp import api_client
from marigoldramp.platform import eras
from marigoldramp.platform import objects
from marigoldramp import store

from . import test_platform as platform

pytestmark = pytest.mark.anyio
KEY = store.Key(kind='leases', name='g')
reply = platform.reply


def in_era(era, status, value):
    """Return an answer of the store that names its era."""
    found = reply(status, value)
    headers = [(b'Store-Era', str(era).encode())]
    return api_client.Reply(status=status, headers=headers, body=found.body)


def make_object(revision, name='g'):
    return {'Metadata': {'Name': name, 'Revision': revision}, 'Spec': {}}


def version(era, revision):
    return eras.make_version(eras.EraRevision(era=era, revision=revision))


@pytest.mark.parametrize(
    ('lower', 'higher'),
    [((1, 5), (1, 6)), ((1, 10**9), (2, 1)), ((0, 10**9), (1, 0))],
)
def test_versions_grow_with_each_restore(lower, higher):
    assert version(*lower) < version(*higher)
    for era, revision in (lower, higher):
        assert eras.split_version(version(era, revision)) == eras.EraRevision(
            era=era, revision=revision
        )


async def read_restored(made):
    """Read an object, then learn that the store was restored."""
    found = await made.read(key=KEY)
    assert found.version == version(1, 5)
    await made.read(key=KEY)
    return found


async def test_write_expects_no_revision_of_before():
    """A holder's renewal replaces the lease of whoever took it since.

    Sequence: the lease is read at revision 5.  The store is restored, and
    another holder's lease gets the revision 5 there.
    """
    made, client = platform.make_store(
        in_era(1, 200, make_object(5)), in_era(2, 200, make_object(5))
    )
    found = await read_restored(made)
    written = await made.write(key=KEY, value=b'{}', expected=found.version)
    deleted = await made.delete(key=KEY, expected=found.version)
    assert written == deleted == store.Conflict(key=KEY)
    assert len(client.requests) == 2


async def test_write_that_meets_a_restored_store_is_no_success():
    """Nobody had told of the restore when the write went out."""
    made, _ = platform.make_store(
        in_era(1, 200, make_object(5)),
        in_era(2, 200, make_object(6)),
        in_era(2, 404, None),
    )
    found = await made.read(key=KEY)
    written = await made.write(key=KEY, value=b'{}', expected=found.version)
    assert written == store.Conflict(key=KEY)
    assert await made.read(key=KEY) == store.Absent(key=KEY)


async def test_object_is_created_in_a_restored_store():
    made, client = platform.make_store(
        in_era(1, 200, make_object(5)),
        in_era(2, 201, make_object(3)),
        in_era(2, 200, make_object(4)),
    )
    await made.read(key=KEY)
    written = await made.write(key=KEY, value=b'{}', expected=store.CREATE)
    assert written.version == version(2, 3)
    again = await made.write(key=KEY, value=b'{}', expected=written.version)
    assert again.version == version(2, 4)
    assert b'"Revision":3' in client.requests[-1].body


@pytest.mark.parametrize(
    'answer',
    [
        in_era(2, 410, None),
        in_era(2, 200, {'events': [], 'AtRev': 9}),
        in_era(2, 200, {'events': [], 'AtRev': 4}),
    ],
)
async def test_watch_does_not_go_on_in_a_restored_store(answer):
    """An entry misses what the restore has undone, and sees no gap.

    Sequence: a watch from revision 7; the restored store has got to 8 again
    by other changes, and answers as if those were the next ones.
    """
    made, client = platform.make_store(
        in_era(1, 200, {'Items': [], 'AtRev': 7}), answer, answer
    )
    listed = await made.list_objects(kind='servers')
    assert listed.version == version(1, 7)
    found = await made.watch_events(
        'servers', after=listed.version, seconds=1.0
    )
    assert found == objects.HistoryGone()
    assert '?Watch=7&' in client.requests[-1].path
    found = await made.watch_events(
        'servers', after=listed.version, seconds=1.0
    )
    assert found == objects.HistoryGone()
    assert len(client.requests) == 2


async def test_watch_goes_on_in_the_same_era():
    events = {
        'events': [{'Object': make_object(8), 'Deleted': False}],
        'AtRev': 9,
    }
    made, _ = platform.make_store(
        in_era(3, 200, {'Items': [], 'AtRev': 7}), in_era(3, 200, events)
    )
    listed = await made.list_objects(kind='servers')
    found = await made.watch_events(
        'servers', after=listed.version, seconds=1.0
    )
    assert found.revision == version(3, 9)
    assert found.events[0].changed.meta.revision == version(3, 8)


async def test_list_of_two_eras_is_no_list():
    first = {'Items': [make_object(2)], 'More': True, 'AtRev': 7}
    second = {'Items': [make_object(3, 'h')], 'AtRev': 4}
    made, _ = platform.make_store(
        in_era(1, 200, first), in_era(2, 200, second)
    )
    found = await made.list_objects(kind='x')
    assert isinstance(found, store.Unavailable)


BAD = [
    pytest.param([(b'store-era', b'1')], id='older'),
    pytest.param([], id='missing'),
    pytest.param([(b'store-era', b'-3')], id='negative'),
    pytest.param([(b'store-era', b'3.0')], id='no whole number'),
    pytest.param([(b'store-era', b'three')], id='text'),
    pytest.param([(b'store-era', b'')], id='empty'),
    pytest.param([(b'store-era', b'9' * 30)], id='too long'),
    pytest.param(
        [(b'store-era', b'2'), (b'store-era', b'3')], id='two of them'
    ),
]


@pytest.mark.parametrize('headers', BAD)
async def test_answer_that_is_of_no_known_era_changes_nothing(headers):
    """An answer from before a restore arrives after it, and is believed."""
    late = reply(200, make_object(99))
    made, _ = platform.make_store(
        in_era(2, 200, make_object(5)),
        api_client.Reply(status=200, headers=headers, body=late.body),
        api_client.Reply(status=200, headers=headers, body=late.body),
        in_era(2, 200, make_object(6)),
    )
    found = await made.read(key=KEY)
    assert isinstance(await made.read(key=KEY), store.Unavailable)
    written = await made.write(key=KEY, value=b'{}', expected=found.version)
    assert isinstance(written, store.Uncertain)
    assert made.era() == 2
    assert (await made.read(key=KEY)).version == version(2, 6)


@pytest.mark.parametrize(
    ('named', 'told'), [((0, 1), 1), ((4, 4), 0), ((4, 5, 5, 7), 2)]
)
async def test_restores_are_told_once_each(named, told):
    made, _ = platform.make_store(
        *[in_era(era, 200, make_object(1)) for era in named]
    )
    heard = []
    made.on_restore(lambda: heard.append(made.era()))
    assert made.restored_at() == float('-inf')
    for _ in named:
        await made.read(key=KEY)
    assert len(heard) == told
    assert (made.restored_at() > 0.0) is bool(told)
    assert made.era() == named[-1]


@pytest.mark.parametrize(
    ('told', 'restored'), [(0, False), (2, False), (3, True)]
)
async def test_other_entries_tell_of_a_restore(told, restored):
    """An entry for which others ask the store learns nothing of a restore."""
    made, client = platform.make_store(in_era(2, 200, make_object(5)))
    found = await made.read(key=KEY)
    made.hear_era(told)
    assert (made.restored_at() > 0.0) is restored
    assert made.era() == max(2, told)
    if restored:
        written = await made.write(
            key=KEY, value=b'{}', expected=found.version
        )
        assert written == store.Conflict(key=KEY)
        assert len(client.requests) == 1


async def test_store_that_counts_nothing_is_believed():
    made, _ = platform.make_store(reply(200, make_object(5)))
    assert (await made.read(key=KEY)).version == 5
    assert made.era() == 0
