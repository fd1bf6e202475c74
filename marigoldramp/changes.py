"""What a bundle would change against the one in force in the store.

Only parts that differ are read, so that the change of one customer among
tens of thousands costs two reads.
"""

import dataclasses
from typing import Mapping
from typing import Sequence

import anyio

from . import bundle
from . import differences
from . import manifests
from . import operations
from . import proposals
from . import store as store_module

CONCURRENT_READS = 16

Contents = dict[str, bytes]
Refs = Sequence[manifests.PartRef]


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Comparison:
    """Differences of a bundle to the one in force.

    :ivar in_force: number of the bundle in force, 0 for none.
    """

    in_force: int
    number: int
    differences: tuple[differences.Difference, ...]


async def compare_bundle(
    operator: operations.Operations, *, whole: bundle.Bundle
) -> Comparison | operations.Failure:
    """Compare a bundle that need not be in the store."""
    split = manifests.split(whole=whole)
    contents = {part.digest: part.content for part in split.parts}
    return await _compare(operator, split.manifest, contents)


async def compare_proposal(
    operator: operations.Operations, *, digest: str
) -> Comparison | operations.Failure:
    """Compare a bundle that was submitted."""
    proposal = await proposals.read_proposal(operator, digest=digest)
    if not isinstance(proposal, manifests.Manifest):
        return proposal
    return await _compare(operator, proposal, {})


async def _compare(
    operator: operations.Operations,
    manifest: manifests.Manifest,
    contents: Mapping[str, bytes],
) -> Comparison | operations.Failure:
    current = await operator.read_current()
    if not isinstance(current, operations.Current):
        return current
    before = current.manifest.parts if current.manifest else ()
    old_refs = _leave_out(before, manifest.parts)
    new_refs = _leave_out(manifest.parts, before)
    needed = [
        ref for ref in (*old_refs, *new_refs) if ref.digest not in contents
    ]
    read = await _read_parts(operator, needed)
    if not isinstance(read, dict):
        return read
    read.update(contents)
    old = _join(current.number, old_refs, read)
    new = _join(manifest.number, new_refs, read)
    for joined in (old, new):
        if isinstance(joined, manifests.Broken):
            return operations.Refused(detail=joined.detail)
    assert isinstance(old, bundle.Bundle) and isinstance(new, bundle.Bundle)
    return Comparison(
        in_force=current.number,
        number=manifest.number,
        differences=differences.compare(before=old, after=new),
    )


def _leave_out(refs: Refs, others: Refs) -> list[manifests.PartRef]:
    known = {ref.digest for ref in others}
    return [ref for ref in refs if ref.digest not in known]


def _join(
    number: int, refs: Refs, contents: Mapping[str, bytes]
) -> bundle.Bundle | manifests.Broken:
    """Join some parts; what is missing is the same on both sides."""
    customers: list[bundle.Customer] = []
    general = manifests.General(services=(), routes=(), groups=())
    for ref in refs:
        content = contents[ref.digest]
        if ref.name == manifests.GENERAL:
            found = manifests.read_general(ref=ref, content=content)
            if isinstance(found, manifests.Broken):
                return found
            general = found
            continue
        read = manifests.read_customers(ref=ref, content=content)
        if isinstance(read, manifests.Broken):
            return read
        customers += read
    return bundle.Bundle(
        number=max(number, 1),
        services=general.services,
        routes=general.routes,
        groups=general.groups,
        customers=tuple(customers),
    )


async def _read_parts(
    operator: operations.Operations, refs: Refs
) -> Contents | operations.Failure:
    limiter = anyio.CapacityLimiter(CONCURRENT_READS)
    contents: Contents = {}
    failures: list[operations.Failure] = []

    async def read(ref: manifests.PartRef) -> None:
        async with limiter:
            if failures:
                return
            found = await operator.store.read(
                key=manifests.key_part(ref.digest)
            )
        match found:
            case store_module.Stored():
                contents[ref.digest] = found.value
            case store_module.Absent():
                detail = f'the part {ref.name} is not in the store'
                failures.append(operations.Refused(detail=detail))
            case store_module.Unavailable():
                failures.append(operations.PlatformAway(detail=found.detail))

    async with anyio.create_task_group() as group:
        for ref in refs:
            group.start_soon(read, ref)
    return failures[0] if failures else contents
