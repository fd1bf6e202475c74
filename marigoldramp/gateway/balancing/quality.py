"""Estimates the latency and error rate of one endpoint from outcomes.

An endpoint can become slow, or fail some of its requests, while it reports
that it is healthy.  The estimates decay to normal over time, so that an
avoided endpoint is tried again: without requests there are no new outcomes.
"""

#: Weight of the newest observation in the moving averages.
SMOOTHING_WEIGHT = 0.25
#: Weight of an answer that takes much longer than the last ones: one such
#: answer can be a large request, two show that the endpoint is slow.
SLOW_ANSWER_WEIGHT = 0.5
#: Answers that take less than this part of the estimate replace it, as the
#: endpoint has recovered.
MAX_RECOVERED_RATIO = 0.5
#: Time for which a measurement is reported to peers, which is longer than the
#: report interval.  Peers keep the value and let it decay themselves.
NEWS_SECONDS = 2.5
#: Weight of the newest answer in the endpoint's usual latency, and the
#: multiple of it as which a slower answer counts.  A gateway may know one
#: endpoint only, and sees that it has become slow by what was usual before.
USUAL_WEIGHT = 0.05
MAX_USUAL_RATIO = 2.0
#: Half-life of the estimates.
HALF_LIFE_SECONDS = 4.0
#: Lower limit of the usual latency when an endpoint's latency is compared to
#: it.
MIN_USUAL_SECONDS = 0.005
#: Latency, as a multiple of the usual one, from which an endpoint counts as
#: slow.  Smaller ratios can result from requests of different size.
MIN_SLOW_RATIO = 1.8
#: Weight of the break rate in the slowness that is reported to peers; one
#: broken request among successes multiplies the reported slowness by 2.5.
BREAK_RATE_WEIGHT = 6.0
#: Limit of the ratio of latencies.
MAX_SLOWNESS = 20.0
#: Maximum age of a pace that a rank has reported.  The leader of its group
#: asks once a second.
MAX_PACE_AGE_SECONDS = 3.0
#: Pace from which a rank counts as slow, as a multiple of the usual duration
#: of a pass.  All ranks of a group compute each forward pass together, so the
#: slowest one determines the speed of the group.
MIN_SLOW_PACE = 1.15


