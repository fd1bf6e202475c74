"""Processor time and memory of processes, and lines through points."""

import dataclasses
import os
import pathlib
from typing import Sequence

import numpy

_PROC = pathlib.Path('/proc')
NANOSECONDS = 1e-9
KILOBYTE = 1024


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Line:
    """Least-squares line through measured points.

    :ivar error: standard error of the slope; NaN for fewer than three points.
    """

    slope: float
    intercept: float
    error: float


def fit(*, x: Sequence[float], y: Sequence[float]) -> Line:
    """Return the line through points with at least two places on the axis."""
    if len(set(x)) < 2:
        raise ValueError('a slope needs two or more points')
    places = numpy.array(x, dtype=float)
    values = numpy.array(y, dtype=float)
    slope, intercept = numpy.polyfit(places, values, 1)
    left = values - (slope * places + intercept)
    error = float('nan')
    if len(places) > 2:
        spread = ((places - places.mean()) ** 2).sum()
        error = float((((left**2).sum() / (len(places) - 2)) / spread) ** 0.5)
    return Line(slope=float(slope), intercept=float(intercept), error=error)


def read_seconds(process: int) -> float:
    """Return the processor seconds that all threads of a process have had.

    The scheduler's own account counts nanoseconds; ``stat`` counts ticks of
    10 ms, too coarse for a run of a second.
    """
    total = 0
    for thread in (_PROC / str(process) / 'task').iterdir():
        try:
            text = (thread / 'schedstat').read_text()
        except (FileNotFoundError, ProcessLookupError):
            continue
        total += parse_run_time(text)
    return total * NANOSECONDS


def parse_run_time(schedstat: str) -> int:
    """Return the nanoseconds run out of a thread's ``schedstat``."""
    return int(schedstat.split()[0])


def read_memory(process: int) -> int:
    """Return the resident bytes of a process."""
    return parse_resident((_PROC / str(process) / 'status').read_text())


def parse_resident(status: str) -> int:
    """Return the resident bytes out of a process's ``status``."""
    for line in status.splitlines():
        if line.startswith('VmRSS:'):
            return int(line.split()[1]) * KILOBYTE
    raise ValueError('no resident memory is stated')


def read_load() -> float:
    """Return the machine's load average of the last minute."""
    return os.getloadavg()[0]
