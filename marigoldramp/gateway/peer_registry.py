"""The list of entries in the platform's store.

Entries find each other by it at their start; after that reports keep them
in touch, and the store is not asked any more.
"""

import random as random_module

from absl import logging
import anyio
import msgspec

from .. import logs
from .. import store as store_module
from . import outbound
from . import peers

KIND = 'marigoldramp-entries'
#: Seconds between two tries while the store does not answer.
RETRY_INTERVAL_SECONDS = 1.0
#: Seconds between two looks at the list: entries that started while the
#: store was away for one of them would else not find each other.
LOOK_EVERY = 60.0
#: Seconds over which entries look whether a restore of the store has left them
#: their rows; one that starts next finds the others by these.
MAX_REWRITE_DELAY_SECONDS = 1.5


class Row(msgspec.Struct, frozen=True, kw_only=True):
    """What an entry writes of itself."""

    host: str
    port: int


class PeerRegistry:
    """Our row, and the rows of others.

    :param random: spreads what all entries do at the same event.
    """

    __slots__ = (
        '_store',
        '_table',
        '_instance',
        '_address',
        '_random',
        '_restored',
    )

    def __init__(
        self,
        *,
        store: store_module.PlatformStore,
        table: peers.PeerTable,
        instance: str,
        address: outbound.Address,
        random: random_module.Random,
    ) -> None:
        self._store = store
        self._table = table
        self._instance = instance
        self._address = address
        self._random = random
        self._restored = anyio.Event()

    async def run(self) -> None:
        """Keep our row right and learn of others until cancelled."""
        while True:
            seconds = (
                LOOK_EVERY if await self._look() else RETRY_INTERVAL_SECONDS
            )
            with anyio.move_on_after(seconds):
                await self._watch_restores()

    def note_restore(self) -> None:
        """The store has come back from an older copy."""
        self._restored.set()

    async def _watch_restores(self) -> None:
        """Write our row again whenever a restore has taken it."""
        while True:
            await self._restored.wait()
            self._restored = anyio.Event()
            await anyio.sleep(
                self._random.uniform(0.0, MAX_REWRITE_DELAY_SECONDS)
            )
            while not await self._make_sure():
                await anyio.sleep(RETRY_INTERVAL_SECONDS)

    async def _make_sure(self) -> bool:
        """Write our row if it is not there; whether it is now."""
        found = await self._store.read(key=self._key)
        match found:
            case store_module.Absent():
                return await self._write(None)
            case store_module.Stored():
                return True
        return False

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
        if own is not None and _decode(own.value) == self._row:
            return True
        return await self._write(own)

    @property
    def _key(self) -> store_module.Key:
        return store_module.Key(kind=KIND, name=self._instance)

    @property
    def _row(self) -> Row:
        return Row(host=self._address.host, port=self._address.port)

    async def _write(self, own: store_module.Stored | None) -> bool:
        """Write our row; whether that succeeded."""
        written = await self._store.write(
            key=self._key,
            value=msgspec.json.encode(self._row),
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
