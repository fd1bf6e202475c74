"""Tests of the connections to the platform's store."""

import anyio
import httpcore
import pytest
import virtual_time

from marigoldramp.gateway import outbound
from marigoldramp.platform import objects
from marigoldramp import store

pytestmark = pytest.mark.anyio
#: Seconds within which a gateway must notice that it is cut off.
MAX_NOTICE_SECONDS = 2.0


@pytest.fixture
def anyio_backend():
    return virtual_time.make_backend()


class SilentNetwork(httpcore.AsyncNetworkBackend):
    """A network on which nothing answers."""

    async def connect_tcp(self, host, port, timeout=None, **options):
        await anyio.sleep(timeout)
        raise httpcore.ConnectTimeout('no answer')


@pytest.mark.parametrize('seconds', [0.0, 25.0])
async def test_watch_of_a_silent_store_fails_soon(seconds):
    """Guards against a watch that only waits for its connection.

    The system sends an opening packet again after ever longer pauses, so the
    watch would also miss the first seconds in which the store answers again.
    """
    object_store = objects.ObjectStore(
        address=outbound.Address(host='127.0.0.1', port=1)
    )
    object_store._client._pool._network_backend = SilentNetwork()
    found = await object_store.watch_events('x', after=1, seconds=seconds)
    assert isinstance(found, store.Unavailable)
    assert virtual_time.now() <= MAX_NOTICE_SECONDS
