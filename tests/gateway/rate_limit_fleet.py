"""Gateways and endpoints with rate limits, in virtual time.

Each gateway is built from the product's table of endpoints, dispatcher,
signals and table of peers.  Requests, response heads and reports take random
times, so that heads arrive out of order.
"""

import collections
import dataclasses
import random
import types

import anyio
import virtual_time

from marigoldramp.gateway import codecs
from marigoldramp.gateway import dispatch
from marigoldramp.gateway import endpoint_signals
from marigoldramp.gateway import endpoints
from marigoldramp.gateway import peer_reports
from marigoldramp.gateway import peers
from marigoldramp import metrics

from . import site

SERVICE = 'notes'
DATA_CENTRES = ('one', 'two', 'three')
REPORT_INTERVAL_SECONDS = 0.1
TICK_SECONDS = 0.1
MAX_REPORT_DELAY_SECONDS = 0.003
#: Bounds of the random delays of requests and of response heads.
MIN_DELAY_SECONDS = 0.001
MAX_DELAY_SECONDS = 0.15
RUN_SECONDS = 0.05
PATIENCE_SECONDS = 1.5
#: The rule: from ``CONTACT_SECONDS`` after a limit was first named, no window
#: has more than ``WINDOW_FACTOR`` times what the limit allows in it and
#: ``WINDOW_EXTRA`` requests more, from gateways that were told of the limit
#: ``TOLD_SECONDS`` before.
CONTACT_SECONDS = 3.0
TOLD_SECONDS = 0.5
WINDOW_SECONDS = 4.0
WINDOW_FACTOR = 1.5
WINDOW_EXTRA = 5
METRICS = metrics.create_local(instance='entry-1')


@dataclasses.dataclass(kw_only=True)
class Arrival:
    """A request that reached an endpoint."""

    at: float
    gateway: str


@dataclasses.dataclass(kw_only=True)
class Span:
    """A time in which an endpoint names one limit.

    :ivar told: when each gateway first passed on a response that names it.
    """

    rate: float
    begun: float
    ended: float = float('inf')
    told: dict = dataclasses.field(default_factory=dict)


class Endpoint:
    """An endpoint that may name a limit in its responses."""

    def __init__(self, identity, data_centre):
        self.identity = identity
        self.port = 1
        self.record = site.make_record(
            self, data_centre=data_centre, host=identity
        )
        self.arrivals = []
        self.spans = []

    @property
    def rate(self):
        """The limit that it names now, 0 for none."""
        last = self.spans[-1] if self.spans else None
        return last.rate if last and last.ended == float('inf') else 0.0

    def name(self, rate):
        """Name another limit from now on, 0 for none."""
        now = virtual_time.now()
        if self.rate:
            self.spans[-1].ended = now
        if rate:
            self.spans.append(Span(rate=rate, begun=now))

    def find_excess(self, excused=lambda arrival: False):
        """Return by how many requests the worst window breaks the rule.

        :param excused: whether an arrival does not count.
        """
        return max(
            (self._find_excess(span, excused) for span in self.spans),
            default=float('-inf'),
        )

    def _find_excess(self, span, excused):
        allowed = WINDOW_FACTOR * span.rate * WINDOW_SECONDS + WINDOW_EXTRA
        worst = float('-inf')
        window = collections.deque()
        for arrival in self.arrivals:
            told = span.told.get(arrival.gateway, float('inf'))
            first = max(span.begun + CONTACT_SECONDS, told + TOLD_SECONDS)
            if not first <= arrival.at <= span.ended or excused(arrival):
                continue
            window.append(arrival.at)
            while window[0] < arrival.at - WINDOW_SECONDS:
                window.popleft()
            worst = max(worst, len(window) - allowed)
        return worst

    def count(self, since, until=float('inf')):
        """Return how many requests arrived in a time."""
        return sum(since <= one.at < until for one in self.arrivals)


@dataclasses.dataclass(kw_only=True)
class Outcome:
    """What one request came to.

    :ivar seconds: after which it ended.
    """

    at: float
    served: bool
    seconds: float
    retry_after: float | None = None


