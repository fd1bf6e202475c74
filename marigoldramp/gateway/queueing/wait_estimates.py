"""Estimates whether a queued request gets a slot in time to be of use."""

from typing import Mapping

import msgspec

from . import slot_requests

#: Part of the freed slots that each priority gets, however many more urgent
#: requests there are.
MIN_SHARE = 0.1
#: Part of the remaining time that requests may be expected to wait if they
#: are late already.  A long wait ends in a refusal more often.
LATE_WAIT_SHARE = 0.2


class FreedSlots(msgspec.Struct, frozen=True, kw_only=True):
    """The rate at which slots become free, and the demand for them.

    :ivar rate: slots that become free per second; infinite if not known.
    :ivar arrivals: requests per second here, by priority.
    """

    rate: float
    arrivals: Mapping[int, float]

    def find_rate(self, *, priority: int, is_last: bool) -> float:
        """Return the slots per second that are left to a request.

        Requests that are late, or whose customers exceed their share, are
        served behind others of their priority.
        """
        ahead = sum(
            rate
            for one, rate in self.arrivals.items()
            if one < priority or is_last and one == priority
        )
        return max(self.rate - ahead, MIN_SHARE * self.rate)

    def find_wait(self, *, priority: int, is_last: bool, ahead: int) -> float:
        """Return the expected wait in seconds.

        :param ahead: queued requests that are served before.
        """
        if not self.rate:
            return float('inf')
        rate = self.find_rate(priority=priority, is_last=is_last)
        return (ahead + 1) / rate


def find_longest_wait(
    request: slot_requests.SlotRequest, *, is_urgent: bool, now: float
) -> float:
    """Return the longest expected wait with which a request is queued.

    :param is_urgent: there are less urgent ones, which must not be served
        while it is refused.
    """
    remaining = request.start_by - now
    if is_urgent:
        return remaining
    if now <= request.late_after:
        return request.late_after - now
    return LATE_WAIT_SHARE * remaining
