"""Tests of which orders an agent obeys and which it refuses."""

import pytest

from marigoldramp import expert_maps
from marigoldramp import map_orders
from marigoldramp import map_ranks
from marigoldramp_standins import group

SHAPE = expert_maps.Shape(ranks=2, experts=4, layers=1, slots=2)
FIRST = expert_maps.spread(
    shape=SHAPE, version=expert_maps.Version(fence=1, number=1)
)
SECOND = expert_maps.spread(
    shape=SHAPE, version=expert_maps.Version(fence=5, number=1)
)
HOLD = map_orders.Hold(rank=0, before_step=3)


def make_ranks(fence=5, checks_fence=False):
    stand_in = group.Group(ranks=2, checks_fence=checks_fence)
    stand_in.install(FIRST)

    async def learn():
        return fence

    ranks = map_ranks.OrderHandler(
        group='drafts',
        engines=stand_in.engines(),
        incarnation=7,
        learn_fence=learn,
    )
    return stand_in, ranks


def make_order(body, fence=5, incarnation=7, sequence=1, name='drafts'):
    return map_orders.Order(
        group=name,
        leader='leader',
        fence=fence,
        incarnation=incarnation,
        sequence=sequence,
        body=body,
    )


@pytest.mark.anyio
@pytest.mark.parametrize(
    ('known', 'order', 'refusal'),
    [
        (5, make_order(HOLD), ''),
        (5, make_order(HOLD, fence=6), ''),
        (5, make_order(HOLD, name='other'), 'other_group'),
        (None, make_order(HOLD), 'fence_unknown'),
        (5, make_order(HOLD, fence=4), 'fence_old'),
        (5, make_order(map_orders.Inspect(), fence=4), 'fence_old'),
        (5, make_order(map_orders.Inspect(), incarnation=0), ''),
        (None, make_order(map_orders.Ask(), fence=0), ''),
        (5, make_order(HOLD, incarnation=6), 'incarnation'),
        (5, make_order(map_orders.Confirm(), incarnation=6), 'incarnation'),
        (5, make_order(HOLD, sequence=0), 'sequence'),
        (
            5,
            make_order(map_orders.Hold(rank=9, before_step=3)),
            'no_such_rank',
        ),
        (
            5,
            make_order(map_orders.Arm(version=SECOND.version, from_step=3)),
            'not_loaded',
        ),
        (
            5,
            make_order(
                map_orders.Adopt(
                    rank=1,
                    schedule=expert_maps.Schedule(in_force=SECOND.version),
                )
            ),
            'has_map',
        ),
    ],
)
async def test_refusals(known, order, refusal):
    stand_in, ranks = make_ranks(fence=known)
    reply = await ranks.handle(order)
    assert reply.refusal == refusal
    assert reply.incarnation == 7
    holds = order.body == HOLD and not refusal
    assert (stand_in.ranks[0].hold_before == 3) == holds


@pytest.mark.anyio
@pytest.mark.parametrize('checks_fence', [True, False])
async def test_overtaken_order_is_refused(checks_fence):
    """A rank arms a map on its own, and ranks use different maps in a step.

    Sequence: a leader arms a map and undoes it; then a delayed copy of the
    first order arrives.
    Cause: without sequence numbers the copy looks like a new order.
    """
    stand_in, ranks = make_ranks(checks_fence=checks_fence)
    arm = map_orders.Arm(version=SECOND.version, from_step=3)
    bodies = [
        map_orders.Prepare(expert_map=SECOND),
        arm,
        map_orders.Undo(),
        map_orders.Prepare(expert_map=SECOND),
    ]
    for sequence, body in enumerate(bodies, start=1):
        reply = await ranks.handle(make_order(body, sequence=sequence))
        assert reply.accepted
    reply = await ranks.handle(make_order(arm, sequence=2))
    assert reply.refusal == 'sequence'
    assert stand_in.ranks[0].schedule.following is None
