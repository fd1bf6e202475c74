"""What the operator has configured: routes, services, customers, limits."""

import dataclasses
import enum


class RetryPolicy(enum.Enum):
    """What may happen to a request whose outcome is unknown.

    :cvar ALLOWED: idempotent, so it may be sent again.
    :cvar FORBIDDEN: it may run once at most.
    :cvar RESUMED: a stream that another endpoint can go on with.
    """

    ALLOWED = enum.auto()
    FORBIDDEN = enum.auto()
    RESUMED = enum.auto()


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Target:
    """A service to which a route leads, and its share of the requests."""

    service: str
    weight: float


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Route:
    """One route.

    :ivar prefix: begins and ends with a slash.
    :ivar attempts: endpoints on which one request may run at most.
    :ivar timeout: seconds after which the caller has its final answer.
    :ivar objective: seconds within which an answer counts in full; of a
        stream, its first event.
    :ivar longest_pause: seconds between two events of a stream above which
        it counts as late; 0 for any.
    :ivar priority: 0 is the most urgent.
    :ivar public: no customer's key is needed.
    :ivar streams: answers are server-sent events.
    """

    name: str
    host: str
    prefix: str
    targets: tuple[Target, ...]
    retry_policy: RetryPolicy
    attempts: int
    timeout: float
    objective: float
    priority: int
    public: bool
    streams: bool
    longest_pause: float = 0.0


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Engine:
    """Published figures of a service's model engines; times in seconds.

    :ivar slots: requests that run at once.
    :ivar step: one token step with no request.
    :ivar step_per_request: added to a step for each running request.
    :ivar prompt_rate: prompt tokens that are read in a second.
    :ivar mean_prompt_tokens: mean length of a prompt.
    :ivar mean_answer_tokens: mean length of an answer.
    :ivar layers: sets of experts with a map of their own.
    :ivar places: experts that a rank can hold in each layer.
    :ivar spare: new experts that a rank can copy in each layer.
    :ivar expert_bytes: weights of one expert.
    :ivar link_rate: bytes a second at which weights are copied.
    :ivar expert_share: part of the work that the experts do, 0 to 1.
    :ivar stride: steps in one pass of the group.
    """

    slots: int
    step: float
    step_per_request: float
    prompt_rate: float
    mean_prompt_tokens: int
    mean_answer_tokens: int
    layers: int = 0
    experts: int = 0
    places: int = 0
    spare: int = 0
    expert_bytes: float = 0.0
    link_rate: float = 0.0
    expert_share: float = 0.0
    stride: int = 1


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Service:
    """A kind of endpoint.

    :ivar connections: that one endpoint accepts from all callers together.
    """

    name: str
    connections: int
    engine: Engine | None = None


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Limits:
    """Bounds on what callers send; sizes in bytes, times in seconds."""

    head_bytes: int
    body_bytes: int
    head_seconds: float
    idle_seconds: float


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Customer:
    """A customer; its priority goes before that of the route."""

    name: str
    priority: int | None = None


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Configuration:
    """One version of the operator's configuration.

    :ivar customers: by key; empty where no keys are asked for.
    """

    version: int
    routes: tuple[Route, ...]
    services: dict[str, Service]
    limits: Limits
    customers: dict[str, Customer]
    requires_keys: bool


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class EndpointRecord:
    """An endpoint as discovery shows it.

    :ivar identity: names one endpoint, which may start again under it.
    :ivar leaving: it must be given no new requests.
    :ivar born: tells its starts apart and grows with them; 0 if unknown.
    """

    identity: str
    service: str
    host: str
    port: int
    data_centre: str
    slots: int
    leaving: bool
    born: int = 0
