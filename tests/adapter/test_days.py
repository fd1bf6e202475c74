"""Tests of the days with one kind of trouble."""

import json
import pathlib
import tomllib

import pytest

from marigoldramp.platform import days

FILE = pathlib.Path(__file__).parents[2] / 'deploy' / 'days.toml'
CALM = {
    'name': 'calm',
    'slot': 'quiet',
    'seed': 5,
    'plan': [{'at': 1.0, 'kind': 'revoke'}],
    'faults': [{'at': 2.0, 'kind': 'expert_shift'}],
    'traffic': [{'zone': 'one', 'mix': {'a-b': 1.5}, 'per_s': 3.0}],
}


def make_all():
    troubles = tomllib.loads(FILE.read_text())
    return list(days.make_days(troubles=troubles, calm=CALM))


def test_each_day_is_sound_and_has_a_name_of_its_own():
    made = make_all()
    assert len({day.name for day in made}) == len(made)
    for day in made:
        read = tomllib.loads(days.render(day))['day'][0]
        assert read == day.content
        assert read['traffic'] == CALM['traffic']


@pytest.mark.parametrize(
    ('name', 'times'),
    [
        ('roll_term-leader-busy-often', days.OFTEN),
        ('node_freeze-giver-away', days.AWAY),
    ],
)
def test_a_day_has_one_kind_of_trouble(name, times):
    day = next(day for day in make_all() if day.name == name)
    events = [*day.content['plan'], *day.content['faults']]
    kind = name.partition('-')[0]
    assert tuple(one['at'] for one in events if one['kind'] == kind) == times
    others = [one for one in events if one['kind'] != kind]
    assert others == ([days.STORE_DOWN] if name.endswith('away') else [])


def test_site_without_a_calm_day_is_refused():
    with pytest.raises(ValueError, match='no calm day'):
        days.find_calm({'day': [{'slot': 'trouble'}]})


def test_broken_rules_are_read_from_a_report():
    text = json.dumps(
        {'breaks': {'MAP': 2}, 'served': 0.5, 'G': 0.25, 'fault': None}
    )
    found = days.read_report(name='d', text=text)
    assert (found.broken, found.served, found.worth, found.fault) == (
        {'MAP': 2},
        0.5,
        0.25,
        '',
    )
