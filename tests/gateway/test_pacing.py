"""Tests of how many requests a group runs at once."""

import pytest

from marigoldramp.gateway import pacing

SLOTS = 6.0
ACCEPTED = 0.12


class Clock:
    """A clock that a test moves."""

    now = 0.0

    def __call__(self):
        return self.now


def run(pauses):
    """Return the limit after a second of each of these pauses."""
    clock = Clock()
    pace = pacing.Pace(clock=clock)
    for pause in pauses:
        for _ in range(50):
            clock.now += 0.02
            pace.note_pause(seconds=pause, accepted=ACCEPTED)
            pace.limit(SLOTS)
    return pace.limit(SLOTS)


@pytest.mark.parametrize(
    ('pauses', 'low', 'high'),
    [
        ([0.05] * 5, 6.0, 6.0),
        ([0.119] * 2, 4.0, 5.0),
        ([0.2] * 20, 3.6, 3.6),
        ([0.11] * 5, 6.0, 6.0),
        ([0.2] * 5 + [0.05] * 20, 6.0, 6.0),
        ([0.2] * 5 + [0.11] * 20, 3.6, 4.0),
        ([0.375] * 20, 6.0, 6.0),
    ],
    ids=['short', 'long', 'floor', 'between', 'back', 'stays', 'stalled'],
)
def test_limit_follows_the_pauses(pauses, low, high):
    assert low - 0.01 <= run(pauses) <= high + 0.01


@pytest.mark.parametrize(
    ('pause', 'low', 'high'),
    [(0.06, 6.0, 6.0), (0.085, 5.5, 6.0), (0.1, 3.8, 4.2)],
    ids=['half', 'seven tenths', 'eight tenths'],
)
def test_limit_rises_as_far_as_the_pauses_leave(pause, low, high):
    """Requests wait for five seconds after a group is even again.

    Sequence: uneven passes bring the limit down to three fifths of the
    slots; the map is changed; callers that ask again keep a queue in which
    each request is late before it has a place.
    Cause: the limit rose by a quarter of a request each half second, however
    short the pauses were.
    """
    clock = Clock()
    pace = pacing.Pace(clock=clock)
    pace.limit(SLOTS)
    for seconds, length in ((6.0, 0.2), (1.2, pause)):
        until = clock.now + seconds
        while clock.now < until:
            clock.now += 0.02
            pace.note_pause(seconds=length, accepted=ACCEPTED)
            pace.limit(SLOTS)
    assert low <= pace.limit(SLOTS) <= high


def test_route_without_a_bound_of_pauses_changes_nothing():
    clock = Clock()
    pace = pacing.Pace(clock=clock)
    for _ in range(100):
        clock.now += 0.1
        pace.note_pause(seconds=9.0, accepted=0.0)
    assert pace.limit(SLOTS) == SLOTS
