"""Orders of a rank group's leader to the agents of its ranks.

Every order carries three numbers.  The *fence* tells leaders apart: an
agent obeys only the highest it knows.  The *incarnation* names the start of
the agent process for which the order is meant: a copy that was delayed past
the agent's restart, when the agent no longer knows what it had already
obeyed, is refused.  The *sequence* grows with each order of one leader: a
late or doubled copy of an order that has been overtaken is refused.
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
    """Send what the ranks have counted; changes nothing, needs no fence."""


class Inspect(
    msgspec.Struct, frozen=True, array_like=True, kw_only=True, tag='i'
):
    """Take on this leader's fence and report the state of all ranks."""


class Confirm(
    msgspec.Struct, frozen=True, array_like=True, kw_only=True, tag='c'
):
    """Report the state of all ranks; refused by a restarted agent.

    :ivar settled: the report must show the effect of all orders that the
        rank has obeyed.
    """

    settled: bool = True


class Fetch(
    msgspec.Struct, frozen=True, array_like=True, kw_only=True, tag='f'
):
    """Send the contents of a map that some rank here uses."""

    version: expert_maps.Version


class Prepare(
    msgspec.Struct, frozen=True, array_like=True, kw_only=True, tag='p'
):
    """Begin to load the weights of a map; the reply does not wait.

    :ivar ranks: ranks that are to load it, empty for all of the agent.
    """

    expert_map: expert_maps.ExpertMap
    ranks: tuple[int, ...] = ()


class Hold(
    msgspec.Struct, frozen=True, array_like=True, kw_only=True, tag='h'
):
    """Do not enter this step, or the next one if it is entered already."""

    rank: int
    before_step: int


class Arm(msgspec.Struct, frozen=True, array_like=True, kw_only=True, tag='a'):
    """Use a loaded map from a step on."""

    version: expert_maps.Version
    from_step: int


class Release(
    msgspec.Struct, frozen=True, array_like=True, kw_only=True, tag='r'
):
    """Stop holding."""

    rank: int


class Undo(
    msgspec.Struct, frozen=True, array_like=True, kw_only=True, tag='u'
):
    """Forget an armed map and drop weights that no map in force needs.

    :ivar version: the map to forget; ``None`` for whichever is armed.
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
    """One order, see the module's text for the three numbers."""

    group: str
    leader: str
    fence: int
    incarnation: int
    sequence: int
    body: Body


class Refusal(enum.StrEnum):
    """Why an agent did not do what it was ordered."""

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
    """What an engine says about one rank.

    :ivar entered: the last step that the rank has entered; 0 for none.
    :ivar schedule: ``None`` when the rank has no map, as after a restart of
        its engine; such a rank enters no step.
    :ivar loaded: versions whose weights are all loaded.
    :ivar loading: the version whose weights are being loaded.
    :ivar hold_before: the rank does not enter this step or a later one.
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
    :ivar states: all ranks of the agent whose engine answered.
    :ivar expert_map: the answer to ``Fetch``.
    :ivar slack: seconds by which every call that runs beside the agent can
        be delayed without missing its promised deadline.
    :ivar reports: the answer to ``Count``, of all ranks together.
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
        """Say whether the order was obeyed."""
        return self.refusal == Refusal.NONE


class Lost(msgspec.Struct, frozen=True, kw_only=True):
    """No reply came; the order may or may not have been obeyed."""

    detail: str = ''
