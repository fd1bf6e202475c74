"""Connections to endpoints, and the pool that keeps some of them.

An endpoint may answer before it has read a request's body, answer twice, or
send bytes behind an answer.  A connection is therefore kept only when its
answer was whole, nothing is left to read, everything was sent and neither
side wants to close; and it is looked at again before it is used.
"""

import collections
import dataclasses

import anyio
import h11
import httpcore

from .. import asgi
from .. import tcp_streams
from . import boot_clock
from . import codecs

READ_BYTES = 65536
#: Longest head of an answer, in bytes.
MOST_HEAD_BYTES = 65536
#: Seconds that an idle connection is kept where the endpoint does not say.
IDLE_SECONDS = 2.0
#: Part of the idle time that an endpoint states for which we rely on it.
IDLE_SHARE = 0.6
#: Longest time that an idle connection is kept, in seconds.
MOST_IDLE_SECONDS = 10.0

#: What a connection can raise once a request has been begun on it.
CONNECTION_ERRORS = (
    httpcore.NetworkError,
    httpcore.TimeoutException,
    h11.ProtocolError,
)


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Address:
    """Where an endpoint listens."""

    host: str
    port: int


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Unreached:
    """No connection could be opened, so nothing was sent.

    :ivar refused: nobody listens there.
    """

    detail: str
    refused: bool = False


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class AnswerHead:
    """Head of an endpoint's answer; names of headers in lower case."""

    status: int
    headers: codecs.Headers


class Connection:
    """One connection to an endpoint.

    :ivar idle_until: when it is no longer to be relied on while idle.
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
            h11.CLIENT, max_incomplete_event_size=MOST_HEAD_BYTES
        )
        self._closing = False
        self._idle_seconds = IDLE_SECONDS
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
        """Send a whole request without waiting for it to be taken."""
        data = self._h11.send(
            h11.Request(method=method, target=target, headers=headers)
        )
        assert data is not None
        if body:
            data += self._h11.send(h11.Data(data=body)) or b''
        data += self._h11.send(h11.EndOfMessage()) or b''
        self._stream.push(data)

    async def read_head(self) -> AnswerHead:
        """Return the head of the answer.

        :raises httpcore.NetworkError, h11.ProtocolError: none came.
        """
        while True:
            event = await self._next()
            if isinstance(event, h11.Response):
                headers = list(event.headers)
                self._note_idle_time(headers)
                return AnswerHead(status=event.status_code, headers=headers)
            if not isinstance(event, h11.InformationalResponse):
                raise httpcore.RemoteProtocolError('no head of an answer')

    async def read_piece(self) -> bytes:
        """Return the next bytes of the body; none at its whole end.

        :raises httpcore.NetworkError, h11.ProtocolError: it broke off.
        """
        while True:
            event = await self._next()
            if isinstance(event, h11.Data):
                return bytes(event.data)
            if isinstance(event, h11.EndOfMessage):
                return b''
            if not isinstance(event, h11.InformationalResponse):
                raise httpcore.RemoteProtocolError('the answer broke off')

    def close(self) -> None:
        """Close at once; the endpoint drops what it was still doing."""
        self._stream.abort()

    async def stays_open(self, seconds: float) -> bool:
        """Close a connection after a time; whether it stood until then."""
        try:
            with anyio.move_on_after(seconds):
                await self._stream.wait_end()
                return False
            return True
        finally:
            self.close()

    def renew(self, *, now: float) -> bool:
        """Make ready for the next request; whether that is possible."""
        if self._closing or not self._is_clean():
            return False
        self._h11.start_next_cycle()
        self.idle_since = now
        self.idle_until = now + self._idle_seconds
        return True

    def is_usable(self, *, now: float) -> bool:
        """Whether an idle connection can carry a request."""
        if now >= self.idle_until:
            return False
        return not self._stream.get_extra_info('is_readable')

    def _is_clean(self) -> bool:
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
                stated = _read_timeout(value)
                if stated is not None:
                    self._idle_seconds = min(
                        MOST_IDLE_SECONDS, stated * IDLE_SHARE
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
    """Idle connections by endpoint.

    :param max_idle: connections kept for one endpoint.
    """

    __slots__ = ('_max_idle', '_idle', 'opened')

    def __init__(self, *, max_idle: int) -> None:
        self._max_idle = max_idle
        self._idle: dict[str, collections.deque[Connection]] = {}
        self.opened = 0

    def take_idle(self, *, identity: str, longest: float) -> Connection | None:
        """Return the most recently used idle connection, if one is sound.

        :param longest: seconds that it may have been idle.
        """
        idle = self._idle.get(identity)
        now = boot_clock.read_clock()
        while idle:
            connection = idle.pop()
            if connection.is_usable(now=now):
                if now - connection.idle_since <= longest:
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
        """Open a connection within a time."""
        self.opened += 1
        try:
            with anyio.fail_after(seconds):
                stream = await tcp_streams.connect(
                    host=address.host, port=address.port, options=options
                )
        except TimeoutError:
            return Unreached(detail='no connection in time')
        except ConnectionRefusedError as error:
            return Unreached(detail=str(error), refused=True)
        except OSError as error:
            return Unreached(detail=str(error) or type(error).__name__)
        return Connection(stream=stream)

    def give_back(self, *, identity: str, connection: Connection) -> None:
        """Keep a connection whose answer has ended, if it is sound."""
        idle = self._idle.setdefault(identity, collections.deque())
        if len(idle) < self._max_idle and connection.renew(
            now=boot_clock.read_clock()
        ):
            idle.append(connection)
        else:
            connection.close()

    def drop(self, *, identity: str) -> None:
        """Close what is idle towards an endpoint."""
        for connection in self._idle.pop(identity, ()):
            connection.close()

    def drop_expired(self) -> None:
        """Close idle connections that are no longer to be relied on."""
        now = boot_clock.read_clock()
        for idle in self._idle.values():
            kept = [one for one in idle if one.is_usable(now=now)]
            for connection in idle:
                if connection not in kept:
                    connection.close()
            idle.clear()
            idle.extend(kept)


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Reply:
    """A whole answer to a request of our own."""

    status: int
    body: bytes


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class NoReply:
    """No whole answer came; the request may have been carried out."""

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
) -> Reply | NoReply:
    """Make one request of our own; wait for the whole answer.

    :param identity: under which the pool keeps the connection.
    """
    connection: Connection | Unreached | None
    connection = pool.take_idle(identity=identity, longest=MOST_IDLE_SECONDS)
    if connection is None:
        connection = await pool.open(address=address, seconds=seconds)
    if isinstance(connection, Unreached):
        return NoReply(detail=connection.detail)
    host = f'{address.host}:{address.port}'.encode()
    sent = [(b'host', host), *headers]
    if body or method != b'GET':
        sent.append((b'content-length', b'%d' % len(body)))
    whole = False
    try:
        with anyio.fail_after(seconds):
            connection.send(
                method=method, target=target, headers=sent, body=body
            )
            head = await connection.read_head()
            content = bytearray()
            while piece := await connection.read_piece():
                content += piece
            whole = True
            return Reply(status=head.status, body=bytes(content))
    except TimeoutError:
        return NoReply(detail='no answer in time')
    except CONNECTION_ERRORS as error:
        return NoReply(detail=f'{type(error).__name__}: {error}')
    finally:
        if whole:
            pool.give_back(identity=identity, connection=connection)
        else:
            connection.close()
