"""A gateway as a process of its own, and what it takes up."""

import contextlib
import dataclasses
import os
import pathlib
import signal
import subprocess
import sys
import tempfile

import anyio

ROOT = pathlib.Path(__file__).parents[2]
TCP_TABLE = pathlib.Path('/proc/net/tcp')
#: States of sockets in the system's table that still belong to a process,
#: or wait to be accepted.
ESTABLISHED = '01'
CLOSE_WAIT = '08'
LISTEN = '0A'
#: Fields of a line of that table.
LOCAL_ADDRESS = 1
STATE = 3
QUEUES = 4
INODE = 9
MEGABYTE = 1_000_000
KILOBYTE = 1024
GRACE = 8
#: Port of the metrics, which the deploy file fixes.
METRICS_PORT = 9464
SAMPLE_SECONDS = 0.05

SETTINGS = """\
NodeName = "entry-1"
Ip = "{host}"
Zone = "one"
Region = "r"
InternalPorts = [7340, 7355]
[Listen]
FrontAddr = "{host}:{calls}"
Ready = "{host}:{readiness}"
Directory = "{host}:{addresses}"
[Limits]
MemoryMb = {memory}
MaxFds = {descriptors}
[Bounds]
GraceS = {grace}
[PlatformStore]
Address = "127.0.0.1:{store}"
"""
PORTS = {
    'calls': 8227,
    'readiness': 8220,
    'addresses': 8224,
    'peers': 7340,
    'metrics': METRICS_PORT,
}


@dataclasses.dataclass(kw_only=True)
class Peak:
    """The most that a process took up while it was watched.

    :ivar memory: bytes, with those that the system holds for its sockets.
    :ivar descriptors: open file descriptors.
    """

    memory: int = 0
    descriptors: int = 0


class Gateway:
    """One gateway process, under an address of its own."""

    def __init__(self, *, host, store, memory, descriptors):
        self.host = host
        self.peak = Peak()
        self._folder = pathlib.Path(tempfile.mkdtemp(prefix='crowd-'))
        self._settings = self._folder / 'settings.toml'
        self._settings.write_text(
            SETTINGS.format(
                host=host,
                store=store,
                memory=memory,
                descriptors=descriptors,
                grace=GRACE,
                **PORTS,
            )
        )
        self._process = None

    def start(self):
        """Start the process as the deploy file says."""
        environment = dict(
            os.environ,
            MARIGOLDRAMP_BOOT=str(self._settings),
            PYTHONPATH=str(ROOT),
        )
        with (self._folder / 'log').open('ab') as log:
            self._process = subprocess.Popen(
                [sys.executable, '-m', 'marigoldramp.platform'],
                env=environment,
                stdout=log,
                stderr=log,
            )

    @property
    def lives(self):
        """Whether the process has not ended."""
        return self._process.poll() is None

    @property
    def exit_code(self):
        """How the process ended, ``None`` while it lives."""
        return self._process.poll()

    def ask_to_stop(self):
        """Ask the process to stop."""
        self._process.send_signal(signal.SIGTERM)

    async def wait_end(self):
        """Wait until the process has ended."""
        while self.lives:
            await anyio.sleep(SAMPLE_SECONDS)

    def kill(self):
        """End the process."""
        self._process.kill()
        self._process.wait()

    async def watch(self):
        """Note what the process takes up, until cancelled."""
        while self.lives:
            self._sample()
            await anyio.sleep(SAMPLE_SECONDS)

    def _sample(self):
        folder = pathlib.Path('/proc') / str(self._process.pid)
        with contextlib.suppress(OSError):
            status = read_status(folder)
            held = status['VmRSS'] + count_socket_bytes(self.host)
            most = max(held, status['VmHWM'], self.peak.memory)
            self.peak.memory = most
            opened = len(os.listdir(folder / 'fd'))
            self.peak.descriptors = max(self.peak.descriptors, opened)


def read_status(folder):
    """Return the sizes that the system states of a process, in bytes."""
    found = {}
    for line in (folder / 'status').read_text().splitlines():
        name, _, value = line.partition(':')
        if value.endswith(' kB'):
            found[name] = int(value.split()[0]) * KILOBYTE
    return found


def count_socket_bytes(host):
    """Return the bytes that the system holds for the sockets of a host."""
    parts = [int(part) for part in reversed(host.split('.'))]
    local = ''.join(f'{part:02X}' for part in parts)
    held = 0
    for line in TCP_TABLE.read_text().splitlines()[1:]:
        fields = line.split()
        if not fields[LOCAL_ADDRESS].startswith(local):
            continue
        if fields[STATE] == LISTEN:
            continue
        is_orphan = fields[INODE] == '0'
        if is_orphan and fields[STATE] not in (ESTABLISHED, CLOSE_WAIT):
            continue
        unsent, _, unread = fields[QUEUES].partition(':')
        held += int(unsent, 16) + int(unread, 16)
    return held
