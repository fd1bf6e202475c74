"""Tests of what an engine's load report adds to the agent's own count."""

import hypothesis
from hypothesis import strategies
import pytest

from marigoldramp import engine_loads
from marigoldramp import messages

OWN = messages.Load(running=3, queued=1, slots=8, service_ms=1, wait_ms=1)


class Engine:
    """An engine load on a clock that a test sets."""

    def __init__(self):
        self.now = 0.0
        self.load = engine_loads.EngineLoad(clock=lambda: self.now)

    def run(self, *counts):
        """Have so many own calls at each second."""
        had = 0
        for count in counts:
            self.now += 1.0
            for _ in range(max(0, count - had)):
                self.load.begin()
            for _ in range(max(0, had - count)):
                self.load.end()
            had = count

    def show(self):
        shown = self.load.add_to(OWN)
        return shown.running - OWN.running, shown.age_ms


def test_without_a_report_the_load_is_the_agents_own():
    engine = Engine()
    engine.run(5)
    assert engine.load.add_to(OWN) == OWN


@pytest.mark.parametrize(
    ('calls', 'age', 'others'),
    [
        (2, 0.0, 0),
        (5, 0.0, 3),
        (9, 2.0, 0),
        (12, 2.0, 3),
        (0, 0.0, 0),
        (-5, 0.0, 0),
        (10_000, 0.0, OWN.slots),
    ],
    ids=[
        'own calls only',
        'other work',
        'own calls of that time',
        'other work of that time',
        'lies low',
        'nonsense',
        'lies high',
    ],
)
def test_report_adds_only_what_is_not_own(calls, age, others):
    """An endpoint looks taken or free when it is neither.

    The report lags, so its count is of other calls than the agent has now,
    and an engine may count wrongly.
    """
    engine = Engine()
    engine.run(9, 9, 9, 2, 2)
    engine.load.report(calls=calls, age=age)
    assert engine.show() == (others, age * 1000)


@pytest.mark.parametrize(
    ('seconds', 'others', 'age'),
    [(1.0, 4, 1000), (10.0, 4, 10_000), (11.0, 0, 11_000), (1e6, 0, 60_000)],
)
def test_report_of_an_engine_that_is_away_fades(seconds, others, age):
    engine = Engine()
    engine.load.report(calls=4, age=0.0)
    engine.now += seconds
    assert engine.show() == (others, age)


@hypothesis.given(
    counts=strategies.lists(strategies.integers(0, 20), max_size=30),
    calls=strategies.integers(-100, 10_000),
    age=strategies.floats(-5.0, 50.0),
)
def test_load_is_never_below_the_agents_own(counts, calls, age):
    engine = Engine()
    engine.run(*counts)
    engine.load.report(calls=calls, age=age)
    shown, _ = engine.show()
    assert 0 <= shown <= OWN.slots


def test_history_is_bounded():
    engine = Engine()
    for _ in range(10 * engine_loads.MOST_HISTORY):
        engine.load.begin()
        engine.load.end()
    assert len(engine.load._history) <= engine_loads.MOST_HISTORY
    engine.now += 60.0
    engine.load.begin()
    assert len(engine.load._history) <= 2
