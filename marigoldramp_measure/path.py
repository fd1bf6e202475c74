"""Added latency and processor time of the path, on real processes.

Latency: calls go one at a time, alternately to the stand-in directly and
through entry and agent, so that both see the same noise of the machine.
Processor time: the scheduler's account of each process, less what the idle
process uses, over growing numbers of calls and growing streams.
"""

import dataclasses
import functools
import os
import pathlib
import random as random_module
import time
from typing import Awaitable
from typing import Callable
from typing import Sequence

import anyio

from marigoldramp import client

from . import drive
from . import fleet
from . import tables
from . import usage

PAIRS = 300
STREAM_PAIRS = 20
STREAM_TOKENS = 64
IDLE_SECONDS = 4.0
AT_ONCE = 8
REPEATS = 3
CALL_COUNTS = (100, 300, 500)
LENGTHS = (8, 64, 160)
STREAMS = 24
#: Process that makes the calls: the one that measures.
CALLER = 'caller'
#: How long a caller keeps an address answer; the settings' default.
KEEP_SECONDS = 30.0
MICRO = 1e6
MILLI = 1e3

Work = Callable[[int], Awaitable[object]]


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Latency:
    """A time as seen directly and through the path, in milliseconds."""

    what: str
    direct_p50: float
    path_p50: float
    added_p50: float
    direct_p95: float
    path_p95: float
    added_p95: float
    samples: int
    load: float


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Cost:
    """Processor time of one process for one more call or chunk."""

    process: str
    unit: str
    microseconds: float
    error: float
    points: int
    load: float


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Idle:
    """Processor time of an idle process, as a share of a core."""

    process: str
    share: float
    seconds: float
    load: float


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Addresses:
    """Size of an answer to a caller that asks where to go.

    :ivar seconds: how long the caller keeps it.
    """

    non_idempotent_services: int
    size: int
    seconds: float


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Sample:
    """One batch of work: its size and what a process spent on it.

    :ivar size: calls, or chunks relayed.
    """

    size: float
    seconds: float


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Batch:
    """Work to measure.

    :ivar size: the calls, or the chunks that they bring in all.
    """

    calls: int
    size: int
    work: Work


def compare(
    *, what: str, direct: Sequence[float], path: Sequence[float], load: float
) -> Latency:
    """Return the quantiles of two lists of seconds, in milliseconds."""
    figures = [
        tables.quantile(values, share) * MILLI
        for share in (0.5, 0.95)
        for values in (direct, path)
    ]
    return Latency(
        what=what,
        direct_p50=figures[0],
        path_p50=figures[1],
        added_p50=figures[1] - figures[0],
        direct_p95=figures[2],
        path_p95=figures[3],
        added_p95=figures[3] - figures[2],
        samples=len(path),
        load=load,
    )


def find_cost(
    *, process: str, unit: str, samples: Sequence[Sample], load: float
) -> Cost:
    """Return the slope of processor time over the size of a batch."""
    line = usage.fit(
        x=[one.size for one in samples], y=[one.seconds for one in samples]
    )
    return Cost(
        process=process,
        unit=unit,
        microseconds=line.slope * MICRO,
        error=line.error * MICRO,
        points=len(samples),
        load=load,
    )


def run(*, seed: int, out: pathlib.Path) -> None:
    """Measure the path; the seed orders the batches."""
    anyio.run(_run, seed, out)


async def _run(seed: int, out: pathlib.Path) -> None:
    random = random_module.Random(seed)
    async with fleet.start() as running:
        bench = Bench(running)
        latencies = await bench.measure_latency()
        tables.write(rows=latencies, path=out / 'path_latency.csv')
        idle = await bench.measure_idle()
        tables.write(rows=idle, path=out / 'path_idle.csv')
        addresses = await bench.measure_addresses()
        tables.write(rows=[addresses], path=out / 'path_addresses.csv')
        costs = await bench.measure_costs(idle, random)
        tables.write(rows=costs, path=out / 'path_cost.csv')
        await bench.close()


