"""Clients that keep to no limit: ``python clients.py KIND HOST PORT COUNT S``.

Each client connects again when it is disconnected.  All of them end after S
seconds, or when the process is ended.
"""

import asyncio
import contextlib
import socket
import struct
import sys

#: Requests that are sent at once.
BATCH = 100
#: Length of a long path in bytes.
LONG_PATH = 12_000
#: Size of the largest head in bytes.
HEAD_BYTES = 16_000
#: Bytes of a body that is never completed.
BODY_BYTES = 16_000
#: Time between two pieces of a head, in seconds.
PIECE_SECONDS = 1.0
#: Pause before the next connection, in seconds.
PAUSE = 0.02
#: Value of ``SO_LINGER`` with which closing resets the connection.
RESET_ON_CLOSE = struct.pack('ii', 1, 0)
HOST_LINE = b'Host: notes.example\r\n'


def make_get(path):
    return b'GET %s HTTP/1.1\r\n%s\r\n' % (path, HOST_LINE)


def make_post(path, length, more=b''):
    head = b'POST %s HTTP/1.1\r\n%s' % (path, HOST_LINE)
    return head + more + b'Content-Length: %d\r\n\r\n' % length


async def send_ahead(connection, request):
    """Send requests and read none of the responses."""
    while True:
        await connection.send(request * BATCH)


async def wait_in_head(connection):
    """Send a head that never ends."""
    await connection.send(b'GET /notes/1 HTTP/1.1\r\n' + HOST_LINE)
    while True:
        await connection.send(b'x')
        await asyncio.sleep(PIECE_SECONDS)


async def wait_in_large_head(connection):
    """Send nearly all of the largest head, and not its end."""
    await connection.send(b'GET /notes/1 HTTP/1.1\r\n' + HOST_LINE)
    await connection.send(b'x:1\r\n' * (HEAD_BYTES // 5))
    await connection.wait_end()


async def wait_in_body(connection):
    """Send a body that never ends."""
    await connection.send(make_post(b'/notes/1', BODY_BYTES + 1))
    await connection.send(b'x' * BODY_BYTES)
    await connection.wait_end()


async def wait_behind_lines(connection):
    """Send a head of many short lines, and a body that never ends."""
    lines = b'x:1\r\n' * (HEAD_BYTES // 5)
    await connection.send(make_post(b'/notes/1', 2, lines) + b'x')
    await connection.wait_end()


async def reset(connection):
    """Reset the connection once it is open."""
    connection.reset()


async def stay_idle(connection):
    """Send nothing."""
    await connection.wait_end()


KINDS = {
    'ahead': lambda one: send_ahead(one, make_get(b'/none/1')),
    'ahead with long paths': lambda one: send_ahead(
        one, make_get(b'/' + b'x' * LONG_PATH)
    ),
    'ahead behind one that waits': lambda one: send_ahead(
        one, make_get(b'/hang/1')
    ),
    'large answers': lambda one: send_ahead(one, make_get(b'/large/1')),
    'heads': wait_in_head,
    'large heads': wait_in_large_head,
    'bodies': wait_in_body,
    'heads of short lines': wait_behind_lines,
    'resets': reset,
    'idle': stay_idle,
}


class Connection:
    """One connection, of which nothing is read."""

    def __init__(self, found):
        self._socket = found
        self._loop = asyncio.get_running_loop()

    async def send(self, data):
        """Send bytes; wait while the peer does not receive."""
        await self._loop.sock_sendall(self._socket, data)

    async def wait_end(self):
        """Wait until the peer disconnects."""
        while await self._loop.sock_recv(self._socket, 4096):
            pass

    def reset(self):
        """Have the connection reset when it is closed."""
        self._socket.setsockopt(
            socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE
        )


async def run_client(behave, address):
    """Connect, again and again."""
    loop = asyncio.get_running_loop()
    while True:
        with contextlib.suppress(OSError), socket.socket() as found:
            found.setblocking(False)
            await loop.sock_connect(found, address)
            await behave(Connection(found))
            continue
        await asyncio.sleep(PAUSE)


async def run(kind, address, count, seconds):
    """Run all clients."""
    clients = [
        asyncio.create_task(run_client(KINDS[kind], address))
        for _ in range(count)
    ]
    await asyncio.wait(clients, timeout=seconds)


if __name__ == '__main__':
    _, kind, host, port, count, seconds = sys.argv
    asyncio.run(run(kind, (host, int(port)), int(count), float(seconds)))
