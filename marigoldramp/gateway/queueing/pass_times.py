"""Estimates the forward pass times of a group from events of its streams.

All ranks of an expert-parallel group run each forward pass together, and each
running request gets an event from each pass.  The pause between two events of
any stream therefore shows at once, and at no cost, that passes have slowed
down: because requests use other experts, or because a rank has become slow.
Polling the ranks' expert counts every quarter of a second to notice the same
costs 0.055 of the value served on a quiet day.
"""

import collections
from typing import Callable
from typing import Iterable

import msgspec

#: Consecutive passes that must be slower.  A pass that reads long prompts
#: takes 1.2 to 1.8 times longer, but seldom two in a row; after a shift of
#: expert demand all passes take 1.4 to 2.2 times longer.
RECENT_PASSES = 2
#: Passes that form the baseline, and the quantile of their times that recent
#: passes are compared with.  Where demand shifts every 2.5 s, the load is
#: imbalanced in more than half of them, and comparing with the median misses
#: one shift in three.
MAX_BASELINE_PASSES = 40
BASELINE_QUANTILE = 0.25
MIN_BASELINE_PASSES = 5
#: Multiples of the baseline that a slower pass must exceed: one for its time,
#: one for its time per request.  The latter does not grow with the number of
#: requests; after shifts in a group of 72 ranks it is 1.9 to 2.3 times longer.
SLOWDOWN_FACTOR = 1.25
REQUEST_SLOWDOWN_FACTOR = 1.45
#: A pause that ends within this share of its length after the last pass was
#: recorded belongs to that pass.
SAME_PASS_SHARE = 0.5
#: Seconds for which a pass is reported to peers.  The leader of a large group
#: gets no callers and so has no streams of its own to observe passes on.
REPORT_SECONDS = 0.25
#: Seconds without events after which older passes are discarded.
MAX_SILENCE_SECONDS = 2.0


class _Pass(msgspec.Struct, frozen=True, kw_only=True):
    """One forward pass.

    :ivar per_request: seconds that each request added to it.
    """

    seconds: float
    per_request: float


class PassTimes:
    """Recent pass times of one group.

    :param running: returns the mean number of requests that an endpoint runs.
    :param empty_pass: returns the seconds of a pass without requests.
    """

    __slots__ = (
        '_clock',
        '_running',
        '_empty_pass',
        '_last_pass_at',
        '_recent',
        '_baseline',
        '_last_local',
        '_last_local_at',
    )

    def __init__(
        self,
        *,
        clock: Callable[[], float],
        running: Callable[[], float] = lambda: 0.0,
        empty_pass: Callable[[], float] = lambda: 0.0,
    ) -> None:
        self._clock = clock
        self._running = running
        self._empty_pass = empty_pass
        self._last_pass_at = float('-inf')
        self._recent: collections.deque[_Pass] = collections.deque()
        self._baseline: collections.deque[_Pass] = collections.deque(
            maxlen=MAX_BASELINE_PASSES
        )
        self._last_local = 0.0
        self._last_local_at = float('-inf')

    def note_local(self, seconds: float) -> None:
        """Record the time between two events of a local stream."""
        self._last_local = seconds
        self._last_local_at = self._clock()
        self.note_reported(seconds)

    def last_local(self) -> float:
        """Return the last pass time of a local stream, 0 if there is none.

        Times that peers reported are left out, as gateways would otherwise
        report them back and forth for ever.
        """
        is_new = self._clock() - self._last_local_at <= REPORT_SECONDS
        return self._last_local if is_new else 0.0

    def note_reported(self, seconds: float) -> None:
        """Record a pass time from a local stream or from a peer."""
        now = self._clock()
        if now - self._last_pass_at < SAME_PASS_SHARE * seconds:
            return
        if now - self._last_pass_at > MAX_SILENCE_SECONDS:
            self._recent.clear()
            self._baseline.clear()
        self._last_pass_at = now
        self._recent.append(self._make_pass(seconds))
        if len(self._recent) > RECENT_PASSES:
            self._baseline.append(self._recent.popleft())

    def are_longer(self) -> bool:
        """Whether the recent passes are slower than the baseline."""
        if self._clock() - self._last_pass_at > MAX_SILENCE_SECONDS:
            return False
        if len(self._baseline) < MIN_BASELINE_PASSES:
            return False
        baseline = _find_baseline(one.seconds for one in self._baseline)
        per_request = _find_baseline(one.per_request for one in self._baseline)
        return all(
            one.seconds > SLOWDOWN_FACTOR * baseline
            and one.per_request > REQUEST_SLOWDOWN_FACTOR * per_request
            for one in self._recent
        )

    def _make_pass(self, seconds: float) -> _Pass:
        """Return a pass with its time per running request."""
        added = max(0.0, seconds - self._empty_pass())
        return _Pass(
            seconds=seconds,
            per_request=added / max(1.0, self._running()),
        )

    def reset_baseline(self) -> None:
        """Start a new baseline from the passes that follow."""
        self._baseline.clear()


def _find_baseline(times: Iterable[float]) -> float:
    ordered = sorted(times)
    return ordered[int(BASELINE_QUANTILE * len(ordered))]
