"""Bad input through the whole path, from a caller's bytes to its answer.

Each case has one clear answer that says whether anything ran, and another
caller's call is served while the bad one is open and after it.
"""

import contextlib
import dataclasses

import anyio
import matrix_caller
import matrix_cells
import matrix_clock
import matrix_fakes
import msgspec
import pytest

from marigoldramp import outcomes
from marigoldramp import problems
from marigoldramp import servers
from marigoldramp_standins import site as site_module
from marigoldramp_standins import site_layout
from marigoldramp_standins import web

pytestmark = pytest.mark.anyio
R = outcomes.Reason
BOUNDS = {
    'head_bytes': 2048,
    'body_bytes': 4096,
    'head_timeout': 0.2,
    'body_timeout': 0.2,
    'connections': 4,
}
BEARER = b'authorization: Bearer ' + site_layout.KEY.encode()
CHAT = '/v1/chat/completions'


@pytest.fixture
def anyio_backend():
    return matrix_clock.BACKEND


@contextlib.asynccontextmanager
async def open_site():
    """Give a site with tiny bounds; check that nobody else is harmed."""
    layout = site_layout.Layout(entry=BOUNDS, agents=1, clock=matrix_clock.now)
    async with site_module.open_site(layout) as site:
        yield site
        await check_unharmed(site)
        for entry in site.entries:
            assert all(taken.starts <= 1 for taken in entry.taken)


async def check_unharmed(site):
    for kind in ('idempotent', 'bound key'):
        ask = matrix_cells.make_ask(site, kind, f'other {kind}')
        heard = await matrix_caller.send(
            dataclasses.replace(ask, seconds=5.0), site.doors[0].port
        )
        assert isinstance(heard, matrix_caller.Whole)
        assert matrix_caller.is_own(ask, heard.body)


async def talk(port, *pieces):
    """Send bytes and return all that comes until the other side closes."""
    answer = b''
    async with await anyio.connect_tcp(web.HOST, port) as stream:
        for piece in pieces:
            await stream.send(piece)
        with contextlib.suppress(anyio.EndOfStream, anyio.BrokenResourceError):
            while True:
                answer += await stream.receive()
    return answer


def read_problem(answer):
    """Return status and problem of the one answer in some bytes."""
    head, _, body = answer.partition(b'\r\n\r\n')
    assert answer.count(b'HTTP/1.1 ') == 1
    assert b'content-type: ' + problems.CONTENT_TYPE in head.lower()
    problem = msgspec.json.decode(body, type=problems.Problem)
    assert int(head.split()[1]) == problem.status
    return problem


def ask(**changes):
    made = matrix_caller.Ask(
        path='/ledger/pay', body=matrix_caller.write_order('bad')
    )
    return dataclasses.replace(made, **changes)


def with_header(name, value):
    return ask(path='/quotes/q', more=((name, value),))


@pytest.mark.parametrize(
    'bad, status, reason',
    [
        (ask(body=b'x' * 5000), 413, R.BODY_TOO_LARGE),
        (ask(path='/nowhere'), 404, R.UNKNOWN_ROUTE),
        (ask(method='PATCH'), 404, R.UNKNOWN_ROUTE),
        (ask(path=CHAT, body=b'{"model": '), 400, R.MALFORMED),
        (ask(path=CHAT, body=b'\xff\xfe'), 400, R.MALFORMED),
        (ask(path=CHAT, body=b'{"model": 7}'), 400, R.MALFORMED),
        (ask(path=CHAT, body=b'{"model": "x"}'), 404, R.UNKNOWN_ROUTE),
        (ask(caller='nobody'), 401, R.UNKNOWN_KEY),
        (ask(caller='\xfc\xdf'), 401, R.UNKNOWN_KEY),
        (ask(key='mr1.forged'), 422, R.BINDING_INVALID),
        (ask(key='mr1.' + 'A' * 200), 422, R.BINDING_INVALID),
        (ask(key='k' * 600, first=True), 400, R.MALFORMED),
        (with_header(b'marigoldramp-deadline', b'soon'), 400, R.MALFORMED),
        (with_header(b'marigoldramp-deadline', b'-1'), 400, R.MALFORMED),
        (with_header(b'marigoldramp-deadline', b'nan'), 400, R.MALFORMED),
        (with_header(b'marigoldramp-deadline', b'inf'), 400, R.MALFORMED),
        (with_header(b'marigoldramp-priority', b'first'), 400, R.MALFORMED),
        (with_header(b'marigoldramp-resume-from', b'x'), 400, R.MALFORMED),
        (with_header(b'marigoldramp-resume', b'forged'), 400, R.MALFORMED),
    ],
)
async def test_bad_request_is_refused_and_runs_nothing(bad, status, reason):
    async with open_site() as site:
        if bad.more and bad.more[0][0] == b'marigoldramp-deadline':
            heard = await send_without_deadline(bad, site)
        else:
            heard = await matrix_caller.send(bad, site.doors[0].port)
        assert isinstance(heard.refusal, outcomes.NotRun)
        assert heard.refusal.reason is reason
        assert problem_status(heard) == status
        assert not any(one.runs for one in site.endpoints)


