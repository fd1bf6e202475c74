"""The other entries, as their reports show them."""

import dataclasses
import random as random_module
from typing import Callable
from typing import Iterator

from absl import logging

from .. import logs
from . import outbound
from . import peer_reports
from . import report_intervals

#: Longest period of a peer on whose word we wait before we ask the store.
PROMPT_PERIOD = 0.3
#: Entries of one data centre that ask the store, each for itself, as long as
#: it answers them; and the most that try while it does not.  Each call of the
#: store is paid for: with 99 entries that all watched it, calls were the
#: largest price of a calm day.
STORE_READERS = 3
MOST_STORE_READERS = 6
#: Ready entries of one data centre that are enough for its callers.
ENOUGH_NEAR = 8
#: Ready entries besides, if there are so many, among which the leaders of
#: groups are left out.
ENOUGH_WITHOUT_LEADERS = 10
#: Seconds without a report after which a peer's word counts no more, and the
#: reports that must have been missed at least.
SILENT_AFTER = 1.2
SILENT_MISSED = 3
#: Missed reports after which another entry may lead in a peer's place.  A
#: leader that is killed or suspended can leave a group of ranks standing, and
#: callers give a stream up after two seconds; the rest of them is for taking
#: over.
SUSPECT_MISSED = 5
#: Part of the strength of the strongest entry from which on another one counts
#: as equal to it.
ALIKE = 0.8
#: Seconds without a report after which a peer is taken as gone for good: it
#: may have been suspended or cut off for shorter.
GONE_AFTER = 90.0


@dataclasses.dataclass(slots=True, kw_only=True)
class Peer:
    """One other entry.

    :ivar heard_at: when its last report came, negative infinity for never.
    :ivar known_since: when it was first named.
    """

    instance: str
    host: str
    port: int
    known_since: float
    heard_at: float = float('-inf')
    report: peer_reports.Report | None = None
    live: bool = False


