"""Signed bundles for tests, and how operators put them into a store."""

import hashlib

import msgspec

from marigoldramp import bundle
from marigoldramp import manifests
from marigoldramp import settings
from marigoldramp import signatures
from marigoldramp import store

OPERATORS = ('ann', 'ben')
KEYS = {name: signatures.make_key_pair() for name in OPERATORS}
SECURITY = settings.Security(
    fleet_key='env:KEY',
    sign_offs=2,
    operators={name: pair.public for name, pair in KEYS.items()},
)


def make_key_digest(customer):
    return hashlib.sha256(customer.encode()).hexdigest()


def make_bundle(number, *, customers=3, note=''):
    return bundle.Bundle(
        number=number,
        note=note,
        services=(bundle.Service(name='s', kind='plain_service'),),
        customers=tuple(
            bundle.Customer(
                name=f'customer-{each}',
                key_digests=(make_key_digest(f'customer-{each}'),),
                services=('s',),
            )
            for each in range(customers)
        ),
    )


def sign(split, *, operators=OPERATORS):
    """Return the manifest of a split bundle with sign-offs."""
    return msgspec.structs.replace(
        split.manifest,
        sign_offs=tuple(
            manifests.SignOff(
                operator=name,
                signature=signatures.sign(
                    digest=split.manifest.digest, private=KEYS[name].private
                ),
            )
            for name in operators
        ),
    )


async def write(table, key, value):
    """Write an object of a store's table whatever its version."""
    read = await table.read(key=key)
    expected = store.CREATE
    if isinstance(read, store.Stored):
        expected = read.version
    await table.write(key=key, value=value, expected=expected)


async def publish_parts(table, whole):
    """Put a bundle's parts into a store's table; return it split."""
    split = manifests.split(whole=whole)
    for part in split.parts:
        await write(table, manifests.key_part(part.digest), part.content)
    return split


async def publish(table, whole, *, manifest=None):
    """Put a bundle's parts, then its manifest, into a store's table."""
    split = await publish_parts(table, whole)
    manifest = manifest or sign(split)
    await write(table, manifests.CURRENT, manifests.encode(manifest))
