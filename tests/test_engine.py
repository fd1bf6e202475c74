"""Tests of the engine stand-in."""

import contextlib
import dataclasses
import random

import anyio
import httpcore
import hypothesis
from hypothesis import strategies
import msgspec
import pytest

from marigoldramp_standins import answers
from marigoldramp_standins import batching
from marigoldramp_standins import engine
from marigoldramp_standins import jobs
from marigoldramp_standins import load_reports
from marigoldramp_standins import orders
from marigoldramp_standins import prefixes
from marigoldramp_standins import web

pytestmark = pytest.mark.anyio


def make_request(content='hello', tokens=4, **rest):
    message = answers.Message(role='user', content=content)
    return answers.ChatRequest(
        model='m', messages=(message,), max_tokens=tokens, **rest
    )


def make_engine(capacity=100, now=None, **rest):
    clock = (lambda: now[0]) if now else (lambda: 0.0)
    log = prefixes.EventLog(clock=clock)
    return batching.Engine(
        cache=prefixes.PrefixCache(capacity=capacity, log=log),
        clock=clock,
        **rest,
    )


def step(core, count=1):
    for _ in range(count):
        core.begin()
        core.finish()


def submit(core, name='r', **rest):
    return core.submit(request=make_request(**rest), name=name)


def test_answers_are_their_own():
    texts = {answers.write_text(make_request(content=c)) for c in 'abc'}
    assert len(texts) == 3
    request = make_request(tokens=7)
    assert len(answers.write_words(request)) == 7
    assert answers.write_text(request) == answers.write_text(request)


def test_stream_reads_back_whole_and_only_whole():
    core = make_engine()
    job = submit(core)
    step(core, 4)
    assert job.state is jobs.State.DONE
    whole = bytes(job.written)
    assert answers.read_stream(whole) == ' '.join(job.words)
    assert answers.read_stream(whole[:-2]) is None
    assert answers.read_stream(b'data: {"error": {}}\n\n' + whole) is None


def test_batch_is_continuous_and_priority_goes_first():
    core = make_engine(slots=2)
    first = submit(core, tokens=2)
    long = submit(core, tokens=9)
    late = submit(core, tokens=2)
    step(core)
    urgent = submit(core, tokens=2, priority=0)
    step(core)
    assert first.has_ended() and not long.has_ended()
    step(core)
    assert urgent.state is jobs.State.RUNNING
    assert late.state is jobs.State.WAITING
    step(core, 3)
    assert late.has_ended() and long.produced == 6


def test_step_time_grows_with_the_batch_and_the_prompt():
    speed = batching.Speed(
        step=1.0, sequence=0.1, prompt_token=0.01, prompt_tokens=100
    )
    core = make_engine(speed=speed)
    assert core.begin() == 1.0
    core.finish()
    content = 'x' * 1000
    submit(core, content=content, tokens=2)
    # 251 tokens of prompt in three steps, the last of which gives a word.
    expected = [1.0 + 0.1 + tokens * 0.01 for tokens in (100, 100, 51, 0)]
    found = []
    for _ in expected:
        found.append(core.begin())
        core.finish()
    assert found == pytest.approx(expected)
    core.faults.slowdown = 3.0
    submit(core, content=content, tokens=2)
    # 3 of 3 whole blocks, 192 tokens, are cached now.
    assert core.begin() == pytest.approx(3 * (1.0 + 0.1 + 59 * 0.01))


def test_full_queue_refuses():
    core = make_engine(queue=1)
    assert submit(core)
    assert submit(core, name='second') is None
    assert 'second' not in core.runs


def test_runs_are_counted_by_name():
    core = make_engine(slots=1)
    submit(core)
    cancelled = submit(core)
    step(core, 4)
    core.cancel(job=cancelled)
    step(core, 4)
    assert core.runs == {'r': jobs.Run(received=2, started=1, finished=1)}


@pytest.mark.parametrize(
    ('resume_seconds', 'stream', 'passed', 'found'),
    [
        (0.0, True, 0.0, False),
        (5.0, True, 4.9, True),
        (5.0, True, 5.0, False),
        (5.0, False, 0.0, False),
    ],
)
@pytest.mark.parametrize('ended', [False, True])
def test_stream_without_reader(resume_seconds, stream, passed, found, ended):
    now = [100.0]
    core = make_engine(now=now, resume_seconds=resume_seconds)
    job = submit(core, stream=stream)
    core.attach(job=job)
    core.attach(job=job)
    step(core, 4 if ended else 2)
    core.detach(job=job)
    assert core.find(stream=job.stream) is job
    core.detach(job=job)
    now[0] += passed
    assert (core.find(stream=job.stream) is job) == found
    assert ended or (job in core.running) == found


