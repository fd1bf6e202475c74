"""Choice of an endpoint for a call, from lagging load reports.

The router keeps a bounded table of endpoints per service, fed by
heartbeats; :mod:`.candidates` corrects what they say.  A routing policy (a
plug-in) picks among the endpoints on which the call can end before its
deadline, and where there is none the call is refused at once.
"""

import dataclasses
import random as random_module
from typing import Callable
from typing import Sequence

from . import bundle
from . import candidates
from . import estimates
from . import messages
from . import outcomes
from . import routing_policies

CallFacts = routing_policies.CallFacts
Candidate = candidates.Candidate
Option = routing_policies.Option
RoutingPolicy = routing_policies.RoutingPolicy
reported_load = routing_policies.reported_load

#: Rank by which an endpoint in another data centre is behind, in seconds;
#: about a round trip.
REMOTE_SECONDS = 0.002
#: Share of the estimated wait that is believed when a call is refused, and
#: mean deviations by which it may turn out shorter than expected.  The agent
#: decides again with its own exact knowledge, in a round trip; a refusal
#: here by a late report would lose a call that had a place.
BELIEVED = 0.5
LUCK = 1.0
LEAST_RETRY_AFTER = 0.05
#: Services that are remembered; more than any bundle is expected to have.
MOST_SERVICES = 256
#: Time to come back when a service has no endpoint at all.
NO_ENDPOINT_RETRY_AFTER = 1.0


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class _Length:
    """Expected seconds of service of a call, and their mean deviation."""

    seconds: float
    deviation: float

    def shortest(self) -> float:
        """Return the seconds that a call may well take, with luck."""
        return max(0.0, self.seconds - LUCK * self.deviation)


class _Known:
    """What the router knows of one service.

    :ivar mean: seconds of service over all endpoints and calls.  Each
        endpoint's own mean swings with the mix of its last calls; ranking
        by it would send calls to and fro between endpoints that are alike.
    """

    __slots__ = ('table', 'times', 'mean', 'policy')

    def __init__(self, *, clock: Callable[[], float]) -> None:
        self.table: dict[str, Candidate] = {}
        self.times = estimates.ServiceTimes(clock=clock)
        self.mean = estimates.Smoothed()
        self.policy: RoutingPolicy | None = None

    def expect(self, facts: CallFacts) -> _Length:
        """Return how long a call is expected to run."""
        priority, size = facts.priority, facts.tokens
        return _Length(
            seconds=self.times.expect(priority=priority, size=size),
            deviation=self.times.deviation(priority=priority, size=size),
        )

    def find_policy(self, name: str) -> RoutingPolicy:
        """Return the service's policy, a new one after a change of name."""
        if self.policy is None or self.policy.name != name:
            self.policy = RoutingPolicy.find(name)()
        return self.policy


