"""How late the timers of this process are.

An event loop that has more work than its processor can do, or whose processor
is slowed, runs its timers late by about the time that requests wait for it.
"""

from typing import Callable

#: Half-life of a delay that was found.
HALF_LIFE_SECONDS = 0.5
#: Weight of the newest observation: single delays come from imports or a
#: collection of garbage.
SMOOTHING_WEIGHT = 0.25


class TimerDelay:
    """The smoothed delay of a timer that runs several times a second."""

    __slots__ = ('_clock', '_seconds', '_noted_at')

    def __init__(self, *, clock: Callable[[], float]) -> None:
        self._clock = clock
        self._seconds = 0.0
        self._noted_at = clock()

    def note(self, seconds: float) -> None:
        """Record by how many seconds a timer was late."""
        last = self.find_seconds()
        self._seconds = last + SMOOTHING_WEIGHT * (max(0.0, seconds) - last)
        self._noted_at = self._clock()

    def find_seconds(self) -> float:
        """Return the usual delay in seconds."""
        age = self._clock() - self._noted_at
        return float(self._seconds * 0.5 ** (age / HALF_LIFE_SECONDS))
