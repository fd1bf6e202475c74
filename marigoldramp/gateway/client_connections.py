"""Bounds the connections of clients on all listeners together.

Each connection takes up a descriptor and memory, whatever its client does with
it.  When all that are allowed are open, those that can be closed with the
least harm make room for new ones: clients that send nothing, or never end what
they send, must not keep out those who come with a request.
"""

import enum
from typing import Callable

from absl import logging

from .. import logs
from .. import metrics as metrics_module
from .. import tcp_streams

#: Bytes that a connection may take up beside those that are bounded in sum:
#: its tasks and parsers, with what goes uncounted of the bytes, heads and
#: bodies that it sends and with the system's receive buffer.
CONNECTION_BYTES = 65536
#: Share of the process's memory that is bounded in sum elsewhere: unsent and
#: unread bytes, bodies of requests, and answers.
COUNTED_SHARE = 0.4
#: Bytes that a process takes up without any client, and for each endpoint.
PROCESS_BYTES = 40_000_000
ENDPOINT_BYTES = 5_000
#: File descriptors that are reserved for everything but clients.
RESERVED_DESCRIPTORS = 600
#: Connections that are allowed however small the instance is.
MIN_CONNECTIONS = 64
#: Connections that callers leave to the other listeners: those who ask for
#: addresses or readiness, and peers, are answered while all others are busy.
KEPT_CONNECTIONS = 32
#: Share of all connections that is closed at once when there is no room, so
#: that not each new one leads to a search.
BATCH_SHARE = 0.0625
#: Seconds for which a connection may be open without a request before it is
#: closed in favour of all others.
FIRST_REQUEST_SECONDS = 1.0
#: Seconds without progress from which a client counts as not reading.
STALLED_SECONDS = 1.0


def find_most(*, memory: int, descriptors: int, endpoints: int = 0) -> int:
    """Return how many connections may be open.

    :param memory: bytes that the process may use, 0 if not known.
    :param descriptors: descriptors that the process may have open.
    :param endpoints: endpoints that the process knows.
    """
    most = descriptors - RESERVED_DESCRIPTORS
    if memory:
        process = PROCESS_BYTES + ENDPOINT_BYTES * endpoints
        left = int((1.0 - COUNTED_SHARE) * memory) - process
        most = min(most, left // CONNECTION_BYTES)
    return max(MIN_CONNECTIONS, most)


class Activity(enum.Enum):
    """What a connection is occupied with."""

    FIRST_HEAD = enum.auto()
    IDLE = enum.auto()
    BODY = enum.auto()
    REQUEST = enum.auto()
    ENDING = enum.auto()


class _Rank(enum.IntEnum):
    """In which order connections are closed, the first one first."""

    NO_REQUEST = enum.auto()
    ENDING = enum.auto()
    IDLE = enum.auto()
    BODY = enum.auto()
    NOT_READING = enum.auto()
    SENDING_AHEAD = enum.auto()
    NEW = enum.auto()
    NEVER = enum.auto()


class ClientConnection:
    """One open connection.

    :ivar activity: what it is occupied with.
    :ivar since: time at which that began.
    """

    __slots__ = ('_clock', 'stream', 'activity', 'since', 'taken', 'taken_at')

    def __init__(
        self, *, stream: tcp_streams.Stream, clock: Callable[[], float]
    ) -> None:
        self._clock = clock
        self.stream = stream
        self.taken = 0
        self.note(Activity.FIRST_HEAD)

    def note(self, activity: Activity) -> None:
        """Record what the connection is occupied with from now on."""
        self.activity = activity
        self.since = self._clock()
        self.taken_at = self.since

    def look_at_progress(self, now: float) -> None:
        """Record whether the client has taken bytes since the last look."""
        taken = self.stream.taken
        if taken != self.taken or not self.stream.unsent:
            self.taken = taken
            self.taken_at = now

    def find_rank(self, now: float) -> _Rank:
        """Return where it stands in the order in which they are closed."""
        match self.activity:
            case Activity.FIRST_HEAD:
                is_new = now - self.since < FIRST_REQUEST_SECONDS
                return _Rank.NEW if is_new else _Rank.NO_REQUEST
            case Activity.ENDING:
                return _Rank.ENDING
            case Activity.IDLE:
                return _Rank.IDLE
            case Activity.BODY:
                return _Rank.BODY
        if now - self.taken_at >= STALLED_SECONDS:
            return _Rank.NOT_READING
        if self.stream.counts_unread:
            return _Rank.SENDING_AHEAD
        return _Rank.NEVER


class ClientConnections:
    """The open connections of all listeners.

    :param most: returns how many there may be.
    """

    __slots__ = ('_most', '_metrics', '_clock', '_open')

    def __init__(
        self,
        *,
        most: Callable[[], int],
        metrics: metrics_module.Metrics,
        clock: Callable[[], float],
    ) -> None:
        self._most = most
        self._metrics = metrics
        self._clock = clock
        self._open: dict[tcp_streams.Stream, ClientConnection] = {}
        metrics.gauge('client_connections', lambda: float(len(self)))

    def __len__(self) -> int:
        return len(self._open)

    def add(
        self, stream: tcp_streams.Stream, *, kept: int = 0
    ) -> ClientConnection | None:
        """Add a new connection; return ``None`` if there is no room for it.

        :param kept: how many it leaves to others.
        """
        most = self._most() - kept
        if len(self._open) >= most and not self._make_room(most):
            self._metrics.count('refused_connections')
            return None
        added = ClientConnection(stream=stream, clock=self._clock)
        self._open[stream] = added
        return added

    def remove(self, stream: tcp_streams.Stream) -> None:
        """Remove a connection that has ended."""
        self._open.pop(stream, None)

    def _make_room(self, most: int) -> bool:
        """Close the connections that can be closed with the least harm.

        Return whether there is room for a new one.
        """
        now = self._clock()
        for one in self._open.values():
            one.look_at_progress(now)
        ranked = [
            (one.find_rank(now), one.since, number, one)
            for number, one in enumerate(self._open.values())
        ]
        ranked.sort()
        excess = len(self._open) + 1 - most
        count = max(excess, int(BATCH_SHARE * most))
        closed = 0
        for rank, _, _, one in ranked[:count]:
            if rank is _Rank.NEVER:
                break
            if closed >= excess and rank is not ranked[0][0]:
                # Only as many of the less harmless as are needed.
                break
            self._close(one)
            closed += 1
        if closed:
            logging.warning(
                'connections closed for new ones',
                extra=logs.fields(
                    closed=closed,
                    first=ranked[0][0].name.lower(),
                    open=len(self._open),
                    most=most,
                ),
            )
        return closed >= excess

    def _close(self, connection: ClientConnection) -> None:
        self.remove(connection.stream)
        self._metrics.count(
            'closed_connections', activity=connection.activity.name.lower()
        )
        connection.stream.reset()
