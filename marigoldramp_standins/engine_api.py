"""HTTP interface of the engine stand-in."""

import hashlib
import time

import anyio
import msgspec

from . import answers
from . import batching
from . import jobs
from . import load_reports
from . import orders
from . import prefixes
from . import web


class FaultChange(msgspec.Struct, kw_only=True, forbid_unknown_fields=True):
    """Body of ``POST /standin/faults``; what is left out stays as it is."""

    frozen: bool | None = None
    slowdown: float | None = None
    cut_streams: int | None = None
    load_lag: float | None = None
    event_lag: float | None = None
    event_loss: float | None = None


class RunsReport(msgspec.Struct, frozen=True, kw_only=True):
    """Body of ``GET /standin/runs``: counts by request."""

    runs: dict[str, jobs.Run]


class StateReport(msgspec.Struct, frozen=True, kw_only=True):
    """Body of ``GET /standin/state``."""

    steps: int
    role: str
    fence: int
    orders: tuple[orders.Order, ...]


class Model(msgspec.Struct, frozen=True, kw_only=True):
    """One row of the model list."""

    id: str
    object: str = 'model'
    created: int = 0
    owned_by: str = 'standin'


class Models(msgspec.Struct, frozen=True, kw_only=True):
    """Body of ``GET /v1/models``."""

    object: str = 'list'
    data: tuple[Model, ...]


