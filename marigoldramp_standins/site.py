"""A site in one process: entries, agents, endpoints, links between them.

Callers' requests pass real programs over real sockets on loopback.  Each
hop is a :class:`.links.Link` of its own, so that it can be cut, silenced or
held, and each named step of a call can be made to set off a fault.  Faults
land by events; nothing is timed.
"""

import contextlib
import functools
import random
import socket
from typing import Any
from typing import AsyncIterator
from typing import Awaitable
from typing import Callable

import anyio
import anyio.abc

from marigoldramp import membership
from marigoldramp import messages
from marigoldramp import steps

from . import batching
from . import engine_api
from . import links
from . import load_reports
from . import memory
from . import objects
from . import orders
from . import prefixes
from . import service
from . import site_layout
from . import site_processes
from . import web

#: Words that an engine writes before it waits for the first to be relayed.
FIRST_WORDS = 3
#: Load reports: the first agent is the one that calls go to.
FREE = messages.Load(
    running=0, queued=0, slots=8, service_ms=1, wait_ms=0, waits_ms=(0, 0, 0)
)
TAKEN = messages.Load(
    running=8,
    queued=8,
    slots=8,
    service_ms=1,
    wait_ms=50,
    waits_ms=(50, 50, 50),
)

Hook = Callable[[site_processes.Process], Awaitable[None]]
Endpoint = service.Service | engine_api.EngineServer


