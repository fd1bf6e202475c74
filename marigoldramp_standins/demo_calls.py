"""The calls of the demonstration, each checked for being whole and its own."""

import dataclasses
import enum
import random
import time

import anyio
import msgspec

from marigoldramp import client as callers
from marigoldramp import outcomes

from . import answers
from . import demo_layout
from . import service

JSON_HEADERS = ((b'content-type', b'application/json'),)
RECEIPT_BYTES = 200_000
#: Time until an answer is worthless; the routes' defaults say the same.
DISPATCH_SECONDS = 3.0
PLEDGE_SECONDS = 5.0
DRAFT_SECONDS = 20.0


class Kind(enum.StrEnum):
    """Kinds of calls that the demonstration makes."""

    STREAMED_DRAFT = 'streamed draft'
    WHOLE_DRAFT = 'whole draft'
    DISPATCH = 'dispatch call'
    PLEDGE = 'pledge confirmation'
    RECEIPT = 'receipt'


class Outcome(enum.StrEnum):
    """How a call ended."""

    ANSWERED = 'answered'
    NOT_RUN = 'not run'
    UNKNOWN = 'outcome unknown'
    WRONG = 'wrong answer'


NON_IDEMPOTENT = (Kind.DISPATCH, Kind.PLEDGE)


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Plan:
    """One call to make.

    :ivar reference: names the call in the stand-ins' counts.
    """

    kind: Kind
    reference: str
    content: str = ''
    tokens: int = 0


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Result:
    """What became of a call.

    :ivar first: seconds until the first byte of the answer came.
    :ivar total: seconds until it was whole or refused.
    """

    plan: Plan
    outcome: Outcome
    detail: str = ''
    first: float = 0.0
    total: float = 0.0


def plan_calls(*, count: int, seed: int) -> list[Plan]:
    """Return a mix of calls like a deployment's, in a shuffled order."""
    chance = random.Random(seed)
    kinds = chance.choices(list(Kind), weights=[35, 10, 25, 20, 10], k=count)
    return [
        Plan(
            kind=kind,
            reference=f'{kind.name.lower()}-{seed}-{index}',
            content=_write_prompt(index, chance),
            tokens=chance.randint(24, 72),
        )
        for index, kind in enumerate(kinds)
    ]


def _write_prompt(index: int, chance: random.Random) -> str:
    remarks = ' '.join(chance.choices(answers.WORDS, k=40))
    return (
        'You write short notes for the next agent. Keep to what the '
        'remarks say, name the place and the time, and add nothing. '
        f'Note {index}: {remarks}'
    )


class Caller:
    """Makes the calls of one customer through the client library."""

    __slots__ = ('_client',)

    def __init__(self, *, addresses: list[str], key: str) -> None:
        self._client = callers.Client(addresses=addresses, key=key)

    async def make(self, plan: Plan) -> Result:
        """Make one call and judge its answer."""
        match plan.kind:
            case Kind.STREAMED_DRAFT:
                return await self._stream_draft(plan)
            case Kind.WHOLE_DRAFT:
                return await self._fetch_draft(plan)
            case Kind.DISPATCH:
                return await self._confirm(
                    plan, '/dispatches', 'dispatch', DISPATCH_SECONDS
                )
            case Kind.PLEDGE:
                path = f'/pledges/{plan.reference}/confirmation'
                return await self._confirm(
                    plan, path, 'ledger', PLEDGE_SECONDS
                )
            case Kind.RECEIPT:
                return await self._fetch_receipt(plan)

    async def close(self) -> None:
        """Close its connections."""
        await self._client.close()

    async def _stream_draft(self, plan: Plan) -> Result:
        request = _make_request(plan, stream=True)
        begun = time.monotonic()
        first = 0.0
        body = b''
        refusal: outcomes.Refusal | None = None
        async for item in self._client.stream(_make_draft_call(request)):
            if isinstance(item, bytes):
                first = first or time.monotonic() - begun
                body += item
            else:
                refusal = item
        if refusal is not None:
            return _judge_refusal(plan, refusal, begun)
        text = answers.read_stream(body)
        whole = text == answers.write_text(request)
        return _judge(plan, whole, begun, first)

    async def _fetch_draft(self, plan: Plan) -> Result:
        request = _make_request(plan, stream=False)
        begun = time.monotonic()
        answer = await self._client.call(_make_draft_call(request))
        if not isinstance(answer, callers.Answer):
            return _judge_refusal(plan, answer, begun)
        whole = False
        if answer.status == 200:
            found = msgspec.json.decode(answer.body, type=answers.Completion)
            text = found.choices[0].message.content
            whole = text == answers.write_text(request)
        return _judge(plan, whole, begun)

    async def _confirm(
        self, plan: Plan, path: str, service_name: str, seconds: float
    ) -> Result:
        body = msgspec.json.encode(service.Reference(reference=plan.reference))
        begun = time.monotonic()
        answer = await self._client.call(
            callers.Call(
                method='POST',
                path=path,
                body=body,
                headers=JSON_HEADERS,
                service=service_name,
                seconds=seconds,
            )
        )
        if not isinstance(answer, callers.Answer):
            return _judge_refusal(plan, answer, begun)
        expected = service.Confirmation(
            service=service_name,
            method='POST',
            path=path.strip('/'),
            reference=plan.reference,
            run=1,
            body=service.digest(body),
        )
        whole = answer.body == msgspec.json.encode(expected)
        return _judge(plan, whole, begun)

    async def _fetch_receipt(self, plan: Plan) -> Result:
        begun = time.monotonic()
        path = f'/receipts/{plan.reference}?bytes={RECEIPT_BYTES}'
        call = callers.Call(method='GET', path=path)
        answer = await self._client.call(call)
        if not isinstance(answer, callers.Answer):
            return _judge_refusal(plan, answer, begun)
        expected = service.write_receipt(
            number=plan.reference, size=RECEIPT_BYTES
        )
        return _judge(plan, answer.body == expected, begun)


