"""Client of the platform's object store."""

import http
from typing import Callable
from typing import TypeVar
import urllib.parse

from absl import logging
import msgspec

from .. import api_client
from .. import logs
from .. import store
from .. import tcp_streams
from . import broken_json
from . import eras
from ..gateway import boot_clock
from ..gateway import settings

OBJECTS_PATH = '/marigoldramp/objects'
#: The store responds within milliseconds, or a few hundred when it is slow.
MAX_CALL_SECONDS = 1.0
#: Limit of the time to open a connection, also for a watch.  The system sends
#: a lost opening packet again after 1 s, and then after ever longer pauses.
MAX_CONNECT_SECONDS = 1.5
#: A connection counts as lost if the store acknowledges no TCP probe for this
#: long.  Short, as an endpoint must get no new request later than 2 s after
#: it reports that it is leaving.
MAX_SILENCE_SECONDS = 3
MILLISECONDS_PER_SECOND = 1000.0
#: What decoding raises for malformed and for too deeply nested documents.
DECODE_ERRORS = (msgspec.MsgspecError, RecursionError)
JSON_HEADERS = [(b'content-type', b'application/json')]

Reply = api_client.Reply
Failure = api_client.Failure
T = TypeVar('T')


class Metadata(
    msgspec.Struct,
    kw_only=True,
    rename={'name': 'Name', 'revision': 'Revision'},
):
    """Name and revision of an object.

    :ivar revision: the store's change counter at the object's last change.
        After decoding, :class:`ObjectStore` replaces it by a version, which
        includes the store's era; see :mod:`.eras`.
    """

    name: str
    revision: int = 0


class Object(
    msgspec.Struct, kw_only=True, rename={'meta': 'Metadata', 'spec': 'Spec'}
):
    """An object of the store; its value is not decoded."""

    meta: Metadata
    spec: msgspec.Raw = msgspec.Raw(b'null')


class _NameMetadata(msgspec.Struct, kw_only=True, rename={'name': 'Name'}):
    name: str


class _NameOnlyObject(
    msgspec.Struct, kw_only=True, rename={'meta': 'Metadata'}
):
    """The name of an object whose other fields cannot be decoded."""

    meta: _NameMetadata


class _PageResponse(
    msgspec.Struct,
    kw_only=True,
    rename={'items': 'Items', 'more': 'More', 'revision': 'AtRev'},
):
    items: list[msgspec.Raw]
    more: bool = False
    revision: int = 0


class _EventResponse(
    msgspec.Struct,
    kw_only=True,
    rename={'deleted': 'Deleted', 'changed': 'Object'},
):
    changed: msgspec.Raw
    deleted: bool = False


class _EventsResponse(
    msgspec.Struct,
    kw_only=True,
    rename={'events': 'events', 'revision': 'AtRev'},
):
    events: list[_EventResponse]
    revision: int = 0


class Page(msgspec.Struct, kw_only=True):
    """One page of a list.

    :ivar more: another page follows; it starts after the last item's name.
    """

    items: list[Object]
    more: bool
    revision: int


class Event(msgspec.Struct, frozen=True, kw_only=True):
    """A change to an object, or its deletion."""

    changed: Object
    deleted: bool


class Events(msgspec.Struct, kw_only=True):
    """Changes that a watch returned.

    :ivar revision: version from which the next watch continues.
    """

    events: list[Event]
    revision: int


class _WriteRequest(
    msgspec.Struct, kw_only=True, rename={'meta': 'Metadata', 'spec': 'Spec'}
):
    meta: Metadata
    spec: msgspec.Raw


class HistoryGone(msgspec.Struct, frozen=True):
    """The store cannot return the changes since the requested version."""


