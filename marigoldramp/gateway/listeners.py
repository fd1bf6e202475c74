"""Listening sockets whose connections are served by a task each."""

import asyncio
from typing import Awaitable
from typing import Callable

from absl import logging
import anyio.abc

from .. import tcp_streams

#: Connections that the kernel queues before we accept them.  When the queue
#: is full an opening packet is dropped and comes again after seconds.
BACKLOG = 1024

ServeConnection = Callable[[tcp_streams.Stream], Awaitable[None]]


class _Accepted(tcp_streams.Stream):
    """A connection that a peer has opened."""

    __slots__ = ('_accept',)

    def __init__(
        self, *, accept: Callable[[tcp_streams.Stream], None]
    ) -> None:
        super().__init__()
        self._accept = accept

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        super().connection_made(transport)
        self._accept(self)


class Listener:
    """One listening socket.

    :param serve: serves one connection until it ends.
    :param most: connections open at once; more are closed unread.
    """

    __slots__ = ('_serve', '_max_connections', '_open', '_server', '_tasks')

    def __init__(
        self, *, serve: ServeConnection, max_connections: int
    ) -> None:
        self._serve = serve
        self._max_connections = max_connections
        self._open = 0
        self._server: asyncio.Server | None = None
        self._tasks: anyio.abc.TaskGroup | None = None

    async def listen(
        self, *, host: str, port: int, tasks: anyio.abc.TaskGroup
    ) -> int:
        """Begin to accept connections; return the port."""
        self._tasks = tasks
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            lambda: _Accepted(accept=self._accept),
            host,
            port,
            backlog=BACKLOG,
        )
        bound: int = self._server.sockets[0].getsockname()[1]
        return bound

    def close(self) -> None:
        """Accept no more; open connections go on."""
        if self._server is not None:
            self._server.close()

    def _accept(self, stream: tcp_streams.Stream) -> None:
        assert self._tasks is not None
        if self._open >= self._max_connections:
            stream.abort()
            return
        self._open += 1
        self._tasks.start_soon(self._run, stream)

    async def _run(self, stream: tcp_streams.Stream) -> None:
        try:
            await self._serve(stream)
        except Exception:
            # A fault in the service of one connection must not end the
            # process, which serves all others.
            logging.exception('connection failed')
        finally:
            self._open -= 1
            stream.finish()
