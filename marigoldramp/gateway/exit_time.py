"""When a process that is being stopped exits, and what no longer fits.

A stop can begin between the admission of a request and its sending.  Whoever
sends it therefore asks here again, right before it does.
"""

import contextlib
import math
from typing import Iterator

import anyio

from . import calls

#: How long before the exit the last answers must be ready.
ANSWER_SECONDS = 0.1


class ExitTime:
    """The time of the exit, as far as it is known.

    :ivar at: when the process exits at the latest, by
        :func:`.boot_clock.read_clock`; infinite unless it is being stopped.
    """

    __slots__ = ('at', '_waits')

    def __init__(self) -> None:
        self.at = math.inf
        # The deadlines of waits, by the scopes that they are in.
        self._waits: dict[anyio.CancelScope, float] = {}

    def announce(self, at: float) -> None:
        """Set the time of the exit; interrupt waits that it makes useless."""
        self.at = at
        for scope, deadline in self._waits.items():
            if self.precedes(deadline):
                scope.cancel()

    def precedes(self, deadline: float) -> bool:
        """Whether an answer may come too late that is due by a deadline."""
        return deadline > self.at - ANSWER_SECONDS

    def rules_out(self, call: calls.Call) -> bool:
        """Whether a call must not be sent, as it may be cut off.

        A stream that has begun goes on at another endpoint: it would be cut
        off for certain otherwise.
        """
        return not call.exchange.begun and self.precedes(call.deadline)

    @contextlib.contextmanager
    def interrupt(self, deadline: float) -> Iterator[None]:
        """Interrupt a wait once it is known that it cannot end in time.

        :param deadline: when the answer is due for which something waits.
        """
        with anyio.CancelScope() as scope:
            self._waits[scope] = deadline
            try:
                if self.precedes(deadline):
                    scope.cancel()
                yield
            finally:
                del self._waits[scope]
