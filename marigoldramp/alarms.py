"""What an operator should look at, under stable names.

An alarm says that something needs a person, not that something happened:
a peer that died once is dead in ``status`` and no alarm by itself once the
instance list has dropped it.  ``docs/OPERATORS.md`` has a row for each name:
what it means and what to do.
"""

import dataclasses
import enum
from typing import Callable
from typing import Iterable

from absl import logging

from . import findings
from . import heartbeats
from . import membership
from . import status

#: Seconds for which trouble of one moment is shown.
RECENT = 60.0
#: Seconds without a successful read of the instance list.
STORE_AWAY_AFTER = 10.0
#: Seconds without any bundle after the start.
NO_BUNDLE_AFTER = 10.0
#: Share of a bound at which "nearly full" begins.
NEARLY = 0.9
#: Names of instances that one alarm spells out.
MOST_NAMES = 5
#: Refusals of datagrams that no fault of the network explains.  Doubled and
#: late ones are refused as well, and are nothing to look at.
SUSPICIOUS = frozenset(
    {
        heartbeats.Refusal.OVERSIZED,
        heartbeats.Refusal.UNAUTHENTICATED,
        heartbeats.Refusal.MALFORMED,
        heartbeats.Refusal.OLD,
    }
)


class Name(enum.StrEnum):
    """Names of all alarms; they never change their meaning."""

    NO_BUNDLE = 'no_bundle'
    BUNDLE_KEPT_OUT = 'bundle_kept_out'
    STORE_AWAY = 'store_away'
    PEERS_DEAD = 'peers_dead'
    PEERS_UNREACHABLE = 'peers_unreachable'
    PEERS_SILENT = 'peers_silent'
    CONNECTIONS_SILENT = 'connections_silent'
    DATAGRAMS_REFUSED = 'datagrams_refused'
    CALLS_NEARLY_FULL = 'calls_nearly_full'
    NO_ENDPOINT = 'no_endpoint'
    QUEUE_NEARLY_FULL = 'queue_nearly_full'
    RECORDS_NEARLY_FULL = 'records_nearly_full'
    RECORDS_NOT_HANDED_OVER = 'records_not_handed_over'
    STRAGGLER_RANK = 'straggler_rank'
    MAP_CHANGE_STALLED = 'map_change_stalled'


def make(name: Name, detail: str) -> status.Alarm:
    """Return an alarm."""
    return status.Alarm(name=name.value, detail=detail)


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class _Noted:
    detail: str
    at: float


class Watch:
    """Remembers when trouble came and how long it has lasted.

    :param clock: monotonic seconds.
    """

    __slots__ = ('_clock', '_noted', '_since', '_shown')

    def __init__(self, *, clock: Callable[[], float]) -> None:
        self._clock = clock
        self._noted: dict[Name, _Noted] = {}
        self._since: dict[Name, float] = {}
        self._shown: set[str] = set()

    def note(self, name: Name, detail: str) -> None:
        """Note trouble of this moment; it is shown for ``RECENT``."""
        self._noted[name] = _Noted(detail=detail, at=self._clock())

    def lasts(self, name: Name, *, present: bool, seconds: float) -> bool:
        """Return whether a trouble has been present for so long.

        It counts from the first time that this was asked while it was
        there, so it has to be asked regularly.
        """
        if not present:
            self._since.pop(name, None)
            return False
        since = self._since.setdefault(name, self._clock())
        return self._clock() - since >= seconds

    def recent(self) -> list[status.Alarm]:
        """Return the noted trouble that is not too old."""
        now = self._clock()
        return [
            make(name, noted.detail)
            for name, noted in self._noted.items()
            if now - noted.at < RECENT
        ]

    @property
    def count(self) -> int:
        """Alarms at the last look; may be read from any thread."""
        return len(self._shown)

    def log_changes(self, alarms: Iterable[status.Alarm]) -> None:
        """Log each alarm once when it comes and once when it goes."""
        details = {alarm.name: alarm.detail for alarm in alarms}
        for name, detail in details.items():
            if name not in self._shown:
                logging.warning('alarm %s: %s', name, detail)
        for name in self._shown - details.keys():
            logging.info('alarm %s is over', name)
        self._shown = set(details)


class ProcessAlarms:
    """Alarms that entries and agents share.

    :param members: asked for its peers and refused datagrams.
    """

    __slots__ = ('_watch', '_members', '_clock', '_read_at', '_refused')

    def __init__(
        self,
        *,
        watch: Watch,
        members: membership.Membership,
        clock: Callable[[], float],
    ) -> None:
        self._watch = watch
        self._members = members
        self._clock = clock
        self._read_at = clock()
        self._refused = 0
        members.on_silent(self._note_silent)

    def note_list_read(self) -> None:
        """Note that the platform has just answered."""
        self._read_at = self._clock()

    def show(
        self, *, bundle: int, found: tuple[findings.Finding, ...]
    ) -> list[status.Alarm]:
        """Return the alarms of this moment.

        :param bundle: number of the bundle in force, 0 for none.
        :param found: why newer bundles were kept out.
        """
        self._note_refused()
        alarms = [make(Name.BUNDLE_KEPT_OUT, str(one)) for one in found]
        if self._watch.lasts(
            Name.NO_BUNDLE, present=not bundle, seconds=NO_BUNDLE_AFTER
        ):
            alarms.append(
                make(Name.NO_BUNDLE, 'no bundle is in force; nothing runs')
            )
        away = self._clock() - self._read_at
        if away >= STORE_AWAY_AFTER and self._members.lacks_list:
            detail = f'the platform has not answered for {away:.0f} s'
            alarms.append(make(Name.STORE_AWAY, detail))
        return [*alarms, *self._show_peers(), *self._watch.recent()]

    def _show_peers(self) -> list[status.Alarm]:
        rows = (
            (membership.State.DEAD, Name.PEERS_DEAD),
            (membership.State.UNREACHABLE, Name.PEERS_UNREACHABLE),
            (membership.State.SILENT, Name.PEERS_SILENT),
        )
        alarms = []
        known = self._members.all_peers()
        for state, name in rows:
            names = [
                peer.instance
                for peer in known
                if peer.state is state and not peer.leaving
            ]
            if names:
                alarms.append(make(name, spell(names)))
        return alarms

    def _note_silent(self, peer: membership.Peer) -> None:
        self._watch.note(
            Name.CONNECTIONS_SILENT,
            f'open connections to {peer.instance} brought no byte while a '
            'fresh one worked',
        )

    def _note_refused(self) -> None:
        """Note datagrams that were refused since the last look."""
        counts = {
            reason: number
            for reason, number in self._members.refusals.items()
            if reason in SUSPICIOUS
        }
        total = sum(counts.values())
        if total > self._refused:
            told = ', '.join(
                f'{number} {reason.value}' for reason, number in counts.items()
            )
            self._watch.note(Name.DATAGRAMS_REFUSED, f'since start: {told}')
        self._refused = total


def spell(names: Iterable[str]) -> str:
    """Return names as a short text; many are counted."""
    known = sorted(names)
    text = ', '.join(known[:MOST_NAMES])
    rest = len(known) - MOST_NAMES
    return f'{text} and {rest} more' if rest > 0 else text


def nearly_full(
    *, name: Name, count: int, bound: int, setting: str
) -> list[status.Alarm]:
    """Return an alarm if a count is near its bound, else nothing."""
    if count < bound * NEARLY:
        return []
    return [make(name, f'{count} of {bound} ({setting})')]
