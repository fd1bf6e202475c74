"""Kinds of endpoint: how an agent hands a call on and reads the answer.

The base class speaks plain HTTP/1.1.  A plug-in adds what its endpoints
offer besides: the end mark of a stream, resuming, orders, cache events.
"""

import dataclasses
import functools
from typing import Awaitable
from typing import Callable
from typing import Protocol

import anyio
import httpcore

from . import asgi
from . import bundle
from . import cache_events
from . import connections
from . import map_ranks
from . import messages
from . import plugins
from . import rank_engines
from . import settings

#: Bytes at the end of a body that are kept to look for its end mark.
TAIL_BYTES = 64
CONNECT_SECONDS = 1.0
#: Longest head of an answer that is passed on.  With our own headers added
#: it must stay below what the entry's HTTP library takes.
HEAD_BYTES = 65536
CALL_HEADER = b'x-request-id'


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class EndpointRequest:
    """A request as the endpoint gets it.

    :ivar call: identifier of the call, sent as ``x-request-id``.
    :ivar priority: of the call, as its route and its caller set it.
    """

    call: str
    method: str
    target: bytes
    headers: asgi.Headers
    body: bytes
    priority: int = bundle.Priority.NORMAL


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Whole:
    """The endpoint answered in full."""


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Withheld:
    """Nothing was sent: the caller's last check said no."""


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Broken:
    """The request was sent and its answer is not whole."""

    detail: str


Result = Whole | connections.Unreached | Withheld | Broken


class Sink(Protocol):
    """Takes an answer as it comes."""

    size: int

    async def begin(self, status: int, headers: asgi.Headers) -> None:
        """Take the head of the answer."""

    async def append(self, chunk: bytes) -> None:
        """Take the next bytes of the body."""


class EndpointKind(plugins.Plugin, kind=True):
    """Kind of plug-in that speaks to the endpoint beside an agent."""

    def __init__(self, *, settings: settings.Agent) -> None:
        self.settings = settings
        self.on_cache_change: cache_events.OnChange = _ignore
        origin = httpcore.URL(settings.endpoint).origin
        self.host = origin.host.decode()
        self.port = origin.port

    async def exchange(
        self,
        *,
        request: EndpointRequest,
        sink: Sink,
        hand_over: Callable[[], Awaitable[bool]],
    ) -> Result:
        """Hand a request to the endpoint and its answer to the sink.

        Each exchange has a connection of its own.  An endpoint that answers
        twice, or late, would leave bytes on a shared connection which the
        next caller would take for its own answer.

        :param hand_over: awaited when the connection stands, right before
            the first byte of the request is sent; ``False`` withholds it.
        """
        opened = await connections.connect(
            host=self.host, port=self.port, seconds=CONNECT_SECONDS
        )
        if isinstance(opened, connections.Unreached):
            return opened
        try:
            if not await hand_over():
                return Withheld()
            return await self.transfer(opened, request, sink)
        except connections.LOST as error:
            return Broken(detail=connections.explain(error))
        finally:
            with anyio.CancelScope(shield=True):
                await opened.aclose()

    def rank_engines(self) -> dict[int, map_ranks.RankEngine]:
        """Return the engine of each rank beside this agent."""
        url = self.settings.rank_endpoint or self.settings.endpoint
        origin = httpcore.URL(url).origin
        return {
            rank: rank_engines.HttpRankEngine(
                host=origin.host.decode(), port=origin.port, rank=rank
            )
            for rank in self.settings.ranks
        }

    async def watch(self) -> None:
        """Follow what the endpoint publishes, for as long as it runs."""

    def complete(self, load: messages.Load) -> messages.Load:
        """Return the agent's load with what the endpoint adds to it."""
        return load

    @classmethod
    def chain(cls, body: bytes) -> tuple[bytes, ...]:
        """Return digests of the blocks of a request's prompt.

        Each covers all blocks before it too, as the endpoint computes them
        for its prefix cache; empty where there is none.
        """
        return ()

    def is_end(self, *, headers: asgi.Headers, tail: bytes) -> bool:
        """Whether a body whose last bytes are ``tail`` was whole."""
        return True

    async def transfer(
        self,
        connection: httpcore.AsyncHTTP11Connection,
        request: EndpointRequest,
        sink: Sink,
    ) -> Result:
        """Send the request and read its answer to the end."""
        response = await connection.handle_async_request(self.build(request))
        answered = asgi.keep_end_to_end(connections.lower(response.headers))
        if _measure(answered) > HEAD_BYTES:
            # The entry's own connection would break on it, again at every
            # attempt; one would see only lost connections.
            return Broken(detail=f'the head is longer than {HEAD_BYTES} bytes')
        await sink.begin(response.status, answered)
        tail = b''
        async for chunk in response.aiter_stream():
            tail = (tail + chunk)[-TAIL_BYTES:]
            await sink.append(chunk)
        if not self.is_end(headers=answered, tail=tail):
            return Broken(detail='the stream ended without its end mark')
        return Whole()

    def build(self, request: EndpointRequest) -> httpcore.Request:
        """Return the request as it goes to the endpoint.

        A caller's own request id would be taken for the call's.
        """
        headers = [pair for pair in request.headers if pair[0] != CALL_HEADER]
        headers.append((CALL_HEADER, request.call.encode()))
        return connections.build(
            host=self.host,
            port=self.port,
            method=request.method,
            target=request.target,
            headers=headers,
            body=request.body,
        )


def find_chain(*, kind: str, body: bytes) -> tuple[bytes, ...]:
    """Return the chain of a prompt for endpoints of a kind, by its name."""
    found = _find(kind)
    return found.chain(body) if found else ()


@functools.cache
def _find(kind: str) -> type[EndpointKind] | None:
    # An older instance may not have the plug-in that a bundle names.
    try:
        return EndpointKind.find(kind)
    except plugins.UnknownPlugin:
        return None


def _ignore(change: cache_events.Change) -> None:
    """Stand in for whoever listens, until there is one."""


def _measure(headers: asgi.Headers) -> int:
    return sum(len(key) + len(value) for key, value in headers)
