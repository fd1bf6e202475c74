"""A site of real processes around stand-ins that live in the test itself.

Entries and agents are processes of their own and get real signals.  The
platform and the endpoints run in the test's event loop, so a test opens a
held answer, takes the platform away or counts runs without asking anybody.
"""

import collections
import contextlib
import dataclasses
import hashlib
import itertools
import os
import signal
import socket
import time

import anyio
import fake_bundles
import httpcore
import msgspec
import site_caller
import yaml

from marigoldramp import bundle
from marigoldramp import status as status_module
from marigoldramp import store
from marigoldramp_standins import instance_list
from marigoldramp_standins import objects
from marigoldramp_standins import platform as platform_module
from marigoldramp_standins import processes
from marigoldramp_standins import web

HOST = '127.0.0.1'
FLEET_KEY = site_caller.FLEET_KEY
CALLER_KEY = site_caller.CALLER_KEY
SERVICE = site_caller.SERVICE
FIRST, REST = site_caller.FIRST, site_caller.REST
WHOLE = FIRST + REST
#: Pause between two looks at something that has no event to wait for.
LOOK_AGAIN = 0.02
#: A test that waits longer than this for an event has failed.
PATIENCE = 8.0
#: Below the ports that the kernel gives to those who ask for any; test runs
#: at the same time have blocks of their own.
FIRST_PORT, BLOCKS, BLOCK = 20_000, 100, 120


def make_bundle(number):
    return bundle.Bundle(
        number=number,
        services=(bundle.Service(name=SERVICE, kind='plain_service'),),
        routes=(
            bundle.Route(method='GET', path='/streams/*', service=SERVICE),
            bundle.Route(method='GET', path='/pages/*', service=SERVICE),
            bundle.Route(
                method='POST',
                path='/orders/*',
                service=SERVICE,
                idempotent=False,
            ),
        ),
        customers=(
            bundle.Customer(
                name='c',
                key_digests=(hashlib.sha256(CALLER_KEY.encode()).hexdigest(),),
                services=(SERVICE,),
                requests_per_second=100_000.0,
                entries=4,
            ),
        ),
    )


def list_ports():
    """Return the ports of this test run, again and again."""
    first = FIRST_PORT + os.getpid() % BLOCKS * BLOCK
    return itertools.cycle(range(first, first + BLOCK))


PORTS = list_ports()


def find_port():
    """Return a port that is free for TCP and UDP."""
    for port in PORTS:
        with socket.socket() as one, socket.socket(type=2) as other:
            # A port of an earlier test waits for late segments a minute.
            one.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            try:
                one.bind((HOST, port))
                other.bind((HOST, port))
            except OSError:
                continue
        return port


class Endpoint:
    """Counts runs, and holds what is called ``held`` until opened."""

    def __init__(self):
        self.runs = collections.Counter()
        self.opened = anyio.Event()

    async def handle(self, exchange):
        kind, name = exchange.parts
        self.runs[name] += 1
        await exchange.start(status=200, headers=[])
        if kind == 'streams':
            await exchange.send(FIRST, more=True)
        if name.startswith('held'):
            await self.opened.wait()
        rest = REST if kind == 'streams' else f'{name} ran'.encode()
        await exchange.send(rest, more=False)


@dataclasses.dataclass(kw_only=True)
class Node:
    """An entry or agent; ``process`` is its present process."""

    instance: store.Instance
    settings: dict
    endpoint: Endpoint | None = None
    process: processes.Process | None = None

    @property
    def name(self):
        return self.instance.name

    @property
    def address(self):
        return f'http://{HOST}:{self.instance.call_port}'

    def log(self):
        return self.process.log.read_text()


