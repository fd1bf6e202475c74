"""Plans the expert map changes of a group while this process leads it."""

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

#: Weight loads are abandoned after the minimum timeout plus this multiple of
#: their expected time.
LOAD_TIMEOUT_FACTOR = 4.0
#: Timeout that even the smallest load gets.
MIN_LOAD_TIMEOUT_SECONDS = 5.0

#: Half-lives of the popularity estimate in one interval.  Old reports decay
#: fast because the many tokens of one interval leave little noise to average
#: out, and an estimate that lags behind the traffic causes skew.
HALF_LIVES_PER_INTERVAL = 2.0

#: Reason reported while a call in flight is close to its deadline.
NO_SLACK_REASON = (
    'a call in flight would miss its promised deadline after any delay'
)


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class AgentReports:
    """The token counts of the ranks that one agent serves."""

    agent: str
    reports: tuple[popularity.Report, ...]


CollectReports = Callable[[], Awaitable[tuple[AgentReports, ...]]]


class Planner:
    """Asks the rebalancing policy of the group once per interval.

    :param collect: returns the reports of the agents of the group.
    :ivar last_decision: the latest decision, for operators.
    """

    __slots__ = (
        '_group',
        '_policy',
        '_collect',
        '_clock',
        '_next_collection',
        '_decision_due',
        '_estimator',
        '_detector',
        'last_decision',
    )

    def __init__(
        self,
        *,
        group: bundle.Group,
        collect: CollectReports,
        clock: Callable[[], float],
    ) -> None:
        plugin: Any = placement.RebalancingPolicy.find(group.rebalancing)
        self._policy: placement.RebalancingPolicy = plugin(group=group)
        self._group = group
        self._collect = collect
        self._clock = clock
        self._next_collection = clock() + group.interval_seconds
        self._decision_due = False
        self._estimator = popularity.Estimator(
            layers=group.layers,
            experts=group.experts,
            agents=group.ranks,
            half_life=group.interval_seconds / HALF_LIVES_PER_INTERVAL,
        )
        self._detector = stragglers.Detector()
        self.last_decision: placement.Proposal | placement.Stay | None = None

    def findings(self) -> tuple[stragglers.Straggler, ...]:
        """Return the ranks whose slowness their load does not explain."""
        return self._detector.findings()

    async def plan(
        self,
        *,
        expert_map: expert_maps.ExpertMap,
        client: map_client.GroupClient,
    ) -> map_leader.Plan | None:
        """Return the map change to make now, if any."""
        if self._clock() >= self._next_collection:
            self._next_collection = (
                self._clock() + self._group.interval_seconds
            )
            await self._process_reports(await self._collect())
            self._decision_due = True
        if not self._decision_due:
            return None
        decision = await self._decide(expert_map, client.slack)
        self.last_decision = decision
        if isinstance(decision, placement.Stay):
            return None
        self._decision_due = False
        return map_leader.Plan(
            layers=decision.layers,
            load_limit=self._compute_load_timeout(decision),
            stall_seconds=placement.DISRUPTION.stall_seconds,
        )

    async def _decide(
        self,
        expert_map: expert_maps.ExpertMap,
        slack: Callable[[], float],
    ) -> placement.Proposal | placement.Stay:
        """Ask the policy for a change that may begin now.

        While calls in flight have no slack, this is tried again on every
        check of the group.  With one try per interval, no change would ever
        begin in a group that always has a call close to its deadline.
        """
        max_loads = placement.most_loads(group=self._group, slack=slack())
        if not max_loads:
            return placement.Stay(reason=NO_SLACK_REASON)
        situation = placement.Situation(
            layers=expert_map.layers,
            popularity=tuple(
                self._estimator.estimate(layer)
                for layer in range(self._group.layers)
            ),
            most_loads=max_loads,
        )
        decision = await self._policy.begin_interval(situation=situation)
        if isinstance(decision, placement.Stay):
            self._decision_due = False
            return decision
        return placement.check(
            proposal=decision,
            situation=situation,
            group=self._group,
            disruption=placement.DISRUPTION,
            slack=slack,
        )

    def record_outcome(self, *, plan: map_leader.Plan, done: bool) -> None:
        """Tell the policy whether a planned change took effect."""
        self._policy.end_change(done=done)

    async def _process_reports(
        self, collected: tuple[AgentReports, ...]
    ) -> None:
        timings: list[popularity.RankTiming] = []
        for agent_reports in collected:
            for report in agent_reports.reports:
                timings.extend(report.timings)
                ranks = ','.join(str(timing.rank) for timing in report.timings)
                self._estimator.take(
                    agent=f'{agent_reports.agent}/{ranks}', report=report
                )
                await anyio.sleep(0)
        self._detector.take(timings)

    def _compute_load_timeout(self, proposal: placement.Proposal) -> float:
        """Return the seconds after which unfinished loads are abandoned."""
        seconds = placement.load_seconds(
            group=self._group, loads=proposal.loads
        )
        return MIN_LOAD_TIMEOUT_SECONDS + LOAD_TIMEOUT_FACTOR * seconds
