"""What an entry shows operators of its state and of what it believes."""

from typing import Callable

import msgspec

from . import endpoints
from . import peers
from . import reporting


class EndpointStatus(msgspec.Struct, frozen=True, kw_only=True):
    """One endpoint as an entry sees it.

    :ivar state: ``open``, ``resting`` after failures, or ``leaving``.
    :ivar own: requests of this entry that run on it.
    :ivar elsewhere: requests that other entries say run on it.
    :ivar errors: the part of its requests that it fails, 0 to 1.
    :ivar slowness: times longer than usual that it takes, 1 for usual.
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


class PeerStatus(msgspec.Struct, frozen=True, kw_only=True):
    """One other entry as an entry sees it.

    :ivar state: ``ready``, ``not ready``, ``leaving``, ``silent`` for one
        that was heard before, or ``unheard``.
    :ivar heard_age: seconds since its last report, ``None`` for never.
    :ivar period: seconds between its reports, 0 if unknown.
    """

    instance: str
    data_centre: str
    address: str
    state: str
    version: int
    heard_age: float | None
    period: float


class QueueStatus(msgspec.Struct, frozen=True, kw_only=True):
    """Requests that wait for a service.

    :ivar share: pauses of its streams, as a part of the accepted ones.
    """

    service: str
    waiting: int
    share: float


class BlockedStatus(msgspec.Struct, frozen=True, kw_only=True):
    """A request that is sent to no endpoint.

    :ivar ends: endpoints that have ended under it.
    :ivar seconds: after which it may be tried again.
    """

    fingerprint: str
    ends: int
    seconds: float


class Status(msgspec.Struct, frozen=True, kw_only=True):
    """The state of one entry; ages in seconds, ``None`` for never.

    :ivar running: requests that have not ended.
    :ivar version_age: since the configuration in force was known to be the
        newest.
    :ivar store_age: since the store last answered for endpoints.
    :ivar relies: peers of its data centre follow the endpoints for it, so it
        does not ask the store itself.
    :ivar leads: groups of ranks that it leads.
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


class Describer:
    """Describes the entry that it belongs to.

    :param running: returns how many requests have not ended.
    """

    __slots__ = (
        '_parts',
        '_instance',
        '_data_centre',
        '_ready',
        '_leaving',
        '_running',
        '_clock',
    )

    def __init__(
        self,
        *,
        parts: reporting.Parts,
        instance: str,
        data_centre: str,
        ready: Callable[[], bool],
        leaving: Callable[[], bool],
        running: Callable[[], int],
        clock: Callable[[], float],
    ) -> None:
        self._parts = parts
        self._instance = instance
        self._data_centre = data_centre
        self._ready = ready
        self._leaving = leaving
        self._running = running
        self._clock = clock

    def describe(self) -> Status:
        """Return the state as of now."""
        parts = self._parts
        now = self._clock()
        known = sorted(parts.table, key=lambda one: one.identity)
        services = sorted({one.record.service for one in known})
        return Status(
            instance=self._instance,
            data_centre=self._data_centre,
            ready=self._ready(),
            leaving=self._leaving(),
            running=self._running(),
            version=parts.active_configuration.version,
            version_age=_age(now, parts.active_configuration.confirmed_at),
            store_age=_age(now, parts.follower.store.reached_at),
            relies=parts.follower.relies_on_peers(),
            leads=parts.elector.led_groups(),
            queues=tuple(self._describe_queue(name) for name in services),
            endpoints=tuple(self._describe_endpoint(one) for one in known),
            peers=tuple(
                _describe_peer(one, now)
                for one in sorted(parts.peers, key=lambda one: one.instance)
            ),
            blocked=self._describe_blocked(),
        )

    def _describe_blocked(self) -> tuple[BlockedStatus, ...]:
        blocked = self._parts.containment.suspects.list_blocked()
        return tuple(
            BlockedStatus(
                fingerprint=fingerprint,
                ends=one.ends,
                seconds=round(one.seconds, 1),
            )
            for fingerprint, one in sorted(blocked.items())
        )

    def _describe_queue(self, service: str) -> QueueStatus:
        dispatcher = self._parts.dispatcher
        return QueueStatus(
            service=service,
            waiting=dispatcher.count_waiting(service),
            share=round(dispatcher.limiter(service).pause_ratio, 3),
        )

    def _describe_endpoint(self, one: endpoints.Endpoint) -> EndpointStatus:
        now = self._clock()
        usual = self._parts.table.find_median_seconds(one.record.service)
        state = 'open' if one.is_open(now=now) else 'resting'
        return EndpointStatus(
            identity=one.identity,
            service=one.record.service,
            data_centre=one.record.data_centre,
            address=f'{one.record.host}:{one.record.port}',
            state='leaving' if one.record.leaving else state,
            own=one.own_requests,
            elsewhere=one.peer_requests,
            errors=round(one.quality.error_rate(now=now), 3),
            slowness=round(one.quality.slowness(usual=usual, now=now), 2),
        )


def _describe_peer(peer: peers.Peer, now: float) -> PeerStatus:
    report = peer.report
    return PeerStatus(
        instance=peer.instance,
        data_centre='' if report is None else report.data_centre,
        address=f'{peer.host}:{peer.port}',
        state=_name_state(peer),
        version=0 if report is None else report.version,
        heard_age=_age(now, peer.heard_at),
        period=0.0 if report is None else round(report.period, 3),
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
    """Return an age; the beginning of time stands for never."""
    return None if since == float('-inf') else round(now - since, 3)
