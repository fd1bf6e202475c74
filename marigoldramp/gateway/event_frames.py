"""Whole server-sent events out of the pieces of a streamed body."""

import dataclasses
import re

#: An event ends with an empty line; both line ends are in use.
_END = re.compile(rb'\r?\n\r?\n')
_IDENTIFIER = re.compile(rb'(?m)^id:[ ]?([^\r\n]*)')


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Frame:
    """One whole event as it was sent.

    :ivar identifier: its ``id`` field, empty without one.
    """

    data: bytes
    identifier: str


class Splitter:
    """Collects bytes and gives out the events that are whole.

    :ivar rest: bytes of an event that is not whole yet.
    """

    __slots__ = ('rest',)

    def __init__(self) -> None:
        self.rest = b''

    def feed(self, data: bytes) -> list[Frame]:
        """Take bytes; return the events that they complete."""
        buffer = self.rest + data
        frames = []
        start = 0
        for end in _END.finditer(buffer):
            frames.append(_read(buffer[start : end.end()]))
            start = end.end()
        self.rest = buffer[start:]
        return frames


def _read(data: bytes) -> Frame:
    found = _IDENTIFIER.search(data)
    identifier = found.group(1).decode('latin-1').strip() if found else ''
    return Frame(data=data, identifier=identifier)


def follows(*, identifier: str, last: str) -> bool:
    """Whether an event comes after another one, by increasing numbers.

    Events without a number, or before any other, are taken as they come.
    """
    if not identifier.isdecimal() or not last.isdecimal():
        return True
    return int(identifier) > int(last)
