"""Client for Python callers: asks for addresses, keeps them, retries.

A caller can do all of this by hand with plain HTTP, see docs/CALLERS.md.
The client keeps the answer to "which addresses", takes one bound key for
each new non-idempotent call and keeps it for every retry of that call, goes
on with a cut answer through another entry, and repeats only what may be.
"""

import dataclasses
import random as random_module
import time
from typing import AsyncIterator
from typing import Callable
from typing import Sequence

import anyio
import httpcore

from . import connections
from . import known_entries
from . import outcomes
from . import problems

CONNECT_SECONDS = 1.0
#: Pause before asking the next entry when the last one said no time.
PAUSE = 0.05
#: Attempts of one call, however they end.
MOST_ATTEMPTS = 8
#: Bound of a call whose caller leaves the deadline to the route.
MOST_SECONDS = 60.0
#: Silence after which an answer that has begun, or one that a bound key can
#: ask for again, is asked for through another entry.  Doubles each time.
SILENCE = 1.0
#: Share of the time left that a call which would run anew is waited for.
PATIENCE = 0.5
#: Bytes at the end of an answer in which an error event is looked for.
TAIL_BYTES = 4096

_R = outcomes.Reason
#: Reasons for "unknown" after which the same question can be answered by
#: another entry, or by the same one a moment later.
_ASK_AGAIN = frozenset(
    {
        _R.CONNECTION_LOST,
        _R.NO_ENDPOINT,
        _R.NO_BUNDLE,
        _R.LEAVING,
        _R.WRONG_INSTANCE,
        _R.QUEUE_FULL,
        _R.RATE_LIMIT,
        _R.CONCURRENCY_LIMIT,
        _R.STORE_AWAY,
        _R.CANCELLED,
    }
)


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Call:
    """What a caller wants.

    :ivar seconds: time until the answer is worthless; ``None`` leaves it to
        the route.
    :ivar service: name of the service if the call is non-idempotent; a
        bound key is taken for it.  Empty for an idempotent call.
    :ivar priority: ``urgent``, ``normal`` or ``background``; empty leaves
        it to the route.
    """

    method: str
    path: str
    body: bytes = b''
    headers: tuple[tuple[bytes, bytes], ...] = ()
    seconds: float | None = None
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

    :ivar key: bound key, the same for all attempts until it is refused.
    :ivar sent: attempts that were sent with this key.
    :ivar attempts: attempts in all.
    :ivar maybe: some attempt may have run.
    :ivar received: bytes of the answer so far, the last of them in ``tail``.
    """

    call: Call
    deadline: float
    key: str = ''
    sent: int = 0
    attempts: int = 0
    maybe: bool = False
    status: int = 0
    headers: tuple[tuple[bytes, bytes], ...] = ()
    resume: bytes = b''
    received: int = 0
    tail: bytes = b''

    def soften(self, refusal: outcomes.Refusal) -> outcomes.Refusal:
        """Return a refusal that is true of all attempts together."""
        if self.maybe and isinstance(refusal, outcomes.NotRun):
            return outcomes.OutcomeUnknown(
                reason=refusal.reason, detail=refusal.detail
            )
        return refusal

    def can_go_on(self) -> bool:
        """Whether the same question can be put again.

        After a part of the answer, only from the byte where it was cut.
        """
        if not self.received:
            return True
        return bool(self.key or self.resume)


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
        self._authorization = b'Bearer ' + key.encode()
        self._clock = clock
        self._entries = known_entries.KnownEntries(
            seeds=addresses,
            authorization=self._authorization,
            clock=clock,
            random=random or random_module.Random(),
        )

    async def call(self, call: Call) -> Answer | outcomes.Refusal:
        """Make a call and return its whole answer or a refusal."""
        progress = self._begin(call)
        chunks: list[bytes] = []
        async for item in self._drive(progress):
            if not isinstance(item, bytes):
                return item
            chunks.append(item)
        return Answer(
            status=progress.status,
            headers=progress.headers,
            body=b''.join(chunks),
        )

    def stream(self, call: Call) -> AsyncIterator[bytes | outcomes.Refusal]:
        """Make a call and yield its answer as it comes.

        A last item that is a refusal means that the answer is not whole.
        """
        return self._drive(self._begin(call))

    async def close(self) -> None:
        """Close idle connections."""
        await self._entries.close()

    # Attempts

    def _begin(self, call: Call) -> _Progress:
        seconds = MOST_SECONDS if call.seconds is None else call.seconds
        return _Progress(call=call, deadline=self._clock() + seconds)

    async def _drive(
        self, progress: _Progress
    ) -> AsyncIterator[bytes | outcomes.Refusal]:
        """Try until an answer is whole, a refusal is final, or time is up.

        No cancel scope is open while this yields: a reader may leave early,
        and a scope that was entered by another task cannot be left then.
        """
        while True:
            refusal: outcomes.Refusal | None = None
            async for item in self._attempt(progress):
                if isinstance(item, bytes):
                    yield item
                else:
                    refusal = item
            if refusal is None:
                return
            pause = self._decide_pause(progress, refusal)
            if pause is None:
                yield progress.soften(refusal)
                return
            await anyio.sleep(pause)

    def _decide_pause(
        self, progress: _Progress, refusal: outcomes.Refusal
    ) -> float | None:
        """Return the pause before another attempt, ``None`` to stop."""
        if progress.attempts >= MOST_ATTEMPTS:
            return None
        match refusal:
            case outcomes.NotRun(retry_after=float() as pause):
                pause = max(pause, PAUSE)
            case outcomes.OutcomeUnknown(reason=reason) if (
                reason in _ASK_AGAIN and progress.can_go_on()
            ):
                pause = PAUSE
            case _:
                return None
        return pause if pause < progress.deadline - self._clock() else None

    async def _attempt(
        self, progress: _Progress
    ) -> AsyncIterator[bytes | outcomes.Refusal]:
        """Ask one entry; the last item is a refusal unless all was well."""
        progress.attempts += 1
        wanted = '' if progress.key else progress.call.service
        pool = await self._entries.choose(service=wanted)
        if pool is None:
            yield _describe_unreached('no entry answers')
            return
        if wanted:
            progress.key = self._entries.take_key(wanted)
        if wanted and not progress.key:
            # Without a key a lost call could not be asked again, only run
            # again.
            yield _describe_unreached('no entry gave a key for the call')
            return
        left = progress.deadline - self._clock()
        connection = await pool.take(
            fresh=progress.attempts > 1,
            seconds=max(0.001, min(CONNECT_SECONDS, left)),
        )
        if isinstance(connection, connections.Unreached):
            self._entries.doubt(pool)
            yield _describe_unreached(connection.detail)
            return
        try:
            async for item in self._exchange(progress, connection, pool):
                yield item
        except connections.LOST as error:
            self._entries.doubt(pool)
            yield self._describe_lost(progress, error)
        finally:
            with anyio.CancelScope(shield=True):
                await pool.give_back(connection)

    async def _exchange(
        self,
        progress: _Progress,
        connection: httpcore.AsyncHTTP11Connection,
        pool: connections.Pool,
    ) -> AsyncIterator[bytes | outcomes.Refusal]:
        request = self._build(progress, pool)
        progress.sent += 1
        before, progress.maybe = progress.maybe, True
        response = await connection.handle_async_request(request)
        headers = connections.lower(response.headers)
        refusal = await _read_refusal(response, headers)
        if refusal is not None:
            self._note_refused(progress, refusal, before)
            yield refusal
            return
        if not progress.status:
            progress.status = response.status
            progress.headers = tuple(headers)
            progress.resume = _find(headers, b'marigoldramp-resume')
        request.extensions = self._limit(progress, SILENCE * 2)
        async for chunk in response.aiter_stream():
            progress.received += len(chunk)
            progress.tail = (progress.tail + chunk)[-TAIL_BYTES:]
            yield chunk

    def _note_refused(
        self, progress: _Progress, refusal: outcomes.Refusal, before: bool
    ) -> None:
        """Note what an entry's refusal says about the attempts so far.

        "Not run" about a bound key speaks for every attempt with it, and
        the key is not used again; about another call, for this attempt.
        """
        if isinstance(refusal, outcomes.OutcomeUnknown):
            return
        progress.maybe = before and not progress.key
        progress.key = ''
        progress.sent = 0

    def _describe_lost(
        self, progress: _Progress, error: Exception
    ) -> outcomes.Refusal:
        """Return why an answer broke off: the entry's word, or our own."""
        ended = problems.find_event(progress.tail)
        if ended is not None:
            return outcomes.OutcomeUnknown(
                reason=_R.ENDPOINT_FAILED,
                detail=f'{ended.reason.value}: {ended.detail}',
            )
        late = self._clock() >= progress.deadline
        return outcomes.OutcomeUnknown(
            reason=_R.DEADLINE if late else _R.CONNECTION_LOST,
            detail=connections.explain(error),
        )

    # Requests

    def _build(
        self, progress: _Progress, pool: connections.Pool
    ) -> httpcore.Request:
        request = connections.build(
            host=pool.host,
            port=pool.port,
            method=progress.call.method,
            target=progress.call.path.encode(),
            headers=self._build_headers(progress),
            body=progress.call.body,
        )
        if progress.key or progress.resume:
            silence = SILENCE * 2 ** min(progress.sent, 4)
        else:
            left = progress.deadline - self._clock()
            silence = left * (PATIENCE if progress.attempts == 1 else 1.0)
        request.extensions = self._limit(progress, silence)
        return request

    def _limit(
        self, progress: _Progress, silence: float
    ) -> dict[str, dict[str, float]]:
        """Return the waits that httpcore allows, within the deadline."""
        left = progress.deadline - self._clock()
        seconds = max(0.001, min(silence, left))
        return {'timeout': {'read': seconds, 'write': seconds}}

    def _build_headers(self, progress: _Progress) -> list[tuple[bytes, bytes]]:
        call = progress.call
        headers = [
            *call.headers,
            (b'authorization', self._authorization),
        ]
        if call.seconds is not None:
            left = max(0.001, progress.deadline - self._clock())
            headers.append((b'marigoldramp-deadline', f'{left:.3f}'.encode()))
        if call.priority:
            headers.append((b'marigoldramp-priority', call.priority.encode()))
        if progress.key:
            headers.append((b'idempotency-key', progress.key.encode()))
            if not progress.sent:
                headers.append((b'marigoldramp-attempt', b'1'))
        else:
            headers.append((b'marigoldramp-resumable', b'1'))
        if progress.resume and not progress.key:
            headers.append((b'marigoldramp-resume', progress.resume))
        if progress.received:
            headers.append(
                (b'marigoldramp-resume-from', b'%d' % progress.received)
            )
        return headers


async def _read_refusal(
    response: httpcore.Response, headers: list[tuple[bytes, bytes]]
) -> outcomes.Refusal | None:
    if _find(headers, b'content-type') != problems.CONTENT_TYPE:
        return None
    if not _find(headers, problems.HEADER):
        # The endpoint's own problem details are an answer like any other.
        return None
    return problems.decode(await response.aread())


def _find(headers: list[tuple[bytes, bytes]], name: bytes) -> bytes:
    for key, value in headers:
        if key == name:
            return value
    return b''


def _describe_unreached(detail: str) -> outcomes.NotRun:
    return outcomes.NotRun(
        reason=_R.NO_ENDPOINT, detail=detail, retry_after=PAUSE
    )