class Site:
    """A running site.

    :ivar doors: links from the callers to each entry.
    :ivar links: links from each entry to each agent.
    :ivar backs: links from each agent to its endpoint.
    :ivar hooks: what is set off at a step of a call, once.
    :ivar reached: the steps that calls have come to, in order.
    """

    def __init__(self, *, layout: site_layout.Layout) -> None:
        self.layout = layout
        self.entries: list[site_processes.Process] = []
        self.agents: list[site_processes.Process] = []
        self.endpoints: list[Endpoint] = []
        self.doors: list[links.Link] = []
        self.links: list[list[links.Link]] = []
        self.backs: list[links.Link] = []
        self.hooks: dict[steps.Step, list[Hook]] = {}
        self.reached: list[steps.Step] = []
        self.table = objects.Table(sleep=self._wait_for_store)
        self.store_answers = anyio.Event()
        self.go_on = anyio.Event()
        self.group: anyio.abc.TaskGroup
        self._scopes: dict[links.Link, anyio.CancelScope] = {}
        self._stopped: dict[links.Link, anyio.Event] = {}
        self._refusing: list[socket.socket] = []
        self._started = 0

    # Starting

    async def start(self, addresses: list[str]) -> None:
        """Start the processes; ``addresses`` are the endpoints' own."""
        for address in addresses:
            port = int(address.rpartition(':')[2])
            self.backs.append(await self._link(port))
        for number in range(self.layout.agents):
            self.agents.append(await self._start_agent(number))
        for number in range(self.layout.entries):
            await self._start_entry(number)
        for entry in self.entries:
            for agent in self.agents:
                self.introduce(entry, agent)

    async def kill_agent(self, number: int) -> None:
        """End an agent as a crash does; its address refuses connections."""
        self.agents[number].kill()
        for row in self.links:
            await self.stop_link(row[number])

    async def restart_agent(self, number: int) -> None:
        """Start a new incarnation at a new address; the entries learn it."""
        await self.kill_agent(number)
        agent = self.agents[number] = await self._start_agent(number)
        for entry, row in zip(self.entries, self.links):
            row[number] = await self._link(agent.server.port)
            self.introduce(entry, agent)

    async def replace_agent(self, number: int) -> None:
        """Start a new incarnation at the old address; no entry learns it."""
        self.agents[number].kill()
        agent = self.agents[number] = await self._start_agent(number)
        for row in self.links:
            row[number].target = agent.server.port

    async def reopen_endpoint(self, number: int) -> None:
        """Start an agent anew beside an endpoint that refused connections."""
        target = self.backs[number].target
        self.backs[number] = await self._link(target)
        await self.restart_agent(number)

    async def restart_entry(self, number: int) -> None:
        """Start a new incarnation in an entry's place."""
        self.entries[number].kill()
        entry = await self._run(site_processes.make_entry, f'entry-{number}')
        self.entries[number] = entry
        self.doors[number].target = entry.server.port
        for agent in self.agents:
            self.introduce(entry, agent)

    async def _start_agent(self, number: int) -> site_processes.Process:
        return await self._run(
            site_processes.make_agent,
            f'agent-{number}',
            endpoint=f'http://{web.HOST}:{self.backs[number].port}',
        )

    async def _start_entry(self, number: int) -> None:
        entry = await self._run(site_processes.make_entry, f'entry-{number}')
        self.entries.append(entry)
        self.doors.append(await self._link(entry.server.port))
        self.links.append(
            [await self._link(agent.server.port) for agent in self.agents]
        )

    async def _run(
        self,
        make: Callable[..., site_processes.Process],
        name: str,
        endpoint: str = '',
    ) -> site_processes.Process:
        self._started += 1
        process = make(
            settings=site_layout.make_settings(
                layout=self.layout, name=name, endpoint=endpoint
            ),
            verdicts=site_processes.Verdicts(
                verify=functools.partial(self._verify, name),
                list_entries=self._list_entries,
            ),
            config=site_processes.FixedConfig(
                in_force=site_layout.make_bundle()
            ),
            platform=memory.MemoryStore(table=self.table),
            metrics=site_layout.make_metrics(),
            observer=self._observe,
            incarnation=self._started,
            clock=self.layout.clock,
        )
        process.fleet_key = self.layout.fleet_key
        await self.group.start(process.run)
        return process

    async def _link(self, port: int) -> links.Link:
        link = links.Link(host=web.HOST, port=port)
        scope = self._scopes[link] = anyio.CancelScope()
        stopped = self._stopped[link] = anyio.Event()

        async def run(
            *,
            task_status: anyio.abc.TaskStatus[int],
        ) -> None:
            with scope:
                await link.run(task_status=task_status)
            bound = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
            bound.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            # Should another socket have been quicker, what is sent there is
            # refused all the same, as it is sealed with this site's key.
            with contextlib.suppress(OSError):
                bound.bind((web.HOST, link.port))
            self._refusing.append(bound)
            stopped.set()

        await self.group.start(run)
        return link

    # What peers know of each other

    def introduce(
        self, entry: site_processes.Process, agent: site_processes.Process
    ) -> None:
        """Bring an agent's heartbeat to an entry, and the other way."""
        row = self.links[self.entries.index(entry)]
        number = self.agents.index(agent)
        entry.verdicts.states.pop(agent.name, None)
        heartbeat = agent.heartbeat(
            call_port=row[number].port, load=TAKEN if number else FREE
        )
        for callback in entry.verdicts.heartbeat:
            callback(heartbeat)
        agent.offsets.observe(instance=entry.name, sent_at=entry.wall())

    def _verify(self, name: str, instance: str) -> None:
        """Give the verdict to which the real membership would come."""
        entry = next(one for one in self.entries if one.name == name)
        for number, agent in enumerate(self.agents):
            if agent.name != instance:
                continue
            link = self.links[self.entries.index(entry)][number]
            if not agent.alive or agent.frozen:
                entry.verdicts.states[instance] = membership.State.DEAD
                for callback in entry.verdicts.dead:
                    callback(site_layout.Gone(instance=instance))
            elif not link.accepting or link.new_fault is not links.Fault.NONE:
                state = membership.State.UNREACHABLE
                entry.verdicts.states[instance] = state

    def _list_entries(self) -> tuple[Any, ...]:
        return tuple(
            site_layout.ListedEntry(instance=one.name, call_port=door.port)
            for one, door in zip(self.entries, self.doors)
            if one.alive
        )

    # Faults and their end

    def at(self, step: steps.Step, hook: Hook) -> None:
        """Set something off when the next call comes to a step."""
        self.hooks.setdefault(step, []).append(hook)

    async def _observe(
        self, process: site_processes.Process, step: steps.Step, where: str
    ) -> None:
        self.reached.append(step)
        for hook in self.hooks.pop(step, ()):
            landed = anyio.Event()
            self.group.start_soon(_land, hook, process, landed)
            # The process may be the one that the hook kills.
            with anyio.CancelScope(shield=True):
                await landed.wait()
        if step is steps.Step.CALL_ANSWER_STARTED:
            self.go_on.set()

    async def _wait_for_store(self, _: float) -> None:
        await self.store_answers.wait()

    async def pace(self, engine: batching.Engine) -> None:
        """Let an engine go on past its first words once one was relayed."""
        if engine.steps >= FIRST_WORDS:
            await self.go_on.wait()
        await anyio.sleep(0)

    def freeze(self, process: site_processes.Process) -> None:
        """Stop a process: no step, no byte in or out."""
        process.freeze()
        for link in self._links_of(process):
            link.set_fault(links.Fault.HELD)
            link.new_fault = links.Fault.HELD

    def _links_of(self, process: site_processes.Process) -> list[links.Link]:
        if process in self.entries:
            number = self.entries.index(process)
            return [self.doors[number], *self.links[number]]
        number = self.agents.index(process)
        return [self.backs[number], *(row[number] for row in self.links)]

    async def stop_link(self, link: links.Link) -> None:
        """Let a link's address refuse connections from now on.

        The address stays bound: another process could else listen there
        and answer in the link's place.
        """
        self._scopes[link].cancel()
        await self._stopped[link].wait()

    def all_links(self) -> list[links.Link]:
        """Return every link of the site."""
        between = [link for row in self.links for link in row]
        return [*self.doors, *between, *self.backs]

    def release(self) -> None:
        """End every fault but a kill: thaw, let held bytes go on."""
        self.hooks.clear()
        self.table.faults.outage = False
        self.table.faults.slowness = 0.0
        self.store_answers.set()
        self.go_on.set()
        for process in [*self.entries, *self.agents]:
            process.thaw()
        for link in self.all_links():
            link.accepting = True
            link.release()
        for endpoint in self.endpoints:
            if isinstance(endpoint, service.Service):
                endpoint.faults.cut_after = endpoint.faults.cut_before = 0
            else:
                endpoint.engine.faults.cut_streams = 0

    async def heal(self) -> None:
        """Start what was killed anew, and let all hear of all."""
        self.release()
        for number, agent in enumerate(self.agents):
            if not agent.alive:
                await self.restart_agent(number)
        for number, entry in enumerate(self.entries):
            if not entry.alive:
                await self.restart_entry(number)
            for agent in self.agents:
                self.introduce(self.entries[number], agent)

    @property
    def busy(self) -> bool:
        """Whether any call is left anywhere."""
        return any(one.busy for one in [*self.entries, *self.agents])

    def close(self) -> None:
        """End everything at once."""
        self.release()
        for process in [*self.entries, *self.agents]:
            process.kill()
        for bound in self._refusing:
            bound.close()


