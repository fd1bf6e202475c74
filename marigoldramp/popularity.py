"""Popularity of experts, estimated from the reports of rank agents.

An agent reports how many tokens each expert of each layer received since its
last report.  Reports can be late or missing, and an agent's restart begins a
new series.  The estimate forgets exponentially, at two speeds: the slow one
averages noise away; the fast one takes over in a layer whose requests have
changed suddenly, which a slow one would follow for many intervals.
"""

import dataclasses
from typing import Sequence

import msgspec

#: Counts of a layer are sent scaled, so that the largest is this: one byte
#: of MessagePack each.  At 61 layers of 128 experts a report is 8 KB.
LARGEST_SCALED = 127


class LayerCounts(msgspec.Struct, frozen=True, array_like=True, kw_only=True):
    """Tokens that each expert of a layer received.

    :ivar total: tokens of the whole layer.
    :ivar scaled: share of each expert, scaled to ``LARGEST_SCALED``.
    """

    total: float
    scaled: bytes


class RankTiming(msgspec.Struct, frozen=True, array_like=True, kw_only=True):
    """Work of one rank since the last report.

    :ivar steps: steps that it has ended.
    :ivar busy_seconds: time that it computed, without waiting for others.
    :ivar tokens: tokens that its experts received, over all layers.
    """

    rank: int
    steps: int
    busy_seconds: float
    tokens: float


class Report(msgspec.Struct, frozen=True, array_like=True, kw_only=True):
    """One agent's report.

    :ivar series: number of the agent process's start.
    :ivar sequence: grows by one with each report of the series.
    :ivar seconds: time that the report covers, added up over its ranks.
    """

    series: int
    sequence: int
    seconds: float
    layers: tuple[LayerCounts, ...] = ()
    timings: tuple[RankTiming, ...] = ()


def scale(counts: Sequence[float]) -> LayerCounts:
    """Return the counts of a layer in the form in which they are sent."""
    largest = max(counts, default=0.0)
    factor = LARGEST_SCALED / largest if largest > 0 else 0.0
    return LayerCounts(
        total=sum(counts),
        scaled=bytes(round(count * factor) for count in counts),
    )


def merge(*, reports: Sequence[Report], series: int, sequence: int) -> Report:
    """Return one report of all ranks beside an agent.

    At 64 ranks of 61 layers, a report for each rank would be half a
    megabyte an interval at the leader; one for each agent is 70 KB.
    """
    layers: list[LayerCounts] = []
    for rows in zip(*(report.layers for report in reports)):
        counts = [0.0] * max(len(row.scaled) for row in rows)
        for row in rows:
            scaled = sum(row.scaled)
            factor = row.total / scaled if scaled else 0.0
            for expert, count in enumerate(row.scaled):
                counts[expert] += count * factor
        layers.append(scale(counts))
    return Report(
        series=series,
        sequence=sequence,
        seconds=sum(report.seconds for report in reports),
        layers=tuple(layers),
        timings=tuple(
            timing for report in reports for timing in report.timings
        ),
    )


@dataclasses.dataclass(slots=True, kw_only=True)
class _Layer:
    fast: list[float]
    slow: list[float]


class Estimator:
    """Estimates the share of each expert of each layer.

    :param half_life: seconds of reports after which the slow estimate has
        forgotten half; the fast one takes a quarter of that.
    :param agents: how many reports cover the same time; where reports add
        up seconds over ranks, the number of ranks.
    :param sudden: distance between both estimates, as the share of tokens
        that would have to change experts, above which the fast one is used.
    """

    __slots__ = ('_layers', '_half_life', '_sudden', '_last', 'agents')

    FAST = 4.0

    def __init__(
        self,
        *,
        layers: int,
        experts: int,
        agents: int = 1,
        half_life: float = 60.0,
        sudden: float = 0.1,
    ) -> None:
        even = 1.0 / experts
        self._layers = [
            _Layer(fast=[even] * experts, slow=[even] * experts)
            for _ in range(layers)
        ]
        self._half_life = half_life
        self._sudden = sudden
        self._last: dict[str, tuple[int, int]] = {}
        self.agents = agents

    def take(self, *, agent: str, report: Report, age: float = 0.0) -> bool:
        """Blend a report in; return whether it was new.

        A report that was doubled or overtaken is dropped.  One that comes
        ``age`` seconds late counts for less, by the same law by which it
        would have been forgotten had it come in time.

        :param age: seconds between the report's end and now.
        """
        last = self._last.get(agent)
        if last is not None and last[0] == report.series:
            if report.sequence <= last[1]:
                return False
        self._last[agent] = (report.series, report.sequence)
        seconds = report.seconds / max(1, self.agents)
        slow = self._gain(seconds, age, self._half_life)
        fast = self._gain(seconds, age, self._half_life / self.FAST)
        for layer, counts in zip(self._layers, report.layers):
            _blend(layer, counts, slow, fast)
        return True

    @staticmethod
    def _gain(seconds: float, age: float, half_life: float) -> float:
        gain = 1.0 - 0.5 ** (seconds / half_life)
        return float(gain * 0.5 ** (age / half_life))

    def estimate(self, layer: int) -> list[float]:
        """Return the share of each expert of a layer; they sum to one."""
        both = self._layers[layer]
        if self.distance(layer) > self._sudden:
            return list(both.fast)
        return list(both.slow)

    def distance(self, layer: int) -> float:
        """Return how far the two estimates of a layer are apart, 0 to 1."""
        both = self._layers[layer]
        return 0.5 * sum(
            abs(one - other) for one, other in zip(both.fast, both.slow)
        )


def _blend(
    layer: _Layer, counts: LayerCounts, slow: float, fast: float
) -> None:
    total = sum(counts.scaled)
    if not total or len(counts.scaled) != len(layer.slow):
        return
    slow_part = slow / total
    fast_part = fast / total
    slow_kept = 1.0 - slow
    fast_kept = 1.0 - fast
    layer.slow = [
        old * slow_kept + count * slow_part
        for old, count in zip(layer.slow, counts.scaled)
    ]
    layer.fast = [
        old * fast_kept + count * fast_part
        for old, count in zip(layer.fast, counts.scaled)
    ]
