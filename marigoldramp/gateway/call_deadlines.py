"""How long a request is of use to its caller.

A caller counts its time from when it first asked, and asks again when it has
had no answer for a while.  To an entry the second attempt looks like a new
request but for the time left that it states: taken for a new one, it goes
before requests that can still be answered in time.
"""

from typing import Callable

from . import calls
from . import deployment

#: Seconds of one window of stated times; callers of a route state the same
#: time unless they have used a part of it up.
WINDOW = 10.0
#: Part of a route's objective within which a request must be given a place
#: to be answered in time; the rest is for reading the prompt, which takes
#: 0.17 s of 0.4 s in the middle of the plays.
IN_TIME_SHARE = 0.55
#: Part of its whole time that a request waits for its first place.
WAIT_SHARE = 0.6
#: Longest time that callers wait for the next event of a stream, also for the
#: first one: the longest of these seconds, so many times the objective and
#: so many times the longest accepted pause (from the platform's protocol).
PATIENCE_SECONDS = 2.0
PATIENCE_OBJECTIVES = 4.0
PATIENCE_PAUSES = 8.0
#: Seconds of that time that are kept for a stream's first event: the 90th
#: percentile of the time from a place to the first event in loaded plays.
FIRST_EVENT_SECONDS = 0.4


class StatedTimeouts:
    """The longest times left that callers have stated lately, by route."""

    __slots__ = ('_clock', '_now', '_before', '_turned_at')

    def __init__(self, *, clock: Callable[[], float]) -> None:
        self._clock = clock
        self._now: dict[str, float] = {}
        self._before: dict[str, float] = {}
        self._turned_at = clock()

    def find_longest(self, *, route: str, stated: float) -> float:
        """Return what callers of a route state when they first ask.

        :param stated: the time that is left to one more request, in seconds.
        """
        self._turn()
        longest = max(stated, self._now.get(route, 0.0))
        self._now[route] = longest
        return max(longest, self._before.get(route, 0.0))

    def _turn(self) -> None:
        now = self._clock()
        if now - self._turned_at < WINDOW:
            return
        is_recent = now - self._turned_at < 2.0 * WINDOW
        self._before = self._now if is_recent else {}
        self._now = {}
        self._turned_at = now


def find_late_after(call: calls.Call) -> float:
    """Return until when a place lets the answer count in full."""
    return call.first_asked_at + IN_TIME_SHARE * call.route.objective


def find_latest_start(call: calls.Call) -> float:
    """Return until when a call waits for a place.

    One that has not run is told early enough that its caller can come back,
    and before its caller gives up: a request that is held until then is lost
    for its caller and has kept a place in the queue from others.  One that
    was cut off has only us.
    """
    if call.runs:
        return call.deadline
    whole = call.deadline - call.arrived
    latest = call.arrived + WAIT_SHARE * whole
    if not call.route.streams:
        return latest
    given_up = call.arrived + find_patience(call.route)
    return min(latest, given_up - FIRST_EVENT_SECONDS)


def find_patience(route: deployment.Route) -> float:
    """Return for how many seconds callers wait for an event of a stream."""
    return max(
        PATIENCE_SECONDS,
        PATIENCE_OBJECTIVES * route.objective,
        PATIENCE_PAUSES * route.longest_pause,
    )
