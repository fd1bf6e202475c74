"""What decides between requests of one service that compete for slots.

Combines the demand of all gateways, the reserve for urgent requests, the
customers' shares and the estimates of waits.  All of it has no effect while a
service has requests of one priority and of one customer only.
"""

from typing import Iterable
from typing import Sequence

from . import demand as demand_module
from . import fair_order
from . import priority_reserve
from . import slot_requests
from . import wait_estimates

Waiter = slot_requests.Waiter

#: After this many consecutive slots for other requests, a gateway assigns one
#: to the least urgent queued request, even if more urgent ones are queued.
SLOTS_PER_LESS_URGENT = 10
#: Excess of a customer from which its requests leave slots to others of their
#: priority.  Customers with few requests reach one step by chance.
MIN_RESERVED_EXCESS = 2


class Contention:
    """Order, reserve and early refusals of one service.

    :ivar demand: requests here and at peers.
    :ivar shares: what customers use.
    :ivar priorities: those of the service's routes.
    """

    # ``_passed_over`` counts consecutive slots that were assigned while a less
    # urgent request was queued.
    __slots__ = ('demand', 'shares', 'priorities', '_passed_over')

    def __init__(self) -> None:
        self.demand = demand_module.Demand()
        self.shares = fair_order.CustomerShares()
        self.priorities: frozenset[int] = frozenset()
        self._passed_over = 0

    @property
    def has_priorities(self) -> bool:
        """Whether the service's requests have several priorities."""
        return len(self.priorities) > 1

    def is_contended(self, queue: Iterable[Waiter]) -> bool:
        """Whether requests differ in more than their order of arrival."""
        if self.has_priorities:
            return True
        return len({one.request.customer for one in queue}) > 1

    def note_arrival(self, priority: int, *, now: float) -> None:
        """Record a new request."""
        if self.has_priorities:
            self.demand.note_arrival(priority=priority, now=now)

    def sort(self, queue: Iterable[Waiter], *, now: float) -> list[Waiter]:
        """Return queued requests in the order in which they get slots.

        Under overload, strict order of arrival makes every response late.
        Requests that can still meet their objective therefore go first.
        """
        waiters = list(queue)
        customers = {one.request.customer for one in waiters}
        if len(customers) > 1 or self.has_priorities:
            excess = {
                one: self.shares.find_excess(one, now=now) for one in customers
            }
            for waiter in waiters:
                waiter.excess = excess[waiter.request.customer]
        waiters.sort(
            key=lambda one: (
                one.request.priority,
                one.excess,
                self._is_late(one, now),
                one.arrived,
            )
        )
        if self._passed_over >= SLOTS_PER_LESS_URGENT:
            self._move_less_urgent(waiters)
        return waiters

    def _is_late(self, waiter: Waiter, now: float) -> bool:
        """Whether a queued request is served behind others of its priority.

        If the service has several priorities, a request counts as late only
        if it arrived late.  One that becomes late in the queue keeps its
        place, as it was not refused early and has been waiting for long.
        """
        if self.has_priorities:
            now = waiter.arrived
        return now > waiter.request.late_after

    def _move_less_urgent(self, waiters: list[Waiter]) -> None:
        """Move a request of the least urgent priority to the front."""
        if waiters[-1].request.priority == waiters[0].request.priority:
            return
        least = waiters[-1].request.priority
        found = next(one for one in waiters if one.request.priority == least)
        waiters.remove(found)
        waiters.insert(0, found)

    def note_slot(
        self,
        request: slot_requests.SlotRequest,
        *,
        queue: Sequence[Waiter],
        now: float,
    ) -> None:
        """Record that a request got a slot.

        :param queue: requests that are still queued.
        """
        self.shares.note_slot(request.customer, now=now)
        if any(one.request.priority > request.priority for one in queue):
            self._passed_over += 1
        else:
            self._passed_over = 0

    def find_rank(
        self, request: slot_requests.SlotRequest, *, now: float
    ) -> int:
        """Return the priority by which a request leaves slots to others.

        If its customer exceeds its share, it also leaves slots to requests of
        its own priority.
        """
        excess = self.shares.find_excess(request.customer, now=now)
        return request.priority + (excess >= MIN_RESERVED_EXCESS)

    def find_reserve(
        self,
        priority: int,
        *,
        limit: float,
        now: float,
    ) -> float:
        """Return how many slots a request must leave to more urgent ones.

        :param limit: slots of the service.
        """
        if not self.has_priorities or priority <= min(self.priorities):
            return 0.0
        if self._passed_over >= SLOTS_PER_LESS_URGENT:
            return 0.0
        totals = self.demand.sum_peers(now=now)
        if not totals.delay:
            # This gateway alone assigns each slot to the most urgent request.
            return 0.0
        arrivals = dict(totals.arrivals)
        for one, rate in self.demand.list_arrivals(now=now).items():
            arrivals[one] = arrivals.get(one, 0.0) + rate
        return priority_reserve.find_reserve(
            priority=priority,
            arrivals=arrivals,
            waiting=totals.waiting,
            delay=totals.delay,
            limit=limit,
        )

    def may_queue_at_endpoint(
        self, request: slot_requests.SlotRequest
    ) -> bool:
        """Whether a request may be sent to an endpoint without free slots."""
        return request.may_queue and self.is_urgent(request)

    def is_urgent(self, request: slot_requests.SlotRequest) -> bool:
        """Whether the service has requests less urgent than a request."""
        return self.has_priorities and request.priority < max(self.priorities)

    def can_use_any_slot(self, request: slot_requests.SlotRequest) -> bool:
        """Whether a request can use each slot that later ones could use."""
        if request.has_restrictions:
            return False
        return request.may_queue or not self.has_priorities

    def refuse_hopeless(
        self, ordered: Sequence[Waiter], *, rate: float, now: float
    ) -> None:
        """Wake queued requests that will get no slot while it is of use.

        :param ordered: queued requests in the order of their service.
        :param rate: slots that become free for this gateway per second,
            infinite if not known.
        """
        freed = wait_estimates.FreedSlots(
            rate=rate, arrivals=self.demand.list_arrivals(now=now)
        )
        ahead = 0
        for one in ordered:
            request = one.request
            wait = freed.find_wait(
                priority=request.priority,
                is_last=one.excess > 0 or self._is_late(one, now),
                ahead=ahead,
            )
            longest = wait_estimates.find_longest_wait(
                request, is_urgent=self.is_urgent(request), now=now
            )
            if wait > longest and now <= request.settled_at:
                one.expected_wait = wait
                one.event.set()
            else:
                ahead += 1
