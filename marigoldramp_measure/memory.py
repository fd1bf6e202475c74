"""Resident memory of the processes: idle, and its growth with their work.

Each stage leaves its memory behind, so growth is taken from the level at
the stage's own start, after a round that warms allocators and caches.
"""

import dataclasses
import pathlib
import subprocess
import sys
from typing import Sequence

import anyio
import anyio.abc

from . import drive
from . import fleet
from . import tables
from . import usage

#: What the programs import, least first; the last is the whole entry.
IMPORTS = (
    'anyio._backends._asyncio',
    'uvicorn.protocols.http.httptools_impl',
    'httpcore',
    'msgspec',
    'yaml',
    'absl.logging',
    'cyclopts',
    'cryptography.hazmat.primitives.asymmetric.ed25519',
    'opentelemetry.sdk.metrics',
    'grpc.aio',
    'marigoldramp.entry',
    'marigoldramp.agent',
)
#: Customers in the bundle of an idle process: today's and in two years.
BUNDLES = (1, 10_000, 40_000)
CUSTOMERS = 3000
CUSTOMER_STEPS = (500, 1000, 2000, 3000)
RECORD_STEPS = (1000, 2000, 4000, 8000)
STREAM_STEPS = (0, 100, 200, 400, 600)
AT_ONCE = 16
WARM_CALLS = 400
#: A step of the engine while streams are held: tokens come slowly, yet
#: often enough that no connection is taken for a silent one.
SLOW_STEP = 0.4
SETTLE_SECONDS = 2.0
MEBIBYTE = 1024 * 1024
KIBIBYTE = 1024


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Level:
    """Resident memory of a process at rest."""

    process: str
    when: str
    mebibytes: float


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Growth:
    """Memory that one more unit takes."""

    process: str
    unit: str
    kibibytes: float
    error: float
    points: int
    largest: int


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Point:
    """A process's memory while it holds some number of a unit."""

    process: str
    unit: str
    held: int
    resident: int


def find_growth(points: Sequence[Point]) -> Growth:
    """Return the slope of memory over what is held, for one process."""
    held = [one.held for one in points]
    line = usage.fit(x=held, y=[one.resident for one in points])
    return Growth(
        process=points[0].process,
        unit=points[0].unit,
        kibibytes=line.slope / KIBIBYTE,
        error=line.error / KIBIBYTE,
        points=len(points),
        largest=max(held),
    )


def run(*, seed: int, out: pathlib.Path) -> None:
    """Measure memory; the seed changes nothing here."""
    levels = measure_imports()
    for customers in BUNDLES:
        levels += anyio.run(_measure_idle, customers)
    tables.write(rows=levels, path=out / 'memory_idle.csv')
    points = anyio.run(_measure_streams)
    points += anyio.run(_measure_customers)
    points += anyio.run(_measure_records)
    tables.write(rows=points, path=out / 'memory_points.csv')
    groups: dict[str, list[Point]] = {}
    for point in points:
        groups.setdefault(f'{point.process} {point.unit}', []).append(point)
    growth = [find_growth(group) for group in groups.values()]
    tables.write(rows=growth, path=out / 'memory_growth.csv')


def measure_imports() -> list[Level]:
    """Return the memory of new processes, each with one import more."""
    # usage is not imported there: it would bring numpy into the figure.
    read = (
        "import pathlib; print([line.split()[1] for line in pathlib.Path("
        "'/proc/self/status').read_text().splitlines() "
        "if line.startswith('VmRSS:')][0])"
    )
    rows = []
    for count in range(len(IMPORTS) + 1):
        names = IMPORTS[:count]
        imports = ''.join(f'import {name}; ' for name in names)
        done = subprocess.run(
            [sys.executable, '-c', imports + read],
            check=True,
            capture_output=True,
        )
        rows.append(
            Level(
                process='python',
                when=f'with {names[-1]}' if names else 'interpreter',
                mebibytes=int(done.stdout) * KIBIBYTE / MEBIBYTE,
            )
        )
    return rows


async def _measure_idle(customers: int) -> list[Level]:
    async with fleet.start(customers=customers) as running:
        await anyio.sleep(SETTLE_SECONDS)
        return [
            Level(
                process=name,
                when=f'idle, customers in the bundle: {customers}',
                mebibytes=_read(running, name) / MEBIBYTE,
            )
            for name in (fleet.ENTRY, fleet.ENGINE_AGENT, fleet.LEDGER_AGENT)
        ]


async def _measure_streams() -> list[Point]:
    """Hold more and more open streams."""
    names = (fleet.ENTRY, fleet.ENGINE_AGENT)
    points = []
    async with fleet.start(step=SLOW_STEP) as running:
        driver = drive.Driver(
            address=running.entry, key=running.callers[0].key
        )
        async with anyio.create_task_group() as group:
            opened = 0
            for step in STREAM_STEPS:
                for number in range(opened, step):
                    await _open_stream(driver, number, group)
                opened = step
                await anyio.sleep(SETTLE_SECONDS)
                points += _read_all(running, names, 'open stream', step)
            group.cancel_scope.cancel()
        await driver.close()
    return points


async def _open_stream(
    driver: drive.Driver, number: int, group: anyio.abc.TaskGroup
) -> None:
    """Start a stream; do not wait for its first token."""
    group.start_soon(driver.hold_stream, number)
    await anyio.sleep(0.005)


async def _measure_customers() -> list[Point]:
    """Serve more and more customers, one call each."""
    points = []
    async with fleet.start(customers=CUSTOMERS) as running:
        warm = drive.Driver(address=running.entry, key=running.callers[0].key)
        await _repeat(warm, WARM_CALLS)
        await warm.close()
        served = 1
        for step in CUSTOMER_STEPS:
            for caller in running.callers[served:step]:
                driver = drive.Driver(address=running.entry, key=caller.key)
                await driver.fetch_receipt(served)
                await driver.close()
            served = step
            points += _read_all(
                running, (fleet.ENTRY,), 'customer served', step
            )
    return points


async def _measure_records() -> list[Point]:
    """Make more and more non-idempotent calls."""
    points = []
    async with fleet.start() as running:
        driver = drive.Driver(
            address=running.entry, key=running.callers[0].key
        )
        made = 0
        for step in RECORD_STEPS:
            await _confirm(driver, range(made, step))
            made = step
            await anyio.sleep(SETTLE_SECONDS)
            points += _read_all(
                running, (fleet.LEDGER_AGENT,), 'record kept', step
            )
        await driver.close()
    return points


async def _repeat(driver: drive.Driver, calls: int) -> None:
    for number in range(calls):
        await driver.fetch_receipt(number)


async def _confirm(driver: drive.Driver, numbers: range) -> None:
    left = iter(numbers)

    async def go_on() -> None:
        for number in left:
            await driver.confirm_pledge(number)

    async with anyio.create_task_group() as group:
        for _ in range(AT_ONCE):
            group.start_soon(go_on)


def _read(running: fleet.MeasuredFleet, name: str) -> int:
    return usage.read_memory(running.find_process(name))


def _read_all(
    running: fleet.MeasuredFleet,
    names: tuple[str, ...],
    unit: str,
    held: int,
) -> list[Point]:
    return [
        Point(
            process=name,
            unit=unit,
            held=held,
            resident=_read(running, name),
        )
        for name in names
    ]
