"""Share of calls answered whole and in time before, during and after faults.

Callers with the Python client ask a site in one process, over real sockets
and in real time.  The site's verdicts on peers come at once when an entry
suspects an instance; what the real verdicts take is measured elsewhere
(``verdicts``).
"""

import collections
import dataclasses
import enum
import itertools
import pathlib
import random as random_module
import time
from typing import Awaitable
from typing import Callable

import anyio
import msgspec

from marigoldramp import client
from marigoldramp import outcomes
from marigoldramp_standins import links
from marigoldramp_standins import service
from marigoldramp_standins import site as site_module
from marigoldramp_standins import site_layout

from . import tables

WORKERS = 6
#: Calls of one worker in a second.
RATE = 8.0
DEADLINE = 1.0
#: Seconds that an endpoint works on a call.
SERVICE_SECONDS = 0.15


class Phase(enum.StrEnum):
    """When a call began."""

    BEFORE = 'before'
    DURING = 'during'
    AFTER = 'after'


SECONDS = {Phase.BEFORE: 2.0, Phase.DURING: 3.0, Phase.AFTER: 2.0}


class Kind(enum.StrEnum):
    """What a worker calls."""

    BOUND = 'bound key'
    OWN = 'own key'
    IDEMPOTENT = 'idempotent'


Change = Callable[[site_module.Site], Awaitable[None]]


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Fault:
    """A fault that lasts for the phase ``during``."""

    name: str
    begin: Change
    end: Change
    kinds: tuple[Kind, ...] = (Kind.BOUND, Kind.IDEMPOTENT)


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Row:
    """What became of the calls of one kind that began in one phase."""

    fault: str
    phase: Phase
    kind: Kind
    calls: int
    answered: int
    not_run: int
    unknown: int
    share: float
    p95_ms: float


@dataclasses.dataclass(slots=True, kw_only=True)
class _Tally:
    outcomes: collections.Counter[str] = dataclasses.field(
        default_factory=collections.Counter
    )
    seconds: list[float] = dataclasses.field(default_factory=list)


class _Run:
    """The calls around one fault."""

    def __init__(self, *, site: site_module.Site, fault: Fault) -> None:
        self.site = site
        self.fault = fault
        self.phase = Phase.BEFORE
        self.over = False
        self.tallies: dict[tuple[Phase, Kind], _Tally] = (
            collections.defaultdict(_Tally)
        )
        self.caller = client.Client(
            addresses=[f'http://127.0.0.1:{one.port}' for one in site.doors],
            key=site_layout.KEY,
        )
        self.numbers = itertools.count()

    async def run(self, random: random_module.Random) -> None:
        async with anyio.create_task_group() as group:
            for number in range(WORKERS):
                kinds = self.fault.kinds
                kind = kinds[number % len(kinds)]
                group.start_soon(self._work, kind, random.random() / RATE)
            await anyio.sleep(SECONDS[Phase.BEFORE])
            await self.fault.begin(self.site)
            self.phase = Phase.DURING
            await anyio.sleep(SECONDS[Phase.DURING])
            await self.fault.end(self.site)
            self.phase = Phase.AFTER
            await anyio.sleep(SECONDS[Phase.AFTER])
            self.over = True
        await self.caller.close()

    async def _work(self, kind: Kind, offset: float) -> None:
        due = time.monotonic() + offset
        while not self.over:
            due += 1.0 / RATE
            await anyio.sleep(max(0.0, due - time.monotonic()))
            tally = self.tallies[self.phase, kind]
            begun = time.monotonic()
            heard = await self.caller.call(self._make(kind))
            passed = time.monotonic() - begun
            match heard:
                case client.Answer(status=200) if passed <= DEADLINE:
                    tally.outcomes['answered'] += 1
                    tally.seconds.append(passed)
                case outcomes.NotRun():
                    tally.outcomes['not_run'] += 1
                case _:
                    tally.outcomes['unknown'] += 1

    def _make(self, kind: Kind) -> client.Call:
        name = f'call {next(self.numbers)}'
        headers = []
        if kind is Kind.OWN:
            headers.append((b'idempotency-key', name.encode()))
        path = '/quotes/q' if kind is Kind.IDEMPOTENT else '/ledger/pay'
        return client.Call(
            method='POST',
            path=path,
            body=msgspec.json.encode(service.Reference(reference=name)),
            headers=tuple(headers),
            seconds=DEADLINE,
            service=site_layout.LEDGER if kind is Kind.BOUND else '',
        )

    def list_rows(self) -> list[Row]:
        rows = []
        for phase in Phase:
            for kind in self.fault.kinds:
                tally = self.tallies[phase, kind]
                calls = tally.outcomes.total()
                answered = tally.outcomes['answered']
                rows.append(
                    Row(
                        fault=self.fault.name,
                        phase=phase,
                        kind=kind,
                        calls=calls,
                        answered=answered,
                        not_run=tally.outcomes['not_run'],
                        unknown=tally.outcomes['unknown'],
                        share=answered / max(1, calls),
                        p95_ms=1000 * tables.quantile(tally.seconds, 0.95),
                    )
                )
        return rows


async def _kill(site: site_module.Site) -> None:
    await site.kill_agent(0)


async def _restart(site: site_module.Site) -> None:
    await site.heal()


async def _freeze(site: site_module.Site) -> None:
    site.freeze(site.agents[0])


async def _silence(site: site_module.Site) -> None:
    for row in site.links:
        row[0].set_fault(links.Fault.SILENT)


async def _stop_endpoint(site: site_module.Site) -> None:
    await site.backs[0].cut()
    await site.stop_link(site.backs[0])


async def _start_endpoint(site: site_module.Site) -> None:
    await site.reopen_endpoint(0)


async def _stop_store(site: site_module.Site) -> None:
    site.table.faults.outage = True


FAULTS = (
    Fault(name='agent killed', begin=_kill, end=_restart),
    Fault(name='agent frozen', begin=_freeze, end=_restart),
    Fault(name='connections silent', begin=_silence, end=_restart),
    Fault(name='endpoint dead', begin=_stop_endpoint, end=_start_endpoint),
    Fault(
        name='store down',
        begin=_stop_store,
        end=_restart,
        kinds=(Kind.BOUND, Kind.OWN),
    ),
)


async def _measure(seed: int) -> list[Row]:
    random = random_module.Random(seed)
    rows: list[Row] = []
    for fault in FAULTS:
        async with site_module.open_site() as site:
            for endpoint in site.endpoints:
                assert isinstance(endpoint, service.Service)
                endpoint.seconds = SERVICE_SECONDS
            run_one = _Run(site=site, fault=fault)
            await run_one.run(random)
            rows.extend(run_one.list_rows())
    return rows


def run(*, seed: int, out: pathlib.Path) -> None:
    """Measure every fault and write the table."""
    rows = anyio.run(_measure, seed)
    tables.write(rows=rows, path=out / 'faults.csv')
