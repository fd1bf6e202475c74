"""Divides the limits of a customer among entries according to demand.

Callers may use any entry of a customer, and many use only one.  With equal
shares they could not use the part of the limit that the other entries hold.
So the entries that serve a customer tell each other how much demand they have,
and each computes its share from the same figures.  There is no agreement
protocol: if messages between two entries are lost in either direction, both
use equal shares, whose sum never exceeds the limit.
"""

import dataclasses
from typing import Callable
from typing import Sequence

from . import messages

#: Interval between datagrams to an entry.
PUBLISH_SECONDS = 0.5
#: Age up to which the demands of a peer are used.
MAX_USAGE_AGE_SECONDS = 1.75
#: Part of the limit that is always divided equally, so that an entry without
#: demand can serve the first calls that arrive.
EQUALLY_DIVIDED_FRACTION = 0.1
#: Demand from which a customer is reported, as a fraction of the equal share.
MIN_REPORTED_FRACTION = 0.5
#: Limit of demands in one datagram, which keeps it below 1,200 bytes.
MOST_DEMANDS = 24


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class _PeerUsage:
    """The latest usage message of a peer.

    :ivar received_at: clock time of its arrival.
    :ivar hears: whether the peer has fresh demands of this entry.
    :ivar demands: fraction of the limits demanded at the peer, by customer.
    """

    received_at: float
    hears: bool
    demands: dict[str, float]


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Asked:
    """The demand of one customer at this entry.

    :ivar fraction: demand as a fraction of the customer's whole limits.
    :ivar serving: the entries that serve the customer.
    """

    customer: str
    fraction: float
    serving: tuple[str, ...]


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Report:
    """The demands to send to one peer.

    :ivar hears: whether this entry has fresh demands of the peer.
    """

    peer: str
    hears: bool
    demands: tuple[messages.Demand, ...]


class Demands:
    """Tracks the demands at this entry and those reported by its peers.

    :param entry: this entry's instance name.
    :param clock: returns the time in seconds.
    :param most_peers: maximum number of peers whose usage is kept.
    """

    __slots__ = (
        '_entry',
        '_clock',
        '_most_peers',
        '_peer_usages',
        '_published',
    )

    def __init__(
        self, *, entry: str, clock: Callable[[], float], most_peers: int
    ) -> None:
        self._entry = entry
        self._clock = clock
        self._most_peers = most_peers
        self._peer_usages: dict[str, _PeerUsage] = {}
        self._published: dict[str, float] = {}

    def note(self, usage: messages.Usage) -> None:
        """Store the usage of a peer in place of its previous one."""
        self._peer_usages.pop(usage.entry, None)
        if len(self._peer_usages) >= self._most_peers:
            del self._peer_usages[next(iter(self._peer_usages))]
        self._peer_usages[usage.entry] = _PeerUsage(
            received_at=self._clock(),
            hears=usage.hears,
            demands={one.customer: one.fraction for one in usage.demands},
        )

    def hears(self, peer: str) -> bool:
        """Return whether the usage of a peer is fresh."""
        usage = self._peer_usages.get(peer)
        if usage is None:
            return False
        return self._clock() - usage.received_at <= MAX_USAGE_AGE_SECONDS

    def publish(self, asked: Sequence[Asked]) -> list[Report]:
        """Return the reports for the peers.

        From now on, the shares of this entry are based on these reports.
        Only customers whose demand comes near a share, here or at a peer
        that reported it, are included: most customers cause no datagram.
        """
        self._published = {}
        demands_by_peer: dict[str, list[messages.Demand]] = {}
        for customer_demand in asked:
            if not self._needs_report(customer_demand):
                continue
            demand = self._publish_demand(
                customer=customer_demand.customer,
                fraction=customer_demand.fraction,
            )
            for peer in customer_demand.serving:
                if peer != self._entry:
                    demands_by_peer.setdefault(peer, []).append(demand)
        self._add_answers(
            demands_by_peer, known_customers={one.customer for one in asked}
        )
        return [
            Report(
                peer=peer,
                hears=self.hears(peer),
                demands=tuple(demands[:MOST_DEMANDS]),
            )
            for peer, demands in demands_by_peer.items()
        ]

    def _publish_demand(
        self, *, customer: str, fraction: float
    ) -> messages.Demand:
        self._published[customer] = fraction
        return messages.Demand(customer=customer, fraction=fraction)

    def _add_answers(
        self,
        demands_by_peer: dict[str, list[messages.Demand]],
        *,
        known_customers: set[str],
    ) -> None:
        """Add a demand of 0 for customers that only a peer knows.

        Without such an answer the peer could not use this entry's part of
        the limit, and a customer that uses only one entry would lose it.
        """
        for peer, usage in self._peer_usages.items():
            if not self.hears(peer):
                continue
            for customer, fraction in usage.demands.items():
                if fraction > 0.0 and customer not in known_customers:
                    demand = self._publish_demand(
                        customer=customer, fraction=0.0
                    )
                    demands_by_peer.setdefault(peer, []).append(demand)

    def _needs_report(self, asked: Asked) -> bool:
        """Return whether the demand comes near a share here or at a peer.

        Reports below the threshold, which only answer another report, do not
        count, or two entries would answer each other endlessly.
        """
        min_fraction = MIN_REPORTED_FRACTION / max(1, len(asked.serving))
        if asked.fraction >= min_fraction:
            return True
        return any(
            self.hears(peer)
            and self._peer_usages[peer].demands.get(asked.customer, 0.0)
            >= min_fraction
            for peer in asked.serving
            if peer != self._entry
        )

    def share(self, *, customer: str, serving: Sequence[str]) -> float:
        """Return the fraction of a customer's limits for this entry.

        :param serving: the entries that serve it, which all entries compute
            alike.
        """
        if self._entry not in serving:
            return 0.0
        equal = 1.0 / len(serving)
        if customer not in self._published:
            return equal
        total = own = self._published[customer]
        for peer in serving:
            if peer == self._entry:
                continue
            usage = self._peer_usages.get(peer)
            if usage is None or not usage.hears or not self.hears(peer):
                return equal
            if customer not in usage.demands:
                return equal
            total += usage.demands[customer]
        if total <= 0.0:
            return equal
        return (
            EQUALLY_DIVIDED_FRACTION * equal
            + (1.0 - EQUALLY_DIVIDED_FRACTION) * own / total
        )
