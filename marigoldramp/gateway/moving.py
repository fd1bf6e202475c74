"""Takes streams away from ranks that compute slowly.

All ranks of a group make each pass together, and a slow one is slower for
each request that it still runs: with a rank twelve times slower than usual
passes took 0.70 s while it had four streams of its own, 0.57 with two and
0.49 with one.  It is given no new requests; those that it has and that
another rank can go on with are moved, which costs one repeat each and makes
the passes of some hundred streams shorter.
"""

from typing import Callable

from absl import logging

from .. import logs
from . import calls
from . import deployment
from . import dispatch
from . import endpoints
from . import retry_budget

#: Goes before all requests that wait.
PRIORITY = -1


class Move:
    """Whether one stream goes on at another endpoint.

    It stays where it is until there is a place for it: callers give a stream
    up that pauses for too long.

    :ivar place: where it goes on, once there is one.
    """

    __slots__ = (
        '_call',
        '_endpoint',
        '_dispatcher',
        '_budget',
        '_clock',
        '_reservation',
        'place',
    )

    def __init__(
        self,
        *,
        call: calls.Call,
        endpoint: endpoints.Endpoint,
        dispatcher: dispatch.Dispatcher,
        budget: retry_budget.RetryBudget,
        clock: Callable[[], float],
    ) -> None:
        self._call = call
        self._endpoint = endpoint
        self._dispatcher = dispatcher
        self._budget = budget
        self._clock = clock
        self._reservation: dispatch.Reservation | None = None
        self.place: dispatch.Place | None = None

    def is_ready(self) -> bool:
        """Say whether to go, after an event was passed on."""
        if self._reservation is None:
            if not self._is_wanted():
                return False
            self._reserve()
        assert self._reservation is not None
        self.place = self._reservation.collect()
        if self.place is None:
            return False
        logging.info(
            'stream moved',
            extra=logs.fields(
                request=self._call.facts.attempt,
                endpoint=self._endpoint.identity,
                to=self.place.endpoint.identity,
                last_event=self._call.last_event,
                waited=round(self.place.waited, 4),
            ),
        )
        self._call.avoid(self._endpoint.identity)
        return True

    def withdraw(self) -> None:
        """Give back what was reserved, if the stream did not go."""
        if self._reservation is not None and self.place is None:
            self._reservation.withdraw()

    def _is_wanted(self) -> bool:
        call = self._call
        if call.route.repeat is not deployment.Repeat.RESUMED:
            return False
        if call.runs >= call.route.attempts:
            return False
        if not self._endpoint.quality.is_slow_rank(now=self._clock()):
            return False
        if not self._dispatcher.is_left(self._endpoint):
            return False
        return self._budget.take(call.service)

    def _reserve(self) -> None:
        call = self._call
        self._reservation = self._dispatcher.reserve(
            dispatch.Demand(
                service=call.service,
                priority=PRIORITY,
                until=call.deadline,
                avoid=call.tried | {self._endpoint.identity},
                repeated=True,
            )
        )
