"""Estimates until when a response to a request is of use to its caller.

A caller counts its timeout from its first attempt, and sends the request again
when it has had no response for a while.  A gateway can tell the second attempt
from a new request only by the shorter remaining time that it states.  Treated
as new, it is served before requests that can still be answered in time.
"""

from typing import Callable

from . import calls
from . import deployment

#: Length of a window in which stated times are compared.  Callers of a route
#: state the same time, less what they have already used of it.
WINDOW_SECONDS = 10.0
#: Share of a route's objective within which a request must get a slot to be
#: answered in time.  The rest is for reading the prompt, which typically takes
#: 0.17 s of an objective of 0.4 s in benchmark runs.
ON_TIME_START_SHARE = 0.55
#: Share of its time budget that a request waits for its first slot.
MAX_WAIT_SHARE = 0.6
#: Callers wait for each event of a stream, also the first, for the longest of
#: three times: these seconds, this multiple of the route's objective and this
#: multiple of its accepted pause.  The platform's protocol sets the values.
MIN_EVENT_TIMEOUT_SECONDS = 2.0
EVENT_TIMEOUT_OBJECTIVES = 4.0
EVENT_TIMEOUT_PAUSES = 8.0
#: Seconds of that wait reserved for a stream's first event: the 90th
#: percentile of the time from getting a slot to the first event in benchmark
#: runs under load.
FIRST_EVENT_SECONDS = 0.4


class StatedTimeouts:
    """Longest remaining times that callers have stated lately, by route."""

    __slots__ = ('_clock', '_current', '_previous', '_window_start')

    def __init__(self, *, clock: Callable[[], float]) -> None:
        self._clock = clock
        self._current: dict[str, float] = {}
        self._previous: dict[str, float] = {}
        self._window_start = clock()

    def find_longest(self, *, route: str, stated: float) -> float:
        """Return the time that callers of a route state in a first attempt.

        :param stated: remaining seconds that the current request states.
        """
        self._rotate_windows()
        longest = max(stated, self._current.get(route, 0.0))
        self._current[route] = longest
        return max(longest, self._previous.get(route, 0.0))

    def _rotate_windows(self) -> None:
        now = self._clock()
        if now - self._window_start < WINDOW_SECONDS:
            return
        is_recent = now - self._window_start < 2.0 * WINDOW_SECONDS
        self._previous = self._current if is_recent else {}
        self._current = {}
        self._window_start = now


def find_late_after(call: calls.Call) -> float:
    """Return the time after which a start is too late for the objective."""
    return call.first_asked_at + ON_TIME_START_SHARE * call.route.objective


def find_latest_start(call: calls.Call) -> float:
    """Return until when a call may wait for a slot.

    A call that has not run is refused early enough for a retry, and before
    its caller gives up: a request held until then is lost, and has kept
    others waiting in the queue.  A call that has run waits until its deadline,
    as its caller cannot continue it by a retry.
    """
    if call.runs:
        return call.deadline
    time_budget = call.deadline - call.arrived
    latest = call.arrived + MAX_WAIT_SHARE * time_budget
    if not call.route.streams:
        return latest
    event_deadline = call.arrived + find_event_timeout(call.route)
    return min(latest, event_deadline - FIRST_EVENT_SECONDS)


def find_event_timeout(route: deployment.Route) -> float:
    """Return the seconds that callers wait for an event of a stream."""
    return max(
        MIN_EVENT_TIMEOUT_SECONDS,
        EVENT_TIMEOUT_OBJECTIVES * route.objective,
        EVENT_TIMEOUT_PAUSES * route.longest_pause,
    )
