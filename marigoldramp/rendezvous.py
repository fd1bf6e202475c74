"""Rendezvous hashing: everybody who sees the same names chooses the same.

A name that comes or goes moves only the choices in which it takes part, and
nobody has to be asked.
"""

import hashlib
from typing import Iterable


def score(*, key: str, name: str) -> int:
    """Return the weight of ``name`` for ``key``."""
    digest = hashlib.blake2b(f'{key}\0{name}'.encode(), digest_size=8)
    return int.from_bytes(digest.digest(), 'big')


def score_pair(*, one: str, other: str) -> int:
    """Return the weight of a pair of names in either order.

    Two instances that choose each other share one exchange of heartbeats;
    weights that depend on the order would make two of it.
    """
    low, high = sorted((one, other))
    return score(key=low, name=high)


def choose(*, key: str, names: Iterable[str], count: int) -> tuple[str, ...]:
    """Return the ``count`` names that weigh most for ``key``, best first."""
    ranked = sorted(
        names, key=lambda name: (score(key=key, name=name), name), reverse=True
    )
    return tuple(ranked[:count])
