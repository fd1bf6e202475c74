"""Tests of handing a request to an endpoint and reading its answer."""

import anyio
import fake_endpoint
import pytest

from marigoldramp import connections
from marigoldramp import endpoint_kinds

pytestmark = pytest.mark.anyio

Reply = fake_endpoint.Reply
WHOLE = endpoint_kinds.Whole()


async def ask(*replies, **request):
    """Return the result, the sink and the endpoint after one exchange."""
    endpoint = fake_endpoint.Endpoint(*replies)
    sink = fake_endpoint.Sink()
    async with fake_endpoint.listening(endpoint.serve) as address:
        kind = fake_endpoint.make_kind('plain_service', address)
        result = await fake_endpoint.exchange(kind, sink, **request)
    return result, sink, endpoint


LENGTH = b'HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\nabcd'
CHUNKED = (
    b'HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n'
    b'1\r\na\r\n3\r\nbcd\r\n0\r\n\r\n'
)
CLOSED = b'HTTP/1.1 200 OK\r\nconnection: close\r\n\r\nabcd'


@pytest.mark.parametrize(
    ('sent', 'method', 'status', 'body'),
    [
        (LENGTH, 'POST', 200, b'abcd'),
        (CHUNKED, 'POST', 200, b'abcd'),
        (CLOSED, 'GET', 200, b'abcd'),
        (
            b'HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\n',
            'HEAD',
            200,
            b'',
        ),
        (b'HTTP/1.1 204 No Content\r\n\r\n', 'DELETE', 204, b''),
        (b'HTTP/1.1 304 Not Modified\r\n\r\n', 'GET', 304, b''),
        (
            b'HTTP/1.1 100 Continue\r\n\r\n'
            b'HTTP/1.1 500 Oh\r\ncontent-length: 0\r\n\r\n',
            'POST',
            500,
            b'',
        ),
    ],
    ids=['length', 'chunked', 'closed', 'head', '204', '304', '500'],
)
async def test_whole_answers(sent, method, status, body):
    result, sink, _ = await ask(Reply(sent=sent), method=method)
    assert result == WHOLE
    assert (sink.status, sink.body) == (status, body)


@pytest.mark.parametrize(
    'sent',
    [
        LENGTH[:-1],
        CHUNKED[:-2],
        CHUNKED[:-5],
        LENGTH[:20],
        b'',
        b'no HTTP at all\r\n\r\n',
        b'HTTP/1.1 200 OK\r\nx: ' + b'a' * 200_000 + b'\r\n\r\n',
        b'HTTP/1.1 200 OK\r\ncontent-length: 0\r\n'
        + b'x: %b\r\n' % (b'a' * 8000) * 9
        + b'\r\n',
    ],
    ids=[
        'length',
        'last chunk',
        'no last chunk',
        'head',
        'nothing',
        'garbage',
        'endless head',
        'head above the bound',
    ],
)
async def test_answers_that_are_not_whole(sent):
    """Part of an answer is taken for the whole.

    The endpoint's connection ends, or what comes over it is no answer.  The
    request was sent, so nobody may say that it did not run.
    """
    result, _, endpoint = await ask(Reply(sent=sent))
    assert isinstance(result, endpoint_kinds.Broken)
    assert len(endpoint.requests) == 1


async def test_refused_connection_is_unreached():
    async with fake_endpoint.listening(anyio.aclose_forcefully) as address:
        kind = fake_endpoint.make_kind('plain_service', address)
    sink = fake_endpoint.Sink()
    asked = []

    async def hand_over():
        asked.append(True)
        return True

    result = await fake_endpoint.exchange(kind, sink, hand_over)
    assert isinstance(result, connections.Unreached)
    assert not asked


async def test_withheld_request_is_not_sent():
    """A call runs although its caller was told that it did not.

    Its deadline passes while the connection is opened.  Nothing may be sent
    once the last check has said no.
    """

    async def refuse():
        return False

    result, sink, endpoint = await ask(Reply(sent=LENGTH), hand_over=refuse)
    assert result == endpoint_kinds.Withheld()
    assert not endpoint.requests and not sink.status


async def test_second_answer_goes_to_nobody():
    """A caller gets the answer to another call.

    The endpoint answers the first request twice, the second time late, when
    the next request is already under way.
    """
    other = LENGTH.replace(b'abcd', b'next')
    endpoint = fake_endpoint.Endpoint(
        Reply(sent=LENGTH + LENGTH, holds=True), Reply(sent=other)
    )
    bodies = []
    async with fake_endpoint.listening(endpoint.serve) as address:
        kind = fake_endpoint.make_kind('plain_service', address)
        for _ in range(2):
            sink = fake_endpoint.Sink()
            assert await fake_endpoint.exchange(kind, sink) == WHOLE
            bodies.append(sink.body)
    assert bodies == [b'abcd', b'next']


async def test_late_second_answer_goes_to_nobody():
    """As above, but the first answer comes after its reader has gone."""
    late = anyio.Event()

    async def serve(stream):
        async with stream:
            request = await fake_endpoint.read_request(stream)
            if request.body == b'slow':
                late.set()
                await anyio.Event().wait()
            await stream.send(LENGTH)

    async with fake_endpoint.listening(serve) as address:
        kind = fake_endpoint.make_kind('plain_service', address)
        abandoned, sink = fake_endpoint.Sink(), fake_endpoint.Sink()
        with anyio.CancelScope() as scope:
            async with anyio.create_task_group() as group:

                async def leave():
                    await late.wait()
                    scope.cancel()

                group.start_soon(leave)
                await fake_endpoint.exchange(kind, abandoned, body=b'slow')
        assert await fake_endpoint.exchange(kind, sink) == WHOLE
    assert (abandoned.status, sink.body) == (0, b'abcd')


async def test_cancelling_ends_the_wait_for_an_endpoint_that_is_silent():
    """A slot stays taken for good.

    The endpoint takes the request and never answers; the deadline cancels
    the exchange, which has to close the connection too.
    """
    endpoint = fake_endpoint.Endpoint(Reply(sent=b'', holds=True))
    async with fake_endpoint.listening(endpoint.serve) as address:
        kind = fake_endpoint.make_kind('plain_service', address)
        async with anyio.create_task_group() as group:
            arrived = endpoint.arrived
            group.start_soon(
                fake_endpoint.exchange, kind, fake_endpoint.Sink()
            )
            await arrived.wait()
            group.cancel_scope.cancel()
        while not endpoint.closed:
            await anyio.sleep(0)


async def test_request_arrives_as_it_was_sent():
    _, _, endpoint = await ask(
        Reply(sent=LENGTH),
        headers=[(b'x-a', b'1'), (b'x-request-id', b'forged')],
        body=b'\x00body',
    )
    (request,) = endpoint.requests
    assert (request.target, request.body) == (b'/a%20b?c=d', b'\x00body')
    assert request.values(b'x-a') == [b'1']
    assert request.values(b'x-request-id') == [b'call-1']
    assert request.values(b'content-length') == [b'5']


async def test_hop_by_hop_headers_stay_on_their_connection():
    sent = (
        b'HTTP/1.1 200 OK\r\nConnection: close, X-Hop\r\nX-Hop: 1\r\n'
        b'Keep-Alive: 5\r\nTE: x\r\nX-End: 2\r\nContent-Length: 0\r\n\r\n'
    )
    _, sink, _ = await ask(Reply(sent=sent))
    assert sink.headers == [(b'x-end', b'2'), (b'content-length', b'0')]
