"""Tests of keys that callers make up and that the store binds."""

import dataclasses

import anyio
import hypothesis
from hypothesis import strategies
import matrix_caller
import matrix_cells
import matrix_clock
import pytest

from marigoldramp import claims
from marigoldramp import outcomes
from marigoldramp_standins import memory
from marigoldramp_standins import objects
from marigoldramp_standins import site as site_module

pytestmark = pytest.mark.anyio
R = outcomes.Reason


@pytest.fixture
def anyio_backend():
    return matrix_clock.BACKEND


def make(table, wall=lambda: 0.0):
    return claims.Claims(platform=memory.MemoryStore(table=table), wall=wall)


async def claim(of, bound, *, customer='c', service='s', key='k'):
    return await of.claim(
        customer=customer, service=service, key=key, bound=bound
    )


@pytest.mark.parametrize(
    'fault, value, first',
    [
        ('lose_replies', 0, True),
        ('lose_replies', 1, True),
        ('lose_requests', 1, None),
        ('outage', True, None),
    ],
)
async def test_claim_of_a_new_key(fault, value, first):
    """A lost reply is recognised as an own write; a lost request is not."""
    table = objects.Table()
    setattr(table.faults, fault, value)
    claimed = await claim(make(table), 'mine')
    if first is None:
        assert isinstance(claimed, outcomes.OutcomeUnknown)
        assert claimed.reason is R.STORE_AWAY
    else:
        assert claimed.bound == 'mine'
        assert claimed.first is first


@pytest.mark.parametrize('lose', [0, 1])
async def test_second_entry_uses_the_first_ones_key(lose):
    """A call ran twice, once under each entry's bound key."""
    table = objects.Table()
    await claim(make(table), 'first')
    table.faults.lose_replies = lose
    second = await claim(make(table), 'second')
    assert second.bound == 'first'
    assert not second.first


@pytest.mark.parametrize(
    'other', [{'customer': 'd'}, {'service': 't'}, {'key': 'l'}]
)
async def test_keys_of_different_customers_and_services_are_apart(other):
    table = objects.Table()
    await claim(make(table), 'first')
    second = await claim(make(table), 'second', **other)
    assert second.bound == 'second'


async def test_one_entry_only_replaces_a_barred_key():
    """Two entries each gave a barred key another chance; it ran twice."""
    table = objects.Table()
    old = await claim(make(table), 'barred')
    replaced = [
        await make(table).replace(
            customer='c', service='s', key='k', old=old, bound=bound
        )
        for bound in ('one', 'two')
    ]
    assert [one.bound for one in replaced] == ['one', 'one']
    assert [one.first for one in replaced] == [True, False]


async def test_stale_read_does_not_make_a_used_key_new():
    """A store that answers with an older state made a used key look new."""
    table = objects.Table()
    table.freeze(kind=claims.KIND)
    await claim(make(table), 'first')
    second = await claim(make(table), 'second')
    assert isinstance(second, outcomes.OutcomeUnknown)


@hypothesis.given(
    faults=strategies.lists(
        strategies.sampled_from(
            ['none', 'lose_replies', 'lose_requests', 'outage']
        ),
        min_size=2,
        max_size=6,
    )
)
async def test_all_entries_come_to_one_key(faults):
    """Whatever the store does, no two entries run a key under two names."""
    table = objects.Table()
    bound, firsts = set(), 0
    for number, fault in enumerate(faults):
        table.faults.outage = fault == 'outage'
        table.faults.lose_replies = int(fault == 'lose_replies')
        table.faults.lose_requests = int(fault == 'lose_requests')
        claimed = await claim(make(table), f'bound {number}')
        if isinstance(claimed, claims.Claimed):
            bound.add(claimed.bound)
            firsts += claimed.first
    assert len(bound) <= 1
    assert firsts <= 1


async def test_concurrent_duplicates_through_two_entries_run_once():
    """A call ran twice: its caller sent it through two entries at once."""
    layout = matrix_cells.make_layout('own key')
    async with site_module.open_site(layout) as site:
        ask = matrix_cells.make_ask(site, 'own key', 'call')
        heard = []

        async def send(door):
            heard.append(
                await matrix_caller.send(
                    dataclasses.replace(ask, first=False),
                    site.doors[door].port,
                )
            )

        async with anyio.create_task_group() as group:
            for door in (0, 1, 0, 1):
                group.start_soon(send, door)
        assert len({one.body for one in heard}) == 1
        assert matrix_caller.count_runs(site, ask) == 1


@pytest.mark.parametrize('first', [True, False])
async def test_store_away_on_the_way_of_a_call(first):
    layout = matrix_cells.make_layout('own key')
    async with site_module.open_site(layout) as site:
        site.table.faults.outage = True
        ask = dataclasses.replace(
            matrix_cells.make_ask(site, 'own key', 'call'), first=first
        )
        heard = await matrix_caller.send(ask, site.doors[0].port)
        assert heard.refusal.reason is R.STORE_AWAY
        assert isinstance(heard.refusal, outcomes.NotRun) is first
        assert matrix_caller.count_runs(site, ask) == 0
