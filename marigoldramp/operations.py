"""What operators do with bundles, apart from the command line.

A bundle is submitted (its parts and a proposal are stored under their
digests), signed by operators, and rolled: the one object that names the
bundle in force is replaced if its number is lower.  Every operation leaves
an entry in the audit trail.
"""

import dataclasses
import random as random_module
import secrets
import time
from typing import Callable

import anyio
import msgspec

from . import audit
from . import bundle
from . import manifests
from . import settings as settings_module
from . import signatures
from . import store as store_module
from . import store_retries

#: Parts written or read at once.
CONCURRENT_CALLS = 16

Stored = store_module.Stored
Absent = store_module.Absent
Unavailable = store_module.Unavailable
Uncertain = store_module.Uncertain


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Refused:
    """The operation was not done, and doing it again changes nothing."""

    detail: str


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class PlatformAway:
    """The store could not be reached; the operation was not done."""

    detail: str


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class OutcomeUncertain:
    """The store may or may not have taken the operation in."""

    detail: str


Failure = Refused | PlatformAway | OutcomeUncertain


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


class Operations:
    """Operations of one operator on one store.

    :param security: names the operators and how many must sign.
    :param operator: who acts, for the audit trail.
    :param wall: wall clock in seconds.
    """

    def __init__(
        self,
        *,
        store: store_module.PlatformStore,
        security: settings_module.Security,
        operator: str,
        random: random_module.Random | None = None,
        wall: Callable[[], float] = time.time,
        sleep: store_retries.Sleep = anyio.sleep,
    ) -> None:
        self.random = random or random_module.SystemRandom()
        self.store = store_retries.RetryingStore(
            store=store, random=self.random, sleep=sleep
        )
        self.security = security
        self.operator = operator
        self.wall = wall

    async def read_current(
        self,
    ) -> 'Current | Refused | PlatformAway':
        """Read the manifest of the bundle in force."""
        found = await self.store.read(key=manifests.CURRENT)
        match found:
            case Unavailable():
                return PlatformAway(detail=found.detail)
            case Absent():
                return Current(manifest=None, version=store_module.CREATE)
            case Stored():
                manifest = manifests.decode(found.value)
        if isinstance(manifest, manifests.Broken):
            return Refused(detail=f'{manifests.CURRENT}: {manifest.detail}')
        return Current(manifest=manifest, version=found.version)

    async def submit(self, *, whole: bundle.Bundle) -> Submitted | Failure:
        """Store a bundle's parts and its proposal."""
        current = await self.read_current()
        if not isinstance(current, Current):
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
        failure = await self._write_parts(parts)
        if failure is not None:
            return failure
        manifest = msgspec.structs.replace(
            split.manifest, author=self.operator, rolled_at=self.wall()
        )
        value = manifests.encode(manifest)
        failure = await self._create(
            manifests.key_proposal(manifest.digest), value
        )
        if failure is not None:
            return failure
        await self.note(audit.Action.SUBMITTED, manifest)
        return Submitted(
            manifest=manifest,
            parts_written=len(parts),
            bytes_written=sum(len(one.content) for one in parts) + len(value),
        )

    async def sign(self, *, digest: str, private: str) -> Signed | Failure:
        """Store this operator's sign-off of a proposal.

        :param private: the operator's private key, hexadecimal.
        """
        manifest = await self.read_proposal(digest=digest)
        if not isinstance(manifest, manifests.Manifest):
            return manifest
        public = self.security.operators.get(self.operator)
        if public is None:
            return Refused(detail=f'{self.operator} is no known operator')
        try:
            signature = signatures.sign(digest=digest, private=private)
        except ValueError:
            return Refused(detail='the private key is malformed')
        if not signatures.verify(
            digest=digest, signature=signature, public=public
        ):
            return Refused(
                detail='the private key does not belong to the public key '
                f'of {self.operator} in the settings'
            )
        sign_off = manifests.SignOff(
            operator=self.operator, signature=signature
        )
        failure = await self._put_sign_off(digest, sign_off)
        if failure is not None:
            return failure
        await self.note(audit.Action.SIGNED, manifest)
        signed = await self.read_sign_offs(digest=digest)
        if isinstance(signed, PlatformAway):
            return Signed(manifest=manifest, operators=(self.operator,))
        names = tuple(one.operator for one in signed)
        return Signed(manifest=manifest, operators=names)

    async def _put_sign_off(
        self, digest: str, sign_off: manifests.SignOff
    ) -> Failure | None:
        """Write a sign-off, also over a wrong one in the same name."""
        key = manifests.key_sign_off(digest, sign_off.operator)
        value = msgspec.json.encode(sign_off)
        found = await self.store.read(key=key)
        match found:
            case Unavailable():
                return PlatformAway(detail=found.detail)
            case Stored() if found.value == value:
                return None
            case Stored():
                expected = found.version
            case Absent():
                expected = store_module.CREATE
        result = await self.store.write(
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
        self, *, digest: str
    ) -> manifests.Manifest | Refused | PlatformAway:
        """Read a proposal and check that it is what the digest names."""
        found = await self.store.read(key=manifests.key_proposal(digest))
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
        self, *, digest: str
    ) -> tuple[manifests.SignOff, ...] | PlatformAway:
        """Read the sign-offs that the known operators gave a proposal."""
        found: list[manifests.SignOff] = []
        for name in sorted(self.security.operators):
            key = manifests.key_sign_off(digest, name)
            stored = await self.store.read(key=key)
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

    async def note(
        self,
        action: audit.Action,
        manifest: manifests.Manifest,
        detail: str = '',
    ) -> bool:
        """Add an entry to the audit trail; true if it stands there."""
        entry = audit.Entry(
            at=self.wall(),
            actor=self.operator,
            action=action,
            number=manifest.number,
            digest=manifest.digest,
            detail=detail,
        )
        result = await audit.append(
            self.store, entry=entry, random=self.random
        )
        return isinstance(result, store_module.Written)

    async def _write_parts(
        self, parts: list[manifests.Part]
    ) -> Failure | None:
        limiter = anyio.CapacityLimiter(CONCURRENT_CALLS)
        failures: list[Failure] = []

        async def write(part: manifests.Part) -> None:
            async with limiter:
                if failures:
                    return
                failure = await self._create(
                    manifests.key_part(part.digest), part.content
                )
                if failure is not None:
                    failures.append(failure)

        async with anyio.create_task_group() as group:
            for part in parts:
                group.start_soon(write, part)
        return failures[0] if failures else None

    async def _create(
        self, key: store_module.Key, value: bytes
    ) -> Failure | None:
        """Create an object named by its content, or find it there."""
        result = await self.store.write(
            key=key, value=value, expected=store_module.CREATE
        )
        match result:
            case Unavailable():
                return PlatformAway(detail=result.detail)
            case Uncertain():
                # Creating it once more does no harm, so this is no
                # uncertainty for the operator: the operation is not done.
                return PlatformAway(detail=result.detail)
        return None


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Current:
    """The bundle in force in the store; no manifest before the first roll."""

    manifest: manifests.Manifest | None
    version: int

    @property
    def number(self) -> int:
        """Return its number, 0 before the first roll."""
        return self.manifest.number if self.manifest else 0

    @property
    def nonce(self) -> str:
        """Return its nonce, empty before the first roll."""
        return self.manifest.nonce if self.manifest else ''

    def digests(self) -> set[str]:
        """Return the digests of its parts."""
        if self.manifest is None:
            return set()
        return {ref.digest for ref in self.manifest.parts}


def make_nonce() -> str:
    """Return a nonce by which a writer recognises its own write."""
    return secrets.token_hex(16)
