"""What operators' operations on bundles share, apart from the command line.

A bundle is submitted and signed (``proposals``) and then rolled (``rolls``).
Each operation acts in an operator's name on the platform's store, leaves an
entry in the audit trail and ends with a result or one of three failures.
"""

import dataclasses
import random as random_module
import secrets
import time
from typing import Callable

import anyio

from . import audit
from . import manifests
from . import settings as settings_module
from . import store as store_module
from . import store_retries

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


class Operations:
    """Operations of one operator on one store.

    :param security: names the operators and how many must sign.
    :param operator: who acts, for the audit trail.
    :param wall: wall clock in seconds.
    """

    __slots__ = ('operator', 'random', 'security', 'store', 'wall')

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
    ) -> Current | Refused | PlatformAway:
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
            nonce=manifest.nonce,
            detail=detail,
        )
        result = await audit.append(
            self.store, entry=entry, random=self.random
        )
        return isinstance(result, store_module.Written)

    async def create(
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


def make_nonce() -> str:
    """Return a nonce by which a writer recognises its own write."""
    return secrets.token_hex(16)
