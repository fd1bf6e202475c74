"""Calls to the platform's store that are tried again, with a bound.

Operators' commands meet a store that is away for a while or loses replies.
Each call is tried a few times with growing, random pauses, so that many
clients do not come back in step, and its result says what is known.
"""

import dataclasses
import random as random_module
from typing import Awaitable
from typing import Callable

import anyio

from . import store as store_module

ATTEMPTS = 5
FIRST_PAUSE = 0.2
LONGEST_PAUSE = 3.0

Sleep = Callable[[float], Awaitable[None]]


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Taken:
    """Another write stands where this one was to go.

    :ivar found: what stands there, as far as it could be read.
    :ivar uncertain: an earlier attempt of this write got no reply, so it
        may have stood there before it was replaced.
    """

    found: store_module.Stored | store_module.Absent | store_module.Unavailable
    uncertain: bool


Result = (
    store_module.Written
    | Taken
    | store_module.Unavailable
    | store_module.Uncertain
)


class RetryingStore:
    """A store whose calls are tried again.

    :param sleep: waits between two attempts.
    """

    __slots__ = ('_attempts', '_random', '_sleep', 'store')

    def __init__(
        self,
        *,
        store: store_module.PlatformStore,
        random: random_module.Random,
        sleep: Sleep = anyio.sleep,
        attempts: int = ATTEMPTS,
    ) -> None:
        self.store = store
        self._random = random
        self._sleep = sleep
        self._attempts = attempts

    async def read(
        self, *, key: store_module.Key
    ) -> store_module.Stored | store_module.Absent | store_module.Unavailable:
        """Read one object."""
        found = await self.store.read(key=key)
        for attempt in range(1, self._attempts):
            if not isinstance(found, store_module.Unavailable):
                break
            await self._pause(attempt)
            found = await self.store.read(key=key)
        return found

    async def list_objects(
        self, *, kind: str
    ) -> store_module.Listing | store_module.Unavailable:
        """List the objects of a kind."""
        found = await self.store.list_objects(kind=kind)
        for attempt in range(1, self._attempts):
            if not isinstance(found, store_module.Unavailable):
                break
            await self._pause(attempt)
            found = await self.store.list_objects(kind=kind)
        return found

    async def write(
        self, *, key: store_module.Key, value: bytes, expected: int
    ) -> Result:
        """Write a value that no other writer would write.

        A lost reply leaves it open whether the write took effect.  The same
        conditional write is sent again: of the two at most one can succeed,
        as the first success moves the version.  If it meets a conflict, the
        object is read back and the own write recognised by its value, which
        therefore has to hold something unique such as a nonce or a digest.
        """
        uncertain = False
        last: store_module.Unavailable | store_module.Uncertain
        for attempt in range(self._attempts):
            if attempt:
                await self._pause(attempt)
            result = await self.store.write(
                key=key, value=value, expected=expected
            )
            match result:
                case store_module.Written():
                    return result
                case store_module.Conflict():
                    return await self._resolve(key, value, uncertain)
                case store_module.Uncertain():
                    uncertain = True
                    last = result
                case store_module.Unavailable():
                    last = result
        if uncertain:
            return store_module.Uncertain(detail=last.detail)
        return last

    async def _resolve(
        self, key: store_module.Key, value: bytes, uncertain: bool
    ) -> Result:
        found = await self.read(key=key)
        if isinstance(found, store_module.Stored) and found.value == value:
            return store_module.Written(key=key, version=found.version)
        return Taken(found=found, uncertain=uncertain)

    async def _pause(self, attempt: int) -> None:
        longest = min(LONGEST_PAUSE, FIRST_PAUSE * 2 ** (attempt - 1))
        await self._sleep(self._random.uniform(longest / 2, longest))
