"""The retry budget, which all gateways share without coordination.

The operator limits the retries of all gateways together in any time window to
a share of the requests plus a fixed extra.  The requests are counted in that
window or in the one before, whichever has more.

A gateway that restarts does not know what it spent before, and callers move
between gateways.  Neither may add to the sum.  So each request earns a part of
a retry, and a whole one expires after a part of the window: what all gateways
spend in a window was earned in it or shortly before, by whichever gateway.

The extra is divided among all gateways that may be alive.  If only reachable
gateways counted, each half of a partition would spend the whole extra.
"""

import collections
import random as random_module
from typing import Callable

from absl import logging
import msgspec

from .. import logs
from .. import rendezvous

#: Part of the retries that requests allow which they earn, and part of the
#: window after which an earned retry expires.
EARNED_SHARE = 0.75
EXPIRY_SHARE = 0.25
#: Part of the extra that is divided.  The rest allows for requests and retries
#: that are on their way when a window begins.
EXTRA_SHARE = 0.75
#: Number of unknown gateways that is assumed when the extra is divided.
UNKNOWN_GATEWAYS = 1
#: Seconds for which a computed part of the extra is used.
MAX_PART_AGE_SECONDS = 1.0


class Bounds(msgspec.Struct, frozen=True, kw_only=True):
    """The operator's limit on retries.

    :ivar ratio: retries as a share of the requests.
    :ivar extra: further retries in each window.
    :ivar window: length of a window in seconds.
    """

    ratio: float
    extra: float
    window: float


class _Window:
    """Times of the events in a sliding window."""

    __slots__ = ('_times',)

    def __init__(self) -> None:
        self._times: collections.deque[float] = collections.deque()

    def add(self, now: float) -> None:
        self._times.append(now)

    def count(self, *, since: float) -> int:
        while self._times and self._times[0] < since:
            self._times.popleft()
        return len(self._times)

    def remove_oldest(self) -> None:
        self._times.popleft()


class _Account:
    """The budget of one service at this gateway.

    :ivar progress: part of the next retry that requests have earned.
    :ivar earned: when each whole retry was earned that is not spent.
    :ivar extra_spent: retries taken from the extra in the current window.
    :ivar extra_part: this gateway's part of the extra.
    :ivar part_found_at: when that part was computed.
    :ivar reserved: number of reservations that are not spent.
    """

    __slots__ = (
        'progress',
        'earned',
        'extra_spent',
        'extra_part',
        'part_found_at',
        'reserved',
    )

    def __init__(self, *, progress: float) -> None:
        self.progress = progress
        self.earned = _Window()
        self.extra_spent = _Window()
        self.extra_part = 0
        self.part_found_at = float('-inf')
        self.reserved = 0


class Reservation:
    """The right to one retry, which ends when it is spent or cancelled."""

    __slots__ = ('_budget', '_service')

    def __init__(self, *, budget: 'RetryBudget', service: str) -> None:
        self._budget = budget
        self._service = service

    def spend(self) -> bool:
        """Count the retry as sent now; return whether it may be sent."""
        return self._budget.spend_reserved(self._service)

    def cancel(self) -> None:
        """Give the retry back."""
        self._budget.cancel_reserved(self._service)


