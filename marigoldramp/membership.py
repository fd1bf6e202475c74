"""Who lives, who leaves and who is dead, as seen from one process.

A verdict of dead needs two things: heartbeats stopped getting through in one
direction or both, and a fresh connection failed.  Silence alone may be lost
datagrams; a failed connection alone may be a lost packet.

The instance list only names peers.  It lags and has outages, so it neither
brings a peer to life nor takes one out; once one living peer is known the
others are learned from it.
"""

import dataclasses
import random as random_module
import time
from typing import Callable
from typing import Iterable

import anyio
import anyio.abc

from . import heartbeats
from . import messages
from . import peer_choice
from . import peer_client
from . import peer_datagrams
from . import peer_events
from . import peer_intake
from . import peer_link
from . import peer_links
from . import peer_listing
from . import peer_messages
from . import peer_pace
from . import peer_seeds
from . import peer_sender
from . import peer_table
from . import rendezvous
from . import seals
from . import settings as settings_module
from . import store
from . import supervision

Identity = peer_sender.Identity
Peer = peer_table.Peer
State = peer_table.State

#: Seconds between two announcements of a planned stop, and their number.
ANNOUNCE_EVERY = 0.05
ANNOUNCE_TIMES = 20


class Membership:
    """Peers of one process.

    :ivar refusals: datagrams that were not believed, by reason.
    """

    def __init__(
        self,
        *,
        identity: Identity,
        settings: settings_module.Membership,
        sealer: seals.Sealer,
        client: peer_client.Client,
        clock: Callable[[], float] = time.monotonic,
        wall: Callable[[], float] = time.time,
        random: random_module.Random | None = None,
        transport: heartbeats.Transport | None = None,
    ) -> None:
        self.refusals: dict[heartbeats.Refusal, int] = {}
        self._settings = settings
        self._client = client
        self._clock = clock
        self._random = random or random_module.Random()
        self._transport = transport or heartbeats.UdpTransport()
        self._codec = heartbeats.Codec(
            sealer=sealer, wall=wall, most_senders=settings.table
        )
        self._table = peer_table.Table(most=settings.table)
        self._datagrams = peer_datagrams.Datagrams(
            table=self._table,
            transport=self._transport,
            sealer=sealer,
            wall=wall,
            most_senders=settings.table,
        )
        self._events = peer_events.Events()
        self._pace = peer_pace.Pace(settings=settings)
        self._listing = peer_listing.Listing(clock=clock, random=self._random)
        self._sender = peer_sender.Sender(
            identity=identity,
            codec=self._codec,
            transport=self._transport,
            table=self._table,
            pace=self._pace,
            listing=self._listing,
            clock=clock,
            wall=wall,
        )
        self._intake = peer_intake.Intake(
            table=self._table,
            events=self._events,
            sender=self._sender,
            codec=self._codec,
            pace=self._pace,
            listing=self._listing,
            wake=self._wake,
            clock=clock,
        )
        self._links = peer_links.Links(
            table=self._table,
            choice=peer_choice.Choice(
                instance=identity.instance,
                role=identity.role,
                data_centre=identity.data_centre,
                most=settings.peers,
            ),
            make_link=self._make_link,
            on_end=self._intake.forget_if_gone,
            pace=self._pace,
            clock=clock,
        )

    @property
    def identity(self) -> Identity:
        """What this process tells of itself, with the bound port."""
        return self._sender.identity

    @property
    def load_source(self) -> Callable[[], messages.Load] | None:
        """Returns the load to report, where there is one."""
        return self._sender.load_source

    @load_source.setter
    def load_source(self, source: Callable[[], messages.Load] | None) -> None:
        self._sender.load_source = source

    @property
    def bundle_source(self) -> Callable[[], int]:
        """Returns the number of the bundle in force."""
        return self._sender.bundle_source

    @bundle_source.setter
    def bundle_source(self, source: Callable[[], int]) -> None:
        self._sender.bundle_source = source

    @property
    def is_seeded(self) -> bool:
        """Whether the instance list has been read since the start."""
        return self._listing.is_read

    @property
    def lacks_list(self) -> bool:
        """Whether readings of the instance list have stayed out too long."""
        return self._listing.is_away()

    async def start(self, task_group: anyio.abc.TaskGroup) -> int:
        """Listen for heartbeats, start to send them, return the port."""
        port = await self._transport.open(
            host=self.identity.host,
            port=self.identity.datagram_port,
            receive=self._receive,
        )
        self._sender.identity = dataclasses.replace(
            self.identity, datagram_port=port
        )
        supervisor = supervision.Supervisor(tasks=task_group)
        supervisor.keep_running(self._links.run, self._settings.heartbeat)
        supervisor.keep_running(
            peer_seeds.greet,
            self._settings,
            self._sender,
            self._table,
        )
        return port

    def close(self) -> None:
        """Stop listening; the tasks end with their task group."""
        self._transport.close()

    def on_heartbeat(self, callback: peer_events.OnHeartbeat) -> None:
        """Call with each believed heartbeat of a peer with a link to us.

        ``leaving`` is set where the peer must not be given work, whatever
        it says of itself: the list shows it as leaving, it is cut off in one
        direction, or fresh connections to it fail.
        """
        self._events.heartbeat.append(callback)

    def on_every_heartbeat(self, callback: peer_events.OnHeartbeat) -> None:
        """Call also with those of instances that only show their bundle.

        Nothing would notice the death of such an instance.
        """
        self._events.every_heartbeat.append(callback)

    def on_dead(self, callback: peer_events.OnPeer) -> None:
        """Call with a peer that is dead, or whose last incarnation is."""
        self._events.dead.append(callback)

    def on_unlinked(self, callback: peer_events.OnPeer) -> None:
        """Call with a peer that lives but has no link to us any more.

        Its death would not be noticed, nor a change of its load.
        """
        self._events.unlinked.append(callback)

    def on_silent(self, callback: peer_events.OnPeer) -> None:
        """Call with a peer whose open connections may be silent.

        It lives, as a fresh connection shows.  Those that were opened before
        are to be closed; requests on them may never be answered.
        """
        self._events.silent.append(callback)

    def on_leaving(self, callback: peer_events.OnPeer) -> None:
        """Call once with a peer that begins to leave."""
        self._events.leaving.append(callback)

    def on_told_leaving(self, callback: peer_events.OnTold) -> None:
        """Call once when the list or a peer says that we are leaving."""
        self._events.told_leaving.append(callback)

    def on_cache_events(self, callback: peer_datagrams.OnCacheEvents) -> None:
        """Call with what an engine tells of its prefix cache."""
        self._datagrams.cache_events.append(callback)

    def send_cache_events(self, events: messages.CacheEvents) -> int:
        """Send to every attended entry; return the bytes this took."""
        return self._datagrams.send_cache_events(events)

    def on_usage(self, callback: peer_datagrams.OnUsage) -> None:
        """Call with what customers ask of another entry."""
        self._datagrams.usage.append(callback)

    def send_usage(self, receiver: str, usage: messages.Usage) -> None:
        """Send to one entry, if it is known."""
        self._datagrams.send_usage(receiver, usage)

    def peers(self, role: messages.Role) -> tuple[Peer, ...]:
        """Return the peers that may be given work."""
        now = self._clock()
        return tuple(
            record.show(now)
            for record in self._table
            if record.role is role and record.may_work(now)
        )

    def known(self, role: messages.Role) -> tuple[Peer, ...]:
        """Return the peers that may live, also those that we do not hear.

        With a bounded set of peers each process hears other ones.  What has
        to come out alike everywhere, such as the entries of a customer, is
        chosen from these.
        """
        now = self._clock()
        return tuple(
            record.show(now)
            for record in self._table
            if record.role is role
            and record.state in peer_table.HOPEFUL
            and not record.leaves(now)
        )

    def all_peers(self) -> tuple[Peer, ...]:
        """Return every peer that is known, in whatever state."""
        now = self._clock()
        return tuple(record.show(now) for record in self._table)

    def find(self, instance: str) -> Peer | None:
        """Return a peer by its name."""
        record = self._table.find(instance)
        return None if record is None else record.show(self._clock())

    def watchers(self, count: int) -> tuple[str, ...]:
        """Return the entries of this data centre that watch the store.

        Entries that were never heard count: with a bounded set of peers
        every process hears other ones, and would choose other watchers.
        """
        now = self._clock()
        names = {
            record.instance
            for record in self._table
            if record.role is messages.Role.ENTRY
            and record.data_centre == self.identity.data_centre
            and record.state is not State.DEAD
            and not record.leaves(now)
        }
        own = self.identity
        if own.role is messages.Role.ENTRY and not self._sender.leaving:
            names.add(own.instance)
        return rendezvous.choose(key=own.data_centre, names=names, count=count)

    def seed(self, instances: Iterable[store.Instance]) -> None:
        """Take a reading of the instance list."""
        self._intake.take_rows(instances)

    def choose_list_pause(self, least: float) -> float:
        """Return the seconds until the instance list is to be read again.

        :param least: seconds between two readings of a short list.
        """
        return self._listing.choose_pause(least)

    def suspect(self, instance: str) -> None:
        """Verify a peer now: somebody saw an error on a connection to it."""
        record = self._table.find(instance)
        if record is None or record.state is State.DEAD:
            return
        record.doubted = self._wake(instance)

    def send_now(self, *, watchers: int = 0) -> None:
        """Heartbeat every attended peer at once.

        :param watchers: also so many watchers of this data centre, attended
            or not; they keep the record of what is in force where.
        """
        self._links.wake_all()
        for instance in self.watchers(watchers):
            record = self._table.find(instance)
            if record is not None and not record.attended:
                self._sender.send(record)

    async def announce_leaving(self) -> tuple[str, ...]:
        """Tell everybody that we leave, until each has echoed it.

        :returns: the peers that have not echoed it in about a second.  They
            are told again by every further heartbeat.
        """
        self._sender.leaving = True
        before = self._sender.sequence
        waiting = [
            record for record in self._table if record.state is not State.DEAD
        ]
        for _ in range(ANNOUNCE_TIMES):
            for record in waiting:
                self._sender.send(record)
            await anyio.sleep(ANNOUNCE_EVERY)
            waiting = [
                record
                for record in waiting
                if record.echoed <= before
                and record.state in peer_table.USABLE
            ]
            if not waiting:
                break
        return tuple(record.instance for record in waiting)

    def answer_probe(self) -> peer_messages.ProbeReply:
        """Return what a peer's fresh connection is answered."""
        heartbeat = self._sender.make()
        return peer_messages.ProbeReply(
            instance=heartbeat.instance,
            incarnation=heartbeat.incarnation,
            bundle=heartbeat.bundle,
            leaving=heartbeat.leaving,
            heartbeat=self._codec.encode(heartbeat),
        )

    def _receive(self, datagram: bytes) -> None:
        taken = self._datagrams.take(datagram)
        if isinstance(taken, heartbeats.Refused):
            self._count(taken.reason)
        elif not taken:
            self._receive_heartbeat(datagram)

    def _count(self, reason: heartbeats.Refusal) -> None:
        self.refusals[reason] = self.refusals.get(reason, 0) + 1

    def _receive_heartbeat(self, datagram: bytes) -> None:
        accepted = self._codec.accept(datagram)
        match accepted:
            case messages.Heartbeat():
                record = self._intake.hear(accepted)
                if record is not None and accepted.asks:
                    self._links.attend(record)
            case heartbeats.Refused(reason=reason, heartbeat=heartbeat):
                self._count(reason)
                if reason is heartbeats.Refusal.STALE_INCARNATION:
                    assert heartbeat is not None
                    self.suspect(heartbeat.instance)

    def _wake(self, instance: str) -> bool:
        return self._links.wake(instance)

    def _make_link(self, record: peer_table.Record) -> peer_link.Link:
        return peer_link.Link(
            record=record,
            pace=self._pace,
            probe_timeout=self._settings.probe_timeout,
            sender=self._sender,
            client=self._client,
            events=self._events,
            on_reply=self._intake.take_reply,
            clock=self._clock,
            random=self._random,
        )
