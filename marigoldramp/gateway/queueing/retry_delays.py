"""When refused callers are asked to come back."""

import math
import random as random_module
from typing import Callable
from typing import Sequence

from ..balancing import endpoints
from . import opening_times

#: Shortest retry delay that a refused caller is given.
MIN_RETRY_AFTER_SECONDS = 0.1
#: Maximum jitter added to the retry delay of refused callers.
MAX_RETRY_JITTER_SECONDS = 0.5
#: Longest wait that a retry delay follows: callers do not wait much longer,
#: and bursts end meanwhile.
MAX_WAIT_SECONDS = 2.0


def estimate_retry_delay(
    known: Sequence[endpoints.Endpoint],
    *,
    queued: int,
    slots: Callable[[endpoints.Endpoint], float],
    random: random_module.Random,
    now: float,
) -> float:
    """Return the expected seconds until a slot is free.

    :param known: the endpoints of a service.
    :param queued: its queued requests.
    :param slots: returns how many requests an endpoint may run at once.
    """
    staying = [one for one in known if not one.is_leaving]
    opens_at = opening_times.list_opening_times(staying, queued + 1)[-1]
    delay = opens_at - now
    if math.isinf(opens_at):
        delay = _find_unshared_interval(staying, now)
    if delay > 0.0:
        # Without jitter the callers retry together and are refused again.
        return delay + random.uniform(0.0, MAX_RETRY_JITTER_SECONDS)
    total = sum(slots(endpoint) for endpoint in known)
    times = [endpoint.seconds for endpoint in known if endpoint.seconds]
    if not total or not times:
        return MIN_RETRY_AFTER_SECONDS * 5.0
    mean = sum(times) / len(times)
    return max(MIN_RETRY_AFTER_SECONDS, mean * (queued + 1) / total)


def spread_retry_delay(wait: float, *, random: random_module.Random) -> float:
    """Return a retry delay for a request that was refused early.

    :param wait: seconds until it would have got a slot.
    """
    wait = min(wait, MAX_WAIT_SECONDS)
    longest = wait + MAX_RETRY_JITTER_SECONDS
    return max(MIN_RETRY_AFTER_SECONDS, random.uniform(wait / 2.0, longest))


def _find_unshared_interval(
    staying: Sequence[endpoints.Endpoint], now: float
) -> float:
    """Return the seconds between two requests of all gateways together.

    Callers come back to other gateways, which may have shares of the rate
    limits.
    """
    rate = sum(one.rate_limit.find_rate(now=now) for one in staying)
    return 1.0 / rate if rate else MIN_RETRY_AFTER_SECONDS
