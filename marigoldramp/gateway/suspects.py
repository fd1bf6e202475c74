"""Requests under which endpoints have ended, and which of them may run.

A request can end each endpoint that begins to run it: its process dies, and
where it is a rank, its whole group runs nothing until it is back.  A caller
that comes back with such a request takes down one endpoint after the other,
and through any entry.  So what counts is not what one attempt or one entry
knows, but what all of them have seen of the same caller and content.

Any number of sound requests run beside such a one when an endpoint ends.  A
first end blames all of them alike.  They are told apart by what comes next: a
sound one is answered, which clears it, the other one ends a second endpoint.
Where two have been under the same two ends, the third one decides; and what
was answered not long before may be asked for so often that it is under every
end.
"""

import dataclasses
from typing import Callable
from typing import Iterable
import zlib

from absl import logging
import msgspec

from .. import logs
from . import endpoint_ends

#: Seconds for which an answer says that a request is sound, and requests of
#: which that is remembered; 200 bytes each.
SOUND_SECONDS = 600.0
MOST_SOUND = 4096
#: Seconds after an end within which others have told what they had there.
PEER_REPORT_SECONDS = 0.1
#: Seconds for which a request is blocked at first, twice as long after each
#: further end, and at most: what mends such a request is a release of the
#: endpoints' software.
FIRST_BLOCK_SECONDS = 600.0
LONGEST_BLOCK_SECONDS = 86400.0
#: Seconds for which an end is remembered that has blocked nothing.
KEPT_SECONDS = 600.0
#: Seconds after which a caller is to come back that could be the trial of a
#: request, were it not at another entry or behind another trial.
TRIAL_RETRY_AFTER = 5.0
#: Suspects that are remembered; 64 bytes each and 24 for each end.
MOST_SUSPECTS = 512
#: Ends of one suspect that are remembered.
MOST_ENDS = 8


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Thresholds:
    """How many endpoints end under a request until it is blocked.

    Counted are ends since its last answer.

    :ivar unshared: where nothing else explains them; one can end by chance.
    :ivar shared: where another request has been under all of them.
    :ivar recently_answered: where it was answered not long before the first of
        them.
    """

    unshared: int = 2
    shared: int = 3
    recently_answered: int = 4


class EndAge(msgspec.Struct, frozen=True, array_like=True, kw_only=True):
    """The end of one start of an endpoint, and the seconds since."""

    start: int
    age: float


class SuspectRecord(
    msgspec.Struct, frozen=True, array_like=True, kw_only=True
):
    """What an entry knows of a suspect, as it tells others.

    :ivar answered_age: seconds since an endpoint has answered it, negative
        for never.
    :ivar released_age: seconds since an operator has released it, negative
        for never.
    """

    fingerprint: str
    ends: tuple[EndAge, ...]
    answered_age: float = -1.0
    released_age: float = -1.0


class SuspectDigest(
    msgspec.Struct, frozen=True, array_like=True, kw_only=True
):
    """What an entry knows of requests that may have to be blocked, in short.

    :ivar known: how many there are.
    :ivar check: the same at entries that know the same of them.
    """

    known: int = 0
    check: int = 0


class SuspectUpdate(
    msgspec.Struct, frozen=True, array_like=True, kw_only=True
):
    """What one report says of suspects.

    :ivar digest: of all that its sender knows.
    :ivar suspicions: what it has learnt lately.
    """

    digest: SuspectDigest = SuspectDigest()
    suspicions: tuple[SuspectRecord, ...] = ()


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Allowed:
    """Nothing speaks against a request."""


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Suspected:
    """A request may run, but apart from other suspects."""


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Blocked:
    """A request is sent nowhere.

    :ivar ends: endpoints that have ended under it.
    :ivar seconds: after which it may be tried again.
    """

    ends: int
    seconds: float


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Undecided:
    """Word of other entries decides whether a request is blocked.

    :ivar seconds: after which it will have come.
    """

    seconds: float


Decision = Allowed | Suspected | Undecided | Blocked


