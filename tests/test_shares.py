"""Tests of the shares of customers at an entry."""

import pytest

from marigoldramp import bundle
from marigoldramp import shares

ENTRIES = tuple(f'entry-{number}' for number in range(8))


def make_customer(entries):
    return bundle.Customer(
        name='c', key_digests=(), services=(), entries=entries
    )


@pytest.mark.parametrize('entries', [1, 2, 5, 20])
def test_shares_of_all_entries_sum_to_one(entries):
    customer = make_customer(entries)
    found = [
        shares.equal_share(
            customer=customer, entry=entry, live_entries=ENTRIES
        )
        for entry in ENTRIES
    ]
    assert sum(found) == pytest.approx(1.0)
    assert sum(share > 0 for share in found) == min(entries, len(ENTRIES))


def test_shares_follow_the_live_entries():
    """A customer keeps a share of an entry that has died.

    Sequence: two entries serve the customer, one dies; the other one goes
    on with half of the limit.  Cause: the share was remembered for ever.
    """
    customer = make_customer(2)
    serving = shares.entries_of(customer, ENTRIES)
    live, now = set(ENTRIES), [0.0]
    known = shares.Shares(
        entry=serving[0],
        live_entries=lambda: live,
        clock=lambda: now[0],
        most=4,
    )
    before = known.find(customer)
    live.difference_update(ENTRIES)
    live.add(serving[0])
    remembered = known.find(customer)
    now[0] += shares.LOOK_SECONDS
    assert (before, remembered, known.find(customer)) == (0.5, 0.5, 1.0)


def test_a_change_of_the_bundle_is_seen_at_once():
    known = shares.Shares(
        entry='entry-0',
        live_entries=lambda: ENTRIES,
        clock=lambda: 0.0,
        most=1,
    )
    found = [known.find(make_customer(entries)) for entries in (8, 20, 8)]
    assert found == [0.125] * 3
