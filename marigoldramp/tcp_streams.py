"""TCP streams for httpcore that cost little for each read.

httpcore's own stream opens a cancel scope, sets and drops a timer, and takes
the socket into and out of the selector, for each read.  On a relayed answer
that is done for each chunk, and it was the largest part of a chunk's cost.
This stream leaves the socket in the selector and has one timer for all
reads, which is moved on lazily.
"""

import asyncio
import contextlib
import select
import socket
import struct
from typing import Any
from typing import Callable
from typing import Protocol

import httpcore

#: Received bytes that wait for their reader before reading is paused.
MOST_WAITING = 262144
#: Received pieces that are kept apart.  A piece costs some 50 bytes beside its
#: own, which a peer that sends single bytes would multiply.
MOST_PIECES = 16
#: Value of ``SO_LINGER`` with which closing resets the connection.
_RESET_ON_CLOSE = struct.pack('ii', 1, 0)


class Backlog(Protocol):
    """Is told of the bytes that wait on a connection.

    Received bytes count from :meth:`Stream.limit_buffers`' ``most_uncounted``
    on.
    """

    def note_growth(self) -> None:
        """Note that more bytes wait to be taken or read."""

    def note_wait(self) -> None:
        """Note that a writer waits until no byte does."""

    def note_end(self) -> None:
        """Note that no byte waits that counts: all were taken or dropped."""


