"""Drives one rebalancing policy over one input, interval by interval.

The policies, the estimator and the straggler detector are the real ones.
Reports of an interval, some late and some missing, go into the estimator;
the policy plans; its map is in force in the next interval.
"""

import asyncio
import dataclasses
import gc
import time

import anyio
import numpy

from marigoldramp import bundle
from marigoldramp import expert_maps
from marigoldramp import placement
from marigoldramp import popularity
from marigoldramp import stragglers
from marigoldrampplug import recompute

from . import drift
from . import plain_greedy

AGENTS = 8
MISSING_SHARE = 0.05
LATE_SHARE = 0.05
#: Time of a step that does not depend on the expert load, in mean loads.
BASE_TIME = 0.5
SLOW_RANK = 5
SLOWDOWN = 1.3
UNLIMITED = 10**9


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Size:
    """Dimensions of a group, and how many intervals are driven."""

    name: str
    ranks: int
    experts: int
    layers: int
    slots: int
    intervals: int = 96


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Trial:
    """One policy with its settings.

    :ivar most_moves: experts loaded an interval, 0 for six a layer.
    """

    policy: str
    mode: bundle.MapMode = bundle.MapMode.SKEW
    threshold: float = 1.2
    most_moves: int = 0

    def group(self, size: Size) -> bundle.Group:
        """Return the group's part of a bundle for this trial."""
        return bundle.Group(
            name='drafts',
            service='draft',
            ranks=size.ranks,
            experts=size.experts,
            layers=size.layers,
            slots=size.slots,
            rebalancing=self.policy,
            mode=self.mode,
            skew_threshold=self.threshold,
            moves_per_interval=self.most_moves or 6 * size.layers,
        )


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Row:
    """What one trial gave.

    :ivar most_loads: experts that may be loaded in one interval.
    :ivar p99_skew: over all layers and intervals.
    :ivar loads: experts loaded, all layers and intervals.
    :ivar loads_per_layer: the same for one layer.
    :ivar stalled_ms: worst-case wait of all changes, and the slowdown of
        the steps while weights load, taken as time.
    :ivar planner_ms: mean planner time an interval.
    :ivar block_ms: longest time without a turn for other tasks.
    :ivar straggler: interval in which the slow rank was reported.
    """

    size: str
    input: str
    policy: str
    mode: str
    threshold: float
    most_loads: int
    mean_skew: float
    p99_skew: float
    loads: int
    loads_per_layer: float
    gigabytes: float
    changes: int
    stalled_ms: float
    planner_ms: float
    block_ms: float
    straggler: int


class Ticker:
    """Stands for a heartbeat: a task that wants a turn all the time."""

    def __init__(self) -> None:
        self.longest = 0.0

    async def run(self) -> None:
        """Take every turn of the event loop and note the longest gap."""
        last = time.perf_counter()
        while True:
            await asyncio.sleep(0)
            now = time.perf_counter()
            self.longest = max(self.longest, now - last)
            last = now


def find_policy(name: str) -> type[placement.RebalancingPolicy]:
    """Return a policy: a plug-in, or the baseline of this package."""
    if name == plain_greedy.PlainGreedy.name:
        return plain_greedy.PlainGreedy
    return placement.RebalancingPolicy.find(name)


