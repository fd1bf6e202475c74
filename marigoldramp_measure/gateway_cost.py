"""Processor time that one gateway spends on reports and periodic work.

One whole gateway runs on loopback with a store and a configuration in memory.
Its peers are datagrams that a second thread sends at the peers' rates; only
the gateway's own thread is measured.
"""

import asyncio
import dataclasses
import pathlib
import random as random_module
import socket
import statistics
import threading
import time
import typing
from typing import Any

import anyio

from marigoldramp.gateway import adapter as adapter_module
from marigoldramp.gateway import boot_clock
from marigoldramp.gateway import configurations
from marigoldramp.gateway import deployment
from marigoldramp.gateway import listings
from marigoldramp.gateway import outbound
from marigoldramp.gateway import peer_reports
from marigoldramp.gateway import program
from marigoldramp.gateway import ranks
from marigoldramp.gateway import report_intervals
from marigoldramp.gateway import retry_budget
from marigoldramp.gateway import settings as settings_module
from marigoldramp import metrics
from marigoldramp.platform import headers
from marigoldramp.platform import pages
from marigoldramp import store

from . import tables

HOST = '127.0.0.1'
DATA_CENTRES = ('a', 'b', 'c')
PEERS = (26, 55, 99)
ENDPOINTS = 64
#: Requests of each gateway in flight, on different endpoints.
IN_FLIGHT = 5
CALM_SECONDS = 6.0
BURSTS = 40
#: Datagrams that the socket's buffer takes at once.
BURST_SIZE = 60
#: Every so many reports the size of one is measured.
SIZE_SAMPLING = 20
MICRO = 1e6


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Row:
    """Costs of one gateway; times are in microseconds of a processor.

    :ivar calm: in a second in which no request arrives.
    """

    peers: int
    send: float
    receive: float
    calm: float
    sent_per_s: float
    received_per_s: float
    bytes_per_report: float


class _Store(store.PlatformStore):
    """A store without objects that change."""

    name = 'gateway_cost_store'

    async def read(self, *, key: store.Key) -> store.Absent:
        return store.Absent(key=key)

    async def write(
        self, *, key: store.Key, value: bytes, expected: int
    ) -> store.Written:
        return store.Written(key=key, version=1)

    async def delete(self, *, key: store.Key, expected: int) -> store.Conflict:
        return store.Conflict(key=key)

    async def list_objects(self, *, kind: str) -> store.Listing:
        return store.Listing(objects=(), version=1)

    async def watch(
        self, *, kind: str, after: int, seconds: float
    ) -> store.Listing:
        await anyio.sleep(seconds)
        return store.Listing(objects=(), version=after)

    async def list_instances(self) -> store.Instances:
        return store.Instances(instances=())

    async def close(self) -> None:
        pass


class _Configuration(configurations.ConfigurationSource):
    """A configuration that does not change."""

    async def fetch(self) -> bytes:
        return b'1'

    def decode(self, document: bytes) -> deployment.Configuration:
        return deployment.Configuration(
            version=1,
            routes=(),
            services={
                'model': deployment.Service(name='model', connections=100)
            },
            limits=deployment.Limits(
                head_bytes=4096,
                body_bytes=100_000,
                head_seconds=5.0,
                idle_seconds=5.0,
            ),
            customers={},
            requires_keys=False,
        )


class _Endpoints(listings.EndpointSource):
    """Endpoints that do not change."""

    async def list_all(self) -> listings.Listing:
        return listings.Listing(records=_make_records(), revision=1)

    async def watch(self, *, after: int, seconds: float) -> listings.Changes:
        await anyio.sleep(seconds)
        return listings.Changes(records=(), removed=(), revision=after)


def _make_records() -> tuple[deployment.EndpointRecord, ...]:
    return tuple(
        deployment.EndpointRecord(
            identity=f'model-{number:03}',
            service='model',
            host=HOST,
            port=9,
            data_centre=DATA_CENTRES[number % len(DATA_CENTRES)],
            slots=5,
            leaving=False,
        )
        for number in range(ENDPOINTS)
    )


