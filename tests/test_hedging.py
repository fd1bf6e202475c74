"""Tests of second attempts beside a first one that gives no answer."""

import functools

import anyio
import hypothesis
from hypothesis import strategies
import matrix_caller
import matrix_cells
import matrix_clock
import pytest

from marigoldramp import calls
from marigoldramp import hedging
from marigoldramp import outcomes
from marigoldramp import steps
from marigoldramp_measure import virtual
from marigoldramp_standins import site as site_module
from marigoldramp_standins import site_layout

R = outcomes.Reason
WORDS = ('start', 'one', 'two', 'end')


class Target:
    """An agent as a delivery names it."""

    def __init__(self, instance):
        self.instance = instance


class Delivery:
    """What a race needs of a delivery, with a script of what happens.

    :ivar scripts: for each fork, seconds before the answer's head, seconds
        between its parts, whether it ends in a refusal, and whether it does
        not notice for a while that it has been cancelled.
    """

    def __init__(self, *, scripts=(), send=None, budget=1, script=None):
        self.scripts = list(scripts)
        self.script = script
        self.send = send
        self.budget = budget
        self.forks = []
        self.maybe = False
        self.at_work = None
        self.answer = None
        self.given_up = False

    def fork(self, *, send):
        script = self.scripts[len(self.forks)]
        self.forks.append(Delivery(send=send, script=script))
        return self.forks[-1]

    def may_retry(self):
        self.budget -= 1
        return self.budget >= 0

    def soften(self, refusal):
        if self.maybe:
            return outcomes.OutcomeUnknown(reason=refusal.reason)
        return refusal

    async def give_up(self):
        self.given_up = True

    async def run(self, *, exclude=frozenset(), first=True):
        before, between, refuses, deaf = self.script
        self.at_work = Target(f'agent-{len(exclude)}')
        self.answer = self
        self.maybe = True
        with anyio.CancelScope(shield=deaf):
            await anyio.sleep(before)
        if refuses:
            self.maybe = False
            return outcomes.NotRun(reason=R.QUEUE_FULL)
        for word in WORDS:
            await self.send((self, word))
            await anyio.sleep(between)
        self.at_work = None
        return None


def race(*, scripts, after=1.0, budget=1):
    """Return the result, the parts that the caller got, and the delivery."""
    heard = []

    async def send(part):
        heard.append(part)

    async def main():
        delivery = Delivery(scripts=scripts, send=send, budget=budget)
        return (
            await hedging.deliver(delivery=delivery, after=after),
            delivery,
        )

    result, delivery = virtual.drive(main)
    return result, heard, delivery


ANSWER = (0.5, 0.1, False, False)
LATE = (9.0, 0.1, False, False)
REFUSAL = (2.0, 0.0, True, False)


@pytest.mark.parametrize(
    ('scripts', 'budget', 'winner', 'forks'),
    [
        ([ANSWER], 1, 0, 1),
        ([LATE, ANSWER], 1, 1, 2),
        ([LATE], 0, 0, 1),
        ([REFUSAL, LATE], 1, 1, 2),
        ([LATE, REFUSAL], 1, 0, 2),
    ],
    ids=['in-time', 'second-wins', 'no-budget', 'first-refused', 'second-too'],
)
def test_one_answer_reaches_the_caller(scripts, budget, winner, forks):
    result, heard, delivery = race(scripts=scripts, budget=budget)
    assert result is None
    assert len(delivery.forks) == forks
    chosen = delivery.forks[winner]
    assert heard == [(chosen, word) for word in WORDS]
    assert delivery.answer is chosen
    losers = [one for one in delivery.forks if one is not chosen]
    assert [one.given_up for one in losers] == [
        one.script is not REFUSAL for one in losers
    ]


def test_not_run_only_if_neither_ran():
    result, heard, _ = race(scripts=[REFUSAL, REFUSAL])
    assert result == outcomes.NotRun(reason=R.QUEUE_FULL)
    assert heard == []


def test_a_late_cancellation_lets_no_byte_through():
    """A caller got parts of two answers in one.

    Symptom: an answer whose beginning comes twice.
    Sequence: the second attempt answers; the first one's answer arrives
    before its task has noticed the cancellation.
    Cause: relying on the cancellation alone.
    """
    deaf = (1.65, 0.1, False, True)
    result, heard, delivery = race(scripts=[deaf, ANSWER])
    assert result is None
    assert heard == [(delivery.forks[1], word) for word in WORDS]


SCRIPTS = strategies.tuples(
    strategies.floats(0.0, 4.0),
    strategies.floats(0.0, 1.0),
    strategies.booleans(),
    strategies.booleans(),
)


@hypothesis.given(scripts=strategies.tuples(SCRIPTS, SCRIPTS))
def test_whole_answer_of_one_or_a_refusal(scripts):
    """Whatever the timing, the caller gets one answer whole or a refusal."""
    result, heard, delivery = race(scripts=scripts)
    if result is None:
        assert [word for _, word in heard] == list(WORDS)
        assert len({id(source) for source, _ in heard}) == 1
    else:
        assert heard == []
        assert all(script[2] for script in scripts[: len(delivery.forks)])


class TestSite:
    """Second attempts over real entries and agents."""

    pytestmark = pytest.mark.anyio

    @pytest.fixture
    def anyio_backend(self):
        return matrix_clock.BACKEND

    @pytest.mark.anyio
    async def test_answer_in_spite_of_a_frozen_agent(self, monkeypatch):
        """A call waits for an agent that is frozen until its deadline.

        Sequence: the agent freezes with the call in its queue; no verdict
        on it has been reached.  Cause: no second attempt.
        """
        monkeypatch.setattr(
            calls.hedging,
            'deliver',
            functools.partial(_deliver_soon, hedging.deliver),
        )
        layout = site_layout.Layout(clock=matrix_clock.now)
        async with site_module.open_site(layout) as site:
            frozen = []

            async def freeze(agent):
                if not frozen:
                    frozen.append(agent)
                    site.freeze(agent)

            site.at(steps.Step.AGENT_QUEUED, freeze)
            ask = matrix_cells.make_ask(site, 'idempotent', 'call')
            heard = await matrix_caller.send(ask, site.doors[0].port)
            assert len(frozen) == 1
            assert isinstance(heard, matrix_caller.Whole)
            assert matrix_caller.is_own(ask, heard.body)


async def _deliver_soon(deliver, *, delivery, after):
    return await deliver(delivery=delivery, after=0.1)
