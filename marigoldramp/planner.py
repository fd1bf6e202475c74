"""Plans the changes of one group's map, for as long as its leader leads."""

import dataclasses
from typing import Any
from typing import Awaitable
from typing import Callable

from . import bundle
from . import expert_maps
from . import map_conversation
from . import map_leader
from . import placement
from . import popularity
from . import stragglers

#: Loads are given up after this many times the time that they should take.
LOAD_PATIENCE = 4.0
#: Seconds that even a small load is given.
LEAST_LOAD_SECONDS = 5.0


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class AgentReports:
    """What the ranks beside one agent have counted."""

    agent: str
    reports: tuple[popularity.Report, ...]


Collect = Callable[[], Awaitable[tuple[AgentReports, ...]]]


class Planner:
    """Asks the group's policy once an interval.

    :param collect: asks the group's agents for their counts.
    :param slack: returns the seconds by which the tightest call in flight
        can be delayed without missing its promised deadline.
    :ivar outlook: what the policy last decided, for operators.
    """

    __slots__ = (
        '_group',
        '_policy',
        '_collect',
        '_slack',
        '_clock',
        '_next',
        '_estimator',
        '_detector',
        'outlook',
    )

    def __init__(
        self,
        *,
        group: bundle.Group,
        collect: Collect,
        slack: Callable[[], float],
        clock: Callable[[], float],
    ) -> None:
        plugin: Any = placement.RebalancingPolicy.find(group.rebalancing)
        self._policy: placement.RebalancingPolicy = plugin(group=group)
        self._group = group
        self._collect = collect
        self._slack = slack
        self._clock = clock
        self._next = clock() + group.interval_seconds
        self._estimator = popularity.Estimator(
            layers=group.layers, experts=group.experts, agents=group.ranks
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
        conversation: map_conversation.Conversation,
    ) -> map_leader.Plan | None:
        """Return the change to make now, if any."""
        if self._clock() < self._next:
            return None
        self._next = self._clock() + self._group.interval_seconds
        self._take(await self._collect())
        situation = placement.Situation(
            layers=expert_map.layers,
            popularity=tuple(
                self._estimator.estimate(layer)
                for layer in range(self._group.layers)
            ),
            most_loads=placement.most_loads(group=self._group),
        )
        wanted = await self._policy.begin_interval(situation=situation)
        if isinstance(wanted, placement.Proposal):
            wanted = placement.check(
                proposal=wanted,
                situation=situation,
                group=self._group,
                disruption=placement.Disruption(),
                slack=self._slack,
            )
        self.outlook = wanted
        if isinstance(wanted, placement.Stay):
            return None
        return map_leader.Plan(
            layers=wanted.layers, load_limit=self._limit(wanted)
        )

    def ended(self, *, plan: map_leader.Plan, done: bool) -> None:
        """Learn whether a change took place."""
        self._policy.end_change(done=done)

    def _take(self, collected: tuple[AgentReports, ...]) -> None:
        timings: list[popularity.RankTiming] = []
        for one in collected:
            for report in one.reports:
                timings.extend(report.timings)
                ranks = ','.join(str(each.rank) for each in report.timings)
                self._estimator.take(
                    agent=f'{one.agent}/{ranks}', report=report
                )
        self._detector.take(timings)

    def _limit(self, proposal: placement.Proposal) -> float:
        """Return the seconds after which unfinished loads are given up."""
        seconds = (
            proposal.loads
            * self._group.expert_bytes
            / self._group.weight_bytes_per_second
        )
        return LEAST_LOAD_SECONDS + LOAD_PATIENCE * seconds
