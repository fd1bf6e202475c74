"""Sends reports to peers and takes theirs."""

import random as random_module
from typing import Callable

from absl import logging
import anyio
import anyio.abc
import msgspec

from .. import logs
from . import outbound
from . import peer_reports
from . import peers
from . import report_intervals

#: Seconds between two tries of an address where nobody is heard.
UNHEARD_PERIOD = 1.0

MakeReport = Callable[[peers.Peer | None, float], peer_reports.Report]
OnReport = Callable[[peer_reports.Report, frozenset[str]], None]


class Gossip:
    """The exchange of reports of one process.

    :param make: returns the report for a peer, ``None`` for an address of
        which only the place is known, and says when the next one comes.
    :param take: takes a report that was not overtaken, and the endpoints
        whose requests in flight may have changed by it.
    :param leads: whether this entry leads a group of ranks.
    :param random: spreads reports to many peers over time.
    """

    __slots__ = (
        '_table',
        '_seeds',
        '_make',
        '_take',
        '_leads',
        '_clock',
        '_random',
        '_socket',
        '_tried',
        '_due',
        '_led',
        '_wake',
    )

    def __init__(
        self,
        *,
        table: peers.PeerTable,
        seeds: Callable[[], tuple[outbound.Address, ...]],
        make: MakeReport,
        take: OnReport,
        leads: Callable[[], bool],
        clock: Callable[[], float],
        random: random_module.Random,
    ) -> None:
        self._table = table
        self._seeds = seeds
        self._make = make
        self._take = take
        self._leads = leads
        self._clock = clock
        self._random = random
        self._socket: anyio.abc.UDPSocket | None = None
        self._tried: dict[outbound.Address, float] = {}
        self._due: dict[str, float] = {}
        self._led = False
        self._wake = anyio.Event()

    async def run(
        self,
        address: outbound.Address,
        *,
        task_status: anyio.abc.TaskStatus[int] = anyio.TASK_STATUS_IGNORED,
    ) -> None:
        """Exchange reports until cancelled."""
        async with await anyio.create_udp_socket(
            local_host=address.host, local_port=address.port
        ) as socket:
            self._socket = socket
            task_status.started(
                socket.extra(anyio.abc.SocketAttribute.local_port)
            )
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(self._send_all)
                await self._receive(socket)

    def hasten(self) -> None:
        """Send the next reports at once, as something has changed."""
        self._due.clear()
        self._wake.set()

    async def _receive(self, socket: anyio.abc.UDPSocket) -> None:
        async for data, source in socket:
            self._hear(data, source[0])

    def _hear(self, data: bytes, source: str) -> None:
        """Take a datagram from a host."""
        try:
            report = peer_reports.decode(data)
        except msgspec.MsgspecError as error:
            logging.warning(
                'report not understood',
                extra=logs.fields(source=source, detail=str(error)),
            )
            return
        touched = self._table.take(report)
        if touched is None:
            return
        if not report.echo:
            # It has just started and knows nothing of us.
            self._due.pop(report.instance, None)
        self._take(report, touched)

    async def _send_all(self) -> None:
        while True:
            self._table.drop_silent()
            leads = self._leads()
            if leads != self._led:
                # All are to know at once, and when to expect the next one.
                self._due.clear()
                self._led = leads
            periods = self._find_periods(leads)
            now = self._clock()
            for peer in self._table.live():
                await self._send_if_due(peer, periods, now)
            await self._try_unheard()
            self._wake = anyio.Event()
            with anyio.move_on_after(min(periods.near, periods.remote)):
                await self._wake.wait()

    def _find_periods(self, leads: bool) -> report_intervals.ReportIntervals:
        live = self._table.live()
        near = sum(self._table.is_near(peer) for peer in live)
        return report_intervals.compute_intervals(
            near=near, remote=len(live) - near, leads=leads
        )

    async def _send_if_due(
        self,
        peer: peers.Peer,
        periods: report_intervals.ReportIntervals,
        now: float,
    ) -> None:
        """Send a report by the time that the last one has promised."""
        due = self._due.get(peer.instance)
        tick = min(periods.near, periods.remote)
        if due is not None and due >= now + tick:
            return
        is_near = self._table.is_near(peer)
        period = periods.near if is_near else periods.remote
        await self._send(
            outbound.Address(host=peer.host, port=peer.port),
            self._make(peer, period),
        )
        # All first reports go out at once; the next ones are spread.
        part = 1.0 if due is not None else self._random.random()
        self._due[peer.instance] = now + part * period

    async def _try_unheard(self) -> None:
        """Make ourselves known where somebody may live."""
        now = self._clock()
        heard = {
            outbound.Address(host=peer.host, port=peer.port)
            for peer in self._table.live()
        }
        places = set(self._seeds())
        for peer in self._table:
            places.add(outbound.Address(host=peer.host, port=peer.port))
        for place in places - heard:
            if now - self._tried.get(place, float('-inf')) < UNHEARD_PERIOD:
                continue
            self._tried[place] = now
            await self._send(place, self._make(None, UNHEARD_PERIOD))

    async def _send(
        self, address: outbound.Address, report: peer_reports.Report
    ) -> None:
        assert self._socket is not None
        try:
            await self._socket.sendto(
                peer_reports.encode(report), address.host, address.port
            )
        except OSError as error:
            # A full buffer or an unreachable host; the next report follows.
            logging.info(
                'report not sent',
                extra=logs.fields(host=address.host, detail=str(error)),
            )
