"""Builds the reports to peers and applies the reports that arrive."""

import math
from typing import Callable

import msgspec

from .. import store as store_module
from . import configurations
from . import containment as containment_module
from . import discovery
from . import leader_election
from . import peer_reports
from . import peers
from . import refresh
from . import settings as settings_module
from . import timer_delay
from .balancing import endpoints
from .balancing import quality
from .balancing import slow_endpoints
from .queueing import dispatch
from .shared_state import evacuations
from .shared_state import rate_shares

#: Time for which the same description of this gateway is used in reports.
#: The confirmation in a report can be older by this than its receiver assumes,
#: which is little compared with the time allowed for revoking a key.
MAX_DESCRIPTION_AGE_SECONDS = 0.03
#: Interval between two descriptions that name other peers.
NAMING_INTERVAL_SECONDS = 1.0
#: Arrivals per second that are left out of reports.
MIN_REPORTED_RATE = 0.05


class Components(msgspec.Struct, frozen=True, kw_only=True):
    """The components that reports describe and update."""

    active_configuration: configurations.ActiveConfiguration
    refresher: refresh.Refresher
    follower: discovery.EndpointFollower
    table: endpoints.EndpointTable
    peers: peers.PeerTable
    dispatcher: dispatch.Dispatcher
    elector: leader_election.LeaderElector
    containment: containment_module.Containment
    rate_shares: rate_shares.RateShares
    evacuations: evacuations.Evacuations
    store: store_module.PlatformStore


