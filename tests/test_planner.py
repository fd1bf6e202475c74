"""Tests of the planner of map changes in a group's leader."""

import pytest

from marigoldramp import bundle
from marigoldramp import expert_maps
from marigoldramp import map_client
from marigoldramp import map_orders
from marigoldramp import placement
from marigoldramp import planner
from marigoldramp import popularity

pytestmark = pytest.mark.anyio

GROUP = bundle.Group(
    name='g',
    service='s',
    ranks=4,
    experts=12,
    layers=2,
    slots=4,
    interval_seconds=30.0,
)
INITIAL_MAP = expert_maps.spread(
    shape=expert_maps.Shape(ranks=4, experts=12, layers=2, slots=4),
    version=expert_maps.Version(fence=1, number=1),
)
SKEWED_COUNTS = [1.0] * 11 + [8.0]


class Clock:
    now = 0.0

    def __call__(self):
        return self.now


def make_planner(clock, slow_rank=None):
    sequence = 0

    async def collect():
        nonlocal sequence
        sequence += 1
        report = popularity.Report(
            series=1,
            sequence=sequence,
            seconds=30.0 * GROUP.ranks,
            layers=(popularity.scale(SKEWED_COUNTS),) * 2,
            timings=tuple(
                popularity.RankTiming(
                    rank=rank,
                    steps=100,
                    busy_seconds=2.0 if rank == slow_rank else 1.0,
                    tokens=100.0,
                )
                for rank in range(4)
            ),
        )
        return (planner.AgentReports(agent='agent', reports=(report,)),)

    return planner.Planner(group=GROUP, collect=collect, clock=clock)


async def plan_change(group_planner, slack=10.0):
    client = map_client.GroupClient(
        group='g', leader='l', fence=1, agents=tuple, transport=None
    )
    client.replies['agent'] = map_orders.Reply(
        refusal=map_orders.Refusal.NONE,
        fence=1,
        incarnation=1,
        slack=slack,
    )
    return await group_planner.plan(expert_map=INITIAL_MAP, client=client)


async def test_plans_once_per_interval():
    clock = Clock()
    group_planner = make_planner(clock)
    assert await plan_change(group_planner) is None
    clock.now = 30.0
    plan = await plan_change(group_planner)
    assert plan is not None
    assert plan.layers != INITIAL_MAP.layers
    assert await plan_change(group_planner) is None


async def test_change_waits_for_promised_deadlines():
    """A map change must not make a call in flight miss its deadline.

    It did when changes were judged by skew only.  Here the call closest to
    its deadline has 10 ms of slack when the interval begins.  At a later
    check in the same interval it has 10 s, and the change may begin.
    """
    clock = Clock()
    group_planner = make_planner(clock)
    clock.now = 30.0
    assert await plan_change(group_planner, slack=0.01) is None
    assert group_planner.last_decision == placement.Stay(
        reason=planner.NO_SLACK_REASON
    )
    clock.now = 35.0
    assert await plan_change(group_planner) is not None


async def test_straggler_is_reported():
    clock = Clock()
    group_planner = make_planner(clock, slow_rank=2)
    for interval in range(1, 4):
        clock.now = 30.0 * interval
        await plan_change(group_planner)
    assert [one.rank for one in group_planner.findings()] == [2]
