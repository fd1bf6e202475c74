"""The processes of the demonstration, from first start to last stop."""

import pathlib
import secrets
from typing import Callable

import anyio
import httpcore
import msgspec

from marigoldramp import bundle

from . import demo_layout
from . import group_engine
from . import processes
from . import service

READY_SECONDS = 30.0
READY_POLL = 0.1
STOP_SECONDS = 25.0
OPERATOR_KEY_VARIABLE = 'MARIGOLDRAMP_OPERATOR_KEY'

_ENGINE = 'marigoldramp_standins.engine'
_SERVICE = 'marigoldramp_standins.service'
_ENGINES = ('engine-1', 'engine-2')
_GROUP = 'ranks'
_SERVICES = ('dispatch', 'ledger')


class Fleet:
    """All processes of one run.

    :ivar platform: base address of the platform stand-in.
    """

    __slots__ = (
        'platform',
        'callers',
        '_folder',
        '_say',
        '_environment',
        '_operators',
        '_nodes',
        '_standins',
        '_endpoints',
        '_own',
        '_pool',
    )

    def __init__(
        self, *, folder: pathlib.Path, say: Callable[[str], None]
    ) -> None:
        self.platform = ''
        self.callers = demo_layout.make_callers()
        self._folder = folder
        self._say = say
        self._operators = tuple(
            demo_layout.make_operator(name=name) for name in ('anna', 'bela')
        )
        self._environment = {
            demo_layout.FLEET_KEY_VARIABLE: secrets.token_hex(32)
        }
        self._nodes: list[demo_layout.Node] = []
        self._standins: list[processes.Process] = []
        self._endpoints: dict[str, str] = {}
        self._own: list[processes.Process] = []
        self._pool = httpcore.AsyncConnectionPool()

    async def start(self, *, entries: int) -> None:
        """Start everything and return when it is ready."""
        self._say(
            'Starting the platform, two engines, a rank group and two '
            'services ...'
        )
        await self._start_standins()
        self._nodes = self._lay_out(entries)
        await self._register()
        self._say(f'Starting 4 agents and {entries} entries ...')
        for node in self._nodes:
            await self._start_node(node)
        self._say('Submitting, signing and rolling the first bundle ...')
        await self._roll_bundle(entries)
        await self._wait_ready()

    def entry_addresses(self) -> list[str]:
        """Return the base addresses of the entries."""
        return [one.address for one in self._nodes if one.role == 'entry']

    def find_process(self, name: str) -> int:
        """Return the number of a running process by its name."""
        for process in self._own + self._standins:
            if process.name == name:
                return process.id
        raise KeyError(name)

    async def count_runs(self) -> dict[str, int]:
        """Return how often each reference ran, as the services counted."""
        runs: dict[str, int] = {}
        for name in _SERVICES:
            address = self._endpoints[name]
            found = await self._ask('GET', f'{address}/standin/runs')
            report = msgspec.json.decode(
                found.content, type=service.RunsReport
            )
            runs.update(report.runs)
        return runs

    async def ask_group(self) -> group_engine.GroupReport:
        """Return what the rank group's engines have recorded."""
        address = self._endpoints[_GROUP]
        found = await self._ask('GET', f'{address}/standin/group')
        return msgspec.json.decode(
            found.content, type=group_engine.GroupReport
        )

    async def stop(self) -> bool:
        """Stop entries, agents and stand-ins; true if all exited with 0."""
        self._say('\nStopping entries, then agents, then the stand-ins ...')
        await self._pool.aclose()
        entries = [one for one in self._own if one.name.startswith('entry')]
        agents = [one for one in self._own if one not in entries]
        ended = []
        for group in (entries, agents, self._standins):
            ended += await self._stop_group(group)
        faults = [one for one in ended if one.killed or one.code]
        for one in faults:
            how = 'was killed' if one.killed else f'exited with {one.code}'
            self._say(f'FAULT {one.name} {how}\n{self._read_log(one.name)}')
        self._say(f'{len(ended) - len(faults)} of {len(ended)} exited with 0')
        return not faults

    async def _start_standins(self) -> None:
        self.platform = await self._start_standin(
            'platform',
            ['marigoldramp_standins.platform', '--instance-lag', '0.5'],
        )
        for seed, name in enumerate(_ENGINES):
            self._endpoints[name] = await self._start_standin(
                name,
                [
                    _ENGINE,
                    '--model',
                    demo_layout.MODEL,
                    '--slots',
                    str(demo_layout.SLOTS),
                    '--seed',
                    str(seed),
                ],
            )
        for name in _SERVICES:
            self._endpoints[name] = await self._start_standin(
                name, [_SERVICE, '--name', name]
            )
        self._endpoints[_GROUP] = await self._start_standin(
            _GROUP,
            [
                'marigoldramp_standins.group_engine',
                '--ranks',
                str(demo_layout.GROUP.ranks),
            ],
        )

    async def _start_standin(self, name: str, arguments: list[str]) -> str:
        process = await processes.start(
            name=name,
            arguments=arguments,
            folder=self._folder,
            reads_address=True,
        )
        self._standins.append(process)
        return await process.read_address()

    def _lay_out(self, entries: int) -> list[demo_layout.Node]:
        centres = demo_layout.DATA_CENTRES
        nodes = []
        for index, name in enumerate(_ENGINES + _SERVICES):
            is_engine = name in _ENGINES
            each = demo_layout.GROUP.ranks // len(_ENGINES)
            ranks = tuple(range(index * each, (index + 1) * each))
            nodes.append(
                demo_layout.make_node(
                    name=f'agent-{name}',
                    data_centre=centres[index % len(centres)],
                    service='drafts' if is_engine else name,
                    endpoint=self._endpoints[name],
                    kind='model_engine' if is_engine else 'plain_service',
                    ranks=ranks if is_engine else (),
                    rank_endpoint=self._endpoints[_GROUP],
                )
            )
        for index in range(entries):
            nodes.append(
                demo_layout.make_node(
                    name=f'entry-{index + 1}',
                    data_centre=centres[index % len(centres)],
                )
            )
        return nodes

    async def _register(self) -> None:
        for node in self._nodes:
            name = node.instance.name
            await self._ask(
                'PUT',
                f'{self.platform}/standin/instances/{name}',
                msgspec.json.encode(node.instance),
            )

    async def _start_node(self, node: demo_layout.Node) -> None:
        name = node.instance.name
        path = self._folder / f'{name}.yaml'
        self.write_settings(node, path)
        process = await processes.start(
            name=name,
            arguments=['marigoldramp.ui', node.role, '--settings', str(path)],
            folder=self._folder,
            environment=self._environment,
        )
        self._own.append(process)

    def write_settings(
        self, node: demo_layout.Node, path: pathlib.Path
    ) -> None:
        """Write the settings file of one instance."""
        demo_layout.write_settings(
            path=path,
            platform=self.platform,
            operators=self._operators,
            node=node,
        )

    def make_bundle(self, entries: int) -> bundle.Bundle:
        """Return the bundle that is rolled before the first call."""
        return demo_layout.make_bundle(callers=self.callers, entries=entries)

    async def _roll_bundle(self, entries: int) -> None:
        """Bring the first bundle into force, as operators would."""
        file = self._folder / 'bundle.yaml'
        document = self.make_bundle(entries)
        demo_layout.write_bundle(path=file, document=document)
        settings = self._folder / 'console.yaml'
        demo_layout.write_settings(
            path=settings, platform=self.platform, operators=self._operators
        )
        author = self._operators[0].name
        output = await self._operate('submit', str(file), operator=author)
        digest = output.strip()
        for operator in self._operators:
            await self._operate(
                'sign',
                digest,
                '--key',
                f'env:{OPERATOR_KEY_VARIABLE}',
                operator=operator.name,
                key=operator.keys.private,
            )
        await self._operate('roll', digest, operator=author)

    async def _operate(
        self, *arguments: str, operator: str, key: str = ''
    ) -> str:
        """Run one of the bundle commands as an operator."""
        return await processes.run(
            arguments=[
                'marigoldramp.ui',
                'bundle',
                *arguments,
                '--settings',
                str(self._folder / 'console.yaml'),
                '--operator',
                operator,
            ],
            environment={**self._environment, OPERATOR_KEY_VARIABLE: key},
        )

    async def _wait_ready(self) -> None:
        with anyio.move_on_after(READY_SECONDS):
            for node in self._nodes:
                while not await self._is_ready(node):
                    await anyio.sleep(READY_POLL)
            self._say(f'All {len(self._nodes)} are ready.')
            return
        for process in self._own:
            self._say(f'{process.name}:\n{process.read_log()}')
        raise processes.Failed(f'not ready within {READY_SECONDS:g} s')

    async def _is_ready(self, node: demo_layout.Node) -> bool:
        for process in self._own:
            if process.has_ended():
                raise processes.Failed(
                    f'{process.name} ended early:\n{process.read_log()}'
                )
        try:
            found = await self._ask(
                'GET', f'{node.address}/marigoldramp/ready'
            )
        except (httpcore.NetworkError, httpcore.ProtocolError):
            return False
        return found.status == 200

    async def _ask(
        self, method: str, url: str, body: bytes = b''
    ) -> httpcore.Response:
        return await self._pool.request(
            method,
            url,
            content=body,
            extensions={'timeout': {'connect': 5.0, 'read': 5.0}},
        )

    async def _stop_group(
        self, group: list[processes.Process]
    ) -> list[processes.Ended]:
        ended: list[processes.Ended] = []

        async def stop_one(process: processes.Process) -> None:
            ended.append(await process.stop(seconds=STOP_SECONDS))

        async with anyio.create_task_group() as tasks:
            for process in group:
                tasks.start_soon(stop_one, process)
        return ended

    def _read_log(self, name: str) -> str:
        for process in self._own + self._standins:
            if process.name == name:
                return process.read_log()
        return ''
