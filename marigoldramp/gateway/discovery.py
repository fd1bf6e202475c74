"""Keeps the list of endpoints current, from the store or from peers."""

import functools
from typing import Awaitable
from typing import Callable

from absl import logging
import anyio

from .. import logs
from .. import store
from . import dependency_health
from . import endpoint_list
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
#: Age of the list's confirmation at which the first gateway reads changes.
#: All must have learned of a departure within 2 s or more.
MIN_READ_AGE_SECONDS = 1.2
#: Seconds between two checks for lapsed endpoints, and for a list whose
#: confirmation is old.
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
    :ivar known: the list of endpoints that this gateway holds.
    :ivar confirmed_at: when the list was last known to have all changes.
    :ivar store: whether the store answers calls about endpoints.
    """

    __slots__ = (
        '_source',
        '_clock',
        '_fetch_from_peers',
        '_position',
        '_news',
        '_wake',
        '_watching',
        '_watched_since',
        'presence',
        'known',
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
        self._clock = clock
        self.presence = presence
        self.relies_on_peers = relies_on_peers
        self._fetch_from_peers = fetch_from_peers
        self._position = position
        self.known = endpoint_list.EndpointList(
            table=table,
            presence=presence,
            is_store_reached=lambda: self.store.reached,
            on_change=on_change,
            find_cold_seconds=find_cold_seconds,
        )
        self._news = peer_news.PeerNews(clock=clock)
        self._wake = anyio.Event()
        self._watching: anyio.CancelScope | None = None
        self._watched_since = float('-inf')
        self._asked_at = float('-inf')
        self._schedule = read_schedule.ReadSchedule(
            min_age=MIN_READ_AGE_SECONDS, clock=clock, position=read_position
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
                self._apply_listing(found)
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
        known = self.known.revision
        asked_at = self._clock()
        match await self._source.list_all():
            case listings.Listing(revision=revision) if self.known.has_passed(
                revision, since=known
            ):
                return None
            case listings.Listing() as listing:
                self.confirmed_at = max(self.confirmed_at, asked_at)
                return listing
            case store.Unavailable(detail=detail):
                self.store.note_failure(detail)
        return None

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
        held = self.known.summarize_held()
        if held.has_all_of(peer):
            self.confirmed_at = max(self.confirmed_at, confirmed_at)
        ahead = self._news.find_stall(held, is_settled=self.known.is_settled)
        if ahead and self._watching is not None:
            logging.info(
                'watch behind peers',
                extra=logs.fields(
                    revision=self.known.revision,
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

    def _apply_listing(self, listing: listings.Listing) -> None:
        self.known.apply_listing(listing)
        self._news.note_progress()

    def _apply_changes(self, changes: listings.Changes) -> None:
        self.known.apply_changes(changes)
        self._news.note_progress()

    async def _follow_store(self) -> None:
        """Watch until the store fails or has dropped the needed changes.

        A watch that was cut off after a while may have missed a departure, so
        the endpoints are listed at once.
        """
        while True:
            if self.relies_on_peers():
                await self._follow_peers()
            asked_after = self.known.revision
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
                case listings.Changes(
                    revision=revision
                ) if self.known.has_passed(revision, since=asked_after):
                    continue
                case listings.Changes():
                    self._note_answer()
                    self._apply_changes(found)
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
            if self.known.listed and self._is_read_due():
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
        asked_after = self.known.revision
        asked_at = self._clock()
        found = await self._source.watch(after=asked_after, seconds=0.0)
        match found:
            case listings.Changes(revision=revision):
                self._note_answer()
                self.confirmed_at = max(self.confirmed_at, asked_at)
                is_news = bool(found.records or found.removed)
                if is_news and not self.known.has_passed(
                    revision, since=asked_after
                ):
                    self._apply_changes(found)
                    self._restart_watch()
            case listings.HistoryGone():
                listing = await self._list_once()
                if listing is not None:
                    self._note_answer()
                    self._apply_listing(listing)
            case store.Unavailable(detail=detail):
                self._schedule.pause()
                if not self.relies_on_peers():
                    self.store.note_failure(
                        detail, waited=self._clock() - asked_at
                    )

    async def _ask_peers(self) -> None:
        """Fetch the endpoints of a peer that knows more of them."""
        if self._fetch_from_peers is None or not self._is_peer_due():
            return
        self._asked_at = self._clock()
        found = await self._fetch_from_peers(self.known.summarize_held())
        if found is not None:
            self.known.apply_peer_listing(found)

    def _is_peer_due(self) -> bool:
        """Whether to ask a peer for changes or for a settled list.

        After a failure of the store, a peer's list is unsettled for two
        seconds.  That it has settled is not announced as a change, so peers
        are polled for it.
        """
        if self._news.latest.newest > self.known.change_revision:
            return True
        is_settled = self.known.settled_revision >= self.known.change_revision
        if is_settled and not self._news.latest.is_more_complete(
            self.known.summarize_held()
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
        if self._news.latest.newest > self.known.change_revision:
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
