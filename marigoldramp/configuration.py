"""The bundle in force at one process, and how a newer one gets there.

Two processes of each data centre watch the store.  The others see the number
on heartbeats and fetch from the peer that shows it, so neither an outage of
the store nor the size of the fleet keeps a bundle from spreading.
"""

import math
import random as random_module
import time
from typing import Callable

import anyio

from . import acceptance
from . import bundle
from . import bundle_offers
from . import bundle_sources
from . import bundle_watch
from . import findings
from . import manifests
from . import membership
from . import messages
from . import peer_client
from . import peer_messages
from . import settings as settings_module
from . import store as store_module
from . import takeups

#: Seconds after which a new number is shown out of turn a second time.
SHOWN_AGAIN = 1.0

Callback = Callable[[bundle.Bundle], None]


class Configuration:
    """Takes newer bundles from the store or from peers; never an older one."""

    def __init__(
        self,
        *,
        store: store_module.PlatformStore,
        client: peer_client.Client,
        members: membership.Membership,
        settings: settings_module.Settings,
        clock: Callable[[], float] = time.monotonic,
        wall: Callable[[], float] = time.time,
        random: random_module.Random | None = None,
    ) -> None:
        self._client = client
        self._members = members
        self._clock = clock
        self._acceptance = acceptance.Acceptance(
            instance=settings.instance,
            security=settings.security,
            clock=clock,
            on_accepted=self._tell,
        )
        self._watch = bundle_watch.StoreWatch(
            store=store,
            accept=self._acceptance,
            members=members,
            settings=settings,
            shown_at=self._read_shown_at,
            clock=clock,
            random=random or random_module.Random(),
        )
        self._offers = bundle_offers.Offers(most=settings.membership.table)
        self._recorder = takeups.Recorder(
            store=store, members=members, settings=settings, wall=wall
        )
        self._watchers = settings.platform.watchers
        self._shown_at = -math.inf
        self._changed = anyio.Event()
        self._callbacks: list[Callback] = []
        members.on_every_heartbeat(self._see)

    @property
    def number(self) -> int:
        """The number in force, 0 for none."""
        return self._acceptance.number

    @property
    def in_force(self) -> bundle.Bundle | None:
        """The bundle in force without its customers.

        These are decoded one by one, see :meth:`find_customer`.
        """
        return self._acceptance.in_force

    @property
    def manifest(self) -> manifests.Manifest | None:
        """The manifest of the bundle in force."""
        return self._acceptance.manifest

    @property
    def findings(self) -> tuple[findings.Finding, ...]:
        """Why bundles were kept out since one last came into force."""
        return self._acceptance.findings.show()

    def subscribe(self, callback: Callback) -> None:
        """Call with each bundle that comes into force."""
        self._callbacks.append(callback)

    def find_customer(self, key_digest: str) -> bundle.Customer | None:
        """Return the customer that has a key with this digest."""
        return self._acceptance.customers.find(key_digest)

    async def wait_in_force(self) -> None:
        """Return when some bundle is in force."""
        while self.in_force is None:
            await self._changed.wait()

    def answer_manifest(self, have: int) -> peer_messages.ManifestReply:
        """Return the manifest in force for a peer that has ``have``."""
        if self.manifest is None or self.number <= have:
            return peer_messages.ManifestReply(number=self.number)
        return peer_messages.ManifestReply(
            number=self.number, manifest=manifests.encode(self.manifest)
        )

    def answer_parts(
        self, digests: tuple[str, ...]
    ) -> tuple[peer_messages.Part, ...]:
        """Return those of the parts that are here."""
        contents = self._acceptance.contents
        return tuple(
            peer_messages.Part(digest=digest, content=contents[digest])
            for digest in digests[: bundle_sources.PARTS_AT_ONCE]
            if digest in contents
        )

    async def seen(self, number: int, peer: membership.Peer) -> None:
        """Take note that a peer has a bundle in force."""
        self._note(number, peer.instance, peer.host, peer.control_port)

    async def run(self) -> None:
        """Follow the store and the peers until cancelled."""
        async with anyio.create_task_group() as group:
            group.start_soon(self._watch.follow)
            group.start_soon(self._follow_peers)
            group.start_soon(self._watch.fall_back)
            group.start_soon(self._spread)
            group.start_soon(self._recorder.run)

    def _see(self, heartbeat: messages.Heartbeat) -> None:
        self._note(
            heartbeat.bundle,
            heartbeat.instance,
            heartbeat.host,
            heartbeat.control_port,
        )

    def _note(self, number: int, instance: str, host: str, port: int) -> None:
        if number:
            self._shown_at = self._clock()
        if number <= self.number:
            return
        if self._acceptance.is_refused(number, instance):
            return
        self._offers.add(
            bundle_offers.Offer(
                number=number, instance=instance, host=host, port=port
            )
        )

    async def _follow_peers(self) -> None:
        """Fetch what peers show.  A failed fetch waits for a new offer."""
        while True:
            offer = await self._offers.take(self.number)
            source = bundle_sources.PeerSource(
                client=self._client,
                instance=offer.instance,
                host=offer.host,
                port=offer.port,
            )
            text = await source.fetch_manifest(self.number)
            if text is not None:
                await self._acceptance.take(text, source)

    def _read_shown_at(self) -> float:
        return self._shown_at

    def _tell(self, in_force: bundle.Bundle) -> None:
        changed, self._changed = self._changed, anyio.Event()
        changed.set()
        assert self.manifest is not None
        self._recorder.begin(self.manifest)
        for callback in self._callbacks:
            callback(in_force)

    async def _spread(self) -> None:
        """Show each new number at once, and to the watchers for the record.

        Waiting for the next heartbeat would add half an interval at each
        hop.  It is shown twice, since a datagram may be lost; further
        heartbeats show it to those who hear us anyhow.
        """
        shown = 0
        while True:
            while self.number == shown:
                await self._changed.wait()
            shown = self.number
            self._members.send_now(watchers=self._watchers)
            with anyio.move_on_after(SHOWN_AGAIN):
                await self._changed.wait()
            self._members.send_now(watchers=self._watchers)
