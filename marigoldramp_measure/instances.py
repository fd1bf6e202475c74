"""Many instances in one process: real sockets, real code, no calls.

An instance here is what entries and agents have in common: heartbeats over
UDP, requests over gRPC, and the bundle in force.
"""

import dataclasses
import functools
import pathlib
import random as random_module
import tempfile
import time
from typing import Callable

import anyio
import anyio.abc
import msgspec

from marigoldramp import bundle
from marigoldramp import configuration
from marigoldramp import heartbeats
from marigoldramp import manifests
from marigoldramp import membership
from marigoldramp import messages
from marigoldramp import peers
from marigoldramp import seals
from marigoldramp import settings
from marigoldramp import settings_files
from marigoldramp import signatures
from marigoldramp import store
from marigoldramp_standins import memory
from marigoldramp_standins import objects

from . import network

HOST = '127.0.0.1'
KEY = b'key of a measurement'
SERVICE = 'drafts'
OPERATOR = 'operator'
#: Bytes of the IP and UDP headers of a datagram.
HEADER_BYTES = 28


@dataclasses.dataclass(slots=True, kw_only=True)
class Traffic:
    """Datagrams of one instance, with their headers."""

    sent: int = 0
    sent_bytes: int = 0
    received: int = 0
    received_bytes: int = 0


class CountingTransport(heartbeats.UdpTransport):
    """UDP that counts what passes."""

    def __init__(self, *, traffic: Traffic) -> None:
        super().__init__()
        self.traffic = traffic

    async def open(
        self, *, host: str, port: int, receive: heartbeats.Receive
    ) -> int:
        return await super().open(
            host=host,
            port=port,
            receive=functools.partial(self._receive, receive),
        )

    def _receive(self, receive: heartbeats.Receive, datagram: bytes) -> None:
        self.traffic.received += 1
        self.traffic.received_bytes += len(datagram) + HEADER_BYTES
        receive(datagram)

    def send(self, *, datagram: bytes, host: str, port: int) -> None:
        self.traffic.sent += 1
        self.traffic.sent_bytes += len(datagram) + HEADER_BYTES
        super().send(datagram=datagram, host=host, port=port)


class Handlers(peers.Handlers):
    """Answers probes and gives bundles."""

    def __init__(self) -> None:
        self.members: membership.Membership
        self.config: configuration.Configuration | None = None

    async def probe(self, *, sender: str) -> peers.ProbeReply:
        return self.members.answer_probe()

    async def fetch_manifest(
        self, *, have: int, sender: str
    ) -> peers.ManifestReply:
        if self.config is None:
            return peers.ManifestReply()
        return self.config.answer_manifest(have)

    async def fetch_parts(
        self, *, digests: tuple[str, ...], sender: str
    ) -> tuple[peers.Part, ...]:
        if self.config is None:
            return ()
        return self.config.answer_parts(digests)

    async def order(
        self, *, order: peers.MapOrder, sender: str
    ) -> peers.MapReply:
        return peers.MapReply(accepted=False)

    async def hand_over(
        self, *, request: peers.HandOverRequest, sender: str
    ) -> peers.HandOverReply:
        return peers.HandOverReply(kept=False)


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Description:
    """What an instance is."""

    name: str
    data_centre: str
    role: messages.Role = messages.Role.ENTRY

    @property
    def service(self) -> str:
        """The service of an agent."""
        return SERVICE if self.role is messages.Role.AGENT else ''


