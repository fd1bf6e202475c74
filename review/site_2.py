"""A small deployment of real gateways for the scripts of cases 6 to 10.

The gateways are processes of their own, started with the command of the
deploy file.  The platform's store, the servers and the clients are stand-ins
in the process of the script.  Everything is on loopback addresses.
"""

import contextlib
import dataclasses
import itertools
import json
import os
import pathlib
import random
import signal
import socket
import subprocess
import sys
import tempfile

import anyio
import h11
import httpcore

from marigoldramp.gateway import deployment
from marigoldramp.gateway import inbound
from marigoldramp.gateway import listeners
from marigoldramp_soak import objects

ROOT = pathlib.Path(__file__).resolve().parent.parent
HOST_NAME = 'review.example'
#: Port of the metrics, which the program does not take from its settings.
METRICS_PORT = 9464
START_TIMEOUT_SECONDS = 30.0
#: Seconds after which the entry of a server that has ended is removed: three
#: heartbeats.
LAPSE_SECONDS = 3.6
#: Time of a whole run in seconds.
MOST_SECONDS = 110
#: Seconds between two questions of a client for addresses.
RESOLVE_SECONDS = 1.0
#: Requests on one connection of a client.
REQUESTS_PER_CONNECTION = 40
_server_numbers = itertools.count(1)
LIMITS = {
    'MaxHeaderBytes': 16384,
    'MaxBodyBytes': 4194304,
    'HeaderTimeoutMs': 3000,
    'IdleTimeoutMs': 15000,
}
#: What the stand-ins accept: more than any client sends here.
STANDIN_LIMITS = deployment.Limits(
    head_bytes=1048576,
    body_bytes=8388608,
    head_seconds=10.0,
    idle_seconds=60.0,
)
SETTINGS = """\
NodeName = "{name}"
Role = "gateway"
MachineClass = "edge"
Serves = ["edge","control","directory"]
Ip = "{host}"
Zone = "{zone}"
Region = "r"
InternalPorts = [{peers},{peers}]
SeedNodes = {seeds}
Bootstrap = true
LossCounts = false
Discovery = "platform"
EntryMode = "directory"
HeartbeatMs = 1200
[Zones]
zone-a = "r"
zone-b = "r"
zone-c = "r"
[Listen]
FrontAddr = "{host}:{calls}"
Ready = "{host}:{ready}"
ControlPlane = "{host}:{control}"
Directory = "{host}:{directory}"
[Limits]
CpuShare = 0.537
CpuCores = 2
MemoryMb = 300
MaxFds = 4100
LinkMbps = 1000.0
DiskMb = 0
[Bounds]
SeedLagS = 3
AddrReuseS = 2
ContactMs = 3000
AckMs = 4000
CatchUpS = 4
DrainMs = 2000
GraceS = 8
LossSlackMs = 200
ConfigApplyMs = 2000
DowngradeSlackMs = 250
StretchMaxMs = 5000
StrictRevoke = true
RevokeMs = 5000
RetryBudgetRatio = 0.2
BudgetWindowS = 10
BudgetExtra = 88
RecoveryS = 12
PassMs = 120
RetryAfterS = 0
stall_ms = 1500
RequireFencing = true
ttl_max_s = 5
{more_bounds}
[PlatformStore]
Address = "{store}"
form = "objects"
WritesPerS = 400
ReadsPerS = 2000
HistoryS = 20
ValueBytes = 1048576
TtlMinMs = 1000
"""


class CouldNotRun(Exception):
    """A stand-in or a program failed, or the disruption didn't come about."""


def require(condition, text):
    """Check that a case was played as planned.

    :raises CouldNotRun: it was not.
    """
    if not condition:
        raise CouldNotRun(text)


class Record:
    """Writes what was sent, answered and run to ``record.txt``."""

    def __init__(self, path):
        self._file = pathlib.Path(path).open('w')
        self._begun = anyio.current_time()

    def note(self, text):
        """Write one line with the seconds since the start of the run."""
        seconds = anyio.current_time() - self._begun
        self._file.write(f'{seconds:9.4f} {text}\n')

    def close(self):
        """Close the file."""
        self._file.close()


