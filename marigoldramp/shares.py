"""Which entries serve a customer, and the share of its limits at each.

A customer is served by few entries out of all, chosen by rendezvous hashing
over the live ones.  Every process that sees the same entries chooses the
same few without asking anybody, a customer's burst touches few entries, and
an entry holds state for the customers that it serves only.
"""

import dataclasses
import hashlib
import math
from typing import Callable
from typing import Collection

from . import bundle

#: Seconds between two looks at which entries are up.
LOOK_SECONDS = 0.25


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


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class _Sharing:
    """What a customer's share depends on, besides the live entries."""

    customer: str
    entries: int


class Shares:
    """Shares of customers at one entry, remembered while nothing changes.

    Ranking 350 entries takes over a millisecond, and each call needs its
    customer's share.

    :param live_entries: returns the names of the entries that are up.
    :param clock: seconds; the live entries are looked at again by it.
    :param most: customers remembered at once.
    """

    __slots__ = (
        '_entry',
        '_live_entries',
        '_clock',
        '_most',
        '_live',
        '_looked_at',
        '_known',
    )

    def __init__(
        self,
        *,
        entry: str,
        live_entries: Callable[[], Collection[str]],
        clock: Callable[[], float],
        most: int,
    ) -> None:
        self._entry = entry
        self._live_entries = live_entries
        self._clock = clock
        self._most = most
        self._live: frozenset[str] = frozenset()
        self._looked_at = -math.inf
        self._known: dict[_Sharing, float] = {}

    def find(self, customer: bundle.Customer) -> float:
        """Return the share of a customer's limits that this entry may use."""
        self._look()
        sharing = _Sharing(customer=customer.name, entries=customer.entries)
        share = self._known.get(sharing)
        if share is None:
            share = equal_share(
                customer=customer, entry=self._entry, live_entries=self._live
            )
            if len(self._known) >= self._most:
                self._known.clear()
            self._known[sharing] = share
        return share

    def _look(self) -> None:
        now = self._clock()
        if now - self._looked_at < LOOK_SECONDS:
            return
        self._looked_at = now
        live = frozenset(self._live_entries())
        if live != self._live:
            self._live = live
            self._known.clear()
