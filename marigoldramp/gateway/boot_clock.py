"""The clock by which the age of a belief is counted.

The usual monotonic clock stands still while an instance is suspended.  An
age counted by it would be too small by that time, seen as a revoked key that
is still accepted after the instance wakes.
"""

import time


def read_clock() -> float:
    """Return seconds since boot, with the time of suspension."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)
