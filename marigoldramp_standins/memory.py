"""A platform store in process, over the stand-in's object table.

It is for tests and measurements only, hence not in the plug-in package:
programs never import the stand-ins.
"""

from marigoldramp import store

from . import instance_list
from . import objects


class MemoryStore(store.PlatformStore):
    """One client of a table; several clients may share the table.

    :ivar reachable: whether this client reaches the platform at all.
    """

    __slots__ = ('table', 'instances', 'reachable')

    name = 'memory'

    def __init__(
        self,
        *,
        table: objects.Table | None = None,
        instances: instance_list.InstanceList | None = None,
    ) -> None:
        self.table = table or objects.Table()
        self.instances = instances or instance_list.InstanceList()
        self.reachable = True

    async def read(
        self, *, key: store.Key
    ) -> store.Stored | store.Absent | store.Unavailable:
        """Read one object."""
        if not self.reachable:
            return _cut_off()
        return await self.table.read(key=key)

    async def write(
        self, *, key: store.Key, value: bytes, expected: int
    ) -> store.Written | store.Conflict | store.Unavailable | store.Uncertain:
        """Write if the object is at version ``expected``."""
        if not self.reachable:
            return _cut_off()
        return await self.table.write(key=key, value=value, expected=expected)

    async def delete(
        self, *, key: store.Key, expected: int
    ) -> store.Written | store.Conflict | store.Unavailable | store.Uncertain:
        """Delete the object if it is at version ``expected``."""
        if not self.reachable:
            return _cut_off()
        return await self.table.delete(key=key, expected=expected)

    async def list_objects(
        self, *, kind: str
    ) -> store.Listing | store.Unavailable:
        """List the objects of a kind."""
        if not self.reachable:
            return _cut_off()
        return await self.table.list_objects(kind=kind)

    async def watch(
        self, *, kind: str, after: int, seconds: float
    ) -> store.Listing | store.Unavailable:
        """Wait until an object of the kind is newer than ``after``."""
        if not self.reachable:
            return _cut_off()
        return await self.table.watch(kind=kind, after=after, seconds=seconds)

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
