"""Tests of rank groups with engines over HTTP."""

import time

import anyio
import msgspec
import pytest

from marigoldramp import bundle
from marigoldramp import leases
from marigoldramp import map_leader
from marigoldramp import map_orders
from marigoldramp import peers
from marigoldramp import rank_engines
from marigoldramp import rank_groups
from marigoldramp import steps
from marigoldramp import store
from marigoldramp_standins import group as groups
from marigoldramp_standins import group_engine
from marigoldramp_standins import memory
from marigoldramp_standins import web

pytestmark = pytest.mark.anyio

TIMING = map_leader.Timing(
    poll_seconds=0.001, retry_seconds=0.001, contend_seconds=0.001
)
GROUP = bundle.Group(
    name='g', service='drafts', ranks=4, experts=8, layers=2, slots=2
)
AGENTS = ('agent-1', 'agent-2')


class Client:
    """Delivers orders to the rank groups of this process."""

    def __init__(self):
        self.groups = {}

    async def order(self, host, port, *, receiver, order, timeout):
        if receiver not in self.groups:
            return peers.Unreachable(detail='gone')
        return await self.groups[receiver].handle(order)


class OneChange:
    """A planner that exchanges the experts of two ranks once."""

    def __init__(self):
        self.done = None

    async def plan(self, *, expert_map, client):
        if self.done is not None:
            return None
        layers = tuple(
            (layer[1], layer[0], *layer[2:]) for layer in expert_map.layers
        )
        return map_leader.Plan(layers=layers, load_limit=5.0)

    def record_outcome(self, *, plan, done):
        self.done = done


def make_group(name, client, platform, port, planner=None):
    rows = [
        store.Instance(
            name=one,
            role='endpoint',
            data_centre='d',
            host='127.0.0.1',
            call_port=1,
            control_port=1,
            datagram_port=1,
            service='drafts',
            group='g',
        )
        for one in AGENTS
    ]
    first = 2 * AGENTS.index(name)
    made = rank_groups.RankGroup(
        name='g',
        instance=name,
        incarnation=1,
        engines={
            rank: rank_engines.HttpRankEngine(
                host='127.0.0.1', port=port, rank=rank
            )
            for rank in (first, first + 1)
        },
        platform=platform,
        client=client,
        list_instances=lambda: rows,
        clock=time.monotonic,
        timing=TIMING,
    )
    client.groups[name] = made
    return made


async def until(condition):
    with anyio.fail_after(20):
        while not condition():
            await anyio.sleep(0)


async def test_group_starts_and_changes_its_map_in_one_step():
    """Ranks use two maps in one step during a change.

    Sequence: two agents serve four ranks; one leads, starts the group and
    exchanges the experts of two ranks while the group enters further steps.
    """
    ranks = groups.Group(ranks=4)
    engine = group_engine.GroupEngine(group=ranks, step_seconds=0.001)
    client, platform = Client(), memory.MemoryStore()
    planner = OneChange()
    async with web.serve(handle=engine.handle) as address:
        port = int(address.rsplit(':', 1)[1])
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(engine.run)
            for name in AGENTS:
                made = make_group(name, client, platform, port)

                async def lead(made=made):
                    await made.lead(group=GROUP, map_planner=planner)

                tasks.start_soon(lead)
            await until(lambda: planner.done is not None)
            await until(
                lambda: len({s.in_force.number for s in schedules(ranks)}) == 1
                and schedules(ranks)[0].in_force.number == 2
            )
            tasks.cancel_scope.cancel()
    assert planner.done is True
    assert ranks.mixed_steps == []


async def test_leader_that_stops_leaves_the_group_settled():
    """After a planned stop of the leader the group waits for its lease's end.

    Sequence: a change holds a rank, and the leader's agent is told to stop;
    the next leader releases the rank once the lease has lapsed.
    Cause: the leader's task ends without reconciling the group.
    """
    ranks = groups.Group(ranks=4)
    engine = group_engine.GroupEngine(group=ranks, step_seconds=0.001)
    client, platform = Client(), memory.MemoryStore()
    planner, held = OneChange(), anyio.Event()

    async def observe(step, where):
        if step is steps.Step.MAP_ARM_SENT:
            held.set()

    async with web.serve(handle=engine.handle) as address:
        port = int(address.rsplit(':', 1)[1])
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(engine.run)
            made = [
                make_group(name, client, platform, port) for name in AGENTS
            ]
            with steps.observe(observe):
                for one in made:

                    async def lead(one=one):
                        await one.lead(group=GROUP, map_planner=planner)

                    tasks.start_soon(lead)
            with anyio.fail_after(20):
                await held.wait()
                for one in made:
                    await one.resign()
            assert all(rank.hold_before is None for rank in ranks.ranks)
            assert len({one.in_force for one in schedules(ranks)}) == 1
            lease = await platform.read(
                key=store.Key(kind=leases.KIND, name='group-g')
            )
            tasks.cancel_scope.cancel()
    record = msgspec.json.decode(lease.value, type=leases.Record)
    assert record.holder == ''
    assert ranks.mixed_steps == []


def schedules(ranks):
    return [rank.schedule for rank in ranks.ranks]


@pytest.mark.parametrize('order', [b'', b'\x00', b'\x91\xa1x'])
async def test_malformed_order_is_refused(order):
    made = make_group('agent-1', Client(), memory.MemoryStore(), 1)
    reply = await made.handle(
        peers.MapOrder(group='g', fence=1, leader='x', order=order)
    )
    assert not reply.accepted
    assert reply.reason == map_orders.Refusal.MALFORMED


async def test_dead_engine_is_a_refusal():
    ranks = groups.Group(ranks=1)
    ranks.kill(0)
    engine = group_engine.GroupEngine(group=ranks, step_seconds=0.001)
    async with web.serve(handle=engine.handle) as address:
        port = int(address.rsplit(':', 1)[1])
        asked = rank_engines.HttpRankEngine(
            host='127.0.0.1', port=port, rank=0
        )
        answer = await asked.state()
    gone = await asked.state()
    assert answer.reason == map_orders.Refusal.ENGINE_FAILED
    assert gone.reason == map_orders.Refusal.ENGINE_FAILED
