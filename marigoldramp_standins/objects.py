"""The object table of the platform stand-in, with switches for faults.

The table keeps versioned objects under one counter, as the platform's object
API does, and can misbehave on demand: it can be away, be slow, lose a reply
after the write took effect, lose a request before it, or answer reads with
an older state.  It serves the tests in process and the stand-in process.
"""

import collections
import dataclasses
from typing import Awaitable
from typing import Callable

import anyio

from marigoldramp import store

LONGEST_VALUE = 1024 * 1024
MOST_CHANGES_KEPT = 256
#: Versions between two restores.
VERSIONS_AN_ERA = 1 << 40


@dataclasses.dataclass(slots=True, kw_only=True)
class Faults:
    """Switches for what the platform does wrong.

    :ivar outage: every call is refused and waiting watches end.
    :ivar slowness: seconds that each call waits before it has any effect.
    :ivar lose_replies: how many of the next writes take effect unanswered.
    :ivar lose_requests: how many of the next writes get lost on the way.
    :ivar stale: for a kind, the version whose state reads still show.
    """

    outage: bool = False
    slowness: float = 0.0
    lose_replies: int = 0
    lose_requests: int = 0
    stale: dict[str, int] = dataclasses.field(default_factory=dict)


@dataclasses.dataclass(slots=True, kw_only=True)
class Counts:
    """How many calls of each sort arrived; a waiting watch counts as one."""

    reads: int = 0
    writes: int = 0
    deletes: int = 0
    lists: int = 0
    watches: int = 0
    instance_lists: int = 0

    def total(self) -> int:
        """Return the number of all calls."""
        return sum(dataclasses.astuple(self))


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Copy:
    """All objects as they were at a version."""

    version: int
    values: dict[store.Key, bytes]


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Change:
    """One state of an object; ``value`` is ``None`` once it is deleted."""

    version: int
    value: bytes | None


