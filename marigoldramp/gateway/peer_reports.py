"""The reports that gateways send each other in UDP datagrams.

Each report goes to one peer and echoes the timestamp of that peer's own last
report.  The receiver thereby knows that the content was true after that time
by its own clock, however long either process was frozen or the datagram was
buffered.
"""

import struct

import msgspec

from . import listings
from .shared_state import suspects

#: Datagrams up to this size are not fragmented.
MAX_DATAGRAM_BYTES = 1200
MAX_KNOWN_PEERS_PER_REPORT = 6
#: Senders of earlier versions, which do not report it, count as old.
MAX_READY_SECONDS = 100

#: Heads of MessagePack values: an array with a length of two bytes, and a
#: float of eight bytes.
_ARRAY_16 = 0xDC
_ARRAY_HEADER = struct.Struct('>BH')
_FLOAT_64 = 0xCB
_FLOAT = struct.Struct('>Bd')


class KnownPeer(msgspec.Struct, frozen=True, array_like=True, kw_only=True):
    """The address of another gateway that the sender knows."""

    instance: str
    host: str
    port: int


class ReportedRateLimit(
    msgspec.Struct, frozen=True, array_like=True, kw_only=True
):
    """The rate limit of an endpoint, see :class:`.rate_limits.RateLimit`.

    :ivar born: distinguishes starts of the endpoint.
    :ivar rate: requests per second that it named last.
    :ivar age: seconds since a response last named the limit, or since its end.
    """

    identity: str
    born: int
    version: int
    rate: float
    has_ended: bool
    age: float


class ReportedEvacuations(
    msgspec.Struct, frozen=True, array_like=True, kw_only=True
):
    """The data centres whose endpoints must get no requests.

    :ivar version: version of the store at which they were read; 0 if they are
        not known.
    :ivar is_reader: the sender reads them from the store, which answers it.
    """

    version: int = 0
    data_centres: tuple[str, ...] = ()
    is_reader: bool = False


class ReportedDemand(
    msgspec.Struct, frozen=True, array_like=True, kw_only=True
):
    """The demand for a service at one gateway, by priority.

    :ivar waiting: requests in the queue.
    :ivar arrivals: requests that arrive per second.
    """

    service: str
    waiting: dict[int, int] = {}
    arrivals: dict[int, float] = {}


