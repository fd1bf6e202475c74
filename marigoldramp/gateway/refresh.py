"""Keeps the configuration up to date."""

from typing import Awaitable
from typing import Callable

import anyio

from .. import store
from . import configurations
from . import dependency_health
from . import read_schedule
from . import store_outages

#: Age of the confirmation at which the first gateway reads the configuration.
MIN_READ_AGE_SECONDS = 0.8
#: Time after a restore of the store from a backup within which the operator's
#: changes since that backup are written again.
RESTORED_SECONDS = 2.2
#: Interval between two checks of the age.
CHECK_INTERVAL_SECONDS = 0.1

#: Fetches the document of a version or a newer one from a peer.
FetchFromPeers = Callable[[int], Awaitable[bytes | None]]


class Refresher:
    """Reads the configuration when its confirmation is too old.

    :param from_peers: fetches a newer version that a peer has announced.
    :param position: returns how many peers read the store before this gateway,
        0 for the first one.
    :param restored_at: returns when the store was last restored from a backup.
    :param outages: outages of the store, for which answers are noted.
    :ivar store: tracks whether the store answers.
    """

    __slots__ = (
        '_restored_at',
        '_configuration',
        '_source',
        '_from_peers',
        '_clock',
        '_schedule',
        '_announced_version',
        '_wake',
        '_outages',
        'store',
    )

    def __init__(
        self,
        *,
        configuration: configurations.ActiveConfiguration,
        source: configurations.ConfigurationSource,
        from_peers: FetchFromPeers,
        clock: Callable[[], float],
        position: Callable[[], int],
        outages: store_outages.StoreOutages,
        restored_at: Callable[[], float] = lambda: float('-inf'),
    ) -> None:
        self._outages = outages
        self._restored_at = restored_at
        self._configuration = configuration
        self._source = source
        self._from_peers = from_peers
        self._clock = clock
        self._schedule = read_schedule.ReadSchedule(
            min_age=MIN_READ_AGE_SECONDS, clock=clock, position=position
        )
        self._announced_version = 0
        self._wake = anyio.Event()
        self.store = dependency_health.DependencyHealth(
            name='store', use='configuration', clock=clock
        )

    def note_peer_version(self, version: int) -> None:
        """Record that a peer has a version in force."""
        if version > max(self._announced_version, self._configuration.version):
            self._announced_version = version
            self._wake.set()

    async def run(self) -> None:
        """Keep the configuration up to date until cancelled."""
        while True:
            if self._is_due():
                await self._refresh()
            self._wake = anyio.Event()
            with anyio.move_on_after(CHECK_INTERVAL_SECONDS):
                await self._wake.wait()

    def _is_due(self) -> bool:
        if not self._schedule.may_read():
            return False
        if self._announced_version > self._configuration.version:
            return True
        return self._schedule.is_due(
            confirmed_at=self._configuration.confirmed_at
        )

    async def _refresh(self) -> None:
        if self._announced_version > self._configuration.version:
            # A peer that announces a newer version has the whole document, and
            # fetching it costs no call to the store.
            await self._fetch_from_peers()
        if (
            self._announced_version <= self._configuration.version
            and self._schedule.is_fresh(
                confirmed_at=self._configuration.confirmed_at
            )
        ):
            return
        asked_at = self._clock()
        found = await self._source.fetch()
        match found:
            case bytes():
                self._note_answer()
                self._configuration.apply(
                    found, newest_at=self._find_confirmation_time(asked_at)
                )
                if self._configuration.confirmed_at < asked_at:
                    # The store was restored from a backup; all gateways wait
                    # for the newer document.
                    self._schedule.pause()
            case store.Absent():
                self._note_answer()
                self._schedule.wait(CHECK_INTERVAL_SECONDS)
            case store.Unavailable(detail=detail):
                self.store.note_failure(detail)
                self._schedule.pause()

    def _note_answer(self) -> None:
        self.store.note_answer()
        self._outages.note_answer()

    def _find_confirmation_time(self, asked_at: float) -> float:
        """Return when a document that was read counts as the newest.

        A store that was restored from a backup returns an older document for a
        moment.  If that counted as the newest, a key revoked since the backup
        would stay valid for the full time again.
        """
        if asked_at - self._restored_at() < RESTORED_SECONDS:
            return float('-inf')
        return asked_at

    async def _fetch_from_peers(self) -> None:
        """Fetch a newer version from a peer that has announced it.

        The fetch confirms nothing: reports tell when the version was last
        known to be the newest.
        """
        document = await self._from_peers(self._announced_version)
        if document is not None:
            self._configuration.apply(document, newest_at=float('-inf'))
