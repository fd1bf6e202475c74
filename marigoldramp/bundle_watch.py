"""Follows the store where this process is one of the few that watch it."""

import random as random_module
from typing import Callable

import anyio

from . import acceptance
from . import bundle_sources
from . import manifests
from . import membership
from . import settings as settings_module
from . import store as store_module

#: Seconds after which a failed watch or fetch is tried again, doubled up to
#: the most.
RETRY = 0.2
MOST_RETRY = 1.0
#: Seconds between two looks at whether this process is to watch the store.
RECHECK_WATCHERS = 1.0
#: Seconds after which a watcher watches from the beginning.  A store that was
#: set back to an older state can have lower versions, and a watch after a
#: higher one would never end.
REWATCH = 60.0
#: Seconds without any heartbeat that shows a bundle, after which a process
#: that does not watch the store reads it, within half of it either way.
FALLBACK = 10.0


class StoreWatch:
    """Brings bundles from the store to their acceptance.

    :param shown_at: returns the monotonic time at which a peer last showed
        a bundle.
    """

    def __init__(
        self,
        *,
        store: store_module.PlatformStore,
        accept: acceptance.Acceptance,
        members: membership.Membership,
        settings: settings_module.Settings,
        shown_at: Callable[[], float],
        clock: Callable[[], float],
        random: random_module.Random,
    ) -> None:
        self._store = store
        self._acceptance = accept
        self._members = members
        self._instance = settings.instance
        self._settings = settings.platform
        self._shown_at = shown_at
        self._clock = clock
        self._random = random

    async def follow(self) -> None:
        """Watch the store while this process is one of the watchers."""
        after = 0
        failures = 0
        began = self._clock()
        while True:
            if not self._is_watcher():
                await anyio.sleep(RECHECK_WATCHERS)
                continue
            if self._clock() - began > REWATCH:
                after, began = 0, self._clock()
            changed = await self._store.watch(
                kind=manifests.CURRENT.kind,
                after=after,
                seconds=self._settings.watch,
            )
            if isinstance(changed, store_module.Listing):
                if await self._take_listing(changed):
                    after = changed.version
                    failures = 0
                    continue
            failures += 1
            await self._wait_retry(failures)

    def _is_watcher(self) -> bool:
        """Return whether this process is one of the few that watch.

        Before the first reading of the instance list it cannot tell; when
        350 entries restart, each would take itself for a watcher.
        """
        if not self._members.is_seeded:
            return False
        own = self._instance
        count = self._settings.watchers
        return own in self._members.watchers(count)

    async def _take_listing(self, listing: store_module.Listing) -> bool:
        """Return false if it has to be watched for again."""
        for stored in listing.objects:
            if stored.key == manifests.CURRENT:
                return await self._take_stored(stored)
        return True

    async def _take_stored(self, stored: store_module.Stored) -> bool:
        source = bundle_sources.StoreSource(store=self._store)
        return await self._acceptance.take(stored.value, source)

    async def _read_store(self) -> None:
        read = await self._store.read(key=manifests.CURRENT)
        if isinstance(read, store_module.Stored):
            await self._take_stored(read)

    async def _wait_retry(self, failures: int) -> None:
        longest = min(MOST_RETRY, RETRY * 2 ** min(failures, 8))
        await anyio.sleep(longest * self._random.uniform(0.5, 1.0))

    async def fall_back(self) -> None:
        """Read the store now and then while no peer shows any bundle.

        A process whose heartbeats are all lost would otherwise never learn
        of a new bundle though the store is up.  Seldom, since a whole fleet
        that restarts is in this case at once.
        """
        while True:
            await anyio.sleep(FALLBACK * self._random.uniform(0.5, 1.5))
            if self._clock() - self._shown_at() > FALLBACK:
                await self._read_store()
