"""Runs a gateway on real sockets with fake endpoints and a fake store."""

import contextlib
import dataclasses
import functools

import anyio
import h11
import msgspec

from marigoldramp.gateway import adapter as adapter_module
from marigoldramp.gateway import configurations
from marigoldramp.gateway import deployment
from marigoldramp.gateway import listings
from marigoldramp.gateway import peer_reports
from marigoldramp.gateway import program
from marigoldramp.gateway import retry_budget
from marigoldramp.gateway import settings
from marigoldramp import metrics
from marigoldramp.platform import headers
from marigoldramp.platform import pages
from marigoldramp import store

HOST = '127.0.0.1'
FREE_PORT = settings.Address(host=HOST, port=0)
HOST_NAME = 'notes.example'
TIMEOUT_SECONDS = 10.0


class FakeStore(store.PlatformStore):
    """Keeps objects in memory; ``away`` makes every call fail."""

    name = 'gateway_test_store'

    def __init__(self):
        self.objects = {}
        self.away = False
        self.version = 0

    async def read(self, *, key):
        if self.away:
            return store.Unavailable(detail='away')
        return self.objects.get(key, store.Absent(key=key))

    async def write(self, *, key, value, expected):
        if self.away:
            return store.Unavailable(detail='away')
        found = self.objects.get(key)
        if (0 if found is None else found.version) != expected:
            return store.Conflict(key=key)
        self.version += 1
        self.objects[key] = store.Stored(
            key=key, version=self.version, value=value
        )
        return store.Written(key=key, version=self.version)

    async def delete(self, *, key, expected):
        if self.away:
            return store.Unavailable(detail='away')
        found = self.objects.get(key)
        if found is None or found.version != expected:
            return store.Conflict(key=key)
        del self.objects[key]
        self.version += 1
        return store.Written(key=key, version=self.version)

    async def list_objects(self, *, kind):
        if self.away:
            return store.Unavailable(detail='away')
        return store.Listing(
            objects=tuple(
                one for key, one in self.objects.items() if key.kind == kind
            ),
            version=self.version,
        )

    async def watch(self, *, kind, after, seconds):
        raise NotImplementedError

    async def list_instances(self):
        raise NotImplementedError

    async def close(self):
        pass


class FakeConfigurationSource(configurations.ConfigurationSource):
    """Serves a configuration that a test can change."""

    def __init__(self):
        self.current = None
        self.away = False
        self.reads = 0

    async def fetch(self):
        self.reads += 1
        if self.away:
            return store.Unavailable(detail='away')
        if self.current is None:
            return store.Absent(key=store.Key(kind='config', name='main'))
        return msgspec.json.encode(self.current.version)

    def decode(self, document):
        assert self.current is not None
        if msgspec.json.decode(document) != self.current.version:
            raise ValueError('overtaken')
        return self.current


class FakeEndpoints(listings.EndpointSource):
    """Serves a list of endpoints that a test can change."""

    def __init__(self):
        self.records = ()
        self.revision = 1
        self.away = False
        self.changes = []
        self.changed = anyio.Event()

    async def list_all(self):
        if self.away:
            return store.Unavailable(detail='away')
        return listings.Listing(
            records=tuple(self.records), revision=self.revision
        )

    async def watch(self, *, after, seconds):
        if not self.changes:
            with anyio.move_on_after(seconds):
                await self.changed.wait()
        if self.changed.is_set():
            # Another call may wait for it as well.
            self.changed = anyio.Event()
        if self.away:
            return store.Unavailable(detail='away')
        if self.changes:
            return self.changes.pop(0)
        return listings.Changes(records=(), removed=(), revision=after)

    def show(self, change):
        """Make the watch return a change."""
        self.changes.append(change)
        self.changed.set()


#: Seconds between two answers of a store to the calls of a gateway.
ANSWER_INTERVAL_SECONDS = 0.8


