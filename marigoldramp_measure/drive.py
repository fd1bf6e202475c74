"""Calls for measurements, the same to the path and to a stand-in."""

import contextlib
import dataclasses
import time

import httpcore
import msgspec

from marigoldramp_standins import answers
from marigoldramp_standins import demo_layout

MOST_CONNECTIONS = 2048
READ_SECONDS = 60.0
RECEIPT_BYTES = 1000

Headers = list[tuple[str, str]]


class Failed(Exception):
    """A call had another answer than a whole one; the run is void."""


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Times:
    """Seconds of one call.

    :ivar first: until the first bytes of the body came.
    :ivar gaps: between each two pieces of the body that came after.
    """

    first: float
    total: float
    gaps: tuple[float, ...] = ()


class Driver:
    """Sends calls to one address, as one customer."""

    __slots__ = ('_address', '_headers', '_pool')

    def __init__(self, *, address: str, key: str = '') -> None:
        self._address = address
        self._headers: Headers = [('content-type', 'application/json')]
        if key:
            self._headers.append(('authorization', f'Bearer {key}'))
        self._pool = httpcore.AsyncConnectionPool(
            max_connections=MOST_CONNECTIONS,
            max_keepalive_connections=MOST_CONNECTIONS,
        )

    async def close(self) -> None:
        """Close its connections."""
        await self._pool.aclose()

    async def fetch_receipt(self, number: int) -> Times:
        """Make a plain idempotent call."""
        path = f'/receipts/{number}?bytes={RECEIPT_BYTES}'
        times, body = await self._send('GET', path, b'')
        if len(body) != RECEIPT_BYTES:
            raise Failed(f'a receipt of {len(body)} bytes')
        return times

    async def confirm_pledge(self, number: int) -> Times:
        """Make a plain non-idempotent call."""
        body = msgspec.json.encode({'reference': f'pledge-{number}'})
        path = f'/pledges/{number}/confirmation'
        times, _ = await self._send('POST', path, body)
        return times

    async def count_address_bytes(self) -> int:
        """Ask which addresses to use; return the size of the answer."""
        _, body = await self._send('GET', '/marigoldramp/addresses', b'')
        return len(body)

    async def stream(self, number: int, tokens: int) -> Times:
        """Read a streamed draft to its end."""
        body = write_draft(number, tokens)
        times, answer = await self._send('POST', '/v1/chat/completions', body)
        if not answer.endswith(answers.STREAM_END):
            raise Failed('a stream without its end')
        return times

    async def hold_stream(self, number: int) -> None:
        """Open a long stream and read it until cancelled."""
        body = write_draft(number, answers.MOST_TOKENS)
        async with self._open(
            'POST', '/v1/chat/completions', body
        ) as response:
            async for _ in response.aiter_stream():
                pass

    def _open(
        self, method: str, path: str, body: bytes
    ) -> contextlib.AbstractAsyncContextManager[httpcore.Response]:
        return self._pool.stream(
            method,
            self._address + path,
            headers=self._headers,
            content=body,
            extensions={'timeout': {'read': READ_SECONDS}},
        )

    async def _send(
        self, method: str, path: str, body: bytes
    ) -> tuple[Times, bytes]:
        begun = time.perf_counter()
        marks = []
        chunks = []
        async with self._open(method, path, body) as response:
            async for chunk in response.aiter_stream():
                marks.append(time.perf_counter())
                chunks.append(chunk)
        ended = time.perf_counter()
        answer = b''.join(chunks)
        if response.status != 200 or not marks:
            raise Failed(f'status {response.status}: {answer[:300]!r}')
        gaps = tuple(after - before for before, after in zip(marks, marks[1:]))
        times = Times(first=marks[0] - begun, total=ended - begun, gaps=gaps)
        return times, answer


def write_draft(number: int, tokens: int) -> bytes:
    """Return the body of a streamed draft with a prompt of its own."""
    message = answers.Message(role='user', content=f'{number}: gate 12')
    request = answers.ChatRequest(
        model=demo_layout.MODEL,
        messages=(message,),
        stream=True,
        max_tokens=tokens,
    )
    return msgspec.json.encode(request)
