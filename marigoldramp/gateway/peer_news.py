"""What peers know of the endpoints, compared with what this gateway knows."""

from typing import Callable

import msgspec

from . import listings

#: Seconds for which a peer may know a newer change before this gateway's own
#: watch counts as stalled.
MAX_BEHIND_SECONDS = 0.4


class PeerNews:
    """The newest change and the most complete list that any peer has told.

    :ivar latest: both in one summary; the sender of each may be another.
    :ivar is_behind: peers have known more than this gateway for some time.
    """

    __slots__ = (
        '_clock',
        '_behind_since',
        '_stalled_at',
        'latest',
        'is_behind',
    )

    def __init__(self, *, clock: Callable[[], float]) -> None:
        self._clock = clock
        self._behind_since = float('inf')
        self._stalled_at = 0
        self.latest = listings.Summary(newest=0)
        self.is_behind = False

    def merge(self, told: listings.Summary) -> bool:
        """Take over what a peer has told; return whether it is news."""
        latest = self.latest
        if told.complete < latest.complete:
            if told.newest <= latest.newest:
                return False
            told = msgspec.structs.replace(latest, newest=told.newest)
        merged = msgspec.structs.replace(
            told, newest=max(told.newest, latest.newest)
        )
        if merged == latest:
            return False
        self.latest = merged
        return True

    def note_progress(self) -> None:
        """Record that this gateway's own reading of the store goes on."""
        self._behind_since = float('inf')
        self.is_behind = False

    def find_stall(
        self, held: listings.Summary, *, is_settled: Callable[[], bool]
    ) -> int:
        """Return a revision that peers have known for too long, 0 for none.

        Each revision is returned once.

        :param held: what this gateway knows.
        :param is_settled: whether the list of this gateway is settled.
        """
        ahead = self._find_revision_ahead(held, is_settled)
        if not ahead:
            self.note_progress()
            return 0
        now = self._clock()
        self._behind_since = min(self._behind_since, now)
        if now - self._behind_since <= MAX_BEHIND_SECONDS:
            return 0
        self._behind_since = now
        self.is_behind = True
        if ahead <= self._stalled_at:
            return 0
        self._stalled_at = ahead
        return ahead

    def _find_revision_ahead(
        self, held: listings.Summary, is_settled: Callable[[], bool]
    ) -> int:
        """Return the revision by which peers are ahead, 0 if they are not."""
        latest = self.latest
        if latest.newest > max(held.complete, held.newest):
            return latest.newest
        if latest.is_more_complete(held) and is_settled():
            return latest.complete
        return 0
