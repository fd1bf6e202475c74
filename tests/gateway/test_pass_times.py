"""Tests of what the pauses of streams say of a group's passes."""

import random

import pytest

from marigoldramp.gateway import pass_times


class Clock:
    def __init__(self):
        self.now = 0.0

    def __call__(self):
        return self.now


def play(times, clock, draw, *, seconds, usual, longest):
    """Let passes go by, some of which read a long prompt."""
    seen = []
    until = clock.now + seconds
    while clock.now < until:
        length = usual * draw.choice([1.0] * 7 + [longest])
        clock.now += length
        for _ in range(5):
            times.note_local(length)
        seen.append(times.are_longer())
    return seen


@pytest.mark.parametrize('factor', [1.0, 1.6, 2.4])
@pytest.mark.parametrize('seed', range(5))
def test_longer_passes_are_noticed_at_once(seed, factor):
    """An uneven map is noticed after a second.

    Sequence: passes of 0.06 s, one in eight of which reads prompts and takes
    half as long again; then all take longer.
    Cause: only counts told that requests ask for other experts.
    """
    draw = random.Random(seed)
    clock = Clock()
    times = pass_times.PassTimes(clock=clock)
    before = play(times, clock, draw, seconds=4.0, usual=0.06, longest=1.5)
    after = play(
        times, clock, draw, seconds=0.6, usual=0.06 * factor, longest=1.5
    )
    assert sum(before) < 0.2 * len(before)
    assert (sum(after) > 0.3 * len(after)) is (factor > 1.0)
    if factor > 1.0:
        times.reset_baseline()
        assert not times.are_longer()


@pytest.mark.parametrize('uneven', [0.8, 1.2, 1.6])
@pytest.mark.parametrize('rhythm', [2.0, 2.5, 4.0])
def test_each_of_many_shifts_is_noticed(rhythm, uneven):
    """A map is kept for three seconds after a shift.

    Sequence: demand shifts each 2 to 4 s and passes are longer for most of
    that time; the shift after next is not told by passes.
    Cause: passes were compared with the median of the last 20, which was one
    of an uneven map.
    """
    clock = Clock()
    times = pass_times.PassTimes(clock=clock)
    draw = random.Random(1)
    play(times, clock, draw, seconds=3.0, usual=0.06, longest=1.2)
    uneven_passes = {'usual': 0.105, 'longest': 1.2}
    for _ in range(6):
        seen = play(times, clock, draw, seconds=0.4, **uneven_passes)
        assert any(seen)
        times.reset_baseline()
        play(times, clock, draw, seconds=uneven - 0.4, **uneven_passes)
        left = rhythm - uneven
        play(times, clock, draw, seconds=left, usual=0.06, longest=1.2)


@pytest.mark.parametrize('most', [2.0, 3.0, 5.0])
def test_more_requests_are_no_shift(most):
    """Counts are read each half second while callers come back.

    Sequence: requests in flight grow from one to five on an endpoint, and
    passes with them; nothing else is asked for.
    Cause: passes were compared whatever ran in them.
    """
    clock = Clock()
    running = 1.0
    times = pass_times.PassTimes(
        clock=clock, running=lambda: running, base=lambda: 0.034
    )
    seen = []
    while running < most:
        running += 0.1
        length = 0.034 + 0.014 * running
        clock.now += length
        times.note_local(length)
        seen.append(times.are_longer())
    assert not any(seen)


def test_streams_after_a_silence_are_not_compared_with_those_before():
    clock = Clock()
    times = pass_times.PassTimes(clock=clock)
    times.note_local(0.05)
    clock.now = 4.0
    assert not times.are_longer()
    times.note_local(0.2)
    assert not times.are_longer()


def test_passes_that_peers_tell_are_not_told_on():
    """Passes look longer for good.

    Sequence: an entry tells a peer of a long pass; the peer tells it back.
    Cause: what was told was taken for what own streams had shown.
    """
    clock = Clock()
    times = pass_times.PassTimes(clock=clock)
    times.note_reported(0.4)
    assert times.last_local() == 0.0
    times.note_local(0.1)
    assert times.last_local() == 0.1
    clock.now = 0.3
    assert times.last_local() == 0.0


def test_leader_without_streams_notices_longer_passes():
    """A shift of demand is noticed by chance, a second after it.

    Sequence: a leader is given no callers, so no stream shows it a pass.
    Cause: only own streams told how long passes last.
    """
    clock = Clock()
    times = pass_times.PassTimes(clock=clock)
    for length in [0.1] * 30 + [0.2] * 3:
        clock.now += length
        for _ in range(5):
            times.note_reported(length)
    assert times.are_longer()
