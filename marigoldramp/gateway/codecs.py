"""What headers say, in the project's own words.

The codec of a deployment knows the names of headers; everything else works
with the types here.
"""

import abc
import dataclasses

from .. import asgi

Headers = asgi.Headers


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class RequestFacts:
    """What a request's headers say.

    :ivar attempt_id: identifier of this attempt of the caller's.
    :ivar seconds: time that the caller waits; ``None`` if it does not say.
    :ivar key: the customer's key, empty without one.
    :ivar last_event: identifier of the last event that the caller has.
    :ivar prompt_tokens: size of the prompt, 0 if not told.
    :ivar answer_tokens: most tokens of the answer, 0 if not told.
    """

    attempt_id: str
    seconds: float | None
    key: str
    last_event: str
    prompt_tokens: int = 0
    answer_tokens: int = 0


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class OutgoingFacts:
    """What is told to the endpoint beside the caller's own headers.

    :ivar seconds: time that is left for this attempt.
    :ivar identity: the only endpoint that may run the request.
    :ivar customer: whose key the request carried, empty for none.
    :ivar last_event: from where on a stream is wanted, empty for its start.
    """

    seconds: float
    identity: str
    customer: str
    last_event: str


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class ReportedLoad:
    """What an endpoint says of its load when it answers."""

    running: int
    waiting: int
    slots: int


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class AnswerFacts:
    """What the head of an endpoint's answer says.

    :ivar attempt_id: identifier of the request that it answers.
    :ivar signed: it bears the endpoint's signature.
    :ivar not_run: the endpoint did not run the request and never will.
    :ivar has_unrequested_encoding: the request did not ask for the encoding of
        the body.
    :ivar leaving: the endpoint is shutting down.
    :ivar retry_after: seconds that an unavailable endpoint asks this entry
        to wait before it sends another request; 0 if not specified.
    """

    attempt_id: str
    signed: bool
    not_run: bool
    has_unrequested_encoding: bool
    load: ReportedLoad | None = None
    leaving: bool = False
    retry_after: float = 0.0


class Codec(abc.ABC):
    """Translates headers of requests and answers."""

    @abc.abstractmethod
    def read_request(self, headers: Headers) -> RequestFacts:
        """Return what a request's headers say.

        :raises ValueError: a header that must be a number is none.
        """

    @abc.abstractmethod
    def write_request(
        self, headers: Headers, outgoing: OutgoingFacts
    ) -> Headers:
        """Return the headers with which a request goes to an endpoint."""

    @abc.abstractmethod
    def read_answer(self, status: int, headers: Headers) -> AnswerFacts:
        """Return what the head of an endpoint's answer says."""
