"""Messages between the leader of a rank group and the agents of its ranks.

Every order carries three numbers, by which agents refuse outdated orders:

- The *fence* is the fencing token of the leader.  An agent obeys only the
  highest fence that it knows.
- The *incarnation* identifies one start of the agent process.  A restarted
  agent no longer knows which orders it has obeyed, so it refuses orders that
  were sent to the process before.
- The *sequence* grows with each order of a leader.  An agent refuses late
  copies and duplicates of an order once it has obeyed a later one.
"""

import enum
import math

import msgspec

from . import expert_maps
from . import popularity


class Ask(msgspec.Struct, frozen=True, array_like=True, kw_only=True, tag='q'):
    """Report fence and state; changes nothing and needs no fence."""


class Count(
    msgspec.Struct, frozen=True, array_like=True, kw_only=True, tag='n'
):
    """Report the counts of all ranks; changes nothing, needs no fence."""


class Inspect(
    msgspec.Struct, frozen=True, array_like=True, kw_only=True, tag='i'
):
    """Adopt this leader's fence and report the state of all ranks."""


class Confirm(
    msgspec.Struct, frozen=True, array_like=True, kw_only=True, tag='c'
):
    """Report the state of all ranks; a restarted agent refuses.

    :ivar settled: whether the report has to show the effect of all orders
        that the ranks have obeyed.
    """

    settled: bool = True


class Fetch(
    msgspec.Struct, frozen=True, array_like=True, kw_only=True, tag='f'
):
    """Return a map that some rank of the agent uses or has loaded."""

    version: expert_maps.Version


class Prepare(
    msgspec.Struct, frozen=True, array_like=True, kw_only=True, tag='p'
):
    """Start loading the weights of a map; the reply does not wait.

    :ivar ranks: ranks that are to load it; empty for all of the agent.
    """

    expert_map: expert_maps.ExpertMap
    ranks: tuple[int, ...] = ()


class Hold(
    msgspec.Struct, frozen=True, array_like=True, kw_only=True, tag='h'
):
    """Keep a rank from entering a step, or the next if that has begun."""

    rank: int
    before_step: int


class Arm(msgspec.Struct, frozen=True, array_like=True, kw_only=True, tag='a'):
    """Switch to a loaded map at a step that has not begun."""

    version: expert_maps.Version
    from_step: int


class Release(
    msgspec.Struct, frozen=True, array_like=True, kw_only=True, tag='r'
):
    """Let a held rank go on."""

    rank: int


class Undo(
    msgspec.Struct, frozen=True, array_like=True, kw_only=True, tag='u'
):
    """Disarm a map and drop weights that the map in force does not need.

    :ivar version: the map to disarm; ``None`` for any that is armed.
    """

    version: expert_maps.Version | None = None


class Adopt(
    msgspec.Struct, frozen=True, array_like=True, kw_only=True, tag='d'
):
    """Give a rank that has no map the schedule of the others."""

    rank: int
    schedule: expert_maps.Schedule


Body = (
    Ask
    | Count
    | Inspect
    | Confirm
    | Fetch
    | Prepare
    | Hold
    | Arm
    | Release
    | Undo
    | Adopt
)


class Order(msgspec.Struct, frozen=True, array_like=True, kw_only=True):
    """One order; the module's docstring explains the three numbers."""

    group: str
    leader: str
    fence: int
    incarnation: int
    sequence: int
    body: Body


class Refusal(enum.StrEnum):
    """Why an agent did not carry out an order."""

    NONE = ''
    OTHER_GROUP = 'other_group'
    FENCE_UNKNOWN = 'fence_unknown'
    FENCE_OLD = 'fence_old'
    INCARNATION = 'incarnation'
    SEQUENCE = 'sequence'
    NO_SUCH_RANK = 'no_such_rank'
    NO_MAP = 'no_map'
    HAS_MAP = 'has_map'
    NOT_LOADED = 'not_loaded'
    STEP_ENTERED = 'step_entered'
    CHANGE_ARMED = 'change_armed'
    ENGINE_FAILED = 'engine_failed'
    MALFORMED = 'malformed'


class RankState(msgspec.Struct, frozen=True, array_like=True, kw_only=True):
    """The state of one rank, as its engine reports it.

    :ivar entered: the last step that the rank has entered; 0 for none.
    :ivar schedule: ``None`` when the rank has no map, as after a restart of
        its engine; such a rank enters no step.
    :ivar loaded: versions whose weights are all loaded.
    :ivar loading: the version whose weights are being loaded.
    :ivar hold_before: the step before which the rank is held; it enters
        neither this one nor a later one.
    """

    rank: int
    entered: int
    schedule: expert_maps.Schedule | None
    loaded: tuple[expert_maps.Version, ...] = ()
    loading: expert_maps.Version | None = None
    hold_before: int | None = None


class Reply(msgspec.Struct, frozen=True, array_like=True, kw_only=True):
    """An agent's answer to an order.

    :ivar fence: the highest fence that the agent knows, 0 for none yet.
    :ivar states: states of all ranks of the agent whose engine answered.
    :ivar expert_map: the answer to ``Fetch``.
    :ivar slack: seconds by which every call that the agent runs can be
        delayed without missing its promised deadline.
    :ivar reports: the answer to ``Count``, merged over all ranks.
    """

    refusal: Refusal
    fence: int
    incarnation: int
    states: tuple[RankState, ...] = ()
    expert_map: expert_maps.ExpertMap | None = None
    reports: tuple[popularity.Report, ...] = ()
    slack: float = math.inf

    @property
    def accepted(self) -> bool:
        """Return whether the order was obeyed."""
        return self.refusal == Refusal.NONE


class Lost(msgspec.Struct, frozen=True, kw_only=True):
    """No reply came; the order may or may not have been obeyed."""

    detail: str = ''
