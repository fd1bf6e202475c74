"""Computes fingerprints, by which retries of the same request are recognized.

A caller gives each retry a new identifier, so the identifier does not show
what earlier attempts did to the endpoints that ran them.  The fingerprint
covers everything in a request that an endpoint acts on.
"""

import hashlib

from . import inbound

#: Size of a fingerprint in bytes.  With a few million requests a day, the
#: probability of a collision is less than one in a million a day.
DIGEST_BYTES = 8


def compute_fingerprint(
    *, head: inbound.Head, customer: str, body: bytes
) -> str:
    """Return the fingerprint of a request's caller and content.

    It covers the customer's name and not the key, as a key is secret and
    fingerprints are logged.

    :param customer: owner of the key in the request, empty without one.
    """
    digest = hashlib.blake2b(digest_size=DIGEST_BYTES)
    parts = (head.method, head.host.lower().encode(), head.target)
    for part in (*parts, customer.encode(), body):
        digest.update(b'%d:' % len(part))
        digest.update(part)
    return digest.hexdigest()
