"""The status that a gateway shows to operators."""

import math
from typing import Callable

import msgspec

from . import peers
from . import reporting
from .balancing import endpoints


class EndpointStatus(msgspec.Struct, frozen=True, kw_only=True):
    """One endpoint as a gateway sees it.

    :ivar state: ``open``, ``resting`` (in backoff after failures),
        ``limited`` (this gateway's share of its rate limit is used up),
        ``cold`` (it has started recently), ``evacuated`` (its data centre must
        get no requests), or ``leaving``.
    :ivar own: requests of this gateway that run on it.
    :ivar elsewhere: requests that peers report to run on it.
    :ivar errors: fraction of its requests that fail, 0 to 1.
    :ivar slowness: latency relative to the usual one, 1 for usual.
    :ivar rate_limit: requests per second that it accepts from all gateways
        together, ``None`` if it names no limit.
    :ivar rate_share: the part of this gateway in the smaller one of that limit
        and of what a cold endpoint accepts, ``None`` if unlimited.
    :ivar cold_seconds: for how much longer it is cold, ``None`` if it is not.
    """

    identity: str
    service: str
    data_centre: str
    address: str
    state: str
    own: int
    elsewhere: int
    errors: float
    slowness: float
    rate_limit: float | None = None
    rate_share: float | None = None
    cold_seconds: float | None = None


class PeerStatus(msgspec.Struct, frozen=True, kw_only=True):
    """One peer as a gateway sees it.

    :ivar state: ``ready``, ``not ready``, ``leaving``, ``silent`` if its
        reports have stopped, or ``unheard`` if it never reported.
    :ivar version: configuration in force at the peer.
    :ivar heard_age: seconds since its last report, ``None`` for never.
    :ivar period: interval of its reports in seconds, 0 if unknown.
    :ivar address_share: share of the callers that ask this gateway for
        addresses which it is meant to get; ``None`` if it is not named.
    """

    instance: str
    data_centre: str
    address: str
    state: str
    version: int
    heard_age: float | None
    period: float
    address_share: float | None = None


class QueueStatus(msgspec.Struct, frozen=True, kw_only=True):
    """The queue of requests that wait for an endpoint of a service.

    :ivar share: pauses between events of the service's streams, as a fraction
        of the accepted pause.
    :ivar waiting_by_priority: the queued requests by priority.
    :ivar reserve: slots of all endpoints that requests of the least urgent
        priority leave to others.
    """

    service: str
    waiting: int
    share: float
    waiting_by_priority: dict[int, int] = {}
    reserve: float = 0.0


class BlockedStatus(msgspec.Struct, frozen=True, kw_only=True):
    """A request that is blocked, as endpoints have ended while running it.

    :ivar ends: number of endpoints that have ended while running it.
    :ivar seconds: time until it may be tried again.
    """

    fingerprint: str
    ends: int
    seconds: float


class Status(msgspec.Struct, frozen=True, kw_only=True):
    """The status of one gateway; ages in seconds, ``None`` for never.

    :ivar running: requests that have not ended.
    :ivar version_age: time since the configuration in force was last known to
        be the newest.
    :ivar store_age: time since the store last answered about endpoints.
    :ivar relies: it gets changes of endpoints from peers in its data centre
        instead of from the store.
    :ivar leads: groups of ranks that it leads.
    :ivar evacuated: data centres whose endpoints get no requests, ``None`` if
        they are not known yet.
    """

    instance: str
    data_centre: str
    ready: bool
    leaving: bool
    running: int
    version: int
    version_age: float | None
    store_age: float | None
    relies: bool
    leads: tuple[str, ...]
    queues: tuple[QueueStatus, ...]
    endpoints: tuple[EndpointStatus, ...]
    peers: tuple[PeerStatus, ...]
    blocked: tuple[BlockedStatus, ...] = ()
    evacuated: tuple[str, ...] | None = ()


