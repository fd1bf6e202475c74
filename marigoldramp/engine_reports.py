"""Follows what an engine publishes about itself: its load and its cache.

Both come late, and neither may cost much or matter when it is away: reads
are bounded in size and time, and failures only slow the reading down.
"""

import dataclasses
from typing import Callable

from absl import logging
import anyio
import httpcore
import msgspec

from . import cache_events
from . import connections
from . import engine_loads

CONNECT_SECONDS = 1.0
LOAD_EVERY = 0.5
LOAD_SECONDS = 2.0
LOAD_BYTES = 16384
#: Seconds for which the engine is asked to hold a request for events.
EVENTS_HELD = 20
EVENTS_SECONDS = EVENTS_HELD + 5.0
EVENTS_BYTES = 8 * 1024 * 1024
#: Seconds between two requests for events; a busy engine has one a step.
EVENTS_EVERY = 0.25
RETRY_SECONDS = 1.0


class LoadReport(msgspec.Struct, frozen=True, kw_only=True):
    """An engine's count of its calls as it was ``age`` seconds ago."""

    running: int
    waiting: int = 0
    age: float = 0.0


class CacheEvent(msgspec.Struct, frozen=True, kw_only=True):
    """A change of an engine's cache; digests are hexadecimal."""

    seq: int
    stored: tuple[str, ...] = ()
    evicted: tuple[str, ...] = ()


class CacheAnswer(msgspec.Struct, frozen=True, kw_only=True):
    """Events since the number that was asked for."""

    events: tuple[CacheEvent, ...]


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Away:
    """The engine gave no answer that can be used.

    :ivar gone: it cannot be reached, so its process may be a new one.
    """

    detail: str
    gone: bool = False


class Reader:
    """Reads pages of one engine, each within a time and a size."""

    __slots__ = ('_pool',)

    def __init__(self, *, host: str, port: int) -> None:
        self._pool = connections.Pool(host=host, port=port, most_idle=2)

    async def read(
        self, *, target: str, seconds: float, most: int
    ) -> bytes | Away:
        """Return the body of a page."""
        with anyio.move_on_after(seconds):
            return await self._read(target, most)
        return Away(detail=f'no answer in {seconds:g} s')

    async def _read(self, target: str, most: int) -> bytes | Away:
        taken = await self._pool.take(fresh=False, seconds=CONNECT_SECONDS)
        if isinstance(taken, connections.Unreached):
            return Away(detail=taken.detail, gone=True)
        try:
            response = await taken.handle_async_request(self._build(target))
            if response.status != 200:
                return Away(detail=f'status {response.status}')
            return await _read_body(response, most)
        except connections.LOST as error:
            return Away(detail=connections.explain(error), gone=True)
        finally:
            with anyio.CancelScope(shield=True):
                await self._pool.give_back(taken)

    def _build(self, target: str) -> httpcore.Request:
        return connections.build(
            host=self._pool.host,
            port=self._pool.port,
            method='GET',
            target=target.encode(),
            headers=[],
            body=b'',
        )


async def _read_body(response: httpcore.Response, most: int) -> bytes | Away:
    body = bytearray()
    async for chunk in response.aiter_stream():
        body += chunk
        if len(body) > most:
            return Away(detail=f'the page is longer than {most} bytes')
    return bytes(body)


async def follow_load(
    *, reader: Reader, target: str, load: engine_loads.EngineLoad
) -> None:
    """Read the load report again and again."""
    decoder = msgspec.json.Decoder(LoadReport)
    while True:
        body = await reader.read(
            target=target, seconds=LOAD_SECONDS, most=LOAD_BYTES
        )
        try:
            if isinstance(body, bytes):
                report = decoder.decode(body)
                calls = report.running + report.waiting
                load.report(calls=calls, age=report.age)
        except msgspec.MsgspecError as error:
            logging.log_every_n_seconds(
                logging.WARNING, 'load report: %s', 60, error
            )
        await anyio.sleep(LOAD_EVERY)


class EventFollower:
    """Reads cache events in their order and notices what is missing.

    :param path: of the events; ``after`` and ``seconds`` are added to it.
    """

    __slots__ = ('_reader', '_path', '_on_change', '_after', '_decoder')

    def __init__(
        self,
        *,
        reader: Reader,
        path: str,
        on_change: Callable[[cache_events.Change], None],
    ) -> None:
        self._reader = reader
        self._path = path
        self._on_change = on_change
        self._after = 0
        self._decoder = msgspec.json.Decoder(CacheAnswer)

    async def run(self) -> None:
        """Follow the events until cancelled."""
        while True:
            body = await self._reader.read(
                target=f'{self._path}?after={self._after}'
                f'&seconds={EVENTS_HELD}',
                seconds=EVENTS_SECONDS,
                most=EVENTS_BYTES,
            )
            if isinstance(body, bytes) and self.take(body):
                await anyio.sleep(EVENTS_EVERY)
                continue
            if isinstance(body, Away) and body.gone:
                self._begin_anew()
            await anyio.sleep(RETRY_SECONDS)

    def take(self, body: bytes) -> bool:
        """Take in one answer; ``False`` if it cannot be read."""
        try:
            answer = self._decoder.decode(body)
            for event in answer.events:
                self._take(event)
        except (msgspec.MsgspecError, ValueError) as error:
            logging.log_every_n_seconds(
                logging.WARNING, 'cache events: %s', 60, error
            )
            return False
        return True

    def _take(self, event: CacheEvent) -> None:
        # Before the first event nothing was told, so nothing is missing.
        gap = self._after != 0 and event.seq != self._after + 1
        self._after = event.seq
        self._on_change(
            cache_events.Change(
                stored=tuple(map(bytes.fromhex, event.stored)),
                evicted=tuple(map(bytes.fromhex, event.evicted)),
                gap=gap,
            )
        )

    def _begin_anew(self) -> None:
        """Forget the last number, as a new engine counts from the start.

        Waiting for numbers above the old one would hear nothing of the new
        engine for as long as the old one had run.
        """
        if self._after:
            self._after = 0
            self._on_change(cache_events.Change(gap=True))
