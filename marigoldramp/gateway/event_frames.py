"""Splits the chunks of a streamed body into complete server-sent events."""

import re

import msgspec

#: An event ends with an empty line; lines may end with LF or CRLF.
_EVENT_END = re.compile(rb'\r?\n\r?\n')
#: Bytes of an incomplete event from which its stream counts as broken.
MAX_EVENT_BYTES = 262144
#: Digits that the number of an event may have.
MAX_ID_DIGITS = 18
_ID_FIELD = re.compile(rb'(?m)^id:[ ]?([^\r\n]*)')


class Frame(msgspec.Struct, frozen=True, kw_only=True):
    """One complete event as it was sent.

    :ivar identifier: its ``id`` field, empty without one.
    """

    data: bytes
    identifier: str


class Splitter:
    """Collects bytes and returns complete events.

    :ivar rest: bytes of an incomplete event.
    """

    __slots__ = ('rest',)

    def __init__(self) -> None:
        self.rest = b''

    def feed(self, data: bytes) -> list[Frame]:
        """Add bytes; return the events that they complete."""
        buffer = self.rest + data
        frames = []
        start = 0
        for end in _EVENT_END.finditer(buffer):
            frames.append(_parse(buffer[start : end.end()]))
            start = end.end()
        self.rest = buffer[start:]
        return frames

    @property
    def is_overlong(self) -> bool:
        """Whether the incomplete event has too many bytes."""
        return len(self.rest) > MAX_EVENT_BYTES


def _parse(data: bytes) -> Frame:
    match = _ID_FIELD.search(data)
    identifier = match.group(1).decode('latin-1').strip() if match else ''
    return Frame(data=data, identifier=identifier)


def follows(*, identifier: str, last: str) -> bool:
    """Whether an event comes after another one, by numeric identifiers.

    Always true if an identifier is empty or not a number.
    """
    if not _is_number(identifier) or not _is_number(last):
        return True
    return int(identifier) > int(last)


def _is_number(identifier: str) -> bool:
    return identifier.isdecimal() and len(identifier) <= MAX_ID_DIGITS