class Describer:
    """Builds the status of this gateway.

    :param ready: returns whether callers may be sent here.
    :param leaving: returns whether this gateway is shutting down.
    :param running: returns how many requests have not ended.
    :param address_shares: returns the share of callers of each gateway.
    """

    __slots__ = (
        '_components',
        '_instance',
        '_data_centre',
        '_ready',
        '_leaving',
        '_running',
        '_address_shares',
        '_clock',
    )

    def __init__(
        self,
        *,
        components: reporting.Components,
        instance: str,
        data_centre: str,
        ready: Callable[[], bool],
        leaving: Callable[[], bool],
        running: Callable[[], int],
        address_shares: Callable[[], dict[str, float]],
        clock: Callable[[], float],
    ) -> None:
        self._components = components
        self._instance = instance
        self._data_centre = data_centre
        self._ready = ready
        self._leaving = leaving
        self._running = running
        self._address_shares = address_shares
        self._clock = clock

    def describe(self) -> Status:
        """Return the current status."""
        components = self._components
        now = self._clock()
        known = sorted(components.table, key=lambda one: one.identity)
        services = sorted({one.record.service for one in known})
        shares = self._address_shares()
        return Status(
            instance=self._instance,
            data_centre=self._data_centre,
            ready=self._ready(),
            leaving=self._leaving(),
            running=self._running(),
            version=components.active_configuration.version,
            version_age=_age(
                now, components.active_configuration.confirmed_at
            ),
            store_age=_age(now, components.follower.store.reached_at),
            relies=components.follower.relies_on_peers(),
            leads=components.elector.led_groups(),
            queues=tuple(self._describe_queue(name) for name in services),
            endpoints=tuple(self._describe_endpoint(one) for one in known),
            peers=tuple(
                _describe_peer(one, now, shares.get(one.instance))
                for one in sorted(
                    components.peers, key=lambda one: one.instance
                )
            ),
            blocked=self._describe_blocked(),
            evacuated=self._list_evacuated(),
        )

    def _list_evacuated(self) -> tuple[str, ...] | None:
        state = self._components.evacuations
        return tuple(sorted(state.in_force)) if state.is_known else None

    def _describe_blocked(self) -> tuple[BlockedStatus, ...]:
        blocked = self._components.containment.suspects.list_blocked()
        return tuple(
            BlockedStatus(
                fingerprint=fingerprint,
                ends=one.ends,
                seconds=round(one.seconds, 1),
            )
            for fingerprint, one in sorted(blocked.items())
        )

    def _describe_queue(self, service: str) -> QueueStatus:
        dispatcher = self._components.dispatcher
        return QueueStatus(
            service=service,
            waiting=dispatcher.count_waiting(service),
            share=round(dispatcher.limiter(service).pause_ratio, 3),
            waiting_by_priority=dict(
                dispatcher.count_waiting_by_priority(service)
            ),
            reserve=round(dispatcher.find_reserve(service), 1),
        )

    def _describe_endpoint(self, one: endpoints.Endpoint) -> EndpointStatus:
        now = self._clock()
        usual = self._components.table.find_median_seconds(one.record.service)
        limit = one.rate_limit
        return EndpointStatus(
            identity=one.identity,
            service=one.record.service,
            data_centre=one.record.data_centre,
            address=f'{one.record.host}:{one.record.port}',
            state=_name_endpoint_state(one, now),
            own=one.own_requests,
            elsewhere=one.peer_requests,
            errors=round(one.quality.error_rate(now=now), 3),
            slowness=round(one.quality.slowness(usual=usual, now=now), 2),
            rate_limit=limit.named_rate or None,
            rate_share=None if math.isinf(limit.share) else limit.share,
            cold_seconds=(
                round(max(0.0, limit.cold.until - now), 1)
                if limit.cold.is_cold
                else None
            ),
        )


def _name_endpoint_state(one: endpoints.Endpoint, now: float) -> str:
    if one.record.leaving:
        return 'leaving'
    if one.is_evacuated:
        return 'evacuated'
    if one.rate_limit.cold.is_cold:
        return 'cold'
    if one.is_open(now=now):
        return 'open'
    return 'limited' if one.rate_limit.opens_at > now else 'resting'


def _describe_peer(
    peer: peers.Peer, now: float, share: float | None
) -> PeerStatus:
    report = peer.report
    return PeerStatus(
        instance=peer.instance,
        data_centre='' if report is None else report.data_centre,
        address=f'{peer.host}:{peer.port}',
        state=_name_state(peer),
        version=0 if report is None else report.version,
        heard_age=_age(now, peer.heard_at),
        period=0.0 if report is None else round(report.period, 3),
        address_share=None if share is None else round(share, 4),
    )


def _name_state(peer: peers.Peer) -> str:
    if peer.report is None:
        return 'unheard'
    if not peer.live:
        return 'silent'
    if peer.report.leaving:
        return 'leaving'
    return 'ready' if peer.report.ready else 'not ready'


def _age(now: float, since: float) -> float | None:
    """Return an age in seconds, or ``None`` for never."""
    return None if since == float('-inf') else round(now - since, 3)
