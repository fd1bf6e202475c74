"""How well one endpoint does, from the outcomes of requests.

An endpoint can turn slow, or fail a part of its requests, while it says that
it is well.  Both show in outcomes only.  What is believed of it fades, so
that it is tried again: an endpoint that is left alone gives no news.
"""

#: Weight of the newest observation.
SMOOTHING = 0.25
#: Seconds after which half of what is believed has faded.
HALF_LIFE = 4.0
#: Seconds that an answer takes at least, when two are compared.
LEAST_SECONDS = 0.005
#: Times longer than usual from which on an endpoint counts as slow; below it
#: requests of unlike size tell nothing.
MIN_SLOW_RATIO = 1.8
#: Times slower for which an endpoint counts at peers that fails everything,
#: by our own outcomes; one failure among successes makes it 2.5 times.
FAILING_WEIGHT = 6.0
#: Largest factor of slowness.
MOST_SLOWNESS = 20.0
#: Seconds for which the pace that a rank reports is believed; the leader of
#: its group asks once a second.
PACE_SECONDS = 3.0
#: Pace from which on a rank counts as slow.  All ranks of a group make each
#: pass together, so a slow one makes the group as slow as itself.
MIN_SLOW_PACE = 1.15


class Quality:
    """Estimates of one endpoint.

    :ivar seconds: smoothed time until it answers, 0 if unknown.
    """

    __slots__ = (
        'seconds',
        '_errors',
        '_at',
        '_breaks',
        '_broke_at',
        '_told',
        '_told_at',
        '_pace',
        '_pace_at',
        '_told_pace',
        '_told_pace_at',
    )

    def __init__(self) -> None:
        self.seconds = 0.0
        self._errors = 0.0
        self._breaks = 0.0
        self._broke_at = float('-inf')
        self._at = float('-inf')
        self._told = 1.0
        self._told_at = float('-inf')
        self._pace = 1.0
        self._pace_at = float('-inf')
        self._told_pace = 1.0
        self._told_pace_at = float('-inf')

    def note_answer(self, *, seconds: float, now: float) -> None:
        """Learn of a good answer and of how long it took."""
        if not self.seconds or now - self._at > 4.0 * HALF_LIFE:
            self.seconds = seconds
        else:
            self.seconds += SMOOTHING * (seconds - self.seconds)
        self.note_success(now=now)

    def note_success(self, *, now: float) -> None:
        """Learn of a good answer whose time tells nothing."""
        self._errors = self.error_rate(now=now) * (1.0 - SMOOTHING)
        self._breaks = self.break_rate(now=now) * (1.0 - SMOOTHING)
        self._broke_at = now
        self._at = now

    def note_error(self, *, now: float) -> None:
        """Learn of a failure."""
        errors = self.error_rate(now=now)
        self._errors = errors + SMOOTHING * (1.0 - errors)
        self._at = now

    def note_break(self, *, now: float) -> None:
        """Learn of a request to which there was no whole answer."""
        self.note_error(now=now)
        breaks = self.break_rate(now=now)
        self._breaks = breaks + SMOOTHING * (1.0 - breaks)
        self._broke_at = now

    def note_peer_slowness(self, *, slowness: float, now: float) -> None:
        """Learn how slow a peer finds the endpoint."""
        self._told = slowness
        self._told_at = now

    def note_pace(self, *, pace: float, now: float) -> None:
        """Learn what pace the endpoint itself reports."""
        self._pace = pace
        self._pace_at = now

    def note_peer_pace(self, *, pace: float, now: float) -> None:
        """Learn from a peer what pace the endpoint reports."""
        self._told_pace = pace
        self._told_pace_at = now

    def reported_pace(self, *, now: float) -> float:
        """Return the pace that it has reported to us, 1 for usual."""
        return self._pace if now - self._pace_at <= PACE_SECONDS else 1.0

    def is_slow_rank(self, *, now: float) -> bool:
        """Whether it makes its group slow, by its own report."""
        told = now - self._told_pace_at <= PACE_SECONDS
        pace = self._told_pace if told else 1.0
        return max(pace, self.reported_pace(now=now)) >= MIN_SLOW_PACE

    def error_rate(self, *, now: float) -> float:
        """Return the part of its requests that it fails, 0 to 1."""
        return self._errors * _fade(now - self._at)

    def break_rate(self, *, now: float) -> float:
        """Return the part of its requests that got no whole answer.

        Answers that tell of a failure do not count: some requests fail on
        every endpoint.
        """
        return self._breaks * _fade(now - self._broke_at)

    def measured_slowness(self, *, usual: float, now: float) -> float:
        """Return how many times longer than usual it takes, 1 for usual.

        :param usual: what endpoints of the service usually take.
        """
        if not self.seconds or not usual:
            return 1.0
        ratio = self.seconds / max(LEAST_SECONDS, usual)
        if ratio < MIN_SLOW_RATIO:
            return 1.0
        over = min(MOST_SLOWNESS, ratio) - 1.0
        return 1.0 + over * _fade(now - self._at)

    def slowness_for_peers(self, *, usual: float, now: float) -> float:
        """Return how many times worse than usual it does, to tell peers.

        Without failures in it each entry has to lose a request of its own to
        an endpoint that fails some, and many of them cannot be repeated.
        """
        failing = 1.0 + FAILING_WEIGHT * self.break_rate(now=now)
        return failing * self.measured_slowness(usual=usual, now=now)

    def slowness(self, *, usual: float, now: float) -> float:
        """Return its slowness by our own outcomes or by peers' word."""
        told = 1.0 + (self._told - 1.0) * _fade(now - self._told_at)
        return max(self.measured_slowness(usual=usual, now=now), told)


def _fade(age: float) -> float:
    return float(0.5 ** (max(0.0, age) / HALF_LIFE))
