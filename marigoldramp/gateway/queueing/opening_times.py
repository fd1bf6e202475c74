"""When the endpoints of a service next accept requests.

An endpoint with a rate limit accepts one request at a time and then is closed
for a while, so requests that wait for it start one after the other.
"""

import heapq
from typing import Sequence

from ..balancing import endpoints


def list_opening_times(
    known: Sequence[endpoints.Endpoint], count: int
) -> list[float]:
    """Return the earliest start times of the next requests, in order.

    Free slots are not considered.

    :param known: endpoints that are not shutting down.  If there are none,
        the times are 0, as a replacement may register at any time.
    :param count: number of times to return; infinite for requests that no
        endpoint will accept.
    """
    if not known:
        return [0.0] * count
    unlimited = [one.opens_at for one in known if not one.rate_limit.interval]
    always = min(unlimited, default=float('inf'))
    limited = [
        (one.opens_at, one.rate_limit.interval)
        for one in known
        if one.rate_limit.interval
    ]
    heapq.heapify(limited)
    times: list[float] = []
    while len(times) < count:
        opens_at, interval = limited[0] if limited else (always, 0.0)
        if always <= opens_at:
            return times + [always] * (count - len(times))
        times.append(opens_at)
        heapq.heapreplace(limited, (opens_at + interval, interval))
    return times
