"""When each instance took a bundle up, kept in the store for the audit trail.

One object for each data centre and bundle.  The first watcher of the data
centre writes it from the numbers on heartbeats: a few times in the minute
after a roll, later at most once a minute and only when something changed.
The other watchers hear the same and go on if the first one dies.
"""

import collections
import math
from typing import Callable

import anyio
import msgspec

from . import manifests
from . import membership
from . import messages
from . import settings as settings_module
from . import store as store_module

KIND = 'takeups'
#: Objects of a data centre; after so many bundles the oldest is replaced.
MOST_KEPT = 1024
#: Seconds after a bundle came into force here at which it is written.
WRITES_AT = (2.0, 10.0, 60.0)
#: Seconds between later writes, and most of all writes for one bundle.
LATER = 60.0
MOST_WRITES = 12
#: Bundles replaced before they were written that are still written later.
MOST_LEFT = 8
#: Instances in one object.
MOST_INSTANCES = 4096


class TakeUp(msgspec.Struct, frozen=True, kw_only=True, order=True):
    """One instance had the bundle in force at this wall time, or before.

    :ivar at: seconds, by the clock of the watcher that heard of it.
    """

    at: float
    instance: str


class TakeUps(msgspec.Struct, frozen=True, kw_only=True):
    """Value of an object, as JSON: who took up a bundle, the first first.

    :ivar digest: the manifest's digest.
    """

    number: int
    digest: str
    data_centre: str
    instances: tuple[TakeUp, ...]


class Recorder:
    """Collects the take-ups of one data centre and writes them."""

    def __init__(
        self,
        *,
        store: store_module.PlatformStore,
        members: membership.Membership,
        settings: settings_module.Settings,
        wall: Callable[[], float],
    ) -> None:
        self._store = store
        self._members = members
        self._instance = settings.instance
        self._data_centre = settings.data_centre
        self._count = settings.platform.watchers
        self._wall = wall
        self._manifest: manifests.Manifest | None = None
        self._times: dict[str, float] = {}
        self._ahead: dict[str, int] = {}
        self._written: frozenset[str] = frozenset()
        self._left: collections.deque[TakeUps] = collections.deque(
            maxlen=MOST_LEFT
        )
        self._began = anyio.Event()
        members.on_every_heartbeat(self._see)

    def begin(self, manifest: manifests.Manifest) -> None:
        """Begin to collect for a bundle that has come into force here."""
        if self._manifest is not None and not self._written:
            self._left.append(self._describe(self._manifest))
        self._manifest = manifest
        self._times = {self._instance: self._wall()}
        self._written = frozenset()
        ahead, self._ahead = self._ahead, {}
        for instance, number in ahead.items():
            self._note(instance, number)
        began, self._began = self._began, anyio.Event()
        began.set()

    async def run(self) -> None:
        """Write at the times after each bundle, until cancelled."""
        while True:
            began = self._began
            async with anyio.create_task_group() as group:
                group.start_soon(self._write_in_time)
                await began.wait()
                group.cancel_scope.cancel()

    def _see(self, heartbeat: messages.Heartbeat) -> None:
        if heartbeat.data_centre == self._data_centre:
            self._note(heartbeat.instance, heartbeat.bundle)

    def _note(self, instance: str, number: int) -> None:
        """Note a number shown, also one that is not in force here yet."""
        current = 0 if self._manifest is None else self._manifest.number
        if number > current and len(self._ahead) < MOST_INSTANCES:
            self._ahead[instance] = number
        elif number == current and len(self._times) < MOST_INSTANCES:
            self._times.setdefault(instance, self._wall())

    async def _write_in_time(self) -> None:
        before = 0.0
        for at in WRITES_AT:
            await anyio.sleep(at - before)
            before = at
            await self._write_due()
        for _ in range(MOST_WRITES - len(WRITES_AT)):
            await anyio.sleep(LATER)
            await self._write_due()

    async def _write_due(self) -> None:
        """Write what is new, if this process is the one to write."""
        if self._members.watchers(self._count)[:1] != (self._instance,):
            return
        while self._left:
            await self._write(self._left[0])
            self._left.popleft()
        if self._manifest is None or self._written >= self._times.keys():
            return
        takeups = self._describe(self._manifest)
        if await self._write(takeups):
            self._written = frozenset(
                each.instance for each in takeups.instances
            )

    def _describe(self, manifest: manifests.Manifest) -> TakeUps:
        return TakeUps(
            number=manifest.number,
            digest=manifest.digest,
            data_centre=self._data_centre,
            instances=tuple(
                TakeUp(at=at, instance=instance)
                for instance, at in self._times.items()
            ),
        )

    async def _write(self, takeups: TakeUps) -> bool:
        """Add to what another watcher may have written before."""
        key = _make_key(takeups.data_centre, takeups.number)
        found = await self._store.read(key=key)
        if isinstance(found, store_module.Unavailable):
            return False
        expected = store_module.CREATE
        if isinstance(found, store_module.Stored):
            expected = found.version
            takeups = _merge(takeups, _decode(found.value))
        written = await self._store.write(
            key=key, value=msgspec.json.encode(takeups), expected=expected
        )
        return isinstance(written, store_module.Written)


async def read(
    store: store_module.PlatformStore, *, data_centre: str, number: int
) -> TakeUps | None | store_module.Unavailable:
    """Return who took a bundle up, ``None`` if that was not kept."""
    found = await store.read(key=_make_key(data_centre, number))
    if isinstance(found, store_module.Unavailable):
        return found
    if isinstance(found, store_module.Absent):
        return None
    takeups = _decode(found.value)
    if takeups is None or takeups.number != number:
        return None
    return takeups


def _make_key(data_centre: str, number: int) -> store_module.Key:
    """Name an object; a name is used anew after ``MOST_KEPT`` bundles."""
    return store_module.Key(
        kind=KIND, name=f'{data_centre}-{number % MOST_KEPT}'
    )


def _decode(value: bytes) -> TakeUps | None:
    try:
        return msgspec.json.decode(value, type=TakeUps)
    except msgspec.MsgspecError:
        return None


def _merge(ours: TakeUps, theirs: TakeUps | None) -> TakeUps:
    """Keep the earliest time of each instance, the first instance first."""
    if theirs is None or theirs.digest != ours.digest:
        theirs = None
    times: dict[str, float] = {}
    for each in ours.instances + (theirs.instances if theirs else ()):
        times[each.instance] = min(each.at, times.get(each.instance, math.inf))
    return msgspec.structs.replace(
        ours,
        instances=tuple(
            sorted(
                TakeUp(at=at, instance=instance)
                for instance, at in times.items()
            )
        ),
    )
