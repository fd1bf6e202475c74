"""Client of the platform's object store."""

import dataclasses
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
from . import eras
from ..gateway import boot_clock
from ..gateway import settings

PATH = '/marigoldramp/objects'
#: Seconds for one call.  The store answers in milliseconds when it is well
#: and some hundred when it is slow.
CALL_SECONDS = 1.0
#: Seconds after which a silent connection counts as lost; a leaving endpoint
#: must get nothing new within two of its word.
SILENT_SECONDS = 3
MILLISECONDS = 1000.0
JSON = [(b'content-type', b'application/json')]

Reply = api_client.Reply
Failure = api_client.Failure
T = TypeVar('T')


class Metadata(
    msgspec.Struct,
    kw_only=True,
    rename={'name': 'Name', 'revision': 'Revision'},
):
    """What the store adds to an object.

    :ivar revision: the store's counter at the object's last change, in an
        answer that has been taken as a version, see :mod:`.eras`.
    """

    name: str
    revision: int = 0


class Object(
    msgspec.Struct, kw_only=True, rename={'meta': 'Metadata', 'spec': 'Spec'}
):
    """An object; its value is left as it was sent."""

    meta: Metadata
    spec: msgspec.Raw = msgspec.Raw(b'null')


class _Named(msgspec.Struct, kw_only=True, rename={'name': 'Name'}):
    name: str


class _NamedObject(msgspec.Struct, kw_only=True, rename={'meta': 'Metadata'}):
    """What is left of an object that is not as it should be."""

    meta: _Named


class _Page(
    msgspec.Struct,
    kw_only=True,
    rename={'items': 'Items', 'more': 'More', 'revision': 'AtRev'},
):
    items: list[msgspec.Raw]
    more: bool = False
    revision: int = 0


class _Event(
    msgspec.Struct,
    kw_only=True,
    rename={'deleted': 'Deleted', 'changed': 'Object'},
):
    changed: msgspec.Raw
    deleted: bool = False


class _Events(
    msgspec.Struct,
    kw_only=True,
    rename={'events': 'events', 'revision': 'AtRev'},
):
    events: list[_Event]
    revision: int = 0


@dataclasses.dataclass(slots=True, kw_only=True)
class Page:
    """A part of a list.

    :ivar more: it goes on after the last item's name.
    """

    items: list[Object]
    more: bool
    revision: int


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Event:
    """A change of one object."""

    changed: Object
    deleted: bool


@dataclasses.dataclass(slots=True, kw_only=True)
class Events:
    """What a watch has shown, and where the next one goes on."""

    events: list[Event]
    revision: int


class _Written(
    msgspec.Struct, kw_only=True, rename={'meta': 'Metadata', 'spec': 'Spec'}
):
    meta: Metadata
    spec: msgspec.Raw


class Gone(msgspec.Struct, frozen=True):
    """The history after the revision is no longer known."""


