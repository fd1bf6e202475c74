"""A site of runtimes in the test's own process, over real sockets.

Membership, configuration, orders and calls are the real ones.  Faults land
at named steps: a kill, a platform that is away, a peer that is frozen or cut
off.  The instance list is never brought up to date, as if it lagged.
"""

import contextlib

import anyio
import process_site

from marigoldramp import agent
from marigoldramp import entry
from marigoldramp import heartbeats
from marigoldramp import peers
from marigoldramp import runtime
from marigoldramp import settings_files
from marigoldramp import steps
from marigoldramp_standins import memory

PROGRAMS = {'entry': entry.Entry, 'agent': agent.Agent}


class Process:
    """One runtime in a task of its own.

    :ivar code: its exit code, ``None`` while it runs or once it was killed.
    """

    def __init__(self, *, path, site):
        loaded = settings_files.read(path=str(path))
        assert loaded.value is not None, loaded.findings
        role = loaded.value.instance.split('-')[0]
        self.program = PROGRAMS[role](settings=loaded.value)
        self.platform = memory.MemoryStore(
            table=site.table, instances=site.instances
        )
        self.runtime = runtime.Runtime(
            settings=loaded.value,
            program=self.program,
            fleet_key=process_site.FLEET_KEY.encode(),
            platform=self.platform,
        )
        self.runtime.client = Client(
            client=self.runtime.client, site=site, name=loaded.value.instance
        )
        self.code = None
        self.ended = anyio.Event()
        self._scope = anyio.CancelScope()

    async def run(self):
        try:
            with self._scope:
                self.code = await self.runtime.run()
        finally:
            self.ended.set()

    async def wait(self):
        with anyio.fail_after(process_site.PATIENCE):
            await self.ended.wait()
        return self.code

    async def kill(self):
        """End it as SIGKILL does: its sockets close, nothing is said."""
        server = self.runtime.server._server
        for one in getattr(server, 'servers', ()):
            one.close()
        self.runtime.server._socket.close()
        for connection in list(server.server_state.connections):
            connection.transport.abort()
        self.runtime.members.close()
        self._scope.cancel()
        with anyio.CancelScope(shield=True):
            await self.ended.wait()
            await self.runtime.peer_server.stop()

    def has_ended(self):
        return self.ended.is_set()


class Client:
    """A peers' client whose requests do not pass a cut."""

    def __init__(self, *, client, site, name):
        self._client = client
        self._site = site
        self._name = name

    def __getattr__(self, method):
        asked = getattr(self._client, method)
        if method == 'close':
            return asked

        async def ask(host, port, **rest):
            if self._site.is_cut(self._name, port):
                return peers.Unreachable(detail='cut off')
            return await asked(host, port, **rest)

        return ask


class Site(process_site.Site):
    """Runtimes of one test.

    :ivar cuts: pairs of names between which only calls pass.
    :ivar landed: steps at which a fault has landed.
    """

    membership = {
        'heartbeat': 0.05,
        'suspect_after': 0.4,
        'datagrams': 1000,
    }

    def __init__(self, folder, stack, group):
        super().__init__(folder, stack)
        self.group = group
        self.platform = 'http://127.0.0.1:1'
        self.cuts = set()
        self.hooks = {}
        self.landed = anyio.Event()
        self.let_go = anyio.Event()

    async def start(self, node):
        node.process = Process(
            path=self.folder / f'{node.name}.yaml', site=self
        )
        self.group.start_soon(node.process.run)

    async def kill(self, *nodes):
        for node in nodes:
            await node.process.kill()

    # Faults

    def at(self, node, step, fault):
        """Let a fault land when a node comes to a step, once."""
        self.hooks[(node, step)] = fault

    async def observe(self, step, where):
        fault = self.hooks.pop((where, step), None)
        if fault is None:
            return
        await fault(self, self.nodes.get(where))
        self.landed.set()
        # The step goes on once the test has looked at what it needs.
        await self.let_go.wait()

    async def until_landed(self):
        with anyio.fail_after(process_site.PATIENCE):
            await self.landed.wait()

    def cut(self, one, other):
        self.cuts.add(frozenset((one.name, other.name)))

    def is_cut(self, name, port):
        return any(
            frozenset((name, node.name)) in self.cuts
            and port
            in (node.instance.control_port, node.instance.datagram_port)
            for node in self.nodes.values()
        )

    def find_by_port(self, port):
        for node in self.nodes.values():
            if node.instance.datagram_port == port:
                return node.name
        return ''

    def mend(self):
        self.cuts.clear()
        self.bring_platform_back()
        for node in self.nodes.values():
            node.process.platform.reachable = True


@contextlib.contextmanager
def cut_datagrams(site):
    """Drop the datagrams that a cut is to stop."""
    send = heartbeats.UdpTransport.send

    def send_unless_cut(self, *, datagram, host, port):
        own = ('', 0)
        if self._transport is not None and not self._transport.is_closing():
            own = self._transport.get_extra_info('sockname')
        if not site.is_cut(site.find_by_port(own[1]), port):
            send(self, datagram=datagram, host=host, port=port)

    heartbeats.UdpTransport.send = send_unless_cut
    try:
        yield
    finally:
        heartbeats.UdpTransport.send = send


@contextlib.asynccontextmanager
async def run(folder, *names, **changes):
    """Run a site whose nodes are all ready; end it at once."""
    async with contextlib.AsyncExitStack() as stack:
        group = await stack.enter_async_context(anyio.create_task_group())
        site = Site(folder, stack, group)
        stack.enter_context(cut_datagrams(site))
        stack.enter_context(steps.observe(site.observe))
        await site.roll(1)
        for name in names:
            await site.add(name, linger=0.1, **changes)
        try:
            await site.until_ready()
            yield site
        finally:
            with anyio.CancelScope(shield=True):
                site.let_go.set()
                site.open_all()
                await site.pool.aclose()
                for node in site.nodes.values():
                    if not node.process.has_ended():
                        await node.process.kill()
            group.cancel_scope.cancel()
