"""Tests of the days with one kind of disruption."""

import json
import pathlib
import tomllib

import pytest

from marigoldramp.platform import days

DISRUPTIONS_FILE = pathlib.Path(__file__).parents[2] / 'deploy' / 'days.toml'
QUIET_DAY = {
    'name': 'calm',
    'slot': 'quiet',
    'seed': 5,
    'plan': [{'at': 1.0, 'kind': 'revoke'}],
    'faults': [{'at': 2.0, 'kind': 'expert_shift'}],
    'traffic': [{'zone': 'one', 'mix': {'a-b': 1.5}, 'per_s': 3.0}],
}


def make_days():
    disruptions = tomllib.loads(DISRUPTIONS_FILE.read_text())
    return list(days.make_days(disruptions=disruptions, quiet_day=QUIET_DAY))


def test_each_day_is_valid_toml_and_has_a_unique_name():
    made = make_days()
    assert len({day.name for day in made}) == len(made)
    for day in made:
        parsed = tomllib.loads(days.render_toml(day))['day'][0]
        assert parsed == day.content
        assert parsed['traffic'] == QUIET_DAY['traffic']


@pytest.mark.parametrize(
    ('name', 'times'),
    [
        ('roll_term-leader-busy-often', days.REPEATED_AT_SECONDS),
        ('node_freeze-giver-away', days.OUTAGE_AT_SECONDS),
    ],
)
def test_day_has_one_kind_of_disruption(name, times):
    day = next(day for day in make_days() if day.name == name)
    events = [*day.content['plan'], *day.content['faults']]
    kind = name.partition('-')[0]
    assert tuple(one['at'] for one in events if one['kind'] == kind) == times
    others = [one for one in events if one['kind'] != kind]
    assert others == ([days.STORE_OUTAGE] if name.endswith('away') else [])


def test_site_without_a_quiet_day_is_refused():
    with pytest.raises(ValueError, match='no quiet day'):
        days.find_quiet_day({'day': [{'slot': 'trouble'}]})


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
