"""Leases in the platform's store, with fencing numbers.

A lease is one object that its holder renews.  Others take it over only when
they have seen it unchanged for its whole time by their own monotonic clock,
so no two clocks are compared.  A holder counts its time from the *start* of
its last renewal, less a margin, and so stops to hold before anybody else
begins.

A holder can still be paused between asking :meth:`Lease.held` and acting.
Hence the fencing number, which grows with each change of hands: whoever
takes orders refuses a lower number than it has seen.

Where those who take orders check that number, nothing rests on the time, and
a holder that is known to have ended may be succeeded at once.

A store that is restored from a copy brings back older records, or none.  The
fencing numbers in them have been given out since, and a record of our own says
nothing of who holds the lease now: each restore begins numbers above all of
before, and whoever held the lease has to take it anew.
"""

import collections
import dataclasses
import math
import secrets
import time
from typing import Callable

import msgspec

from . import steps
from . import store as store_module

KIND = 'leases'
#: Part of a lease's time by which its holder stops before others may start,
#: for clocks that run at different rates.
MARGIN_SHARE = 0.2
#: Own writes that are still recognised when they take effect late.
MOST_ATTEMPTS = 16
#: Fencing numbers between two restores of the store: changes of hands, of
#: which there are some each day.
FENCES_PER_ERA = 1 << 16


class Record(msgspec.Struct, frozen=True, kw_only=True):
    """Value of a lease's object, as JSON.

    :ivar holder: instance name, empty once the lease is released.
    :ivar nonce: tells the writer that a write was its own.
    """

    holder: str
    fence: int
    seconds: float
    nonce: str


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Held:
    """The lease is held under this fencing number."""

    fence: int


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class NotHeld:
    """The lease is not held by us.

    :ivar holder: who holds it, empty if that is not known.
    :ivar detail: one sentence for a person.
    """

    holder: str = ''
    detail: str = ''


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class _Attempt:
    """A write of ours, which may take effect after we have given it up.

    :ivar era: of the store when it was made.
    """

    nonce: str
    fence: int
    started: float
    era: int


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class _Sight:
    """The version of another holder's record, and when we first saw it."""

    version: int
    at: float


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class _Grip:
    """Our hold on the lease."""

    version: int
    fence: int


