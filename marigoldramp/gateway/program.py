"""The gateway process: creates its components, runs and stops them."""

import random as random_module
import secrets

from absl import logging
import anyio
import anyio.abc

from .. import logs
from .. import metrics as metrics_module
from .. import supervision
from .. import tcp_streams
from . import adapter as adapter_module
from . import address_selection
from . import admission
from . import attempts
from . import boot_clock
from . import calls
from . import client_connections
from . import configurations
from . import containment
from . import deployment
from . import discovery
from . import endpoint_signals
from . import evacuation_handler
from . import exit_time
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
from . import request_bodies
from . import response_buffers
from . import retry_budget
from . import settings as settings_module
from . import status
from . import stopping
from . import store_outages
from . import timer_delay
from .balancing import endpoints
from .queueing import dispatch
from .shared_state import cold_starts
from .shared_state import rate_shares
from .shared_state import suspect_storage

MAX_IDLE_CONNECTIONS_PER_ENDPOINT = 12
METRICS_PATH = '/metrics'


class Program:
    """One gateway process.

    :ivar leaving: a stop was requested.
    :ivar process_exit: when the process exits.
    :ivar call_port: port for callers, 0 before it listens.
    :ivar peer_port: TCP port for peers, 0 before it listens.
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
        self.process_exit = exit_time.ExitTime()
        self.call_port = 0
        self.peer_port = 0
        self._stop_requested = anyio.Event()
        self._adapter = adapter
        self._metrics = metrics
        self._clock = clock
        self._stopped = anyio.Event()
        self._listeners: list[listeners.Listener] = []
        self._connections: set[inbound.Connection] = set()
        self._platform_pages = adapter.make_pages(self)
        self.client_connections = client_connections.ClientConnections(
            most=lambda: client_connections.find_most(
                memory=self.settings.memory,
                descriptors=self.settings.descriptors,
                endpoints=len(self.table),
            ),
            metrics=metrics,
            clock=clock,
        )
        self.response_buffers = response_buffers.ResponseBuffers(
            most=lambda: response_buffers.find_sum_bound(self.settings.memory),
            metrics=metrics,
            clock=clock,
        )
        self.request_bodies = request_bodies.RequestBodies(
            most=lambda: request_bodies.find_sum_bound(self.settings.memory)
        )
        self.answer_bodies = request_bodies.RequestBodies(
            most=lambda: max(
                attempts.MAX_ANSWER_BYTES,
                request_bodies.find_sum_bound(self.settings.memory),
            )
        )
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
        self._peer_client = peer_exchange.PeerClient(
            peers=self.peers, random=random
        )
        self.pool = outbound.Pool(max_idle=MAX_IDLE_CONNECTIONS_PER_ENDPOINT)
        self.dispatcher = dispatch.Dispatcher(
            table=self.table,
            clock=clock,
            slots=self._find_slots,
            random=random,
            engine=self._find_engine,
            accepted_pause=lambda service: (
                self.active_configuration.routes.accepted_pause(service)
            ),
            priorities=lambda service: (
                self.active_configuration.routes.priorities(service)
            ),
            note_refusal=self._count_early_refusal,
            gateways=lambda: 1 + len(self.peers.live()),
        )
        self.admission = admission.Admission(
            codec=adapter.codec,
            configuration=self.active_configuration,
            revoke_seconds=lambda: self.settings.bounds.revoke,
            clock=clock,
            random=random,
            process_exit=self.process_exit,
        )
        self.containment = containment.Containment(
            instance=settings.instance,
            peers=self.peers,
            pool=self.pool,
            fetch=peer_exchange.fetch_suspects,
            send_reports_now=self._notify_peers,
            metrics=metrics,
            clock=clock,
        )
        self.rate_shares = rate_shares.RateShares(
            instance=settings.instance,
            data_centre=settings.data_centre,
            table=self.table,
            peers=self.peers,
            leaving=lambda: self.leaving,
            send_reports_now=self._notify_peers,
            clock=clock,
            random=random,
            registered=lambda: self._registry.find_members(),
        )
        self.cold_starts = cold_starts.ColdStarts(
            table=self.table,
            shares=self.rate_shares,
            cold_bounds=lambda: self.settings.bounds.cold,
            find_cold_start=self._find_cold_start,
            clock=clock,
        )
        self._suspect_storage = suspect_storage.SuspectStorage(
            known=self.containment.suspects,
            store=adapter.store,
            position=self._find_read_position,
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
                    on_leaving=self._handle_leaving,
                    shares=self.rate_shares,
                    cold_starts=self.cold_starts,
                ),
                on_events=self._record_events,
                bodies=self.answer_bodies,
                has_priorities=lambda service: (
                    self.dispatcher.contention(service).has_priorities
                ),
                process_exit=self.process_exit,
            ),
            budget=retry_budget.RetryBudget(
                instance=settings.instance,
                bounds=lambda: self.settings.bounds.retries,
                members=lambda: self._registry.find_members(),
                random=random,
                clock=clock,
            ),
            containment=self.containment,
            random=random,
            clock=clock,
            metrics=metrics,
            on_wrong_endpoint=self.drop_connections,
            process_exit=self.process_exit,
        )
        outages = store_outages.StoreOutages(
            clock=clock, heartbeat=lambda: self.settings.heartbeat
        )
        self.follower = discovery.EndpointFollower(
            source=adapter.endpoints,
            table=self.table,
            clock=clock,
            presence=presence.Presence(
                table=self.table,
                outages=outages,
                clock=clock,
                on_gone=self._handle_gone,
                on_restart=self._handle_restart,
                restored_at=adapter.store.restored_at,
                on_put=self.cold_starts.note_put,
            ),
            on_change=self._handle_endpoint_change,
            relies_on_peers=lambda: self.peers.has_enough_store_readers(
                capacity=self.settings.capacity
            ),
            fetch_from_peers=self._fetch_endpoints,
            position=lambda: self.peers.find_retry_position(
                capacity=self.settings.capacity
            ),
            read_position=self._find_read_position,
            find_cold_seconds=self.cold_starts.find_remaining,
        )
        is_evacuation_on = settings.bounds.evacuate is not None
        self.evacuation = evacuation_handler.EvacuationHandler(
            source=adapter.evacuations if is_evacuation_on else None,
            components=evacuation_handler.Components(
                table=self.table,
                pool=self.pool,
                dispatcher=self.dispatcher,
                peers=self.peers,
            ),
            restored_at=adapter.store.restored_at,
            is_store_reachable=lambda: (
                self.follower.store.reached and self.refresher.store.reached
            ),
            capacity=lambda: self.settings.capacity,
            send_reports_now=self._notify_peers,
            clock=clock,
            random=random,
        )
        self.evacuation.state.on_withdrawal(self.cold_starts.note_withdrawal)
        self.refresher = refresh.Refresher(
            configuration=self.active_configuration,
            source=adapter.configuration,
            from_peers=self._peer_client.fetch_configuration,
            clock=clock,
            position=self._find_read_position,
            outages=outages,
            restored_at=adapter.store.restored_at,
        )
        self._timer_delay = timer_delay.TimerDelay(clock=clock)
        self.gossip = gossip.Gossip(
            table=self.peers,
            seeds=lambda: tuple(
                seed
                for seed in self.settings.seeds
                if seed != self.settings.peers
            ),
            encode_report=self._encode_report,
            on_report=self._apply_report,
            leads=lambda: bool(self.elector.led_groups()),
            clock=clock,
            random=random,
            delay=self._timer_delay,
        )
        self.active_configuration.on_change(self._notify_peers)
        self._registry = peer_registry.PeerRegistry(
            store=adapter.store,
            table=self.peers,
            instance=settings.instance,
            address=settings.peers,
            random=random,
        )
        adapter.store.on_restore(self._handle_restore)
        self.elector = leader_election.LeaderElector(
            instance=settings.instance,
            table=self.table,
            services=self._list_services,
            fenced=lambda: self.settings.bounds.fenced,
            eligible_peers=lambda: self.peers.list_leader_candidates(
                capacity=self.settings.capacity
            ),
            has_stronger_peer=lambda: self.peers.has_stronger_peer(
                capacity=self.settings.capacity
            ),
            led_by_peers=self.peers.list_led_groups,
            denies_leading=self.peers.denies_leading,
            is_gone=self.peers.is_unreachable,
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
        components = reporting.Components(
            active_configuration=self.active_configuration,
            refresher=self.refresher,
            follower=self.follower,
            table=self.table,
            peers=self.peers,
            dispatcher=self.dispatcher,
            elector=self.elector,
            containment=self.containment,
            rate_shares=self.rate_shares,
            evacuations=self.evacuation.state,
            store=adapter.store,
        )
        incarnation = secrets.randbits(48)
        self._reporter = reporting.Reporter(
            components=components,
            settings=lambda: self.settings,
            ready=self.is_ready,
            leaving=lambda: self.leaving,
            incarnation=incarnation,
            clock=clock,
            delay=self._timer_delay,
        )
        self._addresses = address_selection.AddressSelector(
            peers=self.peers,
            own=self._describe_own_address,
            incarnation=incarnation,
            contact=lambda: self.settings.bounds.contact,
            clock=clock,
            random=random,
        )
        self.describer = status.Describer(
            components=components,
            instance=settings.instance,
            data_centre=settings.data_centre,
            ready=self.is_ready,
            leaving=lambda: self.leaving,
            running=lambda: self.forwarder.running,
            address_shares=self._addresses.list_shares,
            clock=clock,
        )
        self._periodic_tasks = periodic_tasks.PeriodicTasks(
            components=periodic_tasks.Components(
                table=self.table,
                peers=self.peers,
                pool=self.pool,
                dispatcher=self.dispatcher,
                follower=self.follower,
                refresher=self.refresher,
                containment=self.containment,
                rate_shares=self.rate_shares,
                evacuations=self.evacuation.state,
                cold_starts=self.cold_starts,
            ),
            settings=settings,
            read_settings=adapter.read_settings,
            begin_stop=self.begin_stop,
        )
        self._register_gauges()

    @property
    def settings(self) -> settings_module.Settings:
        """Return the settings in force."""
        return self._periodic_tasks.settings

    def _register_gauges(self) -> None:
        """Register the gauges that show the state of the process."""
        gauge = self._metrics.gauge
        gauge('ready', lambda: float(self.is_ready()))
        gauge('running_requests', lambda: float(self.forwarder.running))
        gauge(
            'configuration_version', lambda: self.active_configuration.version
        )
        gauge('configuration_age_seconds', self.admission.version_age)
        gauge('live_peers', lambda: float(len(self.peers.live())))
        gauge('known_endpoints', lambda: float(len(self.table)))
        gauge(
            'evacuated_data_centres',
            lambda: float(len(self.evacuation.state.in_force)),
        )
        gauge('address_share', self._find_own_address_share)
        gauge('timer_delay_seconds', self._timer_delay.find_seconds)
        gauge('cold_endpoints', lambda: float(self.cold_starts.count_cold()))
        gauge(
            'buffered_request_bytes', lambda: float(self.request_bodies.held)
        )
        gauge('endpoint_connections', lambda: float(self.pool.opened))
        self._metrics.gauge_by_label(
            'reserved_slots', 'service', self.dispatcher.list_reserves
        )
        self._metrics.gauge_by_label(
            'waiting_requests', 'priority', self.dispatcher.count_all_waiting
        )

    # State for callers, peers and the platform

    def is_ready(self) -> bool:
        """Whether callers may be sent here."""
        if self.leaving or not self.follower.known.listed:
            return False
        if not self.evacuation.state.is_known:
            return False
        config = self.active_configuration.current
        if config is None:
            return False
        return not config.requires_keys or self.admission.trusts_keys()

    def ready_addresses(self) -> list[outbound.Address]:
        """Return addresses for callers, of this gateway and its peers."""
        return self._addresses.choose()

    def _describe_own_address(self) -> address_selection.Candidate | None:
        calls = self.settings.calls
        if calls is None or not self.is_ready():
            return None
        return address_selection.Candidate(
            instance=self.settings.instance,
            address=calls,
            capacity=self.settings.capacity,
            running=sum(one.own_requests for one in self.table),
            delay=self._timer_delay.find_seconds(),
            age=self._reporter.count_ready_seconds(),
            leads=bool(self.elector.led_groups()),
        )

    def _find_own_address_share(self) -> float:
        shares = self._addresses.list_shares()
        return shares.get(self.settings.instance, 0.0)

    def drop_connections(self, identity: str) -> None:
        """Close idle connections to an endpoint that no longer exists."""
        self.pool.drop(identity=identity)

    def _handle_leaving(self, record: deployment.EndpointRecord) -> None:
        """Handle an endpoint's report that it is shutting down."""
        self.follower.presence.note_leaving(record)

    def _handle_gone(self, identity: str) -> None:
        """Handle an endpoint that is no longer listed."""
        self.drop_connections(identity)
        self.containment.note_gone(identity)

    def _handle_restart(self, identity: str) -> None:
        """Handle an endpoint that has restarted under the same name."""
        self.drop_connections(identity)
        self.containment.note_restart(identity)

    # Start and servers

    async def run(self) -> None:
        """Serve callers until stopped."""
        try:
            async with anyio.create_task_group() as tasks:
                # Without its peers' reports the gateway is of no use.
                await self.gossip.check_address(self.settings.peers)
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
        """Start all tasks that run until the stop."""
        logging.info(
            'started',
            extra=logs.fields(
                data_centre=self.settings.data_centre,
                store=str(self.settings.store),
            ),
        )
        supervisor = supervision.Supervisor(
            tasks=tasks, note_failure=self._count_task_failure
        )
        supervisor.keep_running(self._shut_down)
        self._periodic_tasks.start(supervisor)
        supervisor.keep_running(self.gossip.run, self.settings.peers)
        supervisor.keep_running(self.refresher.run)
        supervisor.keep_running(self.follower.run)
        supervisor.keep_running(self.evacuation.run)
        supervisor.keep_running(self._registry.run)
        supervisor.keep_running(self.elector.run)
        supervisor.keep_running(self.containment.exchange.run)
        supervisor.keep_running(self._suspect_storage.run)

    def _count_task_failure(self, name: str) -> None:
        self._metrics.count('task_failures', task=name)

    async def _listen(self, tasks: anyio.abc.TaskGroup) -> None:
        settings = self.settings
        server = peer_exchange.PeerServer(
            configuration=self.active_configuration,
            follower=self.follower,
            describe=self.describer.describe,
            list_suspects=self.containment.exchange.list_all,
            release=self.containment.release,
        )
        self._call_listener = listeners.Listener(
            serve=self._serve_calls,
            connections=self.client_connections,
            kept=client_connections.KEPT_CONNECTIONS,
        )
        self._listeners.append(self._call_listener)
        handlers: list[tuple[outbound.Address | None, adapter_module.Page]] = [
            (settings.readiness, self._platform_pages.readiness),
            (settings.addresses, self._platform_pages.addresses),
            (settings.peers, server.handle),
            (settings.metrics, self._serve_metrics),
        ]
        for address, page in handlers:
            if address is not None:
                listener = listeners.Listener(
                    serve=self._make_server(page),
                    connections=self.client_connections,
                )
                self._listeners.append(listener)
                port = await listener.listen(
                    host=address.host, port=address.port, tasks=tasks
                )
                if page == server.handle:
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
        async def serve(
            stream: tcp_streams.Stream,
            client: client_connections.ClientConnection,
        ) -> None:
            connection = inbound.Connection(
                stream=stream,
                handler=page,
                limits=lambda: inbound.DEFAULT_LIMITS,
                is_stopping=lambda: False,
                client=client,
                bodies=self.request_bodies,
            )
            self.response_buffers.add(stream=stream, connection=connection)
            await connection.serve()

        return serve

    async def _serve_calls(
        self,
        stream: tcp_streams.Stream,
        client: client_connections.ClientConnection,
    ) -> None:
        connection = inbound.Connection(
            stream=stream,
            handler=self.forwarder.handle,
            limits=self._find_limits,
            is_stopping=lambda: self.leaving,
            client=client,
            bodies=self.request_bodies,
        )
        self.response_buffers.add(stream=stream, connection=connection)
        # The process must not exit before the caller has its answer.
        self._connections.add(connection)
        try:
            await connection.serve()
        finally:
            self._connections.discard(connection)

    async def _serve_metrics(self, exchange: inbound.Exchange) -> None:
        if exchange.head.path != METRICS_PATH:
            await exchange.respond(status=404, headers=[], body=b'')
            return
        await exchange.respond(
            status=200,
            headers=[(b'content-type', b'text/plain')],
            body=self._metrics.render(),
        )

    def _find_limits(self) -> deployment.Limits:
        config = self.active_configuration.current
        return inbound.DEFAULT_LIMITS if config is None else config.limits

    def _list_services(self) -> tuple[deployment.Service, ...]:
        """Return the services whose groups may be led."""
        config = self.active_configuration.current
        if config is None:
            return ()
        return tuple(config.services.values())

    def _record_events(self, call: calls.Call, pause: float) -> None:
        """Record the progress of a stream for its service.

        :param pause: seconds since the previous events, 0 for the first.
        """
        self.containment.note_events(call, is_first=not pause)
        breaker = self.dispatcher.circuit_breaker(call.service)
        was_tripped = breaker.is_tripped
        breaker.note_success()
        if was_tripped:
            self.dispatcher.assign_slots(call.service)
        if pause:
            self.dispatcher.limiter(call.service).note_pause(
                seconds=pause, accepted_pause=call.route.longest_pause
            )

    def _count_early_refusal(self, request: dispatch.SlotRequest) -> None:
        self._metrics.count(
            'refused_early',
            service=request.service,
            priority=str(request.priority),
        )

    def _find_service(self, service: str) -> deployment.Service | None:
        config = self.active_configuration.current
        return None if config is None else config.services.get(service)

    def _find_engine(self, service: str) -> deployment.Engine | None:
        known = self._find_service(service)
        return None if known is None else known.engine

    def _find_cold_start(self, service: str) -> deployment.ColdStart | None:
        known = self._find_service(service)
        return None if known is None else known.cold_start

    def _find_slots(self, endpoint: endpoints.Endpoint) -> float:
        engine = self._find_engine(endpoint.record.service)
        return dispatch.find_slots(endpoint, engine)

    # Peers

    def _encode_report(self, peer: peers.Peer | None, period: float) -> bytes:
        return self._reporter.encode_report(peer, period)

    def _apply_report(
        self, report: peer_reports.Report, touched: frozenset[str]
    ) -> None:
        self._reporter.apply_report(report, touched)

    def _handle_endpoint_change(self) -> None:
        """Handle a change of the known endpoints."""
        for endpoint in self.table:
            self.peers.update_endpoint(endpoint)
        self.dispatcher.assign_all_slots()
        if not self.follower.relies_on_peers():
            # Peers that do not read the store learn of it from this gateway.
            self._notify_peers()

    async def _fetch_endpoints(
        self, known: listings.Summary
    ) -> listings.Listing | None:
        return await self._peer_client.fetch_endpoints(known)

    def _notify_peers(self) -> None:
        """Send the current state to all peers at once."""
        self._reporter.invalidate()
        self.gossip.send_now()

    def _find_read_position(self) -> int:
        """Return how many peers read the store before this gateway."""
        return len(
            self.peers.list_earlier_readers(capacity=self.settings.capacity)
        )

    def _handle_restore(self) -> None:
        """Handle a restore of the store from a backup."""
        self.follower.note_restore()
        self.evacuation.note_restore()
        self._registry.note_restore()
        self._suspect_storage.note_restore()

    def begin_stop(self) -> None:
        """Begin a graceful shutdown, unless one has begun already."""
        if self.leaving:
            return
        self.leaving = True
        self.process_exit.announce(
            stopping.find_exit_time(
                self._clock(), grace=self.settings.bounds.grace
            )
        )
        self._stop_requested.set()

    async def _shut_down(self) -> None:
        """Shut down gracefully once a stop is requested."""
        await self._stop_requested.wait()
        logging.info(
            'stopping', extra=logs.fields(running=self.forwarder.running)
        )
        self._notify_peers()
        await stopping.shut_down(
            stopping.Components(
                resign=self.elector.stop,
                listener=self._call_listener,
                connections=self._connections,
                last_request_at=lambda: self.forwarder.last_request_at,
                clock=self._clock,
            ),
            ends_at=self.process_exit.at,
        )
        self._stopped.set()


async def run(
    *,
    settings: settings_module.Settings,
    adapter: adapter_module.Adapter,
    metrics: metrics_module.Metrics,
) -> None:
    """Run a gateway process until it is stopped."""
    program = Program(settings=settings, adapter=adapter, metrics=metrics)
    await program.run()
