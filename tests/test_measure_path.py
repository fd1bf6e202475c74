"""Tests of the arithmetic behind the measurements of the path."""

import math

from hypothesis import given
from hypothesis import strategies
import pytest

from marigoldramp_measure import memory
from marigoldramp_measure import path
from marigoldramp_measure import slopes
from marigoldramp_measure import usage

FLOATS = strategies.floats(min_value=-1e3, max_value=1e3)


@given(slope=FLOATS, intercept=FLOATS)
def test_fit_finds_the_line_that_made_the_points(slope, intercept):
    x = (0.0, 1.0, 4.0, 4.0)
    line = usage.fit(x=x, y=[slope * one + intercept for one in x])
    assert line.slope == pytest.approx(slope, abs=1e-6)
    assert line.intercept == pytest.approx(intercept, abs=1e-6)
    assert line.error == pytest.approx(0.0, abs=1e-6)


@pytest.mark.parametrize('x', [(), (3.0,), (3.0, 3.0)])
def test_fit_refuses_points_at_one_place(x):
    with pytest.raises(ValueError):
        usage.fit(x=x, y=[1.0 for _ in x])


def test_two_points_tell_no_error():
    assert math.isnan(usage.fit(x=(0.0, 1.0), y=(0.0, 1.0)).error)


def test_scatter_shows_in_the_error():
    x = (0.0, 0.0, 2.0, 2.0)
    line = usage.fit(x=x, y=(-1.0, 1.0, 3.0, 5.0))
    assert line.slope == pytest.approx(2.0)
    assert line.error == pytest.approx(math.sqrt(2.0 / 4.0))


def test_cost_is_in_microseconds_a_unit():
    samples = [
        path.Sample(size=size, seconds=0.5 + size * 0.002)
        for size in (100, 300)
    ]
    cost = path.find_cost(process='p', unit='call', samples=samples, load=1.0)
    assert cost.microseconds == pytest.approx(2000.0)
    assert cost.points == 2


def test_latency_compares_like_with_like():
    direct = [0.001] * 90 + [0.010] * 10
    through = [0.003] * 90 + [0.015] * 10
    found = path.compare(what='call', direct=direct, path=through, load=0.0)
    assert found.added_p50 == pytest.approx(2.0)
    assert found.added_p95 == pytest.approx(5.0)


def test_readers_of_process_accounts():
    assert usage.parse_run_time('123456 77 9\n') == 123456
    assert usage.parse_resident('VmHWM:\t9 kB\nVmRSS:\t 40 kB\n') == 40960
    with pytest.raises(ValueError):
        usage.parse_resident('Name:\tpython\n')


def test_growth_is_in_kibibytes_a_unit():
    points = [
        memory.Point(
            process='p', unit='stream', held=held, resident=9000 + 2048 * held
        )
        for held in (0, 10, 40)
    ]
    growth = memory.find_growth(points)
    assert growth.kibibytes == pytest.approx(2.0)
    assert (growth.points, growth.largest) == (3, 40)


def test_points_of_one_name_make_one_line():
    points = [
        slopes.Point(what=name, x=x, value=value, load=0.0)
        for name, x, value in (
            ('a', 1.0, 2.0),
            ('b', 0.0, 5.0),
            ('a', 3.0, 8.0),
            ('b', 2.0, 5.0),
        )
    ]
    lines = slopes.draw_lines(points)
    assert [one.what for one in lines] == ['a', 'b']
    assert [one.slope for one in lines] == pytest.approx([3.0, 0.0])
