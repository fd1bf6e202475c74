"""Which endpoints there are, as somebody knows them, and where to ask."""

import abc
import dataclasses

from .. import store
from . import deployment


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Listing:
    """All endpoints at a revision.

    :ivar newest: revision of the newest change of one of them.
    :ivar settled: what is missing is gone; it has not lapsed while the store
        was away.
    """

    records: tuple[deployment.EndpointRecord, ...]
    revision: int
    newest: int = 0
    settled: bool = False


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Changes:
    """What has changed up to a revision.

    :ivar removed: identities of endpoints that are no longer listed.
    :ivar newest: revision of the newest of these changes.  The revision up
        to which a watch has seen everything is no measure of what it knows:
        it also grows with changes of other objects, and entries that know
        the same would take each other's for a change that they have missed.
    """

    records: tuple[deployment.EndpointRecord, ...]
    removed: tuple[str, ...]
    revision: int
    newest: int = 0


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class HistoryGone:
    """The changes since the revision are no longer known; list anew."""


class EndpointSource(abc.ABC):
    """Where endpoints register."""

    @abc.abstractmethod
    async def list_all(self) -> Listing | store.Unavailable:
        """Return all endpoints."""

    @abc.abstractmethod
    async def watch(
        self, *, after: int, seconds: float
    ) -> Changes | HistoryGone | store.Unavailable:
        """Return what changes after a revision, at most after a time."""
