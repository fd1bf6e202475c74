"""Which endpoints are cold, and until when.

An endpoint that has just started is slow, and tolerates few requests.  It says
in its object in the store and in responses for how much longer it is cold.
Without such a statement it counts as cold for the time that the operator has
configured, from when this gateway saw a reason to assume a new start.
"""

import enum
from typing import Callable
from typing import Iterable

from absl import logging

from ... import logs
from .. import calls
from .. import codecs
from .. import deployment
from .. import settings
from ..balancing import endpoints
from . import bounds
from . import rate_shares


class Cause(enum.Enum):
    """Why an endpoint begins or ceases to count as cold."""

    STATED = 'stated in its object'
    RESPONSE = 'stated in a response'
    STARTED = 'started, or first seen'
    RETURNED = 'returned after an outage of the store'
    WITHDRAWAL = 'evacuation withdrawn'
    REFUSED = 'refused a connection'
    ELAPSED = 'time over'


class ColdStarts:
    """Decides which endpoints are cold.

    :param shares: divides the bounds of cold endpoints among the gateways.
    :param cold_bounds: returns the operator's bounds, ``None`` if cold
        endpoints need no protection.
    :param find_cold_start: returns what the endpoints of a service tolerate
        after their start, ``None`` for their full load.
    """

    __slots__ = (
        '_table',
        '_shares',
        '_cold_bounds',
        '_find_cold_start',
        '_clock',
    )

    def __init__(
        self,
        *,
        table: endpoints.EndpointTable,
        shares: rate_shares.RateShares,
        cold_bounds: Callable[[], settings.ColdBounds | None],
        find_cold_start: Callable[[str], deployment.ColdStart | None],
        clock: Callable[[], float],
    ) -> None:
        self._table = table
        self._shares = shares
        self._cold_bounds = cold_bounds
        self._find_cold_start = find_cold_start
        self._clock = clock

    def _find_start(
        self, endpoint: endpoints.Endpoint
    ) -> deployment.ColdStart | None:
        """Return what an endpoint tolerates while cold, ``None`` for all."""
        if self._cold_bounds() is None:
            return None
        return self._find_cold_start(endpoint.record.service)

    def count_cold(self) -> int:
        """Return the number of cold endpoints."""
        return sum(one.rate_limit.cold.is_cold for one in self._table)

    def find_remaining(self, endpoint: endpoints.Endpoint) -> float | None:
        """Return for how many more seconds an endpoint counts as cold.

        :returns: what its record says if that is all that is known.
        """
        cold = endpoint.rate_limit.cold
        if cold.record is None:
            return endpoint.record.cold_seconds
        if not cold.is_cold:
            return 0.0
        return max(0.0, cold.until - self._clock())

    def refresh(self) -> None:
        """End the cold states whose time is over, and apply new settings."""
        is_enabled = self._cold_bounds() is not None
        starts: dict[str, deployment.ColdStart | None] = {}
        for endpoint in self._table:
            if not is_enabled and endpoint.rate_limit.cold.bound is None:
                continue
            service = endpoint.record.service
            if service not in starts:
                starts[service] = self._find_start(endpoint)
            self._refresh(endpoint, starts[service])

    def _refresh(
        self,
        endpoint: endpoints.Endpoint,
        start: deployment.ColdStart | None,
    ) -> None:
        cold = endpoint.rate_limit.cold
        now = self._clock()
        if start is None:
            if cold.is_cold:
                self._end(endpoint, Cause.ELAPSED)
            self._lift(endpoint)
            return
        if cold.record is not endpoint.record:
            self._note_record(endpoint, start)
        if cold.is_cold and now >= cold.until:
            self._end(endpoint, Cause.ELAPSED)
        if cold.is_cold:
            cold.bound = self._make_bound(start)
        elif cold.find_bound(now=now) is None:
            self._lift(endpoint)

    def _make_bound(self, start: deployment.ColdStart) -> bounds.Bound | None:
        cold_bounds = self._cold_bounds()
        if cold_bounds is None:
            return None
        return bounds.make_cold(
            start.rate, factor=cold_bounds.factor, extra=cold_bounds.extra
        )

    def _lift(self, endpoint: endpoints.Endpoint) -> None:
        """Remove the bound of an endpoint that has its full load again."""
        if endpoint.rate_limit.cold.bound is not None:
            endpoint.rate_limit.cold.bound = None
            self._shares.update_share(endpoint)

    def note_put(self, identity: str, has_returned: bool) -> None:
        """Record that an endpoint was added or its record updated.

        :param has_returned: it was listed again after an outage of the store.
        """
        endpoint = self._table.find(identity)
        if endpoint is None:
            return
        start = self._find_start(endpoint)
        if start is None:
            return
        if has_returned and endpoint.record.cold_seconds is None:
            endpoint.rate_limit.cold.record = endpoint.record
            self._begin(endpoint, start.seconds, Cause.RETURNED)
        self._refresh(endpoint, start)

    def _note_record(
        self, endpoint: endpoints.Endpoint, start: deployment.ColdStart
    ) -> None:
        """Apply what a new record of an endpoint says."""
        cold = endpoint.rate_limit.cold
        known = cold.record
        record = endpoint.record
        cold.record = record
        if known is not None and record.revision <= known.revision:
            return
        if record.cold_seconds is not None:
            self._set_remaining(endpoint, record.cold_seconds, Cause.STATED)
        elif known is None:
            self._begin(endpoint, start.seconds, Cause.STARTED)

    def note_answer(
        self,
        *,
        call: calls.Call,
        endpoint: endpoints.Endpoint,
        facts: codecs.AnswerFacts,
    ) -> None:
        """Apply what a response says about its endpoint."""
        seconds = facts.cold_seconds
        if seconds is None or facts.attempt_id != call.facts.attempt_id:
            return
        cold = endpoint.rate_limit.cold
        if endpoint.is_removed or self._find_start(endpoint) is None:
            return
        if cold.is_cold and call.sent_at <= cold.since:
            # It may have been made before the new start.
            seconds = max(seconds, cold.until - self._clock())
        self._set_remaining(endpoint, seconds, Cause.RESPONSE)

    def note_refused(self, endpoint: endpoints.Endpoint) -> None:
        """Record that the port of an endpoint refused a connection.

        Its process has ended; another one will start.
        """
        start = self._find_start(endpoint)
        if start is not None and not endpoint.is_removed:
            self._begin(endpoint, start.seconds, Cause.REFUSED)

    def note_withdrawal(self, data_centres: Iterable[str]) -> None:
        """Record that evacuations of data centres were withdrawn."""
        names = frozenset(data_centres)
        for endpoint in self._table:
            start = self._find_start(endpoint)
            if start is not None and endpoint.record.data_centre in names:
                self._begin(endpoint, start.seconds, Cause.WITHDRAWAL)

    def _set_remaining(
        self, endpoint: endpoints.Endpoint, seconds: float, cause: Cause
    ) -> None:
        """Apply a statement of how much longer an endpoint is cold."""
        if seconds > 0.0:
            self._begin(endpoint, seconds, cause, is_stated=True)
        elif endpoint.rate_limit.cold.is_cold:
            self._end(endpoint, cause)

    def _begin(
        self,
        endpoint: endpoints.Endpoint,
        seconds: float,
        cause: Cause,
        *,
        is_stated: bool = False,
    ) -> None:
        """Count an endpoint as cold for some time, or correct that time.

        :param is_stated: the endpoint itself states the time; otherwise it is
            an estimate that does not shorten a known one.
        """
        cold = endpoint.rate_limit.cold
        now = self._clock()
        was_cold = cold.is_cold
        until = now + seconds
        since = now
        if was_cold and is_stated:
            since = cold.since
        elif was_cold:
            until = max(until, cold.until)
        cold.begin(until=until, since=since)
        start = self._find_start(endpoint)
        if start is not None:
            cold.bound = self._make_bound(start)
        if was_cold:
            return
        self._shares.update_share(endpoint)
        logging.info(
            'endpoint cold',
            extra=logs.fields(
                endpoint=endpoint.identity,
                service=endpoint.record.service,
                cause=cause.value,
                seconds=round(seconds, 3),
            ),
        )

    def _end(self, endpoint: endpoints.Endpoint, cause: Cause) -> None:
        """Count an endpoint as cold no longer."""
        cold = endpoint.rate_limit.cold
        now = self._clock()
        cold.end(now=now)
        self._shares.update_share(endpoint)
        logging.info(
            'endpoint no longer cold',
            extra=logs.fields(
                endpoint=endpoint.identity,
                service=endpoint.record.service,
                cause=cause.value,
                seconds=round(now - cold.since, 3),
            ),
        )