class ObjectStore(store.PlatformStore):
    """Reads, writes and watches objects in the platform's store.

    A version that it returns combines a revision with the store's era, see
    :mod:`.eras`.
    """

    name = 'platform_objects'
    __slots__ = ('_client', '_era_tracker')

    def __init__(self, *, address: settings.Address) -> None:
        # A connection to the store can stop delivering data for good without
        # being closed.  So none is reused, and TCP probes end a watch whose
        # connection is dead.
        self._client = api_client.ApiClient(
            address=f'http://{address.host}:{address.port}',
            kept=0,
            connect_seconds=MAX_CONNECT_SECONDS,
            options=tcp_streams.probe_options(MAX_SILENCE_SECONDS),
        )
        self._era_tracker = eras.EraTracker(clock=boot_clock.read_clock)

    def era(self) -> int:
        return self._era_tracker.current

    def hear_era(self, era: int) -> None:
        self._era_tracker.observe(era)

    def restored_at(self) -> float:
        return self._era_tracker.restored_at

    def on_restore(self, callback: Callable[[], None]) -> None:
        self._era_tracker.on_restore(callback)

    async def read(
        self, *, key: store.Key
    ) -> store.Stored | store.Absent | store.Unavailable:
        reply = await self._call('GET', _object_path(key))
        if isinstance(reply, Reply) and reply.status == 404:
            return store.Absent(key=key)
        found = _decode(reply, Object)
        if isinstance(found, store.Unavailable):
            return found
        return _make_stored(key.kind, self._set_version(found))

    async def write(
        self, *, key: store.Key, value: bytes, expected: int
    ) -> store.Written | store.Conflict | store.Unavailable | store.Uncertain:
        era_revision = eras.split_version(expected)
        if (
            expected != store.CREATE
            and era_revision.era != self._era_tracker.current
        ):
            return store.Conflict(key=key)
        body = msgspec.json.encode(
            _WriteRequest(
                meta=Metadata(name=key.name, revision=era_revision.revision),
                spec=msgspec.Raw(value),
            )
        )
        if expected == store.CREATE:
            reply = await self._call('POST', _kind_path(key.kind), body)
            return self._parse_write(reply, key)
        reply = await self._call('PUT', _object_path(key), body)
        return self._parse_conditional_write(reply, key, era_revision)

    async def delete(
        self, *, key: store.Key, expected: int
    ) -> store.Written | store.Conflict | store.Unavailable | store.Uncertain:
        era_revision = eras.split_version(expected)
        if era_revision.era != self._era_tracker.current:
            return store.Conflict(key=key)
        path = f'{_object_path(key)}?Revision={era_revision.revision}'
        reply = await self._call('DELETE', path)
        return self._parse_conditional_write(reply, key, era_revision)

    async def list_objects(
        self, *, kind: str
    ) -> store.Listing | store.Unavailable:
        found = await self.list_all_pages(kind)
        if isinstance(found, store.Unavailable):
            return found
        return store.Listing(
            objects=tuple(_make_stored(kind, item) for item in found.items),
            version=found.revision,
        )

    async def watch(
        self, *, kind: str, after: int, seconds: float
    ) -> store.Listing | store.Unavailable:
        found = await self.watch_events(kind, after=after, seconds=seconds)
        match found:
            case HistoryGone():
                return store.Unavailable(detail='change history is gone')
            case Events():
                return store.Listing(
                    objects=tuple(
                        _make_stored(kind, event.changed)
                        for event in found.events
                        if not event.deleted
                    ),
                    version=found.revision,
                )
        return found

    async def list_instances(self) -> store.Instances | store.Unavailable:
        return store.Unavailable(detail='platform has no instance list')

    async def close(self) -> None:
        await self._client.close()

    async def list_all_pages(self, kind: str) -> Page | store.Unavailable:
        """Return all objects of a kind, and the version of the first page.

        A watch from that version also returns what changed between pages.
        """
        path = _kind_path(kind)
        listing = _parse_page(await self._call('GET', path))
        era = self._era_tracker.current
        page = listing
        while isinstance(page, Page) and page.more:
            if not page.items:
                return store.Unavailable(detail='page without an object name')
            last = urllib.parse.quote(page.items[-1].meta.name, safe='')
            reply = await self._call('GET', f'{path}?After={last}')
            page = _parse_page(reply)
            if isinstance(page, Page) and isinstance(listing, Page):
                listing.items.extend(page.items)
        if isinstance(page, store.Unavailable):
            return page
        if era != self._era_tracker.current:
            return store.Unavailable(detail='store restored between pages')
        if isinstance(listing, Page):
            listing.items = [self._set_version(item) for item in listing.items]
            listing.revision = self._make_version(listing.revision)
        return listing

    async def watch_events(
        self, kind: str, *, after: int, seconds: float
    ) -> Events | HistoryGone | store.Unavailable:
        """Return the changes after a version.

        Returns ``HistoryGone`` if the store has been restored since: it can
        have reused the revision, and would return unrelated changes.
        """
        era_revision = eras.split_version(after)
        if era_revision.era != self._era_tracker.current:
            return HistoryGone()
        wait_ms = int(seconds * MILLISECONDS_PER_SECOND)
        path = (
            f'{_kind_path(kind)}'
            f'?Watch={era_revision.revision}&WaitMs={wait_ms}'
        )
        reply = await self._call('GET', path, extra_seconds=seconds)
        if era_revision.era != self._era_tracker.current:
            return HistoryGone()
        if isinstance(reply, Reply) and reply.status == http.HTTPStatus.GONE:
            return HistoryGone()
        found = _parse_events(reply)
        if isinstance(found, Events):
            for event in found.events:
                self._set_version(event.changed)
            found.revision = self._make_version(found.revision)
        return found

    async def _call(
        self,
        method: str,
        path: str,
        body: bytes = b'',
        *,
        extra_seconds: float = 0.0,
    ) -> Reply | Failure:
        found = await self._client.call(
            api_client.Request(
                method=method,
                path=path,
                headers=JSON_HEADERS if body else [],
                body=body,
                seconds=MAX_CALL_SECONDS + extra_seconds,
            )
        )
        if isinstance(found, Reply):
            detail = self._era_tracker.check_headers(found.headers)
            if detail:
                return Failure(begun=True, detail=detail)
        return found

    def _make_version(self, revision: int) -> int:
        """Return the version of a revision in the current era."""
        return eras.make_version(
            eras.EraRevision(era=self._era_tracker.current, revision=revision)
        )

    def _set_version(self, found: Object) -> Object:
        """Replace the revision of a decoded object by its version."""
        found.meta.revision = self._make_version(found.meta.revision)
        return found

    def _parse_conditional_write(
        self,
        reply: Reply | Failure,
        key: store.Key,
        era_revision: eras.EraRevision,
    ) -> store.Written | store.Conflict | store.Unavailable | store.Uncertain:
        """Return the result of a write that expected a revision.

        Returns a conflict if the store was restored meanwhile.  If the write
        took effect, it changed an unrelated object with that revision.
        """
        if era_revision.era != self._era_tracker.current:
            return store.Conflict(key=key)
        return self._parse_write(reply, key)

    def _parse_write(
        self, reply: Reply | Failure, key: store.Key
    ) -> store.Written | store.Conflict | store.Unavailable | store.Uncertain:
        found = _parse_write_reply(reply, key)
        if isinstance(found, store.Written):
            return msgspec.structs.replace(
                found, version=self._make_version(found.version)
            )
        return found


