"""Bounds what is buffered for callers that read slowly.

What callers send before it is read counts, too; the bodies of requests are
bounded by :mod:`.request_bodies`.

Each connection may hold some bytes before its writers wait, and with them the
reading of the endpoint's response.  Thousands of such connections could still
use up the memory of the process.  If their sum exceeds a bound, connections
are aborted, so that all other callers are served on.
"""

from typing import Callable

from absl import logging

from .. import logs
from .. import metrics as metrics_module
from .. import tcp_streams
from . import client_connections
from . import inbound

#: Unsent bytes of a connection from which its writers wait: some hundred
#: events, or most answers as a whole.
MAX_UNSENT_BYTES = 65536
#: Size of the system's send buffer, which the system doubles.  Without it, the
#: buffer grows to some megabytes, which count as memory of the instance.
SEND_BUFFER_BYTES = 16384
#: Bytes received from a caller from which nothing more is received until they
#: are read: most requests as a whole.
MAX_UNREAD_BYTES = 32768
#: Bytes received from a caller that do not count: a few ordinary requests.
UNCOUNTED_BYTES = 4096
#: Share of the process's memory that all connections together may hold.
MEMORY_SHARE = 0.2
#: The same in bytes if the memory of the process is not known.
DEFAULT_SUM_BYTES = 33554432
#: Connections are aborted until this share of the bound is left, so that the
#: next bytes do not lead to a new search at once.
RELIEF_SHARE = 0.9
#: Seconds without progress after which a connection is aborted rather than
#: one whose caller reads, whatever they hold.
STALLED_SECONDS = client_connections.STALLED_SECONDS


def find_sum_bound(memory: int) -> int:
    """Return how many bytes all connections together may hold.

    :param memory: bytes that the process may use, 0 if not known.
    """
    return int(MEMORY_SHARE * memory) or DEFAULT_SUM_BYTES


class _Backlog:
    """What is held for one caller.

    :ivar counted: bytes that are included in the sum.
    :ivar taken: see :attr:`.tcp_streams.Stream.taken`, when last looked at.
    :ivar progress_at: when ``taken`` was last found to have grown.
    """

    __slots__ = (
        '_buffers',
        'stream',
        'connection',
        'counted',
        'taken',
        'progress_at',
    )

    def __init__(
        self,
        *,
        buffers: 'ResponseBuffers',
        stream: tcp_streams.Stream,
        connection: inbound.Connection,
    ) -> None:
        self._buffers = buffers
        self.stream = stream
        self.connection = connection
        self.counted = 0
        self.taken = -1
        self.progress_at = float('-inf')

    def note_growth(self) -> None:
        """Note that more bytes wait for the caller."""
        self._buffers.note_growth(self)

    def note_wait(self) -> None:
        """Stop the endpoint's response while its relay waits.

        What is held cannot grow then, so it need not be looked at again.
        """
        source = self.connection.source
        if source is not None:
            source.hold()

    def note_end(self) -> None:
        """Note that no byte waits for the caller."""
        self._buffers.note_end(self)
        source = self.connection.source
        if source is not None:
            source.release()

    def count(self) -> int:
        """Return the bytes held now."""
        source = self.connection.source
        unread = 0 if source is None else source.count_unread()
        return self.stream.held + self.stream.unread + unread


class ResponseBuffers:
    """What is held for all callers together.

    :param most: returns how many bytes that may be.
    """

    __slots__ = ('_most', '_metrics', '_clock', '_backlogs', '_sum')

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
        self._backlogs: set[_Backlog] = set()
        # What callers have taken since they were last looked at is still
        # included, so it is at least what they hold.
        self._sum = 0
        metrics.gauge('buffered_response_bytes', lambda: float(self.count()))
        metrics.gauge(
            'slow_caller_connections', lambda: float(self.count_slow())
        )

    def add(
        self, *, stream: tcp_streams.Stream, connection: inbound.Connection
    ) -> None:
        """Bound what a new connection holds."""
        stream.limit_buffers(
            most_unsent=MAX_UNSENT_BYTES,
            system_most=SEND_BUFFER_BYTES,
            most_unread=MAX_UNREAD_BYTES,
            most_uncounted=UNCOUNTED_BYTES,
            backlog=_Backlog(
                buffers=self, stream=stream, connection=connection
            ),
        )

    def count(self) -> int:
        """Return the bytes held for all callers."""
        return sum(one.count() for one in list(self._backlogs))

    def count_slow(self) -> int:
        """Return the number of connections above their own bound."""
        return sum(one.stream.is_above_limit for one in list(self._backlogs))

    def note_growth(self, backlog: _Backlog) -> None:
        """Record that a connection holds more bytes."""
        self._backlogs.add(backlog)
        self._look_at(backlog, self._clock())
        if self._sum > self._most():
            self._relieve()

    def note_end(self, backlog: _Backlog) -> None:
        """Record that a connection holds no unsent bytes."""
        if backlog.stream.counts_unread:
            self._look_at(backlog, self._clock())
        else:
            self._remove(backlog)

    def _remove(self, backlog: _Backlog) -> None:
        self._backlogs.discard(backlog)
        self._sum -= backlog.counted
        backlog.counted = 0
        backlog.taken = -1

    def _look_at(self, backlog: _Backlog, now: float) -> None:
        """Update the counted bytes and the progress of a connection."""
        held = backlog.count()
        self._sum += held - backlog.counted
        backlog.counted = held
        taken = backlog.stream.taken
        if taken > backlog.taken:
            backlog.taken = taken
            backlog.progress_at = now

    def _relieve(self) -> None:
        """Abort connections if the sum really exceeds its bound."""
        now = self._clock()
        for backlog in self._backlogs:
            self._look_at(backlog, now)
        if self._sum <= self._most():
            return
        order = sorted(
            self._backlogs,
            key=lambda one: (
                now - one.progress_at >= STALLED_SECONDS,
                one.counted,
            ),
        )
        while order and self._sum > RELIEF_SHARE * self._most():
            self._abort(order.pop(), now)

    def _abort(self, backlog: _Backlog, now: float) -> None:
        held = backlog.counted
        self._remove(backlog)
        # The rest of the response is dropped with its end, so that it cannot
        # look complete.
        backlog.stream.reset()
        self._metrics.count('aborted_slow_callers')
        logging.warning(
            'slow caller aborted',
            extra=logs.fields(
                request=backlog.connection.attempt_id,
                bytes=held,
                idle=round(now - backlog.progress_at, 3),
                sum=self._sum + held,
                bound=self._most(),
            ),
        )
