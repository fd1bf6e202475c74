"""Tests of how many requests a group runs at once.

The load that these stand for: a group of 72 ranks with five slots each, whose
requests ask for other experts each few seconds.  Until the next map a pass
takes two to three times as long for each request, and one pass over the
accepted pause makes all streams late.  Figures of the group are those of its
published engine and of the passes that were seen in it.
"""

import pytest

from marigoldramp.gateway import concurrency_limits
from marigoldramp.gateway import deployment

SLOTS = 5.0
ACCEPTED = 0.12
#: Seconds of an empty pass, and what each request adds with an even map.
BASE = 0.034
A_REQUEST = 0.0078
#: Times longer that this is for an uneven map, also while it is changed.
UNEVEN = 3.0
ENGINE = deployment.Engine(
    slots=5,
    step=0.00484,
    step_per_request=0.00087,
    prompt_rate=74800.0,
    mean_prompt_tokens=800,
    mean_answer_tokens=160,
    expert_share=0.85,
    stride=7,
)


class Group:
    """A group that runs as many requests as the limit lets it.

    :ivar lengths: of its passes, in seconds.
    """

    def __init__(self, *, engine=ENGINE, accepted=ACCEPTED):
        self.now = 0.0
        self.accepted = accepted
        self.running = 0.0
        self.lengths = []
        self.limiter = concurrency_limits.ConcurrencyLimiter(
            clock=lambda: self.now,
            running=lambda: self.running,
            engine=lambda: engine,
            accepted_pause=lambda: accepted,
        )

    def run(self, *, seconds, factor=1.0, wanted=9.0, extra=0.0):
        """Make passes for a while.

        :param wanted: requests that callers want to run on an endpoint.
        :param extra: seconds by which each pass is longer.
        """
        until = self.now + seconds
        while self.now < until:
            self.running = min(wanted, self.limiter.limit(SLOTS))
            length = BASE + A_REQUEST * factor * self.running + extra
            self.now += length
            self.lengths.append(length)
            for _ in range(3):
                self.limiter.note_pause(
                    seconds=length, accepted_pause=self.accepted
                )

    def run_shifts(self, *, times, rhythm, uneven):
        for _ in range(times):
            self.run(seconds=uneven, factor=UNEVEN)
            self.run(seconds=rhythm - uneven)

    @property
    def limit(self):
        return self.limiter.limit(SLOTS)


@pytest.mark.parametrize('uneven', [0.5, 0.9, 1.5])
@pytest.mark.parametrize('rhythm', [2.5, 4.0, 8.0])
@pytest.mark.parametrize('engine', [ENGINE, None], ids=['known', 'unknown'])
def test_passes_after_a_shift_are_in_time(engine, rhythm, uneven):
    """All streams are late after each shift of demand.

    Sequence: the group is even and runs as many as it has slots; demand
    shifts; each pass until the next map is longer than callers accept; the
    limit falls, and rises again before the next shift.
    Cause: the limit followed most passes, and not the longest.
    """
    group = Group(engine=engine)
    group.run(seconds=1.0, wanted=1.0)
    group.run_shifts(times=1, rhythm=rhythm, uneven=uneven)
    first = len(group.lengths)
    group.run_shifts(times=6, rhythm=rhythm, uneven=uneven)
    seen = group.lengths[first:]
    assert max(seen) <= ACCEPTED
    # No more room is left than has to be.
    assert max(seen) >= 0.85 * ACCEPTED
    assert group.limit >= concurrency_limits.LEAST_SHARE * SLOTS


def test_first_shift_finds_room():
    """All streams of the first seconds are late, also after a power loss.

    Sequence: all entries start anew; callers come back and fill all slots;
    demand shifts for the first time since.
    Cause: nothing told how long passes can be before the first long one.
    """
    group = Group()
    group.run(seconds=1.0)
    group.run(seconds=1.0, factor=UNEVEN)
    assert max(group.lengths) <= ACCEPTED


