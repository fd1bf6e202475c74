"""The process: builds its parts, runs them, and leads through a stop."""

import random as random_module
import secrets

from absl import logging
import anyio
import anyio.abc

from .. import logs
from .. import metrics as metrics_module
from .. import tcp_streams
from . import adapter as adapter_module
from . import admission
from . import attempts
from . import boot_clock
from . import calls
from . import configurations
from . import containment
from . import deployment
from . import discovery
from . import dispatch
from . import endpoint_signals
from . import endpoints
from . import forwarding
from . import gossip
from . import inbound
from . import leader_election
from . import listeners
from . import listings
from . import outbound
from . import peer_exchange
from . import peer_registry
from . import peer_reports
from . import peers
from . import periodic_tasks
from . import presence
from . import refresh
from . import reporting
from . import retry_budget
from . import settings as settings_module
from . import status
from . import stopping
from . import suspect_storage

#: Descriptors that are left for everything but callers.
SPARE_DESCRIPTORS = 600
MOST_IDLE_PER_ENDPOINT = 12
METRICS_PATH = '/metrics'


class Program:
    """One gateway process.

    :ivar leaving: a stop was asked for.
    :ivar call_port: where callers connect, known once it listens.
    :ivar peer_port: where peers ask by TCP, known once it listens.
    """

    def __init__(
        self,
        *,
        settings: settings_module.Settings,
        adapter: adapter_module.Adapter,
        metrics: metrics_module.Metrics,
    ) -> None:
        random = random_module.Random(secrets.randbits(64))
        clock = boot_clock.read_clock
        self.leaving = False
        self.call_port = 0
        self.peer_port = 0
        self._leave = anyio.Event()
        self._adapter = adapter
        self._metrics = metrics
        self._clock = clock
        self._stopped = anyio.Event()
        self._listeners: list[listeners.Listener] = []
        self._connections: set[inbound.Connection] = set()
        self._pages = adapter.make_pages(self)
        self.active_configuration = configurations.ActiveConfiguration(
            source=adapter.configuration
        )
        self.table = endpoints.EndpointTable(
            data_centre=settings.data_centre, random=random
        )
        self.peers = peers.PeerTable(
            instance=settings.instance,
            data_centre=settings.data_centre,
            clock=clock,
            random=random,
        )
        self._peer_source = peer_exchange.PeerSource(
            peers=self.peers, random=random
        )
        self.pool = outbound.Pool(max_idle=MOST_IDLE_PER_ENDPOINT)
        self.dispatcher = dispatch.Dispatcher(
            table=self.table,
            clock=clock,
            slots=self._slots,
            random=random,
            engine=self._engine,
            accepted_pause=lambda service: (
                self.active_configuration.routes.accepted_pause(service)
            ),
        )
        self.admission = admission.Admission(
            codec=adapter.codec,
            configuration=self.active_configuration,
            revoke_seconds=lambda: self.settings.bounds.revoke,
            clock=clock,
            random=random,
        )
        self.containment = containment.Containment(
            instance=settings.instance,
            peers=self.peers,
            pool=self.pool,
            fetch=peer_exchange.fetch_suspects,
            send_reports_now=self._tell_peers,
            metrics=metrics,
            clock=clock,
        )
        self._suspect_storage = suspect_storage.SuspectStorage(
            known=self.containment.suspects,
            store=adapter.store,
            position=self._place_among_peers,
            clock=clock,
        )
        self.forwarder = forwarding.Forwarder(
            admission=self.admission,
            dispatcher=self.dispatcher,
            runner=attempts.AttemptRunner(
                codec=adapter.codec,
                pool=self.pool,
                signals=endpoint_signals.EndpointSignals(
                    clock=clock,
                    metrics=metrics,
                    on_leaving=self._note_leaving,
                ),
                on_events=self._note_events,
            ),
            budget=retry_budget.RetryBudget(
                bounds=lambda: self.settings.bounds.retries,
                entries=lambda: self.peers.may_live() + 1,
                clock=clock,
            ),
            containment=self.containment,
            random=random,
            clock=clock,
            metrics=metrics,
            on_wrong_endpoint=self.pool_drop,
        )
        self.follower = discovery.EndpointFollower(
            source=adapter.endpoints,
            table=self.table,
            clock=clock,
            presence=presence.Presence(
                table=self.table,
                clock=clock,
                on_gone=self._note_gone,
                on_restart=self._note_restart,
                restored_at=adapter.store.restored_at,
            ),
            on_change=self._note_endpoints,
            relies_on_peers=lambda: self.peers.read_store_for_us(
                strength=self.settings.strength
            ),
            fetch_from_peers=self._fetch_endpoints,
            position=self._place_among_peers,
        )
        self.refresher = refresh.Refresher(
            configuration=self.active_configuration,
            source=adapter.configuration,
            from_peers=self._peer_source.fetch_configuration,
            clock=clock,
            position=self._place_among_peers,
            restored_at=adapter.store.restored_at,
        )
        self.gossip = gossip.Gossip(
            table=self.peers,
            seeds=lambda: tuple(
                seed
                for seed in self.settings.seeds
                if seed != self.settings.peers
            ),
            make=self._report,
            take=self._take,
            leads=lambda: bool(self.elector.led_groups()),
            clock=clock,
            random=random,
        )
        self.active_configuration.on_change(self._tell_peers)
        self._registry = peer_registry.PeerRegistry(
            store=adapter.store,
            table=self.peers,
            instance=settings.instance,
            address=settings.peers,
            random=random,
        )
        adapter.store.on_restore(self._note_restore)
        self.elector = leader_election.LeaderElector(
            instance=settings.instance,
            table=self.table,
            services=self._services,
            fenced=lambda: self.settings.bounds.fenced,
            eligible_peers=lambda: self.peers.fit_to_lead(
                strength=self.settings.strength
            ),
            has_stronger_peer=lambda: self.peers.is_outdone(
                strength=self.settings.strength
            ),
            led_by_peers=self.peers.led_groups,
            denies_leading=self.peers.is_idle,
            is_gone=self.peers.is_lost,
            pause_share=lambda service: self.dispatcher.limiter(
                service
            ).pause_ratio,
            passes=lambda service: self.dispatcher.limiter(service).pass_times,
            concurrency_limit=lambda service, slots: self.dispatcher.limiter(
                service
            ).limit(slots),
            api=adapter.ranks,
            store=adapter.store,
            is_store_reachable=lambda: self.follower.store.reached,
            clock=clock,
        )
        parts = reporting.Parts(
            active_configuration=self.active_configuration,
            refresher=self.refresher,
            follower=self.follower,
            table=self.table,
            peers=self.peers,
            dispatcher=self.dispatcher,
            elector=self.elector,
            containment=self.containment,
            store=adapter.store,
        )
        self._reporter = reporting.Reporter(
            parts=parts,
            settings=lambda: self.settings,
            ready=self.is_ready,
            leaving=lambda: self.leaving,
            incarnation=secrets.randbits(48),
            clock=clock,
        )
        self.describer = status.Describer(
            parts=parts,
            instance=settings.instance,
            data_centre=settings.data_centre,
            ready=self.is_ready,
            leaving=lambda: self.leaving,
            running=lambda: self.forwarder.running,
            clock=clock,
        )
        self._periodic_tasks = periodic_tasks.PeriodicTasks(
            parts=periodic_tasks.Parts(
                table=self.table,
                peers=self.peers,
                pool=self.pool,
                dispatcher=self.dispatcher,
                follower=self.follower,
                refresher=self.refresher,
                peer_source=self._peer_source,
                containment=self.containment,
            ),
            settings=settings,
            read_settings=adapter.read_settings,
            begin_stop=self.begin_stop,
            clock=clock,
        )
        self._show_gauges()

    @property
    def settings(self) -> settings_module.Settings:
        """The settings in force."""
        return self._periodic_tasks.settings

    def _show_gauges(self) -> None:
        """Show on the metrics page what the process believes."""
        gauge = self._metrics.gauge
        gauge('ready', lambda: float(self.is_ready()))
        gauge('running_requests', lambda: float(self.forwarder.running))
        gauge(
            'configuration_version', lambda: self.active_configuration.version
        )
        gauge('configuration_age_seconds', self.admission.version_age)
        gauge('live_peers', lambda: float(len(self.peers.live())))
        gauge('known_endpoints', lambda: float(len(self.table)))
        gauge('endpoint_connections', lambda: float(self.pool.opened))

    # What pages show

    def is_ready(self) -> bool:
        """Whether callers may be sent here."""
        if self.leaving or not self.follower.listed:
            return False
        config = self.active_configuration.current
        if config is None:
            return False
        return not config.requires_keys or self.admission.trusts_keys()

    def ready_addresses(self) -> list[outbound.Address]:
        """Return where callers can connect, here and at peers."""
        found = self.peers.ready_addresses()
        if self.is_ready() and self.settings.calls is not None:
            leads = bool(self.elector.led_groups())
            if not leads or len(found) < peers.ENOUGH_WITHOUT_LEADERS:
                found.insert(0, self.settings.calls)
        return found

    def pool_drop(self, identity: str) -> None:
        """Close idle connections to an endpoint that is no more."""
        self.pool.drop(identity=identity)

    def _note_leaving(self, record: deployment.EndpointRecord) -> None:
        """Act on an endpoint that reports that it is shutting down."""
        self.follower.presence.note_leaving(record)

    def _note_gone(self, identity: str) -> None:
        """Act on an endpoint that is listed no longer."""
        self.pool_drop(identity)
        self.containment.note_gone(identity)

    def _note_restart(self, identity: str) -> None:
        """Act on an endpoint that has started anew under its name."""
        self.pool_drop(identity)
        self.containment.note_restart(identity)

    # Running

    async def run(self) -> None:
        """Serve until stopped."""
        try:
            async with anyio.create_task_group() as tasks:
                await self._listen(tasks)
                self._start(tasks)
                await self._stopped.wait()
                tasks.cancel_scope.cancel()
        finally:
            for listener in self._listeners:
                listener.close()
        logging.info(
            'stopped', extra=logs.fields(running=self.forwarder.running)
        )

    def _start(self, tasks: anyio.abc.TaskGroup) -> None:
        """Begin all that goes on until the stop."""
        logging.info(
            'started',
            extra=logs.fields(
                data_centre=self.settings.data_centre,
                store=str(self.settings.store),
            ),
        )
        tasks.start_soon(self._stop)
        self._periodic_tasks.start(tasks)
        tasks.start_soon(self.gossip.run, self.settings.peers)
        tasks.start_soon(self.refresher.run)
        tasks.start_soon(self.follower.run)
        tasks.start_soon(self._registry.run)
        tasks.start_soon(self.elector.run)
        tasks.start_soon(self.containment.exchange.run)
        tasks.start_soon(self._suspect_storage.run)

    async def _listen(self, tasks: anyio.abc.TaskGroup) -> None:
        settings = self.settings
        max_connections = max(64, settings.descriptors - SPARE_DESCRIPTORS)
        pages = peer_exchange.PeerPages(
            configuration=self.active_configuration,
            follower=self.follower,
            describe=self.describer.describe,
            list_suspects=self.containment.exchange.list_all,
            release=self.containment.release,
        )
        self._call_listener = listeners.Listener(
            serve=self._serve_calls, max_connections=max_connections
        )
        self._listeners.append(self._call_listener)
        places: list[tuple[outbound.Address | None, adapter_module.Page]] = [
            (settings.readiness, self._pages.readiness),
            (settings.addresses, self._pages.addresses),
            (settings.peers, pages.handle),
            (settings.metrics, self._show_metrics),
        ]
        for address, page in places:
            if address is not None:
                listener = listeners.Listener(
                    serve=self._make_server(page),
                    max_connections=max_connections,
                )
                self._listeners.append(listener)
                port = await listener.listen(
                    host=address.host, port=address.port, tasks=tasks
                )
                if page == pages.handle:
                    self.peer_port = port
        if settings.calls is not None:
            self.call_port = await self._call_listener.listen(
                host=settings.calls.host,
                port=settings.calls.port,
                tasks=tasks,
            )

    def _make_server(
        self, page: adapter_module.Page
    ) -> listeners.ServeConnection:
        async def serve(stream: tcp_streams.Stream) -> None:
            connection = inbound.Connection(
                stream=stream,
                handler=page,
                limits=lambda: inbound.DEFAULT_LIMITS,
                is_stopping=lambda: False,
            )
            await connection.serve()

        return serve

    async def _serve_calls(self, stream: tcp_streams.Stream) -> None:
        connection = inbound.Connection(
            stream=stream,
            handler=self.forwarder.handle,
            limits=self._limits,
            is_stopping=lambda: self.leaving,
        )
        self._connections.add(connection)
        try:
            await connection.serve()
        finally:
            self._connections.discard(connection)

    async def _show_metrics(self, exchange: inbound.Exchange) -> None:
        if exchange.head.path != METRICS_PATH:
            await exchange.respond(status=404, headers=[], body=b'')
            return
        await exchange.respond(
            status=200,
            headers=[(b'content-type', b'text/plain')],
            body=self._metrics.render(),
        )

    def _limits(self) -> deployment.Limits:
        config = self.active_configuration.current
        return inbound.DEFAULT_LIMITS if config is None else config.limits

    def _services(self) -> tuple[deployment.Service, ...]:
        """Return the services whose groups may be led."""
        config = self.active_configuration.current
        if config is None:
            return ()
        return tuple(config.services.values())

    def _note_events(self, call: calls.Call, pause: float) -> None:
        """Learn from events of a stream how its service does."""
        breaker = self.dispatcher.circuit_breaker(call.service)
        was_tripped = breaker.is_tripped
        breaker.note_success()
        if was_tripped:
            self.dispatcher.assign_slots(call.service)
        if pause:
            self.dispatcher.limiter(call.service).note_pause(
                seconds=pause, accepted_pause=call.route.longest_pause
            )

    def _engine(self, service: str) -> deployment.Engine | None:
        config = self.active_configuration.current
        known = None if config is None else config.services.get(service)
        return None if known is None else known.engine

    def _slots(self, endpoint: endpoints.Endpoint) -> float:
        engine = self._engine(endpoint.record.service)
        return dispatch.find_slots(endpoint, engine)

    # Peers

    def _report(
        self, peer: peers.Peer | None, period: float
    ) -> peer_reports.Report:
        return self._reporter.make(peer, period)

    def _take(
        self, report: peer_reports.Report, touched: frozenset[str]
    ) -> None:
        self._reporter.take(report, touched)

    def _note_endpoints(self) -> None:
        """Act on a change of the endpoints that are known."""
        self.dispatcher.assign_all_slots()
        if not self.follower.relies_on_peers():
            # Peers that do not ask the store learn of it from us.
            self._tell_peers()

    async def _fetch_endpoints(
        self, newer_than: int
    ) -> listings.Listing | None:
        return await self._peer_source.fetch_endpoints(newer_than=newer_than)

    def _tell_peers(self) -> None:
        """Let peers know at once that something has changed."""
        self._reporter.forget()
        self.gossip.hasten()

    def _place_among_peers(self) -> int:
        """Return how many peers read the configuration before we do."""
        return len(self.peers.ahead(strength=self.settings.strength))

    def _note_restore(self) -> None:
        """Act on a store that has come back from an older copy."""
        self.follower.note_restore()
        self._registry.note_restore()
        self._suspect_storage.note_restore()

    def begin_stop(self) -> None:
        """Begin a planned stop; a second request changes nothing."""
        self.leaving = True
        self._leave.set()

    async def _stop(self) -> None:
        """Lead through a planned stop, within the time that is given."""
        await self._leave.wait()
        logging.info(
            'stopping', extra=logs.fields(running=self.forwarder.running)
        )
        self._tell_peers()
        await stopping.lead_through(
            stopping.Parts(
                resign=self.elector.stop,
                listener=self._call_listener,
                connections=self._connections,
                asked_at=lambda: self.forwarder.asked_at,
                clock=self._clock,
            ),
            grace=self.settings.bounds.grace,
        )
        self._stopped.set()


async def run(
    *,
    settings: settings_module.Settings,
    adapter: adapter_module.Adapter,
    metrics: metrics_module.Metrics,
) -> None:
    """Run a process until it is stopped."""
    program = Program(settings=settings, adapter=adapter, metrics=metrics)
    await program.run()
