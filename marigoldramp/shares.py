"""Which entries serve a customer, and the share of its limits at each.

A customer is served by few entries out of all, chosen by rendezvous hashing
over the live ones.  Every process that sees the same entries chooses the
same few without asking anybody, a customer's burst touches few entries, and
an entry holds state for the customers that it serves only.
"""

import dataclasses
import hashlib
from typing import Collection

from . import bundle


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True, order=True)
class _Ranked:
    weight: int
    instance: str


def rank(*, customer: str, instance: str) -> int:
    """Return the rendezvous weight of an entry for a customer."""
    digest = hashlib.blake2b(
        f'{customer}\0{instance}'.encode(), digest_size=8
    ).digest()
    return int.from_bytes(digest, 'big')


def entries_of(
    customer: bundle.Customer, live_entries: Collection[str]
) -> tuple[str, ...]:
    """Return the entries that serve a customer, best first."""
    ranked = sorted(
        (
            _Ranked(
                weight=rank(customer=customer.name, instance=instance),
                instance=instance,
            )
            for instance in live_entries
        ),
        reverse=True,
    )
    return tuple(one.instance for one in ranked[: max(1, customer.entries)])


def equal_share(
    *,
    customer: bundle.Customer,
    entry: str,
    live_entries: Collection[str],
) -> float:
    """Return the fraction of a customer's limits that ``entry`` may use.

    It is 0 for an entry that does not serve the customer.
    """
    serving = entries_of(customer, live_entries)
    if entry not in serving:
        return 0.0
    return 1.0 / len(serving)
