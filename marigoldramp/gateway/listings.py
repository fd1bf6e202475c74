"""Lists and changes of endpoints, and the interface to their source."""

import abc
import dataclasses

from .. import store
from . import deployment


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Listing:
    """All endpoints at a revision of the store.

    :ivar newest: revision of the newest change of an endpoint.
    :ivar settled: whether endpoints that are missing have left.  Otherwise
        their records may have lapsed while the store was unavailable.
    """

    records: tuple[deployment.EndpointRecord, ...]
    revision: int
    newest: int = 0
    settled: bool = False


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Changes:
    """The changes up to a revision of the store.

    :ivar removed: identities of endpoints that are no longer listed.
    :ivar newest: revision of the newest of these changes.  Gateways compare it
        instead of ``revision``, which also grows with changes of other
        objects: a gateway with the same endpoints would seem to have missed a
        change.
    """

    records: tuple[deployment.EndpointRecord, ...]
    removed: tuple[str, ...]
    revision: int
    newest: int = 0


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class HistoryGone:
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
