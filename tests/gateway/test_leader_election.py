"""Tests of which entry leads a group of ranks."""

import dataclasses
import random

import anyio
import pytest
import virtual_time

from marigoldramp.gateway import deployment
from marigoldramp.gateway import endpoints
from marigoldramp.gateway import leader_election
from marigoldramp.gateway import pass_times
from marigoldramp import map_decisions
from marigoldramp import store

from . import fake_ranks
from . import site

pytestmark = pytest.mark.anyio
RANKS = 4
ENGINE = deployment.Engine(
    slots=6,
    step=0.005,
    step_per_request=0.001,
    prompt_rate=1000.0,
    mean_prompt_tokens=100,
    mean_answer_tokens=100,
    layers=2,
    experts=8,
    places=3,
    spare=1,
)
SERVICE = deployment.Service(name='notes', connections=9, engine=ENGINE)


@pytest.fixture
def anyio_backend():
    return virtual_time.make_backend()


class StoreOfOne:
    """The store as one entry sees it, which it may turn away."""

    def __init__(self, *, fleet, name):
        self.fleet = fleet
        self.name = name

    def era(self):
        return self.fleet.store.era()

    def restored_at(self):
        return self.fleet.store.restored_at()

    async def read(self, **asked):
        if self.name in self.fleet.turned_away:
            return store.Unavailable(detail='turned away')
        return await self.fleet.store.read(**asked)

    async def write(self, **asked):
        if self.name in self.fleet.turned_away:
            return store.Unavailable(detail='turned away')
        return await self.fleet.store.write(**asked)


class Fleet:
    """Entries that hear each other at once, and one group of ranks."""

    def __init__(self, names=('a', 'b', 'c'), fenced=True):
        self.fenced = fenced
        self.group = fake_ranks.FakeGroup(
            size=RANKS,
            experts=8,
            layers=2,
            clock=virtual_time.now,
            checks_token=fenced,
        )
        self.store = site.FakeStore()
        self.turned_away = set()
        self.silent = set()
        self.entries = {name: self.make(name) for name in names}
        self.scopes = {}

    def make(self, name):
        table = endpoints.EndpointTable(
            data_centre='one', random=random.Random(1)
        )
        for rank in self.group.names():
            table.put(self.group.find(rank).record)
        return leader_election.LeaderElector(
            instance=name,
            table=table,
            services=lambda: (SERVICE,),
            fenced=lambda: self.fenced,
            eligible_peers=lambda: [
                other
                for other, entry in self.entries.items()
                if other != name
                and other not in self.silent
                and entry.eligible
            ],
            led_by_peers=lambda: frozenset(
                group
                for other, entry in self.entries.items()
                if other != name and other not in self.silent
                for group in entry.led_groups()
            ),
            denies_leading=lambda other, group: (
                other not in self.silent
                and group not in self.entries[other].led_groups()
            ),
            is_gone=lambda other: other in self.silent,
            pause_share=lambda service: 0.0,
            passes=lambda service: pass_times.PassTimes(
                clock=virtual_time.now
            ),
            concurrency_limit=lambda service, slots: slots,
            api=self.group,
            store=StoreOfOne(fleet=self, name=name),
            is_store_reachable=lambda: name not in self.turned_away,
            clock=virtual_time.now,
        )

    async def run_entry(self, name):
        with anyio.CancelScope() as self.scopes[name]:
            await self.entries[name].run()

    def leaders(self):
        return [
            name
            for name, entry in self.entries.items()
            if entry.led_groups() and name not in self.silent
        ]

    def start(self, tasks):
        tasks.start_soon(self.group.run)
        for name in self.entries:
            tasks.start_soon(self.run_entry, name)


async def test_one_entry_leads_and_only_one_asks_the_store():
    fleet = Fleet()
    async with anyio.create_task_group() as tasks:
        fleet.start(tasks)
        await anyio.sleep(5.0)
        assert len(fleet.leaders()) == 1
        contending = [
            name for name, one in fleet.entries.items() if one._offices
        ]
        assert contending == fleet.leaders()
        tasks.cancel_scope.cancel()


async def test_leader_learns_of_ranks_that_register_later():
    """No map is ever changed, and nobody else takes the lead.

    Sequence: entries start; one becomes leader while few ranks have
    registered and few entries are heard; then the others come, by whose
    names another entry would be the first.
    Cause: only the entry that is the first looked for ranks.
    """
    fleet = Fleet()
    ranks = list(fleet.group.names())
    others = {name: fleet.entries[name] for name in ('b', 'c')}
    async with anyio.create_task_group() as tasks:
        for name in others:
            del fleet.entries[name]
        tasks.start_soon(fleet.group.run)
        alone = fleet.entries['a']
        records = {name: alone._table.find(name).record for name in ranks}
        for name in ranks[1:]:
            alone._table.remove(name)
        tasks.start_soon(fleet.run_entry, 'a')
        await anyio.sleep(4.0)
        assert fleet.leaders() == ['a']
        alone._eligible_peers = lambda: [
            f'entry-{number}' for number in range(40)
        ]
        assert not alone._is_first('notes')
        for name in ranks[1:]:
            alone._table.put(records[name])
        await anyio.sleep(3.0)
        leader = next(iter(alone._offices.values())).leader
        assert isinstance(leader.decision, map_decisions.Settled)
        tasks.cancel_scope.cancel()


