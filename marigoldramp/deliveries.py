"""Brings one admitted call to an endpoint and its answer to the caller.

A delivery sends its caller exactly one final answer: the whole answer, or
one refusal.  It says "not run" only while no attempt may have run.
"""

import dataclasses
from typing import Callable

import anyio

from . import admitted_calls
from . import asgi
from . import attempts
from . import caller_answers
from . import connections
from . import heads
from . import keys
from . import membership
from . import outcomes
from . import resumes
from . import retries
from . import routing
from . import steps

#: Attempts on new connections after one was lost without being silent.
MOST_LOST = 3
#: Seconds between two such attempts.
LOST_PAUSE = 0.1
#: Attempts of a resumed call are numbered from here.
RESUMED_ATTEMPT = 1000
#: Longest time that is spent on telling an agent that a caller has gone.
GIVE_UP_SECONDS = 0.5
#: States of an agent that is likely to be at work on a silent call.  One
#: that is just being verified counts: its verdict comes before the next look.
_WORTH_WAITING = frozenset(
    {
        membership.State.ALIVE,
        membership.State.SILENT,
        membership.State.SUSPECT,
    }
)
_R = outcomes.Reason
#: Refusals that speak for one attempt only: the process that gave them has
#: noted nothing about the call, so others of its attempts may still run.
_ATTEMPT_ONLY = frozenset(
    {
        _R.UNAUTHENTICATED,
        _R.WRONG_INSTANCE,
        _R.MALFORMED,
        _R.HEAD_TOO_LARGE,
        _R.BODY_TOO_LARGE,
        _R.BODY_TIMEOUT,
        _R.BINDING_INVALID,
    }
)


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Tools:
    """What all deliveries of an entry share.

    :ivar wall: wall clock for the deadline in heads.
    :ivar silence: seconds without a byte from an agent before its
        connection is distrusted.
    """

    instance: str
    router: routing.Router
    members: membership.Membership
    heads: heads.Heads
    resumes: resumes.Resumes
    find_pool: Callable[[routing.Candidate], connections.Pool]
    clock: Callable[[], float]
    wall: Callable[[], float]
    silence: float


