"""Values of a document, each with the line and column where it begins."""

import dataclasses
from typing import Any

from . import findings
from . import scalars


@dataclasses.dataclass(slots=True, kw_only=True)
class Node:
    """One value of the document and where it begins."""

    place: findings.Place
    value: 'scalars.Scalar | list[Node] | dict[str, Member]'

    def plain(self) -> Any:
        """Return the value without its places."""
        match self.value:
            case dict():
                return {
                    key: member.node.plain()
                    for key, member in self.value.items()
                }
            case list():
                return [node.plain() for node in self.value]
            case _:
                return self.value

    def find(self, path: tuple[str | int, ...]) -> 'Node':
        """Return the node at a path, or the deepest one on the way."""
        node = self
        for step in path:
            match node.value:
                case dict() if step in node.value:
                    node = node.value[str(step)].node
                case list() if _is_index(step, node.value):
                    node = node.value[int(step)]
                case _:
                    break
        return node

    def find_key(self, path: tuple[str | int, ...]) -> findings.Place:
        """Return the place of the key at a path, else of its value."""
        parent = self.find(path[:-1])
        if isinstance(parent.value, dict) and path[-1] in parent.value:
            return parent.value[str(path[-1])].place
        return self.find(path).place


@dataclasses.dataclass(slots=True, kw_only=True)
class Member:
    """A key of a mapping with its place, and the value behind it."""

    place: findings.Place
    node: Node


def _is_index(step: str | int, values: list[Node]) -> bool:
    return isinstance(step, int) and 0 <= step < len(values)
