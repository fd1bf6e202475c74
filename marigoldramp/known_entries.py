"""What a caller knows of the entries: their addresses, and bound keys."""

import collections
import random as random_module
from typing import Callable
from typing import Sequence

import anyio
import httpcore
import msgspec

from . import address_answers
from . import connections

ASK_SECONDS = 1.0
IDLE_CONNECTIONS = 16


class KnownEntries:
    """Asks for addresses, keeps the answer while it is good.

    :param seeds: base addresses of some entries, to begin with.
    :param authorization: value of the header that names the caller.
    """

    __slots__ = (
        '_seeds',
        '_authorization',
        '_clock',
        '_random',
        '_entries',
        '_asked_at',
        '_keep',
        '_keys',
        '_pools',
        '_turn',
    )

    def __init__(
        self,
        *,
        seeds: Sequence[str],
        authorization: bytes,
        clock: Callable[[], float],
        random: random_module.Random,
    ) -> None:
        self._seeds = tuple(seeds)
        self._authorization = authorization
        self._clock = clock
        self._random = random
        self._entries: tuple[str, ...] = ()
        self._asked_at = 0.0
        self._keep = 0.0
        self._keys: dict[str, collections.deque[str]] = {}
        self._pools: dict[str, connections.Pool] = {}
        self._turn = random.randrange(1 << 16)

    def __len__(self) -> int:
        return len(self._entries)

    async def choose(self, *, service: str) -> connections.Pool | None:
        """Return the connections to the next entry, ``None`` if none is up.

        :param service: a bound key for this service will be wanted; empty
            for none.
        """
        stale = self._clock() - self._asked_at >= self._keep
        short = bool(service) and not self._keys.get(service)
        if stale or short or not self._entries:
            await self._ask()
        if not self._entries:
            return None
        self._turn += 1
        address = self._entries[self._turn % len(self._entries)]
        return self._find_pool(address)

    def take_key(self, service: str) -> str:
        """Return an unused bound key, empty if there is none."""
        waiting = self._keys.get(service)
        return waiting.popleft() if waiting else ''

    def doubt(self, pool: connections.Pool) -> None:
        """Leave out an entry that failed, and ask anew before long."""
        self._keep = 0.0
        failed = f'http://{pool.host}:{pool.port}'
        self._entries = tuple(one for one in self._entries if one != failed)

    async def close(self) -> None:
        """Close idle connections."""
        for pool in self._pools.values():
            await pool.clear()

    async def _ask(self) -> None:
        """Ask entry after entry until one answers."""
        known = list(self._entries)
        seeds = [one for one in self._seeds if one not in known]
        self._random.shuffle(seeds)
        for address in [*known, *seeds]:
            answer = await self._ask_one(self._find_pool(address))
            if answer is not None:
                self._take(answer)
                return

    def _take(self, answer: address_answers.Addresses) -> None:
        self._entries = tuple(one.address for one in answer.entries)
        self._keep = answer.keep_seconds
        self._asked_at = self._clock()
        self._keys = {
            service: collections.deque(keys)
            for service, keys in answer.bindings.items()
        }

    async def _ask_one(
        self, pool: connections.Pool
    ) -> address_answers.Addresses | None:
        connection = await pool.take(fresh=False, seconds=ASK_SECONDS)
        if isinstance(connection, connections.Unreached):
            return None
        request = connections.build(
            host=pool.host,
            port=pool.port,
            method='GET',
            target=address_answers.PATH.encode(),
            headers=[(b'authorization', self._authorization)],
            body=b'',
        )
        request.extensions = {
            'timeout': {'read': ASK_SECONDS, 'write': ASK_SECONDS}
        }
        try:
            response = await connection.handle_async_request(request)
            body = await response.aread()
            if response.status != 200:
                return None
            return msgspec.json.decode(body, type=address_answers.Addresses)
        except (*connections.LOST, msgspec.MsgspecError):
            return None
        finally:
            with anyio.CancelScope(shield=True):
                await pool.give_back(connection)

    def _find_pool(self, address: str) -> connections.Pool:
        pool = self._pools.get(address)
        if pool is None:
            origin = httpcore.URL(address).origin
            pool = connections.Pool(
                host=origin.host.decode(),
                port=origin.port,
                most_idle=IDLE_CONNECTIONS,
            )
            self._pools[address] = pool
        return pool
