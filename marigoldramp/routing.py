"""Choice of an endpoint for a call, from lagging load reports.

The router keeps a bounded table of endpoints per service, fed by
heartbeats.  Between two reports it corrects them by what it has itself sent
since.  A routing policy (a plug-in) picks among the endpoints on which the
call can end before its deadline.
"""

import abc
import dataclasses
import random as random_module
from typing import Callable
from typing import Sequence

from . import bundle
from . import messages
from . import outcomes
from . import plugins

MILLISECONDS = 1000.0


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class CallFacts:
    """What the router needs to know about a call.

    :ivar remaining: seconds until the answer is worthless.
    :ivar prefix: digests of the prompt's blocks, each over all before it.
    :ivar tokens: expected generated tokens, 0 where unknown.
    """

    call: str
    service: str
    customer: str
    priority: int
    remaining: float
    prefix: tuple[bytes, ...] = ()
    tokens: int = 0
    prompt_bytes: int = 0


class Candidate:
    """An endpoint as this entry knows it.

    :ivar load: the last load report, ``None`` before the first.
    :ivar in_flight: this entry's own calls that have not ended.
    """

    __slots__ = (
        'instance',
        'data_centre',
        'host',
        'call_port',
        'incarnation',
        'load',
        'in_flight',
        'reported_at',
        'leaving',
        'sent_since',
    )

    def __init__(self, *, heartbeat: messages.Heartbeat, now: float) -> None:
        self.instance = heartbeat.instance
        self.data_centre = heartbeat.data_centre
        self.host = heartbeat.host
        self.call_port = heartbeat.call_port
        self.incarnation = heartbeat.incarnation
        self.load = heartbeat.load
        self.in_flight = 0
        self.reported_at = now
        self.leaving = heartbeat.leaving
        self.sent_since = 0

    def wait(self) -> float:
        """Return the estimated seconds until a new call would start."""
        load = self.load
        if load is None:
            return 0.0
        ahead = load.running + load.queued + self.sent_since
        excess = max(0, ahead + 1 - load.slots)
        service = load.service_ms / MILLISECONDS
        return excess * service / max(1, load.slots)


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Option:
    """A candidate with the estimates on which a policy decides.

    :ivar wait: estimated seconds until the call starts there.
    :ivar end: estimated seconds until it has ended there.
    """

    candidate: Candidate
    wait: float
    end: float


def reported_load(option: Option) -> float:
    """Return the load that an endpoint reports, in calls per slot."""
    load = option.candidate.load
    if load is None:
        return 0.0
    return (load.running + load.queued) / max(1, load.slots)


class RoutingPolicy(plugins.Plugin, kind=True):
    """Kind of plug-in that picks one endpoint out of those in question.

    One object serves one service at one entry.
    """

    #: Offer only endpoints on which the call can end before its deadline.
    deadline_first = True

    @abc.abstractmethod
    def choose(
        self,
        *,
        options: Sequence[Option],
        facts: CallFacts,
        random: random_module.Random,
    ) -> Option:
        """Pick one of the options, of which there is at least one."""

    def note_cache_events(self, events: messages.CacheEvents) -> None:
        """Take in what an engine tells of its prefix cache."""

    def forget(self, instance: str) -> None:
        """Forget an endpoint that is dead or gone."""


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
        self._services: dict[str, dict[str, Candidate]] = {}
        self._policies: dict[str, RoutingPolicy] = {}

    def report(self, *, heartbeat: messages.Heartbeat, now: float) -> None:
        """Take in an agent's heartbeat."""
        table = self._services.setdefault(heartbeat.service, {})
        known = table.get(heartbeat.instance)
        if known is None or known.incarnation != heartbeat.incarnation:
            if known is None and len(table) >= self._most_endpoints:
                return
            table[heartbeat.instance] = Candidate(heartbeat=heartbeat, now=now)
            return
        known.load = heartbeat.load
        known.leaving = heartbeat.leaving
        known.reported_at = now
        known.sent_since = 0

    def drop(self, *, instance: str) -> None:
        """Forget an endpoint that is dead or gone."""
        for table in self._services.values():
            table.pop(instance, None)
        for policy in self._policies.values():
            policy.forget(instance)

    def note_cache_events(self, events: messages.CacheEvents) -> None:
        """Pass what an engine tells of its cache to the service's policy."""
        policy = self._policies.get(events.service)
        if policy is not None:
            policy.note_cache_events(events)

    def choose(
        self,
        *,
        service: bundle.Service,
        facts: CallFacts,
        exclude: frozenset[str],
    ) -> Candidate | outcomes.NotRun:
        """Pick the endpoint for a call, or refuse it."""
        options = [
            self._estimate(candidate=candidate)
            for candidate in self.candidates(service.name)
            if not candidate.leaving and candidate.instance not in exclude
        ]
        if not options:
            return outcomes.NotRun(
                reason=outcomes.Reason.NO_ENDPOINT,
                detail=f'no endpoint of {service.name} is available',
                retry_after=1.0,
            )
        policy = self._policy(service)
        in_time = options
        if policy.deadline_first:
            in_time = [one for one in options if one.end <= facts.remaining]
        if not in_time:
            soonest = min(one.end for one in options)
            return outcomes.NotRun(
                reason=outcomes.Reason.CANNOT_END_IN_TIME,
                detail='no endpoint can answer before the deadline',
                retry_after=max(0.05, soonest - facts.remaining),
            )
        return policy.choose(
            options=in_time, facts=facts, random=self._random
        ).candidate

    def sent(self, *, candidate: Candidate, facts: CallFacts) -> None:
        """Note that a call is being sent to an endpoint."""
        candidate.in_flight += 1
        candidate.sent_since += 1

    def ended(
        self,
        *,
        candidate: Candidate,
        facts: CallFacts,
        seconds: float,
        answered: bool,
    ) -> None:
        """Note that an attempt has ended, answered or not."""
        candidate.in_flight -= 1

    def find(self, *, service: str, instance: str) -> Candidate | None:
        """Return one endpoint, also while it is leaving."""
        return self._services.get(service, {}).get(instance)

    def candidates(self, service: str) -> tuple[Candidate, ...]:
        """Return all endpoints that are known for a service."""
        return tuple(self._services.get(service, {}).values())

    def _policy(self, service: bundle.Service) -> RoutingPolicy:
        policy = self._policies.get(service.name)
        if policy is None or policy.name != service.routing:
            policy = RoutingPolicy.find(service.routing)()
            self._policies[service.name] = policy
        return policy

    def _estimate(self, *, candidate: Candidate) -> Option:
        wait = candidate.wait()
        return Option(candidate=candidate, wait=wait, end=wait)
