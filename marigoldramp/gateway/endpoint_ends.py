"""Notices that the process of an endpoint has ended, and what it was running.

A connection that breaks tells of one request only: an endpoint that lives can
break off an answer, and when one rank of a group ends, all others reset what
they have.  An endpoint whose port refuses a new connection right after it has
broken one is no more.  One whose instance is dead refuses nothing; that it has
ended shows when it is listed no longer, or as another start.
"""

import collections
import dataclasses
from typing import Awaitable
from typing import Callable

from absl import logging
import anyio

from .. import logs
from .. import metrics as metrics_module
from . import calls
from . import endpoints
from . import outbound

#: Seconds within which a port answers a new connection.  Whoever has lost a
#: request waits so long at most before it is sent elsewhere.
CHECK_SECONDS = 0.2
#: Seconds for which other connections may break after the first one, as
#: packets of different connections overtake each other, and an ending process
#: closes its port and its connections one after the other.
BREAK_SECONDS = 0.02
#: Connections that are opened to find out whether somebody listens.
CHECKS = 2
#: Seconds for which a lost request is kept, to be counted once its endpoint
#: turns out to have ended: until an endpoint that says nothing is listed no
#: longer, three of its heartbeats and the list's own lag.
KEPT_SECONDS = 6.0
#: Seconds for which it counts where a port tells, which it does at once.
RECENT_SECONDS = 1.0


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Start:
    """One start of an endpoint."""

    identity: str
    born: int


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class End:
    """The end of an endpoint's process.

    :ivar fingerprints: of the requests that it was given and that got no
        whole answer.
    """

    start: Start
    service: str
    fingerprints: tuple[str, ...]


class Run:
    """One request that was given to an endpoint.

    :ivar lost_at: when it got no whole answer.
    :ivar expected: the endpoint was leaving by then, or had left: its end was
        to come, and says nothing of what it had.
    """

    __slots__ = (
        'fingerprint',
        'endpoint',
        'start',
        'begun',
        'lost_at',
        'expected',
    )

    def __init__(
        self, *, fingerprint: str, endpoint: endpoints.Endpoint, begun: float
    ) -> None:
        record = endpoint.record
        self.fingerprint = fingerprint
        self.endpoint = endpoint
        self.start = Start(identity=record.identity, born=record.born)
        self.begun = begun
        self.lost_at = 0.0
        self.expected = False


class _Trace:
    """What is known of one start.

    :ivar running: requests that it has.
    :ivar lost: requests that it had, which got no whole answer.
    :ivar silent: it has answered no new connection after it broke one.
    :ivar checked: set when the check that goes on is over.
    """

    __slots__ = ('running', 'lost', 'silent', 'ended', 'checked')

    def __init__(self) -> None:
        self.running: set[Run] = set()
        self.lost: collections.deque[Run] = collections.deque()
        self.silent = False
        self.ended = False
        self.checked: anyio.Event | None = None


Open = Callable[
    [outbound.Address, float],
    Awaitable[outbound.Connection | outbound.Unreached],
]


