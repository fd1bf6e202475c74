"""Tests of orders to ranks: lost, late and from old leaders."""

import random

import anyio
import pytest
import virtual_time

from marigoldramp import expert_maps
from marigoldramp.gateway import rank_transport
from marigoldramp.gateway import ranks
from marigoldramp import leases
from marigoldramp import map_changes
from marigoldramp import map_leader
from marigoldramp import map_reconciliation

from . import fake_ranks

pytestmark = pytest.mark.anyio
SHAPE = expert_maps.Shape(ranks=4, experts=8, layers=2, slots=3)
TIMING = map_reconciliation.Timing(
    poll_seconds=0.5, retry_seconds=0.15, contend_seconds=0.5, lead_steps=8
)


@pytest.fixture
def anyio_backend():
    return virtual_time.make_backend()


class FakeLease:
    """A lease that a test moves from one holder to another."""

    def __init__(self, *, lease_state, holder):
        self.lease_state = lease_state
        self.holder = holder
        self.fence = 0

    async def acquire(self):
        if self.lease_state.holder in (None, self.holder):
            if self.lease_state.holder is None:
                self.lease_state.fence += 1
                self.fence = self.lease_state.fence
            self.lease_state.holder = self.holder
            return self
        return None

    async def renew(self):
        return None

    async def release(self):
        if self.lease_state.holder == self.holder:
            self.lease_state.holder = None

    def held(self):
        return self.lease_state.holder == self.holder


class LeaseState:
    """The holder of the lease and the last fencing number."""

    def __init__(self):
        self.holder = None
        self.fence = 0


class Planner:
    """Wants another map each time it is called.

    :ivar load_seconds: expected copy time; the fake ranks take 0.1 s.
    """

    def __init__(self, load_seconds=None):
        self.load_seconds = load_seconds
        self.done = 0
        self.wanted = 0

    async def plan(self, *, expert_map, client):
        self.wanted += 1
        turn = self.wanted % SHAPE.ranks
        layers = tuple(
            tuple(
                tuple(sorted({*held[:2], (rank + turn + 1) % SHAPE.experts}))
                for rank, held in enumerate(
                    rank_transport.initial_map(shape=SHAPE).layers[0]
                )
            )
            for _ in range(SHAPE.layers)
        )
        return map_changes.Plan(
            layers=layers, load_limit=4.0, load_seconds=self.load_seconds
        )

    def record_outcome(self, *, plan, done):
        self.done += done


def make_leader(group, lease_state, name, load_seconds=None):
    planner = Planner(load_seconds)
    transport = rank_transport.RankTransport(
        api=group,
        group='g',
        shape=SHAPE,
        find_endpoint=group.find,
        clock=virtual_time.now,
        fenced=group.checks_token,
    )
    leader = map_leader.Leader(
        group='g',
        instance=name,
        shape=SHAPE,
        agents=group.names,
        transport=transport,
        lease=FakeLease(lease_state=lease_state, holder=name),
        renew_seconds=1.0,
        planner=planner,
        clock=virtual_time.now,
        timing=TIMING,
        fenced=group.checks_token,
    )
    return leader, planner


def make_group(**more):
    return fake_ranks.FakeGroup(
        size=SHAPE.ranks,
        experts=SHAPE.experts,
        layers=SHAPE.layers,
        clock=virtual_time.now,
        **more,
    )


@pytest.mark.parametrize('load_seconds', [None, 0.05, 0.12])
@pytest.mark.parametrize('fenced', [True, False])
async def test_maps_change_one_after_the_other(fenced, load_seconds):
    group = make_group(checks_token=fenced)
    leader, planner = make_leader(group, LeaseState(), 'one', load_seconds)
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(group.run)
        tasks.start_soon(leader.run)
        await anyio.sleep(20.0)
        tasks.cancel_scope.cancel()
    assert planner.done > 5
    assert group.mixed_steps == []
    assert len({rank.version for rank in group.ranks}) == 1


