"""Tracks what may crash endpoints, and decides which requests may run.

A request can crash each endpoint that starts to run it, and so can each
request whose prompt has a certain part.  If the endpoint is a rank, its whole
group is down until the rank has restarted.  A caller that retries such a
request takes down one endpoint after another, through any gateway.  So
gateways share what they have seen, by fingerprints of requests and of parts,
see :mod:`.fingerprints`.

An end is the termination of an endpoint's process.  At an end, each request
that was running on the endpoint becomes a suspect, and so does each part of
its prompt.  An answer clears a suspect; further ends block it, see
:mod:`.blame`.
"""

from typing import Callable
from typing import Iterable
import zlib

from absl import logging
import msgspec

from ... import logs
from .. import endpoint_ends
from .. import fingerprints
from . import blame

#: Limit of remembered answers to requests and parts, at 200 bytes each.
MAX_RECENT_ANSWERS = 4096
#: Seconds after an end within which the other gateways have reported which
#: requests they had on that endpoint.
PEER_REPORT_SECONDS = 0.1
#: Seconds for which a suspect is remembered, in addition to twice the duration
#: of its block.
RETENTION_SECONDS = 600.0
#: Retry-After for a request whose block is over but which this gateway may not
#: send: another gateway is its prober, or a probe is running already.
PROBE_RETRY_AFTER_SECONDS = 5.0
#: Limit of remembered suspects, at 64 bytes each and 24 for each end.
MAX_SUSPECTS = 512
#: Limit of remembered ends of one suspect.
MAX_ENDS_PER_SUSPECT = 8


class EndAge(msgspec.Struct, frozen=True, array_like=True, kw_only=True):
    """The end of an endpoint's process.

    :ivar start: a hash that identifies the process, see :func:`_hash_start`.
    :ivar age: seconds since the end.
    """

    start: int
    age: float


class SuspectRecord(
    msgspec.Struct, frozen=True, array_like=True, kw_only=True
):
    """The state of a suspect, as gateways exchange it.

    :ivar fingerprint: of a request or of a part of a prompt.
    :ivar answered_age: seconds since an endpoint answered it, negative for
        never.
    :ivar released_age: seconds since an operator released it, negative for
        never.
    """

    fingerprint: str
    ends: tuple[EndAge, ...]
    answered_age: float = -1.0
    released_age: float = -1.0


class SuspectDigest(
    msgspec.Struct, frozen=True, array_like=True, kw_only=True
):
    """A digest of the suspects with enough ends to be blocked.

    :ivar known: the number of these suspects.
    :ivar check: a checksum of their fingerprints and ends, by which gateways
        notice that they know different ones.
    """

    known: int = 0
    check: int = 0


class SuspectUpdate(
    msgspec.Struct, frozen=True, array_like=True, kw_only=True
):
    """The part of a report to peers that is about suspects.

    :ivar digest: digest of the suspects that the sender knows.
    :ivar suspicions: suspects whose state changed recently.
    """

    digest: SuspectDigest = SuspectDigest()
    suspicions: tuple[SuspectRecord, ...] = ()


class Allowed(msgspec.Struct, frozen=True, kw_only=True):
    """The request is no suspect and may run anywhere."""


class Suspected(msgspec.Struct, frozen=True, kw_only=True):
    """The request may run, but only on an endpoint without other suspects."""


class Blocked(msgspec.Struct, frozen=True, kw_only=True):
    """The request may not be sent to any endpoint.

    :ivar ends: number of ends that count against it.
    :ivar seconds: time after which it may be sent again.
    """

    ends: int
    seconds: float


class Undecided(msgspec.Struct, frozen=True, kw_only=True):
    """The decision has to wait for reports of other gateways.

    :ivar seconds: time after which they will have arrived.
    """

    seconds: float


Decision = Allowed | Suspected | Undecided | Blocked