class Quality:
    """The estimates of one endpoint.

    :ivar seconds: smoothed latency of its answers, 0 if unknown.
    :ivar usual_seconds: the same over a long time.
    :ivar has_streams: it has answered with streams.
    """

    __slots__ = (
        'seconds',
        'usual_seconds',
        'has_streams',
        '_answers',
        '_measured_at',
        '_error_rate',
        '_updated_at',
        '_break_rate',
        '_break_rate_at',
        '_peer_slowness',
        '_peer_slowness_at',
        '_pace',
        '_pace_at',
        '_peer_pace',
        '_peer_pace_at',
    )

    def __init__(self) -> None:
        self.seconds = 0.0
        self.usual_seconds = 0.0
        self.has_streams = False
        self._answers = 0
        self._measured_at = float('-inf')
        self._error_rate = 0.0
        self._break_rate = 0.0
        self._break_rate_at = float('-inf')
        self._updated_at = float('-inf')
        self._peer_slowness = 1.0
        self._peer_slowness_at = float('-inf')
        self._pace = 1.0
        self._pace_at = float('-inf')
        self._peer_pace = 1.0
        self._peer_pace_at = float('-inf')

    def note_answer(self, *, seconds: float, now: float) -> None:
        """Record a successful answer and its latency."""
        if (
            not self.seconds
            or now - self._measured_at > 4.0 * HALF_LIFE_SECONDS
        ):
            self.seconds = seconds
        elif seconds < MAX_RECOVERED_RATIO * self.seconds:
            self.seconds = seconds
        else:
            weight = SMOOTHING_WEIGHT
            if seconds > MIN_SLOW_RATIO * self.seconds:
                weight = SLOW_ANSWER_WEIGHT
            self.seconds += weight * (seconds - self.seconds)
        self._note_usual(seconds)
        self._measured_at = now
        self.note_success(now=now)

    def _note_usual(self, seconds: float) -> None:
        self._answers += 1
        if self._answers == 1:
            self.usual_seconds = seconds
            return
        seconds = min(seconds, MAX_USUAL_RATIO * self.usual_seconds)
        weight = max(USUAL_WEIGHT, 1.0 / self._answers)
        self.usual_seconds += weight * (seconds - self.usual_seconds)

    def note_success(self, *, now: float) -> None:
        """Record a successful answer whose latency does not count."""
        self._error_rate = self.error_rate(now=now) * (1.0 - SMOOTHING_WEIGHT)
        self._break_rate = self.break_rate(now=now) * (1.0 - SMOOTHING_WEIGHT)
        self._break_rate_at = now
        self._updated_at = now

    def note_stream(self, *, now: float) -> None:
        """Record a stream that was passed on to its end."""
        self.has_streams = True
        self.note_success(now=now)

    def note_error(self, *, now: float) -> None:
        """Record a failure."""
        errors = self.error_rate(now=now)
        self._error_rate = errors + SMOOTHING_WEIGHT * (1.0 - errors)
        self._updated_at = now

    def note_break(self, *, now: float) -> None:
        """Record a request that got no whole answer."""
        self.note_error(now=now)
        breaks = self.break_rate(now=now)
        self._break_rate = breaks + SMOOTHING_WEIGHT * (1.0 - breaks)
        self._break_rate_at = now

    def note_peer_slowness(self, *, slowness: float, now: float) -> None:
        """Record the slowness that a peer reports of the endpoint."""
        self._peer_slowness = slowness
        self._peer_slowness_at = now

    def note_pace(self, *, pace: float, now: float) -> None:
        """Record the pace that the endpoint itself reports."""
        self._pace = pace
        self._pace_at = now

    def note_peer_pace(self, *, pace: float, now: float) -> None:
        """Record the endpoint's pace as passed on by a peer."""
        self._peer_pace = pace
        self._peer_pace_at = now

    def reported_pace(self, *, now: float) -> float:
        """Return the pace that it has reported here, 1 for usual."""
        return (
            self._pace if now - self._pace_at <= MAX_PACE_AGE_SECONDS else 1.0
        )

    def is_slow_rank(self, *, now: float) -> bool:
        """Whether it slows its group down, by the pace that it reports."""
        if self._pace < MIN_SLOW_PACE and self._peer_pace < MIN_SLOW_PACE:
            return False
        is_recent = now - self._peer_pace_at <= MAX_PACE_AGE_SECONDS
        pace = self._peer_pace if is_recent else 1.0
        return max(pace, self.reported_pace(now=now)) >= MIN_SLOW_PACE

    def error_rate(self, *, now: float) -> float:
        """Return the share of its requests that fail, 0 to 1."""
        return self._error_rate * _decay(now - self._updated_at)

    def break_rate(self, *, now: float) -> float:
        """Return the share of its requests that get no whole answer.

        Error responses do not count, as some requests fail on every endpoint.
        """
        return self._break_rate * _decay(now - self._break_rate_at)

    def measured_slowness(self, *, usual: float, now: float) -> float:
        """Return its latency as a multiple of the usual one, 1 for usual.

        :param usual: usual latency of the service's endpoints.
        """
        if not self.seconds or not usual:
            return 1.0
        ratio = self.seconds / max(MIN_USUAL_SECONDS, usual)
        if ratio < MIN_SLOW_RATIO:
            return 1.0
        over = min(MAX_SLOWNESS, ratio) - 1.0
        return 1.0 + over * _decay(now - self._measured_at)

    @property
    def observed_at(self) -> float:
        """Return when its latency was last measured, here or by a peer."""
        return max(self._measured_at, self._peer_slowness_at)

    def may_be_slow(self, *, usual: float) -> bool:
        """Whether it has ever been slow; cheaper than its slowness."""
        return (
            self._peer_slowness > 1.0 or self.seconds >= MIN_SLOW_RATIO * usual
        )

    def slowness_for_peers(self, *, usual: float, now: float) -> float:
        """Return the slowness to report to peers, including broken requests.

        Otherwise each gateway would avoid an endpoint that breaks requests
        only after losing one of its own, and many cannot be repeated.

        :returns: 1 if there is nothing new.
        """
        failing = 1.0 + BREAK_RATE_WEIGHT * self.break_rate(now=now)
        if not self._has_news(now=now):
            return failing
        return failing * self.measured_slowness(usual=usual, now=now)

    def has_recovered(self, *, usual: float, now: float) -> bool:
        """Whether peers have to know that it is slow no more."""
        return (
            self._has_news(now=now)
            and self._peer_slowness > 1.0
            and self.measured_slowness(usual=usual, now=now) == 1.0
        )

    def _has_news(self, *, now: float) -> bool:
        """Whether the last measurement is recent, and newer than peers'."""
        return (
            now - self._measured_at <= NEWS_SECONDS
            and self._measured_at > self._peer_slowness_at
        )

    def slowness(self, *, usual: float, now: float) -> float:
        """Return its slowness as last measured, here or by a peer."""
        if self._measured_at > self._peer_slowness_at:
            return self.measured_slowness(usual=usual, now=now)
        return 1.0 + (self._peer_slowness - 1.0) * _decay(
            now - self._peer_slowness_at
        )


def _decay(age: float) -> float:
    return float(0.5 ** (max(0.0, age) / HALF_LIFE_SECONDS))
