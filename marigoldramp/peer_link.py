"""The task of one peer: heartbeats to it, and verdicts on its silence."""

import math
import random as random_module
from typing import Callable

import anyio

from . import peer_client
from . import peer_events
from . import peer_messages
from . import peer_pace
from . import peer_sender
from . import peer_table

#: Share of the interval by which heartbeats are spread, lest all peers of a
#: process wake in the same millisecond.
JITTER = 0.1
#: Interval to a dead peer over that to a living one.
DEAD_SLOWDOWN = 4
#: Seconds between two fresh connections to a peer that is held to be dead.
DEAD_PROBE_EVERY = 10.0

OnReply = Callable[[peer_table.Record, peer_messages.ProbeReply], None]

State = peer_table.State


class Link:
    """Heartbeats one peer while it is chosen or asks to be answered.

    :param on_reply: takes over what the reply to a probe says.
    """

    def __init__(
        self,
        *,
        record: peer_table.Record,
        pace: peer_pace.Pace,
        probe_timeout: float,
        sender: peer_sender.Sender,
        client: peer_client.Client,
        events: peer_events.Events,
        on_reply: OnReply,
        clock: Callable[[], float],
        random: random_module.Random,
    ) -> None:
        self._record = record
        self._pace = pace
        self._probe_timeout = probe_timeout
        self._sender = sender
        self._client = client
        self._events = events
        self._on_reply = on_reply
        self._clock = clock
        self._random = random
        self._woken = anyio.Event()
        self._since = clock()
        self._probed_at = -math.inf

    def wake(self) -> None:
        """Heartbeat and judge the peer now."""
        self._woken.set()

    async def run(self) -> None:
        """Attend the peer."""
        self._record.unechoed = 0
        while self._is_needed():
            self._sender.send(self._record)
            await self._pause()
            if self._is_doubtful():
                await self._verify()
        self._rest()

    def _is_needed(self) -> bool:
        record = self._record
        return record.chosen or record.is_asking(self._clock())

    def _rest(self) -> None:
        """Stop to judge a peer that neither side heartbeats any more."""
        record = self._record
        record.unechoed = 0
        record.doubted = False
        if record.state is not State.DEAD:
            record.state = State.LISTED
            self._events.tell_unlinked(record.show(self._clock()))

    async def _pause(self) -> None:
        interval = self._pace.interval_of(self._record)
        if self._record.state is State.DEAD:
            interval *= DEAD_SLOWDOWN
        interval *= 1 + JITTER * (2 * self._random.random() - 1)
        due = self._clock() + interval
        with anyio.move_on_after(interval):
            await self._woken.wait()
        self._woken = anyio.Event()
        if self._clock() - due > self._pace.interval:
            self._forgive()

    def _forgive(self) -> None:
        """Count no silence from before this process was itself paused.

        After a freeze every peer looks silent, though their heartbeats wait
        in the socket.  One would see connections to the whole fleet closed
        at once; the silence counts from now on instead.
        """
        now = self._clock()
        self._since = now
        if self._record.unechoed:
            self._record.unechoed_at = now

    def _is_silent(self) -> bool:
        heard = max(self._record.heard_at, self._since)
        silent = self._clock() - heard
        return silent > self._pace.suspect_after(self._record)

    def _is_deaf(self) -> bool:
        """Return whether our heartbeats do not get through to the peer.

        Its own may still come: the link is cut in one direction.  A call
        sent to it would never be answered.
        """
        record = self._record
        if not record.unechoed:
            return False
        unechoed = self._clock() - record.unechoed_at
        return unechoed > self._pace.suspect_after(record)

    def _is_doubtful(self) -> bool:
        record = self._record
        if record.doubted:
            return True
        if not record.chosen:
            # It stopped to heartbeat us because it chose other peers.
            return False
        since = self._clock() - self._probed_at
        match record.state:
            case State.UNREACHABLE:
                return True
            case State.DEAD:
                return since > DEAD_PROBE_EVERY
            case State.SILENT:
                return since > self._pace.suspect_after(record)
            case _:
                return self._is_silent() or self._is_deaf()

    async def _verify(self) -> None:
        """Try a fresh connection and judge by it."""
        record = self._record
        record.doubted, doubted = False, record.doubted
        before = record.state
        if before in (State.ALIVE, State.LISTED):
            record.state = State.SUSPECT
        reply = await self._client.probe(
            record.host,
            record.control_port,
            receiver=record.instance,
            timeout=self._probe_timeout,
        )
        self._probed_at = self._clock()
        if isinstance(reply, peer_messages.Unreachable):
            self._judge_unreached()
            return
        self._on_reply(record, reply)
        self._judge_reached(before, doubted)

    def _judge_unreached(self) -> None:
        record = self._record
        if not (self._is_silent() or self._is_deaf()):
            record.state = State.UNREACHABLE
            return
        if record.state is State.DEAD:
            return
        record.state = State.DEAD
        self._events.tell_dead(record.show(self._clock()))

    def _judge_reached(self, before: State, doubted: bool) -> None:
        record = self._record
        if self._is_silent() or self._is_deaf():
            record.state = State.SILENT
        else:
            record.state = State.ALIVE
        if doubted or before is not State.SILENT is record.state:
            self._events.tell_silent(record.show(self._clock()))
