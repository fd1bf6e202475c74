"""The slots of an endpoint, some of which are kept for urgent calls."""

import dataclasses
from typing import Callable

from . import bundle
from . import estimates
from . import queue_order

URGENT = bundle.Priority.URGENT


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Slot:
    """The right to run one call; given back by ``admission.Queue.leave``.

    :ivar number: distinguishes the slots given by one queue.
    :ivar waited: seconds that the call waited for it.
    """

    number: int
    waiting: queue_order.Waiting
    waited: float


class Slots:
    """Counts what runs, and keeps as much free as urgent calls would fill.

    Without a reserve every slot comes to be held by a draft for many
    seconds, seen as urgent calls that miss their deadline while the queue
    holds nothing but them.

    :param count: calls that run at once.
    """

    __slots__ = ('count', '_clock', '_held', '_others', '_urgent', '_number')

    def __init__(self, *, count: int, clock: Callable[[], float]) -> None:
        self.count = count
        self._clock = clock
        self._held: dict[int, Slot] = {}
        self._others = 0
        self._urgent = estimates.Rate()
        self._number = 0

    def __len__(self) -> int:
        return len(self._held)

    def expect(self, *, waiting: queue_order.Waiting, seconds: float) -> None:
        """Note the work that a new call brings."""
        if waiting.priority == URGENT:
            self._urgent.add(seconds, now=self._clock())

    def has_free(self, *, priority: int) -> bool:
        """Return whether a slot is free for a call of that priority."""
        if len(self._held) >= self.count:
            return False
        return priority == URGENT or not self.is_reserved()

    def is_reserved(self) -> bool:
        """Return whether the slots left are kept for urgent calls."""
        return self._others >= self.count - self._kept()

    def open_to(self, priority: int) -> int:
        """Return the slots that calls of a priority can come to hold."""
        if priority == URGENT:
            return self.count
        return max(1, self.count - self._kept())

    def take(self, *, waiting: queue_order.Waiting, waited: float) -> Slot:
        """Give out a slot, of which there is a free one."""
        self._number += 1
        slot = Slot(number=self._number, waiting=waiting, waited=waited)
        self._held[slot.number] = slot
        self._others += waiting.priority != URGENT
        return slot

    def give_back(self, slot: Slot) -> None:
        """Take a slot back; a second time is an error of the caller's."""
        del self._held[slot.number]
        self._others -= slot.waiting.priority != URGENT

    def _kept(self) -> int:
        """Return the slots that the urgent calls of late would fill."""
        demand = self._urgent.rate(now=self._clock())
        return min(self.count // 2, round(demand))
