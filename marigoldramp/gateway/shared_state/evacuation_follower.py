"""Follows the operator's evacuations in the platform's store."""

import abc
import random as random_module
from typing import Callable

from absl import logging
import anyio
import msgspec

from ... import logs
from ... import store
from .. import listings
from . import evacuations

#: Limit of the duration of one watch, a long poll of the store.
MAX_WATCH_SECONDS = 25.0
#: Seconds after the start before the store is asked.  A peer usually reports
#: the state within this time, which saves the call; the random part lets the
#: first of several gateways that start together tell the others.
MIN_FIRST_LIST_SECONDS = 0.1
MAX_FIRST_LIST_SECONDS = 0.5
#: Mean seconds before the first gateway asks again after a failure of the
#: store.  Each next one waits longer by as much, so that the calls of all grow
#: with the logarithm of their number; the random part has gateways of several
#: data centres ask one after the other.
RETRY_SECONDS = 0.5
MIN_RETRY_FACTOR = 0.5
MAX_RETRY_FACTOR = 1.5
#: Further seconds for which it waits while the store fails other calls.
MAX_FAILING_SECONDS = 3.0
#: Seconds before a gateway begins to read that has relied on peers, with those
#: for each peer before it, and their limit.  Otherwise all that start together
#: would open a watch.
MIN_TURN_SECONDS = 0.1
TURN_SECONDS = 0.15
MAX_TURN_SECONDS = 0.5
#: Interval of checks whether a wait can end.
POLL_SECONDS = 0.1


class Listing(msgspec.Struct, frozen=True, kw_only=True):
    """All evacuated data centres at a version of the store."""

    data_centres: frozenset[str]
    version: int


class Changes(msgspec.Struct, frozen=True, kw_only=True):
    """The changes up to a version of the store.

    :ivar added: data centres whose last change was an evacuation.
    :ivar removed: data centres whose last change was its withdrawal.
    """

    added: frozenset[str]
    removed: frozenset[str]
    version: int


class EvacuationSource(abc.ABC):
    """Where the operator writes evacuations."""

    @abc.abstractmethod
    async def list_all(self) -> Listing | store.Unavailable:
        """Return all evacuated data centres."""

    @abc.abstractmethod
    async def watch(
        self, *, after: int, seconds: float
    ) -> Changes | listings.HistoryGone | store.Unavailable:
        """Wait for changes after a version, for some seconds at most."""


class EvacuationFollower:
    """Merges what the store says of evacuations into their state.

    :param state: the known evacuations, also from reports of peers.
    :param relies_on_peers: whether peers read the store for this gateway and
        report changes to it.
    :param is_store_reachable: whether the store answered the last other call.
    :param position: returns how many peers ask the store before this gateway.
    """

    __slots__ = (
        '_source',
        '_state',
        '_clock',
        '_random',
        '_relies_on_peers',
        '_is_store_reachable',
        '_position',
        '_has_turn',
        '_told',
        '_watching',
    )

    def __init__(
        self,
        *,
        source: EvacuationSource,
        state: evacuations.Evacuations,
        clock: Callable[[], float],
        random: random_module.Random,
        relies_on_peers: Callable[[], bool],
        is_store_reachable: Callable[[], bool],
        position: Callable[[], int],
    ) -> None:
        self._source = source
        self._state = state
        self._clock = clock
        self._random = random
        self._relies_on_peers = relies_on_peers
        self._is_store_reachable = is_store_reachable
        self._position = position
        self._has_turn = False
        self._told = anyio.Event()
        self._watching: anyio.CancelScope | None = None
        state.on_change(self._handle_change)

    async def run(self) -> None:
        """Follow until cancelled."""
        first_list_seconds = self._random.uniform(
            MIN_FIRST_LIST_SECONDS, MAX_FIRST_LIST_SECONDS
        )
        with anyio.move_on_after(first_list_seconds):
            await self._told.wait()
        while True:
            if self._state.is_known:
                await self._follow()
            await self._list()

    def note_restore(self) -> None:
        """Ask again after the store was restored from a copy."""
        self._restart_watch()

    def _handle_change(self, change: evacuations.Change) -> None:
        self._told.set()
        if change.source != evacuations.STORE_SOURCE:
            # The own watch has not returned the change.  It may be silent for
            # good; a new one costs no more than the next one would.
            self._restart_watch()

    def _restart_watch(self) -> None:
        if self._watching is not None:
            self._watching.cancel()

    async def _follow(self) -> None:
        """Watch for changes, until the state has to be listed again."""
        while True:
            await self._await_turn()
            self._state.is_reader = True
            version = self._state.version
            data_centres = self._state.named
            found: (
                Changes | listings.HistoryGone | store.Unavailable | None
            ) = None
            with anyio.CancelScope() as self._watching:
                found = await self._source.watch(
                    after=version, seconds=MAX_WATCH_SECONDS
                )
            self._watching = None
            match found:
                case Changes(added=added, removed=removed):
                    self._state.merge(
                        version=found.version,
                        data_centres=(data_centres | added) - removed,
                        source=evacuations.STORE_SOURCE,
                    )
                case listings.HistoryGone():
                    return
                case store.Unavailable(detail=detail):
                    self._note_failure(detail)
                    await self._pause()
                    return

    async def _await_turn(self) -> None:
        """Wait until this gateway has to read the store itself.

        It then waits a little longer for peers that begin to read as well.
        """
        waited = 0.0
        while True:
            if self._relies_on_peers():
                self._state.is_reader = self._has_turn = False
                waited = 0.0
            delay = MIN_TURN_SECONDS + TURN_SECONDS * self._position()
            if self._has_turn or waited >= min(delay, MAX_TURN_SECONDS):
                self._has_turn = True
                return
            await anyio.sleep(POLL_SECONDS)
            waited += POLL_SECONDS

    async def _list(self) -> None:
        """List the evacuations, or wait until peers do that."""
        while not (self._state.is_known and self._relies_on_peers()):
            asked_at = self._clock()
            found = await self._source.list_all()
            match found:
                case Listing(version=version, data_centres=data_centres):
                    self._state.is_reader = True
                    self._state.merge(
                        version=version,
                        data_centres=data_centres,
                        source=evacuations.STORE_SOURCE,
                        age=self._clock() - asked_at,
                    )
                    if self._state.is_known:
                        return
                case store.Unavailable(detail=detail):
                    self._note_failure(detail)
            await self._pause()

    async def _pause(self) -> None:
        """Wait before the store is asked again.

        While other calls fail, they show when the store is back, at no further
        cost.
        """
        factor = self._random.uniform(MIN_RETRY_FACTOR, MAX_RETRY_FACTOR)
        await anyio.sleep(factor * RETRY_SECONDS * (1 + self._position()))
        with anyio.move_on_after(MAX_FAILING_SECONDS):
            while not self._is_store_reachable():
                await anyio.sleep(POLL_SECONDS)

    def _note_failure(self, detail: str) -> None:
        self._state.is_reader = False
        logging.info(
            'evacuations not read',
            extra=logs.fields(detail=detail, version=self._state.version),
        )
