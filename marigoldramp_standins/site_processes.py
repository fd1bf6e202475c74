"""Entries and agents in one process, which tests kill and freeze.

Each runs the real program (:mod:`marigoldramp.entry`,
:mod:`marigoldramp.agent`) behind a real HTTP server.  What is not the
calls' own is small and fixed here: the configuration, the verdicts on
peers, the heartbeats.  A process that is killed runs no further line, and
its connections break; one that is frozen goes no further than the next
named step.
"""

import dataclasses
import random as random_module
from typing import Any
from typing import Callable
from typing import MutableMapping

import anyio
import anyio.abc

from marigoldramp import agent
from marigoldramp import asgi
from marigoldramp import bundle
from marigoldramp import clocks
from marigoldramp import entry
from marigoldramp import membership
from marigoldramp import messages
from marigoldramp import metrics
from marigoldramp import runtime
from marigoldramp import servers
from marigoldramp import settings as settings_module
from marigoldramp import steps
from marigoldramp import store

HOST = '127.0.0.1'
FLEET_KEY = b'a fleet key for sites only'

Observer = Callable[['Process', steps.Step, str], Any]
Scope = MutableMapping[str, Any]


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class FixedConfig:
    """A configuration that is in force from the start and never changes."""

    in_force: bundle.Bundle

    @property
    def number(self) -> int:
        """Number of the bundle."""
        return self.in_force.number

    def find_customer(self, digest: str) -> bundle.Customer | None:
        """Return the customer of a key."""
        for customer in self.in_force.customers:
            if digest in customer.key_digests:
                return customer
        return None


@dataclasses.dataclass(slots=True, kw_only=True)
class Verdicts:
    """Membership of one process, told by the site that knows the truth.

    :ivar states: how instances look from here; others are alive.
    :ivar verify: called when this process distrusts an instance.
    :ivar list_entries: the entries that callers can be sent to.
    """

    verify: Callable[[str], None]
    list_entries: Callable[[], tuple[Any, ...]]
    states: dict[str, membership.State] = dataclasses.field(
        default_factory=dict
    )
    load_source: Any = None
    heartbeat: list[Any] = dataclasses.field(default_factory=list)
    dead: list[Any] = dataclasses.field(default_factory=list)
    told: list[Any] = dataclasses.field(default_factory=list)

    def find(self, instance: str) -> Any:
        """Return a peer; only its state is ever read."""
        state = self.states.get(instance, membership.State.ALIVE)
        return Looks(state=state)

    def peers(self, role: messages.Role) -> tuple[Any, ...]:
        """Return the living peers of a role."""
        return self.list_entries() if role is messages.Role.ENTRY else ()

    def suspect(self, instance: str) -> None:
        """Have an instance verified."""
        self.verify(instance)

    def on_heartbeat(self, callback: Any) -> None:
        """Call back for each heartbeat."""
        self.heartbeat.append(callback)

    def on_dead(self, callback: Any) -> None:
        """Call back for each instance found dead."""
        self.dead.append(callback)

    def on_leaving(self, callback: Any) -> None:
        """Call back for a leaving instance; no site has one."""

    def on_unlinked(self, callback: Any) -> None:
        """Call back for an instance out of sight; no site has one."""

    def on_silent(self, callback: Any) -> None:
        """Call back for a silent instance; no site has one."""

    def on_cache_events(self, callback: Any) -> None:
        """Call back for what agents tell of caches; none does here."""

    def send_cache_events(self, events: Any) -> int:
        """Tell the entries about a cache: none is told."""
        return 0

    def on_usage(self, callback: Any) -> None:
        """Call back for what is asked of other entries; none tells here."""

    def send_usage(self, receiver: str, usage: Any) -> None:
        """Tell an entry what is asked here: none is told."""

    def on_told_leaving(self, callback: Any) -> None:
        """Call back when this process is told that it leaves."""
        self.told.append(callback)


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Looks:
    """What is asked about a peer."""

    state: membership.State


@dataclasses.dataclass(slots=True, kw_only=True)
class Taken:
    """A request as it came, so that its bytes can be sent once more."""

    method: str
    target: bytes
    headers: asgi.Headers
    body: bytes = b''
    whole: anyio.Event = dataclasses.field(default_factory=anyio.Event)
    starts: int = 0
    ends: int = 0

    def render(self) -> bytes:
        """Return the bytes of the request."""
        lines = [self.method.encode() + b' ' + self.target + b' HTTP/1.1']
        lines += [key + b': ' + value for key, value in self.headers]
        return b'\r\n'.join(lines) + b'\r\n\r\n' + self.body


class _Server(servers.Server):
    """A server that can break off as that of a killed process does."""

    def abort(self) -> None:
        for one in getattr(self._server, 'servers', ()):
            one.close()
        for connection in list(self._server.server_state.connections):
            connection.transport.abort()
        self._socket.close()


