"""Tests of which outages of the store are long enough for records to lapse."""

import pytest

from marigoldramp.gateway import store_outages


class Clock:
    """A clock that a test moves."""

    def __init__(self):
        self.now = 100.0

    def __call__(self):
        return self.now


def make_outages(clock, *answers, heartbeat=1.0):
    """Return outages after answers at some seconds, as they became known.

    :param answers: when an answer became known, and when it was given.
    """
    outages = store_outages.StoreOutages(
        clock=clock, heartbeat=lambda: heartbeat
    )
    start = clock.now
    for known_at, given_at in answers:
        clock.now = start + known_at
        outages.note_answer(age=known_at - given_at)
    return outages


STEADY = ((1.0, 1.0), (2.0, 2.0), (3.0, 3.0))


@pytest.mark.parametrize(
    ('answers', 'now', 'expected'),
    [
        ((), 1.7, False),
        ((), 1.9, True),
        (STEADY, 4.7, False),
        (STEADY, 4.9, True),
        (((1.7, 1.7),), 1.8, False),
        (((1.9, 1.9),), 2.0, True),
        (((1.9, 1.9), (3.0, 3.0)), 4.0, True),
        (((1.9, 1.9), (3.0, 3.0)), 4.2, False),
        (((2.0, 2.0), (2.1, 1.0)), 2.2, False),
        (((4.0, 4.0), (4.1, 1.0)), 4.2, True),
        (((0.5, -20.0),), 1.0, False),
    ],
    ids=[
        'short silence',
        'long silence',
        'answers',
        'silence after answers',
        'short outage over',
        'long outage over',
        'endpoints may return',
        'endpoints have returned',
        'a peer was answered meanwhile',
        'a peer was answered too long before',
        'a peer was answered before the start',
    ],
)
def test_only_long_outages_may_hide_endpoints(answers, now, expected):
    """Guards against keeping endpoints that left, and losing live ones."""
    clock = Clock()
    start = clock.now
    outages = make_outages(clock, *answers)
    clock.now = start + now
    assert outages.may_hide_endpoints() is expected


@pytest.mark.parametrize(
    ('heartbeat', 'expected'), [(1.0, True), (2.0, False)]
)
def test_shortest_outage_depends_on_the_heartbeat(heartbeat, expected):
    clock = Clock()
    outages = make_outages(clock, heartbeat=heartbeat)
    clock.now += 3.0
    assert outages.may_hide_endpoints() is expected


@pytest.mark.parametrize(
    ('seconds', 'expected'),
    [
        (store_outages.RETURN_SECONDS - 0.1, True),
        (store_outages.RETURN_SECONDS + 0.1, False),
    ],
)
def test_restored_store_may_hide_endpoints(seconds, expected):
    clock = Clock()
    outages = make_outages(clock)
    outages.note_restore()
    for _ in range(2):
        clock.now += seconds / 2.0
        outages.note_answer()
    assert outages.may_hide_endpoints() is expected


def test_number_of_remembered_answers_is_limited():
    clock = Clock()
    outages = make_outages(clock)
    for _ in range(1000):
        clock.now += 0.05
        outages.note_answer()
    assert len(outages._answered_at) < 40
