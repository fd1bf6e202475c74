"""Logs and metrics for the signals in endpoints' response headers."""

from typing import Callable

from absl import logging

from .. import logs
from .. import metrics as metrics_module
from . import calls
from . import codecs
from . import endpoints


class EndpointSignals:
    """Records, logs and counts backoffs, and the sends during them."""

    __slots__ = ('_clock', '_metrics')

    def __init__(
        self,
        *,
        clock: Callable[[], float],
        metrics: metrics_module.Metrics,
    ) -> None:
        self._clock = clock
        self._metrics = metrics

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
                request=call.facts.attempt,
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
        """Record, log and count a backoff that a response asks for."""
        if facts.retry_after <= 0.0:
            return
        endpoint.note_backoff(seconds=facts.retry_after, now=self._clock())
        service = endpoint.record.service
        self._metrics.count('endpoint_backoffs', service=service)
        logging.info(
            'endpoint asked for backoff',
            extra=logs.fields(
                request=call.facts.attempt,
                endpoint=endpoint.identity,
                seconds=facts.retry_after,
            ),
        )
