"""Ways to divide the bounds on requests to endpoints among gateways.

All endpoints of a service name a limit, or are cold.  Compares equal parts, a
few holders for each endpoint, and tokens that one gateway deals for each
endpoint, on drawn demand: how much of the limits is used, and how many
requests an endpoint gets in one window at the most.
"""

import collections
import dataclasses
import pathlib
import random
from typing import Callable

from marigoldramp.gateway.shared_state import bounds

from . import tables

#: Gateways and endpoints.
SIZES = ((6, 1), (6, 16), (36, 1), (36, 40), (350, 1), (350, 190))
RATES = (1.0, 5.0)
#: The same for cold endpoints, with rate, factor and extra.
COLD_SIZES = ((2, 1), (6, 21), (26, 21), (55, 1), (55, 21), (350, 190))
COLD_BOUNDS = ((15.0, 1.5, 5.0), (1.0, 1.0, 2.0))
#: Demand as a multiple of the limits.
LOADS = (1.0, 2.0)
#: Requests for each endpoint.
REQUESTS = 600
#: Time for which a request can wait at its gateway.
PATIENCE_SECONDS = 1.0


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Case:
    """One deployment.

    :ivar rate: limit of each endpoint, in requests per second.
    :ivar bound: the bound of each endpoint.
    """

    gateways: int
    endpoints: int
    rate: float
    load: float
    bound: bounds.Bound = dataclasses.field(repr=False)


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Result:
    """What came of one way.

    :ivar window: seconds.
    :ivar used: part of the limits that was used.
    :ivar worst: most requests of an endpoint in a window.
    :ivar allowed: how many it accepts in a window.
    """

    way: str
    gateways: int
    endpoints: int
    rate: float
    load: float
    window: float
    used: float
    worst: int
    allowed: float


@dataclasses.dataclass(slots=True, kw_only=True)
class Part:
    """The right of some gateways to send requests to an endpoint."""

    endpoint: int
    rate: float
    opens_at: float = 0.0


#: The parts that each gateway can use.
Parts = list[list[Part]]


def give_equal_parts(case: Case, draw: random.Random) -> Parts:
    """Give each gateway an equal part of each limit."""
    rate = case.rate / case.gateways
    return [
        [Part(endpoint=one, rate=rate) for one in range(case.endpoints)]
        for _ in range(case.gateways)
    ]


def give_to_holders(case: Case, draw: random.Random) -> Parts:
    """Give a few gateways equal parts, as the product does."""
    division = case.bound.divide(case.gateways)
    parts: Parts = [[] for _ in range(case.gateways)]
    for endpoint in range(case.endpoints):
        for holder in draw.sample(range(case.gateways), division.holders):
            part = Part(endpoint=endpoint, rate=division.share)
            parts[holder].append(part)
    return parts


def deal_tokens(case: Case, draw: random.Random) -> Parts:
    """Deal tokens for each endpoint to all gateways."""
    dealt = [
        Part(endpoint=one, rate=case.rate) for one in range(case.endpoints)
    ]
    return [dealt] * case.gateways


def deal_tokens_twice(case: Case, draw: random.Random) -> Parts:
    """Deal tokens on both sides of a partition."""
    sides = [deal_tokens(case, draw)[0], deal_tokens(case, draw)[0]]
    return [sides[number % 2] for number in range(case.gateways)]


WAYS: dict[str, Callable[[Case, random.Random], Parts]] = {
    'equal parts': give_equal_parts,
    'a few holders': give_to_holders,
    'tokens dealt': deal_tokens,
    'tokens dealt twice': deal_tokens_twice,
}


def send_requests(
    case: Case, parts: Parts, draw: random.Random
) -> list[list[float]]:
    """Return the times of requests by endpoint.

    Each request goes to a random gateway, and there to the endpoint that opens
    first, if that is within the time for which it can wait.
    """
    times: list[list[float]] = [[] for _ in range(case.endpoints)]
    now = 0.0
    for _ in range(REQUESTS * case.endpoints):
        now += draw.expovariate(case.rate * case.load * case.endpoints)
        usable = draw.choice(parts)
        if not usable:
            continue
        part = min(usable, key=lambda one: (one.opens_at, draw.random()))
        start = max(now, part.opens_at)
        if start - now <= PATIENCE_SECONDS:
            part.opens_at = start + 1.0 / part.rate
            times[part.endpoint].append(start)
    return times


def find_worst_window(times: list[float], seconds: float) -> int:
    """Return the largest number of requests in a window."""
    window: collections.deque[float] = collections.deque()
    worst = 0
    for at in sorted(times):
        window.append(at)
        while window[0] < at - seconds:
            window.popleft()
        worst = max(worst, len(window))
    return worst


def measure(way: str, case: Case, seed: int) -> Result:
    """Return what comes of one way in one deployment."""
    draw = random.Random(f'{seed} {case}')
    times = send_requests(case, WAYS[way](case, draw), draw)
    limit = REQUESTS * case.endpoints / case.load
    return Result(
        way=way,
        gateways=case.gateways,
        endpoints=case.endpoints,
        rate=case.rate,
        load=case.load,
        window=case.bound.window,
        used=sum(map(len, times)) / limit,
        worst=max(find_worst_window(one, case.bound.window) for one in times),
        allowed=case.bound.allowed,
    )


def run(*, seed: int, out: pathlib.Path) -> None:
    """Measure all ways; write a table."""
    cases = [
        Case(
            gateways=gateways,
            endpoints=endpoints,
            rate=rate,
            load=load,
            bound=bounds.make_named(rate),
        )
        for gateways, endpoints in SIZES
        for rate in RATES
        for load in LOADS
    ]
    cases += [
        Case(
            gateways=gateways,
            endpoints=endpoints,
            rate=rate,
            load=2.0,
            bound=bounds.make_cold(rate, factor=factor, extra=extra),
        )
        for gateways, endpoints in COLD_SIZES
        for rate, factor, extra in COLD_BOUNDS
    ]
    rows = [measure(way, case, seed) for case in cases for way in WAYS]
    tables.write(rows=rows, path=out / 'rate_shares.csv')