class RetryBudget:
    """The part of the budget that one gateway may spend.

    :param instance: name of this gateway.
    :param bounds: returns the limit in force.
    :param members: returns the names of all gateways that may be alive, with
        this one; ``None`` while they are not known.
    :param random: draws what a service has earned at first.
    """

    __slots__ = (
        '_instance',
        '_bounds',
        '_members',
        '_random',
        '_clock',
        '_started_at',
        '_accounts',
    )

    def __init__(
        self,
        *,
        instance: str,
        bounds: Callable[[], Bounds],
        members: Callable[[], frozenset[str] | None],
        random: random_module.Random,
        clock: Callable[[], float],
    ) -> None:
        self._instance = instance
        self._bounds = bounds
        self._members = members
        self._random = random
        self._clock = clock
        self._started_at = clock()
        self._accounts: dict[str, _Account] = {}

    def note_request(self, service: str) -> None:
        """Count a caller's request for a service."""
        account = self._find_account(service)
        account.progress += EARNED_SHARE * self._bounds().ratio
        while account.progress >= 1.0:
            account.progress -= 1.0
            account.earned.add(self._clock())
        self._update_earned(account)

    def reserve(self, service: str) -> Reservation | None:
        """Reserve one retry, if the budget allows it.

        A retry counts when it is sent: it may have to wait for seconds until
        an endpoint takes it, together with others.
        """
        account = self._find_account(service)
        if self._count_available(account, service) <= account.reserved:
            return None
        account.reserved += 1
        return Reservation(budget=self, service=service)

    def spend_reserved(self, service: str) -> bool:
        """Spend a reserved retry; return whether it is still allowed."""
        account = self._find_account(service)
        account.reserved -= 1
        if not self._count_available(account, service):
            return False
        is_earned = self._update_earned(account) > 0
        if is_earned:
            account.earned.remove_oldest()
        else:
            account.extra_spent.add(self._clock())
        self._log_retry(account, service, is_earned=is_earned)
        return True

    def cancel_reserved(self, service: str) -> None:
        """Give back a reserved retry."""
        self._find_account(service).reserved -= 1

    def _find_account(self, service: str) -> _Account:
        found = self._accounts.get(service)
        if found is None:
            # A random start makes the sum over all gateways exact.
            found = _Account(progress=self._random.random())
            self._accounts[service] = found
        return found

    def _update_earned(self, account: _Account) -> int:
        """Drop earned retries that have expired; return how many are left."""
        expiry = EXPIRY_SHARE * self._bounds().window
        return account.earned.count(since=self._clock() - expiry)

    def _count_available(self, account: _Account, service: str) -> int:
        """Return how many retries may be sent now."""
        now = self._clock()
        spent = account.extra_spent.count(since=now - self._bounds().window)
        part = self._find_extra_part(account, service, now)
        return self._update_earned(account) + max(0, part - spent)

    def _find_extra_part(
        self, account: _Account, service: str, now: float
    ) -> int:
        """Return this gateway's part of the extra in a window.

        There is none in the first window after a start: the process before may
        have spent it.
        """
        bounds = self._bounds()
        if now - self._started_at < bounds.window:
            return 0
        if now - account.part_found_at > MAX_PART_AGE_SECONDS:
            members = self._members()
            account.part_found_at = now
            account.extra_part = 0
            if members is not None:
                account.extra_part = divide_extra(
                    int(EXTRA_SHARE * bounds.extra),
                    key=service,
                    instance=self._instance,
                    members=members,
                )
        return account.extra_part

    def _log_retry(
        self, account: _Account, service: str, *, is_earned: bool
    ) -> None:
        now = self._clock()
        members = self._members()
        logging.info(
            'retry allowed',
            extra=logs.fields(
                service=service,
                earned=is_earned,
                left=self._update_earned(account),
                extra_spent=account.extra_spent.count(
                    since=now - self._bounds().window
                ),
                extra_part=account.extra_part,
                gateways=0 if members is None else len(members),
                started=round(now - self._started_at, 1),
            ),
        )


def divide_extra(
    extra: int, *, key: str, instance: str, members: frozenset[str]
) -> int:
    """Return a gateway's part of whole retries.

    Where they cannot be divided equally, rendezvous hashing selects the
    gateways that have one more.

    :param key: varies the selection.
    """
    parts = len(members) + UNKNOWN_GATEWAYS
    part, remainder = divmod(extra, parts)
    if not remainder:
        return part
    chosen = rendezvous.choose(key=key, names=members, count=remainder)
    return part + (instance in chosen)
