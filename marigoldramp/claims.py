"""Binds the keys that callers make up, through the platform's store.

A caller's own idempotency key names no agent.  The first entry that sees it
creates a claim object which pairs it with a bound key; every other entry
finds the claim and uses the same bound key, so all of them reach the same
record.  This costs a store write a call, and cannot be had in an outage.
"""

import dataclasses
import hashlib
from typing import Callable

import msgspec

from . import outcomes
from . import store

KIND = 'claims'
RETRY_AFTER_OUTAGE = 2.0


class Claim(msgspec.Struct, frozen=True, kw_only=True):
    """Value of a claim object.

    :ivar bound: the bound key under which the call is run.
    :ivar made_at: wall clock in seconds, for clearing old claims.
    """

    bound: str
    made_at: float


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Claimed:
    """The bound key that all entries use for a caller's key.

    :ivar first: this claim is new, so no attempt was ever sent under it.
    :ivar version: version of the claim object.
    """

    bound: str
    first: bool
    version: int


class Claims:
    """Claims of one entry's callers.

    :param platform: the platform's object API.
    :param wall: wall clock in seconds.
    """

    __slots__ = ('_platform', '_wall')

    def __init__(
        self, *, platform: store.PlatformStore, wall: Callable[[], float]
    ) -> None:
        self._platform = platform
        self._wall = wall

    async def claim(
        self, *, customer: str, service: str, key: str, bound: str
    ) -> Claimed | outcomes.OutcomeUnknown:
        """Pair a caller's key with ``bound``, unless it is paired already.

        Where the store cannot tell, an earlier request with the same key
        may have run: the outcome is unknown, not "not run".
        """
        name = _name(customer=customer, service=service, key=key)
        return await self._pair(name, bound, store.CREATE)

    async def replace(
        self,
        *,
        customer: str,
        service: str,
        key: str,
        old: Claimed,
        bound: str,
    ) -> Claimed | outcomes.OutcomeUnknown:
        """Pair a caller's key anew after its bound key has been barred.

        A barred key never runs, so the caller's key can be given another
        chance; the conditional update lets one entry only do so.
        """
        name = _name(customer=customer, service=service, key=key)
        return await self._pair(name, bound, old.version)

    async def _pair(
        self, name: store.Key, bound: str, expected: int
    ) -> Claimed | outcomes.OutcomeUnknown:
        value = msgspec.msgpack.encode(
            Claim(bound=bound, made_at=self._wall())
        )
        written = await self._platform.write(
            key=name, value=value, expected=expected
        )
        match written:
            case store.Written(version=version):
                return Claimed(bound=bound, first=True, version=version)
            case store.Conflict() | store.Uncertain():
                return await self._read(name, bound)
            case store.Unavailable(detail=detail):
                return _describe_away(detail)

    async def _read(
        self, name: store.Key, own: str
    ) -> Claimed | outcomes.OutcomeUnknown:
        """Read the claim; after a lost reply it may be our own."""
        read = await self._platform.read(key=name)
        match read:
            case store.Stored():
                claim = msgspec.msgpack.decode(read.value, type=Claim)
                return Claimed(
                    bound=claim.bound,
                    first=claim.bound == own,
                    version=read.version,
                )
            case store.Absent():
                return _describe_away('the claim could not be read back')
            case store.Unavailable(detail=detail):
                return _describe_away(detail)


def _name(*, customer: str, service: str, key: str) -> store.Key:
    text = '\0'.join((customer, service, key))
    digest = hashlib.sha256(text.encode()).hexdigest()
    return store.Key(kind=KIND, name=digest)


def _describe_away(detail: str) -> outcomes.OutcomeUnknown:
    return outcomes.OutcomeUnknown(
        reason=outcomes.Reason.STORE_AWAY,
        detail=f'an earlier call with this key cannot be ruled out: {detail}',
    )