class Report(msgspec.Struct, frozen=True, array_like=True, kw_only=True):
    """One report of a gateway to a peer.

    :ivar incarnation: random number drawn at each start of the process.
    :ivar sent: time by the sender's clock, in seconds.
    :ivar echo: ``sent`` of the last report that arrived from the receiver, 0
        for none; valid only if the receiver still has ``echo_incarnation``.
    :ivar ready: callers may be sent to the sender.
    :ivar leaving: the sender is shutting down.
    :ivar call_host: host at which callers connect, empty if the sender accepts
        no callers.
    :ivar version: version of the configuration in force at the sender.
    :ivar version_age: seconds since that version was confirmed to be the
        newest; negative if it never was.
    :ivar revision: revision of the newest change of endpoints that the sender
        knows.
    :ivar revision_age: seconds since the store last answered the sender;
        negative if it never did.
    :ivar settled: revision up to which the sender's list of endpoints is
        complete, so that an endpoint missing from it no longer exists; 0 if
        the list is not known to be complete.
    :ivar in_flight: number of the sender's running requests by endpoint.
    :ivar slow_endpoints: endpoints that the sender measures as slow or
        failing, and how many times worse than usual they are.
    :ivar can_lead: the sender may lead groups of ranks.
    :ivar leads: groups of ranks that the sender leads.
    :ivar known_peers: some gateways that the sender knows.
    :ivar paces: slow ranks of groups that the sender leads, and how many times
        longer than usual their work takes, see :class:`.ranks.RankReport`.
    :ivar capacity: see :attr:`.settings.Settings.capacity`.
    :ivar data_centre: data centre of the sender.
    :ivar period: seconds within which the sender's next report to the receiver
        follows, 0 if unknown.
    :ivar passes: seconds that the last forward pass of each service's group
        took, as the sender's streams show it.
    :ivar suspect_news: recent findings of the sender about requests during
        which endpoints ended.
    :ivar era: number of restores of the platform's store that the sender knows
        of.
    :ivar rate_limits: some of the rate limits that the sender knows.
    :ivar evacuations: the data centres that the operator has evacuated.
    :ivar demands: demand for the services that have some.
    :ivar delay_ms: milliseconds by which the sender's timers are late.
    :ivar ready_seconds: seconds for which callers may have been sent to the
        sender, up to ``MAX_READY_SECONDS``.
    :ivar complete: revision of the store up to which the sender's list of
        endpoints is complete; 0 if the list is not known to be complete.
    :ivar checksum: checksum of that list.
    :ivar complete_age: seconds since that list was last confirmed to have all
        changes; negative if it never was.
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
    slow_endpoints: dict[str, float] = {}
    can_lead: bool = False
    leads: tuple[str, ...] = ()
    known_peers: tuple[KnownPeer, ...] = ()
    paces: dict[str, float] = {}
    capacity: float = 1.0
    data_centre: str = ''
    period: float = 0.0
    passes: dict[str, float] = {}
    settled: int = 0
    suspect_news: suspects.SuspectUpdate = suspects.SuspectUpdate()
    era: int = 0
    rate_limits: tuple[ReportedRateLimit, ...] = ()
    evacuations: ReportedEvacuations = ReportedEvacuations()
    demands: tuple[ReportedDemand, ...] = ()
    delay_ms: int = 0
    ready_seconds: int = MAX_READY_SECONDS
    complete: int = 0
    checksum: int = 0
    complete_age: float = -1.0

    def summarize_endpoints(self) -> listings.Summary:
        """Return what the sender knows of the endpoints."""
        return listings.Summary(
            newest=self.revision,
            settled=self.settled,
            complete=self.complete,
            checksum=self.checksum,
        )


def encode(report: Report) -> bytes:
    """Encode a report, shortened if it exceeds the maximum size.

    Known peers, slow endpoints and the endpoints with the fewest requests in
    flight are left out.
    """
    data = msgspec.msgpack.encode(report)
    if len(data) <= MAX_DATAGRAM_BYTES:
        return data
    busiest = sorted(
        report.in_flight.items(), key=lambda pair: pair[1], reverse=True
    )
    while len(data) > MAX_DATAGRAM_BYTES and busiest:
        busiest = busiest[: len(busiest) * 3 // 4]
        report = msgspec.structs.replace(
            report, in_flight=dict(busiest), known_peers=(), slow_endpoints={}
        )
        data = msgspec.msgpack.encode(report)
    return data


class Template:
    """A report without what depends on its receiver, encoded once.

    A report is an array, whose elements are encoded one after the other.

    :ivar sent: see :attr:`Report.sent`.
    """

    __slots__ = ('_report', '_start', '_middle', '_end', 'sent')

    def __init__(self, report: Report) -> None:
        self.sent = report.sent
        self._report = report
        fields = Report.__struct_fields__
        pieces = [
            msgspec.msgpack.encode(getattr(report, name)) for name in fields
        ]
        echo = fields.index('echo')
        period = fields.index('period')
        header = _ARRAY_HEADER.pack(_ARRAY_16, len(fields))
        self._start = header + b''.join(pieces[:echo])
        self._middle = b''.join(pieces[echo + 2 : period])
        self._end = b''.join(pieces[period + 1 :])

    def fill(
        self, *, echo: float, echo_incarnation: int, period: float
    ) -> Report:
        """Return the report for one receiver."""
        return msgspec.structs.replace(
            self._report,
            echo=echo,
            echo_incarnation=echo_incarnation,
            period=period,
        )

    def encode(
        self, *, echo: float, echo_incarnation: int, period: float
    ) -> bytes:
        """Return what :func:`encode` returns for the report of a receiver."""
        data = b''.join(
            (
                self._start,
                _FLOAT.pack(_FLOAT_64, echo),
                msgspec.msgpack.encode(echo_incarnation),
                self._middle,
                _FLOAT.pack(_FLOAT_64, period),
                self._end,
            )
        )
        if len(data) <= MAX_DATAGRAM_BYTES:
            return data
        return encode(
            self.fill(
                echo=echo, echo_incarnation=echo_incarnation, period=period
            )
        )


_decoder = msgspec.msgpack.Decoder(type=Report)


def decode(data: bytes) -> Report:
    """Decode the report in a datagram.

    :raises msgspec.MsgspecError: the data is not a report.
    """
    return _decoder.decode(data)
