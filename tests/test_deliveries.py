"""Tests of what an entry tells its caller of attempts that went wrong."""

import matrix_caller
import matrix_cells
import matrix_clock
import matrix_fakes
import pytest

from marigoldramp import messages
from marigoldramp import outcomes
from marigoldramp_standins import site as site_module
from marigoldramp_standins import site_layout

pytestmark = pytest.mark.anyio
R = outcomes.Reason
NOT_RUN = messages.OutcomeKind.NOT_RUN
UNKNOWN = messages.OutcomeKind.OUTCOME_UNKNOWN


@pytest.fixture
def anyio_backend():
    return matrix_clock.BACKEND


def break_off(head):
    return None


def refuse(reason, outcome=NOT_RUN):
    def reply(head):
        sealed = matrix_fakes.seal(head, outcome, reason.value)
        return matrix_fakes.render(b'', [sealed], status=503)

    return reply


def answer(body=b'own', **changes):
    def reply(head):
        return matrix_fakes.render(body, [matrix_fakes.seal(head, **changes)])

    return reply


def answer_unsealed(head):
    return matrix_fakes.render(b'stray')


async def ask_fake(kind, *replies, agents=1, seconds=0.6, **changes):
    """Ask a site whose first agent is a fake; return what was heard."""
    layout = site_layout.Layout(
        agents=agents, entry={'silence': 0.1}, clock=matrix_clock.now
    )
    agent = matrix_fakes.FakeAgent(*replies)
    async with site_module.open_site(layout) as site:
        async with matrix_fakes.in_place_of(site, 0, agent):
            ask = matrix_cells.make_ask(site, kind, 'call')
            ask = matrix_caller.dataclasses.replace(
                ask, seconds=seconds, **changes
            )
            heard = await matrix_caller.send(ask, site.doors[0].port)
    return heard, agent


@pytest.mark.parametrize(
    'reason',
    [R.UNAUTHENTICATED, R.WRONG_INSTANCE, R.BODY_TIMEOUT, R.BODY_TOO_LARGE],
)
@pytest.mark.parametrize('kind', ['bound key', 'idempotent'])
async def test_refused_attempt_says_nothing_of_a_lost_one(kind, reason):
    """A call that ran was told "not run".

    The reply to the first attempt was lost; the second one was refused for
    its own fault, such as a body that stopped half-way.  The refusal was
    passed on as if it spoke for both attempts.
    """
    heard, agent = await ask_fake(kind, break_off, refuse(reason))
    assert heard.refusal == outcomes.OutcomeUnknown(reason=reason)
    assert [head.attempt for head in agent.heads] == [1, 2]


@pytest.mark.parametrize(
    'kind, reason',
    [
        ('bound key', R.QUEUE_FULL),
        ('bound key', R.DEADLINE),
        ('idempotent', R.QUEUE_FULL),
        ('idempotent', R.CANCELLED),
    ],
)
async def test_agent_speaks_for_all_attempts_that_it_was_sent(kind, reason):
    heard, _ = await ask_fake(kind, break_off, refuse(reason))
    assert isinstance(heard.refusal, outcomes.NotRun)
    assert heard.refusal.reason is reason


async def test_refusal_by_another_agent_does_not_speak_for_the_first():
    """A call that ran was told "not run".

    The first agent ran it and its replies were lost; the entry asked
    another agent, which was full and refused.
    """
    layout = site_layout.Layout(
        entry={'silence': 0.1}, clock=matrix_clock.now, agents=2
    )
    lost = matrix_fakes.FakeAgent(break_off)
    full = matrix_fakes.FakeAgent(refuse(R.QUEUE_FULL))
    async with site_module.open_site(layout) as site:
        async with (
            matrix_fakes.in_place_of(site, 0, lost),
            matrix_fakes.in_place_of(site, 1, full),
        ):
            ask = matrix_cells.make_ask(site, 'idempotent', 'call')
            heard = await matrix_caller.send(ask, site.doors[0].port)
    assert lost.heads and full.heads
    assert heard.refusal == outcomes.OutcomeUnknown(reason=R.QUEUE_FULL)


@pytest.mark.parametrize(
    'stray',
    [
        answer(b'stray', call='of somebody else'),
        answer(b'stray', attempt=7),
        answer_unsealed,
    ],
    ids=['another call', 'another attempt', 'no seal'],
)
async def test_answer_to_another_attempt_is_not_relayed(stray):
    """A caller got an answer that was not its own.

    An answer that belonged to an earlier attempt, or to another call,
    came over the connection on which the entry waited.
    """
    heard, agent = await ask_fake('idempotent', stray, answer())
    assert heard.body == b'own'
    assert len(agent.heads) == 2


async def test_second_answer_on_a_kept_connection_is_not_relayed():
    """A caller got the second answer to the call before.

    The agent answered twice on a connection that was kept; the next call on
    it read what was left over.
    """

    def answer_twice(head):
        return answer(b'first')(head) + answer(b'left over')(head)

    layout = site_layout.Layout(agents=1, clock=matrix_clock.now)
    agent = matrix_fakes.FakeAgent(answer_twice, answer())
    async with site_module.open_site(layout) as site:
        async with matrix_fakes.in_place_of(site, 0, agent):
            heard = []
            for name in ('one', 'two', 'three'):
                ask = matrix_cells.make_ask(site, 'idempotent', name)
                heard.append(await matrix_caller.send(ask, site.doors[0].port))
    assert [one.body for one in heard] == [b'first', b'own', b'own']


@pytest.mark.parametrize(
    'first, lost, expected',
    [
        (True, False, outcomes.NotRun),
        (True, True, outcomes.OutcomeUnknown),
        (False, False, outcomes.OutcomeUnknown),
    ],
)
async def test_key_of_a_gone_process(first, lost, expected):
    """A caller was told "outcome unknown" of a key it had never used.

    The agent had been started anew and its entries had not heard of it;
    the new process cannot have run the key, and no other was asked.
    """
    replies = [refuse(R.INCARNATION_GONE, UNKNOWN)]
    if lost:
        replies.insert(0, break_off)
    heard, _ = await ask_fake('bound key', *replies, first=first)
    assert isinstance(heard.refusal, expected)
    assert heard.refusal.reason is R.INCARNATION_GONE
