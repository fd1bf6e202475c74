"""Reads the target of a request in each form that HTTP/1.1 has.

Source: RFC 9112, section 3.2.
"""

import re

import msgspec

ASTERISK = b'*'
SCHEMES = (b'http', b'https')
#: An absolute target: scheme, authority, and path with query.
ABSOLUTE_FORM = re.compile(rb'([A-Za-z][A-Za-z0-9+.-]*)://([^/?]*)(.*)')


class Target(msgspec.Struct, frozen=True, kw_only=True):
    """What a request asks for.

    :ivar resource: path and query, or ``*`` for the server as a whole.
    :ivar host: host and port that the target names, which replace those of
        the ``Host`` header; empty if it names none.
    """

    resource: bytes
    host: bytes = b''


def parse_target(*, method: bytes, target: bytes) -> Target:
    """Return what a request asks for.

    :raises ValueError: the target has no form that the method may have here.
    """
    if method == b'CONNECT':
        raise ValueError('no tunnels are opened')
    if target.startswith(b'/'):
        return Target(resource=target)
    if target == ASTERISK:
        if method != b'OPTIONS':
            raise ValueError('only OPTIONS may ask for the server as a whole')
        return Target(resource=target)
    found = ABSOLUTE_FORM.fullmatch(target)
    if found is None:
        raise ValueError('the target is neither a path nor a URI')
    scheme, host, resource = found.groups()
    if scheme.lower() not in SCHEMES or not host or b'@' in host:
        raise ValueError('the target is no URI of this server')
    if not resource.startswith(b'/'):
        resource = b'/' + resource
    return Target(resource=resource, host=host)
