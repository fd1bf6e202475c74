"""Listening sockets that serve each connection in its own task."""

import asyncio
from typing import Awaitable
from typing import Callable

from absl import logging
import anyio.abc

from .. import tcp_streams

#: Connections that the kernel queues before they are accepted.  When the queue
#: is full, a SYN packet is dropped and is resent only after seconds.
BACKLOG = 1024

ServeConnection = Callable[[tcp_streams.Stream], Awaitable[None]]


class _AcceptedStream(tcp_streams.Stream):
    """An accepted connection."""

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
    :param max_connections: concurrent connections; further ones are closed
        unread.
    """

    __slots__ = (
        '_serve',
        '_max_connections',
        '_open_count',
        '_server',
        '_tasks',
    )

    def __init__(
        self, *, serve: ServeConnection, max_connections: int
    ) -> None:
        self._serve = serve
        self._max_connections = max_connections
        self._open_count = 0
        self._server: asyncio.Server | None = None
        self._tasks: anyio.abc.TaskGroup | None = None

    async def listen(
        self, *, host: str, port: int, tasks: anyio.abc.TaskGroup
    ) -> int:
        """Start accepting connections; return the port."""
        self._tasks = tasks
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            lambda: _AcceptedStream(accept=self._accept),
            host,
            port,
            backlog=BACKLOG,
        )
        bound_port: int = self._server.sockets[0].getsockname()[1]
        return bound_port

    def close(self) -> None:
        """Stop accepting connections; open ones are still served."""
        if self._server is not None:
            self._server.close()

    def _accept(self, stream: tcp_streams.Stream) -> None:
        assert self._tasks is not None
        if self._open_count >= self._max_connections:
            stream.abort()
            return
        self._open_count += 1
        self._tasks.start_soon(self._run, stream)

    async def _run(self, stream: tcp_streams.Stream) -> None:
        try:
            await self._serve(stream)
        except Exception:
            # An error on one connection must not end the process, which
            # serves all others.
            logging.exception('connection failed')
        finally:
            self._open_count -= 1
            stream.finish()