@pytest.mark.parametrize(
    ('engine', 'accepted', 'least', 'most'),
    [
        (ENGINE, ACCEPTED, 3.2, 3.8),
        (ENGINE, 0.0, 5.0, 5.0),
        (None, 0.12, 5, 5),
    ],
    ids=['known', 'no bound', 'unknown engine'],
)
def test_room_is_left_before_the_first_pass(engine, accepted, least, most):
    """All slots are full when the first pass after a power loss is seen.

    Sequence: all entries start anew; their callers come back at once and are
    given places until an event tells how long passes are, 0.15 s later.
    Cause: the published figures were looked at with the first pass.
    """
    group = Group(engine=engine, accepted=accepted)
    assert least <= group.limit <= most


@pytest.mark.parametrize(
    ('seconds', 'engine'),
    [(0.5, None), (concurrency_limits.HORIZON + 1.0, ENGINE)],
    ids=['unknown engine', 'even for long'],
)
def test_even_group_uses_all_slots(seconds, engine):
    group = Group(engine=engine)
    group.run(seconds=seconds)
    assert group.limit == SLOTS


def test_slots_are_used_again_when_demand_no_longer_shifts():
    group = Group()
    group.run_shifts(times=4, rhythm=2.5, uneven=0.9)
    assert group.limit < SLOTS
    group.run(seconds=concurrency_limits.HORIZON + 0.5)
    assert group.limit == SLOTS


@pytest.mark.parametrize(
    ('factor', 'extra'),
    [(8.0, 0.0), (1.0, 0.08), (1.0, 0.6)],
    ids=['very uneven', 'slow rank', 'rank twelve times slower'],
)
def test_group_that_cannot_be_in_time_is_not_held_back(factor, extra):
    """Requests wait for five seconds after a group is well again.

    Sequence: passes are longer for six seconds than any limit could make
    them; then they are as short as before; callers that ask again keep a
    queue in which each request is late before it has a place.
    Cause: the limit stayed at three fifths of the slots.
    """
    group = Group()
    group.run(seconds=concurrency_limits.HORIZON + 1.0)
    group.run(seconds=6.0, factor=factor, extra=extra)
    group.run(seconds=0.3)
    assert group.limit == SLOTS


@pytest.mark.parametrize('length', [0.25, 0.375, 1.5])
def test_pass_that_stood_says_nothing(length):
    group = Group()
    group.run(seconds=concurrency_limits.HORIZON + 1.0)
    for _ in range(3):
        group.now += length
        group.limiter.note_pause(seconds=length, accepted_pause=ACCEPTED)
    assert group.limit == SLOTS


@pytest.mark.parametrize('wanted', [0.5, 1.5, 2.5])
def test_few_requests_say_nothing_of_many(wanted):
    """A group starts with three fifths of its slots for ten seconds.

    Sequence: the first callers come; of each pass that they see most goes
    into reading prompts.
    Cause: passes with few requests were taken for a measure of many.
    """
    group = Group(engine=None)
    group.run(seconds=1.0, wanted=wanted, extra=0.02)
    assert group.limit == SLOTS


def test_one_pass_that_an_entry_saw_late_changes_nothing():
    group = Group()
    group.run(seconds=concurrency_limits.HORIZON + 1.0)
    group.now += 0.13
    group.limiter.note_pause(seconds=0.13, accepted_pause=ACCEPTED)
    assert group.limit == SLOTS


def test_passes_that_peers_tell_count():
    group = Group(engine=None)
    group.run(seconds=1.0)
    for _ in range(4):
        group.now += 0.14
        group.limiter.note_reported(0.14)
    assert concurrency_limits.LEAST_SHARE * SLOTS <= group.limit < SLOTS


def test_route_without_a_bound_of_pauses_changes_nothing():
    group = Group(accepted=0.0)
    group.run(seconds=3.0, factor=9.0)
    assert group.limit == SLOTS
