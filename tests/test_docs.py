"""Tests that the operators' page says what the program does."""

import dataclasses
import pathlib
import re
import typing

import pytest
import yaml

from marigoldramp import alarms
from marigoldramp import bundle
from marigoldramp import bundle_checks
from marigoldramp import settings
from marigoldramp import settings_files
from marigoldramp.ui import exits

ROOT = pathlib.Path(__file__).parent.parent
PAGE = (ROOT / 'docs' / 'OPERATORS.md').read_text()
DEFAULTS = yaml.safe_load(
    (ROOT / 'marigoldramp' / 'settings_default.yaml').read_text()
)
EXAMPLES = ROOT / 'examples'


def read_rows(page):
    """Return the cells of each table row, by its first cell."""
    rows = {}
    for line in page.splitlines():
        if line.startswith('| `'):
            cells = [cell.strip() for cell in line.strip('|').split(' | ')]
            rows[cells[0].strip('`')] = cells
    return rows


ROWS = read_rows(PAGE)


def list_settings():
    """Return name, default and type of every setting."""
    loaded = settings_files.read(path=str(EXAMPLES / 'console.yaml'))
    hints = typing.get_type_hints(settings.Settings, include_extras=True)
    for field in dataclasses.fields(settings.Settings):
        value = getattr(loaded.value, field.name)
        if not dataclasses.is_dataclass(value):
            yield field.name, hints[field.name]
            continue
        inner = typing.get_type_hints(type(value), include_extras=True)
        for each in dataclasses.fields(value):
            yield f'{field.name}.{each.name}', inner[each.name]


def describe_bound(hint):
    """Return a type's bound as the page states it."""
    if typing.get_origin(hint) is typing.Literal:
        names = (f'`{name}`' for name in typing.get_args(hint))
        return 'one of ' + ', '.join(names)
    for one in typing.get_args(hint)[1:]:
        for name, word in (('gt', 'above'), ('ge', 'at least')):
            limit = getattr(one, name, None)
            if limit is not None:
                return f'{word} {limit:g}'
    origin = typing.get_origin(hint)
    return {tuple: 'list', dict: 'mapping'}.get(origin, 'text')


def read_default(name):
    value = DEFAULTS
    for part in name.split('.'):
        value = value[part]
    return value


def test_every_setting_has_its_row():
    wanted = {
        name: (f'`{read_default(name)!r}`', describe_bound(hint))
        for name, hint in list_settings()
    }
    sections = '|'.join(name.split('.')[0] for name in wanted if '.' in name)
    found = {
        name: tuple(cells[1:3])
        for name, cells in ROWS.items()
        if re.match(rf'({sections})\.', name) or name in wanted
    }
    assert found == wanted
    assert all(ROWS[name][3].strip(' |') for name in wanted)


def test_every_alarm_has_its_row():
    told = PAGE[PAGE.index('## Alarms') : PAGE.index('## Audit')]
    rows = read_rows(told)
    assert list(rows) == [name.value for name in alarms.Name]
    assert all(len(cells) == 4 for cells in rows.values())


@pytest.mark.parametrize(
    'shape, prefix',
    [
        (bundle.Bundle, ''),
        (bundle.Service, 'services[].'),
        (bundle.Route, 'routes[].'),
        (bundle.Customer, 'customers[].'),
        (bundle.Group, 'groups[].'),
    ],
)
def test_every_field_of_a_bundle_has_its_row(shape, prefix):
    for field in dataclasses.fields(shape):
        assert f'| `{prefix}{field.name}`' in PAGE or (
            f', `{prefix}{field.name}`' in PAGE
        )


def test_every_exit_code_has_its_row():
    codes = {
        value for name, value in vars(exits).items() if type(value) is int
    }
    told = set(re.findall(r'(?m)^\| (\d) \| ', PAGE))
    assert {str(code) for code in codes} <= told


@pytest.mark.parametrize('role', ['entry', 'agent', 'operator'])
def test_example_settings_suffice(role):
    name = 'console' if role == 'operator' else role
    loaded = settings_files.read(path=str(EXAMPLES / f'{name}.yaml'))
    assert not loaded.findings
    assert not settings_files.check_role(loaded.value, role, loaded)


def test_example_bundle_is_accepted():
    loaded = bundle_checks.read(path=str(EXAMPLES / 'bundle.yaml'))
    assert not loaded.findings
    assert loaded.value.number == 8


def test_every_proof_of_a_promise_is_a_test():
    promises = (ROOT / 'docs' / 'PROMISES.md').read_text()
    sources = [path.read_text() for path in (ROOT / 'tests').glob('*.py')]
    written = '\n'.join(sources)
    named = set(re.findall(r'`(test_\w+|Test\w+)\*?`', promises))
    assert named
    for name in named:
        assert re.search(rf'(def |class |^){name}', written, re.MULTILINE)
    for module in re.findall(r'`(?:tests/)?(test_\w+\.py)`', promises):
        assert (ROOT / 'tests' / module).exists()