@dataclasses.dataclass(kw_only=True)
class Told:
    """What one request came to at its client.

    :ivar sent_at: when it was sent.
    :ivar whole: the answer came to its proper end.
    """

    request: str
    sent_at: float
    status: int = 0
    headers: dict = dataclasses.field(default_factory=dict)
    body: bytes = b''
    whole: bool = False
    ended_at: float = 0.0


def choose_hosts(count):
    """Return loopback addresses of which nothing uses the metrics port."""
    base = f'127.{random.randrange(64, 250)}.{random.randrange(1, 250)}'
    hosts = [f'{base}.{20 + number}' for number in range(count)]
    for host in hosts:
        with socket.socket() as probe:
            probe.bind((host, METRICS_PORT))
    return hosts


def find_ports(host, names):
    """Return free ports by name."""
    held = [socket.socket() for _ in names]
    for one in held:
        one.bind((host, 0))
    found = {name: one.getsockname()[1] for name, one in zip(names, held)}
    for one in held:
        one.close()
    return found


class Gateway:
    """One gateway process with a host of its own.

    :ivar ended_by_itself: exit statuses of processes that ended although the
        script had neither killed nor stopped them.
    """

    def __init__(self, *, name, host, zone, ports, folder, text):
        self.name = name
        self.host = host
        self.zone = zone
        self.ports = ports
        self.ended_by_itself = []
        self.log = folder / f'{name}.log'
        self.settings = folder / f'{name}.toml'
        self.text = text
        self.settings.write_text(text)
        self.process = None
        self._is_ended_by_script = False

    def start(self):
        """Start the process as the deploy file says."""
        self._is_ended_by_script = False
        environment = {
            name: os.environ[name]
            for name in ('PATH', 'HOME', 'LANG')
            if name in os.environ
        }
        environment['MARIGOLDRAMP_BOOT'] = str(self.settings)
        environment['PYTHONPATH'] = os.pathsep.join(
            (str(ROOT / 'target' / 'deps'), str(ROOT))
        )
        environment['PYTHONDONTWRITEBYTECODE'] = '1'
        with self.log.open('ab') as log:
            self.process = subprocess.Popen(
                ['python3', '-m', 'marigoldramp.platform'],
                cwd=ROOT,
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )

    @property
    def runs(self):
        """Whether the process lives."""
        return self.process is not None and self.process.poll() is None

    def signal(self, number):
        """Send a signal to this process only."""
        if self.runs:
            self.process.send_signal(number)

    def note_end(self):
        """Note an end that the script has not caused; return whether."""
        if self.process is None or self.process.poll() is None:
            return False
        if self._is_ended_by_script:
            return False
        self.ended_by_itself.append(self.process.returncode)
        self._is_ended_by_script = True
        return True

    async def kill(self):
        """Kill the process and wait for its end."""
        self._is_ended_by_script = True
        self.signal(signal.SIGKILL)
        while self.runs:
            await anyio.sleep(0.01)


