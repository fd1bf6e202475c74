"""What a leader has to do next where ranks obey whoever orders them.

Ranks that check no fencing token may carry out an order of an older leader,
or a copy of one that was lost on its way, at any later moment.  So nothing
here rests on an order being dead.  It rests on what a rank never takes back:

- It refuses a version that is not above all that it was told to prepare, and
  from then on refuses to arm any older one.
- It refuses to prepare anything while a map is armed.
- It refuses to arm or to hold a step that has begun.

An armed map is therefore completed by whoever leads.  It is given up only
when a rank shows a newer version and so can never arm it any more.  A held
step is released only when all ranks have armed one map, which nobody then
gives up, or when all have taken a newer version since the hold was seen, so
that no order to arm that is still on its way finds what it names.
"""

import dataclasses
from typing import Sequence

from . import expert_maps
from . import map_decisions
from . import map_orders


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Complete:
    """A map is armed on some ranks and is to be armed on the others.

    :ivar in_force: the map that all still use.
    """

    in_force: expert_maps.Version
    version: expert_maps.Version
    from_step: int
    ranks: tuple[int, ...]


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Abandon:
    """An armed map that not all ranks can arm any more; it is disarmed."""

    version: expert_maps.Version


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Seal:
    """A step is held and nothing is armed.

    All ranks are to take a newer version of the map in force first.
    Released at once, the group could pass the step while an order to arm
    reaches some of its ranks.
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
    """Return what has to be done next, see :func:`.map_decisions.decide`."""
    seen = {state.rank for state in states}
    missing = set(range(ranks)) - seen
    if missing or len(states) != len(seen):
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
        # Reports of different moments, as the lag of each rank is its own.
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
    if any(_uses(one, version) for one in states):
        # The step has begun, and reports of some ranks are older.
        return map_decisions.Await(schedule=armed)
    lacking = tuple(one for one in states if one.schedule != armed)
    if any(max(one.loaded) > version for one in lacking):
        return Abandon(version=version)
    if lacking:
        return Complete(
            in_force=armed.in_force,
            version=version,
            from_step=armed.from_step,
            ranks=tuple(one.rank for one in lacking),
        )
    if holders:
        return map_decisions.Release(ranks=holders)
    return map_decisions.Await(schedule=armed)


def _uses(state: map_orders.RankState, version: expert_maps.Version) -> bool:
    return state.schedule is not None and state.schedule.in_force >= version
