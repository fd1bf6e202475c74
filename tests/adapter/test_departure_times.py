"""Tests of the times that gateways took to stop using endpoints that left."""

import json

import pytest

from marigoldramp.platform import departure_times


def make_line(at, gateway, message, endpoint=''):
    record = {
        'time': 'now',
        'instance': gateway,
        'message': message,
        'fields': {'endpoint': endpoint},
    }
    return f'  {at:.4f} {gateway} {json.dumps(record)}'


LINES = (
    make_line(-9.0, 'a', 'started'),
    make_line(-9.0, 'b', 'started'),
    make_line(4.5, 'b', 'started'),
    make_line(5.0, 'a', 'endpoint leaving', 'i-1'),
    make_line(6.5, 'b', 'endpoint gone', 'i-1'),
    make_line(7.0, 'a', 'endpoint gone', 'i-1'),
    make_line(7.0, 'a', 'request ended'),
    '  8.0 a no log line',
)


@pytest.mark.parametrize(
    ('planned', 'expected'),
    [
        ((), [(1.5, 'b', True), (0.0, 'a', False)]),
        (
            ('     4.0 s to      8.0 s  scale_in 1 servers',),
            [(2.5, 'b', True), (1.0, 'a', False)],
        ),
        (
            ('     4.0 s to      8.0 s  scale_in 0 servers',),
            [(1.5, 'b', True), (0.0, 'a', False)],
        ),
        (
            ('     1.0 s to      3.0 s  scale_in 1 servers',),
            [(1.5, 'b', True), (0.0, 'a', False)],
        ),
    ],
    ids=['first line', 'planned', 'none left', 'too long before'],
)
def test_delays_count_from_the_departure(planned, expected):
    found = departure_times.find_delays('\n'.join((*LINES, *planned)))
    assert [
        (one.seconds, one.gateway, one.has_started) for one in found
    ] == expected


@pytest.mark.parametrize(
    ('bound', 'over_half', 'over'), [(3.0, 0, 0), (2.0, 1, 0), (1.0, 1, 1)]
)
def test_delays_beyond_the_bound_are_counted(bound, over_half, over):
    found = departure_times.find_delays('\n'.join(LINES))
    lines = list(departure_times.describe(found, bound=bound))
    assert f'{over_half} over half and {over} over the bound' in lines[1]


def test_log_without_departures_is_described():
    assert list(departure_times.describe([], bound=3.0)) == [
        '0 departures, 0 pairs'
    ]


@pytest.mark.parametrize(
    ('message', 'at', 'lacked_store'),
    [
        ('store lost', 6.0, True),
        ('watch behind peers', 6.0, True),
        ('store lost', 4.0, False),
        ('store lost', 7.0, False),
        ('request ended', 6.0, False),
    ],
)
def test_gateways_that_lacked_the_store_are_told_apart(
    message, at, lacked_store
):
    lines = (
        make_line(5.0, 'a', 'endpoint leaving', 'i-1'),
        make_line(6.5, 'b', 'endpoint leaving', 'i-1'),
        make_line(at, 'b', message),
    )
    found = departure_times.find_delays('\n'.join(lines))
    assert [(one.gateway, one.lacked_store) for one in found] == [
        ('b', lacked_store),
        ('a', False),
    ]
