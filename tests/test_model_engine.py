"""Tests of the endpoint kind for model engines."""

import contextlib

import anyio
import fake_endpoint
import hypothesis
from hypothesis import strategies
import msgspec
import pytest

from marigoldramp import endpoint_kinds
from marigoldramp_standins import answers
from marigoldramp_standins import engine as engine_standin
from marigoldramp_standins import web
from marigoldrampplug import model_engine

pytestmark = pytest.mark.anyio

WHOLE = endpoint_kinds.Whole()
CHAT = b'/v1/chat/completions'


def write_answer(words, stream='s/1'):
    """Return the events of a streamed answer, each as bytes."""
    events = [
        answers.encode_chunk(
            stream=stream,
            created=1,
            model='m',
            delta=answers.Delta(content=word),
        )
        for word in words
    ]
    return [*events, answers.STREAM_END]


EVENTS = write_answer([f'w{number}' for number in range(40)])
TEXT = b''.join(EVENTS)
FIRST = len(EVENTS[0])
MARK = len(TEXT) - len(answers.STREAM_END)


class FakeEngine:
    """Streams a text, cuts it where it is told, and resumes it.

    :ivar cuts: bytes of the text at which the next connections break.
    :ivar shift: bytes by which it goes on too late, or too early.
    :ivar rest: the text out of which it resumes; ``None`` if it forgot.
    """

    def __init__(self, *cuts, shift=0, rest=TEXT, name=b's/1', tidy=False):
        self.cuts = list(cuts)
        self.shift = shift
        self.rest = rest
        self.name = name
        self.tidy = tidy
        self.targets = []

    async def serve(self, stream):
        async with stream:
            request = await fake_endpoint.read_request(stream)
            if request is None:
                return
            self.targets.append(request.target)
            _, found, start = request.target.partition(b'/resume?from=')
            if not found:
                await self.answer(stream, TEXT, 0, b's/1')
            elif self.rest is None:
                await stream.send(
                    b'HTTP/1.1 404 No\r\ncontent-length: 0\r\n\r\n'
                )
            else:
                start = max(0, int(start) + self.shift)
                await self.answer(stream, self.rest, start, self.name)

    async def answer(self, stream, text, start, name):
        cut = self.cuts.pop(0) if self.cuts else None
        sent = text[start:cut]
        await stream.send(
            b'HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n'
            b'x-stream-id: %b\r\ntransfer-encoding: chunked\r\n\r\n' % name
        )
        if sent:
            await stream.send(b'%x\r\n%b\r\n' % (len(sent), sent))
        if cut is None or self.tidy:
            await stream.send(b'0\r\n\r\n')


async def ask(engine):
    """Return the result and the sink of one stream."""
    sink = fake_endpoint.Sink()
    async with fake_endpoint.listening(engine.serve) as address:
        kind = fake_endpoint.make_kind('model_engine', address)
        result = await fake_endpoint.exchange(kind, sink, target=CHAT)
    return result, sink


CUTS = {
    'after the first event': [FIRST],
    'inside an event': [FIRST + 7],
    'between two events': [sum(map(len, EVENTS[:9]))],
    'before the end mark': [MARK],
    'inside the end mark': [MARK + 9],
    'before the last line ends': [len(TEXT) - 1],
    'after the end mark': [len(TEXT)],
    'again and again': [FIRST, FIRST + 1, 2 * FIRST, 3000, 5000, MARK + 3],
}


@pytest.mark.parametrize('tidy', [False, True])
@pytest.mark.parametrize('cuts', CUTS.values(), ids=CUTS)
async def test_cut_stream_comes_whole(cuts, tidy):
    """A caller gets half of its answer and an error.

    The connection between the agent and the engine breaks in mid-stream,
    or ends in good order, while the engine still has the whole answer.
    """
    engine = FakeEngine(*cuts, tidy=tidy)
    result, sink = await ask(engine)
    assert result == WHOLE
    assert sink.body == TEXT
    assert engine.targets[0] == CHAT
    for target in engine.targets[1:]:
        assert target.startswith(b'/v1/streams/s%2F1/resume?from=')


@pytest.mark.parametrize('cut', [0, 1, FIRST - 1])
async def test_stream_cut_in_its_first_event_is_left_untouched(cut):
    """A caller gets an error where its call could be tried elsewhere.

    Before the first event is whole nothing tells this stream from another
    one, so it is not resumed; nothing may have been passed on either.
    """
    engine = FakeEngine(cut)
    result, sink = await ask(engine)
    assert isinstance(result, endpoint_kinds.Broken)
    assert engine.targets == [CHAT]
    assert (sink.status, sink.body) == (0, b'')


OTHER = b''.join(write_answer([f'v{number}' for number in range(40)]))


