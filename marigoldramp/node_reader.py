"""Reads YAML text into a tree of nodes that know their line and column.

The tree is built from the parser's events with a stack of its own, so that
depth, size and the expansion of aliases are bounded before anything is
constructed.
"""

import dataclasses
from typing import Any
from typing import Iterator

import yaml

from . import findings
from . import nodes
from . import scalars

MOST_BYTES = 64 * 1024 * 1024
MOST_DEPTH = 32
MOST_NODES = 4_000_000
MOST_ALIASED_NODES = 100_000
MOST_FINDINGS = 200
_STRING_TAGS = (None, '!', 'tag:yaml.org,2002:str')


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Tree:
    """What was read: the root, if there is one, and the findings."""

    root: nodes.Node | None
    findings: tuple[findings.Finding, ...]


class _Broken(Exception):
    """Reading cannot go on after this finding."""

    def __init__(self, place: findings.Place, message: str) -> None:
        super().__init__(message)
        self.place = place
        self.message = message


@dataclasses.dataclass(slots=True, kw_only=True)
class _Open:
    """A mapping or sequence whose end has not been read yet."""

    node: nodes.Node
    anchor: str | None
    count: int
    key: str | None = None
    key_place: findings.Place | None = None


class _Builder:
    """Builds the tree from events."""

    __slots__ = (
        '_aliased',
        '_anchors',
        '_count',
        '_open',
        '_sizes',
        '_source',
        'findings',
        'root',
    )

    def __init__(self, *, source: str) -> None:
        self._source = source
        self._open: list[_Open] = []
        self._anchors: dict[str, nodes.Node] = {}
        self._sizes: dict[str, int] = {}
        self._count = 0
        self._aliased = 0
        self.findings: list[findings.Finding] = []
        self.root: nodes.Node | None = None

    def feed(self, event: yaml.Event) -> None:
        """Take in the next event."""
        match event:
            case yaml.ScalarEvent():
                self._scalar(event)
            case yaml.MappingStartEvent():
                self._start(event, {})
            case yaml.SequenceStartEvent():
                self._start(event, [])
            case yaml.MappingEndEvent() | yaml.SequenceEndEvent():
                self._end()
            case yaml.AliasEvent():
                self._alias(event)
            case yaml.DocumentStartEvent() if self.root is not None:
                raise _Broken(
                    self._place(event), 'only one document may stand here'
                )

    def _place(self, event: yaml.Event) -> findings.Place:
        return _mark_place(self._source, event.start_mark)

    def _scalar(self, event: yaml.ScalarEvent) -> None:
        place = self._place(event)
        parent = self._open[-1] if self._open else None
        if parent and isinstance(parent.node.value, dict):
            if parent.key is None:
                parent.key = event.value
                parent.key_place = place
                return
        node = nodes.Node(place=place, value=self._resolve(event, place))
        self._grow(1, place)
        if event.anchor:
            self._anchors[event.anchor] = node
            self._sizes[event.anchor] = 1
        self._add(node)

    def _resolve(
        self, event: yaml.ScalarEvent, place: findings.Place
    ) -> scalars.Scalar:
        if event.tag not in _STRING_TAGS:
            self._find(place, f'the tag {event.tag} is not supported')
        if event.tag or event.style:
            return str(event.value)
        value = scalars.read(event.value)
        if isinstance(value, scalars.Unfit):
            self._find(place, value.message)
            return None
        return value

    def _start(
        self,
        event: yaml.CollectionStartEvent,
        value: 'list[nodes.Node] | dict[str, nodes.Member]',
    ) -> None:
        place = self._place(event)
        if len(self._open) >= MOST_DEPTH:
            raise _Broken(place, f'is nested deeper than {MOST_DEPTH}')
        if self._awaits_key():
            raise _Broken(place, 'a key must be a word or a quoted text')
        self._grow(1, place)
        node = nodes.Node(place=place, value=value)
        self._open.append(
            _Open(node=node, anchor=event.anchor, count=self._count)
        )

    def _end(self) -> None:
        ended = self._open.pop()
        if ended.anchor:
            self._anchors[ended.anchor] = ended.node
            self._sizes[ended.anchor] = self._count - ended.count + 1
        self._add(ended.node)

    def _alias(self, event: yaml.AliasEvent) -> None:
        place = self._place(event)
        anchor = event.anchor or ''
        node = self._anchors.get(anchor)
        if node is None:
            raise _Broken(
                place, f'the anchor {anchor!r} does not stand before'
            )
        if self._awaits_key():
            raise _Broken(place, 'a key must be a word or a quoted text')
        # A few lines of aliases to aliases stand for billions of values.
        # One would notice by a process that grows until it is killed; the
        # sum of what aliases stand for is bounded before it is built.
        self._aliased += self._sizes[anchor]
        if self._aliased > MOST_ALIASED_NODES:
            raise _Broken(place, 'aliases stand for too many values')
        self._grow(self._sizes[anchor], place)
        self._add(node)

    def _awaits_key(self) -> bool:
        if not self._open:
            return False
        last = self._open[-1]
        return isinstance(last.node.value, dict) and last.key is None

    def _grow(self, count: int, place: findings.Place) -> None:
        self._count += count
        if self._count > MOST_NODES:
            raise _Broken(place, f'more than {MOST_NODES} values')

    def _add(self, node: nodes.Node) -> None:
        if not self._open:
            self.root = node
            return
        parent = self._open[-1]
        match parent.node.value:
            case dict():
                self._add_member(parent, parent.node.value, node)
            case list():
                parent.node.value.append(node)

    def _add_member(
        self, parent: _Open, members: dict[str, nodes.Member], node: nodes.Node
    ) -> None:
        assert parent.key is not None and parent.key_place is not None
        first = members.get(parent.key)
        if first is not None:
            self._find(
                parent.key_place,
                f'the key {parent.key!r} stands twice, first in line '
                f'{first.place.line}',
            )
        else:
            members[parent.key] = nodes.Member(
                place=parent.key_place, node=node
            )
        parent.key = None

    def _find(self, place: findings.Place, message: str) -> None:
        if len(self.findings) >= MOST_FINDINGS:
            raise _Broken(place, 'too many faults; the rest is not listed')
        self.findings.append(
            findings.Finding(place=place, field='', message=message)
        )


