"""Weighted fairness between the customers of one priority."""

import collections
from typing import Generic
from typing import TypeVar

from . import queue_order

LEAST_WEIGHT = 0.01
#: Calls by which a customer may be ahead of the one that is owed the most
#: and still be served in order of arrival.  With 0 two customers that each
#: keep within their share delay one another; with 16 a flood is felt.
ALLOWANCE = 2.0

P = TypeVar('P', bound=queue_order.Place)


class Line(Generic[P]):
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


class Lines(Generic[P]):
    """The queued calls of one priority, a line for each customer.

    A line that empties is dropped once the virtual time has passed its
    start, so lines are bounded by the calls queued and those just served.
    """

    __slots__ = ('weight', 'start', 'virtual', 'lines', 'count', 'work')

    def __init__(self, *, weight: float) -> None:
        self.weight = weight
        self.start = 0.0
        self.virtual = 0.0
        self.lines: dict[str, Line[P]] = {}
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
            line = Line(start=self.virtual, weight=weight)
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

    def find_longest(self) -> Line[P]:
        """Return the line with the most work for its weight."""
        return max(
            (line for line in self.lines.values() if line.places),
            key=lambda line: line.work / line.weight,
        )

    def _count(self, line: Line[P], count: int, seconds: float) -> None:
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
