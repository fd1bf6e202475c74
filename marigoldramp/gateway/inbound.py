"""Serves HTTP requests on connections of callers.

h11 implements the protocol.  This module adds limits on time and size, detects
at once when a caller disconnects, and makes sure that an unfinished response
does not look complete.
"""

import enum
import http
from typing import Awaitable
from typing import Callable
from typing import Protocol

from absl import logging
import anyio
import h11
import httpcore
import msgspec

from .. import logs
from .. import tcp_streams
from . import boot_clock
from . import client_connections
from . import codecs
from . import deployment
from . import request_bodies
from . import request_targets

READ_BYTES = 65536
#: Bytes that are read at once before the head of a request is complete.  The
#: parser keeps what belongs to the next requests.
HEAD_READ_BYTES = 4096
#: Requests that a client may send ahead of the answers without a pause between
#: them, and the pause from then on, in seconds.  Other connections are served
#: meanwhile.
MOST_AHEAD = 16
AHEAD_PAUSE_SECONDS = 0.1
#: Memory that a header takes up beside its bytes.
HEADER_BYTES = 160
#: Seconds after which a request may come again that found no memory.
RETRY_AFTER_SECONDS = 1
#: Seconds for which a connection is still read after a response that was sent
#: before the request's end.  Closing it with unread bytes resets it, and the
#: caller may never see the response.
DRAIN_SECONDS = 1.0
#: Limits while no configuration is known.
DEFAULT_LIMITS = deployment.Limits(
    head_bytes=16384,
    body_bytes=1048576,
    head_seconds=3.0,
    idle_seconds=15.0,
)


class Head(msgspec.Struct, frozen=True, kw_only=True):
    """Head of a request.

    :ivar target: path and query as sent, or ``*``; see
        :mod:`.request_targets`.
    :ivar headers: all headers; names are in lower case.
    :ivar arrived: when it was complete, by :func:`.boot_clock.read_clock`.
    """

    method: bytes
    target: bytes
    host: str
    headers: codecs.Headers
    arrived: float

    @property
    def path(self) -> str:
        """The target without its query."""
        return self.target.partition(b'?')[0].decode('latin-1')

    @property
    def query(self) -> str:
        """The query without the question mark."""
        return self.target.partition(b'?')[2].decode('latin-1')

    @property
    def has_body(self) -> bool:
        """Whether a body follows, even if it may turn out to be empty."""
        return any(
            name == b'transfer-encoding'
            or (name == b'content-length' and value != b'0')
            for name, value in self.headers
        )


class BodyFault(enum.Enum):
    """Why the body of a request was not accepted."""

    TOO_LARGE = enum.auto()
    TOO_SLOW = enum.auto()
    NO_ROOM = enum.auto()
    BROKEN = enum.auto()


class Source(Protocol):
    """A connection from which a response is relayed."""

    def count_unread(self) -> int:
        """Return the received bytes that wait to be read."""

    def hold(self) -> None:
        """Receive nothing more until released."""

    def release(self) -> None:
        """Receive again."""


