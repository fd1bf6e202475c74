"""Keeps a request that ends endpoints from reaching more of them.

Put together from the watch for ended endpoints, what is known of suspects,
its exchange with peers, and the withdrawal of what is on its way.
"""

import contextlib
import dataclasses
from typing import Callable

import anyio

from .. import metrics as metrics_module
from . import attempts
from . import call_cancellations
from . import calls
from . import endpoint_ends
from . import endpoints
from . import outbound
from . import peers as peers_module
from . import suspect_exchange
from . import suspects


class Containment:
    """What one entry does about requests under which endpoints end.

    :param instance: our own name.
    :param pool: opens connections to endpoints.
    :param fetch: returns the suspects that a peer knows.
    :param send_reports_now: has the next reports to peers sent at once.
    :ivar suspects: what is known, here and elsewhere.
    :ivar exchange: how others learn of it.
    """

    __slots__ = ('_ends', '_cancellations', 'suspects', 'exchange')

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
        self._cancellations = call_cancellations.CallCancellations()
        self._ends = endpoint_ends.EndWatch(
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

    def hold(
        self, call: calls.Call
    ) -> contextlib.AbstractContextManager[anyio.CancelScope]:
        """Serve a call in a scope that ends when it is blocked."""
        return self._cancellations.track(call)

    def decide(self, call: calls.Call) -> suspects.Decision:
        """Return whether a call may be sent to an endpoint."""
        return self.suspects.decide(call.fingerprint)

    def begin(
        self, call: calls.Call, endpoint: endpoints.Endpoint
    ) -> endpoint_ends.Run:
        """Note that a call goes to an endpoint."""
        self.suspects.begin(call.fingerprint)
        return self._ends.begin(call, endpoint)

    def abandon(self, run: endpoint_ends.Run) -> None:
        """Note that nobody waits any more for what an endpoint runs."""
        self.suspects.finish(run.fingerprint)
        self._ends.abandon(run)

    async def conclude(
        self, run: endpoint_ends.Run, result: attempts.Result
    ) -> attempts.Result:
        """Learn from the result of an attempt, and return all of it."""
        self.suspects.finish(run.fingerprint)
        match result:
            case attempts.Broken(cut=True):
                ended = await self._ends.lose(run)
                return dataclasses.replace(result, ended=ended)
            case attempts.Unreached(refused=True):
                self._ends.finish(run)
                await self._ends.note_refused(run.endpoint)
            case attempts.Answer(framed=True) | attempts.Streamed(framed=True):
                self._ends.finish(run)
                self._note_answer(run.fingerprint)
            case _:
                self._ends.finish(run)
        return result

    def release(self, fingerprint: str) -> bool:
        """Let a request run again as an operator says; whether it was kept."""
        released = self.suspects.release(fingerprint)
        if released:
            self.exchange.note_change(fingerprint)
        return released

    def note_gone(self, identity: str) -> None:
        """Note that an endpoint is listed no longer."""
        self._ends.note_gone(identity)

    def note_restart(self, identity: str) -> None:
        """Note that an endpoint has started anew under its name."""
        self._ends.note_restart(identity)

    def refresh(self) -> None:
        """Act on what has been learnt, once word of others has come."""
        self.suspects.refresh()

    def prune(self) -> None:
        """Forget what matters no longer."""
        self._ends.prune()
        self.suspects.prune()

    def _note_end(self, end: endpoint_ends.End) -> None:
        self.suspects.note_end(end)
        for fingerprint in end.fingerprints:
            self.exchange.note_change(fingerprint)

    def _note_answer(self, fingerprint: str) -> None:
        if self.suspects.note_answer(fingerprint):
            self.exchange.note_change(fingerprint)