class _Suspect:
    """What is known of one request.

    :ivar ends: when starts of endpoints ended under it.
    :ivar answered_at: when it was last answered.
    :ivar released_at: when an operator last released it.
    """

    __slots__ = ('ends', 'answered_at', 'released_at')

    def __init__(self) -> None:
        self.ends: dict[int, float] = {}
        self.answered_at = float('-inf')
        self.released_at = float('-inf')

    def counted(self) -> set[int]:
        """Return the starts whose ends count against it."""
        since = max(self.answered_at, self.released_at)
        return {start for start, at in self.ends.items() if at > since}

    def count(self) -> int:
        """Return how many ends count against it."""
        return len(self.counted())

    def was_sound(self) -> bool:
        """Whether it was answered not long before the ends that count."""
        counted = self.counted()
        if not counted:
            return True
        first = min(self.ends[start] for start in counted)
        return first - self.answered_at <= SOUND_SECONDS

    def last(self) -> float:
        """Return when something was last learnt of it."""
        return max(self.answered_at, self.released_at, *self.ends.values())

    def block_seconds(self, least: int) -> float:
        """Return for how long it is blocked after its last end, if it is.

        :param least: ends that block at least.
        """
        over = self.count() - least
        if over < 0:
            return 0.0
        return min(LONGEST_BLOCK_SECONDS, FIRST_BLOCK_SECONDS * 2.0**over)


