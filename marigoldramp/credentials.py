"""Secrets read by reference, so that none stands in a settings file.

A reference is ``env:NAME`` for an environment variable or ``file:PATH`` for
a file.  One line end after the secret is dropped, as editors and ``echo``
add it unasked.
"""

import dataclasses
import os

MOST_BYTES = 64 * 1024

_ENVIRONMENT = 'env:'
_FILE = 'file:'


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Missing:
    """No secret stands behind the reference.

    :ivar detail: one sentence for a person; never holds the secret.
    """

    detail: str


def is_reference(text: str) -> bool:
    """Tell whether a text names a secret rather than being one."""
    for prefix in (_ENVIRONMENT, _FILE):
        if text.startswith(prefix) and len(text) > len(prefix):
            return True
    return False


def read(reference: str) -> bytes | Missing:
    """Return the secret behind a reference."""
    if not is_reference(reference):
        # The text itself stays out of the message: it may be the secret.
        return Missing(detail='it must read env:NAME or file:PATH')
    if reference.startswith(_ENVIRONMENT):
        return _read_variable(reference.removeprefix(_ENVIRONMENT))
    return _read_file(reference.removeprefix(_FILE))


def _read_variable(name: str) -> bytes | Missing:
    value = os.environ.get(name)
    if not value:
        return Missing(detail=f'the environment variable {name} is not set')
    return os.fsencode(value)


def _read_file(path: str) -> bytes | Missing:
    try:
        with open(path, 'rb') as file:
            content = file.read(MOST_BYTES + 1)
    except OSError as error:
        return Missing(detail=f'{path}: {error.strerror}')
    if len(content) > MOST_BYTES:
        return Missing(detail=f'{path} is longer than {MOST_BYTES} bytes')
    content = content.removesuffix(b'\n').removesuffix(b'\r')
    if not content:
        return Missing(detail=f'{path} is empty')
    return content
