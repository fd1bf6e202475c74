"""Agents and endpoints that answer as a test says, byte by byte."""

import contextlib

import anyio

from marigoldramp import heads
from marigoldramp import messages
from marigoldramp_standins import site_processes
from marigoldramp_standins import web

HEADS = heads.Heads(fleet_key=site_processes.FLEET_KEY)


async def read_request(stream):
    """Return head and body of one HTTP request, nothing at the end."""
    data = b''
    with contextlib.suppress(anyio.EndOfStream, anyio.BrokenResourceError):
        while b'\r\n\r\n' not in data:
            data += await stream.receive()
        head, _, body = data.partition(b'\r\n\r\n')
        lines = [line.split(b': ', 1) for line in head.split(b'\r\n')[1:]]
        headers = {line[0].lower(): line[1] for line in lines}
        while len(body) < int(headers.get(b'content-length', b'0')):
            body += await stream.receive()
        return headers, body
    return None


def render(body, headers=(), status=200):
    """Return the bytes of a whole answer."""
    lines = [b'HTTP/1.1 %d OK' % status, b'content-length: %d' % len(body)]
    lines += [key + b': ' + value for key, value in headers]
    return b'\r\n'.join(lines) + b'\r\n\r\n' + body


def seal(head, outcome=messages.OutcomeKind.ANSWER, reason='', **changes):
    """Return the header of an agent's answer to a call's head."""
    values = {'call': head.call, 'attempt': head.attempt, **changes}
    answer = messages.AnswerHead(outcome=outcome, reason=reason, **values)
    return (heads.ANSWER_HEADER, HEADS.encode_answer(answer))


@contextlib.asynccontextmanager
async def listen(serve):
    """Serve each connection by ``serve(stream)``; give the port."""
    listener = await anyio.create_tcp_listener(local_host=web.HOST)
    port = listener.extra(anyio.abc.SocketAttribute.local_port)

    async def serve_one(stream):
        with contextlib.suppress(
            anyio.BrokenResourceError, anyio.ClosedResourceError
        ):
            async with stream:
                await serve(stream)

    async with anyio.create_task_group() as group:
        group.start_soon(listener.serve, serve_one)
        try:
            yield port
        finally:
            group.cancel_scope.cancel()
    await listener.aclose()


class FakeAgent:
    """Answers attempts in order by functions of the call's head.

    A function returns the bytes to send; ``None`` breaks the connection.
    The last one answers every further attempt.
    """

    def __init__(self, *replies):
        self.replies = list(replies)
        self.heads = []

    async def serve(self, stream):
        while True:
            request = await read_request(stream)
            if request is None:
                return
            headers, _ = request
            head = HEADS.decode_call(headers[heads.CALL_HEADER].decode())
            self.heads.append(head)
            last = len(self.replies) == 1
            reply = (self.replies[0] if last else self.replies.pop(0))(head)
            if reply is None:
                return
            await stream.send(reply)


@contextlib.asynccontextmanager
async def in_place_of(site, number, agent):
    """Put a fake agent behind every entry's link to an agent."""
    async with listen(agent.serve) as port:
        for row in site.links:
            row[number].target = port
        yield agent
