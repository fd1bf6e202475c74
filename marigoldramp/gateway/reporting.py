"""What this entry tells its peers, and what it makes of their word."""

import dataclasses
from typing import Callable

import msgspec

from .. import store as store_module
from . import configurations
from . import containment as containment_module
from . import discovery
from . import dispatch
from . import endpoints
from . import leader_election
from . import peer_reports
from . import peers
from . import quality
from . import refresh
from . import settings as settings_module

#: Seconds for which one description of ourselves serves for reports.  What a
#: report confirms can be so much older than its receiver takes it for, which
#: is little against the margin of keys.
DESCRIPTION_SECONDS = 0.03
#: Seconds between two descriptions that name other peers.
NAME_EVERY = 1.0


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Parts:
    """The parts of a process that reports tell of, and change."""

    active_configuration: configurations.ActiveConfiguration
    refresher: refresh.Refresher
    follower: discovery.EndpointFollower
    table: endpoints.EndpointTable
    peers: peers.PeerTable
    dispatcher: dispatch.Dispatcher
    elector: leader_election.LeaderElector
    containment: containment_module.Containment
    store: store_module.PlatformStore


class Reporter:
    """Makes and takes reports.

    :param settings: returns the settings in force.
    :param ready: returns whether callers may be sent here.
    :param leaving: returns whether a stop was asked for.
    """

    __slots__ = (
        '_parts',
        '_settings',
        '_ready',
        '_leaving',
        '_incarnation',
        '_clock',
        '_description',
        '_named_at',
    )

    def __init__(
        self,
        *,
        parts: Parts,
        settings: Callable[[], settings_module.Settings],
        ready: Callable[[], bool],
        leaving: Callable[[], bool],
        incarnation: int,
        clock: Callable[[], float],
    ) -> None:
        self._parts = parts
        self._settings = settings
        self._ready = ready
        self._leaving = leaving
        self._incarnation = incarnation
        self._clock = clock
        self._description: peer_reports.Report | None = None
        self._named_at = float('-inf')

    def make(
        self, peer: peers.Peer | None, period: float = 0.0
    ) -> peer_reports.Report:
        """Return the report for a peer; all of one moment differ little.

        :param period: seconds after which the next one comes.
        """
        now = self._clock()
        known = self._description
        if known is None or now - known.sent > DESCRIPTION_SECONDS:
            known = self._describe(now)
            self._description = known
        heard = None if peer is None else peer.report
        if heard is None:
            return msgspec.structs.replace(known, period=period)
        return msgspec.structs.replace(
            known,
            echo=heard.sent,
            echo_incarnation=heard.incarnation,
            period=period,
        )

    def forget(self) -> None:
        """Describe ourselves anew for the next report."""
        self._description = None

    def take(
        self, report: peer_reports.Report, touched: frozenset[str]
    ) -> None:
        """Believe what a peer says.

        :param touched: endpoints whose requests in flight may have changed.
        """
        self._parts.store.hear_era(report.era)
        self._parts.containment.exchange.handle_report(report)
        self._parts.refresher.hear(report.version)
        self._parts.follower.note_peer_revision(
            change_revision=report.revision
        )
        self._take_confirmation(report)
        self._take_slow(report)
        for service, seconds in report.passes.items():
            self._parts.dispatcher.limiter(service).note_reported(seconds)
        for identity in touched:
            endpoint = self._parts.table.find(identity)
            if endpoint is not None:
                endpoint.peer_requests = self._parts.peers.in_flight(identity)
        self._parts.dispatcher.assign_all_slots()

    def _describe(self, now: float) -> peer_reports.Report:
        """Return a report as of now, without an echo."""
        parts = self._parts
        settings = self._settings()
        calls = settings.calls
        return peer_reports.Report(
            instance=settings.instance,
            host=settings.peers.host,
            port=settings.peers.port,
            incarnation=self._incarnation,
            sent=now,
            echo=0.0,
            echo_incarnation=0,
            ready=self._ready(),
            leaving=self._leaving(),
            call_host='' if calls is None else calls.host,
            call_port=0 if calls is None else calls.port,
            version=parts.active_configuration.version,
            version_age=_age(now, parts.active_configuration.confirmed_at),
            revision=parts.follower.change_revision,
            revision_age=_age(now, parts.follower.store.reached_at),
            settled=parts.follower.reported_settled_revision(),
            in_flight={
                endpoint.identity: endpoint.own_requests
                for endpoint in parts.table
                if endpoint.own_requests
            },
            slow=self._list_slow(now),
            paces=self._list_paces(now),
            fit=parts.elector.eligible and self._ready(),
            leads=parts.elector.led_groups(),
            strength=settings.strength,
            data_centre=settings.data_centre,
            passes=self._list_passes(),
            suspect_news=parts.containment.exchange.make_update(),
            era=parts.store.era(),
            known=self._name_peers(now),
        )

    def _name_peers(self, now: float) -> tuple[peer_reports.KnownPeer, ...]:
        """Return some peers now and then; they are most of a report."""
        if now - self._named_at < NAME_EVERY:
            return ()
        self._named_at = now
        return self._parts.peers.name_some(peer_reports.MOST_KNOWN)

    def _take_confirmation(self, report: peer_reports.Report) -> None:
        """Learn since when a version is known to be the newest.

        Without an echo of ours nothing tells how long the report was on its
        way, or lay unread here.
        """
        if report.version_age < 0.0 or not report.echo:
            return
        if report.echo_incarnation == self._incarnation:
            self._parts.active_configuration.confirm(
                version=report.version,
                newest_at=report.echo - report.version_age,
            )

    def _take_slow(self, report: peer_reports.Report) -> None:
        for identity, slowness in report.slow.items():
            endpoint = self._parts.table.find(identity)
            if endpoint is not None:
                endpoint.quality.note_peer_slowness(
                    slowness=slowness, now=self._clock()
                )

        for identity, pace in report.paces.items():
            endpoint = self._parts.table.find(identity)
            if endpoint is not None:
                endpoint.quality.note_peer_pace(pace=pace, now=self._clock())

    def _list_passes(self) -> dict[str, float]:
        """Return the last passes that our streams have shown."""
        dispatcher = self._parts.dispatcher
        passes = {
            service: dispatcher.limiter(service).pass_times.last_local()
            for service in dispatcher.limited_services()
        }
        return {
            service: round(seconds, 3)
            for service, seconds in passes.items()
            if seconds
        }

    def _list_paces(self, now: float) -> dict[str, float]:
        """Return the slow ranks that have told us so."""
        paces = {
            one.identity: one.quality.reported_pace(now=now)
            for one in self._parts.table
        }
        return {
            identity: round(pace, 2)
            for identity, pace in paces.items()
            if pace >= quality.MIN_SLOW_PACE
        }

    def _list_slow(self, now: float) -> dict[str, float]:
        """Return the endpoints that we find slow or failing ourselves."""
        table = self._parts.table
        usual = {
            service: table.find_median_seconds(service)
            for service in {one.record.service for one in table}
        }
        found = {
            one.identity: one.quality.slowness_for_peers(
                usual=usual[one.record.service], now=now
            )
            for one in table
        }
        return {
            identity: round(slowness, 2)
            for identity, slowness in found.items()
            if slowness > quality.MIN_SLOW_RATIO
        }


def _age(now: float, at: float) -> float:
    """Return the age of a time, negative for a time that never was."""
    return now - at if at != float('-inf') else -1.0
