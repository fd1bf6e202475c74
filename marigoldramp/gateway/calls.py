"""One request of a caller: what it is, and what has become of it so far."""

import dataclasses

from . import codecs
from . import deployment
from . import inbound


@dataclasses.dataclass(slots=True, kw_only=True)
class Call:
    """A request that was admitted.

    :ivar service: the service that the route's weights have given it.
    :ivar customer: name of the customer, empty for none.
    :ivar fingerprint: what it shares with requests of the same caller and
        content, see :mod:`.fingerprints`.
    :ivar priority: 0 is the most urgent.
    :ivar deadline: when the caller must have its final answer.
    :ivar asked: when the caller first asked for it, as far as the time that
        it states tells.
    :ivar last_event: the last event that the caller has.
    :ivar version: configuration by which it was admitted.
    :ivar version_age: seconds since that was known to be the newest.
    :ivar sends: how often it went out to an endpoint.
    :ivar runs: how often it may have run.
    :ivar tried: endpoints that it is not sent to again.
    :ivar endpoint: the endpoint that had it last.
    :ivar waited: seconds spent waiting for places.
    :ivar first_event: seconds until the first event was passed on, 0 for
        none yet.
    :ivar longest_pause: longest time between two events, in seconds.
    """

    exchange: inbound.Exchange
    facts: codecs.RequestFacts
    route: deployment.Route
    service: str
    customer: str
    priority: int
    body: bytes
    deadline: float
    first_asked_at: float
    last_event: str
    fingerprint: str = ''
    version: int = 0
    version_age: float = 0.0
    sends: int = 0
    runs: int = 0
    excluded_endpoints: frozenset[str] = frozenset()
    endpoint: str = ''
    waited: float = 0.0
    first_event: float = 0.0
    longest_pause: float = 0.0
    _event_at: float = 0.0

    @property
    def arrived(self) -> float:
        """When the request's head was whole."""
        return self.exchange.head.arrived

    def avoid(self, identity: str) -> None:
        """Do not send it to this endpoint again."""
        self.excluded_endpoints |= {identity}

    def note_event(self, *, now: float) -> float:
        """Note that events are passed on; return the pause before them."""
        pause = 0.0
        if not self._event_at:
            self.first_event = now - self.arrived
        else:
            pause = now - self._event_at
            self.longest_pause = max(self.longest_pause, pause)
        self._event_at = now
        return pause
