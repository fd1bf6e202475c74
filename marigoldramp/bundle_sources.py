"""Where a process gets the parts of a bundle: the store, or a peer."""

import abc
from typing import Iterator

import anyio
import anyio.abc

from . import manifests
from . import peer_client
from . import peer_messages
from . import store as store_module

#: Parts read from the store at once.
CONCURRENT_READS = 8
#: Parts asked of a peer in one request, so that a reply stays in its bound.
PARTS_AT_ONCE = 64

Contents = dict[str, bytes]


class Source(abc.ABC):
    """Gives the parts that a manifest from the same source names."""

    @property
    @abc.abstractmethod
    def name(self) -> str:
        """The source's name in findings."""

    @abc.abstractmethod
    async def fetch(self, digests: tuple[str, ...]) -> Contents:
        """Return those contents that could be had, by digest, unchecked."""


class StoreSource(Source):
    """The platform's store."""

    __slots__ = ('_store',)

    def __init__(self, *, store: store_module.PlatformStore) -> None:
        self._store = store

    @property
    def name(self) -> str:
        return 'store'

    async def fetch(self, digests: tuple[str, ...]) -> Contents:
        contents: Contents = {}
        waiting = iter(digests)
        async with anyio.create_task_group() as group:
            for _ in range(CONCURRENT_READS):
                group.start_soon(self._read, waiting, contents, group)
        return contents

    async def _read(
        self,
        waiting: Iterator[str],
        contents: Contents,
        group: anyio.abc.TaskGroup,
    ) -> None:
        """Read one part after another; all stop when one cannot be had.

        With the store away, each further read would wait for its timeout
        while a peer may have the bundle.
        """
        for digest in waiting:
            read = await self._store.read(key=manifests.key_part(digest))
            if not isinstance(read, store_module.Stored):
                group.cancel_scope.cancel()
                return
            contents[digest] = read.value


class PeerSource(Source):
    """A peer that has the bundle in force."""

    __slots__ = ('_client', '_host', '_instance', '_port')

    def __init__(
        self,
        *,
        client: peer_client.Client,
        instance: str,
        host: str,
        port: int,
    ) -> None:
        self._client = client
        self._instance = instance
        self._host = host
        self._port = port

    @property
    def name(self) -> str:
        return name_peer(self._instance)

    async def fetch_manifest(self, have: int) -> bytes | None:
        """Return the peer's manifest if its number is above ``have``."""
        reply = await self._client.fetch_manifest(
            self._host, self._port, have=have
        )
        if isinstance(reply, peer_messages.Unreachable):
            return None
        return reply.manifest or None

    async def fetch(self, digests: tuple[str, ...]) -> Contents:
        contents: Contents = {}
        for batch in _cut(digests, PARTS_AT_ONCE):
            parts = await self._client.fetch_parts(
                self._host, self._port, digests=batch
            )
            if isinstance(parts, peer_messages.Unreachable):
                break
            contents.update({part.digest: part.content for part in parts})
        return contents


def name_peer(instance: str) -> str:
    """Return the name of a peer as a source."""
    return f'peer {instance}'


def _cut(digests: tuple[str, ...], most: int) -> Iterator[tuple[str, ...]]:
    for start in range(0, len(digests), most):
        yield digests[start : start + most]
