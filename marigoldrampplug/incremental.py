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
#: How many times the budget is sought, to choose the best from.
CHOICE = 3
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
        searches = []
        for number, layer in enumerate(situation.layers):
            searches.append(
                layer_moves.LayerSearch(
                    layer=layer,
                    popularity=situation.popularity[number],
                    slots=self.group.slots,
                )
            )
            await anyio.sleep(0)
        skews = [search.skew for search in searches]
        stages = await self._search_all(searches, situation.most_loads)
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

    async def _search_all(
        self, searches: list[layer_moves.LayerSearch], budget: int
    ) -> list[_Stage]:
        """Search the worst layers until there is plenty to choose from."""
        order = sorted(
            range(len(searches)),
            key=lambda number: searches[number].skew,
            reverse=True,
        )
        stages: list[_Stage] = []
        found = 0
        for number in order:
            if found >= CHOICE * budget:
                break
            if not self._may_pay(searches[number].skew):
                continue
            more = await self._search(number, searches[number])
            found += max((stage.loads for stage in more), default=0)
            stages.extend(more)
        return stages

    def _may_pay(self, skew: float) -> bool:
        """Say whether a layer of this skew is worth a search.

        No search saves more than what lies above the goal, with one load.
        """
        if skew <= self.group.skew_threshold:
            return False
        return self._weigh(skew - self._goal, 1) > 0

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
        return self._weigh(stage.saved, stage.loads)

    def _weigh(self, skew: float, loads: int) -> float:
        """Return the seconds that saved skew brings, less what loads cost."""
        lasting = LASTING_INTERVALS * self.group.interval_seconds
        saved = skew / self.group.layers * lasting
        seconds = placement.load_seconds(group=self.group, loads=loads)
        cost = self._disruption.load_slowdown * seconds
        return saved - WEIGHTS[self.group.mode] * cost

    def _explain(self, stages: list[_Stage]) -> str:
        if not stages:
            return f'no layer is above {self.group.skew_threshold}'
        return 'no change within the budget is worth its disruption'
