"""Settings of one process: one layered object with checked reads.

``settings_default.yaml`` documents every value and gives its default; the
operator's file is laid over it.  Reading reports every fault with its place
at once.  Secrets are named by reference (``env:NAME``, ``file:PATH``).
"""

import dataclasses
import enum
from typing import ClassVar
from typing import Literal

from . import bounds
from . import documents


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Platform:
    """How the platform's object API is reached."""

    __pydantic_config__: ClassVar[documents.Config] = documents.STRICT

    store: str
    address: str
    timeout: bounds.PositiveFloat
    watch: bounds.PositiveFloat
    poll_instances: bounds.PositiveFloat
    watchers: bounds.PositiveInt


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Security:
    """Keys: the fleet's own, and the operators' public ones.

    :ivar fleet_key: reference to the secret, see :mod:`.credentials`.
    """

    __pydantic_config__: ClassVar[documents.Config] = documents.STRICT

    fleet_key: str
    sign_offs: bounds.NonNegativeInt
    operators: dict[str, str]


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Logging:
    """Form and level of the log."""

    __pydantic_config__: ClassVar[documents.Config] = documents.STRICT

    format: Literal['text', 'json']
    level: Literal['debug', 'info', 'warning', 'error']


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Metrics:
    """Export of metrics over OTLP."""

    __pydantic_config__: ClassVar[documents.Config] = documents.STRICT

    otlp_endpoint: str
    interval: bounds.PositiveFloat


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Membership:
    """Heartbeats and verdicts on peers."""

    __pydantic_config__: ClassVar[documents.Config] = documents.STRICT

    heartbeat: bounds.PositiveFloat
    suspect_after: bounds.PositiveFloat
    probe_timeout: bounds.PositiveFloat
    peers: bounds.PositiveInt
    datagrams: bounds.PositiveFloat
    table: bounds.PositiveInt
    seeds: tuple[str, ...]


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Entry:
    """Ports and bounds of an entry."""

    __pydantic_config__: ClassVar[documents.Config] = documents.STRICT

    call_port: bounds.Port
    control_port: bounds.Port
    datagram_port: bounds.Port
    drain_limit: bounds.PositiveFloat
    keep_addresses: bounds.PositiveFloat
    bindings: bounds.PositiveInt
    head_bytes: bounds.PositiveInt
    body_bytes: bounds.PositiveInt
    body_timeout: bounds.PositiveFloat
    head_timeout: bounds.PositiveFloat
    linger: bounds.NonNegativeFloat
    silence: bounds.PositiveFloat
    connections: bounds.PositiveInt
    calls: bounds.PositiveInt
    customers: bounds.PositiveInt
    endpoints: bounds.PositiveInt
    idle_connections: bounds.PositiveInt


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Agent:
    """Ports and bounds of an agent, and the endpoint beside it."""

    __pydantic_config__: ClassVar[documents.Config] = documents.STRICT

    call_port: bounds.Port
    control_port: bounds.Port
    datagram_port: bounds.Port
    drain_limit: bounds.PositiveFloat
    linger: bounds.NonNegativeFloat
    head_bytes: bounds.PositiveInt
    head_timeout: bounds.PositiveFloat
    body_bytes: bounds.PositiveInt
    body_timeout: bounds.PositiveFloat
    connections: bounds.PositiveInt
    resume_seconds: bounds.PositiveFloat
    overtime: bounds.PositiveFloat
    service: str
    endpoint: str
    kind: str
    slots: bounds.PositiveInt
    queue: bounds.PositiveInt
    records: bounds.PositiveInt
    record_seconds: bounds.PositiveFloat
    answer_bytes: bounds.PositiveInt
    answers_bytes: bounds.PositiveInt
    expiry_margin: bounds.NonNegativeFloat
    stream_buffer: bounds.PositiveInt
    group: str
    rank_endpoint: str
    ranks: tuple[int, ...]


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Settings:
    """Everything that one process reads from its settings file."""

    __pydantic_config__: ClassVar[documents.Config] = documents.STRICT

    instance: str
    data_centre: str
    host: str
    platform: Platform
    security: Security
    logging: Logging
    metrics: Metrics
    membership: Membership
    entry: Entry
    agent: Agent


class Role(enum.StrEnum):
    """For whom the settings have to suffice."""

    ENTRY = 'entry'
    AGENT = 'agent'
    OPERATOR = 'operator'
