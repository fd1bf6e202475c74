"""Stand-ins for the review: store, runners and clients on loopback.

They need the standard library only.  Each does what the users' pages allow;
where a page is silent it behaves like a sound counterpart.
"""

import asyncio
import contextlib
import dataclasses
import json
import os
import pathlib
import signal
import socket
import subprocess
import sys
import tempfile
import time
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parent.parent
DEPS = ROOT / 'target' / 'deps'
HOST = '127.0.0.1'
BROKEN = 1
HELD = 0
COULD_NOT_RUN = 2
#: Port of the metrics, which the deploy file fixes.
METRICS_PORT = 9464
OBJECTS = '/marigoldramp/objects/'
BACKLOG = 256


class CannotRun(Exception):
    """The case could not be brought about, so nothing is shown."""


class Record:
    """Writes what was sent, answered and run to a file."""

    def __init__(self, path):
        self._file = open(path, 'w', encoding='utf-8')
        self._start = time.monotonic()

    def now(self):
        """Return the seconds since the start."""
        return time.monotonic() - self._start

    def note(self, text):
        """Write one line with its time."""
        self._file.write(f'{self.now():8.3f} {text}\n')
        self._file.flush()


@dataclasses.dataclass
class Message:
    """One request or answer with its body."""

    start: list
    headers: list
    body: bytes = b''
    whole: bool = True

    def find(self, name):
        """Return the value of a header, empty without one."""
        for key, value in self.headers:
            if key == name:
                return value
        return ''


async def read_head(reader):
    """Return the head of the next message, ``None`` at the end."""
    try:
        data = await reader.readuntil(b'\r\n\r\n')
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = data.decode('latin-1').split('\r\n')
    headers = []
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(':')
            headers.append((name.strip().lower(), value.strip()))
    return Message(start=lines[0].split(' ', 2), headers=headers)


async def read_body(reader, head, on_data=None):
    """Read the body of a message into it; ``whole`` tells if it ended."""
    try:
        if 'chunked' in head.find('transfer-encoding'):
            while True:
                size = int((await reader.readline()).strip() or b'x', 16)
                data = await reader.readexactly(size + 2)
                if not size:
                    return
                head.body += data[:-2]
                if on_data is not None:
                    on_data(data[:-2])
        length = head.find('content-length')
        if length:
            head.body = await reader.readexactly(int(length))
        elif head.start[0].startswith('HTTP/') and head.start[1] != '204':
            head.body = await reader.read()
    except (asyncio.IncompleteReadError, ConnectionError, ValueError):
        head.whole = False


async def read_message(reader):
    """Return the next message with its body, ``None`` at the end."""
    head = await read_head(reader)
    if head is not None:
        await read_body(reader, head)
    return head


def make_answer(status, body=b'', headers=()):
    """Return the bytes of an answer with a length."""
    lines = [f'HTTP/1.1 {status} X', f'Content-Length: {len(body)}', *headers]
    return '\r\n'.join(lines).encode('latin-1') + b'\r\n\r\n' + body


async def serve(handle, host=HOST, port=0):
    """Serve connections; return the server and its port."""

    async def run(reader, writer):
        with contextlib.suppress(ConnectionError, asyncio.CancelledError):
            await handle(reader, writer)
        writer.close()

    server = await asyncio.start_server(run, host, port, backlog=BACKLOG)
    return server, server.sockets[0].getsockname()[1]


