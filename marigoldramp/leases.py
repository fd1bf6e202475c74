"""Leases in the platform's store, with fencing numbers.

A lease is one object that its holder renews.  Another contender takes it over
only after it has seen the object unchanged for the whole duration of the
lease by its own monotonic clock, so clocks are never compared.  The holder
counts the duration from the *start* of its last renewal, less a margin, and
so stops holding before another contender starts.

A holder can still be paused between calling :meth:`Lease.held` and acting.
The fencing number protects against that: it grows with each new holder, and
receivers of orders refuse a number lower than one that they have seen.  Where
all receivers check it, safety does not depend on time, and the lease of a
holder that is known to have ended may be taken over at once.

A store that is restored from a backup returns older records, or none.  Higher
fencing numbers than theirs have been used, and even a record of our own does
not show who holds the lease now.  Each restore therefore starts an era whose
numbers are above all earlier ones, and the holder has to take the lease anew.
"""

import collections
import math
import secrets
import time
from typing import Callable

import msgspec

from . import steps
from . import store as store_module

KIND = 'leases'
#: Share of a lease's duration by which its holder stops before others may
#: start, as clocks run at different rates.
DEFAULT_MARGIN_SHARE = 0.2
#: Own writes that are still recognised when they take effect late.
MAX_REMEMBERED_WRITES = 16
#: Fencing numbers of one era, the time between two restores of the store.
#: Each new holder uses one; there are a few a day.
FENCES_PER_ERA = 1 << 16


class Record(msgspec.Struct, frozen=True, kw_only=True):
    """Value of a lease's object, as JSON.

    :ivar holder: instance name, empty once the lease is released.
    :ivar seconds: duration of the lease.
    :ivar nonce: random value by which a writer recognises its own write.
    """

    holder: str
    fence: int
    seconds: float
    nonce: str


class Held(msgspec.Struct, frozen=True, kw_only=True):
    """The lease is held under this fencing number."""

    fence: int


class NotHeld(msgspec.Struct, frozen=True, kw_only=True):
    """The lease is not held by us.

    :ivar holder: who holds it, empty if that is not known.
    :ivar detail: the reason, for people to read.
    """

    holder: str = ''
    detail: str = ''


class _Write(msgspec.Struct, frozen=True, kw_only=True):
    """A write of ours; it may take effect after it was reported as failed.

    :ivar era: the era of the store when the write was started.
    """

    nonce: str
    fence: int
    started: float
    era: int


class _Observation(msgspec.Struct, frozen=True, kw_only=True):
    """The version of another holder's record, and when we first saw it."""

    version: int
    at: float


class _Ownership(msgspec.Struct, frozen=True, kw_only=True):
    """The version of the record by which we hold the lease."""

    version: int
    fence: int


