"""Rendezvous hashing: instances with the same list of names choose alike.

Adding or removing a name changes only the choices that include it, and no
coordination is needed.
"""

import hashlib
from typing import Iterable


def score(*, key: str, name: str) -> int:
    """Return the weight of ``name`` for ``key``."""
    digest = hashlib.blake2b(f'{key}\0{name}'.encode(), digest_size=8)
    return int.from_bytes(digest.digest(), 'big')


def score_pair(*, one: str, other: str) -> int:
    """Return the weight of a pair of names, which is the same in both orders.

    Two instances that choose each other share one exchange of heartbeats;
    weights that depend on the order would lead to two exchanges.
    """
    low, high = sorted((one, other))
    return score(key=low, name=high)


def choose(*, key: str, names: Iterable[str], count: int) -> tuple[str, ...]:
    """Return the ``count`` names of highest weight for ``key``, best first."""
    ranked = sorted(
        names, key=lambda name: (score(key=key, name=name), name), reverse=True
    )
    return tuple(ranked[:count])
