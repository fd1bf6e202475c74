"""Tests of a platform store that is restored from an older backup.

All guard against the same failure: data read before the restore is taken for
current data, as the restored store assigns the same revisions again.
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


def reply_in_era(era, status, value):
    """Return a response of the store with its era."""
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


async def read_before_and_after_restore(object_store):
    """Read an object of era 1, then a response of the next era."""
    found = await object_store.read(key=KEY)
    assert found.version == version(1, 5)
    await object_store.read(key=KEY)
    return found


async def test_conditional_write_with_older_era_conflicts():
    """Guards against a renewal that overwrites another holder's lease.

    Sequence: a holder reads its lease at revision 5.  The store is restored,
    and another holder's lease gets revision 5 there.
    """
    object_store, client = platform.make_store(
        reply_in_era(1, 200, make_object(5)),
        reply_in_era(2, 200, make_object(5)),
    )
    found = await read_before_and_after_restore(object_store)
    written = await object_store.write(
        key=KEY, value=b'{}', expected=found.version
    )
    deleted = await object_store.delete(key=KEY, expected=found.version)
    assert written == deleted == store.Conflict(key=KEY)
    assert len(client.requests) == 2


async def test_write_that_reveals_a_restore_conflicts():
    """The restore is not known yet when the write is sent."""
    object_store, _ = platform.make_store(
        reply_in_era(1, 200, make_object(5)),
        reply_in_era(2, 200, make_object(6)),
        reply_in_era(2, 404, None),
    )
    found = await object_store.read(key=KEY)
    written = await object_store.write(
        key=KEY, value=b'{}', expected=found.version
    )
    assert written == store.Conflict(key=KEY)
    assert await object_store.read(key=KEY) == store.Absent(key=KEY)


async def test_object_is_created_in_a_restored_store():
    object_store, client = platform.make_store(
        reply_in_era(1, 200, make_object(5)),
        reply_in_era(2, 201, make_object(3)),
        reply_in_era(2, 200, make_object(4)),
    )
    await object_store.read(key=KEY)
    written = await object_store.write(
        key=KEY, value=b'{}', expected=store.CREATE
    )
    assert written.version == version(2, 3)
    again = await object_store.write(
        key=KEY, value=b'{}', expected=written.version
    )
    assert again.version == version(2, 4)
    assert b'"Revision":3' in client.requests[-1].body


@pytest.mark.parametrize(
    'answer',
    [
        reply_in_era(2, 410, None),
        reply_in_era(2, 200, {'events': [], 'AtRev': 9}),
        reply_in_era(2, 200, {'events': [], 'AtRev': 4}),
    ],
)
async def test_watch_ends_after_a_restore(answer):
    """Guards against missing what a restore has undone.

    Sequence: a gateway watches from revision 7.  The restored store has
    reached 8 again by other changes, and returns those as the next ones.
    """
    object_store, client = platform.make_store(
        reply_in_era(1, 200, {'Items': [], 'AtRev': 7}), answer, answer
    )
    listed = await object_store.list_objects(kind='servers')
    assert listed.version == version(1, 7)
    found = await object_store.watch_events(
        'servers', after=listed.version, seconds=1.0
    )
    assert found == objects.HistoryGone()
    assert '?Watch=7&' in client.requests[-1].path
    found = await object_store.watch_events(
        'servers', after=listed.version, seconds=1.0
    )
    assert found == objects.HistoryGone()
    assert len(client.requests) == 2


async def test_watch_continues_in_the_same_era():
    events = {
        'events': [{'Object': make_object(8), 'Deleted': False}],
        'AtRev': 9,
    }
    object_store, _ = platform.make_store(
        reply_in_era(3, 200, {'Items': [], 'AtRev': 7}),
        reply_in_era(3, 200, events),
    )
    listed = await object_store.list_objects(kind='servers')
    found = await object_store.watch_events(
        'servers', after=listed.version, seconds=1.0
    )
    assert found.revision == version(3, 9)
    assert found.events[0].changed.meta.revision == version(3, 8)


async def test_list_fails_if_restored_between_pages():
    first = {'Items': [make_object(2)], 'More': True, 'AtRev': 7}
    second = {'Items': [make_object(3, 'h')], 'AtRev': 4}
    object_store, _ = platform.make_store(
        reply_in_era(1, 200, first), reply_in_era(2, 200, second)
    )
    found = await object_store.list_objects(kind='x')
    assert isinstance(found, store.Unavailable)


INVALID_ERA_HEADERS = [
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


@pytest.mark.parametrize('headers', INVALID_ERA_HEADERS)
async def test_response_without_a_current_era_is_rejected(headers):
    """Guards against accepting a response from before a restore after it."""
    late_reply = reply(200, make_object(99))
    object_store, _ = platform.make_store(
        reply_in_era(2, 200, make_object(5)),
        api_client.Reply(status=200, headers=headers, body=late_reply.body),
        api_client.Reply(status=200, headers=headers, body=late_reply.body),
        reply_in_era(2, 200, make_object(6)),
    )
    found = await object_store.read(key=KEY)
    assert isinstance(await object_store.read(key=KEY), store.Unavailable)
    written = await object_store.write(
        key=KEY, value=b'{}', expected=found.version
    )
    assert isinstance(written, store.Uncertain)
    assert object_store.era() == 2
    assert (await object_store.read(key=KEY)).version == version(2, 6)


@pytest.mark.parametrize(
    ('eras_sent', 'reports'), [((0, 1), 1), ((4, 4), 0), ((4, 5, 5, 7), 2)]
)
async def test_each_restore_is_reported_once(eras_sent, reports):
    object_store, _ = platform.make_store(
        *[reply_in_era(era, 200, make_object(1)) for era in eras_sent]
    )
    reported_eras = []
    object_store.on_restore(lambda: reported_eras.append(object_store.era()))
    assert object_store.restored_at() == float('-inf')
    for _ in eras_sent:
        await object_store.read(key=KEY)
    assert len(reported_eras) == reports
    assert (object_store.restored_at() > 0.0) is bool(reports)
    assert object_store.era() == eras_sent[-1]


@pytest.mark.parametrize(
    ('told_era', 'restored'), [(0, False), (2, False), (3, True)]
)
async def test_era_from_another_gateway_reveals_a_restore(told_era, restored):
    """Guards against a missed restore where other gateways read the store."""
    object_store, client = platform.make_store(
        reply_in_era(2, 200, make_object(5))
    )
    found = await object_store.read(key=KEY)
    object_store.hear_era(told_era)
    assert (object_store.restored_at() > 0.0) is restored
    assert object_store.era() == max(2, told_era)
    if restored:
        written = await object_store.write(
            key=KEY, value=b'{}', expected=found.version
        )
        assert written == store.Conflict(key=KEY)
        assert len(client.requests) == 1


async def test_store_without_eras_is_accepted():
    object_store, _ = platform.make_store(reply(200, make_object(5)))
    assert (await object_store.read(key=KEY)).version == 5
    assert object_store.era() == 0
