"""Tests of streams that are taken away from slow ranks.

The load that these stand for: one rank of a group computes many times slower
than the others, and each stream that it still runs makes the passes of all
other streams longer.
"""

import anyio
import pytest

from marigoldramp.gateway import ages

from . import fake_endpoint as fake
from . import site

pytestmark = pytest.mark.anyio
EVENTS = 6
#: Events that the slow endpoint streams before and after it is known as slow.
BEFORE = 2
PACE = 12.0


class SlowStream:
    """Endpoints of which the first that is asked streams slowly."""

    def __init__(self, count=3):
        self.known = anyio.Event()
        self.end = anyio.Event()
        self.fakes = [
            fake.FakeEndpoint(identity=f'i-{number}', scripts=[self.script])
            for number in range(count)
        ]
        self.left = False

    async def script(self, stream, seen):
        start = int(seen.headers.get('last-event-id', '0')) + 1
        if start > 1:
            return await fake.stream_events(start, EVENTS)(stream, seen)
        more = 'Content-Type: text/event-stream\r\n'
        more += 'Transfer-Encoding: chunked\r\n\r\n'
        await stream.send(fake.head(seen, more=more).encode())
        for number in range(1, EVENTS + 1):
            if number == BEFORE + 1:
                await self.known.wait()
            if number == EVENTS:
                await self.end.wait()
            await stream.send(fake.chunk(fake.event(number)))
        await stream.send(b'0\r\n\r\n')
        return True

    def find_slow(self):
        return next((one for one in self.fakes if one.seen), None)

    def list_sent(self):
        return [one.identity for one in self.fakes if one.seen]


async def run_stream(slow, running, *, prepare):
    """Return what a caller gets while its endpoint is found to be slow."""
    got = []

    async def call():
        got.append(await site.call(running, 'POST', body=b'x'))

    async with anyio.create_task_group() as tasks:
        tasks.start_soon(call)
        await running.until(slow.find_slow)
        await prepare(slow.find_slow().identity)
        slow.known.set()
        await anyio.sleep(0.1)
        slow.end.set()
    return got[0]


def make_configuration(**more):
    return site.make_configuration(site.RESUMED(**more))


def note_slow(running, identity):
    table = running.running.table
    table.find(identity).quality.note_pace(pace=PACE, now=ages.read_clock())


WHOLE = b''.join(fake.event(one) for one in range(1, EVENTS + 1))


async def test_stream_leaves_a_slow_rank(caplog):
    """Streams of a whole group pause for 0.7 s instead of 0.4.

    Sequence: a rank turns slow with four streams of its own; it gets no more,
    but those go on there for up to eight seconds.
    Cause: a rank was left by new requests only.
    """
    caplog.set_level('INFO')
    slow = SlowStream()
    config = make_configuration()
    async with site.run_site(*slow.fakes, configuration=config) as running:

        async def prepare(identity):
            note_slow(running, identity)

        got = await run_stream(slow, running, prepare=prepare)
        first = slow.find_slow()
        table = running.running.table
        await running.until(lambda: not any(one.own for one in table))
        assert not running.running.dispatcher.services()
    assert (got.status, got.body, got.whole) == (200, WHOLE, True)
    assert len(slow.list_sent()) == 2
    other = next(
        one
        for one in slow.fakes
        if one.seen
        and one.seen[0] is not None
        and 'last-event-id' in one.seen[0].headers
    )
    assert other is not first
    assert int(other.seen[0].headers['last-event-id']) == BEFORE + 1
    moved = [
        record.fields
        for record in caplog.records
        if record.message == 'stream moved'
    ]
    assert [line['to'] for line in moved] == [other.identity]


@pytest.mark.parametrize(
    'case', ['no room', 'not resumable', 'no attempts', 'half are slow']
)
async def test_stream_stays_where_it_is(case):
    """A stream is cut, or runs on too many endpoints.

    Sequence: its endpoint is slow, and it may not or cannot go on elsewhere.
    Cause: it was given up before there was a place for it.
    """
    slow = SlowStream()
    config = make_configuration()
    if case == 'not resumable':
        config = site.make_configuration(site.FORBIDDEN(streams=True))
    if case == 'no attempts':
        config = make_configuration(attempts=1)
    async with site.run_site(*slow.fakes, configuration=config) as running:
        table = running.running.table

        async def prepare(identity):
            for one in slow.fakes:
                if one.identity == identity or case == 'half are slow':
                    note_slow(running, one.identity)
                elif case == 'no room':
                    table.find(one.identity).elsewhere = 9

        got = await run_stream(slow, running, prepare=prepare)
        await running.until(lambda: not any(one.own for one in table))
        assert not running.running.dispatcher.services()
    assert (got.status, got.body, got.whole) == (200, WHOLE, True)
    assert len(slow.list_sent()) == 1


async def test_caller_that_leaves_frees_the_place():
    """A place is held for ever.

    Sequence: a stream waits for a place elsewhere, or has just been given
    one, and its caller leaves.
    Cause: only streams that moved gave theirs back.
    """
    slow = SlowStream()
    config = make_configuration()
    async with site.run_site(*slow.fakes, configuration=config) as running:
        table = running.running.table
        async with site.connect(running) as stream:
            await site.send_request(stream, 'POST', body=b'x')
            await running.until(slow.find_slow)
            identity = slow.find_slow().identity
            for one in slow.fakes:
                table.find(one.identity).elsewhere = 9
            note_slow(running, identity)
            slow.known.set()
            dispatcher = running.running.dispatcher
            await running.until(lambda: dispatcher.waiting('notes'))
        await running.until(lambda: not dispatcher.waiting('notes'))
        assert not any(one.own for one in table)
