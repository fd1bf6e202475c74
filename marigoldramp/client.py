"""Client for Python callers: asks for addresses, keeps them, retries.

A caller can do all of this by hand with plain HTTP, see docs/CALLERS.md.
The client keeps the answer to "which addresses", takes one bound key for
each new non-idempotent call and keeps it for every retry of that call, goes
on with a cut stream through another entry, and repeats only what may be.
"""

import collections
import dataclasses
import random as random_module
import time
from typing import AsyncIterator
from typing import Awaitable
from typing import Callable
from typing import Sequence

import anyio
import httpcore
import msgspec

from . import connections
from . import outcomes
from . import problems

ADDRESSES_PATH = b'/marigoldramp/addresses'
CONNECT_SECONDS = 1.0
IDLE_CONNECTIONS = 16
#: Pause before asking the next entry when the last one said no time.
PAUSE = 0.05
#: Bytes at the end of an answer in which an error event is looked for.
TAIL_BYTES = 4096


class EntryAddress(msgspec.Struct, frozen=True, kw_only=True):
    """Address of one entry, as a base for URLs."""

    address: str


class Addresses(msgspec.Struct, frozen=True, kw_only=True):
    """Answer to "which addresses shall I use".

    :ivar keep_seconds: how long the answer may be kept.
    :ivar bindings: bound keys by service, each for one call.
    """

    entries: list[EntryAddress]
    keep_seconds: float
    bindings: dict[str, list[str]] = {}


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Call:
    """What a caller wants.

    :ivar seconds: time until the answer is worthless.
    :ivar service: name of the service if the call is non-idempotent; a
        bound key is taken for it.  Empty for an idempotent call.
    :ivar priority: ``urgent``, ``normal`` or ``background``; empty leaves
        it to the route.
    """

    method: str
    path: str
    body: bytes = b''
    headers: tuple[tuple[bytes, bytes], ...] = ()
    seconds: float = 10.0
    service: str = ''
    priority: str = ''


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Answer:
    """A whole answer."""

    status: int
    headers: tuple[tuple[bytes, bytes], ...]
    body: bytes


@dataclasses.dataclass(slots=True, kw_only=True)
class _Progress:
    """A call's attempts so far.

    :ivar key: bound key, the same for all attempts until one is barred.
    :ivar sent: attempts that were sent with this key.
    :ivar maybe: some attempt may have run.
    :ivar received: bytes of the answer so far, the last of them in ``tail``.
    """

    call: Call
    deadline: float
    key: str = ''
    sent: int = 0
    maybe: bool = False
    status: int = 0
    headers: tuple[tuple[bytes, bytes], ...] = ()
    resume: bytes = b''
    received: int = 0
    tail: bytes = b''


