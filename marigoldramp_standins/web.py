"""HTTP server and request helper that all stand-ins share."""

import asyncio
import contextlib
import json
import logging
import signal
import socket
from typing import Any
from typing import AsyncIterator
from typing import Awaitable
from typing import Callable
from typing import Iterator
from typing import MutableMapping
import urllib.parse

import anyio
import msgspec
import uvicorn
from uvicorn.protocols.http import httptools_impl

Scope = MutableMapping[str, Any]
Receive = Callable[[], Awaitable[MutableMapping[str, Any]]]
Send = Callable[[MutableMapping[str, Any]], Awaitable[None]]
Headers = list[tuple[bytes, bytes]]

HOST = '127.0.0.1'
JSON: Headers = [(b'content-type', b'application/json')]
#: Seconds that a stop waits for open requests, such as watches.
STOP_SECONDS = 2
CUT = 'marigoldramp_standins.cut'


class Refused(msgspec.Struct, frozen=True, kw_only=True):
    """Body of an answer that only says what was wrong."""

    error: str


class Exchange:
    """One request and its answer.

    :ivar parts: decoded segments of the path.
    """

    __slots__ = (
        'method',
        'parts',
        '_scope',
        '_receive',
        '_send',
        '_query',
        '_headers',
    )

    def __init__(self, *, scope: Scope, receive: Receive, send: Send) -> None:
        path = scope['raw_path'].decode('ascii')
        self.method: str = scope['method']
        self.parts = tuple(
            urllib.parse.unquote(part) for part in path.strip('/').split('/')
        )
        self._scope = scope
        self._receive = receive
        self._send = send
        self._headers: Headers = list(scope['headers'])
        query: bytes = scope['query_string']
        self._query = urllib.parse.parse_qs(query.decode())

    def header(self, name: str) -> str:
        """Return a header's value, empty if there is none."""
        wanted = name.encode()
        for key, value in self._headers:
            if key == wanted:
                return value.decode('latin-1')
        return ''

    def query(self, name: str, default: str = '') -> str:
        """Return a parameter of the query string."""
        return self._query.get(name, [default])[0]

    async def read_body(self) -> bytes:
        """Read the whole body of the request."""
        chunks = []
        while True:
            event = await self._receive()
            if event['type'] == 'http.disconnect':
                break
            chunks.append(event.get('body', b''))
            if not event.get('more_body', False):
                break
        return b''.join(chunks)

    async def answer(
        self, *, status: int, body: bytes = b'', headers: Headers | None = None
    ) -> None:
        """Send a whole answer."""
        length = (b'content-length', str(len(body)).encode())
        await self.start(status=status, headers=[*(headers or []), length])
        await self.send(body, more=False)

    async def answer_json(
        self, value: Any, *, status: int = 200, headers: Headers | None = None
    ) -> None:
        """Send a value as JSON."""
        await self.answer(
            status=status,
            body=msgspec.json.encode(value),
            headers=[*JSON, *(headers or [])],
        )

    async def refuse(self, *, status: int, error: str) -> None:
        """Send an error status with one sentence."""
        await self.answer_json(Refused(error=error), status=status)

    async def start(self, *, status: int, headers: Headers) -> None:
        """Send the head of an answer."""
        await self._send(
            {
                'type': 'http.response.start',
                'status': status,
                'headers': headers,
            }
        )

    async def send(self, chunk: bytes, *, more: bool) -> None:
        """Send a piece of the body."""
        await self._send(
            {'type': 'http.response.body', 'body': chunk, 'more_body': more}
        )

    async def wait_gone(self) -> None:
        """Return when the client has closed the connection."""
        while True:
            event = await self._receive()
            if event['type'] == 'http.disconnect':
                return

    async def cut(self) -> None:
        """Break the connection without a further byte."""
        self._scope['extensions'][CUT]()
        await self.wait_gone()


Handle = Callable[[Exchange], Awaitable[None]]


class _Server(uvicorn.Server):
    """uvicorn's server without its signal handlers and timed waits.

    The waits of 0.1 s each would make every test that starts a stand-in
    slow.
    """

    def __init__(self, config: uvicorn.Config) -> None:
        super().__init__(config)
        self.ended = anyio.Event()

    @contextlib.contextmanager
    def capture_signals(self) -> Iterator[None]:
        yield

    async def main_loop(self) -> None:
        await self.ended.wait()

    async def shutdown(
        self, sockets: list[socket.socket] | None = None
    ) -> None:
        for server in self.servers:
            server.close()
        for connection in list(self.server_state.connections):
            connection.shutdown()
        tasks = self.server_state.tasks
        if tasks:
            await asyncio.wait(tasks, timeout=STOP_SECONDS)
        for task in list(tasks):
            task.cancel()


class _Protocol(httptools_impl.HttpToolsProtocol):
    """Connection that lets a handler break it."""

    def on_headers_complete(self) -> None:
        super().on_headers_complete()
        scope: Scope = self.scope  # type: ignore[assignment]
        scope['extensions'] = {CUT: self.transport.abort}


@contextlib.asynccontextmanager
async def serve(
    *, handle: Handle, host: str = HOST, port: int = 0
) -> AsyncIterator[str]:
    """Serve while the context lasts; give the address."""

    async def application(scope: Scope, receive: Receive, send: Send) -> None:
        await handle(Exchange(scope=scope, receive=receive, send=send))

    # asyncio sets TCP_NODELAY only on sockets that name their protocol.
    listener = socket.socket(
        socket.AF_INET, socket.SOCK_STREAM, socket.IPPROTO_TCP
    )
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    listener.bind((host, port))
    listener.listen(1024)
    server = _Server(
        uvicorn.Config(
            application,
            http=_Protocol,
            ws='none',
            lifespan='off',
            log_config=None,
            access_log=False,
            date_header=False,
        )
    )
    async with anyio.create_task_group() as group:
        group.start_soon(server.serve, [listener])
        try:
            yield f'http://{host}:{listener.getsockname()[1]}'
        finally:
            server.ended.set()


def _do_nothing() -> None:
    pass


async def run_until_signal(
    *,
    handle: Handle,
    host: str,
    port: int,
    closing: Callable[[], None] = _do_nothing,
) -> None:
    """Serve as a process; SIGTERM or SIGINT ends it.

    The address goes to standard output as one line of JSON.
    """
    logging.getLogger('uvicorn.error').setLevel(logging.CRITICAL)
    with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
        async with serve(handle=handle, host=host, port=port) as address:
            print(json.dumps({'listening': address}), flush=True)
            async for _ in signals:
                break
            closing()
