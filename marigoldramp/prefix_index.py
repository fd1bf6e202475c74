"""Which endpoints probably have the beginning of a prompt in their cache.

An entry learns it from the cache events of engines and from the calls that
it has itself sent.  Both can be wrong: events come late and are lost, and an
engine evicts what it likes.  So the index only ever ranks endpoints.
"""

import dataclasses
from typing import Sequence

from . import cache_events
from . import messages

#: Blocks remembered of one endpoint; the least recently used go first.
MOST_BLOCKS = 1024
#: Endpoints remembered; beyond them the first one is forgotten.
MOST_INSTANCES = 256


@dataclasses.dataclass(slots=True, kw_only=True)
class _Cache:
    """What is believed of one endpoint's cache.

    :ivar sequence: of the last events, 0 before the first.
    """

    incarnation: int = 0
    sequence: int = 0
    blocks: dict[bytes, None] = dataclasses.field(default_factory=dict)

    def add(self, digest: bytes) -> None:
        """Note a block as the most recently used."""
        self.blocks.pop(digest, None)
        self.blocks[digest] = None
        if len(self.blocks) > MOST_BLOCKS:
            del self.blocks[next(iter(self.blocks))]


class PrefixIndex:
    """Blocks by endpoint."""

    __slots__ = ('_caches',)

    def __init__(self) -> None:
        self._caches: dict[str, _Cache] = {}

    def note(self, events: messages.CacheEvents) -> None:
        """Take in what an engine has told.

        A lost event may have been an eviction.  Believing in blocks that
        are gone would send calls to a loaded endpoint for nothing, so a gap
        forgets all that is believed of that endpoint.
        """
        cache = self._find(events.instance)
        follows = (
            cache.incarnation == events.incarnation
            and cache.sequence in (0, events.sequence - 1)
        )
        if events.gap or not follows:
            cache.blocks.clear()
        cache.incarnation = events.incarnation
        cache.sequence = events.sequence
        for digest in events.evicted:
            cache.blocks.pop(digest, None)
        for digest in events.stored:
            cache.add(digest)

    def learn(self, *, instance: str, prefix: Sequence[bytes]) -> None:
        """Note that a prompt is being sent to an endpoint.

        The blocks are noted from the end, so that the beginning, which
        other prompts share, is forgotten last.
        """
        cache = self._find(instance)
        for digest in reversed(prefix):
            if cache_events.is_sampled(digest):
                cache.add(digest)

    def forget(self, instance: str) -> None:
        """Forget an endpoint that is gone."""
        self._caches.pop(instance, None)

    def count(self, *, instance: str, prefix: Sequence[bytes]) -> int:
        """Return how many blocks from the start an endpoint may have.

        Blocks that are never spoken of count as theirs whose digest covers
        them.
        """
        cache = self._caches.get(instance)
        if cache is None:
            return 0
        count = 0
        for index, digest in enumerate(prefix):
            if digest in cache.blocks:
                count = index + 1
            elif cache_events.is_sampled(digest):
                break
        return count

    def _find(self, instance: str) -> _Cache:
        cache = self._caches.get(instance)
        if cache is None:
            cache = _Cache()
            self._caches[instance] = cache
            if len(self._caches) > MOST_INSTANCES:
                del self._caches[next(iter(self._caches))]
        return cache