class Drive:
    """One trial on one input."""

    def __init__(
        self,
        *,
        trial: Trial,
        size: Size,
        kind: drift.Input,
        seed: int,
    ) -> None:
        self.trial = trial
        self.size = size
        self.kind = kind
        self.random = numpy.random.default_rng(seed)
        self.trace = drift.make(
            kind=kind,
            intervals=size.intervals,
            layers=size.layers,
            experts=size.experts,
            random=self.random,
        )
        self.group = trial.group(size)
        self.policy = find_policy(trial.policy)(group=self.group)
        self.estimator = self.make_estimator()
        self.detector = stragglers.Detector()
        self.disruption = placement.DISRUPTION
        self.layers = tuple(
            recompute.place(popularity=row, ranks=size.ranks, slots=size.slots)
            for row in self.trace[0].tolist()
        )
        self.skews: list[list[float]] = []
        self.loads = 0
        self.changes = 0
        self.stalled = 0.0
        self.planning = 0.0
        self.worst_planning = 0.0
        self.straggler = -1
        self.late: list[tuple[int, popularity.Report]] = []

    def make_estimator(self) -> popularity.Estimator:
        """Return an estimator as the leader of this group has it."""
        return popularity.Estimator(
            layers=self.size.layers,
            experts=self.size.experts,
            agents=AGENTS,
            half_life=self.group.interval_seconds / 2,
        )

    def run(self) -> Row:
        """Drive all intervals."""
        ticker = Ticker()
        asyncio.run(self._run(ticker))
        return self._row(ticker)

    async def _run(self, ticker: Ticker) -> None:
        # The first call imports anyio's backend, which is no planning.
        await anyio.sleep(0)
        # Nor does a program have this experiment's heap, all of which a
        # full collection would go through (some 50 ms).
        gc.freeze()
        for interval in range(self.size.intervals):
            loads = self._rank_loads(interval)
            self.skews.append([expert_maps.skew(one) for one in loads])
            self._report(interval, loads)
            ticking = asyncio.create_task(ticker.run())
            await asyncio.sleep(0)
            await self._plan()
            ticking.cancel()

    def _rank_loads(self, interval: int) -> list[list[float]]:
        shares = self.trace[interval].tolist()
        return [
            expert_maps.rank_loads(layer=layer, popularity=row)
            for layer, row in zip(self.layers, shares)
        ]

    def _report(self, interval: int, loads: list[list[float]]) -> None:
        """Let the agents report an interval; some late, some not at all."""
        for agent, report in self.late:
            self.estimator.take(
                agent=f'agent-{agent}',
                report=report,
                age=self.group.interval_seconds,
            )
        self.late = []
        report = popularity.Report(
            series=1,
            sequence=interval + 1,
            seconds=self.group.interval_seconds,
            layers=tuple(
                popularity.scale(row) for row in self.trace[interval].tolist()
            ),
        )
        for agent, luck in enumerate(self.random.random(AGENTS)):
            if luck < MISSING_SHARE:
                continue
            if luck < MISSING_SHARE + LATE_SHARE:
                self.late.append((agent, report))
                continue
            self.estimator.take(agent=f'agent-{agent}', report=report)
        self._time(interval, loads)

    def _time(self, interval: int, loads: list[list[float]]) -> None:
        if self.kind != drift.Input.STRAGGLER:
            return
        totals = numpy.sum(loads, axis=0) * self.size.ranks
        times = BASE_TIME * self.size.layers + totals
        times[SLOW_RANK] *= SLOWDOWN
        self.detector.take(
            [
                popularity.RankTiming(
                    rank=rank, steps=1, busy_seconds=busy, tokens=total
                )
                for rank, (busy, total) in enumerate(
                    zip(times.tolist(), totals.tolist())
                )
            ]
        )
        if self.straggler < 0 and self.detector.findings():
            self.straggler = interval

    async def _plan(self) -> None:
        started = time.perf_counter()
        limited = self.trial.policy == 'incremental'
        situation = placement.Situation(
            layers=self.layers,
            popularity=tuple(
                self.estimator.estimate(layer)
                for layer in range(self.size.layers)
            ),
            most_loads=(
                placement.most_loads(group=self.group)
                if limited
                else UNLIMITED
            ),
        )
        proposal = await self.policy.begin_interval(situation=situation)
        spent = time.perf_counter() - started
        self.planning += spent
        self.worst_planning = max(self.worst_planning, spent)
        if isinstance(proposal, placement.Proposal) and proposal.loads:
            self._change(proposal)

    def _change(self, proposal: placement.Proposal) -> None:
        self.layers = proposal.layers
        self.loads += proposal.loads
        self.changes += 1
        seconds = placement.load_seconds(
            group=self.group, loads=proposal.loads
        )
        self.stalled += self.disruption.predict(load_seconds=seconds)

    def _row(self, ticker: Ticker) -> Row:
        skews = numpy.array(self.skews)
        return Row(
            size=self.size.name,
            input=str(self.kind),
            policy=self.trial.policy,
            mode=str(self.trial.mode),
            threshold=self.trial.threshold,
            most_loads=self.group.moves_per_interval,
            mean_skew=float(skews.mean()),
            p99_skew=float(numpy.percentile(skews, 99)),
            loads=self.loads,
            loads_per_layer=self.loads / self.size.layers,
            gigabytes=self.loads * self.group.expert_bytes / 1e9,
            changes=self.changes,
            stalled_ms=self.stalled * 1e3,
            planner_ms=self.planning / self.size.intervals * 1e3,
            block_ms=ticker.longest * 1e3,
            straggler=self.straggler,
        )
