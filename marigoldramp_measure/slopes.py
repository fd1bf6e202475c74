"""Slopes behind docs/CAPACITY.md: what one more of each thing costs.

Each row is one point; the slope lines at the end go through them.  Peers,
endpoints, entries and customers grow to the two-year size.
"""

import dataclasses
import gc
import hashlib
import itertools
import pathlib
import random as random_module
import time
import tracemalloc
from typing import Any
from typing import Callable
from typing import Sequence

import anyio
import msgspec

from marigoldramp import bundle
from marigoldramp import customers
from marigoldramp import manifests
from marigoldramp import messages
from marigoldramp import routing
from marigoldramp import shares
from marigoldramp import store

from . import bundles
from . import instances
from . import tables
from . import usage

#: Instances heartbeat in one process; each has the settings' default rate.
MESH = 24
MESH_PEERS = (2, 6, 12, 20)
MESH_SECONDS = 6.0
MESH_SETTLE = 3.0
LIST_SECONDS = 2.0
LISTED = (80, 320, 640, 1280)
ENDPOINTS = (4, 16, 32, 64)
ENTRIES = (8, 90, 180, 350)
CUSTOMERS = (2_500, 10_000, 20_000, 40_000)
ROUNDS = 300
READINGS = 20
MICRO = 1e6


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Point:
    """One measured point.

    :ivar what: the slope that the point belongs to.
    :ivar x: the number that is varied.
    """

    what: str
    x: float
    value: float
    load: float


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Slope:
    """The line through the points of one name."""

    what: str
    slope: float
    intercept: float
    error: float
    points: int


def run(*, seed: int, out: pathlib.Path) -> None:
    """Measure all points and print the slopes."""
    random = random_module.Random(seed)
    points = anyio.run(_measure_heartbeats, seed)
    points += anyio.run(_measure_peer_memory, seed)
    points += _measure_routing(random)
    points += _measure_shares()
    points += _measure_customers(random)
    tables.write(rows=points, path=out / 'slopes_points.csv')
    tables.write(rows=draw_lines(points), path=out / 'slopes.csv')


def draw_lines(points: Sequence[Point]) -> list[Slope]:
    """Return the line of each name, in the order of the points."""
    names = list(dict.fromkeys(one.what for one in points))
    lines = []
    for name in names:
        own = [one for one in points if one.what == name]
        line = usage.fit(
            x=[one.x for one in own], y=[one.value for one in own]
        )
        lines.append(
            Slope(
                what=name,
                slope=line.slope,
                intercept=line.intercept,
                error=line.error,
                points=len(own),
            )
        )
    return lines


def _point(what: str, x: float, value: float) -> Point:
    return Point(what=what, x=x, value=value, load=usage.read_load())


# Heartbeats


async def _measure_heartbeats(seed: int) -> list[Point]:
    points = []
    for peers in MESH_PEERS:
        points += await _run_mesh(peers, random_module.Random(seed))
    return points


async def _run_mesh(peers: int, random: random_module.Random) -> list[Point]:
    """Let entries heartbeat each other, each so many peers."""
    settings = instances.read_settings({})
    settings = dataclasses.replace(
        settings,
        membership=dataclasses.replace(settings.membership, peers=peers),
    )
    made = [
        instances.Instance(
            description=instances.Description(
                name=f'entry-{number}', data_centre='east'
            ),
            settings=settings,
            random=random_module.Random(random.random()),
        )
        for number in range(MESH)
    ]
    async with anyio.create_task_group() as group:
        for one in made:
            await one.start(group)
        group.start_soon(_read_list, made)
        await anyio.sleep(MESH_SETTLE)
        points = await _watch_mesh(made)
        group.cancel_scope.cancel()
    for one in made:
        await one.stop()
    return points


async def _read_list(made: list[instances.Instance]) -> None:
    """Keep the instance list fresh; a stale one makes heartbeats longer."""
    rows = [one.row() for one in made]
    while True:
        for one in made:
            one.members.seed(rows)
        await anyio.sleep(LIST_SECONDS)


async def _watch_mesh(made: list[instances.Instance]) -> list[Point]:
    """Return processor time and bytes over the datagrams of an instance."""
    before = _sum_traffic(made)
    begun = time.perf_counter()
    used = time.process_time()
    await anyio.sleep(MESH_SECONDS)
    used = time.process_time() - used
    passed = (time.perf_counter() - begun) * len(made)
    after = _sum_traffic(made)
    rate = (after.sent + after.received - before.sent - before.received) / (
        passed
    )
    size = (
        after.sent_bytes
        + after.received_bytes
        - before.sent_bytes
        - before.received_bytes
    ) / passed
    return [
        _point(
            'heartbeats: us a second over datagrams a second',
            rate,
            used / passed * MICRO,
        ),
        _point(
            'heartbeats: bytes a second over datagrams a second', rate, size
        ),
    ]


def _sum_traffic(made: list[instances.Instance]) -> instances.Traffic:
    total = instances.Traffic()
    for one in made:
        total.sent += one.traffic.sent
        total.sent_bytes += one.traffic.sent_bytes
        total.received += one.traffic.received
        total.received_bytes += one.traffic.received_bytes
    return total


