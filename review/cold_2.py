"""Servers that may turn cold, and clients that keep asking them."""

import dataclasses
import itertools
import random

import anyio

from review import site_2

SERVICE = 'ledger'
PREFIX = '/fetch/'
#: What the pages' own sheet with cold servers sets: ``ColdStartS``,
#: ``ColdPerS``, ``ColdOverage`` and ``ColdSlack``.
COLD_SECONDS = 3.0
COLD_PER_S = 15.0
OVERAGE = 1.5
SLACK = 5
ALLOWED = COLD_PER_S * OVERAGE + SLACK
WINDOW_SECONDS = 1.0
BOUNDS = f'ColdOverage = {OVERAGE}\nColdSlack = {SLACK}\n'
SLOTS = 6
WORK_SECONDS = 0.02
#: How much longer a request takes while the server is cold.
COLD_SLOWNESS = 1.6
CLIENTS = 18
TIME_BUDGET_MS = 1500
_numbers = itertools.count(1)


@dataclasses.dataclass(kw_only=True)
class ColdSpan:
    """A time in which a server is cold.

    :ivar told_at: when the store had acknowledged its new entry; infinite for
        never.
    """

    begun: float
    ended: float
    told_at: float = float('inf')


class Server:
    """One plain server.

    Its answers to requests say nothing of its cold time; its entry and its
    health responses do.
    """

    def __init__(self, *, site, zone):
        self.identity = f'i-{next(_numbers):04x}'
        self.zone = zone
        self.address = ''
        self.spans = []
        self.arrivals = []
        self._site = site
        self._sequence = 0
        self._running = 0

    @property
    def cold_ms(self):
        """For how much longer it is cold, in milliseconds."""
        if not self.spans:
            return 0.0
        left = self.spans[-1].ended - anyio.current_time()
        return max(0.0, 1000.0 * left)

    async def turn_cold(self):
        """Turn cold, and write that to the store as soon as it answers."""
        now = anyio.current_time()
        span = ColdSpan(begun=now, ended=now + COLD_SECONDS)
        self.spans.append(span)
        self._site.record.note(f'server {self.identity} turns cold')
        while self._site.store.is_silent:
            await anyio.sleep(0.05)
        self.register()
        span.told_at = anyio.current_time()
        self._site.record.note(f'entry of {self.identity} acknowledged')

    def register(self):
        """Write the entry."""
        self._sequence += 1
        self._site.store.put(
            'servers',
            self.identity,
            {
                'Service': SERVICE,
                'Address': self.address,
                'Zone': self.zone,
                'Version': 'v1',
                'Slots': SLOTS,
                'State': 'ready',
                'ColdRemainingMs': round(self.cold_ms),
                'born': 1700000000000,
                'Sequence': self._sequence,
            },
        )

    async def handle(self, exchange):
        """Answer one request."""
        if exchange.head.path == '/health':
            headers = [
                (b'runner-id', self.identity.encode()),
                (b'runner-load', b'%d,0,%d' % (self._running, SLOTS)),
                (b'cold-ms', b'%d' % self.cold_ms),
            ]
            await exchange.respond(status=200, headers=headers, body=b'')
            self._site.record.note(f'{self.identity} asked for its health')
            return
        headers = dict(exchange.head.headers)
        request = headers.get(b'attempt-id', b'')
        echo = [(b'attempt-id', request)]
        expected = headers.get(b'expect-instance', b'').decode()
        if expected not in ('', self.identity):
            await exchange.respond(status=421, headers=echo, body=b'')
            return
        self.arrivals.append(anyio.current_time())
        is_cold = self.cold_ms > 0.0
        self._site.record.note(
            f'ran {request.decode()} at {self.identity}'
            f'{" cold" if is_cold else ""}'
        )
        await exchange.read_body(max_bytes=1 << 20, seconds=5.0)
        self._running += 1
        try:
            slowness = COLD_SLOWNESS if is_cold else 1.0
            await anyio.sleep(WORK_SECONDS * slowness)
        finally:
            self._running -= 1
        await exchange.respond(
            status=200,
            headers=[*echo, (b'runner-seal', b's')],
            body=b'done ' + request,
        )

    def count_most(self, span, *, since):
        """Return the most arrivals in a second of a cold time.

        :param since: from when the seconds count.
        """
        times = [at for at in self.arrivals if since <= at <= span.ended]
        return max(
            (
                sum(first <= at <= first + WINDOW_SECONDS for at in times)
                for first in times
            ),
            default=0,
        )


class Clients:
    """Clients that ask at a steady rate.

    :param rate: requests per second of all clients together.
    """

    def __init__(self, *, site, rate):
        self.told = []
        self._site = site
        self._rate = rate
        self._directory = site_2.Directory(site)
        self._stops = False

    async def start(self, tasks):
        """Start asking."""
        await self._directory.refresh()
        tasks.start_soon(self._directory.run)
        for number in range(CLIENTS):
            tasks.start_soon(self._run, number)

    def stop(self):
        """Send nothing more."""
        self._stops = True

    async def _run(self, number):
        interval = CLIENTS / self._rate
        due = anyio.current_time() + random.uniform(0.0, interval)
        count = 0
        while not self._stops:
            if not self._directory.addresses:
                await anyio.sleep(0.05)
                continue
            host, port = random.choice(self._directory.addresses)
            try:
                stream = await anyio.connect_tcp(host, port)
            except OSError:
                await anyio.sleep(0.1)
                continue
            async with stream:
                connection = site_2.Connection(stream)
                for _ in range(site_2.REQUESTS_PER_CONNECTION):
                    now = anyio.current_time()
                    due = max(due + interval, now - interval)
                    await anyio.sleep(max(0.0, due - now))
                    count += 1
                    if self._stops or not await self._ask(
                        connection, f'{number}-{count}'
                    ):
                        break

    async def _ask(self, connection, name):
        self._site.record.note(f'sent {name}')
        told = await connection.ask(
            method='GET',
            path=f'{PREFIX}{name}',
            headers=[
                ('Host', site_2.HOST_NAME),
                ('Attempt-Id', name),
                ('Time-Budget-Ms', str(TIME_BUDGET_MS)),
            ],
            request=name,
            seconds=TIME_BUDGET_MS / 1000.0 + 0.5,
        )
        self.told.append(told)
        self._site.record.note(f'answered {name}: {told.status}')
        return told.whole and connection.is_reusable()


def configure(site):
    """Write the configuration of the service."""
    site.configure(
        routes=[
            site_2.make_route('fetch', PREFIX, 'idempotent', SERVICE),
        ],
        services=[
            {
                'Name': SERVICE,
                'HealthPath': '/health',
                'MaxConnections': 200,
                'ColdStartS': COLD_SECONDS,
                'ColdPerS': COLD_PER_S,
            }
        ],
    )


async def add_servers(site, count):
    """Start servers; return them."""
    servers = []
    for number in range(count):
        server = Server(site=site, zone=f'zone-{"abc"[number % 3]}')
        port = await site.serve(server.handle)
        server.address = f'127.0.0.1:{port}'
        server.register()
        servers.append(server)
    return servers
