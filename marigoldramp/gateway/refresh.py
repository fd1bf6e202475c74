"""Keeps the configuration the newest one.

All entries together read the store about once a period: whoever finds its
confirmation older than that reads, and the others learn of it from its
reports.  Nobody has to be chosen for it, and an entry that hears nobody
reads for itself.
"""

import random as random_module
from typing import Awaitable
from typing import Callable

import anyio

from .. import store
from . import configurations
from . import contacts

#: Age of a confirmation at which an entry reads the store itself, in
#: seconds, and the random part by which entries do not all read at once.
READ_AFTER = 0.9
READ_SPREAD = 0.4
#: Seconds between two reads while the store does not answer.
RETRY_AFTER = 0.4
#: Most seconds between two looks at the age.
LOOK_EVERY = 0.1

#: Fetches the document of a version, or a newer one, from some peer.
FromPeers = Callable[[int], Awaitable[bytes | None]]


class Refresher:
    """Reads the configuration when its confirmation has become old.

    :param from_peers: used where the store does not answer us.
    :ivar store: whether the store answers us.
    """

    __slots__ = (
        '_configurations',
        '_source',
        '_from_peers',
        '_clock',
        '_random',
        '_heard',
        '_wake',
        '_not_before',
        'store',
    )

    def __init__(
        self,
        *,
        held: configurations.Configurations,
        source: configurations.ConfigurationSource,
        from_peers: FromPeers,
        clock: Callable[[], float],
        random: random_module.Random,
    ) -> None:
        self._configurations = held
        self._source = source
        self._from_peers = from_peers
        self._clock = clock
        self._random = random
        self._heard = 0
        self._wake = anyio.Event()
        self._not_before = float('-inf')
        self.store = contacts.Contact(
            name='store', use='configuration', clock=clock
        )

    def hear(self, version: int) -> None:
        """Learn that a peer has a version in force."""
        if version > max(self._heard, self._configurations.version):
            self._heard = version
            self._wake.set()

    async def run(self) -> None:
        """Keep the configuration up to date until cancelled."""
        patience = self._draw()
        while True:
            if self._is_due(patience):
                await self._refresh()
                patience = self._draw()
            self._wake = anyio.Event()
            with anyio.move_on_after(LOOK_EVERY):
                await self._wake.wait()

    def _draw(self) -> float:
        return READ_AFTER + READ_SPREAD * self._random.random()

    def _is_due(self, patience: float) -> bool:
        now = self._clock()
        if now < self._not_before:
            return False
        if self._heard > self._configurations.version:
            return True
        return now - self._configurations.confirmed_at > patience

    async def _refresh(self) -> None:
        if self._heard > self._configurations.version:
            # A peer that shows a newer version has it whole, at no price.
            await self._ask_peers()
        if self._heard <= self._configurations.version and self._is_fresh():
            return
        asked_at = self._clock()
        found = await self._source.fetch()
        match found:
            case bytes():
                self.store.note_answer()
                self._configurations.take(found, newest_at=asked_at)
            case store.Absent():
                self.store.note_answer()
                self._not_before = self._clock() + LOOK_EVERY
            case store.Unavailable(detail=detail):
                self.store.note_failure(detail)
                self._not_before = self._clock() + RETRY_AFTER

    def _is_fresh(self) -> bool:
        age = self._clock() - self._configurations.confirmed_at
        return age < READ_AFTER

    async def _ask_peers(self) -> None:
        """Take a newer version from a peer that has shown it.

        When the version is known to be the newest is told apart from it,
        by reports.
        """
        document = await self._from_peers(self._heard)
        if document is not None:
            self._configurations.take(document, newest_at=float('-inf'))
