"""Decides what a leader does next from the states of all ranks.

It applies where ranks refuse orders of older leaders; for others see
:mod:`.map_decisions_unfenced`.

The store keeps only the fencing number.  A new leader learns everything else
from the ranks: whether a change is armed, on which of them, and whether one of
them is still held.  While a rank is held, the change can be undone.  In a
change, the held rank is released only after every rank has armed the new map,
so an armed change without a held rank has to be finished.
"""

from typing import Sequence

import msgspec

from . import expert_maps
from . import map_orders


class Missing(msgspec.Struct, frozen=True, kw_only=True):
    """Some ranks did not report, so nothing can be decided."""

    ranks: tuple[int, ...]


class Disagree(msgspec.Struct, frozen=True, kw_only=True):
    """Ranks use different maps, which the protocol never leads to."""

    versions: tuple[expert_maps.Version, ...]


class Start(msgspec.Struct, frozen=True, kw_only=True):
    """No rank has a map: the group has just started and is given one."""


class Undo(msgspec.Struct, frozen=True, kw_only=True):
    """Armed maps and loaded weights of a change are to be dropped."""


class Admit(msgspec.Struct, frozen=True, kw_only=True):
    """Ranks without a map are to adopt the schedule of the others.

    :ivar states: the states of the ranks without a map.
    """

    schedule: expert_maps.Schedule
    states: tuple[map_orders.RankState, ...]


class Release(msgspec.Struct, frozen=True, kw_only=True):
    """All ranks agree; the held ones are to be released.

    :ivar unarmed: nothing is armed, so orders to arm that are still on their
        way must be invalidated first.  A rank that is still loading shows
        nothing of the change; released at once, the group could reach the
        step while such an order takes effect on one rank alone.
    """

    ranks: tuple[int, ...]
    unarmed: bool = False


class Await(msgspec.Struct, frozen=True, kw_only=True):
    """All ranks have armed a map and have yet to enter its first step."""

    schedule: expert_maps.Schedule


class Settled(msgspec.Struct, frozen=True, kw_only=True):
    """All ranks use one map; nothing is armed, held or left over.

    :ivar entered: the last step that any rank has entered.
    """

    version: expert_maps.Version
    entered: int


Decision = (
    Missing | Disagree | Start | Undo | Admit | Release | Await | Settled
)


def decide(*, states: Sequence[map_orders.RankState], ranks: int) -> Decision:
    """Return what the leader has to do next.

    :param states: states of all ranks that reported.
    :param ranks: how many ranks the group has.
    """
    reported = {state.rank for state in states}
    missing = set(range(ranks)) - reported
    if missing or len(states) != len(reported):
        return Missing(ranks=tuple(sorted(missing)))
    unmapped = tuple(one for one in states if one.schedule is None)
    if len(unmapped) == ranks:
        return Start()
    schedules = [one.schedule for one in states if one.schedule is not None]
    holders = tuple(one.rank for one in states if one.hold_before is not None)
    pending = {one for one in schedules if one.following is not None}
    in_force = {one.in_force for one in schedules}
    if not pending:
        return _decide_unarmed(states, in_force, unmapped, holders)
    if len(pending) > 1 or len(in_force) > 2:
        return Disagree(versions=tuple(sorted(in_force)))
    return _decide_armed(pending.pop(), schedules, unmapped, holders)


def _decide_unarmed(
    states: Sequence[map_orders.RankState],
    in_force: set[expert_maps.Version],
    unmapped: tuple[map_orders.RankState, ...],
    holders: tuple[int, ...],
) -> Decision:
    if len(in_force) > 1:
        return Disagree(versions=tuple(sorted(in_force)))
    version = next(iter(in_force))
    if any(_has_unused_weights(one) for one in states):
        return Undo()
    if unmapped:
        schedule = expert_maps.Schedule(in_force=version)
        return Admit(schedule=schedule, states=unmapped)
    if holders:
        return Release(ranks=holders, unarmed=True)
    entered = max(one.entered for one in states)
    return Settled(version=version, entered=entered)


def _has_unused_weights(state: map_orders.RankState) -> bool:
    if state.schedule is None:
        return False
    return bool(state.loading) or state.loaded != (state.schedule.in_force,)


def _decide_armed(
    armed: expert_maps.Schedule,
    schedules: Sequence[expert_maps.Schedule],
    unmapped: tuple[map_orders.RankState, ...],
    holders: tuple[int, ...],
) -> Decision:
    assert armed.following is not None
    moved = expert_maps.Schedule(in_force=armed.following)
    old = expert_maps.Schedule(in_force=armed.in_force)
    distinct = set(schedules)
    if not distinct <= {armed, moved, old}:
        return Disagree(versions=tuple(one.in_force for one in schedules))
    if old in distinct and moved in distinct:
        return Disagree(versions=(old.in_force, moved.in_force))
    if old in distinct:
        return Undo()
    # A rank without a map may load weights for longer than the group can be
    # kept waiting, so the change is undone while that is still safe.
    if holders and unmapped:
        return Undo()
    if unmapped:
        schedule = moved if moved in distinct else armed
        return Admit(schedule=schedule, states=unmapped)
    if holders:
        return Release(ranks=holders)
    return Await(schedule=armed)