async def test_another_entry_leads_when_the_leader_is_killed():
    """A group that is held stands for ever.

    Sequence: the leader is killed; nobody takes its place.
    Cause: entries that contend only while nobody ever led.
    """
    fleet = Fleet()
    async with anyio.create_task_group() as tasks:
        fleet.start(tasks)
        await anyio.sleep(5.0)
        first = fleet.leaders()[0]
        fleet.scopes[first].cancel()
        fleet.silent.add(first)
        fleet.group.ranks[0].held = fleet.group.step + 2
        await anyio.sleep(8.0)
        assert fleet.leaders() not in ([], [first])
        before = fleet.group.step
        await anyio.sleep(2.0)
        assert fleet.group.step > before + 10
        assert fleet.group.mixed == []
        tasks.cancel_scope.cancel()


@pytest.mark.parametrize('fenced', [True, False])
@pytest.mark.parametrize('ends', [True, False], ids=['killed', 'suspended'])
async def test_group_that_is_held_goes_on_before_callers_leave(ends, fenced):
    """All streams of a group are given up by their callers.

    Sequence: the leader holds a rank, to change the map, and is killed or
    suspended; the others wait for the end of its lease; callers leave after
    two seconds without an event.
    Cause: the lease is kept for three seconds after the last renewal, though
    ranks refuse an older leader and nobody hears this one.
    """
    fleet = Fleet(fenced=fenced)
    async with anyio.create_task_group() as tasks:
        fleet.start(tasks)
        await anyio.sleep(5.0)
        first = fleet.leaders()[0]
        if ends:
            fleet.scopes[first].cancel()
        fleet.silent.add(first)
        held = fleet.group.step + 2
        fleet.group.ranks[0].held = held
        await anyio.sleep(1.5)
        assert fleet.leaders() not in ([], [first])
        assert fleet.group.step > held
        assert fleet.group.mixed == []
        tasks.cancel_scope.cancel()


async def test_group_is_led_soon_after_all_entries_have_restarted():
    """A group keeps its first map while all callers come back at once.

    Sequence: all entries end at once and start again; the lease is held by
    the earlier start of one of them; each waits for its end.
    Cause: who holds a lease was told by a name that the new start has too.
    """
    fleet = Fleet()
    async with anyio.create_task_group() as tasks:
        fleet.start(tasks)
        await anyio.sleep(5.0)
        for scope in fleet.scopes.values():
            scope.cancel()
        for leaves_first_out in (False, True):
            leader = fleet.leaders()[0] if fleet.leaders() else ''
            names = list(fleet.entries)
            fleet.entries = {name: fleet.make(name) for name in names}
            if leaves_first_out and leader:
                # The first of the others has to notice that it does not lead.
                fleet.entries[leader]._stopping = True
            for name in names:
                tasks.start_soon(fleet.run_entry, name)
            await anyio.sleep(1.5)
            assert len(fleet.leaders()) == 1
            assert (leader in fleet.leaders()) is not leaves_first_out
            for scope in fleet.scopes.values():
                scope.cancel()
            await anyio.sleep(0.1)
        assert fleet.group.mixed == []
        tasks.cancel_scope.cancel()


async def test_leader_that_stops_gives_its_lease_up():
    fleet = Fleet()
    async with anyio.create_task_group() as tasks:
        fleet.start(tasks)
        await anyio.sleep(5.0)
        first = fleet.leaders()[0]
        with anyio.fail_after(4.0):
            await fleet.entries[first].stop()
        assert not fleet.entries[first].eligible
        await anyio.sleep(2.5)
        assert fleet.leaders() not in ([], [first])
        tasks.cancel_scope.cancel()


async def test_leader_that_cannot_reach_the_ranks_lets_another_try():
    """A group waits for a leader that is cut off from it.

    Sequence: the leader loses its way to the ranks, and keeps the one to
    the store, by which it renews its lease.
    Cause: a leader that holds its lease whatever it can do with it.
    """
    fleet = Fleet()
    async with anyio.create_task_group() as tasks:
        fleet.start(tasks)
        await anyio.sleep(5.0)
        first = fleet.leaders()[0]
        cut = fake_ranks.FakeGroup(
            size=RANKS, experts=8, layers=2, clock=virtual_time.now
        )
        for rank in cut.ranks:
            rank.cut = True
        office = next(iter(fleet.entries[first]._offices.values()))
        fleet.entries[first]._api = cut
        office.leader.client._transport._api = cut
        await anyio.sleep(14.0)
        assert fleet.leaders() not in ([], [first])
        tasks.cancel_scope.cancel()


