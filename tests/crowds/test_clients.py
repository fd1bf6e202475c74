"""Tests of crowds of clients that keep to no limit, on every listener."""

import dataclasses

import pytest

from . import processes
from . import site as site_module

pytestmark = pytest.mark.anyio


@dataclasses.dataclass(frozen=True, kw_only=True)
class Crowd:
    """Clients, and the process that they come to.

    :ivar kind: what each client does, see :mod:`.clients`.
    :ivar memory: megabytes that the process may use.
    :ivar descriptors: descriptors that it may have open.
    """

    kind: str
    listener: str
    clients: int
    memory: int = 80
    descriptors: int = 4100

    def __str__(self):
        return f'{self.clients} {self.kind} at {self.listener}'


CROWDS = [
    Crowd(kind='ahead', listener='calls', clients=1000),
    Crowd(kind='ahead', listener='addresses', clients=300),
    Crowd(kind='ahead', listener='readiness', clients=300),
    Crowd(kind='ahead', listener='metrics', clients=300),
    Crowd(kind='ahead', listener='peers', clients=300),
    Crowd(kind='ahead with long paths', listener='calls', clients=1000),
    Crowd(kind='ahead with long paths', listener='addresses', clients=300),
    Crowd(kind='ahead behind one that waits', listener='calls', clients=1000),
    Crowd(kind='large answers', listener='calls', clients=300),
    Crowd(kind='heads', listener='calls', clients=600, descriptors=600),
    Crowd(kind='heads', listener='addresses', clients=600, descriptors=600),
    Crowd(kind='large heads', listener='calls', clients=1500),
    Crowd(kind='bodies', listener='calls', clients=1500),
    Crowd(kind='heads of short lines', listener='calls', clients=150),
    Crowd(kind='resets', listener='calls', clients=100, descriptors=600),
    Crowd(kind='resets', listener='addresses', clients=100, descriptors=600),
    Crowd(kind='idle', listener='calls', clients=2500),
    Crowd(kind='idle', listener='calls', clients=300, descriptors=600),
    Crowd(kind='idle', listener='addresses', clients=300, descriptors=600),
    Crowd(kind='idle', listener='readiness', clients=300, descriptors=600),
]


@pytest.mark.parametrize(
    ('number', 'crowd'), list(enumerate(CROWDS, 1)), ids=map(str, CROWDS)
)
async def test_process_bears_clients_that_keep_to_no_limit(number, crowd):
    """Guards against a process that such clients end, fill or block."""
    asked = sorted({'calls', crowd.listener})
    beside = {}
    afterwards = {}
    async with site_module.run_site(
        host=f'127.90.0.{number}',
        memory=crowd.memory,
        descriptors=crowd.descriptors,
    ) as site:
        async with site.crowd(crowd.kind, crowd.listener, crowd.clients):
            for listener in asked:
                beside[listener] = await site.is_served(listener)
        for listener in asked:
            afterwards[listener] = await site.ask(listener)
        lives = site.gateway.lives
    peak = site.gateway.peak
    print(f'{crowd}: {lives=} {peak} {beside=} {afterwards=}')
    assert lives
    assert all(beside.values())
    assert set(afterwards.values()) == {200}
    assert peak.memory <= crowd.memory * processes.MEGABYTE
    assert peak.descriptors <= crowd.descriptors


#: Clients that hold connections in each way while a process stops.
STOPS = [
    Crowd(kind='ahead', listener='calls', clients=300),
    Crowd(kind='heads', listener='calls', clients=100),
    Crowd(kind='bodies', listener='calls', clients=100),
    Crowd(kind='large answers', listener='calls', clients=100),
]


@pytest.mark.parametrize(
    ('number', 'crowd'), list(enumerate(STOPS, 1)), ids=map(str, STOPS)
)
async def test_stop_beside_such_clients_is_clean(number, crowd):
    """Guards against a stop that they hold up, or that cuts off others."""
    async with site_module.run_site(
        host=f'127.90.1.{number}',
        memory=crowd.memory,
        descriptors=crowd.descriptors,
    ) as site:
        async with site.crowd(crowd.kind, crowd.listener, crowd.clients):
            async with site.open_request(site_module.SLOW_TARGET) as read:
                site.gateway.ask_to_stop()
                status = await read()
            await site.gateway.wait_end()
    peak = site.gateway.peak
    print(f'{crowd}: {peak} {status=} {site.gateway.exit_code=}')
    assert status == 200
    assert site.gateway.exit_code == 0
    assert peak.memory <= crowd.memory * processes.MEGABYTE
