"""Keeps the blocked requests in the platform's store.

Gateways keep nothing on disk.  If all of them lost power together, each
blocked request could end as many endpoints again.  So one gateway, the first
of those that report to each other, writes the few blocked requests and removes
them later; each gateway reads them when it starts.
"""

from typing import Callable

from absl import logging
import anyio
import msgspec

from ... import logs
from ... import store as store_module
from .. import dependency_health
from . import suspects

KIND = 'marigoldramp-suspects'
#: Seconds between two attempts of the first gateway while the store is
#: unavailable; others wait longer.
RETRY_SECONDS = 1.0
#: Seconds between two checks for changes to write; a check makes no calls.
CHECK_INTERVAL_SECONDS = 0.5
#: Seconds between two reads of the list by the gateway that writes it, as a
#: store that is restored from a copy may have lost rows.
READ_INTERVAL_SECONDS = 120.0


class Row(msgspec.Struct, frozen=True, kw_only=True):
    """The value stored of one blocked request, named by its fingerprint.

    :ivar starts: hashes of the ended endpoint processes that count against it.
    """

    starts: tuple[int, ...]


class SuspectStorage:
    """Reads blocked requests from the store and writes them.

    :param position: returns this gateway's place among those that report to
        each other, 0 for the first, which writes.
    """

    __slots__ = (
        '_known',
        '_store',
        '_position',
        '_clock',
        '_rows',
        '_read_at',
    )

    def __init__(
        self,
        *,
        known: suspects.Suspects,
        store: store_module.PlatformStore,
        position: Callable[[], int],
        clock: Callable[[], float],
    ) -> None:
        self._known = known
        self._store = store
        self._position = position
        self._clock = clock
        self._rows: dict[str, int] = {}
        self._read_at = float('-inf')

    async def run(self) -> None:
        """Read the blocked requests, then write changes until cancelled."""
        while not await self._read(applies=True):
            await self._pause()
        while True:
            await anyio.sleep(CHECK_INTERVAL_SECONDS)
            if self._position() > 0:
                self._read_at = float('-inf')
            elif not await self._sync():
                await self._pause()

    def note_restore(self) -> None:
        """Read the list again after the store was restored from a copy."""
        self._read_at = float('-inf')

    async def _pause(self) -> None:
        await anyio.sleep(
            dependency_health.scale_retry_delay(
                RETRY_SECONDS, position=self._position()
            )
        )

    async def _sync(self) -> bool:
        """Write and remove rows to match the blocked requests.

        :returns: whether the store answered.
        """
        blocked = self._known.list_blocked()
        if not blocked and not self._rows:
            return True
        if self._clock() - self._read_at > READ_INTERVAL_SECONDS:
            return await self._read(applies=False)
        for fingerprint in blocked.keys() - self._rows.keys():
            if not await self._write(fingerprint):
                return False
        for fingerprint in self._rows.keys() - blocked.keys():
            if not await self._remove(fingerprint):
                return False
        return True

    async def _read(self, *, applies: bool) -> bool:
        """Read the list of rows.

        :param applies: whether listed requests become blocked here.  That is
            right at the start only: later, the list may hold requests that
            this gateway has cleared or forgotten.
        :returns: whether the store answered.
        """
        found = await self._store.list_objects(kind=KIND)
        if isinstance(found, store_module.Unavailable):
            return False
        self._read_at = self._clock()
        self._rows = {
            stored.key.name: stored.version for stored in found.objects
        }
        if applies:
            for stored in found.objects:
                self._apply(stored)
        return True

    def _apply(self, stored: store_module.Stored) -> None:
        """Apply a row as if its ends were recent, as no ages are stored."""
        try:
            row = msgspec.json.decode(stored.value, type=Row)
        except msgspec.MsgspecError as error:
            logging.warning(
                'blocked request not understood',
                extra=logs.fields(
                    fingerprint=stored.key.name, detail=str(error)
                ),
            )
            return
        self._known.merge(
            suspects.SuspectRecord(
                fingerprint=stored.key.name,
                ends=tuple(
                    suspects.EndAge(start=start, age=0.0)
                    for start in row.starts
                ),
            ),
            source='store',
        )

    async def _write(self, fingerprint: str) -> bool:
        suspect = self._known.describe(fingerprint)
        if suspect is None:
            return True
        row = Row(starts=tuple(end.start for end in suspect.ends))
        result = await self._store.write(
            key=store_module.Key(kind=KIND, name=fingerprint),
            value=msgspec.json.encode(row),
            expected=store_module.CREATE,
        )
        match result:
            case store_module.Written(version=version):
                self._rows[fingerprint] = version
            case store_module.Conflict():
                # Another gateway has written it; the version is not needed
                # until the next read.
                self._rows[fingerprint] = 0
            case _:
                return False
        return True

    async def _remove(self, fingerprint: str) -> bool:
        version = self._rows[fingerprint]
        if not version:
            self._read_at = float('-inf')
            return True
        result = await self._store.delete(
            key=store_module.Key(kind=KIND, name=fingerprint),
            expected=version,
        )
        match result:
            case store_module.Written() | store_module.Conflict():
                del self._rows[fingerprint]
                return True
        return False