async def note_answers(outages, source):
    """Note that a store answers, while its source of endpoints does."""
    while True:
        if not source.away:
            outages.note_answer()
        await anyio.sleep(ANSWER_INTERVAL_SECONDS)


class LateEndpoints(listings.EndpointSource):
    """Answers a call when a test says so, however late."""

    def __init__(self):
        self._send, self._answers = anyio.create_memory_object_stream(9)

    def answer(self, found):
        """Have the call that waits return this."""
        self._send.send_nowait(found)

    async def list_all(self):
        return await self._answers.receive()

    async def watch(self, *, after, seconds):
        return await self._answers.receive()


def make_route(**more):
    """Return a route; ``more`` overrides its default fields."""
    values = dict(
        name='r',
        host=HOST_NAME,
        prefix='/notes/',
        targets=(deployment.Target(service='notes', weight=1.0),),
        retry_policy=deployment.RetryPolicy.ALLOWED,
        attempts=2,
        timeout=5.0,
        objective=0.4,
        priority=1,
        public=True,
        streams=False,
    )
    return deployment.Route(**(values | more))


def make_configuration(*routes, version=1, customers=None, **limits):
    """Return a configuration with these routes."""
    bounds = dict(
        head_bytes=4096, body_bytes=10_000, head_seconds=5.0, idle_seconds=5.0
    )
    return deployment.Configuration(
        version=version,
        routes=tuple(routes) or (make_route(),),
        services={'notes': deployment.Service(name='notes', connections=100)},
        limits=deployment.Limits(**(bounds | limits)),
        customers=customers or {},
        requires_keys=customers is not None,
    )


def make_record(endpoint, **more):
    """Return the record of a fake endpoint."""
    values = dict(
        identity=endpoint.identity,
        service='notes',
        host=HOST,
        port=endpoint.port,
        data_centre='one',
        slots=4,
        leaving=False,
    )
    return deployment.EndpointRecord(**(values | more))


def make_report(instance='p', **more):
    """Return a report of a peer; ``more`` overrides its default fields."""
    values = dict(
        instance=instance,
        host='h',
        port=1,
        incarnation=1,
        sent=1.0,
        echo=0.0,
        echo_incarnation=0,
        ready=True,
        leaving=False,
        call_host='c',
        call_port=2,
        version=1,
        version_age=0.0,
        revision=1,
        revision_age=0.0,
        in_flight={},
    )
    return peer_reports.Report(**(values | more))


def make_settings(instance='entry-1', **more):
    """Return settings of a gateway that listens on free ports."""
    values = dict(
        instance=instance,
        data_centre='one',
        region='r',
        calls=FREE_PORT,
        readiness=FREE_PORT,
        addresses=FREE_PORT,
        peers=FREE_PORT,
        metrics=FREE_PORT,
        seeds=(),
        store=FREE_PORT,
        descriptors=1000,
        cores=1.0,
        link_rate=2_500_000.0,
        bounds=settings.Bounds(
            drain=2.0,
            grace=8.0,
            apply=2.0,
            revoke=5.0,
            longest_addresses=5.0,
            # A gateway that has just started may only retry what it earns.
            retries=retry_budget.Bounds(ratio=8.0, extra=40.0, window=10.0),
            fenced=True,
            stall=1.5,
        ),
    )
    return settings.Settings(**(values | more))


@dataclasses.dataclass(kw_only=True)
class Site:
    """A running gateway and its fake data sources."""

    gateway: program.Program
    configuration: FakeConfigurationSource
    endpoints: FakeEndpoints
    store: FakeStore

    async def until(self, condition):
        """Wait until a condition holds."""
        with anyio.fail_after(TIMEOUT_SECONDS):
            while not condition():
                await anyio.sleep(0.005)


