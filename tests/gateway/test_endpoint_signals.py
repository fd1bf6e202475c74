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
    """Retry-After of a declined request must not be dropped."""
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
#: Requests that an endpoint may get from one entry between half a second
#: after it asked for a backoff and the end of the backoff.
MOST_SENDS = 2


@pytest.mark.parametrize('kind', ROUTES)
@pytest.mark.parametrize(
    'script', [DECLINED, FAILED], ids=['declined', 'failed']
)
async def test_endpoint_gets_no_requests_during_its_backoff(
    clock, lines, kind, script
):
    """An entry sends requests to an endpoint that has asked for a backoff."""
    one = Fake(identity='i-1', scripts=[script])
    two = Fake(identity='i-2', scripts=[fake.answer(b'ran')])
    config = site.make_configuration(ROUTES[kind]())
    async with site.run_site(one, two, configuration=config) as running:
        while not one.seen:
            await site.call(running, 'POST', body=b'x')
        clock.offset += 0.5
        before = len(one.seen)
        for _ in range(4):
            for _ in range(8):
                await site.call(running, 'POST', body=b'x')
            clock.offset += 10.0
        within = len(one.seen) - before
        assert len(lines('sent during backoff')) == within
        assert within <= MOST_SENDS
        clock.offset += 60.0
        while len(one.seen) == before:
            await site.call(running, 'POST', body=b'x')
