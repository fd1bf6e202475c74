"""HTTP servers: uvicorn inside our own task group, with bounded heads.

uvicorn bounds neither the size of a request's head nor the time that it
may take, and answers broken requests in plain text.  A caller that sends
half a head would hold its connection for ever.  The protocol class here
adds both bounds and answers with problem details, so that each caller
learns that nothing ran.
"""

import asyncio
import contextlib
import dataclasses
import logging as standard_logging
import socket
from typing import Any
from typing import Awaitable
from typing import Callable
from typing import Iterator
from typing import MutableMapping

from absl import logging
import anyio
import uvicorn
from uvicorn.protocols.http import httptools_impl

from . import asgi
from . import outcomes
from . import problems

#: Seconds that a kept-alive connection may be idle.
KEEP_ALIVE = 60
BACKLOG = 1024
#: Requests that a caller may send ahead of the answers, and the bytes that are
#: parsed before these are counted.
MOST_AHEAD = 16
PARSED_BYTES = 4096
HEAD_END = b'\r\n\r\n'
KEY_HEADER = b'idempotency-key'

Application = Callable[
    [MutableMapping[str, Any], asgi.Receive, asgi.Send], Awaitable[None]
]


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Bounds:
    """Bounds of one HTTP server.

    :ivar head_bytes: longest request head.
    :ivar head_seconds: longest wait for a whole head.
    :ivar connections: connections open at once.
    """

    head_bytes: int
    head_seconds: float
    connections: int


class _Server(uvicorn.Server):
    """uvicorn's server without its signal handlers; ours are the runtime's."""

    @contextlib.contextmanager
    def capture_signals(self) -> Iterator[None]:
        yield


class _Protocol(httptools_impl.HttpToolsProtocol):
    """HTTP/1.1 connection with a bounded head."""

    bounds: Bounds
    head_size = 0
    head_timer: asyncio.TimerHandle | None = None
    #: What still comes cannot be understood.
    broken = False

    def connection_made(self, transport: Any) -> None:
        super().connection_made(transport)
        if len(self.connections) > self.bounds.connections:
            # The request is not read, so it may repeat one that has run.
            self._refuse(
                outcomes.OutcomeUnknown(
                    reason=outcomes.Reason.QUEUE_FULL,
                    detail='too many connections',
                )
            )

    def data_received(self, data: bytes) -> None:
        if self.broken:
            return
        if self.head_size == 0:
            self._expect_head()
        if self.head_timer is not None and not self._fits(data):
            return
        for start in range(0, len(data), PARSED_BYTES):
            super().data_received(data[start : start + PARSED_BYTES])
            if len(self.pipeline) > MOST_AHEAD:
                # uvicorn keeps each of them with some kilobytes of its own.
                self.transport.abort()
                return

    def _fits(self, data: bytes) -> bool:
        """Count what belongs to the head; refuse one that is too long."""
        end = data.find(HEAD_END)
        self.head_size += len(data) if end < 0 else end
        limit = self.bounds.head_bytes
        if self.head_size <= limit:
            return True
        self._refuse(
            outcomes.NotRun(
                reason=outcomes.Reason.HEAD_TOO_LARGE,
                detail=f'the head is longer than {limit} bytes',
            )
        )
        return False

    def on_headers_complete(self) -> None:
        self._stop_timer()
        super().on_headers_complete()

    def on_message_complete(self) -> None:
        super().on_message_complete()
        self.head_size = 0

    def connection_lost(self, exc: Exception | None) -> None:
        self._stop_timer()
        super().connection_lost(exc)

    def send_400_response(self, msg: str) -> None:
        refusal: outcomes.Refusal
        refusal = outcomes.NotRun(reason=outcomes.Reason.MALFORMED, detail=msg)
        if self._has_key():
            # It may repeat a request that has run.
            refusal = outcomes.OutcomeUnknown(
                reason=outcomes.Reason.MALFORMED, detail=msg
            )
        self._refuse(refusal)

    def _has_key(self) -> bool:
        """Whether the request that is being read has an idempotency key."""
        cycle = self.cycle
        if cycle is None or cycle.response_complete:
            return False
        return any(name == KEY_HEADER for name, _ in cycle.scope['headers'])

    def _expect_head(self) -> None:
        self._stop_timer()
        self.head_timer = self.loop.call_later(
            self.bounds.head_seconds,
            self._refuse,
            outcomes.NotRun(
                reason=outcomes.Reason.BODY_TIMEOUT,
                detail='the head was not whole in time',
            ),
        )

    def _stop_timer(self) -> None:
        if self.head_timer is not None:
            self.head_timer.cancel()
            self.head_timer = None

    def _refuse(self, refusal: outcomes.Refusal) -> None:
        """Answer with a refusal and close the connection.

        While an earlier request on the connection is being answered no
        bytes may be put between.  Closing at once would cut its answer off,
        though it has run, so the connection ends behind it.
        """
        self._stop_timer()
        if self.transport.is_closing() or self.broken:
            return
        self.broken = True
        if self._is_answering():
            self.cycle.keep_alive = False
            return
        self.transport.write(_render(refusal))
        self.transport.close()

    def _is_answering(self) -> bool:
        """Whether a request that has come whole has no whole answer yet."""
        cycle = self.cycle
        if cycle is None or cycle.response_complete:
            return False
        return cycle.response_started or not cycle.more_body