@pytest.mark.parametrize(
    ('fault', 'detail'),
    [
        ({'rest': None}, 'no longer has the stream'),
        ({'name': b's/2'}, 'no longer has the stream'),
        ({'rest': OTHER}, 'resumed another text'),
        ({'shift': 1}, 'resumed another text'),
        ({'shift': -1}, 'resumed another text'),
        ({'shift': 2 * FIRST}, 'resumed another text'),
        ({'shift': -len(TEXT)}, 'resumed another text'),
        ({'shift': len(TEXT)}, 'without its end mark'),
    ],
    ids=[
        'forgotten',
        'other identifier',
        'other text',
        'too late',
        'too early',
        'events too late',
        'from the start',
        'past the end',
    ],
)
async def test_wrong_rest_is_not_passed_on(fault, detail):
    """A caller gets a stranger's words, or some twice, or none.

    After a cut the engine has forgotten the stream, resumes it at the wrong
    byte, or has restarted and given its identifier to another stream.
    """
    cut = 4000
    result, sink = await ask(FakeEngine(cut, **fault))
    assert isinstance(result, endpoint_kinds.Broken)
    assert detail in result.detail
    assert sink.body == TEXT[:cut]


@hypothesis.given(
    cuts=strategies.lists(strategies.integers(0, len(TEXT)), max_size=4),
    shift=strategies.integers(-3000, 3000) | strategies.just(0),
)
async def test_answer_is_exact_or_explicitly_broken(cuts, shift):
    result, sink = await ask(FakeEngine(*sorted(cuts), shift=shift))
    assert TEXT.startswith(sink.body)
    if result == WHOLE:
        assert sink.body == TEXT
    else:
        assert isinstance(result, endpoint_kinds.Broken)
    if not shift and (not cuts or min(cuts) >= FIRST):
        assert result == WHOLE


async def test_tries_are_bounded(monkeypatch):
    monkeypatch.setattr(model_engine, 'RESUME_PAUSE', 0.0)
    engine = FakeEngine(*[FIRST] * 100)
    result, sink = await ask(engine)
    assert isinstance(result, endpoint_kinds.Broken)
    assert len(engine.targets) == 1 + model_engine.MOST_FRUITLESS
    assert sink.body == TEXT[:FIRST]


@pytest.mark.parametrize('own', [b'x-priority', b'priority'])
async def test_priority_is_the_calls_own(own):
    """A customer overtakes all others by a header.

    The engine honours a priority; a caller sends that header itself.
    """
    reply = fake_endpoint.Reply(
        sent=b'HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n'
    )
    endpoint = fake_endpoint.Endpoint(reply)
    async with fake_endpoint.listening(endpoint.serve) as address:
        await fake_endpoint.exchange(
            fake_endpoint.make_kind('model_engine', address),
            fake_endpoint.Sink(),
            headers=[(own, b'0')],
            priority=2,
        )
    (request,) = endpoint.requests
    assert request.values(b'x-priority') == [b'2']
    assert request.values(b'priority') == []


# Against the engine stand-in


@contextlib.asynccontextmanager
async def standing_in(**rest):
    """Serve a stand-in that keeps its streams; its loop is run by hand."""
    server = engine_standin.make_server(
        models=('m',), resume_seconds=1000.0, **rest
    )
    async with web.serve(handle=server.handle) as address:
        yield server.engine, fake_endpoint.make_kind('model_engine', address)


def make_body(tokens):
    message = answers.Message(role='user', content='hello')
    return msgspec.json.encode(
        answers.ChatRequest(
            model='m', messages=(message,), max_tokens=tokens, stream=True
        )
    )


async def test_stand_in_runs_a_resumed_stream_once():
    async with standing_in() as (engine, kind):
        engine.faults.cut_streams = 1
        sink = fake_endpoint.Sink()
        async with anyio.create_task_group() as group:
            group.start_soon(engine.run)
            result = await fake_endpoint.exchange(
                kind, sink, target=CHAT, body=make_body(30)
            )
            group.cancel_scope.cancel()
        assert result == WHOLE
        assert answers.read_stream(sink.body).endswith('/30]')
        assert engine.runs['call-1'].started == 1


async def test_cancelled_call_ends_at_the_engine():
    """An engine generates to the end what nobody reads.

    It keeps streams for readers that come back, so a closed connection
    alone does not stop it.
    """
    async with standing_in() as (engine, kind):
        sink = fake_endpoint.Sink()
        async with anyio.create_task_group() as group:

            async def ask_engine():
                await fake_endpoint.exchange(
                    kind, sink, target=CHAT, body=make_body(1000)
                )

            group.start_soon(ask_engine)
            while not engine.waiting:
                await anyio.sleep(0)
            while not sink.body:
                engine.begin()
                engine.finish()
                await anyio.sleep(0)
            group.cancel_scope.cancel()
        assert not engine.running


async def test_watching_tells_of_the_cache():
    async with standing_in() as (engine, kind):
        changes, changed = [], anyio.Event()

        def note(change):
            changes.append(change)
            changed.set()

        kind.on_cache_change = note
        request = answers.ChatRequest(
            model='m',
            messages=(answers.Message(role='user', content='x' * 1000),),
        )
        body = msgspec.json.encode(request)
        async with anyio.create_task_group() as group:
            group.start_soon(engine.run)
            group.start_soon(kind.watch)
            result = await fake_endpoint.exchange(
                kind, fake_endpoint.Sink(), target=CHAT, body=body
            )
            await changed.wait()
            group.cancel_scope.cancel()
        assert result == WHOLE
        assert [one.stored for one in changes] == [kind.chain(body)]
