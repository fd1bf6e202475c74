"""Limits of customers at one entry: rate, generated tokens, calls at once.

Each entry that serves a customer enforces its share of the customer's
limits by itself, so that a limit holds while the store is away.  State
exists only for customers that were served here lately.
"""

import dataclasses
import math
from typing import Callable

from . import bundle
from . import estimates
from . import outcomes

#: Seconds of the sustained rate that a customer may use in one burst.
BURST_SECONDS = 1.0
#: State is looked at after so many admissions, and when the table is full.
SWEEP_EVERY = 1024
#: Span over which it is counted what a customer asks for.
ASKED_SECONDS = 2.0
#: Time to come back that a caller is told when no slot is free.
CONCURRENCY_RETRY_AFTER = 0.2
#: Longest time to come back that is told.
MOST_RETRY_AFTER = 60.0


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Grant:
    """Permission for one call; given back by :meth:`Limits.release`.

    :ivar tokens: generated tokens that were charged in advance.
    """

    customer: str
    tokens: int


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Asking:
    """What a customer asks of this entry.

    :ivar fraction: of its whole limits, whether it was admitted or not.
    """

    customer: bundle.Customer
    fraction: float


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class _Allowance:
    """What an entry may let through of one customer, by its share."""

    requests: float
    tokens: float
    calls: int

    @classmethod
    def of(cls, *, customer: bundle.Customer, share: float) -> '_Allowance':
        """Return a share of a customer's limits, of calls at least one."""
        return cls(
            requests=customer.requests_per_second * share,
            tokens=customer.tokens_per_second * share,
            calls=max(1, int(customer.concurrent_calls * share)),
        )

    def most_requests(self) -> float:
        """Return the size of the request bucket; at least one call."""
        return max(1.0, self.requests * BURST_SECONDS)

    def most_tokens(self) -> float:
        """Return the size of the token bucket."""
        return self.tokens * BURST_SECONDS


