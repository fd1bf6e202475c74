"""Keeps the configuration the newest one.

All entries together read the store about once a period: the first of those
that hear each other reads when its confirmation has become old, and the
others learn of it from its reports.  Each next one is more patient, so that
it reads only if the one before does not; an entry that hears nobody is first.
"""

from typing import Awaitable
from typing import Callable

import anyio

from .. import store
from . import configurations
from . import dependency_health

#: Age of a confirmation at which the first entry reads the store, in
#: seconds, what each next one waits longer, and the longest age.  It takes up
#: to two periods of reports until the others know of a read.
READ_AFTER = 0.8
LATER_EACH = 0.3
READ_LATEST = 1.4
#: Seconds between two reads of the first entry while the store is away.
RETRY_AFTER = 0.4
#: Seconds after the store has come back from an older copy within which what
#: the operator wrote since that copy is written again.
RESTORED_SECONDS = 2.2
#: Most seconds between two looks at the age.
LOOK_EVERY = 0.1

#: Fetches the document of a version, or a newer one, from some peer.
FromPeers = Callable[[int], Awaitable[bytes | None]]


class Refresher:
    """Reads the configuration when its confirmation has become old.

    :param from_peers: used where a peer shows a newer version.
    :param position: returns our place among the entries that hear each
        other often, 0 for the first.
    :param restored_at: returns when the store was last restored from a copy.
    :ivar store: whether the store answers us.
    """

    __slots__ = (
        '_restored_at',
        '_configuration',
        '_source',
        '_from_peers',
        '_clock',
        '_position',
        '_heard',
        '_wake',
        '_not_before',
        'store',
    )

    def __init__(
        self,
        *,
        configuration: configurations.ActiveConfiguration,
        source: configurations.ConfigurationSource,
        from_peers: FromPeers,
        clock: Callable[[], float],
        position: Callable[[], int],
        restored_at: Callable[[], float] = lambda: float('-inf'),
    ) -> None:
        self._restored_at = restored_at
        self._configuration = configuration
        self._source = source
        self._from_peers = from_peers
        self._clock = clock
        self._position = position
        self._heard = 0
        self._wake = anyio.Event()
        self._not_before = float('-inf')
        self.store = dependency_health.DependencyHealth(
            name='store', use='configuration', clock=clock
        )

    def hear(self, version: int) -> None:
        """Learn that a peer has a version in force."""
        if version > max(self._heard, self._configuration.version):
            self._heard = version
            self._wake.set()

    async def run(self) -> None:
        """Keep the configuration up to date until cancelled."""
        while True:
            if self._is_due():
                await self._refresh()
            self._wake = anyio.Event()
            with anyio.move_on_after(LOOK_EVERY):
                await self._wake.wait()

    def _is_due(self) -> bool:
        now = self._clock()
        if now < self._not_before:
            return False
        if self._heard > self._configuration.version:
            return True
        patience = READ_AFTER + LATER_EACH * self._position()
        age = now - self._configuration.confirmed_at
        return age > min(READ_LATEST, patience)

    async def _refresh(self) -> None:
        if self._heard > self._configuration.version:
            # A peer that shows a newer version has it whole, at no price.
            await self._ask_peers()
        if self._heard <= self._configuration.version and self._is_fresh():
            return
        asked_at = self._clock()
        found = await self._source.fetch()
        match found:
            case bytes():
                self.store.note_answer()
                self._configuration.take(
                    found, newest_at=self._date_read(asked_at)
                )
                if self._configuration.confirmed_at < asked_at:
                    # An older copy; all entries wait for the newer one.
                    self._pause()
            case store.Absent():
                self.store.note_answer()
                self._not_before = self._clock() + LOOK_EVERY
            case store.Unavailable(detail=detail):
                self.store.note_failure(detail)
                self._pause()

    def _pause(self) -> None:
        """Read no sooner than after a pause, the longer the later we come."""
        self._not_before = self._clock() + dependency_health.scale_retry_delay(
            RETRY_AFTER, position=self._position()
        )

    def _date_read(self, asked_at: float) -> float:
        """Return as of when a document that was read is the newest.

        A store that has come back from a copy shows an older one for a
        moment.  Believed to be the newest, it would give a key that was taken
        away since the copy its time anew.
        """
        if asked_at - self._restored_at() < RESTORED_SECONDS:
            return float('-inf')
        return asked_at

    def _is_fresh(self) -> bool:
        age = self._clock() - self._configuration.confirmed_at
        return age < READ_AFTER

    async def _ask_peers(self) -> None:
        """Take a newer version from a peer that has shown it.

        When the version is known to be the newest is told apart from it,
        by reports.
        """
        document = await self._from_peers(self._heard)
        if document is not None:
            self._configuration.take(document, newest_at=float('-inf'))
