"""Decides which suspects count as the cause of ends.

A suspect is a request, or a part of a prompt that requests share.  Harmless
suspects run beside the harmful one, so a single end does not tell them apart.
A harmful suspect is never answered, and its ends differ in all else.

Many requests share a part, so a harmless one is named by many ends, and is
cleared by many answers.  Parts therefore need more ends than requests.  A part
that was answered before needs ends at different times, as an outage can end
many endpoints at once, and ends with a blocked part do not count against it.
"""

from typing import Callable
from typing import Iterable
from typing import Mapping

import msgspec

#: Seconds for which an answer suggests that a suspect is harmless.
RECENT_ANSWER_SECONDS = 600.0
#: First and longest duration of a block, which doubles with each further end.
#: The limit is long as only a new release of the endpoints' software makes
#: such a request harmless.
MIN_BLOCK_SECONDS = 600.0
MAX_BLOCK_SECONDS = 86400.0
#: Seconds within which several ends count as one for a part that was answered
#: before.
SAME_OUTAGE_SECONDS = 1.0


class Thresholds(msgspec.Struct, frozen=True, kw_only=True):
    """The number of ends after which a suspect is blocked.

    Only ends since its last answer or release count.

    :ivar unshared: if no other suspect was running at all of these ends.  A
        single end may be a coincidence.
    :ivar shared: if another suspect was running at all of them.
    :ivar recently_answered: if it was answered shortly before the first of
        these ends.
    """

    unshared: int = 2
    shared: int = 3
    recently_answered: int = 4


REQUEST_THRESHOLDS = Thresholds()
PART_THRESHOLDS = Thresholds(unshared=3, shared=4, recently_answered=5)


class Suspect:
    """The state of one suspect.

    :ivar is_part: whether it is a part of a prompt, not a request.
    :ivar ends: times of the ends, by the hash of the ended process.
    :ivar answered_at: when an endpoint last answered it.
    :ivar released_at: when an operator last released it.
    """

    __slots__ = (
        'is_part',
        'ends',
        'answered_at',
        'released_at',
        '_thresholds',
    )

    def __init__(self, *, is_part: bool, thresholds: Thresholds) -> None:
        self.is_part = is_part
        self._thresholds = thresholds
        self.ends: dict[int, float] = {}
        self.answered_at = float('-inf')
        self.released_at = float('-inf')

    def list_counted_starts(self) -> set[int]:
        """Return the ended processes that count against it."""
        since = max(self.answered_at, self.released_at)
        return {start for start, at in self.ends.items() if at > since}

    def count(self) -> int:
        """Return the number of ends that count against it."""
        return len(self.list_counted_starts())

    def has_few_ends(self) -> bool:
        """Whether it has too few ends to be blocked in any case."""
        return self.count() < self._thresholds.unshared

    def was_recently_answered(self) -> bool:
        """Whether it was answered shortly before the ends that count."""
        counted = self.list_counted_starts()
        if not counted:
            return True
        first = min(self.ends[start] for start in counted)
        return first - self.answered_at <= RECENT_ANSWER_SECONDS

    def find_last_update(self) -> float:
        """Return when it last ended an endpoint, was answered or released."""
        return max(self.answered_at, self.released_at, *self.ends.values())

    def find_block_seconds(self) -> float:
        """Return how long it is blocked from its last end, 0 if it is not."""
        over = self.count() - self._thresholds.unshared
        if over < 0:
            return 0.0
        return min(MAX_BLOCK_SECONDS, MIN_BLOCK_SECONDS * 2.0**over)

    def is_cause(
        self, others: Iterable['Suspect'], explained: frozenset[int]
    ) -> bool:
        """Whether it, and not another suspect, counts as the cause.

        :param others: the other suspects that may be the cause instead.
        :param explained: ended processes of which a blocked part is the cause.
        """
        starts = self.list_counted_starts() - explained
        if self.was_recently_answered():
            outages = self._count_outages(starts)
            return outages >= self._thresholds.recently_answered
        if len(starts) < self._thresholds.unshared:
            return False
        if len(starts) >= self._thresholds.shared:
            return True
        return not any(
            starts <= other.list_counted_starts() for other in others
        )

    def _count_outages(self, starts: set[int]) -> int:
        """Return the number of ends; for a part, those close together as one.

        A part that many requests share runs on many endpoints at any time.
        """
        if not self.is_part:
            return len(starts)
        count = 0
        last = float('-inf')
        for at in sorted(self.ends[start] for start in starts):
            if at - last >= SAME_OUTAGE_SECONDS:
                count += 1
                last = at
        return count


#: Returns whether all reports about a suspect's last end are known.
IsDue = Callable[[str, Suspect], bool]


def find_causes(known: Mapping[str, Suspect], is_due: IsDue) -> set[str]:
    """Return the suspects to block.

    Parts that were not answered come first.  The ends of those that are
    blocked count against nothing else.
    """
    requests = {name: one for name, one in known.items() if not one.is_part}
    parts = {name: one for name, one in known.items() if one.is_part}
    unanswered = {
        name: one
        for name, one in parts.items()
        if not one.was_recently_answered()
    }
    causes = _find_unanswered_causes(unanswered, is_due)
    explained = _list_starts(parts, causes)
    for name in parts.keys() - unanswered.keys():
        if is_due(name, parts[name]) and parts[name].is_cause([], explained):
            causes.add(name)
    explained = _list_starts(parts, causes)
    rivals = [*requests.values(), *unanswered.values()]
    for name, request in requests.items():
        if request.has_few_ends() or not is_due(name, request):
            continue
        others = [one for one in rivals if one is not request]
        if request.is_cause(others, explained):
            causes.add(name)
    return causes


def _find_unanswered_causes(
    parts: Mapping[str, Suspect], is_due: IsDue
) -> set[str]:
    """Return the causes among parts that were not answered recently.

    A part that was running only at ends of another one, which has more, is
    taken to be harmless.  If it is not, its next end shows that.
    """
    causes: set[str] = set()
    for name in sorted(parts, key=lambda one: -parts[one].count()):
        part = parts[name]
        if part.has_few_ends() or not is_due(name, part):
            continue
        starts = part.list_counted_starts()
        if any(starts < parts[one].list_counted_starts() for one in causes):
            continue
        others = [one for one in parts.values() if one is not part]
        if part.is_cause(others, frozenset()):
            causes.add(name)
    return causes


def _list_starts(
    parts: Mapping[str, Suspect], names: set[str]
) -> frozenset[int]:
    """Return the ended processes that count against some parts."""
    return frozenset().union(
        *(parts[name].list_counted_starts() for name in names)
    )
