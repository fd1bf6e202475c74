"""Tests of which attempts an agent takes, and of what it says of others."""

import dataclasses

import matrix_caller
import matrix_clock
import pytest

from marigoldramp import connections
from marigoldramp import heads
from marigoldramp import messages
from marigoldramp import outcomes
from marigoldramp import problems
from marigoldramp_standins import site as site_module
from marigoldramp_standins import site_layout
from marigoldramp_standins import site_processes
from marigoldramp_standins import web

pytestmark = pytest.mark.anyio
R = outcomes.Reason
HEADS = heads.Heads(fleet_key=site_processes.FLEET_KEY)
FORGED = heads.Heads(fleet_key=b'the key of somebody else')
BODY = matrix_caller.write_order('call')


@pytest.fixture
def anyio_backend():
    return matrix_clock.BACKEND


def open_site(**changes):
    layout = site_layout.Layout(clock=matrix_clock.now, **changes)
    return site_module.open_site(layout)


def make_head(site, **changes):
    values = {
        'call': 'c1',
        'attempt': 1,
        'entry': 'entry-0',
        'agent': 'agent-0',
        'incarnation': site.agents[0].incarnation,
        'customer': 'tester',
        'service': site_layout.LEDGER,
        'idempotent': True,
        'priority': 1,
        'deadline_at': site.agents[0].wall() + 1.0,
        'remaining': 1.0,
        **changes,
    }
    return messages.CallHead(**values)


@dataclasses.dataclass(frozen=True)
class Reply:
    """An agent's answer: its sealed head if there is one, and its body."""

    head: messages.AnswerHead | None
    body: bytes
    refusal: outcomes.Refusal | None


async def attempt(site, head, *, with_heads=HEADS, extra=()):
    """Send an attempt to the first agent as an entry does."""
    port = site.agents[0].server.port
    opened = await connections.connect(host=web.HOST, port=port, seconds=5)
    sealed = [(heads.CALL_HEADER, with_heads.encode_call(head))]
    try:
        response = await opened.handle_async_request(
            connections.build(
                host=web.HOST,
                port=port,
                method='POST',
                target=b'/quotes/q',
                headers=[*(sealed if head else ()), *extra],
                body=BODY,
            )
        )
        body = await response.aread()
    finally:
        await opened.aclose()
    answered = dict(connections.lower(response.headers))
    value = answered.get(heads.ANSWER_HEADER, b'').decode()
    told = problems.decode(body)
    return Reply(HEADS.decode_answer(value) if value else None, body, told)


def count(site):
    return sum(one.runs.get('call', 0) for one in site.endpoints)


@pytest.mark.parametrize(
    'head, with_heads, reason',
    [
        (None, HEADS, R.UNAUTHENTICATED),
        ({}, FORGED, R.UNAUTHENTICATED),
        ({'agent': 'agent-1'}, HEADS, R.WRONG_INSTANCE),
        ({'service': site_layout.CHAT}, HEADS, R.WRONG_INSTANCE),
    ],
    ids=['no head', 'forged head', 'another agent', 'another service'],
)
async def test_attempt_that_is_not_for_this_agent(head, with_heads, reason):
    async with open_site() as site:
        made = None if head is None else make_head(site, **head)
        if made is None:
            reply = await attempt_without_head(site)
        else:
            reply = await attempt(site, made, with_heads=with_heads)
        assert isinstance(reply.refusal, outcomes.NotRun)
        assert reply.refusal.reason is reason
        assert reply.head is None, 'a stranger got a sealed head'
        assert count(site) == 0
        assert (await attempt(site, make_head(site))).head.outcome == 'answer'


async def attempt_without_head(site):
    port = site.agents[0].server.port
    ask = matrix_caller.Ask(path='/quotes/q', body=BODY)
    heard = await matrix_caller.send(ask, port)
    return Reply(None, b'', heard.refusal)


@pytest.mark.parametrize(
    'customer, reason',
    [('tester', None), ('bounded', R.BINDING_INVALID)],
)
async def test_key_of_another_customer_is_not_run(customer, reason):
    async with open_site() as site:
        key = matrix_caller.bind(site)
        head = make_head(site, idempotent=False, key=key, customer=customer)
        reply = await attempt(site, head)
        assert count(site) == (0 if reason else 1)
        assert reply.head.reason == (reason or '')


