"""A streamed answer that may come over more than one connection.

When the connection to an engine breaks, the engine can send the rest over a
new one.  That rest is taken only if it repeats, byte for byte, the last
bytes that have come already: an engine that goes on at the wrong byte, or
that has given the stream's identifier to another stream, is noticed by it.
"""

from . import asgi
from . import endpoint_kinds

EVENT_STREAM = b'text/event-stream'
EVENT_END = b'\n\n'
#: Bytes that a resumed stream has to repeat.
OVERLAP_BYTES = 2048
#: Bytes held back at most until the first event is whole.
MOST_HELD = 16384
MOST_IDENTIFIER = 256


class Stream:
    """Stands before the sink of a call and notes how far its stream is.

    The head and the first event are held back until that event is whole.
    Before it there is nothing by which two streams can be told apart, and
    as long as nothing has been passed on, the call can be tried elsewhere.

    :param name: header in which the engine gives the stream's identifier.
    :ivar identifier: of the stream, empty where it cannot be resumed.
    :ivar size: bytes that were passed on.
    """

    __slots__ = (
        'identifier',
        'size',
        '_sink',
        '_name',
        '_status',
        '_headers',
        '_held',
        '_recent',
        '_repeated',
        '_in_doubt',
    )

    def __init__(self, *, sink: endpoint_kinds.Sink, name: bytes) -> None:
        self.identifier = ''
        self.size = sink.size
        self._sink = sink
        self._name = name
        self._status = 0
        self._headers: asgi.Headers = []
        self._held: bytes | None = None
        self._recent = b''
        self._repeated = b''
        self._in_doubt = False

    @property
    def is_resumable(self) -> bool:
        """Whether enough has come to recognise the rest by."""
        return bool(self.identifier and self.size)

    @property
    def is_known(self) -> bool:
        """Whether the engine certainly still means this stream.

        After a broken connection another process may have the port, and may
        have given the identifier to somebody else's stream.
        """
        return bool(self.identifier) and not self._in_doubt

    @property
    def tail(self) -> bytes:
        """The last bytes that were passed on."""
        return self._recent[-endpoint_kinds.TAIL_BYTES :]

    async def begin(self, status: int, headers: asgi.Headers) -> None:
        """Take the head; hold it back where the answer is a stream."""
        self.identifier = self._identify(status, headers)
        passed = [pair for pair in headers if pair[0] != self._name]
        if not self.identifier:
            await self._sink.begin(status, passed)
            return
        self._status = status
        self._headers = passed
        self._held = b''

    async def append(self, chunk: bytes) -> None:
        """Take the next bytes of the body."""
        if self._held is None:
            await self._pass(chunk)
            return
        self._held += chunk
        if EVENT_END in self._held or len(self._held) > MOST_HELD:
            await self.flush()

    async def flush(self) -> None:
        """Pass on what was held back."""
        if self._held is None:
            return
        held, self._held = self._held, None
        await self._sink.begin(self._status, self._headers)
        await self._pass(held)

    def resume(self) -> int:
        """Expect the rest; return the byte from which to ask for it."""
        self._repeated = self._recent
        self._in_doubt = True
        return self.size - len(self._recent)

    def is_same(self, status: int, headers: asgi.Headers) -> bool:
        """Whether the head of a resumed answer is that of this stream."""
        return self._identify(status, headers) == self.identifier

    @property
    def is_repeated(self) -> bool:
        """Whether all bytes that a resumed stream must repeat have come."""
        return not self._repeated

    async def go_on(self, chunk: bytes) -> bool:
        """Take bytes of a resumed answer; ``False`` if they do not fit."""
        repeated = chunk[: len(self._repeated)]
        if not self._repeated.startswith(repeated):
            return False
        self._repeated = self._repeated[len(repeated) :]
        self._in_doubt = bool(self._repeated)
        await self._pass(chunk[len(repeated) :])
        return True

    async def _pass(self, chunk: bytes) -> None:
        self.size += len(chunk)
        self._recent = (self._recent + chunk)[-OVERLAP_BYTES:]
        await self._sink.append(chunk)

    def _identify(self, status: int, headers: asgi.Headers) -> str:
        if status != 200 or not is_event_stream(headers):
            return ''
        for key, value in headers:
            if key == self._name and len(value) <= MOST_IDENTIFIER:
                return value.decode('latin-1')
        return ''


def is_event_stream(headers: asgi.Headers) -> bool:
    """Whether an answer is a stream of server-sent events."""
    for key, value in headers:
        if key == b'content-type':
            return value.startswith(EVENT_STREAM)
    return False
