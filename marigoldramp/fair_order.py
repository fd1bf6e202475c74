"""Order in which queued calls are served.

Two levels of weighted fair queueing.  Between priorities, by weights so
steep that urgent calls go first as long as they take less than their large
share of the slots; beyond it, drafts still move.  Within a priority,
between customers, by their weights: a customer's flood waits behind itself.
"""

from typing import TypeVar

from . import bundle
from . import fair_lines
from . import queue_order

#: Shares of the slots under contention, by priority.
PRIORITY_WEIGHTS = {
    bundle.Priority.URGENT: 64.0,
    bundle.Priority.NORMAL: 8.0,
    bundle.Priority.BACKGROUND: 1.0,
}

P = TypeVar('P', bound=queue_order.Place)


class FairOrder(queue_order.Order[P]):
    """Weighted fairness between priorities and between customers."""

    __slots__ = ('_classes', '_virtual')

    def __init__(self) -> None:
        self._classes: dict[int, fair_lines.Lines[P]] = {
            priority: fair_lines.Lines(weight=weight)
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

    def ahead(self, *, waiting: queue_order.Waiting, seconds: float) -> float:
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

    def find_displaced(
        self, *, waiting: queue_order.Waiting, seconds: float
    ) -> P | None:
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
            weight = max(fair_lines.LEAST_WEIGHT, waiting.weight)
            left = line.work - line.places[-1].seconds
            if left / line.weight > queued / weight:
                return line.places[-1]
        return None

    def _next(self, *, urgent_only: bool) -> fair_lines.Lines[P] | None:
        """Return the priority to serve; at a tie the more urgent one."""
        backlogged = [
            one
            for priority, one in self._classes.items()
            if one.count
            and (priority == bundle.Priority.URGENT or not urgent_only)
        ]
        return min(backlogged, key=fair_lines.Lines.finish, default=None)
