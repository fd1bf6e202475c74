"""Tests of when a group's map is changed, and to what."""

import random

import anyio
import pytest
import virtual_time

from marigoldramp import expert_maps
from marigoldramp.gateway import demand_monitor
from marigoldramp.gateway import expert_planner
from marigoldramp.gateway import pass_times
from marigoldramp.gateway import rank_transport
from marigoldramp.gateway import ranks
from marigoldramp import layer_moves

from . import fake_ranks

pytestmark = pytest.mark.anyio
SHAPE = expert_maps.Shape(ranks=8, experts=32, layers=2, slots=5)
SPARE = 2


@pytest.fixture
def anyio_backend():
    return virtual_time.make_backend()


class FakeClient:
    """Stands in for the client of the agents of a group."""

    def __init__(self, names):
        self.names = names

    def members(self):
        return self.names

    def find_agent(self, rank):
        return self.names[rank]


def make_planner(use, slow=None, shape=SHAPE, **more):
    group = fake_ranks.FakeGroup(
        size=shape.ranks,
        experts=shape.experts,
        layers=shape.layers,
        clock=virtual_time.now,
    )
    planner = expert_planner.ExpertPlanner(
        api=group,
        shape=shape,
        spare=SPARE,
        slots=6,
        find=group.find,
        use=lambda: use,
        passes=pass_times.PassTimes(clock=virtual_time.now),
        slow_ranks=lambda: {} if slow is None else slow,
        clock=virtual_time.now,
        **more,
    )
    return planner, group


def count(group, weights):
    """Let every rank count by the weights of the experts."""
    for counts in group.counts_now:
        for number in range(len(counts)):
            counts[number] += weights[number % SHAPE.experts]


async def decide(planner, group, weights, times=4):
    """Return the last plan that is made in some reads of counts."""
    plan = None
    current = rank_transport.initial_map(shape=SHAPE)
    for _ in range(times):
        await anyio.sleep(expert_planner.SAMPLE_SECONDS)
        count(group, weights)
        plan = (
            await planner.plan(
                expert_map=current, client=FakeClient(group.names())
            )
            or plan
        )
    return plan


EVEN = [100] * SHAPE.experts
ONE_HOT = [100] * (SHAPE.experts - 1) + [3000]
SLIGHT = [100] * (SHAPE.experts - 1) + [200]


@pytest.mark.parametrize(
    ('weights', 'use', 'changes'),
    [
        (EVEN, 0.0, False),
        (EVEN, 1.0, False),
        (ONE_HOT, 0.0, True),
        (ONE_HOT, 1.0, True),
        (SLIGHT, 0.0, False),
        (SLIGHT, 1.0, True),
    ],
)
async def test_change_has_to_be_worth_its_copies(weights, use, changes):
    planner, group = make_planner(use)
    plan = await decide(planner, group, weights)
    assert (plan is not None) is changes


