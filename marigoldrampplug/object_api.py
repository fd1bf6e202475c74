"""Platform store that speaks HTTP to the platform's object API.

The reply to a write can be lost after the write took effect.  Whatever goes
wrong once a write's request has begun is therefore ``Uncertain``; before
that, and for reads, nothing can have changed and it is ``Unavailable``.
"""

import contextlib
import dataclasses
import http
from typing import Any
from typing import Callable
from typing import TypeVar
import urllib.parse

import anyio
import httpcore
import msgspec

from marigoldramp import settings as process_settings
from marigoldramp import store

MOST_CONNECTIONS = 8
KEEP_ALIVE_SECONDS = 30.0
#: Bound of one answer, so that a broken platform cannot fill the memory.
LONGEST_ANSWER = 16 * 1024 * 1024
REQUEST_BEGUN = 'http11.send_request_headers.started'

Headers = list[tuple[bytes, bytes]]
Limit = Callable[[float], contextlib.AbstractContextManager[object]]
T = TypeVar('T')


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class _Request:
    """One call of the API."""

    method: str
    path: str
    headers: Headers = dataclasses.field(default_factory=list)
    body: bytes = b''
    seconds: float


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class _Reply:
    """A whole answer."""

    status: int
    version: int
    body: bytes


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class _Failure:
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


class ObjectApi(store.PlatformStore):
    """Client of the object API with a bounded number of connections.

    :param limit: gives a context that raises ``TimeoutError`` after a number
        of seconds; tests pass one that they end themselves.
    """

    __slots__ = ('_address', '_timeout', '_limit', '_pool')

    def __init__(
        self,
        *,
        settings: process_settings.Platform,
        limit: Limit = anyio.fail_after,
    ) -> None:
        self._address = settings.address.rstrip('/')
        self._timeout = settings.timeout
        self._limit = limit
        self._pool = httpcore.AsyncConnectionPool(
            max_connections=MOST_CONNECTIONS,
            max_keepalive_connections=MOST_CONNECTIONS,
            keepalive_expiry=KEEP_ALIVE_SECONDS,
        )

    async def read(
        self, *, key: store.Key
    ) -> store.Stored | store.Absent | store.Unavailable:
        """Read one object."""
        match await self._call('GET', _object_path(key)):
            case _Reply(status=http.HTTPStatus.OK) as reply if reply.version:
                return store.Stored(
                    key=key, version=reply.version, value=reply.body
                )
            case _Reply(status=http.HTTPStatus.NOT_FOUND):
                return store.Absent(key=key)
            case other:
                return _unavailable(other)

    async def write(
        self, *, key: store.Key, value: bytes, expected: int
    ) -> store.Written | store.Conflict | store.Unavailable | store.Uncertain:
        """Write if the object is at version ``expected`` (or ``CREATE``)."""
        if expected == store.CREATE:
            condition = (b'if-none-match', b'*')
        else:
            condition = (b'if-match', _quote_version(expected))
        return await self._change('PUT', key, condition, value)

    async def delete(
        self, *, key: store.Key, expected: int
    ) -> store.Written | store.Conflict | store.Unavailable | store.Uncertain:
        """Delete the object if it is at version ``expected``."""
        condition = (b'if-match', _quote_version(expected))
        return await self._change('DELETE', key, condition, b'')

    async def list_objects(
        self, *, kind: str
    ) -> store.Listing | store.Unavailable:
        """List the objects of a kind."""
        reply = await self._call('GET', f'/objects/{_quote(kind)}')
        return _decode(reply, store.Listing)

    async def watch(
        self, *, kind: str, after: int, seconds: float
    ) -> store.Listing | store.Unavailable:
        """Wait until an object of the kind is newer than ``after``."""
        query = urllib.parse.urlencode({'after': after, 'seconds': seconds})
        reply = await self._call(
            'GET', f'/watch/{_quote(kind)}?{query}', longer=seconds
        )
        return _decode(reply, store.Listing)

    async def list_instances(self) -> store.Instances | store.Unavailable:
        """Return the instance list."""
        reply = await self._call('GET', '/instances')
        return _decode(reply, store.Instances)

    async def close(self) -> None:
        """Close all connections."""
        await self._pool.aclose()

    async def _change(
        self,
        method: str,
        key: store.Key,
        condition: tuple[bytes, bytes],
        value: bytes,
    ) -> store.Written | store.Conflict | store.Unavailable | store.Uncertain:
        reply = await self._call(
            method, _object_path(key), headers=[condition], body=value
        )
        match reply:
            case _Failure(begun=True):
                return store.Uncertain(detail=reply.detail)
            case _Failure():
                return store.Unavailable(detail=reply.detail)
            case _Reply(status=http.HTTPStatus.PRECONDITION_FAILED):
                return store.Conflict(key=key)
            case _Reply(
                status=http.HTTPStatus.OK | http.HTTPStatus.CREATED
            ) if reply.version:
                return store.Written(key=key, version=reply.version)
            case _ if _has_refused(reply.status):
                return store.Unavailable(detail=f'status {reply.status}')
        return store.Uncertain(detail=f'status {reply.status}')

    async def _call(
        self,
        method: str,
        path: str,
        *,
        headers: Headers | None = None,
        body: bytes = b'',
        longer: float = 0.0,
    ) -> _Reply | _Failure:
        request = _Request(
            method=method,
            path=path,
            headers=headers or [],
            body=body,
            seconds=self._timeout + longer,
        )
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
        return _Failure(begun=progress.begun, detail=detail)

    async def _exchange(
        self, request: _Request, progress: _Progress
    ) -> _Reply | _Failure:
        timeouts = dict.fromkeys(
            ('connect', 'read', 'write', 'pool'), request.seconds
        )
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
                    return _Failure(begun=True, detail='the answer is endless')
            return _Reply(
                status=response.status,
                version=_read_version(response.headers),
                body=bytes(body),
            )


def _quote(text: str) -> str:
    return urllib.parse.quote(text, safe='')


def _object_path(key: store.Key) -> str:
    return f'/objects/{_quote(key.kind)}/{_quote(key.name)}'


def _quote_version(version: int) -> bytes:
    return b'"%d"' % version


def _read_version(headers: Headers) -> int:
    """Return the version in the entity tag, 0 if there is none."""
    for name, value in headers:
        if name.lower() == b'etag':
            text = value.strip(b'"')
            return int(text) if text.isdigit() else 0
    return 0


def _has_refused(status: int) -> bool:
    """Tell whether a status says for certain that nothing changed."""
    if status == http.HTTPStatus.SERVICE_UNAVAILABLE:
        return True
    return 400 <= status < 500


def _unavailable(reply: _Reply | _Failure) -> store.Unavailable:
    if isinstance(reply, _Failure):
        return store.Unavailable(detail=reply.detail)
    return store.Unavailable(detail=f'status {reply.status}')


def _decode(reply: _Reply | _Failure, shape: type[T]) -> T | store.Unavailable:
    if not isinstance(reply, _Reply) or reply.status != http.HTTPStatus.OK:
        return _unavailable(reply)
    try:
        return msgspec.json.decode(reply.body, type=shape)
    except msgspec.MsgspecError as error:
        return store.Unavailable(detail=f'the answer is broken: {error}')