class Suspects:
    """The suspects that this entry knows, from itself and from others.

    What two entries know is united: ends by the start that ended, answers by
    the latest.  So it does not matter in which order word of it comes, or how
    often.

    :param is_prober: whether this is the entry that may try a request once
        more when its block is over.
    :param on_block: called with the fingerprint of a request that is blocked
        from now on.
    """

    __slots__ = (
        '_thresholds',
        '_is_trier',
        '_on_block',
        '_clock',
        '_suspects',
        '_trials',
        '_blocked',
        '_digest',
        '_answered',
    )

    def __init__(
        self,
        *,
        is_prober: Callable[[str], bool],
        on_block: Callable[[str], None],
        clock: Callable[[], float],
        thresholds: Thresholds = Thresholds(),
    ) -> None:
        self._thresholds = thresholds
        self._is_trier = is_prober
        self._on_block = on_block
        self._clock = clock
        self._suspects: dict[str, _Suspect] = {}
        self._trials: set[str] = set()
        self._blocked: set[str] = set()
        self._digest: SuspectDigest | None = None
        self._answered: dict[str, float] = {}

    def __len__(self) -> int:
        return len(self._suspects)

    def decide(self, fingerprint: str) -> Decision:
        """Return whether a request may run."""
        suspect = self._suspects.get(fingerprint)
        if suspect is None:
            return Allowed()
        ends = suspect.count()
        if not ends:
            return Allowed()
        if ends < self._thresholds.unshared:
            return Suspected()
        age = self._clock() - suspect.last()
        self.refresh()
        if fingerprint not in self._blocked:
            if age < PEER_REPORT_SECONDS:
                return Undecided(seconds=PEER_REPORT_SECONDS - age)
            return Suspected()
        left = suspect.block_seconds(self._thresholds.unshared) - age
        if left > 0.0:
            return Blocked(ends=ends, seconds=left)
        if self._may_try(fingerprint):
            return Suspected()
        return Blocked(ends=ends, seconds=TRIAL_RETRY_AFTER)

    def refresh(self) -> None:
        """Block what is to be blocked from now on, and no longer the rest."""
        now = self._clock()
        blocked = {
            fingerprint
            for fingerprint, suspect in self._suspects.items()
            if (
                fingerprint in self._blocked
                or suspect.last() + PEER_REPORT_SECONDS <= now
            )
            and self._is_cause(suspect)
        }
        new = blocked - self._blocked
        self._blocked = blocked
        for fingerprint in new:
            suspect = self._suspects[fingerprint]
            logging.info(
                'request blocked',
                extra=logs.fields(
                    fingerprint=fingerprint,
                    ends=suspect.count(),
                    seconds=suspect.block_seconds(self._thresholds.unshared),
                ),
            )
            self._on_block(fingerprint)

    def _is_cause(self, suspect: _Suspect) -> bool:
        """Whether endpoints end by a request and not beside it."""
        starts = suspect.counted()
        if len(starts) < self._thresholds.unshared:
            return False
        if suspect.was_sound():
            return len(starts) >= self._thresholds.recently_answered
        if len(starts) >= self._thresholds.shared:
            return True
        return not any(
            starts <= other.counted()
            for other in self._suspects.values()
            if other is not suspect
        )

    def _may_try(self, fingerprint: str) -> bool:
        return self._is_trier(fingerprint) and fingerprint not in self._trials

    def begin(self, fingerprint: str) -> None:
        """Note that a request is sent to an endpoint.

        One whose block is over is tried by one request and not by all that
        come at once, as each may end an endpoint.
        """
        if fingerprint in self._blocked:
            self._trials.add(fingerprint)

    def finish(self, fingerprint: str) -> None:
        """Note that a request is with no endpoint any more."""
        self._trials.discard(fingerprint)

    def note_end(self, end: endpoint_ends.End) -> None:
        """Note the requests that an endpoint had when it ended."""
        now = self._clock()
        self._digest = None
        start = _number(end.start)
        for fingerprint in end.fingerprints:
            suspect = self._suspects.setdefault(fingerprint, _Suspect())
            self._recall(fingerprint, suspect)
            suspect.ends.setdefault(start, now)
            _bound(suspect.ends)
            logging.info(
                'request suspected',
                extra=logs.fields(
                    fingerprint=fingerprint,
                    endpoint=end.start.identity,
                    ends=suspect.count(),
                ),
            )
        self._forget_surplus()

    def note_answer(self, fingerprint: str) -> bool:
        """Note that an endpoint has answered a request in full.

        :returns: whether that clears a suspect.
        """
        now = self._clock()
        self._answered.pop(fingerprint, None)
        self._answered[fingerprint] = now
        if len(self._answered) > MOST_SOUND:
            del self._answered[next(iter(self._answered))]
        suspect = self._suspects.get(fingerprint)
        if suspect is None or not suspect.count():
            return False
        suspect.answered_at = now
        self._note_cleared(fingerprint, '')
        return True

    def release(self, fingerprint: str) -> bool:
        """Let a request run again, as an operator says.

        :returns: whether it was a suspect.
        """
        suspect = self._suspects.get(fingerprint)
        if suspect is None or not suspect.count():
            return False
        suspect.released_at = self._clock()
        self._note_cleared(fingerprint, 'operator')
        return True

    def _note_cleared(self, fingerprint: str, source: str) -> None:
        self._digest = None
        logging.info(
            'request cleared',
            extra=logs.fields(fingerprint=fingerprint, source=source),
        )

    def merge(self, suspicion: SuspectRecord, *, source: str) -> bool:
        """Learn what another entry knows.

        Word that was long on its way makes an end look younger than it is, so
        of two times for the same end the earlier one is right.

        :returns: whether we know of an answer by which it is sound, as others
            should, too.
        """
        now = self._clock()
        self._digest = None
        suspect = self._suspects.setdefault(suspicion.fingerprint, _Suspect())
        before = suspect.count()
        for end in suspicion.ends:
            at = now - max(0.0, end.age)
            suspect.ends[end.start] = min(at, suspect.ends.get(end.start, at))
        _bound(suspect.ends)
        suspect.answered_at = max(
            suspect.answered_at, _find_time(now, suspicion.answered_age)
        )
        suspect.released_at = max(
            suspect.released_at, _find_time(now, suspicion.released_age)
        )
        if not suspect.ends:
            del self._suspects[suspicion.fingerprint]
            return False
        was_sound = suspect.was_sound()
        self._recall(suspicion.fingerprint, suspect)
        if before and not suspect.count():
            self._note_cleared(suspicion.fingerprint, source)
        self._forget_surplus()
        return suspect.was_sound() and not was_sound

    def _recall(self, fingerprint: str, suspect: _Suspect) -> None:
        """Count an answer that came before a request was suspected."""
        answered_at = self._answered.get(fingerprint, float('-inf'))
        suspect.answered_at = max(suspect.answered_at, answered_at)

    def digest(self) -> SuspectDigest:
        """Return in short what is known.

        Requests with fewer ends than block any are left out: an endpoint that
        ends by chance has many of them, and they change all the time.
        """
        if self._digest is None:
            self._digest = _digest(self._suspects, self._thresholds.unshared)
        return self._digest

    def list_all(self) -> tuple[SuspectRecord, ...]:
        """Return all that is known."""
        return tuple(
            self._describe(fingerprint, suspect)
            for fingerprint, suspect in self._suspects.items()
        )

    def describe(self, fingerprint: str) -> SuspectRecord | None:
        """Return what is known of a request, if there is anything."""
        suspect = self._suspects.get(fingerprint)
        if suspect is None:
            return None
        return self._describe(fingerprint, suspect)

    def list_blocked(self) -> dict[str, Blocked]:
        """Return the requests that are sent nowhere."""
        found = {}
        for fingerprint in self._blocked & self._suspects.keys():
            decision = self.decide(fingerprint)
            if isinstance(decision, Blocked):
                found[fingerprint] = decision
        return found

    def prune(self) -> None:
        """Forget what has not been heard of for long enough."""
        now = self._clock()
        for fingerprint, suspect in list(self._suspects.items()):
            kept = KEPT_SECONDS + 2.0 * suspect.block_seconds(
                self._thresholds.unshared
            )
            if now - suspect.last() > kept:
                del self._suspects[fingerprint]
                self._digest = None

    def _describe(self, fingerprint: str, suspect: _Suspect) -> SuspectRecord:
        now = self._clock()
        return SuspectRecord(
            fingerprint=fingerprint,
            ends=tuple(
                EndAge(start=start, age=round(now - at, 3))
                for start, at in suspect.ends.items()
            ),
            answered_age=_find_age(now, suspect.answered_at),
            released_age=_find_age(now, suspect.released_at),
        )

    def _forget_surplus(self) -> None:
        """Bound what is remembered; those with the fewest ends go first."""
        surplus = len(self._suspects) - MOST_SUSPECTS
        if surplus <= 0:
            return
        order = sorted(
            self._suspects.items(),
            key=lambda pair: (pair[1].count(), pair[1].last()),
        )
        for fingerprint, _ in order[:surplus]:
            del self._suspects[fingerprint]


