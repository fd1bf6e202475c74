"""How long the passes of a group last, from the events of its streams.

All ranks of a group make each pass together, and each running request gets
an event from each pass.  So the pauses of any stream tell at once, and for
nothing, that passes take longer than a moment ago: because requests ask for
other experts, or because a rank has turned slow.  Reading counts each quarter
of a second to notice the same cost a calm day 0.055 of its worth.
"""

import collections
import dataclasses
from typing import Callable
from typing import Iterable

#: Passes in a row that have to be longer.  One that reads long prompts takes
#: 1.2 to 1.8 times longer, but seldom do two in a row; after a shift of demand
#: all take 1.4 to 2.2 times longer.
RECENT = 2
#: Passes among which the usual one is sought, and the part of them that are
#: shorter than it.  Where demand shifts each 2.5 s, more than half of them
#: were of an uneven map: compared with the median, one shift in three was not
#: told.
USUAL = 40
USUAL_PART = 0.25
LEAST_USUAL = 5
#: Factor from which on passes count as longer than they were: the whole pass,
#: and what goes with one request in it.  The latter does not grow when more
#: requests run; it was 1.9 to 2.3 times longer after shifts in a group of 72.
LONGER = 1.25
LONGER_A_REQUEST = 1.45
#: Part of a pause within which another one is of the same pass.
SAME_PASS = 0.5
#: Seconds for which a pass is told to peers.  A leader of many ranks is given
#: no callers, so it has no streams that would show it that passes are longer.
TELL_SECONDS = 0.25
#: Seconds without events after which older ones say nothing.
SILENCE = 2.0


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class _Pass:
    """One pass.

    :ivar a_request: the part that goes with one of its requests, in seconds.
    """

    seconds: float
    a_request: float


class PassTimes:
    """Lengths of the last passes.

    :param running: returns how many requests an endpoint runs on average.
    :param base: returns the seconds of a pass without any request.
    """

    __slots__ = (
        '_clock',
        '_running',
        '_base',
        '_at',
        '_recent',
        '_usual',
        '_own',
        '_own_at',
    )

    def __init__(
        self,
        *,
        clock: Callable[[], float],
        running: Callable[[], float] = lambda: 0.0,
        base: Callable[[], float] = lambda: 0.0,
    ) -> None:
        self._clock = clock
        self._running = running
        self._base = base
        self._at = float('-inf')
        self._recent: collections.deque[_Pass] = collections.deque()
        self._usual: collections.deque[_Pass] = collections.deque(maxlen=USUAL)
        self._own = 0.0
        self._own_at = float('-inf')

    def note_local(self, seconds: float) -> None:
        """Learn of the time between two events of one stream of ours."""
        self._own = seconds
        self._own_at = self._clock()
        self.note_reported(seconds)

    def last_local(self) -> float:
        """Return the last pass that a stream of ours has shown, 0 if none.

        What peers have told is left out, or it would go round for ever.
        """
        is_new = self._clock() - self._own_at <= TELL_SECONDS
        return self._own if is_new else 0.0

    def note_reported(self, seconds: float) -> None:
        """Learn of a pass that a stream has shown, maybe at a peer."""
        now = self._clock()
        if now - self._at < SAME_PASS * seconds:
            return
        if now - self._at > SILENCE:
            self._recent.clear()
            self._usual.clear()
        self._at = now
        self._recent.append(self._describe(seconds))
        if len(self._recent) > RECENT:
            self._usual.append(self._recent.popleft())

    def are_longer(self) -> bool:
        """Whether passes take longer than they did."""
        if self._clock() - self._at > SILENCE:
            return False
        if len(self._usual) < LEAST_USUAL:
            return False
        whole = _find_usual(one.seconds for one in self._usual)
        a_request = _find_usual(one.a_request for one in self._usual)
        return all(
            one.seconds > LONGER * whole
            and one.a_request > LONGER_A_REQUEST * a_request
            for one in self._recent
        )

    def _describe(self, seconds: float) -> _Pass:
        """Return a pass of now."""
        with_requests = max(0.0, seconds - self._base())
        return _Pass(
            seconds=seconds,
            a_request=with_requests / max(1.0, self._running()),
        )

    def reset_baseline(self) -> None:
        """Take the passes of now for the usual ones."""
        self._usual.clear()


def _find_usual(times: Iterable[float]) -> float:
    ordered = sorted(times)
    return ordered[int(USUAL_PART * len(ordered))]
