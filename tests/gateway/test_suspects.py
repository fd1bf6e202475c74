"""Tests of which requests are blocked, by the ends that they were under."""

import itertools
import random

import hypothesis
from hypothesis import strategies
import pytest

from marigoldramp.gateway import endpoint_ends
from marigoldramp.gateway import suspects

FIRST = suspects.MIN_BLOCK_SECONDS
WORD = suspects.PEER_REPORT_SECONDS


class Known:
    """What one entry knows, with a clock that a test moves."""

    def __init__(self, trier=False):
        self.now = 1000.0
        self.trier = trier
        self.blocked = []
        self.suspects = suspects.Suspects(
            is_prober=lambda fingerprint: self.trier,
            on_block=self.blocked.append,
            clock=lambda: self.now,
        )

    def end(self, endpoint, *fingerprints, wait=WORD):
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

    def tell(self, other):
        for suspicion in self.suspects.list_all():
            other.suspects.merge(suspicion, source='peer')
        other.suspects.refresh()


@pytest.mark.parametrize(
    ('story', 'verdicts'),
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
def test_request_is_blocked_by_ends_that_nothing_else_explains(
    story, verdicts
):
    """What the ends of endpoints, and answers in between, come to.

    A sound request is blocked where each end counts alike: several run beside
    the one that ends two endpoints, and one that is asked for all the time
    beside every end.
    """
    known = Known()
    for event in story:
        if isinstance(event, tuple):
            known.end(*event)
        else:
            known.suspects.note_answer(event)
            known.now += 1.0
            known.suspects.refresh()
    assert f'{known.decide("a")} {known.decide("b")}' == verdicts


def test_answer_that_another_entry_has_seen_counts():
    """A request that is answered all the time is blocked.

    Sequence: three endpoints of four end within 0.1 s by a request that goes
    from one to the next; one of another content is so frequent that it is on
    each of them.  The entry that sees it has not had an answer to it itself.
    """
    one, other = Known(), Known()
    other.suspects.note_answer('a')
    for known in (one, other):
        known.now += 60.0
    for endpoint in ('i-1', 'i-2', 'i-3'):
        one.end(endpoint, 'a', wait=0.0)
    [told] = one.suspects.list_all()
    assert other.suspects.merge(told, source='one')
    [told] = other.suspects.list_all()
    assert not one.suspects.merge(told, source='other')
    assert not other.suspects.merge(told, source='one')
    for known in (one, other):
        known.now += 2.0 * WORD
        assert known.decide('a') == 'Suspected'


def test_released_request_counts_anew():
    known = Known()
    known.suspects.note_answer('a')
    known.now += 2.0 * suspects.RECENT_ANSWER_SECONDS
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


def test_answers_that_are_remembered_are_bounded():
    known = Known()
    for number in range(suspects.MAX_RECENT_ANSWERS + 10):
        known.suspects.note_answer(str(number))
    assert len(known.suspects._answer_times) == suspects.MAX_RECENT_ANSWERS


def test_same_endpoint_that_starts_again_ends_once_more():
    known = Known()
    for born in (1, 2):
        known.suspects.note_end(
            endpoint_ends.End(
                start=endpoint_ends.Start(identity='i-1', born=born),
                service='notes',
                fingerprints=('a',),
            )
        )
        known.now += WORD
    assert known.decide('a') == 'Blocked'


def test_decision_waits_for_the_word_of_others():
    """A sound request is refused as word came 50 ms too late.

    Sequence: two endpoints end with the same two requests, one of each of two
    entries.  Each knows only its own, and finds nothing else to explain it.
    """
    one, other = Known(), Known()
    for endpoint in ('i-1', 'i-2'):
        one.end(endpoint, 'a', wait=0.0)
        other.end(endpoint, 'b', wait=0.0)
    assert one.decide('a') == other.decide('b') == 'Undecided'
    one.tell(other)
    other.tell(one)
    for known in (one, other):
        known.now += WORD
        assert known.decide('a') == known.decide('b') == 'Suspected'
    assert one.blocked == other.blocked == []


@pytest.mark.parametrize('seconds', [0.0, WORD, 2.0 * WORD, 30.0])
def test_block_is_told_once(seconds):
    known = Known()
    known.end('i-1', 'a')
    known.end('i-2', 'a')
    known.end('i-3', 'a', wait=seconds)
    assert known.blocked == ['a']
    assert known.decide('a') == 'Blocked'


def test_block_doubles_with_each_further_end():
    known = Known(trier=True)
    known.end('i-0', 'a')
    for number in range(1, 4):
        known.end(f'i-{number}', 'a', wait=0.0)
        known.now += WORD
        verdict = known.suspects.decide('a')
        assert verdict.seconds == pytest.approx(
            FIRST * 2.0 ** (number - 1) - WORD
        )
        known.now += verdict.seconds + 0.001
        assert known.decide('a') == 'Suspected'


def test_one_trial_at_a_time_when_a_block_is_over():
    """As many endpoints end as copies come when a block is over."""
    known = Known(trier=True)
    known.end('i-1', 'a')
    known.end('i-2', 'a')
    known.now += FIRST
    assert known.decide('a') == 'Suspected'
    known.suspects.begin('a')
    assert known.decide('a') == 'Blocked'
    known.suspects.finish('a')
    assert known.decide('a') == 'Suspected'


def test_only_one_entry_may_try():
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
        (2, suspects.RETENTION_SECONDS + 1.9 * FIRST, True),
        (2, suspects.RETENTION_SECONDS + 2.1 * FIRST, False),
    ],
)
def test_what_is_over_is_forgotten(ends, seconds, kept):
    known = Known()
    for number in range(ends):
        known.end(f'i-{number}', 'a', wait=0.0)
    known.now += seconds
    known.suspects.prune()
    assert len(known.suspects) == kept


def test_number_of_suspects_is_bounded_and_the_blocked_ones_stay():
    known = Known()
    known.end('i-1', 'a')
    known.end('i-2', 'a')
    for number in range(100):
        known.end(f'j-{number}', *(f'{number}-{one}' for one in range(20)))
    assert len(known.suspects) == suspects.MAX_SUSPECTS
    assert known.decide('a') == 'Blocked'


def test_word_that_was_long_on_its_way_changes_nothing():
    """A request that was answered is suspected again.

    Sequence: an end, an answer; a process that was frozen for seconds reads a
    report from before, and takes the end for a new one.
    """
    one, other = Known(), Known()
    one.end('i-1', 'a')
    one.tell(other)
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
def test_entries_that_have_told_each_other_all_agree(events, order):
    """Entries disagree for good on what is blocked.

    Each of three entries sees some ends and answers; then each tells each, in
    any order, and twice.
    """
    entries = [Known(), Known(), Known()]
    for fingerprint, endpoint, entry, seconds in events:
        if endpoint:
            entries[entry].end(endpoint, fingerprint, wait=0.0)
        else:
            entries[entry].suspects.note_answer(fingerprint)
        for known in entries:
            known.now += seconds
    pairs = list(itertools.permutations(range(3), 2))
    for place in [*order, *order]:
        source, target = pairs[place]
        entries[source].tell(entries[target])
    for known in entries:
        known.now += WORD
    digests = {str(known.suspects.digest()) for known in entries}
    assert len(digests) == 1
    for fingerprint in ('a', 'b'):
        found = {known.decide(fingerprint) for known in entries}
        assert len(found) == 1
