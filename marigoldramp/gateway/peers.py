"""The other gateways of the deployment, as their reports describe them.

Peers report to each other over UDP.  From the reports a gateway decides which
peers are alive, which may lead a group of ranks, which callers may use, and
which read the platform's store on its behalf.
"""

import random as random_module
from typing import Callable
from typing import Iterator
from typing import TYPE_CHECKING

from absl import logging
import msgspec

from .. import logs
from . import peer_reports
from . import report_intervals

if TYPE_CHECKING:
    from .balancing import endpoints

#: Peers with at most this report interval may read the store before this
#: gateway does: it soon learns the result from their reports.
MAX_FREQUENT_INTERVAL_SECONDS = 0.3
#: Gateways of one data centre that read the store while it answers them, and
#: the most that try while it does not.  Every call to the store costs money:
#: with 99 gateways watching it, its calls are the largest cost of a day
#: without faults.
MIN_STORE_READERS = 3
MAX_STORE_READERS = 6
#: Gateways that read the operator's evacuations while the store answers them:
#: in one data centre, and among all that report often.  They are fewer than
#: those that read endpoints, as each of them tells all gateways of a change at
#: once, and a second watch of each reader would add a tenth to the calls.
MIN_NEAR_EVACUATION_READERS = 2
MIN_EVACUATION_READERS = 3
#: A peer counts as live until it has been silent for longer than this time and
#: than this many of its report intervals.
MIN_SILENCE_SECONDS = 1.2
MAX_MISSED_REPORTS = 3
#: Missed reports after which another gateway may take over a peer's groups.  A
#: leader that is killed or suspended can stall a group of ranks, and callers
#: abandon a stream after two seconds.  The takeover itself has to fit into
#: that time as well.
MAX_MISSED_BEFORE_TAKEOVER = 5
#: Fraction of the largest capacity from which a gateway counts as equal to the
#: strongest one.
MIN_EQUAL_CAPACITY_RATIO = 0.8
#: Seconds without a report after which a peer is removed.  A peer that is
#: suspended or partitioned may come back earlier than that.
MAX_ABSENCE_SECONDS = 90.0


class Peer(msgspec.Struct, kw_only=True):
    """One other gateway.

    :ivar heard_at: when its last report arrived, negative infinity for never.
    :ivar known_since: when this gateway learned of its address.
    :ivar live: its reports arrive in time.
    """

    instance: str
    host: str
    port: int
    known_since: float
    heard_at: float = float('-inf')
    report: peer_reports.Report | None = None
    live: bool = False