class EngineServer:
    """The HTTP side of one engine."""

    __slots__ = ('engine', 'book', 'events', 'load')

    def __init__(
        self,
        *,
        engine: batching.Engine,
        book: orders.OrderBook,
        events: prefixes.EventLog,
        load: load_reports.LoadLog,
    ) -> None:
        self.engine = engine
        self.book = book
        self.events = events
        self.load = load
        engine.on_change = self._note_load
        self._note_load()

    async def handle(self, exchange: web.Exchange) -> None:
        """Answer one request."""
        match (exchange.method, *exchange.parts):
            case ('POST', 'v1', 'chat', 'completions'):
                await self._complete(exchange)
            case ('POST', 'v1', 'streams', stream, 'resume'):
                await self._resume(exchange, stream)
            case ('DELETE', 'v1', 'streams', stream):
                await self._cancel(exchange, stream)
            case ('GET', 'v1', 'models'):
                names = self.book.list_models()
                listed = Models(data=tuple(Model(id=name) for name in names))
                await exchange.answer_json(listed)
            case ('GET', 'load'):
                await exchange.answer_json(self.load.read())
            case ('GET', 'cache-events'):
                await self._show_events(exchange)
            case ('POST', 'orders'):
                await self._order(exchange)
            case (_, 'standin', *_):
                await self._administer(exchange)
            case _:
                await exchange.refuse(status=404, error='no such path')

    async def _complete(self, exchange: web.Exchange) -> None:
        body = await exchange.read_body()
        try:
            request = msgspec.json.decode(body, type=answers.ChatRequest)
        except msgspec.MsgspecError as error:
            await exchange.refuse(status=400, error=str(error))
            return
        if request.model not in self.book.list_models():
            await exchange.refuse(status=404, error='no such model')
            return
        name = exchange.header('x-request-id') or _digest(body)
        job = self.engine.submit(
            request=_set_priority(request, exchange),
            name=name,
            created=int(time.time()),
        )
        if job is None:
            await exchange.refuse(status=503, error='the queue is full')
            return
        if request.stream:
            await self._stream(exchange, job, 0)
        else:
            await self._answer_whole(exchange, job)

    async def _answer_whole(
        self, exchange: web.Exchange, job: jobs.Job
    ) -> None:
        self.engine.attach(job=job)
        async with anyio.create_task_group() as group:
            group.start_soon(self._detach_when_gone, exchange, job)
            while not job.has_ended():
                await job.changed.wait()
            if job.state is jobs.State.DONE:
                await exchange.answer_json(_summarise(job))
            group.cancel_scope.cancel()

    async def _stream(
        self, exchange: web.Exchange, job: jobs.Job, start: int
    ) -> None:
        cut = self._takes_cut()
        self.engine.attach(job=job)
        await exchange.start(
            status=200,
            headers=[
                (b'content-type', b'text/event-stream'),
                (b'cache-control', b'no-cache'),
                (b'x-stream-id', job.stream.encode()),
            ],
        )
        async with anyio.create_task_group() as group:
            group.start_soon(self._detach_when_gone, exchange, job)
            async for chunk in self.engine.follow(job=job, start=start):
                await exchange.send(chunk, more=True)
                if cut and job.produced >= len(job.words) // 2:
                    await exchange.cut()
                    break
            if job.state is jobs.State.DONE:
                await exchange.send(b'', more=False)
            else:
                await exchange.cut()

    async def _detach_when_gone(
        self, exchange: web.Exchange, job: jobs.Job
    ) -> None:
        """Give up a job at once when its client has gone."""
        try:
            await exchange.wait_gone()
        finally:
            self.engine.detach(job=job)

    async def _resume(self, exchange: web.Exchange, stream: str) -> None:
        job = self.engine.find(stream=stream)
        start = int(exchange.query('from', '0'))
        if job is None or start > len(job.written):
            await exchange.refuse(status=404, error='no such stream')
            return
        await self._stream(exchange, job, start)

    async def _cancel(self, exchange: web.Exchange, stream: str) -> None:
        job = self.engine.find(stream=stream)
        if job is not None:
            self.engine.cancel(job=job)
        await exchange.answer(status=204)

    async def _show_events(self, exchange: web.Exchange) -> None:
        found = await self.events.read(
            after=int(exchange.query('after', '0')),
            seconds=float(exchange.query('seconds', '20')),
        )
        await exchange.answer_json(found)

    async def _order(self, exchange: web.Exchange) -> None:
        body = await exchange.read_body()
        try:
            order = msgspec.json.decode(body, type=orders.Order)
        except msgspec.MsgspecError as error:
            await exchange.refuse(status=400, error=str(error))
            return
        reply = self.book.take(order=order)
        status = 200 if reply.accepted else 409
        await exchange.answer_json(reply, status=status)

    async def _administer(self, exchange: web.Exchange) -> None:
        match (exchange.method, *exchange.parts[1:]):
            case ('GET', 'runs'):
                runs = RunsReport(runs=dict(self.engine.runs))
                await exchange.answer_json(runs)
            case ('GET', 'state'):
                await exchange.answer_json(
                    StateReport(
                        steps=self.engine.steps,
                        role=self.book.role,
                        fence=self.book.fence,
                        orders=tuple(self.book.taken),
                    )
                )
            case ('POST', 'faults'):
                body = await exchange.read_body()
                self._set_faults(msgspec.json.decode(body, type=FaultChange))
                await exchange.answer(status=204)
            case _:
                await exchange.refuse(status=404, error='no such path')

    def _set_faults(self, change: FaultChange) -> None:
        for name in ('frozen', 'slowdown', 'cut_streams'):
            value = getattr(change, name)
            if value is not None:
                setattr(self.engine.faults, name, value)
        if change.load_lag is not None:
            self.load.lag = change.load_lag
        if change.event_lag is not None:
            self.events.lag = change.event_lag
        if change.event_loss is not None:
            self.events.loss = change.event_loss
        self.engine.wake()

    def _takes_cut(self) -> bool:
        if not self.engine.faults.cut_streams:
            return False
        self.engine.faults.cut_streams -= 1
        return True

    def _note_load(self) -> None:
        engine = self.engine
        report = load_reports.LoadReport(
            running=len(engine.running),
            waiting=len(engine.waiting),
            tokens=sum(
                job.prompt_tokens + job.produced for job in engine.running
            ),
            slots=engine.slots,
        )
        self.load.note(report=report)


def _digest(body: bytes) -> str:
    return hashlib.blake2b(body, digest_size=16).hexdigest()


def _set_priority(
    request: answers.ChatRequest, exchange: web.Exchange
) -> answers.ChatRequest:
    """Take the priority of the header, which goes before the body's."""
    text = exchange.header('x-priority')
    if not text.isdigit():
        return request
    return msgspec.structs.replace(request, priority=int(text))


def _summarise(job: jobs.Job) -> answers.Completion:
    message = answers.Message(role='assistant', content=' '.join(job.words))
    return answers.Completion(
        id=job.stream,
        created=job.created,
        model=job.request.model,
        choices=(answers.Choice(message=message),),
        usage=job.count_usage(),
    )
