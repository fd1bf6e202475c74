"""Tests of the object table and of the instance list."""

import anyio
import hypothesis
from hypothesis import strategies
import pytest

from marigoldramp import store
from marigoldramp_standins import instance_list
from marigoldramp_standins import memory
from marigoldramp_standins import objects

KEY = store.Key(kind='bundle', name='current')
OTHER = store.Key(kind='lease', name='watch')

pytestmark = pytest.mark.anyio


async def written(table, key=KEY, value=b'one', expected=store.CREATE):
    outcome = await table.write(key=key, value=value, expected=expected)
    assert isinstance(outcome, store.Written)
    return outcome.version


@pytest.mark.parametrize(
    ('expected', 'outcome'),
    [
        (store.CREATE, store.Conflict(key=KEY)),
        (1, store.Written(key=KEY, version=3)),
        (2, store.Conflict(key=KEY)),
    ],
)
@pytest.mark.parametrize('deleting', [False, True])
async def test_conditional_update(expected, outcome, deleting):
    client = memory.MemoryStore()
    await written(client)
    await written(client, OTHER)
    if deleting:
        found = await client.delete(key=KEY, expected=expected)
    else:
        found = await client.write(key=KEY, value=b'two', expected=expected)
    assert found == outcome


async def test_deleted_object_can_be_created_again():
    client = memory.MemoryStore()
    version = await written(client)
    await client.delete(key=KEY, expected=version)
    assert await client.read(key=KEY) == store.Absent(key=KEY)
    assert await written(client, value=b'again') == 3


@pytest.mark.parametrize(
    ('fault', 'outcome', 'effect'),
    [
        ({'lose_replies': 1}, store.Uncertain, True),
        ({'lose_requests': 1}, store.Uncertain, False),
        ({'outage': True}, store.Unavailable, False),
    ],
    ids=['lost-reply', 'lost-request', 'outage'],
)
async def test_faulty_write(fault, outcome, effect):
    """The writer sees no answer.

    A write goes out and its reply, or it itself, gets lost, or the platform
    is away.  Cause: the switch of the fault; only a lost reply leaves the
    write in effect, and only one write is hit.
    """
    table = objects.Table()
    for name, value in fault.items():
        setattr(table.faults, name, value)
    found = await table.write(key=KEY, value=b'one', expected=store.CREATE)
    assert isinstance(found, outcome)
    table.faults.outage = False
    present = await table.read(key=KEY)
    assert isinstance(present, store.Stored) == effect
    await written(table, OTHER)


async def test_value_over_the_limit_changes_nothing():
    table = objects.Table()
    found = await table.write(
        key=KEY,
        value=bytes(objects.LONGEST_VALUE + 1),
        expected=store.CREATE,
    )
    assert isinstance(found, store.Unavailable)
    assert table.version == 0
    await written(table, value=bytes(objects.LONGEST_VALUE))


async def test_slowness_waits_before_the_effect():
    waits = []

    async def sleep(seconds):
        waits.append((seconds, table.version))

    table = objects.Table(sleep=sleep)
    table.faults.slowness = 1.5
    await written(table)
    assert waits == [(1.5, 0)]


async def test_frozen_kind_shows_its_older_state():
    table = objects.Table()
    version = await written(table)
    table.freeze(kind='bundle')
    newer = await written(table, value=b'two', expected=version)
    await written(table, OTHER)
    old = store.Stored(key=KEY, version=version, value=b'one')
    assert await table.read(key=KEY) == old
    listing = await table.list_objects(kind='bundle')
    assert listing == store.Listing(objects=(old,), version=version)
    quiet = await table.watch(kind='bundle', after=version, seconds=0)
    assert quiet == store.Listing(objects=(), version=version)
    table.faults.stale.clear()
    shown = await table.watch(kind='bundle', after=version, seconds=0)
    assert [found.version for found in shown.objects] == [newer]


async def watching(table, results, after):
    results.append(await table.watch(kind='bundle', after=after, seconds=1000))


@pytest.mark.parametrize('change', ['write', 'delete', 'outage'])
async def test_waiting_watch_is_woken(change):
    table = objects.Table()
    version = await written(table)
    results = []
    async with anyio.create_task_group() as group:
        group.start_soon(watching, table, results, version)
        await anyio.wait_all_tasks_blocked()
        await written(table, OTHER)
        await anyio.wait_all_tasks_blocked()
        assert results == []
        match change:
            case 'write':
                await written(table, value=b'two', expected=version)
            case 'delete':
                await table.delete(key=KEY, expected=version)
            case 'outage':
                table.faults.outage = True
                table.wake()
    (result,) = results
    if change == 'outage':
        assert isinstance(result, store.Unavailable)
    else:
        assert result.version == 3
        assert len(result.objects) == (change == 'write')
    assert table.counts.watches == 1


async def test_counts():
    client = memory.MemoryStore()
    await written(client)
    await client.read(key=KEY)
    await client.read(key=OTHER)
    await client.list_objects(kind='bundle')
    await client.list_instances()
    await client.watch(kind='bundle', after=0, seconds=0)
    await client.delete(key=KEY, expected=1)
    assert client.table.counts == objects.Counts(
        reads=2, writes=1, lists=1, instance_lists=1, watches=1, deletes=1
    )
    assert client.table.counts.total() == 7


async def test_one_client_cut_off():
    table = objects.Table()
    cut, other = memory.MemoryStore(table=table), memory.MemoryStore(
        table=table
    )
    cut.reachable = False
    assert isinstance(await cut.read(key=KEY), store.Unavailable)
    await written(other)


@hypothesis.given(
    writes=strategies.lists(
        strategies.tuples(
            strategies.sampled_from('abc'),
            strategies.integers(0, 6),
            strategies.booleans(),
        )
    )
)
async def test_versions_grow_and_each_write_wins_once(writes):
    table = objects.Table()
    model = {}
    for name, expected, deleting in writes:
        key = store.Key(kind='k', name=name)
        before = table.version
        if deleting:
            outcome = await table.delete(key=key, expected=expected)
        else:
            outcome = await table.write(
                key=key, value=name.encode(), expected=expected
            )
        may = model.get(name, 0) == expected and not (
            deleting and not expected
        )
        assert isinstance(outcome, store.Written) == may
        if may:
            assert outcome.version == table.version == before + 1
            model[name] = 0 if deleting else outcome.version
        else:
            assert table.version == before
    listing = await table.list_objects(kind='k')
    assert {found.key.name: found.version for found in listing.objects} == {
        name: version for name, version in model.items() if version
    }


def row(name, leaving=False):
    return store.Instance(
        name=name,
        role='entry',
        data_centre='east',
        host='127.0.0.1',
        call_port=1,
        control_port=2,
        datagram_port=3,
        leaving=leaving,
    )


@pytest.mark.parametrize('way', ['lag', 'publish'])
async def test_instance_list_lags(way):
    now = [0.0]
    listed = instance_list.InstanceList(lag=5.0, clock=lambda: now[0])
    listed.put(instance=row('a'))
    listed.put(instance=row('b'))
    now[0] = 3.0
    listed.put(instance=row('a', leaving=True))
    listed.remove(name='b')
    assert listed.list_instances().instances == ()
    now[0] = 5.0
    assert listed.list_instances().instances == (row('a'), row('b'))
    if way == 'lag':
        now[0] = 8.0
    else:
        listed.publish()
    assert listed.list_instances().instances == (row('a', leaving=True),)
