"""Expert maps: which rank holds which experts, under which version.

A map lists, for each layer and each rank, the experts whose weights that
rank holds.  Several ranks may hold replicas of an expert and then share its
load evenly.  Maps are immutable: a change makes a new one.
"""

from typing import Sequence

import msgspec

#: Experts of one rank in one layer.
Slots = tuple[int, ...]
#: Slots of every rank in one layer, by rank.
Layer = tuple[Slots, ...]


class Version(
    msgspec.Struct, frozen=True, array_like=True, kw_only=True, order=True
):
    """Identifies a map; unique in its group.

    Two leaders never give one version to different maps, as each numbers its
    maps under its own fencing number.
    """

    fence: int
    number: int

    def __str__(self) -> str:
        return f'{self.fence}.{self.number}'


class ExpertMap(msgspec.Struct, frozen=True, array_like=True, kw_only=True):
    """The layers of a group's map and its version."""

    version: Version
    layers: tuple[Layer, ...]


class Schedule(msgspec.Struct, frozen=True, array_like=True, kw_only=True):
    """Which map a rank uses in which step.

    :ivar in_force: the map of every step before ``from_step``.
    :ivar following: the map of ``from_step`` and after, or ``None`` when no
        change is armed.
    """

    in_force: Version
    following: Version | None = None
    from_step: int = 0

    def find(self, step: int) -> Version:
        """Return the map that this schedule gives for a step."""
        if self.following is not None and step >= self.from_step:
            return self.following
        return self.in_force

    def versions(self) -> tuple[Version, ...]:
        """Return the versions whose weights the schedule needs."""
        if self.following is None:
            return (self.in_force,)
        return (self.in_force, self.following)


class Shape(msgspec.Struct, frozen=True, kw_only=True):
    """Dimensions of a group's maps.

    :ivar slots: experts that a rank can hold in each layer.
    """

    ranks: int
    experts: int
    layers: int
    slots: int


def spread(*, shape: Shape, version: Version) -> ExpertMap:
    """Return the map that assigns experts to ranks evenly, in order.

    Slots left over hold further replicas, again in order, so that every
    rank holds exactly ``slots`` experts.
    """
    per_rank: list[list[int]] = [[] for _ in range(shape.ranks)]
    total = shape.ranks * shape.slots
    for position in range(total):
        expert = position % shape.experts
        per_rank[position * shape.ranks // total].append(expert)
    layer = tuple(tuple(sorted(slots)) for slots in per_rank)
    return ExpertMap(version=version, layers=(layer,) * shape.layers)


def check(*, expert_map: ExpertMap, shape: Shape) -> tuple[str, ...]:
    """Return what is wrong with a map; nothing if it can be used.

    Maps are checked before the change, as a map without some expert would
    fail on one rank only when a token needs that expert, long after it.
    """
    faults = []
    if len(expert_map.layers) != shape.layers:
        faults.append(
            f'{len(expert_map.layers)} layers instead of {shape.layers}'
        )
    for number, layer in enumerate(expert_map.layers):
        faults.extend(
            f'layer {number}: {fault}' for fault in _check_layer(layer, shape)
        )
    return tuple(faults)


def _check_layer(layer: Layer, shape: Shape) -> list[str]:
    if len(layer) != shape.ranks:
        return [f'{len(layer)} ranks instead of {shape.ranks}']
    faults = []
    held: set[int] = set()
    for rank, slots in enumerate(layer):
        held.update(slots)
        if len(slots) > shape.slots:
            faults.append(f'rank {rank} holds {len(slots)} experts')
        if len(set(slots)) != len(slots):
            faults.append(f'rank {rank} holds an expert twice')
    missing = set(range(shape.experts)) - held
    unknown = held - set(range(shape.experts))
    faults.extend(f'no rank holds expert {one}' for one in sorted(missing))
    faults.extend(f'there is no expert {one}' for one in sorted(unknown))
    return faults


def count_weight_loads(*, old: ExpertMap | None, new: ExpertMap) -> list[int]:
    """Return how many experts each rank has to load for a new map."""
    loads = [0] * len(new.layers[0]) if new.layers else []
    for number, layer in enumerate(new.layers):
        before = old.layers[number] if old is not None else None
        for rank, slots in enumerate(layer):
            held = before[rank] if before is not None else ()
            if slots != held:
                loads[rank] += len(set(slots) - set(held))
    return loads


def count_replicas(*, layer: Layer, experts: int) -> list[int]:
    """Return how many ranks hold each expert of a layer."""
    replicas = [0] * experts
    for slots in layer:
        for expert in slots:
            replicas[expert] += 1
    return replicas


def rank_loads(*, layer: Layer, popularity: Sequence[float]) -> list[float]:
    """Return the load of each rank of a layer.

    :param popularity: load of each expert, in any unit.
    """
    replicas = count_replicas(layer=layer, experts=len(popularity))
    shares = [
        load / count if count else 0.0
        for load, count in zip(popularity, replicas)
    ]
    return [sum(shares[expert] for expert in slots) for slots in layer]


def skew(loads: Sequence[float]) -> float:
    """Return the largest load over the mean; 1 is even."""
    total = sum(loads)
    if total <= 0:
        return 1.0
    return max(loads) * len(loads) / total
