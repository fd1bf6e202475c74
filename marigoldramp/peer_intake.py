"""What heartbeats, the instance list and hearsay do to the table of peers.

Only a heartbeat of its own brings a peer to life.  The instance list and
what other peers say merely name it.
"""

from typing import Callable
from typing import Iterable

from absl import logging
import msgspec

from . import heartbeats
from . import messages
from . import peer_events
from . import peer_listing
from . import peer_messages
from . import peer_pace
from . import peer_sender
from . import peer_table
from . import store

State = peer_table.State


class Intake:
    """Takes in what becomes known of peers.

    :param wake: heartbeats a peer at once, by its name.
    """

    __slots__ = (
        '_clock',
        '_codec',
        '_events',
        '_pace',
        '_flag',
        '_listing',
        '_sender',
        '_started_at',
        '_table',
        '_told_leaving',
        '_wake',
    )

    def __init__(
        self,
        *,
        table: peer_table.Table,
        events: peer_events.Events,
        sender: peer_sender.Sender,
        codec: heartbeats.Codec,
        pace: peer_pace.Pace,
        listing: peer_listing.Listing,
        wake: Callable[[str], bool],
        clock: Callable[[], float],
    ) -> None:
        self._table = table
        self._events = events
        self._sender = sender
        self._codec = codec
        self._pace = pace
        self._wake = wake
        self._clock = clock
        self._listing = listing
        self._started_at = clock()
        self._flag = peer_table.Flag()
        self._told_leaving = False

    def hear(self, heartbeat: messages.Heartbeat) -> peer_table.Record | None:
        """Take a heartbeat that came as a datagram; return its sender."""
        whole = self._complete(heartbeat)
        record = None if whole is None else self._find(whole)
        if whole is None or record is None:
            return None
        heartbeat = whole
        record.heard_at = self._clock()
        if heartbeat.asks:
            lasts = self._pace.answer_seconds(record)
            record.answered_until = record.heard_at + lasts
        record.sequence = heartbeat.sequence
        own = self._sender.identity.incarnation
        if heartbeat.receiver_incarnation == own:
            # Else it may speak of our predecessor, who may have left.
            record.note_echo(heartbeat.echo)
            if heartbeat.receiver_leaving:
                self._tell_told_leaving()
        elif heartbeat.receiver_leaving and self._is_meant(heartbeat):
            self._tell_told_leaving()
        if heartbeat.asks or record.attended:
            self._revive(record)
        for known in heartbeat.known:
            self._take_known(known)
        self._tell(record, heartbeat)
        return record

    def take_reply(
        self, record: peer_table.Record, reply: peer_messages.ProbeReply
    ) -> None:
        """Take the heartbeat that came with the reply to a probe.

        Where datagrams do not get through it is the only one, and it brings
        the load, the bundle's number and whether the peer leaves.
        """
        heartbeat = self._codec.decode(reply.heartbeat)
        if isinstance(heartbeat, heartbeats.Refused):
            return
        if heartbeat.instance != record.instance:
            return
        self._codec.expect(heartbeat)
        if self._find(heartbeat) is record:
            self._tell(record, heartbeat)

    def take_rows(self, rows: Iterable[store.Instance]) -> None:
        """Take a reading of the instance list."""
        now = self._clock()
        names = set()
        for row in rows:
            names.add(row.name)
            self._take_row(row, now)
        self._listing.note(len(names))
        for record in list(self._table):
            record.unlisted = record.instance not in names
            self.forget_if_gone(record)

    def forget_if_gone(self, record: peer_table.Record) -> None:
        """Forget a peer that nobody names and that does not live."""
        if record.is_gone() and not record.attended:
            self._table.remove(record.instance)

    def _is_meant(self, heartbeat: messages.Heartbeat) -> bool:
        """Return whether what a peer has read in the list is about us.

        A peer that does not hear us cannot name our incarnation.  As long
        as the list may lag it may speak of our predecessor.
        """
        age = self._clock() - self._started_at
        return not heartbeat.receiver_incarnation and age > peer_table.LIST_LAG

    def _complete(
        self, heartbeat: messages.Heartbeat
    ) -> messages.Heartbeat | None:
        """Fill in what a short heartbeat leaves out, if it is known."""
        if heartbeat.host:
            return heartbeat
        record = self._table.find(heartbeat.instance)
        if record is None or record.incarnation != heartbeat.incarnation:
            return None
        return msgspec.structs.replace(
            heartbeat,
            data_centre=record.data_centre,
            host=record.host,
            call_port=record.call_port,
            control_port=record.control_port,
            datagram_port=record.datagram_port,
            service=record.service,
        )

    def _find(self, heartbeat: messages.Heartbeat) -> peer_table.Record | None:
        """Return the record of the sender, brought up to date."""
        own = self._sender.identity
        if heartbeat.instance == own.instance:
            if heartbeat.incarnation != own.incarnation:
                logging.log_every_n_seconds(
                    logging.WARNING,
                    'another process uses the instance name %s',
                    10,
                    own.instance,
                )
            return None
        record = self._table.find(heartbeat.instance)
        if record is None:
            record = peer_table.record_of_heartbeat(heartbeat)
            if not self._table.add(record):
                return None
        if record.incarnation != heartbeat.incarnation:
            self._restart(record, heartbeat.incarnation)
        record.take(heartbeat)
        return record

    def _restart(self, record: peer_table.Record, incarnation: int) -> None:
        """Bury the last incarnation of a peer that has started anew."""
        if record.incarnation and record.state is not State.DEAD:
            self._events.tell_dead(record.show(self._clock()))
        record.restart(incarnation)

    def _revive(self, record: peer_table.Record) -> None:
        """Bring a heard peer to life, unless it does not hear us."""
        if record.state is State.UNREACHABLE:
            return
        deaf = self._clock() - record.unechoed_at
        if record.unechoed and deaf > self._pace.suspect_after(record):
            return
        if record.state in (State.LISTED, State.DEAD):
            self._table.learn(record)
        record.state = State.ALIVE

    def _tell(
        self, record: peer_table.Record, heartbeat: messages.Heartbeat
    ) -> None:
        self._events.tell_every_heartbeat(heartbeat)
        if heartbeat.asks or record.attended:
            if not record.may_work(self._clock()):
                heartbeat = msgspec.structs.replace(heartbeat, leaving=True)
            self._events.tell_heartbeat(heartbeat)
        self._tell_if_leaving(record)

    def _tell_if_leaving(self, record: peer_table.Record) -> None:
        now = self._clock()
        if record.told_leaving or not record.leaves(now):
            return
        record.told_leaving = True
        # The echo tells the leaving peer that it need not say it again.
        self._wake(record.instance)
        self._events.tell_leaving(record.show(now))

    def _tell_told_leaving(self) -> None:
        if self._told_leaving or self._sender.leaving:
            return
        self._told_leaving = True
        self._events.tell_told_leaving()

    def _take_row(self, row: store.Instance, now: float) -> None:
        if row.name == self._sender.identity.instance:
            self._flag.read(leaving=row.leaving, now=now)
            if self._flag.holds(now):
                self._tell_told_leaving()
            return
        record = self._table.find(row.name)
        if record is None:
            record = peer_table.record_of_row(row)
            if not self._table.add(record):
                return
        elif record.state is State.DEAD or not record.incarnation:
            record.move(row)
        record.flag.read(leaving=row.leaving, now=now)
        self._tell_if_leaving(record)
        if not record.attended and not record.said_leaving:
            if record.flag.holds(now):
                # Its own reading may be long ago, and so may its peers'.
                self._sender.send(record)

    def _take_known(self, known: messages.KnownInstance) -> None:
        if known.instance == self._sender.identity.instance:
            return
        if self._table.find(known.instance) is None:
            self._table.add(peer_table.record_of_known(known))
