"""What engines tell of their prefix caches, on its way to the entries.

An engine publishes which blocks of prompts came into its cache and which
left it, late and with gaps.  The agent beside it passes this on in
datagrams, bounded in size and in bytes a second.  It only makes a better
choice more likely, so whatever does not fit is dropped; entries are told
where that leaves a gap.
"""

import collections
import dataclasses
from typing import Callable
from typing import Iterable

import anyio

from . import messages

#: Bytes of digests in one datagram, with two for the head of each; with
#: the names of instance and service it stays below 1,200 bytes.
DIGESTS_BYTES = 880
DIGEST_HEAD = 2
#: Blocks of one prompt that are looked at.  Prompts share their beginnings,
#: hardly ever their ends.
MOST_OF_PROMPT = 128
#: One in so many digests is passed on, chosen by the digest itself.
SAMPLE = 8
#: Digests that wait for their turn, and digests that entries know of.
MOST_PENDING = 2048
MOST_PUBLISHED = 8192
#: Bytes a second to all entries together, and seconds between two looks.
BYTES_PER_SECOND = 2048.0
PUBLISH_SECONDS = 0.25
#: Seconds' worth of bytes that may be saved up.
MOST_SAVED_SECONDS = 4.0


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Change:
    """Blocks that came into an engine's cache and blocks that left it.

    :ivar stored: digests in the order of the prompt.
    :ivar gap: the engine has published more before this, which was lost.
    """

    stored: tuple[bytes, ...] = ()
    evicted: tuple[bytes, ...] = ()
    gap: bool = False


def is_sampled(digest: bytes) -> bool:
    """Whether a block is one of those that agents and entries speak of.

    A digest covers all blocks before its own too, so some of a prompt's
    blocks tell nearly as much as all.  Every process picks the same ones,
    so what was told as stored is also told as evicted.
    """
    return not digest[-1] % SAMPLE


OnChange = Callable[[Change], None]
#: Sends to all entries and returns the bytes that this took.
Send = Callable[[messages.CacheEvents], int]


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Source:
    """The agent whose engine the events are about."""

    instance: str
    service: str
    incarnation: int


class Publisher:
    """Passes the changes of one engine's cache on to entries.

    :param wall: clock in seconds that receivers share.
    """

    __slots__ = (
        '_source',
        '_send',
        '_clock',
        '_wall',
        '_stored',
        '_evicted',
        '_published',
        '_gap',
        '_sequence',
        '_saved',
        '_at',
    )

    def __init__(
        self,
        *,
        source: Source,
        send: Send,
        clock: Callable[[], float],
        wall: Callable[[], float],
    ) -> None:
        self._source = source
        self._send = send
        self._clock = clock
        self._wall = wall
        self._stored: dict[bytes, None] = {}
        self._evicted: dict[bytes, None] = {}
        self._published: collections.OrderedDict[bytes, None] = (
            collections.OrderedDict()
        )
        self._gap = False
        self._sequence = 0
        self._saved = BYTES_PER_SECOND
        self._at = clock()

    def note(self, change: Change) -> None:
        """Take in a change; what cannot be passed on becomes a gap."""
        if change.gap:
            self._forget()
        stored = filter(is_sampled, change.stored[:MOST_OF_PROMPT])
        self._stored.update(dict.fromkeys(stored))
        for digest in filter(is_sampled, change.evicted):
            # Entries know nothing of a block that they were never told of.
            if digest in self._published:
                del self._published[digest]
                self._evicted[digest] = None
            else:
                self._stored.pop(digest, None)
        if len(self._stored) + len(self._evicted) > MOST_PENDING:
            self._forget()

    async def run(self) -> None:
        """Publish until cancelled."""
        while True:
            await anyio.sleep(PUBLISH_SECONDS)
            self.publish()

    def publish(self) -> None:
        """Send one datagram to each entry if there is cause and room."""
        now = self._clock()
        self._saved = min(
            BYTES_PER_SECOND * MOST_SAVED_SECONDS,
            self._saved + (now - self._at) * BYTES_PER_SECOND,
        )
        self._at = now
        if self._saved <= 0.0:
            return
        if not (self._gap or self._stored or self._evicted):
            return
        self._sequence += 1
        evicted = _take(self._evicted, DIGESTS_BYTES)
        room = DIGESTS_BYTES - _measure(evicted)
        stored = _take(self._stored, room)
        sent = self._send(
            messages.CacheEvents(
                instance=self._source.instance,
                service=self._source.service,
                incarnation=self._source.incarnation,
                sequence=self._sequence,
                sent_at=self._wall(),
                gap=self._gap,
                stored=stored,
                evicted=evicted,
            )
        )
        self._gap = False
        self._saved -= sent
        self._remember(stored)

    def _remember(self, stored: Iterable[bytes]) -> None:
        for digest in stored:
            self._published[digest] = None
        while len(self._published) > MOST_PUBLISHED:
            self._published.popitem(last=False)

    def _forget(self) -> None:
        self._gap = True
        self._stored.clear()
        self._evicted.clear()
        self._published.clear()


def _take(waiting: dict[bytes, None], most: int) -> tuple[bytes, ...]:
    """Take the digests that have waited longest, up to a size."""
    taken = []
    for digest in waiting:
        most -= len(digest) + DIGEST_HEAD
        if most < 0:
            break
        taken.append(digest)
    for digest in taken:
        del waiting[digest]
    return tuple(taken)


def _measure(digests: tuple[bytes, ...]) -> int:
    return sum(len(digest) + DIGEST_HEAD for digest in digests)