class Site(site_caller.Caller):
    """Processes of one test; :func:`run` makes one and ends it."""

    membership = {'heartbeat': 0.2, 'suspect_after': 0.7}

    def __init__(self, folder, stack):
        self.folder = folder
        self.stack = stack
        self.table = objects.Table()
        self.instances = instance_list.InstanceList()
        self.nodes = {}
        self.pool = httpcore.AsyncConnectionPool()
        self.tokens = status_module.Tokens(
            fleet_key=FLEET_KEY.encode(), wall=time.time
        )
        self.platform = ''

    # Processes

    async def add(self, name, *, seeds=(), **changes):
        """Lay out a node, put it on the instance list and start it."""
        role = name.split('-')[0]
        ports = [find_port() for _ in range(3)]
        own = {
            'call_port': ports[0],
            'control_port': ports[1],
            'datagram_port': ports[2],
            'linger': 0.3,
            'drain_limit': 20.0,
        }
        endpoint = None
        if role == 'agent':
            endpoint = Endpoint()
            own['service'] = SERVICE
            own['endpoint'] = await self.stack.enter_async_context(
                web.serve(handle=endpoint.handle)
            )
        instance = store.Instance(
            name=name,
            role='endpoint' if endpoint else 'entry',
            data_centre='a',
            host=HOST,
            call_port=ports[0],
            control_port=ports[1],
            datagram_port=ports[2],
            service=SERVICE if endpoint else '',
        )
        settings = self.write_settings(name, role, own | changes, seeds)
        node = Node(instance=instance, settings=settings, endpoint=endpoint)
        self.nodes[name] = node
        self.instances.put(instance=instance)
        await self.start(node)
        return node

    def write_settings(self, name, role, own, seeds):
        """Write a settings file with short times, and return its values."""
        security = fake_bundles.SECURITY
        values = {
            'instance': name,
            'data_centre': 'a',
            'platform': {
                'address': self.platform,
                'poll_instances': 0.2,
                'timeout': 1.0,
            },
            'security': {
                'fleet_key': 'env:PROCESS_SITE_KEY',
                'operators': security.operators,
            },
            'membership': {**self.membership, 'seeds': list(seeds)},
            role: own,
        }
        path = self.folder / f'{name}.yaml'
        path.write_text(yaml.safe_dump(values))
        return values

    async def start(self, node):
        role = node.name.split('-')[0]
        path = str(self.folder / f'{node.name}.yaml')
        node.process = await processes.start(
            name=node.name,
            arguments=['marigoldramp.ui', role, '--settings', path],
            folder=self.folder,
            environment={'PROCESS_SITE_KEY': FLEET_KEY},
        )

    async def kill(self, *nodes):
        for node in nodes:
            node.process.send_signal(signal.SIGKILL)
        for node in nodes:
            await node.process.wait()

    def seeds(self):
        return [
            f'{HOST}:{node.instance.datagram_port}'
            for node in self.nodes.values()
        ]

    async def roll(self, number):
        await fake_bundles.publish(self.table, make_bundle(number))

    def take_platform_away(self):
        self.table.faults.outage = True
        self.table.wake()

    def bring_platform_back(self):
        self.table.faults.outage = False
        self.table.wake()

    # Waiting

    async def until_ready(self, *nodes):
        """Wait until nodes are ready, and entries see the agents alive."""
        nodes = nodes or tuple(self.nodes.values())
        for node in nodes:
            await until(lambda: self.is_ready(node))
        agents = {
            one.name
            for one in self.nodes.values()
            if one.endpoint and not one.process.has_ended()
        }
        for node in nodes:
            for agent in agents if not node.endpoint else ():
                await self.until_peer(node, agent, state='alive')

    async def until_peer(self, node, peer, **expected):
        """Wait until a node sees a peer so, for example ``state='dead'``."""

        async def is_so():
            state = await self.status(node)
            for one in state.peers if state else ():
                if one.instance == peer:
                    return all(
                        getattr(one, field) == value
                        for field, value in expected.items()
                    )
            return False

        await until(is_so)

    async def until_bundle(self, number, *nodes):
        """Wait until a bundle is in force at nodes."""

        async def is_so(node):
            state = await self.status(node)
            return state is not None and state.bundle == number

        for node in nodes:
            await until(lambda: is_so(node))

    async def until_unready(self, node):
        async def is_so():
            return await self.read_ready(node) == 503

        await until(is_so)

    async def show_status(self):
        """Return what the command line shows of all instances."""
        settings = self.folder / f'{next(iter(self.nodes))}.yaml'
        return await processes.run(
            arguments=[
                'marigoldramp.ui',
                'status',
                '--peers',
                '--settings',
                str(settings),
            ],
            environment={'PROCESS_SITE_KEY': FLEET_KEY},
        )

    # Asking

    async def is_ready(self, node):
        assert not node.process.has_ended(), node.log()
        return await self.read_ready(node) == 200

    async def read_ready(self, node):
        answer = await self.ask(node, 'GET', '/marigoldramp/ready')
        return answer.status if answer else None

    async def status(self, node):
        answer = await self.ask(
            node,
            'GET',
            status_module.PATH,
            headers=[(status_module.HEADER, self.tokens.make())],
        )
        if answer is None or answer.status != 200:
            return None
        return msgspec.json.decode(answer.body, type=status_module.Status)

    def find_runner(self, name):
        """Return the agent whose endpoint has run a call."""
        runners = [
            node
            for node in self.nodes.values()
            if node.endpoint and node.endpoint.runs[name]
        ]
        assert len(runners) == 1
        return runners[0]

    def count_runs(self, name):
        return sum(
            node.endpoint.runs[name]
            for node in self.nodes.values()
            if node.endpoint
        )

    def open_all(self):
        for node in self.nodes.values():
            if node.endpoint:
                node.endpoint.opened.set()


async def until(condition):
    """Return when an awaitable condition holds; fail after ``PATIENCE``."""
    with anyio.fail_after(PATIENCE):
        while not await condition():
            await anyio.sleep(LOOK_AGAIN)


@contextlib.asynccontextmanager
async def run(folder, *names, number=1, **changes):
    """Run a site whose nodes are all ready; end it by SIGKILL."""
    async with contextlib.AsyncExitStack() as stack:
        site = Site(folder, stack)
        server = platform_module.Platform(
            table=site.table, instances=site.instances
        )
        site.platform = await stack.enter_async_context(
            web.serve(handle=server.handle)
        )
        stack.callback(site.take_platform_away)
        await site.roll(number)
        for name in names:
            await site.add(name, **changes)
        try:
            await site.until_ready()
            yield site
        finally:
            with anyio.CancelScope(shield=True):
                site.open_all()
                await site.pool.aclose()
                for node in site.nodes.values():
                    if not node.process.has_ended():
                        os.kill(node.process.id, signal.SIGKILL)
                        await node.process.wait()
