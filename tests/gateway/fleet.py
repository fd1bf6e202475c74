"""Several gateways that report to each other, before endpoints that can end.

An endpoint ends when it begins to run a request whose body says so: its port
closes, and so do all its connections.  It is back under another name, which
each gateway learns of from discovery.
"""

import contextlib
import itertools
import random

import anyio
import h11
import process_site

from marigoldramp.gateway import gossip
from marigoldramp.gateway import listings
from marigoldramp.gateway import peer_exchange
from marigoldramp.gateway import peer_reports

from . import fake_endpoint as fake
from . import site

#: What the body of a request says that ends its endpoint.
ENDS_ENDPOINT = b'ends its endpoint'
#: What the body of a request says that runs until it is told to go on.
HELD = b'held'


class Endpoint:
    """An endpoint that ends when a request says so.

    :ivar ended: set when it has.
    """

    def __init__(self, *, identity, fleet):
        self.identity = identity
        self.port = 0
        self.ended = anyio.Event()
        self._fleet = fleet

    async def run(self, *, task_status=anyio.TASK_STATUS_IGNORED):
        """Serve until it ends."""
        listener = await anyio.create_tcp_listener(local_host=site.HOST)
        self.port = listener.extra(anyio.abc.SocketAttribute.local_port)
        async with listener, anyio.create_task_group() as tasks:
            tasks.start_soon(listener.serve, self._handle)
            task_status.started()
            await self.ended.wait()
            tasks.cancel_scope.cancel()

    async def _handle(self, stream):
        connection = h11.Connection(h11.SERVER)
        async with stream:
            with contextlib.suppress(
                anyio.EndOfStream,
                anyio.BrokenResourceError,
                h11.RemoteProtocolError,
            ):
                while True:
                    seen = await read_request(stream, connection)
                    if seen is None:
                        return
                    await self._answer(stream, seen)
                    connection = h11.Connection(h11.SERVER)

    async def _answer(self, stream, seen):
        self._fleet.sends.append(seen)
        streams = seen.target.startswith('/stream/')
        if HELD in seen.body:
            await self._fleet.go_on.wait()
        customer = seen.headers.get('tenant', '')
        sound = customer in self._fleet.sound_customers
        if ENDS_ENDPOINT in seen.body and not sound:
            if streams:
                more = 'Content-Type: text/event-stream\r\n'
                more += 'Transfer-Encoding: chunked\r\n'
                head = fake.head(seen, more=more)
                await stream.send(f'{head}\r\n'.encode())
            self._fleet.ends.append(self.identity)
            self.ended.set()
            await anyio.sleep_forever()
        script = fake.stream_events(1, 3) if streams else fake.answer()
        await script(stream, seen)


async def read_request(stream, connection):
    """Read one request; ``None`` at the end of the connection."""
    request = None
    body = b''
    while True:
        event = connection.next_event()
        match event:
            case h11.NEED_DATA:
                connection.receive_data(await stream.receive())
            case h11.Request():
                request = event
            case h11.Data():
                body += event.data
            case h11.EndOfMessage():
                return fake.Seen(
                    method=request.method.decode(),
                    target=request.target.decode(),
                    headers={
                        name.decode(): value.decode()
                        for name, value in request.headers
                    },
                    body=body,
                )
            case _:
                return None


