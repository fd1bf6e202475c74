"""Shares of a customer's limits that follow where its calls arrive.

Callers choose among a customer's entries as they like; many keep to one.
With equal shares the limit of the other entries is then lost to them.  The
entries that serve a customer therefore tell each other how much is asked of
them, and each computes its share from the same figures.  Nothing is agreed:
where one does not hear another, or is not heard, both fall back to equal
shares, whose sum never passes the limit.
"""

import dataclasses
from typing import Callable
from typing import Sequence

from . import messages

#: Seconds between two datagrams to an entry.
PUBLISH_SECONDS = 0.5
#: A peer's figures are believed for so long.
FRESH_SECONDS = 1.75
#: Part of the limit that stays divided equally, so that an entry to which
#: nothing came can serve the first calls that do.
EQUAL_PART = 0.1
#: A customer is reported once it asks for so much of its equal share.
REPORTED_FROM = 0.5
#: Demands in one datagram; it stays below 1,200 bytes.
MOST_DEMANDS = 24


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class _Heard:
    """The last usage of a peer.

    :ivar at: clock time of its arrival.
    """

    at: float
    hears: bool
    demands: dict[str, float]


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Asked:
    """What one customer asks of this entry.

    :ivar fraction: of the customer's whole limits.
    :ivar serving: the entries that serve it.
    """

    customer: str
    fraction: float
    serving: tuple[str, ...]


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Report:
    """What one peer is to be told."""

    peer: str
    hears: bool
    demands: tuple[messages.Demand, ...]


class Demands:
    """Demands at this entry and, as far as they are known, at its peers.

    :param entry: this entry's instance name.
    :param clock: seconds.
    :param most_peers: peers whose figures are kept at once.
    """

    __slots__ = (
        '_entry',
        '_clock',
        '_most_peers',
        '_heard',
        '_published',
    )

    def __init__(
        self, *, entry: str, clock: Callable[[], float], most_peers: int
    ) -> None:
        self._entry = entry
        self._clock = clock
        self._most_peers = most_peers
        self._heard: dict[str, _Heard] = {}
        self._published: dict[str, float] = {}

    def note(self, usage: messages.Usage) -> None:
        """Take in a peer's usage, which replaces its last one."""
        self._heard.pop(usage.entry, None)
        if len(self._heard) >= self._most_peers:
            del self._heard[next(iter(self._heard))]
        self._heard[usage.entry] = _Heard(
            at=self._clock(),
            hears=usage.hears,
            demands={one.customer: one.fraction for one in usage.demands},
        )

    def hears(self, peer: str) -> bool:
        """Return whether a peer's figures are fresh."""
        heard = self._heard.get(peer)
        if heard is None:
            return False
        return self._clock() - heard.at <= FRESH_SECONDS

    def publish(self, asked: Sequence[Asked]) -> list[Report]:
        """Return what to tell each peer; own shares follow it from now on.

        Only customers matter that press against a share, here or at a peer
        that has told so: most customers cause no datagram at all.
        """
        self._published = {}
        told: dict[str, list[messages.Demand]] = {}
        for one in asked:
            if not self._matters(one):
                continue
            demand = self._add(customer=one.customer, fraction=one.fraction)
            for peer in one.serving:
                if peer != self._entry:
                    told.setdefault(peer, []).append(demand)
        self._answer(told, known={one.customer for one in asked})
        return [
            Report(
                peer=peer,
                hears=self.hears(peer),
                demands=tuple(demands[:MOST_DEMANDS]),
            )
            for peer, demands in told.items()
        ]

    def _add(self, *, customer: str, fraction: float) -> messages.Demand:
        self._published[customer] = fraction
        return messages.Demand(customer=customer, fraction=fraction)

    def _answer(
        self, told: dict[str, list[messages.Demand]], *, known: set[str]
    ) -> None:
        """Answer peers about customers of which nothing came here.

        Without an answer a peer cannot know that it may have this entry's
        part too, and a customer that keeps to one entry would lose it.
        """
        for peer, heard in self._heard.items():
            if not self.hears(peer):
                continue
            for customer, fraction in heard.demands.items():
                if fraction > 0.0 and customer not in known:
                    demand = self._add(customer=customer, fraction=0.0)
                    told.setdefault(peer, []).append(demand)

    def _matters(self, asked: Asked) -> bool:
        """Return whether anybody presses against its share of a customer.

        A report that only answers another does not count, or two entries
        would answer each other for ever.
        """
        least = REPORTED_FROM / max(1, len(asked.serving))
        if asked.fraction >= least:
            return True
        return any(
            self.hears(peer)
            and self._heard[peer].demands.get(asked.customer, 0.0) >= least
            for peer in asked.serving
            if peer != self._entry
        )

    def share(self, *, customer: str, serving: Sequence[str]) -> float:
        """Return the part of a customer's limits for this entry.

        :param serving: the entries that serve it, by everybody's reckoning.
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
            heard = self._heard.get(peer)
            if heard is None or not heard.hears or not self.hears(peer):
                return equal
            if customer not in heard.demands:
                return equal
            total += heard.demands[customer]
        if total <= 0.0:
            return equal
        return EQUAL_PART * equal + (1.0 - EQUAL_PART) * own / total
