"""Whom to tell what about peers."""

import dataclasses
from typing import Callable

from . import messages
from . import peer_table

OnHeartbeat = Callable[[messages.Heartbeat], None]
OnPeer = Callable[[peer_table.Peer], None]
OnTold = Callable[[], None]


@dataclasses.dataclass(slots=True, kw_only=True)
class Events:
    """Callbacks by event; each is called in the order of registration."""

    heartbeat: list[OnHeartbeat] = dataclasses.field(default_factory=list)
    every_heartbeat: list[OnHeartbeat] = dataclasses.field(
        default_factory=list
    )
    dead: list[OnPeer] = dataclasses.field(default_factory=list)
    unlinked: list[OnPeer] = dataclasses.field(default_factory=list)
    silent: list[OnPeer] = dataclasses.field(default_factory=list)
    leaving: list[OnPeer] = dataclasses.field(default_factory=list)
    told_leaving: list[OnTold] = dataclasses.field(default_factory=list)

    def tell_heartbeat(self, heartbeat: messages.Heartbeat) -> None:
        """A believed heartbeat came on a link."""
        for callback in self.heartbeat:
            callback(heartbeat)

    def tell_every_heartbeat(self, heartbeat: messages.Heartbeat) -> None:
        """A believed heartbeat came, on a link or not."""
        for callback in self.every_heartbeat:
            callback(heartbeat)

    def tell_dead(self, peer: peer_table.Peer) -> None:
        """A peer, or its last incarnation, is dead."""
        for callback in self.dead:
            callback(peer)

    def tell_unlinked(self, peer: peer_table.Peer) -> None:
        """A peer that lives is no longer heartbeated."""
        for callback in self.unlinked:
            callback(peer)

    def tell_silent(self, peer: peer_table.Peer) -> None:
        """Connections opened to a peer may be silent though it lives."""
        for callback in self.silent:
            callback(peer)

    def tell_leaving(self, peer: peer_table.Peer) -> None:
        """A peer begins to leave."""
        for callback in self.leaving:
            callback(peer)

    def tell_told_leaving(self) -> None:
        """Somebody else says that this process leaves."""
        for callback in self.told_leaving:
            callback()
