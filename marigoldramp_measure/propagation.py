"""Time until a bundle is in force at every instance, and what it costs.

A quarter of the instances are entries, as at the two-year size, in three
data centres; the store is the stand-in's table behind a delay of 2 ms.

All instances run in one process.  Over real sockets on loopback they wait
for each other's processor time, so that those times are an upper bound; in
virtual time, with stated delays of the network, they are the protocol's own.
"""

import asyncio
import dataclasses
import math
import pathlib
import random as random_module
import time
from typing import Callable

import anyio
import anyio.abc
import cyclopts

from marigoldramp import bundle
from marigoldramp import messages
from marigoldramp import settings as settings_module
from marigoldramp_standins import memory
from marigoldramp_standins import objects

from . import bundles
from . import instances
from . import network
from . import tables
from . import usage
from . import virtual

SIZES = (40, 80, 160)
VIRTUAL_SIZES = (40, 80, 160, 320)
ROLLS = 5
VIRTUAL_ROLLS = 3
CUSTOMERS = 2_000
IDLE_SECONDS = 20.0
ROLL_SECONDS = 3.0
SETTLE_SECONDS = 3.0
#: Seconds between two readings of the instance list; the programs read it
#: more often, but a process here reads for all instances.
LIST_SECONDS = 4.0
STORE_SECONDS = 0.002
DATAGRAM_SECONDS = 0.0005
#: Connecting and one round trip, at a millisecond between data centres.
REQUEST_SECONDS = 0.004
DATA_CENTRES = ('a', 'b', 'c')
#: Share of entries at the two-year size: 350 of 1,280.
ENTRY_EVERY = 4
MILLI = 1e3


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Row:
    """One size of the fleet.

    :ivar watchers: instances that watch the store.
    :ivar start_s: from the start of all until the first bundle is in force
        everywhere.
    :ivar p50_ms: from the roll's acceptance to in force, over all instances
        and rolls.
    :ivar idle_calls: store calls a second of the whole fleet.
    :ivar roll_reads: reads of one roll by the whole fleet.
    :ivar roll_other: its other calls: watches, and the record of take-ups.
    :ivar cpu_ms: processor time of one roll for each instance, beyond what
        the idle instance uses.
    :ivar lag_ms: longest that the process's event loop stood still in the
        rolls; all instances share it, so it is part of every time over real
        sockets.
    """

    instances: int
    entries: int
    watchers: int
    start_s: float
    p50_ms: float
    p95_ms: float
    worst_ms: float
    idle_calls: float
    roll_reads: float
    roll_other: float
    cpu_ms: float
    lag_ms: float
    load: float


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Plan:
    """What to measure.

    :ivar clock: the clock by which it is measured.
    :ivar carrier: the network in virtual time, else real sockets.
    """

    rolls: int
    customers: int
    idle: float
    seed: int
    clock: Callable[[], float]
    carrier: Callable[[], network.Network | None]


