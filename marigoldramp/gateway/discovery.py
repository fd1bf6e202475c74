"""Follows which endpoints there are, by the store or by peers."""

from typing import Awaitable
from typing import Callable

from absl import logging
import anyio

from .. import logs
from .. import store
from . import dependency_health
from . import endpoints
from . import listings
from . import presence as presence_module

#: Seconds that one watch lasts at most.
WATCH_SECONDS = 25.0
#: Seconds between two tries of the first entry while the store is away.
RETRY_AFTER = 0.5
#: Seconds for which a peer may know of a change that we do not, before our
#: own watch counts as silent.
BEHIND_SECONDS = 0.4
LOOK_EVERY = 0.1
#: Seconds between a change and the next watch.  Endpoints that start or leave
#: together are then one call of the store and not one call each.
BATCH_SECONDS = 0.5
#: Seconds between two looks whether peers still follow the store for us, and
#: until a peer is asked again that could not tell what it knows.
PEERS_EVERY = 0.2
#: Seconds until a peer is asked again after a list that was not settled.
UNSETTLED_RETRY_SECONDS = 0.5


#: Fetches the endpoints from a peer that knows of changes after a revision.
FromPeers = Callable[[int], Awaitable[listings.Listing | None]]


class EndpointFollower:
    """Keeps the table of endpoints up to date.

    :param presence: takes what is learnt of endpoints.
    :param relies_on_peers: whether peers follow the store for us and tell us
        of changes.
    :param fetch_from_peers: returns the endpoints that a peer knows, if it
        knows of changes after a revision.
    :param position: returns our place among the entries that hear each other
        often, 0 for the first.
    :ivar revision: of the newest change that is known.
    :ivar store: whether the store answers us about endpoints.
    :ivar change_revision: of the newest change of an endpoint.
    :ivar settled_revision: of the newest change up to which what is missing
        is gone, as far as we know.
    """

    __slots__ = (
        '_source',
        '_table',
        '_clock',
        '_on_change',
        '_from_peers',
        '_position',
        '_heard',
        '_wake',
        '_behind_since',
        '_watching',
        '_acted_on',
        'presence',
        'listed',
        'revision',
        'change_revision',
        'settled_revision',
        '_asked_at',
        'relies_on_peers',
        'store',
    )

    def __init__(
        self,
        *,
        source: listings.EndpointSource,
        table: endpoints.EndpointTable,
        clock: Callable[[], float],
        presence: presence_module.Presence,
        on_change: Callable[[], None],
        relies_on_peers: Callable[[], bool] = lambda: False,
        fetch_from_peers: FromPeers | None = None,
        position: Callable[[], int] = lambda: 0,
    ) -> None:
        self._source = source
        self._table = table
        self._clock = clock
        self.presence = presence
        self._on_change = on_change
        self.relies_on_peers = relies_on_peers
        self._from_peers = fetch_from_peers
        self._position = position
        self._heard = 0
        self._wake = anyio.Event()
        self._behind_since = float('inf')
        self._watching: anyio.CancelScope | None = None
        self._acted_on = 0
        self.listed = False
        self.revision = 0
        self.change_revision = 0
        self.settled_revision = 0
        self._asked_at = float('-inf')
        self.store = dependency_health.DependencyHealth(
            name='store', use='endpoints', clock=clock
        )

    async def run(self) -> None:
        """Follow until cancelled."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._look_after)
            while True:
                found = await self._source.list_all()
                match found:
                    case listings.Listing():
                        self._note_answer()
                        self.apply_listing(found)
                        await self._follow()
                    case store.Unavailable(detail=detail):
                        self._note_failure(detail)
                        await self._pause()

    def note_peer_revision(self, *, change_revision: int) -> None:
        """Learn how far a peer knows of changes.

        Our own watch may have gone silent, seen as a leaving endpoint that
        this entry alone goes on using.
        """
        if change_revision > self._heard:
            self._heard = change_revision
            self._wake.set()
        known = max(self.revision, self.change_revision, self._acted_on)
        if change_revision <= known:
            self._behind_since = float('inf')
            return
        now = self._clock()
        self._behind_since = min(self._behind_since, now)
        if now - self._behind_since > BEHIND_SECONDS:
            self._behind_since = float('inf')
            self._acted_on = change_revision
            if self._watching is not None:
                logging.info(
                    'watch behind peers',
                    extra=logs.fields(
                        revision=self.revision, heard=change_revision
                    ),
                )
                self._watching.cancel()

    def note_restore(self) -> None:
        """The store has come back from an older copy; list it anew."""
        self.presence.note_store_outage()
        if self._watching is not None:
            self._watching.cancel()

    def apply_peer_listing(self, listing: listings.Listing) -> None:
        """Take what a peer knows, while the store does not answer us.

        Leavings are taken and endpoints added; one that is missing is removed
        only if the peer's own view was not disturbed.
        """
        known = self.change_revision
        if listing.settled:
            known = self.settled_revision
        if listing.newest <= known and self.listed:
            return
        for record in listing.records:
            if not self.presence.is_unlisted(record.identity):
                self.presence.put_listed(record)
        logging.info(
            'endpoints told',
            extra=logs.fields(
                endpoints=len(listing.records),
                settled=listing.settled,
                newest=listing.newest,
                before=self.change_revision,
            ),
        )
        if listing.settled:
            self.presence.drop_unlisted(listing.records)
            self.revision = max(self.revision, listing.revision)
            self.settled_revision = max(self.settled_revision, listing.newest)
        self.change_revision = max(self.change_revision, listing.newest)
        self.listed = True
        self._on_change()

    def apply_listing(self, listing: listings.Listing) -> None:
        """Take a whole list; what is missing in it has vanished."""
        for record in listing.records:
            self.presence.put_listed(record)
        self.presence.drop_unlisted(listing.records)
        self.revision = listing.revision
        self.change_revision = max(self.change_revision, listing.newest)
        self.settled_revision = self.change_revision
        self.listed = True
        self._behind_since = float('inf')
        logging.info(
            'endpoints listed',
            extra=logs.fields(
                endpoints=len(listing.records), revision=listing.revision
            ),
        )
        self._on_change()

    def apply_changes(self, changes: listings.Changes) -> None:
        """Take what a watch has shown."""
        for record in changes.records:
            self.presence.put_written(record)
        for identity in changes.removed:
            self.presence.note_unlisted(identity)
        self.revision = max(self.revision, changes.revision)
        if changes.records or changes.removed:
            logging.info(
                'endpoints changed',
                extra=logs.fields(
                    changed=len(changes.records),
                    removed=len(changes.removed),
                    revision=changes.revision,
                    newest=changes.newest,
                ),
            )
            self.change_revision = max(self.change_revision, changes.newest)
            self.settled_revision = self.change_revision
            self._on_change()
        self._behind_since = float('inf')

    def make_listing(self) -> listings.Listing:
        """Return what is known, for a peer."""
        return listings.Listing(
            records=tuple(endpoint.record for endpoint in self._table),
            revision=self.revision,
            newest=self.change_revision,
            settled=self._is_settled(),
        )

    def _is_settled(self) -> bool:
        """Whether all that we list is there, and what we do not is gone.

        An entry that relies on peers is in touch with the store for other
        things, whatever it last heard of endpoints.
        """
        if not self.store.reached or not self.presence.is_settled:
            return False
        return self.settled_revision >= self.change_revision

    def reported_settled_revision(self) -> int:
        """Return up to which change our list is settled, 0 if it is not."""
        return self.settled_revision if self._is_settled() else 0

    async def _follow(self) -> None:
        """Watch until the history is gone or the store is lost."""
        while True:
            if self.relies_on_peers():
                await self._follow_peers()
            asked_after = self.revision
            found: (
                listings.Changes
                | listings.HistoryGone
                | store.Unavailable
                | None
            ) = None
            with anyio.CancelScope() as self._watching:
                found = await self._source.watch(
                    after=asked_after, seconds=WATCH_SECONDS
                )
            self._watching = None
            match found:
                case None:
                    continue
                case listings.Changes():
                    self._note_answer()
                    self.apply_changes(found)
                    if found.records or found.removed:
                        await anyio.sleep(BATCH_SECONDS)
                case listings.HistoryGone():
                    logging.info(
                        'history gone',
                        extra=logs.fields(revision=asked_after),
                    )
                    return
                case store.Unavailable(detail=detail):
                    self._note_failure(detail)
                    await self._pause()
                    return

    async def _follow_peers(self) -> None:
        """Learn of changes from peers while they follow the store for us."""
        assert self._from_peers is not None
        while self.relies_on_peers():
            if self._is_peer_due():
                self._asked_at = self._clock()
                found = await self._from_peers(self.settled_revision)
                if found is not None:
                    self.apply_peer_listing(found)
            self._wake = anyio.Event()
            with anyio.move_on_after(PEERS_EVERY):
                await self._wake.wait()

    def _is_peer_due(self) -> bool:
        """Whether to ask a peer: for changes, or for a settled list.

        A peer whose store was away a moment ago does not know yet whether
        what is missing is gone.  It does so two seconds later, which is no
        change that anybody tells of.
        """
        if self._heard > self.change_revision:
            return True
        if self.settled_revision >= self.change_revision:
            return False
        return self._clock() - self._asked_at >= UNSETTLED_RETRY_SECONDS

    async def _look_after(self) -> None:
        """Remove vanished endpoints that have not come back."""
        while True:
            await anyio.sleep(LOOK_EVERY)
            if self.store.reached:
                self.presence.remove_lapsed()

    def _note_answer(self) -> None:
        if self.store.note_answer():
            self.presence.note_store_outage()

    async def _pause(self) -> None:
        """Wait after the store has not answered."""
        await anyio.sleep(
            dependency_health.scale_retry_delay(
                RETRY_AFTER, position=self._position()
            )
        )

    def _note_failure(self, detail: str) -> None:
        self.store.note_failure(detail)
        self.presence.note_store_outage()
