"""What a rank of a group says of itself, and the orders it takes."""

import abc
import dataclasses

from . import outbound


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Armed:
    """A map that comes into force when a step begins."""

    version: int
    step: int


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class RankReport:
    """A rank's report; it lags by a moment.

    :ivar group: empty for an endpoint that belongs to none.
    :ivar epoch: grows whenever the group forms anew.
    :ivar size: ranks of the group.
    :ivar step: the last step that the group has begun.
    :ivar version: the map in force.
    :ivar prepared: the map whose experts are all copied, if any.
    :ivar held: the step that does not begin before a release.
    :ivar pace: times longer than usual that its work takes.
    :ivar born: tells starts of the endpoint apart; 0 if unknown.
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

    :ivar counts: experts of all layers behind one another.
    :ivar born: tells starts of the endpoint apart; 0 if unknown.
    """

    epoch: int
    step: int
    counts: tuple[int, ...]
    born: int = 0


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class RankExperts:
    """The experts of one rank, by layer, in the map in force."""

    version: int
    layers: tuple[tuple[int, ...], ...]


#: Experts by layer and rank.
Layers = tuple[tuple[tuple[int, ...], ...], ...]


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Prepare:
    """Copy the experts that a map needs."""

    version: int
    layers: Layers


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Arm:
    """Use a prepared map from a step on."""

    version: int
    step: int


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Disarm:
    """Forget that a map is armed."""

    version: int


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Hold:
    """Do not begin a step."""

    step: int


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Release:
    """Begin a step that was held."""

    step: int


OrderBody = Prepare | Arm | Disarm | Hold | Release


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Order:
    """One order.

    :ivar token: a rank refuses a lower one than it has seen.
    :ivar epoch: a rank refuses the order in any other.
    """

    token: int
    epoch: int
    body: OrderBody


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Accepted:
    """The order was obeyed, or what it wants already holds."""


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Refused:
    """The order does not fit the rank's state, and has no effect."""

    status: int


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class TokenOld:
    """The rank has seen a higher token."""


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class NoReply:
    """Nothing is known; the order may yet be carried out."""

    detail: str


OrderReply = Accepted | Refused | TokenOld | NoReply


class RankApi(abc.ABC):
    """Reaches ranks."""

    @abc.abstractmethod
    async def report(
        self, *, address: outbound.Address, identity: str
    ) -> RankReport | NoReply:
        """Return a rank's report."""

    @abc.abstractmethod
    async def counts(
        self, *, address: outbound.Address, identity: str
    ) -> RankCounts | NoReply:
        """Return what a rank has counted."""

    @abc.abstractmethod
    async def experts(
        self, *, address: outbound.Address, identity: str
    ) -> RankExperts | NoReply:
        """Return the experts that a rank holds."""

    @abc.abstractmethod
    async def order(
        self, *, address: outbound.Address, identity: str, order: Order
    ) -> OrderReply:
        """Give a rank an order."""
