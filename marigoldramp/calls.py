"""The entry's side of a call, from the caller's request to its answer."""

import functools
import secrets
from typing import Any
from typing import MutableMapping

import anyio

from . import admitted_calls
from . import asgi
from . import bundle
from . import callers
from . import configuration
from . import deliveries
from . import endpoint_kinds
from . import hedging
from . import intakes
from . import keys
from . import limits
from . import logs
from . import metrics
from . import outcomes
from . import retries
from . import routes
from . import routing
from . import settings
from . import shares
from . import steps

CALL_BYTES = 12
RETRY_WHEN_FULL = 1.0
#: New keys that one request may use up when agents turn it away.
MOST_OWN_KEYS = 3
#: Generated tokens charged in advance for a call that states no number.
UNSTATED_TOKENS = 256


class Calls:
    """ASGI application that serves callers' calls.

    :ivar closed: new calls are refused.
    :ivar exits_at: when the process exits at the latest; infinite unless it is
        being stopped.
    """

    def __init__(
        self,
        *,
        tools: deliveries.Tools,
        config: configuration.Configuration,
        limits: limits.Limits,
        keys: keys.Keys,
        settings: settings.Entry,
        metrics: metrics.Metrics,
        shares: shares.Shares,
    ) -> None:
        self._tools = tools
        self._config = config
        self._limits = limits
        self._keys = keys
        self._settings = settings
        self._metrics = metrics
        self._shares = shares
        self._budgets: dict[str, retries.Budget] = {}
        self._reader = intakes.Reader(
            config=config,
            shares=shares,
            settings=settings,
            clock=tools.clock,
        )
        self.in_flight = 0
        self.closed = False
        self.exits_at = float('inf')

    # The whole of a call

    async def handle(
        self,
        scope: MutableMapping[str, Any],
        receive: asgi.Receive,
        send: asgi.Send,
    ) -> None:
        """Serve one request; the caller gets exactly one final answer."""
        call = secrets.token_hex(CALL_BYTES)
        logs.request_id.set(call)
        begun = self._tools.clock()
        self.in_flight += 1
        try:
            intake = await self._take_in(call, scope, receive)
            if isinstance(intake, outcomes.NotRun):
                refusal = _doubt(asgi.read_head(scope), intake)
                await asgi.send_refusal(send=send, refusal=refusal, call=call)
                self._note_end(None, refusal, begun)
                return
            await self._admit(intake, receive, send, begun)
        finally:
            self.in_flight -= 1

    async def _admit(
        self,
        intake: intakes.Intake,
        receive: asgi.Receive,
        send: asgi.Send,
        begun: float,
    ) -> None:
        facts = self._describe(intake)
        bound = await self._bind(intake, facts)
        if isinstance(bound, outcomes.NotRun | outcomes.OutcomeUnknown):
            await asgi.send_refusal(send=send, refusal=bound, call=intake.call)
            self._note_end(intake, bound, begun)
            return
        delivery = self._prepare(intake, facts, bound, send)
        grant = self._limits.admit(
            customer=intake.customer,
            tokens=_expect_tokens(intake, facts),
            share=self._share(intake.customer),
        )
        try:
            await self._deliver(delivery, bound, grant, receive, begun)
        finally:
            if isinstance(grant, limits.Grant):
                self._limits.release(
                    grant=grant, tokens_used=delivery.answer.tokens
                )

    async def _deliver(
        self,
        delivery: deliveries.Delivery,
        bound: keys.Bound | None,
        grant: limits.Grant | outcomes.NotRun,
        receive: asgi.Receive,
        begun: float,
    ) -> None:
        """Deliver until done, the deadline, or the caller has gone."""
        await steps.reach(steps.Step.CALL_ADMITTED, delivery.admitted.call)
        refusal: outcomes.Refusal | None = delivery.describe_deadline()
        gone = anyio.CancelScope()
        with gone:
            async with anyio.create_task_group() as group:
                group.start_soon(
                    functools.partial(_cancel_when_gone, receive, gone)
                )
                remaining = delivery.admitted.deadline - self._tools.clock()
                with anyio.move_on_after(max(0.0, remaining)) as limit:
                    refusal = await self._run(delivery, bound, grant)
                if limit.cancelled_caught:
                    refusal = delivery.describe_deadline()
                if refusal is not None:
                    await delivery.answer.refuse(refusal)
                group.cancel_scope.cancel()
        if gone.cancelled_caught:
            if not delivery.admitted.wishes.resumable:
                await delivery.give_up()
            refusal = outcomes.OutcomeUnknown(reason=outcomes.Reason.CANCELLED)
        self._note_delivery(delivery, refusal, begun)

    async def _run(
        self,
        delivery: deliveries.Delivery,
        bound: keys.Bound | None,
        grant: limits.Grant | outcomes.NotRun,
    ) -> outcomes.Refusal | None:
        if isinstance(grant, outcomes.NotRun):
            return await self._turn_away(delivery, bound, grant)
        if bound is not None:
            return await self._run_bound(delivery, bound)
        if delivery.admitted.wishes.resume:
            return await self._resume(delivery)
        return await hedging.deliver(
            delivery=delivery,
            after=delivery.admitted.service.hedge_after_seconds,
        )

    async def _turn_away(
        self,
        delivery: deliveries.Delivery,
        bound: keys.Bound | None,
        refusal: outcomes.NotRun,
    ) -> outcomes.Refusal | None:
        """Refuse a call that is above its customer's limits.

        An earlier request with the same key may have run.  Its agent is
        asked to tell, or else to bar the key; only then is "not run" true.
        """
        if bound is None or bound.first:
            return delivery.soften(refusal)
        targets = self._keys.targets(
            service=delivery.admitted.service.name, bound=bound
        )
        asked = await delivery.run_at(targets, settle=True)
        return refusal if isinstance(asked, outcomes.NotRun) else asked

    async def _run_bound(
        self, delivery: deliveries.Delivery, bound: keys.Bound
    ) -> outcomes.Refusal | None:
        """Deliver a call that may run once.

        A key that did not run is replaced where that is safe, see
        :meth:`.keys.Keys.renew`.
        """
        service = delivery.admitted.service
        excluded: set[str] = set()
        for _ in range(MOST_OWN_KEYS):
            targets = self._keys.targets(service=service.name, bound=bound)
            refusal = await delivery.run_at(targets)
            if not isinstance(refusal, outcomes.NotRun):
                return refusal
            excluded.add(bound.binding.agent)
            anew = await self._keys.renew(
                bound=bound,
                barred=delivery.barred,
                service=service,
                facts=delivery.admitted.facts,
                wishes=delivery.admitted.wishes,
                exclude=frozenset(excluded),
            )
            if anew is None:
                return refusal
            bound = anew
            delivery.rebind(bound)
        return refusal

    async def _resume(
        self, delivery: deliveries.Delivery
    ) -> outcomes.Refusal | None:
        """Go on with a stream whose entry or connection was lost."""
        admitted = delivery.admitted
        resume = self._tools.resumes.open(
            token=admitted.wishes.resume, customer=admitted.customer.name
        )
        if resume is None or resume.service != admitted.service.name:
            return outcomes.NotRun(
                reason=outcomes.Reason.MALFORMED,
                detail='the resume token is not genuine',
            )
        target = self._tools.router.find(
            service=resume.service, instance=resume.agent
        )
        if target is None or target.incarnation != resume.incarnation:
            return outcomes.OutcomeUnknown(
                reason=outcomes.Reason.INCARNATION_GONE,
                detail='the process that held the answer has gone',
            )
        delivery.take_over(resume.call)
        return await delivery.ask(target)

    # From a request to an intake

    async def _take_in(
        self,
        call: str,
        scope: MutableMapping[str, Any],
        receive: asgi.Receive,
    ) -> intakes.Intake | outcomes.NotRun:
        if self.in_flight > self._settings.calls:
            return outcomes.NotRun(
                reason=outcomes.Reason.QUEUE_FULL,
                detail='this entry serves as many calls as it can',
                retry_after=RETRY_WHEN_FULL,
            )
        if self.closed:
            return _describe_leaving()
        intake = await self._reader.read(
            call=call, scope=scope, receive=receive
        )
        match intake:
            case intakes.Intake(deadline=deadline) if deadline > self.exits_at:
                # The stop may have begun while the body came.
                return _describe_leaving()
        return intake

    def find_routes(self) -> routes.RouteTable | None:
        """Return the routes of the bundle in force, ``None`` without one."""
        return self._reader.find_routes()

    def _share(self, customer: bundle.Customer) -> float:
        return self._shares.find(customer)

    # From an intake to a delivery

    def _describe(self, intake: intakes.Intake) -> routing.CallFacts:
        chat = intake.matched.facts
        return routing.CallFacts(
            call=intake.call,
            service=intake.matched.service.name,
            customer=intake.customer.name,
            priority=intake.wishes.priority,
            remaining=intake.deadline - self._tools.clock(),
            tokens=chat.tokens if chat else 0,
            prompt_bytes=len(intake.body) if chat else 0,
            prefix=(
                endpoint_kinds.find_chain(
                    kind=intake.matched.service.kind, body=intake.body
                )
                if chat
                else ()
            ),
        )

    async def _bind(
        self, intake: intakes.Intake, facts: routing.CallFacts
    ) -> keys.Bound | outcomes.Refusal | None:
        """Return the bound key of a call, before its deadline.

        A store that answers late would else keep the caller waiting for
        long after its answer has become worthless.
        """
        if intake.matched.route.idempotent:
            return None
        with anyio.move_on_after(max(0.0, facts.remaining)):
            return await self._keys.find(
                service=intake.matched.service,
                facts=facts,
                wishes=intake.wishes,
            )
        late = outcomes.NotRun(
            reason=outcomes.Reason.DEADLINE,
            detail='the store did not tell about the key in time',
        )
        return self._keys.doubt(late, intake.wishes)

    def _prepare(
        self,
        intake: intakes.Intake,
        facts: routing.CallFacts,
        bound: keys.Bound | None,
        send: asgi.Send,
    ) -> deliveries.Delivery:
        service = intake.matched.service
        budget = self._budgets.get(service.name)
        if budget is None:
            budget = retries.Budget(
                share=service.retry_share, clock=self._tools.clock
            )
            self._budgets[service.name] = budget
        admitted = admitted_calls.Admitted(
            call=intake.call,
            customer=intake.customer,
            service=service,
            route=intake.matched.route,
            wishes=intake.wishes,
            facts=facts,
            request=intake.request,
            body=intake.body,
            deadline=intake.deadline,
            bundle_number=self._config.number,
            key=bound.key if bound else '',
            binding=bound.binding if bound else None,
            first=bound.first if bound else not intake.wishes.resume,
        )
        return deliveries.Delivery(
            tools=self._tools, admitted=admitted, send=send, budget=budget
        )

    # Metrics

    def _note_delivery(
        self,
        delivery: deliveries.Delivery,
        refusal: outcomes.Refusal | None,
        begun: float,
    ) -> None:
        service = delivery.admitted.service.name
        if delivery.answer.first_byte_at:
            self._metrics.record(
                'call_first_byte_seconds',
                delivery.answer.first_byte_at - begun,
                service=service,
            )
        self._count(service, refusal, begun)

    def _note_end(
        self,
        intake: intakes.Intake | None,
        refusal: outcomes.Refusal,
        begun: float,
    ) -> None:
        service = intake.matched.service.name if intake else ''
        self._count(service, refusal, begun)

    def _count(
        self, service: str, refusal: outcomes.Refusal | None, begun: float
    ) -> None:
        match refusal:
            case None:
                outcome, reason = 'answer', ''
            case outcomes.NotRun():
                outcome, reason = 'not_run', refusal.reason.value
            case outcomes.OutcomeUnknown():
                outcome, reason = 'outcome_unknown', refusal.reason.value
        self._metrics.count(
            'calls', service=service, outcome=outcome, reason=reason
        )
        self._metrics.record(
            'call_seconds',
            self._tools.clock() - begun,
            service=service,
            outcome=outcome,
        )