def _find_age(now: float, at: float) -> float:
    """Return the age of a time, negative for a time that never was."""
    return round(now - at, 3) if at != float('-inf') else -1.0


def _find_time(now: float, age: float) -> float:
    """Return the time of an age."""
    return now - age if age >= 0.0 else float('-inf')


def _digest(known: dict[str, _Suspect], least: int) -> SuspectDigest:
    count = 0
    check = 0
    for fingerprint, suspect in known.items():
        starts = sorted(suspect.counted())
        if len(starts) >= least:
            count += 1
            text = ' '.join(map(str, [fingerprint, *starts]))
            check ^= zlib.crc32(text.encode())
    return SuspectDigest(known=count, check=check)


def choose_prober(fingerprint: str, instances: Iterable[str]) -> str:
    """Return the one of some entries that may try a blocked request.

    All entries that know the same ones find the same.
    """
    return max(
        instances,
        key=lambda name: zlib.crc32(f'{fingerprint} {name}'.encode()),
    )


def _number(start: endpoint_ends.Start) -> int:
    """Return a number that all entries give the same start."""
    return zlib.crc32(f'{start.identity} {start.born}'.encode())


def _bound(ends: dict[int, float]) -> None:
    """Keep the latest ends; the others no longer matter."""
    if len(ends) > MOST_ENDS:
        for start in sorted(ends, key=lambda one: ends[one])[:-MOST_ENDS]:
            del ends[start]