class Delivery:
    """One call on its way.

    :ivar send: sends to the caller.
    :ivar answer: what the caller has been sent.
    :ivar maybe: some attempt may have run.
    :ivar at_work: the agent that has been asked and has not answered.
    """

    __slots__ = (
        '_tools',
        '_budget',
        'send',
        'admitted',
        'answer',
        'maybe',
        'barred',
        'attempt',
        'at_work',
    )

    def __init__(
        self,
        *,
        tools: Tools,
        admitted: admitted_calls.Admitted,
        send: asgi.Send,
        budget: retries.Budget,
    ) -> None:
        self._tools = tools
        self._budget = budget
        self.send = send
        self.admitted = admitted
        self.answer = caller_answers.CallerAnswer(
            call=admitted.call,
            send=send,
            clock=tools.clock,
            resume_from=admitted.wishes.resume_from,
        )
        self.maybe = not admitted.first
        self.barred = False
        self.attempt = 0
        self.at_work: routing.Candidate | None = None

    def fork(self, *, send: asgi.Send) -> 'Delivery':
        """Return a delivery of the same call that answers by ``send``."""
        return Delivery(
            tools=self._tools,
            admitted=self.admitted,
            send=send,
            budget=self._budget,
        )

    def may_retry(self) -> bool:
        """Take one more attempt out of the budget; false when spent."""
        return self._budget.take()

    # Choosing where to ask

    async def run(
        self, *, exclude: frozenset[str] = frozenset(), first: bool = True
    ) -> outcomes.Refusal | None:
        """Deliver an idempotent call; ``None`` when the answer is whole.

        :param exclude: agents that are not to be asked.
        :param first: no other delivery of the call has come before.
        """
        if first:
            self._budget.first()
        excluded = set(exclude)
        refusal: outcomes.Refusal | None = None
        while True:
            chosen = self._tools.router.choose(
                service=self.admitted.service,
                facts=self._renew_facts(),
                exclude=frozenset(excluded),
            )
            if isinstance(chosen, outcomes.NotRun):
                # The last agent's word says more than that none is left.
                return self.soften(refusal or chosen)
            refusal = await self.ask(chosen)
            if refusal is None:
                return None
            if self.answer.started or not self._budget.take():
                return self.soften(refusal)
            excluded.add(chosen.instance)

    async def run_at(
        self, targets: tuple[routing.Candidate, ...], *, settle: bool = False
    ) -> outcomes.Refusal | None:
        """Deliver a call to the agents that may know its key, in order.

        The first is the one to which the key is bound; the others may have
        taken over its records.

        :param settle: have the key barred instead, unless it has begun.
        """
        unreached = (_R.INCARNATION_GONE, _R.NO_ENDPOINT)
        for target in targets:
            refusal = await self.ask(target, settle=settle)
            if refusal is None:
                return None
            if refusal.reason not in unreached:
                # An agent may have refused one attempt only, after another
                # one was lost on the way back from it.
                return self.soften(refusal)
            if refusal.reason is _R.INCARNATION_GONE and isinstance(
                refusal, outcomes.NotRun
            ):
                # The key's process had stopped in good order without it.
                return refusal
        return self.soften(
            outcomes.NotRun(
                reason=_R.INCARNATION_GONE,
                detail='the process to which the key is bound has gone',
                retry_after=0.0,
            )
        )

    def soften(self, refusal: outcomes.Refusal) -> outcomes.Refusal:
        """Return a refusal that is true of all attempts together."""
        if self.maybe and isinstance(refusal, outcomes.NotRun):
            return outcomes.OutcomeUnknown(
                reason=refusal.reason, detail=refusal.detail
            )
        return refusal

    def describe_deadline(self) -> outcomes.Refusal:
        """Return the refusal for a call whose time has run out."""
        return self.soften(
            outcomes.NotRun(
                reason=outcomes.Reason.DEADLINE,
                detail='the deadline came before the answer was whole',
            )
        )

    def rebind(self, bound: keys.Bound) -> None:
        """Go on under a new key, after the old one did not run."""
        self.barred = False
        self.maybe = not bound.first
        self.admitted = dataclasses.replace(
            self.admitted, key=bound.key, binding=bound.binding
        )

    def take_over(self, call: str) -> None:
        """Go on as the call to which the caller's answer belongs."""
        self.admitted = dataclasses.replace(self.admitted, call=call)
        # The agent has seen attempts of the entry before; an answer to one
        # of those must not be taken for an answer to one of ours.
        self.attempt = RESUMED_ATTEMPT

    # Asking one agent

    async def ask(
        self, target: routing.Candidate, *, settle: bool = False
    ) -> outcomes.Refusal | None:
        """Ask one agent, again over new connections when one is lost.

        The agent runs a call once, however often it is asked, and answers
        for every attempt that was sent to it.
        """
        await steps.reach(steps.Step.CALL_ENDPOINT_CHOSEN, self.admitted.call)
        begun = self._tools.clock()
        facts = self.admitted.facts
        self._tools.router.sent(candidate=target, facts=facts)
        answered = False
        self.at_work = target
        try:
            refusal = await self._ask_until_known(target, settle)
            answered = refusal is None
            self.at_work = None
            return refusal
        finally:
            self._tools.router.ended(
                candidate=target,
                facts=facts,
                seconds=self._tools.clock() - begun,
                answered=answered,
            )

    async def give_up(self) -> None:
        """Tell the agent at work on an idempotent call to end it.

        The agent alone cannot tell a caller that has gone from an entry
        whose connection was lost, so it would work on for a while.  This is
        best effort: where it does not arrive, that while passes.
        """
        target = self.at_work
        if target is None or self.admitted.key:
            return
        outgoing = self._build(target, True, self._tools.silence)
        attempt = attempts.Attempt(
            pool=self._tools.find_pool(target),
            heads=self._tools.heads,
            outgoing=dataclasses.replace(outgoing, body=b''),
            fresh=False,
        )
        with anyio.move_on_after(GIVE_UP_SECONDS, shield=True):
            try:
                if await attempt.open() is None:
                    await attempt.send()
            finally:
                with anyio.CancelScope(shield=True):
                    await attempt.close()

    async def _ask_until_known(
        self, target: routing.Candidate, settle: bool
    ) -> outcomes.Refusal | None:
        before = self.maybe
        lost = broken = 0
        silence = self._tools.silence
        fresh = False
        while True:
            result = await self._attempt(target, settle, fresh, silence)
            match result:
                case None:
                    return None
                case connections.Unreached(detail=detail):
                    self._tools.members.suspect(target.instance)
                    return self.soften(
                        outcomes.NotRun(
                            reason=outcomes.Reason.NO_ENDPOINT,
                            detail=f'the agent cannot be reached: {detail}',
                        )
                    )
                case attempts.Refused(refusal=refusal):
                    self._note_refused(refusal, before, lost > 0)
                    return refusal
                case attempts.Lost(silent=True):
                    lost += 1
                    if self._should_leave(target):
                        return self._describe_lost(result)
                    silence *= 2
                case attempts.Lost():
                    lost += 1
                    broken += 1
                    if broken >= MOST_LOST:
                        return self._describe_lost(result)
                    await anyio.sleep(LOST_PAUSE * (broken - 1))
            await self._distrust(target)
            fresh = True

    def _note_refused(
        self, refusal: outcomes.Refusal, before: bool, lost: bool
    ) -> None:
        """Note what a refusal says about the attempts made so far."""
        if isinstance(refusal, outcomes.OutcomeUnknown):
            if refusal.reason is _R.INCARNATION_GONE:
                # It is not the process that may run the key, so it has not
                # run this attempt; with none before, the key is unused.
                self.maybe = before or lost
            return
        if refusal.reason in _ATTEMPT_ONLY:
            self.maybe = before or lost
        else:
            # The agent answers for all attempts that it was sent; for a
            # bound key, for all attempts there ever were.
            self.maybe = before and not self.admitted.key
            self.barred = bool(self.admitted.key)

    async def _attempt(
        self,
        target: routing.Candidate,
        settle: bool,
        fresh: bool,
        silence: float,
    ) -> attempts.Refused | attempts.Lost | connections.Unreached | None:
        attempt = attempts.Attempt(
            pool=self._tools.find_pool(target),
            heads=self._tools.heads,
            outgoing=self._build(target, settle, silence),
            fresh=fresh,
        )
        try:
            unreached = await attempt.open()
            if unreached is not None:
                return unreached
            self.maybe = self.maybe or self.admitted.may_run_at(target)
            await steps.reach(steps.Step.CALL_SENT, self.admitted.call)
            result = await attempt.send()
            if not isinstance(result, attempts.Answering):
                return result
            await steps.reach(
                steps.Step.CALL_ANSWER_STARTED, self.admitted.call
            )
            resume = b'' if self.admitted.key else self._make_resume(target)
            await self.answer.start(result, resume=resume)
            return await self.answer.relay(result)
        finally:
            with anyio.CancelScope(shield=True):
                await attempt.close()

    def _build(
        self, target: routing.Candidate, settle: bool, silence: float
    ) -> attempts.Outgoing:
        self.attempt += 1
        return admitted_calls.build_attempt(
            self.admitted,
            target=target,
            sending=admitted_calls.Sending(
                entry=self._tools.instance,
                number=self.attempt,
                settle=settle,
                resume_from=self.answer.relayed,
                remaining=self._remaining(),
                wall=self._tools.wall(),
                silence=silence,
            ),
        )

    def _remaining(self) -> float:
        return self.admitted.deadline - self._tools.clock()

    def _should_leave(self, target: routing.Candidate) -> bool:
        """Whether to look elsewhere instead of waiting for an agent.

        A long call is silent too, while its agent is alive; and a call that
        may run once is known to no other agent.
        """
        if self.admitted.key or self.answer.started:
            return False
        peer = self._tools.members.find(target.instance)
        return peer is None or peer.state not in _WORTH_WAITING

    async def _distrust(self, target: routing.Candidate) -> None:
        """Close idle connections to an agent, and have it probed.

        Others of the pool may have gone silent with the one that was lost.
        """
        self._tools.members.suspect(target.instance)
        await self._tools.find_pool(target).clear()

    def _describe_lost(self, lost: attempts.Lost) -> outcomes.OutcomeUnknown:
        return outcomes.OutcomeUnknown(
            reason=outcomes.Reason.CONNECTION_LOST, detail=lost.detail
        )

    def _renew_facts(self) -> routing.CallFacts:
        return dataclasses.replace(
            self.admitted.facts, remaining=self._remaining()
        )

    def _make_resume(self, target: routing.Candidate) -> bytes:
        return self._tools.resumes.make(
            resumes.Resume(
                call=self.admitted.call,
                customer=self.admitted.customer.name,
                service=self.admitted.service.name,
                agent=target.instance,
                incarnation=target.incarnation,
            )
        )