def _mark_place(source: str, mark: Any) -> findings.Place:
    if mark is None:
        return findings.Place(source=source)
    return findings.Place(
        source=source, line=mark.line + 1, column=mark.column + 1
    )


def _find_position(text: str, source: str, position: int) -> findings.Place:
    line = text.count('\n', 0, position) + 1
    column = position - text.rfind('\n', 0, position)
    return findings.Place(source=source, line=line, column=column)


def _events(text: str) -> Iterator[yaml.Event]:
    loader = getattr(yaml, 'CLoader', yaml.Loader)
    yield from yaml.parse(text, Loader=loader)


def read(*, text: str, source: str) -> Tree:
    """Read one YAML document into a tree; faults are findings."""
    builder = _Builder(source=source)
    if len(text) > MOST_BYTES:
        place = findings.Place(source=source)
        fault = f'is longer than {MOST_BYTES} characters'
        return _give_up(builder, place, fault)
    try:
        for event in _events(text):
            builder.feed(event)
    except _Broken as error:
        return _give_up(builder, error.place, error.message)
    except yaml.MarkedYAMLError as error:
        place = _mark_place(source, error.problem_mark)
        return _give_up(builder, place, _describe(error))
    except yaml.reader.ReaderError as error:
        place = _find_position(text, source, error.position)
        return _give_up(builder, place, f'is not YAML: {error.reason}')
    return Tree(root=builder.root, findings=tuple(builder.findings))


def _describe(error: yaml.MarkedYAMLError) -> str:
    parts = [part for part in (error.context, error.problem) if part]
    return 'is not YAML: ' + ', '.join(parts)


def _give_up(builder: _Builder, place: findings.Place, message: str) -> Tree:
    last = findings.Finding(place=place, field='', message=message)
    return Tree(root=None, findings=(*builder.findings, last))