class Stream(asyncio.Protocol, httpcore.AsyncNetworkStream):
    """One connection, read and written by one task at a time."""

    __slots__ = (
        '_loop',
        '_transport',
        '_received',
        '_waiting',
        '_paused',
        '_ended',
        '_error',
        '_reader',
        '_writer',
        '_timer',
        '_due',
        '_end',
        '_on_end',
        '_most_unsent',
        '_system_most',
        '_most_waiting',
        '_most_uncounted',
        '_unparsed',
        '_backlog',
        '_passed',
        '_writing',
        '_noted',
    )

    def __init__(self) -> None:
        self._loop = asyncio.get_running_loop()
        self._transport: asyncio.Transport | None = None
        self._received: list[bytes] = []
        self._waiting = 0
        self._paused = False
        self._ended = False
        self._error: str | None = None
        self._reader: asyncio.Future[None] | None = None
        self._writer: asyncio.Future[None] | None = None
        self._timer: asyncio.TimerHandle | None = None
        self._due = 0.0
        self._end: asyncio.Future[None] | None = None
        self._on_end: Callable[[], None] | None = None
        self._most_unsent = 0
        self._system_most = 0
        self._most_waiting = MOST_WAITING
        self._most_uncounted = 0
        self._unparsed = 0
        self._backlog: Backlog | None = None
        self._passed = 0
        self._writing = 0
        self._noted = False

    # Called by the event loop

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Take the transport."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport

    def data_received(self, data: bytes) -> None:
        """Keep bytes for the reader; pause when they are many."""
        self._received.append(data)
        if len(self._received) > MOST_PIECES:
            self._received = [b''.join(self._received)]
        self._waiting += len(data)
        if self._waiting > self._most_waiting:
            self.hold_reading()
        self._note_received()
        _wake(self._reader)

    def eof_received(self) -> bool:
        """Note that the peer sends nothing more; the transport closes."""
        self._ended = True
        _wake(self._reader)
        self._note_end()
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Note the end, and why."""
        if exc is not None:
            self._error = str(exc) or type(exc).__name__
        self._ended = True
        self._transport = None
        _wake(self._reader)
        _wake(self._writer)
        self._note_end()
        if self._backlog is not None:
            self._backlog.note_end()
            # It refers to this stream, and what is held for both would be
            # freed only by the next garbage collection.
            self._backlog = None

    def pause_writing(self) -> None:
        """Make writers wait: the peer takes the bytes too slowly."""
        self._writer = self._loop.create_future()

    def resume_writing(self) -> None:
        """Let the writer go on."""
        _wake(self._writer)
        self._writer = None
        if self._backlog is not None:
            self._backlog.note_end()

    # Called by the program's own connections

    def limit_buffers(
        self,
        *,
        most_unsent: int,
        system_most: int,
        most_unread: int,
        most_uncounted: int,
        backlog: Backlog,
    ) -> None:
        """Limit what is buffered in both directions.

        :param most_unsent: unsent bytes above which writers wait.
        :param system_most: what the system may buffer beyond that, in bytes;
            the system doubles it.
        :param most_unread: unread bytes above which nothing is received.
        :param most_uncounted: unread bytes that the backlog is not told of.
        :param backlog: told of unsent bytes, and of further unread ones.
        """
        self._most_unsent = most_unsent
        self._system_most = 2 * system_most
        self._most_waiting = most_unread
        self._most_uncounted = most_uncounted
        self._backlog = backlog
        transport = self._open()
        transport.set_write_buffer_limits(high=0)
        transport.get_extra_info('socket').setsockopt(
            socket.SOL_SOCKET, socket.SO_SNDBUF, system_most
        )

    @property
    def has_ended(self) -> bool:
        """Whether the peer sends nothing more."""
        return self._ended

    @property
    def is_closed(self) -> bool:
        """Whether the connection is gone, with all that was unsent."""
        return self._transport is None

    async def wait_end(self) -> None:
        """Return when the peer has closed; what it sent stays to be read.

        One task may wait here while another one reads or writes.
        """
        if self._ended:
            return
        self._end = self._loop.create_future()
        await self._end

    def call_at_end(self, callback: Callable[[], None] | None) -> None:
        """Have a function called once the peer has closed, ``None`` for none.

        This costs less than a task in :meth:`wait_end`, and leaves nothing
        behind for the garbage collector.
        """
        self._on_end = callback
        if self._ended:
            self._note_end()

    def push(self, buffer: bytes) -> None:
        """Send bytes without waiting for the peer to take them.

        :raises httpcore.WriteError: the connection was lost.
        """
        if self._transport is None or self._transport.is_closing():
            raise httpcore.WriteError(self._error or 'the connection ended')
        self._passed += len(buffer)
        self._transport.write(buffer)

    @property
    def unsent(self) -> int:
        """Bytes that the peer's host has not taken yet."""
        if self._transport is None:
            return 0
        return self._transport.get_write_buffer_size()

    @property
    def held(self) -> int:
        """Bytes in memory for the peer.

        Those that a writer still has count, and the system's buffer, which is
        full if bytes are unsent.
        """
        unsent = self.unsent
        if unsent:
            unsent += self._system_most
        return unsent + self._writing

    @property
    def taken(self) -> int:
        """Bytes that the peer's host or this one's system has taken."""
        return self._passed - self.unsent

    @property
    def unread(self) -> int:
        """Received bytes that wait for their reader or to be parsed.

        It is 0 after the end.
        """
        if self._transport is None:
            return 0
        return self._waiting + self._unparsed

    @property
    def counts_unread(self) -> bool:
        """Whether more bytes are unread than go uncounted."""
        return self.unread > self._most_uncounted

    @property
    def room(self) -> int:
        """Bytes that may be received now; with them, reading is paused."""
        return max(1, self._most_waiting + 1 - self._waiting)

    def note_unparsed(self, size: int) -> None:
        """Record how many bytes the reader holds that are not parsed yet."""
        has_grown = size > self._unparsed
        self._unparsed = size
        if has_grown:
            self._note_received()
        else:
            self._note_read()

    def hold_reading(self) -> None:
        """Receive nothing more until :meth:`release_reading`."""
        if self._transport is not None and not self._paused:
            self._paused = True
            self._transport.pause_reading()

    def release_reading(self) -> None:
        """Receive again, unless many bytes wait for their reader."""
        if self._paused and self._waiting <= self._most_waiting:
            self._paused = False
            if self._transport is not None:
                self._transport.resume_reading()

    @property
    def is_above_limit(self) -> bool:
        """Whether more bytes are unsent than :meth:`limit_buffers` allows."""
        return self.unsent + self._writing > self._most_unsent

    async def wait_sent(self) -> None:
        """Wait until the peer's host has taken everything written.

        Return, too, when the connection has ended.
        """
        while self._writer is not None and self._transport is not None:
            await asyncio.wait((self._writer,))

    def finish(self) -> None:
        """Close once everything written has gone out."""
        if self._transport is not None:
            self._transport.close()

    def finish_writing(self) -> None:
        """Tell the peer that nothing more comes; it may still send.

        A peer that has reset the connection meanwhile needs no telling; the
        next read raises.
        """
        if self._transport is None or self._transport.is_closing():
            return
        with contextlib.suppress(OSError):
            self._transport.write_eof()

    def abort(self) -> None:
        """Close at once; what was not sent or read yet is dropped."""
        self.drop_unread()
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        if self._transport is not None:
            self._transport.abort()

    def drop_unread(self) -> None:
        """Drop what was received and not read."""
        self._received = []
        self._waiting = 0

    def reset(self) -> None:
        """Close at once; the peer sees an error and not an end.

        The system drops what it has buffered for the peer, too.
        """
        if self._transport is not None:
            with contextlib.suppress(OSError):
                self._transport.get_extra_info('socket').setsockopt(
                    socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE
                )
        self.abort()

    # Called by httpcore

    async def read(
        self, max_bytes: int, timeout: float | None = None
    ) -> bytes:
        """Return the next bytes; nothing when the peer has ended.

        :raises httpcore.ReadTimeout: nothing came in time.
        :raises httpcore.ReadError: the connection was lost.
        """
        if not self._received and not self._ended:
            self._set_due(timeout)
            self._reader = self._loop.create_future()
            try:
                await self._reader
            finally:
                self._reader = None
        if self._received:
            return self._take(max_bytes)
        if self._error is not None:
            raise httpcore.ReadError(self._error)
        if self._ended:
            return b''
        raise httpcore.ReadTimeout()

    async def write(self, buffer: bytes, timeout: float | None = None) -> None:
        """Send bytes; wait while the peer is far behind.

        :raises httpcore.WriteTimeout: the peer took too little in time.
        :raises httpcore.WriteError: the connection was lost.
        """
        if not buffer:
            return
        if 0 < self._most_unsent < len(buffer):
            await self._write_pieces(buffer, timeout)
            return
        self.push(buffer)
        if self._writer is None:
            return
        if self._backlog is not None:
            self._backlog.note_growth()
            if self.unsent <= self._most_unsent:
                return
            self._backlog.note_wait()
        done, _ = await asyncio.wait((self._writer,), timeout=timeout)
        if not done:
            raise httpcore.WriteTimeout()
        if self._transport is None:
            raise httpcore.WriteError(self._error or 'the connection ended')

    async def _write_pieces(
        self, buffer: bytes, timeout: float | None
    ) -> None:
        """Write a long buffer, of which the transport would keep a copy."""
        size = max(1, self._most_unsent // 4)
        self._writing = len(buffer)
        try:
            for start in range(0, len(buffer), size):
                await self.write(buffer[start : start + size], timeout)
        finally:
            self._writing = 0

    async def aclose(self) -> None:
        """Close the connection."""
        self.abort()

    def get_extra_info(self, info: str) -> Any:
        """Answer what httpcore asks of an idle connection."""
        if info == 'is_readable':
            return self._is_readable()
        return None

    # Parts

    def _open(self) -> asyncio.Transport:
        assert self._transport is not None
        return self._transport

    def _take(self, most: int) -> bytes:
        data = b''.join(self._received)
        taken, rest = data[:most], data[most:]
        self._received = [rest] if rest else []
        self._waiting = len(rest)
        self.release_reading()
        self._note_read()
        return taken

    def _note_end(self) -> None:
        """Tell those that wait for the end of the connection."""
        _wake(self._end)
        callback, self._on_end = self._on_end, None
        if callback is not None:
            callback()

    def _note_received(self) -> None:
        """Tell the backlog of unread bytes that count."""
        if self._backlog is not None and self.counts_unread:
            self._noted = True
            self._backlog.note_growth()

    def _note_read(self) -> None:
        """Tell the backlog once no byte waits any more that counts."""
        if not self._noted or self.counts_unread:
            return
        self._noted = False
        if self._backlog is not None and not self.held:
            self._backlog.note_end()

    def _is_readable(self) -> bool:
        """Whether bytes or an end have come, even if not yet looked at.

        On an idle connection both mean that the peer has closed it, or has
        sent what no request asked for.
        """
        if self._received or self._ended or self._transport is None:
            return True
        descriptor = self._transport.get_extra_info('socket').fileno()
        poll = select.poll()
        poll.register(descriptor, select.POLLIN)
        return bool(poll.poll(0))

    def _set_due(self, timeout: float | None) -> None:
        """Have the reader woken after a time.

        Most reads end early, so the timer stays as it is and looks at the
        time due when it fires.
        """
        if timeout is None:
            self._due = float('inf')
            return
        self._due = self._loop.time() + timeout
        if self._timer is not None:
            if self._timer.when() <= self._due:
                return
            self._timer.cancel()
        self._timer = self._loop.call_at(self._due, self._look_at_time)

    def _look_at_time(self) -> None:
        self._timer = None
        if self._reader is None or self._due == float('inf'):
            return
        if self._loop.time() >= self._due:
            _wake(self._reader)
        else:
            self._timer = self._loop.call_at(self._due, self._look_at_time)


def _wake(future: 'asyncio.Future[None] | None') -> None:
    if future is not None and not future.done():
        future.set_result(None)


SocketOption = tuple[int, int, int]


def probe_options(seconds: int) -> tuple[SocketOption, ...]:
    """Return options by which a connection breaks that has gone silent.

    Something between the two ends can lose track of an open connection.
    Nothing more arrives on it then, and nothing tells; only probes do.

    :param seconds: after which a peer that acknowledges nothing counts as
        lost, at least 2.
    """
    tcp = socket.IPPROTO_TCP
    return (
        (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
        (tcp, socket.TCP_KEEPIDLE, 1),
        (tcp, socket.TCP_KEEPINTVL, 1),
        (tcp, socket.TCP_KEEPCNT, max(1, seconds - 1)),
        (tcp, socket.TCP_USER_TIMEOUT, seconds * 1000),
    )


async def connect(
    *, host: str, port: int, options: tuple[SocketOption, ...] = ()
) -> Stream:
    """Open a connection.

    :raises OSError: it could not be opened.
    """
    loop = asyncio.get_running_loop()
    transport, stream = await loop.create_connection(Stream, host, port)
    for option in options:
        transport.get_extra_info('socket').setsockopt(*option)
    return stream