@pytest.mark.parametrize('keyed', [True, False])
async def test_attempt_that_lay_in_a_buffer_past_its_deadline(keyed):
    """A call began after its caller's time was up.

    Its bytes lay in a buffer; the duration in its head still looked whole.
    The point in time, corrected by the entry's clock, shows it.
    """
    async with open_site() as site:
        changes = {}
        if keyed:
            changes = {'idempotent': False, 'key': matrix_caller.bind(site)}
        late = make_head(
            site, deadline_at=site.agents[0].wall() - 0.1, **changes
        )
        reply = await attempt(site, late)
        assert reply.head.outcome == 'not_run'
        assert reply.head.reason == R.DEADLINE
        if keyed:
            # Its caller was told "not run": the key is barred for good.
            again = await attempt(site, make_head(site, **changes))
            assert again.head.outcome == 'not_run'
        assert count(site) == 0


async def test_wrong_clock_of_an_entry_is_corrected():
    """A call was refused, or ran late, as its entry's clock was wrong."""
    async with open_site() as site:
        agent = site.agents[0]
        for ahead, outcome in ((3600.0, 'answer'), (-3600.0, 'answer')):
            entry = f'entry {ahead}'
            agent.offsets.observe(instance=entry, sent_at=agent.wall() + ahead)
            head = make_head(
                site,
                call=entry,
                entry=entry,
                deadline_at=agent.wall() + ahead + 1.0,
            )
            assert (await attempt(site, head)).head.outcome == outcome


@pytest.mark.parametrize('used', [True, False])
async def test_settling_tells_or_bars(used):
    async with open_site() as site:
        key = matrix_caller.bind(site)
        head = make_head(site, idempotent=False, key=key)
        if used:
            await attempt(site, head)
        settled = await attempt(site, make_head(site, call='c2', **_of(head)))
        later = await attempt(site, head)
        outcome = 'answer' if used else 'not_run'
        assert settled.head.outcome == later.head.outcome == outcome
        assert count(site) == int(used)


def _of(head):
    return {'idempotent': False, 'key': head.key, 'settle': True}


@pytest.mark.parametrize(
    'age, kind, runs',
    [
        (0.0, 'answer', 1),
        (301.0, 'not_run', 0),
        (601.0, 'outcome_unknown', 0),
        (-31.0, 'not_run', 0),
    ],
)
async def test_age_of_a_key(age, kind, runs):
    """A key ran twice: its record had been dropped before its last use.

    Beyond half of the time for which records are kept a key begins no more,
    and beyond all of it nobody can say whether it ever did.
    """
    async with open_site() as site:
        agent = site.agents[0]
        key = agent.program.executor._binder.make(
            service=site_layout.LEDGER,
            customer='tester',
            agent='agent-0',
            incarnation=agent.incarnation,
            made_at=agent.wall() - age,
        )
        head = make_head(site, idempotent=False, key=key)
        assert (await attempt(site, head)).head.outcome == kind
        assert count(site) == runs


async def test_leaving_agent_still_answers_for_calls_that_it_knows():
    async with open_site() as site:
        agent = site.agents[0].program
        used, unused = matrix_caller.bind(site), matrix_caller.bind(site)
        known = make_head(site, idempotent=False, key=used)
        first = await attempt(site, known)
        agent.calls.close()
        again = await attempt(site, known)
        new = await attempt(
            site, make_head(site, idempotent=False, key=unused)
        )
        assert again.body == first.body
        assert new.head.reason == R.LEAVING
        assert count(site) == 1


@pytest.mark.parametrize(
    'offset, whole', [(0, True), (10, True), (9999, False)]
)
async def test_answer_goes_on_from_a_byte_or_says_that_it_cannot(
    offset, whole
):
    async with open_site() as site:
        first = await attempt(site, make_head(site))
        head = make_head(site, attempt=2, resume_from=offset)
        rest = await attempt(site, head)
        if whole:
            assert rest.body == first.body[offset:]
        else:
            assert rest.head.outcome == 'outcome_unknown'
            assert rest.head.reason == R.ANSWER_NOT_KEPT
        assert count(site) == 1


async def test_headers_between_processes_do_not_reach_the_endpoint():
    seen = []

    async def handle(exchange):
        seen.extend(exchange._headers)
        await exchange.answer(status=200)

    async with open_site(handle=handle) as site:
        await attempt(
            site,
            make_head(site),
            extra=[
                (b'authorization', b'Bearer secret'),
                (b'marigoldramp-customer', b'somebody else'),
                (b'x-own', b'kept'),
            ],
        )
    names = [name for name, _ in seen]
    assert b'authorization' not in names
    assert heads.CALL_HEADER not in names
    assert (b'x-own', b'kept') in seen
    assert [v for n, v in seen if n == b'marigoldramp-customer'] == [b'tester']
