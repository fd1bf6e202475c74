"""Routing policies at four loads, on one and the same input."""

import dataclasses
import pathlib
import random as random_module
from typing import Callable
from typing import Sequence

from marigoldramp import bundle

from . import fakes
from . import tables
from . import traffic
from . import virtual

POLICIES = (
    'random_choice',
    'round_robin',
    'least_reported',
    'two_choices_raw',
    'two_choices',
)
LOADS = (0.7, 1.0, 1.3, 2.0)
SECONDS = 30.0
REPEATS = 2
WARM = 10.0
FAULT_AT = 10.0


def _slow(fleet: fakes.Fleet) -> None:
    fleet.endpoints['model-0'].faults.factor = 3.0


def _dead(fleet: fakes.Fleet) -> None:
    fleet.kill('model-0')


def _mute(fleet: fakes.Fleet) -> None:
    fleet.endpoints['model-0'].faults.mute = True


def _lies_low(fleet: fakes.Fleet) -> None:
    fleet.endpoints['model-0'].faults.lies_low = True


def _late(fleet: fakes.Fleet) -> None:
    for endpoint in fleet.endpoints.values():
        endpoint.faults.delay = 2.0


FAULTS: dict[str, Callable[[fakes.Fleet], None]] = {
    'slow': _slow,
    'dead': _dead,
    'mute': _mute,
    'lies_low': _lies_low,
    'late': _late,
}


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Condition:
    """A name, which may be that of a fault, and the load beside it."""

    name: str
    load: float


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Row:
    """One policy under one condition.

    :ivar good: calls answered whole and in time, over all calls.
    :ivar good_urgent: the same over the urgent ones.
    :ivar good_work: engine seconds of such calls that ended between
        ``WARM`` and ``SECONDS``, over what the runners can do in that time.
    :ivar p99_urgent: of the urgent calls that were answered, seconds.
    :ivar refused_p99: seconds until a refusal was told.
    :ivar unknown: calls that got neither an answer nor a refusal.
    :ivar wasted: engine seconds on calls that were not answered, over all.
    :ivar retries: attempts after the first, a call.
    """

    condition: str
    load: float
    policy: str
    calls: int
    good: float
    good_urgent: float
    good_work: float
    p50_urgent: float
    p99_urgent: float
    refused_p99: float
    unknown: float
    wasted: float
    retries: float


def measure(
    *,
    condition: str,
    load: float,
    policy: str,
    seed: int,
    calls: list[traffic.Call],
    **options: object,
) -> Row:
    """Run one policy over the input."""
    fault = FAULTS.get(condition)

    async def main() -> fakes.Fleet:
        fleet = fakes.Fleet(
            policy=policy, seed=seed, **options  # type: ignore[arg-type]
        )
        if fault is None:
            await fleet.serve(calls)
        else:
            await fleet.serve(calls, at=FAULT_AT, then=fault)
        return fleet

    fleet = virtual.drive(main)
    return summarise(
        condition=condition, load=load, policy=policy, fleet=fleet
    )


def summarise(
    *, condition: str, load: float, policy: str, fleet: fakes.Fleet
) -> Row:
    """Return the row of figures of a run."""
    ended = fleet.ended
    urgent = [
        one for one in ended if one.call.priority is bundle.Priority.URGENT
    ]
    good = [one for one in ended if one.result is fakes.Result.ANSWERED]
    good_urgent = [
        one for one in urgent if one.result is fakes.Result.ANSWERED
    ]
    refused = [
        one.seconds for one in ended if one.result is fakes.Result.REFUSED
    ]
    unknown = [one for one in ended if one.result is fakes.Result.UNKNOWN]
    busy = sum(one.busy for one in fleet.endpoints.values())
    wasted = sum(one.wasted for one in fleet.endpoints.values())
    useful = sum(one.served for one in good if WARM < one.ended_at < SECONDS)
    able = (SECONDS - WARM) * traffic.MODEL_RUNNERS * traffic.MODEL_SLOTS
    times = [one.seconds for one in good_urgent]
    return Row(
        condition=condition,
        load=load,
        policy=policy,
        calls=len(ended),
        good=len(good) / len(ended),
        good_urgent=len(good_urgent) / max(1, len(urgent)),
        good_work=useful / able,
        p50_urgent=tables.quantile(times, 0.5),
        p99_urgent=tables.quantile(times, 0.99),
        refused_p99=tables.quantile(refused, 0.99),
        unknown=len(unknown) / len(ended),
        wasted=wasted / max(1e-9, busy),
        retries=sum(max(0, one.attempts - 1) for one in ended) / len(ended),
    )


def compare(
    *, conditions: Sequence[Condition], seed: int, path: pathlib.Path
) -> None:
    """Measure every policy under each condition, on the same inputs.

    Each row is the mean over ``REPEATS`` inputs, as the policies differ by
    less than two inputs do.
    """
    rows = []
    for condition in conditions:
        inputs = [
            traffic.generate(
                random=random_module.Random(seed + repeat),
                load=condition.load,
                seconds=SECONDS,
            )
            for repeat in range(REPEATS)
        ]
        for policy in POLICIES:
            measured = [
                measure(
                    condition=condition.name,
                    load=condition.load,
                    policy=policy,
                    seed=seed + repeat,
                    calls=calls,
                )
                for repeat, calls in enumerate(inputs)
            ]
            rows.append(tables.average(measured))
    tables.write(rows=rows, path=path)


def run(*, seed: int, out: pathlib.Path) -> None:
    """Measure every policy at every load."""
    compare(
        conditions=[Condition(name='healthy', load=load) for load in LOADS],
        seed=seed,
        path=out / 'routing.csv',
    )
