"""Clocks: one that never steps back, and offsets between instances.

A call's deadline is given as a point in time, not only as a duration: a
process that was frozen, or bytes that lay in a buffer, would else find the
whole duration still left.  Wall clocks of instances differ, so each reader
learns the offset of a sender from its heartbeats.
"""

import collections
import time
from typing import Callable

#: Heartbeats over which the smallest offset counts.
WINDOW = 16
#: Senders whose offset is remembered.
MOST_SENDERS = 4096


class Wall:
    """Wall clock that starts right and then advances by monotonic time.

    A step of the system's clock would otherwise make expired keys usable
    again.
    """

    __slots__ = ('_clock', '_offset')

    def __init__(
        self,
        *,
        clock: Callable[[], float] = time.monotonic,
        wall: Callable[[], float] = time.time,
    ) -> None:
        self._clock = clock
        self._offset = wall() - clock()

    def __call__(self) -> float:
        """Return seconds since the epoch."""
        return self._clock() + self._offset


class Offsets:
    """Offsets of other instances' wall clocks against our own.

    The least of the last few differences counts, as delay only adds.
    """

    __slots__ = ('_wall', '_seen')

    def __init__(self, *, wall: Callable[[], float]) -> None:
        self._wall = wall
        self._seen: collections.OrderedDict[str, collections.deque[float]]
        self._seen = collections.OrderedDict()

    def observe(self, *, instance: str, sent_at: float) -> None:
        """Take the time at which an instance sent what just came."""
        if instance not in self._seen:
            self._seen[instance] = collections.deque(maxlen=WINDOW)
            if len(self._seen) > MOST_SENDERS:
                self._seen.popitem(last=False)
        self._seen[instance].append(self._wall() - sent_at)

    def until(self, *, instance: str, at: float) -> float | None:
        """Return the seconds until another instance's time ``at``.

        ``None`` when nothing is known of that instance's clock.
        """
        seen = self._seen.get(instance)
        if not seen:
            return None
        return at + min(seen) - self._wall()
