"""Tests of calls that their callers give up."""

import anyio
import fake_endpoint
import pytest

from marigoldramp import admission
from marigoldramp import agent_calls
from marigoldramp import asgi
from marigoldramp import bindings
from marigoldramp import clocks
from marigoldramp import endpoint_kinds
from marigoldramp import executions
from marigoldramp import executor
from marigoldramp import heads
from marigoldramp import messages
from marigoldramp import outcomes
from marigoldramp import problems

pytestmark = pytest.mark.anyio

KEY = b'k' * 32


class Kind:
    """An endpoint that begins an answer and never ends it."""

    def __init__(self):
        self.requests = []
        self.cancelled = 0

    async def exchange(self, *, request, sink, hand_over):
        assert await hand_over()
        self.requests.append(request)
        await sink.begin(200, [])
        await sink.append(b'first')
        try:
            await anyio.Event().wait()
        except anyio.get_cancelled_exc_class():
            self.cancelled += 1
            raise
        return endpoint_kinds.Whole()


class Agent:
    """An executor with one slot, and the HTTP side before it."""

    def __init__(self):
        self.kind = Kind()
        made = fake_endpoint.make_settings(slots=1, resume_seconds=1e6)
        self.executor = executor.Executor(
            settings=made,
            queue=admission.Queue(
                slots=1, bound=9, clock=lambda: 0.0, margin=0.0
            ),
            kind=self.kind,
            binder=bindings.Binder(fleet_key=KEY),
            incarnation=1,
            clock=lambda: 0.0,
            wall=lambda: 0.0,
        )
        self.heads = heads.Heads(fleet_key=KEY)
        self.calls = agent_calls.AgentCalls(
            identity=agent_calls.Identity(
                instance='agent', service='s', incarnation=1
            ),
            settings=made,
            executor=self.executor,
            heads=self.heads,
            offsets=clocks.Offsets(wall=lambda: 0.0),
            clock=lambda: 0.0,
        )

    async def attach(self, name, **rest):
        call = make_call(name, **rest)
        execution = await self.executor.attach(call)
        await anyio.wait_all_tasks_blocked()
        return call, execution

    async def settle(self, name):
        """Send what an entry sends whose caller has gone."""
        sealed = self.heads.encode_call(make_head(name, settle=True))
        sent = []

        async def send(event):
            sent.append(event)

        async def receive():
            raise AssertionError('a settled call has no body')

        await self.calls.handle(
            {
                'method': 'POST',
                'path': '/',
                'raw_path': b'/',
                'query_string': b'',
                'headers': [(heads.CALL_HEADER, sealed)],
            },
            receive,
            send,
        )
        await anyio.wait_all_tasks_blocked()
        return problems.decode(sent[1]['body'])


def make_head(name, **rest):
    return messages.CallHead(
        call=name,
        attempt=rest.pop('attempt', 1),
        entry='entry',
        agent='agent',
        incarnation=1,
        customer='c',
        service='s',
        idempotent=True,
        priority=rest.pop('priority', 1),
        deadline_at=1e6,
        remaining=1e6,
        **rest,
    )


def make_call(name, **rest):
    return executor.Call(
        head=make_head(name, **rest),
        request=asgi.Request(method='POST', target=b'/', path='/', headers=[]),
        body=b'',
        deadline=1e6,
    )


@pytest.fixture
async def agent():
    made = Agent()
    async with anyio.create_task_group() as group:
        made.executor.start(group)
        yield made
        group.cancel_scope.cancel()


async def test_settled_call_ends_at_once(agent):
    """An engine works for seconds on what nobody reads.

    The caller goes; its entry closes its connection, which the agent takes
    for a lost one, and tells it besides.
    """
    call, execution = await agent.attach('a')
    refusal = await agent.settle('a')
    assert agent.kind.cancelled == 1
    assert refusal.reason is outcomes.Reason.CANCELLED
    assert isinstance(execution.refusal, outcomes.OutcomeUnknown)


async def test_settled_call_ends_with_its_last_reader(agent):
    """As above, but the closed connection is noticed after the message."""
    call, execution = await agent.attach('a')
    execution.readers += 1
    await agent.settle('a')
    assert not agent.kind.cancelled
    execution.readers -= 1
    agent.executor.detach(call, execution)
    await anyio.wait_all_tasks_blocked()
    assert agent.kind.cancelled == 1


async def test_caller_that_has_come_back_keeps_its_call(agent):
    """A resumed answer breaks off again.

    The caller resumes through another entry before the first one has told
    that it went, and that message comes late.
    """
    call, execution = await agent.attach('a')
    execution.readers += 1
    await agent.settle('a')
    again, same = await agent.attach('a', attempt=2)
    assert same is execution
    execution.readers -= 1
    agent.executor.detach(call, execution)
    await anyio.wait_all_tasks_blocked()
    assert not agent.kind.cancelled


async def test_settled_call_leaves_the_queue_unrun(agent):
    await agent.attach('a')
    _, waiting = await agent.attach('b')
    await agent.settle('b')
    assert waiting.state is executions.State.REFUSED
    assert isinstance(waiting.refusal, outcomes.NotRun)
    assert len(agent.kind.requests) == 1


async def test_settling_an_unknown_call_starts_nothing(agent):
    assert (await agent.settle('a')).reason is outcomes.Reason.CANCELLED
    assert not agent.kind.requests


@pytest.mark.parametrize('priority', [0, 1, 2])
async def test_priority_reaches_the_endpoint_kind(agent, priority):
    await agent.attach('a', priority=priority)
    assert agent.kind.requests[0].priority == priority