class _Peers:
    """The peers of the gateway: datagrams from one socket."""

    def __init__(self, count: int, random: random_module.Random) -> None:
        self._random = random
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._socket.bind((HOST, 0))
        self.port: int = self._socket.getsockname()[1]
        self.gateway_port = 0
        self._stopped = threading.Event()
        centres = [DATA_CENTRES[n % 3] for n in range(count + 1)][1:]
        near = centres.count(DATA_CENTRES[0])
        found = report_intervals.compute_intervals(
            near=near, remote=count - near, leads=False
        )
        self._members = [
            (
                f'entry-{number:03}',
                centre,
                found.near if centre == DATA_CENTRES[0] else found.remote,
            )
            for number, centre in enumerate(centres)
        ]
        self._endpoints = [one.identity for one in _make_records()]
        self._in_flight = [
            random.sample(self._endpoints, IN_FLIGHT) for _ in range(count)
        ]
        self.sent = 0

    def send(self, number: int) -> None:
        """Send the report of one peer."""
        instance, centre, period = self._members[number]
        now = boot_clock.read_clock()
        in_flight = self._replace_request(number)
        report = peer_reports.Report(
            instance=instance,
            host=HOST,
            port=self.port,
            incarnation=1,
            sent=now,
            echo=now,
            echo_incarnation=1,
            ready=True,
            leaving=False,
            call_host=HOST,
            call_port=1,
            version=1,
            version_age=0.1,
            revision=1,
            revision_age=0.1,
            in_flight=dict.fromkeys(in_flight, 1),
            can_lead=True,
            data_centre=centre,
            period=period,
            passes={'model': 0.1},
        )
        self._socket.sendto(
            peer_reports.encode(report), (HOST, self.gateway_port)
        )
        self.sent += 1

    def _replace_request(self, number: int) -> list[str]:
        """Let one of a peer's requests end and another begin."""
        found = self._in_flight[number]
        unused = [one for one in self._endpoints if one not in found]
        found[self._random.randrange(IN_FLIGHT)] = self._random.choice(unused)
        return found

    def send_burst(self, size: int) -> None:
        """Send reports of random peers at once."""
        for _ in range(size):
            self.send(self._random.randrange(len(self._members)))

    def run(self) -> None:
        """Send all reports at their times until stopped."""
        due = {
            number: time.monotonic() + self._random.random() * period
            for number, (_, _, period) in enumerate(self._members)
        }
        while not self._stopped.wait(0.005):
            now = time.monotonic()
            for number, at in due.items():
                if at <= now:
                    self.send(number)
                    due[number] = at + self._members[number][2]

    def stop(self) -> None:
        """End :meth:`run`."""
        self._stopped.set()


