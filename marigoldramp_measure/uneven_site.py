"""A simulated plain service: callers, gateways with stale reports, endpoints.

One endpoint becomes slow and recovers, while the demand of each data centre
swings.  Gateways choose by the product's own table, or by ways to compare.
"""

import collections
import dataclasses
import functools
import heapq
import itertools
import math
import random
from typing import Callable

from marigoldramp.gateway.balancing import endpoints
from marigoldramp.gateway.balancing import short_requests
from marigoldramp.gateway.balancing import slow_endpoints
from marigoldramp.gateway import codecs
from marigoldramp.gateway import deployment

from . import former_choice

SERVICE = 'plain'
SLOTS = 6
SERVICE_SECONDS = 0.08
#: Delay between data centres, one way.
REMOTE_SECONDS = 0.0014
OBJECTIVE_SECONDS = 0.33
TIMEOUT_SECONDS = 1.1
REPORT_INTERVAL_SECONDS = 0.3
#: With the interval, reports are 0.3 s old in the mean.
REPORT_DELAY_SECONDS = 0.15
SLOW_AT, RECOVERED_AT, END_AT = 6.0, 14.0, 22.0
#: Time after a change from which shares are compared.
REACTION_SECONDS = 2.0
SWING = 0.55
SWING_SECONDS = 13.0


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Case:
    """One deployment and its load.

    :ivar factor: how many times slower one endpoint becomes.
    :ivar rate: requests per second and endpoint.
    """

    gateways: int
    service: tuple[int, ...]
    factor: float
    rate: float


@dataclasses.dataclass(slots=True, kw_only=True)
class Server:
    """A simulated endpoint."""

    identity: str
    data_centre: str
    running: int = 0
    factor: float = 1.0
    queue: collections.deque['Request'] = dataclasses.field(
        default_factory=collections.deque
    )


@dataclasses.dataclass(slots=True, kw_only=True)
class Request:
    """A request; ``server`` once an endpoint is chosen."""

    gateway: 'Gateway'
    arrived: float
    size: float
    server: str = ''
    sent: float = 0.0


class Gateway:
    """A gateway with the product's own table."""

    def __init__(self, number: int, plan: 'Plan') -> None:
        self.plan = plan
        self.number = number
        self.data_centre = str(number % len(plan.case.service))
        self.waiting: collections.deque[Request] = collections.deque()
        self.reported: dict[str, int] = {}
        self.table = plan.make_table(self.data_centre, plan.draw)
        for server in plan.servers.values():
            self.table.put(
                deployment.EndpointRecord(
                    identity=server.identity,
                    service=SERVICE,
                    host='h',
                    port=1,
                    data_centre=server.data_centre,
                    slots=SLOTS,
                    leaving=False,
                )
            )

    def choose(self) -> str | None:
        """Return the endpoint for a request, ``None`` if all are full."""
        plan = self.plan
        if plan.way == 'random':
            return plan.draw.choice(list(plan.servers))
        if plan.way == 'optimum':
            return min(plan.servers.values(), key=self._find_end).identity
        for one in self.table:
            own = self.reported.get(one.identity, 0)
            origins = plan.reported[one.identity].copy()
            origins[self.data_centre] -= own
            one.peer_origins = origins
            one.peer_requests = sum(origins.values())
        found = self.table.choose(
            service=SERVICE,
            now=plan.now,
            slots=lambda one: float(SLOTS),
            avoid=frozenset(),
        )
        return None if found is None else found.identity

    def _find_end(self, server: Server) -> float:
        load = server.running + len(server.queue)
        rounds = 1.0 + max(0.0, (load + 1 - SLOTS) / SLOTS)
        way = 0.0
        if server.data_centre != self.data_centre:
            way = 2.0 * REMOTE_SECONDS
        noise = 1e-4 * self.plan.draw.random()
        return rounds * server.factor * SERVICE_SECONDS + way + noise

    def note_answer(self, request: Request) -> None:
        """Record an answer as the product does."""
        one = self.table.find(request.server)
        assert one is not None
        one.remove_request(suspect='')
        seconds = self.plan.now - request.sent
        if self.plan.way == 'new':
            load = codecs.ReportedLoad(
                running=SLOTS,
                waiting=len(self.plan.servers[request.server].queue),
                slots=SLOTS,
            )
            seconds = short_requests.remove_wait(seconds, load)
        one.quality.note_answer(seconds=seconds, now=self.plan.now)