class ObjectStore(store.PlatformStore):
    """The platform's store as the product's kind of store."""

    name = 'platform_objects'
    __slots__ = ('_client', '_eras')

    def __init__(self, *, address: settings.Address) -> None:
        # Connections to the store can go silent for good, so none is kept,
        # and probes end a watch that waits on one.
        self._client = api_client.ApiClient(
            address=f'http://{address.host}:{address.port}',
            kept=0,
            options=tcp_streams.probe_options(SILENT_SECONDS),
        )
        self._eras = eras.Eras(clock=boot_clock.read_clock)

    def era(self) -> int:
        return self._eras.current

    def hear_era(self, era: int) -> None:
        self._eras.hear(era)

    def restored_at(self) -> float:
        return self._eras.restored_at

    def on_restore(self, callback: Callable[[], None]) -> None:
        self._eras.on_restore(callback)

    async def read(
        self, *, key: store.Key
    ) -> store.Stored | store.Absent | store.Unavailable:
        reply = await self._call('GET', _object_path(key))
        if isinstance(reply, Reply) and reply.status == 404:
            return store.Absent(key=key)
        found = _decode(reply, Object)
        if isinstance(found, store.Unavailable):
            return found
        return _store(key.kind, self._date(found))

    async def write(
        self, *, key: store.Key, value: bytes, expected: int
    ) -> store.Written | store.Conflict | store.Unavailable | store.Uncertain:
        place = eras.split(expected)
        if expected != store.CREATE and place.era != self._eras.current:
            return store.Conflict(key=key)
        body = msgspec.json.encode(
            _Written(
                meta=Metadata(name=key.name, revision=place.revision),
                spec=msgspec.Raw(value),
            )
        )
        if expected == store.CREATE:
            reply = await self._call('POST', _kind_path(key.kind), body)
            return self._read_change(reply, key)
        reply = await self._call('PUT', _object_path(key), body)
        return self._read_dated_change(reply, key, place)

    async def delete(
        self, *, key: store.Key, expected: int
    ) -> store.Written | store.Conflict | store.Unavailable | store.Uncertain:
        place = eras.split(expected)
        if place.era != self._eras.current:
            return store.Conflict(key=key)
        path = f'{_object_path(key)}?Revision={place.revision}'
        reply = await self._call('DELETE', path)
        return self._read_dated_change(reply, key, place)

    async def list_objects(
        self, *, kind: str
    ) -> store.Listing | store.Unavailable:
        found = await self.list_page_by_page(kind)
        if isinstance(found, store.Unavailable):
            return found
        return store.Listing(
            objects=tuple(_store(kind, item) for item in found.items),
            version=found.revision,
        )

    async def watch(
        self, *, kind: str, after: int, seconds: float
    ) -> store.Listing | store.Unavailable:
        found = await self.follow(kind, after=after, seconds=seconds)
        match found:
            case Gone():
                return store.Unavailable(detail='the history is gone')
            case Events():
                return store.Listing(
                    objects=tuple(
                        _store(kind, event.changed)
                        for event in found.events
                        if not event.deleted
                    ),
                    version=found.revision,
                )
        return found

    async def list_instances(self) -> store.Instances | store.Unavailable:
        return store.Unavailable(detail='the platform has no such list')

    async def close(self) -> None:
        await self._client.close()

    async def list_page_by_page(self, kind: str) -> Page | store.Unavailable:
        """Return all objects of a kind, at the first page's revision.

        A change between two pages is seen again by a watch from there.
        """
        path = _kind_path(kind)
        whole = _read_page(await self._call('GET', path))
        era = self._eras.current
        page = whole
        while isinstance(page, Page) and page.more:
            if not page.items:
                return store.Unavailable(detail='a page names no object')
            last = urllib.parse.quote(page.items[-1].meta.name, safe='')
            reply = await self._call('GET', f'{path}?After={last}')
            page = _read_page(reply)
            if isinstance(page, Page) and isinstance(whole, Page):
                whole.items.extend(page.items)
        if isinstance(page, store.Unavailable):
            return page
        if era != self._eras.current:
            return store.Unavailable(detail='it was restored between pages')
        if isinstance(whole, Page):
            whole.items = [self._date(item) for item in whole.items]
            whole.revision = self._make_version(whole.revision)
        return whole

    async def follow(
        self, kind: str, *, after: int, seconds: float
    ) -> Events | Gone | store.Unavailable:
        """Return what changes after a version.

        A store that was restored meanwhile can have another revision of that
        number, and go on from there.
        """
        place = eras.split(after)
        if place.era != self._eras.current:
            return Gone()
        wait = int(seconds * MILLISECONDS)
        path = f'{_kind_path(kind)}?Watch={place.revision}&WaitMs={wait}'
        reply = await self._call('GET', path, longer=seconds)
        if place.era != self._eras.current:
            return Gone()
        if isinstance(reply, Reply) and reply.status == http.HTTPStatus.GONE:
            return Gone()
        found = _read_events(reply)
        if isinstance(found, Events):
            for event in found.events:
                self._date(event.changed)
            found.revision = self._make_version(found.revision)
        return found

    async def _call(
        self,
        method: str,
        path: str,
        body: bytes = b'',
        *,
        longer: float = 0.0,
    ) -> Reply | Failure:
        found = await self._client.call(
            api_client.Request(
                method=method,
                path=path,
                headers=JSON if body else [],
                body=body,
                seconds=CALL_SECONDS + longer,
            )
        )
        if isinstance(found, Reply):
            detail = self._eras.note(found.headers)
            if detail:
                return Failure(begun=True, detail=detail)
        return found

    def _make_version(self, revision: int) -> int:
        """Return the version of a revision that has just been read."""
        return eras.join(eras.Place(era=self._eras.current, revision=revision))

    def _date(self, found: Object) -> Object:
        """Make the revision of an object that was read its version."""
        found.meta.revision = self._make_version(found.meta.revision)
        return found

    def _read_dated_change(
        self, reply: Reply | Failure, key: store.Key, place: eras.Place
    ) -> store.Written | store.Conflict | store.Unavailable | store.Uncertain:
        """Read what came of a write that expected a revision.

        In a store that was restored meanwhile it has hit another object, if
        any.
        """
        if place.era != self._eras.current:
            return store.Conflict(key=key)
        return self._read_change(reply, key)

    def _read_change(
        self, reply: Reply | Failure, key: store.Key
    ) -> store.Written | store.Conflict | store.Unavailable | store.Uncertain:
        found = _read_change(reply, key)
        if isinstance(found, store.Written):
            return dataclasses.replace(
                found, version=self._make_version(found.version)
            )
        return found