@pytest.mark.parametrize('fenced', [True, False])
async def test_change_does_not_wait_for_a_settled_report(fenced):
    """A group changes its map as soon as its ranks have copied.

    Ranks copy for 0.1 s.  Before the leader holds a rank it asks for the step
    that the rank has begun.  An older report is good enough for that, as a
    hold of a step that has begun is refused and the next step is tried.
    Waiting for a report that shows all orders keeps the group uneven for
    another 0.2 s.
    """
    group = make_group(checks_token=fenced)
    leader, planner = make_leader(
        group, LeaseState(), 'one', load_seconds=0.12
    )
    seen = {}

    def choose_outcome(order):
        kind = type(order.body).__name__
        if seen or kind == 'Prepare':
            seen.setdefault(kind, virtual_time.now())
        return True, 0.0

    async with anyio.create_task_group() as tasks:
        tasks.start_soon(group.run)
        tasks.start_soon(leader.run)
        await anyio.sleep(2.0)
        group.choose_outcome = choose_outcome
        await anyio.sleep(3.0)
        tasks.cancel_scope.cancel()
    assert planner.done
    took = seen['Hold'] - seen['Prepare']
    assert took < rank_transport.REPORT_LAG_SECONDS
    assert group.mixed_steps == []


def make_order_faults(seed, share):
    draw = random.Random(seed)

    def choose_outcome(order):
        if draw.random() >= share:
            return True, 0.0
        kind = draw.randrange(3)
        if kind == 0:
            return False, None
        if kind == 1:
            return False, 0.0
        return False, draw.uniform(0.5, 8.0)

    return choose_outcome


@pytest.mark.parametrize('load_seconds', [None, 0.05])
@pytest.mark.parametrize('fenced', [True, False])
@pytest.mark.parametrize('share', [0.1, 0.35, 0.6])
@pytest.mark.parametrize('seed', range(6))
async def test_lost_and_late_orders_never_mix_maps(
    seed, share, fenced, load_seconds
):
    """Two ranks never use different maps in one pass.

    An order to arm a map gets no reply; the leader abandons the change and
    lets the group continue; the order is carried out seconds later.  So an
    order without a reply must not be taken as one without an effect.
    """
    group = make_group(checks_token=fenced)
    group.choose_outcome = make_order_faults(seed, share)
    leader, planner = make_leader(group, LeaseState(), 'one', load_seconds)
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(group.run)
        tasks.start_soon(leader.run)
        await anyio.sleep(60.0)
        group.choose_outcome = make_order_faults(seed, 0.0)
        await anyio.sleep(15.0)
        before = group.step
        await anyio.sleep(2.0)
        tasks.cancel_scope.cancel()
    assert group.mixed_steps == []
    assert group.step > before + 20
    assert planner.done > 0


@pytest.mark.parametrize('load_seconds', [None, 0.05])
@pytest.mark.parametrize('fenced', [True, False])
@pytest.mark.parametrize('may_idle', [False, True])
@pytest.mark.parametrize('seed', range(8))
async def test_changing_leaders_never_mix_maps(
    seed, may_idle, fenced, load_seconds
):
    """Old and new leaders never make ranks mix maps or leave a group held.

    A leader is interrupted at any moment of a change while orders are lost or
    late.  Another takes over, and the first one continues at the same time as
    if it still led.  Ranks must not obey both, and each hold must be released.
    """
    draw = random.Random(seed)
    group = make_group(checks_token=fenced)
    group.choose_outcome = make_order_faults(seed, 0.25)
    lease_state = LeaseState()
    leaders = [
        make_leader(group, lease_state, name, load_seconds)[0]
        for name in ('a', 'b')
    ]
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(group.run)
        for leader in leaders:
            tasks.start_soon(leader.run)
        for _ in range(25):
            await anyio.sleep(draw.uniform(0.1, 3.0))
            lease_state.holder = None
            group.busy = not may_idle or draw.random() < 0.6
            if draw.random() < 0.15:
                group.reform()
        group.busy = True
        group.choose_outcome = make_order_faults(seed, 0.0)
        await anyio.sleep(15.0)
        before = group.step
        await anyio.sleep(2.0)
        tasks.cancel_scope.cancel()
    assert group.mixed_steps == []
    assert group.step > before + 20


@pytest.mark.parametrize('fenced', [True, False])
async def test_new_leader_reads_the_map_from_the_ranks(fenced):
    group = make_group(checks_token=fenced)
    lease_state = LeaseState()
    first, _ = make_leader(group, lease_state, 'one')
    second, planner = make_leader(group, lease_state, 'two')
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(group.run)
        with anyio.move_on_after(6.0):
            await first.run()
        lease_state.holder = None
        seen = group.ranks[0].version
        tasks.start_soon(second.run)
        await anyio.sleep(8.0)
        tasks.cancel_scope.cancel()
    assert seen > 0
    assert planner.done > 0
    assert group.ranks[0].version > seen
    assert group.mixed_steps == []


