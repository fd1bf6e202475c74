"""One call at the agent and its answer as far as it has come.

The call runs in a task of its own; entries attach to it as readers.  So an
entry whose connection has been lost can attach again over a new one and go
on from the byte that it has, while the call runs only once.
"""

import enum
import math
from typing import AsyncIterator

import anyio

from . import asgi
from . import outcomes


class State(enum.Enum):
    """How far an execution has come."""

    WAITING = 'waiting'
    RUNNING = 'running'
    ENDED = 'ended'
    REFUSED = 'refused'


class Execution:
    """A call and its answer.

    :ivar status: HTTP status of the answer, 0 before it has begun.
    :ivar refusal: how the call ended without a whole answer.
    :ivar scope: cancelling it ends the call's work at the endpoint.
    :ivar deadline: end of the call by the agent's clock.
    :ivar begun: when the endpoint was given the call, by the same clock.
    :ivar window: bytes that are kept behind the fastest reader.
    :ivar given_up: the caller has gone; the work ends with the last reader.
    """

    __slots__ = (
        'call',
        'state',
        'status',
        'headers',
        'refusal',
        'scope',
        'deadline',
        'begun',
        'window',
        'readers',
        'given_up',
        'size',
        '_chunks',
        '_first',
        '_read',
        '_changed',
        '_drained',
    )

    def __init__(self, *, call: str, window: int) -> None:
        self.call = call
        self.state = State.WAITING
        self.status = 0
        self.headers: asgi.Headers = []
        self.refusal: outcomes.Refusal | None = None
        self.scope = anyio.CancelScope()
        self.deadline = math.inf
        self.begun = math.inf
        self.window = window
        self.readers = 0
        self.given_up = False
        self.size = 0
        self._chunks: list[bytes] = []
        self._first = 0  # offset in the answer of the first kept byte
        self._read = 0  # offset that the fastest reader has come to
        # Made by whoever waits: most chunks find nobody waiting.
        self._changed: anyio.Event | None = None
        self._drained: anyio.Event | None = None

    # Writing, by the task that runs the call

    def hand_over(self) -> None:
        """Note that from now on the endpoint may have run the call."""
        self.state = State.RUNNING

    async def begin(self, status: int, headers: asgi.Headers) -> None:
        """Take the head of the answer; a resumed one comes again."""
        if self.status:
            return
        self.status = status
        self.headers = headers
        self._notify()

    async def append(self, chunk: bytes) -> None:
        """Take the next bytes; wait while readers are a window behind."""
        if not chunk:
            return
        self._chunks.append(chunk)
        self.size += len(chunk)
        self._notify()
        while self.readers and self.size - self._read > self.window:
            await self._wait_drained()
        self._trim()

    def end(self) -> None:
        """Note that the answer is whole."""
        self.state = State.ENDED
        self._notify()

    def refuse(self, refusal: outcomes.Refusal) -> None:
        """Note that there will be no whole answer, and why."""
        self.state = State.REFUSED
        self.refusal = refusal
        self._notify()

    def discard(self) -> None:
        """Forget the body of an answer that is too large to keep."""
        self._chunks.clear()
        self._first = self.size

    # Reading, by the tasks that serve entries

    @property
    def final(self) -> bool:
        """Whether nothing more will come."""
        return self.state in (State.ENDED, State.REFUSED)

    @property
    def held(self) -> int:
        """Bytes of the answer that are in memory."""
        return self.size - self._first

    async def wait_begun(self) -> None:
        """Return when the answer has begun or was refused."""
        while not self.status and not self.final:
            await self._wait_changed()

    async def wait_final(self) -> None:
        """Return when nothing more will come."""
        while not self.final:
            await self._wait_changed()

    def body(self) -> bytes | None:
        """Return the whole body, ``None`` if some of it is not kept."""
        return None if self._first else b''.join(self._chunks)

    def covers(self, offset: int) -> bool:
        """Whether a reader can go on from that byte of the answer."""
        return self._first <= offset <= self.size

    async def read(self, offset: int) -> AsyncIterator[bytes]:
        """Yield the answer from a byte on, until nothing more will come.

        The caller looks at ``state`` afterwards: only ``ENDED`` means that
        the answer was whole.
        """
        while True:
            chunk = self._chunk_at(offset)
            if chunk:
                offset += len(chunk)
                yield chunk
                self._advance(offset)
            elif self.final:
                return
            else:
                await self._wait_changed()

    def _chunk_at(self, offset: int) -> bytes:
        """Return what is kept from a byte on, joined."""
        behind = self.size - offset
        if behind <= 0:
            return b''
        taken: list[bytes] = []
        for chunk in reversed(self._chunks):
            taken.append(chunk[max(0, len(chunk) - behind) :])
            behind -= len(chunk)
            if behind <= 0:
                break
        taken.reverse()
        return b''.join(taken)

    def _advance(self, offset: int) -> None:
        if offset > self._read:
            self._read = offset
            if self._drained is not None:
                self._drained.set()
                self._drained = None

    def _trim(self) -> None:
        """Drop what lies more than a window behind the fastest reader."""
        while self._chunks:
            length = len(self._chunks[0])
            if self._first + length > self._read - self.window:
                return
            del self._chunks[0]
            self._first += length

    def _notify(self) -> None:
        if self._changed is not None:
            self._changed.set()
            self._changed = None

    async def _wait_changed(self) -> None:
        if self._changed is None:
            self._changed = anyio.Event()
        await self._changed.wait()

    async def _wait_drained(self) -> None:
        if self._drained is None:
            self._drained = anyio.Event()
        await self._drained.wait()


def restore(*, status: int, headers: asgi.Headers, body: bytes) -> Execution:
    """Return the execution of a call that has ended elsewhere."""
    execution = Execution(call='', window=len(body))
    execution.status = status
    execution.headers = headers
    execution.size = len(body)
    if body:
        execution._chunks.append(body)
    execution.state = State.ENDED
    return execution
