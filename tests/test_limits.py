"""Tests of customers' limits and of the entries that serve a customer."""

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
