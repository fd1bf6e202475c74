"""What one process knows of its peers: a bounded table of records."""

import dataclasses
import enum
import math
from typing import Iterator

from . import messages
from . import store

#: Seconds by which the instance list may lag.  It may show an instance as
#: leaving that has restarted since; such a flag counts only if the list has
#: shown this start of the instance as staying, or once it persists for longer.
LIST_LAG = 10.0
MILLISECONDS = 1000


class State(enum.StrEnum):
    """How a peer looks from here.

    ``listed``: named by the list or by a peer, not heard itself.
    ``alive``: its heartbeats come.
    ``suspect``: silent, or somebody saw an error; being verified.
    ``unreachable``: its heartbeats come, but fresh connections fail.
    ``silent``: fresh connections work, but its heartbeats do not come.
    ``dead``: silent in one direction or both, and a fresh connection failed.
    """

    LISTED = 'listed'
    ALIVE = 'alive'
    SUSPECT = 'suspect'
    UNREACHABLE = 'unreachable'
    SILENT = 'silent'
    DEAD = 'dead'


#: States in which a peer may be given work.
USABLE = frozenset({State.ALIVE, State.SUSPECT, State.SILENT})


#: States in which a peer may live.
HOPEFUL = USABLE | {State.LISTED}


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Peer:
    """A peer as it looked when it was asked for."""

    instance: str
    role: messages.Role
    data_centre: str
    host: str
    call_port: int
    control_port: int
    datagram_port: int
    service: str
    incarnation: int
    state: State
    leaving: bool
    bundle: int
    load: messages.Load | None


@dataclasses.dataclass(slots=True, kw_only=True)
class Flag:
    """Whether the instance list shows an instance as leaving, and since when.

    :ivar stayed: the list has shown this incarnation as staying.
    :ivar since: monotonic time of the first reading as leaving.
    """

    stayed: bool = False
    since: float | None = None

    def read(self, *, leaving: bool, now: float) -> None:
        """Take one reading of the list."""
        if not leaving:
            self.stayed = True
            self.since = None
        elif self.since is None:
            self.since = now

    def holds(self, now: float) -> bool:
        """Return whether the flag is about the present incarnation."""
        if self.since is None:
            return False
        return self.stayed or now - self.since >= LIST_LAG


@dataclasses.dataclass(slots=True, kw_only=True)
class Record:
    """Everything kept about one peer.

    :ivar heard_at: monotonic time of its last heartbeat.
    :ivar answered_until: monotonic time until which it is answered, since
        it has asked for that.
    :ivar interval: seconds, the least between two heartbeats that it wants.
    :ivar sequence: its last sequence, which is echoed to it.
    :ivar echoed: our last sequence that it has echoed.
    :ivar unechoed: the oldest sequence sent to it that it has not echoed,
        0 for none, and ``unechoed_at`` when that was sent.
    :ivar said_leaving: it says itself that it leaves.
    :ivar told_leaving: callbacks have been told that it leaves.
    :ivar unlisted: the instance list has been read and does not name it.
    :ivar doubted: somebody saw an error, so it has to be verified now.
    :ivar chosen: this process heartbeats it unasked.
    :ivar attended: a task runs for it.
    :ivar learned: place in the order in which peers were first heard.
    :ivar wants_known: its instance list is away.
    :ivar told_known: it has been told the peers learned up to here.
    :ivar pending_known: and up to here by the heartbeat ``pending_in``, once
        that is echoed.
    """

    instance: str
    role: messages.Role
    data_centre: str
    host: str
    call_port: int = 0
    control_port: int
    datagram_port: int
    service: str = ''
    incarnation: int = 0
    state: State = State.LISTED
    bundle: int = 0
    load: messages.Load | None = None
    heard_at: float = -math.inf
    answered_until: float = -math.inf
    interval: float = 0.0
    sequence: int = 0
    echoed: int = 0
    unechoed: int = 0
    unechoed_at: float = 0.0
    said_leaving: bool = False
    told_leaving: bool = False
    unlisted: bool = False
    flag: Flag = dataclasses.field(default_factory=Flag)
    doubted: bool = False
    chosen: bool = False
    attended: bool = False
    learned: int = 0
    wants_known: bool = False
    told_known: int = 0
    pending_known: int = 0
    pending_in: int = 0

    def is_gone(self) -> bool:
        """Return whether the list no longer names it and it is not heard."""
        silent = self.state in (State.DEAD, State.LISTED)
        return silent and self.unlisted

    def is_asking(self, now: float) -> bool:
        """Return whether it heartbeats us of its own choice."""
        return now < self.answered_until

    def leaves(self, now: float) -> bool:
        """Return whether it leaves, by its own word or by the list's."""
        return self.said_leaving or self.flag.holds(now)

    def may_work(self, now: float) -> bool:
        """Return whether it may be given work."""
        return self.state in USABLE and not self.leaves(now)

    def restart(self, incarnation: int) -> None:
        """Forget what was true of its last incarnation only."""
        self.incarnation = incarnation
        self.sequence = 0
        self.echoed = 0
        self.unechoed = 0
        self.said_leaving = False
        self.told_leaving = False
        self.flag = Flag()
        self.told_known = 0
        self.pending_known = 0

    def move(self, row: store.Instance) -> None:
        """Take over the addresses that the list gives."""
        self.host = row.host
        self.call_port = row.call_port
        self.control_port = row.control_port
        self.datagram_port = row.datagram_port
        self.service = row.service

    def take(self, heartbeat: messages.Heartbeat) -> None:
        """Take over what a heartbeat says of its sender."""
        self.role = heartbeat.role
        self.data_centre = heartbeat.data_centre
        self.host = heartbeat.host
        self.call_port = heartbeat.call_port
        self.control_port = heartbeat.control_port
        self.datagram_port = heartbeat.datagram_port
        self.service = heartbeat.service
        self.interval = heartbeat.interval_ms / MILLISECONDS
        self.bundle = heartbeat.bundle
        self.load = heartbeat.load
        self.said_leaving = heartbeat.leaving
        self.wants_known = heartbeat.wants_known

    def note_sent(self, sequence: int, now: float) -> None:
        """Remember the oldest heartbeat that has not been echoed."""
        if not self.unechoed:
            self.unechoed = sequence
            self.unechoed_at = now

    def note_echo(self, echo: int) -> None:
        """Take the last sequence of ours that it says to have seen."""
        self.echoed = max(self.echoed, echo)
        if self.unechoed and echo >= self.unechoed:
            self.unechoed = 0
        if self.pending_in and echo >= self.pending_in:
            self.told_known = self.pending_known
            self.pending_in = 0

    def show(self, now: float) -> Peer:
        """Return the record as others may keep it."""
        return Peer(
            instance=self.instance,
            role=self.role,
            data_centre=self.data_centre,
            host=self.host,
            call_port=self.call_port,
            control_port=self.control_port,
            datagram_port=self.datagram_port,
            service=self.service,
            incarnation=self.incarnation,
            state=self.state,
            leaving=self.leaves(now),
            bundle=self.bundle,
            load=self.load,
        )


