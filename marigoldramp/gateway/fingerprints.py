"""Tells whether two requests are the same in all that an endpoint acts on.

A caller that comes back gives its request a new identifier each time, so the
identifier says nothing of what earlier ones did to the endpoints that ran
them.
"""

import hashlib

from . import inbound

#: Bytes of a fingerprint: with some million requests a day two of different
#: content share one in less than one day of a million.
DIGEST_BYTES = 8


def compute_fingerprint(
    *, head: inbound.Head, customer: str, body: bytes
) -> str:
    """Return what requests of the same caller and content share.

    The customer stands in it by name: a key is a secret, and fingerprints are
    logged.

    :param customer: whose key the request carries, empty for nobody's.
    """
    digest = hashlib.blake2b(digest_size=DIGEST_BYTES)
    parts = (head.method, head.host.lower().encode(), head.target)
    for part in (*parts, customer.encode(), body):
        digest.update(b'%d:' % len(part))
        digest.update(part)
    return digest.hexdigest()
