"""Tests of what entries tell each other of endpoints."""

import msgspec
import pytest

from . import fake_endpoint as fake
from . import site

pytestmark = pytest.mark.anyio


def slow_down(quality, now):
    quality.note_pace(pace=1.6, now=now)


def break_request(quality, now):
    quality.note_break(now=now)


def fail(quality, now):
    quality.note_error(now=now)


def stay_well(quality, now):
    quality.note_pace(pace=1.0, now=now)


@pytest.mark.parametrize(
    ('learn', 'slow', 'paces', 'is_slow_rank', 'is_slower'),
    [
        (stay_well, {}, {}, False, False),
        (slow_down, {}, {'i-1': 1.6}, True, False),
        (break_request, {'i-1': 2.5}, {}, False, True),
        (fail, {}, {}, False, False),
    ],
)
async def test_what_one_entry_learns_of_an_endpoint_others_know(
    learn, slow, paces, is_slow_rank, is_slower
):
    """Each entry learns for itself that an endpoint is bad.

    Each pays for it with a request of its own, and where a slow rank makes a
    whole group slow, one entry that still uses it is enough.
    """
    one = fake.FakeEndpoint(identity='i-1', scripts=[fake.answer()])
    async with site.run_site(one) as first:
        async with site.run_site(one, instance='entry-2') as second:
            process = first.gateway
            now = process._clock()
            learn(process.table.find('i-1').quality, now)
            process._reporter.forget()
            report = process._reporter.make(None)
            assert report.slow == pytest.approx(slow, rel=0.05)
            assert report.paces == paces
            other = second.gateway
            sent = msgspec.structs.replace(report, instance='entry-1')
            other._reporter.take(sent, frozenset())
            told = other.table.find('i-1').quality
            now = other._clock()
            assert told.is_slow_rank(now=now) is is_slow_rank
            assert (told.slowness(usual=0.02, now=now) > 2.0) is is_slower
            # What an entry was told it does not pass on as its own.
            other._reporter.forget()
            assert other._reporter.make(None).paces == {}
            assert other._reporter.make(None).slow == {}


async def test_passes_are_told_to_peers():
    one = fake.FakeEndpoint(identity='i-1', scripts=[fake.answer()])
    async with site.run_site(one) as first:
        async with site.run_site(one, instance='entry-2') as second:
            process = first.gateway
            process.dispatcher.limiter('notes').pass_times.note_local(0.12)
            process._reporter.forget()
            report = process._reporter.make(None, 0.1)
            assert report.passes == {'notes': 0.12}
            other = second.gateway
            other._reporter.take(
                msgspec.structs.replace(report, instance='entry-1'),
                frozenset(),
            )
            assert list(other.dispatcher.limited_services()) == ['notes']
            other._reporter.forget()
            assert other._reporter.make(None).passes == {}
