"""What an entry and an agent have in common while they run.

The runtime owns the store, the peers, the membership and the configuration
of one process, starts them in the order in which they need each other, and
leads through a planned stop.
"""

import abc
import random as random_module
import signal
import time
from typing import Any

from absl import logging
import anyio
import anyio.abc

from . import __version__
from . import alarms
from . import asgi
from . import clocks
from . import configuration
from . import credentials
from . import heartbeats
from . import membership
from . import messages
from . import metrics
from . import pages
from . import peer_messages
from . import peers
from . import seals
from . import servers
from . import settings as settings_module
from . import status
from . import steps
from . import store
from . import supervision

#: Exit codes of the daemons.
STOPPED = 0
BAD_SETTINGS = 2
CUT = 5

_DRAIN_CHECK = 0.02


class Program(abc.ABC):
    """What makes a runtime an entry or an agent."""

    role: messages.Role
    service: str = ''

    @abc.abstractmethod
    def start(self, runtime: 'Runtime', group: anyio.abc.TaskGroup) -> None:
        """Build the program on a runtime whose parts exist."""

    @abc.abstractmethod
    async def handle(
        self, scope: Any, receive: asgi.Receive, send: asgi.Send
    ) -> None:
        """Serve one request that is none of the pages."""

    @abc.abstractmethod
    def in_flight(self) -> int:
        """Return the number of calls that have not ended."""

    @abc.abstractmethod
    async def drain(self) -> None:
        """Lead a planned stop: return when no call is left."""

    def alarms(self) -> list[status.Alarm]:
        """Return what an operator should look at."""
        return []

    async def order(
        self, *, order: peers.MapOrder, sender: str
    ) -> peers.MapReply:
        """Carry out an order about a rank group."""
        return peers.MapReply(accepted=False, reason='no rank is here')

    async def hand_over(
        self, *, request: peers.HandOverRequest, sender: str
    ) -> peers.HandOverReply:
        """Keep records of another agent."""
        return peers.HandOverReply(kept=False, reason='no agent is here')


class _Handlers(peers.Handlers):
    """Passes peers' requests to the parts that answer them."""

    def __init__(self, *, runtime: 'Runtime', program: Program) -> None:
        self._runtime = runtime
        self._program = program

    async def probe(self, *, sender: str) -> peer_messages.ProbeReply:
        return self._runtime.members.answer_probe()

    async def fetch_manifest(
        self, *, have: int, sender: str
    ) -> peer_messages.ManifestReply:
        return self._runtime.config.answer_manifest(have)

    async def fetch_parts(
        self, *, digests: tuple[str, ...], sender: str
    ) -> tuple[peer_messages.Part, ...]:
        return self._runtime.config.answer_parts(digests)

    async def order(
        self, *, order: peers.MapOrder, sender: str
    ) -> peers.MapReply:
        return await self._program.order(order=order, sender=sender)

    async def hand_over(
        self, *, request: peers.HandOverRequest, sender: str
    ) -> peers.HandOverReply:
        return await self._program.hand_over(request=request, sender=sender)


