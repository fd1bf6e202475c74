"""Tests of the retry budget over all gateways, from arrivals at endpoints."""

import anyio
import pytest
import virtual_time

from marigoldramp.gateway import boot_clock
from marigoldramp.gateway import retry_budget

from . import retry_fleet

pytestmark = pytest.mark.anyio
BOUNDS = retry_budget.Bounds(ratio=0.2, extra=92.0, window=10.0)
#: Seconds before the first fault: more than a window.
LEAD_SECONDS = 14.0


@pytest.fixture
def anyio_backend():
    return virtual_time.make_backend()


@pytest.fixture(autouse=True)
def use_virtual_clock(monkeypatch):
    monkeypatch.setattr(boot_clock, 'read_clock', virtual_time.now)


async def restart_all(fleet):
    """Restart all gateways one after the other while all requests fail."""
    fleet.fail()
    await anyio.sleep(3.0)
    for gateway in fleet.gateways:
        gateway.start()
        await anyio.sleep(1.0 / len(fleet.gateways))
    await anyio.sleep(8.0)


async def run(play, *, gateways, rate=60.0, **more):
    """Return the fleet after a scenario."""
    async with anyio.create_task_group() as tasks:
        fleet = retry_fleet.Fleet(
            tasks, gateways=gateways, bounds=BOUNDS, **more
        )
        tasks.start_soon(fleet.demand, rate, 60.0)
        await anyio.sleep(LEAD_SECONDS)
        await play(fleet)
        tasks.cancel_scope.cancel()
    return fleet


@pytest.mark.parametrize('gateways', [6])
async def test_restarted_gateways_do_not_spend_the_budget_again(gateways):
    """Guards against a second budget after a restart of all gateways."""
    fleet = await run(restart_all, gateways=gateways)
    assert fleet.repeats
    assert fleet.find_excess() <= 0.0