async def test_new_leader_reads_all_ranks_at_once(monkeypatch):
    """A new leader reads the map in force from all ranks at once.

    Reading 72 ranks one after the other, before any counts are read, keeps an
    uneven map for another 0.2 s after a leader is gone.
    """
    group = make_group()
    concurrent = max_concurrent = 0
    read = group.experts

    async def experts(*, address, identity):
        nonlocal concurrent, max_concurrent
        concurrent += 1
        max_concurrent = max(max_concurrent, concurrent)
        await anyio.sleep(0.01)
        concurrent -= 1
        return await read(address=address, identity=identity)

    lease_state = LeaseState()
    first, _ = make_leader(group, lease_state, 'one')
    second, planner = make_leader(group, lease_state, 'two')
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(group.run)
        with anyio.move_on_after(6.0):
            await first.run()
        lease_state.holder = None
        monkeypatch.setattr(group, 'experts', experts)
        tasks.start_soon(second.run)
        await anyio.sleep(8.0)
        tasks.cancel_scope.cancel()
    assert max_concurrent == SHAPE.ranks
    assert planner.done > 0


async def test_held_group_continues_when_a_rank_has_lost_an_armed_map():
    """A held group continues though a rank can no longer arm its map.

    A leader arms a map on one rank of a held group and ends.  Another rank is
    still copying a newer version, so its report shows neither, and it refuses
    to arm the first one.  A leader that waits for a report of the finished
    copy waits forever, as the copy ends after the pass that is held.
    """
    group = make_group(checks_token=False)
    initial_experts = dict(enumerate(group.initial_experts))
    one, other = group.ranks[0], group.ranks[1]
    one.prepared = one.highest_prepared = 7
    one.prepared_experts[7] = initial_experts[0]
    one.armed = ranks.Armed(version=7, step=3)
    one.held = 2
    other.highest_prepared = other.prepared = 9
    other.prepared_at = float('inf')
    leader, planner = make_leader(group, LeaseState(), 'one')
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(group.run)
        tasks.start_soon(leader.run)
        await anyio.sleep(5.0)
        tasks.cancel_scope.cancel()
    assert group.step > 20
    assert group.mixed_steps == []


@pytest.mark.parametrize('fenced', [True, False])
async def test_log_lines_show_the_orders_of_a_change(fenced, lines):
    group = make_group(checks_token=fenced)
    leader, planner = make_leader(
        group, LeaseState(), 'one', load_seconds=0.12
    )
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(group.run)
        tasks.start_soon(leader.run)
        await anyio.sleep(4.0)
        tasks.cancel_scope.cancel()
    assert planner.done
    held = lines('step held')[0]
    armed = lines('map armed')[0]
    assert armed == {
        'version': held['version'],
        'from_step': held['step'] + 1,
        'ranks': SHAPE.ranks,
    }


async def test_log_line_shows_what_a_leader_has_to_settle(lines):
    group = make_group(checks_token=False)
    group.ranks[2].held = 2
    leader, _ = make_leader(group, LeaseState(), 'one')
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(group.run)
        tasks.start_soon(leader.run)
        await anyio.sleep(2.0)
        tasks.cancel_scope.cancel()
    assert {
        'decision': 'Seal',
        'versions': '0.0',
        'ranks': '2',
    } in lines('group to settle')


@pytest.mark.parametrize('fenced', [True, False])
@pytest.mark.parametrize(
    ('load_seconds', 'copy_seconds', 'order_type', 'delay'),
    [
        pytest.param(0.12, 0.1, ranks.Prepare, 0.05, id='while ranks copy'),
        pytest.param(0.12, 0.1, ranks.Hold, 0.001, id='before ranks arm'),
        pytest.param(None, 1.0, ranks.Prepare, 0.5, id='while leader asks'),
    ],
)
async def test_rank_whose_registration_expires_takes_part_in_a_change(
    load_seconds, copy_seconds, order_type, delay, fenced, monkeypatch
):
    """A rank whose registration expires during a change still takes part.

    If it is left out, a pass mixes two maps.  The registration is back a
    second later.
    """
    monkeypatch.setattr(fake_ranks, 'COPY_SECONDS', copy_seconds)
    group = make_group(checks_token=fenced)
    leader, planner = make_leader(group, LeaseState(), 'one', load_seconds)
    seen = []

    async def lapse():
        await anyio.sleep(delay)
        group.unlisted.add('rank-2')
        await anyio.sleep(1.0)
        group.unlisted.clear()

    def choose_outcome(order):
        if isinstance(order.body, order_type):
            if not seen:
                group.tasks.start_soon(lapse)
            seen.append(order)
        return True, 0.0

    async with anyio.create_task_group() as tasks:
        tasks.start_soon(group.run)
        tasks.start_soon(leader.run)
        await anyio.sleep(2.0)
        group.choose_outcome = choose_outcome
        await anyio.sleep(2.0)
        before = planner.done
        await anyio.sleep(10.0)
        tasks.cancel_scope.cancel()
    assert seen
    assert group.mixed_steps == []
    assert planner.done > before
    assert len({rank.version for rank in group.ranks}) == 1


