"""Measures ways to divide scarce capacity between kinds and customers.

A burst of the least urgent kind meets the usual demand of the others.  All
ways use the product's dispatcher, on gateways whose reports are 0.3 s old.
"""

import dataclasses
import pathlib
import random as random_module
from typing import Sequence

from . import contended_fleet
from . import engine_model
from . import tables
from . import virtual

Call = contended_fleet.Call
Way = contended_fleet.Way

WAYS = (
    Way(name='before'),
    Way(name='first come', ordered=False),
    Way(name='strict', marked=True),
    Way(name='new', marked=True, competing=True),
    Way(name='one queue', marked=True, competing=True, single=True),
)
WAYS_WITH_GREEDY = (WAYS[0], WAYS[3])
SIZES = (6, 26, 55)
#: Demand in the burst as a multiple of the capacity.
LOADS = (1.2, 1.6, 2.5)
#: Demand of the two more urgent kinds, and of all before and after the burst.
LIVE_LOAD = 0.25
ADAPT_LOAD = 0.11
QUIET_LOAD = 0.7
BURST_AT = 4.0
BURST_ENDS = 9.0
SECONDS = 14.0
#: Time for which gateways have known the usual demand of customers.
HISTORY_SECONDS = 100.0
#: Time after the start of the burst from which goodput is counted.
SETTLING = 1.0
WINDOW = 0.5
#: Part of the share in the objective before the burst that counts as
#: recovered.
RECOVERED_SHARE = 0.95
CUSTOMERS = 24
GREEDY_CUSTOMER = 'c-3'
GREEDY_FACTOR = 10.0
GREEDY_LOAD = 1.6


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Case:
    """One burst.

    :ivar load: demand as a multiple of the capacity.
    :ivar live: part of it of the most urgent kind.
    :ivar greedy: kind of which a customer sends ten times its usual requests
        and retries at once; empty for none.
    """

    gateways: int
    load: float
    live: float = LIVE_LOAD
    greedy: str = ''


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Result:
    """The figures of one way in one burst.

    Shares are of the requests of the burst.  Fields ending in ``_served`` are
    the share of a kind that is served, those ending in ``_on_time`` the share
    that is in its objective.

    :ivar refused: share of requests with at least one refused attempt.
    :ivar others: share of the other customers' requests that is served.
    :ivar least: least share of a customer over that of all requests.
    :ivar refused_wait: 99th percentile of the wait of refused attempts over
        their objective.
    :ivar goodput: requests served over the capacity.
    :ivar recovery: seconds after the burst until as many requests are in
        their objective as before it.
    """

    way: str
    gateways: int
    load: float
    greedy: str
    live_served: float
    adapt_served: float
    overnight_served: float
    live_on_time: float
    adapt_on_time: float
    overnight_on_time: float
    refused: float
    others: float
    least: float
    refused_wait: float
    goodput: float
    recovery: float


def find_customer_shares() -> dict[str, float]:
    """Return the parts of the customers in the usual demand."""
    sizes = [1.0 / (1.0 + n) ** 0.7 for n in range(CUSTOMERS)]
    return {f'c-{n}': one / sum(sizes) for n, one in enumerate(sizes)}


def make_calls(case: Case, random: random_module.Random) -> list[Call]:
    """Return the requests of a run."""
    capacity = engine_model.find_capacity(contended_fleet.ENDPOINTS)
    shares = find_customer_shares()
    calls = []
    for kind in contended_fleet.KINDS:
        for at, until, load in (
            (0.0, BURST_AT, QUIET_LOAD),
            (BURST_AT, BURST_ENDS, case.load),
            (BURST_ENDS, SECONDS, QUIET_LOAD),
        ):
            loads = {'live': case.live, 'adapt': ADAPT_LOAD}
            if load == QUIET_LOAD:
                loads['live'] = LIVE_LOAD
            rest = load - sum(loads.values())
            rate = loads.get(kind.name, rest) * capacity
            if case.greedy == kind.name and at == BURST_AT:
                usual = QUIET_LOAD - LIVE_LOAD - ADAPT_LOAD
                usual = loads.get(kind.name, usual) * capacity
                extra = GREEDY_FACTOR * usual * shares[GREEDY_CUSTOMER]
                calls += _make_stream(
                    kind, random, at, until, extra, {GREEDY_CUSTOMER: 1.0}
                )
            calls += _make_stream(kind, random, at, until, rate, shares)
    return sorted(calls, key=lambda one: one.at)


