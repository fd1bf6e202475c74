"""Lists and changes of endpoints, and the interface to their source."""

import abc

import msgspec

from .. import store
from . import deployment


class Listing(msgspec.Struct, frozen=True, kw_only=True):
    """All endpoints at a revision of the store.

    :ivar newest: revision of the newest change of an endpoint.
    :ivar settled: whether endpoints that are missing have left.  Otherwise
        their records may have lapsed while the store was unavailable.
    """

    records: tuple[deployment.EndpointRecord, ...]
    revision: int
    newest: int = 0
    settled: bool = False


class Summary(msgspec.Struct, frozen=True, kw_only=True):
    """What a gateway knows of the endpoints, without their records.

    :ivar newest: revision of the newest change of an endpoint that it knows.
    :ivar settled: newest of these at which its list was settled, 0 for none.
    :ivar complete: revision up to which its list is complete, 0 if the list is
        not settled.
    :ivar checksum: checksum of the records, see :class:`.EndpointTable`.
    """

    newest: int
    settled: int = 0
    complete: int = 0
    checksum: int = 0

    def is_more_complete(self, other: 'Summary') -> bool:
        """Whether its list is later and has other records.

        A list shows no removals.  After one that no gateway has seen as a
        change, ``newest`` is equal at gateways that hold different endpoints.
        """
        return (
            self.complete > other.complete and self.checksum != other.checksum
        )

    def has_all_of(self, other: 'Summary') -> bool:
        """Whether a settled list has no change that this one lacks."""
        if not other.complete:
            return False
        return (
            self.complete >= other.complete or self.checksum == other.checksum
        )


class Changes(msgspec.Struct, frozen=True, kw_only=True):
    """The changes up to a revision of the store.

    :ivar removed: identities of endpoints that are no longer listed.
    :ivar newest: revision of the newest of these changes.  Gateways compare it
        instead of ``revision``, which also grows with changes of other
        objects: by that, a gateway with the same endpoints would seem to have
        missed a change.
    """

    records: tuple[deployment.EndpointRecord, ...]
    removed: tuple[str, ...]
    revision: int
    newest: int = 0


class HistoryGone(msgspec.Struct, frozen=True, kw_only=True):
    """The store no longer has the changes since a revision; list again."""


class EndpointSource(abc.ABC):
    """The registry of endpoints."""

    @abc.abstractmethod
    async def list_all(self) -> Listing | store.Unavailable:
        """Return all endpoints."""

    @abc.abstractmethod
    async def watch(
        self, *, after: int, seconds: float
    ) -> Changes | HistoryGone | store.Unavailable:
        """Wait for changes after a revision, for some seconds at most."""
