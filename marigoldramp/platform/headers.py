"""Reads and writes the platform's HTTP headers."""

import math
import re

from absl import logging

from .. import asgi
from .. import logs
from ..gateway import codecs

#: Identifies one attempt of a caller; endpoints echo it.
ATTEMPT_ID = b'attempt-id'
#: Milliseconds that are left until the answer must be complete.
TIME_BUDGET_MS = b'time-budget-ms'
#: Last event of a stream that the caller has received.
LAST_EVENT_ID = b'last-event-id'
#: Tokens of the prompt and maximum tokens of the answer, comma-separated.
TOKEN_COUNTS = b'token-counts'
#: Parts of the prompt in order, each as identifier and tokens with a colon
#: between them, comma-separated.  The last one belongs to the request alone.
PROMPT_PARTS = b'prompt-prefix'
#: Number of parts of a prompt that are read.
MAX_PROMPT_PARTS = 16
AUTHORIZATION = b'authorization'
BEARER_PREFIX = 'bearer '
#: Name of the customer; the gateway replaces any value from the caller.
CUSTOMER = b'tenant'
#: The only endpoint that may run the request.
EXPECTED_ENDPOINT = b'expect-instance'
#: Signature of the endpoint that generated the answer.
ENDPOINT_SIGNATURE = b'runner-seal'
#: Present if the endpoint has not run the request.
NOT_EXECUTED = b'not-executed'
#: Running requests, waiting requests and slots, comma-separated.
ENDPOINT_LOAD = b'runner-load'
#: Set to ``1`` by an endpoint that is shutting down.
LEAVING = b'server-leaving'
#: Seconds that the sender of a request should wait before the next one; read
#: from 503 responses only.
RETRY_AFTER = b'retry-after'
#: Requests per second that the endpoint accepts from all gateways together.
RATE_LIMIT = b'server-limit'
#: Milliseconds for which the endpoint is still cold.
COLD_MS = b'cold-ms'
#: Order in which an endpoint starts queued requests, 0 (first) to 9.
REQUEST_PRIORITY = b'request-priority'
LAST_PRIORITY = 9
CONTENT_ENCODING = b'content-encoding'

WRONG_ENDPOINT_STATUS = 421
UNAVAILABLE_STATUS = 503
MILLISECONDS_PER_SECOND = 1000.0

_COUNT = re.compile(rb'[0-9]{1,9}')
#: Rate limit in requests per second above which none is ever reached.
MAX_RATE = 1e6
_DECIMAL = re.compile(rb'[0-9]+(\.[0-9]+)?')

#: Headers that the gateway sets itself, or must not forward.
_NOT_FORWARDED = frozenset(
    (
        TIME_BUDGET_MS,
        LAST_EVENT_ID,
        AUTHORIZATION,
        CUSTOMER,
        EXPECTED_ENDPOINT,
        b'content-length',
        b'expect',
    )
)


class Codec(codecs.Codec):
    """Translates between the platform's headers and the gateway's types."""

    def read_request(self, headers: codecs.Headers) -> codecs.RequestFacts:
        found = dict(headers)
        prompt, answer = _read_tokens(found.get(TOKEN_COUNTS, b''))
        return codecs.RequestFacts(
            attempt_id=found.get(ATTEMPT_ID, b'').decode('latin-1'),
            seconds=_read_seconds(found.get(TIME_BUDGET_MS)),
            key=_read_key(found.get(AUTHORIZATION, b'').decode('latin-1')),
            last_event=found.get(LAST_EVENT_ID, b'').decode('latin-1'),
            prompt_tokens=prompt,
            answer_tokens=answer,
            shared_parts=_read_shared_parts(found.get(PROMPT_PARTS, b'')),
        )

    def write_request(
        self, headers: codecs.Headers, outgoing: codecs.OutgoingFacts
    ) -> codecs.Headers:
        written = [
            pair
            for pair in asgi.keep_end_to_end(headers)
            if pair[0] not in _NOT_FORWARDED
        ]
        left_ms = max(1, int(outgoing.seconds * MILLISECONDS_PER_SECOND))
        written.append((TIME_BUDGET_MS, b'%d' % left_ms))
        written.append(
            (EXPECTED_ENDPOINT, outgoing.identity.encode('latin-1'))
        )
        if outgoing.customer:
            written.append((CUSTOMER, outgoing.customer.encode('latin-1')))
        if outgoing.last_event:
            written.append(
                (LAST_EVENT_ID, outgoing.last_event.encode('latin-1'))
            )
        if outgoing.priority is not None:
            written = [pair for pair in written if pair[0] != REQUEST_PRIORITY]
            priority = min(max(0, outgoing.priority), LAST_PRIORITY)
            written.append((REQUEST_PRIORITY, b'%d' % priority))
        return written

    def read_answer(
        self, status: int, headers: codecs.Headers
    ) -> codecs.AnswerFacts:
        found = dict(headers)
        rates, unreadable_rates = _read_rate_limits(status, headers)
        return codecs.AnswerFacts(
            attempt_id=found.get(ATTEMPT_ID, b'').decode('latin-1'),
            signed=ENDPOINT_SIGNATURE in found,
            not_run=NOT_EXECUTED in found or status == WRONG_ENDPOINT_STATUS,
            has_unrequested_encoding=found.get(CONTENT_ENCODING, b'identity')
            != b'identity',
            load=_read_load(found.get(ENDPOINT_LOAD, b'')),
            leaving=_read_leaving(status, headers),
            retry_after=_read_retry_after(status, headers),
            rate_limit=min(rates, default=0.0),
            has_unreadable_rate_limit=bool(unreadable_rates),
            cold_seconds=_read_cold_seconds(status, found.get(COLD_MS)),
        )