def _make_stream(
    kind: contended_fleet.Kind,
    random: random_module.Random,
    at: float,
    until: float,
    rate: float,
    shares: dict[str, float],
) -> list[Call]:
    calls = []
    while (at := at + random.expovariate(rate)) < until:
        tokens = engine_model.MEAN_ANSWER_TOKENS
        tokens = random.randint(tokens // 2, tokens * 3 // 2)
        customer = random.choices(list(shares), list(shares.values()))[0]
        calls.append(
            Call(
                at=at,
                kind=kind,
                customer=customer,
                is_eager=len(shares) == 1
                or random.random() < contended_fleet.EAGER_SHARE,
                prompt_tokens=int(
                    random.uniform(0.5, 1.5) * engine_model.MEAN_PROMPT_TOKENS
                ),
                passes=engine_model.count_passes(tokens),
            )
        )
    return calls


def measure(way: Way, case: Case, seed: int) -> Result:
    """Return the figures of one way in one burst."""
    random = random_module.Random(f'{seed} {case.gateways} {case.load}')
    calls = make_calls(case, random)

    async def main() -> None:
        fleet = contended_fleet.Fleet(
            way=way, gateways=case.gateways, random=random
        )
        fleet.note_history(
            find_customer_shares(),
            rate=QUIET_LOAD
            * engine_model.find_capacity(contended_fleet.ENDPOINTS),
            seconds=HISTORY_SECONDS,
        )
        await fleet.serve(calls)

    virtual.drive(main)
    return summarise(way, case, calls)


def summarise(way: Way, case: Case, calls: Sequence[Call]) -> Result:
    """Return the figures of a run."""
    burst = [one for one in calls if BURST_AT <= one.at < BURST_ENDS]
    kinds = {
        kind.name: [one for one in burst if one.kind is kind]
        for kind in contended_fleet.KINDS
    }
    others = [
        one
        for one in burst
        if not case.greedy or one.customer != GREEDY_CUSTOMER
    ]
    by_customer = [
        _share_served([one for one in burst if one.customer == f'c-{n}'])
        for n in range(CUSTOMERS)
    ]
    counted = BURST_ENDS - BURST_AT - SETTLING
    ended = [
        one
        for one in calls
        if one.ended_at is not None
        and BURST_AT + SETTLING <= one.ended_at < BURST_ENDS
    ]
    capacity = engine_model.find_capacity(contended_fleet.ENDPOINTS)
    return Result(
        way=way.name,
        gateways=case.gateways,
        load=case.load,
        greedy=case.greedy,
        live_served=_share_served(kinds['live']),
        adapt_served=_share_served(kinds['adapt']),
        overnight_served=_share_served(kinds['overnight']),
        live_on_time=_share_on_time(kinds['live']),
        adapt_on_time=_share_on_time(kinds['adapt']),
        overnight_on_time=_share_on_time(kinds['overnight']),
        refused=sum(bool(one.waits) for one in burst) / len(burst),
        others=_share_served(others),
        least=min(by_customer) / _share_served(burst),
        refused_wait=tables.quantile(
            [wait / one.kind.objective for one in burst for wait in one.waits],
            0.99,
        ),
        goodput=len(ended) / counted / capacity,
        recovery=_find_recovery(calls),
    )


def _share_served(calls: Sequence[Call]) -> float:
    served = sum(one.ended_at is not None for one in calls)
    return served / max(1, len(calls))


def _share_on_time(calls: Sequence[Call]) -> float:
    return sum(one.is_on_time for one in calls) / max(1, len(calls))


def _find_recovery(calls: Sequence[Call]) -> float:
    """Return the seconds after the burst until all windows have recovered."""
    before = [one for one in calls if SETTLING <= one.at < BURST_AT]
    least = RECOVERED_SHARE * _share_on_time(before)
    at = SECONDS - WINDOW
    while at >= BURST_ENDS:
        window = [one for one in calls if at <= one.at < at + WINDOW]
        if _share_on_time(window) < least:
            break
        at -= WINDOW
    return at + WINDOW - BURST_ENDS


def run(*, seed: int, out: pathlib.Path) -> None:
    """Measure all ways; write a table."""
    rows = []
    for load in LOADS:
        for way in WAYS:
            for gateways in (1,) if way.single else SIZES:
                case = Case(gateways=gateways, load=load)
                rows.append(measure(way, case, seed))
    for way in WAYS_WITH_GREEDY:
        for gateways in SIZES:
            case = Case(
                gateways=gateways, load=GREEDY_LOAD, greedy='overnight'
            )
            rows.append(measure(way, case, seed))
    tables.write(rows=rows, path=out / 'contention.csv')
