"""Datagrams beside the heartbeats: their encoding and their checks.

They share the socket and the seal of the heartbeats and are checked in the
same way.  A mark behind the tag tells the kinds apart; no heartbeat can
begin with it, since a MessagePack array never does.
"""

import collections
import dataclasses
import operator
from typing import Callable
from typing import Generic
from typing import TypeVar

import msgspec

from . import heartbeats
from . import messages
from . import seals

MARK_BYTES = 1
_MARKED = slice(seals.TAG_BYTES, seals.TAG_BYTES + MARK_BYTES)

T = TypeVar('T', messages.CacheEvents, messages.Usage)


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class _Last:
    incarnation: int
    sequence: int


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Kind(Generic[T]):
    """A kind of datagram.

    :ivar mark: one byte that no MessagePack array begins with.
    :ivar shape: type of the message.
    :ivar sender: names the instance that sent a message.
    """

    mark: bytes
    shape: type[T]
    sender: Callable[[T], str]

    def matches(self, datagram: bytes) -> bool:
        """Whether a datagram, genuine or not, says that it is of the kind."""
        return datagram[_MARKED] == self.mark


#: What callers' prompts have left in the caches of endpoints.
CACHE_EVENTS = Kind(
    mark=b'\x01',
    shape=messages.CacheEvents,
    sender=operator.attrgetter('instance'),
)
#: What customers ask of an entry.
USAGE = Kind(
    mark=b'\x02',
    shape=messages.Usage,
    sender=operator.attrgetter('entry'),
)


class Codec(Generic[T]):
    """Encodes, authenticates and checks datagrams of one kind.

    :param sealer: made for the use ``datagram``.
    :param wall: wall clock in seconds.
    :param most_senders: instances whose last sequence is remembered.
    """

    __slots__ = (
        '_kind',
        '_sealer',
        '_wall',
        '_most',
        '_encoder',
        '_decoder',
        '_last',
    )

    def __init__(
        self,
        *,
        kind: Kind[T],
        sealer: seals.Sealer,
        wall: Callable[[], float],
        most_senders: int,
    ) -> None:
        self._kind: Kind[T] = kind
        self._sealer = sealer
        self._wall = wall
        self._most = most_senders
        self._encoder = msgspec.msgpack.Encoder()
        self._decoder: msgspec.msgpack.Decoder[T] = msgspec.msgpack.Decoder(
            kind.shape
        )
        self._last: collections.OrderedDict[str, _Last] = (
            collections.OrderedDict()
        )

    def encode(self, message: T) -> bytes:
        """Return the datagram of a message."""
        return self._sealer.seal(
            self._kind.mark + self._encoder.encode(message)
        )

    def accept(self, datagram: bytes) -> T | heartbeats.Refused:
        """Return the message of a datagram, if it is to be believed."""
        if len(datagram) > heartbeats.MOST_BYTES:
            return _refuse(heartbeats.Refusal.OVERSIZED)
        payload = self._sealer.open(datagram)
        if payload is None:
            return _refuse(heartbeats.Refusal.UNAUTHENTICATED)
        try:
            message = self._decoder.decode(payload[MARK_BYTES:])
        except msgspec.MsgspecError:
            return _refuse(heartbeats.Refusal.MALFORMED)
        if abs(self._wall() - message.sent_at) > heartbeats.MOST_AGE:
            return _refuse(heartbeats.Refusal.OLD)
        return self._order(message)

    def _order(self, message: T) -> T | heartbeats.Refused:
        sender = self._kind.sender(message)
        last = self._last.get(sender)
        if last is not None:
            if message.incarnation < last.incarnation:
                return _refuse(heartbeats.Refusal.STALE_INCARNATION)
            if (
                message.incarnation == last.incarnation
                and message.sequence <= last.sequence
            ):
                return _refuse(heartbeats.Refusal.REPLAYED)
        self._last[sender] = _Last(
            incarnation=message.incarnation, sequence=message.sequence
        )
        self._last.move_to_end(sender)
        if len(self._last) > self._most:
            self._last.popitem(last=False)
        return message


def _refuse(reason: heartbeats.Refusal) -> heartbeats.Refused:
    return heartbeats.Refused(reason=reason)
