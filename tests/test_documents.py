"""Tests of reading typed documents with the place of every fault."""

import dataclasses
from dataclasses import is_dataclass
import enum
from typing import ClassVar
from typing import get_args
from typing import get_type_hints

import hypothesis
from hypothesis import strategies
import msgspec
import pytest

from marigoldramp import bounds
from marigoldramp import bundle
from marigoldramp import documents
from marigoldramp import node_reader
from marigoldramp import settings


class Colour(enum.StrEnum):
    RED = 'red'
    BLUE = 'blue'


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Item:
    __pydantic_config__: ClassVar = documents.STRICT

    name: str
    count: bounds.PositiveInt = 1
    colour: Colour = Colour.RED


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Shape:
    __pydantic_config__: ClassVar = documents.STRICT

    title: str = ''
    ratio: float = 0.5
    items: tuple[Item, ...] = ()
    by_name: dict[str, Item] = dataclasses.field(default_factory=dict)


def load(text, **rest):
    return documents.load(text=text, source='f', shape=Shape, **rest)


def found(text):
    return [str(finding) for finding in load(text).findings]


def test_value_is_typed_and_slotted():
    value = load('items: [{name: a, colour: blue}]\nratio: 1').value
    expected = (Item(name='a', colour=Colour.BLUE),)
    assert value == Shape(items=expected, ratio=1.0)
    assert not hasattr(value, '__dict__')


@pytest.mark.parametrize(
    ('text', 'expected'),
    [
        ('', ['f: the document is empty']),
        ('- a', ['f:1:1: the document must be a mapping']),
        ('tile: a', ["f:1:1: tile: unknown key; the nearest known key is 't"]),
        (
            'items:\n- name: a\n  cont: 2',
            [
                'f:3:3: items[0].cont: unknown key; the nearest known key '
                "is 'count'"
            ],
        ),
        (
            'by_name:\n  x: {name: a, colur: red}',
            [
                'f:2:16: by_name.x.colur: unknown key; the nearest known '
                "key is 'colour'"
            ],
        ),
        ('items: [{count: 1}]', ['f:1:9: items[0].name: is required']),
        ('title: 12', ['f:1:8: title: must be a text; put it in quotes']),
        ('ratio: high', ['f:1:8: ratio: must be a number']),
        ('ratio: "1"', ['f:1:8: ratio: must be a number']),
        ('items: 3', ['f:1:8: items: must be a list']),
        ('items: [3]', ['f:1:9: items[0]: must be a mapping']),
        (
            'items: [{name: a, colour: green}]',
            ["f:1:27: items[0].colour: must be 'red' or 'blue'"],
        ),
        (
            'items: [{name: a, count: 0}]',
            ['f:1:26: items[0].count: must be greater than 0'],
        ),
        (
            'title: a\ntitle: b',
            ["f:2:1: the key 'title' stands twice, first in line 1"],
        ),
        ('ratio: .inf', ['f:1:8: is not a finite number']),
        ('ratio: 1e999', ['f:1:8: is not a finite number']),
        ('ratio: 10000000000000000000', ['f:1:8: is a number of more than']),
        ('title: !!binary eA==', ['f:1:8: the tag tag:yaml.org,2002:binary']),
        ('[a]: b', ['f:1:1: a key must be a word or a quoted text']),
        ('title: a\n---\ntitle: b', ['f:2:1: only one document may stand']),
        ('title: *a', ["f:1:8: the anchor 'a' does not stand before"]),
        ('title: &a [*a]', ["f:1:12: the anchor 'a' does not stand before"]),
        ('title: [', ['f:2:1: is not YAML: while parsing a flow node, did']),
        ('title: a\n b: "\x07"', ['f:2:6: is not YAML: ']),
        (
            'title: ' + '[' * 99,
            [f'f:1:{7 + node_reader.MOST_DEPTH}: is nested'],
        ),
    ],
)
def test_findings_have_places(text, expected):
    reported = found(text)
    assert len(reported) == len(expected)
    for line, beginning in zip(reported, expected):
        assert line.startswith(beginning)


def test_all_findings_are_reported_in_the_order_of_the_text():
    text = 'ratio: x\nitems:\n- {nme: a}\n- {name: 3}\ntitle: a\ntitle: b'
    places = [finding.place.line for finding in load(text).findings]
    assert places == [1, 3, 3, 4, 6]


