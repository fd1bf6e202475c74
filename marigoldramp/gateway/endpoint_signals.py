"""Handles shutdown and backoff signals in response headers of endpoints."""

from typing import Callable

from absl import logging

from .. import logs
from .. import metrics as metrics_module
from . import calls
from . import codecs
from . import deployment
from . import endpoints


class EndpointSignals:
    """Handles shutdown and backoff signals of endpoints.

    Also logs and counts requests sent during a backoff.

    :param on_leaving: called with the record of an endpoint that reports
        that it is shutting down.
    """

    __slots__ = ('_clock', '_metrics', '_on_leaving')

    def __init__(
        self,
        *,
        clock: Callable[[], float],
        metrics: metrics_module.Metrics,
        on_leaving: Callable[[deployment.EndpointRecord], None],
    ) -> None:
        self._clock = clock
        self._metrics = metrics
        self._on_leaving = on_leaving

    def note_send(
        self, *, call: calls.Call, endpoint: endpoints.Endpoint
    ) -> None:
        """Log and count a request sent during the endpoint's backoff."""
        left = endpoint.backoff_until - self._clock()
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
        """Report a shutdown, and record, log and count a backoff."""
        if facts.leaving:
            self._on_leaving(endpoint.record)
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