class Bench:
    """Drives one running fleet."""

    __slots__ = (
        '_path',
        '_engine',
        '_ledger',
        '_client',
        '_processes',
        '_count',
    )

    def __init__(self, running: fleet.MeasuredFleet) -> None:
        key = running.callers[0].key
        self._path = drive.Driver(address=running.entry, key=key)
        self._engine = drive.Driver(address=running.engine)
        self._ledger = drive.Driver(address=running.ledger)
        self._processes = {
            name: running.find_process(name)
            for name in (fleet.ENTRY, fleet.ENGINE_AGENT, fleet.LEDGER_AGENT)
        }
        self._processes[CALLER] = os.getpid()
        self._client = client.Client(addresses=[running.entry], key=key)
        self._count = 0

    async def close(self) -> None:
        """Close the connections."""
        for driver in (self._path, self._engine, self._ledger):
            await driver.close()
        await self._client.close()

    async def measure_addresses(self) -> Addresses:
        """Return the size of an address answer, with keys in it."""
        return Addresses(
            non_idempotent_services=1,
            size=await self._path.count_address_bytes(),
            seconds=KEEP_SECONDS,
        )

    async def measure_latency(self) -> list[Latency]:
        """Return what the path adds to a plain and to a streamed call."""
        plain = await self._alternate(
            self._ledger.fetch_receipt, self._path.fetch_receipt, PAIRS
        )
        streamed = await self._alternate(
            functools.partial(self._engine.stream, tokens=STREAM_TOKENS),
            functools.partial(self._path.stream, tokens=STREAM_TOKENS),
            STREAM_PAIRS,
        )
        load = usage.read_load()
        rows = []
        for what, pairs, read in (
            ('plain call', plain, lambda one: [one.total]),
            ('first token', streamed, lambda one: [one.first]),
            ('between tokens', streamed, lambda one: one.gaps),
        ):
            direct, path = (
                [value for one in side for value in read(one)]
                for side in pairs
            )
            rows.append(
                compare(what=what, direct=direct, path=path, load=load)
            )
        return rows

    async def _alternate(
        self,
        direct: Callable[[int], Awaitable[drive.Times]],
        path: Callable[[int], Awaitable[drive.Times]],
        pairs: int,
    ) -> tuple[list[drive.Times], list[drive.Times]]:
        found: tuple[list[drive.Times], list[drive.Times]] = ([], [])
        for index in range(pairs + 1):
            self._count += 2
            one = await direct(self._count)
            other = await path(self._count + 1)
            if index:  # the first pair only opens the connections
                found[0].append(one)
                found[1].append(other)
        return found

    async def measure_idle(self) -> list[Idle]:
        """Return what the processes use while no call comes."""
        before = self._read()
        begun = time.perf_counter()
        await anyio.sleep(IDLE_SECONDS)
        passed = time.perf_counter() - begun
        return [
            Idle(
                process=name,
                share=(after - before[name]) / passed,
                seconds=passed,
                load=usage.read_load(),
            )
            for name, after in self._read().items()
        ]

    async def measure_costs(
        self, idle: list[Idle], random: random_module.Random
    ) -> list[Cost]:
        """Return slopes over calls and over the length of streams."""
        rows = []
        for unit, work, agent in (
            ('idempotent call', self._path.fetch_receipt, fleet.LEDGER_AGENT),
            (
                'non-idempotent call',
                self._path.confirm_pledge,
                fleet.LEDGER_AGENT,
            ),
            ('call by the client library', self._call, CALLER),
        ):
            batches = [
                Batch(calls=count, size=count, work=work)
                for count in CALL_COUNTS
            ]
            found = await self._measure_batches(batches, idle, random)
            rows += _list_costs(unit, found, (fleet.ENTRY, agent))
        batches = [
            Batch(
                calls=STREAMS,
                size=STREAMS * length,
                work=functools.partial(self._path.stream, tokens=length),
            )
            for length in LENGTHS
        ]
        found = await self._measure_batches(batches, idle, random)
        rows += _list_costs(
            'relayed chunk', found, (fleet.ENTRY, fleet.ENGINE_AGENT)
        )
        return rows

    async def _call(self, number: int) -> None:
        """Make a plain call through the library that callers link."""
        path = f'/receipts/{number}?bytes={drive.RECEIPT_BYTES}'
        answer = await self._client.call(client.Call(method='GET', path=path))
        if not isinstance(answer, client.Answer):
            raise drive.Failed(str(answer))

    async def _measure_batches(
        self,
        batches: list[Batch],
        idle: list[Idle],
        random: random_module.Random,
    ) -> dict[str, list[Sample]]:
        """Run each batch some times, in a mixed order."""
        order = batches * REPEATS
        random.shuffle(order)
        found: dict[str, list[Sample]] = {one: [] for one in self._processes}
        for batch in order:
            before = self._read()
            begun = time.perf_counter()
            await self._run_calls(batch)
            passed = time.perf_counter() - begun
            after = self._read()
            for one in idle:
                spent = after[one.process] - before[one.process]
                found[one.process].append(
                    Sample(size=batch.size, seconds=spent - one.share * passed)
                )
        return found

    async def _run_calls(self, batch: Batch) -> None:
        numbers = iter(range(self._count, self._count + batch.calls))
        self._count += batch.calls

        async def go_on() -> None:
            for number in numbers:
                await batch.work(number)

        async with anyio.create_task_group() as group:
            for _ in range(AT_ONCE):
                group.start_soon(go_on)

    def _read(self) -> dict[str, float]:
        return {
            name: usage.read_seconds(process)
            for name, process in self._processes.items()
        }


def _list_costs(
    unit: str, found: dict[str, list[Sample]], names: tuple[str, ...]
) -> list[Cost]:
    load = usage.read_load()
    return [
        find_cost(process=name, unit=unit, samples=found[name], load=load)
        for name in names
    ]
