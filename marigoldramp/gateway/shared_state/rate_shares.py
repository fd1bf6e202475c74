"""Divides the bounds on requests to endpoints among the gateways.

A bound holds for all gateways together, and is often smaller than one request
per second for each of them.  So only a few gateways send requests to such an
endpoint.  The bounds are the rate limits that endpoints name and those of cold
endpoints; a gateway keeps the smaller one of its shares in both.
"""

import random as random_module
from typing import Callable

from .. import calls
from .. import codecs
from .. import peer_reports
from .. import peers
from ..balancing import endpoints
from . import bounds
from . import holders
from . import named_limits

#: Other gateways hold the shares if no response has confirmed a limit for this
#: time and for this number of requests: those that hold them may have no
#: requests for the service, and would never notice that the limit has ended.
MIN_UNCONFIRMED_SECONDS = 10.0
MAX_UNCONFIRMED_REQUESTS = 3.0
#: Pause after this gateway was frozen, in which it learns of endpoints that
#: have restarted meanwhile.
WAKE_PAUSE_SECONDS = 0.5
ISOLATED_SHARE = bounds.ISOLATED_SHARE
STARTUP_SECONDS = holders.STARTUP_SECONDS
UNREADABLE_RATE = named_limits.UNREADABLE_RATE
REPORTING_SECONDS = named_limits.REPORTING_SECONDS
MAX_LIMITS_PER_REPORT = named_limits.MAX_LIMITS_PER_REPORT
Change = named_limits.Change


class RateShares:
    """The shares of this gateway in the bounds of all endpoints.

    :param instance: name of this gateway.
    :param data_centre: data centre of this gateway.
    :param leaving: returns whether this gateway is shutting down.
    :param send_reports_now: sends the next reports without delay.
    :param random: selects the limits that a report mentions.
    :param registered: returns the names of all gateways that may be alive,
        ``None`` while they are not known.
    """

    __slots__ = (
        '_table',
        '_clock',
        '_membership',
        '_named',
        '_named_ranking',
        '_cold_ranking',
        '_paused_until',
    )

    def __init__(
        self,
        *,
        instance: str,
        data_centre: str,
        table: endpoints.EndpointTable,
        peers: peers.PeerTable,
        leaving: Callable[[], bool],
        send_reports_now: Callable[[], None],
        clock: Callable[[], float],
        random: random_module.Random,
        registered: Callable[[], frozenset[str] | None] = lambda: None,
    ) -> None:
        self._table = table
        self._clock = clock
        self._membership = holders.Membership(
            instance=instance,
            data_centre=data_centre,
            peers=peers,
            leaving=leaving,
            registered=registered,
            clock=clock,
        )
        self._named = named_limits.NamedLimits(
            table=table,
            on_change=self.update_share,
            send_reports_now=send_reports_now,
            clock=clock,
            random=random,
        )
        self._named_ranking = holders.Ranking(
            instance=instance, position=holders.Isolated(gateways=1)
        )
        self._cold_ranking = holders.Ranking(
            instance=instance, position=holders.Unsettled()
        )
        self._paused_until = float('-inf')

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
        return self._named.note_answer(
            call=call, endpoint=endpoint, facts=facts
        )

    def merge(
        self, reported: peer_reports.ReportedRateLimit, *, source: str
    ) -> None:
        """Record a limit that a peer reports.

        :param source: name of the peer.
        """
        self._named.merge(reported, source=source)

    def make_update(self) -> tuple[peer_reports.ReportedRateLimit, ...]:
        """Return the limits that the next report mentions."""
        return self._named.make_update()

    def refresh(self) -> None:
        """Adapt all shares to the peers that are heard now."""
        if self._membership.is_outdated:
            self._pause()
        self._membership.check()
        self._named_ranking.update(self._membership.find_position())
        bounded = [one for one in self._table if one.rate_limit.is_bounded]
        cold: holders.Position = holders.Unsettled()
        if any(one.rate_limit.cold.bound is not None for one in bounded):
            cold = self._membership.find_cold_position()
        self._cold_ranking.update(cold)
        for endpoint in bounded:
            self.update_share(endpoint)
        self._named.refresh()

    def _pause(self) -> None:
        """Use no endpoint that may have become cold without notice.

        This gateway was frozen, and has not read the news of that time yet.
        """
        self._paused_until = self._clock() + WAKE_PAUSE_SECONDS
        for endpoint in self._table:
            if endpoint.rate_limit.cold.record is not None:
                endpoint.resting_until = max(
                    endpoint.resting_until, self._paused_until
                )

    def may_send(self, endpoint: endpoints.Endpoint) -> bool:
        """Whether a request that was assigned to an endpoint may be sent.

        The endpoint may have become cold since, or this gateway may have lost
        its share while it was frozen.
        """
        limit = endpoint.rate_limit
        if limit.cold.record is None:
            return True
        if self._membership.is_outdated:
            self.refresh()
        now = self._clock()
        return now >= self._paused_until and limit.may_send(now=now)

    def update_share(self, endpoint: endpoints.Endpoint) -> None:
        """Set the share of this gateway in the bounds of an endpoint."""
        now = self._clock()
        limit = endpoint.rate_limit
        share = float('inf')
        rate = limit.find_named_rate(now=now)
        if rate < share:
            share = self._named_ranking.find_share(
                endpoint=endpoint,
                bound=bounds.make_named(rate),
                count_changes=lambda one: self._count_unconfirmed(
                    endpoint, one
                ),
            )
        cold = limit.cold.find_bound(now=now)
        if cold is not None:
            share = min(
                share,
                self._cold_ranking.find_share(endpoint=endpoint, bound=cold),
            )
        limit.set_share(share, now=now)

    def _count_unconfirmed(
        self, endpoint: endpoints.Endpoint, share: float
    ) -> int:
        """Return how often the holders have changed for want of responses."""
        limit = endpoint.rate_limit
        if limit.has_ended:
            return 0
        seconds = max(
            MIN_UNCONFIRMED_SECONDS, MAX_UNCONFIRMED_REQUESTS / share
        )
        return int((self._clock() - limit.confirmed_at) / seconds)


def count_holders(rate: float) -> int:
    """Return how many gateways hold shares of a named limit."""
    return bounds.make_named(rate).max_holders


def _find_isolated_share(rate: float, gateways: int) -> float:
    """Return the share of an isolated gateway in a named limit."""
    return bounds.make_named(rate).find_isolated_share(gateways)