class _CostMeasurement:
    """One gateway and its peers."""

    def __init__(self, count: int, seed: int) -> None:
        self.count = count
        self.peers = _Peers(count, random_module.Random(seed))
        process = _make_settings(self.peers.port)
        self.gateway = program.Program(
            settings=process,
            adapter=adapter_module.Adapter(
                codec=headers.Codec(),
                configuration=_Configuration(),
                endpoint_source=_Endpoints(),
                store=_Store(),
                rank_api=typing.cast(ranks.RankApi, None),
                make_pages=pages.make,
                read_settings=lambda: process,
            ),
            metrics=metrics.create_local(instance='m'),
        )
        self.peers.gateway_port = process.peers.port
        self.sent = 0
        self.sampled_bytes: list[int] = []
        self.received = 0
        self._count_reports()

    def _count_reports(self) -> None:
        """Count what the gateway sends and receives."""
        gossip: Any = self.gateway.gossip
        build, apply = gossip._encode_report, gossip._on_report

        def count_sent(*peer: Any) -> Any:
            self.sent += 1
            data = build(*peer)
            if self.sent % SIZE_SAMPLING == 0:
                self.sampled_bytes.append(len(data))
            return data

        def count_received(*report: Any) -> None:
            self.received += 1
            apply(*report)

        gossip._encode_report = count_sent
        gossip._on_report = count_received

    async def measure(self) -> Row:
        """Run the gateway and return its costs."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self.gateway.run)
            await self._until(lambda: self.gateway.is_ready())
            for number in range(self.count):
                self.peers.send(number)
            await self._until(lambda: self.received == self.count)
            for number, endpoint in enumerate(self.gateway.table):
                if number < IN_FLIGHT:
                    endpoint.add_request(suspect='')
            sender = threading.Thread(target=self.peers.run)
            sender.start()
            await anyio.sleep(1.0)
            calm = await self._measure_calm()
            self.peers.stop()
            await anyio.to_thread.run_sync(sender.join)
            row = dataclasses.replace(
                calm,
                send=await self._measure_sending(),
                receive=await self._measure_receiving(),
            )
            tasks.cancel_scope.cancel()
        return row

    async def _measure_calm(self) -> Row:
        before = self.sent, self.received
        self.sampled_bytes.clear()
        begun = time.perf_counter(), time.thread_time()
        await anyio.sleep(CALM_SECONDS)
        spent = time.thread_time() - begun[1]
        seconds = time.perf_counter() - begun[0]
        sent = self.sent - before[0]
        return Row(
            peers=self.count,
            send=0.0,
            receive=0.0,
            calm=spent / seconds * MICRO,
            sent_per_s=sent / seconds,
            received_per_s=(self.received - before[1]) / seconds,
            bytes_per_report=statistics.fmean(self.sampled_bytes),
        )

    async def _measure_sending(self) -> float:
        """Return the microseconds per report of bursts to all peers."""
        spent = 0.0
        sent = self.sent
        for _ in range(BURSTS):
            live = len(self.gateway.peers.live())
            expected = self.sent + live
            begun = time.thread_time()
            self.gateway._notify_peers()
            while self.sent < expected:
                await asyncio.sleep(0)
            spent += time.thread_time() - begun
            self.peers.send_burst(BURST_SIZE)
            await anyio.sleep(0.02)
        return spent / (self.sent - sent) * MICRO

    async def _measure_receiving(self) -> float:
        """Return the microseconds per report of bursts from peers.

        The reports are in the socket's buffer before the time is taken.
        """
        spent = 0.0
        received = self.received
        for _ in range(BURSTS):
            self.peers.send_burst(BURST_SIZE)
            expected = self.received + BURST_SIZE
            begun = time.thread_time()
            while self.received < expected:
                await asyncio.sleep(0)
            spent += time.thread_time() - begun
        return spent / (self.received - received) * MICRO

    async def _until(self, condition: Any) -> None:
        with anyio.fail_after(10.0):
            while not condition():
                await anyio.sleep(0.01)


def _make_settings(store_port: int) -> settings_module.Settings:
    with socket.socket(socket.AF_INET, socket.SOCK_STREAM) as probe:
        probe.bind((HOST, 0))
        port = probe.getsockname()[1]
    return settings_module.Settings(
        instance='m',
        data_centre=DATA_CENTRES[0],
        region='r',
        calls=outbound.Address(host=HOST, port=0),
        readiness=None,
        addresses=None,
        peers=outbound.Address(host=HOST, port=port),
        metrics=outbound.Address(host=HOST, port=0),
        seeds=(),
        store=outbound.Address(host=HOST, port=store_port),
        descriptors=1000,
        cores=1.0,
        link_rate=2_500_000.0,
        bounds=settings_module.Bounds(
            drain=2.0,
            grace=0.0,
            apply=2.0,
            revoke=5.0,
            longest_addresses=5.0,
            retries=retry_budget.Bounds(ratio=0.2, extra=40.0, window=10.0),
            fenced=True,
            stall=1.5,
        ),
    )


def run(*, seed: int, out: pathlib.Path) -> None:
    """Measure a gateway among each number of peers; print the costs."""
    rows = []
    for count in PEERS:
        rows.append(anyio.run(_CostMeasurement(count, seed).measure))
        print(rows[-1])
    tables.write(rows=rows, path=out / 'gateway_cost.csv')