class Plan:
    """One simulation: events in order of time."""

    def __init__(self, way: str, case: Case, seed: int) -> None:
        self.way = way
        self.case = case
        self.draw = random.Random(f'{seed} {case}')
        self.now = 0.0
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._order = itertools.count()
        self.servers: dict[str, Server] = {}
        for centre, count in enumerate(case.service):
            for number in range(count):
                name = f'{centre}-{number}'
                self.servers[name] = Server(
                    identity=name, data_centre=str(centre)
                )
        self.reported = {
            name: {str(one): 0 for one in range(len(case.service))}
            for name in self.servers
        }
        self.gateways = [Gateway(one, self) for one in range(case.gateways)]
        self.times: list[float] = []
        self.remote = 0
        self.sends: list[tuple[float, str]] = []

    def make_table(
        self, data_centre: str, draw: random.Random
    ) -> endpoints.EndpointTable:
        """Return the table of a gateway."""
        kind = (
            former_choice.Table
            if self.way == 'in flight'
            else endpoints.EndpointTable
        )
        return kind(data_centre=data_centre, random=draw)

    def at(self, seconds: float, work: Callable[[], None]) -> None:
        """Do something at a time."""
        heapq.heappush(self._events, (seconds, next(self._order), work))

    def play(self) -> None:
        """Run all requests to their end."""
        slow = next(iter(self.servers.values()))
        self.at(SLOW_AT, lambda: setattr(slow, 'factor', self.case.factor))
        self.at(RECOVERED_AT, lambda: setattr(slow, 'factor', 1.0))
        for gateway in self.gateways:
            start = self.draw.random() * REPORT_INTERVAL_SECONDS
            self.at(start, functools.partial(self.report, gateway))
            self.at(0.0, functools.partial(self.arrive, gateway, False))
        while self._events:
            self.now, _, work = heapq.heappop(self._events)
            work()

    def arrive(self, gateway: Gateway, real: bool = True) -> None:
        """Take a request in and draw when the next one arrives."""
        case = self.case
        if real:
            size = self.draw.uniform(0.5, 1.5)
            gateway.waiting.append(
                Request(gateway=gateway, arrived=self.now, size=size)
            )
            self.send_waiting(gateway)
        mean = case.rate * len(self.servers) / case.gateways
        phase = int(gateway.data_centre) / len(case.service)
        angle = 2.0 * math.pi * (self.now / SWING_SECONDS + phase)
        wait = self.draw.expovariate(mean * (1.0 + SWING * math.sin(angle)))
        if self.now + wait < END_AT:
            self.at(self.now + wait, lambda: self.arrive(gateway))

    def send_waiting(self, gateway: Gateway) -> None:
        """Send what finds an endpoint."""
        while gateway.waiting:
            request = gateway.waiting[0]
            if self.now - request.arrived > TIMEOUT_SECONDS:
                gateway.waiting.popleft()
                self.times.append(TIMEOUT_SECONDS)
                continue
            chosen = gateway.choose()
            if chosen is None:
                return
            gateway.waiting.popleft()
            self.send(request, chosen)

    def send(self, request: Request, chosen: str) -> None:
        """Send a request to an endpoint."""
        gateway = request.gateway
        request.server, request.sent = chosen, self.now
        one = gateway.table.find(chosen)
        assert one is not None
        one.add_request(suspect='')
        server = self.servers[chosen]
        self.sends.append((self.now, chosen))
        way = 0.0
        if server.data_centre != gateway.data_centre:
            self.remote += 1
            way = REMOTE_SECONDS
        server.queue.append(request)
        self.at(self.now + way, lambda: self.start(server))

    def start(self, server: Server) -> None:
        """Start queued requests on free slots."""
        while server.queue and server.running < SLOTS:
            request = server.queue.popleft()
            server.running += 1
            seconds = request.size * SERVICE_SECONDS * server.factor
            self.at(
                self.now + seconds,
                functools.partial(self.finish, server, request),
            )

    def finish(self, server: Server, request: Request) -> None:
        """Pass an answer on."""
        server.running -= 1
        self.start(server)
        self.times.append(self.now - request.arrived)
        request.gateway.note_answer(request)
        self.send_waiting(request.gateway)

    def report(self, gateway: Gateway) -> None:
        """Report to all peers and set the next time."""
        counts = {one.identity: one.own_requests for one in gateway.table}
        slow: dict[str, float] = {}
        if self.way == 'in flight':
            slow = former_choice.list_slow(gateway.table, now=self.now)
        elif self.way == 'new':
            slow = slow_endpoints.list_slow(gateway.table, now=self.now)
        self.at(
            self.now + REPORT_DELAY_SECONDS,
            lambda: self.apply(gateway, counts, slow),
        )
        if self.now < END_AT:
            self.at(
                self.now + REPORT_INTERVAL_SECONDS,
                lambda: self.report(gateway),
            )

    def apply(
        self, source: Gateway, counts: dict[str, int], slow: dict[str, float]
    ) -> None:
        """Apply a report at all other gateways."""
        for identity, count in counts.items():
            more = count - source.reported.get(identity, 0)
            self.reported[identity][source.data_centre] += more
        source.reported = counts
        for gateway in self.gateways:
            if gateway is source:
                continue
            for identity, slowness in slow.items():
                one = gateway.table.find(identity)
                assert one is not None
                one.quality.note_peer_slowness(slowness=slowness, now=self.now)
            if gateway.waiting:
                self.send_waiting(gateway)

    def find_share(self, since: float, until: float) -> float:
        """Return the share of the endpoint that becomes slow."""
        name = next(iter(self.servers))
        chosen = [
            one
            for at, one in self.sends
            if since + REACTION_SECONDS <= at < until
        ]
        return chosen.count(name) / max(1, len(chosen))