class Site:
    """A store and gateways.

    :param tasks: task group of the stand-ins.
    """

    def __init__(self, *, tasks, record, more_bounds=''):
        self.tasks = tasks
        self.record = record
        self.store = objects.Objects()
        self.gateways = []
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix='review-'))
        self.listeners = []
        self.failures = []
        self._more_bounds = more_bounds
        self._version = 0

    async def serve(self, handler, host='127.0.0.1'):
        """Serve HTTP by a handler; return the port."""

        async def handle(exchange):
            try:
                await handler(exchange)
            except (httpcore.NetworkError, httpcore.TimeoutException):
                raise
            except Exception as error:
                if not exchange.ended and not stream_ended(exchange):
                    self.failures.append(repr(error))
                raise

        async def serve_connection(stream, _):
            connection = inbound.Connection(
                stream=stream,
                handler=handle,
                limits=lambda: STANDIN_LIMITS,
                is_stopping=lambda: False,
            )
            await connection.serve()

        listener = listeners.Listener(
            serve=serve_connection, connections=objects.make_connections()
        )
        port = await listener.listen(host=host, port=0, tasks=self.tasks)
        self.listeners.append(listener)
        return port

    async def prepare(self, count, *, seeds=None):
        """Start the store, and write the settings of gateways.

        :param seeds: hosts of the seeds; the first gateways without any.
        """
        port = await self.serve(self.store.handle)
        hosts = choose_hosts(count)
        names = ('calls', 'ready', 'control', 'directory', 'peers')
        ports = find_ports('0.0.0.0', names)
        seeds = [f'{host}:{ports["control"]}' for host in seeds or hosts[:3]]
        for number, host in enumerate(hosts):
            zone = f'zone-{"abc"[number % 3]}'
            name = f'edge-{zone}-{number}'
            text = SETTINGS.format(
                name=name,
                host=host,
                zone=zone,
                seeds=json.dumps(seeds),
                store=f'127.0.0.1:{port}',
                more_bounds=self._more_bounds,
                **ports,
            )
            self.gateways.append(
                Gateway(
                    name=name,
                    host=host,
                    zone=zone,
                    ports=ports,
                    folder=self.folder,
                    text=text,
                )
            )

    def configure(self, *, routes, services, tenants=None, limits=None):
        """Write the operator's configuration."""
        self._version += 1
        document = {
            'Version': self._version,
            'Routes': routes,
            'Services': services,
            'Limits': limits or LIMITS,
        }
        if tenants is not None:
            document['Tenants'] = tenants
        self.store.put('config', 'main', document)

    async def wait_ready(self):
        """Wait until all gateways are ready.

        :raises TimeoutError: they are not in time.
        """
        with anyio.fail_after(START_TIMEOUT_SECONDS):
            for gateway in self.gateways:
                while not await self.is_ready(gateway):
                    await anyio.sleep(0.1)

    async def is_ready(self, gateway):
        """Ask a gateway whether it is ready, as the platform does."""
        told = await ask_once(
            gateway.host,
            gateway.ports['ready'],
            path='/marigoldramp/ready',
            seconds=1.0,
        )
        return told.whole and told.status == 200

    def check(self):
        """Check that all stand-ins worked and that all gateways live.

        :raises CouldNotRun: that is not so.
        """
        require(not self.failures, f'stand-ins failed: {self.failures[:3]}')
        for gateway in self.gateways:
            require(gateway.runs, f'{gateway.name} has ended by itself')

    async def end(self):
        """End every process that was started, and all listeners."""
        with anyio.CancelScope(shield=True):
            for gateway in self.gateways:
                await gateway.kill()
            for listener in self.listeners:
                listener.close()


class Server:
    """A stand-in of a server, whose process may end and start again.

    :ivar identity: its name, a new one after each start.
    :ivar address: where it listens, a new one after each start.
    :ivar is_up: its process lives.
    """

    def __init__(self, *, site):
        self.site = site
        self.identity = ''
        self.address = ''
        self.is_up = False
        self._listener = None
        self._running = set()

    async def start(self):
        """Start a new process, and register it."""
        self.identity = f'i-{next(_server_numbers):04x}'
        port = await self.site.serve(self._handle)
        self._listener = self.site.listeners[-1]
        self.address = f'127.0.0.1:{port}'
        self.is_up = True
        self.register()
        self.site.record.note(f'server {self.identity} started')

    def register(self):
        """Write the entry."""
        raise NotImplementedError

    async def answer(self, exchange):
        """Answer one request."""
        raise NotImplementedError

    def end(self, *, back_after):
        """End as a process does: its port and its connections close.

        :param back_after: seconds after which it starts again.
        """
        if not self.is_up:
            return
        self.is_up = False
        self.site.record.note(f'server {self.identity} ended')
        self._listener.close()
        for scope in list(self._running):
            scope.cancel()
        self.site.tasks.start_soon(self._lapse, self.identity)
        self.site.tasks.start_soon(self._come_back, back_after)

    async def _lapse(self, old):
        await anyio.sleep(LAPSE_SECONDS)
        self.site.store.drop('servers', old)

    async def _come_back(self, seconds):
        await anyio.sleep(seconds)
        await self.start()

    async def _handle(self, exchange):
        with anyio.CancelScope() as scope:
            self._running.add(scope)
            try:
                await self.answer(exchange)
            finally:
                self._running.discard(scope)


def make_route(name, prefix, kind, service, **more):
    """Return a route of the configuration."""
    return {
        'Name': name,
        'Hostname': HOST_NAME,
        'PathPrefix': prefix,
        'RouteKind': kind,
        'TimeoutMs': 1500,
        'TargetLatencyMs': 200,
        'Priority': 1,
        'Service': service,
        'MaxAttempts': 2 if kind == 'idempotent' else 1,
        'PublicAccess': False,
        **more,
    }


