"""Typed documents from YAML, every fault with its file, line and column.

The text becomes a tree of nodes with places and the tree a data class.  A
sound document is converted by msgspec, which every process uses anyway and
which stops at the first fault.  Only for a faulty one is pydantic loaded: it
finds all faults, and each is carried back to its place, so that an operator
mends a file in one round.
"""

import dataclasses
import difflib
import functools
import typing
from typing import Any
from typing import Generic
from typing import TypeVar

import msgspec

from . import findings
from . import node_reader
from . import nodes

T = TypeVar('T')
Path = tuple[str | int, ...]
Config = dict[str, Any]
Finding = findings.Finding
Place = findings.Place

#: For ``__pydantic_config__`` of each data class that is read from a file.
STRICT: Config = {'extra': 'forbid'}

_MESSAGES = {
    'missing': 'is required',
    'dataclass_type': 'must be a mapping',
    'dict_type': 'must be a mapping',
    'tuple_type': 'must be a list',
    'string_type': 'must be a text; put it in quotes',
    'int_type': 'must be a whole number',
    'float_type': 'must be a number',
    'bool_type': 'must be true or false',
}


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Loaded(Generic[T]):
    """A document as read: its value unless faults were found.

    :ivar value: ``None`` if there are findings.
    :ivar findings: every fault, in the order of the text.
    :ivar tree: the document's own nodes, for the places of later checks.
    """

    value: T | None
    findings: tuple[Finding, ...]
    tree: nodes.Node | None = None
    source: str = ''

    def place(self, *path: str | int) -> Place:
        """Return the place of the value at a path, or of its nearest kin."""
        if self.tree is None:
            return Place(source=self.source)
        return self.tree.find(path).place

    def finding(self, message: str, *path: str | int) -> Finding:
        """Return a finding about the value at a path."""
        return Finding(
            place=self.place(*path), field=name_field(path), message=message
        )


def name_field(path: Path) -> str:
    """Write a path as ``routes[2].path``."""
    name = ''
    for step in path:
        if isinstance(step, int):
            name += f'[{step}]'
        elif name:
            name += f'.{step}'
        else:
            name = step
    return name


def load(
    *,
    text: str,
    source: str,
    shape: type[T],
    under: nodes.Node | None = None,
) -> Loaded[T]:
    """Read a YAML text into a data class.

    :param source: the file's name, for places.
    :param shape: a data class whose fields are checked by pydantic.
    :param under: a document over which this one is laid, member by member.
    """
    tree = node_reader.read(text=text, source=source)
    found = list(tree.findings)
    root = tree.root
    if root is None or root.value is None:
        if not found and under is None:
            found.append(_whole(source, 'the document is empty'))
        root = _empty(source, root)
    elif not isinstance(root.value, dict):
        found.append(_whole(source, 'the document must be a mapping', root))
    if found and tree.root is None:
        return Loaded(value=None, findings=tuple(found), source=source)
    whole = root if under is None else merge(under=under, over=root)
    errors: list[Any] = []
    value = convert(whole, shape)
    if value is None:
        value, errors = _validate(whole, shape)
    if isinstance(root.value, dict):
        # A value that could not even be read needs no second finding.
        unread = {one.place for one in found}
        translated = [_translate(error, root, shape) for error in errors]
        found += [one for one in translated if one.place not in unread]
    ordered = tuple(sorted(found))
    return Loaded(
        value=None if ordered else value,
        findings=ordered,
        tree=root,
        source=source,
    )


def merge(*, under: nodes.Node, over: nodes.Node) -> nodes.Node:
    """Lay one tree over another; mappings are merged, all else replaced."""
    if not isinstance(under.value, dict) or not isinstance(over.value, dict):
        return over
    members = dict(under.value)
    for key, member in over.value.items():
        below = members.get(key)
        if below is not None:
            node = merge(under=below.node, over=member.node)
            member = nodes.Member(place=member.place, node=node)
        members[key] = member
    return nodes.Node(place=over.place, value=members)


def _empty(source: str, root: nodes.Node | None) -> nodes.Node:
    place = Place(source=source, line=1, column=1)
    return nodes.Node(place=root.place if root else place, value={})


