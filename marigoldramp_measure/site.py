"""Entry, agents and engine stand-ins in one process, over real sockets.

For experiments that look into the engines while calls run.
"""

import contextlib
import dataclasses
import hashlib
import pathlib
import random as random_module
import tempfile
from typing import Any
from typing import AsyncIterator
from typing import Sequence

import anyio
import anyio.abc
import httpcore
import msgspec
import yaml

from marigoldramp import agent as agent_module
from marigoldramp import bundle
from marigoldramp import entry as entry_module
from marigoldramp import manifests
from marigoldramp import messages
from marigoldramp import runtime as runtime_module
from marigoldramp import settings as settings_module
from marigoldramp import settings_files
from marigoldramp import store
from marigoldramp_standins import answers
from marigoldramp_standins import batching
from marigoldramp_standins import engine_api
from marigoldramp_standins import instance_list
from marigoldramp_standins import jobs
from marigoldramp_standins import load_reports
from marigoldramp_standins import memory
from marigoldramp_standins import objects
from marigoldramp_standins import orders
from marigoldramp_standins import prefixes
from marigoldramp_standins import web

MODEL = 'm'
SERVICE = 'drafts'
CHAT = '/v1/chat/completions'
CALLER_KEY = 'caller-key'
FLEET_KEY = b'k' * 32
FREE_RATE = 1e9
LOOK_AGAIN = 0.01
POLL_INSTANCES = 0.1
#: The store is in memory; the settings ask for an address all the same.
UNUSED_ADDRESS = 'http://127.0.0.1:1'


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Layout:
    """What a site is made of.

    :ivar cache_blocks: blocks of prompts that an engine caches.
    :ivar event_lag: seconds until an engine shows a cache event.
    :ivar event_loss: share of them that it never shows.
    :ivar agent: settings of the agents that differ from the defaults.
    """

    engines: int = 1
    entries: int = 1
    slots: int = 16
    resume_seconds: float = 0.0
    cache_blocks: int = 4096
    event_lag: float = 0.5
    event_loss: float = 0.02
    load_lag: float = 0.5
    speed: batching.Speed = batching.Speed()
    kind: str = 'model_engine'
    routing: str = 'two_choices'
    agent: dict[str, Any] = dataclasses.field(default_factory=dict)


class CountingCache(prefixes.PrefixCache):
    """A prefix cache that counts what it was asked for and what it had."""

    __slots__ = ('asked', 'found')

    def __init__(self, *, capacity: int, log: prefixes.EventLog) -> None:
        super().__init__(capacity=capacity, log=log)
        self.asked = 0
        self.found = 0

    def count_leading(self, *, blocks: tuple[bytes, ...]) -> int:
        """Return how many blocks from the start on are in the cache."""
        found = super().count_leading(blocks=blocks)
        self.asked += len(blocks)
        self.found += found
        return found


class Engine:
    """An engine stand-in whose jobs are all remembered.

    :ivar jobs: every job that it was given, by its stream.
    """

    def __init__(self, *, layout: Layout, seed: int) -> None:
        events = prefixes.EventLog(
            lag=layout.event_lag,
            loss=layout.event_loss,
            chance=random_module.Random(seed),
        )
        self.cache = CountingCache(capacity=layout.cache_blocks, log=events)
        self.server = engine_api.EngineServer(
            engine=batching.Engine(
                cache=self.cache,
                speed=layout.speed,
                slots=layout.slots,
                resume_seconds=layout.resume_seconds,
            ),
            book=orders.OrderBook(models=(MODEL,)),
            events=events,
            load=load_reports.LoadLog(lag=layout.load_lag),
        )
        self.jobs: dict[str, jobs.Job] = {}
        self._note_load = self.server.engine.on_change
        self.server.engine.on_change = self._note

    @property
    def core(self) -> batching.Engine:
        """The engine behind its HTTP interface."""
        return self.server.engine

    def _note(self) -> None:
        for job in self.core.waiting:
            self.jobs[job.stream] = job
        self._note_load()


class Site:
    """A running site.

    :ivar addresses: base addresses of the entries.
    """

    def __init__(
        self,
        *,
        engines: Sequence[Engine],
        entries: Sequence[entry_module.Entry],
        agents: Sequence[agent_module.Agent],
    ) -> None:
        self.engines = engines
        self.entries = entries
        self.agents = agents
        self.addresses = [
            f'http://{web.HOST}:{one.runtime.server.port}' for one in entries
        ]

    @property
    def address(self) -> str:
        """Base address of the first entry."""
        return self.addresses[0]

    def count_tokens(self) -> int:
        """Return the tokens that all engines have generated."""
        return sum(
            job.produced for one in self.engines for job in one.jobs.values()
        )


def make_request(
    *, address: str, request: answers.ChatRequest, headers: Any = ()
) -> httpcore.Request:
    """Return a chat request as a caller sends it."""
    body = msgspec.json.encode(request)
    return httpcore.Request(
        method='POST',
        url=address + CHAT,
        headers=[
            (b'host', b'entry'),
            (b'authorization', f'Bearer {CALLER_KEY}'.encode()),
            (b'content-length', str(len(body)).encode()),
            *headers,
        ],
        content=body,
    )


