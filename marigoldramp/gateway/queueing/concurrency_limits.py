"""Limits the concurrency of a group so that its streams do not pause too long.

All ranks of an expert-parallel group run each forward pass together, and a
pass takes longer the more requests run.  One pass just over the longest pause
that callers accept makes *every* stream in flight late.  Running a few
requests fewer keeps all of them in time, at the price of a longer queue.

The limit must suit the longest passes: those after a shift of expert demand,
while the load of the ranks is imbalanced and experts are copied.  A limit that
follows the typical pass rises while the load is balanced and falls only after
a shift has already made all streams late.
"""

import collections
from typing import Callable

import msgspec

from .. import deployment
from . import pass_times

#: Share of the accepted pause that a pass may take; the rest covers the
#: transfer to the caller.
MAX_PASS_SHARE = 0.97
#: Seconds over which recent passes determine the limit.  They span a few
#: shifts of expert demand, which occur every 2 to 4 s.
HORIZON_SECONDS = 10.0
#: Share of these passes that may be too long, rounded down: one of a hundred
#: passes, as a gateway may read an event late.  One in 25 admits the pass
#: during which experts are copied, and two of three streams are then late.
MAX_LATE_PASS_SHARE = 0.015
#: Share of the slots that is used however long the pauses are.
MIN_SLOT_SHARE = 0.6
#: Longest pause that affects the limit, as a multiple of the accepted pause.
#: A group that stops for a change of its expert map or a dead rank does not
#: show its capacity.
MAX_PAUSE_RATIO = 2.0
#: Seconds for which passes are ignored after one that no limit would have kept
#: within the accepted pause; the length of a few such passes.
IGNORE_SECONDS = 1.0
#: Load skew of a group after a shift of expert demand (measured: 2.5 to 3.3),
#: and the factors by which copying experts and reading prompts lengthen a
#: pass.  They give the limit until the group has been through a shift.
#: Without them all streams of the first five seconds are late, also after a
#: power loss of all gateways.
SHIFT_SKEW = 3.0
COPYING_FACTOR = 1.15
PROMPTS_FACTOR = 1.15
#: Lower bound of the seconds that requests add to a pass.
MIN_ADDED_SECONDS = 0.001
#: Weight of the newest pause in the exponential moving average.
SMOOTHING_WEIGHT = 0.02


class _PassLimit(msgspec.Struct, frozen=True, kw_only=True):
    """Mean requests per endpoint that would have filled one pass."""

    at: float
    requests: float


