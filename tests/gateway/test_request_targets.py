"""Tests of request targets and of drawn requests on a caller's connection."""

import os
import random

import loop_guard
import pytest

from marigoldramp.gateway import request_targets
from marigoldramp.gateway import routes

from . import fake_endpoint as fake
from . import site

pytestmark = pytest.mark.anyio
#: Requests that are drawn in CI, and by hand.
DRAWN_REQUESTS = 300
DRAWN_BY_HAND = 10000


@pytest.mark.parametrize(
    ('method', 'target', 'expected'),
    [
        (b'GET', b'/a/b?c', (b'/a/b?c', b'')),
        (b'GET', b'http://one.example/a?b', (b'/a?b', b'one.example')),
        (b'GET', b'HTTPS://one.example:80', (b'/', b'one.example:80')),
        (b'GET', b'http://one.example?b', (b'/?b', b'one.example')),
        (b'OPTIONS', b'*', (b'*', b'')),
        (b'GET', b'*', None),
        (b'GET', b'a/b', None),
        (b'GET', b'ftp://one.example/', None),
        (b'GET', b'http:///a', None),
        (b'GET', b'http://user@one.example/', None),
        (b'CONNECT', b'one.example:80', None),
        (b'CONNECT', b'/a', None),
    ],
)
def test_each_form_of_a_target_is_read_or_refused(method, target, expected):
    if expected is None:
        with pytest.raises(ValueError):
            request_targets.parse_target(method=method, target=target)
        return
    found = request_targets.parse_target(method=method, target=target)
    assert (found.resource, found.host) == expected


@pytest.mark.parametrize(
    'path', ['', '*', 'a', 'a/', 'http://h/', 'notes/', '/', '//', '/notes']
)
def test_search_for_a_route_ends_for_any_path(path):
    """Guards against a process that searches for a route for ever."""
    table = routes.RouteTable(routes=site.make_configuration().routes)
    with loop_guard.fail_if_stuck(5.0):
        assert table.find(host='notes.example', path=path) is None


@pytest.mark.parametrize(
    ('line', 'status', 'seen'),
    [
        (b'GET http://notes.example/notes/a?b', 200, '/notes/a?b'),
        (b'GET http://other.example/notes/a', 404, None),
        (b'OPTIONS *', 404, None),
        (b'GET *', 400, None),
        (b'GET notes/', 400, None),
        (b'CONNECT notes.example:80', 400, None),
    ],
)
async def test_every_target_gets_an_answer(line, status, seen):
    """Guards against a target that hangs the process, or gets no answer."""
    one = fake.FakeEndpoint(identity='i-1', scripts=[fake.answer()] * 3)
    with loop_guard.fail_if_stuck():
        async with site.run_site(one) as running:
            async with site.connect(running) as stream:
                await stream.send(
                    line + b' HTTP/1.1\r\nHost: notes.example\r\n\r\n'
                )
                got = await site.read_answer(stream)
    assert got.status == status
    assert [request.target for request in one.seen] == (
        [] if seen is None else [seen]
    )


async def test_host_of_the_target_replaces_that_of_the_header():
    one = fake.FakeEndpoint(identity='i-1', scripts=[fake.answer()])
    async with site.run_site(one) as running:
        async with site.connect(running) as stream:
            await stream.send(
                b'GET http://notes.example/notes/ HTTP/1.1\r\n'
                b'Host: other.example\r\n\r\n'
            )
            got = await site.read_answer(stream)
    assert got.status == 200
    assert one.seen[0].headers['host'] == 'notes.example'


METHODS = (b'GET', b'POST', b'OPTIONS', b'CONNECT', b'HEAD', b'X', b'')
PIECES = (
    *(b'/', b'*', b'notes', b'http://', b'notes.example', b'?', b'#', b':'),
    *(b'%', b'%2F', b'..', b'\xff', b'\x80', b'[', b'@', b'9' * 5000, b' '),
)
HEADERS = (
    *(b'Host', b'Content-Length', b'Transfer-Encoding', b'Time-Budget-Ms'),
    *(b'Attempt-Id', b'Authorization', b'Last-Event-Id', b'Token-Counts'),
    *(b'Prompt-Prefix', b'Expect', b'Connection', b'Upgrade', b'Length-Hint'),
)
VALUES = (
    *(b'', b'0', b'-1', b'1e309', b'nan', b'9' * 400, b'9' * 5000, b'chunked'),
    *(b'100-continue', b'close', b'Bearer x', b'a:1,b:2', b'\xff\xfe', b',,'),
    *(b'notes.example', b'1460,80', b'0x10', b'1_0', b'\xb2', b'keep-alive'),
)


def draw_request(draw):
    """Return the bytes of a request that a caller may send."""
    target = b''.join(draw.choices(PIECES, k=draw.randint(0, 4)))
    lines = [draw.choice(METHODS) + b' ' + target + b' HTTP/1.1']
    if draw.random() < 0.9:
        lines.append(b'Host: notes.example')
    for _ in range(draw.randint(0, 4)):
        lines.append(draw.choice(HEADERS) + b': ' + draw.choice(VALUES))
    body = draw.choice((b'', b'x', b'5\r\nhello\r\n0\r\n\r\n', b'\x00' * 50))
    return b'\r\n'.join((*lines, b'', body))


async def test_drawn_requests_are_answered_and_leave_the_process_well():
    """Guards against a request that hangs or ends a process."""
    by_hand = os.environ.get('HYPOTHESIS_PROFILE') == 'long'
    count = DRAWN_BY_HAND if by_hand else DRAWN_REQUESTS
    draw = random.Random(59)
    config = site.make_configuration(head_bytes=16384, head_seconds=0.05)
    scripts = [fake.answer()] * (count + 1)
    one = fake.FakeEndpoint(identity='i-1', scripts=scripts)
    unanswered = []
    with loop_guard.fail_if_stuck(30.0 + count / 20.0):
        async with site.run_site(one, configuration=config) as running:
            for _ in range(count):
                request = draw_request(draw)
                async with site.connect(running) as stream:
                    await stream.send(request)
                    got = await site.read_answer(stream)
                if not got.status or got.status == 500:
                    unanswered.append((got.status, request))
            async with site.connect(running) as stream:
                await stream.send(
                    b'GET /notes/ HTTP/1.1\r\nHost: notes.example\r\n\r\n'
                )
                last = await site.read_answer(stream)
    assert last.status == 200
    assert not unanswered
