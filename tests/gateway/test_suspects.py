"""Tests of which requests are blocked after endpoints have ended."""

import itertools
import random

import hypothesis
from hypothesis import strategies
import pytest

from marigoldramp.gateway import endpoint_ends
from marigoldramp.gateway.shared_state import blame
from marigoldramp.gateway.shared_state import suspects

MIN_BLOCK = blame.MIN_BLOCK_SECONDS
REPORT_DELAY = suspects.PEER_REPORT_SECONDS


class SuspectsSite:
    """The suspects of one gateway, with a clock that a test advances."""

    def __init__(self, prober=False):
        self.now = 1000.0
        self.prober = prober
        self.blocked = []
        self.suspects = suspects.Suspects(
            is_prober=lambda fingerprint: self.prober,
            on_block=self.blocked.append,
            clock=lambda: self.now,
        )

    def end(self, endpoint, *fingerprints, wait=REPORT_DELAY):
        self.suspects.note_end(
            endpoint_ends.End(
                start=endpoint_ends.Start(identity=endpoint, born=1),
                service='notes',
                fingerprints=fingerprints,
            )
        )
        self.now += wait
        self.suspects.refresh()

    def decide(self, fingerprint):
        return type(self.suspects.decide(fingerprint)).__name__

    def send_all(self, other):
        for suspicion in self.suspects.list_all():
            other.suspects.merge(suspicion, source='peer')
        other.suspects.refresh()


@pytest.mark.parametrize(
    ('events', 'decisions'),
    [
        ([], 'Allowed Allowed'),
        ([('i-1', 'a')], 'Suspected Allowed'),
        ([('i-1', 'a'), ('i-1', 'a')], 'Suspected Allowed'),
        ([('i-1', 'a'), ('i-2', 'a')], 'Blocked Allowed'),
        ([('i-1', 'a', 'b')], 'Suspected Suspected'),
        ([('i-1', 'a', 'b'), ('i-2', 'a')], 'Blocked Suspected'),
        ([('i-1', 'a', 'b'), ('i-2', 'a', 'b')], 'Suspected Suspected'),
        (
            [('i-1', 'a', 'b'), ('i-2', 'a', 'b'), ('i-3', 'a')],
            'Blocked Suspected',
        ),
        ([('i-1', 'a', 'b'), ('i-2', 'a', 'b'), 'b'], 'Blocked Allowed'),
        ([('i-1', 'a'), 'a', ('i-2', 'a')], 'Suspected Allowed'),
        ([('i-1', 'a'), ('i-2', 'a'), 'a'], 'Allowed Allowed'),
        (['a', ('i-1', 'a'), ('i-2', 'a'), ('i-3', 'a')], 'Suspected Allowed'),
        (
            ['a', ('i-1', 'a'), ('i-2', 'a'), ('i-3', 'a'), ('i-4', 'a')],
            'Blocked Allowed',
        ),
    ],
)
def test_request_is_blocked_if_nothing_else_explains_the_ends(
    events, decisions
):
    """Guards against blocking harmless requests.

    An event is an end with the requests that were running, or an answer.  If
    all ends counted alike, this would block requests that ran beside the one
    that ended two endpoints, and a frequent one that is running at every end.
    """
    known = SuspectsSite()
    for event in events:
        if isinstance(event, tuple):
            known.end(*event)
        else:
            known.suspects.note_answer(event)
            known.now += 1.0
            known.suspects.refresh()
    assert f'{known.decide("a")} {known.decide("b")}' == decisions


def test_answer_seen_by_another_gateway_counts():
    """Guards against blocking a request that is answered all the time.

    A harmful request ends three of four endpoints within 0.1 s.  A harmless
    one is so frequent that it is running on each of them, and the gateway that
    sees these ends has not had an answer to it itself.
    """
    one, other = SuspectsSite(), SuspectsSite()
    other.suspects.note_answer('a')
    for known in (one, other):
        known.now += 60.0
    for endpoint in ('i-1', 'i-2', 'i-3'):
        one.end(endpoint, 'a', wait=0.0)
    [sent] = one.suspects.list_all()
    assert other.suspects.merge(sent, source='one')
    [sent] = other.suspects.list_all()
    assert not one.suspects.merge(sent, source='other')
    assert not other.suspects.merge(sent, source='one')
    for known in (one, other):
        known.now += 2.0 * REPORT_DELAY
        assert known.decide('a') == 'Suspected'