async def test_malformed_repetition_of_a_key_is_not_called_unrun():
    """A call that ran was told "not run" when its caller repeated it with
    a header that could not be read."""
    async with open_site() as site:
        made = matrix_cells.make_ask(site, 'bound key', 'call')
        await matrix_caller.send(made, site.doors[0].port)
        bad = dataclasses.replace(
            made,
            first=False,
            more=((b'marigoldramp-priority', b'first'),),
        )
        heard = await matrix_caller.send(bad, site.doors[0].port)
        assert heard.refusal.reason is R.MALFORMED
        assert isinstance(heard.refusal, outcomes.OutcomeUnknown)


def problem_status(heard):
    return problems.describe(refusal=heard.refusal, call='').status


async def send_without_deadline(bad, site):
    lines = [
        b'POST /quotes/q HTTP/1.1',
        b'host: x',
        BEARER,
        b'%s: %s' % bad.more[0],
        b'connection: close',
        b'content-length: 0',
    ]
    raw = b'\r\n'.join(lines) + b'\r\n\r\n'
    problem = read_problem(await talk(site.doors[0].port, raw))
    refusal = problems.decode(msgspec.json.encode(problem))
    return matrix_caller.Refused(refusal=refusal)


def lines(*more, start=b'POST /ledger/pay HTTP/1.1'):
    return b'\r\n'.join([start, b'host: x', BEARER, *more]) + b'\r\n'


@pytest.mark.parametrize(
    'raw, status, reason',
    [
        (lines(), 408, R.BODY_TIMEOUT),
        (b'', 408, None),
        (lines(b'x: ' + b'y' * 3000), 431, R.HEAD_TOO_LARGE),
        (lines(b'content-length: 100') + b'\r\nhalf', 408, R.BODY_TIMEOUT),
        (
            lines(b'transfer-encoding: chunked') + b'\r\n5\r\nhalf',
            408,
            R.BODY_TIMEOUT,
        ),
        (lines(b'content-length: ten') + b'\r\n', 400, R.MALFORMED),
        (lines(b'no colon here') + b'\r\n', 400, R.MALFORMED),
        (lines(start=b'POST') + b'\r\n', 400, R.MALFORMED),
        (b'\x16\x03\x01\x02\x00\x01\x00\x01\xfc', 400, R.MALFORMED),
        (
            lines(b'transfer-encoding: chunked') + b'\r\nzz\r\n',
            400,
            R.MALFORMED,
        ),
        (
            lines(b'transfer-encoding: chunked', b'content-length: 5')
            + b'\r\n0\r\n\r\n',
            400,
            R.MALFORMED,
        ),
        (
            lines(b'host: y', b'connection: close') + b'\r\n',
            400,
            R.MALFORMED,
        ),
        (
            lines(b'content-length: 99000000000') + b'\r\n',
            413,
            R.BODY_TOO_LARGE,
        ),
    ],
    ids=[
        'half a head',
        'nothing',
        'long head',
        'half a body',
        'half a chunk',
        'length is no number',
        'no header',
        'no target',
        'TLS',
        'broken chunk',
        'two lengths',
        'two hosts',
        'very long body',
    ],
)
async def test_broken_bytes_are_refused_in_time(raw, status, reason):
    """A connection was held for ever by a caller that stopped half-way."""
    async with open_site() as site:
        port = site.doors[0].port
        answers = []

        async def send():
            answers.append(await talk(port, raw) if raw else b'')

        async with anyio.create_task_group() as group:
            group.start_soon(send)
            await check_unharmed(site)
        if reason is not None:
            problem = read_problem(answers[0])
            assert (problem.status, problem.reason) == (status, reason)
            assert problem.outcome == problems.NOT_RUN
        assert not any('bad' in one.runs for one in site.endpoints)


@pytest.mark.parametrize(
    'more, outcome',
    [
        ([], problems.NOT_RUN),
        ([b'idempotency-key: k'], problems.OUTCOME_UNKNOWN),
    ],
    ids=['no key', 'key'],
)
async def test_request_without_a_host_is_refused(more, outcome):
    raw = [b'POST /ledger/pay HTTP/1.1', BEARER, *more, b'connection: close']
    raw += [b'content-length: 0', b'', b'']
    async with open_site() as site:
        answer = await talk(site.doors[0].port, b'\r\n'.join(raw))
        problem = read_problem(answer)
        assert (problem.status, problem.reason) == (400, R.MALFORMED)
        assert problem.outcome == outcome


