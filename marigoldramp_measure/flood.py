"""One customer's flood: what it does to the calls of the others."""

import dataclasses
import pathlib
import random as random_module
from typing import Any
from typing import Callable

from marigoldramp import admission
from marigoldramp import bundle
from marigoldramp import fair_order
from marigoldramp import queue_order

from . import admission as orders
from . import fakes
from . import tables
from . import traffic
from . import virtual

QUIET = 0.6
#: Load that the flooding customer adds, in capacities of all runners.
FLOODS = (0.0, 1.0, 3.0)
FLOODER = 'customer-0'
SECONDS = 40.0
WARM = 10.0

ORDERS: dict[str, Callable[[], queue_order.Order[Any]]] = {
    'strict': orders.Strict,
    'fair': fair_order.FairOrder,
}


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Row:
    """The other customers' calls under one flood and one order.

    :ivar p99_draft: seconds by token, as drafts differ in length.
    :ivar factor_urgent: p99 of urgent calls over its value without flood.
    """

    order: str
    flood: float
    calls: int
    good_urgent: float
    good_draft: float
    good_flooder: float
    p50_urgent: float
    p99_urgent: float
    factor_urgent: float
    p99_draft: float
    factor_draft: float


def make_input(*, flood: float, seed: int) -> list[traffic.Call]:
    """Return the same quiet traffic, with a flood beside it."""
    calls = traffic.generate(
        random=random_module.Random(seed), load=QUIET, seconds=SECONDS
    )
    if flood:
        calls += traffic.generate(
            random=random_module.Random(seed + 1),
            load=flood,
            start=5.0,
            seconds=SECONDS - 5.0,
            customers=(FLOODER,),
        )
    return traffic.number(calls)


def measure(
    *, order: str, seed: int, calls: list[traffic.Call]
) -> list[fakes.Ended]:
    """Run the fleet with one order of its queues."""

    async def main() -> list[fakes.Ended]:
        fleet = fakes.Fleet(
            policy='two_choices',
            seed=seed,
            make_queue=lambda **rest: admission.Queue(
                order=ORDERS[order](), **rest
            ),
        )
        await fleet.serve(calls)
        return fleet.ended

    return virtual.drive(main)


def _times(ended: list[fakes.Ended], *, by_token: bool) -> list[float]:
    return [
        one.seconds / (one.call.generated if by_token else 1)
        for one in ended
        if one.result is fakes.Result.ANSWERED
    ]


def _share_good(ended: list[fakes.Ended]) -> float:
    return len(_times(ended, by_token=False)) / max(1, len(ended))


def summarise(
    *, order: str, flood: float, ended: list[fakes.Ended], quiet: Row | None
) -> Row:
    """Return the row of a run; factors are over the quiet row."""
    ended = [one for one in ended if one.call.at > WARM]
    others = [one for one in ended if one.call.customer != FLOODER]
    urgent, drafts = (
        [one for one in others if one.call.priority is priority]
        for priority in (bundle.Priority.URGENT, bundle.Priority.NORMAL)
    )
    p99_urgent = tables.quantile(_times(urgent, by_token=False), 0.99)
    p99_draft = tables.quantile(_times(drafts, by_token=True), 0.99)
    return Row(
        order=order,
        flood=flood,
        calls=len(ended),
        good_urgent=_share_good(urgent),
        good_draft=_share_good(drafts),
        good_flooder=_share_good(
            [one for one in ended if one.call.customer == FLOODER]
        ),
        p50_urgent=tables.quantile(_times(urgent, by_token=False), 0.5),
        p99_urgent=p99_urgent,
        factor_urgent=p99_urgent / quiet.p99_urgent if quiet else 1.0,
        p99_draft=p99_draft,
        factor_draft=p99_draft / quiet.p99_draft if quiet else 1.0,
    )


def run(*, seed: int, out: pathlib.Path) -> None:
    """Measure each order under each flood."""
    rows: list[Row] = []
    for order in ORDERS:
        quiet = None
        for flood in FLOODS:
            ended = measure(
                order=order,
                seed=seed,
                calls=make_input(flood=flood, seed=seed),
            )
            row = summarise(order=order, flood=flood, ended=ended, quiet=quiet)
            quiet = quiet or row
            rows.append(row)
    tables.write(rows=rows, path=out / 'flood.csv')
