"""Which endpoints are there, by what lists and changes say of them.

Entries of endpoints may lapse while the store is away, though the endpoint
lives; it then registers again within a moment of the store's return.  An
endpoint that vanishes around a disturbance of the store is therefore kept
for that moment.  One that says that it leaves is left at once, always.

A store that comes back from an older copy lists endpoints that have left
since, and does not list some that live.  The latter are kept in the same way;
the former get nothing until they write their entries themselves.
"""

import dataclasses
from typing import Callable
from typing import Iterable

from absl import logging

from .. import logs
from . import departures
from . import deployment
from . import endpoints

#: Seconds for which a vanished endpoint is kept after the store's return.
KEEP_UNLISTED_SECONDS = 2.2
#: Seconds for which the shutdown report of an endpoint is kept; must exceed
#: the duration of a shutdown.
KEEP_LEAVING_REPORTS = 600.0


class Presence:
    """Keeps the table of endpoints in step with what is listed.

    :param on_gone: called with the identity of an endpoint that is removed.
    :param on_restart: called with the identity of one that has started anew.
    :param restored_at: returns when the store was last restored from a copy.
    """

    __slots__ = (
        '_table',
        '_clock',
        '_on_gone',
        '_on_restart',
        '_vanished',
        '_disturbed_until',
        '_leaving',
        '_leaving_reports',
        '_departures',
    )

    def __init__(
        self,
        *,
        table: endpoints.EndpointTable,
        clock: Callable[[], float],
        on_gone: Callable[[str], None],
        on_restart: Callable[[str], None],
        restored_at: Callable[[], float] = lambda: float('-inf'),
    ) -> None:
        self._table = table
        self._clock = clock
        self._on_gone = on_gone
        self._on_restart = on_restart
        self._vanished: dict[str, float] = {}
        self._disturbed_until = float('-inf')
        self._leaving: set[str] = set()
        self._leaving_reports: dict[tuple[str, int], float] = {}
        self._departures = departures.Departures(
            restored_at=restored_at, clock=clock
        )

    @property
    def is_settled(self) -> bool:
        """Whether what is missing in the table is gone."""
        return self._clock() >= self._disturbed_until and not self._vanished

    def note_store_outage(self) -> None:
        """The store does not answer somebody; entries may lapse."""
        self._disturbed_until = max(
            self._disturbed_until, self._clock() + KEEP_UNLISTED_SECONDS
        )

    def is_unlisted(self, identity: str) -> bool:
        """Whether an endpoint is kept that is listed no longer."""
        return identity in self._vanished

    def put_listed(self, record: deployment.EndpointRecord) -> None:
        """Take an endpoint from a list, which may be an old copy's."""
        if self._departures.doubts(record):
            logging.info(
                'endpoint listed that had left',
                extra=logs.fields(
                    endpoint=record.identity, service=record.service
                ),
            )
            return
        self._put(record)

    def put_written(self, record: deployment.EndpointRecord) -> None:
        """Take what has just been written of an endpoint."""
        self._departures.forget(record.identity)
        self._put(record)

    def note_leaving(self, record: deployment.EndpointRecord) -> None:
        """Mark an endpoint as leaving after it reported its shutdown.

        The report is kept separately because the entry in the store may never
        show the shutdown, or may lapse and come back without it.
        """
        now = self._clock()
        for key, reported_at in list(self._leaving_reports.items()):
            if now - reported_at > KEEP_LEAVING_REPORTS:
                del self._leaving_reports[key]
        self._leaving_reports[record.identity, record.born] = now
        known = self._table.find(record.identity)
        if known is None or known.record.born != record.born:
            return
        self._mark_leaving(known.record)
        self._table.put(dataclasses.replace(known.record, leaving=True))

    def _mark_leaving(self, record: deployment.EndpointRecord) -> None:
        if record.identity in self._leaving:
            return
        logging.info(
            'endpoint leaving',
            extra=logs.fields(
                endpoint=record.identity, service=record.service
            ),
        )
        self._leaving.add(record.identity)

    def _put(self, record: deployment.EndpointRecord) -> None:
        identity = record.identity
        known = self._table.find(identity)
        if known is not None and record.born != known.record.born:
            if record.born < known.record.born:
                # A list that lags tells of a start that is over.
                return
            self._note_restart(known.record, record)
        if record.leaving or (identity, record.born) in self._leaving_reports:
            self._mark_leaving(record)
        if identity in self._leaving:
            # A list that lags must not bring a leaving endpoint back.
            record = dataclasses.replace(record, leaving=True)
        self._vanished.pop(identity, None)
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

    def _note_restart(
        self,
        old: deployment.EndpointRecord,
        new: deployment.EndpointRecord,
    ) -> None:
        """Forget a start of an endpoint that is over.

        Its connections lead nowhere, and it is not the one that left.
        """
        logging.info(
            'endpoint restarted',
            extra=logs.fields(
                endpoint=old.identity, before=old.born, born=new.born
            ),
        )
        self._leaving.discard(old.identity)
        self._on_restart(old.identity)

    def drop_unlisted(
        self, records: Iterable[deployment.EndpointRecord]
    ) -> None:
        """Take what a whole list does not name as vanished."""
        listed = {record.identity for record in records}
        for endpoint in self._table:
            if endpoint.identity not in listed:
                self.note_unlisted(endpoint.identity)

    def note_unlisted(self, identity: str) -> None:
        """Take an endpoint as listed no longer."""
        self._departures.forget(identity)
        now = self._clock()
        if now < self._disturbed_until and identity not in self._leaving:
            self._vanished.setdefault(identity, self._disturbed_until)
            return
        self._remove(identity)

    def _remove(self, identity: str) -> None:
        self._vanished.pop(identity, None)
        self._leaving.discard(identity)
        removed = self._table.remove(identity)
        if removed is not None:
            self._departures.note(removed.record)
            logging.info('endpoint gone', extra=logs.fields(endpoint=identity))
            self._on_gone(identity)

    def remove_lapsed(self) -> None:
        """Remove what has not come back, and take what is in doubt no more."""
        for record in self._departures.take_clear():
            self._put(record)
        now = self._clock()
        for identity, until in list(self._vanished.items()):
            if now >= until:
                self._remove(identity)
