"""Detects that the process of an endpoint has ended, and what it was running.

A broken connection alone does not prove it: a live endpoint can break off an
answer, and when one rank of a group ends, all others reset their connections.
The process has ended if its port refuses a new connection right after one
broke.  If the whole instance is down, nothing refuses connections; the end
then shows when the endpoint is listed no longer or has been restarted.
"""

import collections
import itertools
from typing import Awaitable
from typing import Callable

from absl import logging
import anyio
import msgspec

from .. import logs
from .. import metrics as metrics_module
from . import calls
from . import outbound
from .balancing import endpoints

#: Timeout of a connection that is opened as a check.  A request whose
#: connection broke waits for the check before it is sent elsewhere.
CHECK_TIMEOUT_SECONDS = 0.2
#: Seconds within which all connections of an ending process break: it closes
#: its port and its connections one after the other, and packets of different
#: connections overtake each other.
BREAK_WINDOW_SECONDS = 0.02
#: Limit of connections that are opened for one check.
MAX_CHECKS = 2
#: Seconds for which a lost request is remembered in case its endpoint turns
#: out to have ended.  An unresponsive endpoint is listed until it has missed
#: three heartbeats, and the list itself lags.
RETENTION_SECONDS = 6.0
#: Maximum age of the lost requests that are reported if a refused connection
#: shows the end, as it does so at once.
REFUSED_WINDOW_SECONDS = 1.0


class Start(msgspec.Struct, frozen=True, kw_only=True):
    """Identifies one process of an endpoint, which may be restarted.

    :ivar born: tells the processes of one endpoint apart.
    """

    identity: str
    born: int


class End(msgspec.Struct, frozen=True, kw_only=True):
    """The end of an endpoint's process.

    :ivar fingerprints: fingerprints of the requests that were running on it,
        and of the parts of their prompts.
    """

    start: Start
    service: str
    fingerprints: tuple[str, ...]


class Run:
    """One request that was sent to an endpoint.

    :ivar fingerprints: its fingerprint, then those of the parts of its prompt.
    :ivar begun: when it was sent.
    :ivar lost_at: when its connection broke or its caller left.
    :ivar expected: whether the endpoint was shutting down or removed by then,
        so that its end is not blamed on its requests.
    """

    __slots__ = (
        'fingerprints',
        'endpoint',
        'start',
        'begun',
        'lost_at',
        'expected',
    )

    def __init__(
        self,
        *,
        fingerprints: tuple[str, ...],
        endpoint: endpoints.Endpoint,
        begun: float,
    ) -> None:
        record = endpoint.record
        self.fingerprints = fingerprints
        self.endpoint = endpoint
        self.start = Start(identity=record.identity, born=record.born)
        self.begun = begun
        self.lost_at = 0.0
        self.expected = False


class _ProcessState:
    """The state of one process of an endpoint.

    :ivar running: requests that run on it.
    :ivar lost: requests that got no whole answer, oldest first.
    :ivar unresponsive: whether a new connection timed out after one broke.
    :ivar ended: whether the process is known to have ended.
    :ivar checked: set when the running check is done; ``None`` if none runs.
    """

    __slots__ = ('running', 'lost', 'unresponsive', 'ended', 'checked')

    def __init__(self) -> None:
        self.running: set[Run] = set()
        self.lost: collections.deque[Run] = collections.deque()
        self.unresponsive = False
        self.ended = False
        self.checked: anyio.Event | None = None


OpenConnection = Callable[
    [outbound.Address, float],
    Awaitable[outbound.Connection | outbound.Unreached],
]