class Lease:
    """One contender for one lease; used by one task at a time.

    :param holder: this process's instance name.
    :param seconds: time for which a renewal lasts.
    :param margin: seconds by which a holder stops early.
    :param is_gone: whether a holder is known to have ended.  Only for a lease
        whose fencing number is checked wherever the holder acts: one that was
        taken for gone and lives goes on until it is refused.
    """

    __slots__ = (
        '_attempts',
        '_clock',
        '_grip',
        '_highest',
        '_holder',
        '_is_gone',
        '_key',
        '_lasts',
        '_margin',
        '_seconds',
        '_sight',
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
        self._margin = MARGIN_SHARE * seconds if margin is None else margin
        self._clock = clock
        self._attempts: collections.deque[_Attempt] = collections.deque(
            maxlen=MOST_ATTEMPTS
        )
        self._grip: _Grip | None = None
        self._sight: _Sight | None = None
        self._highest = 0
        self._lasts = float('-inf')

    def held(self) -> bool:
        """Return whether we hold the lease, by our own clock alone."""
        return self._grip is not None and self._clock() < self._lasts

    def is_unchallenged(self) -> bool:
        """Return whether we had the lease and know of nobody who took it.

        It may have lapsed; others may have it while the store is away.
        """
        return self._grip is not None

    async def acquire(self) -> Held | NotHeld:
        """Take the lease if it is free; keep it if it is ours."""
        if self._grip is not None:
            return await self.renew()
        found = await self._store.read(key=self._key)
        match found:
            case store_module.Unavailable(detail=detail):
                return NotHeld(detail=detail)
            case store_module.Absent():
                if self._may_be_held_unseen():
                    return NotHeld(detail='the store was just restored')
                return await self._take(store_module.CREATE)
            case store_module.Stored():
                return await self._contend(found)

    async def renew(self) -> Held | NotHeld:
        """Prolong the lease; ``Held`` only while it lasts by our clock."""
        if self._grip is None:
            return NotHeld(detail='it was not held')
        return await self._write(self._grip.version, self._grip.fence)

    async def release(self) -> None:
        """Give the lease up, so that others need not wait for its end."""
        if self._grip is None:
            return
        grip, self._grip = self._grip, None
        self._lasts = float('-inf')
        # A reading that lags would show the lease as ours again.
        self._attempts.clear()
        value = self._encode(
            holder='', fence=grip.fence, nonce=secrets.token_hex(8)
        )
        await self._store.write(
            key=self._key, value=value, expected=grip.version
        )

    async def _contend(self, found: store_module.Stored) -> Held | NotHeld:
        record = _decode(found.value)
        if record is None:
            # A fencing number that cannot be read cannot be exceeded.
            return NotHeld(detail=f'{self._key} cannot be read')
        if self._recognise(found, record):
            return await self.renew()
        self._highest = max(self._highest, record.fence)
        if record.fence <= self._least_fence():
            return await self._succeed_restored(found, record)
        holder = record.holder
        lapsed = self._has_lapsed(found, record)
        if holder and not lapsed and not self._is_gone(holder):
            return NotHeld(holder=holder)
        return await self._take(found.version)

    async def _succeed_restored(
        self, found: store_module.Stored, record: Record
    ) -> Held | NotHeld:
        """Take the lease over from a record that a restore has brought back.

        Whoever had it last may be another one than it names.
        """
        lapsed = self._has_lapsed(found, record)
        was_ours = self._clock() < self._lasts
        if self._may_be_held_unseen():
            return NotHeld(
                holder=record.holder, detail='the store was just restored'
            )
        if record.holder and not lapsed and not was_ours:
            return NotHeld(holder=record.holder)
        return await self._take(found.version)

    def _may_be_held_unseen(self) -> bool:
        """Whether somebody may hold the lease of whom no record is left.

        That lasts for the time of a lease from when the store came back.  We
        are not kept out by it if it was we who held it.
        """
        now = self._clock()
        if now - self._store.restored_at() >= self._seconds:
            return False
        return now >= self._lasts

    def _has_lapsed(self, found: store_module.Stored, record: Record) -> bool:
        """Return whether the record has not changed for its whole time.

        A reading can be older than the time at which its reply arrives,
        never newer, so the first sight counts from the reply.
        """
        now = self._clock()
        if self._sight is None or self._sight.version != found.version:
            self._sight = _Sight(version=found.version, at=now)
            return False
        return now - self._sight.at >= max(self._seconds, record.seconds)

    def _least_fence(self) -> int:
        """Return a number that all fences of before the last restore reach."""
        return self._store.era() * FENCES_PER_ERA

    async def _take(self, expected: int) -> Held | NotHeld:
        fence = max(self._highest, self._least_fence()) + 1
        taken = await self._write(expected, fence)
        if isinstance(taken, Held):
            await steps.reach(steps.Step.LEASE_TAKEN, self._holder)
        return taken

    async def _write(self, expected: int, fence: int) -> Held | NotHeld:
        attempt = _Attempt(
            nonce=secrets.token_hex(8),
            fence=fence,
            started=self._clock(),
            era=self._store.era(),
        )
        self._attempts.append(attempt)
        value = self._encode(
            holder=self._holder, fence=fence, nonce=attempt.nonce
        )
        written = await self._store.write(
            key=self._key, value=value, expected=expected
        )
        match written:
            case store_module.Written(version=version):
                self._grasp(version, attempt)
                await steps.reach(steps.Step.LEASE_RENEWED, self._holder)
                return self._tell()
            case store_module.Unavailable(detail=detail):
                return self._tell(detail)
            case store_module.Uncertain(detail=detail):
                return await self._read_back(detail, lost=False)
            case store_module.Conflict():
                return await self._read_back('it has changed', lost=True)

    async def _read_back(self, detail: str, *, lost: bool) -> Held | NotHeld:
        """Find out whether a write of ours took effect.

        The reply to a write can be lost after the write took effect, and a
        write given up can take effect late.  Then the object is ours, and
        taking its change for another's would leave the lease with nobody.

        :param lost: what we last knew of the object is no longer so; unless
            the change was our own, the lease is gone.
        """
        found = await self._store.read(key=self._key)
        if not isinstance(found, store_module.Stored):
            if lost:
                self._grip = None
            return self._tell(detail)
        record = _decode(found.value)
        if record is not None and self._recognise(found, record):
            return self._tell()
        stale = self._grip is not None and found.version <= self._grip.version
        if lost or not stale:
            self._grip = None
        return self._tell(detail, record.holder if record else '')

    def _recognise(self, found: store_module.Stored, record: Record) -> bool:
        """Take hold if the record is a write of ours, and still stands.

        One of before a restore stands for what others may have replaced.
        """
        for attempt in self._attempts:
            if attempt.era != self._store.era():
                continue
            if attempt.nonce == record.nonce:
                self._grasp(found.version, attempt)
                return True
        return False

    def _grasp(self, version: int, attempt: _Attempt) -> None:
        """Note a write of ours that took effect, unless a later one did."""
        if self._grip is not None and self._grip.version >= version:
            return
        self._highest = max(self._highest, attempt.fence)
        self._grip = _Grip(version=version, fence=attempt.fence)
        self._lasts = attempt.started + self._seconds - self._margin

    def _tell(self, detail: str = '', holder: str = '') -> Held | NotHeld:
        if self._grip is not None and self.held():
            return Held(fence=self._grip.fence)
        return NotHeld(holder=holder, detail=detail or 'it has lapsed')

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
    """Passes everything on to a lease; for those that change a part of it."""

    __slots__ = ('_lease',)

    def __init__(self, *, lease: Lease) -> None:
        self._lease = lease

    async def acquire(self) -> Held | NotHeld:
        """Take the lease."""
        return await self._lease.acquire()

    async def renew(self) -> Held | NotHeld:
        """Prolong the lease."""
        return await self._lease.renew()

    async def release(self) -> None:
        """Give the lease up."""
        await self._lease.release()

    def held(self) -> bool:
        """Say whether it is held, by this process's own clock."""
        return self._lease.held()