class Table:
    """Records by instance name, at most ``most`` of them."""

    __slots__ = ('_most', '_records', 'learned', 'refused')

    def __init__(self, *, most: int) -> None:
        self._most = most
        self._records: dict[str, Record] = {}
        self.learned = 0
        self.refused = 0

    def __iter__(self) -> Iterator[Record]:
        return iter(self._records.values())

    def __len__(self) -> int:
        return len(self._records)

    def find(self, instance: str) -> Record | None:
        """Return the record of an instance."""
        return self._records.get(instance)

    def add(self, record: Record) -> bool:
        """Add a record if there is room, and return whether there was."""
        if len(self._records) >= self._most and not self._make_room():
            self.refused += 1
            return False
        self._records[record.instance] = record
        return True

    def remove(self, instance: str) -> None:
        """Forget an instance."""
        self._records.pop(instance, None)

    def learn(self, record: Record) -> None:
        """Note that a peer was heard for the first time in this life."""
        self.learned += 1
        record.learned = self.learned

    def _make_room(self) -> bool:
        """Forget a dead peer, else one that was never heard."""
        for state in (State.DEAD, State.LISTED):
            for record in self:
                if record.state is state and not record.attended:
                    self.remove(record.instance)
                    return True
        return False


def record_of_row(row: store.Instance) -> Record:
    """Return the record of a row of the instance list."""
    entry = row.role == 'entry'
    return Record(
        instance=row.name,
        role=messages.Role.ENTRY if entry else messages.Role.AGENT,
        data_centre=row.data_centre,
        host=row.host,
        call_port=row.call_port,
        control_port=row.control_port,
        datagram_port=row.datagram_port,
        service=row.service,
    )


def record_of_heartbeat(heartbeat: messages.Heartbeat) -> Record:
    """Return a record that :meth:`Record.take` completes."""
    return Record(
        instance=heartbeat.instance,
        role=heartbeat.role,
        data_centre=heartbeat.data_centre,
        host=heartbeat.host,
        control_port=heartbeat.control_port,
        datagram_port=heartbeat.datagram_port,
    )


def record_of_known(known: messages.KnownInstance) -> Record:
    """Return the record of an instance of which a peer has told."""
    return Record(
        instance=known.instance,
        role=known.role,
        data_centre=known.data_centre,
        host=known.host,
        control_port=known.control_port,
        datagram_port=known.datagram_port,
        service=known.service,
    )
