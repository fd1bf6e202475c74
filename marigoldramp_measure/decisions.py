"""Processor time of what a gateway decides, by the size of its group."""

import asyncio
import dataclasses
import pathlib
import random
import time
from typing import Callable

from marigoldramp import expert_maps
from marigoldramp.gateway.balancing import endpoints
from marigoldramp.gateway import deployment
from marigoldramp.gateway import expert_planner
from marigoldramp.gateway.queueing import concurrency_limits
from marigoldramp.gateway import rank_transport
from marigoldramp import layer_moves
from marigoldramp import map_moves
from marigoldramp import placement

from . import tables

ROUNDS = 5
CALLS = 2000
SHIFTS = 5
#: Part of the choices of a layer that a shift moves, and how unlike experts
#: are: a skew of some 3 is left in a group of 72.
MOVED = 0.6
TAIL = 2.2
SHAPES = (
    expert_maps.Shape(ranks=16, experts=64, layers=4, slots=5),
    expert_maps.Shape(ranks=72, experts=144, layers=12, slots=3),
    expert_maps.Shape(ranks=192, experts=384, layers=10, slots=3),
)
#: Endpoints among which one is chosen.
TABLE_SIZES = (64, 350)
#: Copies of a rank for one change.
COPIES = 5
GAIN = 0.0006


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Row:
    """One decision; the fastest and the slowest of some rounds."""

    decision: str
    ranks: int
    fastest_ms: float
    slowest_ms: float


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class PlanRow:
    """Plans after some shifts, means."""

    ranks: int
    milliseconds: float
    copies: float
    skew_before: float
    skew_after: float


def run(*, seed: int, out: pathlib.Path) -> None:
    """Measure a choice, a pass that is noted, and plans after shifts."""
    rows = []
    for shape in SHAPES:
        table = _make_table(shape.ranks, seed)
        for decision, work in (
            ('choose an endpoint', _make_choosing(table)),
            ('note a pass', _make_noting(table, shape.ranks)),
        ):
            rows.append(_measure(decision, shape.ranks, work))
    for size in TABLE_SIZES:
        for decision, every in (('warm', 0), ('a third is cold', 3)):
            table = _make_table(size, seed, cold_every=every)
            work = _make_choosing(table)
            rows.append(_measure(f'choose, {decision}', size, work))
    tables.write(rows=rows, path=out / 'decisions.csv')
    plans = [asyncio.run(_plan(shape, seed)) for shape in SHAPES]
    tables.write(rows=plans, path=out / 'plans.csv')


def _make_table(
    ranks: int, seed: int, *, cold_every: int = 0
) -> endpoints.EndpointTable:
    table = endpoints.EndpointTable(
        data_centre='0', random=random.Random(seed)
    )
    for number in range(ranks):
        table.put(
            deployment.EndpointRecord(
                identity=f'rank-{number}',
                service='notes',
                host='127.0.0.1',
                port=1 + number,
                data_centre=str(number % 3),
                slots=5,
                leaving=False,
            )
        )
        endpoint = table.find(f'rank-{number}')
        assert endpoint is not None
        endpoint.peer_requests = number % 5
        if cold_every:
            endpoint.rate_limit.cold.is_cold = number % cold_every == 0
    return table


def _make_choosing(table: endpoints.EndpointTable) -> Callable[[], None]:
    def choose() -> None:
        table.choose(
            service='notes',
            now=1.0,
            slots=lambda one: 5.0,
            avoid=frozenset(),
        )

    return choose


def _make_noting(
    table: endpoints.EndpointTable, ranks: int
) -> Callable[[], None]:
    now = 0.0

    def count() -> float:
        return sum(one.in_flight for one in table) / ranks

    limiter = concurrency_limits.ConcurrencyLimiter(
        clock=lambda: now, running=count
    )
    limiter.limit(5.0)

    def note() -> None:
        nonlocal now
        now += 0.1
        limiter.note_pause(seconds=0.1, accepted_pause=0.12)

    return note


def _measure(decision: str, ranks: int, work: Callable[[], object]) -> Row:
    rounds = []
    for _ in range(ROUNDS):
        began = time.process_time()
        for _ in range(CALLS):
            work()
        rounds.append((time.process_time() - began) / CALLS * 1000.0)
    return Row(
        decision=decision,
        ranks=ranks,
        fastest_ms=min(rounds),
        slowest_ms=max(rounds),
    )


async def _plan(shape: expert_maps.Shape, seed: int) -> PlanRow:
    draw = random.Random(seed)
    popular = [
        [draw.paretovariate(TAIL) for _ in range(shape.experts)]
        for _ in range(shape.layers)
    ]
    layers = rank_transport.initial_map(shape=shape).layers
    layers = await _improve(shape, layers, popular)
    rows = []
    for _ in range(SHIFTS):
        for row in popular:
            moved = draw.sample(
                range(shape.experts), int(MOVED * shape.experts)
            )
            values = [row[one] for one in moved]
            draw.shuffle(values)
            for one, value in zip(moved, values):
                row[one] = value
        began = time.process_time()
        new = await _improve(shape, layers, popular)
        took = time.process_time() - began
        rows.append(
            PlanRow(
                ranks=shape.ranks,
                milliseconds=took * 1000.0,
                copies=float(placement.count_loads(old=layers, new=new)),
                skew_before=expert_planner.mean_skew(layers, popular, {}),
                skew_after=expert_planner.mean_skew(new, popular, {}),
            )
        )
        layers = new
    return tables.average(rows)


async def _improve(
    shape: expert_maps.Shape,
    layers: tuple[expert_maps.Layer, ...],
    popular: list[list[float]],
) -> tuple[expert_maps.Layer, ...]:
    copies_left = [COPIES] * shape.ranks
    return await map_moves.MapSearch(
        searches=[
            layer_moves.LayerSearch(
                layer=layer,
                popularity=row,
                slots=shape.slots,
                most_new=2,
                most_others=expert_planner.MAX_TARGET_RANKS,
                copies_left=copies_left,
            )
            for layer, row in zip(layers, popular)
        ],
        min_gain_per_copy=GAIN,
        max_moves=int(expert_planner.MAX_MOVES_PER_RANK * shape.ranks),
    ).improve()
