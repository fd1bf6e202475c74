"""An entry: a real router, a real retry budget, and the loop around them."""

import dataclasses
import enum
import random as random_module

import anyio

from marigoldramp import bundle
from marigoldramp import outcomes
from marigoldramp import retries
from marigoldramp import routing

from . import fake_endpoints
from . import traffic
from . import virtual


class Result(enum.StrEnum):
    """How a call of the input ended."""

    ANSWERED = 'answered'
    REFUSED = 'refused'
    LATE = 'late'
    UNKNOWN = 'unknown'


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Ended:
    """A call and how it ended.

    :ivar served: engine seconds of the attempt that was answered.
    """

    call: traffic.Call
    result: Result
    ended_at: float
    seconds: float
    attempts: int
    served: float = 0.0
    reason: str = ''


class Entry:
    """A router, a retry budget, and the loop that uses them."""

    def __init__(
        self,
        *,
        data_centre: str,
        random: random_module.Random,
        endpoints: dict[str, fake_endpoints.Endpoint],
        policy: str,
        retry_share: float = 0.1,
    ) -> None:
        self.router = routing.Router(
            clock=virtual.clock,
            random=random,
            data_centre=data_centre,
            most_endpoints=64,
        )
        self._endpoints = endpoints
        self._services = {
            name: bundle.Service(name=name, kind='model', routing=policy)
            for name in (traffic.MODEL, traffic.PLAIN)
        }
        self._budget = retries.Budget(share=retry_share, clock=virtual.clock)
        # Ordered, unlike a set: two runs with one seed must agree.
        self._scopes: dict[str, dict[anyio.CancelScope, None]] = {
            name: {} for name in endpoints
        }

    def declare_dead(self, instance: str) -> None:
        """Act on membership's verdict: drop it, end what waits for it."""
        self.router.drop(instance=instance)
        for scope in self._scopes[instance]:
            scope.cancel()

    async def serve(self, call: traffic.Call) -> Ended:
        """Take one call to its end."""
        began = virtual.clock()
        attempts = 0
        exclude: frozenset[str] = frozenset()
        refusal = None
        self._budget.first()
        while True:
            remaining = call.deadline - (virtual.clock() - began)
            facts = make_facts(call=call, attempt=attempts, left=remaining)
            choice = self.router.choose(
                service=self._services[call.service],
                facts=facts,
                exclude=exclude,
            )
            if isinstance(choice, outcomes.NotRun):
                refusal = refusal or choice
                break
            attempts += 1
            result = await self._attempt(
                choice=choice, call=call, facts=facts, attempt=attempts
            )
            seconds = virtual.clock() - began
            if isinstance(result, fake_endpoints.Answer):
                in_time = seconds <= call.deadline
                return Ended(
                    call=call,
                    result=Result.ANSWERED if in_time else Result.LATE,
                    ended_at=virtual.clock(),
                    seconds=seconds,
                    attempts=attempts,
                    served=result.served,
                )
            refusal = result
            exclude |= {choice.instance}
            if seconds >= call.deadline or not self._budget.take():
                break
        unknown = refusal is None
        return Ended(
            call=call,
            result=Result.UNKNOWN if unknown else Result.REFUSED,
            ended_at=virtual.clock(),
            seconds=virtual.clock() - began,
            attempts=attempts,
            reason='' if refusal is None else refusal.reason,
        )

    async def _attempt(
        self,
        *,
        choice: routing.Candidate,
        call: traffic.Call,
        facts: routing.CallFacts,
        attempt: int,
    ) -> fake_endpoints.Answer | outcomes.NotRun | None:
        """Send one attempt; ``None`` where nothing came back."""
        began = virtual.clock()
        self.router.sent(candidate=choice, facts=facts)
        endpoint = self._endpoints[choice.instance]
        result: fake_endpoints.Answer | outcomes.NotRun | None = None
        with anyio.move_on_after(facts.remaining) as scope:
            self._scopes[choice.instance][scope] = None
            result = await endpoint.run(
                call=call, attempt=attempt, remaining=facts.remaining
            )
        del self._scopes[choice.instance][scope]
        self.router.ended(
            candidate=choice,
            facts=facts,
            seconds=virtual.clock() - began,
            answered=isinstance(result, fake_endpoints.Answer),
        )
        return result


def make_facts(
    *, call: traffic.Call, attempt: int, left: float
) -> routing.CallFacts:
    """Return what the router is told about an attempt of a call."""
    return routing.CallFacts(
        call=f'{call.number}.{attempt}',
        service=call.service,
        customer=call.customer,
        priority=call.priority,
        remaining=left,
        prefix=call.blocks,
        tokens=call.tokens,
        prompt_bytes=len(call.blocks) * traffic.BLOCK_BYTES,
    )