class Store:
    """The platform's store: objects by kind and name, with watches."""

    def __init__(self):
        self.kinds = {}
        self.revision = 1
        self.events = []
        self.era = 1
        self.port = 0
        self._changed = asyncio.Event()
        self._server = None

    async def start(self):
        """Listen on a free port."""
        self._server, self.port = await serve(self._handle)

    def put(self, kind, name, spec):
        """Write an object; ``spec`` is a value, or JSON in bytes."""
        if not isinstance(spec, bytes):
            spec = json.dumps(spec).encode()
        self.revision += 1
        meta = {'Name': name, 'Revision': self.revision}
        data = b'{"Metadata":%b,"Spec":%b,"Status":null}' % (
            json.dumps(meta).encode(),
            spec,
        )
        self.kinds.setdefault(kind, {})[name] = (self.revision, data)
        self._note(kind, data, b'false')

    def drop(self, kind, name):
        """Remove an object."""
        found = self.kinds.get(kind, {}).pop(name, None)
        if found is not None:
            self.revision += 1
            self._note(kind, found[1], b'true')

    def _note(self, kind, data, deleted):
        event = b'{"Object":%b,"Deleted":%b}' % (data, deleted)
        self.events.append((self.revision, kind, event))
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()

    async def _handle(self, reader, writer):
        while True:
            request = await read_message(reader)
            if request is None or not request.whole:
                return
            status, body = await self._serve(request)
            era = f'Store-Era: {self.era}'
            json_type = 'Content-Type: application/json'
            writer.write(make_answer(status, body, (json_type, era)))
            await writer.drain()

    async def _serve(self, request):
        method, target, _ = request.start
        url = urllib.parse.urlsplit(target)
        rest = url.path.removeprefix(OBJECTS)
        kind, _, name = rest.partition('/')
        name = urllib.parse.unquote(name).removesuffix('/status')
        query = urllib.parse.parse_qs(url.query)
        kinds = self.kinds.setdefault(urllib.parse.unquote(kind), {})
        if method == 'GET' and name:
            found = kinds.get(name)
            return (404, b'null') if found is None else (200, found[1])
        if method == 'GET' and 'Watch' in query:
            return await self._watch(urllib.parse.unquote(kind), query)
        if method == 'GET':
            items = b','.join(data for _, data in kinds.values())
            return 200, b'{"Items":[%b],"More":false,"AtRev":%d}' % (
                items,
                self.revision,
            )
        return self._write(method, urllib.parse.unquote(kind), name, request)

    def _write(self, method, kind, name, request):
        sent = json.loads(request.body or b'{}')
        name = name or sent['Metadata']['Name']
        found = self.kinds.setdefault(kind, {}).get(name)
        if method == 'POST' and found is not None:
            return 409, found[1]
        if method != 'POST' and found is None:
            return 404, b'null'
        expected = sent.get('Metadata', {}).get('Revision', 0)
        if expected and found is not None and expected != found[0]:
            return 409, found[1]
        if method == 'DELETE':
            self.drop(kind, name)
            return 200, b'null'
        self.put(kind, name, sent['Spec'])
        return 200, self.kinds[kind][name][1]

    async def _watch(self, kind, query):
        after = int(query['Watch'][0])
        until = time.monotonic() + int(query['WaitMs'][0]) / 1000.0
        while True:
            events = [
                event
                for revision, of, event in self.events
                if of == kind and revision > after
            ]
            left = until - time.monotonic()
            if events or left <= 0.0:
                return 200, b'{"events":[%b],"AtRev":%d}' % (
                    b','.join(events),
                    self.revision,
                )
            with contextlib.suppress(asyncio.TimeoutError):
                await asyncio.wait_for(self._changed.wait(), left)


SETTINGS = """\
NodeName = "{name}"
Role = "gateway"
MachineClass = "edge"
Serves = ["edge","control","directory"]
Ip = "{host}"
Zone = "a"
Region = "r"
InternalPorts = [{peers}, {peers}]
SeedNodes = []
Bootstrap = true
HeartbeatMs = 1200
[Zones]
a = "r"
[Listen]
FrontAddr = "{host}:{calls}"
Ready = "{host}:{ready}"
ControlPlane = "{host}:{control}"
Directory = "{host}:{directory}"
[Limits]
CpuShare = 1.0
CpuCores = 1
MemoryMb = 300
MaxFds = 4100
LinkMbps = 1000.0
DiskMb = 0
[FaultTolerance]
Machines = 1
Zones = 0
Regions = 0
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
BudgetExtra = 92
RecoveryS = 12
PassMs = 120
RetryAfterS = 0
stall_ms = 1500
RequireFencing = true
ttl_max_s = 5
{extra}
[PlatformStore]
Address = "127.0.0.1:{store}"
form = "objects"
WritesPerS = 400
ReadsPerS = 2000
HistoryS = 20
ValueBytes = 1048576
TtlMinMs = 1000
"""


def find_ports(host, count):
    """Return free ports of an address."""
    held = [socket.socket() for _ in range(count)]
    for one in held:
        one.bind((host, 0))
    ports = [one.getsockname()[1] for one in held]
    for one in held:
        one.close()
    return ports


def find_host():
    """Return a loopback address whose port for metrics is free."""
    for _ in range(50):
        draw = os.urandom(2)
        host = f'127.{64 + draw[0] % 128}.{draw[1]}.{1 + os.getpid() % 250}'
        with socket.socket() as probe:
            with contextlib.suppress(OSError):
                probe.bind((host, METRICS_PORT))
                return host
    raise CannotRun('no loopback address is free')


