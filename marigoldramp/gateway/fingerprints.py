"""Computes fingerprints, by which requests that are alike are recognized.

A caller gives each retry a new identifier, so the identifier does not show
what earlier attempts did to the endpoints that ran them.  The fingerprint
covers everything in a request that an endpoint acts on.

Requests that differ can have a part of their prompts in common.  Each such
part has a fingerprint of its own.
"""

import hashlib
from typing import Iterable

from . import inbound

#: Size of a fingerprint in bytes.  With a few million requests a day, the
#: probability of a collision is less than one in a million a day.
DIGEST_BYTES = 8
#: First characters of the fingerprint of a part of a prompt.
PART_MARK = 'part-'


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


def compute_part_fingerprints(
    *, service: str, parts: Iterable[str]
) -> tuple[str, ...]:
    """Return the fingerprints of parts of a prompt.

    They do not cover the customer: a part has the same content whoever sends
    it.

    :param parts: identifiers of the parts.
    """
    found = []
    for part in parts:
        digest = hashlib.blake2b(digest_size=DIGEST_BYTES)
        digest.update(f'{len(service)}:{service}{part}'.encode())
        found.append(PART_MARK + digest.hexdigest())
    return tuple(found)


def is_part(fingerprint: str) -> bool:
    """Whether a fingerprint is of a part of a prompt, not of a request."""
    return fingerprint.startswith(PART_MARK)
