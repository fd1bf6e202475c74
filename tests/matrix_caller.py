"""A caller that speaks plain HTTP and says exactly what it heard."""

import dataclasses
import time

import msgspec

from marigoldramp import bindings
from marigoldramp import connections
from marigoldramp import outcomes
from marigoldramp import problems
from marigoldramp_standins import answers
from marigoldramp_standins import service
from marigoldramp_standins import site_layout
from marigoldramp_standins import web

WORDS = 6


@dataclasses.dataclass(frozen=True, kw_only=True)
class Whole:
    """An answer that HTTP and its end mark call whole."""

    status: int
    headers: dict
    body: bytes


@dataclasses.dataclass(frozen=True, kw_only=True)
class Cut:
    """The connection ended early, without a word on the outcome."""

    headers: dict
    body: bytes


@dataclasses.dataclass(frozen=True, kw_only=True)
class Refused:
    """A refusal, in a body of its own or as the last event of a stream."""

    refusal: outcomes.Refusal
    call: str = ''


@dataclasses.dataclass(frozen=True, kw_only=True)
class Ask:
    """One request of a caller."""

    path: str
    body: bytes
    method: str = 'POST'
    seconds: float = 0.6
    key: str = ''
    first: bool = False
    resume: str = ''
    received: int = 0
    caller: str = site_layout.KEY
    more: tuple = ()

    def headers(self):
        yield b'authorization', b'Bearer ' + self.caller.encode()
        yield b'marigoldramp-deadline', f'{self.seconds:.3f}'.encode()
        if self.key:
            yield b'idempotency-key', self.key.encode()
        if self.first:
            yield b'marigoldramp-attempt', b'1'
        if self.resume:
            yield b'marigoldramp-resume', self.resume.encode()
            yield b'marigoldramp-resume-from', b'%d' % self.received
        yield from self.more


async def send(ask, port):
    """Make a request over a connection of its own; return what was heard."""
    opened = await connections.connect(host=web.HOST, port=port, seconds=5)
    if isinstance(opened, connections.Unreached):
        return Cut(headers={}, body=b'')
    headers, body = {}, b''
    try:
        response = await opened.handle_async_request(
            connections.build(
                host=web.HOST,
                port=port,
                method=ask.method,
                target=ask.path.encode(),
                headers=list(ask.headers()),
                body=ask.body,
            )
        )
        headers = dict(connections.lower(response.headers))
        async for chunk in response.aiter_stream():
            body += chunk
    except connections.LOST:
        told = problems.find_event(body)
        if told is not None:
            return Refused(refusal=told, call=_call(headers))
        return Cut(headers=headers, body=body)
    finally:
        await opened.aclose()
    if headers.get(b'content-type') == problems.CONTENT_TYPE:
        problem = msgspec.json.decode(body, type=problems.Problem)
        assert problem.call == _call(headers)
        return Refused(refusal=problems.decode(body), call=problem.call)
    return Whole(status=response.status, headers=headers, body=body)


def _call(headers):
    return headers.get(b'marigoldramp-call', b'').decode()


def bind(site, number=0, customer='tester'):
    """Return a new key that only the present agent may run."""
    return bindings.Binder(fleet_key=site.layout.fleet_key).make(
        service=site_layout.LEDGER,
        customer=customer,
        agent=f'agent-{number}',
        incarnation=site.agents[number].incarnation,
        made_at=site.entries[0].wall() if site.entries else time.time(),
    )


def write_order(reference):
    return msgspec.json.encode(service.Reference(reference=reference))


def write_chat(text, *, stream=True):
    return msgspec.json.encode(
        answers.ChatRequest(
            model=site_layout.MODEL,
            messages=(answers.Message(role='user', content=text),),
            stream=stream,
            max_tokens=WORDS,
        )
    )


def is_own(ask, body):
    """Whether a whole body is the answer to that request and no other."""
    if ask.path.startswith('/v1/'):
        wanted = msgspec.json.decode(ask.body, type=answers.ChatRequest)
        return answers.read_stream(body) == answers.write_text(wanted)
    answer = msgspec.json.decode(body, type=service.Confirmation)
    return answer.body == service.digest(ask.body)


def count_runs(site, ask):
    """Return how often a plain call ran, over all endpoints."""
    wanted = msgspec.json.decode(ask.body, type=service.Reference).reference
    return sum(one.runs.get(wanted, 0) for one in site.endpoints)


def count_streams(site, call):
    """Return how often the engines began to work on a call."""
    runs = (one.engine.runs.get(call) for one in site.endpoints)
    return sum(run.started for run in runs if run is not None)
