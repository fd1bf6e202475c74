"""Capacity that less urgent requests leave to more urgent ones.

A gateway learns of a request at another one only after a report.  Requests
that arrive meanwhile find a free slot if less urgent ones have left some.
"""

import math
from typing import Mapping

#: Largest part of the capacity that is reserved: it is idle while urgent
#: requests come more slowly than forecast.
MAX_SHARE = 0.125
#: Standard deviations of the arrivals within the delay that are reserved
#: beyond their mean.
DEVIATIONS = 1.0


def find_reserve(
    *,
    priority: int,
    arrivals: Mapping[int, float],
    waiting: Mapping[int, int],
    delay: float,
    limit: float,
) -> float:
    """Return how many slots a request must leave free.

    :param priority: its priority; 0 is the most urgent.
    :param arrivals: requests per second of all gateways, by priority.
    :param waiting: requests queued at other gateways, by priority.
    :param delay: seconds until a gateway learns of requests at another.
    :param limit: slots of the service.
    """
    rate = sum(rate for one, rate in arrivals.items() if one < priority)
    expected = delay * rate
    queued = sum(count for one, count in waiting.items() if one < priority)
    forecast = expected + DEVIATIONS * math.sqrt(expected) + queued
    return min(forecast, MAX_SHARE * limit)
