"""What a leader has to do next, worked out from the states of all ranks.

The store keeps the fencing number only.  Everything else that a new leader
must know is with the ranks: whether a change is armed, on which of them, and
whether one of them still holds.  A held rank that is no longer held has been
released, which happens only after every rank had armed; so then the change
has to be finished.  While it is held, the change can still be undone.
"""

import dataclasses
from typing import Sequence

from . import expert_maps
from . import map_orders


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Missing:
    """Some ranks are not seen, so nothing can be decided."""

    ranks: tuple[int, ...]


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Disagree:
    """Ranks use different maps, which the protocol never leads to."""

    versions: tuple[expert_maps.Version, ...]


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Start:
    """No rank has a map; the group has just started."""


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Undo:
    """Some ranks have armed a map or loaded weights which is to be undone."""


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Admit:
    """Ranks without a map are to adopt the schedule of the others."""

    schedule: expert_maps.Schedule
    states: tuple[map_orders.RankState, ...]


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Release:
    """All ranks agree; those that hold are to be released.

    :ivar unarmed: nothing is armed, so an order to arm that is still on its
        way must be made void first.  A rank that loads yet shows nothing of
        the change; released at once, the group could reach the step while
        such an order is carried out on one rank alone.
    """

    ranks: tuple[int, ...]
    unarmed: bool = False


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Await:
    """All ranks have armed; the step of the change is still to come."""

    schedule: expert_maps.Schedule


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Settled:
    """All ranks use one map, nothing is armed, held or left over."""

    version: expert_maps.Version
    entered: int


Decision = (
    Missing | Disagree | Start | Undo | Admit | Release | Await | Settled
)


def decide(*, states: Sequence[map_orders.RankState], ranks: int) -> Decision:
    """Return what has to be done next.

    :param states: states of all ranks that were seen.
    :param ranks: how many ranks the group has.
    """
    seen = {state.rank for state in states}
    missing = set(range(ranks)) - seen
    if missing or len(states) != len(seen):
        return Missing(ranks=tuple(sorted(missing)))
    without = tuple(one for one in states if one.schedule is None)
    if len(without) == ranks:
        return Start()
    schedules = [one.schedule for one in states if one.schedule is not None]
    holders = tuple(one.rank for one in states if one.hold_before is not None)
    pending = {one for one in schedules if one.following is not None}
    in_force = {one.in_force for one in schedules}
    if not pending:
        return _decide_even(states, in_force, without, holders)
    if len(pending) > 1 or len(in_force) > 2:
        return Disagree(versions=tuple(sorted(in_force)))
    return _decide_pending(pending.pop(), schedules, without, holders)


def _decide_even(
    states: Sequence[map_orders.RankState],
    in_force: set[expert_maps.Version],
    without: tuple[map_orders.RankState, ...],
    holders: tuple[int, ...],
) -> Decision:
    if len(in_force) > 1:
        return Disagree(versions=tuple(sorted(in_force)))
    version = next(iter(in_force))
    if any(_has_leftovers(one) for one in states):
        return Undo()
    if without:
        schedule = expert_maps.Schedule(in_force=version)
        return Admit(schedule=schedule, states=without)
    if holders:
        return Release(ranks=holders, unarmed=True)
    entered = max(one.entered for one in states)
    return Settled(version=version, entered=entered)


def _has_leftovers(state: map_orders.RankState) -> bool:
    if state.schedule is None:
        return False
    return bool(state.loading) or state.loaded != (state.schedule.in_force,)


def _decide_pending(
    armed: expert_maps.Schedule,
    schedules: Sequence[expert_maps.Schedule],
    without: tuple[map_orders.RankState, ...],
    holders: tuple[int, ...],
) -> Decision:
    assert armed.following is not None
    moved = expert_maps.Schedule(in_force=armed.following)
    old = expert_maps.Schedule(in_force=armed.in_force)
    kinds = set(schedules)
    if not kinds <= {armed, moved, old}:
        return Disagree(versions=tuple(one.in_force for one in schedules))
    if old in kinds and moved in kinds:
        return Disagree(versions=(old.in_force, moved.in_force))
    if old in kinds:
        return Undo()
    # A rank without a map may have to load weights for longer than the group
    # can be kept waiting, so the change is undone while that is still safe.
    if holders and without:
        return Undo()
    if without:
        schedule = moved if moved in kinds else armed
        return Admit(schedule=schedule, states=without)
    if holders:
        return Release(ranks=holders)
    return Await(schedule=armed)
