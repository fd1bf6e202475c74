"""A network in virtual time between instances of one process.

It gives the time that the protocol itself takes: many instances on one core
would else wait for each other's processor time.
"""

import asyncio
import dataclasses

import anyio

from marigoldramp import heartbeats
from marigoldramp import peers
from marigoldramp import seals


@dataclasses.dataclass(slots=True, kw_only=True)
class Network:
    """Carries datagrams and requests, each after a fixed time.

    :ivar datagram_seconds: from sending to arrival.
    :ivar request_seconds: from asking to the reply, connecting included.
    """

    datagram_seconds: float
    request_seconds: float
    receivers: dict[int, heartbeats.Receive] = dataclasses.field(
        default_factory=dict
    )
    handlers: dict[int, peers.Handlers] = dataclasses.field(
        default_factory=dict
    )

    def carry(self, datagram: bytes, port: int) -> None:
        """Deliver a datagram in time."""
        receive = self.receivers.get(port)
        if receive is not None:
            asyncio.get_running_loop().call_later(
                self.datagram_seconds, receive, datagram
            )

    async def connect(self, port: int) -> peers.Handlers | None:
        """Return who answers at a port, after the time of a request."""
        await anyio.sleep(self.request_seconds)
        return self.handlers.get(port)


class Transport(heartbeats.Transport):
    """One instance's end of the network for datagrams."""

    def __init__(self, *, network: Network) -> None:
        self._network = network

    async def open(
        self, *, host: str, port: int, receive: heartbeats.Receive
    ) -> int:
        bound = 1 + len(self._network.receivers)
        self._network.receivers[bound] = receive
        return bound

    def send(self, *, datagram: bytes, host: str, port: int) -> None:
        self._network.carry(datagram, port)

    def close(self) -> None:
        return


class Client(peers.Client):
    """One instance's end of the network for requests."""

    def __init__(self, *, network: Network, sealer: seals.Sealer) -> None:
        super().__init__(sealer=sealer, instance='any')
        self._network = network

    async def probe(
        self,
        host: str,
        port: int,
        *,
        receiver: str = '',
        timeout: float = 2.0,
    ) -> peers.ProbeReply | peers.Unreachable:
        handlers = await self._network.connect(port)
        if handlers is None:
            return peers.Unreachable(detail='nobody listens')
        return await handlers.probe(sender='any')

    async def fetch_manifest(
        self, host: str, port: int, *, have: int, timeout: float = 2.0
    ) -> peers.ManifestReply | peers.Unreachable:
        handlers = await self._network.connect(port)
        if handlers is None:
            return peers.Unreachable(detail='nobody listens')
        return await handlers.fetch_manifest(have=have, sender='any')

    async def fetch_parts(
        self,
        host: str,
        port: int,
        *,
        digests: tuple[str, ...],
        timeout: float = 2.0,
    ) -> tuple[peers.Part, ...] | peers.Unreachable:
        handlers = await self._network.connect(port)
        if handlers is None:
            return peers.Unreachable(detail='nobody listens')
        return await handlers.fetch_parts(digests=digests, sender='any')
