"""How long the passes of a group last, from the events of its streams.

All ranks of a group make each pass together, and each running request gets
an event from each pass.  So the pauses of any stream tell at once, and for
nothing, that passes take longer than a moment ago: because requests ask for
other experts, or because a rank has turned slow.  Reading counts each quarter
of a second to notice the same cost a calm day 0.055 of its worth.
"""

import collections
import statistics
from typing import Callable

#: Passes whose median counts as that of now, and as the usual one.  A pass
#: that reads long prompts takes 1.2 to 1.8 times longer, but seldom two of
#: three do; after a shift of demand all take 1.4 to 2.2 times longer.
RECENT = 3
USUAL = 20
LEAST_USUAL = 5
#: Factor from which on passes count as longer than they were.
LONGER = 1.25
#: Part of a pause within which another one is of the same pass.
SAME_PASS = 0.5
#: Seconds for which a pass is told to peers.  A leader of many ranks is given
#: no callers, so it has no streams that would show it that passes are longer.
TELL_SECONDS = 0.25
#: Seconds without events after which older ones say nothing.
SILENCE = 2.0


class PassTimes:
    """Lengths of the last passes."""

    __slots__ = ('_clock', '_at', '_recent', '_usual', '_own', '_own_at')

    def __init__(self, *, clock: Callable[[], float]) -> None:
        self._clock = clock
        self._at = float('-inf')
        self._recent: collections.deque[float] = collections.deque()
        self._usual: collections.deque[float] = collections.deque(maxlen=USUAL)
        self._own = 0.0
        self._own_at = float('-inf')

    def note(self, seconds: float) -> None:
        """Learn of the time between two events of one stream of ours."""
        self._own = seconds
        self._own_at = self._clock()
        self.note_told(seconds)

    def own(self) -> float:
        """Return the last pass that a stream of ours has shown, 0 if none.

        What peers have told is left out, or it would go round for ever.
        """
        is_new = self._clock() - self._own_at <= TELL_SECONDS
        return self._own if is_new else 0.0

    def note_told(self, seconds: float) -> None:
        """Learn of a pass that a stream has shown, maybe at a peer."""
        now = self._clock()
        if now - self._at < SAME_PASS * seconds:
            return
        if now - self._at > SILENCE:
            self._recent.clear()
            self._usual.clear()
        self._at = now
        self._recent.append(seconds)
        if len(self._recent) > RECENT:
            self._usual.append(self._recent.popleft())

    def are_longer(self) -> bool:
        """Whether passes take longer than they did."""
        if self._clock() - self._at > SILENCE:
            return False
        if len(self._usual) < LEAST_USUAL:
            return False
        usual = statistics.median(self._usual)
        return statistics.median(self._recent) > LONGER * usual

    def accept(self) -> None:
        """Take the passes of now for the usual ones."""
        self._usual.clear()
