"""Tests of customers' limits and of the entries that serve a customer."""

import hypothesis
from hypothesis import strategies
import pytest

from marigoldramp import bundle
from marigoldramp import limits
from marigoldramp import outcomes
from marigoldramp import shares


class Clock:
    """A clock that tests set."""

    def __init__(self):
        self.now = 0.0

    def __call__(self):
        return self.now


def make_customer(name='a', **rest):
    return bundle.Customer(name=name, key_digests=(), services=(), **rest)


@pytest.mark.parametrize(
    ('limit', 'tokens', 'admitted', 'reason'),
    [
        ({'requests_per_second': 10.0}, 0, 5, outcomes.Reason.RATE_LIMIT),
        ({'concurrent_calls': 6}, 0, 3, outcomes.Reason.CONCURRENCY_LIMIT),
        ({'tokens_per_second': 100.0}, 20, 3, outcomes.Reason.TOKEN_LIMIT),
    ],
    ids=['rate', 'concurrent', 'tokens'],
)
def test_share_of_a_limit(limit, tokens, admitted, reason):
    table = limits.Limits(clock=Clock(), most_customers=8)
    customer = make_customer(**limit)
    results = [
        table.admit(customer=customer, tokens=tokens, share=0.5)
        for _ in range(20)
    ]
    granted = [one for one in results if isinstance(one, limits.Grant)]
    assert len(granted) == admitted
    assert results[-1].reason is reason
    assert results[-1].retry_after > 0.0


def test_entries_of_few_and_stable():
    entries = [f'entry-{number}' for number in range(8)]
    customer = make_customer(entries=3)
    chosen = shares.entries_of(customer, entries)
    assert len(chosen) == 3
    left = [entry for entry in entries if entry != chosen[0]]
    assert shares.entries_of(customer, left)[:2] == chosen[1:]


def test_an_entry_that_does_not_serve_says_so():
    table = limits.Limits(clock=Clock(), most_customers=8)
    refusal = table.admit(customer=make_customer(), tokens=0, share=0.0)
    assert refusal.reason is outcomes.Reason.RATE_LIMIT
    assert refusal.retry_after == 0.0
    assert len(table) == 0


def test_tokens_are_settled_at_the_end():
    clock = Clock()
    table = limits.Limits(clock=clock, most_customers=8)
    customer = make_customer(tokens_per_second=100.0)
    grant = table.admit(customer=customer, tokens=100, share=1.0)
    refusal = table.admit(customer=customer, tokens=1, share=1.0)
    assert refusal.reason is outcomes.Reason.TOKEN_LIMIT
    table.release(grant=grant, tokens_used=10)
    grant = table.admit(customer=customer, tokens=10, share=1.0)
    table.release(grant=grant, tokens_used=280)
    refusal = table.admit(customer=customer, tokens=1, share=1.0)
    assert refusal.retry_after == pytest.approx(1.91)
    clock.now = 1.92
    grant = table.admit(customer=customer, tokens=1, share=1.0)
    assert isinstance(grant, limits.Grant)


def test_idle_state_is_dropped_but_no_debt():
    """A customer that owes tokens must not be forgotten.

    Symptom: a customer generates twice its tokens, in bursts.
    Sequence: it takes far more tokens than it asked for, ends its calls,
    and other customers fill the table.
    Cause: dropping state because no call is in flight.
    """
    clock = Clock()
    table = limits.Limits(clock=clock, most_customers=2)
    debtor = make_customer('debtor', tokens_per_second=100.0)
    grant = table.admit(customer=debtor, tokens=1, share=1.0)
    table.release(grant=grant, tokens_used=10_000)
    idle = table.admit(customer=make_customer('idle'), tokens=0, share=1.0)
    table.release(grant=idle, tokens_used=0)
    clock.now = 60.0
    for name in 'xyz':
        grant = table.admit(customer=make_customer(name), tokens=0, share=1.0)
        if isinstance(grant, limits.Grant):
            table.release(grant=grant, tokens_used=0)
    assert len(table) == 2
    refusal = table.admit(customer=debtor, tokens=1, share=1.0)
    assert refusal.reason is outcomes.Reason.TOKEN_LIMIT
    clock.now = 120.0
    grant = table.admit(customer=make_customer('w'), tokens=0, share=1.0)
    assert isinstance(grant, limits.Grant)


@hypothesis.given(
    rate=strategies.floats(1.0, 50.0),
    steps=strategies.lists(
        strategies.tuples(
            strategies.floats(0.0, 0.3), strategies.floats(0.05, 1.0)
        ),
        max_size=80,
    ),
)
def test_rate_holds_over_any_span(rate, steps):
    """Whatever shares an entry is given, it admits no more than they allow."""
    clock = Clock()
    table = limits.Limits(clock=clock, most_customers=2)
    customer = make_customer(requests_per_second=rate)
    allowed = max(1.0, rate)
    admitted = 0
    for passed, share in steps:
        clock.now += passed
        allowed += rate * share * passed
        grant = table.admit(customer=customer, tokens=0, share=share)
        if isinstance(grant, limits.Grant):
            admitted += 1
            table.release(grant=grant, tokens_used=0)
        assert admitted <= allowed + 1e-6


def test_demand_counts_what_was_refused_too():
    clock = Clock()
    table = limits.Limits(clock=clock, most_customers=2)
    customer = make_customer(requests_per_second=10.0)
    for _ in range(400):
        clock.now += 0.05
        table.admit(customer=customer, tokens=0, share=0.5)
    [asking] = table.list_asking()
    assert asking.customer is customer
    assert asking.fraction == pytest.approx(2.0, rel=0.1)
