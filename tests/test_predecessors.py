"""Tests of the records that an agent's planned stop leaves behind."""

import hypothesis
from hypothesis import strategies
import pytest

from marigoldramp import executions
from marigoldramp import messages
from marigoldramp import outcomes
from marigoldramp import predecessors

pytestmark = pytest.mark.anyio

NOW = 1000.0
R = outcomes.Reason


def make(most=8):
    return predecessors.Predecessors(
        most=most, seconds=100.0, wall=lambda: NOW
    )


def bind(incarnation=1, age=0.0):
    return messages.Binding(
        service='s',
        customer='c',
        agent='a',
        incarnation=incarnation,
        made_at=NOW - age,
        nonce=b'n',
    )


async def run(kind):
    """Return an execution that has come to an end of some kind."""
    execution = executions.Execution(call='c', window=100)
    if kind == 'barred':
        execution.refuse(outcomes.NotRun(reason=R.LEAVING))
    elif kind == 'unknown':
        execution.hand_over()
        execution.refuse(outcomes.OutcomeUnknown(reason=R.ENDPOINT_FAILED))
    elif kind != 'running':
        await execution.begin(200, [(b'a', b'b')])
        await execution.append(b'body')
        execution.end()
    if kind == 'dropped':
        execution.discard()
    return execution


async def hand_over(held, kinds, *, complete=True, incarnation=1):
    """Hand executions over as one agent does to another."""
    described = [
        predecessors.describe(key=key, execution=await run(kind))
        for key, kind in kinds.items()
    ]
    records = predecessors.encode([one for one in described if one])
    return held.take(
        agent='a',
        incarnation=incarnation,
        handed_over=predecessors.decode(records),
        complete=complete,
    )


@pytest.mark.parametrize(
    'kind, expected, reason',
    [
        ('whole', executions.Execution, None),
        ('barred', outcomes.NotRun, R.LEAVING),
        ('unknown', outcomes.OutcomeUnknown, R.ENDPOINT_FAILED),
        ('dropped', outcomes.OutcomeUnknown, R.ANSWER_NOT_KEPT),
        ('running', outcomes.NotRun, R.INCARNATION_GONE),
    ],
)
async def test_what_becomes_of_a_used_key(kind, expected, reason):
    """Only a running call has no record; an agent waits until none is."""
    held = make()
    assert await hand_over(held, {'k': kind})
    found = held.find(binding=bind(), key='k')
    assert isinstance(found, expected)
    if reason is None:
        assert (found.status, found.body()) == (200, b'body')
        assert found.headers == [(b'a', b'b')]
    else:
        assert found.reason is reason


@pytest.mark.parametrize(
    'complete, incarnation, age, expected',
    [
        (True, 1, 0.0, outcomes.NotRun),
        (True, 1, 99.0, outcomes.NotRun),
        (True, 1, 100.0, outcomes.OutcomeUnknown),
        (False, 1, 0.0, outcomes.OutcomeUnknown),
        (True, 2, 0.0, outcomes.OutcomeUnknown),
    ],
)
async def test_unused_key(complete, incarnation, age, expected):
    """Symptom: "not run" for a call that ran.

    Sequence: a hand-over breaks off, or speaks of another incarnation, or
    its sender had dropped the record by age; the key is asked about.
    Cause: taking a missing record for a key that was never used.
    """
    held = make()
    await hand_over(held, {'other': 'whole'}, complete=complete)
    found = held.find(binding=bind(incarnation, age), key='k')
    assert isinstance(found, expected)


async def test_full_table_is_not_complete():
    """Symptom: "not run" for a call whose record found no room.

    Sequence: more records come than are kept.  Cause: a set that counts as
    complete although its end was turned away.
    """
    held = make(most=1)
    assert not await hand_over(held, {'one': 'whole', 'two': 'whole'})
    found = held.find(binding=bind(), key='two')
    assert isinstance(found, outcomes.OutcomeUnknown)


async def test_hand_over_that_comes_twice_takes_no_room_twice():
    """Symptom: records are turned away from a table that has room.

    Sequence: the reply to a hand-over is lost, it is sent again.  Cause:
    counting a record that is there already.
    """
    held = make(most=2)
    assert await hand_over(held, {'one': 'whole'}, complete=False)
    assert await hand_over(held, {'one': 'whole'}, complete=False)
    assert await hand_over(held, {'two': 'whole'})


async def test_oldest_incarnations_are_forgotten():
    held = make(most=1000)
    for number in range(predecessors.MOST_INCARNATIONS + 1):
        await hand_over(held, {'k': 'whole'}, incarnation=number)
    first = held.find(binding=bind(0), key='k')
    assert isinstance(first, outcomes.OutcomeUnknown)
    assert isinstance(
        held.find(binding=bind(1), key='k'), executions.Execution
    )


@hypothesis.given(
    batches=strategies.lists(
        strategies.dictionaries(
            strategies.sampled_from('abcd'),
            strategies.sampled_from(['whole', 'unknown', 'dropped']),
        ),
        max_size=4,
    ),
    whole=strategies.booleans(),
    most=strategies.integers(0, 6),
)
async def test_not_run_is_never_said_of_a_key_that_ran(batches, whole, most):
    held = make(most=most)
    ran = set()
    kept = True
    for number, batch in enumerate(batches):
        last = whole and number == len(batches) - 1
        ran |= batch.keys()
        if kept:
            kept = await hand_over(held, batch, complete=last)
    heir = make(most=100)
    for one in held.list():
        assert heir.take(
            agent=one.agent,
            incarnation=one.incarnation,
            handed_over=one.handed_over,
            complete=one.complete,
        )
    for key in 'abcd':
        found = held.find(binding=bind(), key=key)
        if isinstance(found, outcomes.NotRun):
            assert key not in ran and kept and whole
        passed_on = heir.find(binding=bind(), key=key)
        assert type(passed_on) is type(found)
