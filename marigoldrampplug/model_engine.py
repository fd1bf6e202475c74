"""Endpoint kind for model engines: streams, priority and cancelling."""

import dataclasses
import time
from typing import Awaitable
from typing import Callable
import urllib.parse

from absl import logging
import anyio
import httpcore

from marigoldramp import asgi
from marigoldramp import connections
from marigoldramp import endpoint_kinds
from marigoldramp import engine_loads
from marigoldramp import engine_reports
from marigoldramp import event_streams
from marigoldramp import messages
from marigoldramp import prompts
from marigoldramp import settings as settings_module

END_MARK = b'data: [DONE]'
#: Times that a stream is resumed without a new byte in between, and in all.
MOST_FRUITLESS = 3
MOST_RESUMES = 16
#: Seconds before a further try after a fruitless one, times their number.
RESUME_PAUSE = 0.1
#: Longest wait for an engine that is told to cancel a stream.
CANCEL_SECONDS = 0.5


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Foreign:
    """The engine no longer has the stream, or went on with another one."""

    detail: str


Resumed = endpoint_kinds.Whole | endpoint_kinds.Broken | Foreign


class ModelEngine(endpoint_kinds.EndpointKind):
    """An engine that streams chat completions as server-sent events."""

    #: Header in which the engine takes a request's priority, 0 first.
    PRIORITY_HEADER = b'x-priority'
    #: Header in which the engine gives a stream's identifier.
    STREAM_HEADER = b'x-stream-id'
    #: Path of a stream, for resuming and cancelling it.
    STREAM_PATH = '/v1/streams/{}'
    #: Headers by which a caller could raise its own priority.
    OWN_PRIORITY = frozenset({PRIORITY_HEADER, b'priority'})
    #: Page with the load report, and the one with the cache events.
    LOAD_PATH = '/load'
    EVENTS_PATH = '/cache-events'
    #: Bytes of a block of the prefix cache, and of its digest.
    BLOCK_BYTES = 256
    DIGEST_BYTES = 8
    #: Blocks of a prompt that are looked at, so that a long one costs little.
    MOST_BLOCKS = 128

    def __init__(self, *, settings: settings_module.Agent) -> None:
        super().__init__(settings=settings)
        self.load = engine_loads.EngineLoad(clock=time.monotonic)

    async def exchange(
        self,
        *,
        request: endpoint_kinds.EndpointRequest,
        sink: endpoint_kinds.Sink,
        hand_over: Callable[[], Awaitable[bool]],
    ) -> endpoint_kinds.Result:
        """Hand a request on; resume its stream when a connection breaks.

        When the exchange itself is cancelled, the engine is told at once.
        """
        stream = event_streams.Stream(sink=sink, name=self.STREAM_HEADER)
        self.load.begin()
        try:
            result = await super().exchange(
                request=self._set_priority(request),
                sink=stream,
                hand_over=hand_over,
            )
            match result:
                case endpoint_kinds.Whole():
                    await stream.flush()
                    return result
                case endpoint_kinds.Broken() if stream.is_resumable:
                    return await self._resume(request, stream, result)
            return result
        except anyio.get_cancelled_exc_class():
            await self._cancel(stream)
            raise
        finally:
            self.load.end()

    async def watch(self) -> None:
        """Follow the engine's load and its cache."""
        reader = engine_reports.Reader(host=self.host, port=self.port)
        events = engine_reports.EventFollower(
            reader=reader,
            path=self.EVENTS_PATH,
            on_change=lambda change: self.on_cache_change(change),
        )

        async def follow_load() -> None:
            await engine_reports.follow_load(
                reader=reader, target=self.LOAD_PATH, load=self.load
            )

        async with anyio.create_task_group() as group:
            group.start_soon(follow_load)
            group.start_soon(events.run)

    def complete(self, load: messages.Load) -> messages.Load:
        """Add the work that others have on the engine."""
        return self.load.add_to(load)

    @classmethod
    def chain(cls, body: bytes) -> tuple[bytes, ...]:
        """Return the digests of the prompt's whole blocks."""
        text = prompts.join(body=body, most=cls.BLOCK_BYTES * cls.MOST_BLOCKS)
        return prompts.chain(
            text=text,
            block_bytes=cls.BLOCK_BYTES,
            digest_bytes=cls.DIGEST_BYTES,
        )

    def is_end(self, *, headers: asgi.Headers, tail: bytes) -> bool:
        """A stream is whole when its end mark has come.

        An engine that dies may close its connection in good order, so the
        end of the body alone says nothing.
        """
        if not event_streams.is_event_stream(headers):
            return True
        return _has_end_mark(tail)

    def _set_priority(
        self, request: endpoint_kinds.EndpointRequest
    ) -> endpoint_kinds.EndpointRequest:
        headers = [
            pair
            for pair in request.headers
            if pair[0] not in self.OWN_PRIORITY
        ]
        headers.append((self.PRIORITY_HEADER, b'%d' % request.priority))
        return dataclasses.replace(request, headers=headers)

    # Resuming

    async def _resume(
        self,
        request: endpoint_kinds.EndpointRequest,
        stream: event_streams.Stream,
        broken: endpoint_kinds.Broken,
    ) -> endpoint_kinds.Result:
        """Ask for the rest of a stream until it is whole or hopeless."""
        fruitless = 0
        for _ in range(MOST_RESUMES):
            if _has_end_mark(stream.tail):
                # Only the end of the HTTP body was lost.
                return endpoint_kinds.Whole()
            before = stream.size
            logging.info(
                'call %s: going on with its stream after byte %d: %s',
                request.call,
                before,
                broken.detail,
            )
            match await self._resume_once(request, stream):
                case endpoint_kinds.Whole() as whole:
                    return whole
                case Foreign(detail=detail):
                    logging.warning('call %s: %s', request.call, detail)
                    return endpoint_kinds.Broken(
                        detail=f'{broken.detail}; {detail}'
                    )
                case endpoint_kinds.Broken() as again:
                    broken = again
            fruitless = 0 if stream.size > before else fruitless + 1
            if fruitless >= MOST_FRUITLESS:
                break
            await anyio.sleep(RESUME_PAUSE * fruitless)
        return broken

    async def _resume_once(
        self,
        request: endpoint_kinds.EndpointRequest,
        stream: event_streams.Stream,
    ) -> Resumed:
        opened = await connections.connect(
            host=self.host,
            port=self.port,
            seconds=endpoint_kinds.CONNECT_SECONDS,
        )
        if isinstance(opened, connections.Unreached):
            return endpoint_kinds.Broken(detail=opened.detail)
        path = self._make_path(stream) + f'/resume?from={stream.resume()}'
        asked = endpoint_kinds.EndpointRequest(
            call=request.call,
            method='POST',
            target=path.encode(),
            headers=[],
            body=b'',
        )
        try:
            return await self._read_rest(opened, asked, stream)
        except connections.LOST as error:
            return endpoint_kinds.Broken(detail=connections.explain(error))
        finally:
            with anyio.CancelScope(shield=True):
                await opened.aclose()

    async def _read_rest(
        self,
        connection: httpcore.AsyncHTTP11Connection,
        asked: endpoint_kinds.EndpointRequest,
        stream: event_streams.Stream,
    ) -> Resumed:
        response = await connection.handle_async_request(self.build(asked))
        headers = connections.lower(response.headers)
        if not stream.is_same(response.status, headers):
            return Foreign(detail='the engine no longer has the stream')
        async for chunk in response.aiter_stream():
            if not await stream.go_on(chunk):
                return Foreign(detail='the engine resumed another text')
        if stream.is_repeated and self.is_end(
            headers=headers, tail=stream.tail
        ):
            return endpoint_kinds.Whole()
        return endpoint_kinds.Broken(
            detail='the resumed stream ended without its end mark'
        )

    # Cancelling

    async def _cancel(self, stream: event_streams.Stream) -> None:
        """Tell the engine that nobody waits for a stream.

        An engine that keeps streams for readers that come back would else
        generate to the end what nobody reads.
        """
        if not stream.is_known:
            return
        with anyio.move_on_after(CANCEL_SECONDS, shield=True):
            opened = await connections.connect(
                host=self.host, port=self.port, seconds=CANCEL_SECONDS
            )
            if isinstance(opened, connections.Unreached):
                return
            try:
                response = await opened.handle_async_request(
                    connections.build(
                        host=self.host,
                        port=self.port,
                        method='DELETE',
                        target=self._make_path(stream).encode(),
                        headers=[],
                        body=b'',
                    )
                )
                await response.aread()
            except connections.LOST:
                return
            finally:
                await opened.aclose()

    def _make_path(self, stream: event_streams.Stream) -> str:
        quoted = urllib.parse.quote(stream.identifier, safe='')
        return self.STREAM_PATH.format(quoted)


def _has_end_mark(tail: bytes) -> bool:
    """Whether the last event is the end mark, with the line that ends it."""
    lines = tail.replace(b'\r\n', b'\n')
    return lines.rstrip(b'\n').endswith(END_MARK) and lines.endswith(
        event_streams.EVENT_END
    )
