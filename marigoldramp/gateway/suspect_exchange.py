"""How entries come to know the same suspects.

What an entry learns itself it tells all peers at once, and again in the
reports of the next seconds.  A peer that hears none of these, as it was cut
off or has just started, notices by the digest of what is known that stands in
each report, and fetches all of it.
"""

import collections
import dataclasses
from typing import Awaitable
from typing import Callable

from absl import logging
import anyio
import msgspec

from .. import logs
from . import peer_reports
from . import peers
from . import suspects

#: Seconds for which reports tell of what was learnt.
TOLD_SECONDS = 3.0
#: Suspects that one report tells of: as many as fit beside all else.
MAX_REPORTED_SUSPECTS = 6
#: Seconds for which a peer must have known something else before it is asked:
#: what was learnt just now is on its way.
DIFFERS_SECONDS = 0.5
#: Seconds until a peer is asked again that had nothing new to us.
ASK_AGAIN_SECONDS = 5.0
#: Seconds between two looks for a peer to be asked.
LOOK_EVERY = 0.1


class SuspectList(msgspec.Struct, frozen=True, kw_only=True):
    """All suspects that an entry knows."""

    suspicions: tuple[suspects.SuspectRecord, ...]


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class _Learnt:
    """What this entry has learnt itself, and when."""

    fingerprint: str
    at: float


Fetch = Callable[[peers.Peer], Awaitable[SuspectList | None]]


class SuspectExchange:
    """Tells peers of suspects, and takes their word.

    :param fetch: returns all that a peer knows.
    :param send_reports_now: has the next reports sent at once.
    """

    __slots__ = (
        '_known',
        '_peers',
        '_fetch',
        '_send_reports_now',
        '_clock',
        '_learnt',
        '_differs_since',
    )

    def __init__(
        self,
        *,
        known: suspects.Suspects,
        peers: peers.PeerTable,
        fetch: Fetch,
        send_reports_now: Callable[[], None],
        clock: Callable[[], float],
    ) -> None:
        self._known = known
        self._peers = peers
        self._fetch = fetch
        self._send_reports_now = send_reports_now
        self._clock = clock
        self._learnt: collections.deque[_Learnt] = collections.deque()
        self._differs_since: dict[str, float] = {}

    def note_change(self, fingerprint: str) -> None:
        """Note that this entry has learnt of a request itself."""
        self._keep(fingerprint)
        self._send_reports_now()

    def _keep(self, fingerprint: str) -> None:
        """Tell of a request in the reports of the next seconds."""
        self._learnt.append(_Learnt(fingerprint=fingerprint, at=self._clock()))

    def make_update(self) -> suspects.SuspectUpdate:
        """Return what the next report says."""
        oldest = self._clock() - TOLD_SECONDS
        while self._learnt and self._learnt[0].at < oldest:
            self._learnt.popleft()
        named = dict.fromkeys(one.fingerprint for one in self._learnt)
        found = [
            self._known.describe(one)
            for one in list(named)[-MAX_REPORTED_SUSPECTS:]
        ]
        return suspects.SuspectUpdate(
            digest=self._known.digest(),
            suspicions=tuple(one for one in found if one is not None),
        )

    def handle_report(self, report: peer_reports.Report) -> None:
        """Take what a report says."""
        news = report.suspect_news
        for suspicion in news.suspicions:
            if self._known.merge(suspicion, source=report.instance):
                # Many entries may know of an answer; their next reports do.
                self._keep(suspicion.fingerprint)
        own = self._known.digest()
        # Who knows less asks, so that not all ask one that has just started.
        if news.digest == own or news.digest.known < own.known:
            self._differs_since.pop(report.instance, None)
            return
        since = self._clock()
        if not own.known:
            since -= DIFFERS_SECONDS
        self._differs_since.setdefault(report.instance, since)

    def list_all(self) -> SuspectList:
        """Return all that is known here."""
        return SuspectList(suspicions=self._known.list_all())

    async def run(self) -> None:
        """Ask peers that know more until cancelled."""
        while True:
            await anyio.sleep(LOOK_EVERY)
            peer = self._find_due()
            if peer is not None:
                await self._ask(peer)

    def _find_due(self) -> peers.Peer | None:
        """Return a peer that has known something else for long enough."""
        latest = self._clock() - DIFFERS_SECONDS
        for peer in self._peers.live():
            since = self._differs_since.get(peer.instance)
            if since is not None and since <= latest:
                return peer
        return None

    async def _ask(self, peer: peers.Peer) -> None:
        self._differs_since[peer.instance] = self._clock() + ASK_AGAIN_SECONDS
        found = await self._fetch(peer)
        if found is None:
            return
        logging.info(
            'suspects fetched',
            extra=logs.fields(
                peer=peer.instance, suspects=len(found.suspicions)
            ),
        )
        for suspicion in found.suspicions:
            self._known.merge(suspicion, source=peer.instance)
        own = self._known.digest()
        for other in self._peers.live():
            report = other.report
            if report is not None and report.suspect_news.digest == own:
                self._differs_since.pop(other.instance, None)