class Connection:
    """One connection of a client."""

    def __init__(self, stream):
        self._stream = stream
        self._h11 = h11.Connection(h11.CLIENT)

    async def ask(self, *, method, path, headers, request='', seconds=2.0):
        """Make a request; return what it came to."""
        told = Told(request=request, sent_at=anyio.current_time())
        data = self._h11.send(
            h11.Request(method=method, target=path, headers=headers)
        )
        data += self._h11.send(h11.EndOfMessage())
        with contextlib.suppress(
            anyio.BrokenResourceError,
            anyio.ClosedResourceError,
            h11.RemoteProtocolError,
        ):
            with anyio.move_on_after(seconds):
                await self._stream.send(data)
                await self._read(told)
        told.ended_at = anyio.current_time()
        return told

    def is_reusable(self):
        """Prepare for another request; return whether one can follow."""
        if self._h11.our_state is not h11.DONE:
            return False
        if self._h11.their_state is not h11.DONE:
            return False
        self._h11.start_next_cycle()
        return True

    async def _read(self, told):
        while True:
            event = self._h11.next_event()
            if event is h11.NEED_DATA:
                try:
                    data = await self._stream.receive()
                except anyio.EndOfStream:
                    data = b''
                self._h11.receive_data(data)
            elif isinstance(event, h11.Response):
                told.status = event.status_code
                told.headers = dict(event.headers)
            elif isinstance(event, h11.Data):
                told.body += event.data
            elif isinstance(event, h11.EndOfMessage):
                told.whole = True
                return
            elif isinstance(event, h11.ConnectionClosed):
                return


async def ask_once(host, port, *, path, seconds, headers=()):
    """Make a GET request on a connection of its own."""
    told = Told(request='', sent_at=anyio.current_time())
    with anyio.move_on_after(seconds):
        try:
            stream = await anyio.connect_tcp(host, port)
        except OSError:
            return told
        async with stream:
            return await Connection(stream).ask(
                method='GET',
                path=path,
                headers=[('Host', HOST_NAME), *headers],
                seconds=seconds,
            )
    return told


class Directory:
    """The addresses that a client knows, asked for again and again."""

    def __init__(self, site):
        self._site = site
        self._failed = set()
        self.addresses = []

    def pick(self):
        """Return an address by chance, without those that have failed.

        All of them count again where none is left.
        """
        good = [one for one in self.addresses if one not in self._failed]
        return random.choice(good or self.addresses)

    def note_failure(self, address):
        """Use an address no longer until the next answer."""
        self._failed.add(address)

    async def run(self):
        """Ask for addresses until cancelled."""
        while True:
            await self.refresh()
            await anyio.sleep(RESOLVE_SECONDS)

    async def refresh(self):
        """Ask up to three gateways, one after the other."""
        nodes = random.sample(
            self._site.gateways, min(3, len(self._site.gateways))
        )
        for node in nodes:
            if await self.ask_node(node):
                return

    async def ask_node(self, node):
        """Ask a gateway for addresses; return whether it has named any."""
        told = await ask_once(
            node.host,
            node.ports['directory'],
            path=(
                f'/marigoldramp/resolve?Name={HOST_NAME}'
                f'&Region=r&Zone={node.zone}'
            ),
            seconds=1.0,
        )
        if not told.whole or told.status != 200:
            return False
        found = json.loads(told.body)['Addresses']
        self.addresses = [split(one) for one in found]
        self._failed.clear()
        return True


def stream_ended(exchange):
    """Return whether the peer of an exchange has gone."""
    return exchange._stream.has_ended


def split(address):
    """Return host and port of an address."""
    host, _, port = address.rpartition(':')
    return host, int(port)


def run(main):
    """Run a case; return its exit code: 2 if it could not run.

    A request to stop, and the end of the time, end all processes as well.
    """
    for number in (signal.SIGTERM, signal.SIGHUP, signal.SIGINT):
        signal.signal(number, signal.default_int_handler)
    signal.signal(signal.SIGALRM, signal.default_int_handler)
    signal.alarm(MOST_SECONDS)
    try:
        return anyio.run(main)
    except BaseException as error:
        sys.stderr.write(f'could not run: {error!r}\n')
        return 2
