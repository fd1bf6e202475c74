"""Tests of the division of a customer's limits by demand."""

import hypothesis
from hypothesis import strategies
import pytest

from marigoldramp import demands
from marigoldramp import messages

SERVING = ('one', 'two')


class Clock:
    """A clock whose time the tests set."""

    def __init__(self):
        self.now = 0.0

    def __call__(self):
        return self.now


class Site:
    """A set of entries that exchange datagrams."""

    def __init__(self, *, entries=SERVING):
        self.clock = Clock()
        self.fractions = dict.fromkeys(entries, 0.0)
        self.demands = {
            entry: demands.Demands(entry=entry, clock=self.clock, most_peers=8)
            for entry in entries
        }

    def publish(self, entry, *, known=True, unreachable=()):
        one = demands.Asked(
            customer='c',
            fraction=self.fractions[entry],
            serving=tuple(self.demands),
        )
        reports = self.demands[entry].publish([one] if known else [])
        for report in reports:
            usage = messages.Usage(
                entry=entry,
                incarnation=1,
                sequence=1,
                sent_at=0.0,
                hears=report.hears,
                demands=report.demands,
            )
            if report.peer not in unreachable:
                self.demands[report.peer].note(usage)
        return reports

    def exchange(self, *, rounds=3, unreachable=()):
        """Let all entries publish; datagrams to unreachable ones are lost."""
        for _ in range(rounds):
            self.clock.now += demands.PUBLISH_SECONDS
            for entry in self.demands:
                self.publish(entry, unreachable=unreachable)

    def shares(self):
        return [
            one.share(customer='c', serving=tuple(self.demands))
            for one in self.demands.values()
        ]


@pytest.mark.parametrize(
    ('fractions', 'shares'),
    [
        ((2.0, 0.0), [0.95, 0.05]),
        ((1.5, 0.5), [0.725, 0.275]),
        ((0.1, 0.1), [0.5, 0.5]),
    ],
    ids=['one-entry', 'skewed', 'low-demand'],
)
def test_shares_follow_demand(fractions, shares):
    site = Site()
    site.fractions.update(zip(SERVING, fractions))
    site.exchange()
    assert site.shares() == pytest.approx(shares)


def test_customers_far_below_share_cause_no_datagram():
    site = Site()
    site.fractions['one'] = 0.2
    assert site.publish('one') == []


def test_datagrams_stop_when_demand_stops():
    """Two entries must not keep answering each other.

    A customer has high demand at one entry, both entries report it, and the
    demand stops.  If a report that only answers another one led to a report,
    datagrams about the customer would never stop.
    """
    site = Site()
    site.fractions['one'] = 2.0
    site.exchange()
    site.fractions['one'] = 0.0
    site.exchange(rounds=6)
    assert [site.publish(entry) for entry in SERVING] == [[], []]


def test_entry_without_calls_answers():
    """A customer that uses only one entry must get nearly its whole limit.

    Such a customer got half of its limit: the other entry had no state of it,
    and entries reported only customers of which they had state.
    """
    site = Site()
    site.fractions['one'] = 2.0
    for _ in range(3):
        site.clock.now += demands.PUBLISH_SECONDS
        site.publish('one')
        site.publish('two', known=False)
    assert site.shares() == pytest.approx([0.95, 0.05])


def test_entry_that_does_not_serve_has_no_share():
    site = Site()
    assert site.demands['one'].share(customer='c', serving=('two',)) == 0.0


@pytest.mark.parametrize('unreachable', [('two',), SERVING])
def test_lost_datagrams_lead_to_equal_shares(unreachable):
    """Lost datagrams must not let two entries use the same part of a limit.

    A customer got more than its limit for minutes after datagrams stopped in
    one direction and its demand moved: one entry computed its share from
    demands that the other had never received.
    """
    site = Site()
    site.fractions.update(one=2.0, two=0.0)
    site.exchange()
    assert site.shares() == pytest.approx([0.95, 0.05])
    site.fractions.update(one=2.0, two=0.3)
    site.exchange(rounds=5, unreachable=unreachable)
    assert sum(site.shares()) <= 1.0 + 1e-9


def test_number_of_peers_is_bounded():
    one = demands.Demands(entry='one', clock=Clock(), most_peers=3)
    for number in range(9):
        one.note(
            messages.Usage(
                entry=f'{number}', incarnation=1, sequence=1, sent_at=0.0
            )
        )
    assert [one.hears(f'{number}') for number in (5, 6, 8)] == [
        False,
        True,
        True,
    ]


@hypothesis.given(
    steps=strategies.lists(
        strategies.tuples(
            strategies.sampled_from('abc'),
            strategies.floats(0.0, 3.0),
        ),
        max_size=40,
    )
)
def test_sum_of_shares_after_a_whole_exchange(steps):
    """Once all have told all, the shares together are the limit."""
    site = Site(entries=('a', 'b', 'c'))
    for entry, fraction in steps:
        site.fractions[entry] = fraction
        site.publish(entry)
        site.clock.now += 0.1
    site.exchange(rounds=6)
    assert sum(site.shares()) == pytest.approx(1.0)