@hypothesis.given(
    prompts=strategies.lists(
        strategies.text('ab', min_size=0, max_size=3), max_size=30
    ),
    capacity=strategies.integers(1, 6),
)
def test_events_tell_what_the_cache_holds(prompts, capacity):
    """A reader of all events knows the cache; it never exceeds its size."""
    log = prefixes.EventLog(clock=lambda: 0.0)
    cache = prefixes.PrefixCache(capacity=capacity, log=log)
    for prompt in prompts:
        text = b''.join(c.encode() * prefixes.BLOCK_BYTES for c in prompt)
        blocks = prefixes.hash_blocks(text)
        cache.store(blocks=blocks)
        held = set()
        for _, event in log._kept:
            held.update(event.stored)
            held.difference_update(event.evicted)
        assert len(held) <= capacity
        leading = cache.count_leading(blocks=blocks)
        assert leading == min(len(blocks), capacity)
        assert {digest.hex() for digest in blocks[:leading]} <= held


async def test_events_come_late_and_with_gaps():
    now = [0.0]
    log = prefixes.EventLog(
        lag=2.0,
        loss=0.5,
        clock=lambda: now[0],
        chance=random.Random(1),
    )
    for index in range(20):
        log.append(stored=(bytes([index]),), evicted=())
    early = await log.read(after=0, seconds=0)
    assert early == prefixes.CacheEvents(events=(), last=0)
    now[0] = 2.0
    found = await log.read(after=3, seconds=0)
    numbers = [event.seq for event in found.events]
    assert 0 < len(numbers) < 17 and numbers == sorted(numbers)
    assert numbers[0] > 3 and found.last == numbers[-1]


async def test_waiting_reader_of_events_is_woken():
    log = prefixes.EventLog(clock=lambda: 0.0)
    found = []

    async def read():
        found.append(await log.read(after=0, seconds=1000))

    async with anyio.create_task_group() as group:
        group.start_soon(read)
        await anyio.wait_all_tasks_blocked()
        log.append(stored=(b'\x01',), evicted=())
    assert found[0].events == (prefixes.CacheEvent(seq=1, stored=('01',)),)


def test_load_report_lags():
    now = [0.0]
    log = load_reports.LoadLog(lag=2.0, clock=lambda: now[0])
    for at, running in ((0.0, 1), (1.0, 2), (1.5, 3)):
        now[0] = at
        log.note(report=load_reports.LoadReport(running=running))
    shown = []
    for at in (1.9, 2.0, 3.4, 3.5):
        now[0] = at
        shown.append(log.read().running)
    assert shown == [0, 1, 2, 3]
    assert log.read().age == 2.0


@pytest.mark.parametrize('checks', [True, False])
def test_order_with_an_old_fencing_number(checks):
    book = orders.OrderBook(models=('m',), checks_fence=checks)
    kind = orders.OrderKind
    fences = [(kind.CHANGE_ROLE, 'prefill', 5), (kind.UNLOAD, 'm', 4)]
    replies = [
        book.take(order=orders.Order(kind=k, name=name, fence=fence))
        for k, name, fence in fences
    ]
    assert [reply.accepted for reply in replies] == [True, not checks]
    assert [reply.fence for reply in replies] == [5, 5]
    assert book.role == 'prefill'
    assert book.list_models() == (('m',) if checks else ())


def test_model_is_listed_once_it_is_loaded():
    now = [0.0]
    book = orders.OrderBook(load_seconds=3.0, clock=lambda: now[0])
    order = orders.Order(kind=orders.OrderKind.LOAD_ADAPTER, name='a', fence=1)
    book.take(order=order)
    assert book.list_models() == ()
    now[0] = 3.0
    assert book.list_models() == ('a',)


@dataclasses.dataclass
class Ends:
    server: engine.engine_api.EngineServer
    pool: httpcore.AsyncConnectionPool
    address: str

    async def ask(self, method, path, value=b'', headers=()):
        body = value if value == b'' else msgspec.json.encode(value)
        return await self.pool.request(
            method, self.address + path, content=body, headers=list(headers)
        )


