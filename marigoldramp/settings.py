"""Settings of one process: one layered object with checked reads.

``settings_default.yaml`` documents every value and gives its default; the
operator's file is laid over it.  Reading reports every fault with its place
at once.  Secrets are named by reference (``env:NAME``, ``file:PATH``).
"""

import dataclasses
from typing import ClassVar
from typing import Literal

import pydantic

STRICT = pydantic.ConfigDict(extra='forbid')


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Platform:
    """How the platform's object API is reached."""

    __pydantic_config__: ClassVar[pydantic.ConfigDict] = STRICT

    store: str
    address: str
    timeout: pydantic.PositiveFloat
    watch: pydantic.PositiveFloat
    poll_instances: pydantic.PositiveFloat
    watchers: pydantic.PositiveInt


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Security:
    """Keys: the fleet's own, and the operators' public ones.

    :ivar fleet_key: reference to the secret, see :mod:`.secrets`.
    """

    __pydantic_config__: ClassVar[pydantic.ConfigDict] = STRICT

    fleet_key: str
    sign_offs: pydantic.NonNegativeInt
    operators: dict[str, str]


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Logging:
    """Form and level of the log."""

    __pydantic_config__: ClassVar[pydantic.ConfigDict] = STRICT

    format: Literal['text', 'json']
    level: Literal['debug', 'info', 'warning', 'error']


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Metrics:
    """Export of metrics over OTLP."""

    __pydantic_config__: ClassVar[pydantic.ConfigDict] = STRICT

    otlp_endpoint: str
    interval: pydantic.PositiveFloat


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Membership:
    """Heartbeats and verdicts on peers."""

    __pydantic_config__: ClassVar[pydantic.ConfigDict] = STRICT

    heartbeat: pydantic.PositiveFloat
    suspect_after: pydantic.PositiveFloat
    probe_timeout: pydantic.PositiveFloat
    peers: pydantic.PositiveInt
    table: pydantic.PositiveInt


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Entry:
    """Ports and bounds of an entry."""

    __pydantic_config__: ClassVar[pydantic.ConfigDict] = STRICT

    call_port: pydantic.NonNegativeInt
    control_port: pydantic.NonNegativeInt
    datagram_port: pydantic.NonNegativeInt
    drain_limit: pydantic.PositiveFloat
    keep_addresses: pydantic.PositiveFloat
    bindings: pydantic.PositiveInt
    head_bytes: pydantic.PositiveInt
    body_bytes: pydantic.PositiveInt
    body_timeout: pydantic.PositiveFloat
    connections: pydantic.PositiveInt
    calls: pydantic.PositiveInt
    customers: pydantic.PositiveInt
    endpoints: pydantic.PositiveInt
    idle_connections: pydantic.PositiveInt


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Agent:
    """Ports and bounds of an agent, and the endpoint beside it."""

    __pydantic_config__: ClassVar[pydantic.ConfigDict] = STRICT

    call_port: pydantic.NonNegativeInt
    control_port: pydantic.NonNegativeInt
    datagram_port: pydantic.NonNegativeInt
    drain_limit: pydantic.PositiveFloat
    service: str
    endpoint: str
    kind: str
    slots: pydantic.PositiveInt
    queue: pydantic.PositiveInt
    records: pydantic.PositiveInt
    record_seconds: pydantic.PositiveFloat
    answer_bytes: pydantic.PositiveInt
    answers_bytes: pydantic.PositiveInt
    expiry_margin: pydantic.NonNegativeFloat
    stream_buffer: pydantic.PositiveInt
    group: str
    ranks: tuple[int, ...]


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Settings:
    """Everything that one process reads from its settings file."""

    __pydantic_config__: ClassVar[pydantic.ConfigDict] = STRICT

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
