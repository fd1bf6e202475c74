"""The registry of gateways in the platform's store.

Gateways find each other in it when they start.  After that they learn of each
other from reports, and read the registry only once a minute.
"""

import random as random_module

from absl import logging
import anyio
import msgspec

from .. import logs
from .. import store as store_module
from . import ip_addresses
from . import outbound
from . import peers

KIND = 'marigoldramp-entries'
#: Used while the store does not answer.
RETRY_INTERVAL_SECONDS = 1.0
#: Gateways that started while one of them could not reach the store find each
#: other when the registry is read again.
READ_INTERVAL_SECONDS = 60.0
#: Random delay before a gateway checks that its row has survived a restore of
#: the store from a backup.  A gateway that starts next finds the others by
#: their rows.
MAX_REWRITE_DELAY_SECONDS = 1.5


class Row(msgspec.Struct, frozen=True, kw_only=True):
    """The registry row of one gateway: the address for its peers."""

    host: ip_addresses.Host
    port: ip_addresses.Port


class PeerRegistry:
    """Writes the row of this gateway and reads those of the others.

    :param table: receives the addresses of the others.
    :param random: spreads out the writes of all gateways after a restore.
    """

    __slots__ = (
        '_store',
        '_table',
        '_instance',
        '_address',
        '_random',
        '_restored',
        '_listed',
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
        self._listed: frozenset[str] | None = None

    def find_members(self) -> frozenset[str] | None:
        """Return the names of all gateways that may be alive.

        Those that have not reported for long count as well: they may be
        partitioned from this one.

        :returns: ``None`` while the registry has not been read.
        """
        if self._listed is None:
            return None
        heard = {peer.instance for peer in self._table}
        return self._listed | heard | {self._instance}

    async def run(self) -> None:
        """Keep the row up to date and find other gateways until cancelled."""
        while True:
            seconds = (
                READ_INTERVAL_SECONDS
                if await self._synchronize()
                else RETRY_INTERVAL_SECONDS
            )
            with anyio.move_on_after(seconds):
                await self._rewrite_after_restores()

    def note_restore(self) -> None:
        """Check the row again, as the store was restored from a backup."""
        self._restored.set()

    async def _rewrite_after_restores(self) -> None:
        """Write the row again whenever a restore has removed it."""
        while True:
            await self._restored.wait()
            self._restored = anyio.Event()
            await anyio.sleep(
                self._random.uniform(0.0, MAX_REWRITE_DELAY_SECONDS)
            )
            while not await self._ensure_row():
                await anyio.sleep(RETRY_INTERVAL_SECONDS)

    async def _ensure_row(self) -> bool:
        """Write the row if it is missing; return whether it exists now."""
        found = await self._store.read(key=self._key)
        match found:
            case store_module.Absent():
                return await self._write(None)
            case store_module.Stored():
                return True
        return False

    async def _synchronize(self) -> bool:
        """Read all rows and write this gateway's; return whether it worked."""
        found = await self._store.list_objects(kind=KIND)
        if isinstance(found, store_module.Unavailable):
            return False
        self._listed = frozenset(one.key.name for one in found.objects)
        own: store_module.Stored | None = None
        for stored in found.objects:
            if stored.key.name == self._instance:
                own = stored
            else:
                self._add_peer(stored)
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
        """Write the row; return whether that succeeded."""
        written = await self._store.write(
            key=self._key,
            value=msgspec.json.encode(self._row),
            expected=store_module.CREATE if own is None else own.version,
        )
        return isinstance(written, store_module.Written)

    def _add_peer(self, stored: store_module.Stored) -> None:
        row = _decode(stored.value)
        if row is None:
            logging.warning(
                'row of an entry not understood',
                extra=logs.fields(name=stored.key.name),
            )
            return
        self._table.add(instance=stored.key.name, host=row.host, port=row.port)


def _decode(value: bytes) -> Row | None:
    try:
        return msgspec.json.decode(value, type=Row)
    except msgspec.MsgspecError:
        return None
