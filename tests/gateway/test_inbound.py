"""Tests of callers' connections: limits, invalid requests and reuse."""

import anyio
import pytest

from marigoldramp.gateway import forwarding

from . import fake_endpoint as fake
from . import site

pytestmark = pytest.mark.anyio


def make_endpoint(*scripts):
    return fake.FakeEndpoint(identity='i-1', scripts=scripts)


@pytest.mark.parametrize(
    ('sent', 'status'),
    [
        (b'GET /notes/ HTTP/1.1\r\n\r\n', 400),
        (b'nonsense\r\n\r\n', 400),
        (
            b'GET /notes/ HTTP/1.1\r\nHost: notes.example\r\nX: '
            + b'y' * 9000
            + b'\r\n\r\n',
            431,
        ),
        (
            b'POST /notes/ HTTP/1.1\r\nHost: notes.example\r\n'
            b'Content-Length: 99000000000\r\n\r\n',
            413,
        ),
        (
            b'POST /notes/ HTTP/1.1\r\nHost: notes.example\r\n'
            b'Transfer-Encoding: chunked\r\n\r\n'
            + b'3000\r\n'
            + b'x' * 0x3000,
            413,
        ),
        (
            b'POST /notes/ HTTP/1.1\r\nHost: notes.example\r\n'
            b'Transfer-Encoding: chunked\r\n\r\nnonsense\r\n',
            400,
        ),
        (
            b'GET /notes/ HTTP/1.1\r\nHost: notes.example\r\n'
            b'Time-Budget-Ms: soon\r\n\r\n',
            400,
        ),
    ],
    ids=['host', 'syntax', 'head size', 'length', 'chunks', 'chunk', 'budget'],
)
async def test_invalid_request_reaches_no_endpoint(sent, status):
    one = make_endpoint(fake.answer())
    async with site.run_site(one) as running:
        async with site.connect(running) as stream:
            await stream.send(sent)
            got = await site.read_answer(stream)
    assert got.status == status
    assert got.complete
    assert not one.seen


async def test_unfinished_head_is_answered_in_time():
    one = make_endpoint(fake.answer())
    config = site.make_configuration(head_seconds=0.1)
    async with site.run_site(one, configuration=config) as running:
        async with site.connect(running) as stream:
            await stream.send(b'GET /notes/ HTTP/1.1\r\nHo')
            got = await site.read_answer(stream)
    assert got.status == 408


async def test_idle_connection_is_closed():
    one = make_endpoint(fake.answer())
    config = site.make_configuration(idle_seconds=0.1)
    async with site.run_site(one, configuration=config) as running:
        async with site.connect(running) as stream:
            with anyio.fail_after(site.TIMEOUT_SECONDS):
                with pytest.raises(anyio.EndOfStream):
                    await stream.receive()


async def test_unfinished_body_is_answered_at_the_deadline():
    one = make_endpoint(fake.answer())
    config = site.make_configuration(site.make_route(timeout=0.2))
    async with site.run_site(one, configuration=config) as running:
        async with site.connect(running) as stream:
            await stream.send(
                b'POST /notes/ HTTP/1.1\r\nHost: notes.example\r\n'
                b'Content-Length: 10\r\n\r\nhalf'
            )
            got = await site.read_answer(stream)
    assert got.status == 408
    assert not one.seen


@pytest.mark.parametrize('count', [1, 5])
async def test_requests_reuse_a_connection(count):
    async def script(stream, seen):
        await fake.answer(seen.target.encode())(stream, seen)

    one = make_endpoint(script)
    async with site.run_site(one) as running:
        async with site.connect(running) as stream:
            for number in range(count):
                await site.send_request(
                    stream, 'POST', f'/notes/{number}', body=b'b' * number
                )
                got = await site.read_answer(stream, 'POST')
                assert got.body == f'/notes/{number}'.encode()
    assert [len(seen.body) for seen in one.seen] == list(range(count))


async def test_pipelined_requests_are_served_in_order():
    async def script(stream, seen):
        await fake.answer(seen.target.encode())(stream, seen)

    one = make_endpoint(script)
    async with site.run_site(one) as running:
        async with site.connect(running) as stream:
            for number in range(3):
                await site.send_request(stream, path=f'/notes/{number}')
            data = b''
            with anyio.fail_after(site.TIMEOUT_SECONDS):
                while b'/notes/2' not in data:
                    data += await stream.receive()
    positions = [data.index(f'/notes/{number}'.encode()) for number in (0, 1)]
    assert positions == sorted(positions)
    assert data.count(b'HTTP/1.1 200') == 3


async def test_smuggled_request_is_not_run():
    """Guards against running a request that is hidden in another one's body.

    A body contains the text of a second request, with inconsistent lengths.
    It must not be passed on with the framing that the caller chose.
    """
    hidden = b'GET /notes/hidden HTTP/1.1\r\nHost: notes.example\r\n\r\n'
    one = make_endpoint(fake.answer())
    async with site.run_site(one) as running:
        async with site.connect(running) as stream:
            await stream.send(
                b'POST /notes/ HTTP/1.1\r\nHost: notes.example\r\n'
                b'Attempt-Id: a1\r\nTransfer-Encoding: chunked\r\n\r\n'
                + fake.chunk(hidden)
                + b'0\r\n\r\n'
            )
            got = await site.read_answer(stream, 'POST')
    assert got.status == 200
    assert [seen.body for seen in one.seen] == [hidden]
    assert 'transfer-encoding' not in one.seen[0].headers


@pytest.mark.parametrize('error', [OverflowError, UnicodeError, KeyError])
async def test_request_that_meets_a_fault_of_the_program_is_answered(
    error, monkeypatch
):
    """Guards against a connection that ends without an answer."""
    one = make_endpoint(fake.answer())

    async def fail(forwarder, call):
        raise error('unforeseen')

    monkeypatch.setattr(forwarding.Forwarder, '_serve', fail)
    async with site.run_site(one) as running:
        async with site.connect(running) as stream:
            await site.send_request(stream)
            got = await site.read_answer(stream)
    assert got.status == 500
    assert got.complete
    assert got.headers['connection'] == 'close'
