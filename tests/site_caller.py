"""What callers of a site do: plain HTTP, addresses, keys and streams."""

import collections
import contextlib
import dataclasses

import httpcore
import msgspec

from marigoldramp import bindings
from marigoldramp import messages
from marigoldramp import problems

FLEET_KEY = '0123456789abcdef0123456789abcdef'
CALLER_KEY = 'caller-key'
SERVICE = 'work'
FIRST, REST = b'first half, ', b'second half'


@dataclasses.dataclass(kw_only=True)
class Answer:
    """What a caller got: a whole answer, or a refusal."""

    status: int
    body: bytes

    @property
    def refusal(self):
        return problems.decode(self.body)

    @property
    def reason(self):
        return self.refusal.reason.value


class Stream:
    """A streamed answer of which a part has come."""

    def __init__(self, chunks, body):
        self.chunks = chunks
        self.body = body

    async def read(self):
        async for chunk in self.chunks:
            self.body += chunk
        return self.body


class Caller:
    """The callers' side of a site; sites derive from it."""

    async def addresses(self, node):
        """Return the base addresses that an entry tells its callers."""
        told = await self.ask_addresses(node)
        return [one['address'] for one in told['entries']]

    async def ask_addresses(self, node):
        answer = await self.call(node, 'GET', '/marigoldramp/addresses')
        return msgspec.json.decode(answer.body)

    async def keys_by_agent(self, node):
        """Return unused bound keys of the service, by agent."""
        binder = bindings.Binder(fleet_key=FLEET_KEY.encode())
        found = collections.defaultdict(list)
        for key in (await self.ask_addresses(node))['bindings'][SERVICE]:
            opened = binder.open(key=key, customer='c', service=SERVICE)
            assert isinstance(opened, messages.Binding)
            found[opened.agent].append(key)
        return found

    async def call(self, node, method, path, *, key='', seconds=10.0):
        """Make one call through an entry, as any HTTP client would."""
        headers = [
            (b'authorization', f'Bearer {CALLER_KEY}'.encode()),
            (b'marigoldramp-deadline', str(seconds).encode()),
        ]
        if key:
            headers.append((b'idempotency-key', key.encode()))
        answer = await self.ask(node, method, path, headers=headers)
        assert answer is not None, 'the connection was lost'
        return answer

    async def ask(self, node, method, path, headers=()):
        """Return the answer of a node, ``None`` if it gives none."""
        try:
            found = await self.pool.request(
                method,
                node.address + path,
                headers=list(headers),
                extensions={'timeout': {'connect': 1.0, 'read': 15.0}},
            )
        except (
            httpcore.NetworkError,
            httpcore.ProtocolError,
            httpcore.TimeoutException,
        ):
            return None
        return Answer(status=found.status, body=found.content)

    @contextlib.asynccontextmanager
    async def open_stream(self, node, name):
        """Begin a stream through an entry; give it after its first half."""
        headers = [(b'authorization', f'Bearer {CALLER_KEY}'.encode())]
        async with self.pool.stream(
            'GET', f'{node.address}/streams/{name}', headers=headers
        ) as response:
            chunks = response.aiter_stream()
            first = await anext(chunks)
            assert first == FIRST
            yield Stream(chunks, first)
