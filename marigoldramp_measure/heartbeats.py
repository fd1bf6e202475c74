"""Bytes and processor time of heartbeats, by the number of peers.

``cost`` runs memberships that all heartbeat each other over real sockets and
draws the line through growing numbers of peers.  ``list`` times a reading of
the instance list.  ``sockets`` compares two ways to a UDP socket.
"""

import dataclasses
import functools
import pathlib
import random as random_module
import socket
import time
from typing import Callable

import anyio
import anyio.abc
import cyclopts

from marigoldramp import heartbeats
from marigoldramp import messages
from marigoldramp import peer_choice
from marigoldramp import peer_table
from marigoldramp import store

from . import instances
from . import tables
from . import usage

PEERS = (4, 8, 16, 24)
LISTED = (100, 400, 1_280)
SECONDS = 10.0
#: Datagrams a second that stretch no interval.
NO_BUDGET = 1e6
DATAGRAMS = 20_000
DATAGRAM_BYTES = 150
MICRO = 1e6
MILLI = 1e3


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class CostRow:
    """Cost to one instance of heartbeating some peers, both ways.

    :ivar bytes_s: sent and received, with IP and UDP headers.
    :ivar cpu_share: part of a core.
    """

    peers: int
    datagrams_s: float
    bytes_s: float
    datagram_bytes: float
    cpu_share: float
    load: float


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class ListRow:
    """Cost to one instance of knowing a fleet, per reading of the list."""

    listed: int
    seed_ms: float
    choose_ms: float


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class SocketRow:
    """Processor time of one datagram there and back."""

    way: str
    round_trip_us: float


app = cyclopts.App(help=__doc__)


def run(*, seed: int, out: pathlib.Path) -> None:
    """Measure all of it."""
    measure_cost(seed=seed, out=out)
    measure_list(out=out)
    measure_sockets(out=out)


# Cost


@app.command(name='cost')
def measure_cost(
    *,
    peers: tuple[int, ...] = PEERS,
    seconds: float = SECONDS,
    seed: int = 1,
    out: pathlib.Path = pathlib.Path('out'),
) -> None:
    """Measure bytes and processor time by the number of peers.

    :param peers: peers of each instance.
    :param seconds: length of each run.
    """
    out.mkdir(parents=True, exist_ok=True)
    rows = [anyio.run(_measure_cost, count, seconds, seed) for count in peers]
    tables.write(rows=rows, path=out / 'heartbeats_cost.csv')
    counts = [float(row.peers) for row in rows]
    for name, unit, factor in (
        ('bytes_s', 'bytes a second', 1.0),
        ('cpu_share', 'us of processor time a second', MICRO),
    ):
        line = usage.fit(x=counts, y=[getattr(row, name) for row in rows])
        print(f'{line.slope * factor:.4g} {unit} for each peer')


async def _measure_cost(peers: int, seconds: float, seed: int) -> CostRow:
    random = random_module.Random(seed)
    settings = instances.read_settings({})
    members = [
        instances.Instance(
            description=instances.Description(
                name=f'entry-{number:04}', data_centre='data-centre-1'
            ),
            settings=dataclasses.replace(
                settings,
                membership=dataclasses.replace(
                    settings.membership, peers=peers, datagrams=NO_BUDGET
                ),
            ),
            random=random_module.Random(random.random()),
        )
        for number in range(peers + 1)
    ]
    async with anyio.create_task_group() as group:
        await _start(members, group)
        await anyio.sleep(2.0)
        before = [dataclasses.replace(each.traffic) for each in members]
        processor = time.process_time()
        await anyio.sleep(seconds)
        processor = time.process_time() - processor
        group.cancel_scope.cancel()
    after = [each.traffic for each in members]
    for member in members:
        await member.stop()
    datagrams = _sum(after, 'sent', 'received') - _sum(
        before, 'sent', 'received'
    )
    size = _sum(after, 'sent_bytes', 'received_bytes') - _sum(
        before, 'sent_bytes', 'received_bytes'
    )
    share = seconds * len(members)
    return CostRow(
        peers=peers,
        datagrams_s=datagrams / share,
        bytes_s=size / share,
        datagram_bytes=size / datagrams,
        cpu_share=processor / share,
        load=usage.read_load(),
    )


async def _start(
    members: list[instances.Instance], group: anyio.abc.TaskGroup
) -> None:
    for member in members:
        await member.start(group)

    async def read_list() -> None:
        rows = [member.row() for member in members]
        while True:
            for member in members:
                member.members.seed(rows)
            await anyio.sleep(1.0)

    group.start_soon(read_list)


