"""Tests that a shift of expert demand is told from noise."""

import random

import pytest

from marigoldramp.gateway import expert_demand
from marigoldramp.gateway import ranks

LAYERS = 4
EXPERTS = 64
#: Requests that a rank counts in one window, and tokens of each.
REQUESTS = 6
TOKENS = 400


def make_profile(draw):
    """Return experts' popularity, of which a few take most of the tokens."""
    order = list(range(EXPERTS))
    draw.shuffle(order)
    weights = [0.0] * EXPERTS
    for place, expert in enumerate(order):
        weights[expert] = 1.0 / (1 + place) ** 1.1
    return weights


def shift(draw, profile, part):
    """Return a profile in which a part of the experts changed places."""
    moved = draw.sample(range(EXPERTS), round(part * EXPERTS))
    values = [profile[expert] for expert in moved]
    draw.shuffle(values)
    found = list(profile)
    for expert, value in zip(moved, values):
        found[expert] = value
    return found


def count(draw, profiles):
    """Return the counts of one rank for some requests, each with a topic."""
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
    """A rank that counts expert choices since its start."""

    def __init__(self):
        self.counts = [0] * (LAYERS * EXPERTS)
        self.epoch = 1
        self.born = 1

    def add(self, counts):
        self.counts = [old + new for old, new in zip(self.counts, counts)]

    def report_counts(self):
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
def test_shift_is_detected_in_one_window_and_noise_is_not(seed, part):
    """One window shows a shift, and windows without one show none.

    Requests of nine topics are counted on one rank in windows of 0.25 s, then
    half of the experts or more change places at once.  Averaging windows from
    before and after a shift keeps an uneven map for seconds; taking noise for
    a shift copies experts for nothing.
    """
    draw = random.Random(seed)
    profiles = [make_profile(draw) for _ in range(LAYERS)]
    demand, rank = make_demand(), Rank()
    demand.take_window(name='r', rank_counts=rank.report_counts())
    for number in range(1, 9):
        rank.add(count(draw, profiles))
        window = demand.take_window(name='r', rank_counts=rank.report_counts())
        if demand.has_counts():
            assert (
                demand.compute_distance(window)
                <= expert_demand.MAX_DISTANCE_THRESHOLD
            )
        demand.add(window, now=0.25 * number)
    shifted = [shift(draw, profile, part) for profile in profiles]
    rank.add(count(draw, shifted))
    window = demand.take_window(name='r', rank_counts=rank.report_counts())
    assert (
        demand.compute_distance(window) > expert_demand.MAX_DISTANCE_THRESHOLD
    ) is (part > 0.0)


def test_counts_before_a_shift_are_forgotten():
    draw = random.Random(1)
    demand, rank = make_demand(), Rank()
    for number in range(6):
        window = demand.take_window(name='r', rank_counts=rank.report_counts())
        if window is not None:
            demand.add(window, now=number)
        profile = make_profile(draw)
        rank.add([round(1e4 * one) for one in profile * LAYERS])
    window = demand.take_window(name='r', rank_counts=rank.report_counts())
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
    demand.take_window(name='r', rank_counts=rank.report_counts())
    rank.epoch, rank.born = epoch, born
    rank.add([100 * counts] * LAYERS * EXPERTS)
    assert (
        demand.take_window(name='r', rank_counts=rank.report_counts()) is None
    )


def test_windows_of_ranks_with_few_requests_are_added_up():
    """A shift in a large group is detected.

    Each of 192 ranks reads one prompt per second, so in a window of 0.2 s most
    ranks only count some generated tokens.  If each such window is dropped as
    too small by itself, a shift is never detected.
    """
    draw = random.Random(3)
    profiles = [make_profile(draw) for _ in range(LAYERS)]
    demand = make_demand()
    windows = []
    for number in range(12):
        rank = Rank()
        demand.take_partial_window(
            name=str(number), rank_counts=rank.report_counts()
        )
        rank.add([one // 12 for one in count(draw, profiles)])
        window = demand.take_partial_window(
            name=str(number), rank_counts=rank.report_counts()
        )
        assert not window.is_sufficient()
        windows.append(window)
    merged = expert_demand.merge(windows)
    assert merged.is_sufficient()
    demand.add(merged, now=1.0)
    assert demand.has_counts()
    assert expert_demand.merge(windows[:1]) is None
    assert expert_demand.merge([]) is None


def test_few_counts_are_kept_for_the_next_window():
    demand, rank = make_demand(), Rank()
    demand.take_window(name='r', rank_counts=rank.report_counts())
    size = LAYERS * EXPERTS
    for _ in range(3):
        rank.add([3] * size)
        window = demand.take_window(name='r', rank_counts=rank.report_counts())
    assert window.counts == (9,) * size


@pytest.mark.parametrize(
    ('differences', 'limit'),
    [
        ([], 0.22),
        ([0.17] * 9, 0.22),
        ([0.06] * 9, 0.108),
        ([0.01] * 9, 0.08),
        ([0.17] + [0.05] * 30, 0.09),
    ],
)
def test_shift_threshold_follows_the_noise_of_windows(differences, limit):
    """The threshold for a shift follows the noise between windows.

    In a large group a shift moves 0.15 of the choices, while windows of four
    ranks differ by 0.06 without one.  With the threshold needed for one rank
    of sixteen, an uneven map is kept until the next periodic plan.
    """
    threshold = expert_demand.AdaptiveThreshold(maximum=0.22, minimum=0.08)
    for difference in differences:
        threshold.record(difference)
    assert threshold.limit() == pytest.approx(limit, abs=0.002)
