"""Crowds of clients that keep to no limit."""

import contextlib
import pathlib

import anyio

#: What clients of a crowd do.
KINDS = ('ahead', 'heads', 'bodies', 'idle', 'resets')
MOST_CLIENTS = 40
#: Longest time for which a crowd stays, in seconds.
MOST_SECONDS = 4.0
#: Pause between two pieces that a client sends, in seconds.
PIECE_SECONDS = 0.01
HOST = b'Host: soak.example\r\n'
AHEAD = b'GET /none/1 HTTP/1.1\r\n%s\r\n' % HOST * 50
HEAD = b'GET /safe/1 HTTP/1.1\r\n%s' % HOST
BODY = b'POST /safe/1 HTTP/1.1\r\n%sContent-Length: 16001\r\n\r\n' % HOST
KILOBYTE = 1024


async def run_crowd(*, kind, address, clients, seconds):
    """Have clients come to an address, which stay for some time."""
    with anyio.move_on_after(seconds):
        async with anyio.create_task_group() as tasks:
            for _ in range(clients):
                tasks.start_soon(_run_client, kind, address)


async def _run_client(kind, address):
    while True:
        with contextlib.suppress(
            OSError, anyio.BrokenResourceError, anyio.EndOfStream
        ):
            async with await anyio.connect_tcp(*address) as stream:
                await _behave(kind, stream)
        await anyio.sleep(PIECE_SECONDS)


async def _behave(kind, stream):
    match kind:
        case 'ahead':
            while True:
                await stream.send(AHEAD)
                await anyio.sleep(PIECE_SECONDS)
        case 'heads':
            await stream.send(HEAD)
            await anyio.sleep_forever()
        case 'bodies':
            await stream.send(BODY + b'x' * 16000)
            await anyio.sleep_forever()
        case 'idle':
            await stream.receive()
        case 'resets':
            return


def read_peak(identifier):
    """Return the most memory that a process has had, in bytes; 0 if gone."""
    status = pathlib.Path('/proc') / str(identifier) / 'status'
    with contextlib.suppress(OSError):
        for line in status.read_text().splitlines():
            if line.startswith('VmHWM:'):
                return int(line.split()[1]) * KILOBYTE
    return 0
