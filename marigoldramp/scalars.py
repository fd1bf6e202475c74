"""What a plain word of a YAML text means, by the core schema of YAML 1.2.

A word such as ``no``, ``010`` or ``1:30`` keeps the meaning that a reader
expects, which the older schema of the YAML library would change.
"""

import dataclasses
import math
import re

LARGEST_INTEGER = 2**63 - 1

_INTEGER = re.compile(r'[-+]?[0-9]+')
_FLOAT = re.compile(
    r'[-+]?(?:\.[0-9]+|[0-9]+(?:\.[0-9]*)?)(?:[eE][-+]?[0-9]+)?'
)
_NOT_FINITE = re.compile(r'[-+]?\.(?:inf|Inf|INF)|\.(?:nan|NaN|NAN)')
_LONGEST_INTEGER = 20
_WORDS: dict[str, bool | None] = {
    '': None,
    '~': None,
    'null': None,
    'Null': None,
    'NULL': None,
    'true': True,
    'True': True,
    'TRUE': True,
    'false': False,
    'False': False,
    'FALSE': False,
}

Scalar = str | int | float | bool | None


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Unfit:
    """The word means a number that no setting can have."""

    message: str


def read(text: str) -> Scalar | Unfit:
    """Return the value of an unquoted word."""
    if text in _WORDS:
        return _WORDS[text]
    if _NOT_FINITE.fullmatch(text):
        return Unfit(message='is not a finite number')
    if _INTEGER.fullmatch(text):
        return _read_integer(text)
    if _FLOAT.fullmatch(text):
        return _read_float(text)
    return text


def _read_integer(text: str) -> int | Unfit:
    # The length is looked at first: converting a number of a million digits
    # takes minutes.
    if len(text) > _LONGEST_INTEGER or abs(int(text)) > LARGEST_INTEGER:
        return Unfit(message='is a number of more than 63 bits')
    return int(text)


def _read_float(text: str) -> float | Unfit:
    number = float(text)
    if math.isinf(number):
        return Unfit(message='is not a finite number')
    return number
