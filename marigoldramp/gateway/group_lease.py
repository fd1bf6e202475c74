"""Lease on the leadership of a group of ranks."""

from typing import Callable

from .. import leases


class GroupLease(leases.LeaseWrapper):
    """A lease that is kept while the store is unavailable.

    If a leader stops when it cannot renew its lease, the map of its group does
    not change while the store rejects it: for six seconds each shift of expert
    demand makes nearly all streams late.  Continuing is safe, as ranks refuse
    the orders that would make them use different maps under two leaders; the
    lease only keeps two leaders from working against each other.  So a leader
    continues until a peer is known to lead.

    :param led_by_peers: whether another gateway reports that it leads.
    """

    __slots__ = ('_led_by_peers',)

    def __init__(
        self, *, lease: leases.Lease, led_by_peers: Callable[[], bool]
    ) -> None:
        super().__init__(lease=lease)
        self._led_by_peers = led_by_peers

    def held(self) -> bool:
        """Return whether this gateway may continue to lead."""
        if self._lease.held():
            return True
        return self._lease.is_unchallenged() and not self._led_by_peers()
