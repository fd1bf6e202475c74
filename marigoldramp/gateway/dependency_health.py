"""Tracks whether a dependency of the process, such as its store, responds."""

from typing import Callable

from absl import logging

from .. import logs

#: Longest retry delay of a gateway, as a multiple of the first gateway's.
MAX_RETRY_FACTOR = 5


def scale_retry_delay(seconds: float, *, position: int) -> float:
    """Return how long a gateway waits before it tries the store again.

    Each gateway waits longer than the one before by the delay of the first.
    Rejected calls to the store are charged too, and gateways learn from each
    other what one of them reads.

    :param seconds: the delay of the first gateway.
    :param position: position of this gateway among those that exchange reports
        often, 0 for the first.
    """
    return seconds * min(MAX_RETRY_FACTOR, 1 + position)


class DependencyHealth:
    """Tracks responses and failures; logs when a dependency is lost or back.

    :param name: name of the dependency in the log.
    :param use: what the dependency is used for.
    :ivar reached: the last request was answered.
    :ivar reached_at: time of the last response.
    :ivar failed_at: time of the last failure.
    """

    __slots__ = (
        '_name',
        '_use',
        '_clock',
        'reached',
        'reached_at',
        'failed_at',
    )

    def __init__(
        self, *, name: str, use: str, clock: Callable[[], float]
    ) -> None:
        self._name = name
        self._use = use
        self._clock = clock
        self.reached = True
        self.reached_at = float('-inf')
        self.failed_at = float('-inf')

    def note_answer(self) -> None:
        """Note a response."""
        self.reached_at = self._clock()
        if not self.reached:
            self.reached = True
            self._log('regained', away=self.reached_at - self.failed_at)

    def note_failure(self, detail: str, *, waited: float = 0.0) -> None:
        """Note that no response came.

        :param waited: seconds for which the call had waited for it.
        """
        self.failed_at = self._clock()
        if self.reached:
            self.reached = False
            self._log('lost', detail=detail, waited=round(waited, 3))

    def _log(self, event: str, **details: str | float) -> None:
        logging.info(
            f'{self._name} {event}',
            extra=logs.fields(use=self._use, **details),
        )
