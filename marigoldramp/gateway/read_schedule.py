"""Decides when a gateway reads the store, so that all share the reads.

Gateways that hear each other have an order: the first reads when the
confirmation of what it knows has reached an age, and the others learn the
result from its reports.  Each next one waits longer, so that it reads only if
the one before does not.  A gateway that hears no peer is the first.
"""

from typing import Callable

from . import dependency_health

#: How much longer than the one before each gateway waits, and all of them at
#: the most.  They learn of a read after up to two report intervals.
ADDED_AGE_PER_POSITION_SECONDS = 0.3
MAX_ADDED_AGE_SECONDS = 0.6
#: Interval between two reads of the first gateway while the store fails.
RETRY_INTERVAL_SECONDS = 0.4


class ReadSchedule:
    """When this gateway reads the store.

    :param min_age: seconds since the confirmation after which the first
        gateway reads.
    :param position: returns how many peers read the store before this gateway,
        0 for the first one.
    """

    __slots__ = ('_clock', '_min_age', '_position', '_not_before')

    def __init__(
        self,
        *,
        min_age: float,
        clock: Callable[[], float],
        position: Callable[[], int],
    ) -> None:
        self._min_age = min_age
        self._clock = clock
        self._position = position
        self._not_before = float('-inf')

    def may_read(self) -> bool:
        """Whether the pause after the last failure is over."""
        return self._clock() >= self._not_before

    def is_fresh(self, *, confirmed_at: float) -> bool:
        """Whether a confirmation is too recent for any gateway to read."""
        return self._clock() - confirmed_at <= self._min_age

    def is_due(self, *, confirmed_at: float) -> bool:
        """Whether this gateway is to read, by the age of a confirmation."""
        if not self.may_read() or self.is_fresh(confirmed_at=confirmed_at):
            # Finding the position takes a look at all peers.
            return False
        added_age = ADDED_AGE_PER_POSITION_SECONDS * self._position()
        due_age = self._min_age + min(MAX_ADDED_AGE_SECONDS, added_age)
        return self._clock() - confirmed_at > due_age

    def wait(self, seconds: float) -> None:
        """Read nothing for some seconds."""
        self._not_before = self._clock() + seconds

    def pause(self) -> None:
        """Delay the next read, longer for gateways later in the order."""
        self.wait(
            dependency_health.scale_retry_delay(
                RETRY_INTERVAL_SECONDS, position=self._position()
            )
        )
