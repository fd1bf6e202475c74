"""The fault matrix of a call: faults by steps by kinds of call.

Each cell asserts that the caller got one final answer which is its own,
that "not run" means that nothing ran, that a key ran at most once whatever
the caller repeated, and that later calls are served.
"""

import anyio
import matrix_cells
import matrix_clock
import matrix_faults
import pytest

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
