"""Synthetic inputs for the rebalancing experiment.

Each input gives the popularity of every expert of every layer in every
interval.  All begin with the same skewed popularity, log-normal over the
experts of a layer, and differ in how it changes.
"""

import enum

import numpy
from numpy import typing as numpy_typing

Trace = numpy_typing.NDArray[numpy.float64]

#: Standard deviation of the logarithm of an expert's popularity.
SPREAD = 0.4
#: Intervals in which the slow drift forgets half of where it began.
DRIFT_HALF_LIFE = 48
#: How far the daily cycle takes an expert up and down, in logarithms.
DAILY_SWING = 0.4
#: Share of the experts whose popularity is dealt anew at a sudden shift.
SHIFTED_SHARE = 0.5
#: How much more popular a hot expert becomes while it is hot.
HOT_FACTOR = 8.0
HOT_EVERY = 24
HOT_FOR = 6


class Input(enum.StrEnum):
    """How popularity changes over the intervals."""

    SLOW = 'slow'
    DAILY = 'daily'
    SUDDEN = 'sudden'
    HOT = 'hot'
    STRAGGLER = 'straggler'


def make(
    *,
    kind: Input,
    intervals: int,
    layers: int,
    experts: int,
    random: numpy.random.Generator,
) -> Trace:
    """Return popularity by interval, layer and expert; experts sum to 1."""
    start = random.normal(0.0, SPREAD, (layers, experts))
    match kind:
        case Input.SLOW | Input.STRAGGLER:
            logarithms = _wander(start, intervals, random)
        case Input.DAILY:
            logarithms = _swing(start, intervals, random)
        case Input.SUDDEN:
            logarithms = _shift(start, intervals, random)
        case Input.HOT:
            logarithms = _heat(start, intervals, random)
    popularity = numpy.exp(logarithms)
    shares: Trace = popularity / popularity.sum(axis=2, keepdims=True)
    return shares


def _wander(
    start: Trace, intervals: int, random: numpy.random.Generator
) -> Trace:
    kept = 0.5 ** (1.0 / DRIFT_HALF_LIFE)
    noise = SPREAD * (1.0 - kept**2) ** 0.5
    rows = [start]
    for _ in range(intervals - 1):
        rows.append(rows[-1] * kept + random.normal(0.0, noise, start.shape))
    return numpy.stack(rows)


def _swing(
    start: Trace, intervals: int, random: numpy.random.Generator
) -> Trace:
    phases = random.uniform(0.0, 2 * numpy.pi, start.shape)
    turns = numpy.arange(intervals) * 2 * numpy.pi / intervals
    swing = numpy.sin(turns[:, None, None] + phases[None])
    result: Trace = start[None] + DAILY_SWING * swing
    return result


def _shift(
    start: Trace, intervals: int, random: numpy.random.Generator
) -> Trace:
    rows = []
    current = start
    for interval in range(intervals):
        if interval and interval % (intervals // 3) == 0:
            anew = random.normal(0.0, SPREAD, start.shape)
            shifted = random.random(start.shape) < SHIFTED_SHARE
            current = numpy.where(shifted, anew, current)
        rows.append(current)
    return numpy.stack(rows)


def _heat(
    start: Trace, intervals: int, random: numpy.random.Generator
) -> Trace:
    trace = _wander(start, intervals, random)
    hot = random.integers(0, start.shape[1], start.shape[0])
    layers = numpy.arange(start.shape[0])
    for interval in range(intervals):
        if interval % HOT_EVERY >= HOT_EVERY - HOT_FOR:
            trace[interval, layers, hot] += numpy.log(HOT_FACTOR)
    return trace
