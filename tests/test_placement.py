"""Tests of rebalancing policies and of the limits that hold for all."""

import random

import anyio
import hypothesis
from hypothesis import strategies
import pytest

from marigoldramp import bundle
from marigoldramp import expert_maps
from marigoldramp import placement

POLICIES = ['never_move', 'recompute', 'incremental']


def make_group(**rest):
    values = {
        'name': 'drafts',
        'service': 'draft',
        'ranks': 4,
        'experts': 12,
        'layers': 2,
        'slots': 4,
        'moves_per_interval': 6,
    }
    return bundle.Group(**(values | rest))


def make_situation(group, popularity, most_loads=6):
    shape = expert_maps.Shape(
        ranks=group.ranks,
        experts=group.experts,
        layers=group.layers,
        slots=group.slots,
    )
    layers = expert_maps.spread(
        shape=shape, version=expert_maps.Version(fence=0, number=0)
    ).layers
    return shape, placement.Situation(
        layers=layers, popularity=popularity, most_loads=most_loads
    )


def make_policy(name, group):
    return placement.RebalancingPolicy.find(name)(group=group)


def draw_popularity(group, seed, spread=1.0):
    generator = random.Random(seed)
    rows = []
    for _ in range(group.layers):
        row = [
            generator.lognormvariate(0, spread) for _ in range(group.experts)
        ]
        rows.append([one / sum(row) for one in row])
    return tuple(rows)


@hypothesis.given(
    name=strategies.sampled_from(POLICIES),
    seed=strategies.integers(0, 10**6),
    mode=strategies.sampled_from(list(bundle.MapMode)),
    threshold=strategies.sampled_from([1.01, 1.1, 1.3]),
)
def test_proposals_are_whole_and_honest(name, seed, mode, threshold):
    group = make_group(mode=mode, skew_threshold=threshold)
    popularity = draw_popularity(group, seed)
    shape, situation = make_situation(group, popularity)
    proposal = run(make_policy(name, group), situation)
    if isinstance(proposal, placement.Stay):
        assert proposal.reason
        return
    expert_map = expert_maps.ExpertMap(
        version=expert_maps.Version(fence=0, number=1),
        layers=proposal.layers,
    )
    assert expert_maps.check(expert_map=expert_map, shape=shape) == ()
    assert proposal.skew_after == pytest.approx(
        placement.mean_skew(layers=proposal.layers, popularity=popularity)
    )
    assert proposal.skew_after < proposal.skew_before + 1e-9
    needed = placement.count_loads(old=situation.layers, new=proposal.layers)
    assert needed <= proposal.loads
    if name == 'incremental':
        assert proposal.loads <= situation.most_loads


def run(policy, situation):
    """Run a policy next to a task that counts its turns in the event loop.

    Heartbeats share the event loop with policies, so a policy has to yield.
    """
    turns = 0

    async def count_turns():
        nonlocal turns
        while True:
            turns += 1
            await anyio.sleep(0)

    async def decide():
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(count_turns)
            decision = await policy.begin_interval(situation=situation)
            tasks.cancel_scope.cancel()
        return decision

    decision = anyio.run(decide)
    assert turns >= (policy.name != 'never_move') * policy.group.layers
    return decision


@pytest.mark.parametrize('name', ['never_move', 'incremental'])
def test_even_load_is_not_rebalanced(name):
    group = make_group(slots=3)
    even = ([1 / 12] * 12,) * 2
    _, situation = make_situation(group, even)
    proposal = run(make_policy(name, group), situation)
    assert isinstance(proposal, placement.Stay) or not proposal.loads


@pytest.mark.parametrize(('threshold', 'moves'), [(1.05, True), (3.0, False)])
def test_only_layers_above_the_threshold_change(threshold, moves):
    group = make_group(skew_threshold=threshold)
    hot = [0.7 / 11] * 11 + [0.3]
    _, situation = make_situation(group, (hot, hot))
    proposal = run(make_policy('incremental', group), situation)
    assert isinstance(proposal, placement.Proposal) == moves


def test_disruption_mode_moves_less():
    loads = {}
    for mode in bundle.MapMode:
        group = make_group(mode=mode, skew_threshold=1.01, layers=60)
        popularity = draw_popularity(group, 7, spread=0.2)
        _, situation = make_situation(group, popularity, most_loads=500)
        proposal = run(make_policy('incremental', group), situation)
        loads[mode] = getattr(proposal, 'loads', 0)
    assert 0 < loads[bundle.MapMode.DISRUPTION] < loads[bundle.MapMode.SKEW]


@pytest.mark.parametrize(
    ('loads', 'slack', 'reason'),
    [
        (4, 10.0, None),
        (7, 10.0, 'over the limit'),
        (4, 0.055, 'promised deadline'),
    ],
)
def test_limits_of_a_change(loads, slack, reason):
    group = make_group()
    _, situation = make_situation(group, draw_popularity(group, 1))
    proposal = placement.Proposal(
        layers=situation.layers, loads=loads, skew_before=2, skew_after=1
    )
    checked = placement.check(
        proposal=proposal,
        situation=situation,
        group=group,
        disruption=placement.Disruption(
            stall_seconds=0.05, load_slowdown=0.03
        ),
        slack=lambda: slack,
    )
    if reason is None:
        assert checked == proposal
    else:
        assert reason in checked.reason


@pytest.mark.parametrize(
    ('rate', 'moves', 'slack', 'most'),
    [
        (5e8, 6, 10.0, 6),
        (5e6, 6, 10.0, 3),
        (5e8, 1000, 10.0, 300),
        (5e8, 6, 0.0599, 3),
        (5e8, 6, 0.051, 0),
        (5e8, 6, -1.0, 0),
    ],
)
def test_most_loads(rate, moves, slack, most):
    group = make_group(weight_bytes_per_second=rate, moves_per_interval=moves)
    assert placement.most_loads(group=group, slack=slack) == most
