"""Holds requests in the queue while a service runs none.

When a group of ranks breaks, every endpoint of the service declines all
requests.  Requests that kept trying would use up the retry budget within a
second, and be refused though the group forms again well before their
deadlines.  While the circuit breaker is tripped they wait, and single requests
are let through as a trial.  Requests that were never sent go first, as their
first send does not count as a retry.
"""

from typing import Callable

from absl import logging

from ... import logs

#: Consecutive failures of the endpoints of a service that trip its breaker.
FAILURE_THRESHOLD = 3
#: Seconds from a trial to the next one, by a request that was never sent and
#: by one that was; only the latter spends the retry budget.
TRIAL_INTERVAL_SECONDS = 0.15
REPEATED_TRIAL_INTERVAL_SECONDS = 0.6


class CircuitBreaker:
    """Circuit breaker of one service in this gateway process.

    It is logged as a gate: "gate shut" when it trips, "gate opened" when
    requests pass again.
    """

    __slots__ = (
        '_service',
        '_clock',
        '_failures',
        '_tripped_at',
        '_last_trial_at',
    )

    def __init__(self, *, service: str, clock: Callable[[], float]) -> None:
        self._service = service
        self._clock = clock
        self._failures = 0
        self._tripped_at = 0.0
        self._last_trial_at = float('-inf')

    @property
    def is_tripped(self) -> bool:
        """Whether requests are held back."""
        return self._failures >= FAILURE_THRESHOLD

    def note_failure(self) -> None:
        """Note that an endpoint of the service did not run a request."""
        self._failures += 1
        if self._failures == FAILURE_THRESHOLD:
            self._tripped_at = self._clock()
            self._last_trial_at = self._clock()
            logging.info('gate shut', extra=logs.fields(service=self._service))

    def note_success(self) -> None:
        """Note that an endpoint of the service has begun to respond."""
        if self.is_tripped:
            logging.info(
                'gate opened',
                extra=logs.fields(
                    service=self._service,
                    seconds=round(self._clock() - self._tripped_at, 3),
                ),
            )
        self._failures = 0

    def allows(self, *, repeated: bool) -> bool:
        """Whether a request may be sent now, if need be as a trial.

        :param repeated: the request was sent before.
        """
        if not self.is_tripped:
            return True
        now = self._clock()
        interval = (
            REPEATED_TRIAL_INTERVAL_SECONDS
            if repeated
            else TRIAL_INTERVAL_SECONDS
        )
        return now - self._last_trial_at >= interval

    def note_trial(self) -> None:
        """Note that a request is sent; while tripped it is a trial."""
        if self.is_tripped:
            self._last_trial_at = self._clock()