class Fleet:
    """Gateways and endpoints.

    :ivar sends: requests that came to an endpoint, in order.
    :ivar ends: endpoints that have ended, in order.
    :ivar entries: the gateways, by instance.
    :ivar sound_customers: whose requests end nothing, whatever they say.
    :ivar cut: instances that hear no other gateway and are heard by none.
    """

    def __init__(self, *, tasks, configuration):
        self.sends = []
        self.ends = []
        self.entries = {}
        self.endpoints = []
        self.sound_customers = set()
        self.cut = set()
        self.go_on = anyio.Event()
        self.store = site.FakeStore()
        self.ports = {}
        self._configuration = configuration
        self._tasks = tasks
        self._scopes = {}
        self._numbers = itertools.count(1)
        self._attempts = itertools.count(1)
        self._revision = 1
        self.random = random.Random(1)

    async def add_endpoint(self):
        """Start an endpoint under a new name."""
        number = next(self._numbers)
        endpoint = Endpoint(identity=f'i-{number}', fleet=self)
        await self._tasks.start(endpoint.run)
        self.endpoints.append(endpoint)

    async def start_entry(self, instance):
        """Start a gateway, once more if it ran before."""
        scope = anyio.CancelScope()
        self._scopes[instance] = scope
        await self._tasks.start(self._run_entry, instance, scope)
        entry = self.entries[instance]
        await entry.until(lambda: entry.gateway.call_port)
        await entry.until(entry.gateway.is_ready)

    async def kill_entry(self, instance):
        """End a gateway at once; it keeps nothing."""
        entry = self.entries.pop(instance)
        self._scopes.pop(instance).cancel()
        await entry.ended.wait()

    async def revive(self):
        """Start an endpoint for each that has ended, and tell all entries."""
        gone = [one for one in self.endpoints if one.ended.is_set()]
        self.endpoints = [one for one in self.endpoints if one not in gone]
        for _ in gone:
            await self.add_endpoint()
        self._revision += 1
        for entry in self.entries.values():
            self._show(entry)

    async def keep_reviving(self):
        """Bring endpoints back until cancelled."""
        while True:
            await self.until(
                lambda: any(one.ended.is_set() for one in self.endpoints)
            )
            await self.revive()

    async def exchange(self):
        """Wait until each gateway has heard each other one it can hear."""
        since = next(iter(self.entries.values())).gateway._clock()
        for instance, entry in self.entries.items():
            for other in self.entries:
                if other == instance or self.cut & {instance, other}:
                    continue
                await entry.until(
                    lambda entry=entry, other=other: heard(entry, other, since)
                )

    async def until(self, condition):
        """Wait until something holds."""
        with anyio.fail_after(site.TIMEOUT_SECONDS):
            while not condition():
                await anyio.sleep(0.005)

    async def until_sent(self, count):
        """Wait until endpoints have got so many requests."""
        await self.until(lambda: len(self.sends) >= count)

    async def call(self, instance, path, body, **more):
        """Make one request at a gateway."""
        return await site.call(
            self.entries[instance],
            'POST',
            path,
            body=body,
            attempt=f'a{next(self._attempts)}',
            **more,
        )

    def count_sends(self, since=0):
        """Return how often a request that ends endpoints was sent."""
        return sum(ENDS_ENDPOINT in seen.body for seen in self.sends[since:])

    def _show(self, entry):
        """Show a gateway the endpoints that there are."""
        records = [site.make_record(one) for one in self.endpoints]
        known = {record.identity for record in records}
        removed = {one.identity for one in entry.gateway.table} - known
        entry.endpoints.records = records
        entry.endpoints.revision = self._revision
        entry.gateway.follower.apply_changes(
            listings.Changes(
                records=tuple(records),
                removed=tuple(removed),
                revision=self._revision,
                newest=self._revision,
            )
        )

    async def _run_entry(self, instance, scope, *, task_status):
        peers = {
            name: site.settings.Address(host=site.HOST, port=port)
            for name, port in self.ports.items()
        }
        found = site.FakeEndpoints()
        found.records = [site.make_record(one) for one in self.endpoints]
        found.revision = self._revision
        async with site.run_entry(
            configuration=self._configuration,
            found=found,
            objects=self.store,
            process=site.make_settings(
                instance,
                peers=peers[instance],
                seeds=tuple(peers.values()),
            ),
        ) as entry:
            entry.ended = anyio.Event()
            self.entries[instance] = entry
            with scope:
                task_status.started()
                await anyio.sleep_forever()
        entry.ended.set()


def heard(entry, other, since):
    """Whether a gateway has a report that another made after a time."""
    for peer in entry.gateway.peers:
        if peer.instance == other and peer.report is not None:
            return peer.report.sent > since
    return False


@contextlib.asynccontextmanager
async def run_fleet(
    monkeypatch, *, entries=3, endpoints=4, configuration=None
):
    """Run gateways that know each other before endpoints."""
    async with anyio.create_task_group() as tasks:
        fleet = Fleet(
            tasks=tasks,
            configuration=configuration or make_configuration(),
        )
        cut_reports(monkeypatch, fleet)
        for _ in range(endpoints):
            await fleet.add_endpoint()
        names = [f'entry-{number}' for number in range(entries)]
        fleet.ports = {name: process_site.find_port() for name in names}
        for name in names:
            await fleet.start_entry(name)
        await fleet.exchange()
        yield fleet
        fleet.go_on.set()
        tasks.cancel_scope.cancel()


def make_configuration():
    """Return a configuration with a route of each kind."""
    return site.make_configuration(
        site.make_route(name='safe', prefix='/safe/'),
        site.FORBIDDEN(name='once', prefix='/once/'),
        site.RESUMED(name='stream', prefix='/stream/'),
    )


def cut_reports(monkeypatch, fleet):
    """Have gateways that are cut off hear nothing of each other."""
    take = gossip.Gossip._hear
    fetch = peer_exchange.fetch

    def hear(self, data, source):
        sender = peer_reports.decode(data).instance
        if not fleet.cut & {sender, self._table._instance}:
            take(self, data, source)

    async def fetch_unless_cut(*, address, path):
        name = next(
            name for name, port in fleet.ports.items() if port == address.port
        )
        if name in fleet.cut:
            return None
        return await fetch(address=address, path=path)

    monkeypatch.setattr(gossip.Gossip, '_hear', hear)
    monkeypatch.setattr(peer_exchange, 'fetch', fetch_unless_cut)
