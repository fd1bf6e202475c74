"""The list of entries in the platform's store.

Entries find each other by it at their start; after that reports keep them
in touch, and the store is not asked any more.
"""

from absl import logging
import anyio
import msgspec

from .. import logs
from .. import store as store_module
from . import outbound
from . import peers

KIND = 'marigoldramp-entries'
#: Seconds between two tries while the store does not answer.
RETRY_AFTER = 1.0
#: Seconds between two looks at the list: entries that started while the
#: store was away for one of them would else not find each other.
LOOK_EVERY = 60.0


class Row(msgspec.Struct, frozen=True, kw_only=True):
    """What an entry writes of itself."""

    host: str
    port: int


class Roster:
    """Our row, and the rows of others."""

    __slots__ = ('_store', '_table', '_instance', '_address')

    def __init__(
        self,
        *,
        store: store_module.PlatformStore,
        table: peers.PeerTable,
        instance: str,
        address: outbound.Address,
    ) -> None:
        self._store = store
        self._table = table
        self._instance = instance
        self._address = address

    async def run(self) -> None:
        """Keep our row right and learn of others until cancelled."""
        while True:
            if await self._look():
                await anyio.sleep(LOOK_EVERY)
            else:
                await anyio.sleep(RETRY_AFTER)

    async def _look(self) -> bool:
        """Read all rows and write our own; whether both succeeded."""
        found = await self._store.list_objects(kind=KIND)
        if isinstance(found, store_module.Unavailable):
            return False
        own: store_module.Stored | None = None
        for stored in found.objects:
            if stored.key.name == self._instance:
                own = stored
            else:
                self._learn(stored)
        wanted = Row(host=self._address.host, port=self._address.port)
        if own is not None and _decode(own.value) == wanted:
            return True
        written = await self._store.write(
            key=store_module.Key(kind=KIND, name=self._instance),
            value=msgspec.json.encode(wanted),
            expected=store_module.CREATE if own is None else own.version,
        )
        return isinstance(written, store_module.Written)

    def _learn(self, stored: store_module.Stored) -> None:
        row = _decode(stored.value)
        if row is None:
            logging.warning(
                'row of an entry not understood',
                extra=logs.fields(name=stored.key.name),
            )
            return
        self._table.learn(
            instance=stored.key.name, host=row.host, port=row.port
        )


def _decode(value: bytes) -> Row | None:
    try:
        return msgspec.json.decode(value, type=Row)
    except msgspec.MsgspecError:
        return None
