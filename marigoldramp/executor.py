"""Runs calls at the agent: record, queue, hand-over, answer.

Each call runs in one task of its own, straight down.  What entries see of
it is its :class:`.executions.Execution`.
"""

import dataclasses
from typing import Callable

import anyio
import anyio.abc

from . import admission
from . import asgi
from . import bindings
from . import bundle
from . import connections
from . import endpoint_kinds
from . import executions
from . import messages
from . import outcomes
from . import predecessors
from . import records
from . import settings
from . import slack as slack_module
from . import steps
from . import supervision

#: Headers of a caller that the endpoint does not get.
_CALLER_ONLY = frozenset({b'authorization', b'host', b'content-length'})

MILLISECONDS = 1000.0


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Call:
    """A call as an entry gave it to this agent.

    :ivar deadline: end of the call by this agent's clock.
    """

    head: messages.CallHead
    request: asgi.Request
    body: bytes
    deadline: float


class Executor:
    """The calls of one agent.

    :param wall: clock that never steps back, near the entries' clocks.
    """

    __slots__ = (
        '_settings',
        '_queue',
        '_kind',
        '_binder',
        '_incarnation',
        '_clock',
        '_group',
        '_calls',
        'records',
        'predecessors',
        'received',
    )

    def __init__(
        self,
        *,
        settings: settings.Agent,
        queue: admission.Queue,
        kind: endpoint_kinds.EndpointKind,
        binder: bindings.Binder,
        incarnation: int,
        clock: Callable[[], float],
        wall: Callable[[], float],
    ) -> None:
        self._settings = settings
        self._queue = queue
        self._kind = kind
        self._binder = binder
        self._incarnation = incarnation
        self._clock = clock
        self._group: anyio.abc.TaskGroup | None = None
        self._calls: dict[str, executions.Execution] = {}
        self.records = records.Records(
            most=settings.records,
            seconds=settings.record_seconds,
            answer_bytes=settings.answer_bytes,
            answers_bytes=settings.answers_bytes,
            wall=wall,
        )
        self.predecessors = predecessors.Predecessors(
            most=settings.records, seconds=settings.record_seconds, wall=wall
        )
        self.received = 0

    def start(self, group: anyio.abc.TaskGroup) -> None:
        """Run calls in this task group from now on."""
        self._group = group

    @property
    def in_flight(self) -> int:
        """Calls that have not ended."""
        return sum(not call.final for call in self._calls.values())

    async def attach(
        self, call: Call
    ) -> executions.Execution | outcomes.Refusal:
        """Return the execution of a call; begin it if it is new."""
        self.received += 1
        if call.head.idempotent:
            return self._attach_idempotent(call)
        return self._attach_recorded(call)

    def slack(self) -> float:
        """Return the seconds by which every running call can be delayed."""
        service_ms = self._queue.load().service_ms
        return slack_module.find(
            running=self._calls.values(),
            service_seconds=service_ms / MILLISECONDS,
            now=self._clock(),
        )

    def knows(self, call: Call) -> executions.Execution | None:
        """Return the execution to which a call would attach, if any."""
        if call.head.idempotent:
            return self._calls.get(call.head.call)
        return self.records.find(call.head.key)

    def turn_away(
        self, call: Call, refusal: outcomes.NotRun
    ) -> executions.Execution | outcomes.Refusal:
        """Refuse a call that is not known, so that it stays refused.

        Other bytes of the same call may still be on their way; once its
        entry has said "not run", they must not start it.
        """
        if call.head.idempotent:
            if call.head.attempt > 1 and self._group is not None:
                execution = executions.Execution(call=call.head.call, window=0)
                execution.refuse(refusal)
                self._calls[call.head.call] = execution
                self._group.start_soon(self._forget, call, execution)
            return refusal
        binding = self._open(call)
        if isinstance(binding, outcomes.NotRun):
            return binding
        if binding.incarnation != self._incarnation:
            return self.predecessors.find(binding=binding, key=call.head.key)
        return self.records.bar(
            key=call.head.key,
            made_at=binding.made_at,
            call=call.head.call,
            refusal=refusal,
        )

    def detach(self, call: Call, execution: executions.Execution) -> None:
        """Note that a reader has gone."""
        if execution.final or execution.readers:
            return
        if not call.head.idempotent:
            return
        if execution.given_up:
            execution.scope.cancel()
        elif self._group is not None:
            self._group.start_soon(self._abandon, execution)

    def cancel(self, call: str) -> None:
        """End the work on an idempotent call whose caller has gone.

        A reader that is still there is the connection that is being given
        up, whose end has not been noticed yet, or another entry to which
        the caller has come back; the work ends when the last one goes.
        """
        execution = self._calls.get(call)
        if execution is None or execution.final:
            return
        execution.given_up = True
        if not execution.readers:
            execution.scope.cancel()

    # Beginning

    def _attach_idempotent(
        self, call: Call
    ) -> executions.Execution | outcomes.Refusal:
        known = self._calls.get(call.head.call)
        if known is not None:
            known.given_up = False
            return known
        if call.head.resume_from or call.head.settle:
            return outcomes.OutcomeUnknown(
                reason=outcomes.Reason.ANSWER_NOT_KEPT,
                detail='the answer is no longer in memory',
            )
        execution = executions.Execution(
            call=call.head.call, window=self._settings.stream_buffer
        )
        self._begin(call, execution, call.head.call)
        return execution

    def _attach_recorded(
        self, call: Call
    ) -> executions.Execution | outcomes.Refusal:
        key = call.head.key
        binding = self._open(call)
        if isinstance(binding, outcomes.NotRun):
            return binding
        if binding.incarnation != self._incarnation:
            return self.predecessors.find(binding=binding, key=key)
        if call.head.settle:
            return self.records.bar(
                key=key,
                made_at=binding.made_at,
                call=call.head.call,
                refusal=outcomes.NotRun(
                    reason=outcomes.Reason.CANCELLED,
                    detail='the entry gave the call up',
                ),
            )
        match self.records.begin(
            key=key, made_at=binding.made_at, call=call.head.call
        ):
            case records.Begun(execution=execution):
                self._begin(call, execution, key)
                return execution
            case records.Known(execution=execution):
                return execution
            case refusal:
                return refusal

    def _open(self, call: Call) -> messages.Binding | outcomes.NotRun:
        binding = self._binder.open(
            key=call.head.key,
            customer=call.head.customer,
            service=call.head.service,
        )
        if isinstance(binding, messages.Binding):
            return binding
        return outcomes.NotRun(
            reason=outcomes.Reason.BINDING_INVALID,
            detail='the idempotency key is not bound to this service',
        )

    def _begin(
        self, call: Call, execution: executions.Execution, name: str
    ) -> None:
        if self._group is None:
            raise RuntimeError('the executor has not been started')
        execution.deadline = call.deadline
        self._calls[name] = execution
        self._group.start_soon(self._run, call, execution, name)

    # Running

    async def _run(
        self, call: Call, execution: executions.Execution, name: str
    ) -> None:
        try:
            with execution.scope:
                await supervision.run_contained(
                    self._queue_and_exchange, call, execution
                )
        finally:
            if not execution.final:
                execution.refuse(_describe_cancelled(execution))
            if not call.head.idempotent:
                self.records.keep(name)
        await anyio.sleep(self._keep_seconds(call, execution))
        del self._calls[name]

    async def _forget(
        self, call: Call, execution: executions.Execution
    ) -> None:
        await anyio.sleep(self._keep_seconds(call, execution))
        del self._calls[call.head.call]

    def _keep_seconds(
        self, call: Call, execution: executions.Execution
    ) -> float:
        """Return how long an ended call can still be attached to.

        After a second attempt was refused, the bytes of the first one may
        still lie in some buffer.  They must not start the call once its
        entry has said "not run", so the refusal is kept until the deadline
        refuses them by itself.
        """
        seconds = self._settings.resume_seconds
        if call.head.attempt > 1 and execution.refusal is not None:
            seconds = max(seconds, call.deadline - self._clock())
        return seconds

    async def _queue_and_exchange(
        self, call: Call, execution: executions.Execution
    ) -> None:
        await steps.reach(steps.Step.AGENT_QUEUED, call.head.call)
        slot = await self._queue.enter(waiting=_describe_waiting(call))
        if isinstance(slot, outcomes.NotRun):
            execution.refuse(slot)
            return
        begun = self._clock()
        try:
            await self._exchange(call, execution)
        finally:
            self._queue.leave(
                slot,
                self._clock() - begun,
                completed=execution.state is executions.State.ENDED,
            )

    async def _exchange(
        self, call: Call, execution: executions.Execution
    ) -> None:
        """Hand the call to the endpoint, at most once.

        A process that was frozen since the queue let the call go would
        start it late; the deadline is therefore looked at again right
        before the first byte is sent, when the connection already stands.
        """

        async def hand_over() -> bool:
            await steps.reach(steps.Step.AGENT_RECORDED, call.head.call)
            if self._clock() >= call.deadline:
                return False
            execution.begun = self._clock()
            execution.hand_over()
            await steps.reach(steps.Step.AGENT_HANDED_OVER, call.head.call)
            return True

        end = call.deadline - self._clock()
        if not call.head.idempotent:
            end += self._settings.overtime
        result: endpoint_kinds.Result | None = None
        with anyio.move_on_after(max(0.0, end)):
            result = await self._kind.exchange(
                request=_build_request(call),
                sink=execution,
                hand_over=hand_over,
            )
        self._conclude(execution, result)
        await steps.reach(steps.Step.AGENT_ANSWERED, call.head.call)

    def _conclude(
        self,
        execution: executions.Execution,
        result: endpoint_kinds.Result | None,
    ) -> None:
        match result:
            case endpoint_kinds.Whole():
                execution.end()
            case connections.Unreached(detail=detail):
                # Coming back at once helps, with a key of another agent.
                execution.refuse(
                    outcomes.NotRun(
                        reason=outcomes.Reason.ENDPOINT_FAILED,
                        detail=detail,
                        retry_after=0.0,
                    )
                )
            case endpoint_kinds.Withheld():
                execution.refuse(_describe_late())
            case endpoint_kinds.Broken(detail=detail):
                execution.refuse(
                    outcomes.OutcomeUnknown(
                        reason=outcomes.Reason.ENDPOINT_FAILED, detail=detail
                    )
                )
            case None:
                execution.refuse(_describe_overdue(execution))

    async def _abandon(self, execution: executions.Execution) -> None:
        """Cancel work that nobody has read for a while.

        Its entry may come back over a new connection, so not at once.
        """
        await anyio.sleep(self._settings.resume_seconds)
        if not execution.readers and not execution.final:
            execution.scope.cancel()


