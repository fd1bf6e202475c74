"""A call that has been admitted, and what is sent to an agent for it."""

import dataclasses

from . import asgi
from . import attempts
from . import bundle
from . import callers
from . import heads
from . import messages
from . import routing


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Admitted:
    """A call that has been admitted.

    :ivar key: bound key of a non-idempotent call, else empty.
    :ivar binding: what the key is bound to.
    :ivar first: no attempt with this key was made before.
    :ivar deadline: end of the call by the entry's clock.
    """

    call: str
    customer: bundle.Customer
    service: bundle.Service
    route: bundle.Route
    wishes: callers.Wishes
    facts: routing.CallFacts
    request: asgi.Request
    body: bytes
    deadline: float
    bundle_number: int
    key: str = ''
    binding: messages.Binding | None = None
    first: bool = True

    def may_run_at(self, target: routing.Candidate) -> bool:
        """Whether that process may run the call; only one may run a key."""
        binding = self.binding
        if binding is None:
            return True
        return (
            binding.agent == target.instance
            and binding.incarnation == target.incarnation
        )


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Sending:
    """What one attempt of a call says beside the call itself.

    :ivar entry: our own name.
    :ivar number: of the attempt, from 1.
    :ivar settle: have the key barred instead, unless it has begun.
    :ivar resume_from: bytes of the answer that the caller has.
    :ivar remaining: seconds until the deadline.
    :ivar wall: wall clock now.
    :ivar silence: seconds without a byte before the connection counts as
        lost.
    """

    entry: str
    number: int
    settle: bool
    resume_from: int
    remaining: float
    wall: float
    silence: float


def build_attempt(
    admitted: Admitted, *, target: routing.Candidate, sending: Sending
) -> attempts.Outgoing:
    """Return what is sent to an agent."""
    head = messages.CallHead(
        call=admitted.call,
        attempt=sending.number,
        entry=sending.entry,
        agent=target.instance,
        incarnation=target.incarnation,
        customer=admitted.customer.name,
        service=admitted.service.name,
        idempotent=not admitted.key,
        priority=admitted.wishes.priority,
        deadline_at=sending.wall + sending.remaining,
        remaining=sending.remaining,
        key=admitted.key,
        settle=sending.settle,
        resume_from=sending.resume_from,
        weight=admitted.customer.weight,
        bundle=admitted.bundle_number,
        tokens=admitted.facts.tokens,
    )
    return attempts.Outgoing(
        head=head,
        method=admitted.request.method,
        target=admitted.request.target,
        headers=_keep_headers(admitted.request.headers),
        body=admitted.body,
        silence=sending.silence,
    )


def _keep_headers(headers: asgi.Headers) -> asgi.Headers:
    """Return the caller's headers that its endpoint gets."""
    return [
        pair
        for pair in asgi.keep_end_to_end(headers)
        if pair[0] not in (b'authorization', b'host', b'content-length')
        and not pair[0].startswith(heads.OWN_PREFIX)
    ]
