"""Limits of customers at one entry: rate, generated tokens, calls at once.

Each entry that serves a customer enforces its share of the customer's
limits by itself, so that a limit holds while the store is away.  State
exists only for customers that were served here lately.
"""

import dataclasses
from typing import Callable

from . import bundle
from . import outcomes

#: Seconds of the sustained rate that a customer may use in one burst.
BURST_SECONDS = 1.0
#: A full bucket and no call in flight for this long: the state is dropped.
IDLE_SECONDS = 30.0
#: How often idle state is looked for, in admissions.
SWEEP_EVERY = 1024
#: Time to come back that a caller is told when no slot is free.
CONCURRENCY_RETRY_AFTER = 0.2


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Grant:
    """Permission for one call; given back by :meth:`Limits.release`.

    :ivar tokens: generated tokens that were charged in advance.
    """

    customer: str
    tokens: int


class _Account:
    """What one customer has left at this entry."""

    __slots__ = ('requests', 'tokens', 'calls', 'filled_at')

    def __init__(self, *, requests: float, tokens: float, now: float) -> None:
        self.requests = requests
        self.tokens = tokens
        self.calls = 0
        self.filled_at = now

    def fill(
        self, *, customer: bundle.Customer, share: float, now: float
    ) -> None:
        """Add what has accrued since the last look."""
        passed = max(0.0, now - self.filled_at)
        self.filled_at = now
        rate = customer.requests_per_second * share
        self.requests = min(
            most_requests(customer, share), self.requests + rate * passed
        )
        token_rate = customer.tokens_per_second * share
        self.tokens = min(
            token_rate * BURST_SECONDS, self.tokens + token_rate * passed
        )


def most_requests(customer: bundle.Customer, share: float) -> float:
    """Return the size of the request bucket; at least one whole call."""
    return max(1.0, customer.requests_per_second * share * BURST_SECONDS)


def most_calls(customer: bundle.Customer, share: float) -> int:
    """Return the calls that may be in flight at a share of the limit."""
    return max(1, int(customer.concurrent_calls * share))


class Limits:
    """Admits calls within each customer's limits.

    :param most_customers: bound on customers whose state is held.
    """

    __slots__ = ('_clock', '_most_customers', '_accounts', '_admissions')

    def __init__(
        self, *, clock: Callable[[], float], most_customers: int
    ) -> None:
        self._clock = clock
        self._most_customers = most_customers
        self._accounts: dict[str, _Account] = {}
        self._admissions = 0

    def __len__(self) -> int:
        return len(self._accounts)

    def admit(
        self, *, customer: bundle.Customer, tokens: int, share: float
    ) -> Grant | outcomes.NotRun:
        """Admit one call or say when coming back can help.

        :param tokens: generated tokens that the call is expected to take.
        :param share: fraction of the limits that this entry may use.
        """
        now = self._clock()
        self._admissions += 1
        if self._admissions % SWEEP_EVERY == 0:
            self._sweep(now=now)
        account = self._find(customer=customer, share=share, now=now)
        if account is None:
            return _refuse(
                outcomes.Reason.CONCURRENCY_LIMIT,
                'this entry serves as many customers as it can',
                CONCURRENCY_RETRY_AFTER,
            )
        account.fill(customer=customer, share=share, now=now)
        if account.calls >= most_calls(customer, share):
            return _refuse(
                outcomes.Reason.CONCURRENCY_LIMIT,
                'too many calls in flight for this customer',
                CONCURRENCY_RETRY_AFTER,
            )
        if account.requests < 1.0:
            rate = max(1e-6, customer.requests_per_second * share)
            return _refuse(
                outcomes.Reason.RATE_LIMIT,
                'the request rate of this customer is used up',
                (1.0 - account.requests) / rate,
            )
        if tokens and account.tokens <= 0.0:
            rate = max(1e-6, customer.tokens_per_second * share)
            return _refuse(
                outcomes.Reason.TOKEN_LIMIT,
                'the token rate of this customer is used up',
                (1.0 - account.tokens) / rate,
            )
        account.requests -= 1.0
        account.tokens -= tokens
        account.calls += 1
        return Grant(customer=customer.name, tokens=tokens)

    def release(self, *, grant: Grant, tokens_used: int) -> None:
        """End a call and settle the tokens that it really took."""
        account = self._accounts.get(grant.customer)
        if account is None:
            return
        account.calls -= 1
        account.tokens += grant.tokens - tokens_used

    def _find(
        self, *, customer: bundle.Customer, share: float, now: float
    ) -> _Account | None:
        account = self._accounts.get(customer.name)
        if account is not None:
            return account
        if len(self._accounts) >= self._most_customers:
            self._sweep(now=now)
        if len(self._accounts) >= self._most_customers:
            return None
        account = _Account(
            requests=most_requests(customer, share),
            tokens=customer.tokens_per_second * share * BURST_SECONDS,
            now=now,
        )
        self._accounts[customer.name] = account
        return account

    def _sweep(self, *, now: float) -> None:
        """Drop accounts that are idle and full again by now."""
        idle = [
            name
            for name, account in self._accounts.items()
            if not account.calls and now - account.filled_at > IDLE_SECONDS
        ]
        for name in idle:
            del self._accounts[name]


def _refuse(
    reason: outcomes.Reason, detail: str, retry_after: float
) -> outcomes.NotRun:
    return outcomes.NotRun(
        reason=reason, detail=detail, retry_after=retry_after
    )