def test_release_resets_the_count_of_ends():
    known = SuspectsSite()
    known.suspects.note_answer('a')
    known.now += 2.0 * blame.RECENT_ANSWER_SECONDS
    known.end('i-1', 'a')
    known.end('i-2', 'a')
    assert known.suspects.release('a')
    assert not known.suspects.release('a')
    assert not known.suspects.release('b')
    known.now += 1.0
    assert known.decide('a') == 'Allowed'
    known.end('i-3', 'a')
    assert known.decide('a') == 'Suspected'
    known.end('i-4', 'a')
    assert known.decide('a') == 'Blocked'


def test_number_of_remembered_answers_is_limited():
    known = SuspectsSite()
    for number in range(suspects.MAX_RECENT_ANSWERS + 10):
        known.suspects.note_answer(str(number))
    assert len(known.suspects._answer_times) == suspects.MAX_RECENT_ANSWERS


def test_ends_of_a_restarted_endpoint_count_separately():
    known = SuspectsSite()
    for born in (1, 2):
        known.suspects.note_end(
            endpoint_ends.End(
                start=endpoint_ends.Start(identity='i-1', born=born),
                service='notes',
                fingerprints=('a',),
            )
        )
        known.now += REPORT_DELAY
    assert known.decide('a') == 'Blocked'


def test_decision_waits_for_reports_of_other_gateways():
    """Guards against refusing a harmless request when a report is 50 ms late.

    Two endpoints end with the same two requests on them, each sent by another
    gateway.  Each gateway knows only its own request at first, and so nothing
    else that explains the ends.
    """
    one, other = SuspectsSite(), SuspectsSite()
    for endpoint in ('i-1', 'i-2'):
        one.end(endpoint, 'a', wait=0.0)
        other.end(endpoint, 'b', wait=0.0)
    assert one.decide('a') == other.decide('b') == 'Undecided'
    one.send_all(other)
    other.send_all(one)
    for known in (one, other):
        known.now += REPORT_DELAY
        assert known.decide('a') == known.decide('b') == 'Suspected'
    assert one.blocked == other.blocked == []


@pytest.mark.parametrize(
    'seconds', [0.0, REPORT_DELAY, 2.0 * REPORT_DELAY, 30.0]
)
def test_block_is_reported_once(seconds):
    known = SuspectsSite()
    known.end('i-1', 'a')
    known.end('i-2', 'a')
    known.end('i-3', 'a', wait=seconds)
    assert known.blocked == ['a']
    assert known.decide('a') == 'Blocked'


def test_block_doubles_with_each_further_end():
    known = SuspectsSite(prober=True)
    known.end('i-0', 'a')
    for number in range(1, 4):
        known.end(f'i-{number}', 'a', wait=0.0)
        known.now += REPORT_DELAY
        decision = known.suspects.decide('a')
        assert decision.seconds == pytest.approx(
            MIN_BLOCK * 2.0 ** (number - 1) - REPORT_DELAY
        )
        known.now += decision.seconds + 0.001
        assert known.decide('a') == 'Suspected'


def test_one_probe_at_a_time_after_a_block():
    """Guards against copies that end one endpoint each after a block."""
    known = SuspectsSite(prober=True)
    known.end('i-1', 'a')
    known.end('i-2', 'a')
    known.now += MIN_BLOCK
    assert known.decide('a') == 'Suspected'
    known.suspects.begin('a')
    assert known.decide('a') == 'Blocked'
    known.suspects.finish('a')
    assert known.decide('a') == 'Suspected'


def test_only_one_gateway_may_probe():
    names = [f'entry-{number}' for number in range(40)]
    found = {
        suspects.choose_prober('a', random.Random(seed).sample(names, 40))
        for seed in range(5)
    }
    assert len(found) == 1
    owners = {suspects.choose_prober(str(one), names) for one in range(200)}
    assert len(owners) > 30


@pytest.mark.parametrize(
    ('ends', 'seconds', 'kept'),
    [
        (1, suspects.RETENTION_SECONDS - 1.0, True),
        (1, suspects.RETENTION_SECONDS + 1.0, False),
        (2, suspects.RETENTION_SECONDS + 1.9 * MIN_BLOCK, True),
        (2, suspects.RETENTION_SECONDS + 2.1 * MIN_BLOCK, False),
    ],
)
def test_old_suspects_are_pruned(ends, seconds, kept):
    known = SuspectsSite()
    for number in range(ends):
        known.end(f'i-{number}', 'a', wait=0.0)
    known.now += seconds
    known.suspects.prune()
    assert len(known.suspects) == kept


def test_number_of_suspects_is_limited_and_blocked_ones_are_kept():
    known = SuspectsSite()
    known.end('i-1', 'a')
    known.end('i-2', 'a')
    for number in range(100):
        known.end(f'j-{number}', *(f'{number}-{one}' for one in range(20)))
    assert len(known.suspects) == suspects.MAX_SUSPECTS
    assert known.decide('a') == 'Blocked'


