"""Connections to endpoints, and a pool of idle ones.

An endpoint may respond before it has read a request's body, respond twice, or
send bytes after a response.  A connection is therefore kept only when the
response was complete, nothing is left to read, everything was sent and neither
side wants to close; and it is checked again before it is used.
"""

import collections

import anyio
import h11
import httpcore
import msgspec

from .. import asgi
from .. import tcp_streams
from . import boot_clock
from . import codecs
from . import ip_addresses

READ_BYTES = 65536
#: Size limit of a response head.
MAX_HEAD_BYTES = 65536
#: Interim responses before a response, of which a failing endpoint may send
#: any number.
MAX_INTERIM_RESPONSES = 32
#: Size limit of a response to a request of this process.
MAX_REPLY_BYTES = 4194304
#: Seconds that an idle connection is kept if the endpoint states no time.
DEFAULT_IDLE_SECONDS = 2.0
#: Share of the idle time stated by an endpoint after which a connection is no
#: longer reused.
IDLE_SHARE = 0.6
#: Upper bound of the seconds that an idle connection is kept.
MAX_IDLE_SECONDS = 10.0

#: Exceptions of a connection on which a request has been started.
CONNECTION_ERRORS = (
    httpcore.NetworkError,
    httpcore.ProtocolError,
    httpcore.TimeoutException,
    h11.ProtocolError,
)


class Address(msgspec.Struct, frozen=True, kw_only=True):
    """Where an endpoint listens."""

    host: str
    port: int


class Unreached(msgspec.Struct, frozen=True, kw_only=True):
    """No connection could be opened, so nothing was sent.

    :ivar refused: nothing listens on the port.
    """

    detail: str
    refused: bool = False


class AnswerHead(msgspec.Struct, frozen=True, kw_only=True):
    """Head of an endpoint's response; header names are in lower case."""

    status: int
    headers: codecs.Headers


class Connection:
    """One connection to an endpoint.

    :ivar idle_until: time after which it is not reused.
    """

    __slots__ = (
        '_stream',
        '_h11',
        '_closing',
        '_idle_seconds',
        'idle_since',
        'idle_until',
    )

    def __init__(self, *, stream: tcp_streams.Stream) -> None:
        self._stream = stream
        self._h11 = h11.Connection(
            h11.CLIENT, max_incomplete_event_size=MAX_HEAD_BYTES
        )
        self._closing = False
        self._idle_seconds = DEFAULT_IDLE_SECONDS
        self.idle_since = 0.0
        self.idle_until = 0.0

    def send(
        self,
        *,
        method: bytes,
        target: bytes,
        headers: codecs.Headers,
        body: bytes,
    ) -> None:
        """Send a complete request without waiting for it to be received."""
        data = self._h11.send(
            h11.Request(method=method, target=target, headers=headers)
        )
        assert data is not None
        if body:
            data += self._h11.send(h11.Data(data=body)) or b''
        data += self._h11.send(h11.EndOfMessage()) or b''
        self._stream.push(data)

    async def read_head(self) -> AnswerHead:
        """Return the head of the response.

        :raises httpcore.NetworkError, h11.ProtocolError: none arrived.
        """
        for _ in range(MAX_INTERIM_RESPONSES + 1):
            event = await self._next()
            if isinstance(event, h11.Response):
                headers = list(event.headers)
                self._note_idle_time(headers)
                return AnswerHead(status=event.status_code, headers=headers)
            if not isinstance(event, h11.InformationalResponse):
                raise httpcore.RemoteProtocolError(
                    'expected the head of a response'
                )
        raise httpcore.RemoteProtocolError('too many interim responses')

    async def read_chunk(self) -> bytes:
        """Return the next bytes of the body, empty once it is complete.

        :raises httpcore.NetworkError, h11.ProtocolError: the body is
            incomplete.
        """
        while True:
            event = await self._next()
            if isinstance(event, h11.Data):
                return bytes(event.data)
            if isinstance(event, h11.EndOfMessage):
                return b''
            if not isinstance(event, h11.InformationalResponse):
                raise httpcore.RemoteProtocolError(
                    'the response ended before its body was complete'
                )

    def count_unread(self) -> int:
        """Return the received bytes that wait to be read."""
        return self._stream.unread

    def hold(self) -> None:
        """Receive nothing more until :meth:`release`."""
        self._stream.hold_reading()

    def release(self) -> None:
        """Receive again."""
        self._stream.release_reading()

    def close(self) -> None:
        """Close at once; the endpoint aborts the request it is running."""
        self._stream.abort()

    async def stays_open(self, seconds: float) -> bool:
        """Wait, then close the connection.

        Return whether the endpoint kept it open until then.
        """
        try:
            with anyio.move_on_after(seconds):
                await self._stream.wait_end()
                return False
            return True
        finally:
            self.close()

    def start_next_cycle(self, *, now: float) -> bool:
        """Prepare for the next request; return whether that is possible."""
        if self._closing or not self._is_reusable():
            return False
        self._h11.start_next_cycle()
        self.idle_since = now
        self.idle_until = now + self._idle_seconds
        return True

    def is_usable(self, *, now: float) -> bool:
        """Whether a request can be sent on this idle connection."""
        if now >= self.idle_until:
            return False
        return not self._stream.get_extra_info('is_readable')

    def _is_reusable(self) -> bool:
        if self._h11.our_state is not h11.DONE:
            return False
        if self._h11.their_state is not h11.DONE:
            return False
        if self._h11.trailing_data[0] or self._stream.unsent:
            return False
        return not self._stream.get_extra_info('is_readable')

    async def _next(self) -> object:
        while True:
            event = self._h11.next_event()
            if event is not h11.NEED_DATA:
                return event
            self._h11.receive_data(await self._stream.read(READ_BYTES))

    def _note_idle_time(self, headers: codecs.Headers) -> None:
        for name, value in headers:
            if name == b'keep-alive':
                stated_seconds = _read_timeout(value)
                if stated_seconds is not None:
                    self._idle_seconds = min(
                        MAX_IDLE_SECONDS, stated_seconds * IDLE_SHARE
                    )
        if b'close' in asgi.list_connection_options(headers):
            self._closing = True


