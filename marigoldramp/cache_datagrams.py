"""Datagrams with cache events."""

import operator
from typing import Callable

from . import marked_datagrams
from . import messages
from . import seals

MARK = b'\x01'


class Codec(marked_datagrams.Codec[messages.CacheEvents]):
    """Encodes, authenticates and checks cache events.

    :param sealer: made for the use ``datagram``.
    :param wall: wall clock in seconds.
    :param most_senders: instances whose last sequence is remembered.
    """

    __slots__ = ()

    def __init__(
        self,
        *,
        sealer: seals.Sealer,
        wall: Callable[[], float],
        most_senders: int,
    ) -> None:
        super().__init__(
            mark=MARK,
            shape=messages.CacheEvents,
            sender=operator.attrgetter('instance'),
            sealer=sealer,
            wall=wall,
            most_senders=most_senders,
        )


def is_cache_events(datagram: bytes) -> bool:
    """Whether a datagram, genuine or not, says that it has cache events."""
    return marked_datagrams.has_mark(datagram, MARK)