class PeerTable:
    """All known gateways except this one, whether or not they report.

    :param instance: name of this gateway.
    :param data_centre: data centre of this gateway.
    :param clock: see :func:`.boot_clock.read_clock`.
    """

    __slots__ = (
        '_instance',
        '_data_centre',
        '_clock',
        '_started_at',
        '_peers',
        '_in_flight',
        '_touched',
        '_origins',
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
        self._started_at = clock()
        self._random = random
        self._peers: dict[str, Peer] = {}
        self._in_flight: dict[str, int] = {}
        self._touched: set[str] = set()
        self._origins: dict[str, dict[str, int]] = {}

    def __iter__(self) -> Iterator[Peer]:
        return iter(list(self._peers.values()))

    def __len__(self) -> int:
        return len(self._peers)

    def live(self) -> list[Peer]:
        """Return the peers whose reports arrive in time."""
        return [peer for peer in self._peers.values() if peer.live]

    def list_heard(self) -> list[Peer]:
        """Return the peers that have reported and are not shutting down."""
        return [
            peer
            for peer in self._peers.values()
            if peer.report is not None and not peer.report.leaving
        ]

    @property
    def started_at(self) -> float:
        """Return when this process started, by its clock."""
        return self._started_at

    def is_heard_in_time(self, peer: Peer) -> bool:
        """Whether the last report of a peer is recent.

        Unlike :attr:`Peer.live`, this is up to date right after this
        process was frozen.
        """
        return self._clock() - peer.heard_at <= self._max_silence(peer)

    def find_silent_seconds(self, peer: Peer) -> float:
        """Return for how many seconds a peer has counted as silent."""
        if peer.live:
            return 0.0
        since = peer.heard_at + self._max_silence(peer)
        return max(0.0, self._clock() - since)

    def is_near(self, peer: Peer) -> bool:
        """Whether a peer is in this data centre, or has not reported."""
        report = peer.report
        return report is None or report.data_centre == self._data_centre

    def list_frequent_reporters(self) -> list[Peer]:
        """Return the live peers that report at short intervals."""
        return [
            peer
            for peer in self.live()
            if self.report_interval(peer) <= MAX_FREQUENT_INTERVAL_SECONDS
        ]

    def list_earlier_readers(self, *, capacity: float) -> list[Peer]:
        """Return the peers that read the store before this gateway does.

        The order is by descending capacity, then by name.  Only peers that
        report often count, as the others would pass on too late what they
        read.

        :param capacity: capacity of this gateway.
        """
        own = (-capacity, self._instance)
        return [
            peer
            for peer in self.list_frequent_reporters()
            if peer.report is not None
            and (-peer.report.capacity, peer.instance) < own
        ]

    def list_heard_earlier_readers(self, *, capacity: float) -> list[Peer]:
        """Return those of the earlier readers that have not fallen silent.

        :param capacity: capacity of this gateway.
        """
        return [
            peer
            for peer in self.list_earlier_readers(capacity=capacity)
            if self._is_recently_heard(peer)
        ]

    def has_enough_store_readers(self, *, capacity: float) -> bool:
        """Whether enough peers of this data centre read the store.

        :param capacity: capacity of this gateway.
        """
        near = [
            peer
            for peer in self.list_heard_earlier_readers(capacity=capacity)
            if self.is_near(peer)
        ]
        # A gateway that the store does not answer reports that it cannot lead.
        answered = sum(
            peer.report is not None and peer.report.can_lead for peer in near
        )
        return answered >= MIN_STORE_READERS or len(near) >= MAX_STORE_READERS

    def has_enough_evacuation_readers(self, *, capacity: float) -> bool:
        """Whether enough peers read the evacuations of data centres.

        Unlike for endpoints, the number that try is not limited while the
        store answers none: it may reject the first ones and answer others.

        :param capacity: capacity of this gateway.
        """
        reading = [
            peer
            for peer in self.list_heard_earlier_readers(capacity=capacity)
            if peer.report is not None and peer.report.evacuations.is_reader
        ]
        near = sum(self.is_near(peer) for peer in reading)
        return (
            near >= MIN_NEAR_EVACUATION_READERS
            or len(reading) >= MIN_EVACUATION_READERS
        )

    def find_retry_position(self, *, capacity: float) -> int:
        """Return how many peers retry the store before this gateway.

        If the store answers peers, it fails this gateway alone: no peer would
        report that it is back, so this gateway retries as often as the first,
        or as the second if peers read the store for it.

        :param capacity: capacity of this gateway.
        """
        # A gateway that the store does not answer reports that it cannot lead.
        is_answered = any(
            peer.report is not None and peer.report.can_lead
            for peer in self.live()
        )
        if not is_answered:
            return len(self.list_earlier_readers(capacity=capacity))
        return int(self.has_enough_store_readers(capacity=capacity))

    def count_known(self) -> int:
        """Return the number of known peers, live or not."""
        return len(self._peers)

    def in_flight(self, identity: str) -> int:
        """Return how many requests live peers have on an endpoint."""
        return self._in_flight.get(identity, 0)

    def list_origins(self, identity: str) -> dict[str, int]:
        """Return the same number by data centre of these peers."""
        return self._origins.get(identity, {})

    def update_endpoint(self, endpoint: 'endpoints.Endpoint') -> None:
        """Set the requests that live peers have on an endpoint."""
        endpoint.peer_requests = self.in_flight(endpoint.identity)
        endpoint.peer_origins = self.list_origins(endpoint.identity)

    def add(self, *, instance: str, host: str, port: int) -> None:
        """Add a peer, or update the address of one that is not live."""
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

    def apply_report(
        self, report: peer_reports.Report
    ) -> frozenset[str] | None:
        """Record the report of a peer.

        :returns: endpoints whose requests in flight have changed since the
            last report of any peer, or ``None`` if a later report of the peer
            has already arrived.
        """
        if report.instance == self._instance:
            return None
        self.add(instance=report.instance, host=report.host, port=report.port)
        peer = self._peers[report.instance]
        last = peer.report
        if (
            last is not None
            and last.incarnation == report.incarnation
            and report.sent <= last.sent
        ):
            return None
        counted = last.in_flight if last is not None and peer.live else {}
        self._update_in_flight(report.data_centre, counted, report.in_flight)
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
        for known in report.known_peers:
            self.add(instance=known.instance, host=known.host, port=known.port)
        touched = frozenset(self._touched)
        self._touched.clear()
        return touched

    def expire_silent(self) -> None:
        """Mark silent peers as not live, and remove those long silent."""
        now = self._clock()
        for peer in list(self._peers.values()):
            if now - peer.heard_at <= MIN_SILENCE_SECONDS:
                continue
            if peer.live and not self.is_heard_in_time(peer):
                if peer.report is not None:
                    self._update_in_flight(
                        peer.report.data_centre, peer.report.in_flight, {}
                    )
                peer.live = False
                logging.info(
                    'peer silent',
                    extra=logs.fields(
                        peer=peer.instance, age=now - peer.heard_at
                    ),
                )
            last = max(peer.heard_at, peer.known_since)
            if now - last > MAX_ABSENCE_SECONDS:
                del self._peers[peer.instance]
                logging.info(
                    'peer gone', extra=logs.fields(peer=peer.instance)
                )

    def sample_live(self, most: int) -> tuple[peer_reports.KnownPeer, ...]:
        """Return random live peers to name in a report.

        This is how all gateways learn of each other.
        """
        live = self.live()
        chosen = self._random.sample(live, min(most, len(live)))
        return tuple(
            peer_reports.KnownPeer(
                instance=peer.instance, host=peer.host, port=peer.port
            )
            for peer in chosen
        )

    def is_suspect(self, instance: str) -> bool:
        """Whether a peer is silent while most other peers are heard.

        A gateway that was suspended or is partitioned itself hears nobody; it
        must not suspect all of its peers.
        """
        peer = self._peers.get(instance)
        if (
            peer is None
            or peer.report is None
            or self._is_recently_heard(peer)
        ):
            return False
        others = self._list_reference_peers(peer)
        heard = sum(self._is_recently_heard(one) for one in others)
        return 2 * heard > len(others)

    def is_unreachable(self, instance: str) -> bool:
        """Whether a peer is suspect, or never reported while others did.

        A leader that froze before this gateway started has never reported to
        it.  Waiting for its lease to expire would stall its group for four
        seconds.
        """
        peer = self._peers.get(instance)
        if peer is not None and peer.report is not None:
            return self.is_suspect(instance)
        if self._clock() - self._started_at < MIN_SILENCE_SECONDS:
            return False
        others = self._list_reference_peers(peer)
        heard = sum(self._is_recently_heard(one) for one in others)
        return bool(heard) and 2 * heard > len(others)

    def _list_reference_peers(self, peer: Peer | None) -> list[Peer]:
        """Return the peers whose silence would show a fault of this gateway.

        Peers with long report intervals are left out if possible: they count
        as heard long after this gateway was suspended or partitioned.
        """
        known = self.list_frequent_reporters() or self.live()
        return [one for one in known if one is not peer]

    def denies_leading(self, instance: str, group: str) -> bool:
        """Whether a peer is heard but does not report leading the group."""
        peer = self._peers.get(instance)
        if (
            peer is None
            or peer.report is None
            or not self._is_recently_heard(peer)
        ):
            return False
        return group not in peer.report.leads

    def list_leader_candidates(self, *, capacity: float = 0.0) -> list[str]:
        """Return the peers with enough capacity to lead groups of ranks.

        :param capacity: capacity of this gateway.
        """
        capacities = self._candidate_capacities()
        largest = max(capacities.values(), default=0.0)
        threshold = MIN_EQUAL_CAPACITY_RATIO * max(largest, capacity)
        return [name for name, one in capacities.items() if one >= threshold]

    def has_stronger_peer(self, *, capacity: float) -> bool:
        """Whether a peer that may lead has much more capacity.

        :param capacity: capacity of this gateway.
        """
        largest = max(self._candidate_capacities().values(), default=0.0)
        return capacity < MIN_EQUAL_CAPACITY_RATIO * largest

    def _candidate_capacities(self) -> dict[str, float]:
        """Return the capacity of each live peer that may lead."""
        return {
            peer.instance: peer.report.capacity
            for peer in self.live()
            if peer.report is not None
            and peer.report.can_lead
            and not self.is_suspect(peer.instance)
        }

    def list_led_groups(self) -> frozenset[str]:
        """Return the groups that live peers report they lead."""
        return frozenset(
            name
            for peer in self.live()
            if peer.report is not None and not self.is_suspect(peer.instance)
            for name in peer.report.leads
        )

    def _is_recently_heard(self, peer: Peer) -> bool:
        longest = MAX_MISSED_BEFORE_TAKEOVER * self.report_interval(peer)
        return self._clock() - peer.heard_at <= longest

    def _max_silence(self, peer: Peer) -> float:
        return max(
            MIN_SILENCE_SECONDS,
            MAX_MISSED_REPORTS * self.report_interval(peer),
        )

    def report_interval(self, peer: Peer) -> float:
        """Return the interval that a peer announces for its reports."""
        period = 0.0 if peer.report is None else peer.report.period
        return period or report_intervals.DEFAULT_INTERVAL_SECONDS

    def _update_in_flight(
        self,
        data_centre: str,
        before: dict[str, int],
        after: dict[str, int],
    ) -> None:
        """Replace what a peer had in flight in the totals.

        :param data_centre: data centre of the peer.
        """
        if before == after:
            return
        for identity in before.keys() | after.keys():
            change = after.get(identity, 0) - before.get(identity, 0)
            if not change:
                continue
            self._touched.add(identity)
            origins = self._origins.setdefault(identity, {})
            origins[data_centre] = origins.get(data_centre, 0) + change
            total = self._in_flight.get(identity, 0) + change
            if total > 0:
                self._in_flight[identity] = total
            else:
                self._in_flight.pop(identity, None)
                self._origins.pop(identity, None)
