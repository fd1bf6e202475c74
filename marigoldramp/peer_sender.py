"""Makes this process's heartbeats and sends them."""

import dataclasses
from typing import Callable

import msgspec

from . import heartbeats
from . import messages
from . import peer_listing
from . import peer_pace
from . import peer_table

#: Peers told in one heartbeat to a peer whose instance list is away; some
#: 70 bytes each.
MOST_KNOWN = 6
#: Intervals without an echo after which a heartbeat is whole again.
WHOLE_AGAIN_INTERVALS = 1.5


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Identity:
    """What this process tells of itself.

    :ivar datagram_port: port to bind; 0 picks a free one.
    :ivar incarnation: see ``heartbeats.make_incarnation``; also the session
        of this process's ``peers.Server``.
    """

    instance: str
    role: messages.Role
    data_centre: str
    host: str
    call_port: int
    control_port: int
    incarnation: int
    datagram_port: int = 0
    service: str = ''


class Sender:
    """Sends heartbeats to peers and to addresses.

    :ivar leaving: this process has begun a planned stop.
    :ivar sequence: the last one used.
    """

    __slots__ = (
        '_clock',
        '_codec',
        '_listing',
        '_pace',
        '_table',
        '_transport',
        '_wall',
        'bundle_source',
        'identity',
        'leaving',
        'load_source',
        'sequence',
    )

    def __init__(
        self,
        *,
        identity: Identity,
        codec: heartbeats.Codec,
        transport: heartbeats.Transport,
        table: peer_table.Table,
        pace: peer_pace.Pace,
        listing: peer_listing.Listing,
        clock: Callable[[], float],
        wall: Callable[[], float],
    ) -> None:
        self.identity = identity
        self.load_source: Callable[[], messages.Load] | None = None
        self.bundle_source: Callable[[], int] = int
        self.leaving = False
        self.sequence = 0
        self._codec = codec
        self._transport = transport
        self._table = table
        self._pace = pace
        self._listing = listing
        self._clock = clock
        self._wall = wall

    def send(self, record: peer_table.Record) -> None:
        """Send a heartbeat to a peer."""
        now = self._clock()
        known = self._choose_known(record)
        heartbeat = self.make(
            receiver_leaving=record.flag.holds(now),
            echo=record.sequence,
            receiver_incarnation=record.incarnation,
            asks=record.chosen,
            known=known,
        )
        if self._has_introduced(record, now):
            heartbeat = _shorten(heartbeat)
        record.note_sent(heartbeat.sequence, now)
        self._send(heartbeat, record.host, record.datagram_port)

    def greet(self, host: str, port: int) -> None:
        """Send a heartbeat to an address of which nothing else is known."""
        self._send(self.make(asks=True), host, port)

    def make(
        self,
        *,
        receiver_leaving: bool = False,
        echo: int = 0,
        receiver_incarnation: int = 0,
        asks: bool = False,
        known: tuple[messages.KnownInstance, ...] = (),
    ) -> messages.Heartbeat:
        """Return the next heartbeat of this process."""
        self.sequence += 1
        identity = self.identity
        load = None if self.load_source is None else self.load_source()
        return messages.Heartbeat(
            instance=identity.instance,
            role=identity.role,
            data_centre=identity.data_centre,
            host=identity.host,
            call_port=identity.call_port,
            control_port=identity.control_port,
            datagram_port=identity.datagram_port,
            incarnation=identity.incarnation,
            sequence=self.sequence,
            sent_at=self._wall(),
            bundle=self.bundle_source(),
            leaving=self.leaving,
            receiver_leaving=receiver_leaving,
            echo=echo,
            service=identity.service,
            load=load,
            receiver_incarnation=receiver_incarnation,
            asks=asks,
            interval_ms=round(self._pace.interval * peer_table.MILLISECONDS),
            wants_known=self._listing.is_away(),
            known=known,
        )

    def _send(
        self, heartbeat: messages.Heartbeat, host: str, port: int
    ) -> None:
        datagram = self._codec.encode(heartbeat)
        self._transport.send(datagram=datagram, host=host, port=port)

    def _has_introduced(self, record: peer_table.Record, now: float) -> bool:
        """Return whether the peer knows what does not change about us.

        A peer that has restarted or forgotten us cannot use a short
        heartbeat and does not echo it, so the next one is whole again.
        """
        if not record.echoed:
            return False
        unechoed = now - record.unechoed_at
        waited = WHOLE_AGAIN_INTERVALS * self._pace.interval_of(record)
        return not record.unechoed or unechoed < waited

    def _choose_known(
        self, receiver: peer_table.Record
    ) -> tuple[messages.KnownInstance, ...]:
        """Return peers of which a receiver without a list has not heard.

        When the store is away while a whole site starts, nobody can read
        the list; each process then learns the others from the first peer
        that it reaches.  Those told are noted as told once the heartbeat is
        echoed, since it may be lost.
        """
        if not receiver.wants_known:
            return ()
        if receiver.told_known >= self._table.learned:
            return ()
        news = sorted(
            (
                record
                for record in self._table
                if record.learned > receiver.told_known
                and record.state in peer_table.USABLE
                and record is not receiver
            ),
            key=lambda record: record.learned,
        )[:MOST_KNOWN]
        receiver.pending_in = self.sequence + 1
        receiver.pending_known = (
            news[-1].learned if news else self._table.learned
        )
        return tuple(_describe(record) for record in news)


def _shorten(heartbeat: messages.Heartbeat) -> messages.Heartbeat:
    return msgspec.structs.replace(
        heartbeat,
        data_centre='',
        host='',
        call_port=0,
        control_port=0,
        datagram_port=0,
        service='',
    )


def _describe(record: peer_table.Record) -> messages.KnownInstance:
    return messages.KnownInstance(
        instance=record.instance,
        role=record.role,
        data_centre=record.data_centre,
        host=record.host,
        control_port=record.control_port,
        datagram_port=record.datagram_port,
        service=record.service,
    )
