"""Ways to block requests that end endpoints: what each costs callers."""

import dataclasses
import pathlib
import random as random_module
import time
import tracemalloc

import anyio
import anyio.abc
import msgspec

from marigoldramp.gateway.balancing import endpoints
from marigoldramp.gateway import deployment
from marigoldramp.gateway import endpoint_ends
from marigoldramp.gateway.shared_state import blame
from marigoldramp.gateway.shared_state import suspect_exchange
from marigoldramp.gateway.shared_state import suspects

from . import tables
from . import virtual

SEEDS = 6
SECONDS = 60.0
ENTRIES = 6
#: Seconds until others know what one entry has seen.
REPORT_SECONDS = 0.005
#: Seconds from the begin of a request that ends its endpoint to the end.
FUSE_SECONDS = 0.07
DOWN_SECONDS = 4.0
PLACE_EVERY = 0.05
#: Requests that are judged to measure one.
JUDGED = 100_000
#: Sends of one request at most.
MOST_SENDS = 2
NEVER = 1_000_000
#: Requests that are asked for again and again, among all sound ones.
COMMON_SHARE = 0.2
COMMON = 4


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Way:
    """One way: how many ends block, and whether suspects keep apart."""

    name: str
    thresholds: blame.Thresholds
    apart: bool = True


def _alike(ends: int) -> blame.Thresholds:
    return blame.Thresholds(unshared=ends, shared=ends, recently_answered=ends)


WAYS = (
    Way(name='none', thresholds=_alike(NEVER), apart=False),
    Way(name='one end', thresholds=_alike(1)),
    Way(name='two ends', thresholds=_alike(2), apart=False),
    Way(name='two, apart', thresholds=_alike(2)),
    Way(name='three, apart', thresholds=_alike(3)),
    Way(name='kept', thresholds=blame.Thresholds()),
)


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Service:
    """What is served.

    :ivar stall: seconds after which all endpoints decline what they have once
        one has ended, 0 where each stands for itself.
    :ivar patience: seconds within which an answer is of use.
    """

    name: str
    endpoints: int
    slots: int
    seconds: float
    rate: float
    patience: float
    stall: float = 0.0


SERVICES = (
    Service(
        name='plain',
        endpoints=3,
        slots=6,
        seconds=0.05,
        rate=100.0,
        patience=1.5,
    ),
    Service(
        name='group',
        endpoints=16,
        slots=6,
        seconds=1.5,
        rate=40.0,
        patience=8.0,
        stall=1.5,
    ),
)


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Row:
    """Means of one way over some seeds.

    :ivar cause: what ends endpoints: a request that comes back, or chance.
    :ivar blocked: sound requests that were refused as blocked.
    """

    service: str
    cause: str
    way: str
    ends: float
    in_time: float
    failed: float
    blocked: float


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Cost:
    """What it costs an entry to know some suspects.

    :ivar judge_us: processor time to judge a request that is none of them.
    :ivar report_bytes: by which a report grows that tells of the latest.
    :ivar memory_kb: held for them.
    """

    suspects: int
    judge_us: float
    report_bytes: int
    memory_kb: float


def run(*, seed: int, out: pathlib.Path) -> None:
    """Compare the ways on the same schedules, and measure their cost."""
    costs = [_measure_cost(count) for count in (0, 1, 6, 512)]
    tables.write(rows=costs, path=out / 'blocking_costs.csv')
    rows = []
    for service in SERVICES:
        for cause in ('request', 'chance'):
            for way in WAYS:
                found = [
                    _play(service, cause, way, seed + number)
                    for number in range(SEEDS)
                ]
                rows.append(tables.average(found))
    tables.write(rows=rows, path=out / 'blocking.csv')


def _play(service: Service, cause: str, way: Way, seed: int) -> Row:
    async def main() -> Row:
        async with anyio.create_task_group() as tasks:
            site = _Site(service=service, way=way, seed=seed, tasks=tasks)
            tasks.start_soon(site.ask_sound)
            tasks.start_soon(
                site.come_back if cause == 'request' else site.end_by_chance
            )
            await anyio.sleep(SECONDS)
            tasks.cancel_scope.cancel()
        total = max(1, site.asked)
        return Row(
            service=service.name,
            cause=cause,
            way=way.name,
            ends=float(site.ends),
            in_time=site.in_time / total,
            failed=site.failed / total,
            blocked=site.blocked / total,
        )

    return virtual.drive(main)