def test_delayed_report_changes_nothing():
    """Guards against suspecting a request again after its answer.

    A gateway that was frozen for seconds reads a report from before the
    answer, in which the end seems to be a new one.
    """
    one, other = SuspectsSite(), SuspectsSite()
    one.end('i-1', 'a')
    one.send_all(other)
    [old] = one.suspects.list_all()
    other.suspects.note_answer('a')
    other.now += 5.0
    other.suspects.merge(old, source='peer')
    assert other.decide('a') == 'Allowed'


EVENTS = strategies.lists(
    strategies.tuples(
        strategies.sampled_from(['a', 'b']),
        strategies.sampled_from(['i-1', 'i-2', 'i-3', '']),
        strategies.integers(0, 2),
        strategies.sampled_from([0.05, 1.0]),
    ),
    max_size=10,
)


@hypothesis.given(events=EVENTS, order=strategies.permutations(range(6)))
def test_gateways_agree_after_exchanging_all_suspects(events, order):
    """Guards against gateways that disagree for good on what is blocked.

    Each of three gateways sees some ends and answers.  Then each sends all
    its suspects to each other one, in any order, and twice.
    """
    entries = [SuspectsSite(), SuspectsSite(), SuspectsSite()]
    for fingerprint, endpoint, entry, seconds in events:
        if endpoint:
            entries[entry].end(endpoint, fingerprint, wait=0.0)
        else:
            entries[entry].suspects.note_answer(fingerprint)
        for known in entries:
            known.now += seconds
    pairs = list(itertools.permutations(range(3), 2))
    for number in [*order, *order]:
        source, target = pairs[number]
        entries[source].send_all(entries[target])
    for known in entries:
        known.now += REPORT_DELAY
    digests = {str(known.suspects.digest()) for known in entries}
    assert len(digests) == 1
    for fingerprint in ('a', 'b'):
        found = {known.decide(fingerprint) for known in entries}
        assert len(found) == 1


@pytest.mark.parametrize(
    ('events', 'blocked'),
    [
        # A part that is at all ends, each with others.
        ([('1', 'A', 'B', 'x'), ('2', 'B', 'y')], ''),
        ([('1', 'A', 'B', 'x'), ('2', 'B', 'y'), ('3', 'C', 'B', 'z')], 'B'),
        # One that always comes with another, which is answered between.
        (['A', ('1', 'AB'), 'A', ('2', 'AB'), 'A', ('3', 'AB')], 'B'),
        # Two that always come together.
        ([('1', 'AB'), ('2', 'AB'), ('3', 'AB')], ''),
        ([('1', 'AB'), ('2', 'AB'), ('3', 'AB'), ('4', 'AB')], 'AB'),
        # One with the ends of another, which has more.
        (
            [('1', 'AB'), ('2', 'AB'), ('3', 'AB'), ('4', 'AB'), ('5', 'B')],
            'B',
        ),
        # One that was answered before: five ends, at different times.
        (['A', *[(one, 'A') for one in '1234']], ''),
        (['A', *[(one, 'A') for one in '12345']], 'A'),
        # Any answer clears it.
        ([('1', 'B'), ('2', 'B'), 'B', ('3', 'B'), ('4', 'B')], ''),
    ],
)
def test_part_is_blocked_if_nothing_else_explains_the_ends(events, blocked):
    """Guards against blocking parts that harmless requests share."""
    known = SuspectsSite()
    for event in events:
        if isinstance(event, tuple):
            start, *names = event
            parts = [f'part-{one}' for one in ''.join(names) if one.isupper()]
            known.end(f'i-{start}', *parts, wait=2.0)
        else:
            known.suspects.note_answer(f'part-{event}')
            known.now += 1.0
            known.suspects.refresh()
    assert known.suspects._blocked == {f'part-{one}' for one in blocked}


def test_part_that_was_answered_outlasts_an_outage_of_many_endpoints():
    """Guards against blocking a part that ran on all endpoints of a rack."""
    known = SuspectsSite()
    known.suspects.note_answer('part-A')
    known.now += 1.0
    for number in range(12):
        known.end(f'i-{number}', 'part-A', wait=0.01)
    known.now += 1.0
    assert known.decide('part-A') == 'Allowed'


def test_request_that_ended_with_a_blocked_part_is_not_blocked():
    """Guards against blocking requests that ran beside a harmful part."""
    known = SuspectsSite()
    for endpoint in ('i-1', 'i-2', 'i-3'):
        known.end(endpoint, 'a', 'part-B')
    assert known.decide('part-B') == 'Blocked'
    assert known.decide('a') == 'Suspected'
