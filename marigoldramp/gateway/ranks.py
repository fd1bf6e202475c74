"""Reports of ranks, orders to ranks, and the interface to reach them."""

import abc
import dataclasses

from . import outbound


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Armed:
    """A prepared map that takes effect when a step begins."""

    version: int
    step: int


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class RankReport:
    """State of a rank; reports lag behind by a fraction of a second.

    :ivar group: empty for an endpoint that belongs to no group.
    :ivar epoch: increases whenever the group forms again.
    :ivar size: number of ranks of the group.
    :ivar group_open: whether the group is running, with no failed rank.
    :ivar step: the last step that the group has begun.
    :ivar version: the map in force.
    :ivar prepared: the map whose experts are all copied, if any.
    :ivar held: the step that does not begin before a release, if any.
    :ivar pace: slowdown of the rank, as a multiple of its usual time.
    :ivar born: identifies the start of the endpoint; 0 if unknown.
    """

    group: str
    epoch: int
    rank: int
    size: int
    group_open: bool
    step: int
    version: int
    prepared: int | None
    armed: Armed | None
    held: int | None
    pace: float = 1.0
    born: int = 0


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class RankCounts:
    """How often each expert was chosen since the rank started.

    :ivar counts: by expert, with the layers concatenated.
    :ivar born: identifies the start of the endpoint; 0 if unknown.
    """

    epoch: int
    step: int
    counts: tuple[int, ...]
    born: int = 0


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class RankExperts:
    """The experts of one rank by layer, in the map in force."""

    version: int
    layers: tuple[tuple[int, ...], ...]


#: Lists of experts by layer and rank.
Layers = tuple[tuple[tuple[int, ...], ...], ...]


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Prepare:
    """Copy the experts that the rank needs for a map."""

    version: int
    layers: Layers


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Arm:
    """Use a prepared map from a step on."""

    version: int
    step: int


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Disarm:
    """Cancel an armed map."""

    version: int


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Hold:
    """Do not begin a step until it is released."""

    step: int


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Release:
    """Allow a held step to begin."""

    step: int


OrderBody = Prepare | Arm | Disarm | Hold | Release


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Order:
    """An order to one rank.

    :ivar token: fencing token; a rank refuses a lower one than it has seen.
    :ivar epoch: a rank refuses the order in any other epoch.
    """

    token: int
    epoch: int
    body: OrderBody


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Accepted:
    """The order was carried out, or its effect was already in place."""


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Refused:
    """The order does not fit the state of the rank and had no effect.

    :ivar status: HTTP status of the reply.
    """

    status: int


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class TokenOld:
    """The rank has seen a higher token."""


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class NoReply:
    """No usable reply; an order may still be carried out later."""

    detail: str


OrderReply = Accepted | Refused | TokenOld | NoReply


class RankApi(abc.ABC):
    """Interface to the ranks of groups."""

    @abc.abstractmethod
    async def report(
        self, *, address: outbound.Address, identity: str
    ) -> RankReport | NoReply:
        """Request the report of a rank."""

    @abc.abstractmethod
    async def counts(
        self, *, address: outbound.Address, identity: str
    ) -> RankCounts | NoReply:
        """Request the expert counts of a rank."""

    @abc.abstractmethod
    async def experts(
        self, *, address: outbound.Address, identity: str
    ) -> RankExperts | NoReply:
        """Request the experts that a rank holds."""

    @abc.abstractmethod
    async def order(
        self, *, address: outbound.Address, identity: str, order: Order
    ) -> OrderReply:
        """Send an order to a rank."""
