"""Stand-in of an endpoint that notes what it runs."""

import dataclasses
import itertools

import anyio
import httpcore

from . import ranks

#: Seconds for which an endpoint serves on after it has said that it leaves.
SERVES_ON = 4.0
EVENTS = 12
#: End of the path of a stream that takes longer, and the time between two of
#: its events, in seconds.
LONG = '/long'
LONG_EVENT_SECONDS = 0.35
EVENT_SECONDS = 0.03
#: Seconds that a request takes on an endpoint that carries a rank.
RANKED_SECONDS = 0.3
#: In the path of a request that ends each endpoint which begins to run it.
ENDS = 'ends-'
#: The same for requests of which no two are alike, but which share a part of
#: their prompts with this name.
ENDS_BY_PART = 'part-ends-'
#: Share of requests that an endpoint declines while it requests a backoff.
DECLINED_SHARE = 0.6
#: Seconds for which an endpoint is cold after a restart.
COLD_SECONDS = 4.0
_numbers = itertools.count(1)


@dataclasses.dataclass(kw_only=True)
class Run:
    """One request that an endpoint began to work on.

    :ivar path: of the request.
    :ivar part: last part of its prompt that other requests may have too.
    """

    request: str
    path: str
    part: str
    at: float
    endpoint: str
    customer: str
    first_event: int


@dataclasses.dataclass(kw_only=True)
class Arrival:
    """One request that an endpoint received, whether or not it ran.

    :ivar leaving: the response reports that the endpoint is shutting down.
    :ivar backoff: duration in seconds of the backoff that the response
        requests, 0 if none.
    :ivar rate_limit: requests per second from all gateways together that the
        response names, 0 if none.
    """

    request: str
    at: float
    endpoint: str
    leaving: bool
    backoff: float = 0.0
    rate_limit: float = 0.0


@dataclasses.dataclass(kw_only=True)
class LimitSpan:
    """A time in which an endpoint names one rate limit."""

    rate: float
    begun: float
    ended: float = float('inf')


