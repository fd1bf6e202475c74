"""Sends reports to peers and takes theirs."""

from typing import Callable

from absl import logging
import anyio
import anyio.abc
import msgspec

from .. import logs
from . import outbound
from . import peer_reports
from . import peers

#: Seconds between two tries of an address where nobody is heard.
UNHEARD_PERIOD = 1.0

MakeReport = Callable[[peers.Peer | None], peer_reports.Report]
OnReport = Callable[[peer_reports.Report, frozenset[str]], None]


class Gossip:
    """The exchange of reports of one process.

    :param make: returns the report for a peer, ``None`` for an address of
        which only the place is known.
    :param take: takes a report that was not overtaken, and the endpoints
        whose requests in flight may have changed by it.
    :param leads: whether this entry leads a group of ranks.
    """

    __slots__ = (
        '_table',
        '_seeds',
        '_make',
        '_take',
        '_leads',
        '_clock',
        '_socket',
        '_tried',
        '_due',
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
    ) -> None:
        self._table = table
        self._seeds = seeds
        self._make = make
        self._take = take
        self._leads = leads
        self._clock = clock
        self._socket: anyio.abc.UDPSocket | None = None
        self._tried: dict[outbound.Address, float] = {}
        self._due = anyio.Event()

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
        self._due.set()

    async def _receive(self, socket: anyio.abc.UDPSocket) -> None:
        async for data, source in socket:
            try:
                report = peer_reports.decode(data)
            except msgspec.MsgspecError as error:
                logging.warning(
                    'report not understood',
                    extra=logs.fields(source=source[0], detail=str(error)),
                )
                continue
            touched = self._table.take(report)
            if touched is not None:
                self._take(report, touched)

    async def _send_all(self) -> None:
        while True:
            self._table.drop_silent()
            live = self._table.live()
            for peer in live:
                await self._send(
                    outbound.Address(host=peer.host, port=peer.port),
                    self._make(peer),
                )
            await self._try_unheard()
            period = peers.find_period(peers=len(live), leads=self._leads())
            self._due = anyio.Event()
            with anyio.move_on_after(period):
                await self._due.wait()

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
            await self._send(place, self._make(None))

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
