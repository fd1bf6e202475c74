"""Interface between a deployment's headers and the gateway.

Only a deployment's codec knows the names of headers.  The rest of the gateway
works with the types defined here.
"""

import abc

import msgspec

from .. import asgi

Headers = asgi.Headers


class RequestFacts(msgspec.Struct, frozen=True, kw_only=True):
    """Values from the headers of a caller's request.

    :ivar attempt_id: identifier of this attempt, set by the caller.
    :ivar seconds: how long the caller waits; ``None`` if it is not stated.
    :ivar key: the customer's key, empty without one.
    :ivar last_event: identifier of the last event that the caller has.
    :ivar prompt_tokens: tokens of the prompt, 0 if not stated.
    :ivar answer_tokens: maximum tokens of the response, 0 if not stated.
    :ivar shared_parts: identifiers of the leading parts of the prompt, which
        other requests may have too, in order.
    """

    attempt_id: str
    seconds: float | None
    key: str
    last_event: str
    prompt_tokens: int = 0
    answer_tokens: int = 0
    shared_parts: tuple[str, ...] = ()


class OutgoingFacts(msgspec.Struct, frozen=True, kw_only=True):
    """Values for headers that the gateway adds to a forwarded request.

    :ivar seconds: remaining time of this attempt.
    :ivar identity: the only endpoint that may run the request.
    :ivar customer: name of the authenticated customer, empty for none.
    :ivar last_event: identifier of the event after which the stream must
        continue, empty for its start.
    :ivar priority: order in which the endpoint starts queued requests, 0 for
        the first; ``None`` to leave the header as the caller sent it.
    """

    seconds: float
    identity: str
    customer: str
    last_event: str
    priority: int | None = None


class ReportedLoad(msgspec.Struct, frozen=True, kw_only=True):
    """Load that an endpoint reports in a response."""

    running: int
    waiting: int
    slots: int


class AnswerFacts(msgspec.Struct, frozen=True, kw_only=True):
    """Values from the head of an endpoint's response.

    :ivar attempt_id: identifier of the attempt that it responds to.
    :ivar signed: it has the endpoint's signature.
    :ivar not_run: the endpoint did not run the request and never will.
    :ivar has_unrequested_encoding: the request did not ask for the encoding
        of the body.
    :ivar leaving: the endpoint is shutting down.
    :ivar retry_after: seconds that an unavailable endpoint asks the gateway
        to wait before it sends another request; 0 if not specified.
    :ivar rate_limit: requests per second that the endpoint accepts from all
        gateways together; 0 if it names no limit.
    :ivar has_unreadable_rate_limit: it names a limit whose value is invalid.
    :ivar cold_seconds: for how much longer the endpoint is cold; ``None`` if
        it does not say.
    """

    attempt_id: str
    signed: bool
    not_run: bool
    has_unrequested_encoding: bool
    load: ReportedLoad | None = None
    leaving: bool = False
    retry_after: float = 0.0
    rate_limit: float = 0.0
    has_unreadable_rate_limit: bool = False
    cold_seconds: float | None = None


class Codec(abc.ABC):
    """Translates headers of requests and responses."""

    @abc.abstractmethod
    def read_request(self, headers: Headers) -> RequestFacts:
        """Return the values from the headers of a caller's request.

        :raises ValueError: a numeric header is not a number.
        """

    @abc.abstractmethod
    def write_request(
        self, headers: Headers, outgoing: OutgoingFacts
    ) -> Headers:
        """Return the headers of a request as sent to an endpoint."""

    @abc.abstractmethod
    def read_answer(self, status: int, headers: Headers) -> AnswerFacts:
        """Return the values from the head of an endpoint's response."""
