"""Refusals as problem details (RFC 9457) for HTTP callers."""

import http

import msgspec

from . import outcomes

CONTENT_TYPE = b'application/problem+json'
#: Marks a refusal of ours; an endpoint may answer with problems of its own.
HEADER = b'marigoldramp-refusal'
ERROR_EVENT = b'event: error\ndata: '
TYPE_PREFIX = 'urn:marigoldramp:refusal:'

NOT_RUN = 'not_run'
OUTCOME_UNKNOWN = 'outcome_unknown'

_R = outcomes.Reason
_STATUS = {
    _R.NO_KEY: http.HTTPStatus.UNAUTHORIZED,
    _R.UNKNOWN_KEY: http.HTTPStatus.UNAUTHORIZED,
    _R.UNAUTHENTICATED: http.HTTPStatus.UNAUTHORIZED,
    _R.NOT_ALLOWED: http.HTTPStatus.FORBIDDEN,
    _R.UNKNOWN_ROUTE: http.HTTPStatus.NOT_FOUND,
    _R.MALFORMED: http.HTTPStatus.BAD_REQUEST,
    _R.BODY_TIMEOUT: http.HTTPStatus.REQUEST_TIMEOUT,
    _R.BODY_TOO_LARGE: http.HTTPStatus.REQUEST_ENTITY_TOO_LARGE,
    _R.HEAD_TOO_LARGE: http.HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE,
    _R.BINDING_INVALID: http.HTTPStatus.UNPROCESSABLE_ENTITY,
    _R.BINDING_EXPIRED: http.HTTPStatus.CONFLICT,
    _R.KEY_BARRED: http.HTTPStatus.CONFLICT,
    _R.RATE_LIMIT: http.HTTPStatus.TOO_MANY_REQUESTS,
    _R.CONCURRENCY_LIMIT: http.HTTPStatus.TOO_MANY_REQUESTS,
    _R.TOKEN_LIMIT: http.HTTPStatus.TOO_MANY_REQUESTS,
    _R.DEADLINE: http.HTTPStatus.GATEWAY_TIMEOUT,
}


class Error(msgspec.Struct, frozen=True, kw_only=True):
    """What clients of chat completions look for in a refusal.

    Without it they show a person the status alone.
    """

    message: str
    type: str
    code: str


class Problem(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    """Body of a refusal.

    :ivar outcome: ``not_run`` or ``outcome_unknown``.
    :ivar retry_after: seconds after which coming back can help.
    :ivar error: the same for clients that know no problem details.
    """

    type: str
    title: str
    status: int
    outcome: str
    reason: str
    detail: str = ''
    call: str = ''
    retry_after: float | None = None
    error: Error | None = None


class StreamError(msgspec.Struct, frozen=True, kw_only=True):
    """Last event of a stream that could not be finished."""

    error: Problem


def describe(*, refusal: outcomes.Refusal, call: str) -> Problem:
    """Return the problem details of a refusal."""
    match refusal:
        case outcomes.NotRun():
            title = 'The call did not run.'
            outcome = NOT_RUN
            retry_after = refusal.retry_after
            other = http.HTTPStatus.SERVICE_UNAVAILABLE
        case outcomes.OutcomeUnknown():
            title = 'The call may have run.'
            outcome = OUTCOME_UNKNOWN
            retry_after = None
            other = http.HTTPStatus.BAD_GATEWAY
    return Problem(
        type=TYPE_PREFIX + refusal.reason.value,
        title=title,
        status=_STATUS.get(refusal.reason, other).value,
        outcome=outcome,
        reason=refusal.reason.value,
        detail=refusal.detail,
        call=call,
        retry_after=retry_after,
        error=Error(
            message=refusal.detail or title,
            type=outcome,
            code=refusal.reason.value,
        ),
    )


def encode(problem: Problem) -> bytes:
    """Return the JSON text of a problem."""
    return msgspec.json.encode(problem)


def encode_event(*, refusal: outcomes.Refusal, call: str) -> bytes:
    """Return a server-sent event that ends an unfinished stream.

    Clients of chat completions raise on a data object with an ``error``.
    """
    body = msgspec.json.encode(
        StreamError(error=describe(refusal=refusal, call=call))
    )
    return ERROR_EVENT + body + b'\n\n'


def find_event(tail: bytes) -> outcomes.Refusal | None:
    """Return the refusal with which a cut stream ended, if it has one."""
    at = tail.rfind(ERROR_EVENT)
    if at < 0:
        return None
    body = tail[at + len(ERROR_EVENT) :].strip()
    try:
        error = msgspec.json.decode(body, type=StreamError)
    except msgspec.MsgspecError:
        return None
    return _restore(error.error)


def decode(body: bytes) -> outcomes.Refusal | None:
    """Return the refusal in a problem body, or ``None`` if there is none."""
    try:
        problem = msgspec.json.decode(body, type=Problem)
    except msgspec.MsgspecError:
        return None
    return _restore(problem)


def _restore(problem: Problem) -> outcomes.Refusal | None:
    try:
        reason = outcomes.Reason(problem.reason)
    except ValueError:
        return None
    if problem.outcome == NOT_RUN:
        return outcomes.NotRun(
            reason=reason,
            detail=problem.detail,
            retry_after=problem.retry_after,
        )
    return outcomes.OutcomeUnknown(reason=reason, detail=problem.detail)
