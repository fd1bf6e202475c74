"""Keeps requests that end endpoints from reaching more of them.

Combines the detection of ended endpoints, the table of suspects, its exchange
with peers, and the withdrawal of blocked requests that are in progress.
"""

import contextlib
from typing import Callable

import anyio
import msgspec

from .. import metrics as metrics_module
from . import attempts
from . import call_cancellations
from . import calls
from . import endpoint_ends
from . import outbound
from . import peers as peers_module
from .balancing import endpoints
from .shared_state import suspect_exchange
from .shared_state import suspects

#: Seconds for which an endpoint lives on after it has begun an answer to a
#: request that does not end it.
SURVIVAL_SECONDS = 0.5


class Containment:
    """Handles requests that may end endpoints, at one gateway.

    :param instance: the name of this gateway's instance.
    :param pool: opens connections to endpoints.
    :param fetch: returns the suspects that a peer knows.
    :param send_reports_now: sends the next reports to peers without delay.
    :ivar suspects: the suspects known to this gateway.
    :ivar exchange: exchanges suspects with peers.
    """

    __slots__ = (
        '_detector',
        '_cancellations',
        '_clock',
        'suspects',
        'exchange',
    )

    def __init__(
        self,
        *,
        instance: str,
        peers: peers_module.PeerTable,
        pool: outbound.Pool,
        fetch: suspect_exchange.Fetch,
        send_reports_now: Callable[[], None],
        metrics: metrics_module.Metrics,
        clock: Callable[[], float],
    ) -> None:
        self._clock = clock
        self._cancellations = call_cancellations.CallCancellations()
        self._detector = endpoint_ends.EndDetector(
            open_connection=lambda address, seconds: pool.open(
                address=address, seconds=seconds
            ),
            on_end=self._note_end,
            metrics=metrics,
            clock=clock,
        )
        self.suspects = suspects.Suspects(
            is_prober=lambda fingerprint: instance
            == suspects.choose_prober(
                fingerprint,
                [instance, *(peer.instance for peer in peers.live())],
            ),
            on_block=self._cancellations.cancel,
            clock=clock,
        )
        self.exchange = suspect_exchange.SuspectExchange(
            known=self.suspects,
            peers=peers,
            fetch=fetch,
            send_reports_now=send_reports_now,
            clock=clock,
        )
        metrics.gauge(
            'blocked_requests',
            lambda: float(len(self.suspects.list_blocked())),
        )
        metrics.gauge('suspected_requests', lambda: float(len(self.suspects)))

    def track(
        self, call: calls.Call
    ) -> contextlib.AbstractContextManager[anyio.CancelScope]:
        """Return a scope for a call, cancelled if the call is blocked."""
        return self._cancellations.track(call)

    def decide(self, call: calls.Call) -> suspects.Decision:
        """Decide whether a call may be sent to an endpoint."""
        return self.suspects.decide_all((*call.parts, call.fingerprint))

    def begin(
        self, call: calls.Call, endpoint: endpoints.Endpoint
    ) -> endpoint_ends.Run:
        """Record that a call is sent to an endpoint."""
        run = self._detector.begin(call, endpoint)
        for fingerprint in run.fingerprints:
            self.suspects.begin(fingerprint)
        return run

    def abandon(self, run: endpoint_ends.Run) -> None:
        """Record that nobody waits for the answer to a request any more."""
        self._finish(run)
        self._detector.abandon(run)

    async def conclude(
        self, run: endpoint_ends.Run, result: attempts.Result
    ) -> attempts.Result:
        """Record the result of an attempt.

        :returns: the result, with ``ended`` set if the endpoint has ended.
        """
        self._finish(run)
        match result:
            case attempts.Broken(cut=True):
                ended = await self._detector.note_break(run)
                return msgspec.structs.replace(result, ended=ended)
            case attempts.Unreached(refused=True):
                self._detector.finish(run)
                await self._detector.note_refused(run.endpoint)
            case attempts.Answer(framed=False) | attempts.Streamed(
                framed=False
            ):
                # Also one that is leaving may be ended in the middle.
                if await self._detector.note_unframed_end(run):
                    return attempts.Broken(
                        detail='the endpoint ended with an unframed answer',
                        cut=True,
                        ended=True,
                    )
                self._note_answer(run, result)
            case attempts.Answer() | attempts.Streamed():
                self._detector.finish(run)
                self._note_answer(run, result)
            case _:
                self._detector.finish(run)
        return result

    def note_events(self, call: calls.Call, *, is_first: bool) -> None:
        """Record events of a stream.

        An endpoint that has begun to answer and lives on clears the parts of
        the prompt long before the answer is whole.

        :param is_first: they are the first ones of an attempt.
        """
        now = self._clock()
        if is_first:
            call.answer_begun_at = now
        if now - call.answer_begun_at < SURVIVAL_SECONDS:
            return
        call.answer_begun_at = float('inf')
        for fingerprint in call.parts:
            self._clear(fingerprint)

    def release(self, fingerprint: str) -> bool:
        """Let a request run again at the order of an operator.

        :returns: whether it was a suspect.
        """
        released = self.suspects.release(fingerprint)
        if released:
            self.exchange.note_change(fingerprint)
        return released

    def note_gone(self, identity: str) -> None:
        """Record that an endpoint is listed no longer."""
        self._detector.note_gone(identity)

    def note_restart(self, identity: str) -> None:
        """Record that an endpoint has been restarted under its identity."""
        self._detector.note_restart(identity)

    def refresh(self) -> None:
        """Start blocks that are due and lift those no longer justified."""
        self.suspects.refresh()

    def prune(self) -> None:
        """Forget requests and suspects that no longer matter."""
        self._detector.prune()
        self.suspects.prune()

    def _note_end(self, end: endpoint_ends.End) -> None:
        self.suspects.note_end(end)
        for fingerprint in end.fingerprints:
            self.exchange.note_change(fingerprint)

    def _finish(self, run: endpoint_ends.Run) -> None:
        for fingerprint in run.fingerprints:
            self.suspects.finish(fingerprint)

    def _note_answer(
        self,
        run: endpoint_ends.Run,
        result: attempts.Answer | attempts.Streamed,
    ) -> None:
        """Clear a request, and the parts of its prompt if it succeeded.

        An endpoint can fail a request before it has begun to answer it.
        """
        request, *parts = run.fingerprints
        if self.suspects.note_answer(request):
            self.exchange.note_change(request)
        match result:
            case attempts.Answer(status=status) if not _is_success(status):
                return
        for fingerprint in parts:
            self._clear(fingerprint)

    def _clear(self, fingerprint: str) -> None:
        """Clear a part of prompts; many gateways may do so at once."""
        if self.suspects.note_answer(fingerprint):
            self.exchange.note_clearance(fingerprint)


def _is_success(status: int) -> bool:
    return 200 <= status < 300
