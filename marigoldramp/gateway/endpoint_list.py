"""The list of endpoints that this gateway holds.

Lists and changes of the store and lists of peers are merged into it.  A list
is a statement about all endpoints, also those that it lacks, up to one
revision of the store.
"""

from typing import Callable

from absl import logging
import msgspec

from .. import logs
from . import deployment
from . import listings
from . import presence as presence_module
from .balancing import endpoints


class EndpointList:
    """Merges lists and changes, and knows up to what they are complete.

    :param presence: applies records to the table of endpoints.
    :param is_store_reached: whether the store answers calls about endpoints.
    :param on_change: called after each update.
    :param find_cold_seconds: returns for how much longer an endpoint is cold,
        ``None`` if it is not known.
    :ivar listed: whether a list of endpoints has been applied.
    :ivar revision: the store's revision up to which changes are known.
    :ivar change_revision: revision of the newest known change of an endpoint.
    :ivar settled_revision: newest ``change_revision`` at which the list was
        settled, see :class:`.listings.Listing`.
    """

    __slots__ = (
        '_table',
        '_is_store_reached',
        '_on_change',
        '_find_cold_seconds',
        'presence',
        'listed',
        'revision',
        'change_revision',
        'settled_revision',
    )

    def __init__(
        self,
        *,
        table: endpoints.EndpointTable,
        presence: presence_module.Presence,
        is_store_reached: Callable[[], bool],
        on_change: Callable[[], None],
        find_cold_seconds: Callable[[endpoints.Endpoint], float | None],
    ) -> None:
        self._table = table
        self.presence = presence
        self._is_store_reached = is_store_reached
        self._on_change = on_change
        self._find_cold_seconds = find_cold_seconds
        self.listed = False
        self.revision = 0
        self.change_revision = 0
        self.settled_revision = 0

    def has_passed(self, revision: int, *, since: int) -> bool:
        """Whether more than a revision became known during a call.

        :param since: revision that was known before the call.  A store that
            answers with a lower one was restored.
        """
        return self.revision > max(revision, since)

    def apply_peer_listing(self, listing: listings.Listing) -> None:
        """Apply a peer's list while this gateway does not ask the store.

        Endpoints are added and marked as leaving; those that are missing in
        the list are removed only if it is settled.  A list that is complete
        up to a lower revision than this gateway's shows no departures, and
        still has endpoints that have left since.
        """
        if self.listed and not self._knows_less(listing):
            return
        is_complete = listing.settled and listing.revision >= self.revision
        for record in listing.records:
            if is_complete or not self._has_left(record):
                self.presence.put_told(record)
        logging.info(
            'endpoints told',
            extra=logs.fields(
                endpoints=len(listing.records),
                settled=listing.settled,
                newest=listing.newest,
                before=self.change_revision,
                complete=listing.revision,
                complete_before=self.revision,
            ),
        )
        if is_complete:
            self.presence.drop_unlisted(
                listing.records, revision=listing.revision
            )
            self.revision = listing.revision
        if listing.settled:
            self.settled_revision = max(self.settled_revision, listing.newest)
        self.change_revision = max(self.change_revision, listing.newest)
        self.listed = True
        self._log_held()
        self._on_change()

    def _knows_less(self, listing: listings.Listing) -> bool:
        """Whether a peer's list may hold something new."""
        if not listing.settled:
            return listing.newest > self.change_revision
        return (
            listing.newest > self.settled_revision
            or listing.revision > self.revision
        )

    def _has_left(self, record: deployment.EndpointRecord) -> bool:
        """Whether an endpoint has left since its record was written.

        A peer that the store does not answer still lists such endpoints.
        """
        if not record.revision or record.revision > self.revision:
            return False
        return self._table.find(record.identity) is None

    def apply_listing(self, listing: listings.Listing) -> None:
        """Apply a complete list; treat missing endpoints as unlisted."""
        for record in listing.records:
            self.presence.put_listed(record)
        self.presence.drop_unlisted(listing.records, revision=listing.revision)
        self.revision = listing.revision
        self.change_revision = max(self.change_revision, listing.newest)
        self.settled_revision = self.change_revision
        self.listed = True
        logging.info(
            'endpoints listed',
            extra=logs.fields(
                endpoints=len(listing.records), revision=listing.revision
            ),
        )
        self._log_held()
        self._on_change()

    def apply_changes(self, changes: listings.Changes) -> None:
        """Apply the changes that a watch has returned."""
        for record in changes.records:
            self.presence.put_written(record)
        for identity in changes.removed:
            self.presence.note_unlisted(identity, revision=changes.revision)
        self.revision = max(self.revision, changes.revision)
        if changes.records or changes.removed:
            logging.info(
                'endpoints changed',
                extra=logs.fields(
                    changed=len(changes.records),
                    removed=len(changes.removed),
                    revision=changes.revision,
                    newest=changes.newest,
                ),
            )
            self.change_revision = max(self.change_revision, changes.newest)
            self.settled_revision = self.change_revision
            self._log_held()
            self._on_change()

    def _log_held(self) -> None:
        """Log what tells whether two gateways hold the same endpoints."""
        logging.info(
            'endpoints held',
            extra=logs.fields(
                endpoints=len(self._table),
                checksum=self._table.checksum,
                revision=self.revision,
                newest=self.change_revision,
                settled=self.is_settled(),
            ),
        )

    def make_listing(self) -> listings.Listing:
        """Return the known endpoints, for a peer."""
        return listings.Listing(
            records=tuple(
                self._describe_endpoint(endpoint) for endpoint in self._table
            ),
            revision=self.revision,
            newest=self.change_revision,
            settled=self.is_settled(),
        )

    def _describe_endpoint(
        self, endpoint: endpoints.Endpoint
    ) -> deployment.EndpointRecord:
        """Return the record of an endpoint, with what remains of its times.

        The receiver counts them from the arrival of the list.
        """
        return msgspec.structs.replace(
            endpoint.record, cold_seconds=self._find_cold_seconds(endpoint)
        )

    def is_settled(self) -> bool:
        """Whether listed endpoints exist and all others have left.

        That the store answers is not enough: a gateway that relies on peers
        for endpoints still calls the store for other objects.
        """
        if not self._is_store_reached() or not self.presence.is_settled:
            return False
        return self.settled_revision >= self.change_revision

    def summarize(self) -> listings.Summary:
        """Return what this gateway knows, for peers."""
        if not self.is_settled():
            return listings.Summary(newest=self.change_revision)
        return self.summarize_held()

    def summarize_held(self) -> listings.Summary:
        """Return what this gateway knows, though it may not be settled."""
        return listings.Summary(
            newest=self.change_revision,
            settled=self.settled_revision,
            complete=self.revision,
            checksum=self._table.checksum,
        )
