"""Reads the operator's configuration from the platform's store."""

import msgspec

from .. import store
from ..gateway import configurations
from ..gateway import deployment
from . import objects

KEY = store.Key(kind='config', name='main')
MILLISECONDS_PER_SECOND = 1000.0
MEGABYTE = 1_000_000.0
MEGABIT = 125_000.0
#: Kinds of routes; a kind that is not known may not be repeated.
_IDEMPOTENT = 'idempotent'
_STREAMING = 'streaming'


class _Share(
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
    """A route has one service, or a split among several.

    :ivar attempts: endpoints on which one request may run.
    """

    name: str
    host: str
    prefix: str
    kind: str
    timeout_ms: float
    objective_ms: float = 0.0
    priority: int = 5
    service: str = ''
    split: list[_Share] | None = None
    attempts: int = 1
    public: bool = False
    resumable: bool = False
    pause_ms: float = 0.0


class _Usual(
    msgspec.Struct,
    kw_only=True,
    rename={'prompt': 'prompt', 'answer': 'answer'},
):
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
    """Figures of an engine; a layer is what the platform calls a set."""

    slots: int
    stride: int = 1
    step_ms: float = 0.0
    per_request_ms: float = 0.0
    prompt_rate: float = 0.0
    usual: _Usual = msgspec.field(default_factory=_Usual)
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
    },
):
    name: str
    connections: int = 0
    engine: _Engine | None = None


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


class Source(configurations.ConfigurationSource):
    """The operator's object in the store."""

    __slots__ = ('_store',)

    def __init__(self, *, objects: objects.ObjectStore) -> None:
        self._store = objects

    async def fetch(self) -> bytes | store.Absent | store.Unavailable:
        found = await self._store.read(key=KEY)
        if isinstance(found, store.Stored):
            return found.value
        return found

    def decode(self, document: bytes) -> deployment.Configuration:
        return decode(document)


def decode(document: bytes) -> deployment.Configuration:
    """Return the configuration in a document.

    :raises ValueError: it cannot be understood; the text names the place.
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
        retry_policy=_read_repeat(route),
        attempts=max(1, route.attempts),
        timeout=route.timeout_ms / MILLISECONDS_PER_SECOND,
        objective=route.objective_ms / MILLISECONDS_PER_SECOND,
        priority=route.priority,
        public=route.public,
        streams=route.kind == _STREAMING,
        longest_pause=route.pause_ms / MILLISECONDS_PER_SECOND,
    )


def _build_targets(route: _Route) -> tuple[deployment.Target, ...]:
    if route.split:
        return tuple(
            deployment.Target(service=share.service, weight=share.weight)
            for share in route.split
        )
    return (deployment.Target(service=route.service, weight=1.0),)


def _read_repeat(route: _Route) -> deployment.RetryPolicy:
    if route.kind == _IDEMPOTENT:
        return deployment.RetryPolicy.ALLOWED
    if route.kind == _STREAMING and route.resumable:
        return deployment.RetryPolicy.RESUMED
    return deployment.RetryPolicy.FORBIDDEN


def _build_service(service: _Service) -> deployment.Service:
    engine = service.engine
    return deployment.Service(
        name=service.name,
        connections=service.connections,
        engine=None if engine is None else _build_engine(engine),
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
        expert_bytes=engine.expert_mb * MEGABYTE,
        link_rate=engine.link_mbps * MEGABIT,
        expert_share=engine.expert_share,
        stride=max(1, engine.stride),
    )
