"""When to move experts, and which: the kind of plug-in that decides it.

A policy sees the map in force, the estimated popularity and a budget, and
proposes a map.  What every policy must keep to, the budget of weight loads
and the promised deadlines in flight, is checked here, outside the policies.
"""

import abc
import dataclasses
import math
from typing import Callable
from typing import Sequence

from . import bundle
from . import expert_maps
from . import plugins


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Situation:
    """What a policy decides on.

    :ivar popularity: share of each expert, by layer.
    :ivar most_loads: experts that may be loaded for this change.
    """

    layers: tuple[expert_maps.Layer, ...]
    popularity: tuple[Sequence[float], ...]
    most_loads: int


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Proposal:
    """A map that a policy wants.

    :ivar loads: experts whose weights have to be loaded for it.
    :ivar skew_before: predicted without the change, mean over layers.
    :ivar skew_after: predicted with the change.
    """

    layers: tuple[expert_maps.Layer, ...]
    loads: int
    skew_before: float
    skew_after: float


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Stay:
    """No change is wanted, or none may begin.

    :ivar reason: one sentence for operators.
    """

    reason: str
    skew: float = 1.0


class RebalancingPolicy(plugins.Plugin, kind=True):
    """Kind of plug-in that decides when and what to move.

    :param group: the group's part of the bundle.
    """

    def __init__(self, *, group: bundle.Group) -> None:
        self.group = group

    @abc.abstractmethod
    async def begin_interval(self, *, situation: Situation) -> Proposal | Stay:
        """Decide at the beginning of an interval.

        Must yield to the event loop (``await anyio.sleep(0)``) at least once
        a layer, as heartbeats run in the same process.
        """

    def end_change(self, *, done: bool) -> None:
        """Learn whether the last proposal took effect."""


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Disruption:
    """What a change costs the calls in flight.

    :ivar stall_seconds: longest time that the group can be expected to wait
        between a hold and its release.
    :ivar load_slowdown: share by which steps are slower while a rank loads
        weights, as loading takes memory and network bandwidth.
    """

    stall_seconds: float = 0.05
    load_slowdown: float = 0.03

    def predict(self, *, load_seconds: float) -> float:
        """Return by how many seconds a change can delay a call in flight."""
        return self.stall_seconds + self.load_slowdown * load_seconds


#: What is assumed until a deployment has measured it.
DISRUPTION = Disruption()


def count_loads(
    *,
    old: Sequence[expert_maps.Layer],
    new: Sequence[expert_maps.Layer],
) -> int:
    """Return how many experts have to be loaded from one map to another."""
    total = 0
    for before, after in zip(old, new):
        if before is after:
            continue
        for held, wanted in zip(before, after):
            if held != wanted:
                total += len(set(wanted) - set(held))
    return total


def mean_skew(
    *,
    layers: Sequence[expert_maps.Layer],
    popularity: Sequence[Sequence[float]],
) -> float:
    """Return the skew of the step time.

    Ranks wait for each other in every layer, so a step takes the sum over
    layers of the largest rank load; with as many tokens in each layer, that
    over the sum of means is the mean of the layers' skews.
    """
    skews = [
        expert_maps.skew(
            expert_maps.rank_loads(layer=layer, popularity=shares)
        )
        for layer, shares in zip(layers, popularity)
    ]
    return sum(skews) / len(skews)


def load_seconds(*, group: bundle.Group, loads: int) -> float:
    """Return how long the weight store takes for some experts."""
    return loads * group.expert_bytes / group.weight_bytes_per_second


def most_loads(
    *,
    group: bundle.Group,
    disruption: Disruption = DISRUPTION,
    slack: float = math.inf,
) -> int:
    """Return how many experts may be loaded in one interval.

    The weight store's rate is a hard limit: loads that take longer than the
    interval would pile up behind each other.  So is the slack: 0 means that
    no change may begin now.

    :param slack: seconds that the tightest call in flight can be delayed
        without missing its promised deadline.
    """
    one = load_seconds(group=group, loads=1)
    most = min(group.moves_per_interval, int(group.interval_seconds / one))
    spare = (slack - disruption.stall_seconds) / disruption.load_slowdown
    if spare >= most * one:
        return most
    return max(0, int(spare / one))


def check(
    *,
    proposal: Proposal,
    situation: Situation,
    group: bundle.Group,
    disruption: Disruption,
    slack: Callable[[], float],
) -> Proposal | Stay:
    """Return the proposal if it may begin now, or why it may not.

    :param slack: returns the seconds that the tightest call in flight can
        be delayed without missing its promised deadline.
    """
    allowed = situation.most_loads
    if proposal.loads > allowed:
        return Stay(
            reason=f'{proposal.loads} loads are over the limit of {allowed}',
            skew=proposal.skew_before,
        )
    delay = disruption.predict(
        load_seconds=load_seconds(group=group, loads=proposal.loads)
    )
    spare = slack()
    if delay > spare:
        return Stay(
            reason=f'a delay of {delay:.3f} s would break a promised '
            f'deadline; {spare:.3f} s are to spare',
            skew=proposal.skew_before,
        )
    return proposal
