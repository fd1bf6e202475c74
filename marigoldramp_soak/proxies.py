"""Loopback proxies that delay, reset and silence connections."""

import contextlib

import anyio
import httpcore

from marigoldramp.gateway import listeners
from marigoldramp import tcp_streams

from . import objects

READ_BYTES = 65536


class Proxy:
    """Passes TCP on to a port, as a test's network would.

    :ivar delay: seconds by which each piece is late.
    :ivar silent: pieces on connections that are open now get lost for good.
    :ivar refuses: new connections are closed at once.
    """

    def __init__(self, *, host, target):
        self.host = host
        self.target = target
        self.port = 0
        self.delay = 0.0
        self.refuses = False
        self._open = set()
        self._silent = set()
        self._listener = None

    async def listen(self, tasks):
        """Begin to take connections, again on the same port after an end."""
        self.refuses = False
        self._listener = listeners.Listener(
            serve=self._handle, connections=objects.make_connections()
        )
        self.port = await self._listener.listen(
            host=self.host, port=self.port, tasks=tasks
        )

    def close(self):
        """End as a process does: the port and all connections close."""
        self.refuses = True
        self._listener.close()
        self.reset()

    def reset(self):
        """Break all open connections."""
        for scope in list(self._open):
            scope.cancel()

    def silence(self):
        """Lose whatever is sent on the connections that are open now."""
        self._silent.update(self._open)

    async def _handle(self, stream, _):
        with anyio.CancelScope() as scope:
            self._open.add(scope)
            try:
                if not self.refuses:
                    await self._join(stream, scope)
            finally:
                stream.abort()
                self._open.discard(scope)
                self._silent.discard(scope)

    async def _join(self, stream, scope):
        try:
            other = await tcp_streams.connect(host=self.host, port=self.target)
        except OSError:
            return
        try:
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(self._pass, stream, other, scope)
                tasks.start_soon(self._pass, other, stream, scope)
        finally:
            other.abort()

    async def _pass(self, source, target, scope):
        with contextlib.suppress(httpcore.NetworkError):
            while data := await source.read(READ_BYTES):
                if self.delay:
                    await anyio.sleep(self.delay)
                if scope not in self._silent:
                    await target.write(data)
        target.finish()
        scope.cancel()