class Lease:
    """One contender for one lease; used by one task at a time.

    :param holder: this process's instance name.
    :param seconds: duration of the lease after each renewal.
    :param margin: seconds by which the holder stops early.
    :param is_gone: returns whether a holder is known to have ended.  Only for
        a lease whose fencing number is checked wherever the holder acts: a
        holder that is wrongly believed to have ended goes on acting until its
        orders are refused.
    """

    __slots__ = (
        '_own_writes',
        '_clock',
        '_owned',
        '_highest_fence',
        '_holder',
        '_is_gone',
        '_key',
        '_expires_at',
        '_margin',
        '_seconds',
        '_observed',
        '_store',
    )

    def __init__(
        self,
        *,
        store: store_module.PlatformStore,
        name: str,
        holder: str,
        seconds: float,
        margin: float | None = None,
        clock: Callable[[], float] = time.monotonic,
        is_gone: Callable[[str], bool] = lambda holder: False,
    ) -> None:
        self._store = store
        self._is_gone = is_gone
        self._key = store_module.Key(kind=KIND, name=name)
        self._holder = holder
        self._seconds = seconds
        self._margin = (
            DEFAULT_MARGIN_SHARE * seconds if margin is None else margin
        )
        self._clock = clock
        self._own_writes: collections.deque[_Write] = collections.deque(
            maxlen=MAX_REMEMBERED_WRITES
        )
        self._owned: _Ownership | None = None
        self._observed: _Observation | None = None
        self._highest_fence = 0
        self._expires_at = float('-inf')

    def held(self) -> bool:
        """Return whether we hold the lease, by our own clock alone."""
        return self._owned is not None and self._clock() < self._expires_at

    def is_unchallenged(self) -> bool:
        """Return whether we took the lease and know of no later holder.

        It may have lapsed, and while the store does not answer another
        contender may hold it.
        """
        return self._owned is not None

    async def acquire(self) -> Held | NotHeld:
        """Take the lease if it is free; renew it if it is ours."""
        if self._owned is not None:
            return await self.renew()
        found = await self._store.read(key=self._key)
        match found:
            case store_module.Unavailable(detail=detail):
                return NotHeld(detail=detail)
            case store_module.Absent():
                if self._may_have_unseen_holder():
                    return NotHeld(detail='the store was just restored')
                return await self._take(store_module.CREATE)
            case store_module.Stored():
                return await self._acquire_existing(found)

    async def renew(self) -> Held | NotHeld:
        """Renew the lease; ``Held`` only while it lasts by our clock."""
        if self._owned is None:
            return NotHeld(detail='the lease was not held')
        return await self._write(self._owned.version, self._owned.fence)

    async def release(self) -> None:
        """Release the lease, so that others need not wait for it to lapse."""
        if self._owned is None:
            return
        owned, self._owned = self._owned, None
        self._expires_at = float('-inf')
        # A stale read could show the lease as ours again.
        self._own_writes.clear()
        value = self._encode(
            holder='', fence=owned.fence, nonce=secrets.token_hex(8)
        )
        await self._store.write(
            key=self._key, value=value, expected=owned.version
        )

    async def _acquire_existing(
        self, found: store_module.Stored
    ) -> Held | NotHeld:
        record = _decode(found.value)
        if record is None:
            # Without the fencing number no higher one can be chosen.
            return NotHeld(detail=f'{self._key} cannot be read')
        if self._adopt_own_write(found, record):
            return await self.renew()
        self._highest_fence = max(self._highest_fence, record.fence)
        if record.fence <= self._last_fence_before_restore():
            return await self._take_over_restored(found, record)
        holder = record.holder
        lapsed = self._has_lapsed(found, record)
        if holder and not lapsed and not self._is_gone(holder):
            return NotHeld(holder=holder)
        return await self._take(found.version)

    async def _take_over_restored(
        self, found: store_module.Stored, record: Record
    ) -> Held | NotHeld:
        """Take over a lease whose record is from before a restore.

        The record may not name the last holder.
        """
        lapsed = self._has_lapsed(found, record)
        was_ours = self._clock() < self._expires_at
        if self._may_have_unseen_holder():
            return NotHeld(
                holder=record.holder, detail='the store was just restored'
            )
        if record.holder and not lapsed and not was_ours:
            return NotHeld(holder=record.holder)
        return await self._take(found.version)

    def _may_have_unseen_holder(self) -> bool:
        """Return whether a holder may exist of which no record is left.

        That is possible for the duration of a lease after the store was
        restored, unless we were the holder.
        """
        now = self._clock()
        if now - self._store.restored_at() >= self._seconds:
            return False
        return now >= self._expires_at

    def _has_lapsed(self, found: store_module.Stored, record: Record) -> bool:
        """Return whether the record was unchanged for its whole duration.

        A read can be older than the arrival of its reply, never newer, so
        the duration counts from the reply that first showed this version.
        """
        now = self._clock()
        if self._observed is None or self._observed.version != found.version:
            self._observed = _Observation(version=found.version, at=now)
            return False
        return now - self._observed.at >= max(self._seconds, record.seconds)

    def _last_fence_before_restore(self) -> int:
        """Return the highest fence possible before the last restore."""
        return self._store.era() * FENCES_PER_ERA

    async def _take(self, expected: int) -> Held | NotHeld:
        fence = max(self._highest_fence, self._last_fence_before_restore()) + 1
        taken = await self._write(expected, fence)
        if isinstance(taken, Held):
            await steps.reach(steps.Step.LEASE_TAKEN, self._holder)
        return taken

    async def _write(self, expected: int, fence: int) -> Held | NotHeld:
        own_write = _Write(
            nonce=secrets.token_hex(8),
            fence=fence,
            started=self._clock(),
            era=self._store.era(),
        )
        self._own_writes.append(own_write)
        value = self._encode(
            holder=self._holder, fence=fence, nonce=own_write.nonce
        )
        written = await self._store.write(
            key=self._key, value=value, expected=expected
        )
        match written:
            case store_module.Written(version=version):
                self._note_own_write(version, own_write)
                await steps.reach(steps.Step.LEASE_RENEWED, self._holder)
                return self._make_result()
            case store_module.Unavailable(detail=detail):
                return self._make_result(detail)
            case store_module.Uncertain(detail=detail):
                return await self._read_back(detail, lost=False)
            case store_module.Conflict():
                return await self._read_back(
                    'the lease record has changed', lost=True
                )

    async def _read_back(self, detail: str, *, lost: bool) -> Held | NotHeld:
        """Find out whether a write of ours took effect.

        The reply to a write can be lost after the write took effect, and a
        write that failed for us can take effect late.  Then the object is
        ours; if we took the change for another holder's, the lease would be
        left without a holder until it lapses.

        :param lost: the object has changed since we last knew it, so the
            lease is lost unless the change was our own.
        """
        found = await self._store.read(key=self._key)
        if not isinstance(found, store_module.Stored):
            if lost:
                self._owned = None
            return self._make_result(detail)
        record = _decode(found.value)
        if record is not None and self._adopt_own_write(found, record):
            return self._make_result()
        stale = (
            self._owned is not None and found.version <= self._owned.version
        )
        if lost or not stale:
            self._owned = None
        return self._make_result(detail, record.holder if record else '')

    def _adopt_own_write(
        self, found: store_module.Stored, record: Record
    ) -> bool:
        """Note that we hold the lease if the record is a write of ours.

        A write from before a restore does not count: other holders may have
        replaced it before the restore brought it back.
        """
        for own_write in self._own_writes:
            if own_write.era != self._store.era():
                continue
            if own_write.nonce == record.nonce:
                self._note_own_write(found.version, own_write)
                return True
        return False

    def _note_own_write(self, version: int, own_write: _Write) -> None:
        """Note a write of ours that took effect, unless a later one did."""
        if self._owned is not None and self._owned.version >= version:
            return
        self._highest_fence = max(self._highest_fence, own_write.fence)
        self._owned = _Ownership(version=version, fence=own_write.fence)
        self._expires_at = own_write.started + self._seconds - self._margin

    def _make_result(
        self, detail: str = '', holder: str = ''
    ) -> Held | NotHeld:
        if self._owned is not None and self.held():
            return Held(fence=self._owned.fence)
        return NotHeld(holder=holder, detail=detail or 'the lease has lapsed')

    def _encode(self, *, holder: str, fence: int, nonce: str) -> bytes:
        record = Record(
            holder=holder, fence=fence, seconds=self._seconds, nonce=nonce
        )
        return msgspec.json.encode(record)


def _decode(value: bytes) -> Record | None:
    try:
        record = msgspec.json.decode(value, type=Record)
    except msgspec.MsgspecError:
        return None
    return record if math.isfinite(record.seconds) else None


class LeaseWrapper:
    """Passes every call on to a lease; a base for partial overrides."""

    __slots__ = ('_lease',)

    def __init__(self, *, lease: Lease) -> None:
        self._lease = lease

    async def acquire(self) -> Held | NotHeld:
        """Take the lease."""
        return await self._lease.acquire()

    async def renew(self) -> Held | NotHeld:
        """Renew the lease."""
        return await self._lease.renew()

    async def release(self) -> None:
        """Release the lease."""
        await self._lease.release()

    def held(self) -> bool:
        """Return whether it is held, by this process's own clock."""
        return self._lease.held()