class Exchange:
    """One request and its response.

    :ivar attempt_id: identifier of the attempt, set by the caller; empty while
        unknown.
    :ivar begun: the response head has been sent.
    :ivar ended: the complete response has been sent.
    :ivar source: where the response is relayed from, if it is a stream.
    """

    __slots__ = (
        'head',
        'attempt_id',
        'begun',
        'ended',
        'source',
        '_is_stopping',
        '_stream',
        '_h11',
        '_client',
        '_bodies',
        '_reserved',
    )

    def __init__(
        self,
        *,
        head: Head,
        stream: tcp_streams.Stream,
        connection: h11.Connection,
        is_stopping: Callable[[], bool],
        client: client_connections.ClientConnection | None = None,
        bodies: request_bodies.RequestBodies | None = None,
    ) -> None:
        self.head = head
        self.attempt_id = ''
        self.begun = False
        self.ended = False
        self.source: Source | None = None
        self._is_stopping = is_stopping
        self._stream = stream
        self._h11 = connection
        self._client = client
        self._bodies = bodies
        self._reserved = 0

    def reserve_head(self) -> bool:
        """Reserve memory for the head; return whether there is room."""
        return self._reserve(0)

    def close(self) -> None:
        """Release what is held for the request, once it is served."""
        self.source = None
        if self._bodies is not None:
            self._bodies.release(self._reserved)
        self._reserved = 0

    async def read_body(
        self, *, max_bytes: int, seconds: float
    ) -> bytes | BodyFault:
        """Return the complete body, or why it was not accepted."""
        if self._declared_length() > max_bytes:
            return BodyFault.TOO_LARGE
        try:
            with anyio.fail_after(seconds):
                return await self._read_body(max_bytes)
        except TimeoutError:
            return BodyFault.TOO_SLOW
        except (h11.RemoteProtocolError, httpcore.NetworkError):
            return BodyFault.BROKEN

    async def respond(
        self, *, status: int, headers: codecs.Headers, body: bytes
    ) -> None:
        """Send a complete response."""
        response_headers = [
            pair for pair in headers if pair[0] != b'content-length'
        ]
        response_headers.append((b'content-length', b'%d' % len(body)))
        await self.begin(status=status, headers=response_headers)
        if self.head.method != b'HEAD':
            await self.send(body)
        await self.end()

    async def begin(self, *, status: int, headers: codecs.Headers) -> None:
        """Send the response head."""
        self._note(client_connections.Activity.REQUEST)
        self._read_end()
        sent_headers = list(headers)
        if self._is_stopping() or self._h11.their_state is h11.SEND_BODY:
            sent_headers.append((b'connection', b'close'))
        self.begun = True
        await self._write(
            self._h11.send(
                h11.Response(
                    status_code=status,
                    headers=sent_headers,
                    reason=_find_reason_phrase(status),
                )
            )
        )

    async def send(self, chunk: bytes) -> None:
        """Send a part of the response body."""
        if chunk:
            await self._write(self._h11.send(h11.Data(data=chunk)))

    async def end(self) -> None:
        """End the response."""
        await self._write(self._h11.send(h11.EndOfMessage()))
        self.ended = True

    def _declared_length(self) -> int:
        for name, value in self.head.headers:
            if name == b'content-length' and value.isdigit():
                return int(value)
        return 0

    async def _read_body(self, max_bytes: int) -> bytes | BodyFault:
        if self._h11.they_are_waiting_for_100_continue:
            await self._write(
                self._h11.send(
                    h11.InformationalResponse(status_code=100, headers=[])
                )
            )
        body = bytearray()
        while True:
            event = self._h11.next_event()
            match event:
                case h11.Data():
                    body += event.data
                    if len(body) > max_bytes:
                        return BodyFault.TOO_LARGE
                    if not self._reserve(len(body)):
                        return BodyFault.NO_ROOM
                case h11.EndOfMessage():
                    self._note(client_connections.Activity.REQUEST)
                    self._stream.note_unparsed(_count_unparsed(self._h11))
                    return bytes(body)
                case h11.NEED_DATA:
                    data = await self._stream.read(READ_BYTES)
                    self._h11.receive_data(data)
                case _:
                    return BodyFault.BROKEN

    def _read_end(self) -> None:
        """Read the end of a request that has no body, if nothing else has.

        The connection could not be used again otherwise.
        """
        if self._h11.their_state is h11.SEND_BODY and not self.head.has_body:
            self._h11.next_event()

    def _note(self, activity: client_connections.Activity) -> None:
        if self._client is not None:
            self._client.note(activity)

    def _reserve(self, body_size: int) -> bool:
        """Reserve memory for the request; return whether there is room."""
        if self._bodies is None:
            return True
        size = _estimate_memory(self.head) + body_size
        if not self._bodies.reserve(before=self._reserved, size=size):
            return False
        self._reserved = size
        return True

    async def _write(self, data: bytes | None) -> None:
        if data:
            await self._stream.write(data)


Handler = Callable[[Exchange], Awaitable[None]]


