"""Keeps the list of endpoints current, from the store or from peers."""

import functools
from typing import Awaitable
from typing import Callable

from absl import logging
import anyio
import msgspec

from .. import logs
from .. import store
from . import dependency_health
from . import deployment
from . import listings
from . import peer_news
from . import presence as presence_module
from . import read_schedule
from .balancing import endpoints

#: Limit of the duration of one watch, a long poll of the store.
MAX_WATCH_SECONDS = 25.0
#: Seconds between two attempts of the first gateway while the store is
#: unavailable; others wait longer.
RETRY_SECONDS = 0.5
#: Seconds between two checks whether such a wait can end.
PAUSE_STEP_SECONDS = 0.1
#: Seconds between two searches for lapsed endpoints.
CHECK_INTERVAL_SECONDS = 0.1
#: Seconds between a change and the next watch, so that endpoints that start or
#: leave together take one call to the store and not one each.
BATCH_SECONDS = 0.5
#: The same while endpoints are kept that may still come back: one that does so
#: late would else be removed for a moment.
RETURN_BATCH_SECONDS = 0.1
#: Seconds for which a gateway waits for its peers' lists once endpoints have
#: had the time to come back after an outage.
MAX_PEER_WAIT_SECONDS = 0.7
#: Seconds between two checks whether peers still follow the store for this
#: gateway, and before a peer that did not answer is asked again.
PEER_POLL_SECONDS = 0.2
#: Seconds before a peer is asked again after a list that was not settled.
UNSETTLED_RETRY_SECONDS = 0.5


#: Fetches the endpoints from a peer that knows more of them than a summary.
FetchFromPeers = Callable[
    [listings.Summary], Awaitable[listings.Listing | None]
]