async def make_calls(
    *,
    plans: list[Plan],
    addresses: list[str],
    customers: tuple[demo_layout.Caller, ...],
    at_once: int,
) -> list[Result]:
    """Make all calls, some of them at once, and show the progress."""
    assistance, appeals = customers
    makers = {
        one.name: Caller(addresses=addresses, key=one.key) for one in customers
    }
    results: list[Result] = []
    limiter = anyio.CapacityLimiter(at_once)

    async def make_one(plan: Plan, caller: Caller) -> None:
        async with limiter:
            results.append(await caller.make(plan))
        if len(results) % max(1, len(plans) // 10) == 0:
            print(f'  {len(results)} of {len(plans)} calls ended', flush=True)

    async with anyio.create_task_group() as group:
        for index, plan in enumerate(plans):
            name = _choose_customer(plan, index, assistance, appeals)
            group.start_soon(make_one, plan, makers[name])
    for maker in makers.values():
        await maker.close()
    return results


def _choose_customer(
    plan: Plan,
    index: int,
    assistance: demo_layout.Caller,
    appeals: demo_layout.Caller,
) -> str:
    match plan.kind:
        case Kind.DISPATCH:
            return assistance.name
        case Kind.PLEDGE | Kind.RECEIPT:
            return appeals.name
    return (assistance, appeals)[index % 2].name


def _make_request(plan: Plan, *, stream: bool) -> answers.ChatRequest:
    message = answers.Message(role='user', content=plan.content)
    return answers.ChatRequest(
        model=demo_layout.MODEL,
        messages=(message,),
        stream=stream,
        max_tokens=plan.tokens,
    )


def _make_draft_call(request: answers.ChatRequest) -> callers.Call:
    return callers.Call(
        method='POST',
        path='/v1/chat/completions',
        body=msgspec.json.encode(request),
        headers=JSON_HEADERS,
        seconds=DRAFT_SECONDS,
    )


def _judge(
    plan: Plan, whole: bool, begun: float, first: float = 0.0
) -> Result:
    total = time.monotonic() - begun
    return Result(
        plan=plan,
        outcome=Outcome.ANSWERED if whole else Outcome.WRONG,
        first=first or total,
        total=total,
    )


def _judge_refusal(
    plan: Plan, refusal: outcomes.Refusal, begun: float
) -> Result:
    not_run = isinstance(refusal, outcomes.NotRun)
    return Result(
        plan=plan,
        outcome=Outcome.NOT_RUN if not_run else Outcome.UNKNOWN,
        detail=f'{refusal.reason}: {refusal.detail}',
        total=time.monotonic() - begun,
    )