async def _land(
    hook: Hook, process: site_processes.Process, landed: anyio.Event
) -> None:
    try:
        await hook(process)
    finally:
        landed.set()


def _make_engine(site: Site) -> engine_api.EngineServer:
    """Return an engine that stops in the middle of its first stream."""

    async def pace(_: float) -> None:
        await site.pace(made)

    events = prefixes.EventLog(chance=random.Random(0))
    made = batching.Engine(
        cache=prefixes.PrefixCache(capacity=64, log=events), sleep=pace
    )
    return engine_api.EngineServer(
        engine=made,
        book=orders.OrderBook(models=(site_layout.MODEL,), checks_fence=True),
        events=events,
        load=load_reports.LoadLog(),
    )


@contextlib.asynccontextmanager
async def open_site(
    layout: site_layout.Layout | None = None,
) -> AsyncIterator[Site]:
    """Run a site while the context lasts."""
    layout = layout or site_layout.Layout()
    async with contextlib.AsyncExitStack() as stack:
        site = Site(layout=layout)
        addresses = []
        for _ in range(layout.agents):
            endpoint: Endpoint = service.Service(name=site_layout.LEDGER)
            if layout.service == site_layout.CHAT:
                endpoint = _make_engine(site)
            site.endpoints.append(endpoint)
            served = web.serve(handle=layout.handle or endpoint.handle)
            addresses.append(await stack.enter_async_context(served))
        async with anyio.create_task_group() as group:
            site.group = group
            for one in site.endpoints:
                if isinstance(one, engine_api.EngineServer):
                    group.start_soon(one.engine.run)
            await site.start(addresses)
            try:
                yield site
            finally:
                site.close()
                group.cancel_scope.cancel()
