"""Runs several gateways that report to each other, and endpoints that can end.

An endpoint ends when it begins to run a request whose body says so, or whose
prompt has a certain part: its port and all its connections close.  It is
replaced by one with another name, of which each gateway learns from discovery.
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

#: Text in the body of a request that ends its endpoint.
ENDS_ENDPOINT = b'ends its endpoint'
#: Text in the body of a request that runs until ``Fleet.go_on`` is set.
HELD = b'held'


class Endpoint:
    """An endpoint that ends when a request says so.

    :ivar ended: set when it has ended.
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
        ends = ENDS_ENDPOINT in seen.body or self._fleet.has_ending_part(seen)
        if ends and not sound:
            await self._begin_answer(stream, seen, streams)
            self._fleet.ends.append(self.identity)
            self.ended.set()
            await anyio.sleep_forever()
        script = fake.stream_events(1, 3) if streams else fake.answer()
        await script(stream, seen)

    async def _begin_answer(self, stream, seen, streams):
        """Send the part of an answer that an ending endpoint still sends."""
        more = 'Content-Type: text/event-stream\r\n' if streams else ''
        if self._fleet.unframed:
            head = fake.head(seen, more=more)
            await stream.send(f'{head}\r\nid: 1\ndata: 1\n\n'.encode())
        elif streams:
            head = fake.head(
                seen, more=f'{more}Transfer-Encoding: chunked\r\n'
            )
            await stream.send(f'{head}\r\n'.encode())


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
    """A set of gateways and endpoints.

    :ivar sends: requests that arrived at an endpoint, in order.
    :ivar ends: endpoints that have ended, in order.
    :ivar gateways: running gateways by instance.
    :ivar sound_customers: customers whose requests never end an endpoint.
    :ivar unframed: whether an endpoint that ends has begun an answer without
        framing, after a whole event.
    :ivar ending_part: part of a prompt that ends endpoints, empty for none.
    :ivar cut: instances that are partitioned from all other gateways.
    :ivar go_on: set to let requests with ``HELD`` in the body finish.
    """

    def __init__(self, *, tasks, configuration):
        self.sends = []
        self.ends = []
        self.gateways = {}
        self.endpoints = []
        self.sound_customers = set()
        self.ending_part = ''
        self.unframed = False
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

    async def start_gateway(self, instance):
        """Start a gateway, which may have run before."""
        scope = anyio.CancelScope()
        self._scopes[instance] = scope
        await self._tasks.start(self._run_gateway, instance, scope)
        entry = self.gateways[instance]
        await entry.until(lambda: entry.gateway.call_port)
        await entry.until(entry.gateway.is_ready)

    async def kill_gateway(self, instance):
        """End a gateway at once, so that it loses its state."""
        entry = self.gateways.pop(instance)
        self._scopes.pop(instance).cancel()
        await entry.ended.wait()

    async def revive(self):
        """Replace each ended endpoint, and update all gateways."""
        gone = [one for one in self.endpoints if one.ended.is_set()]
        self.endpoints = [one for one in self.endpoints if one not in gone]
        for _ in gone:
            await self.add_endpoint()
        self._revision += 1
        for entry in self.gateways.values():
            self._show(entry)

    async def keep_reviving(self):
        """Replace ended endpoints until cancelled."""
        while True:
            await self.until(
                lambda: any(one.ended.is_set() for one in self.endpoints)
            )
            await self.revive()

    async def exchange(self):
        """Wait for a report from each gateway to each reachable one."""
        since = next(iter(self.gateways.values())).gateway._clock()
        for instance, entry in self.gateways.items():
            for other in self.gateways:
                if other == instance or self.cut & {instance, other}:
                    continue
                await entry.until(
                    lambda entry=entry, other=other: heard(entry, other, since)
                )

    async def until(self, condition):
        """Wait until a condition holds."""
        with anyio.fail_after(site.TIMEOUT_SECONDS):
            while not condition():
                await anyio.sleep(0.005)

    async def until_sent(self, count):
        """Wait until this many requests have arrived at endpoints."""
        await self.until(lambda: len(self.sends) >= count)

    async def call(self, instance, path, body, **more):
        """Send one request to a gateway."""
        return await site.call(
            self.gateways[instance],
            'POST',
            path,
            body=body,
            attempt=f'a{next(self._attempts)}',
            **more,
        )

    def count_sends(self, since=0):
        """Return how often a request that ends endpoints was sent."""
        return sum(ENDS_ENDPOINT in seen.body for seen in self.sends[since:])

    def has_ending_part(self, seen):
        """Whether the prompt of a request has the part that ends endpoints."""
        parts = seen.headers.get('prompt-prefix', '').split(',')
        names = [part.partition(':')[0] for part in parts]
        return bool(self.ending_part) and self.ending_part in names

    def count_ending(self, since=0):
        """Return how often a request with that part was sent."""
        return sum(self.has_ending_part(seen) for seen in self.sends[since:])

    def _show(self, entry):
        """Make a gateway's discovery list the current endpoints."""
        records = [site.make_record(one) for one in self.endpoints]
        known = {record.identity for record in records}
        removed = {one.identity for one in entry.gateway.table} - known
        entry.endpoints.records = records
        entry.endpoints.revision = self._revision
        entry.gateway.follower.known.apply_changes(
            listings.Changes(
                records=tuple(records),
                removed=tuple(removed),
                revision=self._revision,
                newest=self._revision,
            )
        )

    async def _run_gateway(self, instance, scope, *, task_status):
        peers = {
            name: site.settings.Address(host=site.HOST, port=port)
            for name, port in self.ports.items()
        }
        found = site.FakeEndpoints()
        found.records = [site.make_record(one) for one in self.endpoints]
        found.revision = self._revision
        async with site.run_gateway(
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
            self.gateways[instance] = entry
            with scope:
                task_status.started()
                await anyio.sleep_forever()
        entry.ended.set()


def heard(entry, other, since):
    """Whether a gateway has a report that a peer sent after a time."""
    for peer in entry.gateway.peers:
        if peer.instance == other and peer.report is not None:
            return peer.report.sent > since
    return False


@contextlib.asynccontextmanager
async def run_fleet(
    monkeypatch, *, entries=3, endpoints=4, configuration=None
):
    """Run endpoints, and gateways that have heard each other."""
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
            await fleet.start_gateway(name)
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
    """Drop reports and fetches to and from partitioned gateways."""
    handle_datagram = gossip.Gossip._handle_datagram
    fetch = peer_exchange.fetch

    def handle_unless_cut(self, data, source):
        sender = peer_reports.decode(data).instance
        if not fleet.cut & {sender, self._table._instance}:
            handle_datagram(self, data, source)

    async def fetch_unless_cut(*, address, path):
        name = next(
            name for name, port in fleet.ports.items() if port == address.port
        )
        if name in fleet.cut:
            return None
        return await fetch(address=address, path=path)

    monkeypatch.setattr(gossip.Gossip, '_handle_datagram', handle_unless_cut)
    monkeypatch.setattr(peer_exchange, 'fetch', fetch_unless_cut)