class Instance:
    """One instance; ``stop`` ends it as a crash would.

    :ivar in_force_at: monotonic time at which each number came into force.
    """

    def __init__(
        self,
        *,
        description: Description,
        settings: settings.Settings,
        random: random_module.Random,
        clock: Callable[[], float] = time.monotonic,
        virtual: network.Network | None = None,
    ) -> None:
        self.description = description
        self.settings = dataclasses.replace(
            settings,
            instance=description.name,
            data_centre=description.data_centre,
        )
        self.traffic = Traffic()
        self._clock = clock
        self._virtual = virtual
        self.in_force_at: dict[int, float] = {}
        self._random = random
        self._incarnation = heartbeats.make_incarnation(
            wall=time.time(), random=random
        )
        self._handlers = Handlers()
        self._client = self._make_client()
        self._server = peers.Server(
            handlers=self._handlers,
            sealer=_seal('order'),
            instance=description.name,
            session=self._incarnation,
            host=HOST,
            port=0,
        )
        self.members: membership.Membership
        self.config: configuration.Configuration | None = None

    async def start(
        self,
        group: anyio.abc.TaskGroup,
        platform: store.PlatformStore | None = None,
    ) -> None:
        """Listen and heartbeat; follow bundles where there is a platform."""
        port = await self._serve()
        self.members = membership.Membership(
            identity=membership.Identity(
                instance=self.description.name,
                role=self.description.role,
                data_centre=self.description.data_centre,
                host=HOST,
                call_port=1,
                control_port=port,
                incarnation=self._incarnation,
                service=self.description.service,
            ),
            settings=self.settings.membership,
            sealer=_seal('datagram'),
            client=self._client,
            clock=self._clock,
            random=self._random,
            transport=self._make_transport(),
        )
        self._handlers.members = self.members
        if self.description.role is messages.Role.AGENT:
            self.members.load_source = make_load
        await self.members.start(group)
        if platform is not None:
            self._follow(group, platform)

    async def _serve(self) -> int:
        if self._virtual is None:
            return await self._server.start()
        port = 1 + len(self._virtual.handlers)
        self._virtual.handlers[port] = self._handlers
        return port

    def _make_client(self) -> peers.Client:
        if self._virtual is not None:
            return network.Client(network=self._virtual, sealer=_seal('order'))
        return peers.Client(
            sealer=_seal('order'), instance=self.description.name
        )

    def _make_transport(self) -> heartbeats.Transport:
        if self._virtual is not None:
            return network.Transport(network=self._virtual)
        return CountingTransport(traffic=self.traffic)

    def _follow(
        self, group: anyio.abc.TaskGroup, platform: store.PlatformStore
    ) -> None:
        config = configuration.Configuration(
            store=platform,
            client=self._client,
            members=self.members,
            settings=self.settings,
            clock=self._clock,
            random=self._random,
        )
        self.config = self._handlers.config = config
        self.members.bundle_source = lambda: config.number
        config.subscribe(self._note)
        group.start_soon(config.run)

    def _note(self, whole: bundle.Bundle) -> None:
        self.in_force_at[whole.number] = self._clock()

    async def stop(self) -> None:
        """Close every socket."""
        self.members.close()
        await self._server.stop()
        await self._client.close()

    def row(self) -> store.Instance:
        """Return its row of the instance list."""
        identity = self.members.identity
        entry = identity.role is messages.Role.ENTRY
        return store.Instance(
            name=identity.instance,
            role='entry' if entry else 'endpoint',
            data_centre=identity.data_centre,
            host=HOST,
            call_port=identity.call_port,
            control_port=identity.control_port,
            datagram_port=identity.datagram_port,
            service=identity.service,
        )


def make_load() -> messages.Load:
    """Return a load report of usual size."""
    return messages.Load(
        running=7,
        queued=3,
        slots=8,
        service_ms=2_150,
        wait_ms=140,
        age_ms=800,
        received=123_456,
    )


def read_settings(operators: dict[str, str]) -> settings.Settings:
    """Return the default settings with these operators' public keys."""
    document = {
        'instance': 'any',
        'data_centre': 'any',
        'platform': {'address': 'http://127.0.0.1:1'},
        'security': {
            'fleet_key': 'env:ANY',
            'sign_offs': len(operators),
            'operators': operators,
        },
    }
    with tempfile.TemporaryDirectory() as directory:
        path = pathlib.Path(directory, 'settings.yaml')
        path.write_bytes(msgspec.json.encode(document))
        loaded = settings_files.read(path=str(path))
    if loaded.value is None:
        raise ValueError(str(loaded.findings))
    return loaded.value


class Publisher:
    """Rolls bundles into a table of the stand-in, as an operator would."""

    def __init__(self, *, table: objects.Table) -> None:
        self._store = memory.MemoryStore(table=table)
        self._keys = signatures.make_key_pair()

    @property
    def operators(self) -> dict[str, str]:
        """Public keys for the settings."""
        return {OPERATOR: self._keys.public}

    async def publish(self, whole: bundle.Bundle) -> None:
        """Roll a bundle."""
        split = manifests.split(whole=whole)
        for part in split.parts:
            await self._write(manifests.key_part(part.digest), part.content)
        signature = signatures.sign(
            digest=split.manifest.digest, private=self._keys.private
        )
        manifest = msgspec.structs.replace(
            split.manifest,
            sign_offs=(
                manifests.SignOff(operator=OPERATOR, signature=signature),
            ),
        )
        await self._write(manifests.CURRENT, manifests.encode(manifest))

    async def _write(self, key: store.Key, value: bytes) -> None:
        found = await self._store.read(key=key)
        expected = store.CREATE
        if isinstance(found, store.Stored):
            expected = found.version
        await self._store.write(key=key, value=value, expected=expected)


def _seal(use: str) -> seals.Sealer:
    return seals.Sealer(fleet_key=KEY, use=use)


async def wait_until(condition: Callable[[], bool], *, seconds: float) -> bool:
    """Wait for a condition; return whether it came true in time."""
    with anyio.move_on_after(seconds):
        while not condition():
            await anyio.sleep(0.01)
    return condition()