@pytest.mark.parametrize(
    ('text', 'value'),
    [
        ('no', 'no'),
        ('010', 10),
        ('1:30', '1:30'),
        ('2025-01-01', '2025-01-01'),
        ('1e3', 1000.0),
        ('~', None),
        ('"1"', '1'),
        ('!!str 1', '1'),
        ('TRUE', True),
    ],
)
def test_scalars_follow_the_core_schema(text, value):
    tree = node_reader.read(text=text, source='f')
    assert tree.findings == ()
    assert tree.root.plain() == value


def test_alias_bomb_is_refused():
    """Ten lines that stand for ten billion values end in one finding.

    Symptom: the process grows until the platform kills it.  Sequence: each
    line names the line before ten times.  Cause: aliases are expanded.
    """
    lines = ['a0: &a0 x']
    for step in range(1, 11):
        names = ', '.join([f'*a{step - 1}'] * 10)
        lines.append(f'a{step}: &a{step} [{names}]')
    tree = node_reader.read(text='\n'.join(lines), source='f')
    refused = tree.root is None  # a failure must not print the tree
    assert refused
    assert 'aliases stand for too many' in tree.findings[0].message


def test_alias_repeats_its_value():
    value = load('items: [&a {name: a}, *a]').value
    assert value.items == (Item(name='a'), Item(name='a'))


@pytest.mark.parametrize(
    ('over', 'expected'),
    [
        ('', Shape(title='low', by_name={'x': Item(name='x', count=2)})),
        (
            'title: high',
            Shape(title='high', by_name={'x': Item(name='x', count=2)}),
        ),
        (
            'by_name: {x: {count: 3}}',
            Shape(title='low', by_name={'x': Item(name='x', count=3)}),
        ),
    ],
)
def test_layers_are_merged(over, expected):
    under = node_reader.read(
        text='title: low\nby_name: {x: {name: x, count: 2}}', source='under'
    )
    assert load(over, under=under.root).value == expected


def test_findings_in_a_layer_name_the_upper_file():
    under = node_reader.read(text='ratio: 1', source='under')
    loaded = load('title: a\nratio: x', under=under.root)
    assert [str(item.place) for item in loaded.findings] == ['f:2:8']


@pytest.mark.parametrize(
    ('content', 'message'),
    [(None, 'cannot be read: No such file'), (b'\xff', 'is not UTF-8')],
)
def test_unreadable_file_is_a_finding(tmp_path, content, message):
    path = tmp_path / 'file'
    if content is not None:
        path.write_bytes(content)
    assert message in documents.read_file(str(path)).message


@hypothesis.given(
    strategies.text(alphabet='a:[]{}&*!-"\'\n ,1|>#%~', max_size=40)
)
def test_any_text_ends_in_a_value_or_findings(text):
    loaded = load(text)
    assert (loaded.value is None) == bool(loaded.findings)


SCALARS = (-1, 0, 1, 2, -0.5, 0.5, 1.0, 1.5, True, None, '', 'a', '1', 'red')
VALUES = (*SCALARS, [], {}, [1], [-1], ['a'], {'a': 'b'}, {'a': 1})


def list_fields(shape, path=()):
    """List each field of a data class and of those in it."""
    for name, kind in documents._list_fields(shape).items():
        items = [one for one in get_args(kind) if is_dataclass(one)]
        if is_dataclass(kind):
            yield from list_fields(kind, (*path, name))
        for item in items:
            yield from list_fields(item, ())
        yield shape, name


@pytest.mark.parametrize(
    ('shape', 'name'),
    sorted(
        {
            (shape, name)
            for root in (settings.Settings, bundle.Bundle, Shape)
            for shape, name in list_fields(root)
        },
        key=lambda field: (field[0].__name__, field[1]),
    ),
)
def test_both_checks_agree(shape, name):
    """What is converted without pydantic would pass its check as well.

    Symptom: a process starts with a setting that "settings check" refuses.
    Sequence: a field gets a bound that only one of the two checks knows.
    Cause: a bound that is not taken from ``bounds``.
    """
    kind = get_type_hints(shape, include_extras=True)[name]
    only = dataclasses.make_dataclass(
        'Only',
        [(name, kind)],
        namespace={'__pydantic_config__': documents.STRICT},
    )
    for value in VALUES:
        text = msgspec.json.encode({name: value}).decode()
        tree = node_reader.read(text=text, source='f').root
        converted = documents.convert(tree, only)
        checked, errors = documents._validate(tree, only)
        if converted is not None:
            assert converted == checked, (value, errors)
        else:
            assert errors, value