@contextlib.asynccontextmanager
async def run_site(
    *fakes, configuration=None, ready=True, evacuation_source=None, **more
):
    """Run a gateway and fake endpoints."""
    async with contextlib.AsyncExitStack() as stack:
        for fake in fakes:
            await stack.enter_async_context(fake.serve())
        found = FakeEndpoints()
        found.records = [make_record(fake) for fake in fakes]
        site = await stack.enter_async_context(
            run_gateway(
                configuration=configuration or make_configuration(),
                found=found,
                objects=FakeStore(),
                process=make_settings(**more),
                evacuation_source=evacuation_source,
            )
        )
        await site.until(lambda: site.gateway.call_port)
        if ready:
            await site.until(site.gateway.is_ready)
        yield site


@contextlib.asynccontextmanager
async def run_gateway(
    *, configuration, found, objects, process, evacuation_source=None
):
    """Run a gateway with the given data sources."""
    config = FakeConfigurationSource()
    config.current = configuration
    adapter = adapter_module.Adapter(
        codec=headers.Codec(),
        configuration=config,
        endpoint_source=found,
        store=objects,
        rank_api=None,
        make_pages=pages.make,
        read_settings=lambda: process,
        evacuation_source=evacuation_source,
    )
    running = program.Program(
        settings=process,
        adapter=adapter,
        metrics=metrics.create_local(instance=process.instance),
    )
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(running.run)
        yield Site(
            gateway=running,
            configuration=config,
            endpoints=found,
            store=objects,
        )
        tasks.cancel_scope.cancel()


@dataclasses.dataclass(kw_only=True)
class Answer:
    """An answer that a caller received.

    :ivar complete: the answer arrived to its end.
    """

    status: int
    headers: dict
    body: bytes
    complete: bool


@contextlib.asynccontextmanager
async def connect(site):
    """Open a caller's connection."""
    stream = await anyio.connect_tcp(HOST, site.gateway.call_port)
    async with stream:
        yield stream


async def read_answer(stream, method='GET', connection=None):
    """Read one answer from a connection."""
    connection = connection or h11.Connection(h11.CLIENT)
    if connection.our_state is h11.IDLE:
        connection.send(
            h11.Request(method=method, target='/', headers=[('host', 'x')])
        )
        connection.send(h11.EndOfMessage())
    answer = Answer(status=0, headers={}, body=b'', complete=False)
    try:
        with anyio.fail_after(TIMEOUT_SECONDS):
            while True:
                event = connection.next_event()
                if event is h11.NEED_DATA:
                    try:
                        data = await stream.receive()
                    except anyio.EndOfStream:
                        data = b''
                    connection.receive_data(data)
                elif isinstance(event, h11.Response):
                    answer.status = event.status_code
                    answer.headers = {
                        name.decode(): value.decode()
                        for name, value in event.headers
                    }
                elif isinstance(event, h11.Data):
                    answer.body += event.data
                elif isinstance(event, h11.EndOfMessage):
                    answer.complete = True
                    return answer
                elif isinstance(event, h11.ConnectionClosed):
                    return answer
    except (h11.RemoteProtocolError, anyio.BrokenResourceError):
        return answer


async def send_request(
    stream,
    method='GET',
    path='/notes/1',
    *,
    body=b'',
    attempt='a1',
    host=HOST_NAME,
    more='',
):
    """Send one request."""
    text = f'{method} {path} HTTP/1.1\r\nHost: {host}\r\n'
    text += f'Attempt-Id: {attempt}\r\n{more}'
    if body or method == 'POST':
        text += f'Content-Length: {len(body)}\r\n'
    await stream.send(text.encode() + b'\r\n' + body)


async def call(site, method='GET', path='/notes/1', **more):
    """Make one request on a new connection."""
    async with connect(site) as stream:
        await send_request(stream, method, path, **more)
        return await read_answer(stream, method)


FORBIDDEN = functools.partial(
    make_route, retry_policy=deployment.RetryPolicy.FORBIDDEN, attempts=1
)
RESUMED = functools.partial(
    make_route, retry_policy=deployment.RetryPolicy.RESUMED, streams=True
)
