"""Tests that no gateway uses an endpoint that has left, over all gateways."""

import anyio
import pytest
import virtual_time

from marigoldramp.gateway import peer_exchange

from . import drain_fleet

pytestmark = pytest.mark.anyio
#: Seconds before the first fault: more than a gateway takes to start.
LEAD_SECONDS = 6.0
#: Seconds after the last fault in which the rule is checked.
CHECK_SECONDS = 8.0
#: Gateways of a deployment to which the bounds of small ones apply.
MAX_SMALL_GATEWAYS = 20


@pytest.fixture
def anyio_backend():
    return virtual_time.make_backend()


async def run(play, monkeypatch, *, gateways, bounds, seed=1):
    """Return what a scenario has broken."""
    async with anyio.create_task_group() as tasks:
        fleet = drain_fleet.Fleet(
            tasks, gateways=gateways, endpoints=24, seed=seed, bounds=bounds
        )
        monkeypatch.setattr(peer_exchange, 'fetch_endpoints', fleet.fetch)
        tasks.start_soon(fleet.check)
        await anyio.sleep(LEAD_SECONDS)
        await play(fleet)
        await anyio.sleep(CHECK_SECONDS)
        tasks.cancel_scope.cancel()
    return fleet.broken


@pytest.mark.parametrize(
    ('gateways', 'seed'),
    [
        (6, 3),
        (6, 15),
        (6, 16),
        (6, 24),
        (6, 54),
        (6, 57),
        (6, 62),
        (6, 87),
        (6, 97),
        (39, 31),
    ],
)
async def test_endpoint_that_has_left_is_not_used(gateways, seed, monkeypatch):
    """Guards against requests to endpoints that left during faults."""
    bounds = (
        drain_fleet.SMALL_BOUNDS
        if gateways <= MAX_SMALL_GATEWAYS
        else drain_fleet.GROWN_BOUNDS
    )
    broken = await run(
        lambda fleet: drain_fleet.Schedule(fleet, seed).run(),
        monkeypatch,
        gateways=gateways,
        bounds=bounds,
        seed=seed,
    )
    assert not broken
