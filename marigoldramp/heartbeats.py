"""Heartbeat datagrams: their encoding, their checks and their transport.

A datagram is believed only if it is small, carries the fleet's tag, is not
much too old and is newer than the last one of its sender.  Everything else
is refused with a reason that can be counted.
"""

import abc
import asyncio
import collections
import dataclasses
import enum
import random as random_module
import socket
from typing import Callable

import msgspec

from . import messages
from . import seals

#: A longer datagram might be cut into fragments, and a lost fragment loses
#: all of it.
MOST_BYTES = 1200
#: Difference of two wall clocks that is still believed, in seconds.  Only
#: recordings of long ago are refused by it; replays are refused by sequence.
MOST_AGE = 30.0
RANDOM_BITS = 20


def make_incarnation(*, wall: float, random: random_module.Random) -> int:
    """Return the number of a start of a process at wall time ``wall``.

    Milliseconds stand in the high bits, so that of two starts of one
    instance the later one has the higher number.
    """
    return int(wall * 1000) << RANDOM_BITS | random.getrandbits(RANDOM_BITS)


class Refusal(enum.StrEnum):
    """Why a datagram was not believed."""

    OVERSIZED = 'oversized'
    UNAUTHENTICATED = 'unauthenticated'
    MALFORMED = 'malformed'
    OLD = 'old'
    STALE_INCARNATION = 'stale_incarnation'
    REPLAYED = 'replayed'


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Refused:
    """A datagram that was not believed.

    :ivar heartbeat: its contents where the tag was right, so that a reader
        can look into an instance whose clock or incarnation went back.
    """

    reason: Refusal
    heartbeat: messages.Heartbeat | None = None


@dataclasses.dataclass(slots=True, kw_only=True)
class _Last:
    """Newest heartbeat of one instance."""

    incarnation: int
    sequence: int


class Codec:
    """Encodes, authenticates and checks heartbeats.

    :param sealer: made for the use ``datagram``.
    :param wall: wall clock in seconds.
    :param most_senders: instances whose last sequence is remembered.
    """

    __slots__ = (
        '_decoder',
        '_encoder',
        '_last',
        '_most_senders',
        '_sealer',
        '_wall',
    )

    def __init__(
        self,
        *,
        sealer: seals.Sealer,
        wall: Callable[[], float],
        most_senders: int,
    ) -> None:
        self._sealer = sealer
        self._wall = wall
        self._most_senders = most_senders
        self._encoder = msgspec.msgpack.Encoder()
        self._decoder = msgspec.msgpack.Decoder(messages.Heartbeat)
        self._last: collections.OrderedDict[str, _Last] = (
            collections.OrderedDict()
        )

    def encode(self, heartbeat: messages.Heartbeat) -> bytes:
        """Return the datagram of a heartbeat."""
        return self._sealer.seal(self._encoder.encode(heartbeat))

    def accept(self, datagram: bytes) -> messages.Heartbeat | Refused:
        """Return the heartbeat of a datagram, if it is to be believed."""
        heartbeat = self.decode(datagram)
        if isinstance(heartbeat, Refused):
            return heartbeat
        if abs(self._wall() - heartbeat.sent_at) > MOST_AGE:
            return Refused(reason=Refusal.OLD, heartbeat=heartbeat)
        return self._order(heartbeat)

    def expect(self, heartbeat: messages.Heartbeat) -> None:
        """Take the incarnation of a heartbeat from a fresh connection.

        An instance whose wall clock was set back starts with a number lower
        than its last one.  Its datagrams would be refused for good; one sees
        it as an instance that answers probes and is never heard.  A fresh
        and authenticated connection cannot be a recording, so it decides.
        """
        last = self._last.get(heartbeat.instance)
        if last is not None and last.incarnation == heartbeat.incarnation:
            return
        self._remember(
            heartbeat.instance, heartbeat.incarnation, heartbeat.sequence
        )

    def decode(self, datagram: bytes) -> messages.Heartbeat | Refused:
        """Return the heartbeat of an authentic datagram, however old."""
        if len(datagram) > MOST_BYTES:
            return Refused(reason=Refusal.OVERSIZED)
        payload = self._sealer.open(datagram)
        if payload is None:
            return Refused(reason=Refusal.UNAUTHENTICATED)
        try:
            return self._decoder.decode(payload)
        except msgspec.MsgspecError:
            return Refused(reason=Refusal.MALFORMED)

    def _order(
        self, heartbeat: messages.Heartbeat
    ) -> messages.Heartbeat | Refused:
        """Refuse what is no newer than the sender's last heartbeat.

        A network may hold a datagram back or double it.  An old one that was
        believed would bring a stopped instance back to life or undo
        ``leaving``.
        """
        last = self._last.get(heartbeat.instance)
        if last is not None:
            if heartbeat.incarnation < last.incarnation:
                return Refused(
                    reason=Refusal.STALE_INCARNATION, heartbeat=heartbeat
                )
            if (
                heartbeat.incarnation == last.incarnation
                and heartbeat.sequence <= last.sequence
            ):
                return Refused(reason=Refusal.REPLAYED, heartbeat=heartbeat)
        self._remember(
            heartbeat.instance, heartbeat.incarnation, heartbeat.sequence
        )
        return heartbeat

    def _remember(
        self, instance: str, incarnation: int, sequence: int
    ) -> None:
        last = self._last.get(instance)
        if last is not None:
            last.incarnation = incarnation
            last.sequence = sequence
            self._last.move_to_end(instance)
            return
        self._last[instance] = _Last(
            incarnation=incarnation, sequence=sequence
        )
        if len(self._last) > self._most_senders:
            self._last.popitem(last=False)


Receive = Callable[[bytes], None]


class Transport(abc.ABC):
    """Carries datagrams; tests put one in between that loses them."""

    @abc.abstractmethod
    async def open(self, *, host: str, port: int, receive: Receive) -> int:
        """Listen, call ``receive`` with each datagram, return the port."""

    @abc.abstractmethod
    def send(self, *, datagram: bytes, host: str, port: int) -> None:
        """Send without waiting; a datagram may be lost."""

    @abc.abstractmethod
    def close(self) -> None:
        """Stop listening."""


class _Protocol(asyncio.DatagramProtocol):
    """Passes datagrams on and ignores errors of single sends.

    A datagram to a closed port comes back as an error of the whole socket;
    silence of that peer tells the same without it.
    """

    def __init__(self, *, receive: Receive) -> None:
        self._receive = receive

    def datagram_received(
        self, data: bytes, addr: tuple[str | int, ...]
    ) -> None:
        self._receive(data)

    def error_received(self, exc: Exception) -> None:
        return


class UdpTransport(Transport):
    """Datagrams over UDP by the event loop's own protocol.

    docs/MEMBERSHIP.md gives its cost beside that of ``anyio``'s socket.
    """

    __slots__ = ('_transport',)

    def __init__(self) -> None:
        self._transport: asyncio.DatagramTransport | None = None

    async def open(self, *, host: str, port: int, receive: Receive) -> int:
        loop = asyncio.get_running_loop()
        self._transport, _ = await loop.create_datagram_endpoint(
            lambda: _Protocol(receive=receive),
            local_addr=(host, port),
            family=socket.AF_INET6 if ':' in host else socket.AF_INET,
        )
        bound: int = self._transport.get_extra_info('sockname')[1]
        return bound

    def send(self, *, datagram: bytes, host: str, port: int) -> None:
        if self._transport is None or self._transport.is_closing():
            return
        self._transport.sendto(datagram, (host, port))

    def close(self) -> None:
        if self._transport is not None:
            self._transport.close()
