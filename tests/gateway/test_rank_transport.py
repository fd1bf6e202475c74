"""Tests of orders that ranks take directly: lost, late, from old leaders."""

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

    def __init__(self, *, board, holder):
        self.board = board
        self.holder = holder
        self.fence = 0

    async def acquire(self):
        if self.board.holder in (None, self.holder):
            if self.board.holder is None:
                self.board.fence += 1
                self.fence = self.board.fence
            self.board.holder = self.holder
            return self
        return None

    async def renew(self):
        return None

    async def release(self):
        if self.board.holder == self.holder:
            self.board.holder = None

    def held(self):
        return self.board.holder == self.holder


class Board:
    """Who holds the lease, and the last fence."""

    def __init__(self):
        self.holder = None
        self.fence = 0


class Planner:
    """Wants another map whenever it is asked.

    :ivar load_seconds: the fake ranks take 0.1 s.
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


def make_leader(group, board, name, load_seconds=None):
    planner = Planner(load_seconds)
    transport = rank_transport.RankTransport(
        api=group,
        group='g',
        shape=SHAPE,
        find=group.find,
        clock=virtual_time.now,
        fenced=group.checks_token,
    )
    leader = map_leader.Leader(
        group='g',
        instance=name,
        shape=SHAPE,
        agents=group.names,
        transport=transport,
        lease=FakeLease(board=board, holder=name),
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
    leader, planner = make_leader(group, Board(), 'one', load_seconds)
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(group.run)
        tasks.start_soon(leader.run)
        await anyio.sleep(20.0)
        tasks.cancel_scope.cancel()
    assert planner.done > 5
    assert group.mixed == []
    assert len({rank.version for rank in group.ranks}) == 1


@pytest.mark.parametrize('fenced', [True, False])
async def test_change_does_not_wait_for_a_settled_report(fenced):
    """A group stays uneven for 0.2 s after its ranks have copied.

    Sequence: ranks are told to prepare a map and copy for 0.1 s; the leader
    asks one of them how far it is, to hold it, and waits until its report
    shows all orders.
    Cause: the step that a rank has begun is as good from an older report, as
    a step that has begun is refused and the next one tried.
    """
    group = make_group(checks_token=fenced)
    leader, planner = make_leader(group, Board(), 'one', load_seconds=0.12)
    seen = {}

    def fate(order):
        kind = type(order.body).__name__
        if seen or kind == 'Prepare':
            seen.setdefault(kind, virtual_time.now())
        return True, 0.0

    async with anyio.create_task_group() as tasks:
        tasks.start_soon(group.run)
        tasks.start_soon(leader.run)
        await anyio.sleep(2.0)
        group.fate = fate
        await anyio.sleep(3.0)
        tasks.cancel_scope.cancel()
    assert planner.done
    took = seen['Hold'] - seen['Prepare']
    assert took < rank_transport.REPORT_LAG
    assert group.mixed == []


def make_fate(seed, share):
    draw = random.Random(seed)

    def fate(order):
        if draw.random() >= share:
            return True, 0.0
        kind = draw.randrange(3)
        if kind == 0:
            return False, None
        if kind == 1:
            return False, 0.0
        return False, draw.uniform(0.5, 8.0)

    return fate


@pytest.mark.parametrize('load_seconds', [None, 0.05])
@pytest.mark.parametrize('fenced', [True, False])
@pytest.mark.parametrize('share', [0.1, 0.35, 0.6])
@pytest.mark.parametrize('seed', range(6))
async def test_lost_and_late_orders_never_mix_maps(
    seed, share, fenced, load_seconds
):
    """Two ranks use different maps in one pass.

    Sequence: an order to arm gets no reply; the leader gives the change up
    and lets the group go on; the order is carried out seconds later.
    Cause: an order without a reply was taken as one without an effect.
    """
    group = make_group(checks_token=fenced)
    group.fate = make_fate(seed, share)
    leader, planner = make_leader(group, Board(), 'one', load_seconds)
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(group.run)
        tasks.start_soon(leader.run)
        await anyio.sleep(60.0)
        group.fate = make_fate(seed, 0.0)
        await anyio.sleep(15.0)
        before = group.step
        await anyio.sleep(2.0)
        tasks.cancel_scope.cancel()
    assert group.mixed == []
    assert group.step > before + 20
    assert planner.done > 0


@pytest.mark.parametrize('load_seconds', [None, 0.05])
@pytest.mark.parametrize('fenced', [True, False])
@pytest.mark.parametrize('idles', [False, True])
@pytest.mark.parametrize('seed', range(8))
async def test_changing_leaders_never_mix_maps(
    seed, idles, fenced, load_seconds
):
    """Two ranks use different maps in one pass, or the group stands.

    Sequence: a leader is cut short at any moment of a change while orders
    are lost or late; another takes over; the first one goes on as if it
    still led, at the same time.
    Cause: ranks that obey both leaders, or a hold that nobody releases.
    """
    draw = random.Random(seed)
    group = make_group(checks_token=fenced)
    group.fate = make_fate(seed, 0.25)
    board = Board()
    leaders = [
        make_leader(group, board, name, load_seconds)[0] for name in ('a', 'b')
    ]
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(group.run)
        for leader in leaders:
            tasks.start_soon(leader.run)
        for _ in range(25):
            await anyio.sleep(draw.uniform(0.1, 3.0))
            board.holder = None
            group.busy = not idles or draw.random() < 0.6
            if draw.random() < 0.15:
                group.reform()
        group.busy = True
        group.fate = make_fate(seed, 0.0)
        await anyio.sleep(15.0)
        before = group.step
        await anyio.sleep(2.0)
        tasks.cancel_scope.cancel()
    assert group.mixed == []
    assert group.step > before + 20


@pytest.mark.parametrize('fenced', [True, False])
async def test_new_leader_reads_the_map_from_the_ranks(fenced):
    group = make_group(checks_token=fenced)
    board = Board()
    first, _ = make_leader(group, board, 'one')
    second, planner = make_leader(group, board, 'two')
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(group.run)
        with anyio.move_on_after(6.0):
            await first.run()
        board.holder = None
        seen = group.ranks[0].version
        tasks.start_soon(second.run)
        await anyio.sleep(8.0)
        tasks.cancel_scope.cancel()
    assert seen > 0
    assert planner.done > 0
    assert group.ranks[0].version > seen
    assert group.mixed == []


async def test_new_leader_reads_all_ranks_at_once(monkeypatch):
    """A group keeps an uneven map for 0.2 s more after its leader is gone.

    Sequence: the next leader settles the group and reads the map in force
    from 72 ranks, one after the other, before it counts what they do.
    Cause: each answer was waited for before the next question.
    """
    group = make_group()
    asked = most = 0
    read = group.experts

    async def experts(*, address, identity):
        nonlocal asked, most
        asked += 1
        most = max(most, asked)
        await anyio.sleep(0.01)
        asked -= 1
        return await read(address=address, identity=identity)

    board = Board()
    first, _ = make_leader(group, board, 'one')
    second, planner = make_leader(group, board, 'two')
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(group.run)
        with anyio.move_on_after(6.0):
            await first.run()
        board.holder = None
        monkeypatch.setattr(group, 'experts', experts)
        tasks.start_soon(second.run)
        await anyio.sleep(8.0)
        tasks.cancel_scope.cancel()
    assert most == SHAPE.ranks
    assert planner.done > 0


async def test_group_goes_on_when_a_rank_has_lost_an_armed_map():
    """A group stands for good.

    Sequence: a leader arms a map on one rank of a held group and ends;
    another rank takes a newer version, which it copies still, so its report
    shows neither; it refuses to arm the first one.
    Cause: a leader that waits for a report which comes after the copy, which
    comes after the pass that is held.
    """
    group = make_group(checks_token=False)
    lists = dict(enumerate(group.first))
    one, other = group.ranks[0], group.ranks[1]
    one.prepared = one.highest = 7
    one.lists[7] = lists[0]
    one.armed = ranks.Armed(version=7, step=3)
    one.held = 2
    other.highest = other.prepared = 9
    other.prepared_at = float('inf')
    leader, planner = make_leader(group, Board(), 'one')
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(group.run)
        tasks.start_soon(leader.run)
        await anyio.sleep(5.0)
        tasks.cancel_scope.cancel()
    assert group.step > 20
    assert group.mixed == []


@pytest.mark.parametrize('fenced', [True, False])
async def test_lines_tell_what_a_change_has_told_the_ranks(fenced, lines):
    group = make_group(checks_token=fenced)
    leader, planner = make_leader(group, Board(), 'one', load_seconds=0.12)
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


async def test_lines_tell_what_a_leader_finds_to_settle(lines):
    group = make_group(checks_token=False)
    group.ranks[2].held = 2
    leader, _ = make_leader(group, Board(), 'one')
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
    ('load_seconds', 'copy_seconds', 'told', 'delay'),
    [
        pytest.param(0.12, 0.1, ranks.Prepare, 0.05, id='while ranks copy'),
        pytest.param(0.12, 0.1, ranks.Hold, 0.001, id='before ranks arm'),
        pytest.param(None, 1.0, ranks.Prepare, 0.5, id='while leader asks'),
    ],
)
async def test_rank_whose_entry_lapses_is_not_left_out_of_a_change(
    load_seconds, copy_seconds, told, delay, fenced, monkeypatch
):
    """A pass mixes two maps when a rank is unlisted in the middle of a change.

    The entry is back a second later.
    """
    monkeypatch.setattr(fake_ranks, 'COPY_SECONDS', copy_seconds)
    group = make_group(checks_token=fenced)
    leader, planner = make_leader(group, Board(), 'one', load_seconds)
    seen = []

    async def lapse():
        await anyio.sleep(delay)
        group.lapsed.add('rank-2')
        await anyio.sleep(1.0)
        group.lapsed.clear()

    def fate(order):
        if isinstance(order.body, told):
            if not seen:
                group.tasks.start_soon(lapse)
            seen.append(order)
        return True, 0.0

    async with anyio.create_task_group() as tasks:
        tasks.start_soon(group.run)
        tasks.start_soon(leader.run)
        await anyio.sleep(2.0)
        group.fate = fate
        await anyio.sleep(2.0)
        before = planner.done
        await anyio.sleep(10.0)
        tasks.cancel_scope.cancel()
    assert seen
    assert group.mixed == []
    assert planner.done > before
    assert len({rank.version for rank in group.ranks}) == 1


@pytest.mark.parametrize('told', [ranks.Hold, ranks.Arm])
@pytest.mark.parametrize('fenced', [True, False])
async def test_group_does_not_stand_while_an_entry_has_lapsed(fenced, told):
    """A held group waits for a second until the entry of a rank is back."""
    group = make_group(checks_token=fenced)
    leader, planner = make_leader(group, Board(), 'one', load_seconds=0.12)
    lapsed_at = []

    def fate(order):
        if isinstance(order.body, told) and not lapsed_at:
            lapsed_at.append(group.step)
            group.lapsed.add('rank-2')
        return True, 0.0

    async with anyio.create_task_group() as tasks:
        tasks.start_soon(group.run)
        tasks.start_soon(leader.run)
        await anyio.sleep(2.0)
        before = planner.done
        group.fate = fate
        while not lapsed_at:
            await anyio.sleep(0.01)
        await anyio.sleep(1.0)
        tasks.cancel_scope.cancel()
    assert group.step >= lapsed_at[0] + 18
    assert planner.done > before
    assert group.mixed == []


@pytest.mark.parametrize('fenced', [True, False])
async def test_late_copy_of_a_release_does_not_end_a_later_hold(fenced):
    """A pass mixes two maps when a release comes late to an idle group.

    No rank copies in time for two changes, which are given up.  The step
    that was held last has not begun when a third change has armed one rank.
    """
    group = make_group(checks_token=fenced)
    group.busy = False
    for rank in group.ranks:
        rank.copy_seconds = 2.0
    leader, _ = make_leader(group, Board(), 'one', load_seconds=0.05)
    steps = set()
    late = []

    def fate(order):
        if isinstance(order.body, ranks.Release):
            steps.add(order.body.step)
            if len(steps) == 2 and not late:
                late.append(order)
                group.ranks[3].copy_seconds = 0.0
                return False, None
        return True, 0.0

    group.fate = fate
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
    assert group.mixed == []
    assert group.step > 20


@pytest.mark.parametrize('load_seconds', [None, 0.12])
@pytest.mark.parametrize(
    ('fence', 'other'), [(1, 5), (2, 6), (1, leases.FENCES_PER_ERA + 1)]
)
async def test_leaders_that_hold_one_rank_hold_other_steps(
    fence, other, load_seconds
):
    """A late release of an older leader ends the hold of a newer one."""
    steps = []
    for one in (fence, other):
        group = make_group(checks_token=False)
        board = Board()
        board.fence = one - 1
        leader, planner = make_leader(group, board, 'one', load_seconds)
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