class Gateway:
    """One gateway.

    :ivar outcomes: what the requests of its callers came to.
    """

    def __init__(self, name, fleet, data_centre):
        self.name = name
        self.fleet = fleet
        self.data_centre = data_centre
        self.outcomes = []
        self.resumed_at = []
        self.is_frozen = False
        self._scope = anyio.CancelScope()
        self.start()

    def start(self):
        """Start, or restart, without any knowledge of limits or peers."""
        self._scope.cancel()
        self._scope = anyio.CancelScope()
        self.resumed_at.append(virtual_time.now())
        self.incarnation = self.fleet.random.getrandbits(40)
        self.is_leaving = False
        self.table = endpoints.EndpointTable(
            data_centre=self.data_centre, random=self.fleet.random
        )
        for endpoint in self.fleet.endpoints:
            self.table.put(endpoint.record)
        self.peers = peers.PeerTable(
            instance=self.name,
            data_centre=self.data_centre,
            clock=virtual_time.now,
            random=self.fleet.random,
        )
        self.dispatcher = dispatch.Dispatcher(
            table=self.table,
            clock=virtual_time.now,
            slots=lambda endpoint: 4.0,
            random=self.fleet.random,
        )
        self.signals = endpoint_signals.EndpointSignals(
            clock=virtual_time.now,
            metrics=METRICS,
            on_leaving=lambda record: None,
        )
        self.fleet.tasks.start_soon(self._run, self._scope)

    def stop(self):
        """End the process at once."""
        self._scope.cancel()

    async def _run(self, scope):
        with scope:
            await anyio.sleep(self.fleet.random.uniform(0.0, TICK_SECONDS))
            while True:
                if not self.is_frozen:
                    self._tick()
                await anyio.sleep(TICK_SECONDS)

    def _tick(self):
        self.peers.expire_silent()
        self.dispatcher.assign_all_slots()
        report = site.make_report(
            self.name,
            host=self.name,
            incarnation=self.incarnation,
            sent=virtual_time.now(),
            leaving=self.is_leaving,
            data_centre=self.data_centre,
            period=REPORT_INTERVAL_SECONDS,
        )
        data = peer_reports.encode(report)
        for other in self.fleet.gateways:
            if other is not self:
                self.fleet.tasks.start_soon(self._deliver, other, data)

    async def _deliver(self, other, data):
        delay = self.fleet.random.uniform(0.0, MAX_REPORT_DELAY_SECONDS)
        await anyio.sleep(delay)
        if other.is_frozen or not self.fleet.can_reach(self, other):
            return
        report = peer_reports.decode(data)
        if other.peers.apply_report(report) is not None:
            other.handle_report(report)

    def handle_report(self, report):
        """Apply the report of a peer."""

    async def serve(self, priority=1):
        """Serve one request of a caller."""
        began = virtual_time.now()
        outcome = Outcome(at=began, served=False, seconds=0.0)
        self.outcomes.append(outcome)
        found = await self.dispatcher.acquire(
            dispatch.SlotRequest(
                service=SERVICE,
                priority=priority,
                start_by=began + PATIENCE_SECONDS,
                late_after=began + PATIENCE_SECONDS,
            )
        )
        if isinstance(found, dispatch.Slot):
            await self._send(found)
            outcome.served = True
        else:
            outcome.retry_after = found.retry_after
        outcome.seconds = virtual_time.now() - began

    async def _send(self, slot):
        endpoint = self.fleet.find(slot.endpoint.identity)
        call = types.SimpleNamespace(
            facts=types.SimpleNamespace(attempt_id='a'), sends=1, sent_at=0.0
        )
        self.signals.note_send(call=call, endpoint=slot.endpoint)
        incarnation = self.incarnation
        await self.fleet.delay()
        endpoint.arrivals.append(
            Arrival(at=virtual_time.now(), gateway=self.name)
        )
        await self.fleet.delay()
        rate = endpoint.rate
        span = endpoint.spans[-1] if rate else None
        await self.fleet.delay()
        if incarnation != self.incarnation:
            return
        self.signals.note_answer(
            call=call, endpoint=slot.endpoint, facts=make_facts(rate)
        )
        if span is not None:
            span.told.setdefault(self.name, virtual_time.now())
        await anyio.sleep(RUN_SECONDS)
        self.dispatcher.release(slot)


def make_facts(rate):
    """Return the facts of a complete response that names a limit."""
    return codecs.AnswerFacts(
        attempt_id='a',
        signed=True,
        not_run=False,
        has_unrequested_encoding=False,
        rate_limit=rate,
    )


class Fleet:
    """Gateways and endpoints.

    :ivar cut: gateways that are partitioned from all others.
    """

    def __init__(self, tasks, *, gateways, endpoints, seed=1):
        self.tasks = tasks
        self.random = random.Random(seed)
        self.cut = set()
        self.endpoints = [
            Endpoint(f'i-{number}', pick_data_centre(number))
            for number in range(endpoints)
        ]
        self.gateways = []
        for number in range(gateways):
            self.gateways.append(
                Gateway(f'entry-{number}', self, pick_data_centre(number))
            )

    def find(self, identity):
        """Return an endpoint by its identity."""
        return next(one for one in self.endpoints if one.identity == identity)

    def can_reach(self, one, other):
        return (one in self.cut) == (other in self.cut)

    async def delay(self):
        """Wait for a random time, as a message on its way does."""
        await anyio.sleep(
            self.random.uniform(MIN_DELAY_SECONDS, MAX_DELAY_SECONDS)
        )

    async def demand(self, rate, seconds):
        """Send callers' requests to random gateways for some seconds.

        :param rate: requests per second, at all gateways together.
        """
        until = virtual_time.now() + seconds
        while virtual_time.now() < until:
            await anyio.sleep(self.random.expovariate(rate))
            awake = [one for one in self.gateways if not one.is_frozen]
            self.tasks.start_soon(self.random.choice(awake).serve)

    def outcomes(self, since=0.0):
        """Return the outcomes of requests that began after a time."""
        return [
            outcome
            for gateway in self.gateways
            for outcome in gateway.outcomes
            if outcome.at >= since
        ]


def pick_data_centre(number):
    return DATA_CENTRES[number % len(DATA_CENTRES)]
