"""Popularity of experts, estimated from the reports of rank agents.

An agent reports how many tokens each expert of each layer received since its
last report.  Reports can be late or missing, and a restarted agent begins a
new series.  Each layer has two exponential moving averages: the slow one
averages out noise; the fast one is used after a sudden change of the requests,
which the slow one would take many intervals to follow.
"""

import dataclasses
from typing import Sequence

import msgspec

#: The counts of a layer are scaled to this maximum before sending, so that
#: each takes one byte in MessagePack.  A report of 61 layers of 128 experts
#: takes 8 KB.
MAX_SCALED_COUNT = 127


class LayerCounts(msgspec.Struct, frozen=True, array_like=True, kw_only=True):
    """Number of tokens that each expert of a layer received.

    :ivar total: number of tokens of all experts of the layer.
    :ivar scaled: share of each expert, scaled to ``MAX_SCALED_COUNT``.
    """

    total: float
    scaled: bytes


class RankTiming(msgspec.Struct, frozen=True, array_like=True, kw_only=True):
    """Steps, computing time and tokens of a rank since the last report.

    :ivar steps: number of steps completed.
    :ivar busy_seconds: computing time, without waiting for other ranks.
    :ivar tokens: number of tokens that its experts received in all layers.
    """

    rank: int
    steps: int
    busy_seconds: float
    tokens: float


class Report(msgspec.Struct, frozen=True, array_like=True, kw_only=True):
    """A report of one agent.

    :ivar series: incarnation number of the agent process.
    :ivar sequence: number of the report, which increases by one with each
        report of the series.
    :ivar seconds: time covered by the report, summed over its ranks.
    """

    series: int
    sequence: int
    seconds: float
    layers: tuple[LayerCounts, ...] = ()
    timings: tuple[RankTiming, ...] = ()


def scale(counts: Sequence[float]) -> LayerCounts:
    """Return the counts of a layer in the scaled form used in reports."""
    largest = max(counts, default=0.0)
    factor = MAX_SCALED_COUNT / largest if largest > 0 else 0.0
    return LayerCounts(
        total=sum(counts),
        scaled=bytes(round(count * factor) for count in counts),
    )


def merge(*, reports: Sequence[Report], series: int, sequence: int) -> Report:
    """Merge the reports of an agent's ranks into one report.

    With 64 ranks and 61 layers, the leader would receive half a megabyte per
    interval if each rank sent a report; one report per agent makes it 70 KB.
    """
    layers: list[LayerCounts] = []
    for layer_counts in zip(*(report.layers for report in reports)):
        counts = [0.0] * max(len(row.scaled) for row in layer_counts)
        for row in layer_counts:
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
class _LayerEstimates:
    fast: list[float]
    slow: list[float]


class Estimator:
    """Estimates the share of each expert in the tokens of its layer.

    :param half_life: half-life of the slow average, in seconds covered by
        reports; that of the fast average is a quarter.
    :param agents: number of reports that cover the same time, by which the
        seconds of each report are divided; the number of ranks if reports
        sum their seconds over ranks.
    :param sudden: distance between the two averages above which the fast
        one is used, see ``distance``.
    """

    __slots__ = (
        '_layers',
        '_half_life',
        '_max_distance',
        '_last_reports',
        'agents',
    )

    #: Half-life of the slow average over that of the fast one.
    FAST_SPEEDUP = 4.0

    def __init__(
        self,
        *,
        layers: int,
        experts: int,
        agents: int = 1,
        half_life: float = 60.0,
        sudden: float = 0.1,
    ) -> None:
        uniform_share = 1.0 / experts
        self._layers = [
            _LayerEstimates(
                fast=[uniform_share] * experts, slow=[uniform_share] * experts
            )
            for _ in range(layers)
        ]
        self._half_life = half_life
        self._max_distance = sudden
        self._last_reports: dict[str, tuple[int, int]] = {}
        self.agents = agents

    def take(self, *, agent: str, report: Report, age: float = 0.0) -> bool:
        """Update the estimates by a report; return whether it was new.

        Duplicate reports and reports older than the latest one are dropped.
        A late report gets the weight to which it would have decayed by now
        if it had arrived in time.

        :param age: seconds from the end of the report's period until now.
        """
        last = self._last_reports.get(agent)
        if last is not None and last[0] == report.series:
            if report.sequence <= last[1]:
                return False
        self._last_reports[agent] = (report.series, report.sequence)
        seconds = report.seconds / max(1, self.agents)
        slow = self._compute_weight(seconds, age, self._half_life)
        fast = self._compute_weight(
            seconds, age, self._half_life / self.FAST_SPEEDUP
        )
        for layer, counts in zip(self._layers, report.layers):
            _update_estimates(layer, counts, slow, fast)
        return True

    @staticmethod
    def _compute_weight(seconds: float, age: float, half_life: float) -> float:
        gain = 1.0 - 0.5 ** (seconds / half_life)
        return float(gain * 0.5 ** (age / half_life))

    def estimate(self, layer: int) -> list[float]:
        """Return the share of each expert of a layer; the sum is 1."""
        averages = self._layers[layer]
        if self.distance(layer) > self._max_distance:
            return list(averages.fast)
        return list(averages.slow)

    def distance(self, layer: int) -> float:
        """Return the total variation distance of a layer's two averages.

        It is the share of tokens, from 0 to 1, that would have to go to
        other experts to turn one average into the other.
        """
        averages = self._layers[layer]
        return 0.5 * sum(
            abs(one - other)
            for one, other in zip(averages.fast, averages.slow)
        )


def _update_estimates(
    layer: _LayerEstimates, counts: LayerCounts, slow: float, fast: float
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
