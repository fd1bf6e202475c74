"""Customers of the bundle in force, found by the digest of a caller key.

Tens of thousands of customers as objects fill some 25 MB in every process,
and a process serves few of them.  So the parts stay compressed, with a small
index of the key digests in each, and a customer is decoded when it is first
asked for.
"""

import array
import bisect
import collections
import dataclasses
from typing import Iterator
from typing import Mapping

import anyio.lowlevel

from . import bundle
from . import manifests

#: Decoded customers kept; the longest unused goes first.
MOST_DECODED = 4096

_PREFIX_DIGITS = 16


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class _Part:
    """A part with the sorted first 64 bits of the key digests in it."""

    ref: manifests.PartRef
    content: bytes
    prefixes: 'array.array[int]'
    count: int

    def may_hold(self, prefix: int) -> bool:
        index = bisect.bisect_left(self.prefixes, prefix)
        return index < len(self.prefixes) and self.prefixes[index] == prefix


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class _Decoded:
    """A customer and the digest of the part from which it comes."""

    part: str
    customer: bundle.Customer


class CustomerTable:
    """Customers of one bundle; :func:`build` makes it."""

    __slots__ = ('_decoded', '_most', '_parts')

    def __init__(
        self, *, parts: tuple[_Part, ...] = (), most: int = MOST_DECODED
    ) -> None:
        self._parts = parts
        self._most = most
        self._decoded: collections.OrderedDict[str, _Decoded] = (
            collections.OrderedDict()
        )

    def __len__(self) -> int:
        return sum(part.count for part in self._parts)

    def __iter__(self) -> Iterator[bundle.Customer]:
        """Decode and return all customers, part by part."""
        for part in self._parts:
            yield from _read(part)

    def find(self, key_digest: str) -> bundle.Customer | None:
        """Return the customer that has a key with this digest.

        :param key_digest: hexadecimal SHA-256 of the caller key.
        """
        decoded = self._decoded.get(key_digest)
        if decoded is not None:
            self._decoded.move_to_end(key_digest)
            return decoded.customer
        prefix = _read_prefix(key_digest)
        for part in self._parts:
            if not part.may_hold(prefix):
                continue
            for customer in _read(part):
                if key_digest in customer.key_digests:
                    self._keep(key_digest, part, customer)
                    return customer
        return None

    def _keep(
        self, key_digest: str, part: _Part, customer: bundle.Customer
    ) -> None:
        self._decoded[key_digest] = _Decoded(
            part=part.ref.digest, customer=customer
        )
        if len(self._decoded) > self._most:
            self._decoded.popitem(last=False)

    def parts(self) -> dict[str, _Part]:
        """Return the parts by digest."""
        return {part.ref.digest: part for part in self._parts}

    def take_over(self, before: 'CustomerTable') -> None:
        """Keep what an earlier table has decoded from unchanged parts."""
        digests = self.parts()
        for key_digest, decoded in before._decoded.items():
            if decoded.part in digests:
                self._decoded[key_digest] = decoded


async def build(
    *,
    manifest: manifests.Manifest,
    parts: Mapping[str, bytes],
    before: CustomerTable | None = None,
) -> CustomerTable | manifests.Broken:
    """Index the customers of a manifest; unchanged parts are taken over.

    Other tasks run between two parts, as indexing them all at the start
    takes some tenths of a second.

    :param parts: compressed contents by digest.
    """
    known = {} if before is None else before.parts()
    found: list[_Part] = []
    for ref in manifest.parts:
        if ref.name == manifests.GENERAL:
            continue
        part = known.get(ref.digest)
        if part is None:
            made = _index(ref, parts.get(ref.digest, b''))
            if isinstance(made, manifests.Broken):
                return made
            part = made
            await anyio.lowlevel.checkpoint()
        found.append(part)
    table = CustomerTable(parts=tuple(found))
    if before is not None:
        table.take_over(before)
    return table


def _index(ref: manifests.PartRef, content: bytes) -> _Part | manifests.Broken:
    customers = manifests.read_customers(ref=ref, content=content)
    if isinstance(customers, manifests.Broken):
        return customers
    prefixes = sorted(
        _read_prefix(digest)
        for customer in customers
        for digest in customer.key_digests
    )
    return _Part(
        ref=ref,
        content=content,
        prefixes=array.array('Q', prefixes),
        count=len(customers),
    )


def _read(part: _Part) -> list[bundle.Customer]:
    customers = manifests.read_customers(ref=part.ref, content=part.content)
    assert not isinstance(customers, manifests.Broken)  # checked by _index
    return customers


def _read_prefix(key_digest: str) -> int:
    return int(key_digest[:_PREFIX_DIGITS], 16)