class EndWatch:
    """Watches the endpoints to which this entry has given requests.

    :param open_connection: opens a connection within some seconds.
    :param on_end: called when an endpoint has ended, and once more for each
        request that turns out later to have been lost by that.
    """

    __slots__ = ('_open', '_on_end', '_metrics', '_clock', '_traces')

    def __init__(
        self,
        *,
        open_connection: Open,
        on_end: Callable[[End], None],
        metrics: metrics_module.Metrics,
        clock: Callable[[], float],
    ) -> None:
        self._open = open_connection
        self._on_end = on_end
        self._metrics = metrics
        self._clock = clock
        self._traces: dict[Start, _Trace] = {}

    def begin(self, call: calls.Call, endpoint: endpoints.Endpoint) -> Run:
        """Note that an endpoint is given a request."""
        run = Run(
            fingerprint=call.fingerprint,
            endpoint=endpoint,
            begun=self._clock(),
        )
        self._trace(run.start).running.add(run)
        return run

    def finish(self, run: Run) -> None:
        """Note a request that got its answer, or was never begun."""
        self._trace(run.start).running.discard(run)

    def abandon(self, run: Run) -> None:
        """Note a request whose answer nobody waits for any more."""
        trace = self._trace(run.start)
        trace.running.discard(run)
        run.lost_at = self._clock()
        run.expected = run.endpoint.record.leaving or run.endpoint.gone
        trace.lost.append(run)

    async def lose(self, run: Run) -> bool:
        """Note a request whose connection broke.

        :returns: whether its endpoint is known to have ended.
        """
        self.abandon(run)
        trace = self._trace(run.start)
        if trace.ended:
            self._tell(run.start, trace, oldest=run.lost_at)
            return True
        if trace.checked is not None:
            await trace.checked.wait()
            return trace.ended
        trace.checked = anyio.Event()
        try:
            await self._check(run, trace)
        finally:
            trace.checked.set()
            trace.checked = None
        return trace.ended

    async def note_refused(self, endpoint: endpoints.Endpoint) -> None:
        """Note that an endpoint's port has refused a connection."""
        record = endpoint.record
        start = Start(identity=record.identity, born=record.born)
        trace = self._traces.get(start)
        if trace is not None and not trace.ended and trace.lost:
            await self._settle(trace.lost[-1], trace)

    def note_gone(self, identity: str) -> None:
        """Note that an endpoint is listed no longer.

        One that leaves as planned is, too, so only one that had already
        fallen silent has ended by that.
        """
        for start, trace in self._find(identity):
            if trace.silent and not trace.ended:
                self._end(start, trace, 'gone', KEPT_SECONDS)

    def note_restart(self, identity: str) -> None:
        """Note that an endpoint has started anew under its name."""
        for start, trace in self._find(identity):
            if not trace.ended:
                self._end(start, trace, 'restarted', KEPT_SECONDS)

    def prune(self) -> None:
        """Forget what can tell nothing any more."""
        oldest = self._clock() - KEPT_SECONDS
        for start, trace in list(self._traces.items()):
            while trace.lost and trace.lost[0].lost_at < oldest:
                trace.lost.popleft()
            if not trace.running and not trace.lost:
                del self._traces[start]

    def _trace(self, start: Start) -> _Trace:
        return self._traces.setdefault(start, _Trace())

    def _find(self, identity: str) -> list[tuple[Start, _Trace]]:
        return [
            (start, trace)
            for start, trace in self._traces.items()
            if start.identity == identity
        ]

    async def _check(self, run: Run, trace: _Trace) -> None:
        """Find out whether an endpoint still listens."""
        for _ in range(CHECKS):
            found = await self._open(run.endpoint.address, CHECK_SECONDS)
            match found:
                case outbound.Unreached(refused=True):
                    await self._settle(run, trace)
                    return
                case outbound.Unreached():
                    trace.silent = True
                    return
                case outbound.Connection():
                    if await found.stays_open(BREAK_SECONDS):
                        return

    async def _settle(self, run: Run, trace: _Trace) -> None:
        """Believe that an endpoint has ended, unless something still runs.

        One that has as many connections as it takes may refuse a further one;
        those that it has go on.
        """
        refused_at = self._clock()
        if trace.running:
            await anyio.sleep(BREAK_SECONDS)
        goes_on = any(one.begun < refused_at for one in trace.running)
        if not goes_on and not trace.ended:
            self._end(run.start, trace, 'refused', RECENT_SECONDS)

    def _end(
        self, start: Start, trace: _Trace, evidence: str, seconds: float
    ) -> None:
        """Believe that an endpoint has ended.

        :param seconds: for which what it had lost before counts.
        """
        trace.ended = True
        self._metrics.count('endpoint_ends', evidence=evidence)
        logging.info(
            'endpoint ended',
            extra=logs.fields(
                endpoint=start.identity,
                born=start.born,
                evidence=evidence,
                lost=len(trace.lost),
            ),
        )
        self._tell(start, trace, oldest=self._clock() - seconds)

    def _tell(self, start: Start, trace: _Trace, *, oldest: float) -> None:
        """Tell which requests an endpoint had when it ended."""
        lost = [
            run
            for run in trace.lost
            if run.lost_at >= oldest and not run.expected
        ]
        trace.lost.clear()
        if lost:
            self._on_end(
                End(
                    start=start,
                    service=lost[0].endpoint.record.service,
                    fingerprints=tuple(
                        dict.fromkeys(run.fingerprint for run in lost)
                    ),
                )
            )