def _kind_path(kind: str) -> str:
    return f'{OBJECTS_PATH}/{urllib.parse.quote(kind, safe="")}'


def _object_path(key: store.Key) -> str:
    return f'{_kind_path(key.kind)}/{urllib.parse.quote(key.name, safe="")}'


def _make_stored(kind: str, found: Object) -> store.Stored:
    return store.Stored(
        key=store.Key(kind=kind, name=found.meta.name),
        version=found.meta.revision,
        value=bytes(found.spec),
    )


def _decode(
    reply: Reply | Failure, expected_type: type[T]
) -> T | store.Unavailable:
    if isinstance(reply, Failure):
        return store.Unavailable(detail=reply.detail)
    if reply.status != http.HTTPStatus.OK:
        return store.Unavailable(detail=f'status {reply.status}')
    body = _replace_invalid_utf8(reply.body)
    try:
        return msgspec.json.decode(body, type=expected_type)
    except DECODE_ERRORS as error:
        return store.Unavailable(detail=f'malformed response: {error}')


def _decode_page(
    reply: Reply | Failure, expected_type: type[T], *, array: str
) -> T | store.Unavailable:
    """Decode a response with an array of objects, of which some are damaged.

    :param array: name of the array.  Elements that cannot be read at all are
        left out.
    """
    found = _decode(reply, expected_type)
    if isinstance(reply, Failure) or not isinstance(found, store.Unavailable):
        return found
    body = broken_json.replace_lone_surrogates(
        _replace_invalid_utf8(reply.body)
    )
    split = broken_json.split_array(body, name=array)
    if split is None:
        return found
    readable = split.join(one for one in split.items if _is_readable(one))
    return _decode(
        msgspec.structs.replace(reply, body=readable), expected_type
    )