class _Running:
    """An endpoint's process and what it runs."""

    def __init__(self, *, identity: str) -> None:
        self.identity = identity
        self.scopes: dict[anyio.CancelScope, str] = {}
        self.ended = False


class _Site:
    """A service, its entries and its callers."""

    def __init__(
        self,
        *,
        service: Service,
        way: Way,
        seed: int,
        tasks: anyio.abc.TaskGroup,
    ) -> None:
        self._service = service
        self._way = way
        self._tasks = tasks
        self._random = random_module.Random(seed)
        self._table = endpoints.EndpointTable(
            data_centre='0', random=random_module.Random(seed)
        )
        self._running: dict[str, _Running] = {}
        self._started = 0
        self._broken_until = 0.0
        self._entries = [
            suspects.Suspects(
                is_prober=lambda fingerprint: False,
                on_block=lambda fingerprint: None,
                clock=virtual.clock,
                thresholds=way.thresholds,
            )
            for _ in range(ENTRIES)
        ]
        self.asked = self.in_time = self.failed = self.blocked = 0
        self.ends = 0
        for _ in range(service.endpoints):
            self._start()

    # What comes

    async def ask_sound(self) -> None:
        """Ask for what endpoints can answer, at random times."""
        number = 0
        while True:
            await anyio.sleep(self._random.expovariate(self._service.rate))
            number += 1
            name = f'sound {number}'
            if self._random.random() < COMMON_SHARE:
                name = f'common {number % COMMON}'
            self._tasks.start_soon(self._ask, name)

    async def come_back(self) -> None:
        """Ask for what ends its endpoint, now and then several at once."""
        while True:
            for _ in range(self._random.choice((1, 1, 1, 3))):
                self._tasks.start_soon(self._ask, 'ends')
            await anyio.sleep(self._random.uniform(0.5, 2.0))

    async def end_by_chance(self) -> None:
        """End an endpoint every few seconds, whatever it runs."""
        while True:
            await anyio.sleep(self._random.uniform(2.0, 8.0))
            self._end(self._random.choice(list(self._running.values())))

    # One request

    async def _ask(self, name: str) -> None:
        sound = name != 'ends'
        begun = virtual.clock()
        result = await self._serve(
            name, self._random.choice(self._entries), begun
        )
        if sound:
            self.asked += 1
            waited = virtual.clock() - begun
            in_time = waited <= self._service.patience
            self.in_time += result == 'answered' and in_time
            self.failed += result == 'lost'
            self.blocked += result == 'blocked'

    async def _serve(
        self, name: str, known: suspects.Suspects, begun: float
    ) -> str:
        until = begun + self._service.patience
        for _ in range(MOST_SENDS):
            endpoint = await self._find_place(name, known, until)
            if isinstance(endpoint, str):
                return endpoint
            running = self._running[endpoint.identity]
            endpoint.add_request(suspect=name)
            try:
                answered = await self._run(name, running)
            finally:
                endpoint.remove_request(suspect=name)
            if answered:
                if known.note_answer(name):
                    self._tell(known, name)
                return 'answered'
            if running.ended:
                self._note_end(known, running, name)
                if self._way.apart:
                    await anyio.sleep(self._random.uniform(0.0, 0.2))
        return 'lost'

    async def _find_place(
        self, name: str, known: suspects.Suspects, until: float
    ) -> endpoints.Endpoint | str:
        while virtual.clock() < until:
            match known.decide(name):
                case suspects.Blocked():
                    return 'blocked'
                case suspects.Undecided(seconds=seconds):
                    await anyio.sleep(seconds)
                    continue
                case suspects.Suspected():
                    kept_apart = name if self._way.apart else ''
                case suspects.Allowed():
                    kept_apart = ''
            if virtual.clock() >= self._broken_until:
                endpoint = self._table.choose(
                    service='s',
                    now=virtual.clock(),
                    slots=lambda one: self._service.slots,
                    avoid=frozenset(),
                    suspect=kept_apart,
                )
                if endpoint is not None:
                    return endpoint
            await anyio.sleep(PLACE_EVERY)
        return 'late'

    async def _run(self, name: str, running: _Running) -> bool:
        """Run a request; whether it was answered."""
        with anyio.CancelScope() as scope:
            running.scopes[scope] = name
            try:
                if name == 'ends':
                    await anyio.sleep(FUSE_SECONDS)
                    self._end(running)
                mean = self._service.seconds
                await anyio.sleep(self._random.uniform(0.5, 1.5) * mean)
                return True
            finally:
                running.scopes.pop(scope, None)
        return False

    # Endpoints

    def _start(self) -> None:
        self._started += 1
        identity = f'i-{self._started}'
        self._running[identity] = _Running(identity=identity)
        self._table.put(
            deployment.EndpointRecord(
                identity=identity,
                service='s',
                host='h',
                port=1,
                data_centre='0',
                slots=self._service.slots,
                leaving=False,
            )
        )

    def _end(self, running: _Running) -> None:
        if running.ended:
            return
        running.ended = True
        self.ends += 1
        self._table.remove(running.identity)
        del self._running[running.identity]
        for scope in list(running.scopes):
            scope.cancel()
        self._tasks.start_soon(self._come_back_up)
        if self._service.stall:
            self._broken_until = virtual.clock() + DOWN_SECONDS
            self._tasks.start_soon(self._break_group)

    async def _come_back_up(self) -> None:
        await anyio.sleep(DOWN_SECONDS)
        self._start()

    async def _break_group(self) -> None:
        await anyio.sleep(self._service.stall)
        for running in self._running.values():
            for scope in list(running.scopes):
                scope.cancel()

    # What entries know

    def _note_end(
        self, known: suspects.Suspects, running: _Running, name: str
    ) -> None:
        known.note_end(
            endpoint_ends.End(
                start=endpoint_ends.Start(identity=running.identity, born=0),
                service='s',
                fingerprints=(name,),
            )
        )
        self._tell(known, name)

    def _tell(self, known: suspects.Suspects, name: str) -> None:
        told = known.describe(name)
        if told is not None:
            self._tasks.start_soon(self._deliver, known, told)

    async def _deliver(
        self, known: suspects.Suspects, told: suspects.SuspectRecord
    ) -> None:
        await anyio.sleep(REPORT_SECONDS)
        for other in self._entries:
            if other is not known and other.merge(told, source='peer'):
                self._tell(other, told.fingerprint)


