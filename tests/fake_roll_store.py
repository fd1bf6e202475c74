"""A store for tests of rolling: faults strike chosen writes only."""

import enum

import anyio

from marigoldramp import manifests
from marigoldramp import store
from marigoldramp_standins import memory


class Fault(enum.Enum):
    """What happens to one write of the object ``bundle/current``."""

    NONE = enum.auto()
    LOST_REPLY = enum.auto()
    LOST_REQUEST = enum.auto()
    AWAY = enum.auto()


class RollStore(memory.MemoryStore):
    """A client whose writes of the bundle in force meet given faults.

    :param faults: one for each write, in turn; none after the last.
    :ivar race: done once, before the next write of the kind ``race_at``.
    :param yields: let other tasks run this often before each call.
    """

    def __init__(self, *, table=None, faults=(), yields=()):
        super().__init__(table=table)
        self.faults = list(faults)
        self.yields = list(yields)
        self.race = None
        self.race_at = manifests.CURRENT.kind

    async def _let_others_run(self):
        for _ in range(self.yields.pop(0) if self.yields else 0):
            await anyio.sleep(0)

    async def read(self, *, key):
        await self._let_others_run()
        return await super().read(key=key)

    async def write(self, *, key, value, expected):
        await self._let_others_run()
        if self.race is not None and key.kind.startswith(self.race_at):
            act, self.race = self.race, None
            await act()
        if key != manifests.CURRENT:
            return await super().write(key=key, value=value, expected=expected)
        fault = self.faults.pop(0) if self.faults else Fault.NONE
        if fault is Fault.AWAY:
            return store.Unavailable(detail='away')
        if fault is Fault.LOST_REQUEST:
            return store.Uncertain(detail='no reply')
        result = await super().write(key=key, value=value, expected=expected)
        if fault is Fault.LOST_REPLY:
            return store.Uncertain(detail='no reply')
        return result
