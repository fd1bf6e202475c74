"""Reports of ranks, orders to ranks, and the interface to reach them."""

import abc

import msgspec

from . import outbound


class Armed(msgspec.Struct, frozen=True, kw_only=True):
    """A prepared map that takes effect when a step begins."""

    version: int
    step: int


class RankReport(msgspec.Struct, frozen=True, kw_only=True):
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


class RankCounts(msgspec.Struct, frozen=True, kw_only=True):
    """How often each expert was chosen since the rank started.

    :ivar counts: by expert, with the layers concatenated.
    :ivar born: identifies the start of the endpoint; 0 if unknown.
    """

    epoch: int
    step: int
    counts: tuple[int, ...]
    born: int = 0


class RankExperts(msgspec.Struct, frozen=True, kw_only=True):
    """The experts of one rank by layer, in the map in force."""

    version: int
    layers: tuple[tuple[int, ...], ...]


#: Lists of experts by layer and rank.
Layers = tuple[tuple[tuple[int, ...], ...], ...]


class Prepare(msgspec.Struct, frozen=True, kw_only=True):
    """Copy the experts that the rank needs for a map."""

    version: int
    layers: Layers


class Arm(msgspec.Struct, frozen=True, kw_only=True):
    """Use a prepared map from a step on."""

    version: int
    step: int


class Disarm(msgspec.Struct, frozen=True, kw_only=True):
    """Cancel an armed map."""

    version: int


class Hold(msgspec.Struct, frozen=True, kw_only=True):
    """Do not begin a step until it is released."""

    step: int


class Release(msgspec.Struct, frozen=True, kw_only=True):
    """Allow a held step to begin."""

    step: int


OrderBody = Prepare | Arm | Disarm | Hold | Release


class Order(msgspec.Struct, frozen=True, kw_only=True):
    """An order to one rank.

    :ivar token: fencing token; a rank refuses one lower than that of an order
        that it has carried out.
    :ivar epoch: a rank refuses the order in any other epoch.
    """

    token: int
    epoch: int
    body: OrderBody


class Accepted(msgspec.Struct, frozen=True, kw_only=True):
    """The order was carried out, or its effect was already in place."""


class Refused(msgspec.Struct, frozen=True, kw_only=True):
    """The order does not fit the state of the rank and had no effect.

    :ivar status: HTTP status of the reply.
    """

    status: int


class TokenOld(msgspec.Struct, frozen=True, kw_only=True):
    """The rank has carried out an order with a higher token."""


class NoReply(msgspec.Struct, frozen=True, kw_only=True):
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
