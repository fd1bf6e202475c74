"""Ways to choose endpoints that differ in speed, under swinging demand.

Compares random choice, the rule by requests in flight, the product's own
table, and a choice that knows everything, on one simulated plain service.
"""

import dataclasses
import math
import pathlib

from . import tables
from . import uneven_site as site

GATEWAYS = (6, 55)
#: Endpoints by data centre, and requests per second of the quiet load.
SERVICES = ((1, 1, 1), (3, 2, 2), (22, 21, 21))
QUIET_RATE = 2.0
BUSY_LOAD = 0.6
FACTORS = (1.0, 2.0, 4.0, 12.0)
#: Fewest requests of a case; it is repeated with other inputs until then.
MIN_REQUESTS = 10000
WAYS = ('random', 'in flight', 'new', 'optimum')


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Result:
    """What came of one way.

    :ivar served: share of requests within their objective.
    :ivar seconds: mean time to an answer.
    :ivar slow: share of requests that the slow endpoint gets, from 2 s after
        the change.
    :ivar fair: the same by the optimum.
    :ivar recovered: its share after it has recovered, over an equal one.
    :ivar remote: part of requests sent to other data centres.
    """

    way: str
    gateways: int
    endpoints: int
    load: str
    factor: float
    served: float
    seconds: float
    slow: float
    fair: float
    recovered: float
    remote: float


def measure(case: site.Case, seed: int) -> list[Result]:
    """Return what comes of all ways in one deployment."""
    plans = {way: site.Plan(way, case, seed) for way in WAYS}
    for plan in plans.values():
        plan.play()
    fair = plans['optimum'].find_share(site.SLOW_AT, site.RECOVERED_AT)
    return [
        describe(way, case, plan, fair=fair) for way, plan in plans.items()
    ]


def describe(
    way: str, case: site.Case, plan: site.Plan, *, fair: float
) -> Result:
    """Return the result of one run."""
    count = sum(case.service)
    in_time = sum(one <= site.OBJECTIVE_SECONDS for one in plan.times)
    recovered = plan.find_share(site.RECOVERED_AT, site.END_AT)
    return Result(
        way=way,
        gateways=case.gateways,
        endpoints=count,
        load=name_load(case),
        factor=case.factor,
        served=in_time / len(plan.times),
        seconds=sum(plan.times) / len(plan.times),
        slow=plan.find_share(site.SLOW_AT, site.RECOVERED_AT),
        fair=fair,
        recovered=recovered * count,
        remote=plan.remote / len(plan.sends),
    )


def name_load(case: site.Case) -> str:
    """Return the name of a load."""
    return 'quiet' if case.rate == QUIET_RATE else 'busy'


def average(case: site.Case, seed: int) -> list[Result]:
    """Return the means over some inputs."""
    each = case.rate * sum(case.service) * site.END_AT
    count = math.ceil(MIN_REQUESTS / each)
    rows = [measure(case, seed + one) for one in range(count)]
    return [tables.average(list(same)) for same in zip(*rows)]


def run(*, seed: int, out: pathlib.Path) -> None:
    """Measure all ways; write a table."""
    busy = BUSY_LOAD * site.SLOTS / site.SERVICE_SECONDS
    rows = []
    for service in SERVICES:
        for gateways in GATEWAYS:
            for rate in (QUIET_RATE, busy):
                for factor in FACTORS:
                    case = site.Case(
                        gateways=gateways,
                        service=service,
                        factor=factor,
                        rate=rate,
                    )
                    rows += average(case, seed)
    tables.write(rows=rows, path=out / 'uneven.csv')
