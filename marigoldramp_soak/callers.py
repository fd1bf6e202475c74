"""Callers that keep connections open and note what they were told."""

import contextlib
import dataclasses

import anyio
import h11

from . import runners

NOT_RUN = frozenset((408, 421, 429, 503))
PATHS = ('/safe/1', '/once/1', '/stream/1')
PATIENCE = 8.0
#: Longest pause between two requests on a connection, in seconds.
MAX_PAUSE = 0.2
#: Time that callers state for an answer, in seconds.
STATED = 4.0
#: The body of a request that is sent in two parts.
HALVES = b'1234', b'5678'
#: What is raised on a connection that has ended.
LOST = (
    anyio.BrokenResourceError,
    anyio.ClosedResourceError,
    h11.RemoteProtocolError,
)


@dataclasses.dataclass(kw_only=True)
class Told:
    """What one request came to at its caller.

    :ivar sent_at: when its last byte was sent.
    :ivar deadline: when the time is over that the caller stated.
    :ivar whole: the answer came to its proper end.
    """

    request: str
    path: str
    key: str
    entry: int
    sent_at: float
    deadline: float
    status: int = 0
    body: bytes = b''
    whole: bool = False
    ended_at: float = 0.0


class Caller:
    """One caller: requests on connections that it keeps until they end.

    :ivar paths: what it asks for, by chance.
    :ivar part: part that the prompts of its requests share, empty for none;
        each of them then has a path of its own.
    :ivar max_pause: longest pause between two requests, in seconds.
    :ivar max_body_pause: longest pause in the middle of a body, in seconds;
        requests have no body if it is 0.
    :ivar stated: the time that it states for an answer, in seconds.
    :ivar key: returns the key that it sends.
    """

    def __init__(self, *, name, draw, entries, key, told):
        self.name = name
        self.paths = PATHS
        self.part = ''
        self.key = key
        self.max_pause = MAX_PAUSE
        self.max_body_pause = 0.0
        self.stated = STATED
        self._draw = draw
        self._entries = entries
        self._told = told

    async def run(self, until):
        """Make requests until a time."""
        number = 0
        while anyio.current_time() < until():
            entry = self._draw.randrange(len(self._entries))
            try:
                stream = await anyio.connect_tcp(*self._entries[entry])
            except OSError:
                await anyio.sleep(0.1)
                continue
            connection = h11.Connection(h11.CLIENT)
            async with stream:
                for _ in range(self._draw.randrange(1, 12)):
                    number += 1
                    if not await self._ask(stream, connection, number, entry):
                        break
                    connection.start_next_cycle()
                    await anyio.sleep(self._draw.uniform(0.0, self.max_pause))

    async def _ask(self, stream, connection, number, entry):
        """Make one request; whether the connection can carry another."""
        path = self._draw.choice(self.paths)
        if self.part:
            path += f'/{number}'
        has_body = self.max_body_pause > 0.0
        method = 'POST'
        if path.startswith('/safe/') and not has_body:
            method = 'GET'
        told = Told(
            request=f'{self.name}-{number}',
            path=path,
            key=self.key(),
            entry=entry,
            sent_at=anyio.current_time(),
            deadline=anyio.current_time() + self.stated,
        )
        self._told.append(told)
        headers = [
            ('Host', 'soak.example'),
            ('Attempt-Id', told.request),
            ('Time-Budget-Ms', str(int(1000.0 * self.stated))),
            ('Authorization', f'Bearer {told.key}'),
            ('Content-Length', str(len(b''.join(HALVES)) * has_body)),
        ]
        if self.part:
            parts = f'c0:40,{self.part}:40,{told.request}:9'
            headers.append(('Prompt-Prefix', parts))
        data = connection.send(
            h11.Request(method=method, target=path, headers=headers)
        )
        if has_body:
            data += connection.send(h11.Data(data=HALVES[0]))
        else:
            data += connection.send(h11.EndOfMessage())
        with contextlib.suppress(*LOST):
            with anyio.move_on_after(max(PATIENCE, self.stated + 1.0)):
                await stream.send(data)
                await self._send_rest_and_read(stream, connection, told)
        told.ended_at = anyio.current_time()
        return told.whole and connection.our_state is h11.DONE

    async def _send_rest_and_read(self, stream, connection, told):
        """Read the answer while the rest of the body is sent, if any."""
        async with anyio.create_task_group() as tasks:
            if connection.our_state is h11.SEND_BODY:
                tasks.start_soon(self._send_rest, stream, connection, told)
            with contextlib.suppress(*LOST):
                await self._read(stream, connection, told)
            tasks.cancel_scope.cancel()

    async def _send_rest(self, stream, connection, told):
        await anyio.sleep(self._draw.uniform(0.0, self.max_body_pause))
        data = connection.send(h11.Data(data=HALVES[1]))
        data += connection.send(h11.EndOfMessage())
        told.sent_at = anyio.current_time()
        with contextlib.suppress(*LOST):
            await stream.send(data)

    async def _read(self, stream, connection, told):
        while True:
            event = connection.next_event()
            if event is h11.NEED_DATA:
                try:
                    data = await stream.receive()
                except anyio.EndOfStream:
                    data = b''
                connection.receive_data(data)
            elif isinstance(event, h11.Response):
                told.status = event.status_code
            elif isinstance(event, h11.Data):
                told.body += event.data
            elif isinstance(event, h11.EndOfMessage):
                told.whole = True
                return
            else:
                return


def whole_body(told):
    """Return the only body that a request's success may have."""
    if told.path.startswith('/stream/'):
        return b''.join(
            runners.make_event(number, told.request)
            for number in range(1, runners.EVENTS + 1)
        )
    return f'done {told.request}'.encode()
