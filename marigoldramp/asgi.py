"""Typed view of ASGI requests, and the few ways in which we answer them."""

import dataclasses
import math
from typing import Any
from typing import Awaitable
from typing import Callable
from typing import Iterable
from typing import MutableMapping

import anyio

from . import outcomes
from . import problems

Receive = Callable[[], Awaitable[MutableMapping[str, Any]]]
Send = Callable[[MutableMapping[str, Any]], Awaitable[None]]
Headers = list[tuple[bytes, bytes]]

#: Headers that concern one connection only (RFC 9110, section 7.6.1).
HOP_BY_HOP = frozenset(
    {
        b'connection',
        b'keep-alive',
        b'proxy-authenticate',
        b'proxy-authorization',
        b'proxy-connection',
        b'te',
        b'trailer',
        b'transfer-encoding',
        b'upgrade',
    }
)


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Request:
    """Head of one request.

    :ivar target: path and query as sent, still percent-encoded.
    :ivar path: decoded path, for matching.
    """

    method: str
    target: bytes
    path: str
    headers: Headers

    def find(self, name: bytes) -> str | None:
        """Return a header's value, or ``None``; the first one counts."""
        for key, value in self.headers:
            if key == name:
                return value.decode('latin-1')
        return None

    def declared_bytes(self) -> int:
        """Return the length of the body that the head states, or 0.

        The parser refuses lengths that are no numbers.
        """
        return int(self.find(b'content-length') or 0)


def read_head(scope: MutableMapping[str, Any]) -> Request:
    """Return the typed head of an ASGI HTTP scope."""
    target = scope['raw_path']
    if scope['query_string']:
        target += b'?' + scope['query_string']
    return Request(
        method=scope['method'],
        target=target,
        path=scope['path'],
        headers=list(scope['headers']),
    )


def list_connection_options(headers: Headers) -> set[bytes]:
    """Return what the ``connection`` headers name, in lower case."""
    named: set[bytes] = set()
    for key, value in headers:
        if key == b'connection':
            named.update(part.strip().lower() for part in value.split(b','))
    return named


def keep_end_to_end(headers: Headers) -> Headers:
    """Return the headers that a relay passes on.

    The headers that ``Connection`` lists concern one connection too.
    """
    dropped = HOP_BY_HOP | list_connection_options(headers)
    return [pair for pair in headers if pair[0] not in dropped]


async def read_body(
    *, request: Request, receive: Receive, limit: int, seconds: float
) -> bytes | outcomes.NotRun:
    """Read a request's body, bounded in size and time.

    A body that stops half-way would otherwise hold its connection and its
    memory for ever; the sender would see neither answer nor error.  One that
    is too long by its head is refused before it is sent: a caller that waits
    for leave to send it would else learn of the limit by the timeout.
    """
    too_large = outcomes.NotRun(
        reason=outcomes.Reason.BODY_TOO_LARGE,
        detail=f'the body is longer than {limit} bytes',
    )
    if request.declared_bytes() > limit:
        return too_large
    chunks: list[bytes] = []
    size = 0
    with anyio.move_on_after(seconds):
        while True:
            event = await receive()
            if event['type'] == 'http.disconnect':
                return outcomes.NotRun(
                    reason=outcomes.Reason.CANCELLED,
                    detail='the connection ended before the body did',
                )
            chunk = event.get('body', b'')
            size += len(chunk)
            if size > limit:
                return too_large
            chunks.append(chunk)
            if not event.get('more_body', False):
                return b''.join(chunks)
    return outcomes.NotRun(
        reason=outcomes.Reason.BODY_TIMEOUT,
        detail=f'the body was not whole after {seconds:g} s',
    )


async def wait_disconnect(receive: Receive) -> None:
    """Return when the other side has gone."""
    while True:
        event = await receive()
        if event['type'] == 'http.disconnect':
            return


async def send_whole(
    *,
    send: Send,
    status: int,
    headers: Iterable[tuple[bytes, bytes]],
    body: bytes,
) -> None:
    """Send an answer whose body is at hand."""
    head = list(headers)
    head.append((b'content-length', str(len(body)).encode()))
    await send(
        {'type': 'http.response.start', 'status': status, 'headers': head}
    )
    await send({'type': 'http.response.body', 'body': body})


async def send_json(*, send: Send, body: bytes, status: int = 200) -> None:
    """Send a JSON text."""
    headers = [(b'content-type', b'application/json')]
    await send_whole(send=send, status=status, headers=headers, body=body)


async def send_refusal(
    *, send: Send, refusal: outcomes.Refusal, call: str
) -> None:
    """Send a refusal as problem details (RFC 9457)."""
    problem = problems.describe(refusal=refusal, call=call)
    headers = [
        (b'content-type', problems.CONTENT_TYPE),
        (problems.HEADER, problem.outcome.encode()),
    ]
    if problem.retry_after is not None:
        # The header counts whole seconds; the body has the exact value.
        seconds = max(1, math.ceil(problem.retry_after))
        headers.append((b'retry-after', str(seconds).encode()))
    if call:
        headers.append((b'marigoldramp-call', call.encode()))
    if refusal.reason is outcomes.Reason.BODY_TOO_LARGE:
        # Else all of it would have to be read to find the next request.
        headers.append((b'connection', b'close'))
    await send_whole(
        send=send,
        status=problem.status,
        headers=headers,
        body=problems.encode(problem),
    )