class Connection:
    """One connection of a caller.

    :param limits: returns the current limits.
    :param is_stopping: returns whether the process is being stopped.
    :param client: the connection among all others, ``None`` if there is no
        bound on these.
    :param bodies: bounds the heads and bodies of all requests, ``None`` if
        they are bounded one by one only.
    """

    __slots__ = (
        '_stream',
        '_h11',
        '_handler',
        '_limits',
        '_is_stopping',
        '_idle_since',
        '_exchange',
        '_client',
        '_bodies',
    )

    def __init__(
        self,
        *,
        stream: tcp_streams.Stream,
        handler: Handler,
        limits: Callable[[], deployment.Limits],
        is_stopping: Callable[[], bool],
        client: client_connections.ClientConnection | None = None,
        bodies: request_bodies.RequestBodies | None = None,
    ) -> None:
        self._client = client
        self._bodies = bodies
        self._stream = stream
        self._handler = handler
        self._limits = limits
        self._is_stopping = is_stopping
        self._h11 = h11.Connection(
            h11.SERVER, max_incomplete_event_size=limits().head_bytes
        )
        self._idle_since = float('inf')
        self._exchange: Exchange | None = None

    @property
    def attempt_id(self) -> str:
        """Identifier of the current request's attempt, empty while unknown."""
        return '' if self._exchange is None else self._exchange.attempt_id

    @property
    def source(self) -> Source | None:
        """Where the current response is relayed from."""
        return None if self._exchange is None else self._exchange.source

    async def serve(self) -> None:
        """Serve requests until the connection ends."""
        ahead = 0
        try:
            while await self._serve_one() and await self._wait_sent():
                self._h11.start_next_cycle()
                self._note(client_connections.Activity.IDLE)
                ahead = ahead + 1 if self._stream.unread else 0
                await self._let_others_run(ahead)
            self._note(client_connections.Activity.ENDING)
            if self._h11.our_state is h11.MUST_CLOSE:
                await self._drain()
        except (httpcore.NetworkError, httpcore.TimeoutException):
            return
        if not await self._wait_sent():
            self._stream.reset()

    def close_if_idle(self, *, longer_than: float) -> None:
        """Close the connection if no request is being read or served.

        :param longer_than: seconds for which it must have been idle.
        """
        if self._stream.unread:
            # A request has arrived that nothing has taken up yet.
            return
        if boot_clock.read_clock() - self._idle_since > longer_than:
            self._stream.finish()

    async def _let_others_run(self, ahead: int) -> None:
        """Let other connections be served before a request sent ahead.

        :param ahead: requests in a row that came before the answer to the
            one before them was written.
        """
        if ahead > MOST_AHEAD:
            await anyio.sleep(AHEAD_PAUSE_SECONDS)
        elif ahead:
            await anyio.sleep(0.0)

    async def _wait_sent(self) -> bool:
        """Wait until the client's host has taken all responses.

        Return whether it has; a client that takes nothing for the time that
        it may be idle is not waited for.  The next request is served only
        then, as the responses would pile up otherwise.
        """
        while self._stream.unsent:
            taken = self._stream.taken
            with anyio.move_on_after(self._limits().idle_seconds):
                await self._stream.wait_sent()
            if self._stream.taken == taken:
                return False
        await self._stream.wait_sent()
        return True

    def _note(self, activity: client_connections.Activity) -> None:
        if self._client is not None:
            self._client.note(activity)

    async def _serve_one(self) -> bool:
        """Serve one request; return whether another one can follow."""
        try:
            head = await self._read_head()
        except h11.RemoteProtocolError as error:
            await self._send_error(error.error_status_hint)
            return False
        except TimeoutError:
            await self._send_error(http.HTTPStatus.REQUEST_TIMEOUT)
            return False
        except ValueError as error:
            logging.info(
                'request not understood', extra=logs.fields(detail=str(error))
            )
            await self._send_error(http.HTTPStatus.BAD_REQUEST)
            return False
        if head is None:
            return False
        if _measure_head(head) > self._limits().head_bytes:
            await self._send_error(
                http.HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE
            )
            return False
        exchange = Exchange(
            head=head,
            stream=self._stream,
            connection=self._h11,
            is_stopping=self._is_stopping,
            client=self._client,
            bodies=self._bodies,
        )
        if not exchange.reserve_head():
            logging.info(
                'request refused', extra=logs.fields(detail='no memory')
            )
            await self._send_error(http.HTTPStatus.SERVICE_UNAVAILABLE)
            return False
        self._exchange = exchange
        self._note(client_connections.Activity.BODY)
        try:
            await self._run_handler(exchange)
        finally:
            exchange.close()
            self._exchange = None
        if not exchange.ended:
            # The connection is closed before the response's end, which shows
            # the caller that the response is incomplete.
            if self._stream.has_ended:
                # Nobody takes what is still buffered.
                self._stream.abort()
            return False
        return (
            self._h11.our_state is h11.DONE
            and self._h11.their_state is h11.DONE
        )

    async def _read_head(self) -> Head | None:
        """Return the head of the next request; ``None`` if none arrives.

        :raises TimeoutError: a head was started and not finished in time.
        :raises ValueError: the target of the request cannot be read.
        """
        limits = self._limits()
        event = self._h11.next_event()
        if event is h11.NEED_DATA and not _count_unparsed(self._h11):
            self._idle_since = boot_clock.read_clock()
            try:
                data = await self._stream.read(
                    HEAD_READ_BYTES, timeout=limits.idle_seconds
                )
            except httpcore.ReadTimeout:
                return None
            finally:
                self._idle_since = float('inf')
            if not data:
                return None
            self._h11.receive_data(data)
            event = self._h11.next_event()
        with anyio.fail_after(limits.head_seconds):
            while event is h11.NEED_DATA:
                self._stream.note_unparsed(_count_unparsed(self._h11))
                data = await self._stream.read(HEAD_READ_BYTES)
                self._h11.receive_data(data)
                event = self._h11.next_event()
        self._stream.note_unparsed(_count_unparsed(self._h11))
        if not isinstance(event, h11.Request):
            return None
        return _make_head(event)

    async def _run_handler(self, exchange: Exchange) -> None:
        """Run the handler; cancel it when the caller disconnects."""
        with anyio.CancelScope() as scope:
            self._stream.call_at_end(scope.cancel)
            try:
                await self._handler(exchange)
            except (httpcore.NetworkError, httpcore.TimeoutException) as error:
                # The caller's connection failed during a write.
                logging.info(
                    'caller lost', extra=logs.fields(detail=repr(error))
                )
            except Exception:
                # One request that meets a fault of the program must get an
                # answer, and must not end what serves the others.
                logging.exception(
                    'request failed',
                    extra=logs.fields(request=exchange.attempt_id),
                )
                await self._send_fault(exchange)
            finally:
                self._stream.call_at_end(None)

    async def _send_fault(self, exchange: Exchange) -> None:
        """Respond to a request of which it is not known whether it has run."""
        if not exchange.begun:
            await self._send_error(http.HTTPStatus.INTERNAL_SERVER_ERROR)

    async def _send_error(self, status: int) -> None:
        """Respond to a request that cannot be read, and end the connection."""
        if self._h11.our_state not in (h11.IDLE, h11.SEND_RESPONSE):
            return
        headers = [(b'content-length', b'0'), (b'connection', b'close')]
        if status == http.HTTPStatus.SERVICE_UNAVAILABLE:
            headers.append((b'retry-after', b'%d' % RETRY_AFTER_SECONDS))
        head = h11.Response(
            status_code=status,
            headers=headers,
            reason=_find_reason_phrase(status),
        )
        data = self._h11.send(head) or b''
        data += self._h11.send(h11.EndOfMessage()) or b''
        await self._stream.write(data)

    async def _drain(self) -> None:
        """Let the caller read a response sent before its request's end."""
        if not self._stream.has_ended:
            self._stream.finish_writing()
        with anyio.move_on_after(DRAIN_SECONDS):
            while await self._stream.read(READ_BYTES):
                pass


