"""Handles signals of endpoints in response headers.

Endpoints signal a shutdown, a backoff, a limit on their rate of requests, and
for how much longer they are cold.
"""

from typing import Callable

from absl import logging

from .. import logs
from .. import metrics as metrics_module
from . import calls
from . import codecs
from . import deployment
from .balancing import endpoints
from .shared_state import cold_starts as cold_starts_module
from .shared_state import rate_shares


class EndpointSignals:
    """Handles shutdown, backoff, rate limit and cold signals of endpoints.

    Also logs and counts requests that are sent again, to an endpoint that is
    leaving, cold or in an evacuated data centre, during a backoff or under a
    rate limit.

    :param on_leaving: called with the record of an endpoint that reports
        that it is shutting down.
    :param shares: records rate limits.
    :param cold_starts: records which endpoints are cold; ``None`` if cold
        starts are not limited.
    """

    __slots__ = (
        '_clock',
        '_metrics',
        '_on_leaving',
        '_rate_shares',
        '_cold_starts',
    )

    def __init__(
        self,
        *,
        clock: Callable[[], float],
        metrics: metrics_module.Metrics,
        on_leaving: Callable[[deployment.EndpointRecord], None],
        shares: rate_shares.RateShares,
        cold_starts: cold_starts_module.ColdStarts | None = None,
    ) -> None:
        self._rate_shares = shares
        self._cold_starts = cold_starts
        self._clock = clock
        self._metrics = metrics
        self._on_leaving = on_leaving

    def may_send(self, endpoint: endpoints.Endpoint) -> bool:
        """Whether a request may be sent to the endpoint chosen for it."""
        return self._rate_shares.may_send(endpoint)

    def note_refused(self, endpoint: endpoints.Endpoint) -> None:
        """Record that the port of an endpoint refused a connection."""
        if self._cold_starts is not None:
            self._cold_starts.note_refused(endpoint)

    def note_send(
        self, *, call: calls.Call, endpoint: endpoints.Endpoint
    ) -> None:
        """Record a request that was sent to an endpoint."""
        now = self._clock()
        call.sent_at = now
        endpoint.rate_limit.note_send(now=now)
        self._note_repeated_send(call, endpoint)
        self._note_leaving_send(call, endpoint)
        self._note_evacuated_send(call, endpoint)
        self._note_backoff_send(call, endpoint, now)
        self._note_limited_send(call, endpoint)
        self._note_cold_send(call, endpoint, now)

    def _note_repeated_send(
        self, call: calls.Call, endpoint: endpoints.Endpoint
    ) -> None:
        """Log and count a request that had been sent before."""
        if call.sends <= 1:
            return
        self._metrics.count('repeated_sends', service=endpoint.record.service)
        logging.info(
            'sent again',
            extra=logs.fields(
                request=call.facts.attempt_id,
                endpoint=endpoint.identity,
                service=endpoint.record.service,
                sends=call.sends,
            ),
        )

    def _note_leaving_send(
        self, call: calls.Call, endpoint: endpoints.Endpoint
    ) -> None:
        """Log and count a request sent to an endpoint that is leaving."""
        if not endpoint.is_leaving:
            return
        service = endpoint.record.service
        self._metrics.count('sends_to_leaving_endpoints', service=service)
        logging.info(
            'sent to leaving endpoint',
            extra=logs.fields(
                request=call.facts.attempt_id,
                endpoint=endpoint.identity,
                gone=endpoint.is_removed,
                sends=call.sends,
            ),
        )

    def _note_evacuated_send(
        self, call: calls.Call, endpoint: endpoints.Endpoint
    ) -> None:
        """Log and count a request sent to an evacuated data centre."""
        if not endpoint.is_evacuated:
            return
        service = endpoint.record.service
        self._metrics.count('sends_to_evacuated_endpoints', service=service)
        logging.info(
            'sent to evacuated endpoint',
            extra=logs.fields(
                request=call.facts.attempt_id,
                endpoint=endpoint.identity,
                data_centre=endpoint.record.data_centre,
                sends=call.sends,
            ),
        )

    def _note_limited_send(
        self, call: calls.Call, endpoint: endpoints.Endpoint
    ) -> None:
        """Log and count a request sent under the endpoint's rate limit."""
        limit = endpoint.rate_limit
        if not limit.named_rate:
            return
        service = endpoint.record.service
        self._metrics.count('sends_under_rate_limit', service=service)
        logging.info(
            'sent under rate limit',
            extra=logs.fields(
                request=call.facts.attempt_id,
                endpoint=endpoint.identity,
                rate=limit.named_rate,
                share=round(limit.share, 4),
                sends=call.sends,
            ),
        )

    def _note_cold_send(
        self, call: calls.Call, endpoint: endpoints.Endpoint, now: float
    ) -> None:
        """Log and count a request sent to a cold endpoint."""
        limit = endpoint.rate_limit
        if not limit.cold.is_cold:
            return
        service = endpoint.record.service
        self._metrics.count('sends_to_cold_endpoints', service=service)
        logging.info(
            'sent to cold endpoint',
            extra=logs.fields(
                request=call.facts.attempt_id,
                endpoint=endpoint.identity,
                left=round(limit.cold.until - now, 4),
                share=round(limit.share, 4),
                sends=call.sends,
            ),
        )

    def _note_backoff_send(
        self, call: calls.Call, endpoint: endpoints.Endpoint, now: float
    ) -> None:
        """Log and count a request sent during the endpoint's backoff."""
        left = endpoint.backoff_until - now
        if left <= 0.0:
            return
        service = endpoint.record.service
        self._metrics.count('sends_during_backoff', service=service)
        logging.info(
            'sent during backoff',
            extra=logs.fields(
                request=call.facts.attempt_id,
                endpoint=endpoint.identity,
                left=round(left, 4),
                sends=call.sends,
            ),
        )

    def note_answer(
        self,
        *,
        call: calls.Call,
        endpoint: endpoints.Endpoint,
        facts: codecs.AnswerFacts,
    ) -> None:
        """Record the signals in the head of a response."""
        if facts.leaving:
            self._on_leaving(endpoint.record)
        if self._cold_starts is not None:
            self._cold_starts.note_answer(
                call=call, endpoint=endpoint, facts=facts
            )
        self._note_rate_limit(call, endpoint, facts)
        self._note_backoff(call, endpoint, facts)

    def _note_rate_limit(
        self,
        call: calls.Call,
        endpoint: endpoints.Endpoint,
        facts: codecs.AnswerFacts,
    ) -> None:
        """Record a rate limit, and log and count a change of it."""
        change = self._rate_shares.note_answer(
            call=call, endpoint=endpoint, facts=facts
        )
        if change is None:
            return
        service = endpoint.record.service
        self._metrics.count('rate_limit_changes', service=service)
        logging.info(
            'rate limit of endpoint changed',
            extra=logs.fields(
                request=call.facts.attempt_id,
                endpoint=endpoint.identity,
                rate=change.rate,
                before=change.before,
            ),
        )

    def _note_backoff(
        self,
        call: calls.Call,
        endpoint: endpoints.Endpoint,
        facts: codecs.AnswerFacts,
    ) -> None:
        """Record, log and count a backoff."""
        if facts.retry_after <= 0.0:
            return
        endpoint.note_backoff(seconds=facts.retry_after, now=self._clock())
        service = endpoint.record.service
        self._metrics.count('endpoint_backoffs', service=service)
        logging.info(
            'endpoint asked for backoff',
            extra=logs.fields(
                request=call.facts.attempt_id,
                endpoint=endpoint.identity,
                seconds=facts.retry_after,
            ),
        )
