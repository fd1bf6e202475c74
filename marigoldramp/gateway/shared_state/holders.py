"""Which gateways hold shares of the bounds on requests to an endpoint.

Each gateway chooses them from the peers that it hears, by rendezvous hashing,
so that no message is needed.  A gateway that may miss many of its peers holds
a small share or none.
"""

from typing import Callable

import msgspec

from ... import rendezvous
from .. import peers
from ..balancing import endpoints
from . import bounds

#: Time after the start in which a gateway may not have heard its peers.
STARTUP_SECONDS = 3.0
#: Time after which a silent peer is replaced.  Until then it may not have
#: noticed yet that it is isolated.
SUCCESSION_SECONDS = 2.0
#: Time after the start in which peers that have never been heard count as
#: holders of cold endpoints: with hundreds of gateways, those of other data
#: centres report every few seconds.
SETTLING_SECONDS = 10.0


class Isolated(msgspec.Struct, frozen=True, kw_only=True):
    """This gateway does not know which gateways hold shares.

    :ivar gateways: number of known gateways.
    """

    gateways: int


class Unsettled(msgspec.Struct, frozen=True, kw_only=True):
    """This gateway holds no share, as it does not know the others yet."""


class Member(msgspec.Struct, frozen=True, kw_only=True):
    """A gateway among which shares are divided."""

    instance: str
    data_centre: str


class Members(msgspec.Struct, frozen=True, kw_only=True):
    """All gateways among which shares are divided, this one included."""

    members: tuple[Member, ...]


Position = Isolated | Unsettled | Members


class Ranking:
    """The shares of this gateway, by its position among the gateways.

    :param instance: name of this gateway.
    :param position: the position until the first update.
    """

    __slots__ = ('_instance', '_position', '_ranks')

    def __init__(self, *, instance: str, position: Position) -> None:
        self._instance = instance
        self._position = position
        self._ranks: dict[str, int] = {}

    def update(self, position: Position) -> None:
        """Set the position of this gateway."""
        if position != self._position:
            self._position = position
            self._ranks.clear()

    def find_share(
        self,
        *,
        endpoint: endpoints.Endpoint,
        bound: bounds.Bound,
        count_changes: Callable[[float], int] = lambda share: 0,
    ) -> float:
        """Return the share of this gateway in a bound.

        :param count_changes: returns how often the holders with a share have
            been replaced by the next gateways in the order.
        """
        match self._position:
            case Isolated(gateways=gateways):
                return bound.find_isolated_share(gateways)
            case Unsettled():
                return 0.0
            case Members(members=members):
                division = bound.divide(len(members))
        skipped = division.holders * count_changes(division.share)
        rank = self._find_rank(endpoint, members)
        if (rank - skipped) % len(members) < division.holders:
            return division.share
        return 0.0

    def _find_rank(
        self, endpoint: endpoints.Endpoint, members: tuple[Member, ...]
    ) -> int:
        """Return the position of this gateway in the order of holders.

        Gateways in the endpoint's data centre come first.
        """
        identity = endpoint.identity
        known = self._ranks.get(identity)
        if known is not None:
            return known
        scores = {
            one.instance: (
                one.data_centre == endpoint.record.data_centre,
                rendezvous.score(key=identity, name=one.instance),
                one.instance,
            )
            for one in members
        }
        own = scores[self._instance]
        rank = sum(score > own for score in scores.values())
        self._ranks[identity] = rank
        return rank


class Membership:
    """Finds the position of this gateway among the gateways.

    The bound of a cold endpoint is as short as the time in which gateways
    learn of each other, and holds for every gateway.  So the gateways of the
    registry count for it as well, and a gateway that was frozen counts as one
    that has just started.

    :param leaving: returns whether this gateway is shutting down.
    :param registered: returns the names of all gateways that may be alive,
        ``None`` while they are not known.
    """

    __slots__ = (
        '_own',
        '_peers',
        '_leaving',
        '_registered',
        '_clock',
        '_started_at',
        '_undisturbed_since',
        '_checked_at',
    )

    def __init__(
        self,
        *,
        instance: str,
        data_centre: str,
        peers: peers.PeerTable,
        leaving: Callable[[], bool],
        registered: Callable[[], frozenset[str] | None],
        clock: Callable[[], float],
    ) -> None:
        self._own = Member(instance=instance, data_centre=data_centre)
        self._peers = peers
        self._leaving = leaving
        self._registered = registered
        self._clock = clock
        self._started_at = clock()
        self._undisturbed_since = self._started_at
        self._checked_at = self._started_at

    @property
    def is_outdated(self) -> bool:
        """Whether others may have replaced this gateway without its notice.

        It was frozen and has not checked its position since.
        """
        return self._clock() - self._checked_at >= SUCCESSION_SECONDS

    def check(self) -> None:
        """Note that this gateway runs; called at short intervals."""
        now = self._clock()
        if self.is_outdated:
            self._undisturbed_since = now
        self._checked_at = now

    def find_position(self) -> Position:
        """Return the position for the limits that endpoints name."""
        heard = self._peers.list_heard()
        gateways = 1 + (len(heard) or self._peers.count_known())
        is_starting = self._clock() - self._started_at < STARTUP_SECONDS
        live = sum(peer.live for peer in heard)
        if is_starting or self._leaving() or 2 * (live + 1) <= gateways:
            return Isolated(gateways=gateways)
        return self._make_members(self._list_current(heard))

    def find_cold_position(self) -> Position:
        """Return the position for cold endpoints."""
        heard = self._peers.list_heard()
        registered = self._registered()
        names = {peer.instance for peer in heard} | {self._own.instance}
        if registered is not None:
            names |= registered - self._list_leaving()
        if len(names) == 1:
            is_alone = registered is not None and not len(self._peers)
            return self._make_members([]) if is_alone else Unsettled()
        undisturbed = self._clock() - self._undisturbed_since
        if undisturbed < STARTUP_SECONDS or self._leaving():
            return Unsettled()
        live = sum(peer.live for peer in heard)
        if 2 * (live + 1) <= len(names):
            return Isolated(gateways=len(names))
        current = self._list_current(heard)
        if undisturbed < SETTLING_SECONDS:
            current += [peer for peer in self._peers if peer.report is None]
        return self._make_members(current)

    def _list_leaving(self) -> set[str]:
        """Return the names of the peers that are shutting down."""
        return {
            peer.instance
            for peer in self._peers
            if peer.report is not None and peer.report.leaving
        }

    def _list_current(self, heard: list[peers.Peer]) -> list[peers.Peer]:
        """Return the peers that have not been replaced."""
        return [
            peer
            for peer in heard
            if self._peers.find_silent_seconds(peer) < SUCCESSION_SECONDS
        ]

    def _make_members(self, current: list[peers.Peer]) -> Members:
        """Return this gateway and some peers as members."""
        members = [
            Member(
                instance=peer.instance,
                data_centre=peer.report.data_centre if peer.report else '',
            )
            for peer in current
        ]
        members.append(self._own)
        members.sort(key=lambda one: one.instance)
        return Members(members=tuple(members))