class Router:
    """Chooses an endpoint for each call.

    :param data_centre: the entry's own, preferred at equal estimate.
    :param most_endpoints: bound on endpoints remembered for a service.
    """

    def __init__(
        self,
        *,
        clock: Callable[[], float],
        random: random_module.Random,
        data_centre: str,
        most_endpoints: int,
    ) -> None:
        self._clock = clock
        self._random = random
        self._data_centre = data_centre
        self._most_endpoints = most_endpoints
        self._services: dict[str, _Known] = {}

    def report(self, *, heartbeat: messages.Heartbeat, now: float) -> None:
        """Take in an agent's heartbeat."""
        service = self._services.get(heartbeat.service)
        if service is None:
            if len(self._services) >= MOST_SERVICES:
                return
            service = _Known(clock=self._clock)
            self._services[heartbeat.service] = service
        table = service.table
        known = table.get(heartbeat.instance)
        if known is not None and known.incarnation == heartbeat.incarnation:
            known.report(heartbeat=heartbeat, now=now)
        elif known is not None or len(table) < self._most_endpoints:
            table[heartbeat.instance] = Candidate(heartbeat=heartbeat, now=now)
        if heartbeat.load is not None and heartbeat.load.service_ms:
            seconds = heartbeat.load.service_ms / candidates.MILLISECONDS
            service.mean.observe(seconds, now=now)

    def drop(self, *, instance: str) -> None:
        """Forget an endpoint that is dead or gone."""
        for service in self._services.values():
            service.table.pop(instance, None)
            if service.policy is not None:
                service.policy.forget(instance)

    def note_cache_events(self, events: messages.CacheEvents) -> None:
        """Pass what an engine tells of its cache to the service's policy."""
        service = self._services.get(events.service)
        if service is not None and service.policy is not None:
            service.policy.note_cache_events(events)

    def choose(
        self,
        *,
        service: bundle.Service,
        facts: CallFacts,
        exclude: frozenset[str],
    ) -> Candidate | outcomes.NotRun:
        """Pick the endpoint for a call, or refuse it."""
        known = self._services.get(service.name)
        if known is None:
            return _refuse_all(service.name)
        length = known.expect(facts)
        now = self._clock()
        options = [
            self._estimate(
                candidate=candidate,
                priority=facts.priority,
                length=length,
                mean=known.mean.value,
                now=now,
            )
            for candidate in known.table.values()
            if not candidate.leaving and candidate.instance not in exclude
        ]
        if not options:
            return _refuse_all(service.name)
        policy = known.find_policy(service.routing)
        in_time = options
        if policy.deadline_first:
            in_time = [one for one in options if one.end <= facts.remaining]
        if not in_time:
            return _refuse(options=options, facts=facts, length=length)
        return policy.choose(
            options=in_time, facts=facts, random=self._random
        ).candidate

    def sent(self, *, candidate: Candidate, facts: CallFacts) -> None:
        """Note that a call is being sent to an endpoint."""
        known = self._services.get(facts.service)
        length = _Length(seconds=0.0, deviation=0.0)
        if known is not None:
            length = known.expect(facts)
        candidate.sent(
            call=facts.call,
            expected=candidates.Expected(
                at=self._clock(),
                priority=facts.priority,
                service=length.seconds,
                deviation=length.deviation,
                wait=candidate.reported_wait(priority=facts.priority),
            ),
        )

    def ended(
        self,
        *,
        candidate: Candidate,
        facts: CallFacts,
        seconds: float,
        answered: bool,
    ) -> None:
        """Note that an attempt has ended, answered or not."""
        expected = candidate.ended(
            call=facts.call,
            seconds=seconds,
            answered=answered,
            now=self._clock(),
        )
        known = self._services.get(facts.service)
        if known is None or expected is None or not answered:
            return
        # A call that was to wait says little about how long service takes.
        if expected.wait == 0.0:
            known.times.observe(
                priority=facts.priority, size=facts.tokens, seconds=seconds
            )

    def find(self, *, service: str, instance: str) -> Candidate | None:
        """Return one endpoint, also while it is leaving."""
        known = self._services.get(service)
        return None if known is None else known.table.get(instance)

    def candidates(self, service: str) -> tuple[Candidate, ...]:
        """Return all endpoints that are known for a service."""
        known = self._services.get(service)
        return () if known is None else tuple(known.table.values())

    def _estimate(
        self,
        *,
        candidate: Candidate,
        priority: int,
        length: _Length,
        mean: float,
        now: float,
    ) -> Option:
        """Return what a candidate promises.

        :param mean: seconds of service over all endpoints.
        """
        wait = candidate.reported_wait(priority=priority)
        wait += candidate.excess(
            priority=priority, deviation=length.deviation, now=now
        )
        wait = max(0.0, wait)
        rank = wait + candidate.doubt(now=now)
        rank += candidate.crowding(service=mean)
        if candidate.data_centre != self._data_centre:
            rank += REMOTE_SECONDS
        return Option(
            candidate=candidate,
            wait=wait,
            end=BELIEVED * wait + length.shortest(),
            rank=rank,
        )


def _refuse_all(service: str) -> outcomes.NotRun:
    return outcomes.NotRun(
        reason=outcomes.Reason.NO_ENDPOINT,
        detail=f'no endpoint of {service} is available',
        retry_after=NO_ENDPOINT_RETRY_AFTER,
    )


def _refuse(
    *, options: Sequence[Option], facts: CallFacts, length: _Length
) -> outcomes.NotRun:
    """Say when the call could end in time, if it ever can."""
    retry_after = None
    if length.shortest() <= facts.remaining:
        soonest = min(one.wait for one in options) + length.seconds
        retry_after = max(LEAST_RETRY_AFTER, soonest - facts.remaining)
    return outcomes.NotRun(
        reason=outcomes.Reason.CANNOT_END_IN_TIME,
        detail='no endpoint can answer before the deadline',
        retry_after=retry_after,
    )
