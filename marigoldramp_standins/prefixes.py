"""Prefix cache of the engine stand-in, and what it publishes about it.

The cache holds a bounded number of blocks and forgets the least recently
used.  Its events are published late and with gaps: a lost event has used up
its sequence number, which is all by which a reader can notice the loss.
"""

import collections
import hashlib
import random
import time
from typing import Callable

import anyio
import msgspec

BLOCK_BYTES = 256
DIGEST_BYTES = 8
MOST_EVENTS_KEPT = 4096


class CacheEvent(msgspec.Struct, frozen=True, kw_only=True):
    """Blocks, as hexadecimal digests, that came into or left the cache."""

    seq: int
    stored: tuple[str, ...] = ()
    evicted: tuple[str, ...] = ()


class CacheEvents(msgspec.Struct, frozen=True, kw_only=True):
    """Answer to a reader of events.

    :ivar last: number to ask after the next time.
    """

    events: tuple[CacheEvent, ...]
    last: int


def hash_blocks(text: bytes) -> tuple[bytes, ...]:
    """Return chained digests of the whole blocks of a prompt.

    Equal digests mean equal text from the start up to that block.
    """
    digests = []
    digest = b''
    for start in range(0, len(text) - BLOCK_BYTES + 1, BLOCK_BYTES):
        block = text[start : start + BLOCK_BYTES]
        digest = hashlib.blake2b(
            digest + block, digest_size=DIGEST_BYTES
        ).digest()
        digests.append(digest)
    return tuple(digests)


class EventLog:
    """Published events, late by ``lag`` seconds and with gaps.

    :param loss: share of the events that are lost.
    """

    __slots__ = ('lag', 'loss', '_clock', '_random', '_seq', '_kept', '_new')

    def __init__(
        self,
        *,
        lag: float = 0.0,
        loss: float = 0.0,
        clock: Callable[[], float] = time.monotonic,
        chance: random.Random | None = None,
    ) -> None:
        self.lag = lag
        self.loss = loss
        self._clock = clock
        self._random = chance or random.Random(0)
        self._seq = 0
        self._kept: collections.deque[tuple[float, CacheEvent]] = (
            collections.deque(maxlen=MOST_EVENTS_KEPT)
        )
        self._new = anyio.Event()

    def append(
        self, *, stored: tuple[bytes, ...], evicted: tuple[bytes, ...]
    ) -> None:
        """Publish a change of the cache."""
        self._seq += 1
        if self._random.random() < self.loss:
            return
        event = CacheEvent(
            seq=self._seq,
            stored=tuple(digest.hex() for digest in stored),
            evicted=tuple(digest.hex() for digest in evicted),
        )
        self._kept.append((self._clock() + self.lag, event))
        self._new.set()
        self._new = anyio.Event()

    async def read(self, *, after: int, seconds: float) -> CacheEvents:
        """Wait up to ``seconds`` for visible events newer than ``after``."""
        with anyio.move_on_after(seconds):
            while not self._visible(after):
                with anyio.move_on_after(self._until_next(after)):
                    await self._new.wait()
        events = self._visible(after)
        last = events[-1].seq if events else after
        return CacheEvents(events=events, last=last)

    def _visible(self, after: int) -> tuple[CacheEvent, ...]:
        now = self._clock()
        return tuple(
            event
            for visible_at, event in self._kept
            if event.seq > after and visible_at <= now
        )

    def _until_next(self, after: int) -> float:
        for visible_at, event in self._kept:
            if event.seq > after:
                return max(0.0, visible_at - self._clock())
        return float('inf')


class PrefixCache:
    """Least recently used blocks of prompts.

    :param capacity: blocks that fit into its memory.
    """

    __slots__ = ('capacity', '_log', '_blocks')

    def __init__(self, *, capacity: int, log: EventLog) -> None:
        self.capacity = capacity
        self._log = log
        self._blocks: collections.OrderedDict[bytes, None] = (
            collections.OrderedDict()
        )

    def count_leading(self, *, blocks: tuple[bytes, ...]) -> int:
        """Return how many blocks from the start on are in the cache."""
        for index, digest in enumerate(blocks):
            if digest not in self._blocks:
                return index
        return len(blocks)

    def store(self, *, blocks: tuple[bytes, ...]) -> None:
        """Keep the blocks of a prompt, evicting older ones."""
        stored = []
        # From the end to the start, so that the start of a prompt, which
        # other prompts share, is evicted last.
        for digest in reversed(blocks):
            if digest not in self._blocks:
                stored.append(digest)
            self._blocks[digest] = None
            self._blocks.move_to_end(digest)
        evicted = []
        while len(self._blocks) > self.capacity:
            evicted.append(self._blocks.popitem(last=False)[0])
        if stored or evicted:
            self._log.append(
                stored=tuple(reversed(stored)), evicted=tuple(evicted)
            )