def _sum(traffic: list[instances.Traffic], *names: str) -> int:
    return sum(getattr(each, name) for each in traffic for name in names)


# The instance list


@app.command(name='list')
def measure_list(
    *,
    listed: tuple[int, ...] = LISTED,
    out: pathlib.Path = pathlib.Path('out'),
) -> None:
    """Measure a reading of the instance list by its length."""
    out.mkdir(parents=True, exist_ok=True)
    rows = [anyio.run(_measure_list, count) for count in listed]
    tables.write(rows=rows, path=out / 'heartbeats_list.csv')


async def _measure_list(listed: int) -> ListRow:
    member = instances.Instance(
        description=instances.Description(name='entry', data_centre='dc-0'),
        settings=instances.read_settings({}),
        random=random_module.Random(1),
    )
    rows = [
        store.Instance(
            name=f'instance-{number:04}',
            role='entry' if number % 4 == 0 else 'endpoint',
            data_centre=f'dc-{number % 6}',
            host=instances.HOST,
            call_port=1,
            control_port=2,
            datagram_port=9,
            service='' if number % 4 == 0 else f'service-{number % 5}',
        )
        for number in range(listed)
    ]
    async with anyio.create_task_group() as group:
        await member.start(group)
        seed = _time(functools.partial(member.members.seed, rows))
        group.cancel_scope.cancel()
    await member.stop()
    choice = peer_choice.Choice(
        instance='entry',
        role=messages.Role.ENTRY,
        data_centre='dc-0',
        most=16,
    )
    records = [peer_table.record_of_row(row) for row in rows]
    choose = _time(functools.partial(choice.choose, records, users=0))
    return ListRow(
        listed=listed, seed_ms=MILLI * seed, choose_ms=MILLI * choose
    )


def _time(work: Callable[[], object]) -> float:
    """Return the processor seconds of one of twenty runs."""
    began = time.process_time()
    for _ in range(20):
        work()
    return (time.process_time() - began) / 20


# Sockets


@app.command(name='sockets')
def measure_sockets(
    *,
    datagrams: int = DATAGRAMS,
    out: pathlib.Path = pathlib.Path('out'),
) -> None:
    """Compare the event loop's datagram protocol and anyio's socket."""
    out.mkdir(parents=True, exist_ok=True)
    rows = [
        SocketRow(way=way, round_trip_us=MICRO * anyio.run(echo, datagrams))
        for way, echo in (
            ('asyncio protocol', _echo_by_protocol),
            ('anyio socket', _echo_by_anyio),
        )
    ]
    tables.write(rows=rows, path=out / 'heartbeats_sockets.csv')


async def _echo_by_protocol(datagrams: int) -> float:
    one, other = heartbeats.UdpTransport(), heartbeats.UdpTransport()
    left = datagrams
    done = anyio.Event()
    ports: dict[str, int] = {}

    def answer(datagram: bytes) -> None:
        other.send(datagram=datagram, host=instances.HOST, port=ports['one'])

    def again(datagram: bytes) -> None:
        nonlocal left
        left -= 1
        if left:
            one.send(
                datagram=datagram, host=instances.HOST, port=ports['other']
            )
        else:
            done.set()

    ports['one'] = await one.open(host=instances.HOST, port=0, receive=again)
    ports['other'] = await other.open(
        host=instances.HOST, port=0, receive=answer
    )
    began = time.process_time()
    one.send(
        datagram=b'x' * DATAGRAM_BYTES,
        host=instances.HOST,
        port=ports['other'],
    )
    await done.wait()
    spent = time.process_time() - began
    one.close()
    other.close()
    return spent / datagrams


async def _echo_by_anyio(datagrams: int) -> float:
    async with (
        await anyio.create_udp_socket(
            family=socket.AF_INET, local_host=instances.HOST
        ) as one,
        await anyio.create_udp_socket(
            family=socket.AF_INET, local_host=instances.HOST
        ) as other,
        anyio.create_task_group() as group,
    ):

        async def answer() -> None:
            async for datagram, address in other:
                await other.sendto(datagram, *address)

        group.start_soon(answer)
        port = other.extra(anyio.abc.SocketAttribute.local_port)
        began = time.process_time()
        for _ in range(datagrams):
            await one.sendto(b'x' * DATAGRAM_BYTES, instances.HOST, port)
            await one.receive()
        spent = time.process_time() - began
        group.cancel_scope.cancel()
    return spent / datagrams


if __name__ == '__main__':
    app()
