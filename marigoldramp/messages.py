"""Typed messages between the system's own processes.

Heartbeats travel as datagrams, call heads as one HTTP header; both are
encoded as MessagePack arrays by ``msgspec`` and authenticated by ``seals``.
Orders, bundles and hand-overs travel over gRPC, see ``peers.proto``.
"""

import enum

import msgspec


class Role(enum.IntEnum):
    """What a process of the system does."""

    ENTRY = 0
    AGENT = 1


class Load(msgspec.Struct, frozen=True, array_like=True, kw_only=True):
    """Load report of an agent about its endpoint.

    :ivar running: calls that run on the endpoint now.
    :ivar queued: calls that wait in the agent's queue.
    :ivar slots: calls that the endpoint runs at once.
    :ivar service_ms: smoothed time that one call takes on the endpoint.
    :ivar wait_ms: smoothed wait of the calls that left the queue last.
    :ivar age_ms: age of the endpoint's own report in this one.
    :ivar received: calls received since the agent started, so that a reader
        can tell which of its own calls the report already counts.
    :ivar waits_ms: forecast of the wait of a call that arrives now, one for
        each priority from the most urgent one; empty where none is made.
    """

    running: int
    queued: int
    slots: int
    service_ms: int
    wait_ms: int
    age_ms: int = 0
    received: int = 0
    waits_ms: tuple[int, ...] = ()


class KnownInstance(
    msgspec.Struct, frozen=True, array_like=True, kw_only=True
):
    """An instance that the sender of a heartbeat hears itself."""

    instance: str
    role: Role
    data_centre: str
    host: str
    control_port: int
    datagram_port: int
    service: str = ''


class Heartbeat(msgspec.Struct, frozen=True, array_like=True, kw_only=True):
    """One datagram to a peer.

    To a peer that has echoed one, what does not change in an incarnation is
    left out: ``host`` is empty, and so are the data centre, the ports and
    the service.  ``membership`` fills them in before anybody reads them.

    :ivar incarnation: random number of this start of the process.
    :ivar sequence: grows by one with each heartbeat of the incarnation.
    :ivar sent_at: wall clock in seconds.
    :ivar bundle: number of the bundle in force at the sender.
    :ivar leaving: the sender has begun a planned stop.
    :ivar receiver_leaving: the sender has seen the receiver as leaving in
        the instance list, which the receiver itself may not have.
    :ivar echo: the receiver's last sequence that the sender has seen; 0 for
        none.  It shows a link that is cut in one direction.
    :ivar receiver_incarnation: the incarnation of the receiver of which
        ``receiver_leaving`` and ``echo`` speak; a successor ignores them.
    :ivar asks: the sender has chosen to heartbeat the receiver and wants to
        be answered; an answer itself wants none.
    :ivar interval_ms: the sender heartbeats no peer more often than this,
        and wants to be heartbeated no more often either.
    :ivar wants_known: the sender's instance list is away, so the receiver is
        asked to tell which instances it hears.
    :ivar known: some of those, where the receiver has asked.
    """

    instance: str
    role: Role
    data_centre: str
    host: str
    call_port: int
    control_port: int
    datagram_port: int
    incarnation: int
    sequence: int
    sent_at: float
    bundle: int
    leaving: bool = False
    receiver_leaving: bool = False
    echo: int = 0
    service: str = ''
    load: Load | None = None
    receiver_incarnation: int = 0
    asks: bool = False
    interval_ms: int = 0
    wants_known: bool = False
    known: tuple[KnownInstance, ...] = ()


class CacheEvents(msgspec.Struct, frozen=True, array_like=True, kw_only=True):
    """One datagram about the prefix cache of an agent's engine.

    :ivar sequence: grows by one with each such datagram of the incarnation.
    :ivar sent_at: wall clock in seconds.
    :ivar gap: what was told before no longer holds.
    :ivar stored: digests of blocks that came into the cache.
    :ivar evicted: digests of blocks that left it before those came.
    """

    instance: str
    service: str
    incarnation: int
    sequence: int
    sent_at: float
    gap: bool = False
    stored: tuple[bytes, ...] = ()
    evicted: tuple[bytes, ...] = ()


class Demand(msgspec.Struct, frozen=True, array_like=True, kw_only=True):
    """What a customer asks of one entry.

    :ivar fraction: of the customer's whole limit, admitted or not.
    """

    customer: str
    fraction: float


class Usage(msgspec.Struct, frozen=True, array_like=True, kw_only=True):
    """One datagram between two entries that serve the same customers.

    :ivar sequence: grows by one with each such datagram of the incarnation.
    :ivar sent_at: wall clock in seconds.
    :ivar hears: the sender has lately heard the receiver's usage.
    """

    entry: str
    incarnation: int
    sequence: int
    sent_at: float
    hears: bool = False
    demands: tuple[Demand, ...] = ()


class Binding(msgspec.Struct, frozen=True, array_like=True, kw_only=True):
    """Contents of a bound idempotency key.

    The key names the only process that may run the call.

    :ivar agent: instance name of the agent.
    :ivar incarnation: the agent's incarnation.
    :ivar made_at: wall clock in seconds when the key was made.
    """

    service: str
    customer: str
    agent: str
    incarnation: int
    made_at: float
    nonce: bytes


class CallHead(msgspec.Struct, frozen=True, array_like=True, kw_only=True):
    """What an entry tells an agent about a call, sealed, in one header.

    :ivar call: identifier of the call, the same for all its attempts.
    :ivar attempt: number of this attempt, echoed in the answer's head.
    :ivar agent: the agent for which this head is meant.
    :ivar incarnation: incarnation that may run it, 0 for any.
    :ivar deadline_at: wall clock in seconds at which the call is worthless.
    :ivar remaining: seconds left when this attempt was sent.
    :ivar key: idempotency key of a non-idempotent call, else empty.
    :ivar settle: do not run; report what became of ``key`` and bar it.
    :ivar resume_from: bytes of the answer that the entry already has.
    :ivar bundle: number of the bundle by which the entry decided.
    :ivar tokens: most tokens that the caller asks for, 0 where unknown.
    """

    call: str
    attempt: int
    entry: str
    agent: str
    incarnation: int
    customer: str
    service: str
    idempotent: bool
    priority: int
    deadline_at: float
    remaining: float
    key: str = ''
    settle: bool = False
    resume_from: int = 0
    weight: float = 1.0
    bundle: int = 0
    tokens: int = 0


class OutcomeKind(enum.StrEnum):
    """How an agent's answer is to be read."""

    ANSWER = 'answer'
    REPLAYED = 'replayed'
    NOT_RUN = 'not_run'
    OUTCOME_UNKNOWN = 'outcome_unknown'


class AnswerHead(msgspec.Struct, frozen=True, array_like=True, kw_only=True):
    """What an agent tells an entry about its answer, in one header."""

    call: str
    attempt: int
    outcome: OutcomeKind
    reason: str = ''
    detail: str = ''
    retry_after: float | None = None
    incarnation: int = 0
