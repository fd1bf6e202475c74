"""A bundle as it is rolled out: a manifest of content-addressed parts.

A whole bundle passes a megabyte once it names tens of thousands of
customers, and a change mostly touches one.  So customers lie in buckets by
a hash of their name, and a process fetches only the parts that it has not.
"""

import dataclasses
import hashlib
from typing import Any
from typing import Iterable
from typing import Mapping
from typing import TypeVar
import zlib

import msgspec

from . import bundle
from . import store

#: Names the manifest of the bundle in force.
CURRENT = store.Key(kind='bundle', name='current')
T = TypeVar('T')

CUSTOMERS_PER_PART = 256
GENERAL = 'general'
CUSTOMERS = 'customers'
DIGEST_BYTES = 32
#: Longest text of a part, so that a small content cannot fill the memory.
MOST_PART_BYTES = 8_000_000
MOST_MANIFEST_BYTES = 4_000_000
#: Longest value that the platform's store takes, with room to spare.
MOST_VALUE_BYTES = 1_000_000


class SignOff(msgspec.Struct, frozen=True, kw_only=True):
    """An operator's signature over a manifest's digest, hexadecimal."""

    operator: str
    signature: str


class PartRef(msgspec.Struct, frozen=True, kw_only=True):
    """Names a part.

    :ivar name: ``general`` or ``customers-N``.
    :ivar digest: hexadecimal BLAKE2b-256 of the part's JSON text.
    :ivar size: bytes of that text.
    """

    name: str
    digest: str
    size: int


class Manifest(msgspec.Struct, frozen=True, kw_only=True):
    """What is rolled out under one number.

    :ivar author: operator who rolled it.
    :ivar rolled_at: wall clock in seconds.
    :ivar nonce: recognises a writer's own write after a lost reply.
    :ivar replaces: nonce of the roll that this one replaced.
    """

    number: int
    note: str
    parts: tuple[PartRef, ...]
    author: str = ''
    rolled_at: float = 0.0
    nonce: str = ''
    replaces: str = ''
    sign_offs: tuple[SignOff, ...] = ()

    @property
    def digest(self) -> str:
        """Return the hexadecimal digest that operators sign."""
        signed = _Signed(number=self.number, note=self.note, parts=self.parts)
        return _digest(msgspec.json.encode(signed))


class _Signed(msgspec.Struct, frozen=True, kw_only=True):
    """What a sign-off covers."""

    number: int
    note: str
    parts: tuple[PartRef, ...]


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Part:
    """A part's content, compressed, under the digest of its text."""

    digest: str
    content: bytes


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Split:
    """A bundle cut into parts; the manifest is not signed yet."""

    manifest: Manifest
    parts: tuple[Part, ...]


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Broken:
    """Parts that make no bundle."""

    detail: str


class General(msgspec.Struct, frozen=True, kw_only=True):
    """The general part: everything but the customers."""

    services: tuple[bundle.Service, ...]
    routes: tuple[bundle.Route, ...]
    groups: tuple[bundle.Group, ...]


def key_part(digest: str) -> store.Key:
    """Name a part in the store."""
    return store.Key(kind='parts', name=digest)


def key_proposal(digest: str) -> store.Key:
    """Name a proposal, a manifest that has not been rolled."""
    return store.Key(kind='proposals', name=digest)


def key_sign_off(digest: str, operator: str) -> store.Key:
    """Name an operator's sign-off of a proposal."""
    return store.Key(kind='sign-offs', name=f'{digest}-{operator}')


def choose_bucket(*, customer: str, buckets: int) -> int:
    """Return the bucket in which a customer lies."""
    digest = hashlib.blake2b(customer.encode(), digest_size=4).digest()
    return int.from_bytes(digest, 'big') % buckets


def split(*, whole: bundle.Bundle) -> Split:
    """Cut a bundle into parts."""
    buckets = _count_buckets(len(whole.customers))
    general = General(
        services=whole.services, routes=whole.routes, groups=whole.groups
    )
    texts = {GENERAL: _encode_canonical(general, General)}
    lists: list[list[bundle.Customer]] = [[] for _ in range(buckets)]
    for customer in whole.customers:
        bucket = choose_bucket(customer=customer.name, buckets=buckets)
        lists[bucket].append(customer)
    for number, customers in enumerate(lists):
        customers.sort(key=lambda one: one.name)
        texts[f'{CUSTOMERS}-{number}'] = _encode_canonical(
            customers, list[bundle.Customer]
        )
    refs = tuple(
        PartRef(name=name, digest=_digest(text), size=len(text))
        for name, text in texts.items()
    )
    parts = tuple(
        Part(digest=_digest(text), content=zlib.compress(text))
        for text in texts.values()
    )
    manifest = Manifest(number=whole.number, note=whole.note, parts=refs)
    return Split(manifest=manifest, parts=parts)


