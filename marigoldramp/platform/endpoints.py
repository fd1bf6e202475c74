"""Endpoints as they register in the platform's store."""

from absl import logging
import msgspec

from .. import logs
from .. import store
from ..gateway import deployment
from ..gateway import listings
from . import objects
from . import settings_file

KIND = 'servers'
_READY = 'ready'
_DRAINING = 'draining'


class _Server(
    msgspec.Struct,
    kw_only=True,
    rename={
        'service': 'Service',
        'address': 'Address',
        'data_centre': 'Zone',
        'slots': 'Slots',
        'state': 'State',
    },
):
    """An endpoint; the object's name is its identity.

    :ivar born: Unix millisecond of its start.
    """

    service: str
    address: str
    data_centre: str
    slots: int
    state: str
    born: int = 0


class Source(listings.EndpointSource):
    """The kind of objects as which endpoints register."""

    __slots__ = ('_store',)

    def __init__(self, *, objects: objects.ObjectStore) -> None:
        self._store = objects

    async def list_all(self) -> listings.Listing | store.Unavailable:
        found = await self._store.list_all_pages(KIND)
        if isinstance(found, store.Unavailable):
            return found
        return listings.Listing(
            records=_read_all(found.items),
            revision=found.revision,
            newest=_newest(found.items),
        )

    async def watch(
        self, *, after: int, seconds: float
    ) -> listings.Changes | listings.HistoryGone | store.Unavailable:
        found = await self._store.watch_events(
            KIND, after=after, seconds=seconds
        )
        match found:
            case objects.HistoryGone():
                return listings.HistoryGone()
            case objects.Events():
                return _read_events(found)
        return found


def _read_events(found: objects.Events) -> listings.Changes:
    """Return the last state of each endpoint that the events touch.

    One whose entry can no longer be understood counts as removed.
    """
    last = {event.changed.meta.name: event for event in found.events}
    kept = [event.changed for event in last.values() if not event.deleted]
    records = _read_all(kept)
    known = {record.identity for record in records}
    return listings.Changes(
        records=records,
        removed=tuple(name for name in last if name not in known),
        revision=found.revision,
        newest=_newest([event.changed for event in found.events]),
    )


def _newest(found: list[objects.Object]) -> int:
    return max((one.meta.revision for one in found), default=0)


def _read_all(
    found: list[objects.Object],
) -> tuple[deployment.EndpointRecord, ...]:
    records = []
    for one in found:
        try:
            records.append(_read(one))
        except ValueError as error:
            logging.warning(
                'endpoint not understood',
                extra=logs.fields(name=one.meta.name, detail=str(error)),
            )
    return tuple(records)


def _read(found: objects.Object) -> deployment.EndpointRecord:
    server = msgspec.json.decode(found.spec, type=_Server)
    if server.state not in (_READY, _DRAINING):
        raise ValueError(f'{server.state!r} is no state of an endpoint')
    if not server.service:
        raise ValueError('it names no service')
    address = settings_file.parse_address(server.address)
    return deployment.EndpointRecord(
        identity=found.meta.name,
        service=server.service,
        host=address.host,
        port=address.port,
        data_centre=server.data_centre,
        slots=server.slots,
        leaving=server.state == _DRAINING,
        born=server.born,
    )
