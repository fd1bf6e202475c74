"""A platform store in process, over the stand-in's object table.

It is for tests and measurements only, hence not in the plug-in package:
programs never import the stand-ins.
"""

import time
from typing import Callable
from typing import TypeVar

from marigoldramp import store

from . import instance_list
from . import objects

A = TypeVar('A')


class MemoryStore(store.PlatformStore):
    """One client of a table; several clients may share the table.

    :ivar reachable: whether this client reaches the platform at all.
    """

    __slots__ = (
        'table',
        'instances',
        'reachable',
        '_clock',
        '_era',
        '_restored_at',
        '_callbacks',
    )

    name = 'memory'

    def __init__(
        self,
        *,
        table: objects.Table | None = None,
        instances: instance_list.InstanceList | None = None,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self.table = table or objects.Table()
        self.instances = instances or instance_list.InstanceList()
        self.reachable = True
        self._clock = clock
        self._era = self.table.era
        self._restored_at = float('-inf')
        self._callbacks: list[Callable[[], None]] = []

    def era(self) -> int:
        """Return how often the store was restored, as the last answer told."""
        return self._era

    def restored_at(self) -> float:
        """Return when an answer first told of the last restore."""
        return self._restored_at

    def on_restore(self, callback: Callable[[], None]) -> None:
        """Call whenever an answer tells of a restore."""
        self._callbacks.append(callback)

    def _hear(self, answer: A) -> A:
        """Learn of a restore from an answer."""
        if not isinstance(answer, store.Unavailable | store.Uncertain):
            self.hear_era(self.table.era)
        return answer

    def hear_era(self, era: int) -> None:
        """Learn how often the store was restored."""
        if era > self._era:
            self._era = era
            self._restored_at = self._clock()
            for callback in self._callbacks:
                callback()

    async def read(
        self, *, key: store.Key
    ) -> store.Stored | store.Absent | store.Unavailable:
        """Read one object."""
        if not self.reachable:
            return _cut_off()
        return self._hear(await self.table.read(key=key))

    async def write(
        self, *, key: store.Key, value: bytes, expected: int
    ) -> store.Written | store.Conflict | store.Unavailable | store.Uncertain:
        """Write if the object is at version ``expected``."""
        if not self.reachable:
            return _cut_off()
        return self._hear(
            await self.table.write(key=key, value=value, expected=expected)
        )

    async def delete(
        self, *, key: store.Key, expected: int
    ) -> store.Written | store.Conflict | store.Unavailable | store.Uncertain:
        """Delete the object if it is at version ``expected``."""
        if not self.reachable:
            return _cut_off()
        return self._hear(await self.table.delete(key=key, expected=expected))

    async def list_objects(
        self, *, kind: str
    ) -> store.Listing | store.Unavailable:
        """List the objects of a kind."""
        if not self.reachable:
            return _cut_off()
        return self._hear(await self.table.list_objects(kind=kind))

    async def watch(
        self, *, kind: str, after: int, seconds: float
    ) -> store.Listing | store.Unavailable:
        """Wait until an object of the kind is newer than ``after``."""
        if not self.reachable:
            return _cut_off()
        return self._hear(
            await self.table.watch(kind=kind, after=after, seconds=seconds)
        )

    async def list_instances(self) -> store.Instances | store.Unavailable:
        """Return the instance list."""
        if not self.reachable:
            return _cut_off()
        if not await self.table.arrive_at_instances():
            return store.Unavailable(detail='the platform is away')
        return self.instances.list_instances()

    async def close(self) -> None:
        """Do nothing; the table stays."""


def _cut_off() -> store.Unavailable:
    return store.Unavailable(detail='this client is cut off')
