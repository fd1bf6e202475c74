"""Skew against moves of the rebalancing policies, on drifting popularity.

One run compares never moving, recomputing everything, plain greedy moves
and the incremental policy at several thresholds on the same inputs.
"""

import dataclasses
import pathlib
import tracemalloc
from typing import Sequence

import cyclopts
import matplotlib
from matplotlib import pyplot

from marigoldramp import bundle

from . import drift
from . import rebalancing_drive
from . import tables

matplotlib.use('Agg')

THRESHOLDS = (1.1, 1.2, 1.3, 1.5, 1.8)
LARGE_THRESHOLDS = (1.2, 1.3, 1.5)
#: Loads an interval, of the whole group, that are compared.
BUDGETS = (6, 16, 32, 128)
SMALL = rebalancing_drive.Size(
    name='8x32', ranks=8, experts=32, layers=8, slots=6
)
LARGE = rebalancing_drive.Size(
    name='64x128', ranks=64, experts=128, layers=32, slots=3
)
#: Few layers, so that the plain greedy baseline ends within the minute.
SHALLOW = rebalancing_drive.Size(
    name='64x128x2', ranks=64, experts=128, layers=2, slots=3
)
#: The size at which planner time and memory are measured.
DEEP = rebalancing_drive.Size(
    name='64x128x61',
    ranks=64,
    experts=128,
    layers=61,
    slots=3,
    intervals=12,
)
SIZES = {size.name: size for size in (SMALL, SHALLOW, LARGE)}


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class PlannerRow:
    """What planning costs at the largest size.

    :ivar mean_ms: planner time of an interval.
    :ivar worst_ms: of the worst interval.
    :ivar block_ms: longest time without a turn for other tasks.
    :ivar memory_kb: peak of the planner's own objects, estimator included.
    """

    size: str
    input: str
    mean_ms: float
    worst_ms: float
    block_ms: float
    memory_kb: float


def trials(size: rebalancing_drive.Size) -> list[rebalancing_drive.Trial]:
    """Return the policies and settings that are compared at a size."""
    thresholds = LARGE_THRESHOLDS if size == LARGE else THRESHOLDS
    result = [
        rebalancing_drive.Trial(policy='never_move'),
        rebalancing_drive.Trial(policy='recompute'),
    ]
    if size != LARGE:
        result.extend(
            rebalancing_drive.Trial(policy='plain_greedy', threshold=threshold)
            for threshold in thresholds
        )
    for mode in bundle.MapMode:
        result.extend(
            rebalancing_drive.Trial(
                policy='incremental',
                mode=mode,
                threshold=threshold,
            )
            for threshold in thresholds
        )
    return result


def compare(
    *,
    size: rebalancing_drive.Size,
    kinds: Sequence[drift.Input],
    seed: int,
) -> list[rebalancing_drive.Row]:
    """Run every trial on every input."""
    return [
        rebalancing_drive.Drive(
            trial=trial, size=size, kind=kind, seed=seed
        ).run()
        for kind in kinds
        for trial in trials(size)
    ]


def weigh_planner(*, kind: drift.Input, seed: int) -> PlannerRow:
    """Measure time, longest block and memory of planning."""
    trial = rebalancing_drive.Trial(policy='incremental')
    timed = rebalancing_drive.Drive(
        trial=trial, size=DEEP, kind=kind, seed=seed
    )
    row = timed.run()
    return PlannerRow(
        size=DEEP.name,
        input=str(kind),
        mean_ms=row.planner_ms,
        worst_ms=timed.worst_planning * 1e3,
        block_ms=row.block_ms,
        memory_kb=_trace_memory(trial, kind, seed) / 1024,
    )


def _trace_memory(
    trial: rebalancing_drive.Trial, kind: drift.Input, seed: int
) -> int:
    """Return the peak of memory of estimator and planner in bytes."""
    drive = rebalancing_drive.Drive(
        trial=trial,
        size=dataclasses.replace(DEEP, intervals=4),
        kind=kind,
        seed=seed,
    )
    tracemalloc.start()
    drive.estimator = drive.make_estimator()
    drive.run()
    peak = tracemalloc.get_traced_memory()[1]
    tracemalloc.stop()
    return peak


def draw(*, rows: Sequence[rebalancing_drive.Row], path: pathlib.Path) -> None:
    """Draw mean skew over loads, one curve for each policy and mode."""
    figure, axes = pyplot.subplots(figsize=(7, 4.5))
    curves: dict[str, list[rebalancing_drive.Row]] = {}
    for row in rows:
        name = row.policy
        if name == 'incremental':
            name = f'{name}, {row.mode}'
        curves.setdefault(name, []).append(row)
    for name, points in curves.items():
        axes.plot(
            [max(point.loads_per_layer, 0.1) for point in points],
            [point.mean_skew for point in points],
            marker='o',
            label=name,
        )
    axes.set_xscale('log')
    axes.set_xlabel('experts loaded per layer, 96 intervals')
    axes.set_ylabel('mean skew')
    axes.set_title(f'{rows[0].size}, {rows[0].input}')
    axes.grid(visible=True)
    axes.legend()
    figure.tight_layout()
    figure.savefig(path)
    pyplot.close(figure)


def run(
    *,
    seed: int,
    out: pathlib.Path,
    size: str = SMALL.name,
    inputs: tuple[drift.Input, ...] = tuple(drift.Input),
) -> None:
    """Compare all policies and write a table and a plot for each input.

    :param size: ``8x32``, ``64x128x2``, or ``64x128``, which has 32 layers
        and takes about a minute an input.
    """
    out.mkdir(parents=True, exist_ok=True)
    for kind in inputs:
        rows = compare(size=SIZES[size], kinds=(kind,), seed=seed)
        stem = f'rebalancing_{size}_{kind}'
        tables.write(rows=rows, path=out / f'{stem}.csv')
        draw(rows=rows, path=out / f'{stem}.png')


app = cyclopts.App(
    name='rebalancing', help='Compare rebalancing policies on drift.'
)


@app.default
def main(
    *,
    seed: int = 1,
    out: pathlib.Path = pathlib.Path('out'),
    size: str = SMALL.name,
    inputs: tuple[drift.Input, ...] = tuple(drift.Input),
) -> None:
    """Compare policies on one or more inputs.

    :param size: 8x32, 64x128x2 (two layers) or 64x128 (32 layers).
    :param inputs: slow, daily, sudden, hot or straggler.
    """
    run(seed=seed, out=out, size=size, inputs=inputs)


@app.command
def planner(*, seed: int = 1, out: pathlib.Path = pathlib.Path('out')) -> None:
    """Measure time, longest block and memory of planning at 61 layers."""
    out.mkdir(parents=True, exist_ok=True)
    rows = [
        weigh_planner(kind=kind, seed=seed)
        for kind in (drift.Input.SLOW, drift.Input.SUDDEN)
    ]
    tables.write(rows=rows, path=out / 'rebalancing_planner.csv')


@app.command
def budgets(
    *,
    seed: int = 1,
    out: pathlib.Path = pathlib.Path('out'),
    kind: drift.Input = drift.Input.SLOW,
) -> None:
    """Compare limits of the loads an interval at 64x128, 32 layers."""
    out.mkdir(parents=True, exist_ok=True)
    rows = [
        rebalancing_drive.Drive(
            trial=rebalancing_drive.Trial(
                policy='incremental', most_moves=most
            ),
            size=LARGE,
            kind=kind,
            seed=seed,
        ).run()
        for most in BUDGETS
    ]
    tables.write(rows=rows, path=out / f'rebalancing_budgets_{kind}.csv')


if __name__ == '__main__':
    app()
