"""The agent's side of a call: HTTP from entries, in front of the executor."""

import dataclasses
import functools
from typing import Any
from typing import Callable
from typing import MutableMapping

import anyio

from . import asgi
from . import clocks
from . import executions
from . import executor
from . import heads
from . import messages
from . import outcomes
from . import problems
from . import settings
from . import steps


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Identity:
    """Who this agent is; a head meant for another process is refused."""

    instance: str
    service: str
    incarnation: int


class AgentCalls:
    """ASGI application that serves the entries' attempts."""

    __slots__ = (
        '_identity',
        '_settings',
        '_executor',
        '_heads',
        '_offsets',
        '_clock',
        '_closed',
        'ready',
    )

    def __init__(
        self,
        *,
        identity: Identity,
        settings: settings.Agent,
        executor: executor.Executor,
        heads: heads.Heads,
        offsets: clocks.Offsets,
        clock: Callable[[], float],
    ) -> None:
        self._identity = identity
        self._settings = settings
        self._executor = executor
        self._heads = heads
        self._offsets = offsets
        self._clock = clock
        self._closed = False
        self.ready = False

    @property
    def closed(self) -> bool:
        """Whether no new call is taken any more."""
        return self._closed

    def close(self) -> None:
        """Take no new call from now on; retries and readers still come."""
        self._closed = True

    async def handle(
        self,
        scope: MutableMapping[str, Any],
        receive: asgi.Receive,
        send: asgi.Send,
    ) -> None:
        """Serve one attempt of a call."""
        request = asgi.read_head(scope)
        head = self._open_head(request)
        if isinstance(head, outcomes.NotRun):
            await asgi.send_refusal(send=send, refusal=head, call='')
            return
        await steps.reach(steps.Step.AGENT_RECEIVED, head.call)
        if head.idempotent and head.settle:
            self._executor.cancel(head.call)
            await self._refuse(send, head, _describe_given_up())
            return
        body = await asgi.read_body(
            request=request,
            receive=receive,
            limit=self._settings.body_bytes,
            seconds=self._settings.body_timeout,
        )
        if isinstance(body, outcomes.NotRun):
            await self._refuse(send, head, body)
            return
        call = executor.Call(
            head=head,
            request=request,
            body=body,
            deadline=self._clock() + self._remaining(head),
        )
        found = await self._attach(call)
        if isinstance(found, executions.Execution):
            await self._relay(call, found, receive, send)
        else:
            await self._refuse(send, head, found)

    # Checking

    def _open_head(
        self, request: asgi.Request
    ) -> messages.CallHead | outcomes.NotRun:
        sealed = request.find(heads.CALL_HEADER)
        head = self._heads.decode_call(sealed) if sealed else None
        if head is None:
            return outcomes.NotRun(
                reason=outcomes.Reason.UNAUTHENTICATED,
                detail='only entries of this system may call an agent',
            )
        if head.agent != self._identity.instance:
            return outcomes.NotRun(
                reason=outcomes.Reason.WRONG_INSTANCE,
                detail='the call is meant for another agent',
            )
        if head.service != self._identity.service:
            return outcomes.NotRun(
                reason=outcomes.Reason.WRONG_INSTANCE,
                detail='the call is meant for another service',
            )
        return head

    def _remaining(self, head: messages.CallHead) -> float:
        """Return the seconds left of a call.

        The duration in the head is wrong when the bytes lay in a buffer or
        this process was frozen; the point in time shows it.
        """
        until = self._offsets.until(instance=head.entry, at=head.deadline_at)
        if until is None:
            return head.remaining
        return min(head.remaining, until)

    async def _attach(
        self, call: executor.Call
    ) -> executions.Execution | outcomes.Refusal:
        known = self._executor.knows(call)
        if known is None and not call.head.settle:
            if self._closed:
                return self._executor.turn_away(
                    call,
                    outcomes.NotRun(
                        reason=outcomes.Reason.LEAVING,
                        detail='the endpoint is leaving',
                        retry_after=0.0,
                    ),
                )
            if call.deadline <= self._clock():
                return self._executor.turn_away(
                    call,
                    outcomes.NotRun(
                        reason=outcomes.Reason.DEADLINE,
                        detail='the deadline had passed on arrival',
                    ),
                )
        return await self._executor.attach(call)

    # Answering

    async def _relay(
        self,
        call: executor.Call,
        execution: executions.Execution,
        receive: asgi.Receive,
        send: asgi.Send,
    ) -> None:
        """Send an execution's answer for as long as the entry reads it."""
        execution.readers += 1
        try:
            async with anyio.create_task_group() as group:
                group.start_soon(
                    functools.partial(
                        _cancel_on_disconnect, receive, group.cancel_scope
                    )
                )
                await self._send_answer(call, execution, send)
                group.cancel_scope.cancel()
        finally:
            execution.readers -= 1
            self._executor.detach(call, execution)

    async def _send_answer(
        self,
        call: executor.Call,
        execution: executions.Execution,
        send: asgi.Send,
    ) -> None:
        await self._wait_begun(call, execution)
        refusal = execution.refusal
        if refusal is None and not execution.status:
            refusal = _describe_unfinished()
        offset = call.head.resume_from
        if refusal is None and not execution.covers(offset):
            refusal = _describe_dropped()
        if refusal is not None:
            await self._refuse(send, call.head, refusal)
            return
        await self._send_head(call, execution, send)
        async for chunk in execution.read(offset):
            await send(
                {
                    'type': 'http.response.body',
                    'body': chunk,
                    'more_body': True,
                }
            )
        if execution.state is executions.State.ENDED:
            await send({'type': 'http.response.body', 'body': b''})
            return
        # Without its last chunk the answer cannot be taken for whole: the
        # server closes the connection when the application returns here.
        # The entry attaches again and is told the reason.

    async def _wait_begun(
        self, call: executor.Call, execution: executions.Execution
    ) -> None:
        """Wait for the head, or for the whole where that must be kept."""
        seconds = max(0.0, call.deadline - self._clock())
        with anyio.move_on_after(seconds):
            if call.head.idempotent:
                await execution.wait_begun()
            else:
                await execution.wait_final()

    async def _send_head(
        self,
        call: executor.Call,
        execution: executions.Execution,
        send: asgi.Send,
    ) -> None:
        answer = messages.AnswerHead(
            call=call.head.call,
            attempt=call.head.attempt,
            outcome=messages.OutcomeKind.ANSWER,
            incarnation=self._identity.incarnation,
        )
        headers = execution.headers
        if call.head.resume_from:
            headers = [p for p in headers if p[0] != b'content-length']
        await send(
            {
                'type': 'http.response.start',
                'status': execution.status,
                'headers': [
                    *headers,
                    (heads.ANSWER_HEADER, self._heads.encode_answer(answer)),
                ],
            }
        )

    async def _refuse(
        self,
        send: asgi.Send,
        head: messages.CallHead,
        refusal: outcomes.Refusal,
    ) -> None:
        match refusal:
            case outcomes.NotRun():
                outcome = messages.OutcomeKind.NOT_RUN
                retry_after = refusal.retry_after
            case outcomes.OutcomeUnknown():
                outcome = messages.OutcomeKind.OUTCOME_UNKNOWN
                retry_after = None
        answer = messages.AnswerHead(
            call=head.call,
            attempt=head.attempt,
            outcome=outcome,
            reason=refusal.reason.value,
            detail=refusal.detail,
            retry_after=retry_after,
            incarnation=self._identity.incarnation,
        )
        problem = problems.describe(refusal=refusal, call=head.call)
        await asgi.send_whole(
            send=send,
            status=problem.status,
            headers=[
                (b'content-type', problems.CONTENT_TYPE),
                (heads.ANSWER_HEADER, self._heads.encode_answer(answer)),
            ],
            body=problems.encode(problem),
        )


async def _cancel_on_disconnect(
    receive: asgi.Receive, scope: anyio.CancelScope
) -> None:
    await asgi.wait_disconnect(receive)
    scope.cancel()


def _describe_given_up() -> outcomes.OutcomeUnknown:
    return outcomes.OutcomeUnknown(
        reason=outcomes.Reason.CANCELLED,
        detail='the entry gave the call up',
    )


def _describe_unfinished() -> outcomes.OutcomeUnknown:
    return outcomes.OutcomeUnknown(
        reason=outcomes.Reason.DEADLINE,
        detail='the endpoint had not answered when the deadline came',
    )


def _describe_dropped() -> outcomes.OutcomeUnknown:
    return outcomes.OutcomeUnknown(
        reason=outcomes.Reason.ANSWER_NOT_KEPT,
        detail='that part of the answer is no longer in memory',
    )