class Table:
    """Versioned objects, one counter over all of them.

    :param sleep: waits for a number of seconds; tests pass their own.
    :ivar era: how often it has been restored from a copy.
    """

    __slots__ = (
        'faults',
        'counts',
        'version',
        'era',
        '_sleep',
        '_changes',
        '_last_change',
        '_changed',
    )

    def __init__(
        self, *, sleep: Callable[[float], Awaitable[None]] = anyio.sleep
    ) -> None:
        self.faults = Faults()
        self.counts = Counts()
        self.version = 0
        self.era = 0
        self._sleep = sleep
        self._changes: dict[store.Key, collections.deque[Change]] = {}
        self._last_change: dict[str, int] = {}
        self._changed = anyio.Event()

    async def read(
        self, *, key: store.Key
    ) -> store.Stored | store.Absent | store.Unavailable:
        """Read one object."""
        self.counts.reads += 1
        if not await self._arrives():
            return _away()
        change = self._seen(key)
        if change is None or change.value is None:
            return store.Absent(key=key)
        return store.Stored(
            key=key, version=change.version, value=change.value
        )

    async def write(
        self, *, key: store.Key, value: bytes, expected: int
    ) -> store.Written | store.Conflict | store.Unavailable | store.Uncertain:
        """Write if the object is at version ``expected``."""
        self.counts.writes += 1
        if len(value) > LONGEST_VALUE:
            return store.Unavailable(
                detail=f'the value is longer than {LONGEST_VALUE} bytes'
            )
        return await self._change(key, value, expected)

    async def delete(
        self, *, key: store.Key, expected: int
    ) -> store.Written | store.Conflict | store.Unavailable | store.Uncertain:
        """Delete the object if it is at version ``expected``."""
        self.counts.deletes += 1
        if expected == store.CREATE:
            return store.Conflict(key=key)
        return await self._change(key, None, expected)

    async def list_objects(
        self, *, kind: str
    ) -> store.Listing | store.Unavailable:
        """List the objects of a kind."""
        self.counts.lists += 1
        if not await self._arrives():
            return _away()
        return store.Listing(
            objects=self._newer(kind, after=0),
            version=self.faults.stale.get(kind, self.version),
        )

    async def watch(
        self, *, kind: str, after: int, seconds: float
    ) -> store.Listing | store.Unavailable:
        """Wait until something of the kind is newer than ``after``.

        A deletion shows as a listing that is empty but has a newer version.
        When the time passes, the listing still has version ``after``.
        """
        self.counts.watches += 1
        if not await self._arrives():
            return _away()
        with anyio.move_on_after(seconds):
            while not self.faults.outage and not self._is_newer(kind, after):
                await self._changed.wait()
        if self.faults.outage:
            return _away()
        if not self._is_newer(kind, after):
            return store.Listing(objects=(), version=after)
        return store.Listing(
            objects=self._newer(kind, after=after), version=self.version
        )

    def copy(self) -> Copy:
        """Return a copy of all objects."""
        values = {
            key: changes[-1].value
            for key, changes in self._changes.items()
            if changes[-1].value is not None
        }
        return Copy(version=self.version, values=values)

    def restore(self, copy: Copy) -> None:
        """Go back to a copy; what was written since is gone.

        Versions are given out again, told apart from those of before by the
        era, as clients of the platform do.
        """
        self.era += 1
        first = self.era * VERSIONS_AN_ERA
        self.version = first + copy.version % VERSIONS_AN_ERA
        self._changes = {
            key: collections.deque(
                [Change(version=self.version, value=value)],
                maxlen=MOST_CHANGES_KEPT,
            )
            for key, value in copy.values.items()
        }
        kinds = {*self._last_change, *(key.kind for key in copy.values)}
        self._last_change = dict.fromkeys(kinds, self.version)
        self.faults.stale.clear()
        self.wake()

    def freeze(self, *, kind: str) -> None:
        """Let reads of a kind show its present state from now on."""
        self.faults.stale[kind] = self.version

    def wake(self) -> None:
        """Make waiting watches look again, after a change of the faults."""
        self._changed.set()
        self._changed = anyio.Event()

    async def arrive_at_instances(self) -> bool:
        """Pass one read of the instance list; false while away."""
        self.counts.instance_lists += 1
        return await self._arrives()

    async def _arrives(self) -> bool:
        if self.faults.outage:
            return False
        if self.faults.slowness:
            await self._sleep(self.faults.slowness)
        return not self.faults.outage

    async def _change(
        self, key: store.Key, value: bytes | None, expected: int
    ) -> store.Written | store.Conflict | store.Unavailable | store.Uncertain:
        if not await self._arrives():
            return _away()
        if self.faults.lose_requests:
            self.faults.lose_requests -= 1
            return store.Uncertain(detail='the request was lost')
        outcome = self._apply(key, value, expected)
        if self.faults.lose_replies:
            self.faults.lose_replies -= 1
            return store.Uncertain(detail='the reply was lost')
        return outcome

    def _apply(
        self, key: store.Key, value: bytes | None, expected: int
    ) -> store.Written | store.Conflict:
        last = self._last(key)
        current = last.version if last and last.value is not None else 0
        if current != expected:
            return store.Conflict(key=key)
        self.version += 1
        changes = self._changes.setdefault(
            key, collections.deque(maxlen=MOST_CHANGES_KEPT)
        )
        changes.append(Change(version=self.version, value=value))
        self._last_change[key.kind] = self.version
        self.wake()
        return store.Written(key=key, version=self.version)

    def _last(self, key: store.Key) -> Change | None:
        changes = self._changes.get(key)
        return changes[-1] if changes else None

    def _seen(self, key: store.Key) -> Change | None:
        bound = self.faults.stale.get(key.kind)
        if bound is None:
            return self._last(key)
        for change in reversed(self._changes.get(key, ())):
            if change.version <= bound:
                return change
        return None

    def _newer(self, kind: str, *, after: int) -> tuple[store.Stored, ...]:
        found = []
        for key in sorted(self._changes, key=str):
            if key.kind != kind:
                continue
            change = self._seen(key)
            if change is None or change.value is None:
                continue
            if change.version > after:
                found.append(
                    store.Stored(
                        key=key, version=change.version, value=change.value
                    )
                )
        return tuple(found)

    def _is_newer(self, kind: str, after: int) -> bool:
        last = self._last_change.get(kind, 0)
        bound = self.faults.stale.get(kind)
        if bound is not None:
            last = min(last, bound)
        return last > after


def _away() -> store.Unavailable:
    return store.Unavailable(detail='the platform is away')