class Gateway:
    """One process of the project, started as the deploy file says."""

    def __init__(self, *, name, store, folder, record, ports=None, extra=''):
        self.name = name
        self.host = find_host()
        names = ('calls', 'ready', 'control', 'directory', 'peers')
        self.ports = ports or dict(
            zip(names, find_ports(self.host, len(names)), strict=True)
        )
        self.calls = self.ports['calls']
        self.record = record
        self.ended = 0
        self._process = None
        self._settings = pathlib.Path(folder) / f'{name}.toml'
        self._log = pathlib.Path(folder) / f'{name}.log'
        self._settings.write_text(
            SETTINGS.format(
                name=name,
                host=self.host,
                store=store.port,
                extra=extra,
                **self.ports,
            )
        )

    @property
    def log(self):
        """Return what the processes of this gateway have written."""
        return self._log.read_text(errors='replace')

    def start(self):
        """Start the process."""
        environment = {
            name: os.environ[name]
            for name in ('PATH', 'HOME', 'LANG')
            if name in os.environ
        }
        environment['MARIGOLDRAMP_BOOT'] = str(self._settings)
        environment['PYTHONPATH'] = f'{DEPS}{os.pathsep}{ROOT}'
        environment['PYTHONDONTWRITEBYTECODE'] = '1'
        with self._log.open('ab') as log:
            self._process = subprocess.Popen(
                [sys.executable, '-m', 'marigoldramp.platform'],
                cwd=ROOT,
                env=environment,
                stdout=log,
                stderr=log,
            )
        self.record.note(f'{self.name}: process started at {self.host}')

    def poll(self):
        """Return the exit code, ``None`` while the process runs."""
        return None if self._process is None else self._process.poll()

    def signal(self, number):
        """Send a signal to this process only."""
        if self.poll() is None:
            self.record.note(f'{self.name}: {signal.Signals(number).name}')
            self._process.send_signal(number)

    def kill(self):
        """End the process."""
        if self._process is not None:
            if self._process.poll() is None:
                self._process.kill()
            self._process.wait()

    async def is_ready(self):
        """Ask for readiness as the platform does."""
        try:
            return await self._ask_ready()
        except OSError:
            return False

    async def _ask_ready(self):
        reader, writer = await asyncio.open_connection(
            self.host, self.ports['ready']
        )
        try:
            writer.write(
                b'GET /marigoldramp/ready HTTP/1.1\r\nHost: ready\r\n\r\n'
            )
            answer = await asyncio.wait_for(read_message(reader), 1.0)
        except asyncio.TimeoutError:
            return False
        finally:
            writer.close()
        return answer is not None and answer.start[1] == '200'

    async def wait_ready(self, seconds=15.0):
        """Wait until the platform would find it ready."""
        until = time.monotonic() + seconds
        while time.monotonic() < until:
            if await self.is_ready():
                self.record.note(f'{self.name}: ready')
                return
            await asyncio.sleep(0.1)
        raise CannotRun(f'{self.name} is not ready')


def make_configuration(routes, services, keys, version=1):
    """Return the operator's configuration."""
    return {
        'Version': version,
        'Routes': routes,
        'Services': services,
        'Limits': {
            'MaxHeaderBytes': 16384,
            'MaxBodyBytes': 1000000,
            'HeaderTimeoutMs': 3000,
            'IdleTimeoutMs': 15000,
        },
        'Tenants': [
            {'Name': f'tenant-{key}', 'ApiKeys': [key]} for key in keys
        ],
    }


def make_route(name, kind, service, **more):
    """Return one route of the configuration."""
    return {
        'Name': name,
        'Hostname': 'review.example',
        'PathPrefix': f'/{name}/',
        'RouteKind': kind,
        'TimeoutMs': 8000,
        'TargetLatencyMs': 400,
        'Priority': 1,
        'Service': service,
        'MaxAttempts': 2,
        **more,
    }


def make_request(method, path, attempt, *, key, budget_ms=8000, headers=()):
    """Return the bytes of a client's request without a body."""
    lines = [
        f'{method} {path} HTTP/1.1',
        'Host: review.example',
        f'Attempt-Id: {attempt}',
        f'Time-Budget-Ms: {budget_ms}',
        f'Authorization: Bearer {key}',
        *headers,
    ]
    if method != 'GET':
        lines.append('Content-Length: 0')
    return '\r\n'.join(lines).encode() + b'\r\n\r\n'


def run_case(case, folder, *, trouble, seconds=105.0):
    """Run a case; return the exit code of its script.

    Whatever goes wrong but for the rule means that the case could not run.
    Signals that ask the script to stop cancel the case, which then ends the
    processes that it started.

    :param case: called with the record, a temporary folder and ``trouble``;
        returns whether the rule was broken.
    :param trouble: whether the disruption takes place.
    """
    record = Record(pathlib.Path(folder) / 'record.txt')
    record.note(f'trouble: {trouble}')
    if not DEPS.is_dir():
        record.note('target/deps is missing: run the build of the deploy file')
        return COULD_NOT_RUN

    async def run(temporary):
        task = asyncio.current_task()
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
            loop.add_signal_handler(number, task.cancel)
        return await asyncio.wait_for(
            case(record, temporary, trouble), seconds
        )

    with tempfile.TemporaryDirectory(prefix='review-') as temporary:
        try:
            broken = asyncio.run(run(temporary))
        except (Exception, asyncio.CancelledError) as error:
            record.note(f'could not run: {type(error).__name__} {error}')
            return COULD_NOT_RUN
    record.note('the rule was broken' if broken else 'the rule held')
    return BROKEN if broken else HELD
