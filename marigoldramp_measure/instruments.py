"""Processor time of counting and recording, and of the metrics page."""

import dataclasses
import pathlib
import time
from typing import Callable

from marigoldramp import metrics
from marigoldramp import settings

from . import tables

ROUNDS = 5
CALLS = 50_000
PAGES = 50


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Row:
    """One operation; the fastest and the slowest of some rounds."""

    operation: str
    fastest_us: float
    slowest_us: float


def run(*, seed: int, out: pathlib.Path) -> None:
    """Measure each operation; the seed changes nothing here."""
    made = metrics.create(
        settings=settings.Metrics(otlp_endpoint='', interval=15.0),
        instance='measure',
    )

    def count() -> None:
        made.count('calls', service='drafts', outcome='answer')

    def record() -> None:
        made.record('call_seconds', 0.1, service='drafts')

    rows = [
        _measure('count', count, CALLS),
        _measure('record', record, CALLS),
        _measure('render', made.render, PAGES),
    ]
    tables.write(rows=rows, path=out / 'instruments.csv')


def _measure(operation: str, work: Callable[[], object], calls: int) -> Row:
    rounds = [_time(work, calls) for _ in range(ROUNDS)]
    return Row(
        operation=operation, fastest_us=min(rounds), slowest_us=max(rounds)
    )


def _time(work: Callable[[], object], calls: int) -> float:
    """Return the mean microseconds of one call."""
    begun = time.perf_counter()
    for _ in range(calls):
        work()
    return (time.perf_counter() - begun) / calls * 1_000_000