def _read_timeout(value: bytes) -> float | None:
    for part in value.split(b','):
        name, _, number = part.strip().partition(b'=')
        if name.lower() == b'timeout' and number.isdigit():
            return float(number)
    return None


class Pool:
    """Pool of idle connections by endpoint.

    :param max_idle: connections kept for one endpoint.
    :ivar opened: number of connections opened so far.
    """

    __slots__ = ('_max_idle', '_idle', 'opened')

    def __init__(self, *, max_idle: int) -> None:
        self._max_idle = max_idle
        self._idle: dict[str, collections.deque[Connection]] = {}
        self.opened = 0

    def take_idle(
        self, *, identity: str, max_idle_seconds: float
    ) -> Connection | None:
        """Return the most recently used idle connection, if one is usable.

        :param max_idle_seconds: seconds that it may have been idle.
        """
        idle = self._idle.get(identity)
        now = boot_clock.read_clock()
        while idle:
            connection = idle.pop()
            if connection.is_usable(now=now):
                if now - connection.idle_since <= max_idle_seconds:
                    return connection
                idle.append(connection)
                return None
            connection.close()
        return None

    async def open(
        self,
        *,
        address: Address,
        seconds: float,
        options: tuple[tcp_streams.SocketOption, ...] = (),
    ) -> Connection | Unreached:
        """Open a connection within the given seconds."""
        self.opened += 1
        if not ip_addresses.is_ip_address(address.host):
            return Unreached(detail='the host is not an IP address')
        try:
            with anyio.fail_after(seconds):
                stream = await tcp_streams.connect(
                    host=address.host, port=address.port, options=options
                )
        except TimeoutError:
            return Unreached(detail='no connection in time')
        except ConnectionRefusedError as error:
            return Unreached(detail=str(error), refused=True)
        except (OSError, OverflowError) as error:
            # The port may be one that no connection can have.
            return Unreached(detail=str(error) or type(error).__name__)
        return Connection(stream=stream)

    def give_back(self, *, identity: str, connection: Connection) -> None:
        """Keep a connection after a complete response, if it is reusable."""
        idle = self._idle.setdefault(identity, collections.deque())
        if len(idle) < self._max_idle and connection.start_next_cycle(
            now=boot_clock.read_clock()
        ):
            idle.append(connection)
        else:
            connection.close()

    def drop(self, *, identity: str) -> None:
        """Close the idle connections to an endpoint."""
        for connection in self._idle.pop(identity, ()):
            connection.close()

    def drop_expired(self) -> None:
        """Close idle connections that are no longer usable."""
        now = boot_clock.read_clock()
        for idle in self._idle.values():
            kept = [one for one in idle if one.is_usable(now=now)]
            for connection in idle:
                if connection not in kept:
                    connection.close()
            idle.clear()
            idle.extend(kept)


class Reply(msgspec.Struct, frozen=True, kw_only=True):
    """A complete response to a request of this process."""

    status: int
    body: bytes


class NoReply(msgspec.Struct, frozen=True, kw_only=True):
    """No complete response arrived; the request may have been carried out."""

    detail: str


async def send_request(
    *,
    pool: Pool,
    address: Address,
    identity: str,
    method: bytes,
    target: bytes,
    headers: codecs.Headers,
    body: bytes,
    seconds: float,
    shares_connection: bool = True,
) -> Reply | NoReply:
    """Send a request of this process and wait for the complete response.

    :param identity: key under which the pool keeps the connection.
    :param shares_connection: use a connection that other requests use, too.
        A second response to one of them may then be taken for that to this
        request, as responses bear no identifier.
    """
    connection: Connection | Unreached | None = None
    if shares_connection:
        connection = pool.take_idle(
            identity=identity, max_idle_seconds=MAX_IDLE_SECONDS
        )
    if connection is None:
        connection = await pool.open(address=address, seconds=seconds)
    if isinstance(connection, Unreached):
        return NoReply(detail=connection.detail)
    host = f'{address.host}:{address.port}'.encode()
    sent_headers = [(b'host', host), *headers]
    if body or method != b'GET':
        sent_headers.append((b'content-length', b'%d' % len(body)))
    is_reusable = False
    try:
        with anyio.fail_after(seconds):
            connection.send(
                method=method, target=target, headers=sent_headers, body=body
            )
            head = await connection.read_head()
            response_body = bytearray()
            while chunk := await connection.read_chunk():
                response_body += chunk
                if len(response_body) > MAX_REPLY_BYTES:
                    return NoReply(detail='the response is too long')
            is_reusable = shares_connection
            return Reply(status=head.status, body=bytes(response_body))
    except TimeoutError:
        return NoReply(detail='no response in time')
    except CONNECTION_ERRORS as error:
        return NoReply(detail=f'{type(error).__name__}: {error}')
    finally:
        if is_reusable:
            pool.give_back(identity=identity, connection=connection)
        else:
            connection.close()
