"""Exchanges suspects with peers, until all gateways know the same ones.

When a gateway itself sees a change of a suspect, it reports it to all peers at
once and again in the reports of the next seconds.  A peer that receives none
of these, since it was cut off or has just started, notices a difference by the
digest in each report and fetches all suspects.
"""

import collections
from typing import Awaitable
from typing import Callable

from absl import logging
import anyio
import msgspec

from ... import logs
from .. import peer_reports
from .. import peers
from . import suspects

#: Seconds for which a change is included in reports.
REPORTING_SECONDS = 3.0
#: Limit of suspects in one report, which has to hold other data as well.
MAX_REPORTED_SUSPECTS = 6
#: Seconds for which a peer's digest must have differed before its suspects are
#: fetched, as recent changes may still be on their way.
MIN_DIFFERENCE_SECONDS = 0.5
#: Seconds before suspects are fetched again from a peer that still differs.
REFETCH_SECONDS = 5.0
#: Seconds between two checks for a peer to fetch from.
CHECK_INTERVAL_SECONDS = 0.1


class SuspectList(msgspec.Struct, frozen=True, kw_only=True):
    """All suspects that a gateway knows."""

    suspicions: tuple[suspects.SuspectRecord, ...]


class _Change(msgspec.Struct, frozen=True, kw_only=True):
    """A change of a suspect to report, and when it was queued."""

    fingerprint: str
    at: float


Fetch = Callable[[peers.Peer], Awaitable[SuspectList | None]]


class SuspectExchange:
    """Reports suspects to peers and merges those that peers report.

    :param known: the suspects that this gateway knows.
    :param fetch: returns all suspects of a peer, ``None`` if that failed.
    :param send_reports_now: sends the next reports without delay.
    """

    __slots__ = (
        '_known',
        '_peers',
        '_fetch',
        '_send_reports_now',
        '_clock',
        '_changes',
        '_turn',
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
        self._changes: collections.deque[_Change] = collections.deque()
        self._turn = 0
        self._differs_since: dict[str, float] = {}

    def note_change(self, fingerprint: str) -> None:
        """Report a change that this gateway has seen itself."""
        self._queue(fingerprint)
        self._send_reports_now()

    def note_clearance(self, fingerprint: str) -> None:
        """Report an answer that other gateways have probably seen too."""
        self._queue(fingerprint)

    def _queue(self, fingerprint: str) -> None:
        """Include a suspect in the reports of the next seconds."""
        self._changes.append(
            _Change(fingerprint=fingerprint, at=self._clock())
        )

    def make_update(self) -> suspects.SuspectUpdate:
        """Return the part of the next report that is about suspects."""
        oldest = self._clock() - REPORTING_SECONDS
        while self._changes and self._changes[0].at < oldest:
            self._changes.popleft()
        recent = dict.fromkeys(one.fingerprint for one in self._changes)
        found = [self._known.describe(one) for one in recent]
        return suspects.SuspectUpdate(
            digest=self._known.digest(),
            suspicions=self._choose([one for one in found if one is not None]),
        )

    def _choose(
        self, found: list[suspects.SuspectRecord]
    ) -> tuple[suspects.SuspectRecord, ...]:
        """Return the suspects for one report.

        Half of them are those with the most ends, as one more may be enough to
        block them.  The others take turns, so that peers learn of each.
        """
        found.sort(key=lambda one: len(one.ends), reverse=True)
        first = found[: MAX_REPORTED_SUSPECTS // 2]
        rest = found[len(first) :]
        if not rest:
            return tuple(first)
        begin = self._turn % len(rest)
        chosen = (rest[begin:] + rest[:begin])[
            : MAX_REPORTED_SUSPECTS - len(first)
        ]
        self._turn = begin + len(chosen)
        return tuple(first + chosen)

    def handle_report(self, report: peer_reports.Report) -> None:
        """Merge the suspects of a peer's report and compare its digest."""
        news = report.suspect_news
        for suspect in news.suspicions:
            if self._known.merge(suspect, source=report.instance):
                # Many gateways may know of the answer, so it waits for the
                # next regular report.
                self._queue(suspect.fingerprint)
        own = self._known.digest()
        # A gateway does not fetch from a peer that knows fewer suspects, so
        # that not all gateways fetch from one that has just started.
        if news.digest == own or news.digest.known < own.known:
            self._differs_since.pop(report.instance, None)
            return
        since = self._clock()
        if not own.known:
            since -= MIN_DIFFERENCE_SECONDS
        self._differs_since.setdefault(report.instance, since)

    def list_all(self) -> SuspectList:
        """Return all suspects that this gateway knows."""
        return SuspectList(suspicions=self._known.list_all())

    async def run(self) -> None:
        """Fetch suspects from peers whose digests differ, until cancelled."""
        while True:
            await anyio.sleep(CHECK_INTERVAL_SECONDS)
            peer = self._find_differing_peer()
            if peer is not None:
                await self._fetch_from(peer)

    def _find_differing_peer(self) -> peers.Peer | None:
        """Return a peer whose digest has differed for long enough."""
        if not self._differs_since:
            return None
        latest = self._clock() - MIN_DIFFERENCE_SECONDS
        for peer in self._peers.live():
            since = self._differs_since.get(peer.instance)
            if since is not None and since <= latest:
                return peer
        return None

    async def _fetch_from(self, peer: peers.Peer) -> None:
        self._differs_since[peer.instance] = self._clock() + REFETCH_SECONDS
        found = await self._fetch(peer)
        if found is None:
            return
        logging.info(
            'suspects fetched',
            extra=logs.fields(
                peer=peer.instance, suspects=len(found.suspicions)
            ),
        )
        for suspect in found.suspicions:
            self._known.merge(suspect, source=peer.instance)
        own = self._known.digest()
        for other in self._peers.live():
            report = other.report
            if report is not None and report.suspect_news.digest == own:
                self._differs_since.pop(other.instance, None)
