"""Tests of the signals in endpoints' response headers."""

import time

import anyio
import pytest

from marigoldramp.gateway import boot_clock

from . import fake_endpoint as fake
from . import site

pytestmark = pytest.mark.anyio
Fake = fake.FakeEndpoint
ROUTES = {
    'idempotent': site.make_route,
    'non_idempotent': site.FORBIDDEN,
    'resumable': site.RESUMED,
}
NOT_RUN = 'Not-Executed: 1\r\n'


class Clock:
    """A boot-time clock that a test can advance."""

    def __init__(self):
        self.offset = 0.0

    def read(self):
        return time.clock_gettime(time.CLOCK_BOOTTIME) + self.offset


@pytest.fixture
def clock(monkeypatch):
    """Replace the gateway clock with one that the test can advance."""
    gateway_clock = Clock()
    monkeypatch.setattr(boot_clock, 'read_clock', gateway_clock.read)
    return gateway_clock


async def test_backoff_is_recorded_and_logged(lines):
    """Guards against dropping Retry-After of a declined request."""
    declining = Fake(
        identity='i-1',
        scripts=[fake.decline(more=NOT_RUN + 'Retry-After: 2.5\r\n')],
    )
    healthy = Fake(identity='i-2', scripts=[fake.answer()])
    async with site.run_site(declining, healthy) as running:
        while not declining.seen:
            await site.call(running, attempt='a7')
        endpoint = running.gateway.table.find('i-1')
        left = endpoint.backoff_until - boot_clock.read_clock()
    assert 0.0 < left <= 2.5
    fields = lines('endpoint asked for backoff')[0]
    assert fields == {'request': 'a7', 'endpoint': 'i-1', 'seconds': 2.5}


async def test_rate_limit_and_sends_under_it_are_logged(lines):
    """Guards against a limit of an endpoint that no line tells of."""
    limited = fake.answer(more='Server-Limit: 2.5\r\n')
    unlimited = fake.answer()
    scripts = [limited, limited, unlimited, unlimited]
    async with site.run_site(Fake(identity='i-1', scripts=scripts)) as running:
        for number in range(4):
            await site.call(running, attempt=f'a{number}')
    changes = [
        (one['request'], one['rate'], one['before'])
        for one in lines('rate limit of endpoint changed')
    ]
    assert changes == [('a0', 2.5, 0.0), ('a2', 0.0, 2.5)]
    sends = [one['request'] for one in lines('sent under rate limit')]
    assert sends == ['a1', 'a2']


DECLINED = fake.decline(more=NOT_RUN + 'Retry-After: 60\r\n')
FAILED = fake.answer(b'', 503, more='Retry-After: 60\r\n')
#: Maximum number of requests from one gateway to an endpoint in backoff,
#: counted from half a second after the response that asked for the backoff.
MAX_SENDS = 2


@pytest.mark.parametrize('route_kind', ROUTES)
@pytest.mark.parametrize(
    'script', [DECLINED, FAILED], ids=['declined', 'failed']
)
async def test_endpoint_gets_no_requests_during_its_backoff(
    clock, lines, route_kind, script
):
    """Guards against sending requests to an endpoint in backoff."""
    unavailable = Fake(identity='i-1', scripts=[script])
    healthy = Fake(identity='i-2', scripts=[fake.answer(b'ran')])
    config = site.make_configuration(ROUTES[route_kind]())
    async with site.run_site(
        unavailable, healthy, configuration=config
    ) as running:
        while not unavailable.seen:
            await site.call(running, 'POST', body=b'x')
        clock.offset += 0.5
        sends_before = len(unavailable.seen)
        for _ in range(4):
            for _ in range(8):
                await site.call(running, 'POST', body=b'x')
            clock.offset += 10.0
        sends = len(unavailable.seen) - sends_before
        assert len(lines('sent during backoff')) == sends
        assert sends <= MAX_SENDS
        clock.offset += 60.0
        for _ in range(32):
            await site.call(running, 'POST', body=b'x')
        assert len(unavailable.seen) > sends_before + sends


LEAVING = 'Server-Leaving: 1\r\n'
STREAM = 'Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n'


async def stream_and_hang(stream, seen):
    """Send the head and the first event of a stream, then stall."""
    head = fake.head(seen, more=LEAVING + STREAM)
    await stream.send(f'{head}\r\n'.encode() + fake.chunk(fake.event(1)))
    await stream.receive()


def relist_unchanged(presence, record):
    """Apply a list that does not show the endpoint as leaving."""
    presence.put_listed(record)


def lapse_and_relist(presence, record):
    """Remove the endpoint's record and write it again."""
    presence.note_unlisted(record.identity, revision=1)
    presence.put_written(record)


async def call_many(running, count=32):
    """Make calls in sequence.

    The default count makes it unlikely that load balancing alone skips an
    endpoint.
    """
    for _ in range(count):
        await site.call(running, 'POST', body=b'x')


@pytest.mark.parametrize(
    'relist',
    [None, relist_unchanged, lapse_and_relist],
    ids=['listed', 'relisted', 'lapsed'],
)
@pytest.mark.parametrize(
    'script',
    [
        fake.answer(more=LEAVING),
        fake.answer(b'bad', 500, more=LEAVING),
        fake.decline(more=NOT_RUN + LEAVING),
        stream_and_hang,
    ],
    ids=['answered', 'failed', 'declined', 'streaming'],
)
async def test_leaving_endpoint_gets_no_requests(script, relist):
    """Guards against sending requests to an endpoint that is shutting down."""
    leaving = Fake(identity='i-1', scripts=[script])
    healthy = Fake(identity='i-2', scripts=[fake.answer(b'ran')])
    config = site.make_configuration(site.RESUMED(attempts=1))
    async with (
        site.run_site(leaving, healthy, configuration=config) as running,
        anyio.create_task_group() as calls,
    ):
        record = site.make_record(leaving, born=5)
        presence = running.gateway.follower.presence
        presence.put_written(record)
        endpoint = running.gateway.table.find('i-1')
        while not leaving.seen:
            calls.start_soon(call_many, running, 1)
            await anyio.sleep(0.01)
        await running.until(lambda: endpoint.record.leaving)
        if relist is not None:
            relist(presence, record)
        sends_before = len(leaving.seen)
        await call_many(running)
        assert len(leaving.seen) == sends_before
        leaving.scripts = [fake.answer()]
        presence.put_written(site.make_record(leaving, born=6))
        await call_many(running)
        assert len(leaving.seen) > sends_before
        calls.cancel_scope.cancel()


@pytest.mark.parametrize(
    ('header', 'is_tripped'), [('Retry-After: 60\r\n', False), ('', True)]
)
async def test_only_declines_without_backoff_trip_the_breaker(
    header, is_tripped
):
    """Guards against holding requests back while endpoints are free."""
    declining = [
        Fake(identity=f'i-{n}', scripts=[fake.decline(more=NOT_RUN + header)])
        for n in range(4)
    ]
    config = site.make_configuration(site.FORBIDDEN(timeout=0.5))
    async with site.run_site(*declining, configuration=config) as running:
        breaker = running.gateway.dispatcher.circuit_breaker('notes')
        await site.call(running, 'POST', body=b'x')
        assert sum(bool(one.seen) for one in declining) >= 3
        assert breaker.is_tripped == is_tripped
