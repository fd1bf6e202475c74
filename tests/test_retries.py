"""Tests of the retry budget."""

import hypothesis
from hypothesis import strategies
import pytest

from marigoldramp import retries


class Clock:
    """A clock that tests set."""

    def __init__(self):
        self.now = 0.0

    def __call__(self):
        return self.now


@pytest.mark.parametrize(
    ('share', 'firsts', 'allowed'),
    [(0.1, 0, 10), (0.1, 40, 10), (0.0, 100, 0)],
    ids=['saved', 'capped', 'none'],
)
def test_allowed_at_rest(share, firsts, allowed):
    budget = retries.Budget(share=share, clock=Clock())
    for _ in range(firsts):
        budget.first()
    assert sum(budget.take() for _ in range(50)) == allowed


@hypothesis.given(
    share=strategies.floats(0.01, 1.0),
    steps=strategies.lists(strategies.booleans(), max_size=300),
)
def test_share_is_never_passed(share, steps):
    budget = retries.Budget(share=share, clock=Clock())
    firsts = taken = 0
    for first in steps:
        if first:
            firsts += 1
            budget.first()
        else:
            taken += budget.take()
        assert taken <= retries.MOST_SAVED + firsts * share + 1e-6


def test_idle_budget_refills_slowly():
    clock = Clock()
    budget = retries.Budget(share=0.1, clock=clock, least_per_second=0.5)
    while budget.take():
        pass
    clock.now += 3.0
    assert [budget.take(), budget.take()] == [True, False]
