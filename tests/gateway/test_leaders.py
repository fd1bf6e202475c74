"""Tests of leaders under random faults, on ranks that check no tokens.

Three leaders are killed, frozen and succeeded at any moment, orders are lost
or late, reports lag, registrations expire, the group idles and forms again,
and the store is unavailable or is restored from an older copy.
"""

import random

import anyio
import pytest
import virtual_time

from marigoldramp.gateway import group_lease
from marigoldramp.gateway import rank_transport
from marigoldramp.gateway import ranks
from marigoldramp import leases
from marigoldramp import map_leader

from . import fake_ranks
from . import site
from . import test_rank_transport

pytestmark = pytest.mark.anyio
SHAPE = test_rank_transport.SHAPE
NAMES = ('a', 'b', 'c')
LEASE_SECONDS = 3.0
#: Share of orders that are lost, late or obeyed without a reply.
LOST_SHARES = (0.0, 0.1, 0.3, 0.5)
MAX_DELAY_SECONDS = 8.0
FAULT_COUNT = 40
SUCCESSIONS = ('succeed', 'kill', 'kill leader', 'freeze', 'thaw', 'lose')
FAULT_SETS = {
    'successions': SUCCESSIONS,
    'an idle group': (*SUCCESSIONS, 'idle'),
    'lapses': ('succeed', 'kill leader', 'lose', 'lapse', 'lapse', 'list'),
    'a restored store': (*SUCCESSIONS, 'away', 'back', 'restore', 'idle'),
    'all': (
        *SUCCESSIONS,
        *('idle', 'form anew', 'lapse', 'list', 'away', 'back', 'restore'),
    ),
}


@pytest.fixture
def anyio_backend():
    return virtual_time.make_backend()


class RestoredStore(site.FakeStore):
    """A store that can be restored from older copies of itself."""

    def __init__(self):
        super().__init__()
        self.eras = 0
        self.at = float('-inf')
        self.copies = [{}]

    def copy(self):
        """Keep a copy that can be restored."""
        self.copies.append(dict(self.objects))
        del self.copies[:-5]

    def restore(self, draw):
        """Restore one of the last copies."""
        self.objects = dict(draw.choice(self.copies))
        self.eras += 1
        self.at = virtual_time.now()

    def era(self):
        return self.eras

    def restored_at(self):
        return self.at


class Instance(ranks.RankApi):
    """A process that leads once it gets the lease; may freeze and end."""

    def __init__(self, *, name, world):
        self.name = name
        self.world = world
        self.unlisted = set()
        self.thawed = anyio.Event()
        self.thawed.set()
        self.scope = anyio.CancelScope()
        self.lease = None
        self.ended = False

    async def report(self, **kwargs):
        return await self._call(self.world.group.report, kwargs)

    async def counts(self, **kwargs):
        return await self._call(self.world.group.counts, kwargs)

    async def experts(self, **kwargs):
        return await self._call(self.world.group.experts, kwargs)

    async def order(self, **kwargs):
        return await self._call(self.world.group.order, kwargs)

    async def _call(self, call, kwargs):
        await self.thawed.wait()
        reply = await call(**kwargs)
        await self.thawed.wait()
        return reply

    def list_ranks(self):
        names = self.world.group.names()
        return tuple(name for name in names if name not in self.unlisted)

    def find(self, name):
        return None if name in self.unlisted else self.world.group.find(name)

    async def run_forever(self):
        """Run leaders forever, a new process after each kill."""
        while True:
            with anyio.CancelScope() as self.scope:
                await self._create_leader().run()
            self.ended = True
            await anyio.sleep(0.3)
            self.ended = False

    def _create_leader(self):
        world = self.world
        self.lease = group_lease.GroupLease(
            lease=leases.Lease(
                store=world.store,
                name='group-g',
                holder=self.name,
                seconds=LEASE_SECONDS,
                clock=virtual_time.now,
                is_gone=world.is_gone,
            ),
            led_by_peers=lambda: world.is_led_by_others(self),
        )
        return map_leader.Leader(
            group='g',
            instance=self.name,
            shape=SHAPE,
            agents=self.list_ranks,
            transport=rank_transport.RankTransport(
                api=self,
                group='g',
                shape=SHAPE,
                find_endpoint=self.find,
                clock=virtual_time.now,
                fenced=False,
            ),
            lease=self.lease,
            renew_seconds=1.2,
            planner=test_rank_transport.Planner(world.load_seconds),
            clock=virtual_time.now,
            timing=test_rank_transport.TIMING,
            fenced=False,
        )


