"""One attempt of a call at one agent, and what came of it."""

import dataclasses
from typing import AsyncIterator

import httpcore

from . import asgi
from . import connections
from . import heads
from . import messages
from . import outcomes

CONNECT_SECONDS = 0.5


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Refused:
    """The agent refused, or ended the call without an answer."""

    refusal: outcomes.Refusal


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Lost:
    """The attempt was sent and no genuine answer to it came.

    :ivar silent: the connection stands and nothing came over it.
    """

    detail: str
    silent: bool


class Answering:
    """An answer whose head has come; its body is read by ``chunks``."""

    __slots__ = ('status', 'headers', 'head', '_response')

    def __init__(
        self,
        *,
        head: messages.AnswerHead,
        headers: asgi.Headers,
        response: httpcore.Response,
    ) -> None:
        self.status = response.status
        self.headers = headers
        self.head = head
        self._response = response

    async def chunks(self) -> AsyncIterator[bytes]:
        """Yield the body as it comes.

        :raises httpcore.ReadTimeout: the connection has gone silent.
        :raises httpcore.NetworkError: the connection was lost.
        :raises httpcore.ProtocolError: the body was cut off.
        """
        async for chunk in self._response.aiter_stream():
            yield chunk
        # httpcore holds a connection for active, and so the pool would
        # close it and open one for each call, until its answer is closed.
        await self._response.aclose()


Result = Answering | Refused | Lost | connections.Unreached


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Outgoing:
    """A request on its way to an agent.

    :ivar silence: seconds without any byte after which the connection is
        distrusted.
    """

    head: messages.CallHead
    method: str
    target: bytes
    headers: asgi.Headers
    body: bytes
    silence: float


class Attempt:
    """An attempt with its connection; used as a context manager.

    The connection goes back to the pool only when its answer was read to
    the end, so that no later call can read what was left of it.
    """

    __slots__ = ('_pool', '_heads', '_outgoing', '_fresh', '_connection')

    def __init__(
        self,
        *,
        pool: connections.Pool,
        heads: heads.Heads,
        outgoing: Outgoing,
        fresh: bool,
    ) -> None:
        self._pool = pool
        self._heads = heads
        self._outgoing = outgoing
        self._fresh = fresh
        self._connection: httpcore.AsyncHTTP11Connection | None = None

    async def open(self) -> connections.Unreached | None:
        """Open the connection; ``None`` when it stands."""
        seconds = min(CONNECT_SECONDS, self._outgoing.head.remaining)
        taken = await self._pool.take(fresh=self._fresh, seconds=seconds)
        if isinstance(taken, connections.Unreached):
            return taken
        self._connection = taken
        return None

    async def send(self) -> Answering | Refused | Lost:
        """Send the request and return what its answer's head says."""
        if self._connection is None:
            raise RuntimeError('the attempt has no connection')
        try:
            response = await self._connection.handle_async_request(
                self._build()
            )
            return await self._classify(response)
        except httpcore.TimeoutException as error:
            return Lost(detail=connections.explain(error), silent=True)
        except connections.LOST as error:
            return Lost(detail=connections.explain(error), silent=False)

    async def close(self) -> None:
        """Give the connection back, or close it."""
        if self._connection is not None:
            await self._pool.give_back(self._connection)

    def _build(self) -> httpcore.Request:
        outgoing = self._outgoing
        sealed = self._heads.encode_call(outgoing.head)
        request = connections.build(
            host=self._pool.host,
            port=self._pool.port,
            method=outgoing.method,
            target=outgoing.target,
            headers=[*outgoing.headers, (heads.CALL_HEADER, sealed)],
            body=outgoing.body,
        )
        request.extensions = {
            'timeout': {'read': outgoing.silence, 'write': outgoing.silence}
        }
        return request

    async def _classify(
        self, response: httpcore.Response
    ) -> Answering | Refused | Lost:
        """Check that the answer is genuine and is this attempt's own."""
        headers = connections.lower(response.headers)
        head = self._find_head(headers)
        if head is None:
            return Lost(detail='the answer is not genuine', silent=False)
        sent = self._outgoing.head
        if head.call != sent.call or head.attempt != sent.attempt:
            return Lost(detail='the answer is to another call', silent=False)
        match head.outcome:
            case messages.OutcomeKind.ANSWER | messages.OutcomeKind.REPLAYED:
                return Answering(
                    head=head,
                    headers=asgi.keep_end_to_end(headers),
                    response=response,
                )
            case messages.OutcomeKind.NOT_RUN:
                await _read_to_end(response)
                return Refused(
                    refusal=outcomes.NotRun(
                        reason=outcomes.Reason(head.reason),
                        detail=head.detail,
                        retry_after=head.retry_after,
                    )
                )
            case messages.OutcomeKind.OUTCOME_UNKNOWN:
                await _read_to_end(response)
                return Refused(
                    refusal=outcomes.OutcomeUnknown(
                        reason=outcomes.Reason(head.reason),
                        detail=head.detail,
                    )
                )

    def _find_head(self, headers: asgi.Headers) -> messages.AnswerHead | None:
        for key, value in headers:
            if key == heads.ANSWER_HEADER:
                return self._heads.decode_answer(value.decode('latin-1'))
        return None


async def _read_to_end(response: httpcore.Response) -> None:
    """Read and drop a body, so that its connection can be used again."""
    await response.aread()
    await response.aclose()
