"""Remembers endpoints that have left, in case a restored store lists them.

A store that is restored from a copy lists endpoints that have left since the
copy was made.  Live endpoints soon write their records again; until then they
cannot be distinguished from the others.  A request to an endpoint that has
left is lost or, worse, runs at the new owner of its address.
"""

from typing import Callable

from . import deployment

#: Seconds for which a departure is remembered; longer than the age of a copy.
RETENTION_SECONDS = 60.0
#: Seconds after a restore within which live endpoints have written their
#: records again and the records of others have lapsed: three heartbeats and
#: the time to process the list.
RESTORE_WINDOW_SECONDS = 5.0


class Departures:
    """Endpoints that have left, and their records in a restored list.

    :param restored_at: returns when the store was last restored.
    """

    __slots__ = ('_restored_at', '_clock', '_left_at', '_deferred')

    def __init__(
        self,
        *,
        restored_at: Callable[[], float],
        clock: Callable[[], float],
    ) -> None:
        self._restored_at = restored_at
        self._clock = clock
        self._left_at: dict[tuple[str, int], float] = {}
        self._deferred: dict[str, deployment.EndpointRecord] = {}

    def note(self, record: deployment.EndpointRecord) -> None:
        """Record that an endpoint has left."""
        now = self._clock()
        self._left_at[record.identity, record.born] = now
        for start, at in list(self._left_at.items()):
            if now - at > RETENTION_SECONDS:
                del self._left_at[start]

    def defer_outdated(self, record: deployment.EndpointRecord) -> bool:
        """Defer a listed record if it may come from an outdated copy.

        :returns: whether it was deferred, see :meth:`pop_deferred`.
        """
        if not self._is_recently_restored():
            return False
        if (record.identity, record.born) not in self._left_at:
            return False
        self._deferred[record.identity] = record
        return True

    def note_change(self, identity: str) -> None:
        """Record that a record has been written or removed since the restore.

        The deferred record and the departure no longer matter then.
        """
        deferred = self._deferred.pop(identity, None)
        if deferred is not None:
            self._left_at.pop((identity, deferred.born), None)

    def pop_deferred(self) -> list[deployment.EndpointRecord]:
        """Return deferred records that are still listed after the window."""
        if not self._deferred or self._is_recently_restored():
            return []
        due = list(self._deferred.values())
        for record in due:
            self.note_change(record.identity)
        return due

    def _is_recently_restored(self) -> bool:
        """Whether a list may come from an outdated copy."""
        return self._clock() - self._restored_at() < RESTORE_WINDOW_SECONDS
