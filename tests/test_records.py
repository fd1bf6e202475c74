"""Tests of the records that keep a call from running twice."""

import hypothesis
from hypothesis import strategies
import pytest

from marigoldramp import executions
from marigoldramp import outcomes
from marigoldramp import records

pytestmark = pytest.mark.anyio

R = outcomes.Reason


class Wall:
    """Wall clock that a test moves."""

    def __init__(self, now=1000.0):
        self.now = now

    def __call__(self):
        return self.now


def make(wall, most=4, answer_bytes=10, answers_bytes=20):
    return records.Records(
        most=most,
        seconds=100.0,
        answer_bytes=answer_bytes,
        answers_bytes=answers_bytes,
        wall=wall,
    )


@pytest.mark.parametrize(
    ('age', 'expected'),
    [
        (0.0, records.Begun),
        (49.0, records.Begun),
        (50.0, outcomes.NotRun),
        (99.0, outcomes.NotRun),
        (100.0, outcomes.OutcomeUnknown),
        (-29.0, records.Begun),
        (-31.0, outcomes.NotRun),
    ],
)
async def test_age_of_a_key_decides(age, expected):
    wall = Wall()
    begun = make(wall).begin(key='k', made_at=wall.now - age, call='c')
    assert isinstance(begun, expected)


async def test_barred_key_never_begins():
    """A call is refused "not run" and its delayed bytes start it later.

    Sequence: the first attempt lies in a socket buffer; the second one is
    refused, the caller is told "not run"; the first one arrives.  Cause: the
    refusal was not recorded.
    """
    table = make(Wall())
    refusal = outcomes.NotRun(reason=R.LEAVING)
    table.bar(key='k', made_at=1000.0, call='c', refusal=refusal)
    known = table.begin(key='k', made_at=1000.0, call='c')
    assert isinstance(known, records.Known)
    assert known.execution.refusal == refusal


async def test_bar_tells_what_has_begun():
    table = make(Wall())
    begun = table.begin(key='k', made_at=1000.0, call='c')
    barred = table.bar(
        key='k',
        made_at=1000.0,
        call='d',
        refusal=outcomes.NotRun(reason=R.CANCELLED),
    )
    assert barred is begun.execution
    assert not barred.final


async def test_full_table_bars_then_knows_nothing():
    """A key refused by a full table runs when there is room again.

    Sequence: the table is full, the key is refused "not run", records
    expire, delayed bytes of the same key arrive.  Cause: as above.
    """
    table = make(Wall(), most=4)
    results = [
        table.begin(key=str(n), made_at=1000.0, call='c') for n in range(6)
    ]
    assert [type(one) for one in results[:4]] == [records.Begun] * 4
    assert results[4].execution.refusal.reason is R.QUEUE_FULL
    assert isinstance(results[5], outcomes.OutcomeUnknown)
    again = table.begin(key='4', made_at=1000.0, call='c')
    assert again.execution is results[4].execution


async def fill(execution, size):
    await execution.append(b'x' * size)
    execution.end()


async def test_answers_are_bounded_and_records_stay():
    table = make(Wall(), most=10)
    kept = []
    for name, size in (('a', 9), ('b', 9), ('c', 11), ('d', 9)):
        begun = table.begin(key=name, made_at=1000.0, call=name)
        await fill(begun.execution, size)
        table.keep(name)
        kept.append(begun.execution)
    assert [one.body() is not None for one in kept] == [
        False,
        True,
        False,
        True,
    ]
    assert len(table) == 4


@hypothesis.given(
    moves=strategies.lists(
        strategies.tuples(
            strategies.sampled_from(['begin', 'tick', 'end']),
            strategies.integers(0, 3),
        ),
        max_size=60,
    )
)
async def test_no_key_begins_twice(moves):
    wall = Wall()
    table = make(wall, most=3)
    made = {}
    begun = {}
    for move, number in moves:
        if move == 'tick':
            wall.now += 30.0 * number
        elif move == 'end':
            for execution in begun.values():
                execution.end()
        else:
            key = str(number)
            made.setdefault(key, wall.now)
            got = table.begin(key=key, made_at=made[key], call='c')
            if isinstance(got, records.Begun):
                assert key not in begun
                begun[key] = got.execution
            elif isinstance(got, records.Known) and key in begun:
                assert got.execution is begun[key]
            elif isinstance(got, outcomes.NotRun):
                assert key not in begun
    assert all(isinstance(e, executions.Execution) for e in begun.values())