def _whole(
    source: str, message: str, root: nodes.Node | None = None
) -> Finding:
    place = root.place if root else Place(source=source)
    return Finding(place=place, field='', message=message)


def read_items(
    loaded: Loaded[Any], name: str, shape: type[T]
) -> tuple[T | None, ...]:
    """Return the items of a list that are sound, ``None`` for the others.

    With these, checks between items can go on though the document as a
    whole has faults, and all findings come in one round.
    """
    if loaded.tree is None or not isinstance(loaded.tree.value, dict):
        return ()
    member = loaded.tree.value.get(name)
    if member is None or not isinstance(member.node.value, list):
        return ()
    return tuple(_validate(node, shape)[0] for node in member.node.value)


def convert(root: nodes.Node, shape: type[T]) -> T | None:
    """Return the value of a sound tree, ``None`` for one with faults."""
    if not _knows_keys(root, shape):
        return None
    try:
        return msgspec.convert(root.plain(), shape)
    except msgspec.ValidationError:
        return None


def _knows_keys(node: nodes.Node, shape: Any) -> bool:
    """Return whether every key has a field; msgspec passes over others."""
    match node.value:
        case dict():
            hints = _list_fields(shape)
            for key, member in node.value.items():
                inner = hints.get(key) if hints else _step_into(shape, key)
                if inner is None or not _knows_keys(member.node, inner):
                    return False
        case list():
            inner = _step_into(shape, 0)
            return all(_knows_keys(item, inner) for item in node.value)
    return True


@functools.cache
def _list_fields(shape: Any) -> dict[str, Any]:
    if not dataclasses.is_dataclass(shape):
        return {}
    names = {field.name for field in dataclasses.fields(shape)}
    hints = typing.get_type_hints(shape)
    return {name: hints[name] for name in names}


def _validate(root: nodes.Node, shape: type[T]) -> tuple[T | None, list[Any]]:
    """Check by way of JSON, where strictness knows lists and words."""
    import pydantic

    text = msgspec.json.encode(root.plain())
    try:
        adapter = _adapt(typing.cast(Any, shape))
        return adapter.validate_json(text, strict=True), []
    except pydantic.ValidationError as error:
        return None, list(error.errors(include_url=False))


@functools.cache
def _adapt(shape: Any) -> Any:
    import pydantic

    return pydantic.TypeAdapter(shape)


def _translate(error: Any, root: nodes.Node, shape: type[Any]) -> Finding:
    path: Path = error['loc']
    if error['type'] == 'unexpected_keyword_argument':
        return Finding(
            place=root.find_key(path),
            field=name_field(path),
            message='unknown key' + _suggest(shape, path),
        )
    message = _MESSAGES.get(error['type'])
    if message is None:
        message = error['msg'].removeprefix('Value error, ')
        message = message.replace('Input should', 'must')
    return Finding(
        place=root.find(path).place,
        field=name_field(path),
        message=message,
    )


def _suggest(shape: Any, path: Path) -> str:
    for step in path[:-1]:
        shape = _step_into(shape, step)
    known = list(_list_fields(shape))
    near = difflib.get_close_matches(str(path[-1]), known, n=1, cutoff=0.0)
    return f'; the nearest known key is {near[0]!r}' if near else ''


def _step_into(shape: Any, step: str | int) -> Any:
    if dataclasses.is_dataclass(shape):
        return _list_fields(typing.cast(Any, shape)).get(str(step))
    arguments = typing.get_args(shape)
    if not arguments:
        return None
    return arguments[-1] if isinstance(step, str) else arguments[0]


def read_file(path: str) -> str | Finding:
    """Return the text of a file, or why it cannot be read."""
    place = Place(source=path)
    try:
        with open(path, 'rb') as file:
            content = file.read(node_reader.MOST_BYTES + 1)
    except OSError as error:
        message = f'cannot be read: {error.strerror}'
        return Finding(place=place, field='', message=message)
    try:
        return content.decode()
    except UnicodeDecodeError as error:
        message = f'is not UTF-8 at byte {error.start}'
        return Finding(place=place, field='', message=message)