class _Account:
    """What one customer has left at this entry, and what it asks for.

    :ivar customer: as the bundle described it at the last call.
    :ivar tokens: negative while more were generated than was expected.
    :ivar full_at: clock time at which both buckets are full again.
    """

    __slots__ = (
        'customer',
        'requests',
        'tokens',
        'calls',
        'filled_at',
        'full_at',
        'token_rate',
        'asked_requests',
        'asked_tokens',
    )

    def __init__(
        self,
        *,
        customer: bundle.Customer,
        allowance: _Allowance,
        now: float,
    ) -> None:
        self.customer = customer
        self.requests = allowance.most_requests()
        self.tokens = allowance.most_tokens()
        self.calls = 0
        self.filled_at = now
        self.full_at = now
        self.token_rate = allowance.tokens
        self.asked_requests = estimates.Rate(seconds=ASKED_SECONDS)
        self.asked_tokens = estimates.Rate(seconds=ASKED_SECONDS)

    def fill(self, *, allowance: _Allowance, now: float) -> None:
        """Add what has accrued since the last look."""
        passed = max(0.0, now - self.filled_at)
        self.filled_at = now
        self.token_rate = allowance.tokens
        self.requests = min(
            allowance.most_requests(),
            self.requests + allowance.requests * passed,
        )
        self.tokens = min(
            allowance.most_tokens(), self.tokens + allowance.tokens * passed
        )

    def charge(
        self, *, tokens: int, allowance: _Allowance, now: float
    ) -> None:
        """Take out what one call costs."""
        self.requests -= 1.0
        self.tokens -= tokens
        self.calls += 1
        lacking = max(
            _wait(
                allowance.most_requests() - self.requests, allowance.requests
            ),
            _wait(allowance.most_tokens() - self.tokens, allowance.tokens),
        )
        self.full_at = now + lacking

    def asks(self, *, now: float) -> float:
        """Return what is asked for, admitted or not, over the whole limits.

        It is the largest of the three fractions.
        """
        customer = self.customer
        return max(
            self.asked_requests.rate(now=now) / customer.requests_per_second,
            self.asked_tokens.rate(now=now) / customer.tokens_per_second,
            self.calls / customer.concurrent_calls,
        )

    def settle(self, tokens: float, *, now: float) -> None:
        """Give back tokens, or take more where the number is negative."""
        self.tokens += tokens
        if tokens < 0.0:
            late = _wait(-tokens, self.token_rate)
            self.full_at = max(self.full_at, now) + late


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
        if share <= 0.0:
            return _refuse(
                outcomes.Reason.RATE_LIMIT,
                'other entries serve this customer; ask for the addresses',
                0.0,
            )
        now = self._clock()
        self._admissions += 1
        if self._admissions % SWEEP_EVERY == 0:
            self._sweep(now=now)
        allowance = _Allowance.of(customer=customer, share=share)
        account = self._find(customer, allowance=allowance, now=now)
        if account is None:
            return _refuse(
                outcomes.Reason.CONCURRENCY_LIMIT,
                'this entry serves as many customers as it can',
                CONCURRENCY_RETRY_AFTER,
            )
        account.asked_requests.add(1.0, now=now)
        account.asked_tokens.add(tokens, now=now)
        account.fill(allowance=allowance, now=now)
        refusal = _check(account=account, allowance=allowance, tokens=tokens)
        if refusal is not None:
            return refusal
        account.charge(tokens=tokens, allowance=allowance, now=now)
        return Grant(customer=customer.name, tokens=tokens)

    def release(self, *, grant: Grant, tokens_used: int) -> None:
        """End a call and settle the tokens that it really took."""
        account = self._accounts[grant.customer]
        account.calls -= 1
        account.settle(grant.tokens - tokens_used, now=self._clock())

    def list_asking(self) -> list[Asking]:
        """Return what each customer with state here asks for."""
        now = self._clock()
        return [
            Asking(customer=account.customer, fraction=account.asks(now=now))
            for account in self._accounts.values()
        ]

    def _find(
        self, customer: bundle.Customer, *, allowance: _Allowance, now: float
    ) -> _Account | None:
        account = self._accounts.get(customer.name)
        if account is not None:
            account.customer = customer
            return account
        if len(self._accounts) >= self._most_customers:
            self._sweep(now=now)
        if len(self._accounts) >= self._most_customers:
            return None
        account = _Account(customer=customer, allowance=allowance, now=now)
        self._accounts[customer.name] = account
        return account

    def _sweep(self, *, now: float) -> None:
        """Drop the accounts that a new one would equal.

        An account dropped while it owes tokens would let its customer have
        them twice, seen as a rate above the limit in bursts.
        """
        idle = [
            name
            for name, account in self._accounts.items()
            if not account.calls
            and now >= account.full_at
            and now >= account.filled_at + ASKED_SECONDS
        ]
        for name in idle:
            del self._accounts[name]


def _check(
    *, account: _Account, allowance: _Allowance, tokens: int
) -> outcomes.NotRun | None:
    """Return why a call is above the limits, if it is."""
    if account.calls >= allowance.calls:
        return _refuse(
            outcomes.Reason.CONCURRENCY_LIMIT,
            'too many calls in flight for this customer',
            CONCURRENCY_RETRY_AFTER,
        )
    if account.requests < 1.0:
        return _refuse(
            outcomes.Reason.RATE_LIMIT,
            'the request rate of this customer is used up',
            _wait(1.0 - account.requests, allowance.requests),
        )
    if tokens and account.tokens <= 0.0:
        return _refuse(
            outcomes.Reason.TOKEN_LIMIT,
            'the token rate of this customer is used up',
            _wait(1.0 - account.tokens, allowance.tokens),
        )
    return None


def _wait(lacking: float, rate: float) -> float:
    """Return the seconds in which an amount accrues."""
    if lacking <= 0.0:
        return 0.0
    return lacking / rate if rate > 0.0 else math.inf


def _refuse(
    reason: outcomes.Reason, detail: str, retry_after: float
) -> outcomes.NotRun:
    return outcomes.NotRun(
        reason=reason,
        detail=detail,
        retry_after=min(MOST_RETRY_AFTER, retry_after),
    )