async def test_broken_body_with_a_key_is_not_called_unrun():
    """A call that ran was told "not run" when its caller's repetition of it
    broke off in its body."""
    async with open_site() as site:
        head = lines(b'transfer-encoding: chunked', b'idempotency-key: k')
        answer = await talk(site.doors[0].port, head + b'\r\nzz\r\n')
        assert read_problem(answer).outcome == problems.OUTCOME_UNKNOWN


async def test_body_that_ends_early_runs_nothing():
    """A call ran with a part of its body.

    Its caller's connection ended before the stated length had come.
    """
    async with open_site() as site:
        body = matrix_caller.write_order('bad')
        raw = lines(b'content-length: %d' % (len(body) + 1)) + b'\r\n' + body
        async with await anyio.connect_tcp(
            web.HOST, site.doors[0].port
        ) as stream:
            await stream.send(raw)
            await stream.send_eof()
            with contextlib.suppress(anyio.BrokenResourceError):
                with contextlib.suppress(anyio.EndOfStream):
                    while True:
                        await stream.receive()
        assert not any('bad' in one.runs for one in site.endpoints)


async def test_bytes_after_the_stated_length_are_not_of_the_call():
    """The rest of a body that was longer than stated was taken for a call,
    or its bytes were given to the endpoint."""
    async with open_site() as site:
        body = matrix_caller.write_order('bad')
        raw = lines(b'content-length: %d' % len(body)) + b'\r\n' + body
        answer = await talk(site.doors[0].port, raw + b'and more\r\n\r\n')
        assert answer.startswith(b'HTTP/1.1 200')
        assert [one.runs for one in site.endpoints] == [{'bad': 1}]


async def test_requests_sent_ahead_are_bounded():
    """Guards against an entry that requests sent ahead fill."""
    request = b'GET /none HTTP/1.1\r\nhost: a\r\n\r\n'
    async with open_site() as site:
        port = site.doors[0].port
        async with await anyio.connect_tcp('127.0.0.1', port) as stream:
            with anyio.fail_after(20.0):
                with pytest.raises(
                    (anyio.BrokenResourceError, anyio.EndOfStream)
                ):
                    await stream.send(request * 20 * servers.MOST_AHEAD)
                    while True:
                        await stream.receive()


async def test_too_many_connections_are_refused_each_with_an_answer():
    async with open_site() as site:
        port = site.doors[0].port
        async with contextlib.AsyncExitStack() as stack:
            for _ in range(BOUNDS['connections']):
                opened = await anyio.connect_tcp(web.HOST, port)
                await stack.enter_async_context(opened)
                await opened.send(b'POST ')
            problem = read_problem(await talk(port))
            assert problem.reason == R.QUEUE_FULL
            # Nothing was read, so it may be the repetition of what has run.
            assert problem.outcome == problems.OUTCOME_UNKNOWN
        for _ in range(matrix_cells.ROUNDS):
            await anyio.sleep(0)


@pytest.mark.parametrize('kind', ['bound key', 'idempotent'])
@pytest.mark.parametrize(
    'reply',
    [
        b'not HTTP at all',
        b'HTTP/1.1 200 OK\r\ncontent-length: 10\r\n\r\nhalf',
        b'HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\nzz\r\n',
        b'HTTP/1.1 200 OK\r\nx: ' + b'y' * 200_000 + b'\r\n\r\n',
        b'',
    ],
    ids=['no HTTP', 'half a body', 'broken chunk', 'long head', 'nothing'],
)
async def test_broken_answer_of_an_endpoint_is_an_unknown_outcome(kind, reply):
    async def serve(stream):
        if await matrix_fakes.read_request(stream):
            await stream.send(reply)

    async with open_site() as site:
        target = site.backs[0].target
        async with matrix_fakes.listen(serve) as port:
            site.backs[0].target = port
            bad = matrix_cells.make_ask(site, kind, 'bad')
            heard = await matrix_caller.send(bad, site.doors[0].port)
        site.backs[0].target = target
        if isinstance(heard, matrix_caller.Cut):
            # The head had gone; a body without its end says the same.
            assert kind == 'idempotent' and heard.headers
        else:
            assert isinstance(heard.refusal, outcomes.OutcomeUnknown)


async def test_long_answer_head_reaches_the_caller():
    """A head near the bound of the agent broke the entry's connection."""

    async def handle(exchange):
        await exchange.answer(status=200, headers=[(b'x', b'y' * 60_000)])

    layout = site_layout.Layout(
        agents=1, clock=matrix_clock.now, handle=handle
    )
    async with site_module.open_site(layout) as site:
        made = matrix_cells.make_ask(site, 'bound key', 'call')
        heard = await matrix_caller.send(made, site.doors[0].port)
    assert heard.headers[b'x'] == b'y' * 60_000