class EndDetector:
    """Detects ends of the endpoints that this gateway has sent requests to.

    :param open_connection: opens a connection with a timeout in seconds.
    :param on_end: called when an endpoint has ended, and again for requests
        on it whose connections break later.
    """

    __slots__ = ('_open', '_on_end', '_metrics', '_clock', '_states')

    def __init__(
        self,
        *,
        open_connection: OpenConnection,
        on_end: Callable[[End], None],
        metrics: metrics_module.Metrics,
        clock: Callable[[], float],
    ) -> None:
        self._open = open_connection
        self._on_end = on_end
        self._metrics = metrics
        self._clock = clock
        self._states: dict[Start, _ProcessState] = {}

    def begin(self, call: calls.Call, endpoint: endpoints.Endpoint) -> Run:
        """Record that a request is sent to an endpoint."""
        run = Run(
            fingerprints=(call.fingerprint, *call.parts),
            endpoint=endpoint,
            begun=self._clock(),
        )
        self._get_state(run.start).running.add(run)
        return run

    def finish(self, run: Run) -> None:
        """Record that a request was answered or never started."""
        self._get_state(run.start).running.discard(run)

    def abandon(self, run: Run) -> None:
        """Record that nobody waits for the answer to a request any more."""
        state = self._get_state(run.start)
        state.running.discard(run)
        run.lost_at = self._clock()
        run.expected = run.endpoint.record.leaving or run.endpoint.is_removed
        state.lost.append(run)

    async def note_break(self, run: Run) -> bool:
        """Record that the connection of a request broke, and run a check.

        :returns: whether its endpoint is known to have ended.
        """
        self.abandon(run)
        state = self._get_state(run.start)
        if state.ended:
            self._report_lost(run.start, state, oldest=run.lost_at)
            return True
        if state.checked is not None:
            await state.checked.wait()
            return state.ended
        state.checked = anyio.Event()
        try:
            await self._check(run, state)
        finally:
            state.checked.set()
            state.checked = None
        return state.ended

    async def note_unframed_end(self, run: Run) -> bool:
        """Record that an answer without framing ended with its connection.

        :returns: whether its endpoint is known to have ended, so that the
            answer may not be whole.
        """
        ended = await self.note_break(run)
        lost = self._get_state(run.start).lost
        if not ended and run in lost:
            lost.remove(run)
        return ended

    async def note_refused(self, endpoint: endpoints.Endpoint) -> None:
        """Record that an endpoint's port has refused a connection."""
        record = endpoint.record
        start = Start(identity=record.identity, born=record.born)
        state = self._states.get(start)
        if state is not None and not state.ended and state.lost:
            await self._confirm_refusal(state.lost[-1], state)

    def note_gone(self, identity: str) -> None:
        """Record that an endpoint is listed no longer.

        The same happens after a planned shutdown, so this counts as an end
        only if the endpoint was unresponsive before.
        """
        for start, state in self._list_states(identity):
            if state.unresponsive and not state.ended:
                self._end(start, state, 'gone', RETENTION_SECONDS)

    def note_restart(self, identity: str) -> None:
        """Record that an endpoint has been restarted under its identity."""
        for start, state in self._list_states(identity):
            if not state.ended:
                self._end(start, state, 'restarted', RETENTION_SECONDS)

    def prune(self) -> None:
        """Forget lost requests and processes that no longer matter."""
        oldest = self._clock() - RETENTION_SECONDS
        for start, state in list(self._states.items()):
            while state.lost and state.lost[0].lost_at < oldest:
                state.lost.popleft()
            if not state.running and not state.lost:
                del self._states[start]

    def _get_state(self, start: Start) -> _ProcessState:
        return self._states.setdefault(start, _ProcessState())

    def _list_states(self, identity: str) -> list[tuple[Start, _ProcessState]]:
        return [
            (start, state)
            for start, state in self._states.items()
            if start.identity == identity
        ]

    async def _check(self, run: Run, state: _ProcessState) -> None:
        """Check whether an endpoint still listens on its port."""
        for _ in range(MAX_CHECKS):
            found = await self._open(
                run.endpoint.address, CHECK_TIMEOUT_SECONDS
            )
            match found:
                case outbound.Unreached(refused=True):
                    await self._confirm_refusal(run, state)
                    return
                case outbound.Unreached():
                    state.unresponsive = True
                    return
                case outbound.Connection():
                    if await found.stays_open(BREAK_WINDOW_SECONDS):
                        return

    async def _confirm_refusal(self, run: Run, state: _ProcessState) -> None:
        """Treat a refused connection as an end unless a request still runs.

        An endpoint at its limit of connections may refuse a further one while
        the open ones continue.
        """
        refused_at = self._clock()
        if state.running:
            await anyio.sleep(BREAK_WINDOW_SECONDS)
        is_alive = any(one.begun < refused_at for one in state.running)
        if not is_alive and not state.ended:
            self._end(run.start, state, 'refused', REFUSED_WINDOW_SECONDS)

    def _end(
        self, start: Start, state: _ProcessState, evidence: str, seconds: float
    ) -> None:
        """Record, log and report an end.

        :param seconds: maximum age of the lost requests to report.
        """
        state.ended = True
        self._metrics.count('endpoint_ends', evidence=evidence)
        logging.info(
            'endpoint ended',
            extra=logs.fields(
                endpoint=start.identity,
                born=start.born,
                evidence=evidence,
                lost=len(state.lost),
            ),
        )
        self._report_lost(start, state, oldest=self._clock() - seconds)

    def _report_lost(
        self, start: Start, state: _ProcessState, *, oldest: float
    ) -> None:
        """Report the requests that were running when an endpoint ended."""
        lost = [
            run
            for run in state.lost
            if run.lost_at >= oldest and not run.expected
        ]
        state.lost.clear()
        if lost:
            self._on_end(
                End(
                    start=start,
                    service=lost[0].endpoint.record.service,
                    fingerprints=tuple(
                        dict.fromkeys(
                            itertools.chain.from_iterable(
                                run.fingerprints for run in lost
                            )
                        )
                    ),
                )
            )
