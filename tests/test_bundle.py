"""Tests of reading and checking a bundle file."""

import pytest

from marigoldramp import bundle
from marigoldramp import bundle_checks

DIGEST = 'ab' * 32
OTHER = 'cd' * 32
WHOLE = f"""
number: 3
services:
- {{name: drafts, kind: model_engine, model: m}}
- {{name: ledger, kind: plain_service}}
routes:
- {{method: POST, path: /v1/chat/completions, service: drafts}}
- {{method: POST, path: /pledges/*, service: ledger, priority: urgent}}
groups:
- {{name: g, service: drafts, ranks: 4, experts: 8, layers: 2, slots: 2}}
customers:
- {{name: acme, key_digests: [{DIGEST}], services: [drafts, ledger]}}
"""
SERVICE = 'services: [{name: s, kind: plain_service, %s}]\n'
ROUTES = SERVICE % 'model: m' + 'routes:\n'


def found(text):
    loaded = bundle_checks.load(text=text, source='b')
    assert (loaded.value is None) == bool(loaded.findings)
    return [
        (one.place.line, one.field, one.message) for one in loaded.findings
    ]


def test_whole_bundle():
    value = bundle_checks.load(text=WHOLE, source='b').value
    assert value.number == 3
    assert value.routes[0].priority is bundle.Priority.NORMAL
    assert value.routes[1].priority is bundle.Priority.URGENT


def route(**fields):
    shown = {'method': 'GET', 'path': '/a', 'service': 's', **fields}
    pairs = ', '.join(f'{name}: {value}' for name, value in shown.items())
    return f'- {{{pairs}}}\n'


@pytest.mark.parametrize(
    ('text', 'line', 'field', 'message'),
    [
        ('nte: a', 1, 'nte', "nearest known key is 'note'"),
        (SERVICE % 'kid: 1', 1, 'services[0].kid', "key is 'kind'"),
        (SERVICE % 'routing: two_choice', 1, '[0].routing', 'two_choices'),
        (SERVICE % 'retry_share: 1.5', 1, '[0].retry_share', 'or equal to 1'),
        ('services: [{name: s, kind: plain}]', 1, '[0].kind', 'no such plug'),
        ('services: [{name: a b, kind: plain_service}]', 1, 'name', 'letters'),
        (
            'services:\n' + '- {name: s, kind: plain_service}\n' * 2,
            3,
            'services[1].name',
            'stands twice, first in line 2',
        ),
        (ROUTES + route(service='t'), 3, 'routes[0].service', 'no service'),
        (ROUTES + route(method='get'), 3, 'routes[0].method', 'one of GET'),
        (ROUTES + route(method='"*"'), 3, 'routes[0].method', 'ends in /*'),
        (ROUTES + route(path='a'), 3, 'routes[0].path', 'must begin with /'),
        (ROUTES + route(path='/a*'), 3, 'routes[0].path', 'last /*'),
        (ROUTES + route(path='/*/a'), 3, 'routes[0].path', 'last /*'),
        (ROUTES + route(path='"/a?b"'), 3, 'routes[0].path', 'query'),
        (ROUTES + route(path='/a//b'), 3, 'routes[0].path', 'dotted'),
        (ROUTES + route(path='/a/../b'), 3, 'routes[0].path', 'dotted'),
        (ROUTES + route(path='/marigoldramp/x'), 3, '[0].path', 'by the ent'),
        (ROUTES + route(path='/marigoldramp/*'), 3, '[0].path', 'by the ent'),
        (ROUTES + route(model='x'), 3, 'routes[0].model', "the model 'm'"),
        (
            ROUTES + route(priority='soon'),
            3,
            'routes[0].priority',
            'must be one of urgent, normal, background',
        ),
        (
            ROUTES + route(default_deadline_seconds=61),
            3,
            'routes[0].default_deadline_seconds',
            'must not exceed longest_deadline_seconds, which is 60',
        ),
        (
            SERVICE % 'hedge_after_seconds: 1'
            + 'routes:\n'
            + route(idempotent='false'),
            3,
            'routes[0].idempotent',
            'hedges its calls',
        ),
        (ROUTES + route() * 2, 4, 'routes[1].path', 'the route in line 3'),
        (
            ROUTES + route(model='m') + route(),
            4,
            'routes[1].path',
            'the route in line 3',
        ),
        (
            ROUTES + route(path='/a/*', method='"*"') + route(path='/a/*'),
            4,
            'routes[1].path',
            'the route in line 3',
        ),
        (
            'groups: [{name: g, service: s, ranks: 2, experts: 8, layers: 1, '
            'slots: 3}]\n' + SERVICE % 'model: m',
            1,
            'groups[0].slots',
            '2 ranks of 3 slots hold 6 experts, not 8',
        ),
        (
            'groups: [{name: g, service: s, ranks: 2, experts: 8, layers: 1, '
            'slots: 4, rebalancing: incrementl}]\n' + SERVICE % 'model: m',
            1,
            'groups[0].rebalancing',
            "did you mean 'incremental'?",
        ),
        (
            'customers: [{name: a, key_digests: [], services: [x]}]',
            1,
            'customers[0].services[0]',
            "there is no service 'x'",
        ),
        (
            'customers: [{name: a, key_digests: [AB], services: []}]',
            1,
            'customers[0].key_digests[0]',
            'SHA-256',
        ),
        (
            'customers: [{name: a, key_digests: [], services: [], weight: 0}]',
            1,
            'customers[0].weight',
            'must be greater than 0',
        ),
        (
            'customers:\n'
            f'- {{name: a, key_digests: [{DIGEST}], services: []}}\n'
            f'- {{name: b, key_digests: [{OTHER}, {DIGEST}], services: []}}\n',
            3,
            'customers[1].key_digests[1]',
            "the customer 'a' has this key",
        ),
    ],
)
def test_single_fault(text, line, field, message):
    reported = found(text + '\nnumber: 1')
    assert len(reported) == 1, reported
    assert reported[0][0] == line
    assert reported[0][1].endswith(field)
    assert message in reported[0][2]


@pytest.mark.parametrize(
    'routes',
    [
        route() + route(method='POST'),
        route() + route(path='/a/*'),
        route(path='/a/*') + route(path='/a/b/*'),
        route(path='/a/*') + route(path='/a/*', method='"*"'),
    ],
)
def test_routes_that_do_not_shadow(routes):
    assert found(ROUTES + routes + 'number: 1') == []


def test_all_faults_come_in_one_round():
    """Faults of single values do not hide those between values."""
    text = (
        'number: 0\n'
        'services:\n'
        '- {name: s, kind: plain_service, retry_share: 9}\n'
        'routes:\n'
        + route()
        + route(service='t', priority='soon')
        + route(service='t')
        + 'customers:\n- {name: a b, key_digests: [x], services: [z]}\n'
    )
    assert [line for line, _, _ in found(text)] == [1, 3, 6, 7, 7, 9, 9, 9]


def test_keys_in_clear_are_not_repeated():
    text = 'number: 1\ncustomers: [{name: a, key_digests: [hunter2]}]'
    assert 'hunter2' not in str(found(text))