class Client:
    """A caller of one marigoldramp deployment.

    :param addresses: base addresses of some entries, to begin with.
    :param key: the caller's key.
    """

    def __init__(
        self,
        *,
        addresses: Sequence[str],
        key: str,
        clock: Callable[[], float] = time.monotonic,
        random: random_module.Random | None = None,
    ) -> None:
        self._seeds = tuple(addresses)
        self._authorization = b'Bearer ' + key.encode()
        self._clock = clock
        self._random = random or random_module.Random()
        self._entries: tuple[str, ...] = ()
        self._asked_at = 0.0
        self._keep = 0.0
        self._keys: dict[str, collections.deque[str]] = {}
        self._pools: dict[str, connections.Pool] = {}
        self._turn = self._random.randrange(1 << 16)

    async def call(self, call: Call) -> Answer | outcomes.Refusal:
        """Make a call and return its whole answer or a refusal."""
        chunks: list[bytes] = []
        progress = self._begin(call)

        async def take(chunk: bytes) -> None:
            chunks.append(chunk)

        refusal = await self._drive(progress, take)
        if refusal is not None:
            return refusal
        return Answer(
            status=progress.status,
            headers=progress.headers,
            body=b''.join(chunks),
        )

    async def stream(
        self, call: Call
    ) -> AsyncIterator[bytes | outcomes.Refusal]:
        """Make a call and yield its answer as it comes.

        A last item that is a refusal means that the answer is not whole.
        """
        sender, receiver = anyio.create_memory_object_stream[
            bytes | outcomes.Refusal
        ]()
        progress = self._begin(call)

        async def drive() -> None:
            async with sender:
                refusal = await self._drive(progress, sender.send)
                if refusal is not None:
                    await sender.send(refusal)

        async with anyio.create_task_group() as group, receiver:
            group.start_soon(drive)
            async for item in receiver:
                yield item

    async def close(self) -> None:
        """Close idle connections."""
        for pool in self._pools.values():
            await pool.clear()

    def _begin(self, call: Call) -> _Progress:
        return _Progress(call=call, deadline=self._clock() + call.seconds)

    # Attempts

    async def _drive(
        self,
        progress: _Progress,
        take: Callable[[bytes], Awaitable[None]],
    ) -> outcomes.Refusal | None:
        """Try until an answer is whole, a refusal is final, or time is up."""
        refusal: outcomes.Refusal | None = outcomes.NotRun(
            reason=outcomes.Reason.DEADLINE
        )
        with anyio.move_on_after(progress.call.seconds):
            while True:
                refusal = await self._attempt(progress, take)
                if refusal is None:
                    return None
                pause = self._decide_pause(progress, refusal)
                if pause is None:
                    return refusal
                await anyio.sleep(pause)
        if refusal is None:
            return None
        return self._soften(progress, refusal)

    def _decide_pause(
        self, progress: _Progress, refusal: outcomes.Refusal
    ) -> float | None:
        """Return the pause before another attempt, ``None`` to stop."""
        left = progress.deadline - self._clock()
        match refusal:
            case outcomes.NotRun(retry_after=float() as pause):
                # A refused key stays barred; a new attempt takes a new one.
                progress.key = ''
                progress.sent = 0
                pause = max(pause, PAUSE)
            case outcomes.OutcomeUnknown(
                reason=outcomes.Reason.CONNECTION_LOST
            ) if self._can_go_on(progress):
                pause = PAUSE
            case _:
                return None
        return pause if pause < left else None

    def _can_go_on(self, progress: _Progress) -> bool:
        """Whether a call whose connection was lost can be asked again.

        After a part of the answer, only from the byte where it was cut.
        """
        if progress.sent >= 2 * max(2, len(self._entries)):
            return False
        if not progress.received:
            return True
        return bool(progress.key or progress.resume)

    async def _attempt(
        self,
        progress: _Progress,
        take: Callable[[bytes], Awaitable[None]],
    ) -> outcomes.Refusal | None:
        entries = await self._find_entries(progress)
        if not entries:
            return outcomes.NotRun(
                reason=outcomes.Reason.NO_ENDPOINT,
                detail='no entry answers',
                retry_after=PAUSE,
            )
        self._turn += 1
        address = entries[self._turn % len(entries)]
        pool = self._find_pool(address)
        connection = await pool.take(
            fresh=progress.sent > 0, seconds=CONNECT_SECONDS
        )
        if isinstance(connection, connections.Unreached):
            self._forget(address)
            return self._soften(
                progress,
                outcomes.NotRun(
                    reason=outcomes.Reason.NO_ENDPOINT,
                    detail=connection.detail,
                    retry_after=PAUSE,
                ),
            )
        try:
            return await self._exchange(progress, connection, pool, take)
        except connections.LOST as error:
            ended = problems.find_event(progress.tail)
            if ended is not None:
                return self._soften(progress, ended)
            self._forget(address)
            return outcomes.OutcomeUnknown(
                reason=outcomes.Reason.CONNECTION_LOST,
                detail=connections.explain(error),
            )
        finally:
            with anyio.CancelScope(shield=True):
                await pool.give_back(connection)

    async def _exchange(
        self,
        progress: _Progress,
        connection: httpcore.AsyncHTTP11Connection,
        pool: connections.Pool,
        take: Callable[[bytes], Awaitable[None]],
    ) -> outcomes.Refusal | None:
        headers = self._build_headers(progress)
        progress.sent += 1
        before, progress.maybe = progress.maybe, True
        response = await connection.handle_async_request(
            connections.build(
                host=pool.host,
                port=pool.port,
                method=progress.call.method,
                target=progress.call.path.encode(),
                headers=headers,
                body=progress.call.body,
            )
        )
        answered = connections.lower(response.headers)
        if (b'content-type', problems.CONTENT_TYPE) in answered:
            body = await response.aread()
            refusal = problems.decode(body)
            if refusal is not None:
                if isinstance(refusal, outcomes.NotRun):
                    progress.maybe = before and not progress.key
                return self._soften(progress, refusal)
        if not progress.status:
            progress.status = response.status
            progress.headers = tuple(answered)
        progress.resume = dict(answered).get(b'marigoldramp-resume', b'')
        async for chunk in response.aiter_stream():
            progress.received += len(chunk)
            progress.tail = (progress.tail + chunk)[-TAIL_BYTES:]
            await take(chunk)
        return None

    def _soften(
        self, progress: _Progress, refusal: outcomes.Refusal
    ) -> outcomes.Refusal:
        """Return a refusal that is true of all attempts together."""
        if progress.maybe and isinstance(refusal, outcomes.NotRun):
            return outcomes.OutcomeUnknown(
                reason=refusal.reason, detail=refusal.detail
            )
        return refusal

    def _build_headers(self, progress: _Progress) -> list[tuple[bytes, bytes]]:
        call = progress.call
        left = max(0.001, progress.deadline - self._clock())
        headers = [
            *call.headers,
            (b'authorization', self._authorization),
            (b'marigoldramp-deadline', f'{left:.3f}'.encode()),
        ]
        if call.priority:
            headers.append((b'marigoldramp-priority', call.priority.encode()))
        if call.service:
            if not progress.key:
                progress.key = self._take_key(call.service)
            if progress.key:
                headers.append((b'idempotency-key', progress.key.encode()))
            if not progress.sent:
                headers.append((b'marigoldramp-attempt', b'1'))
        elif progress.resume:
            headers.append((b'marigoldramp-resume', progress.resume))
        if progress.received:
            headers.append(
                (b'marigoldramp-resume-from', b'%d' % progress.received)
            )
        return headers

    # Addresses

    def _take_key(self, service: str) -> str:
        waiting = self._keys.get(service)
        return waiting.popleft() if waiting else ''

    async def _find_entries(self, progress: _Progress) -> tuple[str, ...]:
        stale = self._clock() - self._asked_at >= self._keep
        service = progress.call.service
        short = service and not progress.key and not self._keys.get(service)
        if stale or short or not self._entries:
            await self._ask_addresses()
        return self._entries

    async def _ask_addresses(self) -> None:
        known = [*self._entries]
        seeds = [one for one in self._seeds if one not in known]
        self._random.shuffle(seeds)
        for address in [*known, *seeds]:
            answer = await self._ask_one(address)
            if answer is None:
                continue
            self._entries = tuple(one.address for one in answer.entries)
            self._keep = answer.keep_seconds
            self._asked_at = self._clock()
            self._keys = {
                service: collections.deque(keys)
                for service, keys in answer.bindings.items()
            }
            return

    async def _ask_one(self, address: str) -> Addresses | None:
        pool = self._find_pool(address)
        connection = await pool.take(fresh=False, seconds=CONNECT_SECONDS)
        if isinstance(connection, connections.Unreached):
            return None
        try:
            request = connections.build(
                host=pool.host,
                port=pool.port,
                method='GET',
                target=ADDRESSES_PATH,
                headers=[(b'authorization', self._authorization)],
                body=b'',
            )
            request.extensions = {'timeout': {'read': CONNECT_SECONDS}}
            response = await connection.handle_async_request(request)
            body = await response.aread()
            if response.status != 200:
                return None
            return msgspec.json.decode(body, type=Addresses)
        except (*connections.LOST, msgspec.MsgspecError):
            return None
        finally:
            with anyio.CancelScope(shield=True):
                await pool.give_back(connection)

    def _forget(self, address: str) -> None:
        """Ask anew, as an entry that failed may have left the answer."""
        self._keep = 0.0
        self._entries = tuple(one for one in self._entries if one != address)

    def _find_pool(self, address: str) -> connections.Pool:
        pool = self._pools.get(address)
        if pool is None:
            origin = httpcore.URL(address).origin
            pool = connections.Pool(
                host=origin.host.decode(),
                port=origin.port,
                most_idle=IDLE_CONNECTIONS,
            )
            self._pools[address] = pool
        return pool
