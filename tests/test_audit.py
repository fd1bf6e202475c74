"""Tests of the audit trail and of the history drawn from it."""

import random

import anyio
import pytest

from marigoldramp import audit
from marigoldramp import history
from marigoldramp import manifests
from marigoldramp import operations
from marigoldramp import settings
from marigoldramp import store
from marigoldramp import store_retries
from marigoldramp_standins import memory
from marigoldramp_standins import objects

DAY = audit.DAY_SECONDS
NOW = 20_000 * DAY + 100.0
SECURITY = settings.Security(fleet_key='', sign_offs=0, operators={})


async def skip(seconds):
    await anyio.sleep(0)


class Trail:
    """An audit trail in a table, written and read at chosen times."""

    def __init__(self):
        self.table = objects.Table()
        self.random = random.Random(1)
        self.store = store_retries.RetryingStore(
            store=memory.MemoryStore(table=self.table),
            random=self.random,
            sleep=skip,
        )

    async def append(self, at, action='rolled', **rest):
        entry = audit.Entry(
            at=at, actor='ann', action=audit.Action(action), **rest
        )
        return await audit.append(self.store, entry=entry, random=self.random)

    async def read(self, **rest):
        return await audit.read(self.store, now=NOW, **rest)

    async def read_history(self, current=None, most=50):
        if current is not None:
            await self.store.write(
                key=manifests.CURRENT,
                value=manifests.encode(current),
                expected=store.CREATE,
            )
        operator = operations.Operations(
            store=self.store.store,
            security=SECURITY,
            operator='',
            wall=lambda: NOW,
            sleep=skip,
        )
        return await history.read(operator, days=2, most=most)


@pytest.mark.anyio
@pytest.mark.parametrize(
    ('ages', 'days', 'most', 'numbers', 'complete'),
    [
        ([], 7, 10, [], True),
        ([1, 2, 3], 7, 10, [0, 1, 2], True),
        ([3, 1, 2], 7, 10, [1, 2, 0], True),
        ([1, 2, 3], 7, 2, [0, 1], False),
        ([1, 2, 3], 7, 3, [0, 1, 2], True),
        ([1, DAY, 2 * DAY], 2, 10, [0, 1], True),
        ([1, DAY, 2 * DAY], 1, 10, [0], True),
        ([99, 101], 1, 10, [0], True),
    ],
)
async def test_read(ages, days, most, numbers, complete):
    trail = Trail()
    for number, age in enumerate(ages):
        await trail.append(NOW - age, number=number)
    read = await trail.read(days=days, most=most)
    assert [entry.number for entry in read.entries] == numbers
    assert read.complete == complete


@pytest.mark.anyio
async def test_calls_are_bounded_by_days():
    trail = Trail()
    for age in range(50):
        await trail.append(NOW - age * DAY)
    before = trail.table.counts.lists
    read = await trail.read(days=3)
    assert trail.table.counts.lists - before == 3
    assert len(read.entries) == 3


@pytest.mark.anyio
async def test_entries_at_one_moment_are_both_kept():
    trail = Trail()
    for _ in range(5):
        result = await trail.append(NOW)
        assert isinstance(result, store.Written)
    assert len((await trail.read()).entries) == 5


@pytest.mark.anyio
@pytest.mark.parametrize(
    ('fault', 'count'), [('lose_replies', 1), ('lose_requests', 1)]
)
async def test_entry_is_written_once(fault, count):
    """A lost reply neither loses nor doubles an entry.

    Symptom: one roll stands twice in the trail, or not at all.  Sequence:
    the entry is written, its reply is lost, it is written again.  Cause: the
    second try would take another name.
    """
    trail = Trail()
    setattr(trail.table.faults, fault, 1)
    assert isinstance(await trail.append(NOW), store.Written)
    assert len((await trail.read()).entries) == count


@pytest.mark.anyio
async def test_outage_is_told():
    trail = Trail()
    trail.table.faults.outage = True
    assert isinstance(await trail.append(NOW), store.Unavailable)
    assert isinstance(await trail.read(), store.Unavailable)


@pytest.mark.anyio
async def test_entry_of_a_newer_version_is_counted():
    trail = Trail()
    await trail.append(NOW)
    listed = await trail.store.list_objects(kind=audit.name_kind(NOW))
    key = store.Key(kind=listed.objects[0].key.kind, name='9')
    await trail.store.write(key=key, value=b'{}', expected=store.CREATE)
    read = await trail.read()
    assert (len(read.entries), read.unreadable) == (1, 1)


CURRENT = manifests.Manifest(number=7, note='', parts=(), nonce='own')


@pytest.mark.anyio
@pytest.mark.parametrize(
    ('nonces_and_actions', 'states'),
    [
        ('', ''),
        ('-:submitted -:signed', ''),
        ('own:roll_started own:rolled', 'in force'),
        ('own:roll_started', 'in force'),
        ('own:roll_started own:uncertain', 'in force'),
        ('a:refused own:roll_started', 'in force, refused'),
        ('own:roll_started a:refused', 'refused, in force'),
        ('a:roll_started a:rolled', 'rolled'),
        ('a:roll_started a:uncertain', 'uncertain'),
        ('a:roll_started b:refused', 'refused, started'),
        ('a:roll_started', 'started'),
    ],
)
async def test_history(nonces_and_actions, states):
    trail = Trail()
    for age, word in enumerate(reversed(nonces_and_actions.split())):
        nonce, action = word.split(':')
        await trail.append(NOW - age, action, number=7, nonce=nonce)
    read = await trail.read_history(CURRENT)
    assert read.in_force == 7
    assert ', '.join(roll.state for roll in read.rolls) == states


@pytest.mark.anyio
async def test_history_is_bounded():
    trail = Trail()
    for number in range(5):
        await trail.append(NOW + number, number=number, nonce=f'{number}')
    read = await trail.read_history(most=3)
    assert [roll.number for roll in read.rolls] == [4, 3, 2]
    assert not read.complete