def _read_seconds(text: bytes | None) -> float | None:
    if text is None:
        return None
    try:
        seconds = float(text) / MILLISECONDS_PER_SECOND
    except ValueError:
        raise ValueError('the time budget is not a number') from None
    if not 0.0 <= seconds < float('inf'):
        raise ValueError('the time budget is not a number from 0 on')
    return seconds


def _read_key(text: str) -> str:
    if text.lower().startswith(BEARER_PREFIX):
        return text[len(BEARER_PREFIX) :].strip()
    return ''


def _read_tokens(text: bytes) -> tuple[int, int]:
    match _read_counts(text):
        case [prompt, answer]:
            return prompt, answer
    return 0, 0


def _read_counts(text: bytes) -> list[int]:
    """Return numbers separated by commas, none if one cannot be read."""
    parts = [part.strip() for part in text.split(b',')]
    if not all(_COUNT.fullmatch(part) for part in parts):
        return []
    return [int(part) for part in parts]


def _read_shared_parts(text: bytes) -> tuple[str, ...]:
    """Return the identifiers of all parts of a prompt but the last.

    At most ``MAX_PROMPT_PARTS`` are returned.
    """
    entries = text.decode('latin-1').lower().split(',')[:-1]
    names = (entry.partition(':')[0].strip() for entry in entries)
    found = dict.fromkeys(name for name in names if name)
    return tuple(found)[:MAX_PROMPT_PARTS]


def _read_load(text: bytes) -> codecs.ReportedLoad | None:
    match _read_counts(text):
        case [running, waiting, slots]:
            return codecs.ReportedLoad(
                running=running, waiting=waiting, slots=slots
            )
    return None


def _read_leaving(status: int, headers: codecs.Headers) -> bool:
    """Return whether a response reports that its endpoint is shutting down.

    Returns false for a 421 response, which comes from another endpoint that
    now has the address.  Values other than ``1`` are logged and ignored.
    """
    if status == WRONG_ENDPOINT_STATUS:
        return False
    values = [text for name, text in headers if name == LEAVING]
    for text in values:
        if text != b'1':
            _log_invalid_header(LEAVING, text)
    return b'1' in values


def _read_retry_after(status: int, headers: codecs.Headers) -> float:
    """Return the longest Retry-After of a 503 response, in seconds.

    Values that are not finite, non-negative numbers are logged and ignored.
    Returns 0 if no valid value remains or the status is not 503.
    """
    if status != UNAVAILABLE_STATUS:
        return 0.0
    longest = 0.0
    for name, text in headers:
        if name != RETRY_AFTER:
            continue
        try:
            seconds = float(text)
        except ValueError:
            seconds = math.nan
        if math.isfinite(seconds) and seconds >= 0.0:
            longest = max(longest, seconds)
            continue
        _log_invalid_header(RETRY_AFTER, text)
    return longest


def _read_rate_limits(
    status: int, headers: codecs.Headers
) -> tuple[list[float], list[bytes]]:
    """Return the rate limits of a response, and their unreadable values.

    Values other than positive decimal numbers are unreadable.  These are
    logged, and so are all values of a repeated header.  A 421 response has
    none, as it comes from another endpoint that now has the address.
    """
    if status == WRONG_ENDPOINT_STATUS:
        return [], []
    values = [text for name, text in headers if name == RATE_LIMIT]
    rates = [_parse_rate(text) for text in values]
    readable = [rate for rate in rates if rate is not None]
    if len(values) > 1 or len(readable) < len(values):
        for text in values:
            _log_invalid_header(RATE_LIMIT, text)
    unreadable = [
        text for text, rate in zip(values, rates, strict=True) if rate is None
    ]
    return readable, unreadable


def _parse_rate(text: bytes) -> float | None:
    """Return a positive decimal number, ``None`` for anything else."""
    if not _DECIMAL.fullmatch(text):
        return None
    rate = float(text)
    return min(rate, MAX_RATE) if 0.0 < rate < math.inf else None


def _read_cold_seconds(status: int, text: bytes | None) -> float | None:
    """Return for how long the sender of a response is cold.

    A 421 response comes from another endpoint that now has the address.
    """
    if text is None or status == WRONG_ENDPOINT_STATUS:
        return None
    try:
        seconds = float(text) / MILLISECONDS_PER_SECOND
    except ValueError:
        seconds = math.nan
    if math.isfinite(seconds) and seconds >= 0.0:
        return seconds
    _log_invalid_header(COLD_MS, text)
    return None


def _log_invalid_header(name: bytes, value: bytes) -> None:
    """Log a response header that has an invalid value."""
    logging.warning(
        'header not understood',
        extra=logs.fields(name=name.decode(), value=value.decode('latin-1')),
    )
