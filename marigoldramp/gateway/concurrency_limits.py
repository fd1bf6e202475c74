"""How many requests a group runs at once without pauses that are too long.

All ranks of a group make each pass together, and a pass takes longer the
more requests run.  One pass that takes just longer than the longest pause
that callers accept makes *every* stream in flight late.  A little room keeps
all of them in time, at the price of a longer queue.

The room must do for the longest passes: those after a shift of demand, while
the map is uneven and experts are copied.  A limit that follows most passes
goes up while the group is even and comes down only when a shift has already
made all streams late.
"""

import collections
import dataclasses
from typing import Callable

from . import deployment
from . import pass_times

#: Part of the longest accepted pause that a pass may take; the rest is for
#: the way to the caller.
FULL_SHARE = 0.97
#: Seconds of passes by which the limit is found: some shifts of demand, which
#: were seen each 2 to 4 s.
HORIZON = 10.0
#: Part of these passes that may be longer: one in a hundred, as one entry may
#: have been late to look.  With one in 25 it was the pass in which experts
#: are copied, and two of three streams were late by it.
LONGER_PART = 0.015
#: Least part of the slots that is used whatever the pauses are.
LEAST_SHARE = 0.6
#: Longest part of the accepted pause that counts: a group that stands for a
#: change of its map or a dead rank does not say how much it can run.
STALLED_SHARE = 2.0
#: Seconds for which nothing is learned after a pass that no limit would have
#: brought in time; some such passes.
USELESS_SECONDS = 1.0
#: Skew that a shift of demand leaves in a group of some ranks, 2.5 to 3.3 in
#: those seen, and by how much passes are longer for the copies after it and
#: for prompts.  Only by these a process knows how much it can run until its
#: group has been through a shift; without them all streams of the first five
#: seconds were late, also after a power loss of all entries.
SHIFT_SKEW = 3.0
COPYING_FACTOR = 1.15
PROMPTS_FACTOR = 1.15
#: Seconds that requests add to a pass at the least.
LEAST_SECONDS = 0.001
#: Weight of the newest pause in the mean.
SMOOTHING = 0.02


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class _Room:
    """How many requests an endpoint may run on average, as one pass shows."""

    at: float
    requests: float


class ConcurrencyLimiter:
    """The limit of one service, as one entry sees its passes.

    :param running: returns how many requests an endpoint runs on average.
    :param engine: returns the published figures of its engines, if there are.
    :param accepted: returns the longest pause that callers accept, 0 if none
        is known; for the time before the first pass.
    :ivar pause_ratio: smoothed pauses, as a part of the accepted ones.
    :ivar pass_times: how long the passes of its group last.
    """

    __slots__ = (
        '_clock',
        '_running',
        '_engine',
        '_find_accepted',
        '_accepted',
        '_slots',
        '_rooms',
        '_room',
        '_pass_at',
        '_first_at',
        '_useless_until',
        'pause_ratio',
        'pass_times',
    )

    def __init__(
        self,
        *,
        clock: Callable[[], float],
        running: Callable[[], float] = lambda: 0.0,
        engine: Callable[[], deployment.Engine | None] = lambda: None,
        accepted_pause: Callable[[], float] = lambda: 0.0,
    ) -> None:
        self._clock = clock
        self._running = running
        self._engine = engine
        self._find_accepted = accepted_pause
        self._accepted = 0.0
        self._slots = 0.0
        self._rooms: collections.deque[_Room] = collections.deque()
        self._room = float('inf')
        self._pass_at = float('-inf')
        self._first_at = float('inf')
        self._useless_until = float('-inf')
        self.pause_ratio = 0.0
        self.pass_times = pass_times.PassTimes(
            clock=clock, running=running, base=self._find_base
        )

    def limit(self, slots: float) -> float:
        """Return how many requests one endpoint may run on average."""
        self._slots = slots
        if not self._accepted:
            self._expect()
        return min(slots, max(self._room, LEAST_SHARE * slots))

    def note_pause(self, *, seconds: float, accepted_pause: float) -> None:
        """Learn of the time between two events of one stream."""
        self.pass_times.note_local(seconds)
        if accepted_pause <= 0.0:
            return
        self._accepted = accepted_pause
        if seconds <= STALLED_SHARE * accepted_pause:
            self.pause_ratio += SMOOTHING * (
                seconds / accepted_pause - self.pause_ratio
            )
        self._note_pass(seconds)

    def note_reported(self, seconds: float) -> None:
        """Learn of a pass that a stream has shown at a peer."""
        self.pass_times.note_reported(seconds)
        self._note_pass(seconds)

    def _expect(self) -> None:
        """Find the limit before there was a pass.

        After a power loss of all entries their callers come back within half
        a second, and fill all slots before the first pass is seen.
        """
        self._accepted = self._find_accepted()
        if self._accepted:
            self._room = self._expect_room()

    def _note_pass(self, seconds: float) -> None:
        """Find the limit anew, by one more pass."""
        now = self._clock()
        if now - self._pass_at < pass_times.SAME_PASS * seconds:
            return
        accepted_pause = self._accepted
        if accepted_pause <= 0.0 or seconds > STALLED_SHARE * accepted_pause:
            return
        self._pass_at = now
        self._first_at = min(self._first_at, now)
        room = self._find_room(seconds)
        if room < LEAST_SHARE * self._slots:
            # Held to the least limit, or to what passes before this one have
            # shown, a group with a slow rank is still late, and has a queue
            # of some seconds once its rank is well.
            self._rooms.clear()
            self._useless_until = now + USELESS_SECONDS
        if now < self._useless_until:
            room = float('inf')
        self._rooms.append(_Room(at=now, requests=room))
        while now - self._rooms[0].at > HORIZON:
            self._rooms.popleft()
        rooms = sorted(one.requests for one in self._rooms)
        self._room = rooms[int(LONGER_PART * len(rooms))]
        if now - self._first_at < HORIZON:
            self._room = min(self._room, self._expect_room())

    def _find_room(self, seconds: float) -> float:
        """Return how many requests would have filled a pass.

        What it takes beyond an empty pass grows with the requests.  Few
        requests tell nothing of many: what is read for those that arrive is
        most of such a pass then.
        """
        full = FULL_SHARE * self._accepted
        base = min(self._find_base(), full)
        running = self._running()
        if seconds <= full and running < LEAST_SHARE * self._slots:
            return float('inf')
        return running * (full - base) / max(seconds - base, LEAST_SECONDS)

    def _expect_room(self) -> float:
        """Return how many requests fill a pass after a shift of demand."""
        engine = self._engine()
        if engine is None or not engine.expert_share:
            return float('inf')
        full = FULL_SHARE * self._accepted / COPYING_FACTOR
        uneven = 1.0 + engine.expert_share * (SHIFT_SKEW - 1.0)
        a_request = engine.stride * engine.step_per_request * uneven
        left = max(0.0, full - self._find_base())
        return left / max(PROMPTS_FACTOR * a_request, LEAST_SECONDS)

    def _find_base(self) -> float:
        """Return the seconds of a pass without any request."""
        engine = self._engine()
        return 0.0 if engine is None else engine.step * engine.stride
