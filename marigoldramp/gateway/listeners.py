"""Listening sockets that serve each connection in its own task."""

import asyncio
import socket
from typing import Awaitable
from typing import Callable

from absl import logging
import anyio.abc

from .. import tcp_streams
from . import client_connections

#: Connections that the kernel queues before they are accepted.  When the queue
#: is full, a SYN packet is dropped and is resent only after seconds.
BACKLOG = 1024
#: Connections that are accepted in a row before others are served.  They have
#: descriptors that no limit counts yet.
ACCEPTS_IN_A_ROW = 16
#: Size of the system's receive buffer of a connection, which the system
#: doubles.  Bytes in it count as memory of the process.
RECEIVE_BUFFER_BYTES = 16384
#: Bytes that are received at once.
READ_BYTES = 65536

ServeConnection = Callable[
    [tcp_streams.Stream, client_connections.ClientConnection], Awaitable[None]
]

#: Where the event loop puts received bytes before they are copied.
_received = memoryview(bytearray(READ_BYTES))


class _AcceptedStream(tcp_streams.Stream, asyncio.BufferedProtocol):
    """An accepted connection, which receives no more than it has room for."""

    __slots__ = ('_accept', '_forget', 'is_served')

    def __init__(
        self,
        *,
        accept: Callable[['_AcceptedStream'], None],
        forget: Callable[['_AcceptedStream'], None],
    ) -> None:
        super().__init__()
        self._accept = accept
        self._forget = forget
        self.is_served = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        super().connection_made(transport)
        self._accept(self)

    def get_buffer(self, sizehint: int) -> memoryview:
        """Return where the next bytes are to be received."""
        return _received[: self.room]

    def buffer_updated(self, nbytes: int) -> None:
        """Keep bytes that were received."""
        self.data_received(bytes(_received[:nbytes]))

    def connection_lost(self, exc: Exception | None) -> None:
        super().connection_lost(exc)
        if not self.is_served:
            self._forget(self)


class Listener:
    """One listening socket.

    :param serve: serves one connection until it ends.
    :param connections: bounds the connections of all listeners.
    :param kept: connections that this one leaves to the others.
    """

    __slots__ = ('_serve', '_connections', '_kept', '_server', '_tasks')

    def __init__(
        self,
        *,
        serve: ServeConnection,
        connections: client_connections.ClientConnections,
        kept: int = 0,
    ) -> None:
        self._serve = serve
        self._connections = connections
        self._kept = kept
        self._server: asyncio.Server | None = None
        self._tasks: anyio.abc.TaskGroup | None = None

    async def listen(
        self, *, host: str, port: int, tasks: anyio.abc.TaskGroup
    ) -> int:
        """Start accepting connections; return the port."""
        self._tasks = tasks
        loop = asyncio.get_running_loop()
        listening = _bind(host, port)
        self._server = await loop.create_server(
            self._make_stream, sock=listening, backlog=ACCEPTS_IN_A_ROW
        )
        # The event loop takes its own bound for the system's queue, too.
        listening.listen(BACKLOG)
        bound_port: int = listening.getsockname()[1]
        return bound_port

    def close(self) -> None:
        """Stop accepting connections; open ones are still served."""
        if self._server is not None:
            self._server.close()

    def _make_stream(self) -> _AcceptedStream:
        return _AcceptedStream(
            accept=self._accept, forget=self._connections.remove
        )

    def _accept(self, stream: _AcceptedStream) -> None:
        assert self._tasks is not None
        connection = self._connections.add(stream, kept=self._kept)
        if connection is None:
            stream.abort()
            return
        stream.is_served = True
        self._tasks.start_soon(self._run, stream, connection)

    async def _run(
        self,
        stream: _AcceptedStream,
        connection: client_connections.ClientConnection,
    ) -> None:
        try:
            if not stream.is_closed:
                await self._serve(stream, connection)
        except Exception:
            # An error on one connection must not end the process, which
            # serves all others.
            logging.exception('connection failed')
        finally:
            stream.is_served = False
            stream.drop_unread()
            stream.finish()
            if stream.is_closed:
                self._connections.remove(stream)


def _bind(host: str, port: int) -> socket.socket:
    """Return a socket whose connections have a small receive buffer."""
    family = socket.AF_INET6 if ':' in host else socket.AF_INET
    # asyncio sets TCP_NODELAY only on sockets that name their protocol.
    listening = socket.socket(family, socket.SOCK_STREAM, socket.IPPROTO_TCP)
    listening.setblocking(False)
    listening.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    listening.setsockopt(
        socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES
    )
    try:
        listening.bind((host, port))
    except OSError:
        listening.close()
        raise
    return listening
