"""Processor time of the choice of an endpoint, for streams and short requests.

Streams are longer than reports of peers are old, and their latency is not
compared; the answers of a plain service have been measured at each endpoint.
"""

import dataclasses
import pathlib
import random
import time

from marigoldramp.gateway.balancing import endpoints
from marigoldramp.gateway import deployment

from . import tables

COUNTS = (7, 64, 350)
ROUNDS = 7
CHOICES = 1500
SLOTS = 5
#: Virtual seconds between two choices.
STEP_SECONDS = 0.01


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Row:
    """The fastest of some rounds, per choice."""

    endpoints: int
    requests: str
    microseconds: float


def make_table(
    count: int, *, measured: bool, seed: int
) -> endpoints.EndpointTable:
    """Return a table whose endpoints have requests, and one that is slow."""
    draw = random.Random(seed)
    table = endpoints.EndpointTable(data_centre='0', random=draw)
    for number in range(count):
        table.put(
            deployment.EndpointRecord(
                identity=f'e-{number}',
                service='s',
                host='h',
                port=1,
                data_centre=str(number % 3),
                slots=SLOTS,
                leaving=False,
            )
        )
        one = table.find(f'e-{number}')
        assert one is not None
        one.peer_requests = draw.randrange(SLOTS - 1)
        one.peer_origins = {str(number % 3): one.peer_requests}
        if measured:
            seconds = 0.08 if number else 0.4
            one.quality.note_answer(seconds=seconds, now=0.0)
    return table


def measure(count: int, *, measured: bool, seed: int) -> Row:
    """Return the cost of a choice among some endpoints."""
    table = make_table(count, measured=measured, seed=seed)
    best = float('inf')
    now = 0.0
    for _ in range(ROUNDS):
        began = time.process_time()
        for _ in range(CHOICES):
            now += STEP_SECONDS
            table.choose(
                service='s',
                now=now,
                slots=lambda one: float(SLOTS),
                avoid=frozenset(),
            )
        best = min(best, time.process_time() - began)
    return Row(
        endpoints=count,
        requests='short' if measured else 'streams',
        microseconds=best / CHOICES * 1e6,
    )


def run(*, seed: int, out: pathlib.Path) -> None:
    """Measure all cases; write a table."""
    rows = [
        measure(count, measured=measured, seed=seed)
        for count in COUNTS
        for measured in (False, True)
    ]
    tables.write(rows=rows, path=out / 'choice_cost.csv')