class Process:
    """One process of the site.

    :ivar taken: the requests that came, the last ones last.
    :ivar frozen: set while the process goes no further.
    """

    def __init__(
        self,
        *,
        program: runtime.Program,
        settings: settings_module.Settings,
        verdicts: Verdicts,
        config: FixedConfig,
        platform: store.PlatformStore,
        metrics: metrics.Metrics,
        observer: Observer,
        incarnation: int,
        clock: Callable[[], float],
    ) -> None:
        self.name = settings.instance
        self.program = program
        self.verdicts = verdicts
        self.taken: list[Taken] = []
        self.alive = True
        self.incarnation = incarnation
        self.clock = clock
        self.wall = clocks.Wall(clock=clock)
        self.offsets = clocks.Offsets(wall=self.wall)
        # What the programs read of a runtime.
        self.settings = settings
        self.members = verdicts
        self.config = config
        self.platform = platform
        self.metrics = metrics
        self.random = random_module.Random(incarnation)
        self.fleet_key = FLEET_KEY
        self.client: Any = None
        self.leaving = False
        self._observer = observer
        self._requests: set[anyio.CancelScope] = set()
        self._group: anyio.abc.TaskGroup | None = None
        self._thawed: anyio.Event | None = None
        role: Any = settings.agent
        if program.role is messages.Role.ENTRY:
            role = settings.entry
        self.server = _Server(
            application=self._serve,
            host=HOST,
            port=0,
            bounds=servers.Bounds(
                head_bytes=role.head_bytes,
                head_seconds=role.head_timeout,
                connections=role.connections,
            ),
        )

    async def run(
        self,
        *,
        task_status: anyio.abc.TaskStatus[None] = anyio.TASK_STATUS_IGNORED,
    ) -> None:
        """Run until killed."""
        with steps.observe(self._note):
            async with anyio.create_task_group() as group:
                self._group = group
                this: Any = self
                self.program.start(this, group)
                group.start_soon(self.server.run)
                task_status.started()
                await anyio.sleep_forever()

    @property
    def frozen(self) -> bool:
        """Whether the process goes no further."""
        return self._thawed is not None

    @property
    def busy(self) -> bool:
        """Whether a request or a call is in it."""
        if not self.alive:
            return False
        return bool(self._requests) or self.program.in_flight() > 0

    def kill(self) -> None:
        """End it as a crash does."""
        if not self.alive:
            return
        self.alive = False
        self.server.abort()
        self.thaw()
        for scope in self._requests:
            scope.cancel()
        if self._group is not None:
            self._group.cancel_scope.cancel()

    def freeze(self) -> None:
        """Let it go no further than the next step of each call."""
        if self._thawed is None:
            self._thawed = anyio.Event()

    def thaw(self) -> None:
        """Let it go on."""
        if self._thawed is not None:
            self._thawed.set()
            self._thawed = None

    def heartbeat(self, *, call_port: int, load: messages.Load) -> Any:
        """Return what the process tells its peers."""
        return messages.Heartbeat(
            instance=self.name,
            role=self.program.role,
            data_centre=self.settings.data_centre,
            host=HOST,
            call_port=call_port,
            control_port=0,
            datagram_port=0,
            incarnation=self.incarnation,
            sequence=1,
            sent_at=self.wall(),
            bundle=self.config.number,
            service=self.program.service,
            load=load,
        )

    async def _note(self, step: steps.Step, where: str) -> None:
        await self._observer(self, step, where)
        if self._thawed is not None:
            # A stopped process sees no cancellation before it goes on.
            with anyio.CancelScope(shield=True):
                await self._thawed.wait()
        if not self.alive:
            await anyio.sleep_forever()

    async def _serve(
        self, scope: Scope, receive: asgi.Receive, send: asgi.Send
    ) -> None:
        head = asgi.read_head(scope)
        taken = Taken(
            method=head.method, target=head.target, headers=head.headers
        )
        self.taken.append(taken)

        async def receive_and_note() -> Scope:
            event = await receive()
            if event['type'] == 'http.request':
                taken.body += event.get('body', b'')
                if not event.get('more_body', False):
                    taken.whole.set()
            return event

        async def send_and_note(event: Scope) -> None:
            taken.starts += event['type'] == 'http.response.start'
            if event['type'] == 'http.response.body':
                taken.ends += not event.get('more_body', False)
            await send(event)

        own = anyio.CancelScope()
        self._requests.add(own)
        try:
            with own:
                await self.program.handle(
                    scope, receive_and_note, send_and_note
                )
        finally:
            self._requests.discard(own)


def make_entry(**parts: Any) -> Process:
    """Return an entry that is not running yet."""
    program = entry.Entry(settings=parts['settings'])
    return Process(program=program, **parts)


def make_agent(**parts: Any) -> Process:
    """Return an agent that is not running yet."""
    program = agent.Agent(settings=parts['settings'])
    return Process(program=program, **parts)
