"""How many requests a group runs at once without pauses that are too long.

All ranks of a group make each pass together, and a pass takes longer the
more requests run.  With every slot in use each pass can take just longer
than the longest pause that callers accept, and then *every* stream is late.
A little room keeps all of them in time, at the price of a longer queue.
"""

from typing import Callable

from . import deployment
from . import passes

#: Part of the longest accepted pause above which fewer requests are run, and
#: below which more are.
HIGH_SHARE = 0.95
LOW_SHARE = 0.85
#: Seconds between two changes of the limit; several passes, so that the last
#: change shows.
ADJUST_EVERY = 0.5
#: Steps of the limit, in requests on one endpoint.
STEP_DOWN = 0.5
STEP_UP = 0.25
#: Least part of the slots that is used whatever the pauses are.
LEAST_SHARE = 0.6
#: Longest part of the accepted pause that counts: a group that stands for a
#: change of its map or a dead rank does not say how much it can run.
STALLED_SHARE = 2.0


#: Weight of the newest pause in the mean.
SMOOTHING = 0.02


class Pace:
    """The limit of one service, as one entry sees its passes.

    :param running: returns how many requests an endpoint runs on average.
    :param engine: returns the published figures of its engines, if there are.
    :ivar share: smoothed pauses, as a part of the accepted ones.
    :ivar passes: how long the passes of its group last.
    """

    __slots__ = (
        '_clock',
        '_engine',
        '_cut',
        '_high',
        '_low',
        '_count',
        '_sum',
        '_slots',
        '_adjusted_at',
        'share',
        'passes',
    )

    def __init__(
        self,
        *,
        clock: Callable[[], float],
        running: Callable[[], float] = lambda: 0.0,
        engine: Callable[[], deployment.Engine | None] = lambda: None,
    ) -> None:
        self._clock = clock
        self._engine = engine
        self._cut = 0.0
        self._high = 0
        self._low = 0
        self._count = 0
        self._sum = 0.0
        self._slots = 0.0
        self._adjusted_at = clock()
        self.share = 0.0
        self.passes = passes.PassTimes(
            clock=clock, running=running, base=self._find_base
        )

    def limit(self, slots: float) -> float:
        """Return how many requests one endpoint may run on average."""
        self._slots = max(self._slots, slots)
        self._cut = min(self._cut, (1.0 - LEAST_SHARE) * slots)
        return slots - self._cut

    def _find_base(self) -> float:
        """Return the seconds of a pass without any request."""
        engine = self._engine()
        return 0.0 if engine is None else engine.step * engine.stride

    def note_pause(self, *, seconds: float, accepted: float) -> None:
        """Learn of the time between two events of one stream."""
        self.passes.note(seconds)
        if accepted <= 0.0 or seconds > STALLED_SHARE * accepted:
            return
        self._count += 1
        self._sum += seconds / accepted
        self.share += SMOOTHING * (seconds / accepted - self.share)
        self._high += seconds > HIGH_SHARE * accepted
        self._low += seconds < LOW_SHARE * accepted
        now = self._clock()
        if now - self._adjusted_at >= ADJUST_EVERY:
            self._adjust()
            self._adjusted_at = now

    def _adjust(self) -> None:
        if 2 * self._high > self._count:
            self._cut += STEP_DOWN
        elif 2 * self._low > self._count:
            self._cut = max(0.0, self._cut - self._find_step_up())
        self._count = self._high = self._low = 0
        self._sum = 0.0

    def _find_step_up(self) -> float:
        """Return by how much the limit can rise at once.

        A pass takes at most as much longer as there are more requests, so
        the limit can rise by as much as the pauses leave.  By steps of the
        least size it took five seconds from the least limit to all slots,
        in which a group whose cause to be slow was over served three fifths
        of what it could, and its queue did not end.
        """
        mean = self._sum / self._count
        if not mean:
            return STEP_UP
        return max(STEP_UP, (LOW_SHARE / mean - 1.0) * self._slots)