class Runtime:
    """One running process.

    :param platform: used instead of the store that the settings name.
    :ivar listed: the instance list as it was last read.
    :ivar exits_at: when it exits at the latest; infinite unless it is being
        stopped.
    :ivar advertised_port: port at which calls reach this process, where it
        is not the one that it listens on.
    """

    def __init__(
        self,
        *,
        settings: settings_module.Settings,
        program: Program,
        fleet_key: bytes,
        platform: store.PlatformStore | None = None,
    ) -> None:
        self.settings = settings
        self.program = program
        self.fleet_key = fleet_key
        self.clock = time.monotonic
        self.wall = clocks.Wall()
        self.random = random_module.Random()
        self.incarnation = heartbeats.make_incarnation(
            wall=self.wall(), random=self.random
        )
        self.offsets = clocks.Offsets(wall=self.wall)
        self.platform = platform or _find_store(settings)
        self.metrics = metrics.create(
            settings=settings.metrics, instance=settings.instance
        )
        self.client = peers.Client(
            sealer=self.seal('order'), instance=settings.instance
        )
        self.listed: tuple[store.Instance, ...] = ()
        self.watch = alarms.Watch(clock=self.clock)
        self.leaving = False
        self.ready = False
        self.exits_at = float('inf')
        self._stop = anyio.Event()
        self._cut = anyio.Event()
        self.server = self._make_server()
        self.peer_server = peers.Server(
            handlers=_Handlers(runtime=self, program=program),
            sealer=self.seal('order'),
            instance=settings.instance,
            session=self.incarnation,
            host=settings.host,
            port=self._role_settings.control_port,
        )
        self.advertised_port = self.server.port
        self.members: membership.Membership
        self.config: configuration.Configuration
        self._alarms: alarms.ProcessAlarms

    @property
    def _role_settings(self) -> settings_module.Entry | settings_module.Agent:
        if self.program.role is messages.Role.ENTRY:
            return self.settings.entry
        return self.settings.agent

    def seal(self, use: str) -> seals.Sealer:
        """Return a sealer for one use of the fleet key."""
        return seals.Sealer(fleet_key=self.fleet_key, use=use)

    def request_stop(self) -> None:
        """Begin a planned stop; a second request ends it at once."""
        if self._stop.is_set():
            self._cut.set()
        self._stop.set()

    async def run(self) -> int:
        """Run until a stop is requested; return the exit code."""
        async with anyio.create_task_group() as group:
            await self._start(group)
            await self._stop.wait()
            cut = await self._stop_planned()
            group.cancel_scope.cancel()
        self.members.close()
        with anyio.CancelScope(shield=True):
            await self.peer_server.stop()
            await self.client.close()
            await self.platform.close()
        if cut:
            logging.error('stopped, cutting off %d calls', cut)
            return CUT
        logging.info('stopped; no call was cut off')
        return STOPPED

    # Starting

    async def _start(self, group: anyio.abc.TaskGroup) -> None:
        control_port = await self.peer_server.start()
        self.members = self._make_members(control_port)
        self.config = self._make_config()
        self.members.bundle_source = lambda: self.config.number
        self.members.on_heartbeat(self._note_heartbeat)
        self._alarms = alarms.ProcessAlarms(
            watch=self.watch, members=self.members, clock=self.clock
        )
        self._show_gauges()
        self.program.start(self, group)
        # Calls that the first heartbeat brings would wait in vain without it.
        group.start_soon(self.server.run)
        await self.members.start(group)
        await steps.reach(steps.Step.START_LISTENING, self.settings.instance)
        supervisor = supervision.Supervisor(tasks=group)
        supervisor.keep_running(self._poll_instances)
        supervisor.keep_running(self.config.run)
        supervisor.keep_running(self._await_bundle)

    async def _await_bundle(self) -> None:
        """Become ready once a bundle is in force; nothing runs before."""
        await self.config.wait_in_force()
        await steps.reach(steps.Step.START_BUNDLE, self.settings.instance)
        self.ready = True
        await steps.reach(steps.Step.START_READY, self.settings.instance)
        logging.info(
            'ready: calls on port %d, bundle %d',
            self.server.port,
            self.config.number,
        )

    async def _poll_instances(self) -> None:
        """Read the instance list again and again; it may be away.

        The longer it is, the more seldom: at fleet size a reading has a
        quarter of a megabyte.
        """
        least = self.settings.platform.poll_instances
        due = self.clock()
        while True:
            if self.clock() >= due:
                await self._read_instances()
                due = self.clock() + self.members.choose_list_pause(least)
            self.watch.log_changes(self.list_alarms())
            await anyio.sleep(least)

    async def _read_instances(self) -> None:
        listed = await self.platform.list_instances()
        if isinstance(listed, store.Instances):
            self.listed = listed.instances
            self.members.seed(listed.instances)
            self._alarms.note_list_read()

    def _note_heartbeat(self, heartbeat: messages.Heartbeat) -> None:
        self.offsets.observe(
            instance=heartbeat.instance, sent_at=heartbeat.sent_at
        )

    # Stopping

    async def _stop_planned(self) -> int:
        """Lead the planned stop; return the number of calls cut off.

        Readiness and the announcement go first, so that peers and callers
        turn elsewhere while this process still serves them.
        """
        self.leaving = True
        self.exits_at = self.clock() + self._role_settings.drain_limit
        await steps.reach(steps.Step.DRAIN_STARTED, self.settings.instance)
        with anyio.move_on_after(self._role_settings.drain_limit) as limit:
            async with anyio.create_task_group() as group:
                group.start_soon(self._cancel_on_cut, group.cancel_scope)
                await self.members.announce_leaving()
                await steps.reach(
                    steps.Step.DRAIN_ANNOUNCED, self.settings.instance
                )
                await self.program.drain()
                await steps.reach(
                    steps.Step.DRAIN_IDLE, self.settings.instance
                )
                await self.server.stop()
                group.cancel_scope.cancel()
        if limit.cancelled_caught:
            logging.error('the planned stop reached its limit')
        return self.program.in_flight()

    async def _cancel_on_cut(self, scope: anyio.CancelScope) -> None:
        await self._cut.wait()
        logging.error('a second signal ends the planned stop')
        scope.cancel()

    # Parts

    def _make_server(self) -> servers.Server:
        bounds = servers.Bounds(
            head_bytes=self._role_settings.head_bytes,
            head_seconds=self._role_settings.head_timeout,
            connections=self._role_settings.connections,
        )
        application = pages.Pages(
            tokens=status.Tokens(fleet_key=self.fleet_key, wall=self.wall),
            metrics=self.metrics,
            describe=self.describe,
            calls=self.program.handle,
        )
        return servers.Server(
            application=application.handle,
            host=self.settings.host,
            port=self._role_settings.call_port,
            bounds=bounds,
        )

    def _make_members(self, control_port: int) -> membership.Membership:
        return membership.Membership(
            identity=membership.Identity(
                instance=self.settings.instance,
                role=self.program.role,
                data_centre=self.settings.data_centre,
                host=self.settings.host,
                call_port=self.advertised_port,
                control_port=control_port,
                incarnation=self.incarnation,
                datagram_port=self._role_settings.datagram_port,
                service=self.program.service,
            ),
            settings=self.settings.membership,
            sealer=self.seal('datagram'),
            client=self.client,
            clock=self.clock,
            wall=self.wall,
        )

    def _make_config(self) -> configuration.Configuration:
        return configuration.Configuration(
            store=self.platform,
            client=self.client,
            members=self.members,
            settings=self.settings,
        )

    # Telling

    def list_alarms(self) -> list[status.Alarm]:
        """Return what an operator should look at."""
        found = self.config.findings
        common = self._alarms.show(bundle=self.config.number, found=found)
        return [*common, *self.program.alarms()]

    def _show_gauges(self) -> None:
        """Put the state of the process on the metrics page."""
        self.metrics.gauge('bundle', lambda: self.config.number)
        self.metrics.gauge('calls_in_flight', self.program.in_flight)
        self.metrics.gauge('alarms', lambda: self.watch.count)

    def describe(self) -> status.Status:
        """Return the state of the process for an operator."""
        return status.Status(
            instance=self.settings.instance,
            role=self.program.role.name.lower(),
            data_centre=self.settings.data_centre,
            version=__version__,
            incarnation=self.incarnation,
            bundle=self.config.number,
            ready=self.ready,
            leaving=self.leaving,
            in_flight=self.program.in_flight(),
            peers=[status.describe_peer(p) for p in self.members.all_peers()],
            alarms=self.list_alarms(),
        )


def _find_store(settings: settings_module.Settings) -> store.PlatformStore:
    plugin: Any = store.PlatformStore.find(settings.platform.store)
    made: store.PlatformStore = plugin(settings=settings.platform)
    return made


async def run_until_signal(runtime: Runtime) -> int:
    """Run a process; a signal begins the planned stop, a second ends it."""

    async def watch() -> None:
        signals = (signal.SIGTERM, signal.SIGINT)
        with anyio.open_signal_receiver(*signals) as received:
            async for number in received:
                logging.info('stop requested by %s', number.name)
                runtime.request_stop()

    async with anyio.create_task_group() as group:
        group.start_soon(watch)
        code = await runtime.run()
        group.cancel_scope.cancel()
    return code


def read_fleet_key(
    settings: settings_module.Settings,
) -> bytes | credentials.Missing:
    """Return the secret that the system's processes share."""
    key = credentials.read(settings.security.fleet_key)
    if isinstance(key, bytes) and len(key) < seals.LEAST_KEY_BYTES:
        return credentials.Missing(
            detail=f'it is shorter than {seals.LEAST_KEY_BYTES} bytes'
        )
    return key
