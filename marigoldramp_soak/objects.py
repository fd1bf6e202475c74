"""Stand-in of the platform's object store, with the faults that it has."""

import copy
import dataclasses
import json
import urllib.parse

import anyio
import httpcore

from marigoldramp.gateway import client_connections
from marigoldramp.gateway import inbound
from marigoldramp.gateway import listeners
from marigoldramp import metrics

PATH = '/marigoldramp/objects/'
MOST_CONNECTIONS = 1000
JSON = (b'content-type', b'application/json')


@dataclasses.dataclass(kw_only=True)
class Copy:
    """All objects as they were at a revision."""

    kinds: dict
    revision: int


class Objects:
    """Objects by kind and name, under one revision counter.

    :ivar era: grows each time that it comes back from a copy.

    :ivar away: calls are answered with 503.
    :ivar slow: seconds by which each answer is late.
    :ivar loses: the answers to writes are lost though they are done.
    """

    def __init__(self):
        self.kinds = {}
        self.revision = 0
        self.era = 1
        self.history = []
        self.away = False
        self.slow = 0.0
        self.loses = False
        self._changed = anyio.Event()

    def put(self, kind, name, spec):
        """Write an object; return its revision."""
        self.revision += 1
        found = {
            'Metadata': {'Name': name, 'Revision': self.revision},
            'Spec': spec,
            'Status': None,
        }
        self.kinds.setdefault(kind, {})[name] = found
        self._note(kind, found, False)
        return self.revision

    def drop(self, kind, name):
        """Remove an object."""
        found = self.kinds.get(kind, {}).pop(name, None)
        if found is not None:
            self.revision += 1
            self._note(kind, found, True)

    def copy(self):
        """Return a copy of everything."""
        return Copy(kinds=copy.deepcopy(self.kinds), revision=self.revision)

    def restore(self, found):
        """Come back from a copy; what was written since is gone."""
        self.kinds = copy.deepcopy(found.kinds)
        self.revision = found.revision
        self.era += 1
        self.forget_history()
        self._changed.set()
        self._changed = anyio.Event()

    def forget_history(self):
        """Answer watches from before now with 410."""
        self.history.clear()
        self.history.append((self.revision, '', None, False))

    async def handle(self, exchange):
        """Answer one call."""
        if self.slow:
            await anyio.sleep(self.slow)
        if self.away:
            await self._respond(exchange, 503, b'')
            return
        status, value = await self._serve(exchange)
        if self.loses and exchange.head.method != b'GET':
            raise httpcore.ReadError('the answer is lost')
        await self._respond(exchange, status, json.dumps(value).encode())

    async def _respond(self, exchange, status, body):
        era = (b'store-era', b'%d' % self.era)
        await exchange.respond(status=status, headers=[JSON, era], body=body)

    async def _serve(self, exchange):
        rest = exchange.head.path.removeprefix(PATH)
        kind, _, name = rest.partition('/')
        query = urllib.parse.parse_qs(exchange.head.query)
        kinds = self.kinds.setdefault(kind, {})
        if exchange.head.method == b'GET':
            if name:
                found = kinds.get(name)
                return (404, None) if found is None else (200, found)
            if 'Watch' in query:
                return await self._watch(kind, query)
            return 200, {
                'Items': list(kinds.values()),
                'More': False,
                'AtRev': self.revision,
            }
        body = await exchange.read_body(max_bytes=1 << 20, seconds=5.0)
        sent = json.loads(body)
        name = name or sent['Metadata']['Name']
        found = kinds.get(name)
        expected = sent['Metadata'].get('Revision', 0)
        if expected != (0 if found is None else found['Metadata']['Revision']):
            return 409, found
        self.put(kind, name, sent['Spec'])
        return 200, kinds[name]

    async def _watch(self, kind, query):
        after = int(query['Watch'][0])
        if after > self.revision:
            return 410, None
        era = self.era
        until = anyio.current_time() + int(query['WaitMs'][0]) / 1000.0
        while True:
            if self.history and after < self.history[0][0] - 1:
                return 410, None
            if era != self.era:
                # A store that comes back has lost its open connections.
                raise httpcore.ReadError('the store went away')
            events = [
                {'Object': found, 'Deleted': gone}
                for revision, of, found, gone in self.history
                if of == kind and revision > after
            ]
            left = until - anyio.current_time()
            if events or left <= 0.0 or self.away:
                return 200, {'events': events, 'AtRev': self.revision}
            with anyio.move_on_after(left):
                await self._changed.wait()

    def _note(self, kind, found, gone):
        self.history.append((self.revision, kind, dict(found), gone))
        del self.history[:-2000]
        self._changed.set()
        self._changed = anyio.Event()


def make_connections():
    """Return a bound that no test of the gateway meets."""
    return client_connections.ClientConnections(
        most=lambda: MOST_CONNECTIONS,
        metrics=metrics.create_local(instance='soak'),
        clock=anyio.current_time,
    )


async def serve(handler, host, port, tasks):
    """Serve HTTP by a handler; return the listener and its port."""

    async def run(stream, _):
        connection = inbound.Connection(
            stream=stream,
            handler=handler,
            limits=lambda: inbound.DEFAULT_LIMITS,
            is_stopping=lambda: False,
        )
        await connection.serve()

    listener = listeners.Listener(serve=run, connections=make_connections())
    bound = await listener.listen(host=host, port=port, tasks=tasks)
    return listener, bound