def _render(refusal: outcomes.Refusal) -> bytes:
    """Return a whole HTTP/1.1 answer with the refusal."""
    problem = problems.describe(refusal=refusal, call='')
    body = problems.encode(problem)
    lines = [
        b'HTTP/1.1 %d Refused' % problem.status,
        b'content-type: ' + problems.CONTENT_TYPE,
        problems.HEADER + b': ' + problem.outcome.encode(),
        b'content-length: %d' % len(body),
        b'connection: close',
    ]
    if problem.retry_after is not None:
        lines.append(b'retry-after: %d' % max(1, round(problem.retry_after)))
    return b'\r\n'.join(lines) + b'\r\n\r\n' + body


def _lacks_host(scope: MutableMapping[str, Any]) -> bool:
    """Whether a request must be refused for its ``Host`` (RFC 9112, 3.2)."""
    hosts = sum(name == b'host' for name, _ in scope['headers'])
    return hosts > 1 or (scope['http_version'] == '1.1' and not hosts)


def _describe_no_host(scope: MutableMapping[str, Any]) -> outcomes.Refusal:
    detail = 'the request needs one Host header'
    if any(name == KEY_HEADER for name, _ in scope['headers']):
        # It may repeat a request that has run.
        return outcomes.OutcomeUnknown(
            reason=outcomes.Reason.MALFORMED, detail=detail
        )
    return outcomes.NotRun(reason=outcomes.Reason.MALFORMED, detail=detail)


def _guard(application: Application) -> Application:
    """Return an application whose bugs are logged and told truthfully.

    After a bug nobody knows what the call has done, so the answer says just
    that; an answer that has begun is cut off by the server.
    """

    async def guarded(
        scope: MutableMapping[str, Any],
        receive: asgi.Receive,
        send: asgi.Send,
    ) -> None:
        started = False

        async def note_and_send(event: MutableMapping[str, Any]) -> None:
            nonlocal started
            started = True
            await send(event)

        if _lacks_host(scope):
            await asgi.send_refusal(
                send=send, refusal=_describe_no_host(scope), call=''
            )
            return
        try:
            await application(scope, receive, note_and_send)
        except Exception:
            logging.exception('a request failed by a bug')
            if not started:
                refusal = outcomes.OutcomeUnknown(
                    reason=outcomes.Reason.INTERNAL,
                    detail='an internal error; the log has the details',
                )
                await asgi.send_refusal(send=send, refusal=refusal, call='')

    return guarded


def listen(host: str, port: int) -> socket.socket:
    """Return a listening TCP socket.

    The protocol is named because asyncio sets ``TCP_NODELAY`` only on
    sockets that say so; ``socket.create_server`` makes one that does not.
    An answer in two writes then waits some 40 ms for a delayed
    acknowledgement.
    """
    family = socket.AF_INET6 if ':' in host else socket.AF_INET
    listening = socket.socket(family, socket.SOCK_STREAM, socket.IPPROTO_TCP)
    listening.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    listening.bind((host, port))
    listening.listen(BACKLOG)
    return listening


class Server:
    """One listening HTTP server that runs an ASGI application."""

    __slots__ = ('_server', '_socket', '_done', 'port')

    def __init__(
        self, *, application: Application, host: str, port: int, bounds: Bounds
    ) -> None:
        protocol = type('Protocol', (_Protocol,), {'bounds': bounds})
        config = uvicorn.Config(
            _guard(application),
            http=protocol,
            interface='asgi3',
            proxy_headers=False,
            ws='none',
            loop='none',
            lifespan='off',
            log_config=None,
            access_log=False,
            server_header=False,
            date_header=False,
            timeout_keep_alive=KEEP_ALIVE,
        )
        # An answer that cannot be finished is ended by returning early, on
        # purpose; uvicorn would log each one as an error.
        standard_logging.getLogger('uvicorn.error').setLevel(
            standard_logging.CRITICAL
        )
        self._server = _Server(config)
        self._socket = listen(host, port)
        self._done = anyio.Event()
        self.port: int = self._socket.getsockname()[1]

    async def run(self) -> None:
        """Serve until :meth:`stop`; then end the requests in flight."""
        try:
            await self._server.serve(sockets=[self._socket])
        finally:
            self._done.set()

    async def stop(self) -> None:
        """Stop listening and return when all connections have ended."""
        self._server.should_exit = True
        await self._done.wait()
