"""Applies the evacuations of data centres to this gateway."""

import random as random_module
from typing import Callable

import msgspec

from . import outbound
from . import peers
from .balancing import endpoints
from .queueing import dispatch
from .shared_state import evacuation_follower
from .shared_state import evacuations


class Components(msgspec.Struct, frozen=True, kw_only=True):
    """The components that evacuations concern."""

    table: endpoints.EndpointTable
    pool: outbound.Pool
    dispatcher: dispatch.Dispatcher
    peers: peers.PeerTable


class EvacuationHandler:
    """Holds the state of evacuations and puts its changes into force.

    :param source: ``None`` if the operator may evacuate no data centres.
    :param restored_at: returns when the store was last restored from a copy.
    :param is_store_reachable: whether the store answered the last other call.
    :param capacity: returns the capacity of this gateway.
    :param send_reports_now: sends the current state to all peers.
    :ivar state: the known evacuations.
    """

    __slots__ = ('_components', '_follower', '_send_reports_now', 'state')

    def __init__(
        self,
        *,
        source: evacuation_follower.EvacuationSource | None,
        components: Components,
        restored_at: Callable[[], float],
        is_store_reachable: Callable[[], bool],
        capacity: Callable[[], float],
        send_reports_now: Callable[[], None],
        clock: Callable[[], float],
        random: random_module.Random,
    ) -> None:
        self._components = components
        self._send_reports_now = send_reports_now
        self.state = evacuations.Evacuations(
            is_on=source is not None, clock=clock, restored_at=restored_at
        )
        self._follower: evacuation_follower.EvacuationFollower | None = None
        if source is None:
            return
        components.table.set_evacuated(None)
        self.state.on_change(self._apply)
        self._follower = evacuation_follower.EvacuationFollower(
            source=source,
            state=self.state,
            clock=clock,
            random=random,
            relies_on_peers=lambda: (
                components.peers.has_enough_evacuation_readers(
                    capacity=capacity()
                )
            ),
            is_store_reachable=is_store_reachable,
            position=lambda: len(
                components.peers.list_heard_earlier_readers(
                    capacity=capacity()
                )
            ),
        )

    async def run(self) -> None:
        """Follow the operator's evacuations until cancelled."""
        if self._follower is not None:
            await self._follower.run()

    def note_restore(self) -> None:
        """Handle a restore of the store from a copy."""
        if self._follower is not None:
            self._follower.note_restore()

    def _apply(self, change: evacuations.Change) -> None:
        """Stop or resume requests to the endpoints of data centres."""
        components = self._components
        components.table.set_evacuated(self.state.in_force)
        for endpoint in components.table:
            if endpoint.is_evacuated:
                components.pool.drop(identity=endpoint.identity)
        components.dispatcher.assign_all_slots()
        if self.state.is_reader:
            # Peers that do not read the store learn of it from this gateway.
            self._send_reports_now()
