"""Tests of the object API's client against the platform stand-in."""

import contextlib
import dataclasses
import socket

import anyio
import httpcore
import msgspec
import pytest

from marigoldramp import api_client
from marigoldramp import settings
from marigoldramp import store
from marigoldramp_standins import instance_list
from marigoldramp_standins import objects
from marigoldramp_standins import platform
from marigoldramp_standins import web
from marigoldrampplug import object_api

KEY = store.Key(kind='bundle', name='a/b %')
ROW = store.Instance(
    name='runner-1',
    role='endpoint',
    data_centre='east',
    host='127.0.0.1',
    call_port=1,
    control_port=2,
    datagram_port=3,
    service='drafts',
)

pytestmark = pytest.mark.anyio


class Limits:
    """Timeouts that pass when the test says so."""

    def __init__(self):
        self.scopes = []

    @contextlib.contextmanager
    def limit(self, seconds):
        with anyio.CancelScope() as scope:
            self.scopes.append(scope)
            yield
        if scope.cancelled_caught:
            raise TimeoutError

    def expire(self):
        for scope in self.scopes:
            scope.cancel()


def make_client(address, limit=anyio.fail_after):
    return object_api.ObjectApi(
        limit=limit,
        settings=settings.Platform(
            store='object_api',
            address=address,
            timeout=1000.0,
            watch=20.0,
            poll_instances=1.0,
            watchers=2,
        ),
    )


@dataclasses.dataclass
class Ends:
    client: object_api.ObjectApi
    platform: platform.Platform
    address: str
    limits: Limits


@contextlib.asynccontextmanager
async def connected():
    limits = Limits()
    standin = platform.Platform(
        table=objects.Table(), instances=instance_list.InstanceList()
    )
    async with web.serve(handle=standin.handle) as address:
        client = make_client(address, limits.limit)
        try:
            yield Ends(client, standin, address, limits)
        finally:
            await client.close()


async def test_objects_over_http():
    async with connected() as ends:
        client = ends.client
        assert await client.read(key=KEY) == store.Absent(key=KEY)
        first = await client.write(
            key=KEY, value=b'\x00one', expected=store.CREATE
        )
        assert first == store.Written(key=KEY, version=1)
        again = await client.write(key=KEY, value=b'', expected=store.CREATE)
        assert again == store.Conflict(key=KEY)
        stored = store.Stored(key=KEY, version=1, value=b'\x00one')
        assert await client.read(key=KEY) == stored
        listing = store.Listing(objects=(stored,), version=1)
        assert await client.list_objects(kind='bundle') == listing
        seen = await client.watch(kind='bundle', after=0, seconds=9)
        assert seen == listing
        second = await client.write(key=KEY, value=b'', expected=1)
        assert second == store.Written(key=KEY, version=2)
        wrong = await client.delete(key=KEY, expected=1)
        assert wrong == store.Conflict(key=KEY)
        gone = await client.delete(key=KEY, expected=2)
        assert gone == store.Written(key=KEY, version=3)
        assert await client.read(key=KEY) == store.Absent(key=KEY)


async def test_instances_over_http():
    async with connected() as ends:
        ends.platform.instances.put(instance=ROW)
        listed = await ends.client.list_instances()
        assert listed == store.Instances(instances=(ROW,))


@pytest.mark.parametrize('ended', ['change', 'time', 'outage'])
async def test_watch_over_http(ended):
    async with connected() as ends:
        results = []

        async def watch(seconds):
            results.append(
                await ends.client.watch(
                    kind='bundle', after=0, seconds=seconds
                )
            )

        table = ends.platform.table
        async with anyio.create_task_group() as group:
            group.start_soon(watch, 0.0 if ended == 'time' else 1000.0)
            while not table.counts.watches:
                await anyio.sleep(0)
            if ended == 'change':
                await table.write(key=KEY, value=b'', expected=0)
            if ended == 'outage':
                table.faults.outage = True
                table.wake()
        match (ended, results[0]):
            case ('change', store.Listing(objects=(found,))):
                assert found.version == 1
            case ('time', store.Listing(objects=(), version=0)):
                pass
            case ('outage', store.Unavailable()):
                pass
            case _:
                pytest.fail(f'{ended}: {results}')


@pytest.mark.parametrize(
    ('fault', 'outcome', 'version'),
    [
        ({'lose_replies': 1}, store.Uncertain, 1),
        ({'lose_requests': 1}, store.Uncertain, 0),
        ({'outage': True}, store.Unavailable, 0),
    ],
    ids=['lost-reply', 'lost-request', 'outage'],
)
@pytest.mark.parametrize('silent', [False, True])
@pytest.mark.parametrize('change', ['write', 'delete'])
async def test_faulty_write(fault, outcome, version, silent, change):
    """The writer gets no reply.

    The platform takes the write and its reply is lost, or the request is
    lost, and the connection breaks or stays silent.  Only an outage, which
    the platform states, may be told as "nothing changed".
    """
    async with connected() as ends:
        table = ends.platform.table
        if change == 'delete':
            await table.write(key=KEY, value=b'', expected=0)
        before = table.version
        ends.platform.silent = silent
        for name, value in fault.items():
            setattr(table.faults, name, value)
        found = []

        async def call():
            if change == 'write':
                made = ends.client.write(key=KEY, value=b'', expected=0)
            else:
                made = ends.client.delete(key=KEY, expected=1)
            found.append(await made)

        async with anyio.create_task_group() as group:
            group.start_soon(call)
            while table.faults.lose_replies or table.faults.lose_requests:
                await anyio.sleep(0)
            if silent and not table.faults.outage:
                ends.limits.expire()
        assert isinstance(found[0], outcome)
        assert table.version == before + version