def _kind_path(kind: str) -> str:
    return f'{PATH}/{urllib.parse.quote(kind, safe="")}'


def _object_path(key: store.Key) -> str:
    return f'{_kind_path(key.kind)}/{urllib.parse.quote(key.name, safe="")}'


def _store(kind: str, found: Object) -> store.Stored:
    return store.Stored(
        key=store.Key(kind=kind, name=found.meta.name),
        version=found.meta.revision,
        value=bytes(found.spec),
    )


def _decode(reply: Reply | Failure, shape: type[T]) -> T | store.Unavailable:
    if isinstance(reply, Failure):
        return store.Unavailable(detail=reply.detail)
    if reply.status != http.HTTPStatus.OK:
        return store.Unavailable(detail=f'status {reply.status}')
    try:
        return msgspec.json.decode(_repair(reply.body), type=shape)
    except msgspec.MsgspecError as error:
        return store.Unavailable(detail=f'the answer is broken: {error}')


def _repair(body: bytes) -> bytes:
    """Return text with marks in the place of bytes that are none."""
    return body.decode(errors='replace').encode()


def _read_page(reply: Reply | Failure) -> Page | store.Unavailable:
    found = _decode(reply, _Page)
    if isinstance(found, store.Unavailable):
        return found
    read = [_read_object(raw) for raw in found.items]
    return Page(
        items=[one for one in read if one is not None],
        more=found.more,
        revision=found.revision,
    )


def _read_events(reply: Reply | Failure) -> Events | store.Unavailable:
    found = _decode(reply, _Events)
    if isinstance(found, store.Unavailable):
        return found
    events = []
    for event in found.events:
        changed = _read_object(event.changed)
        if changed is not None:
            events.append(Event(changed=changed, deleted=event.deleted))
    return Events(events=events, revision=found.revision)


def _read_object(raw: msgspec.Raw) -> Object | None:
    """Return an object; without its value if that is all that can be read.

    Objects may come from other writers.  One that is not as it should be
    must not hide the others of its page, seen as endpoints that all entries
    stop using at once.
    """
    try:
        return msgspec.json.decode(raw, type=Object)
    except msgspec.MsgspecError as error:
        logging.warning(
            'object not understood', extra=logs.fields(detail=str(error))
        )
    try:
        named = msgspec.json.decode(raw, type=_NamedObject)
    except msgspec.MsgspecError:
        # Nothing names what it is of; the line above tells of it.
        return None
    return Object(meta=Metadata(name=named.meta.name))


def _read_change(
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
        except msgspec.MsgspecError as error:
            return store.Uncertain(detail=f'the answer is broken: {error}')
        return store.Written(key=key, version=found.meta.revision)
    if reply.status >= 500 and reply.status != 503:
        return store.Uncertain(detail=f'status {reply.status}')
    return store.Unavailable(detail=f'status {reply.status}')
