"""The limit on the rate of requests to an endpoint, and this gateway's share.

An endpoint names in its responses how many requests per second it accepts
from all gateways together.  It accepts fewer than usual while it is cold.
:mod:`.rate_shares` divides both limits among the gateways.
"""

import math

from . import bounds
from . import cold_limits

#: Rate at which a lower limit is used: without a request now and then, nobody
#: would notice that the limit has ended.
MIN_RATE = 0.2
#: A limit that has ended is raised by this factor in each step, so that the
#: endpoint does not get the whole load at once.
RECOVERY_FACTOR = 2.0
RECOVERY_STEP_SECONDS = 1.0
MIN_RECOVERY_STEPS = 2
#: Rate from which an ended limit is lifted.
LIFTING_RATE = 64.0
#: Delay of a request to a cold endpoint that does not delay the next turn.
#: With the time in which a connection opens, it has to fit
#: ``bounds.TURN_TOLERANCE_SECONDS``.
MAX_TURN_DELAY_SECONDS = 0.06


class RateLimit:
    """The limit on the rate of requests to one endpoint process.

    All gateways order the changes of a named limit by their versions.  A
    gateway that sees a change in a response gives it the next version.

    :ivar version: 0 if the endpoint has never named a limit.
    :ivar rate: requests per second that the endpoint last named.
    :ivar has_ended: the endpoint names no limit any more.
    :ivar confirmed_at: when a response to any gateway last named the limit.
    :ivar ended_at: when the limit ended.
    :ivar seen_at: when this gateway last learned of the limit or its end.
    :ivar cold: the limit while the endpoint is cold.
    :ivar share: requests per second that this gateway may send; infinite
        without a limit.
    :ivar opens_at: when this gateway may assign the next request; infinite
        for never.
    """

    __slots__ = (
        'version',
        'rate',
        'has_ended',
        'confirmed_at',
        'ended_at',
        'seen_at',
        'cold',
        'share',
        'opens_at',
        '_turn_at',
        '_sent_at',
    )

    def __init__(self) -> None:
        self.version = 0
        self.rate = 0.0
        self.has_ended = True
        self.confirmed_at = float('-inf')
        self.ended_at = float('-inf')
        self.seen_at = float('-inf')
        self.cold = cold_limits.ColdLimit()
        self.share = float('inf')
        self.opens_at = float('-inf')
        self._turn_at = float('-inf')
        self._sent_at = float('-inf')

    @property
    def named_rate(self) -> float:
        """The rate that the endpoint names now, 0 for none."""
        return 0.0 if self.has_ended else self.rate

    @property
    def is_bounded(self) -> bool:
        """Whether a limit was named, or the endpoint is or was just cold."""
        return self.version > 0 or self.cold.bound is not None

    @property
    def interval(self) -> float:
        """Seconds between two requests of this gateway, infinite for none."""
        return 1.0 / self.share if self.share else float('inf')

    def find_rate(self, *, now: float) -> float:
        """Return the rate for all gateways together, infinite if lifted."""
        rate = self.find_named_rate(now=now)
        cold = self.cold.find_bound(now=now)
        return rate if cold is None else min(rate, cold.rate)

    def find_named_rate(self, *, now: float) -> float:
        """Return the rate of the named limit, infinite if lifted."""
        rate = max(self.rate, MIN_RATE)
        if not self.has_ended:
            return rate
        if not self.version:
            return float('inf')
        steps = 1.0 + (now - self.ended_at) // RECOVERY_STEP_SECONDS
        needed = math.ceil(math.log(LIFTING_RATE / rate, RECOVERY_FACTOR))
        if steps >= max(MIN_RECOVERY_STEPS, needed):
            return float('inf')
        return rate * math.pow(RECOVERY_FACTOR, steps)

    def set_share(self, share: float, *, now: float) -> None:
        """Set the requests per second that this gateway may send.

        A gateway that gets a share waits before its first request: the gateway
        that had the share before may have sent one just now.
        """
        if not self.share or math.isinf(self.share):
            self._turn_at = max(self._turn_at, now)
            self._sent_at = max(self._sent_at, now)
        self.share = share
        self.opens_at = self._turn_at + self.interval

    def take_turn(self, *, now: float) -> None:
        """Count a request of this gateway as it is assigned."""
        turn = now
        if self.cold.is_cold:
            turn = max(self.opens_at, now - MAX_TURN_DELAY_SECONDS)
        self._turn_at = max(turn, self._turn_at)
        self.opens_at = self._turn_at + self.interval

    def may_send(self, *, now: float) -> bool:
        """Whether a request that was assigned may be sent now.

        It may have been assigned before the endpoint was cold or before this
        gateway lost its share, or follow closely on one that was delayed.
        """
        if not self.cold.is_cold:
            return True
        earliest = self._sent_at + self.interval
        return now >= earliest - bounds.TURN_TOLERANCE_SECONDS

    def note_send(self, *, now: float) -> None:
        """Count a request of this gateway as it is sent."""
        # After a request that was sent late the next one may follow sooner.
        latest = now + bounds.TURN_TOLERANCE_SECONDS
        self._sent_at = max(now, min(self._sent_at + self.interval, latest))

    def note_named(
        self, rate: float, *, version: int, confirmed_at: float, now: float
    ) -> None:
        """Record the limit that the endpoint names."""
        self.version = version
        self.rate = rate
        self.has_ended = False
        self.confirmed_at = max(self.confirmed_at, confirmed_at)
        self.seen_at = now

    def confirm(self, *, now: float) -> None:
        """Record a response that names the same limit."""
        self.confirmed_at = now
        self.seen_at = now

    def end(self, *, version: int, ended_at: float, now: float) -> None:
        """Record that the endpoint names no limit any more."""
        self.version = version
        self.has_ended = True
        self.ended_at = ended_at
        self.seen_at = now