def _make_head(event: h11.Request) -> Head:
    """Return the head of a request.

    :raises ValueError: its target cannot be read.
    """
    target = request_targets.parse_target(
        method=event.method, target=event.target
    )
    headers = [
        (name, target.host or value if name == b'host' else value)
        for name, value in event.headers
    ]
    host = b''
    for name, value in headers:
        if name == b'host':
            host = value
    return Head(
        method=event.method,
        target=target.resource,
        host=host.decode('latin-1'),
        headers=headers,
        arrived=boot_clock.read_clock(),
    )


def _measure_head(head: Head) -> int:
    """Return the bytes of a head; h11 limits only incomplete heads.

    Spaces around the values of headers do not count, as they may be missing.
    """
    size = len(head.method) + len(head.target) + len(' HTTP/1.1\r\n') + 1
    return size + sum(
        len(name) + len(value) + len(':\r\n') for name, value in head.headers
    )


def _estimate_memory(head: Head) -> int:
    """Return the bytes of memory that a head takes up."""
    return _measure_head(head) + HEADER_BYTES * len(head.headers)


def _count_unparsed(connection: h11.Connection) -> int:
    """Return the bytes that a parser keeps for what comes next."""
    return len(connection.trailing_data[0])


def _find_reason_phrase(status: int) -> bytes:
    try:
        return http.HTTPStatus(status).phrase.encode()
    except ValueError:
        return b''
