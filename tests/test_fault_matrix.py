"""The fault matrix of a call: faults by steps by kinds of call.

Each cell asserts that the caller got one final answer which is its own,
that "not run" means that nothing ran, that a key ran at most once whatever
the caller repeated, and that later calls are served.
"""

import dataclasses

import anyio
import hypothesis
from hypothesis import strategies
import matrix_caller
import matrix_cells
import matrix_clock
import matrix_faults
import pytest

from marigoldramp import outcomes
from marigoldramp_standins import site as site_module

pytestmark = pytest.mark.anyio

#: Cells that run at the same time on one event loop.
AT_ONCE = 6


@pytest.fixture
def anyio_backend():
    return matrix_clock.BACKEND


async def run_all(kind, cells):
    """Run cells side by side; return what each has seen."""
    limit = anyio.CapacityLimiter(AT_ONCE)
    done = {}

    async def run(name, landings):
        async with limit:
            done[name] = await matrix_cells.run_cell(kind, landings)

    async with anyio.create_task_group() as group:
        for name, landings in cells.items():
            group.start_soon(run, name, landings)
    return done


@pytest.mark.parametrize('kind', matrix_cells.KINDS)
@pytest.mark.parametrize('fault', matrix_faults.FAULTS, ids=lambda f: f.name)
async def test_one_fault_at_each_step(fault, kind, fault_table):
    steps = {
        step: ((step, fault),)
        for step in matrix_faults.STEPS
        if not fault.reason(kind, step)
    }
    done = await run_all(kind, steps)
    for step, cell in done.items():
        cell.check(cell.landed, f'{fault.name} never came to {step}')
        fault_table.add(fault.name, kind, cell)
    fault_table.add_impossible(
        fault.name, len(matrix_faults.STEPS) - len(steps)
    )


@pytest.mark.parametrize('part', range(4))
async def test_pairs_of_faults(part, fault_table):
    """The second fault lands if the first one lets the call come so far."""
    kind = 'bound key'
    pairs = list(matrix_faults.list_pairs(kind).items())[part::4]
    for cell in (await run_all(kind, dict(pairs))).values():
        cell.check(cell.landed, 'the first fault never landed')
        fault_table.add(f'pairs, {len(cell.landed)} landed', kind, cell)


#: Faults after which a caller hears from its entry, or that it has gone.
HEARD = [fault for fault in matrix_faults.FAULTS if not fault.loses_caller]
CALLS = strategies.tuples(
    strategies.just('call'),
    strategies.sampled_from(['bound key', 'own key', 'idempotent']),
    strategies.sampled_from([0, 1]),
)
RETRIES = strategies.tuples(
    strategies.just('retry'),
    strategies.integers(0, 5),
    strategies.sampled_from([0, 1]),
)
LANDINGS = strategies.tuples(
    strategies.just('fault'),
    strategies.sampled_from(HEARD),
    strategies.sampled_from(matrix_faults.STEPS),
)
HEALS = strategies.tuples(
    strategies.just('heal'), strategies.none(), strategies.none()
)


class Sequence:
    """Calls, retries and faults at one site, in a drawn order."""

    def __init__(self, site):
        self.site = site
        self.asks = []
        self.heard = []

    async def play(self, event):
        match event:
            case ('call', kind, door):
                name = f'call {len(self.asks)}'
                self.asks.append(matrix_cells.make_ask(self.site, kind, name))
                self.heard.append([])
                await self._ask(len(self.asks) - 1, door, first=True)
            case ('retry', number, door) if number < len(self.asks):
                await self._ask(number, door, first=False)
            case ('fault', fault, matrix_faults.BEFORE):
                await fault.land(self.site)
            case ('fault', fault, step):
                self.site.at(step, lambda _: fault.land(self.site))
            case ('heal', _, _):
                await self.heal()

    async def heal(self):
        await self.site.heal()
        while self.site.busy:
            await anyio.sleep(0.01)
        await matrix_cells.let_bytes_arrive()

    async def _ask(self, number, door, *, first):
        ask = dataclasses.replace(self.asks[number], first=first)
        heard = await matrix_caller.send(ask, self.site.doors[door].port)
        self.heard[number].append(heard)
        if isinstance(heard, matrix_caller.Whole):
            assert matrix_caller.is_own(ask, heard.body)

    def check(self):
        for ask, heard in zip(self.asks, self.heard):
            runs = matrix_caller.count_runs(self.site, ask)
            assert runs <= 1 or not ask.key
            if any(isinstance(one, matrix_caller.Whole) for one in heard):
                assert runs >= 1
            told = [getattr(one, 'refusal', None) for one in heard]
            if all(isinstance(one, outcomes.NotRun) for one in told):
                assert runs == 0, heard


@hypothesis.given(
    events=strategies.lists(
        strategies.one_of(CALLS, RETRIES, LANDINGS, HEALS),
        min_size=3,
        max_size=9,
    )
)
@hypothesis.settings(
    max_examples=max(40, hypothesis.settings.default.max_examples // 4)
)
async def test_sequences_of_calls_retries_and_faults(events):
    layout = matrix_cells.make_layout('bound key')
    async with site_module.open_site(layout) as site:
        sequence = Sequence(site)
        for event in events:
            await sequence.play(event)
        await sequence.heal()
        sequence.check()
        # Whatever was asked is asked once more when all is well.
        for number in range(len(sequence.asks)):
            await sequence.play(('retry', number, number % 2))
        for ask in sequence.asks:
            assert matrix_caller.count_runs(site, ask) <= 1 or not ask.key
