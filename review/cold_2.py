"""Servers that may turn cold, and clients that keep asking them."""

import dataclasses
import random

import anyio

from review import site_2

SERVICE = 'ledger'
PREFIX = '/fetch/'
#: Prefix of requests that may not be repeated.
ONCE_PREFIX = '/order/'
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
#: Seconds after which a server that has ended is back.
BACK_SECONDS = 2.0
CLIENTS = 18
TIME_BUDGET_MS = 1500


@dataclasses.dataclass(kw_only=True)
class ColdSpan:
    """A time in which a server is cold, and has told it to the store."""

    begun: float
    ended: float


class Server(site_2.Server):
    """One plain server.

    Its answers to requests say nothing of its cold time; its entry and its
    health responses do.

    :param most_cold: arrivals in a second that end it while it is cold.
    :param learning: seconds at the beginning of a cold time whose arrivals
        neither end it nor count.
    :ivar ends: how often it has ended.
    """

    def __init__(self, *, site, zone, most_cold, learning):
        super().__init__(site=site)
        self.zone = zone
        self.spans = []
        self.arrivals = []
        self.ends = 0
        self._most_cold = most_cold
        self._learning = learning
        self._sequence = 0
        self._count = 0

    @property
    def cold_ms(self):
        """For how much longer it is cold, in milliseconds."""
        if not self.spans:
            return 0.0
        left = self.spans[-1].ended - anyio.current_time()
        return max(0.0, 1000.0 * left)

    def turn_cold(self):
        """Turn cold, and write that to the store."""
        now = anyio.current_time()
        self.spans.append(ColdSpan(begun=now, ended=now + COLD_SECONDS))
        self.site.record.note(f'server {self.identity} turns cold')
        self.register()

    async def start(self):
        """Start; it is cold then, unless the traffic hasn't begun."""
        if self.ends:
            now = anyio.current_time()
            self.spans.append(ColdSpan(begun=now, ended=now + COLD_SECONDS))
        await super().start()

    def register(self):
        self._sequence += 1
        self.site.store.put(
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
                'born': 1700000000000 + self.ends,
                'Sequence': self._sequence,
            },
        )

    async def answer(self, exchange):
        if exchange.head.path == '/health':
            headers = [
                (b'runner-id', self.identity.encode()),
                (b'runner-load', b'%d,0,%d' % (self._count, SLOTS)),
                (b'cold-ms', b'%d' % self.cold_ms),
            ]
            await exchange.respond(status=200, headers=headers, body=b'')
            self.site.record.note(f'{self.identity} asked for its health')
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
        self.site.record.note(
            f'ran {request.decode()} at {self.identity}'
            f'{" cold" if is_cold else ""}'
        )
        if is_cold:
            self._bear_load()
        await exchange.read_body(max_bytes=1 << 20, seconds=5.0)
        self._count += 1
        try:
            slowness = COLD_SLOWNESS if is_cold else 1.0
            await anyio.sleep(WORK_SECONDS * slowness)
        finally:
            self._count -= 1
        await exchange.respond(
            status=200,
            headers=[*echo, (b'runner-seal', b's')],
            body=b'done ' + request,
        )

    def _bear_load(self):
        """End if too much has come since it is cold."""
        span = self.spans[-1]
        now = anyio.current_time()
        since = max(span.begun + self._learning, now - WINDOW_SECONDS)
        if sum(since <= at <= now for at in self.arrivals) < self._most_cold:
            return
        span.ended = now
        self.ends += 1
        self.end(back_after=BACK_SECONDS)

    def count_most(self, span):
        """Return the most arrivals in a second of a cold time."""
        since = span.begun + self._learning
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
            path=f'{random.choice((PREFIX, ONCE_PREFIX))}{name}',
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
            site_2.make_route('order', ONCE_PREFIX, 'non_idempotent', SERVICE),
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


async def add_servers(
    site, count, *, most_cold=float('inf'), learning=0.0, make=Server
):
    """Start servers; return them.

    :param most_cold: arrivals in a second that end one while it is cold.
    :param learning: seconds of each cold time that are left out.
    :param make: class of the servers.
    """
    servers = []
    for number in range(count):
        server = make(
            site=site,
            zone=f'zone-{"abc"[number % 3]}',
            most_cold=most_cold,
            learning=learning,
        )
        await server.start()
        servers.append(server)
    return servers
