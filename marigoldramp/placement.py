"""Rebalancing policies: plug-ins that decide when to move which experts.

A policy gets the current expert map, the estimated popularity of the experts
and a limit of weight loads, and proposes a map.  Two limits hold for every
policy and are checked here, outside the policies: the number of weight loads,
and the promised deadlines of calls in flight.
"""

import abc
import math
from typing import Callable
from typing import Sequence
from typing import TYPE_CHECKING

import msgspec

from . import expert_maps
from . import plugins

if TYPE_CHECKING:
    # The bundle loads YAML, which gateways do not need.
    from . import bundle


class Situation(msgspec.Struct, frozen=True, kw_only=True):
    """The input of a policy's decision.

    :ivar layers: the placement in force.
    :ivar popularity: share of each expert in the load of its layer.
    :ivar most_loads: maximum number of weight loads for this change.
    """

    layers: tuple[expert_maps.Layer, ...]
    popularity: tuple[Sequence[float], ...]
    most_loads: int


class Proposal(msgspec.Struct, frozen=True, kw_only=True):
    """A new expert map that a policy proposes.

    :ivar loads: number of weight loads that the change needs.
    :ivar skew_before: predicted skew without the change, mean over layers.
    :ivar skew_after: predicted skew with the change, mean over layers.
    """

    layers: tuple[expert_maps.Layer, ...]
    loads: int
    skew_before: float
    skew_after: float


class Stay(msgspec.Struct, frozen=True, kw_only=True):
    """The decision to keep the current map.

    :ivar reason: why no change is wanted or allowed, for operators.
    """

    reason: str
    skew: float = 1.0


class RebalancingPolicy(plugins.Plugin, kind=True):
    """Plug-in that decides when to move experts and which ones.

    :param group: the group's part of the bundle.
    """

    def __init__(self, *, group: 'bundle.Group') -> None:
        self.group = group

    @abc.abstractmethod
    async def begin_interval(self, *, situation: Situation) -> Proposal | Stay:
        """Decide at the beginning of an interval.

        Implementations must yield to the event loop
        (``await anyio.sleep(0)``) at least once per layer, as heartbeats run
        in the same process.
        """

    def end_change(self, *, done: bool) -> None:
        """Take note of whether the last proposal took effect."""


class Disruption(msgspec.Struct, frozen=True, kw_only=True):
    """How much a map change delays calls in flight.

    :ivar stall_seconds: longest expected pause of the group between a hold
        and its release.
    :ivar load_slowdown: fraction by which steps are slower while a rank
        loads weights, as loading takes memory and network bandwidth.
    """

    stall_seconds: float = 0.05
    load_slowdown: float = 0.03

    def predict(self, *, load_seconds: float) -> float:
        """Return by how many seconds a change can delay a call in flight."""
        return self.stall_seconds + self.load_slowdown * load_seconds


#: Assumed where a deployment has no measured values.
DISRUPTION = Disruption()


def count_loads(
    *,
    old: Sequence[expert_maps.Layer],
    new: Sequence[expert_maps.Layer],
) -> int:
    """Return the number of weight loads for a change between two maps."""
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
    """Return the mean skew of the layers, which is the skew of the step time.

    Ranks wait for each other in every layer, so the step time is the sum over
    layers of the largest rank load.  As every layer has the same number of
    tokens, that sum divided by the sum of the mean loads is the mean skew.
    """
    skews = [
        expert_maps.skew(
            expert_maps.rank_loads(layer=layer, popularity=shares)
        )
        for layer, shares in zip(layers, popularity)
    ]
    return sum(skews) / len(skews)


def load_seconds(*, group: 'bundle.Group', loads: int) -> float:
    """Return how long the weight store takes for a number of loads."""
    return loads * group.expert_bytes / group.weight_bytes_per_second


def most_loads(
    *,
    group: 'bundle.Group',
    disruption: Disruption = DISRUPTION,
    slack: float = math.inf,
) -> int:
    """Return the maximum number of weight loads in one interval.

    The rate of the weight store is a hard limit: loads that take longer than
    the interval would queue up.  The slack is a hard limit too: a result of 0
    means that no change may begin now.

    :param slack: seconds by which all calls in flight can be delayed without
        missing a promised deadline.
    """
    seconds_per_load = load_seconds(group=group, loads=1)
    max_loads = min(
        group.moves_per_interval,
        int(group.interval_seconds / seconds_per_load),
    )
    allowed_seconds = (
        slack - disruption.stall_seconds
    ) / disruption.load_slowdown
    if allowed_seconds >= max_loads * seconds_per_load:
        return max_loads
    return max(0, int(allowed_seconds / seconds_per_load))


def check(
    *,
    proposal: Proposal,
    situation: Situation,
    group: 'bundle.Group',
    disruption: Disruption,
    slack: Callable[[], float],
) -> Proposal | Stay:
    """Return the proposal if it may begin now, or a ``Stay`` if not.

    :param slack: returns the seconds by which all calls in flight can be
        delayed without missing a promised deadline.
    """
    max_loads = situation.most_loads
    if proposal.loads > max_loads:
        return Stay(
            reason=f'{proposal.loads} loads are over the limit of {max_loads}',
            skew=proposal.skew_before,
        )
    delay = disruption.predict(
        load_seconds=load_seconds(group=group, loads=proposal.loads)
    )
    allowed_delay = slack()
    if delay > allowed_delay:
        return Stay(
            reason=f'a delay of {delay:.3f} s would break a promised '
            f'deadline; at most {allowed_delay:.3f} s are allowed',
            skew=proposal.skew_before,
        )
    return proposal
