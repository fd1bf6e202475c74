"""Decides what a leader does next where ranks check no fencing token.

Such ranks may carry out an order of an older leader, or one that was believed
lost, at any later moment.  The decisions therefore never assume that an order
without a reply has no effect.  They rely on what a rank guarantees:

- It prepares a version only if that is newer than all that it was told to
  prepare before, and from then on refuses to arm any older one.
- It refuses to prepare anything while a map is armed.
- It refuses to arm or to hold a step that has begun.

Every leader therefore completes a map that it finds armed.  It abandons one
only when a rank reports a newer version, and so can never arm that map any
more.  A held rank is released only in two cases: all ranks have armed one
map, which no leader then abandons; or all have prepared a newer version since
the hold was seen, so that they refuse an order to arm that is still on its
way.
"""

from typing import Sequence

import msgspec

from . import expert_maps
from . import map_decisions
from . import map_orders


class Complete(msgspec.Struct, frozen=True, kw_only=True):
    """A map is armed on some ranks and is to be armed on the others.

    :ivar in_force: the map that all ranks still use.
    :ivar version: the armed map.
    :ivar ranks: ranks that have not armed it.
    """

    in_force: expert_maps.Version
    version: expert_maps.Version
    from_step: int
    ranks: tuple[int, ...]


class Abandon(msgspec.Struct, frozen=True, kw_only=True):
    """Some ranks can no longer arm the armed map, so it is disarmed."""

    version: expert_maps.Version


class Seal(msgspec.Struct, frozen=True, kw_only=True):
    """A rank is held and nothing is armed.

    All ranks have to prepare a newer version of the map in force before the
    release.  Released at once, the group could pass the held step while an
    order to arm reaches only some of its ranks.

    :ivar version: the map in force.
    :ivar holders: the ranks that are held.
    """

    version: expert_maps.Version
    holders: tuple[int, ...]


Decision = (
    map_decisions.Missing
    | map_decisions.Disagree
    | Complete
    | Abandon
    | Seal
    | map_decisions.Release
    | map_decisions.Await
    | map_decisions.Settled
)


def decide(
    *, states: Sequence[map_orders.RankState], ranks: int
) -> map_decisions.Decision | Decision:
    """Return what the leader has to do next.

    See :func:`.map_decisions.decide`.
    """
    reported = {state.rank for state in states}
    missing = set(range(ranks)) - reported
    if missing or len(states) != len(reported):
        return map_decisions.Missing(ranks=tuple(sorted(missing)))
    schedules = {
        one.rank: one.schedule for one in states if one.schedule is not None
    }
    armed = {one for one in schedules.values() if one.following is not None}
    holders = tuple(one.rank for one in states if one.hold_before is not None)
    in_force = {one.in_force for one in schedules.values()}
    if len(schedules) < ranks or len(armed) > 1 or len(in_force) > 2:
        return map_decisions.Disagree(versions=tuple(sorted(in_force)))
    if armed:
        return _decide_armed(armed.pop(), states, holders)
    if len(in_force) > 1:
        # The reports lag by different times, so they show different moments.
        return map_decisions.Disagree(versions=tuple(sorted(in_force)))
    version = next(iter(in_force))
    if holders:
        return Seal(version=version, holders=holders)
    entered = max(one.entered for one in states)
    return map_decisions.Settled(version=version, entered=entered)


def _decide_armed(
    armed: expert_maps.Schedule,
    states: Sequence[map_orders.RankState],
    holders: tuple[int, ...],
) -> Decision:
    version = armed.following
    assert version is not None
    if any(_has_reached(one, version) for one in states):
        # The step has begun; some reports are from before it.
        return map_decisions.Await(schedule=armed)
    unarmed = tuple(one for one in states if one.schedule != armed)
    if any(max(one.loaded) > version for one in unarmed):
        return Abandon(version=version)
    if unarmed:
        return Complete(
            in_force=armed.in_force,
            version=version,
            from_step=armed.from_step,
            ranks=tuple(one.rank for one in unarmed),
        )
    if holders:
        return map_decisions.Release(ranks=holders)
    return map_decisions.Await(schedule=armed)


def _has_reached(
    state: map_orders.RankState, version: expert_maps.Version
) -> bool:
    return state.schedule is not None and state.schedule.in_force >= version
