"""Tests of prompts with a part that ends each endpoint which answers it."""

import anyio
import pytest

from . import fake_endpoint as fake
from . import fleet as fleets
from . import site

pytestmark = pytest.mark.anyio
#: Limit of sends of requests with a part after it has ended five endpoints and
#: all gateways have received reports of it.
MAX_SENDS = 3
#: Ends from which the limit holds.
ENDS = 5
KINDS = {'idempotent': '/safe/1', 'once': '/once/1', 'stream': '/stream/1'}
GATEWAYS = ('entry-0', 'entry-1', 'entry-2')
#: A part of the prompts of all callers.
COMMON = 'c0'


def name_parts(*parts):
    """Return the header line for a prompt with these parts and one more."""
    entries = ','.join(f'{part}:40' for part in (*parts, 'f0'))
    return f'Prompt-Prefix: {entries}\r\n'


async def call(fleet, number, path, *parts):
    """Send a request that is like no other but for its parts."""
    return await fleet.call(
        GATEWAYS[number % 3], path, b'%d' % number, more=name_parts(*parts)
    )


@pytest.mark.parametrize('unframed', [False, True])
@pytest.mark.parametrize('kind', KINDS)
async def test_part_that_ends_endpoints_is_sent_to_few(
    monkeypatch, kind, unframed
):
    """Guards against an outage while requests share a harmful part.

    No two requests are alike.  Gateways have to recognize what they share.
    """
    async with fleets.run_fleet(monkeypatch, endpoints=6) as fleet:
        fleet.ending_part = 'bad'
        fleet.unframed = unframed
        counted_from = None
        for number in range(14):
            await call(fleet, number, KINDS[kind], COMMON, 'bad')
            await fleet.revive()
            await fleet.exchange()
            got = await call(fleet, 100 + number, KINDS[kind], COMMON)
            assert got.status == 200
            if counted_from is None and len(fleet.ends) >= ENDS:
                counted_from = len(fleet.sends)
        sent = fleet.count_ending(counted_from) if counted_from else 0
    assert sent <= MAX_SENDS


async def test_unframed_answer_of_an_ended_endpoint_is_not_complete(
    monkeypatch,
):
    """Guards against a stream that looks whole though its endpoint ended."""
    async with fleets.run_fleet(monkeypatch) as fleet:
        fleet.ending_part = 'bad'
        fleet.unframed = True
        got = await call(fleet, 0, '/once/1', COMMON, 'bad')
        assert got.status == 502
        got = await call(fleet, 1, '/stream/1', COMMON, 'bad')
        assert not got.complete


async def test_unframed_answer_of_a_leaving_endpoint_that_ends_is_cut(
    monkeypatch,
):
    """Guards against a part of an answer that looks whole.

    The endpoint has reported its shutdown, and its process is ended in the
    middle of an answer that it had begun before.
    """
    async with fleets.run_fleet(monkeypatch, entries=1, endpoints=1) as fleet:
        fleet.ending_part = 'bad'
        fleet.unframed = True
        answers = []

        async def call_held():
            got = await fleet.call(
                'entry-0',
                '/once/1',
                fleets.HELD,
                more=name_parts(COMMON, 'bad'),
            )
            answers.append(got.status)

        async with anyio.create_task_group() as tasks:
            tasks.start_soon(call_held)
            await fleet.until_sent(1)
            gateway = fleet.gateways['entry-0'].gateway
            [endpoint] = gateway.table
            gateway.follower.presence.note_leaving(endpoint.record)
            fleet.go_on.set()
        assert answers == [502]


async def test_unframed_answer_of_a_leaving_endpoint_that_serves_is_whole():
    """Guards against losing the answers of an endpoint that shuts down."""
    go_on = anyio.Event()
    answers = []

    async def answer_unframed(stream, seen):
        await go_on.wait()
        await stream.send(f'{fake.head(seen)}\r\nhello'.encode())
        return False

    one = fake.FakeEndpoint(identity='i-1', scripts=[answer_unframed])
    async with site.run_site(one) as running:

        async def call_held():
            async with site.connect(running) as stream:
                await site.send_request(stream)
                answers.append(await site.read_answer(stream))

        async with anyio.create_task_group() as tasks:
            tasks.start_soon(call_held)
            await one.arrived.wait()
            [endpoint] = running.gateway.table
            running.gateway.follower.presence.note_leaving(endpoint.record)
            go_on.set()
    assert [(got.status, got.body) for got in answers] == [(200, b'hello')]