class Fleet:
    """Instances around one store."""

    def __init__(self, *, size: int, plan: Plan) -> None:
        self.table = objects.Table()
        self.table.faults.slowness = STORE_SECONDS
        self.publisher = instances.Publisher(table=self.table)
        self.random = random_module.Random(plan.seed)
        self._plan = plan
        self._carrier = plan.carrier()
        settings = instances.read_settings(self.publisher.operators)
        self.members = [self._make(number, settings) for number in range(size)]

    def _make(
        self, number: int, settings: settings_module.Settings
    ) -> instances.Instance:
        entry = number % ENTRY_EVERY == 0
        role = messages.Role.ENTRY if entry else messages.Role.AGENT
        centre = DATA_CENTRES[number // ENTRY_EVERY % len(DATA_CENTRES)]
        return instances.Instance(
            description=instances.Description(
                name=f'{role.name.lower()}-{number:04}',
                data_centre=centre,
                role=role,
            ),
            settings=settings,
            random=random_module.Random(self.random.random()),
            clock=self._plan.clock,
            virtual=self._carrier,
        )

    async def start(self, group: anyio.abc.TaskGroup) -> None:
        """Start all; they read the instance list again and again."""
        for member in self.members:
            platform = memory.MemoryStore(table=self.table)
            await member.start(group, platform)
        group.start_soon(self._list)

    async def _list(self) -> None:
        rows = [member.row() for member in self.members]
        while True:
            for member in self.members:
                member.members.seed(rows)
                await anyio.sleep(0)
            await anyio.sleep(LIST_SECONDS)

    @property
    def is_real(self) -> bool:
        """Whether the instances talk over real sockets."""
        return self._carrier is None

    def count_watchers(self) -> int:
        """Return how many take themselves for watchers of the store."""
        return sum(
            member.description.name
            in member.members.watchers(member.settings.platform.watchers)
            for member in self.members
        )

    def count_entries(self) -> int:
        """Return the number of entries."""
        return sum(
            member.description.role is messages.Role.ENTRY
            for member in self.members
        )

    def has(self, number: int) -> bool:
        """Return whether a number has come into force everywhere."""
        return all(number in member.in_force_at for member in self.members)

    async def stop(self) -> None:
        """Close every socket."""
        for member in self.members:
            await member.stop()


def run(*, seed: int, out: pathlib.Path) -> None:
    """Measure real sockets and virtual time at the usual sizes."""
    measure(seed=seed, out=out)
    measure_virtual(seed=seed, out=out)


app = cyclopts.App(help=__doc__)


@app.command(name='real')
def measure(
    *,
    sizes: tuple[int, ...] = SIZES,
    rolls: int = ROLLS,
    customers: int = CUSTOMERS,
    idle: float = IDLE_SECONDS,
    seed: int = 1,
    out: pathlib.Path = pathlib.Path('out'),
) -> None:
    """Measure over real sockets on loopback.

    :param sizes: instances.
    :param rolls: bundles rolled at each size, each changing one customer.
    :param customers: customers of the bundle.
    :param idle: seconds of idling, to count the store's calls.
    :param seed: the same seed gives the same keys and phases.
    :param out: directory for the CSV file.
    """
    plan = Plan(
        rolls=rolls,
        customers=customers,
        idle=idle,
        seed=seed,
        clock=time.monotonic,
        carrier=lambda: None,
    )
    rows = [anyio.run(_measure, size, plan) for size in sizes]
    _write(rows, out / 'propagation.csv')


@app.command(name='virtual')
def measure_virtual(
    *,
    sizes: tuple[int, ...] = VIRTUAL_SIZES,
    rolls: int = VIRTUAL_ROLLS,
    customers: int = CUSTOMERS,
    idle: float = IDLE_SECONDS,
    seed: int = 1,
    out: pathlib.Path = pathlib.Path('out'),
) -> None:
    """Measure in virtual time; parameters as of ``real``."""
    plan = Plan(
        rolls=rolls,
        customers=customers,
        idle=idle,
        seed=seed,
        clock=virtual.clock,
        carrier=_make_network,
    )

    def measure_size(size: int) -> Row:
        async def main() -> Row:
            return await _measure(size, plan)

        return virtual.drive(main)

    rows = [measure_size(size) for size in sizes]
    _write(rows, out / 'propagation_virtual.csv')


def _make_network() -> network.Network:
    return network.Network(
        datagram_seconds=DATAGRAM_SECONDS, request_seconds=REQUEST_SECONDS
    )


def _write(rows: list[Row], path: pathlib.Path) -> None:
    path.parent.mkdir(parents=True, exist_ok=True)
    tables.write(rows=rows, path=path)
    if len(rows) < 2:
        return
    doublings = [math.log2(row.instances) for row in rows]
    for name in ('p50_ms', 'worst_ms', 'idle_calls', 'roll_reads'):
        values = [getattr(row, name) for row in rows]
        line = usage.fit(x=doublings, y=values)
        print(f'{name}: {line.slope:+.3g} with each doubling')


async def _measure(size: int, plan: Plan) -> Row:
    fleet = Fleet(size=size, plan=plan)
    whole = bundles.make_bundle(count=plan.customers, random=fleet.random)
    await fleet.publisher.publish(whole)
    async with anyio.create_task_group() as group:
        began = plan.clock()
        await fleet.start(group)
        if not await instances.wait_until(lambda: fleet.has(1), seconds=60):
            raise RuntimeError('the first bundle did not get everywhere')
        started = plan.clock() - began
        await anyio.sleep(SETTLE_SECONDS)
        watchers = fleet.count_watchers()
        fleet.table.counts = objects.Counts()
        processor = time.process_time()
        await anyio.sleep(plan.idle)
        idle_cpu = (time.process_time() - processor) / plan.idle
        idle_calls = fleet.table.counts.total() / plan.idle
        lag = Lag()
        group.start_soon(lag.watch)
        rolled = await _roll(fleet, whole, plan)
        group.cancel_scope.cancel()
    await fleet.stop()
    spent = rolled.processor - idle_cpu * plan.rolls * ROLL_SECONDS
    return Row(
        instances=size,
        entries=fleet.count_entries(),
        watchers=watchers,
        start_s=started,
        p50_ms=MILLI * tables.quantile(rolled.times, 0.5),
        p95_ms=MILLI * tables.quantile(rolled.times, 0.95),
        worst_ms=MILLI * max(rolled.times),
        idle_calls=idle_calls,
        roll_reads=rolled.counts.reads / plan.rolls,
        roll_other=(rolled.counts.total() - rolled.counts.reads) / plan.rolls,
        cpu_ms=MILLI * spent / plan.rolls / size,
        lag_ms=MILLI * lag.longest if fleet.is_real else math.nan,
        load=usage.read_load(),
    )


@dataclasses.dataclass(slots=True, kw_only=True)
class Rolled:
    """What the rolls of one size took.

    :ivar times: from acceptance to in force, of each instance and roll.
    :ivar processor: processor seconds of all of it, the roller's excepted.
    """

    times: list[float] = dataclasses.field(default_factory=list)
    counts: objects.Counts = dataclasses.field(default_factory=objects.Counts)
    processor: float = 0.0


async def _roll(fleet: Fleet, whole: bundle.Bundle, plan: Plan) -> Rolled:
    """Roll bundles one after another, each until it is in force."""
    rolled = Rolled()
    for number in range(2, 2 + plan.rolls):
        whole = change_one(whole, number, fleet.random)
        await fleet.publisher.publish(whole)
        began = plan.clock()
        processor = time.process_time()
        # The roller's own calls came before; what follows is the fleet's.
        fleet.table.counts = objects.Counts()
        await anyio.sleep(ROLL_SECONDS)
        rolled.processor += time.process_time() - processor
        await instances.wait_until(lambda: fleet.has(number), seconds=30)
        rolled.times += [
            member.in_force_at[number] - began for member in fleet.members
        ]
        for field in dataclasses.fields(objects.Counts):
            value = getattr(rolled.counts, field.name)
            added = getattr(fleet.table.counts, field.name)
            setattr(rolled.counts, field.name, value + added)
    return rolled


def change_one(
    whole: bundle.Bundle, number: int, random: random_module.Random
) -> bundle.Bundle:
    """Return a newer bundle in which one customer has another limit."""
    changed = list(whole.customers)
    index = random.randrange(len(changed))
    changed[index] = dataclasses.replace(
        changed[index], requests_per_second=float(number)
    )
    return dataclasses.replace(whole, number=number, customers=tuple(changed))


class Lag:
    """Longest time for which the event loop did not turn."""

    def __init__(self) -> None:
        self.longest = 0.0

    async def watch(self) -> None:
        """Note how late a timer of 5 ms comes, until cancelled."""
        while True:
            before = time.monotonic()
            await asyncio.sleep(0.005)
            late = time.monotonic() - before - 0.005
            self.longest = max(self.longest, late)


if __name__ == '__main__':
    app()
