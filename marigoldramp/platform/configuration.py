"""Reads and decodes the operator's configuration in the platform's store."""

import msgspec

from .. import store
from ..gateway import configurations
from ..gateway import deployment
from . import objects

CONFIGURATION_KEY = store.Key(kind='config', name='main')
MILLISECONDS_PER_SECOND = 1000.0
BYTES_PER_MEGABYTE = 1_000_000.0
BYTES_PER_MEGABIT = 125_000.0
#: Kinds of routes.  Requests of an unknown kind are not retried.
_IDEMPOTENT_KIND = 'idempotent'
_STREAMING_KIND = 'streaming'


class _TrafficShare(
    msgspec.Struct,
    kw_only=True,
    rename={'service': 'Service', 'weight': 'Weight'},
):
    service: str
    weight: float = 1.0


class _Route(
    msgspec.Struct,
    kw_only=True,
    rename={
        'name': 'Name',
        'host': 'Hostname',
        'prefix': 'PathPrefix',
        'kind': 'RouteKind',
        'timeout_ms': 'TimeoutMs',
        'objective_ms': 'TargetLatencyMs',
        'priority': 'Priority',
        'service': 'Service',
        'split': 'TrafficSplit',
        'attempts': 'MaxAttempts',
        'public': 'PublicAccess',
        'resumable': 'StreamResume',
        'pause_ms': 'GapTargetMs',
    },
):
    """A route to one service, or to several that share its traffic.

    :ivar objective_ms: target latency within which an answer counts in full;
        for a stream, that of its first event.
    :ivar attempts: maximum number of endpoints on which one request may run.
    :ivar resumable: a broken stream may continue on another endpoint.
    :ivar pause_ms: time between two events above which a stream counts as
        late; 0 for no bound.
    """

    name: str
    host: str
    prefix: str
    kind: str
    timeout_ms: float
    objective_ms: float = 0.0
    priority: int = 5
    service: str = ''
    split: list[_TrafficShare] | None = None
    attempts: int = 1
    public: bool = False
    resumable: bool = False
    pause_ms: float = 0.0


class _MeanTokens(
    msgspec.Struct,
    kw_only=True,
    rename={'prompt': 'prompt', 'answer': 'answer'},
):
    """Mean numbers of tokens of a request."""

    prompt: float = 0.0
    answer: float = 0.0


class _Engine(
    msgspec.Struct,
    kw_only=True,
    rename={
        'slots': 'Slots',
        'stride': 'Stride',
        'step_ms': 'step_ms',
        'per_request_ms': 'per_seq_ms',
        'prompt_rate': 'read_per_s',
        'usual': 'usual',
        'layers': 'Sets',
        'experts': 'Experts',
        'places': 'Placements',
        'spare': 'Spare',
        'expert_mb': 'ExpertMb',
        'link_mbps': 'LinkMbps',
        'expert_share': 'ExpertShare',
    },
):
    """Capacity and timing of a service's model engines.

    :ivar slots: maximum number of concurrent requests.
    :ivar stride: steps in one forward pass of the group.
    :ivar step_ms: time of a token step without requests.
    :ivar per_request_ms: time added to a step for each running request.
    :ivar prompt_rate: prompt tokens read per second.
    :ivar layers: expert layers; the platform calls a layer a set.
    :ivar places: maximum number of experts that a rank holds in each layer.
    :ivar spare: maximum number of new experts that a rank copies per layer.
    :ivar link_mbps: megabits per second at which weights are copied.
    :ivar expert_share: fraction of the work done by the experts, 0 to 1.
    """

    slots: int
    stride: int = 1
    step_ms: float = 0.0
    per_request_ms: float = 0.0
    prompt_rate: float = 0.0
    usual: _MeanTokens = msgspec.field(default_factory=_MeanTokens)
    layers: int = 0
    experts: int = 0
    places: int = 0
    spare: int = 0
    expert_mb: float = 0.0
    link_mbps: float = 0.0
    expert_share: float = 0.0


class _Service(
    msgspec.Struct,
    kw_only=True,
    rename={
        'name': 'Name',
        'connections': 'MaxConnections',
        'engine': 'Engine',
        'cold_s': 'ColdStartS',
        'cold_per_s': 'ColdPerS',
    },
):
    """Connection limit and engines of a service.

    :ivar connections: maximum that one endpoint accepts from all callers
        together.
    :ivar cold_s: seconds for which an endpoint is cold after its start.
    :ivar cold_per_s: requests per second that it tolerates meanwhile.
    """

    name: str
    connections: int = 0
    engine: _Engine | None = None
    cold_s: float = 0.0
    cold_per_s: float = 0.0