@pytest.mark.parametrize('order_type', [ranks.Hold, ranks.Arm])
@pytest.mark.parametrize('fenced', [True, False])
async def test_group_is_not_held_while_a_registration_has_expired(
    fenced, order_type
):
    """A held group does not wait for the registration of a rank to come back.

    It is missing for a second.
    """
    group = make_group(checks_token=fenced)
    leader, planner = make_leader(
        group, LeaseState(), 'one', load_seconds=0.12
    )
    lapsed_at = []

    def choose_outcome(order):
        if isinstance(order.body, order_type) and not lapsed_at:
            lapsed_at.append(group.step)
            group.unlisted.add('rank-2')
        return True, 0.0

    async with anyio.create_task_group() as tasks:
        tasks.start_soon(group.run)
        tasks.start_soon(leader.run)
        await anyio.sleep(2.0)
        before = planner.done
        group.choose_outcome = choose_outcome
        while not lapsed_at:
            await anyio.sleep(0.01)
        await anyio.sleep(1.0)
        tasks.cancel_scope.cancel()
    assert group.step >= lapsed_at[0] + 18
    assert planner.done > before
    assert group.mixed_steps == []


@pytest.mark.parametrize('fenced', [True, False])
async def test_late_copy_of_a_release_does_not_end_a_later_hold(fenced):
    """A late release to an idle group does not end a later hold.

    Two changes are abandoned as no rank copies in time.  The group is idle,
    so the step that was held has not begun when a third change has armed one
    rank.  A release of that step, carried out now, would make a pass mix two
    maps.
    """
    group = make_group(checks_token=fenced)
    group.busy = False
    for rank in group.ranks:
        rank.copy_seconds = 2.0
    leader, _ = make_leader(group, LeaseState(), 'one', load_seconds=0.05)
    steps = set()
    late = []

    def choose_outcome(order):
        if isinstance(order.body, ranks.Release):
            steps.add(order.body.step)
            if len(steps) == 2 and not late:
                late.append(order)
                group.ranks[3].copy_seconds = 0.0
                return False, None
        return True, 0.0

    group.choose_outcome = choose_outcome
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(group.run)
        tasks.start_soon(leader.run)
        with anyio.fail_after(10.0):
            while not any(rank.armed for rank in group.ranks):
                await anyio.sleep(0.005)
        for rank in group.ranks:
            rank.copy_seconds = 0.0
            group._carry_out(rank, late[0])
        group.busy = True
        await anyio.sleep(10.0)
        tasks.cancel_scope.cancel()
    assert group.mixed_steps == []
    assert group.step > 20


@pytest.mark.parametrize('load_seconds', [None, 0.12])
@pytest.mark.parametrize(
    ('fence', 'other'), [(1, 5), (2, 6), (1, leases.FENCES_PER_ERA + 1)]
)
async def test_leaders_that_hold_one_rank_hold_other_steps(
    fence, other, load_seconds
):
    """Two leaders that hold the same rank hold different steps.

    Otherwise a late release by an older leader ends the hold of a newer one.
    """
    steps = []
    for one in (fence, other):
        group = make_group(checks_token=False)
        lease_state = LeaseState()
        lease_state.fence = one - 1
        leader, planner = make_leader(group, lease_state, 'one', load_seconds)
        held = set()
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(group.run)
            tasks.start_soon(leader.run)
            await anyio.sleep(8.0)
            tasks.cancel_scope.cancel()
        for name, order in group.orders:
            if isinstance(order.body, ranks.Hold):
                assert name == f'rank-{one % SHAPE.ranks}'
                held.add(order.body.step % 2)
        assert planner.done > 1
        steps.append(held)
    assert len(steps[0]) == len(steps[1]) == 1
    assert steps[0].isdisjoint(steps[1])
