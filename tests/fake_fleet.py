"""Processes with configurations around one store, on virtual time."""

import contextlib
import random
import types

import anyio
import fake_bundles
import fake_network
import virtual_time

from marigoldramp import configuration
from marigoldramp import settings
from marigoldramp_standins import memory


class Fleet:
    """Nodes with configurations around one store.

    :ivar history: the numbers that came into force, by node.
    """

    def __init__(self, site):
        self.site = site
        self.store = memory.MemoryStore()
        self.table = self.store.table
        self.nodes = []
        self.started = 0
        self.history = {}

    def start(self, count=1, **rest):
        """Start nodes and let all read the instance list."""
        for _ in range(count):
            node = self.site.start(f'entry-{self.started}', **rest)
            self.started += 1
            self.equip(node)
        self.site.seed(*self.nodes)
        return self.nodes[-1]

    def equip(self, node):
        self.nodes.append(node)
        node.store = memory.MemoryStore(table=self.table)
        node.config = configuration.Configuration(
            store=node.store,
            client=node.client,
            members=node.membership,
            settings=types.SimpleNamespace(
                instance=node.name,
                data_centre=node.data_centre,
                security=fake_bundles.SECURITY,
                membership=fake_network.make_settings(),
                platform=settings.Platform(
                    store='memory',
                    address='',
                    timeout=2.0,
                    watch=20.0,
                    poll_instances=1.0,
                    watchers=2,
                ),
            ),
            clock=virtual_time.now,
            wall=fake_network.wall,
            random=random.Random(node.port),
        )
        node.membership.bundle_source = lambda: node.config.number
        start = f'{node.name}/{node.incarnation}'
        numbers = self.history.setdefault(start, [])
        node.config.subscribe(lambda whole: numbers.append(whole.number))

    def numbers(self):
        return {node.config.number for node in self.nodes}

    def mend(self):
        """End every fault."""
        self.table.faults.outage = False
        self.table.faults.stale.clear()
        self.table.wake()
        self.site.network.mend()
        for node in self.nodes:
            node.store.reachable = True

    def findings(self):
        return [
            str(finding)
            for node in self.nodes
            for finding in node.config.findings
        ]


@contextlib.asynccontextmanager
async def open_fleet(count=6, bundle=1, **rest):
    """Yield a fleet that has a bundle in force."""
    async with anyio.create_task_group() as group:
        fleet = Fleet(fake_network.Site(group))
        await fake_bundles.publish(
            fleet.table, fake_bundles.make_bundle(bundle)
        )
        fleet.start(count, **rest)
        await anyio.sleep(3)
        assert fleet.numbers() == {bundle}
        yield fleet
        for numbers in fleet.history.values():
            assert numbers == sorted(set(numbers))
        group.cancel_scope.cancel()
