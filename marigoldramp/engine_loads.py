"""What an engine's own load report adds to the agent's queue.

The agent knows its own calls better than the engine's report does, which
lags.  Only the report shows work that came to the engine another way, and
how old that knowledge is.
"""

import collections
import dataclasses
from typing import Callable

import msgspec

from . import messages

MILLISECONDS = 1000.0
#: The agent's own count is remembered for so many seconds and changes.
HISTORY_SECONDS = 10.0
MOST_HISTORY = 4096
#: Seconds by which the age in a report may be wrong.
SLACK = 0.5
#: A report is believed for so many seconds.
STALE_SECONDS = 10.0
LONGEST_AGE = 60.0


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class _Count:
    at: float
    calls: int


class EngineLoad:
    """Tells the work on an engine that is not this agent's.

    :param clock: monotonic seconds.
    """

    __slots__ = ('_clock', '_own', '_history', '_others', '_as_of')

    def __init__(self, *, clock: Callable[[], float]) -> None:
        self._clock = clock
        self._own = 0
        self._history: collections.deque[_Count] = collections.deque(
            [_Count(at=clock(), calls=0)], maxlen=MOST_HISTORY
        )
        self._others = 0
        self._as_of: float | None = None

    def begin(self) -> None:
        """Note that a call of this agent is going to the engine."""
        self._note(1)

    def end(self) -> None:
        """Note that it has ended."""
        self._note(-1)

    def report(self, *, calls: int, age: float) -> None:
        """Take the engine's count of calls as it was ``age`` seconds ago.

        The count is compared with the highest that the agent had around
        that time.  A report that is lower than what the agent itself has
        there is late or wrong, and adds nothing.
        """
        self._as_of = self._clock() - max(0.0, age)
        own = self._most_own(self._as_of)
        self._others = max(0, calls - own)

    def add_to(self, load: messages.Load) -> messages.Load:
        """Return the agent's load with what others run on the engine.

        No more than the engine's slots are added, so that a wrong report
        makes an endpoint look taken, but never worse than that.
        """
        if self._as_of is None:
            return load
        age = min(LONGEST_AGE, self._clock() - self._as_of)
        others = self._others if age <= STALE_SECONDS else 0
        return msgspec.structs.replace(
            load,
            running=load.running + min(others, load.slots),
            age_ms=round(age * MILLISECONDS),
        )

    def _note(self, change: int) -> None:
        now = self._clock()
        self._own += change
        self._history.append(_Count(at=now, calls=self._own))
        while (
            len(self._history) > 1
            and self._history[1].at < now - HISTORY_SECONDS
        ):
            self._history.popleft()

    def _most_own(self, at: float) -> int:
        """Return the highest own count around a time."""
        most = 0
        for position, count in enumerate(self._history):
            if count.at > at + SLACK:
                break
            following = position + 1
            if following < len(self._history):
                if self._history[following].at < at - SLACK:
                    continue
            most = max(most, count.calls)
        return most
