"""Decides which endpoints are present, from lists and changes of the store.

During a long outage of the store, the record of a live endpoint may lapse; the
endpoint registers again soon after the store is back.  So an endpoint that is
no longer listed around such an outage is kept for a short time.  An endpoint
that reports its shutdown gets no more requests at once, in any case.

A store that is restored from an older copy lists endpoints that have left
since, and lacks some that are live.  The latter are kept in the same way; the
former get no requests until they write their records themselves.
"""

from typing import Callable
from typing import Iterable

from absl import logging
import msgspec

from .. import logs
from . import departures
from . import deployment
from . import store_outages
from .balancing import endpoints

#: Seconds for which it is remembered that an endpoint is leaving; must exceed
#: the duration of a shutdown.
LEAVING_RETENTION_SECONDS = 600.0


class Presence:
    """Applies lists and changes to the table of endpoints.

    :param on_gone: called with the identity of a removed endpoint.
    :param on_restart: called with the identity of a restarted endpoint.
    :param on_put: called with the identity of an endpoint that was added or
        updated, and whether it had been unlisted around an outage.
    :param restored_at: returns when the store was last restored from a copy.
    :ivar outages: outages of the store in which records may have lapsed.
    """

    __slots__ = (
        'outages',
        '_table',
        '_clock',
        '_on_gone',
        '_on_restart',
        '_on_put',
        '_unlisted',
        '_leaving',
        '_departures',
    )

    def __init__(
        self,
        *,
        table: endpoints.EndpointTable,
        outages: store_outages.StoreOutages,
        clock: Callable[[], float],
        on_gone: Callable[[str], None],
        on_restart: Callable[[str], None],
        restored_at: Callable[[], float] = lambda: float('-inf'),
        on_put: Callable[[str, bool], None] = lambda identity, returned: None,
    ) -> None:
        self.outages = outages
        self._table = table
        self._clock = clock
        self._on_gone = on_gone
        self._on_restart = on_restart
        self._on_put = on_put
        self._unlisted: dict[str, int] = {}
        self._leaving: dict[tuple[str, int], float] = {}
        self._departures = departures.Departures(
            restored_at=restored_at, clock=clock
        )

    @property
    def is_settled(self) -> bool:
        """Whether endpoints that the table lacks are known to have left."""
        return not self._unlisted and not self.outages.may_hide_endpoints()

    @property
    def keeps_unlisted(self) -> bool:
        """Whether endpoints are kept although they are listed no longer."""
        return bool(self._unlisted)

    def put_listed(self, record: deployment.EndpointRecord) -> None:
        """Add or update an endpoint from a list, maybe of a restored copy."""
        if self._departures.defer_outdated(record):
            logging.info(
                'endpoint listed that had left',
                extra=logs.fields(
                    endpoint=record.identity, service=record.service
                ),
            )
            return
        self._put(record)

    def put_told(self, record: deployment.EndpointRecord) -> None:
        """Add or update an endpoint from the list of a peer.

        The peer may list an endpoint that this gateway keeps unlisted, because
        it does not know that the record is missing.  A later record, or that
        the endpoint is leaving, is news all the same.
        """
        missing_at = self._unlisted.get(record.identity)
        if missing_at is None or record.revision > missing_at:
            self.put_listed(record)
        elif record.leaving:
            self.note_leaving(record)

    def put_written(self, record: deployment.EndpointRecord) -> None:
        """Add or update an endpoint whose record has just been written."""
        self._departures.forget_deferred(record.identity)
        self._put(record)

    def note_leaving(self, record: deployment.EndpointRecord) -> None:
        """Mark an endpoint as leaving after it reported its shutdown.

        The record in the store may never show the shutdown.
        """
        self._mark_leaving(record)
        known = self._table.find(record.identity)
        if known is None or known.record.born != record.born:
            return
        self._table.put(msgspec.structs.replace(known.record, leaving=True))

    def _mark_leaving(self, record: deployment.EndpointRecord) -> None:
        """Remember that an endpoint is leaving, also without its record.

        The record may lapse and come back as it was before.
        """
        if self._is_leaving(record):
            return
        now = self._clock()
        for start, since in list(self._leaving.items()):
            if now - since > LEAVING_RETENTION_SECONDS:
                del self._leaving[start]
        logging.info(
            'endpoint leaving',
            extra=logs.fields(
                endpoint=record.identity, service=record.service
            ),
        )
        self._leaving[record.identity, record.born] = now

    def _is_leaving(self, record: deployment.EndpointRecord) -> bool:
        return (record.identity, record.born) in self._leaving

    def _put(self, record: deployment.EndpointRecord) -> None:
        identity = record.identity
        known = self._table.find(identity)
        if known is not None and record.born != known.record.born:
            if record.born < known.record.born:
                # An outdated list shows the process before the restart.
                return
            self._note_restart(known.record, record)
        if record.leaving:
            self._mark_leaving(record)
        if self._is_leaving(record):
            # An outdated list must not bring a leaving endpoint back.
            record = msgspec.structs.replace(record, leaving=True)
        has_returned = self._unlisted.pop(identity, None) is not None
        if self._table.find(identity) is None:
            logging.info(
                'endpoint known',
                extra=logs.fields(
                    endpoint=identity,
                    service=record.service,
                    host=record.host,
                    port=record.port,
                ),
            )
        self._table.put(record)
        self._on_put(identity, has_returned)

    def _note_restart(
        self,
        old: deployment.EndpointRecord,
        new: deployment.EndpointRecord,
    ) -> None:
        """Forget the previous process of a restarted endpoint.

        Its connections are dead, and its shutdown does not concern the new
        process.
        """
        logging.info(
            'endpoint restarted',
            extra=logs.fields(
                endpoint=old.identity, before=old.born, born=new.born
            ),
        )
        self._on_restart(old.identity)

    def drop_unlisted(
        self, records: Iterable[deployment.EndpointRecord], *, revision: int
    ) -> None:
        """Treat endpoints that a complete list lacks as unlisted.

        :param revision: the store's revision up to which the list is complete.
            It says nothing about records that were written later.
        """
        listed = {record.identity for record in records}
        for endpoint in self._table:
            if (
                endpoint.identity not in listed
                and endpoint.record.revision <= revision
            ):
                self.note_unlisted(endpoint.identity, revision=revision)

    def note_unlisted(self, identity: str, *, revision: int) -> None:
        """Remove an endpoint that is listed no longer, or keep it for a time.

        It is kept around an outage of the store unless it is leaving.

        :param revision: the store's revision at which it had no record.
        """
        self._departures.forget_deferred(identity)
        known = self._table.find(identity)
        if (
            known is not None
            and not known.record.leaving
            and self.outages.may_hide_endpoints()
        ):
            self._keep_unlisted(identity, revision)
            return
        self._remove(identity)

    def _keep_unlisted(self, identity: str, revision: int) -> None:
        if identity in self._unlisted:
            return
        logging.info('endpoint kept', extra=logs.fields(endpoint=identity))
        self._unlisted[identity] = revision

    def _remove(self, identity: str) -> None:
        self._unlisted.pop(identity, None)
        removed = self._table.remove(identity)
        if removed is not None:
            self._departures.note_departure(removed.record)
            logging.info('endpoint gone', extra=logs.fields(endpoint=identity))
            self._on_gone(identity)

    def remove_lapsed(
        self, *, known_until: Callable[[], float] = lambda: float('inf')
    ) -> None:
        """Remove endpoints that have not come back in time.

        Also add deferred endpoints that are still listed, see
        :mod:`.departures`.

        :param known_until: returns the store's revision up to which this
            gateway has heard of endpoints that came back.
        """
        for record in self._departures.pop_deferred():
            self._put(record)
        if self._unlisted and not self.outages.may_hide_endpoints():
            revision = known_until()
            for identity, missing_at in list(self._unlisted.items()):
                if missing_at <= revision:
                    self._remove(identity)
