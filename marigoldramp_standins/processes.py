"""Starts and stops the processes of the demonstration."""

import dataclasses
import json
import os
import pathlib
import random
import signal
import socket
import subprocess
import sys

import anyio
import anyio.abc

LOG_TAIL_LINES = 15
PORTS = range(20000, 32000)


class Failed(Exception):
    """A process did not do what it was started for."""


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Ended:
    """How a process ended.

    :ivar killed: it did not end by itself within the limit.
    """

    name: str
    code: int
    seconds: float
    killed: bool = False


class Process:
    """A child process whose output goes to a log file."""

    __slots__ = ('name', 'log', '_process')

    def __init__(
        self, *, name: str, log: pathlib.Path, process: anyio.abc.Process
    ) -> None:
        self.name = name
        self.log = log
        self._process = process

    @property
    def id(self) -> int:
        """Return the process's number."""
        return self._process.pid

    def has_ended(self) -> bool:
        """Tell whether it has ended."""
        return self._process.returncode is not None

    def send_signal(self, number: signal.Signals) -> None:
        """Send it a signal, if it still runs.

        The library's own way looks first whether the process has ended, and
        so takes its exit status from the event loop, which then tells 255.
        """
        try:
            os.kill(self.id, number)
        except ProcessLookupError:
            # It has ended, which waiting for it tells.
            return

    async def wait(self) -> int:
        """Wait for its end and return its exit code."""
        return await self._process.wait()

    def read_log(self) -> str:
        """Return the last lines of its log."""
        lines = self.log.read_text(errors='replace').splitlines()
        return '\n'.join(lines[-LOG_TAIL_LINES:])

    async def read_address(self) -> str:
        """Return the address that a stand-in prints when it listens."""
        assert self._process.stdout is not None
        text = b''
        while b'\n' not in text:
            try:
                text += await self._process.stdout.receive()
            except anyio.EndOfStream:
                raise Failed(
                    f'{self.name} ended early:\n{self.read_log()}'
                ) from None
        return str(json.loads(text.split(b'\n')[0])['listening'])

    async def stop(self, *, seconds: float) -> Ended:
        """Ask it to end and wait; kill it after the limit."""
        begun = anyio.current_time()
        if not self.has_ended():
            self.send_signal(signal.SIGTERM)
        killed = True
        with anyio.move_on_after(seconds):
            await self._process.wait()
            killed = False
        if killed:
            self._process.kill()
            await self._process.wait()
        assert self._process.returncode is not None
        return Ended(
            name=self.name,
            code=self._process.returncode,
            seconds=anyio.current_time() - begun,
            killed=killed,
        )


async def start(
    *,
    name: str,
    arguments: list[str],
    folder: pathlib.Path,
    environment: dict[str, str] | None = None,
    reads_address: bool = False,
) -> Process:
    """Start ``python -m ARGUMENTS``.

    The child is in a session of its own: Ctrl-C would else reach it before
    the demonstration can stop things in their order.

    :param reads_address: keep standard output for :meth:`read_address`.
    """
    log = folder / f'{name}.log'
    with open(log, 'ab') as output:
        process = await anyio.open_process(
            [sys.executable, '-m', *arguments],
            stdin=subprocess.DEVNULL,
            stdout=subprocess.PIPE if reads_address else output,
            stderr=output,
            env={**os.environ, **(environment or {})},
            start_new_session=True,
        )
    return Process(name=name, log=log, process=process)


async def run(
    *,
    arguments: list[str],
    environment: dict[str, str] | None = None,
) -> str:
    """Run ``python -m ARGUMENTS`` to its end; return its standard output.

    :raises Failed: when its exit code is not 0.
    """
    done = await anyio.run_process(
        [sys.executable, '-m', *arguments],
        check=False,
        env={**os.environ, **(environment or {})},
    )
    output = done.stdout.decode(errors='replace')
    if done.returncode:
        command = ' '.join(arguments)
        errors = done.stderr.decode(errors='replace')
        raise Failed(
            f'{command} ended with {done.returncode}:\n{output}{errors}'
        )
    return output


def find_free_port(*, host: str) -> int:
    """Return a port that is free for TCP and UDP at this moment.

    It is taken from below the range out of which the system serves outgoing
    connections: one of those could else get it before the process that it
    is meant for listens, which then ends with "address already in use".
    """
    while True:
        port = random.choice(PORTS)
        with (
            socket.socket(type=socket.SOCK_STREAM) as stream,
            socket.socket(type=socket.SOCK_DGRAM) as datagram,
        ):
            try:
                stream.bind((host, port))
                datagram.bind((host, port))
            except OSError:
                continue
            return port
