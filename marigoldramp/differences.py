"""What a bundle changes against another, in the operators' terms."""

import dataclasses
import enum
from typing import Any
from typing import Callable
from typing import Sequence

import msgspec

from . import bundle


class Change(enum.StrEnum):
    """What became of an item."""

    ADDED = 'added'
    REMOVED = 'removed'
    CHANGED = 'changed'


class FieldDifference(msgspec.Struct, frozen=True, kw_only=True):
    """A field with its value before and after."""

    field: str
    before: Any
    after: Any


class Difference(msgspec.Struct, frozen=True, kw_only=True):
    """One item of a bundle that differs.

    :ivar section: ``services``, ``routes``, ``groups`` or ``customers``.
    :ivar fields: what differs in a changed item.
    """

    section: str
    name: str
    change: Change
    fields: tuple[FieldDifference, ...] = ()


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class _Section:
    name: str
    identify: Callable[[Any], str]


def _name_item(item: Any) -> str:
    return str(item.name)


def _name_route(route: bundle.Route) -> str:
    name = f'{route.method} {route.path}'
    return f'{name} model {route.model}' if route.model else name


_NONE: tuple[FieldDifference, ...] = ()

_SECTIONS = (
    _Section(name='services', identify=_name_item),
    _Section(name='routes', identify=_name_route),
    _Section(name='groups', identify=_name_item),
    _Section(name='customers', identify=_name_item),
)


def compare(
    *, before: bundle.Bundle, after: bundle.Bundle
) -> tuple[Difference, ...]:
    """List the items that differ, section by section, sorted by name."""
    found: list[Difference] = []
    for section in _SECTIONS:
        found += _compare_section(
            section,
            getattr(before, section.name),
            getattr(after, section.name),
        )
    return tuple(found)


def _compare_section(
    section: _Section, before: Sequence[Any], after: Sequence[Any]
) -> list[Difference]:
    old = {section.identify(item): item for item in before}
    new = {section.identify(item): item for item in after}
    found = []
    for name in sorted(old.keys() | new.keys()):
        if name not in new:
            change, fields = Change.REMOVED, _NONE
        elif name not in old:
            change, fields = Change.ADDED, _NONE
        elif old[name] == new[name]:
            continue
        else:
            change = Change.CHANGED
            fields = _compare_fields(old[name], new[name])
        found.append(
            Difference(
                section=section.name, name=name, change=change, fields=fields
            )
        )
    return found


def _compare_fields(before: Any, after: Any) -> tuple[FieldDifference, ...]:
    found = []
    for field in dataclasses.fields(before):
        old = getattr(before, field.name)
        new = getattr(after, field.name)
        if old != new:
            found.append(
                FieldDifference(field=field.name, before=old, after=new)
            )
    return tuple(found)
