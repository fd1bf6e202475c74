"""The clock that measures how old data is.

The usual monotonic clock stands still while an instance is suspended.  An
age measured with it would lack the time of suspension: a revoked key, for
example, would still be accepted after the instance wakes.
"""

import time


def read_clock() -> float:
    """Return seconds since boot, with the time of suspension."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)
