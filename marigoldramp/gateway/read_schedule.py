"""Decides when a gateway reads the store, so that all share the reads.

All gateways together read an object about once per ``MIN_READ_AGE_SECONDS``.
Those that hear each other have an order: the first reads when the confirmation
of what it knows is that old, and the others learn the result from its reports.
Each next one waits longer, so that it reads only if the one before does not.
A gateway that hears no peer is the first.
"""

from typing import Callable

from . import dependency_health

#: Age of the confirmation at which the first gateway reads the store, how much
#: longer each next one waits, and the age at which every gateway reads.  The
#: others learn of a read after up to two report intervals.
MIN_READ_AGE_SECONDS = 0.8
ADDED_AGE_PER_POSITION_SECONDS = 0.3
MAX_READ_AGE_SECONDS = 1.4
#: Interval between two reads of the first gateway while the store fails.
RETRY_INTERVAL_SECONDS = 0.4


class ReadSchedule:
    """When this gateway reads the store.

    :param position: returns how many peers read the store before this gateway,
        0 for the first one.
    """

    __slots__ = ('_clock', '_position', '_not_before')

    def __init__(
        self, *, clock: Callable[[], float], position: Callable[[], int]
    ) -> None:
        self._clock = clock
        self._position = position
        self._not_before = float('-inf')

    def may_read(self) -> bool:
        """Whether the pause after the last failure is over."""
        return self._clock() >= self._not_before

    def is_fresh(self, *, confirmed_at: float) -> bool:
        """Whether a confirmation is too recent for any gateway to read."""
        return self._clock() - confirmed_at <= MIN_READ_AGE_SECONDS

    def is_due(self, *, confirmed_at: float) -> bool:
        """Whether this gateway is to read, by the age of a confirmation."""
        if not self.may_read() or self.is_fresh(confirmed_at=confirmed_at):
            # Finding the position takes a look at all peers.
            return False
        due_age = (
            MIN_READ_AGE_SECONDS
            + ADDED_AGE_PER_POSITION_SECONDS * self._position()
        )
        age = self._clock() - confirmed_at
        return age > min(MAX_READ_AGE_SECONDS, due_age)

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
