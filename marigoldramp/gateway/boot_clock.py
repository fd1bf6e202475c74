"""The clock that measures how old data is.

The usual monotonic clock stands still while an instance is suspended.  An
age counted by it would be too small by that time: a revoked key, for example,
would still be accepted after the instance wakes.
"""

import time


def read_clock() -> float:
    """Return seconds since boot, with the time of suspension."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)
