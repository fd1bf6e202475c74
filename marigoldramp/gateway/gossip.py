"""Sends reports to peers and receives theirs."""

import random as random_module
from typing import Callable

from absl import logging
import anyio
import anyio.abc
import msgspec

from .. import logs
from . import datagrams
from . import outbound
from . import peer_reports
from . import peers
from . import report_intervals
from . import timer_delay

#: Interval of reports to an address from which no report arrives.
PROBE_INTERVAL_SECONDS = 1.0

EncodeReport = Callable[[peers.Peer | None, float], bytes]
OnReport = Callable[[peer_reports.Report, frozenset[str]], None]


class Gossip:
    """Exchanges reports with all peers of this gateway.

    :param seeds: returns addresses to probe before any peer is known.
    :param encode_report: returns the report for a peer, which announces the
        given interval; the peer is ``None`` for an address from which no
        report has arrived.
    :param on_report: called with each report that is newer than the last one
        of its sender, and the endpoints whose requests in flight have changed.
    :param leads: returns whether this gateway leads a group of ranks.
    :param random: spreads reports to many peers over time.
    :param delay: records how late the timer between reports is.
    """

    __slots__ = (
        '_table',
        '_seeds',
        '_encode_report',
        '_on_report',
        '_leads',
        '_clock',
        '_random',
        '_socket',
        '_probed_at',
        '_due_at',
        '_was_leading',
        '_wake',
        '_delay',
    )

    def __init__(
        self,
        *,
        table: peers.PeerTable,
        seeds: Callable[[], tuple[outbound.Address, ...]],
        encode_report: EncodeReport,
        on_report: OnReport,
        leads: Callable[[], bool],
        clock: Callable[[], float],
        random: random_module.Random,
        delay: timer_delay.TimerDelay | None = None,
    ) -> None:
        self._delay = delay or timer_delay.TimerDelay(clock=clock)
        self._table = table
        self._seeds = seeds
        self._encode_report = encode_report
        self._on_report = on_report
        self._leads = leads
        self._clock = clock
        self._random = random
        self._socket: datagrams.DatagramSocket | None = None
        self._probed_at: dict[outbound.Address, float] = {}
        self._due_at: dict[str, float] = {}
        self._was_leading = False
        self._wake = anyio.Event()

    async def check_address(self, address: outbound.Address) -> None:
        """Check that reports can be received at an address.

        :raises OSError: the address cannot be bound.
        """
        socket = await datagrams.open_socket(
            host=address.host,
            port=address.port,
            on_datagram=self._handle_datagram,
        )
        socket.close()

    async def run(
        self,
        address: outbound.Address,
        *,
        task_status: anyio.abc.TaskStatus[int] = anyio.TASK_STATUS_IGNORED,
    ) -> None:
        """Send and receive reports until cancelled."""
        socket = await datagrams.open_socket(
            host=address.host,
            port=address.port,
            on_datagram=self._handle_datagram,
        )
        self._socket = socket
        try:
            task_status.started(socket.port)
            await self._send_all()
        finally:
            socket.close()

    def send_now(self) -> None:
        """Send the next report to each peer at once."""
        self._due_at.clear()
        self._wake.set()

    def _handle_datagram(self, data: bytes, source: str) -> None:
        """Process a datagram from a host."""
        try:
            report = peer_reports.decode(data)
        except msgspec.MsgspecError as error:
            logging.warning(
                'report not understood',
                extra=logs.fields(source=source, detail=str(error)),
            )
            return
        touched = self._table.apply_report(report)
        if touched is None:
            return
        if not report.echo:
            # The peer has just started and has not heard this gateway.
            self._due_at.pop(report.instance, None)
        self._on_report(report, touched)

    async def _send_all(self) -> None:
        while True:
            self._table.expire_silent()
            leads = self._leads()
            if leads != self._was_leading:
                # All peers learn at once who leads and the new interval.
                self._due_at.clear()
                self._was_leading = leads
            intervals = self._compute_intervals(leads)
            now = self._clock()
            for peer in self._table.live():
                self._send_if_due(peer, intervals, now)
            self._probe_unheard()
            self._wake = anyio.Event()
            due = self._clock() + min(intervals.near, intervals.remote)
            with anyio.move_on_after(due - self._clock()) as scope:
                await self._wake.wait()
            if scope.cancelled_caught:
                self._delay.note(self._clock() - due)

    def _compute_intervals(self, leads: bool) -> report_intervals.Intervals:
        live = self._table.live()
        near = sum(self._table.is_near(peer) for peer in live)
        return report_intervals.compute_intervals(
            near=near, remote=len(live) - near, leads=leads
        )

    def _send_if_due(
        self,
        peer: peers.Peer,
        intervals: report_intervals.Intervals,
        now: float,
    ) -> None:
        """Send a report if it would be late at the next check."""
        due = self._due_at.get(peer.instance)
        shortest = min(intervals.near, intervals.remote)
        if due is not None and due >= now + shortest:
            return
        is_near = self._table.is_near(peer)
        interval = intervals.near if is_near else intervals.remote
        self._send(
            outbound.Address(host=peer.host, port=peer.port),
            self._encode_report(peer, interval),
        )
        # All first reports go out at once; a random share of the interval
        # spreads the next ones.
        fraction = 1.0 if due is not None else self._random.random()
        self._due_at[peer.instance] = now + fraction * interval

    def _probe_unheard(self) -> None:
        """Send reports to the addresses of seeds and of silent peers."""
        now = self._clock()
        addresses = set(self._seeds())
        heard = set()
        for peer in self._table:
            if peer.live:
                heard.add((peer.host, peer.port))
            else:
                addresses.add(outbound.Address(host=peer.host, port=peer.port))
        for address in addresses:
            if (address.host, address.port) in heard:
                continue
            if (
                now - self._probed_at.get(address, float('-inf'))
                < PROBE_INTERVAL_SECONDS
            ):
                continue
            self._probed_at[address] = now
            self._send(
                address, self._encode_report(None, PROBE_INTERVAL_SECONDS)
            )

    def _send(self, address: outbound.Address, data: bytes) -> None:
        assert self._socket is not None
        try:
            self._socket.send(data, address.host, address.port)
        except OSError as error:
            # The buffer is full or the host unreachable; the next report
            # follows soon.
            logging.info(
                'report not sent',
                extra=logs.fields(host=address.host, detail=str(error)),
            )
