"""An endpoint that sends exactly the bytes that a test tells it to."""

import contextlib
import dataclasses
import socket

import anyio
import anyio.abc
import h11

from marigoldramp import endpoint_kinds
from marigoldramp import settings
from marigoldramp import settings_files


@dataclasses.dataclass(kw_only=True)
class Reply:
    """Bytes of one answer, and whether the connection is then kept open."""

    sent: bytes
    holds: bool = False


@dataclasses.dataclass(kw_only=True)
class Request:
    """One request as it came."""

    method: bytes
    target: bytes
    headers: list
    body: bytes

    def values(self, name):
        return [value for key, value in self.headers if key == name]


class Endpoint:
    """Gives its replies in order, one to each connection."""

    def __init__(self, *replies):
        self.replies = list(replies)
        self.requests = []
        self.arrived = anyio.Event()
        self.closed = 0

    async def serve(self, stream):
        async with stream:
            request = await read_request(stream)
            if request is None:
                return
            self.requests.append(request)
            self.arrived.set()
            self.arrived = anyio.Event()
            reply = self.replies.pop(0)
            await stream.send(reply.sent)
            if reply.holds:
                with contextlib.suppress(
                    anyio.EndOfStream, anyio.BrokenResourceError
                ):
                    await stream.receive()
                self.closed += 1


async def read_request(stream):
    parser = h11.Connection(h11.SERVER)
    head, body = None, b''
    while True:
        match parser.next_event():
            case h11.NEED_DATA:
                try:
                    parser.receive_data(await stream.receive())
                except (anyio.EndOfStream, anyio.BrokenResourceError):
                    return None
            case h11.Request() as head:
                pass
            case h11.Data(data=data):
                body += bytes(data)
            case h11.EndOfMessage():
                return Request(
                    method=head.method,
                    target=head.target,
                    headers=list(head.headers),
                    body=body,
                )


class Sink:
    """Takes an answer as an execution does."""

    def __init__(self):
        self.status = 0
        self.headers = []
        self.body = b''

    @property
    def size(self):
        return len(self.body)

    async def begin(self, status, headers):
        self.status = status
        self.headers = headers

    async def append(self, chunk):
        self.body += chunk


@contextlib.asynccontextmanager
async def listening(serve):
    listener = await anyio.create_tcp_listener(
        local_host='127.0.0.1', local_port=0, family=socket.AF_INET
    )
    port = listener.extra(anyio.abc.SocketAttribute.local_port)
    async with listener, anyio.create_task_group() as group:
        group.start_soon(listener.serve, serve)
        yield f'http://127.0.0.1:{port}'
        group.cancel_scope.cancel()


def make_settings(**changes):
    defaults = settings_files.read_defaults().plain()['agent']
    return settings.Agent(**{**defaults, 'ranks': (), **changes})


def make_kind(name, address):
    plugin = endpoint_kinds.EndpointKind.find(name)
    return plugin(settings=make_settings(endpoint=address, kind=name))


def make_request(method='POST', headers=(), priority=1, **rest):
    return endpoint_kinds.EndpointRequest(
        call='call-1',
        method=method,
        target=rest.get('target', b'/a%20b?c=d'),
        headers=list(headers),
        body=rest.get('body', b''),
        priority=priority,
    )


async def agree():
    return True


async def exchange(kind, sink, hand_over=agree, **request):
    return await kind.exchange(
        request=make_request(**request), sink=sink, hand_over=hand_over
    )
