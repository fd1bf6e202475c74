"""Keeps in the platform's store which requests are blocked.

Entries keep nothing of their own.  When all of them lose power together, what
they knew is gone, and each blocked request ends as many endpoints once more.
One entry, the first of those that hear each other, writes the few that are
blocked, and removes them later; each entry reads them when it starts.
"""

from typing import Callable

from absl import logging
import anyio
import msgspec

from .. import logs
from .. import store as store_module
from . import dependency_health
from . import suspects

KIND = 'marigoldramp-suspects'
#: Seconds between two tries of the first entry while the store does not
#: answer.
RETRY_AFTER = 1.0
#: Seconds between two looks at what is to be written, which ask nothing.
LOOK_EVERY = 0.5
#: Seconds between two reads of the list by the entry that keeps it: what was
#: written can be lost when the store comes back from a copy.
READ_EVERY = 120.0


class Row(msgspec.Struct, frozen=True, kw_only=True):
    """What stands in the store of one request; its name is the fingerprint.

    :ivar starts: numbers of the starts of endpoints that ended under it.
    """

    starts: tuple[int, ...]


class SuspectStorage:
    """Reads blocked requests from the store and writes them.

    :param position: returns our place among the entries that hear each other,
        0 for the first, which writes.
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
        """Read what is blocked, then keep it until cancelled."""
        while not await self._read(learns=True):
            await self._pause()
        while True:
            await anyio.sleep(LOOK_EVERY)
            if self._position() > 0:
                self._read_at = float('-inf')
            elif not await self._keep():
                await self._pause()

    def note_restore(self) -> None:
        """The store has come back from an older copy; read it anew."""
        self._read_at = float('-inf')

    async def _pause(self) -> None:
        await anyio.sleep(
            dependency_health.scale_retry_delay(
                RETRY_AFTER, position=self._position()
            )
        )

    async def _keep(self) -> bool:
        """Make the store hold what is blocked; whether it answered."""
        blocked = self._known.list_blocked()
        if not blocked and not self._rows:
            return True
        if self._clock() - self._read_at > READ_EVERY:
            return await self._read(learns=False)
        for fingerprint in blocked.keys() - self._rows.keys():
            if not await self._write(fingerprint):
                return False
        for fingerprint in self._rows.keys() - blocked.keys():
            if not await self._remove(fingerprint):
                return False
        return True

    async def _read(self, *, learns: bool) -> bool:
        """Read the list; whether the store answered.

        :param learns: what is listed is blocked.  Later it may be what we
            have cleared or forgotten.
        """
        found = await self._store.list_objects(kind=KIND)
        if isinstance(found, store_module.Unavailable):
            return False
        self._read_at = self._clock()
        self._rows = {
            stored.key.name: stored.version for stored in found.objects
        }
        if learns:
            for stored in found.objects:
                self._learn(stored)
        return True

    def _learn(self, stored: store_module.Stored) -> None:
        """Take a row as written just now, as nothing tells its age."""
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
        suspicion = self._known.describe(fingerprint)
        if suspicion is None:
            return True
        row = Row(starts=tuple(end.start for end in suspicion.ends))
        result = await self._store.write(
            key=store_module.Key(kind=KIND, name=fingerprint),
            value=msgspec.json.encode(row),
            expected=store_module.CREATE,
        )
        match result:
            case store_module.Written(version=version):
                self._rows[fingerprint] = version
            case store_module.Conflict():
                # Another entry has written it; its version is not needed
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