class ConcurrencyLimiter:
    """Concurrency limit of one service, from the passes of its group.

    :param running: returns the mean number of requests that an endpoint runs.
    :param engine: returns the published performance figures of its engines,
        ``None`` if there are none.
    :param accepted_pause: returns the longest pause that callers accept, 0 if
        none is known; used before the first pass.
    :ivar pause_ratio: moving average of pauses over the accepted pause.
    :ivar pass_times: recent pass times of its group.
    """

    __slots__ = (
        '_clock',
        '_running',
        '_engine',
        '_read_accepted_pause',
        '_accepted_pause',
        '_slots',
        '_pass_limits',
        '_current_limit',
        '_last_pass_at',
        '_first_pass_at',
        '_ignore_until',
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
        self._read_accepted_pause = accepted_pause
        self._accepted_pause = 0.0
        self._slots = 0.0
        self._pass_limits: collections.deque[_PassLimit] = collections.deque()
        self._current_limit = float('inf')
        self._last_pass_at = float('-inf')
        self._first_pass_at = float('inf')
        self._ignore_until = float('-inf')
        self.pause_ratio = 0.0
        self.pass_times = pass_times.PassTimes(
            clock=clock, running=running, empty_pass=self._empty_pass_seconds
        )

    def limit(self, slots: float) -> float:
        """Return the mean number of requests that an endpoint may run."""
        self._slots = slots
        if not self._accepted_pause:
            self._estimate_initial_limit()
        return min(slots, max(self._current_limit, MIN_SLOT_SHARE * slots))

    def note_pause(self, *, seconds: float, accepted_pause: float) -> None:
        """Record the time between two events of a stream."""
        self.pass_times.note_local(seconds)
        if accepted_pause <= 0.0:
            return
        self._accepted_pause = accepted_pause
        if seconds <= MAX_PAUSE_RATIO * accepted_pause:
            self.pause_ratio += SMOOTHING_WEIGHT * (
                seconds / accepted_pause - self.pause_ratio
            )
        self._note_pass(seconds)

    def note_reported(self, seconds: float) -> None:
        """Record a pass time that a peer reports."""
        self.pass_times.note_reported(seconds)
        self._note_pass(seconds)

    def _estimate_initial_limit(self) -> None:
        """Set the limit before the first pass.

        After a power loss of all gateways, callers reconnect within half a
        second and fill all slots before the first pass is observed.
        """
        self._accepted_pause = self._read_accepted_pause()
        if self._accepted_pause:
            self._current_limit = self._estimate_limit()

    def _note_pass(self, seconds: float) -> None:
        """Update the limit with one more pass."""
        now = self._clock()
        if now - self._last_pass_at < pass_times.SAME_PASS_SHARE * seconds:
            return
        accepted_pause = self._accepted_pause
        if accepted_pause <= 0.0 or seconds > MAX_PAUSE_RATIO * accepted_pause:
            return
        self._last_pass_at = now
        self._first_pass_at = min(self._first_pass_at, now)
        limit = self._find_pass_limit(seconds)
        if limit < MIN_SLOT_SHARE * self._slots:
            # Neither the minimum limit nor that of earlier passes keeps a
            # group with a slow rank in time, and either leaves a queue of
            # several seconds once the rank has recovered.
            self._pass_limits.clear()
            self._ignore_until = now + IGNORE_SECONDS
        if now < self._ignore_until:
            limit = float('inf')
        self._pass_limits.append(_PassLimit(at=now, requests=limit))
        while now - self._pass_limits[0].at > HORIZON_SECONDS:
            self._pass_limits.popleft()
        limits = sorted(one.requests for one in self._pass_limits)
        self._current_limit = limits[int(MAX_LATE_PASS_SHARE * len(limits))]
        if now - self._first_pass_at < HORIZON_SECONDS:
            self._current_limit = min(
                self._current_limit, self._estimate_limit()
            )

    def _find_pass_limit(self, seconds: float) -> float:
        """Return how many requests would have filled a pass.

        The time beyond that of an empty pass is proportional to the requests.
        A pass with few requests does not show the limit, as most of it goes
        into reading the prompts of new requests.
        """
        max_pass = MAX_PASS_SHARE * self._accepted_pause
        empty_pass = min(self._empty_pass_seconds(), max_pass)
        running = self._running()
        if seconds <= max_pass and running < MIN_SLOT_SHARE * self._slots:
            return float('inf')
        return (
            running
            * (max_pass - empty_pass)
            / max(seconds - empty_pass, MIN_ADDED_SECONDS)
        )

    def _estimate_limit(self) -> float:
        """Return how many requests fill a pass after a shift of demand."""
        engine = self._engine()
        if engine is None or not engine.expert_share:
            return float('inf')
        max_pass = MAX_PASS_SHARE * self._accepted_pause / COPYING_FACTOR
        imbalance = 1.0 + engine.expert_share * (SHIFT_SKEW - 1.0)
        per_request = engine.stride * engine.step_per_request * imbalance
        available = max(0.0, max_pass - self._empty_pass_seconds())
        return available / max(PROMPTS_FACTOR * per_request, MIN_ADDED_SECONDS)

    def _empty_pass_seconds(self) -> float:
        """Return the seconds of a pass without requests."""
        engine = self._engine()
        return 0.0 if engine is None else engine.step * engine.stride