class Runner:
    """One endpoint.

    :param arrivals: list to which each received request is added.
    :param on_end: called when its process ends.
    :ivar backoff: duration in seconds of the backoff it requests, 0 if none.
    :ivar rate_limit: requests per second that it names in its responses, 0
        for no limit.
    :ivar limit_spans: the limits that it has named, in order.
    :ivar born: number of its start.
    :ivar restarted_at: when it restarted cold; negative infinity for never.
    :ivar serves: it has neither left nor ended.
    :ivar fault: what it does wrong: ``decline``, ``fail``, ``cut``, ``slow``,
        ``hang`` or nothing.
    :ivar rank: the rank that it carries, if any.
    :ivar zone: its data centre.
    """

    def __init__(
        self, *, service, draw, runs, arrivals, on_end, rank=None, zone='one'
    ):
        self.identity = f'i-{next(_numbers):06x}'
        self.service = service
        self.rank = rank
        self.zone = zone
        self.fault = ''
        self.backoff = 0.0
        self.rate_limit = 0.0
        self.limit_spans = []
        self.born = 1
        self.restarted_at = float('-inf')
        self.leaving_since = None
        self.serves = True
        self.port = 0
        self.address = ''
        self._draw = draw
        self._runs = runs
        self._arrivals = arrivals
        self._on_end = on_end

    def limit(self, rate):
        """Name another rate limit from now on, 0 for none."""
        now = anyio.current_time()
        if self.rate_limit:
            self.limit_spans[-1].ended = now
        self.rate_limit = rate
        if rate:
            self.limit_spans.append(LimitSpan(rate=rate, begun=now))

    def restart(self):
        """Start anew under the same name, cold."""
        self.born += 1
        self.restarted_at = anyio.current_time()

    @property
    def cold_ms(self):
        """For how much longer it is cold, in milliseconds."""
        left = self.restarted_at + COLD_SECONDS - anyio.current_time()
        return 1000.0 * max(0.0, left)

    def record(self):
        """Return how it registers."""
        leaves = self.leaving_since is not None
        return {
            'Service': self.service,
            'Address': self.address,
            'Zone': self.zone,
            'Slots': 6,
            'State': 'draining' if leaves else 'ready',
            'born': self.born,
            'ColdRemainingMs': self.cold_ms,
        }

    async def handle(self, exchange):
        """Answer one request."""
        headers = dict(exchange.head.headers)
        request = headers.get(b'attempt-id', b'').decode()
        echo = [(b'attempt-id', request.encode())]
        expected = headers.get(b'expect-instance', b'').decode()
        if expected and expected != self.identity:
            await exchange.respond(status=421, headers=echo, body=b'')
            return
        if self.rank is not None and exchange.head.path.startswith(ranks.PATH):
            await self.rank.handle(exchange)
            return
        await exchange.read_body(max_bytes=1 << 20, seconds=5.0)
        arrival = Arrival(
            request=request,
            at=anyio.current_time(),
            endpoint=self.identity,
            leaving=self.leaving_since is not None,
        )
        self._arrivals.append(arrival)
        if self.rate_limit:
            arrival.rate_limit = self.rate_limit
            echo.append((b'server-limit', b'%.3f' % self.rate_limit))
        if self.cold_ms:
            echo.append((b'cold-ms', b'%.0f' % self.cold_ms))
        if arrival.leaving:
            echo.append((b'server-leaving', b'1'))
        if self.backoff and self._draw.random() < DECLINED_SHARE:
            arrival.backoff = self.backoff
            await exchange.respond(
                status=503,
                headers=[
                    *echo,
                    (b'not-executed', b'1'),
                    (b'retry-after', b'%.3f' % self.backoff),
                ],
                body=b'',
            )
            return
        fault = self.fault if self._draw.random() < 0.6 else ''
        if fault == 'decline':
            refused = [*echo, (b'not-executed', b'1')]
            await exchange.respond(status=503, headers=refused, body=b'')
            return
        first = int(headers.get(b'last-event-id', b'0')) + 1
        part = find_shared_part(headers.get(b'prompt-prefix', b''))
        self._runs.append(
            Run(
                request=request,
                path=exchange.head.path,
                part=part,
                at=anyio.current_time(),
                endpoint=self.identity,
                customer=headers.get(b'tenant', b'').decode(),
                first_event=first,
            )
        )
        if ENDS in exchange.head.path or part.startswith(ENDS_BY_PART):
            await self._on_end(self)
            return
        sealed = [*echo, (b'runner-seal', b's')]
        match fault:
            case 'hang':
                await anyio.sleep(60.0)
            case 'slow':
                await anyio.sleep(0.5)
            case 'fail':
                await exchange.respond(status=500, headers=sealed, body=b'no')
                return
            case 'cut' if not exchange.head.path.startswith('/stream/'):
                raise httpcore.ReadError('broken off')
        if exchange.head.path.startswith('/stream/'):
            await self._stream(exchange, sealed, first, request, fault)
            return
        await anyio.sleep(0.01 if self.rank is None else RANKED_SECONDS)
        await exchange.respond(
            status=200, headers=sealed, body=f'done {request}'.encode()
        )

    async def _stream(self, exchange, headers, first, request, fault):
        kind = (b'content-type', b'text/event-stream')
        chunked = (b'transfer-encoding', b'chunked')
        await exchange.begin(status=200, headers=[*headers, kind, chunked])
        pause = EVENT_SECONDS
        if exchange.head.path.endswith(LONG):
            pause = LONG_EVENT_SECONDS
        for number in range(first, EVENTS + 1):
            await anyio.sleep(pause)
            if fault == 'cut' and number > first + 2:
                await exchange.send(f'id: {number}\nda'.encode())
                raise httpcore.ReadError('broken off')
            await exchange.send(make_event(number, request))
        await exchange.end()


def make_event(number, request):
    """Return one event of the answer to a request."""
    return f'id: {number}\ndata: {request} {number}\n\n'.encode()


def find_shared_part(text):
    """Return the last but one part of a prompt, empty without one."""
    entries = text.decode().split(',')
    return entries[-2].partition(':')[0] if len(entries) > 1 else ''
