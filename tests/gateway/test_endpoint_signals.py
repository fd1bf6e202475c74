"""Tests of the signals in endpoints' response headers."""

import time

import pytest

from marigoldramp.gateway import ages

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
    monkeypatch.setattr(ages, 'read_clock', gateway_clock.read)
    return gateway_clock


@pytest.fixture
def lines(caplog):
    """Return a function that finds the fields of log lines by message."""
    caplog.set_level('INFO')

    def find(message):
        return [
            record.fields
            for record in caplog.records
            if record.getMessage() == message
        ]

    return find


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
        endpoint = running.running.table.find('i-1')
        left = endpoint.backoff_until - ages.read_clock()
    assert 0.0 < left <= 2.5
    fields = lines('endpoint asked for backoff')[0]
    assert fields == {'request': 'a7', 'endpoint': 'i-1', 'seconds': 2.5}


DECLINED = fake.decline(more=NOT_RUN + 'Retry-After: 60\r\n')
FAILED = fake.answer(b'', 503, more='Retry-After: 60\r\n')
#: Maximum number of requests from one entry to an endpoint in backoff, counted
#: from half a second after the response that asked for the backoff.
MOST_SENDS = 2


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
        assert sends <= MOST_SENDS
        clock.offset += 60.0
        for _ in range(32):
            await site.call(running, 'POST', body=b'x')
        assert len(unavailable.seen) > sends_before + sends
