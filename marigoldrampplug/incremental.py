"""Rebalancing policy that makes the few moves that help most.

A layer is touched only once its predicted skew passes the threshold, and
then brought some way below it, so that it does not come back in the next
interval.  Moves of all layers compete for one budget by what they save
against what they cost.
"""

import dataclasses

import anyio

from marigoldramp import bundle
from marigoldramp import expert_maps
from marigoldramp import layer_moves
from marigoldramp import placement

#: How far below the threshold a layer is brought, as a share of what the
#: threshold lies above an even layer.  More means fewer changes, and more
#: weights loaded for the same skew.
HYSTERESIS = 0.1
#: Intervals for which an improvement is assumed to last.
LASTING_INTERVALS = 10
#: How many saved seconds of step time justify a second of disruption.
WEIGHTS = {bundle.MapMode.SKEW: 30.0, bundle.MapMode.DISRUPTION: 150.0}
#: Moves in a row that may fail to pay before a layer's search ends.
PATIENCE = 3


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class _Stage:
    """A layer after some of its moves.

    :ivar loads: experts loaded so far.
    :ivar saved: skew saved so far.
    """

    number: int
    layer: expert_maps.Layer
    loads: int
    saved: float


class Incremental(placement.RebalancingPolicy):
    """Greedy moves within a budget."""

    def __init__(
        self,
        *,
        group: bundle.Group,
        disruption: placement.Disruption | None = None,
    ) -> None:
        super().__init__(group=group)
        self._disruption = disruption or placement.DISRUPTION
        self._goal = 1.0 + (group.skew_threshold - 1.0) * (1.0 - HYSTERESIS)

    async def begin_interval(
        self, *, situation: placement.Situation
    ) -> placement.Proposal | placement.Stay:
        """Propose the moves that are worth their cost."""
        stages: list[_Stage] = []
        skews = []
        for number, layer in enumerate(situation.layers):
            search = layer_moves.LayerSearch(
                layer=layer,
                popularity=situation.popularity[number],
                slots=self.group.slots,
            )
            skews.append(search.skew)
            if search.skew > self.group.skew_threshold:
                stages.extend(await self._search(number, search))
            await anyio.sleep(0)
        mean = sum(skews) / len(skews)
        chosen = self._choose(stages, situation.most_loads)
        value = sum(self._value(stage) for stage in chosen)
        if value <= WEIGHTS[self.group.mode] * self._disruption.stall_seconds:
            return placement.Stay(reason=self._explain(stages), skew=mean)
        layers = list(situation.layers)
        for stage in chosen:
            layers[stage.number] = stage.layer
        saved = sum(stage.saved for stage in chosen) / len(skews)
        return placement.Proposal(
            layers=tuple(layers),
            loads=sum(stage.loads for stage in chosen),
            skew_before=mean,
            skew_after=mean - saved,
        )

    async def _search(
        self, number: int, search: layer_moves.LayerSearch
    ) -> list[_Stage]:
        """Return the layer after each further move, while moves pay."""
        stages: list[_Stage] = []
        before = search.skew
        loads = 0
        best = 0.0
        failed = 0
        while search.skew > self._goal and failed < PATIENCE:
            move = search.find()
            if move is None:
                break
            search.apply(move)
            loads += move.loads
            stage = _Stage(
                number=number,
                layer=search.layer(),
                loads=loads,
                saved=before - search.skew,
            )
            value = self._value(stage)
            failed = 0 if value > best else failed + 1
            if value > best:
                best = value
                stages.append(stage)
            await anyio.sleep(0)
        return stages

    def _choose(self, stages: list[_Stage], budget: int) -> list[_Stage]:
        """Return at most one stage a layer, the best for their loads."""
        stages.sort(key=lambda one: one.saved / one.loads, reverse=True)
        chosen: dict[int, _Stage] = {}
        for stage in stages:
            old = chosen.get(stage.number)
            if old is not None and old.loads >= stage.loads:
                continue
            more = stage.loads - (old.loads if old is not None else 0)
            if more <= budget:
                budget -= more
                chosen[stage.number] = stage
        return list(chosen.values())

    def _value(self, stage: _Stage) -> float:
        """Return the seconds that a stage saves, less what loading costs."""
        lasting = LASTING_INTERVALS * self.group.interval_seconds
        saved = stage.saved / self.group.layers * lasting
        seconds = placement.load_seconds(group=self.group, loads=stage.loads)
        cost = self._disruption.load_slowdown * seconds
        return saved - WEIGHTS[self.group.mode] * cost

    def _explain(self, stages: list[_Stage]) -> str:
        if not stages:
            return f'no layer is above {self.group.skew_threshold}'
        return 'no change within the budget is worth its disruption'
