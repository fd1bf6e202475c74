"""Datagrams with what customers ask of an entry."""

import operator
from typing import Callable

from . import marked_datagrams
from . import messages
from . import seals

MARK = b'\x02'


class Codec(marked_datagrams.Codec[messages.Usage]):
    """Encodes, authenticates and checks usages.

    :param sealer: made for the use ``datagram``.
    :param wall: wall clock in seconds.
    :param most_senders: entries whose last sequence is remembered.
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
            shape=messages.Usage,
            sender=operator.attrgetter('entry'),
            sealer=sealer,
            wall=wall,
            most_senders=most_senders,
        )


def is_usage(datagram: bytes) -> bool:
    """Whether a datagram, genuine or not, says that it has a usage."""
    return marked_datagrams.has_mark(datagram, MARK)
