"""A network between memberships in one process, with faults on demand."""

import asyncio
import dataclasses
import random

import anyio
import virtual_time

from marigoldramp import heartbeats
from marigoldramp import membership
from marigoldramp import messages
from marigoldramp import peer_messages
from marigoldramp import seals
from marigoldramp import settings
from marigoldramp import store

KEY = b'0123456789abcdef'
EPOCH = 1_700_000_000.0
HOST = '127.0.0.1'


def make_settings(**changes):
    values = {
        'heartbeat': 0.5,
        'suspect_after': 1.6,
        'probe_timeout': 0.7,
        'peers': 16,
        'datagrams': 50,
        'table': 64,
        'seeds': (),
    }
    return settings.Membership(**(values | changes))


def wall():
    return EPOCH + virtual_time.now()


class Network:
    """Delivers datagrams after ``delay`` seconds, unless a fault is on.

    :ivar cuts: pairs (from, to) of ports between which nothing passes.
    :ivar datagrams_lost: pairs between which only datagrams are lost.
    :ivar refusing: ports on which connections are refused at once.
    :ivar tamper: maps a datagram to those that arrive in its place.
    """

    def __init__(self, delay=0.001):
        self.delay = delay
        self.nodes = {}
        self.cuts = set()
        self.datagrams_lost = set()
        self.refusing = set()
        self.tamper = lambda datagram: [datagram]
        self.sent = []

    def cut(self, one, other, *, both=True):
        """Cut what passes from one node to another."""
        self.cuts.add((one.port, other.port))
        if both:
            self.cuts.add((other.port, one.port))

    def mend(self):
        self.cuts.clear()
        self.datagrams_lost.clear()
        self.refusing.clear()

    def passes(self, source, target):
        return not {(source, target), (source, 0), (0, target)} & self.cuts

    def carry(self, source, target, datagram):
        self.sent.append((source, target, datagram))
        lost = (source, target) in self.datagrams_lost
        if lost or not self.passes(source, target):
            return
        for each in self.tamper(datagram):
            asyncio.get_running_loop().call_later(
                self.delay, self.arrive, target, each
            )

    def arrive(self, target, datagram):
        node = self.nodes.get(target)
        if node is None:
            return
        if node.frozen:
            node.backlog.append(datagram)
        else:
            node.receive(datagram)

    async def probe(self, source, target, timeout):
        """Answer as a fresh connection would."""
        node = self.nodes.get(target)
        if node is None or target in self.refusing:
            return peer_messages.Unreachable(detail='refused')
        whole = self.passes(source, target) and self.passes(target, source)
        if not whole or node.frozen:
            await anyio.sleep(timeout)
            return peer_messages.Unreachable(detail='timeout')
        await anyio.sleep(2 * self.delay)
        return node.membership.answer_probe()

    async def reach(self, source, target):
        """Return the configuration of a node that can be reached."""
        reply = await self.probe(source, target, 2.0)
        if isinstance(reply, peer_messages.Unreachable):
            return None
        return self.nodes[target].config


class Transport(heartbeats.Transport):
    """One node's end of the network."""

    def __init__(self, node):
        self.node = node

    async def open(self, *, host, port, receive):
        self.node.receive = receive
        return port

    def send(self, *, datagram, host, port):
        if self.node.frozen:
            return
        self.node.network.carry(self.node.port, port, datagram)

    def close(self):
        return


class Client:
    """Probes over the network."""

    def __init__(self, node):
        self.node = node
        self.probes = 0

    async def probe(self, host, port, *, receiver='', timeout):
        self.probes += 1
        reply = await self.node.network.probe(self.node.port, port, timeout)
        if isinstance(reply, peer_messages.ProbeReply):
            if receiver not in ('', reply.instance):
                return peer_messages.Unreachable(detail='wrong receiver')
        return reply

    async def fetch_manifest(self, host, port, *, have):
        config = await self.node.network.reach(self.node.port, port)
        if config is None:
            return peer_messages.Unreachable(detail='timeout')
        return config.answer_manifest(have)

    async def fetch_parts(self, host, port, *, digests):
        config = await self.node.network.reach(self.node.port, port)
        if config is None:
            return peer_messages.Unreachable(detail='timeout')
        return config.answer_parts(digests)


@dataclasses.dataclass(kw_only=True)
class Node:
    """One process: its membership, and what it has been told."""

    network: Network
    name: str
    port: int
    role: messages.Role = messages.Role.ENTRY
    data_centre: str = 'a'
    service: str = ''
    key: bytes = KEY
    changes: dict = dataclasses.field(default_factory=dict)
    incarnation: int = 1
    frozen: bool = False

    def __post_init__(self):
        self.events = []
        self.backlog = []
        self.config = None
        self.client = Client(self)
        self.membership = membership.Membership(
            identity=membership.Identity(
                instance=self.name,
                role=self.role,
                data_centre=self.data_centre,
                host=HOST,
                call_port=self.port,
                control_port=self.port,
                datagram_port=self.port,
                incarnation=self.incarnation,
                service=self.service,
            ),
            settings=make_settings(**self.changes),
            sealer=seals.Sealer(fleet_key=self.key, use='datagram'),
            client=self.client,
            clock=virtual_time.now,
            wall=wall,
            random=random.Random(self.port),
            transport=Transport(self),
        )
        self.membership.on_dead(self.note('dead'))
        self.membership.on_silent(self.note('silent'))
        self.membership.on_leaving(self.note('leaving'))
        self.membership.on_told_leaving(self.note('told'))

    def note(self, kind):
        def callback(*peers):
            self.events.append((kind, *(peer.instance for peer in peers)))

        return callback

    async def run(self):
        """Run until cancelled, which is how a process is killed."""
        async with anyio.create_task_group() as group:
            self.network.nodes[self.port] = self
            await self.membership.start(group)
            if self.config is not None:
                group.start_soon(self.config.run)

    def row(self, **changes):
        values = {
            'name': self.name,
            'role': (
                'entry' if self.role is messages.Role.ENTRY else 'endpoint'
            ),
            'data_centre': self.data_centre,
            'host': HOST,
            'call_port': self.port,
            'control_port': self.port,
            'datagram_port': self.port,
            'service': self.service,
        }
        return store.Instance(**(values | changes))

    def state_of(self, other):
        peer = self.membership.find(other.name)
        return None if peer is None else peer.state.value

    def usable(self, role=messages.Role.ENTRY):
        return {peer.instance for peer in self.membership.peers(role)}


class Site:
    """Nodes that run in one task group and can be killed and frozen."""

    def __init__(self, group):
        self.network = Network()
        self.group = group
        self.scopes = {}
        self.ports = 0

    def start(self, name, **rest):
        """Start a node at a new port, or restart one at its old."""
        self.ports += 1
        values = {'network': self.network, 'name': name, 'port': self.ports}
        node = Node(**(values | rest))
        scope = anyio.CancelScope()
        self.scopes[node.port] = scope

        async def run():
            with scope:
                await node.run()

        self.group.start_soon(run)
        return node

    def kill(self, node):
        self.scopes[node.port].cancel()
        del self.network.nodes[node.port]

    def freeze(self, node):
        """Stop a node from doing anything, as SIGSTOP does."""
        node.frozen = True

    def thaw(self, node):
        node.frozen = False
        for datagram in node.backlog:
            node.receive(datagram)
        node.backlog.clear()

    def seed(self, *nodes, rows=None):
        if rows is None:
            rows = [node.row() for node in nodes]
        for node in nodes:
            node.membership.seed(rows)