# What it costs


def _measure_cost(count: int) -> Cost:
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    known = suspects.Suspects(
        is_prober=lambda fingerprint: False,
        on_block=lambda fingerprint: None,
        clock=time.monotonic,
    )
    for number in range(count):
        for start in range(2):
            known.note_end(
                endpoint_ends.End(
                    start=endpoint_ends.Start(
                        identity=f'i-{number}-{start}', born=0
                    ),
                    service='s',
                    fingerprints=(f'{number:016x}',),
                )
            )
    held = tracemalloc.get_traced_memory()[0] - before
    tracemalloc.stop()
    return Cost(
        suspects=count,
        judge_us=_time_judging(known),
        report_bytes=len(msgspec.msgpack.encode(_tell(known))),
        memory_kb=held / 1024.0,
    )


def _time_judging(known: suspects.Suspects) -> float:
    begun = time.process_time()
    for _ in range(JUDGED):
        known.decide('unknown')
    return (time.process_time() - begun) / JUDGED * 1e6


def _tell(known: suspects.Suspects) -> suspects.SuspectUpdate:
    """Return what a report says while all are news, as far as it can."""
    told = known.list_all()[-suspect_exchange.MAX_REPORTED_SUSPECTS :]
    return suspects.SuspectUpdate(digest=known.digest(), suspicions=told)