def _describe_leaving() -> outcomes.NotRun:
    return outcomes.NotRun(
        reason=outcomes.Reason.LEAVING,
        detail='this entry is stopping; use another address',
        retry_after=0.0,
    )


def _doubt(
    request: asgi.Request, refusal: outcomes.NotRun
) -> outcomes.Refusal:
    """Return a refusal that is true of all requests with the same key.

    A retry that is refused at the door says nothing about the request that
    it repeats, which may have run through another entry.
    """
    used = request.find(callers.KEY_HEADER) is not None
    if request.find(callers.ATTEMPT_HEADER) == callers.FIRST_ATTEMPT:
        used = False
    if not used and request.find(callers.RESUME_HEADER) is None:
        return refusal
    return outcomes.OutcomeUnknown(
        reason=refusal.reason, detail=refusal.detail
    )


async def _cancel_when_gone(
    receive: asgi.Receive, scope: anyio.CancelScope
) -> None:
    """Cancel the work for a caller that no longer waits for it."""
    await asgi.wait_disconnect(receive)
    scope.cancel()


def _expect_tokens(intake: intakes.Intake, facts: routing.CallFacts) -> int:
    """Return the tokens to charge for a call in advance.

    A customer whose calls state no number would else never reach its limit
    of tokens, seen as generated tokens far above it.
    """
    if intake.matched.facts is None:
        return 0
    return facts.tokens or UNSTATED_TOKENS