class Suspects:
    """The suspects that this gateway knows, also from other gateways.

    States from two gateways are merged: the union of the ends, the latest
    answer and the latest release.  So reports may arrive in any order and more
    than once.

    :param is_prober: whether this gateway is the one that may send a given
        request again after its block, as a probe.
    :param on_block: called with the fingerprint of a request when its block
        starts.
    """

    __slots__ = (
        '_thresholds',
        '_part_thresholds',
        '_is_prober',
        '_on_block',
        '_clock',
        '_suspects',
        '_probes',
        '_blocked',
        '_digest',
        '_answer_times',
    )

    def __init__(
        self,
        *,
        is_prober: Callable[[str], bool],
        on_block: Callable[[str], None],
        clock: Callable[[], float],
        thresholds: blame.Thresholds = blame.REQUEST_THRESHOLDS,
        part_thresholds: blame.Thresholds = blame.PART_THRESHOLDS,
    ) -> None:
        self._thresholds = thresholds
        self._part_thresholds = part_thresholds
        self._is_prober = is_prober
        self._on_block = on_block
        self._clock = clock
        self._suspects: dict[str, blame.Suspect] = {}
        self._probes: set[str] = set()
        self._blocked: set[str] = set()
        self._digest: SuspectDigest | None = None
        self._answer_times: dict[str, float] = {}

    def __len__(self) -> int:
        return len(self._suspects)

    def decide(self, fingerprint: str) -> Decision:
        """Decide whether a request may run, by one of its fingerprints.

        A request with a part that is a suspect may run beside others, as most
        requests may have that part.
        """
        suspect = self._suspects.get(fingerprint)
        if suspect is None or not suspect.count():
            return Allowed()
        allowed = Allowed() if suspect.is_part else Suspected()
        if suspect.has_few_ends():
            return allowed
        age = self._clock() - suspect.find_last_update()
        self.refresh()
        if fingerprint not in self._blocked:
            if suspect.is_part and suspect.was_recently_answered():
                return allowed
            if age < PEER_REPORT_SECONDS:
                return Undecided(seconds=PEER_REPORT_SECONDS - age)
            return allowed
        ends = suspect.count()
        left = suspect.find_block_seconds() - age
        if left > 0.0:
            return Blocked(ends=ends, seconds=left)
        if self._may_probe(fingerprint):
            return Suspected()
        return Blocked(ends=ends, seconds=PROBE_RETRY_AFTER_SECONDS)

    def decide_all(self, names: Iterable[str]) -> Decision:
        """Decide whether a request may run, by all of its fingerprints.

        :param names: of the request and of the parts of its prompt.
        """
        decision: Decision = Allowed()
        for name in names:
            found = self.decide(name)
            match found:
                case Blocked():
                    return found
                case Undecided():
                    decision = found
                case Suspected() if isinstance(decision, Allowed):
                    decision = found
        return decision

    def refresh(self) -> None:
        """Start blocks that are due and lift those no longer justified."""
        now = self._clock()
        blocked = blame.find_causes(
            self._suspects,
            lambda fingerprint, suspect: fingerprint in self._blocked
            or suspect.find_last_update() + PEER_REPORT_SECONDS <= now,
        )
        new = blocked - self._blocked
        self._blocked = blocked
        for fingerprint in new:
            suspect = self._suspects[fingerprint]
            logging.info(
                'request blocked',
                extra=logs.fields(
                    fingerprint=fingerprint,
                    ends=suspect.count(),
                    seconds=suspect.find_block_seconds(),
                ),
            )
            self._on_block(fingerprint)

    def _may_probe(self, fingerprint: str) -> bool:
        return self._is_prober(fingerprint) and fingerprint not in self._probes

    def begin(self, fingerprint: str) -> None:
        """Record that a request is sent to an endpoint.

        After a block, only one copy is sent at a time as a probe, since each
        copy may end an endpoint.
        """
        if fingerprint in self._blocked:
            self._probes.add(fingerprint)

    def finish(self, fingerprint: str) -> None:
        """Record that a request no longer runs on an endpoint."""
        self._probes.discard(fingerprint)

    def note_end(self, end: endpoint_ends.End) -> None:
        """Record an end against the requests that were running."""
        now = self._clock()
        self._digest = None
        start = _hash_start(end.start)
        for fingerprint in end.fingerprints:
            suspect = self._get_suspect(fingerprint)
            self._apply_earlier_answer(fingerprint, suspect)
            suspect.ends.setdefault(start, now)
            _drop_oldest(suspect.ends)
            logging.info(
                'request suspected',
                extra=logs.fields(
                    fingerprint=fingerprint,
                    endpoint=end.start.identity,
                    ends=suspect.count(),
                ),
            )
        self._drop_excess()

    def _get_suspect(self, fingerprint: str) -> blame.Suspect:
        """Return a suspect, a new one if it is none yet."""
        suspect = self._suspects.get(fingerprint)
        if suspect is None:
            is_part = fingerprints.is_part(fingerprint)
            suspect = self._suspects[fingerprint] = blame.Suspect(
                is_part=is_part,
                thresholds=(
                    self._part_thresholds if is_part else self._thresholds
                ),
            )
        return suspect

    def note_answer(self, fingerprint: str) -> bool:
        """Record that an endpoint has run a request and lives on.

        :returns: whether that clears a suspect.
        """
        now = self._clock()
        self._answer_times.pop(fingerprint, None)
        self._answer_times[fingerprint] = now
        if len(self._answer_times) > MAX_RECENT_ANSWERS:
            del self._answer_times[next(iter(self._answer_times))]
        suspect = self._suspects.get(fingerprint)
        if suspect is None or not suspect.count():
            return False
        suspect.answered_at = now
        self._note_cleared(fingerprint, '')
        return True

    def release(self, fingerprint: str) -> bool:
        """Let a request run again at the order of an operator.

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

    def merge(self, record: SuspectRecord, *, source: str) -> bool:
        """Merge the state of a suspect that another gateway has sent.

        A delayed report makes an end look more recent than it is, so the
        earlier of two times for the same end is kept.

        :returns: whether this gateway knows a recent answer that the sender
            did not know, and should report it.
        """
        now = self._clock()
        self._digest = None
        suspect = self._get_suspect(record.fingerprint)
        before = suspect.count()
        for end in record.ends:
            at = now - max(0.0, end.age)
            suspect.ends[end.start] = min(at, suspect.ends.get(end.start, at))
        _drop_oldest(suspect.ends)
        suspect.answered_at = max(
            suspect.answered_at, _to_time(now, record.answered_age)
        )
        suspect.released_at = max(
            suspect.released_at, _to_time(now, record.released_age)
        )
        if not suspect.ends:
            del self._suspects[record.fingerprint]
            return False
        was_recently_answered = suspect.was_recently_answered()
        self._apply_earlier_answer(record.fingerprint, suspect)
        if before and not suspect.count():
            self._note_cleared(record.fingerprint, source)
        self._drop_excess()
        return suspect.was_recently_answered() and not was_recently_answered

    def _apply_earlier_answer(
        self, fingerprint: str, suspect: blame.Suspect
    ) -> None:
        """Apply an answer from before the request became a suspect."""
        answered_at = self._answer_times.get(fingerprint, float('-inf'))
        suspect.answered_at = max(suspect.answered_at, answered_at)

    def digest(self) -> SuspectDigest:
        """Return a digest of the suspects.

        Suspects with too few ends to be blocked are left out: each endpoint
        that ends by coincidence adds many of them, which change all the time.
        """
        if self._digest is None:
            self._digest = _digest(self._suspects, self._thresholds.unshared)
        return self._digest

    def list_all(self) -> tuple[SuspectRecord, ...]:
        """Return the states of all suspects."""
        return tuple(
            self._describe(fingerprint, suspect)
            for fingerprint, suspect in self._suspects.items()
        )

    def describe(self, fingerprint: str) -> SuspectRecord | None:
        """Return the state of a request, or ``None`` if it is no suspect."""
        suspect = self._suspects.get(fingerprint)
        if suspect is None:
            return None
        return self._describe(fingerprint, suspect)

    def list_blocked(self) -> dict[str, Blocked]:
        """Return the blocked requests by fingerprint."""
        found = {}
        for fingerprint in self._blocked & self._suspects.keys():
            decision = self.decide(fingerprint)
            if isinstance(decision, Blocked):
                found[fingerprint] = decision
        return found

    def prune(self) -> None:
        """Forget suspects whose state has not changed for long enough."""
        now = self._clock()
        for fingerprint, suspect in list(self._suspects.items()):
            kept = RETENTION_SECONDS + 2.0 * suspect.find_block_seconds()
            if now - suspect.find_last_update() > kept:
                del self._suspects[fingerprint]
                self._digest = None

    def _describe(
        self, fingerprint: str, suspect: blame.Suspect
    ) -> SuspectRecord:
        now = self._clock()
        return SuspectRecord(
            fingerprint=fingerprint,
            ends=tuple(
                EndAge(start=start, age=round(now - at, 3))
                for start, at in suspect.ends.items()
            ),
            answered_age=_to_age(now, suspect.answered_at),
            released_age=_to_age(now, suspect.released_at),
        )

    def _drop_excess(self) -> None:
        """Drop suspects above the limit, those with the fewest ends first."""
        excess = len(self._suspects) - MAX_SUSPECTS
        if excess <= 0:
            return
        order = sorted(
            self._suspects.items(),
            key=lambda pair: (pair[1].count(), pair[1].find_last_update()),
        )
        for fingerprint, _ in order[:excess]:
            del self._suspects[fingerprint]


def _to_age(now: float, at: float) -> float:
    """Return the age of a time, negative for never."""
    return round(now - at, 3) if at != float('-inf') else -1.0


def _to_time(now: float, age: float) -> float:
    """Return the time of an age, reversing :func:`_to_age`."""
    return now - age if age >= 0.0 else float('-inf')


def _digest(known: dict[str, blame.Suspect], threshold: int) -> SuspectDigest:
    count = 0
    check = 0
    for fingerprint, suspect in known.items():
        starts = sorted(suspect.list_counted_starts())
        if len(starts) >= threshold:
            count += 1
            text = ' '.join(map(str, [fingerprint, *starts]))
            check ^= zlib.crc32(text.encode())
    return SuspectDigest(known=count, check=check)


def choose_prober(fingerprint: str, instances: Iterable[str]) -> str:
    """Return the gateway that may probe a request after its block.

    Rendezvous hashing gives the same result at all gateways that know the same
    instances.
    """
    return max(
        instances,
        key=lambda name: zlib.crc32(f'{fingerprint} {name}'.encode()),
    )


def _hash_start(start: endpoint_ends.Start) -> int:
    """Return a hash of a process that is the same at all gateways."""
    return zlib.crc32(f'{start.identity} {start.born}'.encode())


def _drop_oldest(ends: dict[int, float]) -> None:
    """Drop the oldest ends above the limit."""
    if len(ends) > MAX_ENDS_PER_SUSPECT:
        for start in sorted(ends, key=lambda one: ends[one])[
            :-MAX_ENDS_PER_SUSPECT
        ]:
            del ends[start]
