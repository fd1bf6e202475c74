"""A gateway process with a store and an endpoint, and clients beside it."""

import contextlib
import os
import pathlib
import subprocess
import sys

import anyio
import h11

from marigoldramp_soak import objects

from . import processes

LOCALHOST = '127.0.0.1'
HOST_NAME = 'notes.example'
CLIENTS = pathlib.Path(__file__).with_name('clients.py')
#: Longest time for the start of a process, or for one response, in seconds.
PATIENCE = 20.0
#: Time that a crowd has before ordinary requests come, and for which it stays
#: at most, in seconds.
CROWD_SECONDS = 4.0
MOST_CROWD_SECONDS = 120.0
#: Tries of an ordinary client, each on a new connection.
MOST_TRIES = 3
RETRY_SECONDS = 0.1
LARGE_BODY = b'x' * 2_000_000
#: What an endpoint takes some time for, in seconds.
SLOW_TARGET = '/notes/slow'
SLOW_SECONDS = 2.0
#: Time that an ordinary client gives an answer: less than a process has that
#: stops, in milliseconds.
BUDGET_MS = 5000
#: What is raised where a request gets no whole answer.
NO_ANSWER = (
    OSError,
    anyio.BrokenResourceError,
    anyio.EndOfStream,
    h11.RemoteProtocolError,
    TimeoutError,
)
SEAL = (b'runner-seal', b's')
LIMITS = {
    'MaxHeaderBytes': 16384,
    'MaxBodyBytes': 1000000,
    'HeaderTimeoutMs': 3000,
    'IdleTimeoutMs': 15000,
}
#: What an ordinary client asks of each listener.
ORDINARY_TARGETS = {
    'calls': '/notes/1',
    'addresses': '/marigoldramp/resolve?Name=notes.example&Zone=one',
    'readiness': '/marigoldramp/ready',
    'metrics': '/metrics',
    'peers': '/endpoints',
}


def make_route(name, service):
    return {
        'Name': name,
        'Hostname': HOST_NAME,
        'PathPrefix': f'/{name}/',
        'RouteKind': 'idempotent',
        'TimeoutMs': 8000,
        'TargetLatencyMs': 400,
        'Priority': 1,
        'Service': service,
        'MaxAttempts': 2,
    }


async def answer(exchange):
    """Answer one request, as an endpoint."""
    head = dict(exchange.head.headers)
    echo = [(b'attempt-id', head.get(b'attempt-id', b'')), SEAL]
    await exchange.read_body(max_bytes=1 << 20, seconds=5.0)
    if exchange.head.path.startswith('/hang/'):
        await anyio.sleep(60.0)
    if exchange.head.path == SLOW_TARGET:
        await anyio.sleep(SLOW_SECONDS)
    large = exchange.head.path.startswith('/large/')
    body = LARGE_BODY if large else b'done'
    await exchange.respond(status=200, headers=echo, body=body)


async def read_status(stream, connection):
    """Read one whole answer; return its status."""
    status = 0
    while True:
        event = connection.next_event()
        if event is h11.NEED_DATA:
            connection.receive_data(await stream.receive())
        elif isinstance(event, h11.Response):
            status = event.status_code
        elif isinstance(event, h11.EndOfMessage):
            return status


class Site:
    """The gateway, and where its listeners are."""

    def __init__(self, *, gateway):
        self.gateway = gateway

    async def ask(self, listener):
        """Make one ordinary request; return its status, 0 for none."""
        with contextlib.suppress(*NO_ANSWER):
            with anyio.fail_after(PATIENCE):
                target = ORDINARY_TARGETS[listener]
                async with self.open_request(target, listener) as read:
                    return await read()
        return 0

    @contextlib.asynccontextmanager
    async def open_request(self, target, listener='calls'):
        """Send one request; give a function that returns its status."""
        address = (self.gateway.host, processes.PORTS[listener])
        connection = h11.Connection(h11.CLIENT)
        data = connection.send(
            h11.Request(
                method='GET',
                target=target,
                headers=[
                    ('host', HOST_NAME),
                    ('attempt-id', 'a1'),
                    ('time-budget-ms', str(BUDGET_MS)),
                ],
            )
        )
        async with await anyio.connect_tcp(*address) as stream:
            await stream.send(data)
            yield lambda: read_status(stream, connection)

    async def is_served(self, listener):
        """Ask as an ordinary client, which tries again a few times."""
        for _ in range(MOST_TRIES):
            if await self.ask(listener) == 200:
                return True
            await anyio.sleep(RETRY_SECONDS)
        return False

    @contextlib.asynccontextmanager
    async def crowd(self, kind, listener, count):
        """Have clients come, which stay until the end of the context."""
        crowd = subprocess.Popen(
            [
                sys.executable,
                os.fspath(CLIENTS),
                kind,
                self.gateway.host,
                str(processes.PORTS[listener]),
                str(count),
                str(MOST_CROWD_SECONDS),
            ]
        )
        try:
            await anyio.sleep(CROWD_SECONDS)
            yield
        finally:
            crowd.kill()
            crowd.wait()


@contextlib.asynccontextmanager
async def run_site(*, host, memory, descriptors):
    """Run a gateway, a store and an endpoint."""
    store = objects.Objects()
    async with anyio.create_task_group() as tasks:
        front, store_port = await objects.serve(
            store.handle, LOCALHOST, 0, tasks
        )
        back, port = await objects.serve(answer, LOCALHOST, 0, tasks)
        configure(store, port)
        gateway = processes.Gateway(
            host=host,
            store=store_port,
            memory=memory,
            descriptors=descriptors,
        )
        gateway.start()
        try:
            site = Site(gateway=gateway)
            with anyio.fail_after(PATIENCE):
                while await site.ask('readiness') != 200:
                    await anyio.sleep(processes.SAMPLE_SECONDS)
            tasks.start_soon(gateway.watch)
            yield site
        finally:
            gateway.kill()
            front.close()
            back.close()
            tasks.cancel_scope.cancel()


def configure(store, port):
    """Put the configuration and the endpoint's record into the store."""
    names = ('notes', 'hang', 'large')
    store.put(
        'config',
        'main',
        {
            'Version': 1,
            'Routes': [make_route(name, name) for name in names],
            'Services': [
                {'Name': name, 'MaxConnections': 400} for name in names
            ],
            'Limits': LIMITS,
        },
    )
    for name in names:
        record = {
            'Service': name,
            'Address': f'{LOCALHOST}:{port}',
            'Zone': 'one',
            'Slots': 200,
            'State': 'ready',
            'born': 1,
            'ColdRemainingMs': 0.0,
        }
        store.put('servers', f'i-{name}', record)
