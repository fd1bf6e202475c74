"""How long the calls in flight can be delayed without breaking a promise."""

import math
from typing import Iterable

from . import executions


def find(
    *,
    running: Iterable[executions.Execution],
    service_seconds: float,
    now: float,
) -> float:
    """Return the seconds by which every running call can be delayed.

    What a call still needs is not known.  The smoothed service time less the
    time that it has run stands for it: with the whole service time, a call
    about to end would always seem late, and under load there is always one.
    """
    return min(
        (
            execution.deadline
            - now
            - max(0.0, service_seconds - (now - execution.begun))
            for execution in running
            if execution.state is executions.State.RUNNING
        ),
        default=math.inf,
    )
