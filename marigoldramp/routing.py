"""Choice of an endpoint for a call, from lagging load reports.

The router keeps a bounded table of endpoints per service, fed by
heartbeats; :mod:`.candidates` corrects what they say.  A routing policy (a
plug-in) picks among the endpoints on which the call can end before its
deadline, and where there is none the call is refused at once.
"""

import abc
import dataclasses
import random as random_module
from typing import Callable
from typing import Sequence

from . import bundle
from . import candidates
from . import estimates
from . import messages
from . import outcomes
from . import plugins

Candidate = candidates.Candidate

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


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Option:
    """A candidate with the estimates on which a policy decides.

    :ivar wait: estimated seconds until the call starts there.
    :ivar end: seconds until it may have ended there, with some luck; what
        is later than its deadline is refused.
    :ivar rank: the lower the better, in seconds: the wait, how far its
        slots are taken, and what makes the endpoint doubtful.
    """

    candidate: Candidate
    wait: float
    end: float
    rank: float


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
        options = []
        if known is not None:
            options = [
                self._estimate(candidate=candidate, facts=facts, known=known)
                for candidate in known.table.values()
                if not candidate.leaving and candidate.instance not in exclude
            ]
        if known is None or not options:
            return outcomes.NotRun(
                reason=outcomes.Reason.NO_ENDPOINT,
                detail=f'no endpoint of {service.name} is available',
                retry_after=NO_ENDPOINT_RETRY_AFTER,
            )
        policy = known.find_policy(service.routing)
        in_time = options
        if policy.deadline_first:
            in_time = [one for one in options if one.end <= facts.remaining]
        if not in_time:
            return _refuse(
                options=options, facts=facts, length=known.expect(facts)
            )
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
        self, *, candidate: Candidate, facts: CallFacts, known: _Known
    ) -> Option:
        now = self._clock()
        length = known.expect(facts)
        wait = candidate.reported_wait(priority=facts.priority)
        wait += candidate.excess(
            priority=facts.priority, deviation=length.deviation, now=now
        )
        wait = max(0.0, wait)
        rank = wait + candidate.doubt(now=now)
        rank += candidate.crowding(service=known.mean.value)
        if candidate.data_centre != self._data_centre:
            rank += REMOTE_SECONDS
        return Option(
            candidate=candidate,
            wait=wait,
            end=BELIEVED * wait + length.shortest(),
            rank=rank,
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
