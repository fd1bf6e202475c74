"""What an entry knows about one endpoint, and what it makes of it.

An agent's load report is some tenths of a second old when it arrives, may be
late by seconds, and may be wrong.  It is therefore corrected twice: by the
calls that this entry has itself sent since, and by how much longer its own
calls took than the report had promised.
"""

import dataclasses
import heapq
import math

from . import bundle
from . import estimates
from . import messages

MILLISECONDS = 1000.0
#: Weight of the newest report in the usual time between two reports.
SMOOTHING = 0.1
#: An own call counts as covered by a report that arrives so much later.
COVERED_AFTER = 0.05
#: Reports missing for so many usual intervals make an endpoint suspect.
MISSED_REPORTS = 2.5
#: Seconds added to the rank of an endpoint that failed a call, doubled with
#: each further failure in a row.
FAILURE_SECONDS = 0.1
MOST_FAILURES = 7
#: Mean deviations of its length by which a call may be overdue unremarked.
OVERDUE_DEVIATIONS = 3.0
#: Seconds by which a call may be overdue beyond that, as it may be queued.
OVERDUE_SECONDS = 2.0
#: A smoothed value is as certain as a mean of about so many observations,
#: and differs from the truth by up to so many of its standard errors.
EFFECTIVE_COUNT = 16.0
CHANCE = 3.0


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Expected:
    """What was expected of a call when it was sent.

    :ivar at: clock time of sending.
    :ivar service: expected seconds of service.
    :ivar deviation: mean deviation of that.
    :ivar wait: expected seconds of waiting, from the report alone.
    """

    at: float
    priority: int
    service: float
    deviation: float
    wait: float

    def total(self) -> float:
        """Return the seconds expected from sending to the end."""
        return self.service + self.wait


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True, order=True)
class _Due:
    at: float
    call: str


class Candidate:
    """An endpoint as this entry knows it.

    :ivar load: the last load report, ``None`` before the first.
    :ivar in_flight: this entry's own calls that have not ended.
    :ivar leaving: it takes nothing new.
    """

    __slots__ = (
        'instance',
        'data_centre',
        'host',
        'call_port',
        'incarnation',
        'load',
        'in_flight',
        'leaving',
        'reported_at',
        '_interval',
        '_since',
        '_gone',
        '_outstanding',
        '_due',
        '_progress',
        '_failures',
        '_excess',
    )

    def __init__(self, *, heartbeat: messages.Heartbeat, now: float) -> None:
        self.instance = heartbeat.instance
        self.incarnation = heartbeat.incarnation
        self.in_flight = 0
        self._interval = 0.0
        self._since: dict[str, Expected] = {}
        self._gone = 0
        self._outstanding: dict[str, Expected] = {}
        self._due: list[_Due] = []
        self._progress = now
        self._failures = 0
        self._excess = tuple(estimates.Smoothed() for _ in bundle.Priority)
        self.reported_at = now
        self.report(heartbeat=heartbeat, now=now)

    def report(self, *, heartbeat: messages.Heartbeat, now: float) -> None:
        """Take in a heartbeat of the same incarnation."""
        self.data_centre = heartbeat.data_centre
        self.host = heartbeat.host
        self.call_port = heartbeat.call_port
        self.leaving = heartbeat.leaving
        self.load = heartbeat.load
        passed = now - self.reported_at
        if passed > 0.0:
            weight = SMOOTHING if self._interval else 1.0
            self._interval += weight * (passed - self._interval)
        self.reported_at = now
        self._gone = 0
        self._since = {
            call: sent
            for call, sent in self._since.items()
            if now - sent.at < COVERED_AFTER
        }

    def sent(self, *, call: str, expected: Expected) -> None:
        """Note that a call is being sent."""
        self.in_flight += 1
        self._since[call] = expected
        self._outstanding[call] = expected
        overdue = OVERDUE_DEVIATIONS * expected.deviation
        due = expected.at + expected.total() + overdue
        heapq.heappush(self._due, _Due(at=due, call=call))

    def ended(
        self, *, call: str, seconds: float, answered: bool, now: float
    ) -> Expected | None:
        """Note that a call has ended; return what was expected of it."""
        self.in_flight -= 1
        expected = self._outstanding.pop(call, None)
        if self._since.pop(call, None) is None:
            self._gone += 1
        if not self._outstanding:
            self._due.clear()
        if answered:
            self._progress = now
            self._failures = 0
        else:
            self._failures = min(MOST_FAILURES, self._failures + 1)
        # With no expectation of the service, all of it would seem excess.
        if expected is None or not expected.service:
            return expected
        excess = seconds - expected.total()
        if answered or excess > 0.0:
            self._excess[expected.priority].observe(excess, now=now)
        return expected

    def reported_wait(self, *, priority: int) -> float:
        """Return the wait by the report and by what was sent since."""
        load = self.load
        if load is None:
            return 0.0
        slots = max(1, load.slots)
        service = load.service_ms / MILLISECONDS
        if priority < len(load.waits_ms):
            wait = load.waits_ms[priority] / MILLISECONDS
        else:
            excess = load.running + load.queued + 1 - slots
            wait = max(0, excess) * service / slots
        if not self._since:
            return wait
        since = [s for s in self._since.values() if s.priority <= priority]
        free = max(0, slots - load.running - load.queued + self._gone)
        if not since or len(since) < free:
            return wait
        if not wait:
            wait = service / slots
        beyond = (len(since) - free) / len(since)
        return wait + beyond * sum(s.service for s in since) / slots

    def crowding(self, *, service: float) -> float:
        """Return how far its slots are taken, in seconds of waiting.

        Where no endpoint makes a call wait, the one with more slots free is
        less likely to have none by the time the call arrives.
        """
        load = self.load
        if load is None:
            return 0.0
        slots = max(1, load.slots)
        taken = load.running + load.queued + len(self._since) - self._gone
        return taken / slots * service / slots

    def excess(self, *, priority: int, deviation: float, now: float) -> float:
        """Return how much longer own calls took than was expected.

        What chance alone would explain is left out, as it would only send
        calls to and fro between endpoints that are alike.
        """
        known = self._excess[priority]
        if not known.count:
            return 0.0
        count = min(EFFECTIVE_COUNT, known.count)
        chance = CHANCE * max(deviation, known.deviation) / math.sqrt(count)
        beyond = max(0.0, abs(known.value) - chance)
        return math.copysign(beyond, known.value) * known.fresh(now=now)

    def doubt(self, *, now: float) -> float:
        """Return seconds by which this endpoint ranks behind the others.

        An endpoint that has stopped would otherwise look idle: it answers
        nothing, so nothing contradicts its last report.  It is seen by own
        calls that are overdue with no answer since, by missing reports, and
        by failures in a row.  This only ranks; it refuses nothing.
        """
        doubt = self._silence(now=now) + self._missing(now=now)
        if self._failures:
            doubt += FAILURE_SECONDS * 2.0**self._failures
        return doubt

    def _silence(self, *, now: float) -> float:
        while self._due and self._due[0].call not in self._outstanding:
            heapq.heappop(self._due)
        if not self._due:
            return 0.0
        since = max(self._progress, self._due[0].at)
        return max(0.0, now - since - OVERDUE_SECONDS)

    def _missing(self, *, now: float) -> float:
        usual = MISSED_REPORTS * self._interval
        if not usual:
            return 0.0
        return max(0.0, now - self.reported_at - usual)
