"""Smoothed estimates from observations, which fade when none come.

A process that refuses a call because of an estimate makes no observation by
that refusal.  An estimate that was once too high would then refuse all
calls of its kind for ever, seen as refusals while endpoints stand idle.
Estimates here fade with time, so that a call is tried again.
"""

import math
from typing import Callable

#: Weight of the newest observation.
SMOOTHING = 0.1
#: An estimate is halved for each such span without an observation.
HALF_LIFE_SECONDS = 10.0
#: Spans shorter than this do not fade an estimate at all.
FRESH_SECONDS = 5.0
#: Span over which a rate is averaged.
RATE_SECONDS = 10.0
#: Sizes beyond this fall into the last class.
MOST_SIZE_CLASS = 24


class Smoothed:
    """An exponentially weighted mean with the time of its last input."""

    __slots__ = ('value', 'deviation', 'at', 'count')

    def __init__(self) -> None:
        self.value = 0.0
        self.deviation = 0.0
        self.at = 0.0
        self.count = 0

    def observe(self, value: float, *, now: float) -> None:
        """Take in an observation; the first ones count more."""
        self.count += 1
        weight = max(SMOOTHING, 1.0 / self.count)
        error = value - self.value
        self.value += weight * error
        if self.count > 1:
            self.deviation += weight * (abs(error) - self.deviation)
        self.at = now

    def fresh(self, *, now: float) -> float:
        """Return how far the value is still to be believed, 0 to 1."""
        age = now - self.at - FRESH_SECONDS
        if age <= 0.0:
            return 1.0
        return float(0.5 ** (age / HALF_LIFE_SECONDS))


class ServiceTimes:
    """Expected seconds of service by priority and size of a call.

    Calls differ in length a hundredfold, so one mean over all would put a
    short urgent call at the length of a draft and refuse it.  The classes
    are the priority and the power of two of the size, at most 75.
    """

    __slots__ = ('_clock', '_classes')

    def __init__(self, *, clock: Callable[[], float]) -> None:
        self._clock = clock
        self._classes: dict[int, Smoothed] = {}

    def observe(self, *, priority: int, size: float, seconds: float) -> None:
        """Take in the service time of a call that ran to its end."""
        key = _class_of(priority=priority, size=size)
        known = self._classes.setdefault(key, Smoothed())
        known.observe(seconds, now=self._clock())

    def expect(
        self, *, priority: int, size: float, deviations: float = 0.0
    ) -> float:
        """Return the expected seconds; 0 where nothing is known.

        :param deviations: so many mean deviations are added.
        """
        known = self._classes.get(_class_of(priority=priority, size=size))
        if known is None:
            return 0.0
        value = known.value + deviations * known.deviation
        return value * known.fresh(now=self._clock())

    def deviation(self, *, priority: int, size: float) -> float:
        """Return the mean deviation of the seconds."""
        known = self._classes.get(_class_of(priority=priority, size=size))
        return 0.0 if known is None else known.deviation


def _class_of(*, priority: int, size: float) -> int:
    bits = int(max(0.0, size)).bit_length()
    return int(priority) * 32 + min(MOST_SIZE_CLASS, bits)


class Rate:
    """Sum of amounts a second over the last few seconds.

    :param seconds: an amount counts for about so long.
    """

    __slots__ = ('_seconds', '_sum', '_at')

    def __init__(self, *, seconds: float = RATE_SECONDS) -> None:
        self._seconds = seconds
        self._sum = 0.0
        self._at = 0.0

    def add(self, amount: float, *, now: float) -> None:
        """Count an amount."""
        self._sum = self._faded(now=now) + amount
        self._at = now

    def rate(self, *, now: float) -> float:
        """Return the amount a second."""
        return self._faded(now=now) / self._seconds

    def _faded(self, *, now: float) -> float:
        return self._sum * math.exp((self._at - now) / self._seconds)
