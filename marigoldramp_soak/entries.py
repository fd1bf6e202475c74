"""Gateway processes, signalled by their process identifiers."""

import os
import pathlib
import signal
import subprocess
import sys

import anyio

from . import crowds
from . import gateway

ROOT = pathlib.Path(__file__).parent.parent
#: Seconds after which a process that was asked to stop is killed.
GRACE = 8
#: Requests that a cold endpoint may get in any second: its rate by the factor,
#: and some more.
COLD_FACTOR = 1.5
COLD_EXTRA = 5
#: Time within which an evacuation must be in force.
EVACUATE_MS = 5000
#: Megabytes of memory, and descriptors, that a process may use.
MEMORY = 80
DESCRIPTORS = 700
MEGABYTE = 1_000_000
#: File with the hosts that are partitioned from the other gateways.
PARTITION = 'partition'

SETTINGS = """\
NodeName = "entry-{number}"
Ip = "{host}"
Zone = "one"
Region = "r"
InternalPorts = [{peers}, {peers}]
[Listen]
FrontAddr = "{host}:{calls}"
Ready = "{host}:{ready}"
Directory = "{host}:{directory}"
[Limits]
MemoryMb = {memory}
MaxFds = {descriptors}
[Bounds]
DrainMs = 2000
GraceS = {grace}
ConfigApplyMs = 2000
RevokeMs = 5000
RetryBudgetRatio = 0.2
BudgetWindowS = 10
BudgetExtra = 60
RequireFencing = {fenced}
{evacuate}
ttl_max_s = 5
ColdOverage = {cold_factor}
ColdSlack = {cold_extra}
[PlatformStore]
Address = "127.0.0.1:{store}"
"""


class Entry:
    """One gateway process, under an address of its own.

    :ivar stopping: it was asked to stop.
    :ivar resumed_at: times at which its process started or resumed.
    """

    def __init__(
        self, *, number, seed, ports, folder, store, fenced, evacuates=False
    ):
        # Seeds that run at the same time keep apart by their addresses.
        self.host = f'127.{seed >> 8 & 63}.{seed & 255}.{20 + number}'
        self.calls = ports['calls']
        self.ports = [ports[name] for name in ('calls', 'ready', 'directory')]
        self.peak = 0
        self.stopping = False
        self.paused = False
        self.resumed_at = []
        self._log = folder / f'entry-{number}.log'
        self._settings = folder / f'entry-{number}.toml'
        self._partition = folder / PARTITION
        text = SETTINGS.format(
            number=number,
            host=self.host,
            grace=GRACE,
            store=store,
            fenced=str(fenced).lower(),
            memory=MEMORY,
            descriptors=DESCRIPTORS,
            cold_factor=COLD_FACTOR,
            cold_extra=COLD_EXTRA,
            evacuate=f'EvacuateMs = {EVACUATE_MS}' if evacuates else '',
            **ports,
        )
        self._settings.write_text(text)
        self._process = None

    def start(self):
        """Start the process."""
        self.stopping = False
        self.paused = False
        self.note_resume()
        environment = dict(
            os.environ,
            MARIGOLDRAMP_BOOT=str(self._settings),
            **{gateway.VARIABLE: str(self._partition)},
            PYTHONPATH=str(ROOT),
        )
        with self._log.open('ab') as log:
            self._process = subprocess.Popen(
                [sys.executable, '-m', gateway.__name__],
                env=environment,
                stdout=log,
                stderr=log,
            )

    def note_resume(self):
        """Record that the process may have missed earlier responses."""
        self.resumed_at.append(anyio.current_time())

    def note_peak(self):
        """Record the most memory that the process has had."""
        if self._process is not None:
            peak = crowds.read_peak(self._process.pid)
            self.peak = max(self.peak, peak)

    @property
    def runs(self):
        """Whether the process lives."""
        return self._process is not None and self._process.poll() is None

    def signal(self, number):
        """Send a signal to this process only."""
        if self.runs:
            self._process.send_signal(number)

    async def kill(self):
        """Kill it and wait for its end."""
        self.signal(signal.SIGKILL)
        await self._wait()

    async def stop(self):
        """Ask it to stop; kill it when its time is over."""
        self.stopping = True
        self.signal(signal.SIGTERM)
        with anyio.move_on_after(GRACE):
            await self._wait()
            return
        await self.kill()

    async def _wait(self):
        while self.runs:
            await anyio.sleep(0.02)