@pytest.mark.parametrize(('seconds', 'even'), [(0.11, False), (0.0026, True)])
async def test_map_is_made_even_where_copies_are_quick(seconds, even):
    """Streams of a little used group are late after the next shift.

    Sequence: the group is little used, so its map is left with a skew of 1.5;
    demand shifts while more requests come.
    Cause: copies of 2.6 ms were weighed like those of 0.11 s.
    """
    planner, group = make_planner(0.3, seconds_a_copy=seconds)
    plan = await decide(planner, group, [100, 400] * (SHAPE.experts // 2))
    assert plan is not None or not even
    if plan is not None:
        loads = expert_maps.rank_loads(
            layer=plan.layers[0],
            popularity=[100.0, 400.0] * (SHAPE.experts // 2),
        )
        assert (expert_maps.skew(loads) < 1.2) is even


@pytest.mark.parametrize('steady', [8.0, 8.7, 9.4, 10.1, 10.8])
async def test_few_choices_that_move_to_one_rank_are_noticed(steady):
    """A map with a skew of two is kept until it is time to look anyway.

    Sequence: a shift moves a tenth of the choices, as little as chance does,
    but all of them to experts of one rank.
    Cause: windows were compared with what was counted before, and not with
    what the map in force was made for.
    """
    planner, group = make_planner(1.0)
    weights = list(EVEN)
    found = []

    async def run():
        while True:
            count(group, weights)
            await anyio.sleep(0.05)

    async def lead():
        while True:
            plan = await planner.plan(
                expert_map=rank_transport.initial_map(shape=SHAPE),
                client=FakeClient(group.names()),
            )
            if plan is not None:
                found.append(virtual_time.now())

    async with anyio.create_task_group() as tasks:
        tasks.start_soon(run)
        tasks.start_soon(lead)
        await anyio.sleep(steady)
        assert not found
        weights[0] = 450
        shifted_at = virtual_time.now()
        await anyio.sleep(1.6)
        tasks.cancel_scope.cancel()
    assert found and found[0] - shifted_at < 1.5


async def test_plan_from_few_counts_is_refined_though_it_looks_like_a_shift():
    """A map that was made from three prompts is kept for three seconds.

    Sequence: the next counts show that it is uneven; the ranks are counted
    anew, which shows no shift since; so nothing is planned, and the counts
    that showed it are dropped.
    Cause: what looked like a shift and was none ended the look.
    """
    planner, group = make_planner(1.0)
    watch = planner._watch
    names = group.names()
    weights = [100 + 40 * (number % 5) for number in range(SHAPE.experts)]

    async def run():
        while True:
            count(group, weights)
            await anyio.sleep(0.05)

    async def find_no_shift(names, find_skew):
        return False

    async with anyio.create_task_group() as tasks:
        tasks.start_soon(run)
        await watch.measure_first(names, 0.0)
        watch.note_planned()
        watch.note_skew(1.0)
        await anyio.sleep(demand_monitor.REFINE_SECONDS)
        with pytest.MonkeyPatch.context() as patch:
            patch.setattr(
                demand_monitor.DemandMonitor,
                'measure',
                lambda self, names, find_skew: find_no_shift(names, find_skew),
            )
            sign = await watch.look(names, 1, 0.0, lambda window: 9.0)
        tasks.cancel_scope.cancel()
    assert sign is demand_monitor.Sign.COUNTED


@pytest.mark.parametrize(
    ('seen_since', 'changes'),
    [(120, False), (220, False), (600, True)],
    ids=['as planned', 'a little uneven', 'uneven'],
)
async def test_plan_is_refined_only_for_much(seen_since, changes):
    """A shift is planned for 1.2 s after it instead of 0.6 s.

    Sequence: a plan for a shift leaves a skew of a tenth or two, by what is
    counted after it; a second change takes that away; demand shifts while
    reports of ranks do not show the change yet.
    Cause: what a second change costs was compared with its orders alone.
    """
    planner, group = make_planner(1.0)
    weights = list(EVEN)

    async def run():
        while True:
            count(group, weights)
            await anyio.sleep(0.05)

    async with anyio.create_task_group() as tasks:
        tasks.start_soon(run)
        client = FakeClient(group.names())
        first = rank_transport.initial_map(shape=SHAPE)
        await planner.plan(expert_map=first, client=client)
        # Of one rank's experts, which the plan before took for even.
        weights[0] = seen_since
        plan = None
        until = virtual_time.now() + demand_monitor.REFINE_SECONDS + 0.3
        with pytest.MonkeyPatch.context() as patch:
            patch.setattr(
                demand_monitor.DemandMonitor,
                '_shows_shift',
                lambda self, window, signs, find_skew: False,
            )
            while plan is None and virtual_time.now() < until:
                plan = await planner.plan(expert_map=first, client=client)
        tasks.cancel_scope.cancel()
    assert (plan is not None) is changes


@pytest.mark.parametrize(
    ('experts', 'layers', 'at_once'),
    [(64, 4, 6), (144, 12, 4), (384, 10, 2), (384, 60, 1)],
)
async def test_group_pauses_little_for_reads_in_each_pass(
    experts, layers, at_once
):
    """All streams of a large group are late by each look at its counts.

    Sequence: passes last 0.12 s, of which callers accept 0.15; six ranks are
    read at once, for each of which the group pauses for 5 ms.
    Cause: how many are read at once did not depend on what they count.
    """
    shape = expert_maps.Shape(
        ranks=16, experts=experts, layers=layers, slots=24
    )
    planner, group = make_planner(1.0, shape=shape)
    reading = most = 0

    async def counts(*, address, identity):
        nonlocal reading, most
        reading += 1
        most = max(most, reading)
        await anyio.sleep(0.01)
        reading -= 1
        return ranks.NoReply(detail='not asked for here')

    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(group, 'counts', counts)
        await planner._watch._read(group.names())
    assert most == at_once


async def test_new_leader_plans_from_its_first_counts():
    """All callers come back to a group with an uneven map for 1.3 s.

    Sequence: all entries start anew while requests run; the next leader
    reads one rank and then, a second later, reads it again.
    Cause: the first reading, which nothing can be compared with, was taken
    for one of those that a shift is looked for in.
    """
    planner, group = make_planner(1.0)
    async with anyio.create_task_group() as tasks:

        async def run():
            while True:
                count(group, ONE_HOT)
                await anyio.sleep(0.05)

        tasks.start_soon(run)
        began = virtual_time.now()
        plan = await planner.plan(
            expert_map=rank_transport.initial_map(shape=SHAPE),
            client=FakeClient(group.names()),
        )
        tasks.cancel_scope.cancel()
    assert plan is not None
    assert virtual_time.now() - began < 2 * demand_monitor.MEASURE_SECONDS


@pytest.mark.parametrize('turned', [frozenset(), frozenset({2})])
async def test_ranks_that_turn_slow_are_planned_for_at_once(turned):
    """Passes take four times longer for a second more than they must.

    Sequence: a rank turns slow just after a plan was made; the next one is
    made when demand has been counted for longer.
    Cause: only a shift of demand was a reason not to wait.
    """
    slow = {}
    planner, group = make_planner(1.0, slow)
    await decide(planner, group, EVEN, times=6)
    slow.update(dict.fromkeys(turned, 4.0))
    began = virtual_time.now()
    plan = await planner.plan(
        expert_map=rank_transport.initial_map(shape=SHAPE),
        client=FakeClient(group.names()),
    )
    assert (plan is not None) is bool(turned)
    assert (virtual_time.now() == began) is bool(turned)


@pytest.mark.parametrize('seed', range(5))
async def test_plan_can_be_prepared(seed):
    """Ranks refuse a map, each time it is planned.

    Sequence: a plan gives a rank more new experts than it can copy.
    Cause: moves sought without the bound of the ranks.
    """
    draw = random.Random(seed)
    weights = [int(1000 / (1 + draw.randrange(40))) for _ in EVEN]
    planner, group = make_planner(1.0)
    plan = await decide(planner, group, weights)
    assert plan is not None
    new = expert_maps.ExpertMap(
        version=rank_transport.read_version(1), layers=plan.layers
    )
    assert expert_maps.check(expert_map=new, shape=SHAPE) == ()
    old = rank_transport.initial_map(shape=SHAPE)
    for before, after in zip(old.layers, plan.layers):
        for held, wanted in zip(before, after):
            assert len(set(wanted) - set(held)) <= SPARE


@pytest.mark.parametrize(('seconds', 'most'), [(0.0, 4), (0.11, 3), (0.3, 1)])
async def test_no_rank_copies_for_longer_than_the_others_wait(seconds, most):
    """A group stays uneven for a second after a plan was made.

    Sequence: requests ask for other experts; the plan gives one rank eight
    of them, and the change waits until that rank has copied them all.
    Cause: copies were bounded by layer, and all ranks wait for the slowest.
    """
    draw = random.Random(3)
    weights = [int(3000 / (1 + draw.randrange(40))) for _ in EVEN]
    planner, group = make_planner(1.0, seconds_a_copy=seconds)
    plan = await decide(planner, group, weights)
    old = rank_transport.initial_map(shape=SHAPE)
    copies = [
        sum(
            len(set(after[rank]) - set(before[rank]))
            for before, after in zip(old.layers, plan.layers)
        )
        for rank in range(SHAPE.ranks)
    ]
    assert 0 < max(copies) <= most
    if seconds:
        assert plan.load_seconds == pytest.approx(
            max(copies) * seconds * expert_planner.COPY_MARGIN
        )
    else:
        assert plan.load_seconds is None


async def test_counts_of_a_new_epoch_are_not_compared_with_old_ones():
    planner, group = make_planner(1.0)
    await decide(planner, group, ONE_HOT, times=2)
    known = list(planner._watch.demand.estimate(0))
    group.reform()
    for counts in group.counts_now:
        counts[:] = [0] * len(counts)
    # What was known stays known: requests ask for what they did.
    await decide(planner, group, EVEN, times=1)
    assert list(planner._watch.demand.estimate(0)) == known


@pytest.mark.parametrize('most', [0, 1, 2])
def test_search_keeps_to_the_bound_of_new_experts(most):
    layer = tuple(
        tuple(range(rank, SHAPE.experts, SHAPE.ranks))
        for rank in range(SHAPE.ranks)
    )
    search = layer_moves.LayerSearch(
        layer=layer,
        popularity=[1.0 / (1 + number) for number in range(SHAPE.experts)],
        slots=SHAPE.slots,
        most_new=most,
    )
    while (move := search.find()) is not None:
        search.apply(move)
    for held, found in zip(layer, search.layer()):
        assert len(set(found) - set(held)) <= most


@pytest.mark.parametrize(
    ('use', 'slow', 'left'),
    [
        (1.0, {3: 1.6}, 0),
        (0.0, {3: 4.0}, 0),
        (1.0, {3: 4.0}, 0),
        # Six ranks have thirty places for thirty-two experts.
        (1.0, {3: 4.0, 5: 4.0}, 2),
    ],
)
async def test_slow_ranks_get_no_experts(use, slow, left):
    """Every stream of a group is late while one rank computes slowly.

    Sequence: a rank turns slow; requests are kept away from it; each pass
    still waits for its experts.
    Cause: the search evens out the numbers of tokens, not their time.
    """
    planner, group = make_planner(use, slow)
    plan = await decide(planner, group, EVEN)
    assert plan is not None
    for layer in plan.layers:
        assert min(expert_maps.count_replicas(layer=layer, experts=32)) >= 1
        assert sum(len(layer[rank]) for rank in slow) == left


async def test_rank_at_its_usual_pace_gets_experts_again():
    planner, group = make_planner(1.0)
    first = rank_transport.initial_map(shape=SHAPE)
    layers = tuple(
        ((), *layer[1:-1], layer[0] + layer[-1]) for layer in first.layers
    )
    current = expert_maps.ExpertMap(version=first.version, layers=layers)
    for _ in range(4):
        await anyio.sleep(expert_planner.SAMPLE_SECONDS)
        count(group, EVEN)
        plan = await planner.plan(
            expert_map=current, client=FakeClient(group.names())
        )
        if plan is not None:
            break
    assert plan is not None
    assert all(layer[0] for layer in plan.layers)


async def test_large_group_becomes_as_even_as_a_small_one():
    """Streams of a large group are late though its map changes often.

    Sequence: experts of a group of 72 ranks are in unlike demand; the map
    changes, and the most loaded rank still has a third more than the mean.
    Cause: moves were counted by layer, whatever the number of ranks, and a
    copy had to gain as much of the skew as in a group of 16.
    """
    shape = expert_maps.Shape(ranks=72, experts=144, layers=1, slots=3)
    planner, group = make_planner(1.0, shape=shape)
    drawn = random.Random(1)
    weights = [
        round(1000 * drawn.lognormvariate(0.0, 0.8))
        for _ in range(shape.experts)
    ]
    plan = None
    for _ in range(12):
        await anyio.sleep(expert_planner.SAMPLE_SECONDS)
        for counts in group.counts_now:
            for number, weight in enumerate(weights):
                counts[number] += weight
        plan = await planner.plan(
            expert_map=rank_transport.initial_map(shape=shape),
            client=FakeClient(group.names()),
        )
        if plan is not None:
            break
    assert plan is not None
    loads = expert_maps.rank_loads(layer=plan.layers[0], popularity=weights)
    assert expert_maps.skew(loads) < 1.2
