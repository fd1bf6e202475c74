"""Tests of the answer buffer that entries attach to."""

import anyio
import hypothesis
from hypothesis import strategies
import pytest

from marigoldramp import executions
from marigoldramp import outcomes

pytestmark = pytest.mark.anyio


async def read_all(execution, offset):
    return b''.join([chunk async for chunk in execution.read(offset)])


async def finished(chunks, window=1000):
    execution = executions.Execution(call='c', window=window)
    await execution.begin(200, [])
    for chunk in chunks:
        await execution.append(chunk)
    execution.end()
    return execution


@hypothesis.given(
    chunks=strategies.lists(strategies.binary(max_size=5), max_size=8),
    offset=strategies.integers(0, 40),
)
async def test_reader_gets_the_rest_from_any_byte(chunks, offset):
    execution = await finished(chunks)
    whole = b''.join(chunks)
    if offset <= len(whole):
        assert execution.covers(offset)
        assert await read_all(execution, offset) == whole[offset:]
    else:
        assert not execution.covers(offset)


async def test_reader_follows_the_writer():
    execution = executions.Execution(call='c', window=4)
    got = []

    async def read():
        execution.readers += 1
        async for chunk in execution.read(0):
            got.append(chunk)

    async with anyio.create_task_group() as group:
        group.start_soon(read)
        await execution.begin(200, [])
        for chunk in (b'abc', b'defg', b'hijkl'):
            await execution.append(chunk)
        execution.end()
    assert b''.join(got) == b'abcdefghijkl'


async def test_bytes_far_behind_the_reader_are_dropped():
    execution = executions.Execution(call='c', window=4)

    async def read():
        execution.readers += 1
        await read_all(execution, 0)

    async with anyio.create_task_group() as group:
        group.start_soon(read)
        for _ in range(10):
            await execution.append(b'0123')
            await anyio.sleep(0)
        execution.end()
    assert execution.held <= 12
    assert not execution.covers(0)
    assert execution.covers(execution.size)


async def test_refusal_ends_the_readers():
    execution = executions.Execution(call='c', window=4)
    await execution.append(b'ab')
    execution.refuse(
        outcomes.OutcomeUnknown(reason=outcomes.Reason.ENDPOINT_FAILED)
    )
    assert await read_all(execution, 0) == b'ab'
    assert execution.state is executions.State.REFUSED
