"""The operator's configuration: routes, services, customers and limits."""

import enum

import msgspec


class RetryPolicy(enum.Enum):
    """Whether a request with unknown outcome may be sent again.

    :cvar ALLOWED: the request is idempotent and may be sent again.
    :cvar FORBIDDEN: the request may run once at most.
    :cvar RESUMED: the request is a stream that another endpoint can resume.
    """

    ALLOWED = enum.auto()
    FORBIDDEN = enum.auto()
    RESUMED = enum.auto()


class Target(msgspec.Struct, frozen=True, kw_only=True):
    """A service of a route, weighted by its share of the requests."""

    service: str
    weight: float


class Route(msgspec.Struct, frozen=True, kw_only=True):
    """A route: requests for a host and path prefix, and how they are served.

    :ivar prefix: path prefix, which begins and ends with a slash.
    :ivar attempts: maximum number of endpoints on which a request may run.
    :ivar timeout: seconds within which the caller gets the final answer.
    :ivar objective: target latency in seconds within which an answer counts in
        full; for a stream, that of its first event.
    :ivar longest_pause: seconds between two events above which a stream counts
        as late; 0 if any pause is accepted.
    :ivar priority: 0 is the most urgent.
    :ivar public: requests need no customer key.
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


class Engine(msgspec.Struct, frozen=True, kw_only=True):
    """Published figures of a service's model engines; times in seconds.

    :ivar slots: maximum number of concurrent requests.
    :ivar step: duration of a token step without requests.
    :ivar step_per_request: added duration of a step per running request.
    :ivar prompt_rate: prompt tokens processed per second.
    :ivar mean_prompt_tokens: mean length of a prompt.
    :ivar mean_answer_tokens: mean length of an answer.
    :ivar layers: number of layers, each with its own experts and expert map.
    :ivar experts: number of experts in each layer.
    :ivar places: maximum number of experts that a rank holds in each layer.
    :ivar spare: maximum number of new experts that a rank copies per layer.
    :ivar expert_bytes: size of the weights of one expert.
    :ivar link_rate: bytes per second at which weights are copied.
    :ivar expert_share: fraction of the work done by the experts, 0 to 1.
    :ivar stride: number of steps in one forward pass of the group.
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


class ColdStart(msgspec.Struct, frozen=True, kw_only=True):
    """What an endpoint tolerates after its start.

    :ivar seconds: time for which it is cold.
    :ivar rate: requests per second that it tolerates meanwhile, from all
        gateways together.
    """

    seconds: float
    rate: float


class Service(msgspec.Struct, frozen=True, kw_only=True):
    """A service, run by any number of equivalent endpoints.

    :ivar connections: connections that each endpoint accepts in total.
    :ivar engine: figures of the endpoints' model engine, ``None`` if they run
        none.
    :ivar cold_start: ``None`` if its endpoints bear their full load from the
        start.
    """

    name: str
    connections: int
    engine: Engine | None = None
    cold_start: ColdStart | None = None


class Limits(msgspec.Struct, frozen=True, kw_only=True):
    """Limits on what callers send; sizes in bytes, times in seconds."""

    head_bytes: int
    body_bytes: int
    head_seconds: float
    idle_seconds: float


class Customer(msgspec.Struct, frozen=True, kw_only=True):
    """A customer; its priority, if any, overrides that of the route."""

    name: str
    priority: int | None = None


class Configuration(msgspec.Struct, frozen=True, kw_only=True):
    """One version of the operator's configuration.

    :ivar customers: customers by key; empty if no keys are required.
    :ivar requires_keys: requests need a customer key unless the route is
        public.
    """

    version: int
    routes: tuple[Route, ...]
    services: dict[str, Service]
    limits: Limits
    customers: dict[str, Customer]
    requires_keys: bool


class EndpointRecord(msgspec.Struct, frozen=True, kw_only=True):
    """An endpoint as listed by service discovery.

    :ivar identity: name of the endpoint, which it keeps when it restarts.
    :ivar slots: maximum number of concurrent requests.
    :ivar leaving: the endpoint must get no new requests.
    :ivar born: number that distinguishes starts of the endpoint and grows with
        each; 0 if unknown.
    :ivar revision: the store's revision at which the record was written; 0 if
        unknown.
    :ivar cold_seconds: for how much longer the endpoint was cold when the
        record was written; ``None`` if it does not say.
    """

    identity: str
    service: str
    host: str
    port: int
    data_centre: str
    slots: int
    leaving: bool
    born: int = 0
    revision: int = 0
    cold_seconds: float | None = None
