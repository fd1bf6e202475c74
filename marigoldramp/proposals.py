"""Bundles that wait for sign-off.

A bundle is submitted: its parts and a proposal, which is a manifest without
sign-offs, are stored under their digests.  Operators then sign the digest,
each in an object of their own, so that no two of them write the same one.
"""

import dataclasses

import anyio
import msgspec

from . import audit
from . import bundle
from . import manifests
from . import operations
from . import signatures
from . import store as store_module
from . import store_retries

#: Parts written at once.
CONCURRENT_WRITES = 16

Failure = operations.Failure
Refused = operations.Refused
PlatformAway = operations.PlatformAway
Stored = store_module.Stored
Absent = store_module.Absent
Unavailable = store_module.Unavailable


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Submitted:
    """A proposal stands in the store.

    :ivar parts_written: parts that were not in force already.
    :ivar bytes_written: bytes of these parts and of the proposal.
    """

    manifest: manifests.Manifest
    parts_written: int
    bytes_written: int


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Signed:
    """An operator's sign-off stands in the store.

    :ivar operators: all operators who have signed this proposal.
    """

    manifest: manifests.Manifest
    operators: tuple[str, ...]


async def submit(
    operator: operations.Operations, *, whole: bundle.Bundle
) -> Submitted | Failure:
    """Store a bundle's parts and its proposal."""
    current = await operator.read_current()
    if not isinstance(current, operations.Current):
        return current
    if whole.number <= current.number:
        return Refused(
            detail=f'bundle {current.number} is in force; the number '
            f'must be greater than that, not {whole.number}'
        )
    split = manifests.split(whole=whole)
    for part in split.parts:
        if len(part.content) > manifests.MOST_VALUE_BYTES:
            return Refused(
                detail=f'a part of the bundle has {len(part.content)} '
                'bytes; the store takes '
                f'{manifests.MOST_VALUE_BYTES}'
            )
    known = current.digests()
    parts = [part for part in split.parts if part.digest not in known]
    failure = await _write_parts(operator, parts)
    if failure is not None:
        return failure
    manifest = msgspec.structs.replace(
        split.manifest, author=operator.operator, rolled_at=operator.wall()
    )
    value = manifests.encode(manifest)
    failure = await operator.create(
        manifests.key_proposal(manifest.digest), value
    )
    if failure is not None:
        return failure
    await operator.note(audit.Action.SUBMITTED, manifest)
    return Submitted(
        manifest=manifest,
        parts_written=len(parts),
        bytes_written=sum(len(one.content) for one in parts) + len(value),
    )


async def sign(
    operator: operations.Operations, *, digest: str, private: str
) -> Signed | Failure:
    """Store this operator's sign-off of a proposal.

    :param private: the operator's private key, hexadecimal.
    """
    manifest = await read_proposal(operator, digest=digest)
    if not isinstance(manifest, manifests.Manifest):
        return manifest
    public = operator.security.operators.get(operator.operator)
    if public is None:
        return Refused(detail=f'{operator.operator} is no known operator')
    try:
        signature = signatures.sign(digest=digest, private=private)
    except ValueError:
        return Refused(detail='the private key is malformed')
    if not signatures.verify(
        digest=digest, signature=signature, public=public
    ):
        return Refused(
            detail='the private key does not belong to the public key '
            f'of {operator.operator} in the settings'
        )
    sign_off = manifests.SignOff(
        operator=operator.operator, signature=signature
    )
    failure = await _put_sign_off(operator, digest, sign_off)
    if failure is not None:
        return failure
    await operator.note(audit.Action.SIGNED, manifest)
    signed = await read_sign_offs(operator, digest=digest)
    if isinstance(signed, PlatformAway):
        return Signed(manifest=manifest, operators=(operator.operator,))
    names = tuple(one.operator for one in signed)
    return Signed(manifest=manifest, operators=names)


async def _put_sign_off(
    operator: operations.Operations, digest: str, sign_off: manifests.SignOff
) -> Failure | None:
    """Write a sign-off, also over a wrong one in the same name."""
    key = manifests.key_sign_off(digest, sign_off.operator)
    value = msgspec.json.encode(sign_off)
    found = await operator.store.read(key=key)
    match found:
        case Unavailable():
            return PlatformAway(detail=found.detail)
        case Stored() if found.value == value:
            return None
        case Stored():
            expected = found.version
        case Absent():
            expected = store_module.CREATE
    result = await operator.store.write(
        key=key, value=value, expected=expected
    )
    match result:
        case store_module.Written():
            return None
        case store_retries.Taken():
            return Refused(
                detail=f'somebody else writes sign-offs as '
                f'{sign_off.operator}'
            )
    # Signing once more does no harm, so an uncertain outcome counts as
    # not done.
    return PlatformAway(detail=result.detail)


async def read_proposal(
    operator: operations.Operations, *, digest: str
) -> manifests.Manifest | Refused | PlatformAway:
    """Read a proposal and check that it is what the digest names."""
    found = await operator.store.read(key=manifests.key_proposal(digest))
    match found:
        case Unavailable():
            return PlatformAway(detail=found.detail)
        case Absent():
            return Refused(detail=f'no proposal has the digest {digest}')
        case Stored():
            manifest = manifests.decode(found.value)
    if isinstance(manifest, manifests.Broken):
        return Refused(detail=manifest.detail)
    if manifest.digest != digest:
        return Refused(detail='the proposal does not match its digest')
    return manifest


async def read_sign_offs(
    operator: operations.Operations, *, digest: str
) -> tuple[manifests.SignOff, ...] | PlatformAway:
    """Read the sign-offs that the known operators gave a proposal."""
    found: list[manifests.SignOff] = []
    for name in sorted(operator.security.operators):
        key = manifests.key_sign_off(digest, name)
        stored = await operator.store.read(key=key)
        match stored:
            case Unavailable():
                return PlatformAway(detail=stored.detail)
            case Stored():
                try:
                    sign_off = msgspec.json.decode(
                        stored.value, type=manifests.SignOff
                    )
                except msgspec.MsgspecError:
                    continue
                found.append(sign_off)
    return tuple(found)


async def _write_parts(
    operator: operations.Operations, parts: list[manifests.Part]
) -> Failure | None:
    limiter = anyio.CapacityLimiter(CONCURRENT_WRITES)
    failures: list[Failure] = []

    async def write(part: manifests.Part) -> None:
        async with limiter:
            if failures:
                return
            failure = await operator.create(
                manifests.key_part(part.digest), part.content
            )
            if failure is not None:
                failures.append(failure)

    async with anyio.create_task_group() as group:
        for part in parts:
            group.start_soon(write, part)
    return failures[0] if failures else None
