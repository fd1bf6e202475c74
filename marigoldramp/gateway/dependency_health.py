"""Whether something that the process depends on answers it."""

from typing import Callable

from absl import logging

from .. import logs

#: Times that the last entries wait as long as the first before they try again.
MOST_RETRY_FACTOR = 5


def scale_retry_delay(seconds: float, *, position: int) -> float:
    """Return how long an entry waits before it tries the store again.

    Each next entry waits once more as long as the first.  Calls that the store
    turns away are paid for, too, and what one learns the others learn from it.

    :param seconds: for which the first entry waits.
    :param position: our place among the entries that hear each other often, 0
        for the first.
    """
    return seconds * min(MOST_RETRY_FACTOR, 1 + position)


class DependencyHealth:
    """Notes answers and failures; logs when a dependency is lost or back.

    :param name: of the dependency, for the log.
    :param use: what it is asked for.
    :ivar reached: it answered last time.
    :ivar reached_at: when it last answered.
    :ivar failed_at: when it last failed to answer.
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

    def note_answer(self) -> bool:
        """Note an answer; return whether it is the first after a failure."""
        self.reached_at = self._clock()
        if self.reached:
            return False
        self.reached = True
        self._log('regained', away=self.reached_at - self.failed_at)
        return True

    def note_failure(self, detail: str) -> None:
        """Note that no answer came."""
        self.failed_at = self._clock()
        if self.reached:
            self.reached = False
            self._log('lost', detail=detail)

    def _log(self, what: str, **more: str | float) -> None:
        logging.info(
            f'{self._name} {what}', extra=logs.fields(use=self._use, **more)
        )
