"""Platform store that speaks HTTP to the platform's object API.

The reply to a write can be lost after the write took effect.  Whatever goes
wrong once a write's request has begun is therefore ``Uncertain``; before
that, and for reads, nothing can have changed and it is ``Unavailable``.
"""

import http
from typing import TypeVar
import urllib.parse

import anyio
import msgspec

from marigoldramp import api_client
from marigoldramp import settings as process_settings
from marigoldramp import store

Reply = api_client.Reply
Failure = api_client.Failure
T = TypeVar('T')


class ObjectApi(store.PlatformStore):
    """Client of the object API.

    :param limit: see :class:`marigoldramp.api_client.ApiClient`.
    """

    __slots__ = ('_timeout', '_client')

    def __init__(
        self,
        *,
        settings: process_settings.Platform,
        limit: api_client.Limit = anyio.fail_after,
    ) -> None:
        self._timeout = settings.timeout
        self._client = api_client.ApiClient(
            address=settings.address, limit=limit
        )

    async def read(
        self, *, key: store.Key
    ) -> store.Stored | store.Absent | store.Unavailable:
        """Read one object."""
        match await self._call('GET', _object_path(key)):
            case Reply(status=http.HTTPStatus.OK) as reply if _version(reply):
                return store.Stored(
                    key=key, version=_version(reply), value=reply.body
                )
            case Reply(status=http.HTTPStatus.NOT_FOUND):
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
        await self._client.close()

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
            case Failure(begun=True):
                return store.Uncertain(detail=reply.detail)
            case Failure():
                return store.Unavailable(detail=reply.detail)
            case Reply(status=http.HTTPStatus.PRECONDITION_FAILED):
                return store.Conflict(key=key)
            case Reply(
                status=http.HTTPStatus.OK | http.HTTPStatus.CREATED
            ) if _version(reply):
                return store.Written(key=key, version=_version(reply))
            case _ if _has_refused(reply.status):
                return store.Unavailable(detail=f'status {reply.status}')
        return store.Uncertain(detail=f'status {reply.status}')

    async def _call(
        self,
        method: str,
        path: str,
        *,
        headers: api_client.Headers | None = None,
        body: bytes = b'',
        longer: float = 0.0,
    ) -> Reply | Failure:
        return await self._client.call(
            api_client.Request(
                method=method,
                path=path,
                headers=headers or [],
                body=body,
                seconds=self._timeout + longer,
            )
        )


def _quote(text: str) -> str:
    return urllib.parse.quote(text, safe='')


def _object_path(key: store.Key) -> str:
    return f'/objects/{_quote(key.kind)}/{_quote(key.name)}'


def _quote_version(version: int) -> bytes:
    return b'"%d"' % version


def _version(reply: Reply) -> int:
    """Return the version in the entity tag, 0 if there is none."""
    for name, value in reply.headers:
        if name.lower() == b'etag':
            text = value.strip(b'"')
            return int(text) if text.isdigit() else 0
    return 0


def _has_refused(status: int) -> bool:
    """Tell whether a status says for certain that nothing changed."""
    if status == http.HTTPStatus.SERVICE_UNAVAILABLE:
        return True
    return 400 <= status < 500


def _unavailable(reply: Reply | Failure) -> store.Unavailable:
    if isinstance(reply, Failure):
        return store.Unavailable(detail=reply.detail)
    return store.Unavailable(detail=f'status {reply.status}')


def _decode(reply: Reply | Failure, shape: type[T]) -> T | store.Unavailable:
    if not isinstance(reply, Reply) or reply.status != http.HTTPStatus.OK:
        return _unavailable(reply)
    try:
        return msgspec.json.decode(reply.body, type=shape)
    except msgspec.MsgspecError as error:
        return store.Unavailable(detail=f'the answer is broken: {error}')