class PeerTable:
    """All entries that may live, but this one.

    :param instance: our own name.
    :param data_centre: our own.
    :param clock: see :func:`.boot_clock.read_clock`.
    """

    __slots__ = (
        '_instance',
        '_data_centre',
        '_clock',
        '_began',
        '_peers',
        '_in_flight',
        '_random',
    )

    def __init__(
        self,
        *,
        instance: str,
        clock: Callable[[], float],
        random: random_module.Random,
        data_centre: str = '',
    ) -> None:
        self._instance = instance
        self._data_centre = data_centre
        self._clock = clock
        self._began = clock()
        self._random = random
        self._peers: dict[str, Peer] = {}
        self._in_flight: dict[str, int] = {}

    def __iter__(self) -> Iterator[Peer]:
        return iter(list(self._peers.values()))

    def __len__(self) -> int:
        return len(self._peers)

    def live(self) -> list[Peer]:
        """Return the peers whose reports come."""
        return [peer for peer in self._peers.values() if peer.live]

    def is_near(self, peer: Peer) -> bool:
        """Whether a peer is in our data centre, as far as is known."""
        report = peer.report
        return report is None or report.data_centre == self._data_centre

    def prompt(self) -> list[Peer]:
        """Return the live peers from which we hear often."""
        return [
            peer for peer in self.live() if self._period(peer) <= PROMPT_PERIOD
        ]

    def ahead(self, *, strength: float) -> list[Peer]:
        """Return the peers that ask the store before we do.

        Only those that we hear often, as we learn from them what they read;
        the strongest first, and then by name.

        :param strength: our own.
        """
        own = (-strength, self._instance)
        return [
            peer
            for peer in self.prompt()
            if peer.report is not None
            and (-peer.report.strength, peer.instance) < own
        ]

    def read_store_for_us(self, *, strength: float) -> bool:
        """Whether enough peers of our data centre ask the store.

        :param strength: our own.
        """
        near = [
            peer
            for peer in self.ahead(strength=strength)
            if self.is_near(peer) and self._is_heard(peer)
        ]
        answered = sum(
            peer.report is not None and peer.report.fit for peer in near
        )
        return answered >= STORE_READERS or len(near) >= MOST_STORE_READERS

    def may_live(self) -> int:
        """Return how many peers may live, heard or not."""
        return len(self._peers)

    def in_flight(self, identity: str) -> int:
        """Return the requests of live peers on an endpoint."""
        return self._in_flight.get(identity, 0)

    def learn(self, *, instance: str, host: str, port: int) -> None:
        """Learn of an entry that somebody names."""
        if instance == self._instance:
            return
        known = self._peers.get(instance)
        if known is None:
            self._peers[instance] = Peer(
                instance=instance,
                host=host,
                port=port,
                known_since=self._clock(),
            )
            logging.info(
                'peer known',
                extra=logs.fields(peer=instance, host=host, port=port),
            )
        elif not known.live and (known.host, known.port) != (host, port):
            known.host = host
            known.port = port

    def take(self, report: peer_reports.Report) -> frozenset[str] | None:
        """Take a report; ``None`` for one that was overtaken.

        :returns: endpoints whose requests in flight may have changed.
        """
        if report.instance == self._instance:
            return None
        self.learn(
            instance=report.instance, host=report.host, port=report.port
        )
        peer = self._peers[report.instance]
        last = peer.report
        if (
            last is not None
            and last.incarnation == report.incarnation
            and report.sent <= last.sent
        ):
            return None
        touched = set(report.in_flight)
        if last is not None:
            touched.update(last.in_flight)
        self._count(peer, -1)
        peer.report = report
        peer.host = report.host
        peer.port = report.port
        peer.heard_at = self._clock()
        if not peer.live:
            logging.info(
                'peer heard',
                extra=logs.fields(peer=peer.instance, version=report.version),
            )
        peer.live = True
        self._count(peer, 1)
        for known in report.known:
            self.learn(
                instance=known.instance, host=known.host, port=known.port
            )
        return frozenset(touched)

    def drop_silent(self) -> None:
        """Stop believing peers whose reports have stopped."""
        now = self._clock()
        for peer in list(self._peers.values()):
            if peer.live and now - peer.heard_at > self._silence(peer):
                self._count(peer, -1)
                peer.live = False
                logging.info(
                    'peer silent',
                    extra=logs.fields(
                        peer=peer.instance, age=now - peer.heard_at
                    ),
                )
            last = max(peer.heard_at, peer.known_since)
            if now - last > GONE_AFTER:
                del self._peers[peer.instance]
                logging.info(
                    'peer gone', extra=logs.fields(peer=peer.instance)
                )

    def name_some(self, most: int) -> tuple[peer_reports.KnownPeer, ...]:
        """Return some live peers, so that all entries get to know all."""
        live = self.live()
        chosen = self._random.sample(live, min(most, len(live)))
        return tuple(
            peer_reports.KnownPeer(
                instance=peer.instance, host=peer.host, port=peer.port
            )
            for peer in chosen
        )

    def ready_addresses(self) -> list[outbound.Address]:
        """Return where callers can connect, at live peers that are ready.

        Where there are enough, only those of our data centre, and none that
        leads a group: a leader that also serves its part of the callers is
        later with each change of the map, which makes all callers late.
        """
        ready = [peer for peer in self.live() if _takes_calls(peer)]
        near = [peer for peer in ready if self.is_near(peer)]
        if len(near) >= ENOUGH_NEAR:
            ready = near
        idle = [peer for peer in ready if not _leads(peer)]
        if len(idle) >= ENOUGH_WITHOUT_LEADERS:
            ready = idle
        found = [
            outbound.Address(
                host=peer.report.call_host, port=peer.report.call_port
            )
            for peer in ready
            if peer.report is not None
        ]
        self._random.shuffle(found)
        return found

    def is_suspect(self, instance: str) -> bool:
        """Whether a peer has fallen silent while most others are heard.

        An entry that was suspended itself, or is cut off, hears nobody; it
        must not take all others for gone.
        """
        peer = self._peers.get(instance)
        if peer is None or peer.report is None or self._is_heard(peer):
            return False
        others = self._list_witnesses(peer)
        heard = sum(self._is_heard(one) for one in others)
        return 2 * heard > len(others)

    def is_lost(self, instance: str) -> bool:
        """Whether a peer is silent, or was since before we started.

        One that froze before we started was never heard by us.  Left to its
        lease, a group that it held would stand for four seconds.
        """
        peer = self._peers.get(instance)
        if peer is not None and peer.report is not None:
            return self.is_suspect(instance)
        if self._clock() - self._began < SILENT_AFTER:
            return False
        others = self._list_witnesses(peer)
        heard = sum(self._is_heard(one) for one in others)
        return bool(heard) and 2 * heard > len(others)

    def _list_witnesses(self, peer: Peer | None) -> list[Peer]:
        """Return the peers whose silence would show that it is ours.

        Those that report seldom count as heard for long after we were
        suspended or cut off ourselves.
        """
        known = self.prompt() or self.live()
        return [one for one in known if one is not peer]

    def is_idle(self, instance: str, group: str) -> bool:
        """Whether a peer is heard and says that it does not lead a group."""
        peer = self._peers.get(instance)
        if peer is None or peer.report is None or not self._is_heard(peer):
            return False
        return group not in peer.report.leads

    def fit_to_lead(self, *, strength: float = 0.0) -> list[str]:
        """Return the peers that may lead groups of ranks, the strongest ones.

        :param strength: our own.
        """
        fit = self._fit_strengths()
        most = max(fit.values(), default=0.0)
        least = ALIKE * max(most, strength)
        return [name for name, one in fit.items() if one >= least]

    def is_outdone(self, *, strength: float) -> bool:
        """Whether a peer that may lead can do much more than we.

        :param strength: our own.
        """
        most = max(self._fit_strengths().values(), default=0.0)
        return strength < ALIKE * most

    def _fit_strengths(self) -> dict[str, float]:
        """Return the strength of each live peer that may lead."""
        return {
            peer.instance: peer.report.strength
            for peer in self.live()
            if peer.report is not None
            and peer.report.fit
            and not self.is_suspect(peer.instance)
        }

    def led_groups(self) -> frozenset[str]:
        """Return the groups that live peers say they lead."""
        return frozenset(
            name
            for peer in self.live()
            if peer.report is not None and not self.is_suspect(peer.instance)
            for name in peer.report.leads
        )

    def _is_heard(self, peer: Peer) -> bool:
        longest = SUSPECT_MISSED * self._period(peer)
        return self._clock() - peer.heard_at <= longest

    def _silence(self, peer: Peer) -> float:
        return max(SILENT_AFTER, SILENT_MISSED * self._period(peer))

    def _period(self, peer: Peer) -> float:
        """Return how often a peer reports to us, by its own word."""
        period = 0.0 if peer.report is None else peer.report.period
        return period or report_intervals.PERIOD

    def _count(self, peer: Peer, sign: int) -> None:
        """Add or take away what a peer has in flight."""
        if peer.report is None or not peer.live and sign < 0:
            return
        for identity, amount in peer.report.in_flight.items():
            total = self._in_flight.get(identity, 0) + sign * amount
            if total > 0:
                self._in_flight[identity] = total
            else:
                self._in_flight.pop(identity, None)


def _takes_calls(peer: Peer) -> bool:
    report = peer.report
    if report is None or not report.ready or report.leaving:
        return False
    return bool(report.call_host)


def _leads(peer: Peer) -> bool:
    return peer.report is not None and bool(peer.report.leads)
