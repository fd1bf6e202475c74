"""The data centres that the operator has evacuated.

While a data centre is evacuated, no request is sent to its endpoints.  All
gateways act on one state, which a few of them read from the platform's store
and all pass on in their reports.  A state consists of the names of the data
centres and the version of the store at which it was read.  Versions are
totally ordered, so the state of the highest version is in force everywhere
once reports have arrived, whatever their order.
"""

from typing import Callable

from absl import logging
import msgspec

from ... import logs
from .. import peer_reports
from .. import refresh

#: Source of what this gateway has read from the store itself.
STORE_SOURCE = 'store'


class Change(msgspec.Struct, frozen=True, kw_only=True):
    """A change of the data centres whose evacuation is in force.

    Both sets are empty when the state becomes known and names none.

    :ivar source: ``store``, or the peer that reported the change.
    :ivar age: seconds within which the state was read or reported, ``None``
        if unknown.
    """

    added: frozenset[str]
    withdrawn: frozenset[str]
    source: str
    age: float | None = None


class Evacuations:
    """The newest known state and what is in force by it.

    A store that is restored from an older copy lacks the operator's latest
    objects until they are written again.  Until then no evacuation ends.

    :param is_on: whether the operator may evacuate data centres; otherwise
        all states are ignored.
    :param restored_at: returns when the store was last restored from a copy.
    :ivar version: version of the store at which the state was read, 0 if it
        is not known.
    :ivar named: the data centres that the state names.
    :ivar in_force: the data centres that must get no requests.
    :ivar is_reader: this gateway reads the state from the store, which answers
        it.
    """

    __slots__ = (
        '_clock',
        '_restored_at',
        '_callbacks',
        '_withdrawal_callbacks',
        '_source',
        'is_on',
        'version',
        'named',
        'in_force',
        'is_reader',
    )

    def __init__(
        self,
        *,
        is_on: bool,
        clock: Callable[[], float],
        restored_at: Callable[[], float] = lambda: float('-inf'),
    ) -> None:
        self._clock = clock
        self._restored_at = restored_at
        self._callbacks: list[Callable[[Change], None]] = []
        self._withdrawal_callbacks: list[Callable[[frozenset[str]], None]] = []
        self._source = STORE_SOURCE
        self.is_on = is_on
        self.version = 0
        self.named: frozenset[str] = frozenset()
        self.in_force: frozenset[str] = frozenset()
        self.is_reader = False

    @property
    def is_known(self) -> bool:
        """Whether requests may be sent by this state."""
        return not self.is_on or self.version > 0

    def on_change(self, callback: Callable[[Change], None]) -> None:
        """Register a callback for changes, and for the first known state."""
        self._callbacks.append(callback)

    def on_withdrawal(
        self, callback: Callable[[frozenset[str]], None]
    ) -> None:
        """Register a callback that gets the names of data centres.

        It is called after their evacuation has ended.
        """
        self._withdrawal_callbacks.append(callback)

    def merge(
        self,
        *,
        version: int,
        data_centres: frozenset[str],
        source: str,
        age: float | None = None,
    ) -> None:
        """Take over a state unless a newer one is known.

        :param age: seconds within which it was read or reported, for the log.
        """
        if not self.is_on or version <= 0 or version < self.version:
            return
        if version == self.version:
            if data_centres <= self.named:
                return
            # The later pages of a list may be newer than its version.
            data_centres |= self.named
        was_known = self.is_known
        self.version = version
        self.named = data_centres
        self._source = source
        if self._update(age) is None and not was_known:
            self._notify(
                Change(added=frozenset(), withdrawn=frozenset(), source=source)
            )

    def merge_report(
        self, report: peer_reports.Report, *, age: float | None = None
    ) -> None:
        """Take over the state in the report of a peer, if it is newer.

        :param age: seconds since the report was sent at most.
        """
        reported = report.evacuations
        self.merge(
            version=reported.version,
            data_centres=frozenset(reported.data_centres),
            source=report.instance,
            age=age,
        )

    def make_report(self) -> peer_reports.ReportedEvacuations:
        """Return the state for reports."""
        return peer_reports.ReportedEvacuations(
            version=self.version,
            data_centres=tuple(sorted(self.named)),
            is_reader=self.is_reader,
        )

    def refresh(self) -> None:
        """End evacuations whose end was deferred after a restore."""
        if self.in_force != self.named:
            self._update(None)

    def _update(self, age: float | None) -> Change | None:
        """Put the state into force; return what has changed by it."""
        before = self.in_force
        in_force = self.named
        if self._is_recently_restored():
            in_force |= before
        if in_force == before:
            return None
        self.in_force = in_force
        change = Change(
            added=in_force - before,
            withdrawn=before - in_force,
            source=self._source,
            age=age,
        )
        self._log('evacuation in force', change.added, change)
        self._log('evacuation withdrawn', change.withdrawn, change)
        self._notify(change)
        return change

    def _is_recently_restored(self) -> bool:
        """Whether the store may still lack what the operator has written."""
        since = self._clock() - self._restored_at()
        return since < refresh.RESTORED_SECONDS

    def _log(
        self, event: str, data_centres: frozenset[str], change: Change
    ) -> None:
        known_age = {} if change.age is None else {'age': change.age}
        for data_centre in sorted(data_centres):
            logging.info(
                event,
                extra=logs.fields(
                    data_centre=data_centre,
                    version=self.version,
                    source=change.source,
                    **known_age,
                ),
            )

    def _notify(self, change: Change) -> None:
        for callback in self._callbacks:
            callback(change)
        if change.withdrawn:
            for notify in self._withdrawal_callbacks:
                notify(change.withdrawn)
