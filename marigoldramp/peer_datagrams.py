"""Datagrams other than heartbeats that travel on the heartbeats' socket."""

from typing import Callable

from . import heartbeats
from . import marked_datagrams
from . import messages
from . import peer_table
from . import seals

OnCacheEvents = Callable[[messages.CacheEvents], None]
OnUsage = Callable[[messages.Usage], None]


class Datagrams:
    """Sends and takes cache events and usage.

    :ivar cache_events: called with what an engine tells of its cache.
    :ivar usage: called with what customers ask of another entry.
    """

    __slots__ = (
        '_cache_codec',
        '_table',
        '_transport',
        '_usage_codec',
        'cache_events',
        'usage',
    )

    def __init__(
        self,
        *,
        table: peer_table.Table,
        transport: heartbeats.Transport,
        sealer: seals.Sealer,
        wall: Callable[[], float],
        most_senders: int,
    ) -> None:
        self.cache_events: list[OnCacheEvents] = []
        self.usage: list[OnUsage] = []
        self._table = table
        self._transport = transport
        self._cache_codec = marked_datagrams.Codec(
            kind=marked_datagrams.CACHE_EVENTS,
            sealer=sealer,
            wall=wall,
            most_senders=most_senders,
        )
        self._usage_codec = marked_datagrams.Codec(
            kind=marked_datagrams.USAGE,
            sealer=sealer,
            wall=wall,
            most_senders=most_senders,
        )

    def send_cache_events(self, events: messages.CacheEvents) -> int:
        """Send to every attended entry; return the bytes this took."""
        datagram = self._cache_codec.encode(events)
        size = 0
        for record in self._table:
            if record.role is messages.Role.ENTRY and record.attended:
                size += self._send(record, datagram)
        return size

    def send_usage(self, receiver: str, usage: messages.Usage) -> None:
        """Send to one entry, if it is known."""
        record = self._table.find(receiver)
        if record is not None:
            self._send(record, self._usage_codec.encode(usage))

    def take(self, datagram: bytes) -> bool | heartbeats.Refused:
        """Pass a datagram on; false if it is none of these."""
        if marked_datagrams.CACHE_EVENTS.matches(datagram):
            return self._take_cache_events(datagram)
        if marked_datagrams.USAGE.matches(datagram):
            return self._take_usage(datagram)
        return False

    def _send(self, record: peer_table.Record, datagram: bytes) -> int:
        if record.state not in peer_table.USABLE:
            return 0
        self._transport.send(
            datagram=datagram, host=record.host, port=record.datagram_port
        )
        return len(datagram)

    def _take_cache_events(self, datagram: bytes) -> bool | heartbeats.Refused:
        events = self._cache_codec.accept(datagram)
        if isinstance(events, heartbeats.Refused):
            return events
        for callback in self.cache_events:
            callback(events)
        return True

    def _take_usage(self, datagram: bytes) -> bool | heartbeats.Refused:
        usage = self._usage_codec.accept(datagram)
        if isinstance(usage, heartbeats.Refused):
            return usage
        for callback in self.usage:
            callback(usage)
        return True
