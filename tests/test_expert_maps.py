"""Tests of expert maps and schedules."""

import msgspec
import pytest

from marigoldramp import expert_maps

VERSION = expert_maps.Version(fence=1, number=1)


@pytest.mark.parametrize(
    ('ranks', 'experts', 'slots'),
    [(8, 32, 4), (8, 32, 6), (64, 128, 2), (64, 128, 3), (1, 4, 4)],
)
def test_spread_holds_every_expert(ranks, experts, slots):
    shape = expert_maps.Shape(
        ranks=ranks, experts=experts, layers=2, slots=slots
    )
    spread = expert_maps.spread(shape=shape, version=VERSION)
    assert expert_maps.check(expert_map=spread, shape=shape) == ()
    encoded = msgspec.msgpack.encode(spread)
    decoded = msgspec.msgpack.decode(encoded, type=expert_maps.ExpertMap)
    assert decoded == spread


@pytest.mark.parametrize(
    ('layer', 'fault'),
    [
        (((0, 1), (2,)), 'layer 0: no rank holds expert 3'),
        (((0, 1, 2), (3,)), 'layer 0: rank 0 holds 3 experts'),
        (((0, 0), (1, 2)), 'layer 0: rank 0 holds an expert twice'),
        (((0, 1), (2, 9)), 'layer 0: there is no expert 9'),
        (((0, 1),), 'layer 0: 1 ranks instead of 2'),
    ],
)
def test_check_reports(layer, fault):
    shape = expert_maps.Shape(ranks=2, experts=4, layers=1, slots=2)
    broken = expert_maps.ExpertMap(version=VERSION, layers=(layer,))
    assert fault in expert_maps.check(expert_map=broken, shape=shape)


def test_replicas_share_load():
    loads = expert_maps.rank_loads(
        layer=((0, 1), (0, 2)), popularity=[4.0, 1.0, 3.0]
    )
    assert loads == [3.0, 5.0]
    assert expert_maps.skew(loads) == 1.25


def test_loads_count_what_is_new():
    old = expert_maps.ExpertMap(version=VERSION, layers=(((0, 1), (2, 3)),))
    new = expert_maps.ExpertMap(version=VERSION, layers=(((0, 2), (1, 3)),))
    assert expert_maps.count_weight_loads(old=old, new=new) == [1, 1]
    assert expert_maps.count_weight_loads(old=None, new=new) == [2, 2]


@pytest.mark.parametrize(('step', 'number'), [(4, 1), (5, 2), (6, 2)])
def test_schedule_changes_at_its_step(step, number):
    schedule = expert_maps.Schedule(
        in_force=VERSION,
        following=expert_maps.Version(fence=1, number=2),
        from_step=5,
    )
    assert schedule.find(step).number == number
