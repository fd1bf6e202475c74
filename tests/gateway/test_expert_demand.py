"""Tests of how a shift of what requests ask for is told from chance."""

import random

import pytest

from marigoldramp.gateway import expert_demand
from marigoldramp.gateway import ranks

LAYERS = 4
EXPERTS = 64
#: Requests whose tokens a rank counts in one window, and tokens of each.
REQUESTS = 6
TOKENS = 400


def make_profile(draw):
    """Return how popular experts are: few take most of the tokens."""
    order = list(range(EXPERTS))
    draw.shuffle(order)
    weights = [0.0] * EXPERTS
    for place, expert in enumerate(order):
        weights[expert] = 1.0 / (1 + place) ** 1.1
    return weights


def shift(draw, profile, part):
    """Return a profile in which a part of the experts has other places."""
    moved = draw.sample(range(EXPERTS), round(part * EXPERTS))
    values = [profile[expert] for expert in moved]
    draw.shuffle(values)
    found = list(profile)
    for expert, value in zip(moved, values):
        found[expert] = value
    return found


def count(draw, profiles):
    """Return what one rank counts of some requests, a topic each."""
    counts = []
    topics = [make_profile(random.Random(number)) for number in range(9)]
    chosen = [draw.choice(topics) for _ in range(REQUESTS)]
    for profile in profiles:
        total = sum(profile)
        mixed = [0.75 * one / total for one in profile]
        for topic in chosen:
            for expert, weight in enumerate(topic):
                mixed[expert] += 0.25 * weight / sum(topic) / REQUESTS
        counts.extend(round(REQUESTS * TOKENS * one) for one in mixed)
    return counts


class Rank:
    """One rank that counts since its start."""

    def __init__(self):
        self.counts = [0] * (LAYERS * EXPERTS)
        self.epoch = 1
        self.born = 1

    def add(self, counts):
        self.counts = [old + new for old, new in zip(self.counts, counts)]

    def answer(self):
        return ranks.RankCounts(
            epoch=self.epoch,
            step=1,
            counts=tuple(self.counts),
            born=self.born,
        )


def make_demand():
    return expert_demand.ExpertDemand(layers=LAYERS, experts=EXPERTS)


@pytest.mark.parametrize('part', [0.0, 0.5, 0.7])
@pytest.mark.parametrize('seed', range(4))
def test_shift_is_seen_in_one_window_and_chance_is_not(seed, part):
    """An uneven map is kept for seconds, or copied for nothing.

    Sequence: requests of nine topics are counted on one rank in windows of a
    quarter of a second; then half of the experts change places at once.
    Cause: windows before and after were averaged, or chance taken for more.
    """
    draw = random.Random(seed)
    profiles = [make_profile(draw) for _ in range(LAYERS)]
    demand, rank = make_demand(), Rank()
    demand.take_window(name='r', rank_counts=rank.answer())
    for number in range(1, 9):
        rank.add(count(draw, profiles))
        window = demand.take_window(name='r', rank_counts=rank.answer())
        if demand.has_counts():
            assert (
                demand.compute_distance(window)
                <= expert_demand.MAX_DISTANCE_THRESHOLD
            )
        demand.add(window, now=0.25 * number)
    shifted = [shift(draw, profile, part) for profile in profiles]
    rank.add(count(draw, shifted))
    window = demand.take_window(name='r', rank_counts=rank.answer())
    assert (
        demand.compute_distance(window) > expert_demand.MAX_DISTANCE_THRESHOLD
    ) is (part > 0.0)


def test_counts_before_a_shift_are_forgotten():
    draw = random.Random(1)
    demand, rank = make_demand(), Rank()
    for number in range(6):
        window = demand.take_window(name='r', rank_counts=rank.answer())
        if window is not None:
            demand.add(window, now=number)
        profile = make_profile(draw)
        rank.add([round(1e4 * one) for one in profile * LAYERS])
    window = demand.take_window(name='r', rank_counts=rank.answer())
    demand.reset()
    demand.add(window, now=7.0)
    popular = demand.estimate(0)
    assert popular.index(max(popular)) == profile.index(max(profile))


@pytest.mark.parametrize(
    ('epoch', 'born', 'counts'),
    [
        pytest.param(2, 1, 1, id='the group formed anew'),
        pytest.param(1, 2, 1, id='the rank started again'),
        pytest.param(1, 1, -1, id='it counts from zero'),
        pytest.param(1, 1, 0, id='it had no requests'),
    ],
)
def test_counts_of_two_starts_are_not_compared(epoch, born, counts):
    demand, rank = make_demand(), Rank()
    rank.add([1000] * LAYERS * EXPERTS)
    demand.take_window(name='r', rank_counts=rank.answer())
    rank.epoch, rank.born = epoch, born
    rank.add([100 * counts] * LAYERS * EXPERTS)
    assert demand.take_window(name='r', rank_counts=rank.answer()) is None


def test_windows_of_ranks_with_few_requests_are_added_up():
    """A shift of demand in a large group is never noticed.

    Sequence: each of 192 ranks reads a prompt a second; in a window of 0.2 s
    most ranks count some tokens that are written and nothing else.
    Cause: each window was to say enough by itself, and else was dropped.
    """
    draw = random.Random(3)
    profiles = [make_profile(draw) for _ in range(LAYERS)]
    demand = make_demand()
    windows = []
    for number in range(12):
        rank = Rank()
        demand.take_partial_window(name=str(number), rank_counts=rank.answer())
        rank.add([one // 12 for one in count(draw, profiles)])
        window = demand.take_partial_window(
            name=str(number), rank_counts=rank.answer()
        )
        assert not window.is_sufficient()
        windows.append(window)
    merged = expert_demand.merge(windows)
    assert merged.is_sufficient()
    demand.add(merged, now=1.0)
    assert demand.has_counts()
    assert expert_demand.merge(windows[:1]) is None
    assert expert_demand.merge([]) is None


def test_little_that_one_rank_counts_is_kept_for_its_next_window():
    demand, rank = make_demand(), Rank()
    demand.take_window(name='r', rank_counts=rank.answer())
    size = LAYERS * EXPERTS
    for _ in range(3):
        rank.add([3] * size)
        window = demand.take_window(name='r', rank_counts=rank.answer())
    assert window.counts == (9,) * size


@pytest.mark.parametrize(
    ('usual', 'limit'),
    [
        ([], 0.22),
        ([0.17] * 9, 0.22),
        ([0.06] * 9, 0.108),
        ([0.01] * 9, 0.08),
        ([0.17] + [0.05] * 30, 0.09),
    ],
)
def test_shift_is_told_by_what_windows_usually_differ(usual, limit):
    """An uneven map of a large group is kept until its next look.

    Sequence: a shift moves 0.15 of the choices; windows of four ranks differ
    by 0.06 with nothing changed.
    Cause: a limit that windows of one rank of sixteen need.
    """
    chance = expert_demand.AdaptiveThreshold(maximum=0.22, minimum=0.08)
    for distance in usual:
        chance.record(distance)
    assert chance.limit() == pytest.approx(limit, abs=0.002)
