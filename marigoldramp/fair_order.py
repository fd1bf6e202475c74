"""Order in which queued calls are served.

Two levels of weighted fair queueing.  Between priorities, by weights so
steep that urgent calls go first as long as they take less than their large
share of the slots; beyond it, drafts still move.  Within a priority,
between customers, by their weights: a customer's flood waits behind itself.
"""

import abc
import collections
import dataclasses
from typing import Generic
from typing import TypeVar

from . import bundle

#: Shares of the slots under contention, by priority.
PRIORITY_WEIGHTS = {
    bundle.Priority.URGENT: 64.0,
    bundle.Priority.NORMAL: 8.0,
    bundle.Priority.BACKGROUND: 1.0,
}
LEAST_WEIGHT = 0.01
#: Calls by which a customer may be ahead of the one that is owed the most
#: and still be served in order of arrival.  With 0 two customers that each
#: keep within their share delay one another; with 16 a flood is felt.
ALLOWANCE = 2.0
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


class _Line(Generic[P]):
    """The queued calls of one customer at one priority.

    :ivar start: virtual time at which its next call may start.
    :ivar work: expected slot seconds of its queued calls.
    """

    __slots__ = ('places', 'start', 'work', 'weight')

    def __init__(self, *, start: float, weight: float) -> None:
        self.places: collections.deque[P] = collections.deque()
        self.start = start
        self.work = 0.0
        self.weight = weight


class _Class(Generic[P]):
    """The queued calls of one priority, a line for each customer.

    A line that empties is dropped once the virtual time has passed its
    start, so lines are bounded by the calls queued and those just served.
    """

    __slots__ = ('weight', 'start', 'virtual', 'lines', 'count', 'work')

    def __init__(self, *, weight: float) -> None:
        self.weight = weight
        self.start = 0.0
        self.virtual = 0.0
        self.lines: dict[str, _Line[P]] = {}
        self.count = 0
        self.work = 0.0

    def finish(self) -> float:
        """Return the virtual time at which a mean call would be done.

        Ordering by the start alone would let a background call that has
        just come go before a draft that is owed its turn.
        """
        return self.start + self.work / self.count / self.weight

    def push(self, place: P) -> None:
        waiting = place.waiting
        line = self.lines.get(waiting.customer)
        weight = max(LEAST_WEIGHT, waiting.weight)
        if line is None:
            line = _Line(start=self.virtual, weight=weight)
            self.lines[waiting.customer] = line
        if not line.places:
            line.start = max(line.start, self.virtual)
        line.weight = weight
        line.places.append(place)
        self._count(line, 1, place.seconds)

    def pop(self) -> P:
        """Take the oldest call among the lines that are not ahead."""
        backlogged = [line for line in self.lines.values() if line.places]
        self.virtual = min(line.start for line in backlogged)
        line = min(
            backlogged,
            key=lambda line: (
                line.start - self.virtual
                > ALLOWANCE * line.places[0].seconds / line.weight,
                line.places[0].arrived,
            ),
        )
        place = line.places.popleft()
        self._count(line, -1, -place.seconds)
        line.start += place.seconds / line.weight
        self._forget_served()
        return place

    def remove(self, place: P) -> None:
        line = self.lines[place.waiting.customer]
        line.places.remove(place)
        self._count(line, -1, -place.seconds)
        self._forget_served()

    def ahead(self, *, customer: str, seconds: float, weight: float) -> float:
        """Return the work served before a new call of a customer.

        Until the customer's own work up to this call is done, any other
        gets at most as much for its weight.
        """
        own = self.lines.get(customer)
        until = seconds + (own.work if own is not None else 0.0)
        share = until / max(LEAST_WEIGHT, weight)
        others = sum(
            min(line.work, share * line.weight)
            for name, line in self.lines.items()
            if name != customer
        )
        return others + until - seconds

    def find_longest(self) -> _Line[P]:
        """Return the line with the most work for its weight."""
        return max(
            (line for line in self.lines.values() if line.places),
            key=lambda line: line.work / line.weight,
        )

    def _count(self, line: _Line[P], count: int, seconds: float) -> None:
        line.work = line.work + seconds if line.places else 0.0
        self.count += count
        self.work = self.work + seconds if self.count else 0.0

    def _forget_served(self) -> None:
        done = [
            name
            for name, line in self.lines.items()
            if not line.places and (line.start <= self.virtual)
        ]
        for name in done:
            del self.lines[name]
        if not self.count:
            self.lines.clear()


class FairOrder(Order[P]):
    """Weighted fairness between priorities and between customers."""

    __slots__ = ('_classes', '_virtual')

    def __init__(self) -> None:
        self._classes: dict[int, _Class[P]] = {
            priority: _Class(weight=weight)
            for priority, weight in PRIORITY_WEIGHTS.items()
        }
        self._virtual = 0.0

    def __len__(self) -> int:
        return sum(one.count for one in self._classes.values())

    def push(self, place: P) -> None:
        """Add a call behind its customer's others of the same priority."""
        one = self._classes[place.waiting.priority]
        if not one.count:
            one.start = max(one.start, self._virtual)
        one.push(place)

    def pop(self, *, urgent_only: bool) -> P | None:
        """Take the call whose priority and customer are owed the most."""
        one = self._next(urgent_only=urgent_only)
        if one is None:
            return None
        place = one.pop()
        self._virtual = one.start
        one.start += place.seconds / one.weight
        return place

    def remove(self, place: P) -> None:
        """Take out a call wherever it stands."""
        self._classes[place.waiting.priority].remove(place)

    def ahead(self, *, waiting: Waiting, seconds: float) -> float:
        """Return the work of higher priorities and of its own before it."""
        higher = sum(
            one.work
            for priority, one in self._classes.items()
            if priority < waiting.priority
        )
        own = self._classes[waiting.priority].ahead(
            customer=waiting.customer,
            seconds=seconds,
            weight=waiting.weight,
        )
        return higher + own

    def work(self, *, priority: int) -> float:
        """Return the queued slot seconds of a priority and all above it."""
        return sum(
            one.work
            for known, one in self._classes.items()
            if known <= priority
        )

    def find_displaced(self, *, waiting: Waiting, seconds: float) -> P | None:
        """Return the newest call of the line that has the most queued.

        A lower priority yields to a higher one.  Within one priority a
        customer yields that would still have more queued than the new
        call's customer has with it.
        """
        for priority in sorted(self._classes, reverse=True):
            one = self._classes[priority]
            if not one.count or priority < waiting.priority:
                continue
            line = one.find_longest()
            if priority > waiting.priority:
                return line.places[-1]
            own = one.lines.get(waiting.customer)
            if own is line:
                return None
            queued = seconds + (own.work if own is not None else 0.0)
            weight = max(LEAST_WEIGHT, waiting.weight)
            left = line.work - line.places[-1].seconds
            if left / line.weight > queued / weight:
                return line.places[-1]
        return None

    def _next(self, *, urgent_only: bool) -> _Class[P] | None:
        """Return the priority to serve; at a tie the more urgent one."""
        backlogged = [
            one
            for priority, one in self._classes.items()
            if one.count
            and (priority == bundle.Priority.URGENT or not urgent_only)
        ]
        return min(backlogged, key=_Class.finish, default=None)