class EndpointFollower:
    """Follows the endpoints in the store and updates the table.

    :param presence: applies records to the table of endpoints.
    :param on_change: called after each update.
    :param relies_on_peers: whether peers follow the store for this gateway and
        report changes to it.
    :param fetch_from_peers: returns the endpoints of a peer that knows more
        of them, or ``None``.
    :param position: returns how many peers try the store before this gateway
        while it is unavailable and would report its return.
    :param read_position: returns how many peers confirm the list by the store
        before this gateway.
    :param find_cold_seconds: returns for how much longer an endpoint is cold,
        ``None`` if it is not known.
    :ivar listed: whether a list of endpoints has been applied.
    :ivar revision: the store's revision up to which changes are known.
    :ivar confirmed_at: when the list was last known to have all changes.
    :ivar store: whether the store answers calls about endpoints.
    :ivar change_revision: revision of the newest known change of an endpoint.
    :ivar settled_revision: newest ``change_revision`` at which the list was
        settled, see :class:`.listings.Listing`.
    """

    __slots__ = (
        '_source',
        '_table',
        '_clock',
        '_on_change',
        '_fetch_from_peers',
        '_position',
        '_find_cold_seconds',
        '_news',
        '_wake',
        '_watching',
        '_watched_since',
        'presence',
        'listed',
        'revision',
        'change_revision',
        'settled_revision',
        '_asked_at',
        '_schedule',
        'confirmed_at',
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
        fetch_from_peers: FetchFromPeers | None = None,
        position: Callable[[], int] = lambda: 0,
        read_position: Callable[[], int] = lambda: 0,
        find_cold_seconds: Callable[[endpoints.Endpoint], float | None] = (
            lambda endpoint: endpoint.record.cold_seconds
        ),
    ) -> None:
        self._source = source
        self._table = table
        self._clock = clock
        self.presence = presence
        self._on_change = on_change
        self.relies_on_peers = relies_on_peers
        self._fetch_from_peers = fetch_from_peers
        self._position = position
        self._find_cold_seconds = find_cold_seconds
        self._news = peer_news.PeerNews(clock=clock)
        self._wake = anyio.Event()
        self._watching: anyio.CancelScope | None = None
        self._watched_since = float('-inf')
        self.listed = False
        self.revision = 0
        self.change_revision = 0
        self.settled_revision = 0
        self._asked_at = float('-inf')
        self._schedule = read_schedule.ReadSchedule(
            clock=clock, position=read_position
        )
        self.confirmed_at = float('-inf')
        self.store = dependency_health.DependencyHealth(
            name='store', use='endpoints', clock=clock
        )

    async def run(self) -> None:
        """Follow until cancelled."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._remove_lapsed)
            tasks.start_soon(self._ask_peers_while_store_is_silent)
            tasks.start_soon(self._confirm_list)
            while True:
                found = await self._list_endpoints()
                self._note_answer()
                self.apply_listing(found)
                await self._follow_store()

    async def _list_endpoints(self) -> listings.Listing:
        """List the endpoints as soon as the store answers.

        A call to a store that is silent takes long to fail.  Calls therefore
        overlap: endpoints that have left meanwhile are kept until some time
        after this gateway has noticed that the store is back.
        """
        found: list[listings.Listing] = []
        async with anyio.create_task_group() as calls:
            while True:
                calls.start_soon(self._try_to_list, found, calls.cancel_scope)
                await self._pause()
        return found[0]

    async def _try_to_list(
        self, found: list[listings.Listing], calls: anyio.CancelScope
    ) -> None:
        """List the endpoints once; end all calls if the store answers."""
        listing = await self._list_once()
        if listing is not None:
            found.append(listing)
            calls.cancel()

    async def _list_once(self) -> listings.Listing | None:
        """List the endpoints; return ``None`` if the store does not answer.

        A list that was made before a peer's list, which arrived meanwhile, is
        discarded: it can have endpoints that have left since.
        """
        known = self.revision
        asked_at = self._clock()
        match await self._source.list_all():
            case listings.Listing(revision=revision) if self._has_passed(
                revision, since=known
            ):
                return None
            case listings.Listing() as listing:
                self.confirmed_at = max(self.confirmed_at, asked_at)
                return listing
            case store.Unavailable(detail=detail):
                self.store.note_failure(detail)
        return None

    def _has_passed(self, revision: int, *, since: int) -> bool:
        """Whether more than a revision became known during a call.

        :param since: revision that was known before the call.  A store that
            answers with a lower one was restored.
        """
        return self.revision > max(revision, since)

    def note_peer(
        self,
        peer: listings.Summary,
        *,
        confirmed_at: float = float('-inf'),
    ) -> None:
        """Record what a peer knows of the endpoints.

        If this gateway stays behind, its own watch has stalled and is
        restarted, and peers are asked.  Without this it alone would go on
        using a leaving endpoint.

        :param confirmed_at: when the list of the peer was last known to have
            all changes.
        """
        if self._news.merge(peer):
            self._wake.set()
        held = self.summarize_held()
        if held.has_all_of(peer):
            self.confirmed_at = max(self.confirmed_at, confirmed_at)
        ahead = self._news.find_stall(held, is_settled=self._is_settled)
        if ahead and self._watching is not None:
            logging.info(
                'watch behind peers',
                extra=logs.fields(
                    revision=self.revision,
                    heard=ahead,
                    waited=round(self._clock() - self._watched_since, 3),
                ),
            )
            self._watching.cancel()

    def note_restore(self) -> None:
        """List the endpoints again after the store was restored."""
        self.presence.outages.note_restore()
        self._restart_watch()

    def _restart_watch(self) -> None:
        if self._watching is not None:
            self._watching.cancel()

    def apply_peer_listing(self, listing: listings.Listing) -> None:
        """Apply a peer's list while this gateway does not ask the store.

        Endpoints are added and marked as leaving; those that are missing in
        the list are removed only if it is settled.  A list that is complete
        up to a lower revision than this gateway's shows no departures, and
        still has endpoints that have left since.
        """
        if self.listed and not self._knows_less(listing):
            return
        is_complete = listing.settled and listing.revision >= self.revision
        for record in listing.records:
            if is_complete or not self._has_left(record):
                self.presence.put_told(record)
        logging.info(
            'endpoints told',
            extra=logs.fields(
                endpoints=len(listing.records),
                settled=listing.settled,
                newest=listing.newest,
                before=self.change_revision,
                complete=listing.revision,
                complete_before=self.revision,
            ),
        )
        if is_complete:
            self.presence.drop_unlisted(
                listing.records, revision=listing.revision
            )
            self.revision = listing.revision
        if listing.settled:
            self.settled_revision = max(self.settled_revision, listing.newest)
        self.change_revision = max(self.change_revision, listing.newest)
        self.listed = True
        self._log_held()
        self._on_change()

    def _knows_less(self, listing: listings.Listing) -> bool:
        """Whether a peer's list may hold something new."""
        if not listing.settled:
            return listing.newest > self.change_revision
        return (
            listing.newest > self.settled_revision
            or listing.revision > self.revision
        )

    def _has_left(self, record: deployment.EndpointRecord) -> bool:
        """Whether an endpoint has left since its record was written.

        A peer that the store does not answer still lists such endpoints.
        """
        if not record.revision or record.revision > self.revision:
            return False
        return self._table.find(record.identity) is None

    def apply_listing(self, listing: listings.Listing) -> None:
        """Apply a complete list; treat missing endpoints as unlisted."""
        for record in listing.records:
            self.presence.put_listed(record)
        self.presence.drop_unlisted(listing.records, revision=listing.revision)
        self.revision = listing.revision
        self.change_revision = max(self.change_revision, listing.newest)
        self.settled_revision = self.change_revision
        self.listed = True
        self._news.note_progress()
        logging.info(
            'endpoints listed',
            extra=logs.fields(
                endpoints=len(listing.records), revision=listing.revision
            ),
        )
        self._log_held()
        self._on_change()

    def apply_changes(self, changes: listings.Changes) -> None:
        """Apply the changes that a watch has returned."""
        for record in changes.records:
            self.presence.put_written(record)
        for identity in changes.removed:
            self.presence.note_unlisted(identity, revision=changes.revision)
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
            self._log_held()
            self._on_change()
        self._news.note_progress()

    def _log_held(self) -> None:
        """Log what tells whether two gateways hold the same endpoints."""
        logging.info(
            'endpoints held',
            extra=logs.fields(
                endpoints=len(self._table),
                checksum=self._table.checksum,
                revision=self.revision,
                newest=self.change_revision,
                settled=self._is_settled(),
            ),
        )

    def make_listing(self) -> listings.Listing:
        """Return the known endpoints, for a peer."""
        return listings.Listing(
            records=tuple(
                self._describe_endpoint(endpoint) for endpoint in self._table
            ),
            revision=self.revision,
            newest=self.change_revision,
            settled=self._is_settled(),
        )

    def _describe_endpoint(
        self, endpoint: endpoints.Endpoint
    ) -> deployment.EndpointRecord:
        """Return the record of an endpoint, with what remains of its times.

        The receiver counts them from the arrival of the list.
        """
        return msgspec.structs.replace(
            endpoint.record, cold_seconds=self._find_cold_seconds(endpoint)
        )

    def _is_settled(self) -> bool:
        """Whether listed endpoints exist and all others have left.

        That the store answers is not enough: a gateway that relies on peers
        for endpoints still calls the store for other objects.
        """
        if not self.store.reached or not self.presence.is_settled:
            return False
        return self.settled_revision >= self.change_revision

    def summarize(self) -> listings.Summary:
        """Return what this gateway knows, for peers."""
        if not self._is_settled():
            return listings.Summary(newest=self.change_revision)
        return self.summarize_held()

    def summarize_held(self) -> listings.Summary:
        """Return what this gateway knows, though it may not be settled."""
        return listings.Summary(
            newest=self.change_revision,
            settled=self.settled_revision,
            complete=self.revision,
            checksum=self._table.checksum,
        )

    async def _follow_store(self) -> None:
        """Watch until the store fails or has dropped the needed changes.

        A watch that was cut off after a while may have missed a departure, so
        the endpoints are listed at once.
        """
        while True:
            if self.relies_on_peers():
                await self._follow_peers()
            asked_after = self.revision
            self._watched_since = self._clock()
            found: (
                listings.Changes
                | listings.HistoryGone
                | store.Unavailable
                | None
            ) = None
            with anyio.CancelScope() as self._watching:
                found = await self._source.watch(
                    after=asked_after, seconds=MAX_WATCH_SECONDS
                )
            self._watching = None
            match found:
                case None:
                    continue
                case listings.Changes(revision=revision) if self._has_passed(
                    revision, since=asked_after
                ):
                    continue
                case listings.Changes():
                    self._note_answer()
                    self.apply_changes(found)
                    if found.records or found.removed:
                        await anyio.sleep(self._find_batch_seconds())
                case listings.HistoryGone():
                    logging.info(
                        'history gone',
                        extra=logs.fields(revision=asked_after),
                    )
                    return
                case store.Unavailable(detail=detail):
                    waited = self._clock() - self._watched_since
                    self.store.note_failure(detail, waited=waited)
                    if waited < RETRY_SECONDS:
                        await self._pause()
                    return

    def _find_batch_seconds(self) -> float:
        if self.presence.keeps_unlisted:
            return RETURN_BATCH_SECONDS
        return BATCH_SECONDS

    async def _follow_peers(self) -> None:
        """Fetch changes from peers while they follow the store."""
        while self.relies_on_peers():
            await self._ask_peers()
            self._wake = anyio.Event()
            with anyio.move_on_after(PEER_POLL_SECONDS):
                await self._wake.wait()

    async def _ask_peers_while_store_is_silent(self) -> None:
        """Fetch changes from peers while the store does not answer.

        A watch whose connection is dead says nothing for as long as it may
        last, and a new one may fare no better.  Only peers that know more
        show that.
        """
        while True:
            await anyio.sleep(PEER_POLL_SECONDS)
            has_stalled = self._watching is not None and self._news.is_behind
            if has_stalled or not self.store.reached:
                await self._ask_peers()

    async def _confirm_list(self) -> None:
        """Read changes from the store once the list's confirmation is old.

        A watch that says nothing does not show that the store answers, to
        this gateway or to the peers that read it for this one.
        """
        while True:
            await anyio.sleep(CHECK_INTERVAL_SECONDS)
            if self.listed and self._is_read_due():
                await self._read_changes()

    def _is_read_due(self) -> bool:
        if self.store.reached:
            is_due = self._schedule.is_due(confirmed_at=self.confirmed_at)
        else:
            is_due = self._schedule.may_read()
        # While the endpoints are listed, the store is called often enough.
        return is_due and (
            self._watching is not None or self.relies_on_peers()
        )

    async def _read_changes(self) -> None:
        """Ask the store for changes without waiting for one.

        An answer without any confirms the list, but does not raise its
        revision: for a moment before the store drops its history, changes may
        be missing in it.
        """
        asked_after = self.revision
        asked_at = self._clock()
        found = await self._source.watch(after=asked_after, seconds=0.0)
        match found:
            case listings.Changes(revision=revision):
                self._note_answer()
                self.confirmed_at = max(self.confirmed_at, asked_at)
                is_news = bool(found.records or found.removed)
                if is_news and not self._has_passed(
                    revision, since=asked_after
                ):
                    self.apply_changes(found)
                    self._restart_watch()
            case listings.HistoryGone():
                listing = await self._list_once()
                if listing is not None:
                    self._note_answer()
                    self.apply_listing(listing)
            case store.Unavailable(detail=detail):
                self.store.note_failure(
                    detail, waited=self._clock() - asked_at
                )
                self._schedule.pause()

    async def _ask_peers(self) -> None:
        """Fetch the endpoints of a peer that knows more of them."""
        if self._fetch_from_peers is None or not self._is_peer_due():
            return
        self._asked_at = self._clock()
        found = await self._fetch_from_peers(self.summarize_held())
        if found is not None:
            self.apply_peer_listing(found)

    def _is_peer_due(self) -> bool:
        """Whether to ask a peer for changes or for a settled list.

        After a failure of the store, a peer's list is unsettled for two
        seconds.  That it has settled is not announced as a change, so peers
        are polled for it.
        """
        if self._news.latest.newest > self.change_revision:
            return True
        is_settled = self.settled_revision >= self.change_revision
        if is_settled and not self._news.latest.is_more_complete(
            self.summarize_held()
        ):
            return False
        return self._clock() - self._asked_at >= UNSETTLED_RETRY_SECONDS

    async def _remove_lapsed(self) -> None:
        """Remove unlisted endpoints that have not come back in time."""
        waited = 0.0
        while True:
            await anyio.sleep(CHECK_INTERVAL_SECONDS)
            waited += CHECK_INTERVAL_SECONDS
            if self.presence.outages.may_hide_endpoints():
                waited = 0.0
            self.presence.remove_lapsed(
                known_until=functools.partial(self._find_known_until, waited)
            )

    def _find_known_until(self, waited: float) -> float:
        """Return up to which revision returned endpoints are known here.

        A gateway that learns them from peers does so later than those that
        read the store, and waits a little for a list that they have settled.

        :param waited: seconds since endpoints have had the time to come back.
        """
        if waited >= MAX_PEER_WAIT_SECONDS:
            return float('inf')
        if self.store.reached and not self.relies_on_peers():
            return float('inf')
        if self._news.latest.newest > self.change_revision:
            return 0.0
        return self._news.latest.complete

    def _note_answer(self) -> None:
        self.store.note_answer()
        self.presence.outages.note_answer()

    async def _pause(self) -> None:
        """Wait before the store is called again.

        The wait is shortened if peers report meanwhile that it is back.
        """
        waited = 0.0
        while waited < dependency_health.scale_retry_delay(
            RETRY_SECONDS, position=self._position()
        ):
            await anyio.sleep(PAUSE_STEP_SECONDS)
            waited += PAUSE_STEP_SECONDS