class Reporter:
    """Builds reports to peers and applies theirs.

    :param settings: returns the settings in force.
    :param ready: returns whether callers may be sent here.
    :param leaving: returns whether this gateway is shutting down.
    :param incarnation: random number of this start of the process.
    :param delay: how late timers of this process are.
    """

    __slots__ = (
        '_components',
        '_settings',
        '_ready',
        '_leaving',
        '_incarnation',
        '_clock',
        '_template',
        '_peers_named_at',
        '_delay',
        '_ready_at',
    )

    def __init__(
        self,
        *,
        components: Components,
        settings: Callable[[], settings_module.Settings],
        ready: Callable[[], bool],
        leaving: Callable[[], bool],
        incarnation: int,
        clock: Callable[[], float],
        delay: timer_delay.TimerDelay | None = None,
    ) -> None:
        self._delay = delay or timer_delay.TimerDelay(clock=clock)
        self._ready_at: float | None = None
        self._components = components
        self._settings = settings
        self._ready = ready
        self._leaving = leaving
        self._incarnation = incarnation
        self._clock = clock
        self._template: peer_reports.Template | None = None
        self._peers_named_at = float('-inf')

    def build_report(
        self, peer: peers.Peer | None, interval: float = 0.0
    ) -> peer_reports.Report:
        """Return the report for a peer, built from a recent description.

        :param peer: ``None`` for one that has not reported.
        :param interval: seconds within which the peer gets the next report.
        """
        echo, incarnation = _find_echo(peer)
        return self._find_template().fill(
            echo=echo, echo_incarnation=incarnation, period=interval
        )

    def encode_report(self, peer: peers.Peer | None, interval: float) -> bytes:
        """Return the datagram of :meth:`build_report`."""
        echo, incarnation = _find_echo(peer)
        return self._find_template().encode(
            echo=echo, echo_incarnation=incarnation, period=interval
        )

    def _find_template(self) -> peer_reports.Template:
        now = self._clock()
        template = self._template
        if (
            template is None
            or now - template.sent > MAX_DESCRIPTION_AGE_SECONDS
        ):
            template = peer_reports.Template(self._describe(now))
            self._template = template
        return template

    def invalidate(self) -> None:
        """Build a new description for the next report."""
        self._template = None

    def apply_report(
        self, report: peer_reports.Report, touched: frozenset[str]
    ) -> None:
        """Update the components from the report of a peer.

        :param touched: endpoints whose requests in flight have changed.
        """
        self._components.store.hear_era(report.era)
        self._components.evacuations.merge_report(
            report, age=self._find_report_age(report)
        )
        self._components.containment.exchange.handle_report(report)
        self._components.refresher.note_peer_version(report.version)
        self._components.follower.note_peer(
            report.summarize_endpoints(),
            confirmed_at=self._find_time(report, age=report.complete_age),
        )
        self._components.active_configuration.confirm(
            version=report.version,
            newest_at=self._find_time(report, age=report.version_age),
        )
        if report.revision_age >= 0.0:
            self._components.follower.presence.outages.note_answer(
                age=report.revision_age
            )
        self._apply_slowness(report)
        for limit in report.rate_limits:
            self._components.rate_shares.merge(limit, source=report.instance)
        self._apply_demands(report)
        for service, seconds in report.passes.items():
            self._components.dispatcher.limiter(service).note_reported(seconds)
        self._apply_in_flight(touched)

    def _apply_in_flight(self, touched: frozenset[str]) -> None:
        """Update the counts of endpoints and assign the slots this frees."""
        services = set()
        for identity in touched:
            endpoint = self._components.table.find(identity)
            if endpoint is not None:
                self._components.peers.update_endpoint(endpoint)
                services.add(endpoint.record.service)
        for service in services:
            self._components.dispatcher.assign_slots(service)

    def _describe(self, now: float) -> peer_reports.Report:
        """Return a new report without an echo."""
        components = self._components
        settings = self._settings()
        calls = settings.calls
        known = components.follower.known.summarize()
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
            version=components.active_configuration.version,
            version_age=_age(
                now, components.active_configuration.confirmed_at
            ),
            revision=known.newest,
            revision_age=_age(now, self._find_answer_time()),
            settled=known.settled,
            complete=known.complete,
            checksum=known.checksum,
            complete_age=_age(now, components.follower.confirmed_at),
            in_flight={
                endpoint.identity: endpoint.own_requests
                for endpoint in components.table
                if endpoint.own_requests
            },
            slow_endpoints=slow_endpoints.list_slow(components.table, now=now),
            paces=self._list_paces(now),
            can_lead=components.elector.eligible and self._ready(),
            leads=components.elector.led_groups(),
            capacity=settings.capacity,
            data_centre=settings.data_centre,
            passes=self._list_passes(),
            suspect_news=components.containment.exchange.make_update(),
            era=components.store.era(),
            rate_limits=components.rate_shares.make_update(),
            evacuations=components.evacuations.make_report(),
            known_peers=self._sample_peers(now),
            delay_ms=round(1000.0 * self._delay.find_seconds()),
            ready_seconds=self.count_ready_seconds(),
            demands=self._list_demands(now),
        )

    def count_ready_seconds(self) -> int:
        """Return for how many seconds this gateway has been ready."""
        if not self._ready():
            self._ready_at = None
            return 0
        now = self._clock()
        if self._ready_at is None:
            self._ready_at = now
        return min(
            peer_reports.MAX_READY_SECONDS, math.floor(now - self._ready_at)
        )

    def _sample_peers(self, now: float) -> tuple[peer_reports.KnownPeer, ...]:
        """Return some peers once per ``NAMING_INTERVAL_SECONDS``, else none.

        They make up most of a report's size.
        """
        if now - self._peers_named_at < NAMING_INTERVAL_SECONDS:
            return ()
        self._peers_named_at = now
        return self._components.peers.sample_live(
            peer_reports.MAX_KNOWN_PEERS_PER_REPORT
        )

    def _find_report_age(self, report: peer_reports.Report) -> float | None:
        """Return the seconds within which a report was sent, if known."""
        if not report.echo or report.echo_incarnation != self._incarnation:
            return None
        return self._clock() - report.echo

    def _list_demands(
        self, now: float
    ) -> tuple[peer_reports.ReportedDemand, ...]:
        """Return the demand for services with several priorities."""
        dispatcher = self._components.dispatcher
        found = []
        for service in dispatcher.contended_services():
            arrivals = dispatcher.contention(service).demand.list_arrivals(
                now=now
            )
            demand = peer_reports.ReportedDemand(
                service=service,
                waiting=dict(dispatcher.count_waiting_by_priority(service)),
                arrivals={
                    priority: round(rate, 1)
                    for priority, rate in arrivals.items()
                    if rate >= MIN_REPORTED_RATE
                },
            )
            if demand.waiting or demand.arrivals:
                found.append(demand)
        return tuple(found)

    def _apply_demands(self, report: peer_reports.Report) -> None:
        """Replace what is known of the demand at a peer."""
        dispatcher = self._components.dispatcher
        reported = {one.service: one for one in report.demands}
        for service in dispatcher.contended_services():
            demand = reported.get(
                service, peer_reports.ReportedDemand(service=service)
            )
            dispatcher.contention(service).demand.note_peer(
                instance=report.instance,
                waiting=demand.waiting,
                arrivals=demand.arrivals,
                period=report.period,
                now=self._clock(),
            )

    def _find_answer_time(self) -> float:
        """Return when the store last answered this gateway."""
        return max(
            self._components.follower.store.reached_at,
            self._components.refresher.store.reached_at,
        )

    def _find_time(self, report: peer_reports.Report, *, age: float) -> float:
        """Return the earliest time that an age in a report can mean.

        Only the echo of a report of this gateway shows how old the peer's
        report can be, including its time on the way and unread here.

        :param age: seconds before the report was made, negative for never.
        """
        if age < 0.0 or not report.echo:
            return float('-inf')
        if report.echo_incarnation != self._incarnation:
            return float('-inf')
        return report.echo - age

    def _apply_slowness(self, report: peer_reports.Report) -> None:
        for identity, slowness in report.slow_endpoints.items():
            endpoint = self._components.table.find(identity)
            if endpoint is not None:
                endpoint.quality.note_peer_slowness(
                    slowness=slowness, now=self._clock()
                )

        for identity, pace in report.paces.items():
            endpoint = self._components.table.find(identity)
            if endpoint is not None:
                endpoint.quality.note_peer_pace(pace=pace, now=self._clock())

    def _list_passes(self) -> dict[str, float]:
        """Return the last pass durations measured from streams here."""
        dispatcher = self._components.dispatcher
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
        """Return the slow ranks among those that report to this gateway."""
        paces = {
            one.identity: one.quality.reported_pace(now=now)
            for one in self._components.table
        }
        return {
            identity: round(pace, 2)
            for identity, pace in paces.items()
            if pace >= quality.MIN_SLOW_PACE
        }


def _find_echo(peer: peers.Peer | None) -> tuple[float, int]:
    """Return when the last report of a peer was sent, and its incarnation."""
    last = None if peer is None else peer.report
    return (0.0, 0) if last is None else (last.sent, last.incarnation)


def _age(now: float, at: float) -> float:
    """Return the seconds since a time, -1 if it is unset."""
    return now - at if at != float('-inf') else -1.0
