"""Who calls, and what the caller asks for in headers."""

import dataclasses
import hashlib
import math

from . import asgi
from . import bundle
from . import configuration
from . import outcomes

BEARER = 'bearer '
DEADLINE_HEADER = b'marigoldramp-deadline'
PRIORITY_HEADER = b'marigoldramp-priority'
ATTEMPT_HEADER = b'marigoldramp-attempt'
FIRST_ATTEMPT = '1'
RESUME_HEADER = b'marigoldramp-resume'
RESUME_FROM_HEADER = b'marigoldramp-resume-from'
#: Sent by callers that come back for the rest of an answer.
RESUMABLE_HEADER = b'marigoldramp-resumable'
KEY_HEADER = b'idempotency-key'
MOST_KEY_CHARACTERS = 512


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Wishes:
    """Optional headers of a caller, checked.

    :ivar seconds: time until the answer is worthless.
    :ivar key: idempotency key, empty when there is none.
    :ivar first: the caller says that it has never sent this key before.
    :ivar resume: token of a stream that the caller wants to go on with.
    :ivar resume_from: bytes of it that the caller already has.
    :ivar resumable: the caller comes back when its connection is lost.
    """

    seconds: float
    priority: bundle.Priority
    key: str
    first: bool
    resume: str
    resume_from: int
    resumable: bool = False


def identify(
    *, request: asgi.Request, config: configuration.Configuration
) -> bundle.Customer | outcomes.NotRun:
    """Return the customer whose key the request carries."""
    authorization = request.find(b'authorization') or ''
    if not authorization.lower().startswith(BEARER):
        return outcomes.NotRun(
            reason=outcomes.Reason.NO_KEY,
            detail='send your key as "Authorization: Bearer KEY"',
        )
    key = authorization[len(BEARER) :].strip()
    digest = hashlib.sha256(key.encode('latin-1')).hexdigest()
    customer = config.find_customer(digest)
    if customer is None:
        return outcomes.NotRun(
            reason=outcomes.Reason.UNKNOWN_KEY, detail='the key is not known'
        )
    return customer


def read_wishes(
    *, request: asgi.Request, route: bundle.Route
) -> Wishes | outcomes.NotRun:
    """Return the caller's wishes, within what the route allows."""
    seconds = _read_deadline(request, route)
    if isinstance(seconds, outcomes.NotRun):
        return seconds
    priority = _read_priority(request, route)
    if isinstance(priority, outcomes.NotRun):
        return priority
    resume_from = _read_count(request, RESUME_FROM_HEADER)
    if isinstance(resume_from, outcomes.NotRun):
        return resume_from
    key = request.find(KEY_HEADER) or ''
    if len(key) > MOST_KEY_CHARACTERS:
        return _describe_malformed(KEY_HEADER, 'is too long')
    return Wishes(
        seconds=seconds,
        priority=priority,
        key=key,
        first=request.find(ATTEMPT_HEADER) == FIRST_ATTEMPT,
        resume=request.find(RESUME_HEADER) or '',
        resume_from=resume_from,
        resumable=request.find(RESUMABLE_HEADER) is not None,
    )


def _read_deadline(
    request: asgi.Request, route: bundle.Route
) -> float | outcomes.NotRun:
    text = request.find(DEADLINE_HEADER)
    if text is None:
        return route.default_deadline_seconds
    try:
        seconds = float(text)
    except ValueError:
        seconds = math.nan
    if not math.isfinite(seconds) or seconds <= 0:
        return _describe_malformed(
            DEADLINE_HEADER, 'must be a number of seconds above 0'
        )
    return min(seconds, route.longest_deadline_seconds)


def _read_priority(
    request: asgi.Request, route: bundle.Route
) -> bundle.Priority | outcomes.NotRun:
    """Return the priority; a caller may lower its route's, not raise it."""
    text = request.find(PRIORITY_HEADER)
    if text is None:
        return route.priority
    try:
        wanted = bundle.Priority[text.strip().upper()]
    except KeyError:
        known = ', '.join(one.name.lower() for one in bundle.Priority)
        return _describe_malformed(PRIORITY_HEADER, f'is none of {known}')
    return max(wanted, route.priority)


def _read_count(request: asgi.Request, name: bytes) -> int | outcomes.NotRun:
    text = request.find(name)
    if text is None:
        return 0
    if not text.isascii() or not text.isdigit():
        return _describe_malformed(name, 'must be a whole number')
    return int(text)


def _describe_malformed(name: bytes, fault: str) -> outcomes.NotRun:
    return outcomes.NotRun(
        reason=outcomes.Reason.MALFORMED,
        detail=f'the header {name.decode()} {fault}',
    )
