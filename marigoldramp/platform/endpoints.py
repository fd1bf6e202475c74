"""Lists and watches the endpoints that register in the platform's store."""

import ipaddress
import re

from absl import logging
import msgspec

from .. import logs
from .. import store
from ..gateway import deployment
from ..gateway import listings
from . import objects
from . import settings_file

ENDPOINT_KIND = 'servers'
MILLISECONDS_PER_SECOND = 1000.0
MAX_SLOTS = 100_000
#: Latest start of an endpoint, as a Unix time: the year 5138.
MAX_BORN_MS = 10**14
_IDENTITY = re.compile(r'[!-~]{1,253}')
_READY_STATE = 'ready'
_DRAINING_STATE = 'draining'


class _EndpointSpec(
    msgspec.Struct,
    kw_only=True,
    rename={
        'service': 'Service',
        'address': 'Address',
        'data_centre': 'Zone',
        'slots': 'Slots',
        'state': 'State',
        'cold_ms': 'ColdRemainingMs',
    },
):
    """Value of an endpoint's object, whose name is the endpoint's identity.

    :ivar born: Unix time of its start in milliseconds; 0 if unknown.
    :ivar cold_ms: for how much longer it was cold when it wrote the object;
        ``None`` if it does not say.
    """

    service: str
    address: str
    data_centre: str
    slots: int
    state: str
    born: int = 0
    cold_ms: float | None = None


class StoreEndpointSource(listings.EndpointSource):
    """Reads endpoints from their objects in the store."""

    __slots__ = ('_store',)

    def __init__(self, *, objects: objects.ObjectStore) -> None:
        self._store = objects

    async def list_all(self) -> listings.Listing | store.Unavailable:
        found = await self._store.list_all_pages(ENDPOINT_KIND)
        if isinstance(found, store.Unavailable):
            return found
        return listings.Listing(
            records=_parse_records(found.items),
            revision=found.revision,
            newest=_find_newest_revision(found.items),
        )

    async def watch(
        self, *, after: int, seconds: float
    ) -> listings.Changes | listings.HistoryGone | store.Unavailable:
        found = await self._store.watch_events(
            ENDPOINT_KIND, after=after, seconds=seconds
        )
        match found:
            case objects.HistoryGone():
                return listings.HistoryGone()
            case objects.Events():
                return _merge_events(found)
        return found


def _merge_events(found: objects.Events) -> listings.Changes:
    """Return the state of each changed endpoint after its last event.

    An endpoint whose last object cannot be decoded counts as removed.
    """
    last = {event.changed.meta.name: event for event in found.events}
    present = [event.changed for event in last.values() if not event.deleted]
    records = _parse_records(present)
    known = {record.identity for record in records}
    return listings.Changes(
        records=records,
        removed=tuple(name for name in last if name not in known),
        revision=found.revision,
        newest=_find_newest_revision(
            [event.changed for event in found.events]
        ),
    )


def _find_newest_revision(found: list[objects.Object]) -> int:
    return max((item.meta.revision for item in found), default=0)


def _parse_records(
    found: list[objects.Object],
) -> tuple[deployment.EndpointRecord, ...]:
    records = []
    for item in found:
        try:
            records.append(_parse_record(item))
        except (ValueError, RecursionError) as error:
            logging.warning(
                'endpoint not understood',
                extra=logs.fields(name=item.meta.name, detail=str(error)),
            )
    return tuple(records)


def _parse_record(found: objects.Object) -> deployment.EndpointRecord:
    spec = msgspec.json.decode(found.spec, type=_EndpointSpec)
    if spec.state not in (_READY_STATE, _DRAINING_STATE):
        raise ValueError(f'{spec.state!r} is not an endpoint state')
    if not spec.service:
        raise ValueError('service is empty')
    if not _IDENTITY.fullmatch(found.meta.name):
        raise ValueError('the name cannot be sent in a header')
    if not 0 <= spec.slots <= MAX_SLOTS:
        raise ValueError(f'{spec.slots} is not a number of slots')
    if not 0 <= spec.born <= MAX_BORN_MS:
        raise ValueError(f'{spec.born} is not a time in milliseconds')
    address = settings_file.parse_address(spec.address)
    if not _names_one_host(address.host):
        raise ValueError(f'{address.host} is not the address of a host')
    return deployment.EndpointRecord(
        identity=found.meta.name,
        service=spec.service,
        host=address.host,
        port=address.port,
        data_centre=spec.data_centre,
        slots=spec.slots,
        leaving=spec.state == _DRAINING_STATE,
        born=spec.born,
        revision=found.meta.revision,
        cold_seconds=(
            None
            if spec.cold_ms is None
            else max(0.0, spec.cold_ms / MILLISECONDS_PER_SECOND)
        ),
    )


def _names_one_host(address: str) -> bool:
    """Whether a connection to an IP address leads to the host that has it."""
    found = ipaddress.IPv4Address(address)
    return not (
        found.is_unspecified
        or found.is_multicast
        or found == ipaddress.IPv4Address('255.255.255.255')
    )
