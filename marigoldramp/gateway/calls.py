"""An admitted request and its progress."""

import msgspec

from . import codecs
from . import deployment
from . import inbound
from . import retry_budget


class Call(msgspec.Struct, kw_only=True):
    """A request that was admitted.

    :ivar service: the service picked by the weights of the route.
    :ivar customer: name of the customer, empty for none.
    :ivar fingerprint: equal for requests of the same customer and content,
        see :mod:`.fingerprints`.
    :ivar parts: fingerprints of the parts of its prompt that other requests
        may have too.
    :ivar priority: 0 is the most urgent.
    :ivar deadline: when the caller must have its final response.
    :ivar first_asked_at: when the caller made its first attempt, estimated
        from the remaining time that it states.
    :ivar last_event: identifier of the last event that the caller has.
    :ivar version: configuration by which it was admitted.
    :ivar version_age: seconds since that version was confirmed as newest, at
        admission.
    :ivar sends: how often it was sent to an endpoint.
    :ivar sent_at: when it was last sent to an endpoint.
    :ivar runs: how often it may have run.
    :ivar excluded_endpoints: endpoints that it is not sent to again.
    :ivar endpoint: the endpoint that it was last sent to.
    :ivar retry: the reserved retry that its next send spends, if any.
    :ivar waited: seconds spent waiting for slots.
    :ivar first_event: seconds until the first event was passed on, 0 for
        none yet.
    :ivar answer_begun_at: when the endpoint of this attempt began to answer;
        infinite once that counts for the parts of the prompt.
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
    parts: tuple[str, ...] = ()
    version: int = 0
    version_age: float = 0.0
    sends: int = 0
    sent_at: float = 0.0
    runs: int = 0
    excluded_endpoints: frozenset[str] = frozenset()
    endpoint: str = ''
    retry: retry_budget.Reservation | None = None
    waited: float = 0.0
    first_event: float = 0.0
    answer_begun_at: float = float('inf')
    longest_pause: float = 0.0
    _last_event_at: float = 0.0

    @property
    def arrived(self) -> float:
        """When the head of the request was complete."""
        return self.exchange.head.arrived

    def exclude_endpoint(self, identity: str) -> None:
        """Exclude an endpoint from further attempts."""
        self.excluded_endpoints |= {identity}

    def spend_retry(self) -> bool:
        """Spend the reserved retry; return whether there was a valid one."""
        retry, self.retry = self.retry, None
        return retry is not None and retry.spend()

    def cancel_retry(self) -> None:
        """Give back the reserved retry, if there is one."""
        if self.retry is not None:
            self.retry.cancel()
            self.retry = None

    def note_event(self, *, now: float) -> float:
        """Note that events are passed on; return the pause before them.

        Return 0 for the first events.
        """
        pause = 0.0
        if not self._last_event_at:
            self.first_event = now - self.arrived
        else:
            pause = now - self._last_event_at
            self.longest_pause = max(self.longest_pause, pause)
        self._last_event_at = now
        return pause
