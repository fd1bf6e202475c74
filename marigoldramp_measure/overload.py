"""A burst of twice the capacity: the plateau, and the time to recover."""

import collections
import dataclasses
import pathlib
import random as random_module

import anyio

from marigoldramp import admission
from marigoldramp import bundle
from marigoldramp import outcomes
from marigoldramp import queue_order

from . import fakes
from . import plots
from . import tables
from . import traffic
from . import virtual

QUIET = 0.7
BURST = 2.0
BURST_AT = 20.0
BURST_ENDS = 60.0
SECONDS = 110.0
#: Width of the window over which a share is taken.
WINDOW = 5.0
#: Recovered means: this share of the calls that arrive is good again.
RECOVERED = 0.98


class Unchecked(admission.Queue):
    """A baseline: first come, first served, and no deadline is looked at."""

    async def enter(
        self, *, waiting: queue_order.Waiting
    ) -> admission.Slot | outcomes.NotRun:
        """Wait for a slot as if there were no deadline."""
        endless = dataclasses.replace(
            waiting, deadline=virtual.clock() + 3600.0, priority=1
        )
        return await super().enter(waiting=endless)


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class System:
    """What is compared: a routing policy, a queue, a retry share."""

    name: str
    policy: str
    retry_share: float
    checked: bool


SYSTEMS = (
    System(
        name='marigoldramp',
        policy='two_choices',
        retry_share=0.1,
        checked=True,
    ),
    System(
        name='no_retry_budget',
        policy='two_choices',
        retry_share=100.0,
        checked=True,
    ),
    System(
        name='raw_report',
        policy='two_choices_raw',
        retry_share=0.1,
        checked=True,
    ),
    System(
        name='no_deadlines',
        policy='two_choices_raw',
        retry_share=0.1,
        checked=False,
    ),
    System(
        name='no_deadlines_no_budget',
        policy='two_choices_raw',
        retry_share=100.0,
        checked=False,
    ),
)


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Row:
    """One system through the burst.

    :ivar good_before: good calls over all calls, before the burst.
    :ivar work_plateau: engine seconds of good calls that end in the later
        half of the burst, over what the runners can do in that time.
    :ivar urgent_plateau: good urgent calls over all urgent ones, there.
    :ivar recovers: seconds after the burst until 98% of the calls that
        arrive are good again; NaN for never.
    :ivar unknown: calls that got neither an answer nor a refusal.
    """

    system: str
    good_before: float
    good_plateau: float
    urgent_plateau: float
    draft_plateau: float
    work_plateau: float
    p99_urgent: float
    recovers: float
    unknown: float
    wasted: float
    attempts: float


def make_input(*, seed: int) -> list[traffic.Call]:
    """Return quiet traffic with a burst in the middle of it."""
    random = random_module.Random(seed)
    parts = (
        (QUIET, 0.0, BURST_AT),
        (BURST, BURST_AT, BURST_ENDS),
        (QUIET, BURST_ENDS, SECONDS),
    )
    calls: list[traffic.Call] = []
    for load, start, end in parts:
        calls += traffic.generate(
            random=random, load=load, start=start, seconds=end - start
        )
    return traffic.number(calls)


def measure(
    *, system: System, seed: int, calls: list[traffic.Call]
) -> fakes.Fleet:
    """Run one system over the input."""

    async def main() -> fakes.Fleet:
        fleet = fakes.Fleet(
            policy=system.policy,
            seed=seed,
            retry_share=system.retry_share,
            make_queue=admission.Queue if system.checked else Unchecked,
        )
        with anyio.move_on_after(SECONDS + 60.0):
            await fleet.serve(calls)
        return fleet

    return virtual.drive(main)


def _share_good(ended: list[fakes.Ended]) -> float:
    good = sum(one.result is fakes.Result.ANSWERED for one in ended)
    return good / max(1, len(ended))


def _between(
    ended: list[fakes.Ended], start: float, end: float
) -> list[fakes.Ended]:
    return [one for one in ended if start <= one.call.at < end]


def _recovers(ended: list[fakes.Ended]) -> float:
    """Return the start of the first good window that stays good."""
    at = SECONDS - WINDOW
    found = float('nan')
    while at >= BURST_ENDS:
        if _share_good(_between(ended, at, at + WINDOW)) < RECOVERED:
            break
        found = at - BURST_ENDS
        at -= 1.0
    return found


def summarise(*, system: System, fleet: fakes.Fleet) -> Row:
    """Return the row of figures of a run."""
    middle = (BURST_AT + BURST_ENDS) / 2.0
    plateau = _between(fleet.ended, middle, BURST_ENDS)
    by_priority = collections.defaultdict(list)
    for one in plateau:
        by_priority[one.call.priority].append(one)
    useful = sum(
        one.served
        for one in fleet.ended
        if one.result is fakes.Result.ANSWERED
        and middle <= one.ended_at < BURST_ENDS
    )
    slots = traffic.MODEL_RUNNERS * traffic.MODEL_SLOTS
    urgent = by_priority[bundle.Priority.URGENT]
    busy = sum(one.busy for one in fleet.endpoints.values())
    wasted = sum(one.wasted for one in fleet.endpoints.values())
    unknown = [
        one for one in fleet.ended if one.result is fakes.Result.UNKNOWN
    ]
    return Row(
        system=system.name,
        good_before=_share_good(_between(fleet.ended, 0.0, BURST_AT)),
        good_plateau=_share_good(plateau),
        urgent_plateau=_share_good(urgent),
        draft_plateau=_share_good(by_priority[bundle.Priority.NORMAL]),
        work_plateau=useful / (BURST_ENDS - middle) / slots,
        p99_urgent=tables.quantile(
            [
                one.seconds
                for one in urgent
                if one.result is fakes.Result.ANSWERED
            ],
            0.99,
        ),
        recovers=_recovers(fleet.ended),
        unknown=len(unknown) / len(fleet.ended),
        wasted=wasted / busy,
        attempts=sum(one.attempts for one in fleet.ended) / len(fleet.ended),
    )


def run(*, seed: int, out: pathlib.Path) -> None:
    """Measure every system through the same burst."""
    calls = make_input(seed=seed)
    rows = []
    lines = []
    for system in SYSTEMS:
        fleet = measure(system=system, seed=seed, calls=calls)
        rows.append(summarise(system=system, fleet=fleet))
        starts = [float(at) for at in range(0, int(SECONDS - WINDOW))]
        lines.append(
            plots.Line(
                label=system.name,
                x=starts,
                y=[
                    _share_good(_between(fleet.ended, at, at + WINDOW))
                    for at in starts
                ],
            )
        )
    tables.write(rows=rows, path=out / 'overload.csv')
    plots.draw(
        path=out / 'overload.png',
        title='Good calls, by the time they arrive (burst from 20 to 60 s)',
        x_label='seconds',
        y_label='share of calls answered in time',
        lines=lines,
    )
