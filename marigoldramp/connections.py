"""HTTP/1.1 connections that we open ourselves, one at a time or pooled.

Opening is a step apart from sending, so that a refused connection proves
that nothing was sent.  A pool belongs to one peer; a caller can ask for a
new connection, because old ones can go silent for good while new ones work.
"""

import dataclasses
from typing import Iterable

import anyio
import httpcore

from . import tcp_streams

READ_CHUNK = 65536
#: Seconds after which an idle connection is not used again.
IDLE_SECONDS = 30.0

#: What a connection can raise once a request has been begun on it.
LOST = (
    httpcore.NetworkError,
    httpcore.ProtocolError,
    httpcore.TimeoutException,
)


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Unreached:
    """The connection could not be opened, so nothing was sent."""

    detail: str


def explain(error: Exception) -> str:
    """Return a short text for a network error."""
    name = type(error).__name__
    return f'{name}: {error}' if str(error) else name


async def connect(
    *, host: str, port: int, seconds: float
) -> httpcore.AsyncHTTP11Connection | Unreached:
    """Open a connection within a time."""
    try:
        with anyio.fail_after(seconds):
            stream = await tcp_streams.connect(host=host, port=port)
    except OSError as error:  # TimeoutError is one of them
        return Unreached(detail=explain(error))
    return httpcore.AsyncHTTP11Connection(
        origin=httpcore.Origin(b'http', host.encode(), port),
        stream=stream,
        keepalive_expiry=IDLE_SECONDS,
    )


def build(
    *,
    host: str,
    port: int,
    method: str,
    target: bytes,
    headers: Iterable[tuple[bytes, bytes]],
    body: bytes,
) -> httpcore.Request:
    """Return a request whose body is at hand."""
    head = [pair for pair in headers if pair[0] != b'content-length']
    head.append((b'host', f'{host}:{port}'.encode()))
    if body or method not in ('GET', 'HEAD'):
        head.append((b'content-length', str(len(body)).encode()))
    return httpcore.Request(
        method=method,
        url=httpcore.URL(
            scheme=b'http', host=host.encode(), port=port, target=target
        ),
        headers=head,
        content=body,
    )


def lower(headers: Iterable[tuple[bytes, bytes]]) -> list[tuple[bytes, bytes]]:
    """Return headers with lower-case names."""
    return [(key.lower(), value) for key, value in headers]


class Pool:
    """Connections to one peer.

    :param most_idle: connections that are kept for reuse.
    """

    __slots__ = ('host', 'port', '_most_idle', '_idle')

    def __init__(self, *, host: str, port: int, most_idle: int) -> None:
        self.host = host
        self.port = port
        self._most_idle = most_idle
        self._idle: list[httpcore.AsyncHTTP11Connection] = []

    async def take(
        self, *, fresh: bool, seconds: float
    ) -> httpcore.AsyncHTTP11Connection | Unreached:
        """Return an idle connection, or a new one.

        :param fresh: the caller distrusts the connections that are open.
        """
        while self._idle and not fresh:
            connection = self._idle.pop()
            if connection.is_idle() and not connection.has_expired():
                return connection
            await connection.aclose()
        return await connect(host=self.host, port=self.port, seconds=seconds)

    async def give_back(
        self, connection: httpcore.AsyncHTTP11Connection
    ) -> None:
        """Keep a connection whose answer was read to its end; else close.

        An answer that was abandoned half read would be taken for the next
        caller's, so such a connection is never used again.
        """
        if connection.is_idle() and len(self._idle) < self._most_idle:
            self._idle.append(connection)
        else:
            await connection.aclose()

    async def clear(self) -> None:
        """Close the idle connections, as they may have gone silent."""
        idle, self._idle = self._idle, []
        for connection in idle:
            await connection.aclose()
