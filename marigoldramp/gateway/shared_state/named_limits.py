"""The rate limits that endpoints name, as all gateways know them.

Gateways report to each other which limits they know.
"""

import random as random_module
from typing import Callable

from absl import logging
import msgspec

from ... import logs
from .. import calls
from .. import codecs
from .. import peer_reports
from ..balancing import endpoints
from . import rate_limits

#: Rate assumed for an endpoint whose first limit is unreadable.
UNREADABLE_RATE = 1.0
#: Time for which a change is in each report.
REPORTING_SECONDS = 3.0
MAX_LIMITS_PER_REPORT = 8
#: Time for which an ended limit is reported, to peers that missed its end.
RETENTION_SECONDS = 120.0
#: Interval of reports to all peers at once because of changes.
NOTIFY_INTERVAL_SECONDS = 0.3


class Change(msgspec.Struct, frozen=True, kw_only=True):
    """A change of an endpoint's limit; rates are 0 without a limit."""

    rate: float
    before: float


class NamedLimits:
    """The limits that endpoints name, from responses and from peers.

    :param on_change: called with an endpoint whose limit has changed.
    :param send_reports_now: sends the next reports without delay.
    :param random: selects the limits that a report mentions.
    """

    __slots__ = (
        '_table',
        '_on_change',
        '_send_reports_now',
        '_clock',
        '_random',
        '_limited',
        '_changed_at',
        '_notified_at',
    )

    def __init__(
        self,
        *,
        table: endpoints.EndpointTable,
        on_change: Callable[[endpoints.Endpoint], None],
        send_reports_now: Callable[[], None],
        clock: Callable[[], float],
        random: random_module.Random,
    ) -> None:
        self._table = table
        self._on_change = on_change
        self._send_reports_now = send_reports_now
        self._clock = clock
        self._random = random
        self._limited: dict[str, endpoints.Endpoint] = {}
        self._changed_at: dict[str, float] = {}
        self._notified_at = float('-inf')

    def note_answer(
        self,
        *,
        call: calls.Call,
        endpoint: endpoints.Endpoint,
        facts: codecs.AnswerFacts,
    ) -> Change | None:
        """Record the limit that a response names, or that it names none.

        :returns: the change of the limit, if there is one.
        """
        limit = endpoint.rate_limit
        before = limit.named_rate
        is_answer = (
            not facts.not_run and facts.attempt_id == call.facts.attempt_id
        )
        if facts.rate_limit or facts.has_unreadable_rate_limit:
            rate = facts.rate_limit or before or UNREADABLE_RATE
            self._note_named(limit, rate, call.sent_at)
        elif before and is_answer and call.sent_at > limit.seen_at:
            # The head of an earlier response may arrive after a later one, so
            # only a request sent since shows that the limit has ended.
            now = self._clock()
            limit.end(version=limit.version + 1, ended_at=now, now=now)
        rate = limit.named_rate
        if rate == before:
            return None
        self._handle_change(endpoint)
        return Change(rate=rate, before=before)

    def _note_named(
        self, limit: rate_limits.RateLimit, rate: float, sent_at: float
    ) -> None:
        now = self._clock()
        before = limit.named_rate
        if before and (
            rate == before or self._is_late_rise(limit, rate, sent_at)
        ):
            limit.confirm(now=now)
            return
        limit.note_named(
            rate, version=limit.version + 1, confirmed_at=now, now=now
        )

    def _is_late_rise(
        self, limit: rate_limits.RateLimit, rate: float, sent_at: float
    ) -> bool:
        """Whether a higher rate may be older than the known one."""
        return rate > limit.rate and sent_at <= limit.seen_at

    def merge(
        self, reported: peer_reports.ReportedRateLimit, *, source: str
    ) -> None:
        """Record a limit that a peer reports.

        :param source: name of the peer.
        """
        endpoint = self._table.find(reported.identity)
        if endpoint is None or endpoint.record.born != reported.born:
            return
        limit = endpoint.rate_limit
        now = self._clock()
        if not _supersedes(reported, limit):
            if reported.version == limit.version and not limit.has_ended:
                limit.confirmed_at = max(
                    limit.confirmed_at, now - reported.age
                )
            return
        before = limit.named_rate
        if reported.has_ended:
            limit.rate = reported.rate
            limit.end(
                version=reported.version,
                ended_at=now - reported.age,
                now=now,
            )
        else:
            limit.note_named(
                reported.rate,
                version=reported.version,
                confirmed_at=now - reported.age,
                now=now,
            )
        self._handle_change(endpoint)
        logging.info(
            'rate limit of endpoint reported',
            extra=logs.fields(
                endpoint=endpoint.identity,
                source=source,
                rate=limit.named_rate,
                before=before,
                age=round(reported.age, 3),
            ),
        )

    def _handle_change(self, endpoint: endpoints.Endpoint) -> None:
        """Apply a changed limit and report it to peers."""
        self._changed_at[endpoint.identity] = self._clock()
        self._limited[endpoint.identity] = endpoint
        self._on_change(endpoint)

    def refresh(self) -> None:
        """Find the limited endpoints, and report recent changes to peers."""
        self._limited = {
            one.identity: one for one in self._table if one.rate_limit.version
        }
        self._notify()

    def _notify(self) -> None:
        """Report recent changes to all peers at once."""
        now = self._clock()
        for identity, at in list(self._changed_at.items()):
            if now - at > REPORTING_SECONDS:
                del self._changed_at[identity]
        if not self._changed_at:
            return
        latest = max(self._changed_at.values())
        if latest <= self._notified_at:
            return
        if now - self._notified_at < NOTIFY_INTERVAL_SECONDS:
            return
        self._notified_at = now
        self._send_reports_now()

    def make_update(self) -> tuple[peer_reports.ReportedRateLimit, ...]:
        """Return the limits that the next report mentions.

        Recent changes come first.
        """
        now = self._clock()
        known = {
            identity: one
            for identity, one in self._limited.items()
            if not one.rate_limit.has_ended
            or now - one.rate_limit.ended_at <= RETENTION_SECONDS
        }
        recent = [one for one in self._changed_at if one in known]
        chosen = recent[-MAX_LIMITS_PER_REPORT:]
        others = [one for one in known if one not in chosen]
        room = min(len(others), MAX_LIMITS_PER_REPORT - len(chosen))
        chosen += self._random.sample(others, room)
        return tuple(_describe(known[one], now) for one in chosen)


def _supersedes(
    reported: peer_reports.ReportedRateLimit, limit: rate_limits.RateLimit
) -> bool:
    """Whether a reported state replaces the known one.

    Two gateways may give different changes the same version; all then take the
    lower rate.
    """
    if reported.version != limit.version:
        return reported.version > limit.version
    own = limit.has_ended, limit.rate
    return (reported.has_ended, reported.rate) < own


def _describe(
    endpoint: endpoints.Endpoint, now: float
) -> peer_reports.ReportedRateLimit:
    limit = endpoint.rate_limit
    since = limit.ended_at if limit.has_ended else limit.confirmed_at
    return peer_reports.ReportedRateLimit(
        identity=endpoint.identity,
        born=endpoint.record.born,
        version=limit.version,
        rate=limit.rate,
        has_ended=limit.has_ended,
        age=now - since,
    )