async def test_rank_that_has_started_again_is_one_rank():
    """A group is not led for seconds after a rank has crashed.

    Sequence: a rank crashes and starts again under another name at the
    address that it had; the entry of its former start stays for a while, or
    comes back with what a peer knows.
    Cause: one rank that answers under two names counted as two.
    """
    fleet = Fleet(names=('a',))
    async with anyio.create_task_group() as tasks:
        fleet.start(tasks)
        await anyio.sleep(5.0)
        table = fleet.entries['a']._table
        old = table.find('rank-1').record
        new = dataclasses.replace(old, identity='again-1')
        table.put(new)
        fleet.group.reform()
        await anyio.sleep(0.5)
        table.remove(old.identity)
        table.put(old)
        await anyio.sleep(3.0)
        (group,) = fleet.entries['a']._groups
        members = group.members
        assert 'again-1' in members
        assert 'rank-1' not in members
        leader = fleet.entries['a']._offices['g'].leader
        assert isinstance(leader.decision, map_decisions.Settled)
        tasks.cancel_scope.cancel()


@pytest.mark.parametrize('fenced', [True, False])
async def test_leader_goes_on_while_the_store_turns_it_away(fenced):
    """An uneven map is kept for six seconds.

    Sequence: the store turns the leader away and serves the others; its
    lease lapses; it stays the first of those that may contend, and the
    others leave it to it.
    Cause: a leader stopped with its lease, though nobody had taken it.
    """
    fleet = Fleet(fenced=fenced)
    async with anyio.create_task_group() as tasks:
        fleet.start(tasks)
        await anyio.sleep(5.0)
        first = fleet.leaders()
        fleet.turned_away = set(first)
        await anyio.sleep(8.0)
        assert fleet.leaders() == first
        tasks.cancel_scope.cancel()


async def test_entry_that_the_store_turns_away_leaves_leading_to_others():
    """Nobody leads a group though most entries could.

    Sequence: the first of the entries is turned away by the store when the
    leader ends; the others wait for it.
    Cause: who is fit was told by the ranks alone.
    """
    fleet = Fleet()
    async with anyio.create_task_group() as tasks:
        fleet.turned_away = {'a', 'b'}
        fleet.start(tasks)
        await anyio.sleep(3.0)
        assert fleet.leaders() == ['c']
        tasks.cancel_scope.cancel()


async def test_leader_that_ranks_refuse_does_not_say_that_it_leads():
    """Nobody contends for a group whose leader has ended.

    Sequence: the store turns a leader away, another takes over and ends; the
    first one, which ranks refuse, goes on telling that it leads.
    Cause: a lease that nobody is known to have taken counted as held.
    """
    fleet = Fleet()
    async with anyio.create_task_group() as tasks:
        fleet.start(tasks)
        await anyio.sleep(5.0)
        first = fleet.leaders()[0]
        fleet.turned_away = {first}
        for rank in fleet.group.ranks:
            rank.token = 1 << 60
        # A reason to give an order, which is then refused.
        fleet.group.ranks[0].held = fleet.group.step + 2
        await anyio.sleep(4.0)
        assert fleet.leaders() != [first]
        tasks.cancel_scope.cancel()


async def test_leader_that_comes_back_late_makes_way():
    """Two entries lead one group for good.

    Sequence: the leader is silent to its peers and away from the store;
    another takes over; the first one hears its peers again.
    Cause: one that goes on without its lease and asks nobody.
    """
    fleet = Fleet()
    async with anyio.create_task_group() as tasks:
        fleet.start(tasks)
        await anyio.sleep(5.0)
        first = fleet.leaders()[0]
        fleet.turned_away = {first}
        fleet.silent.add(first)
        await anyio.sleep(6.0)
        second = fleet.leaders()
        assert second not in ([], [first])
        fleet.silent.clear()
        await anyio.sleep(2.0)
        assert fleet.leaders() == second
        assert fleet.group.mixed == []
        tasks.cancel_scope.cancel()


async def test_nobody_leads_while_the_store_is_away():
    fleet = Fleet()
    fleet.store.away = True
    async with anyio.create_task_group() as tasks:
        fleet.start(tasks)
        await anyio.sleep(5.0)
        assert fleet.leaders() == []
        fleet.store.away = False
        await anyio.sleep(3.0)
        assert len(fleet.leaders()) == 1
        tasks.cancel_scope.cancel()
