"""How often a process reads the instance list, and when it counts as away.

A reading costs bytes in proportion to the fleet: at 1,280 instances each
second it is 242 KB/s at every process and most of the store's reads.  So the
readings become fewer as the list grows.  Somebody still reads it at any
moment, and tells an instance that is to leave, see :mod:`.peer_intake`.
"""

import random as random_module
from typing import Callable

#: Bytes of a row, and what a process spends on readings in a second.
ROW_BYTES = 190
BYTES_PER_SECOND = 3_000
#: Share by which readings are spread, so that they do not fall together.
JITTER = 0.2
#: Seconds without a reading after which the list counts as away, and the
#: same in intervals between readings.
AWAY_SECONDS = 5.0
AWAY_INTERVALS = 3.0


class Listing:
    """What is known of the readings of the instance list."""

    __slots__ = ('_clock', '_random', '_read_at', '_rows')

    def __init__(
        self, *, clock: Callable[[], float], random: random_module.Random
    ) -> None:
        self._clock = clock
        self._random = random
        self._read_at: float | None = None
        self._rows = 0

    @property
    def is_read(self) -> bool:
        """Whether the list has been read since the start."""
        return self._read_at is not None

    def note(self, rows: int) -> None:
        """Note a reading and its length."""
        self._read_at = self._clock()
        self._rows = rows

    def choose_pause(self, least: float) -> float:
        """Return the seconds until the next reading is due."""
        spread = self._random.uniform(1 - JITTER, 1 + JITTER)
        return max(least, self._interval * spread)

    def is_away(self) -> bool:
        """Return whether readings have stayed out for too long."""
        if self._read_at is None:
            return True
        longest = max(AWAY_SECONDS, AWAY_INTERVALS * self._interval)
        return self._clock() - self._read_at > longest

    @property
    def _interval(self) -> float:
        return self._rows * ROW_BYTES / BYTES_PER_SECOND
