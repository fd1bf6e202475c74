"""Lease on the leadership of a group of ranks."""

from typing import Callable

from .. import leases


class GroupLease(leases.LeaseWrapper):
    """A lease that is kept while the store is away.

    A leader that stops when it cannot renew leaves a group with the map that
    it has, for as long as the store turns it away: seen as six seconds in
    which each shift of what requests ask for makes nearly all streams late.
    That two leaders never make ranks use different maps does not rest on the
    lease, but on what ranks refuse; the lease only keeps them from working
    against each other.  So a leader continues until a peer is known to lead.

    :param led_by_peers: whether another instance reports that it leads.
    """

    __slots__ = ('_led_by_peers',)

    def __init__(
        self, *, lease: leases.Lease, led_by_peers: Callable[[], bool]
    ) -> None:
        super().__init__(lease=lease)
        self._led_by_peers = led_by_peers

    def held(self) -> bool:
        """Whether we go on leading."""
        if self._lease.held():
            return True
        return self._lease.is_unchallenged() and not self._led_by_peers()
