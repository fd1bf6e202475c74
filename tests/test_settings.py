"""Tests of reading and checking settings."""

import pytest

from marigoldramp import settings
from marigoldramp import settings_files

KEY = 'ab' * 32
OTHER = 'cd' * 32
WHOLE = f"""
instance: entry-1
data_centre: north
platform: {{address: 'http://10.0.0.1:80'}}
security:
  fleet_key: env:FLEET
  operators: {{ann: {KEY}, bob: {OTHER}}}
agent: {{service: drafts, endpoint: 'http://127.0.0.1:9000'}}
"""


def read(tmp_path, text):
    path = tmp_path / 'settings.yaml'
    path.write_text(text)
    return settings_files.read(path=str(path))


def fields(findings):
    return [(item.field, item.place.line) for item in findings]


def test_empty_file_gives_the_defaults(tmp_path):
    loaded = read(tmp_path, '')
    assert loaded.findings == ()
    assert loaded.value.membership.heartbeat == 0.5
    assert loaded.value.agent.ranks == ()


def test_file_is_laid_over_the_defaults(tmp_path):
    value = read(tmp_path, 'entry: {calls: 7}\nagent: {ranks: [1], group: g}')
    assert value.value.entry.calls == 7
    assert value.value.entry.connections == 4096
    assert value.value.agent.ranks == (1,)


@pytest.mark.parametrize(
    ('text', 'expected'),
    [
        ('instance: a/b', [('instance', 1)]),
        ('host: entry.example', [('host', 1)]),
        ('platform:\n  address: ftp://x', [('platform.address', 2)]),
        ('platform:\n  address: http://x:y', [('platform.address', 2)]),
        ('platform:\n  timeout: 0', [('platform.timeout', 2)]),
        ('security:\n  fleet_key: hunter2', [('security.fleet_key', 2)]),
        ('security: {operators: {ann: 12}}', [('security.operators.ann', 1)]),
        ('security: {operators: {ann: ab}}', [('security.operators.ann', 1)]),
        (
            f'security:\n  operators:\n    ann: {KEY}\n    bob: {KEY}',
            [('security.operators.bob', 4)],
        ),
        (
            'membership: {suspect_after: 0.5, table: 2}',
            [('membership.suspect_after', 1), ('membership.table', 1)],
        ),
        ('membership: {seeds: ["a:1"]}', [('membership.seeds[0]', 1)]),
        ('membership: {seeds: ["10.0.0.1:"]}', [('membership.seeds[0]', 1)]),
        ('agent: {answer_bytes: 99999999}', [('agent.answer_bytes', 1)]),
        ('agent: {ranks: [1]}', [('agent.ranks', 1)]),
        ('agent: {ranks: [1, 1], group: g}', [('agent.ranks', 1)]),
        ('agent: {ranks: [-1], group: g}', [('agent.ranks[0]', 1)]),
        ('logging: {level: loud}', [('logging.level', 1)]),
        ('entry: {call_port: 80000}', [('entry.call_port', 1)]),
        (
            'datacentre: x\nplatform: {address: nope, timeout: -1}\n'
            'security: {fleet_key: hunter2}\nentry: {call_port: -1}',
            [
                ('datacentre', 1),
                ('platform.address', 2),
                ('platform.timeout', 2),
                ('security.fleet_key', 3),
                ('entry.call_port', 4),
            ],
        ),
    ],
)
def test_wrong_values_are_found(tmp_path, text, expected):
    loaded = read(tmp_path, text)
    assert loaded.value is None
    assert fields(loaded.findings) == expected


def test_secret_in_clear_is_not_repeated(tmp_path):
    loaded = read(tmp_path, 'security: {fleet_key: hunter2}')
    assert 'hunter2' not in str(loaded.findings[0])


@pytest.mark.parametrize('role', list(settings.Role))
def test_whole_settings_suffice(tmp_path, role):
    loaded = read(tmp_path, WHOLE)
    assert settings_files.check_role(loaded.value, role, loaded) == ()


@pytest.mark.parametrize(
    ('role', 'text', 'field'),
    [
        ('entry', "{address: 'http://a:1', store: nowhere}", 'platform.store'),
        ('agent', "{address: 'http://a:1'}\nagent: {kind: x}", 'agent.kind'),
    ],
)
def test_unknown_plugins_are_found(tmp_path, role, text, field):
    loaded = read(tmp_path, f'platform: {text}')
    found = settings_files.check_role(loaded.value, role, loaded)
    named = [item for item in found if item.field == field]
    assert 'there is no such plug-in; known: ' in named[0].message


@pytest.mark.parametrize(
    ('role', 'expected'),
    [
        ('operator', ['platform.address', 'security.sign_offs']),
        (
            'entry',
            [
                'data_centre',
                'instance',
                'platform.address',
                'security.fleet_key',
                'security.sign_offs',
            ],
        ),
        (
            'agent',
            [
                'agent.endpoint',
                'agent.service',
                'data_centre',
                'instance',
                'platform.address',
                'security.fleet_key',
                'security.sign_offs',
            ],
        ),
    ],
)
def test_role_lacks_settings(tmp_path, role, expected):
    loaded = read(tmp_path, '')
    found = settings_files.check_role(loaded.value, role)
    assert [item.field for item in found] == expected