class World:
    """Gateway instances, one group and the store, under seeded faults."""

    def __init__(self, *, seed, load_seconds):
        self.draw = random.Random(seed)
        self.load_seconds = load_seconds
        self.lost_share = 0.3
        self.group = fake_ranks.FakeGroup(
            size=SHAPE.ranks,
            experts=SHAPE.experts,
            layers=SHAPE.layers,
            clock=virtual_time.now,
            checks_token=False,
        )
        self.group.choose_outcome = self._choose_outcome
        self.store = RestoredStore()
        self.instances = [Instance(name=name, world=self) for name in NAMES]
        self.presumed_gone = set()

    def is_gone(self, name):
        """Return whether an instance is assumed, maybe wrongly, to be gone."""
        return name in self.presumed_gone or any(
            one.name == name and one.ended for one in self.instances
        )

    def is_led_by_others(self, instance):
        return any(
            other is not instance
            and other.lease is not None
            and other.lease._lease.held()
            and other.thawed.is_set()
            for other in self.instances
        )

    def _choose_outcome(self, order):
        if self.draw.random() >= self.lost_share:
            return True, 0.0
        delay = self.draw.choice(
            [None, 0.0, self.draw.uniform(0.3, MAX_DELAY_SECONDS)]
        )
        return False, delay

    def apply(self, fault):
        """Cause one fault."""
        instance = self.draw.choice(self.instances)
        match fault:
            case 'succeed':
                self.presumed_gone = {instance.name}
            case 'kill':
                instance.scope.cancel()
            case 'kill leader':
                for one in self.instances:
                    if one.lease is not None and one.lease._lease.held():
                        one.scope.cancel()
            case 'freeze':
                instance.thawed = anyio.Event()
                self.presumed_gone = {instance.name}
            case 'thaw':
                self._thaw()
            case 'lose':
                self.lost_share = self.draw.choice(LOST_SHARES)
            case 'idle':
                self.group.busy = not self.group.busy
            case 'form anew':
                self.group.reform()
            case 'lapse':
                instance.unlisted.add(self.draw.choice(self.group.names()))
            case 'list':
                instance.unlisted.clear()
            case 'away':
                self.store.away = True
            case 'back':
                self.store.away = False
            case 'restore':
                self.store.restore(self.draw)

    def _thaw(self):
        for one in self.instances:
            one.thawed.set()

    def clear_faults(self):
        """End all faults."""
        self._thaw()
        self.lost_share = 0.0
        self.presumed_gone = set()
        self.store.away = False
        self.group.busy = True
        for one in self.instances:
            one.unlisted.clear()

    async def run_faults(self, faults):
        """Cause random faults one after the other, then none for a while."""
        for _ in range(FAULT_COUNT):
            longest = self.draw.choice([0.3, 3.0])
            await anyio.sleep(self.draw.uniform(0.0, longest))
            self.store.copy()
            self.apply(self.draw.choice(faults))
        self.clear_faults()
        await anyio.sleep(20.0)


@pytest.mark.parametrize('load_seconds', [None, 0.05])
@pytest.mark.parametrize('faults', FAULT_SETS)
@pytest.mark.parametrize('seed', range(6))
async def test_three_leaders_never_mix_maps(seed, faults, load_seconds):
    """No pass uses two maps, and the group does not stay held."""
    world = World(seed=seed, load_seconds=load_seconds)
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(world.group.run)
        for instance in world.instances:
            tasks.start_soon(instance.run_forever)
        await world.run_faults(FAULT_SETS[faults])
        before = world.group.step
        await anyio.sleep(2.0)
        tasks.cancel_scope.cancel()
    assert world.group.mixed_steps == []
    assert world.group.step > before + 20
