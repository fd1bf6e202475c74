"""Types of addresses that can be used without a name server.

A name server that does not answer would hold up whatever connects by name,
and the whole process where a datagram is sent.
"""

import re
from typing import Annotated

import msgspec

MAX_PORT = 65535
_OCTET = '(?:25[0-5]|2[0-4][0-9]|1[0-9]{2}|[1-9]?[0-9])'
_IPV4 = rf'{_OCTET}(?:\.{_OCTET}){{3}}'
_HOST = re.compile(_IPV4)
_ADDRESS = re.compile(rf'({_IPV4}):([0-9]{{1,5}})')

#: Types of fields, which are checked when a message is decoded.
Host = Annotated[str, msgspec.Meta(pattern=rf'\A{_IPV4}\Z')]
Port = Annotated[int, msgspec.Meta(ge=0, le=MAX_PORT)]


def split_address(text: str) -> tuple[str, int]:
    """Return the IP address and the port in a text ``IP:PORT``.

    :raises ValueError: the text has another form.
    """
    found = _ADDRESS.fullmatch(text)
    if found is None or not 0 < int(found[2]) <= MAX_PORT:
        raise ValueError(f'{text[:80]!r} is not an address and a port')
    return found[1], int(found[2])


def is_ip_address(host: str) -> bool:
    """Whether a host needs no look-up."""
    return _HOST.fullmatch(host) is not None
