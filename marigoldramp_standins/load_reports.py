"""Load reports of the engine stand-in, which lag behind."""

import collections
import time
from typing import Callable

import msgspec


class LoadReport(msgspec.Struct, frozen=True, kw_only=True):
    """Load of an engine as it was ``age`` seconds ago.

    :ivar tokens: tokens of the jobs in the batch.
    """

    running: int = 0
    waiting: int = 0
    tokens: int = 0
    slots: int = 0
    age: float = 0.0


class LoadLog:
    """Remembers the load so far back as the lag reaches."""

    __slots__ = ('lag', '_clock', '_shown', '_later')

    def __init__(
        self,
        *,
        lag: float = 0.0,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self.lag = lag
        self._clock = clock
        self._shown = LoadReport()
        self._later: collections.deque[tuple[float, LoadReport]] = (
            collections.deque()
        )

    def note(self, *, report: LoadReport) -> None:
        """Note the load of this moment."""
        self._later.append((self._clock(), report))
        self._advance()

    def read(self) -> LoadReport:
        """Return the load as it was ``lag`` seconds ago."""
        self._advance()
        return msgspec.structs.replace(self._shown, age=self.lag)

    def _advance(self) -> None:
        visible = self._clock() - self.lag
        while self._later and self._later[0][0] <= visible:
            self._shown = self._later.popleft()[1]
