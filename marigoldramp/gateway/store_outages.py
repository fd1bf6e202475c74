"""Finds outages of the store in which records of live endpoints may lapse.

A record lapses when its endpoint has written nothing for some heartbeats.  A
failed call does not show that: it may concern this gateway alone, or be a
watch that was cut off.  What counts is for how long the store is not known to
have answered any gateway.
"""

import bisect
import itertools
from typing import Callable

#: Heartbeats without a write after which a record lapses.
LAPSE_HEARTBEATS = 3.0
#: Longest time between two writes of a live endpoint, in heartbeats.
MAX_WRITE_HEARTBEATS = 1.2
DEFAULT_HEARTBEAT_SECONDS = 1.2
#: Seconds after the end of an outage within which live endpoints have written
#: their records again.
RETURN_SECONDS = 2.2
#: Answers that are closer to each other than this many seconds count as one.
RESOLUTION_SECONDS = 0.1


class StoreOutages:
    """When the store answered, to this gateway or to a peer.

    :param heartbeat: returns the seconds between two writes of an endpoint.
    """

    __slots__ = ('_clock', '_heartbeat', '_answered_at', '_restored_until')

    def __init__(
        self,
        *,
        clock: Callable[[], float],
        heartbeat: Callable[[], float] = lambda: DEFAULT_HEARTBEAT_SECONDS,
    ) -> None:
        self._clock = clock
        self._heartbeat = heartbeat
        self._answered_at = [clock()]
        self._restored_until = float('-inf')

    def note_answer(self, *, age: float = 0.0) -> None:
        """Record that the store answered a call.

        :param age: seconds since then.  An answer to a peer may become known
            after later ones, and show that there was no outage.
        """
        at = self._clock() - age
        place = bisect.bisect(self._answered_at, at)
        if place == 0:
            # Answers between this one and the first known are forgotten.
            return
        close = self._answered_at[place - 1 : place + 1]
        if any(abs(at - other) < RESOLUTION_SECONDS for other in close):
            return
        self._answered_at.insert(place, at)
        self._forget_past_outages()

    def _forget_past_outages(self) -> None:
        since = self._clock() - RETURN_SECONDS
        while len(self._answered_at) > 1 and self._answered_at[1] < since:
            del self._answered_at[0]

    def note_restore(self) -> None:
        """Record that the store was restored and lacks some records."""
        self._restored_until = self._clock() + RETURN_SECONDS

    def may_hide_endpoints(self) -> bool:
        """Whether an endpoint without a record may be live.

        That holds during an outage that is long enough for records to lapse,
        and until their endpoints have had the time to write them again.
        """
        now = self._clock()
        if now < self._restored_until:
            return True
        shortest = self._find_shortest_outage()
        if now - self._answered_at[-1] >= shortest:
            return True
        return any(
            end - begin >= shortest and now - end < RETURN_SECONDS
            for begin, end in itertools.pairwise(self._answered_at)
        )

    def _find_shortest_outage(self) -> float:
        """Return the seconds after which the first record may lapse."""
        return (LAPSE_HEARTBEATS - MAX_WRITE_HEARTBEATS) * self._heartbeat()
