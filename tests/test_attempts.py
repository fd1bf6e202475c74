"""Tests of attempts on a real connection to a small agent."""

import pytest

from marigoldramp import attempts
from marigoldramp import connections
from marigoldramp import heads
from marigoldramp import messages
from marigoldramp_standins import web

KEYS = heads.Heads(fleet_key=b'k' * 32)


def make_outgoing(*, call):
    return attempts.Outgoing(
        head=messages.CallHead(
            call=call,
            attempt=1,
            entry='e',
            agent='a',
            incarnation=1,
            customer='c',
            service='s',
            idempotent=True,
            priority=1,
            deadline_at=0.0,
            remaining=5.0,
        ),
        method='GET',
        target=b'/',
        headers=[],
        body=b'',
        silence=5.0,
    )


class SmallAgent:
    """Answers with a sealed head; notes the connections that it is asked on.

    :ivar peers: the ports that requests came from.
    """

    def __init__(self, *, outcome, body):
        self.outcome = outcome
        self.body = body
        self.peers = []

    async def handle(self, exchange):
        self.peers.append(exchange._scope['client'])
        head = KEYS.decode_call(exchange.header('marigoldramp-head'))
        answer = messages.AnswerHead(
            call=head.call,
            attempt=head.attempt,
            outcome=self.outcome,
            incarnation=1,
            reason='leaving',
        )
        await exchange.answer(
            status=200,
            body=self.body,
            headers=[(heads.ANSWER_HEADER, KEYS.encode_answer(answer))],
        )


async def make_attempt(pool, *, call, chunks):
    """Make one attempt, read so many chunks of its answer, give back."""
    attempt = attempts.Attempt(
        pool=pool, heads=KEYS, outgoing=make_outgoing(call=call), fresh=False
    )
    assert await attempt.open() is None
    result = await attempt.send()
    if isinstance(result, attempts.Answering):
        reader = result.chunks()
        for _ in range(chunks):
            await anext(reader, None)
        await reader.aclose()
    await attempt.close()
    return result


@pytest.mark.anyio
@pytest.mark.parametrize(
    'outcome, chunks, connections_used',
    [
        (messages.OutcomeKind.ANSWER, 9, 1),
        (messages.OutcomeKind.NOT_RUN, 0, 1),
        (messages.OutcomeKind.OUTCOME_UNKNOWN, 0, 1),
        (messages.OutcomeKind.ANSWER, 0, 3),
        (messages.OutcomeKind.ANSWER, 1, 3),
    ],
)
async def test_only_connections_read_to_the_end_are_used_again(
    outcome, chunks, connections_used
):
    """Symptom: an entry opened a connection for each call.

    Sequence: an attempt reads its answer to the end and gives its
    connection back; the next attempt opens another.  Cause: reading to the
    end leaves a connection of httpcore active until its answer is closed,
    so that the pool took it for half read.  One that is half read must
    still never serve a later call.
    """
    agent = SmallAgent(outcome=outcome, body=b'x' * 200_000)
    async with web.serve(handle=agent.handle) as address:
        pool = connections.Pool(
            host=web.HOST, port=int(address.rsplit(':')[-1]), most_idle=4
        )
        for number in range(3):
            await make_attempt(pool, call=f'call-{number}', chunks=chunks)
        await pool.clear()
    assert len(set(agent.peers)) == connections_used