def _describe_waiting(call: Call) -> admission.Waiting:
    return admission.Waiting(
        call=call.head.call,
        customer=call.head.customer,
        weight=call.head.weight,
        priority=bundle.Priority(call.head.priority),
        deadline=call.deadline,
        cost=float(max(1, call.head.tokens)),
    )


def _build_request(call: Call) -> endpoint_kinds.EndpointRequest:
    headers = [
        pair
        for pair in asgi.keep_end_to_end(call.request.headers)
        if pair[0] not in _CALLER_ONLY
        and not pair[0].startswith(b'marigoldramp-')
    ]
    headers.append((b'marigoldramp-customer', call.head.customer.encode()))
    return endpoint_kinds.EndpointRequest(
        call=call.head.call,
        method=call.request.method,
        target=call.request.target,
        headers=headers,
        body=call.body,
        priority=call.head.priority,
    )


def _describe_cancelled(
    execution: executions.Execution,
) -> outcomes.Refusal:
    if execution.state is executions.State.WAITING:
        return outcomes.NotRun(
            reason=outcomes.Reason.CANCELLED,
            detail='nobody waited for the call',
        )
    return outcomes.OutcomeUnknown(
        reason=outcomes.Reason.CANCELLED,
        detail='the call was cancelled while it ran',
    )


def _describe_late() -> outcomes.NotRun:
    return outcomes.NotRun(
        reason=outcomes.Reason.DEADLINE,
        detail='the deadline passed before the call was handed over',
    )


def _describe_overdue(execution: executions.Execution) -> outcomes.Refusal:
    if execution.state is executions.State.WAITING:
        return _describe_late()
    return outcomes.OutcomeUnknown(
        reason=outcomes.Reason.DEADLINE,
        detail='the endpoint did not answer in time',
    )
