"""Tests of calls whose agent sends nothing for a while."""

import types

import anyio
import fake_endpoint
import httpcore
import pytest

from marigoldramp import admitted_calls
from marigoldramp import asgi
from marigoldramp import bundle
from marigoldramp import callers
from marigoldramp import connections
from marigoldramp import deliveries
from marigoldramp import heads
from marigoldramp import membership
from marigoldramp import messages
from marigoldramp import outcomes
from marigoldramp import resumes
from marigoldramp import retries
from marigoldramp import routing

pytestmark = pytest.mark.anyio

KEY = b'k' * 32
HEADS = heads.Heads(fleet_key=KEY)


class SlowAgent:
    """Answers a call over its second connection only."""

    def __init__(self):
        self.attempts = []

    async def serve(self, stream):
        async with stream:
            request = await fake_endpoint.read_request(stream)
            if request is None:
                return
            (sealed,) = request.values(heads.CALL_HEADER)
            head = HEADS.decode_call(sealed.decode())
            self.attempts.append(head.attempt)
            if head.attempt == 1:
                await anyio.Event().wait()
            answer = HEADS.encode_answer(
                messages.AnswerHead(
                    call=head.call,
                    attempt=head.attempt,
                    outcome=messages.OutcomeKind.ANSWER,
                )
            )
            await stream.send(
                b'HTTP/1.1 200 OK\r\n%b: %b\r\ncontent-length: 4\r\n\r\nabcd'
                % (heads.ANSWER_HEADER, answer)
            )


class Members:
    """Sees every peer in one state."""

    def __init__(self, state):
        self.state = state

    def find(self, instance):
        return types.SimpleNamespace(state=self.state)

    def suspect(self, instance):
        pass


class Router:
    def sent(self, **rest):
        pass

    def ended(self, **rest):
        pass


def make_delivery(address, state, sent):
    origin = httpcore.URL(address)
    pool = connections.Pool(
        host=origin.host.decode(), port=origin.port, most_idle=1
    )

    async def send(event):
        sent.append(event)

    route = bundle.Route(method='POST', path='/', service='s')
    return deliveries.Delivery(
        tools=deliveries.Tools(
            instance='entry',
            router=Router(),
            members=Members(state),
            heads=HEADS,
            resumes=resumes.Resumes(fleet_key=KEY),
            find_pool=lambda candidate: pool,
            clock=lambda: 0.0,
            wall=lambda: 0.0,
            silence=0.05,
        ),
        admitted=admitted_calls.Admitted(
            call='call',
            customer=bundle.Customer(
                name='c', key_digests=(), services=('s',)
            ),
            service=bundle.Service(name='s', kind='plain_service'),
            route=route,
            wishes=callers.Wishes(
                seconds=9.0,
                priority=bundle.Priority.NORMAL,
                key='',
                first=True,
                resume='',
                resume_from=0,
            ),
            facts=routing.CallFacts(
                call='call', service='s', customer='c', priority=1, remaining=9
            ),
            request=asgi.Request(
                method='POST', target=b'/', path='/', headers=[]
            ),
            body=b'',
            deadline=9.0,
            bundle_number=1,
        ),
        send=send,
        budget=retries.Budget(share=0.0, clock=lambda: 0.0),
    )


State = membership.State


@pytest.mark.parametrize(
    ('state', 'waits'),
    [
        (State.ALIVE, True),
        (State.SILENT, True),
        (State.SUSPECT, True),
        (State.UNREACHABLE, False),
        (State.DEAD, False),
    ],
)
async def test_call_stays_with_an_agent_that_is_likely_at_work(state, waits):
    """Calls under load end in lost connections though all endpoints work.

    Several calls of one agent are silent at once, as their engine is still
    at their prompts.  The first one has the agent verified; the others find
    it suspected for that moment and leave it.
    """
    agent, sent = SlowAgent(), []
    target = types.SimpleNamespace(instance='agent', incarnation=1)
    async with fake_endpoint.listening(agent.serve) as address:
        delivery = make_delivery(address, state, sent)
        refusal = await delivery.ask(target)
    if waits:
        assert refusal is None
        assert b''.join(one.get('body', b'') for one in sent) == b'abcd'
        assert agent.attempts == [1, 2]
    else:
        assert refusal.reason is outcomes.Reason.CONNECTION_LOST
        assert agent.attempts == [1]
