"""What a process does again and again, whether or not requests come."""

import dataclasses
import signal
from typing import Callable

from absl import logging
import anyio
import anyio.abc

from .. import logs
from . import containment as containment_module
from . import discovery
from . import dispatch
from . import endpoints
from . import outbound
from . import peer_exchange
from . import peers
from . import refresh
from . import settings as settings_module

#: Seconds between two looks at requests that wait, and at what is idle.
SERVE_EVERY = 0.1
HOUSEKEEPING_EVERY = 0.5
#: Seconds between two looks at whether the settings have changed.
SETTINGS_EVERY = 1.0
#: Seconds between two looks whether peers know more of endpoints, while the
#: store does not answer us.
ASK_PEERS_EVERY = 0.5
#: Seconds after a failure of the store for which entries may lapse.
DISTURBED_SECONDS = 1.0


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Parts:
    """The parts of a process that need upkeep."""

    table: endpoints.EndpointTable
    peers: peers.PeerTable
    pool: outbound.Pool
    dispatcher: dispatch.Dispatcher
    follower: discovery.EndpointFollower
    refresher: refresh.Refresher
    peer_source: peer_exchange.PeerSource
    containment: containment_module.Containment


class PeriodicTasks:
    """Keeps one process in order.

    :param read_settings: reads the settings anew.
    :param begin_stop: called when a stop is asked for.
    :ivar settings: the settings in force.
    """

    __slots__ = (
        '_parts',
        '_read_settings',
        '_begin_stop',
        '_clock',
        'settings',
    )

    def __init__(
        self,
        *,
        parts: Parts,
        settings: settings_module.Settings,
        read_settings: Callable[[], settings_module.Settings],
        begin_stop: Callable[[], None],
        clock: Callable[[], float],
    ) -> None:
        self._parts = parts
        self._read_settings = read_settings
        self._begin_stop = begin_stop
        self._clock = clock
        self.settings = settings

    def start(self, tasks: anyio.abc.TaskGroup) -> None:
        """Begin all that is done again and again."""
        tasks.start_soon(self._watch_signals)
        tasks.start_soon(self._keep_house)
        tasks.start_soon(self._keep_serving)
        tasks.start_soon(self._keep_settings)
        tasks.start_soon(self._ask_peers_for_endpoints)

    async def _keep_serving(self) -> None:
        """Give places to requests that wait for a rest or a gate to end."""
        while True:
            await anyio.sleep(SERVE_EVERY)
            self._parts.containment.refresh()
            self._parts.dispatcher.assign_all_slots()

    async def _keep_house(self) -> None:
        parts = self._parts
        while True:
            await anyio.sleep(HOUSEKEEPING_EVERY)
            parts.pool.drop_expired()
            parts.containment.prune()
            for endpoint in parts.table:
                endpoint.peer_requests = parts.peers.in_flight(
                    endpoint.identity
                )

    async def _ask_peers_for_endpoints(self) -> None:
        """Learn of endpoints from a peer while the store is away for us."""
        follower = self._parts.follower
        while True:
            await anyio.sleep(ASK_PEERS_EVERY)
            failed_at = self._parts.refresher.store.failed_at
            if self._clock() - failed_at < DISTURBED_SECONDS:
                follower.presence.note_store_outage()
            if follower.store.reached:
                continue
            found = await self._parts.peer_source.fetch_endpoints(
                newer_than=follower.settled_revision
            )
            if found is not None:
                follower.apply_peer_listing(found)

    async def _keep_settings(self) -> None:
        """Take changes of the settings that come without a signal."""
        while True:
            await anyio.sleep(SETTINGS_EVERY)
            self._reload('changed')

    def _reload(self, cause: str) -> None:
        try:
            found = self._read_settings()
        except (OSError, ValueError) as error:
            logging.error(
                'settings refused',
                extra=logs.fields(cause=cause, detail=str(error)),
            )
            return
        if found != self.settings:
            self.settings = found
            logging.info('settings reloaded', extra=logs.fields(cause=cause))

    async def _watch_signals(self) -> None:
        with anyio.open_signal_receiver(
            signal.SIGTERM, signal.SIGINT, signal.SIGHUP
        ) as received:
            async for number in received:
                if number == signal.SIGHUP:
                    self._reload('signal')
                    continue
                self._begin_stop()
