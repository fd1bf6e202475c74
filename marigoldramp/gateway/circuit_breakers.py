"""Holds requests back from a service that runs none.

When a group of ranks breaks, every endpoint of the service declines whatever
comes.  Requests that go on trying would use up the budget of repeats within
a second, and be refused though the group forms anew well within their time.
While a gate is shut they wait, and single ones are let through as a trial;
those that were never sent go first, as their sends count as no repeats.
"""

from typing import Callable

from absl import logging

from .. import logs

#: Failures in a row, over all endpoints of a service, that shut its gate.
SHUT_AFTER = 3
#: Seconds between two trials by a request that was never sent, and by one
#: that was, as only the latter spends the budget of repeats.
TRIAL_EVERY = 0.15
REPEATED_TRIAL_EVERY = 0.6


class CircuitBreaker:
    """The gate of one service at one entry."""

    __slots__ = ('_service', '_clock', '_failures', '_shut_at', '_tried_at')

    def __init__(self, *, service: str, clock: Callable[[], float]) -> None:
        self._service = service
        self._clock = clock
        self._failures = 0
        self._shut_at = 0.0
        self._tried_at = float('-inf')

    @property
    def is_tripped(self) -> bool:
        """Whether requests wait."""
        return self._failures >= SHUT_AFTER

    def note_failure(self) -> None:
        """An endpoint of the service has run nothing."""
        self._failures += 1
        if self._failures == SHUT_AFTER:
            self._shut_at = self._clock()
            self._tried_at = self._clock()
            logging.info('gate shut', extra=logs.fields(service=self._service))

    def note_success(self) -> None:
        """An endpoint of the service has begun to answer."""
        if self.is_tripped:
            logging.info(
                'gate opened',
                extra=logs.fields(
                    service=self._service,
                    seconds=round(self._clock() - self._shut_at, 3),
                ),
            )
        self._failures = 0

    def allows(self, *, repeated: bool) -> bool:
        """Whether a request may go now; one that may is taken as a trial.

        :param repeated: the request was sent before.
        """
        if not self.is_tripped:
            return True
        now = self._clock()
        pause = REPEATED_TRIAL_EVERY if repeated else TRIAL_EVERY
        return now - self._tried_at >= pause

    def note_trial(self) -> None:
        """A request goes through."""
        if self.is_tripped:
            self._tried_at = self._clock()
