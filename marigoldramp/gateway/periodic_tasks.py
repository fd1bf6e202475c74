"""Tasks that a gateway repeats at intervals or on signals."""

import signal
from typing import Callable

from absl import logging
import anyio
import msgspec

from .. import logs
from .. import supervision
from . import containment as containment_module
from . import discovery
from . import outbound
from . import peers
from . import refresh
from . import settings as settings_module
from .balancing import endpoints
from .queueing import dispatch
from .shared_state import cold_starts
from .shared_state import evacuations
from .shared_state import rate_shares

SERVE_INTERVAL_SECONDS = 0.1
CLEANUP_INTERVAL_SECONDS = 0.5
SETTINGS_INTERVAL_SECONDS = 1.0


class Components(msgspec.Struct, frozen=True, kw_only=True):
    """The components on which the tasks work."""

    table: endpoints.EndpointTable
    peers: peers.PeerTable
    pool: outbound.Pool
    dispatcher: dispatch.Dispatcher
    follower: discovery.EndpointFollower
    refresher: refresh.Refresher
    containment: containment_module.Containment
    rate_shares: rate_shares.RateShares
    cold_starts: cold_starts.ColdStarts
    evacuations: evacuations.Evacuations


class PeriodicTasks:
    """Runs the periodic tasks of a gateway and handles its signals.

    :param read_settings: reads the settings again.
    :param begin_stop: called on a signal to stop.
    :ivar settings: the settings in force.
    """

    __slots__ = (
        '_components',
        '_read_settings',
        '_begin_stop',
        'settings',
    )

    def __init__(
        self,
        *,
        components: Components,
        settings: settings_module.Settings,
        read_settings: Callable[[], settings_module.Settings],
        begin_stop: Callable[[], None],
    ) -> None:
        self._components = components
        self._read_settings = read_settings
        self._begin_stop = begin_stop
        self.settings = settings

    def start(self, supervisor: supervision.Supervisor) -> None:
        """Start all tasks."""
        supervisor.keep_running(self._handle_signals)
        supervisor.keep_running(self._clean_up)
        supervisor.keep_running(self._serve_queues)
        supervisor.keep_running(self._watch_settings)

    async def _serve_queues(self) -> None:
        """Assign endpoints to queued requests.

        Requests may wait for the end of an endpoint's backoff or cold start,
        for its rate limit, or for the circuit breaker of their service to be
        reset.
        """
        while True:
            await anyio.sleep(SERVE_INTERVAL_SECONDS)
            self._components.containment.refresh()
            self._components.cold_starts.refresh()
            self._components.rate_shares.refresh()
            self._components.evacuations.refresh()
            self._components.dispatcher.assign_all_slots()

    async def _clean_up(self) -> None:
        components = self._components
        while True:
            await anyio.sleep(CLEANUP_INTERVAL_SECONDS)
            components.pool.drop_expired()
            components.containment.prune()
            for endpoint in components.table:
                components.peers.update_endpoint(endpoint)

    async def _watch_settings(self) -> None:
        """Apply changes of the settings that come without a signal."""
        while True:
            await anyio.sleep(SETTINGS_INTERVAL_SECONDS)
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

    async def _handle_signals(self) -> None:
        with anyio.open_signal_receiver(
            signal.SIGTERM, signal.SIGINT, signal.SIGHUP
        ) as received:
            async for number in received:
                if number == signal.SIGHUP:
                    self._reload('signal')
                    continue
                self._begin_stop()
