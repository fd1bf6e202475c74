"""Tests of endpoints that send bytes without end."""

import anyio
import pytest

from marigoldramp.gateway import attempts
from marigoldramp.gateway import event_frames
from marigoldramp.gateway import outbound

from . import fake_endpoint as fake
from . import site

pytestmark = pytest.mark.anyio
PIECE = b'x' * 65536
#: Bytes that one answer may have on the way beside what is kept of it.
MAX_IN_TRANSIT_BYTES = 8 * 1024 * 1024
CALLS = 10
STREAM = 'Content-Type: text/event-stream\r\n'
CHUNKED = 'Transfer-Encoding: chunked\r\n'


class EndlessScript:
    """Sends a head, and then one piece after the other.

    :ivar most_sent: bytes that were sent on one connection at the most.
    """

    def __init__(self, more, piece, *, has_head=True):
        self._more = more
        self._piece = piece
        self._has_head = has_head
        self.most_sent = 0

    async def __call__(self, stream, seen):
        sent = 0
        if self._has_head:
            await stream.send(
                f'{fake.head(seen, more=self._more)}\r\n'.encode()
            )
        while True:
            await stream.send(self._piece)
            sent += len(self._piece)
            self.most_sent = max(self.most_sent, sent)


SCRIPTS = {
    'body': ('', PIECE, True),
    'chunks': (CHUNKED, fake.chunk(PIECE), True),
    'event': (STREAM, PIECE, True),
    'chunked event': (STREAM + CHUNKED, fake.chunk(PIECE), True),
    'header': ('', PIECE, False),
    'status line': ('', b'HTTP/1.1 200 ' + PIECE, False),
    'interim': ('', b'HTTP/1.1 103 Early Hints\r\n\r\n' * 99, False),
}


@pytest.mark.parametrize('name', SCRIPTS)
async def test_answer_without_end_is_cut_off(name):
    """Guards against a process whose memory one endpoint fills."""
    more, piece, has_head = SCRIPTS[name]
    script = EndlessScript(more, piece, has_head=has_head)
    one = fake.FakeEndpoint(identity='i-1', scripts=[script])
    config = site.make_configuration(
        site.make_route(attempts=1, streams='event' in name, timeout=3.0)
    )
    statuses = []
    async with site.run_site(one, configuration=config) as running:

        async def call():
            statuses.append((await site.call(running)).status)

        async with anyio.create_task_group() as tasks:
            for _ in range(CALLS):
                tasks.start_soon(call)
        assert running.gateway.answer_bodies.held == 0
    assert set(statuses) <= {502, 503}
    assert script.most_sent <= attempts.MAX_ANSWER_BYTES + MAX_IN_TRANSIT_BYTES


async def test_reply_without_end_to_a_request_of_the_process_is_cut_off():
    """Guards against the same in reports of ranks and lists of peers."""
    script = EndlessScript('', PIECE)
    one = fake.FakeEndpoint(identity='i-1', scripts=[script])
    async with one.serve():
        found = await outbound.send_request(
            pool=outbound.Pool(max_idle=1),
            address=outbound.Address(host=fake.HOST, port=one.port),
            identity='i-1',
            method=b'GET',
            target=b'/',
            headers=[],
            body=b'',
            seconds=3.0,
        )
    assert isinstance(found, outbound.NoReply)
    assert script.most_sent <= outbound.MAX_REPLY_BYTES + MAX_IN_TRANSIT_BYTES


@pytest.mark.parametrize(
    ('identifier', 'last', 'expected'),
    [
        ('3', '2', True),
        ('2', '2', False),
        ('9' * 5000, '2', True),
        ('2', '9' * 5000, True),
    ],
)
def test_event_identifier_of_any_length_is_compared(
    identifier, last, expected
):
    """Guards against an identifier that ends the caller's connection."""
    found = event_frames.follows(identifier=identifier, last=last)
    assert found is expected