def _is_readable(item: bytes) -> bool:
    try:
        msgspec.json.decode(item, type=msgspec.Raw)
    except DECODE_ERRORS as error:
        logging.warning(
            'object not understood', extra=logs.fields(detail=str(error))
        )
        return False
    return True


def _replace_invalid_utf8(body: bytes) -> bytes:
    """Replace bytes that are not UTF-8 by replacement characters."""
    return body.decode(errors='replace').encode()


def _parse_page(reply: Reply | Failure) -> Page | store.Unavailable:
    found = _decode_page(reply, _PageResponse, array='Items')
    if isinstance(found, store.Unavailable):
        return found
    items = [_parse_object(raw) for raw in found.items]
    return Page(
        items=[one for one in items if one is not None],
        more=found.more,
        revision=found.revision,
    )


def _parse_events(reply: Reply | Failure) -> Events | store.Unavailable:
    found = _decode_page(reply, _EventsResponse, array='events')
    if isinstance(found, store.Unavailable):
        return found
    events = []
    for event in found.events:
        changed = _parse_object(event.changed)
        if changed is not None:
            events.append(Event(changed=changed, deleted=event.deleted))
    return Events(events=events, revision=found.revision)


def _parse_object(raw: msgspec.Raw) -> Object | None:
    """Return an object, reduced to its name if the rest is malformed.

    Returns ``None`` if the name is malformed too.  Other programs may write
    objects too.  A malformed one must not make its whole page fail: all
    gateways would stop using all endpoints at once.
    """
    try:
        return msgspec.json.decode(raw, type=Object)
    except DECODE_ERRORS as error:
        logging.warning(
            'object not understood', extra=logs.fields(detail=str(error))
        )
    try:
        named = msgspec.json.decode(raw, type=_NameOnlyObject)
    except DECODE_ERRORS:
        # Without a name it can only be skipped; it is logged above.
        return None
    return Object(meta=Metadata(name=named.meta.name))


def _parse_write_reply(
    reply: Reply | Failure, key: store.Key
) -> store.Written | store.Conflict | store.Unavailable | store.Uncertain:
    if isinstance(reply, Failure):
        if reply.begun:
            return store.Uncertain(detail=reply.detail)
        return store.Unavailable(detail=reply.detail)
    if reply.status in (http.HTTPStatus.CONFLICT, http.HTTPStatus.NOT_FOUND):
        return store.Conflict(key=key)
    if reply.status in (http.HTTPStatus.OK, http.HTTPStatus.CREATED):
        try:
            found = msgspec.json.decode(reply.body, type=Object)
        except DECODE_ERRORS as error:
            return store.Uncertain(detail=f'malformed response: {error}')
        return store.Written(key=key, version=found.meta.revision)
    if reply.status >= 500 and reply.status != 503:
        return store.Uncertain(detail=f'status {reply.status}')
    return store.Unavailable(detail=f'status {reply.status}')
