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
