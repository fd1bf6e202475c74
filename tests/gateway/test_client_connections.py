"""Tests of the bound on the connections of all listeners."""

import contextlib
import gc
import socket
import weakref

import anyio
import h11
import pytest

from marigoldramp.gateway import client_connections as bound
from marigoldramp.gateway import listeners
from marigoldramp.gateway import request_bodies
from marigoldramp.gateway import response_buffers
from marigoldramp import metrics
from marigoldramp import tcp_streams

from . import fake_endpoint as fake
from . import site

pytestmark = pytest.mark.anyio
ACTIVITIES = {
    'head': bound.Activity.FIRST_HEAD,
    'idle': bound.Activity.IDLE,
    'body': bound.Activity.BODY,
    'request': bound.Activity.REQUEST,
    'ending': bound.Activity.ENDING,
}
MEGABYTE = 1_000_000


class FakeStream:
    """A connection that a test describes."""

    def __init__(self, name, closed, *, unsent=0, counts_unread=False):
        self.name = name
        self.taken = 0
        self.unsent = unsent
        self.counts_unread = counts_unread
        self._closed = closed

    def reset(self):
        self._closed.append(self.name)


@pytest.mark.parametrize(
    ('memory', 'descriptors', 'endpoints', 'expected'),
    [
        (0, 4100, 20, 3500),
        (0, 600, 20, bound.MIN_CONNECTIONS),
        (1000, 4100, 20, 3500),
        (80, 4100, 0, 8 * MEGABYTE // bound.CONNECTION_BYTES),
        (300, 4100, 0, 140 * MEGABYTE // bound.CONNECTION_BYTES),
        (300, 4100, 3000, 125 * MEGABYTE // bound.CONNECTION_BYTES),
        (10, 4100, 0, bound.MIN_CONNECTIONS),
    ],
)
def test_bound_follows_memory_and_descriptors(
    memory, descriptors, endpoints, expected
):
    found = bound.find_most(
        memory=memory * MEGABYTE, descriptors=descriptors, endpoints=endpoints
    )
    assert found == expected


@pytest.mark.parametrize('memory', [112, 152, 200, 300, 552])
def test_all_bounds_together_are_within_the_memory(memory):
    """Guards against bounds that hold one by one and not together."""
    size = memory * MEGABYTE
    connections = bound.find_most(memory=size, descriptors=100_000)
    together = bound.PROCESS_BYTES + connections * bound.CONNECTION_BYTES
    assert together + bound.COUNTED_SHARE * size <= size


def test_share_that_is_counted_elsewhere_is_that_of_the_sums():
    """Guards against a sum that grows while connections leave it no room."""
    sums = response_buffers.MEMORY_SHARE + 2.0 * request_bodies.MEMORY_SHARE
    assert bound.COUNTED_SHARE == pytest.approx(sums)


#: Connections in the order in which they were opened, a second apart: what
#: each is occupied with, and more about it.
@pytest.mark.parametrize(
    ('opened', 'expected'),
    [
        (['head', 'head'], ['0']),
        (['idle', 'head', 'request'], ['1']),
        (['request', 'idle', 'body'], ['1']),
        (['body', 'request', 'request'], ['0']),
        (['idle', 'ending'], ['1']),
        (['request', 'request stalled'], ['1']),
        (['request', 'request ahead'], ['1']),
        (['request ahead', 'request stalled'], ['1']),
        (['request', 'request'], []),
        (['request', 'request', 'head new'], ['2']),
        (['request ahead', 'head new'], ['0']),
    ],
    ids=' '.join,
)
def test_least_harmful_connection_is_closed_first(opened, expected):
    """Guards against clients that keep out all others.

    They hold all connections with heads or bodies that never end, with answers
    that they do not read, or with nothing at all.
    """
    now = 0.0
    closed = []
    connections = bound.ClientConnections(
        most=lambda: len(opened),
        metrics=metrics.create_local(instance='m'),
        clock=lambda: now,
    )
    for number, described in enumerate(opened):
        name, _, more = described.partition(' ')
        stream = FakeStream(
            str(number),
            closed,
            unsent=int(more == 'stalled'),
            counts_unread=more == 'ahead',
        )
        if more != 'new':
            now += 2.0 * bound.FIRST_REQUEST_SECONDS
        connections.add(stream).note(ACTIVITIES[name])
    if 'new' not in opened[-1]:
        now += 2.0 * bound.STALLED_SECONDS
    added = connections.add(FakeStream('new', closed))
    assert closed == expected
    assert (added is not None) == bool(expected)
    assert len(connections) == len(opened)


@pytest.mark.parametrize(('kept', 'expected'), [(0, True), (1, False)])
def test_callers_leave_connections_to_other_listeners(kept, expected):
    """Guards against a gateway that seems dead while callers keep it busy."""
    connections = bound.ClientConnections(
        most=lambda: 2,
        metrics=metrics.create_local(instance='m'),
        clock=lambda: 0.0,
    )
    connections.add(FakeStream('busy', [])).note(bound.Activity.REQUEST)
    added = connections.add(FakeStream('new', []), kept=kept)
    assert (added is not None) == expected


def test_reader_that_takes_its_answer_is_not_closed():
    """Guards against the loss of answers that are taken slowly."""
    now = 0.0
    closed = []
    connections = bound.ClientConnections(
        most=lambda: 1,
        metrics=metrics.create_local(instance='m'),
        clock=lambda: now,
    )
    reader = FakeStream('reader', closed, unsent=1)
    connections.add(reader).note(bound.Activity.REQUEST)
    for _ in range(4):
        now += 2.0 * bound.STALLED_SECONDS
        reader.taken += 1
        assert connections.add(FakeStream('new', closed)) is None
    assert not closed


# On real connections


async def test_connection_with_a_request_is_kept_and_others_make_room():
    """Guards against a request that new connections cut off."""
    release = anyio.Event()

    async def wait(stream, seen):
        if 'slow' in seen.target:
            await release.wait()
        await fake.answer(b'done')(stream, seen)

    one = fake.FakeEndpoint(identity='i-1', scripts=[wait])
    async with (
        site.run_site(one, descriptors=0) as running,
        contextlib.AsyncExitStack() as stack,
    ):
        stream = await stack.enter_async_context(site.connect(running))
        await site.send_request(stream, path='/notes/slow')
        await running.until(lambda: one.seen)
        for _ in range(3 * bound.MIN_CONNECTIONS):
            await stack.enter_async_context(site.connect(running))
        answer = await site.call(running, attempt='a2')
        assert (answer.status, answer.complete) == (200, True)
        assert len(running.gateway.client_connections) <= bound.MIN_CONNECTIONS
        release.set()
        answer = await site.read_answer(stream)
        assert (answer.status, answer.complete) == (200, True)
    assert len(one.seen) == 2


async def test_ended_connections_take_up_no_room():
    one = fake.FakeEndpoint(identity='i-1', scripts=[fake.answer()])
    async with site.run_site(one) as running:
        for _ in range(5):
            await site.call(running)
        await running.until(lambda: not running.gateway.client_connections)


async def test_stream_receives_no_more_than_it_has_room_for():
    """Guards against some hundred kilobytes that are received at once."""
    one = fake.FakeEndpoint(identity='i-1', scripts=[fake.hang])
    async with site.run_site(one) as running:
        async with site.connect(running) as stream:
            await site.send_request(stream)
            await running.until(lambda: one.seen)
            (found,) = running.gateway.client_connections._open
            with anyio.move_on_after(0.5):
                while True:
                    await stream.send(b'x' * 65536)
            assert 0 < found.unread <= found._most_waiting + 1
            assert not found._transport.is_reading()


async def test_answers_in_two_writes_are_not_delayed():
    """Guards against 40 ms that the system waits before the second write."""
    one = fake.FakeEndpoint(identity='i-1', scripts=[fake.hang])
    async with site.run_site(one) as running, site.connect(running) as stream:
        await site.send_request(stream)
        await running.until(lambda: one.seen)
        (found,) = running.gateway.client_connections._open
        accepted = found._transport.get_extra_info('socket')
        assert accepted.getsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY)


async def test_pieces_of_single_bytes_are_joined():
    """Guards against received bytes that cost many times their size."""

    async def keep(stream, _):
        kept.append(stream)
        await anyio.sleep_forever()

    kept = []
    connections = bound.ClientConnections(
        most=lambda: 9,
        metrics=metrics.create_local(instance='m'),
        clock=anyio.current_time,
    )
    listener = listeners.Listener(serve=keep, connections=connections)
    async with anyio.create_task_group() as tasks:
        port = await listener.listen(host=site.HOST, port=0, tasks=tasks)
        async with await anyio.connect_tcp(site.HOST, port):
            while not kept:
                await anyio.sleep(0.005)
            for _ in range(1000):
                kept[0].data_received(b'x')
            assert len(kept[0]._received) <= tcp_streams.MOST_PIECES
            assert await kept[0].read(2000) == b'x' * 1000
        listener.close()
        tasks.cancel_scope.cancel()


# Clients inside the limits

LINE = 'x:1\r\n'
LIMITS = dict(
    head_bytes=16384, body_bytes=100_000, head_seconds=3.0, idle_seconds=5.0
)


def fill_head(size):
    """Return headers that bring a head of these tests to a size."""
    start = f'GET /notes/1 HTTP/1.1\r\nHost: {site.HOST_NAME}\r\n'
    left = size - len(start + 'Attempt-Id: a1\r\n\r\n')
    lines = LINE * (left // len(LINE) - 1)
    return lines + 'y:' + 'z' * (left - len(lines) - 4) + '\r\n'


@pytest.mark.parametrize(
    ('size', 'status'), [(16384, 200), (16384 + 4096, 431)]
)
async def test_largest_head_of_short_lines_is_served(size, status):
    """Guards against a head that counts for more bytes than it has."""
    one = fake.FakeEndpoint(identity='i-1', scripts=[fake.answer()])
    configuration = site.make_configuration(**LIMITS)
    async with site.run_site(one, configuration=configuration) as running:
        got = await site.call(running, more=fill_head(size))
    assert got.status == status


async def test_client_inside_the_limits_meets_no_bound_in_calm():
    """Guards against a limit that ordinary clients meet.

    One sends the largest body, one sends a few requests ahead, and both use
    their connections again after four fifths of the idle time.
    """

    async def echo(stream, seen):
        await fake.answer(b'%d' % len(seen.body))(stream, seen)

    one = fake.FakeEndpoint(identity='i-1', scripts=[echo])
    configuration = site.make_configuration(**(LIMITS | {'idle_seconds': 1.0}))
    async with (
        site.run_site(
            one, configuration=configuration, memory=80 * MEGABYTE
        ) as running,
        site.connect(running) as large,
        site.connect(running) as ahead,
    ):
        for number in range(2):
            body = b'x' * LIMITS['body_bytes']
            await site.send_request(
                large, 'POST', body=body, attempt=f'l{number}'
            )
            got = await site.read_answer(large, 'POST')
            assert (got.status, got.body) == (200, b'100000')
            connection = h11.Connection(h11.CLIENT)
            for position in range(6):
                await site.send_request(ahead, attempt=f'a{number}{position}')
            for _ in range(6):
                got = await site.read_answer(ahead, connection=connection)
                assert (got.status, got.complete) == (200, True)
                connection.start_next_cycle()
            await anyio.sleep(0.8)
    assert len(one.seen) == 14


@pytest.mark.parametrize('path', ['/notes/1', '/none/1'])
async def test_connection_without_a_body_can_be_used_again(path):
    """Guards against a connection for each request without a route."""
    one = fake.FakeEndpoint(identity='i-1', scripts=[fake.answer()])
    async with site.run_site(one) as running:
        async with site.connect(running) as stream:
            for _ in range(3):
                await site.send_request(stream, path=path)
                got = await site.read_answer(stream)
                assert got.complete
                assert 'connection' not in got.headers


# Clients outside the limits


async def test_next_request_waits_until_answers_are_taken():
    """Guards against answers that pile up, and requests that nobody awaits."""
    one = fake.FakeEndpoint(identity='i-1', scripts=[fake.answer()])
    async with site.run_site(one) as running:
        async with site.connect(running) as stream:
            await running.until(lambda: running.gateway._connections)
            (connection,) = running.gateway._connections
            # As the transport does while the caller's host takes nothing.
            unsent = connection._stream._transport.get_write_buffer_size
            connection._stream.pause_writing()
            connection._stream._transport.get_write_buffer_size = lambda: 1
            for number in range(3):
                await site.send_request(stream, attempt=f'a{number}')
            await running.until(lambda: one.seen)
            await anyio.sleep(0.1)
            assert len(one.seen) == 1
            connection._stream._transport.get_write_buffer_size = unsent
            connection._stream.resume_writing()
            await running.until(lambda: len(one.seen) == 3)


async def test_requests_sent_ahead_keep_no_other_client_waiting():
    """Guards against a process that is busy with one client for long.

    All that it had received from a client was served in a row, and with some
    hundred such clients others got no answer.
    """
    count = 60
    one = fake.FakeEndpoint(identity='i-1', scripts=[fake.answer()])
    async with site.run_site(one) as running, site.connect(running) as ahead:
        head = f'GET /none/ HTTP/1.1\r\nHost: {site.HOST_NAME}\r\n\r\n'
        await ahead.send(head.encode() * count)
        answer = await site.call(running)
        page = running.gateway._metrics.render().decode()
    assert answer.status == 200
    refused = [line for line in page.splitlines() if 'refused' in line]
    assert sum(float(line.split()[-1]) for line in refused) < count


async def test_dropped_requests_are_never_run():
    """Guards against a request that runs after its connection was closed."""
    one = fake.FakeEndpoint(identity='i-1', scripts=[fake.hang])
    async with site.run_site(one) as running:
        async with site.connect(running) as stream:
            for number in range(4):
                await site.send_request(stream, attempt=f'a{number}')
            await running.until(lambda: one.seen)
            for found in list(running.gateway.client_connections._open):
                found.reset()
            await running.until(lambda: not running.gateway._connections)
            await anyio.sleep(0.1)
    assert len(one.seen) == 1


async def test_heads_of_many_lines_are_bounded_in_sum():
    """Guards against heads that take up many times their size."""
    one = fake.FakeEndpoint(identity='i-1', scripts=[fake.answer()])
    configuration = site.make_configuration(**LIMITS)
    more = 'Content-Length: 9\r\n' + LINE * 3000
    async with (
        site.run_site(
            one, configuration=configuration, memory=8 * MEGABYTE
        ) as running,
        contextlib.AsyncExitStack() as stack,
    ):
        first = await stack.enter_async_context(site.connect(running))
        await site.send_request(first, 'PUT', more=more)
        await running.until(lambda: running.gateway.request_bodies.held)
        second = await stack.enter_async_context(site.connect(running))
        await site.send_request(second, 'PUT', more=more)
        got = await site.read_answer(second)
        assert got.status == 503
        assert 'retry-after' in got.headers
        answer = await site.call(running)
        assert answer.status == 200


@pytest.mark.parametrize(
    ('method', 'more'),
    [('GET', ''), ('PUT', 'Content-Length: 9\r\n')],
    ids=['answered', 'in its body'],
)
async def test_ended_connection_leaves_nothing_to_the_collector(method, more):
    """Guards against memory that only the garbage collector would free.

    It runs by the number of objects, so that few large requests of clients
    that come and go would fill the memory before it runs.
    """
    one = fake.FakeEndpoint(identity='i-1', scripts=[fake.answer()])
    async with site.run_site(one) as running:
        connections = running.gateway.client_connections
        gc.collect()
        gc.disable()
        try:
            async with site.connect(running) as stream:
                await site.send_request(stream, method, more=more)
                await running.until(lambda: len(connections) == 1)
                if method == 'GET':
                    await site.read_answer(stream)
                else:
                    await anyio.sleep(0.05)
                found = weakref.ref(next(iter(connections._open)))
            await running.until(lambda: found() is None)
        finally:
            gc.enable()
