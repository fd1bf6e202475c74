"""Calls that wait for a slot, and what decides which one is next."""

import abc
import dataclasses
from typing import Generic
from typing import TypeVar

#: Stands for the cost of a call of which nothing is known, in seconds.
LEAST_COST = 0.001


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Waiting:
    """A call that asks for a slot.

    :ivar weight: share of its customer under contention.
    :ivar deadline: clock time at which the answer is worthless.
    :ivar cost: expected work, in any unit that is the same for all calls of
        the queue; generated tokens, or 1 where all calls are alike.
    """

    call: str
    customer: str
    weight: float
    priority: int
    deadline: float
    cost: float


class Place:
    """A call's place in an order.

    :ivar seconds: expected seconds on a slot.
    """

    __slots__ = ('waiting', 'seconds', 'arrived')

    def __init__(
        self, *, waiting: Waiting, seconds: float, arrived: float
    ) -> None:
        self.waiting = waiting
        self.seconds = max(LEAST_COST, seconds)
        self.arrived = arrived


P = TypeVar('P', bound=Place)


class Order(abc.ABC, Generic[P]):
    """Holds queued calls and says which one is next."""

    @abc.abstractmethod
    def __len__(self) -> int:
        """Return how many calls are queued."""

    @abc.abstractmethod
    def push(self, place: P) -> None:
        """Add a call."""

    @abc.abstractmethod
    def remove(self, place: P) -> None:
        """Take out a call that is no longer to be served."""

    @abc.abstractmethod
    def pop(self, *, urgent_only: bool) -> P | None:
        """Take out the call to serve next, if there is one."""

    @abc.abstractmethod
    def ahead(self, *, waiting: Waiting, seconds: float) -> float:
        """Return the slot seconds to be served before a new call."""

    @abc.abstractmethod
    def work(self, *, priority: int) -> float:
        """Return the queued slot seconds of a priority and all above it."""

    @abc.abstractmethod
    def find_displaced(self, *, waiting: Waiting, seconds: float) -> P | None:
        """Return the queued call that should yield to a new one, if any."""