# Memory


async def _measure_peer_memory(seed: int) -> list[Point]:
    """Return the bytes that a process holds for each listed instance."""
    points = []
    for count in LISTED:
        one = instances.Instance(
            description=instances.Description(
                name='entry-0', data_centre='east'
            ),
            settings=instances.read_settings({}),
            random=random_module.Random(seed),
        )
        async with anyio.create_task_group() as group:
            await one.start(group)
            rows = [_list_instance(number) for number in range(count)]
            held = _count_bytes(lambda: one.members.seed(rows))
            points.append(
                _point('table of peers: bytes over instances', count, held)
            )
            points += _measure_reading(rows, one)
            group.cancel_scope.cancel()
        await one.stop()
    return points


def _measure_reading(
    rows: list[store.Instance], one: instances.Instance
) -> list[Point]:
    """Return size and processor time of a reading of the instance list.

    The time is that of decoding and taking in, without the HTTP exchange.
    """
    text = msgspec.json.encode(store.Instances(instances=tuple(rows)))

    def read() -> None:
        listed = msgspec.json.decode(text, type=store.Instances)
        one.members.seed(listed.instances)

    return [
        _point(
            'reading of the list: bytes over instances', len(rows), len(text)
        ),
        _point(
            'reading of the list: us over instances',
            len(rows),
            _time(read, READINGS),
        ),
    ]


def _list_instance(number: int) -> store.Instance:
    entry = number % 4 == 0
    return store.Instance(
        name=f'instance-{number}',
        role='entry' if entry else 'endpoint',
        data_centre=f'centre-{number % 6}',
        host=f'10.0.{number // 250}.{number % 250}',
        call_port=8000,
        control_port=8001,
        datagram_port=8002,
        service='' if entry else f'model-{number % 3}',
    )


def _measure_customers(random: random_module.Random) -> list[Point]:
    points = []
    for count in CUSTOMERS:
        whole = bundles.make_bundle(count=count, random=random)
        split = manifests.split(whole=whole)
        contents = {part.digest: part.content for part in split.parts}
        held = _count_bytes(lambda: _index(split.manifest, contents))
        points.append(
            _point('index of customers: bytes over customers', count, held)
        )
    return points


def _index(manifest: manifests.Manifest, contents: dict[str, bytes]) -> Any:
    async def build() -> customers.CustomerTable | manifests.Broken:
        return await customers.build(
            manifest=manifest, parts=contents, before=None
        )

    return anyio.run(build)


def _count_bytes(work: Callable[[], Any]) -> int:
    """Return the bytes that some work leaves allocated."""
    gc.collect()
    tracemalloc.start()
    before, _ = tracemalloc.get_traced_memory()
    kept = work()
    gc.collect()
    after, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    del kept
    return after - before


# Decisions


def _measure_routing(random: random_module.Random) -> list[Point]:
    service = bundle.Service(name='drafts', kind='model_engine', model='m')
    points = []
    for count in ENDPOINTS:
        router = routing.Router(
            clock=time.monotonic,
            random=random,
            data_centre='east',
            most_endpoints=count,
        )
        for number in range(count):
            router.report(
                heartbeat=_make_heartbeat(number), now=time.monotonic()
            )
        numbers = itertools.count()

        def choose() -> None:
            facts = routing.CallFacts(
                call=str(next(numbers)),
                service='drafts',
                customer='customer',
                priority=1,
                remaining=30.0,
                tokens=100,
            )
            router.choose(service=service, facts=facts, exclude=frozenset())

        points.append(
            _point('routing: us a choice over endpoints', count, _time(choose))
        )
    return points


def _make_heartbeat(number: int) -> messages.Heartbeat:
    return messages.Heartbeat(
        instance=f'agent-{number}',
        role=messages.Role.AGENT,
        data_centre='east',
        host='10.0.0.1',
        call_port=1,
        control_port=2,
        datagram_port=3,
        incarnation=1,
        sequence=1,
        sent_at=time.time(),
        bundle=1,
        service='drafts',
        load=instances.make_load(),
    )


def _measure_shares() -> list[Point]:
    points = []
    for count in ENTRIES:
        live = [f'entry-{number}' for number in range(count)]
        numbers = itertools.count()

        def rank() -> None:
            customer = bundle.Customer(
                name=f'customer-{next(numbers)}',
                key_digests=(hashlib.sha256(b'').hexdigest(),),
                services=('drafts',),
            )
            shares.equal_share(
                customer=customer, entry='entry-0', live_entries=live
            )

        points.append(
            _point(
                "shares: us for a customer's first call over entries",
                count,
                _time(rank),
            )
        )
    return points


def _time(work: Callable[[], None], rounds: int = ROUNDS) -> float:
    """Return the processor microseconds of one round."""
    begun = time.process_time()
    for _ in range(rounds):
        work()
    return (time.process_time() - begun) / rounds * MICRO
