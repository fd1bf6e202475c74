"""Lists and watches the evacuations that the operator writes to the store.

The name of an object is that of the data centre.  Its value does not matter,
so an object whose value cannot be decoded counts as well.
"""

from .. import store
from ..gateway import listings
from ..gateway.shared_state import evacuation_follower
from . import objects

EVACUATION_KIND = 'evacuations'


class StoreEvacuationSource(evacuation_follower.EvacuationSource):
    """Reads evacuations from their objects in the store."""

    __slots__ = ('_store',)

    def __init__(self, *, store_objects: objects.ObjectStore) -> None:
        self._store = store_objects

    async def list_all(
        self,
    ) -> evacuation_follower.Listing | store.Unavailable:
        found = await self._store.list_all_pages(EVACUATION_KIND)
        if isinstance(found, store.Unavailable):
            return found
        return evacuation_follower.Listing(
            data_centres=frozenset(item.meta.name for item in found.items),
            version=found.revision,
        )

    async def watch(
        self, *, after: int, seconds: float
    ) -> (
        evacuation_follower.Changes | listings.HistoryGone | store.Unavailable
    ):
        found = await self._store.watch_events(
            EVACUATION_KIND, after=after, seconds=seconds
        )
        match found:
            case objects.HistoryGone():
                return listings.HistoryGone()
            case objects.Events():
                return _merge_events(found)
        return found


def _merge_events(found: objects.Events) -> evacuation_follower.Changes:
    """Return the state of each changed object after its last event."""
    is_deleted = {
        event.changed.meta.name: event.deleted for event in found.events
    }
    return evacuation_follower.Changes(
        added=frozenset(name for name, gone in is_deleted.items() if not gone),
        removed=frozenset(name for name, gone in is_deleted.items() if gone),
        version=found.revision,
    )