class _Limits(
    msgspec.Struct,
    kw_only=True,
    rename={
        'head_bytes': 'MaxHeaderBytes',
        'body_bytes': 'MaxBodyBytes',
        'head_ms': 'HeaderTimeoutMs',
        'idle_ms': 'IdleTimeoutMs',
    },
):
    head_bytes: int
    body_bytes: int
    head_ms: float
    idle_ms: float


class _Customer(
    msgspec.Struct,
    kw_only=True,
    rename={'name': 'Name', 'keys': 'ApiKeys', 'priority': 'Priority'},
):
    name: str
    keys: list[str] = []
    priority: int | None = None


class _Document(
    msgspec.Struct,
    kw_only=True,
    rename={
        'version': 'Version',
        'routes': 'Routes',
        'services': 'Services',
        'limits': 'Limits',
        'customers': 'Tenants',
    },
):
    version: int
    routes: list[_Route]
    services: list[_Service]
    limits: _Limits
    customers: list[_Customer] | None = None


class StoreConfigurationSource(configurations.ConfigurationSource):
    """Fetches the configuration from its object in the store."""

    __slots__ = ('_store',)

    def __init__(self, *, objects: objects.ObjectStore) -> None:
        self._store = objects

    async def fetch(self) -> bytes | store.Absent | store.Unavailable:
        found = await self._store.read(key=CONFIGURATION_KEY)
        if isinstance(found, store.Stored):
            return found.value
        return found

    def decode(self, document: bytes) -> deployment.Configuration:
        return decode(document)


def decode(document: bytes) -> deployment.Configuration:
    """Return the configuration in a JSON document.

    :raises ValueError: the document is invalid; the message names the field.
    """
    found = msgspec.json.decode(document, type=_Document)
    return deployment.Configuration(
        version=found.version,
        routes=tuple(_build_route(route) for route in found.routes),
        services={
            service.name: _build_service(service) for service in found.services
        },
        limits=deployment.Limits(
            head_bytes=found.limits.head_bytes,
            body_bytes=found.limits.body_bytes,
            head_seconds=found.limits.head_ms / MILLISECONDS_PER_SECOND,
            idle_seconds=found.limits.idle_ms / MILLISECONDS_PER_SECOND,
        ),
        customers={
            key: deployment.Customer(
                name=customer.name, priority=customer.priority
            )
            for customer in found.customers or ()
            for key in customer.keys
        },
        requires_keys=found.customers is not None,
    )


def _build_route(route: _Route) -> deployment.Route:
    return deployment.Route(
        name=route.name,
        host=route.host,
        prefix=route.prefix,
        targets=_build_targets(route),
        retry_policy=_build_retry_policy(route),
        attempts=max(1, route.attempts),
        timeout=route.timeout_ms / MILLISECONDS_PER_SECOND,
        objective=route.objective_ms / MILLISECONDS_PER_SECOND,
        priority=route.priority,
        public=route.public,
        streams=route.kind == _STREAMING_KIND,
        longest_pause=route.pause_ms / MILLISECONDS_PER_SECOND,
    )


def _build_targets(route: _Route) -> tuple[deployment.Target, ...]:
    if route.split:
        return tuple(
            deployment.Target(service=share.service, weight=share.weight)
            for share in route.split
        )
    return (deployment.Target(service=route.service, weight=1.0),)


def _build_retry_policy(route: _Route) -> deployment.RetryPolicy:
    if route.kind == _IDEMPOTENT_KIND:
        return deployment.RetryPolicy.ALLOWED
    if route.kind == _STREAMING_KIND and route.resumable:
        return deployment.RetryPolicy.RESUMED
    return deployment.RetryPolicy.FORBIDDEN


def _build_service(service: _Service) -> deployment.Service:
    engine = service.engine
    return deployment.Service(
        name=service.name,
        connections=service.connections,
        engine=None if engine is None else _build_engine(engine),
        cold_start=_build_cold_start(service),
    )


def _build_cold_start(service: _Service) -> deployment.ColdStart | None:
    if service.cold_s <= 0.0 or service.cold_per_s <= 0.0:
        return None
    return deployment.ColdStart(
        seconds=service.cold_s, rate=service.cold_per_s
    )


def _build_engine(engine: _Engine) -> deployment.Engine:
    return deployment.Engine(
        slots=engine.slots,
        step=engine.step_ms / MILLISECONDS_PER_SECOND,
        step_per_request=engine.per_request_ms / MILLISECONDS_PER_SECOND,
        prompt_rate=engine.prompt_rate,
        mean_prompt_tokens=int(engine.usual.prompt),
        mean_answer_tokens=int(engine.usual.answer),
        layers=engine.layers,
        experts=engine.experts,
        places=engine.places,
        spare=engine.spare,
        expert_bytes=engine.expert_mb * BYTES_PER_MEGABYTE,
        link_rate=engine.link_mbps * BYTES_PER_MEGABIT,
        expert_share=engine.expert_share,
        stride=max(1, engine.stride),
    )
