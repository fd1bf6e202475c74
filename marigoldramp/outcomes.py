"""Final outcomes of a call other than an answer.

A call ends in exactly one of three ways: an answer in full, ``NotRun`` or
``OutcomeUnknown``.  The two refusals are values, never exceptions, so that
each place which can end a call says which of them it means and why.
"""

import enum

import msgspec


class Reason(enum.StrEnum):
    """Why a call ended without an answer.

    The text is part of the interface to callers (problem field ``reason``).
    """

    NO_KEY = 'no_key'
    UNKNOWN_KEY = 'unknown_key'
    UNKNOWN_ROUTE = 'unknown_route'
    NOT_ALLOWED = 'not_allowed'
    MALFORMED = 'malformed'
    HEAD_TOO_LARGE = 'head_too_large'
    BODY_TOO_LARGE = 'body_too_large'
    BODY_TIMEOUT = 'body_timeout'
    BINDING_INVALID = 'binding_invalid'
    BINDING_EXPIRED = 'binding_expired'
    KEY_BARRED = 'key_barred'
    RATE_LIMIT = 'rate_limit'
    CONCURRENCY_LIMIT = 'concurrency_limit'
    TOKEN_LIMIT = 'token_limit'
    CANNOT_END_IN_TIME = 'cannot_end_in_time'
    DEADLINE = 'deadline'
    QUEUE_FULL = 'queue_full'
    NO_ENDPOINT = 'no_endpoint'
    LEAVING = 'leaving'
    NO_BUNDLE = 'no_bundle'
    WRONG_INSTANCE = 'wrong_instance'
    UNAUTHENTICATED = 'unauthenticated'
    STORE_AWAY = 'store_away'
    CLAIMED_ELSEWHERE = 'claimed_elsewhere'
    CONNECTION_LOST = 'connection_lost'
    ENDPOINT_FAILED = 'endpoint_failed'
    ENDS_ENDPOINTS = 'ends_endpoints'
    ANSWER_NOT_KEPT = 'answer_not_kept'
    INCARNATION_GONE = 'incarnation_gone'
    CANCELLED = 'cancelled'
    INTERNAL = 'internal'


class NotRun(msgspec.Struct, frozen=True, kw_only=True):
    """The call did not run and will not run later.

    :ivar reason: why it was refused.
    :ivar detail: one sentence for a person.
    :ivar retry_after: seconds after which coming back can help, or ``None``
        where the same call would be refused again.
    """

    reason: Reason
    detail: str = ''
    retry_after: float | None = None


class OutcomeUnknown(msgspec.Struct, frozen=True, kw_only=True):
    """The call may have run, in whole or in part, or may still run.

    :ivar reason: what kept the outcome from being known.
    :ivar detail: one sentence for a person.
    """

    reason: Reason
    detail: str = ''


Refusal = NotRun | OutcomeUnknown
