"""What entries tell each other in datagrams.

Each report goes to one peer and echoes the time that the peer wrote into its
own last report.  The reader thereby knows that what the report says was true
after that time, by its own clock, however long either process was frozen
and however long the datagram lay in a buffer.
"""

import msgspec

from . import suspects

#: Longest datagram that is sent, in bytes; below it none is fragmented.
MOST_BYTES = 1200
#: Peers that one report names.
MOST_KNOWN = 6


class KnownPeer(msgspec.Struct, frozen=True, array_like=True, kw_only=True):
    """An entry that the sender knows."""

    instance: str
    host: str
    port: int


class Report(msgspec.Struct, frozen=True, array_like=True, kw_only=True):
    """One report of an entry to a peer.

    :ivar incarnation: drawn at each start of the process.
    :ivar sent: the sender's clock, in seconds.
    :ivar echo: ``sent`` of the last report that came from the peer, 0 for
        none, and valid only for ``echo_incarnation``.
    :ivar ready: callers may be sent to the sender.
    :ivar call_host: where callers connect, empty for an entry without calls.
    :ivar version: configuration in force at the sender.
    :ivar version_age: seconds since it was known to be the newest; negative
        if it never was.
    :ivar revision: of the newest change of endpoints that the sender knows.
    :ivar revision_age: seconds since it was in touch with the store about
        endpoints; negative if it never was.
    :ivar settled: of the newest change up to which what the sender does not
        list is gone, 0 if it does not know that of any.
    :ivar in_flight: requests of the sender by endpoint.
    :ivar slow: endpoints that the sender finds slow or failing, and how many
        times worse than usual.
    :ivar fit: the sender may lead groups of ranks.
    :ivar data_centre: where the sender is.
    :ivar period: seconds after which the receiver gets the next report at the
        latest, 0 if unknown.
    :ivar passes: how long the last pass of the group of each service lasted,
        in seconds, as streams of the sender have shown it.
    :ivar strength: how much it can do besides, see
        :attr:`.settings.Settings.strength`.
    :ivar leads: groups that it leads.
    :ivar suspect_news: what the sender has learnt lately of requests under
        which endpoints end.
    :ivar era: how often the platform's store was restored, as far as the
        sender knows.
    :ivar paces: slow ranks of groups that it leads, see
        :class:`.ranks.RankReport`.
    """

    instance: str
    host: str
    port: int
    incarnation: int
    sent: float
    echo: float
    echo_incarnation: int
    ready: bool
    leaving: bool
    call_host: str
    call_port: int
    version: int
    version_age: float
    revision: int
    revision_age: float
    in_flight: dict[str, int]
    slow: dict[str, float] = {}
    fit: bool = False
    leads: tuple[str, ...] = ()
    known: tuple[KnownPeer, ...] = ()
    paces: dict[str, float] = {}
    strength: float = 1.0
    data_centre: str = ''
    period: float = 0.0
    passes: dict[str, float] = {}
    settled: int = 0
    suspect_news: suspects.SuspectUpdate = suspects.SuspectUpdate()
    era: int = 0


def encode(report: Report) -> bytes:
    """Return the datagram of a report, without what is too long for it."""
    data = msgspec.msgpack.encode(report)
    if len(data) <= MOST_BYTES:
        return data
    busiest = sorted(
        report.in_flight.items(), key=lambda pair: pair[1], reverse=True
    )
    while len(data) > MOST_BYTES and busiest:
        busiest = busiest[: len(busiest) * 3 // 4]
        report = msgspec.structs.replace(
            report, in_flight=dict(busiest), known=(), slow={}
        )
        data = msgspec.msgpack.encode(report)
    return data


_decoder = msgspec.msgpack.Decoder(type=Report)


def decode(data: bytes) -> Report:
    """Return the report in a datagram.

    :raises msgspec.MsgspecError: there is none.
    """
    return _decoder.decode(data)