async def call_all(client):
    return [
        await client.write(key=KEY, value=b'', expected=0),
        await client.delete(key=KEY, expected=1),
        await client.read(key=KEY),
        await client.list_objects(kind='k'),
        await client.watch(kind='k', after=0, seconds=0),
        await client.list_instances(),
    ]


async def test_refused_connection_changes_nothing():
    """Every call fails though the platform got no byte.

    The platform's process is gone, so that connecting is refused; a write
    that never left must not be told as uncertain.
    """
    with socket.create_server(('127.0.0.1', 0)) as listener:
        port = listener.getsockname()[1]
    client = make_client(f'http://127.0.0.1:{port}')
    for result in await call_all(client):
        assert isinstance(result, store.Unavailable)
    await client.close()


@pytest.mark.parametrize(
    ('status', 'write', 'read'),
    [
        (400, store.Unavailable, store.Unavailable),
        (413, store.Unavailable, store.Unavailable),
        (500, store.Uncertain, store.Unavailable),
        (502, store.Uncertain, store.Unavailable),
        (503, store.Unavailable, store.Unavailable),
        # A success without an entity tag names no version to go on from.
        (200, store.Uncertain, store.Unavailable),
    ],
)
async def test_unexpected_status(status, write, read):
    async def handle(exchange):
        await exchange.read_body()
        await exchange.answer(status=status, body=b'{]')

    async with web.serve(handle=handle) as address:
        client = make_client(address)
        results = await call_all(client)
        await client.close()
    assert [type(result) for result in results] == [write] * 2 + [read] * 4


@pytest.mark.parametrize('way', ['silent', 'slow', 'cut', 'endless'])
async def test_read_without_an_end(way, monkeypatch):
    """A read never ends, or fills the memory.

    The platform accepts the request, then stays silent, sends one byte and
    no more, breaks off or sends without end.  Each ends as a failure.
    """
    monkeypatch.setattr(api_client, 'LONGEST_ANSWER', 1000)
    limits = Limits()

    async def handle(exchange):
        if way != 'silent':
            await exchange.start(status=200, headers=[(b'etag', b'"1"')])
            await exchange.send(b'x', more=True)
        if way == 'endless':
            await exchange.send(bytes(2000), more=True)
        if way == 'cut':
            await exchange.cut()
        if way in ('silent', 'slow'):
            limits.expire()
        await exchange.wait_gone()

    async with web.serve(handle=handle) as address:
        client = make_client(address, limits.limit)
        result = await client.read(key=KEY)
        await client.close()
    assert isinstance(result, store.Unavailable)


async def ask(address, method, path, body=b'', headers=()):
    async with httpcore.AsyncConnectionPool() as pool:
        return await pool.request(
            method, address + path, content=body, headers=list(headers)
        )


async def test_admin_calls():
    async with connected() as ends:
        address = ends.address
        change = b'{"slowness": 0.5, "freeze": ["bundle"], "silent": true}'
        found = await ask(address, 'POST', '/standin/faults', change)
        faults = msgspec.json.decode(found.content, type=objects.Faults)
        assert faults == objects.Faults(slowness=0.5, stale={'bundle': 0})
        assert ends.platform.silent
        await ask(address, 'POST', '/standin/faults', b'{"slowness": 0}')
        row = msgspec.json.encode(ROW)
        await ask(address, 'POST', '/standin/faults', b'{"instance_lag": 9}')
        await ask(address, 'PUT', '/standin/instances/runner-1', row)
        empty = await ends.client.list_instances()
        assert empty == store.Instances(instances=())
        await ask(address, 'POST', '/standin/publish')
        shown = await ends.client.list_instances()
        assert shown == store.Instances(instances=(ROW,))
        found = await ask(address, 'GET', '/standin/counts')
        report = msgspec.json.decode(found.content, type=platform.CountsReport)
        assert report.counts == objects.Counts(instance_lists=2)
        assert report.total == 2


@pytest.mark.parametrize(
    ('method', 'path', 'status'),
    [
        ('PUT', '/objects/k/n', 428),
        ('DELETE', '/objects/k/n', 428),
        ('GET', '/nowhere', 404),
        ('POST', '/standin/nothing', 404),
    ],
)
async def test_refused_by_the_platform(method, path, status):
    async with connected() as ends:
        found = await ask(ends.address, method, path)
        assert found.status == status
