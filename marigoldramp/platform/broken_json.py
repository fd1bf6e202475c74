"""Reads what can be read of a JSON document with damaged parts.

Several programs write to the platform's store.  The decoder refuses a whole
page if one of its objects has the escape of half a surrogate pair or is nested
too deeply; the other objects must still be read.
"""

import re
from typing import Iterable

import msgspec

#: Escapes: of a backslash, of a surrogate pair, and of half of one.
_ESCAPES = re.compile(
    rb'\\\\'
    rb'|\\u[dD][89abAB][0-9a-fA-F]{2}\\u[dD][c-fC-F][0-9a-fA-F]{2}'
    rb'|(\\u[dD][89a-fA-F][0-9a-fA-F]{2})'
)
_REPLACEMENT_ESCAPE = rb'\ufffd'
_TOKENS = re.compile(rb'"(?:[^"\\]|\\.)*"|[\[\]{},]', re.DOTALL)
_OPENING = (b'[', b'{')
_CLOSING = (b']', b'}')


class SplitArray(msgspec.Struct, frozen=True, kw_only=True):
    """An array in a document, taken apart.

    :ivar head: the document up to the array's first element.
    :ivar items: the array's elements, not decoded.
    :ivar tail: the document from the array's end.
    """

    head: bytes
    items: tuple[bytes, ...]
    tail: bytes

    def join(self, items: Iterable[bytes]) -> bytes:
        """Return the document with other elements in the array."""
        return self.head + b','.join(items) + self.tail


def replace_lone_surrogates(document: bytes) -> bytes:
    """Replace the escapes of half a surrogate pair."""
    return _ESCAPES.sub(
        lambda found: _REPLACEMENT_ESCAPE if found[1] else found[0], document
    )


def split_array(document: bytes, *, name: str) -> SplitArray | None:
    """Take an array of the outermost object apart.

    :returns: ``None`` if there is no such array, or it does not end.
    """
    key = b'"%b"' % name.encode()
    last_string = b''
    items: list[bytes] = []
    array_at = item_at = depth = 0
    for token in _TOKENS.finditer(document):
        text = token[0]
        if text in _OPENING:
            depth += 1
            if depth == 2 and text == b'[' and last_string == key:
                array_at = item_at = token.end()
        elif text in _CLOSING:
            depth -= 1
            if depth == 1 and array_at:
                items.append(document[item_at : token.start()].strip())
                return SplitArray(
                    head=document[:array_at],
                    items=tuple(one for one in items if one),
                    tail=document[token.start() :],
                )
        elif text != b',':
            last_string = text if depth == 1 else last_string
        elif depth == 2 and array_at:
            items.append(document[item_at : token.start()].strip())
            item_at = token.end()
    return None
