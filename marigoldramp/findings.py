"""Faults found in a document, each with its place, reported together."""

import dataclasses


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True, order=True)
class Place:
    """A position in a source text; line and column count from 1."""

    source: str
    line: int = 0
    column: int = 0

    def __str__(self) -> str:
        if not self.line:
            return self.source
        return f'{self.source}:{self.line}:{self.column}'


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True, order=True)
class Finding:
    """One fault: where it is, which field, and what is wrong.

    :ivar field: dotted path of the field, empty for the whole document.
    """

    place: Place
    field: str
    message: str

    def __str__(self) -> str:
        if self.field:
            return f'{self.place}: {self.field}: {self.message}'
        return f'{self.place}: {self.message}'
