"""Datagrams with cache events: their encoding and their checks.

They share the socket and the seal of the heartbeats and are checked in the
same way.  A mark behind the tag tells the two apart; no heartbeat can begin
with it, since a MessagePack array never does.
"""

import collections
import dataclasses
from typing import Callable

import msgspec

from . import heartbeats
from . import messages
from . import seals

MARK = b'\x01'
_MARKED = slice(seals.TAG_BYTES, seals.TAG_BYTES + len(MARK))


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class _Last:
    incarnation: int
    sequence: int


class Codec:
    """Encodes, authenticates and checks cache events.

    :param sealer: made for the use ``datagram``.
    :param wall: wall clock in seconds.
    :param most_senders: instances whose last sequence is remembered.
    """

    __slots__ = ('_sealer', '_wall', '_most', '_encoder', '_decoder', '_last')

    def __init__(
        self,
        *,
        sealer: seals.Sealer,
        wall: Callable[[], float],
        most_senders: int,
    ) -> None:
        self._sealer = sealer
        self._wall = wall
        self._most = most_senders
        self._encoder = msgspec.msgpack.Encoder()
        self._decoder = msgspec.msgpack.Decoder(messages.CacheEvents)
        self._last: collections.OrderedDict[str, _Last] = (
            collections.OrderedDict()
        )

    def encode(self, events: messages.CacheEvents) -> bytes:
        """Return the datagram of cache events."""
        return self._sealer.seal(MARK + self._encoder.encode(events))

    def accept(
        self, datagram: bytes
    ) -> messages.CacheEvents | heartbeats.Refused:
        """Return the events of a datagram, if they are to be believed."""
        if len(datagram) > heartbeats.MOST_BYTES:
            return _refuse(heartbeats.Refusal.OVERSIZED)
        payload = self._sealer.open(datagram)
        if payload is None:
            return _refuse(heartbeats.Refusal.UNAUTHENTICATED)
        try:
            events = self._decoder.decode(payload[len(MARK) :])
        except msgspec.MsgspecError:
            return _refuse(heartbeats.Refusal.MALFORMED)
        if abs(self._wall() - events.sent_at) > heartbeats.MOST_AGE:
            return _refuse(heartbeats.Refusal.OLD)
        return self._order(events)

    def _order(
        self, events: messages.CacheEvents
    ) -> messages.CacheEvents | heartbeats.Refused:
        last = self._last.get(events.instance)
        if last is not None:
            if events.incarnation < last.incarnation:
                return _refuse(heartbeats.Refusal.STALE_INCARNATION)
            if (
                events.incarnation == last.incarnation
                and events.sequence <= last.sequence
            ):
                return _refuse(heartbeats.Refusal.REPLAYED)
        self._last[events.instance] = _Last(
            incarnation=events.incarnation, sequence=events.sequence
        )
        self._last.move_to_end(events.instance)
        if len(self._last) > self._most:
            self._last.popitem(last=False)
        return events


def is_cache_events(datagram: bytes) -> bool:
    """Whether a datagram, genuine or not, says that it has cache events."""
    return datagram[_MARKED] == MARK


def _refuse(reason: heartbeats.Refusal) -> heartbeats.Refused:
    return heartbeats.Refused(reason=reason)