def join(
    *, manifest: Manifest, parts: Mapping[str, bytes]
) -> bundle.Bundle | Broken:
    """Return the bundle of which a manifest names the parts.

    :param parts: compressed contents by digest.
    """
    customers: list[bundle.Customer] = []
    general: General | None = None
    for ref in manifest.parts:
        content = parts.get(ref.digest, b'')
        if ref.name == GENERAL:
            found = read_general(ref=ref, content=content)
            if isinstance(found, Broken):
                return found
            general = found
            continue
        read = read_customers(ref=ref, content=content)
        if isinstance(read, Broken):
            return read
        customers += read
    if general is None:
        return Broken(detail='the general part is missing')
    return bundle.Bundle(
        number=manifest.number,
        note=manifest.note,
        services=general.services,
        routes=general.routes,
        groups=general.groups,
        customers=tuple(customers),
    )


def read_general(*, ref: PartRef, content: bytes) -> General | Broken:
    """Return the general part in a compressed content."""
    return _read_part(ref, content, General)


def read_customers(
    *, ref: PartRef, content: bytes
) -> list[bundle.Customer] | Broken:
    """Return the customers in a compressed content."""
    return _read_part(ref, content, list[bundle.Customer])


def _read_part(ref: PartRef, content: bytes, shape: type[T]) -> T | Broken:
    text = open_part(ref=ref, content=content)
    if isinstance(text, Broken):
        return text
    try:
        value = msgspec.json.decode(text, type=shape)
    except msgspec.MsgspecError as error:
        return Broken(detail=f'part {ref.name}: {error}')
    # A newer version may have written a field that this one would drop
    # without a word, a limit for instance.  One would notice by a limit that
    # holds at some instances only.  So such a part is not taken.
    if msgspec.json.encode(value) != text:
        return Broken(
            detail=f'part {ref.name} holds what this version does not know'
        )
    return value


def open_part(*, ref: PartRef, content: bytes) -> bytes | Broken:
    """Return a part's text if it is the one that the manifest names."""
    if ref.size > MOST_PART_BYTES:
        return Broken(detail=f'part {ref.name} is too large')
    try:
        text = zlib.decompressobj().decompress(content, ref.size + 1)
    except zlib.error as error:
        return Broken(detail=f'part {ref.name}: {error}')
    if len(text) != ref.size or _digest(text) != ref.digest:
        return Broken(detail=f'part {ref.name} does not match its digest')
    return text


def encode(manifest: Manifest) -> bytes:
    """Return a manifest's JSON text, compressed."""
    return zlib.compress(msgspec.json.encode(manifest))


def decode(content: bytes) -> Manifest | Broken:
    """Return the manifest in a compressed JSON text."""
    try:
        text = zlib.decompressobj().decompress(content, MOST_MANIFEST_BYTES)
        return msgspec.json.decode(text, type=Manifest)
    except (zlib.error, msgspec.MsgspecError) as error:
        return Broken(detail=f'the manifest cannot be read: {error}')


def find_missing(
    *, manifest: Manifest, have: Iterable[str]
) -> tuple[str, ...]:
    """Return the digests of the parts that a process has yet to fetch."""
    known = set(have)
    return tuple(
        ref.digest for ref in manifest.parts if ref.digest not in known
    )


def _count_buckets(customers: int) -> int:
    buckets = 1
    while buckets * CUSTOMERS_PER_PART < customers:
        buckets *= 2
    return buckets


def _encode_canonical(value: Any, shape: Any) -> bytes:
    """Return the one JSON text of a value: a whole float reads 20.0."""
    text = msgspec.json.encode(value)
    return msgspec.json.encode(msgspec.json.decode(text, type=shape))


def _digest(text: bytes) -> str:
    return hashlib.blake2b(text, digest_size=DIGEST_BYTES).hexdigest()
