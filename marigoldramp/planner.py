"""Plans the changes of one group's map, for as long as its leader leads."""

import dataclasses
from typing import Any
from typing import Awaitable
from typing import Callable

import anyio

from . import bundle
from . import expert_maps
from . import map_client
from . import map_leader
from . import placement
from . import popularity
from . import stragglers

#: Loads are given up after this many times the time that they should take.
LOAD_PATIENCE = 4.0
#: Seconds that even a small load is given.
LEAST_LOAD_SECONDS = 5.0


#: How fast old reports are forgotten.  An interval counts so many tokens
#: that little is left to average; an estimate that lags costs skew.
HALF_LIVES_AN_INTERVAL = 2.0


#: Why nothing moves while a call in flight is close to its deadline.
NO_SLACK = 'any delay would break a promised deadline of a call in flight'


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class AgentReports:
    """What the ranks beside one agent have counted."""

    agent: str
    reports: tuple[popularity.Report, ...]


Collect = Callable[[], Awaitable[tuple[AgentReports, ...]]]


class Planner:
    """Asks the group's policy once an interval.

    :param collect: asks the group's agents for their counts.
    :ivar outlook: what the policy last decided, for operators.
    """

    __slots__ = (
        '_group',
        '_policy',
        '_collect',
        '_clock',
        '_next',
        '_due',
        '_estimator',
        '_detector',
        'outlook',
    )

    def __init__(
        self,
        *,
        group: bundle.Group,
        collect: Collect,
        clock: Callable[[], float],
    ) -> None:
        plugin: Any = placement.RebalancingPolicy.find(group.rebalancing)
        self._policy: placement.RebalancingPolicy = plugin(group=group)
        self._group = group
        self._collect = collect
        self._clock = clock
        self._next = clock() + group.interval_seconds
        self._due = False
        self._estimator = popularity.Estimator(
            layers=group.layers,
            experts=group.experts,
            agents=group.ranks,
            half_life=group.interval_seconds / HALF_LIVES_AN_INTERVAL,
        )
        self._detector = stragglers.Detector()
        self.outlook: placement.Proposal | placement.Stay | None = None

    def findings(self) -> tuple[stragglers.Straggler, ...]:
        """Return the ranks that are slow for no reason of their load."""
        return self._detector.findings()

    async def plan(
        self,
        *,
        expert_map: expert_maps.ExpertMap,
        client: map_client.GroupClient,
    ) -> map_leader.Plan | None:
        """Return the change to make now, if any."""
        if self._clock() >= self._next:
            self._next = self._clock() + self._group.interval_seconds
            await self._take(await self._collect())
            self._due = True
        if not self._due:
            return None
        wanted = await self._decide(expert_map, client.slack)
        self.outlook = wanted
        if isinstance(wanted, placement.Stay):
            return None
        self._due = False
        return map_leader.Plan(
            layers=wanted.layers,
            load_limit=self._limit(wanted),
            stall_seconds=placement.DISRUPTION.stall_seconds,
        )

    async def _decide(
        self,
        expert_map: expert_maps.ExpertMap,
        slack: Callable[[], float],
    ) -> placement.Proposal | placement.Stay:
        """Ask the policy for a change that may begin now.

        While calls in flight have no time to spare it is asked again at
        each look at the group, not only once an interval: with a call
        always close to its deadline, no change would ever begin.
        """
        most = placement.most_loads(group=self._group, slack=slack())
        if not most:
            return placement.Stay(reason=NO_SLACK)
        situation = placement.Situation(
            layers=expert_map.layers,
            popularity=tuple(
                self._estimator.estimate(layer)
                for layer in range(self._group.layers)
            ),
            most_loads=most,
        )
        wanted = await self._policy.begin_interval(situation=situation)
        if isinstance(wanted, placement.Stay):
            self._due = False
            return wanted
        return placement.check(
            proposal=wanted,
            situation=situation,
            group=self._group,
            disruption=placement.DISRUPTION,
            slack=slack,
        )

    def record_outcome(self, *, plan: map_leader.Plan, done: bool) -> None:
        """Learn whether a change took place."""
        self._policy.end_change(done=done)

    async def _take(self, collected: tuple[AgentReports, ...]) -> None:
        timings: list[popularity.RankTiming] = []
        for one in collected:
            for report in one.reports:
                timings.extend(report.timings)
                ranks = ','.join(str(each.rank) for each in report.timings)
                self._estimator.take(
                    agent=f'{one.agent}/{ranks}', report=report
                )
                await anyio.sleep(0)
        self._detector.take(timings)

    def _limit(self, proposal: placement.Proposal) -> float:
        """Return the seconds after which unfinished loads are given up."""
        seconds = placement.load_seconds(
            group=self._group, loads=proposal.loads
        )
        return LEAST_LOAD_SECONDS + LOAD_PATIENCE * seconds
