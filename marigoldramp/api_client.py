"""Calls to an object API over HTTP, with a bound on time and size.

The reply to a call can be lost after the call took effect, so a failure says
whether the request had begun to go out.
"""

import contextlib
from typing import Any
from typing import Callable
from typing import Iterable

import anyio
import httpcore
import msgspec

MOST_CONNECTIONS = 8
KEEP_ALIVE_SECONDS = 30.0
#: Bound of one answer, so that a broken platform cannot fill the memory.
LONGEST_ANSWER = 16 * 1024 * 1024
REQUEST_BEGUN = 'http11.send_request_headers.started'

Headers = list[tuple[bytes, bytes]]
Limit = Callable[[float], contextlib.AbstractContextManager[object]]


class Request(msgspec.Struct, frozen=True, kw_only=True):
    """One call.

    :ivar seconds: within which the whole answer must have come.
    """

    method: str
    path: str
    headers: Headers = msgspec.field(default_factory=list)
    body: bytes = b''
    seconds: float


class Reply(msgspec.Struct, frozen=True, kw_only=True):
    """A whole answer."""

    status: int
    headers: Headers
    body: bytes


class Failure(msgspec.Struct, frozen=True, kw_only=True):
    """No whole answer came.

    :ivar begun: the platform may have seen the request.
    """

    begun: bool
    detail: str


class _Progress:
    """Notes whether a request has begun to go out."""

    __slots__ = ('begun',)

    def __init__(self) -> None:
        self.begun = False

    async def trace(self, event: str, info: Any) -> None:
        """Take one event of ``httpcore``."""
        if event == REQUEST_BEGUN:
            self.begun = True


class ApiClient:
    """Makes calls over a bounded number of connections.

    :param address: scheme, host and port.
    :param options: of the sockets.
    :param connect_seconds: within which a connection must be open.
    :param kept: idle connections that are kept.  With 0 each call has a new
        one, which a connection that has gone silent cannot delay.
    :param limit: gives a context that raises ``TimeoutError`` after a number
        of seconds; tests pass one that they end themselves.
    """

    __slots__ = ('_address', '_connect_seconds', '_limit', '_pool')

    def __init__(
        self,
        *,
        address: str,
        kept: int = MOST_CONNECTIONS,
        options: Iterable[tuple[int, int, int]] = (),
        connect_seconds: float = float('inf'),
        limit: Limit = anyio.fail_after,
    ) -> None:
        self._connect_seconds = connect_seconds
        self._address = address.rstrip('/')
        self._limit = limit
        self._pool = httpcore.AsyncConnectionPool(
            max_connections=MOST_CONNECTIONS,
            max_keepalive_connections=kept,
            keepalive_expiry=KEEP_ALIVE_SECONDS,
            socket_options=list(options),
        )

    async def call(self, request: Request) -> Reply | Failure:
        """Make a call."""
        progress = _Progress()
        try:
            # The transport's timeouts count each step anew; a platform that
            # sends a byte now and then would hold the caller for ever.
            with self._limit(request.seconds):
                return await self._exchange(request, progress)
        except TimeoutError:
            detail = f'no answer within {request.seconds:g} s'
        except (
            httpcore.NetworkError,
            httpcore.ProtocolError,
            httpcore.TimeoutException,
        ) as error:
            detail = f'{type(error).__name__}: {error}'
        return Failure(begun=progress.begun, detail=detail)

    async def close(self) -> None:
        """Close all connections."""
        await self._pool.aclose()

    async def _exchange(
        self, request: Request, progress: _Progress
    ) -> Reply | Failure:
        timeouts = dict.fromkeys(
            ('connect', 'read', 'write', 'pool'), request.seconds
        )
        timeouts['connect'] = min(request.seconds, self._connect_seconds)
        async with self._pool.stream(
            request.method,
            self._address + request.path,
            headers=[
                *request.headers,
                (b'content-length', str(len(request.body)).encode()),
            ],
            content=request.body,
            extensions={'timeout': timeouts, 'trace': progress.trace},
        ) as response:
            body = bytearray()
            async for chunk in response.aiter_stream():
                body += chunk
                if len(body) > LONGEST_ANSWER:
                    return Failure(begun=True, detail='the answer is endless')
            return Reply(
                status=response.status,
                headers=list(response.headers),
                body=bytes(body),
            )