@contextlib.asynccontextmanager
async def start(*, layout: Layout, seed: int) -> AsyncIterator[Site]:
    """Run a site while the context lasts."""
    table = objects.Table()
    await _publish(table, _make_bundle(layout))
    engines = [
        Engine(layout=layout, seed=seed + number)
        for number in range(layout.engines)
    ]
    async with contextlib.AsyncExitStack() as stack:
        group = await stack.enter_async_context(anyio.create_task_group())
        stack.callback(group.cancel_scope.cancel)
        running = await stack.enter_async_context(anyio.create_task_group())
        builder = _Builder(table=table, group=running, seed=seed)
        stack.callback(builder.stop)
        agents = []
        for number, engine in enumerate(engines):
            address = await stack.enter_async_context(
                web.serve(handle=engine.server.handle)
            )
            group.start_soon(engine.core.run)
            agents.append(builder.start_agent(number, address, layout))
        entries = [
            builder.start_entry(number) for number in range(layout.entries)
        ]
        while not builder.is_listening():
            await anyio.sleep(LOOK_AGAIN)
        builder.register()
        while not builder.is_ready():
            await anyio.sleep(LOOK_AGAIN)
        for one in entries:
            members = one.runtime.members
            while len(members.peers(messages.Role.AGENT)) < len(agents):
                await anyio.sleep(LOOK_AGAIN)
        yield Site(engines=engines, entries=entries, agents=agents)


class _Builder:
    """Starts instances that find each other through one list."""

    def __init__(
        self,
        *,
        table: objects.Table,
        group: anyio.abc.TaskGroup,
        seed: int,
    ) -> None:
        self._table = table
        self._group = group
        self._seed = seed
        self._listed = instance_list.InstanceList()
        self._runtimes: list[runtime_module.Runtime] = []

    def is_ready(self) -> bool:
        """Whether every instance has its bundle."""
        return all(one.ready for one in self._runtimes)

    def is_listening(self) -> bool:
        """Whether every instance knows its ports."""
        return all(
            hasattr(one, 'members') and one.members.identity.datagram_port
            for one in self._runtimes
        )

    def register(self) -> None:
        """Put the instances on the list by which they find each other."""
        for one in self._runtimes:
            identity = one.members.identity
            is_entry = identity.role is messages.Role.ENTRY
            self._listed.put(
                instance=store.Instance(
                    name=identity.instance,
                    role='entry' if is_entry else 'endpoint',
                    data_centre=identity.data_centre,
                    host=identity.host,
                    call_port=identity.call_port,
                    control_port=identity.control_port,
                    datagram_port=identity.datagram_port,
                    service=identity.service,
                )
            )

    def stop(self) -> None:
        """End every instance at once."""
        for one in self._runtimes:
            one.request_stop()
            one.request_stop()

    def start_agent(
        self, number: int, address: str, layout: Layout
    ) -> agent_module.Agent:
        """Start an agent beside an engine."""
        settings = self._make_settings(
            f'agent-{number}',
            'agent',
            {
                'service': SERVICE,
                'endpoint': address,
                'kind': layout.kind,
                'slots': layout.slots,
                **layout.agent,
            },
        )
        program = agent_module.Agent(settings=settings)
        self._start(program, settings)
        return program

    def start_entry(self, number: int) -> entry_module.Entry:
        """Start an entry."""
        settings = self._make_settings(f'entry-{number}', 'entry', {})
        program = entry_module.Entry(settings=settings)
        self._start(program, settings)
        return program

    def _start(
        self,
        program: agent_module.Agent | entry_module.Entry,
        settings: settings_module.Settings,
    ) -> None:
        runtime = runtime_module.Runtime(
            settings=settings,
            program=program,
            fleet_key=FLEET_KEY,
            platform=memory.MemoryStore(
                table=self._table, instances=self._listed
            ),
        )
        runtime.random.seed(f'{self._seed}/{settings.instance}')
        program.runtime = runtime
        self._runtimes.append(runtime)
        self._group.start_soon(runtime.run)

    def _make_settings(
        self, name: str, role: str, changes: dict[str, Any]
    ) -> settings_module.Settings:
        return _read_settings(
            {
                'instance': name,
                'data_centre': 'east',
                'platform': {
                    'address': UNUSED_ADDRESS,
                    'poll_instances': POLL_INSTANCES,
                },
                'security': {'fleet_key': 'env:UNUSED', 'sign_offs': 0},
                role: changes,
            }
        )


def _read_settings(document: dict[str, Any]) -> settings_module.Settings:
    with tempfile.TemporaryDirectory(prefix='marigoldramp-') as folder:
        path = pathlib.Path(folder) / 'settings.yaml'
        path.write_text(yaml.safe_dump(document))
        loaded = settings_files.read(path=str(path))
    if loaded.value is None:
        raise ValueError(loaded.findings)
    return loaded.value


def _make_bundle(layout: Layout) -> bundle.Bundle:
    digest = hashlib.sha256(CALLER_KEY.encode()).hexdigest()
    return bundle.Bundle(
        number=1,
        services=(
            bundle.Service(
                name=SERVICE,
                kind='model_engine',
                model=MODEL,
                routing=layout.routing,
            ),
        ),
        routes=(
            bundle.Route(
                method='POST',
                path=CHAT,
                service=SERVICE,
                default_deadline_seconds=60.0,
            ),
        ),
        customers=(
            bundle.Customer(
                name='customer',
                key_digests=(digest,),
                services=(SERVICE,),
                requests_per_second=FREE_RATE,
                concurrent_calls=10_000,
                tokens_per_second=FREE_RATE,
                entries=layout.entries,
            ),
        ),
    )


async def _publish(table: objects.Table, whole: bundle.Bundle) -> None:
    split = manifests.split(whole=whole)
    for part in split.parts:
        await table.write(
            key=manifests.key_part(part.digest),
            value=part.content,
            expected=store.CREATE,
        )
    await table.write(
        key=manifests.CURRENT,
        value=manifests.encode(split.manifest),
        expected=store.CREATE,
    )
