"""A second attempt of a call that has no answer yet: does it pay?"""

import dataclasses
import pathlib
import random as random_module

import anyio
import anyio.abc

from marigoldramp import bundle
from marigoldramp import outcomes
from marigoldramp import routing as kernel_routing

from . import fakes
from . import routing
from . import tables
from . import traffic
from . import virtual

#: Seconds after which an urgent call is sent a second time; 0 for never.
AFTER = (0.0, 0.6, 1.0)
CONDITIONS = (
    routing.Condition(name='healthy', load=0.7),
    routing.Condition(name='healthy', load=1.0),
    routing.Condition(name='healthy', load=1.3),
    routing.Condition(name='slow', load=0.8),
    routing.Condition(name='mute', load=0.8),
    routing.Condition(name='late', load=0.8),
)


class HedgingEntry(fakes.Entry):
    """An entry that sends an urgent call again when it has to wait.

    :ivar after: seconds without an answer, 0 for never.
    :ivar hedges: second attempts made.
    """

    after = 0.0
    hedges = 0

    async def _attempt(
        self,
        *,
        choice: kernel_routing.Candidate,
        call: traffic.Call,
        facts: kernel_routing.CallFacts,
        attempt: int,
    ) -> fakes.Answer | outcomes.NotRun | None:
        first = super()._attempt
        if not self.after or call.priority is not bundle.Priority.URGENT:
            return await first(
                choice=choice, call=call, facts=facts, attempt=attempt
            )
        results: list[fakes.Answer | outcomes.NotRun | None] = []
        async with anyio.create_task_group() as tasks:

            async def race(
                candidate: kernel_routing.Candidate,
                known: kernel_routing.CallFacts,
            ) -> None:
                result = await first(
                    choice=candidate, call=call, facts=known, attempt=attempt
                )
                results.append(result)
                if isinstance(result, fakes.Answer):
                    tasks.cancel_scope.cancel()

            tasks.start_soon(race, choice, facts)
            await anyio.sleep(min(self.after, facts.remaining))
            left = facts.remaining - self.after
            second = (
                None
                if results
                else self._choose_second(choice=choice, call=call, left=left)
            )
            if second is not None:
                self.hedges += 1
                tasks.start_soon(
                    race,
                    second,
                    fakes.make_facts(
                        call=call, attempt=attempt + 100, left=left
                    ),
                )
        answers = [one for one in results if isinstance(one, fakes.Answer)]
        return (answers or results or [None])[0]

    def _choose_second(
        self,
        *,
        choice: kernel_routing.Candidate,
        call: traffic.Call,
        left: float,
    ) -> kernel_routing.Candidate | None:
        if left <= 0.0 or not self._budget.take():
            return None
        second = self.router.choose(
            service=self._services[call.service],
            facts=fakes.make_facts(call=call, attempt=100, left=left),
            exclude=frozenset({choice.instance}),
        )
        if isinstance(second, outcomes.NotRun):
            return None
        return second


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Row:
    """One delay under one condition; see the routing experiment.

    :ivar hedges: second attempts over urgent calls.
    """

    condition: str
    load: float
    after: float
    good: float
    good_urgent: float
    p50_urgent: float
    p99_urgent: float
    unknown: float
    wasted: float
    hedges: float


def measure(
    *,
    condition: routing.Condition,
    after: float,
    seed: int,
    calls: list[traffic.Call],
) -> Row:
    """Run one delay over the input."""
    fault = routing.FAULTS.get(condition.name)

    async def main() -> fakes.Fleet:
        fleet = fakes.Fleet(
            policy='two_choices', seed=seed, make_entry=HedgingEntry
        )
        for entry in fleet.entries:
            assert isinstance(entry, HedgingEntry)
            entry.after = after
        if fault is None:
            await fleet.serve(calls)
        else:
            await fleet.serve(calls, at=routing.FAULT_AT, then=fault)
        return fleet

    fleet = virtual.drive(main)
    row = routing.summarise(
        condition=condition.name,
        load=condition.load,
        policy='two_choices',
        fleet=fleet,
    )
    hedges = sum(
        entry.hedges
        for entry in fleet.entries
        if isinstance(entry, HedgingEntry)
    )
    urgent = sum(call.priority is bundle.Priority.URGENT for call in calls)
    return Row(
        condition=condition.name,
        load=condition.load,
        after=after,
        good=row.good,
        good_urgent=row.good_urgent,
        p50_urgent=row.p50_urgent,
        p99_urgent=row.p99_urgent,
        unknown=row.unknown,
        wasted=row.wasted,
        hedges=hedges / urgent,
    )


def run(*, seed: int, out: pathlib.Path) -> None:
    """Measure each delay under each condition, on the same inputs."""
    rows = []
    for condition in CONDITIONS:
        inputs = [
            traffic.generate(
                random=random_module.Random(seed + repeat),
                load=condition.load,
                seconds=routing.SECONDS,
            )
            for repeat in range(routing.REPEATS)
        ]
        for after in AFTER:
            rows.append(
                tables.average(
                    [
                        measure(
                            condition=condition,
                            after=after,
                            seed=seed + repeat,
                            calls=calls,
                        )
                        for repeat, calls in enumerate(inputs)
                    ]
                )
            )
    tables.write(rows=rows, path=out / 'hedging.csv')
