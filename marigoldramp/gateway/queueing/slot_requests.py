"""Requests for slots, the slots they get, and their place in a queue."""

import math

import anyio
import msgspec

from ..balancing import endpoints


class SlotRequest(msgspec.Struct, frozen=True, kw_only=True):
    """A request for a slot.

    :ivar priority: 0 is the most urgent.
    :ivar start_by: time after which a slot is of no use.
    :ivar late_after: time after which the response will miss the route's
        objective; the request is then queued behind others of its priority.
        If the service has several priorities, this applies only to a request
        that was late when it was queued.
    :ivar avoid: endpoints that must not be used.
    :ivar repeated: the request was sent before.
    :ivar suspect: fingerprint of the request if an endpoint process ended
        while running such a request, otherwise empty.
    :ivar customer: whose request it is, empty if it is not known.
    :ivar may_queue: it may wait at an endpoint.  If that endpoint ends, it is
        not known whether the request ran.
    :ivar asked_at: when it began to wait.
    :ivar settled_at: time after which it is not refused for a long expected
        wait any more, as its caller would learn of it late.
    """

    service: str
    priority: int
    start_by: float
    late_after: float = 0.0
    avoid: frozenset[str] = frozenset()
    repeated: bool = False
    suspect: str = ''
    customer: str = ''
    asked_at: float = 0.0
    settled_at: float = math.inf
    may_queue: bool = False

    @property
    def has_restrictions(self) -> bool:
        """Whether a slot that others can use may be unusable for it."""
        return bool(self.avoid) or self.repeated or bool(self.suspect)


class Slot(msgspec.Struct, frozen=True, kw_only=True):
    """The right to run one request on an endpoint."""

    endpoint: endpoints.Endpoint
    waited: float
    suspect: str = ''


class Waiter:
    """A queued request.

    :ivar arrived: when it was queued.
    :ivar event: set once it has a slot or is to be refused.
    :ivar endpoint: the endpoint that it is assigned to.
    :ivar expected_wait: seconds after which it would get a slot, if it is
        refused because of them.
    :ivar excess: by how many steps its customer exceeds its usual share.
    """

    __slots__ = (
        'request',
        'arrived',
        'event',
        'endpoint',
        'expected_wait',
        'excess',
    )

    def __init__(self, *, request: SlotRequest, arrived: float) -> None:
        self.request = request
        self.arrived = arrived
        self.event = anyio.Event()
        self.endpoint: endpoints.Endpoint | None = None
        self.expected_wait: float | None = None
        self.excess = 0