@contextlib.asynccontextmanager
async def served(running=True, **rest):
    """Serve an engine; its loop runs as fast as it can, or not at all."""
    speed = batching.Speed(step=0.0, sequence=0.0, prompt_token=0.0)
    server = engine.make_server(models=('m',), speed=speed, **rest)
    async with (
        httpcore.AsyncConnectionPool() as pool,
        web.serve(handle=server.handle) as address,
        anyio.create_task_group() as group,
    ):
        if running:
            group.start_soon(server.engine.run)
        yield Ends(server=server, pool=pool, address=address)
        group.cancel_scope.cancel()


CHAT = '/v1/chat/completions'


@pytest.mark.parametrize('stream', [False, True])
async def test_completion_over_http(stream):
    async with served() as ends:
        request = make_request(stream=stream, tokens=20)
        found = await ends.ask(
            'POST', CHAT, request, [(b'x-request-id', b'call-1')]
        )
        assert found.status == 200
        if stream:
            text = answers.read_stream(found.content)
        else:
            whole = msgspec.json.decode(found.content, type=answers.Completion)
            text = whole.choices[0].message.content
            assert whole.usage.completion_tokens == 20
        assert text == answers.write_text(request)
        counted = await ends.ask('GET', '/standin/runs')
        assert msgspec.json.decode(counted.content) == {
            'runs': {'call-1': {'received': 1, 'started': 1, 'finished': 1}}
        }


@pytest.mark.parametrize(
    ('method', 'path', 'value', 'status'),
    [
        ('POST', CHAT, {'model': 'm'}, 400),
        ('POST', CHAT, {'model': 'x', 'messages': []}, 404),
        ('GET', '/v1/models', b'', 200),
        ('GET', '/load', b'', 200),
        ('GET', '/cache-events?after=0&seconds=0', b'', 200),
        ('POST', '/orders', {'kind': 'dance', 'name': 'x', 'fence': 1}, 400),
        ('POST', '/orders', {'kind': 'unload', 'name': 'm', 'fence': 1}, 200),
        ('POST', '/v1/streams/stream-9/resume?from=0', b'', 404),
        ('DELETE', '/v1/streams/stream-9', b'', 204),
        ('GET', '/standin/state', b'', 200),
        ('GET', '/nowhere', b'', 404),
    ],
)
async def test_status(method, path, value, status):
    async with served() as ends:
        found = await ends.ask(method, path, value)
        assert found.status == status


@pytest.mark.parametrize('stream', [False, True])
async def test_client_that_goes_cancels_its_job(stream):
    """An engine goes on with work that nobody reads.

    The client closes its connection before the answer is whole.  The engine
    must drop the job, here out of a queue that does not move.
    """
    async with served(running=False) as ends:
        core = ends.server.engine
        async with anyio.create_task_group() as group:
            request = make_request(stream=stream)
            group.start_soon(ends.ask, 'POST', CHAT, request)
            while not core.waiting:
                await anyio.sleep(0)
            group.cancel_scope.cancel()
        while core.waiting:
            await anyio.sleep(0)


async def test_cut_stream_is_resumed():
    """A stream breaks off in the middle.

    The connection is cut after half of the words; the reader asks for the
    rest by the stream's identifier and gets the missing bytes only.
    """
    async with served(resume_seconds=1000.0) as ends:
        ends.server.engine.faults.cut_streams = 1
        request = make_request(stream=True, tokens=40)
        got = b''
        with pytest.raises(httpcore.RemoteProtocolError):
            async with ends.pool.stream(
                'POST',
                ends.address + CHAT,
                content=msgspec.json.encode(request),
            ) as response:
                headers = dict(response.headers)
                async for chunk in response.aiter_stream():
                    got += chunk
        assert answers.read_stream(got) is None
        stream = headers[b'x-stream-id'].decode()
        path = f'/v1/streams/{stream}/resume?from={len(got)}'
        rest = await ends.ask('POST', path)
        text = answers.read_stream(got + rest.content)
        assert text == answers.write_text(request)
        (run,) = ends.server.engine.runs.values()
        assert run.started == 1


async def test_frozen_engine_goes_on_when_thawed():
    async with served() as ends:
        await ends.ask('POST', '/standin/faults', {'frozen': True})
        results = []

        async def complete():
            results.append(await ends.ask('POST', CHAT, make_request()))

        async with anyio.create_task_group() as group:
            group.start_soon(complete)
            while not ends.server.engine.waiting:
                await anyio.sleep(0)
            await ends.ask('POST', '/standin/faults', {'frozen': False})
        assert results[0].status == 200
