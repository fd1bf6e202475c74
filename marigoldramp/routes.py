"""Which service a request belongs to, by the routes of the bundle."""

import dataclasses

import msgspec

from . import asgi
from . import bundle
from . import outcomes

PREFIX_MARK = '/*'
MODELS_PATH = '/v1/models'


class ChatFacts(msgspec.Struct, frozen=True, kw_only=True):
    """What is read from the body of a model call; the rest is the engine's.

    :ivar max_tokens: most tokens that the caller asks for.
    """

    model: str = ''
    stream: bool = False
    max_tokens: int | None = None
    max_completion_tokens: int | None = None

    @property
    def tokens(self) -> int:
        """Most tokens that the call can generate, 0 if it does not say."""
        return self.max_completion_tokens or self.max_tokens or 0


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Matched:
    """A request's route and service.

    :ivar facts: read from the body where the service is a model.
    """

    route: bundle.Route
    service: bundle.Service
    facts: ChatFacts | None


class RouteTable:
    """Routes of one bundle, exact paths before prefixes, longest first."""

    __slots__ = ('_exact', '_prefixes', '_services', '_decoder')

    def __init__(self, *, config: bundle.Bundle) -> None:
        self._services = {one.name: one for one in config.services}
        self._exact: dict[str, list[bundle.Route]] = {}
        self._prefixes: list[bundle.Route] = []
        self._decoder = msgspec.json.Decoder(ChatFacts)
        for route in config.routes:
            if route.path.endswith(PREFIX_MARK):
                self._prefixes.append(route)
            else:
                name = _name(route.method, route.path)
                self._exact.setdefault(name, []).append(route)
        self._prefixes.sort(key=lambda route: -len(route.path))

    def match(
        self, *, request: asgi.Request, body: bytes
    ) -> Matched | outcomes.NotRun:
        """Return the route of a request."""
        found = self._find(request)
        if not found:
            return outcomes.NotRun(
                reason=outcomes.Reason.UNKNOWN_ROUTE,
                detail=f'no route for {request.method} {request.path}',
            )
        if not any(self._is_model(route) for route in found):
            return self._pick(found[0], None)
        return self._match_model(found, body)

    def models(self, allowed: tuple[str, ...]) -> tuple[str, ...]:
        """Return the names of the models among the allowed services."""
        return tuple(
            one.model
            for one in self._services.values()
            if one.model and one.name in allowed
        )

    def non_idempotent(
        self, allowed: tuple[str, ...]
    ) -> tuple[bundle.Service, ...]:
        """Return the allowed services that some route marks so."""
        routes = [*self._prefixes]
        for same in self._exact.values():
            routes.extend(same)
        names = {one.service for one in routes if not one.idempotent}
        return tuple(
            self._services[name] for name in sorted(names & set(allowed))
        )

    def _find(self, request: asgi.Request) -> list[bundle.Route]:
        exact = self._exact.get(_name(request.method, request.path))
        if exact:
            return exact
        for route in self._prefixes:
            if route.method not in (request.method, '*'):
                continue
            if request.path.startswith(route.path[: -len('*')]):
                return [route]
        return []

    def _is_model(self, route: bundle.Route) -> bool:
        return bool(route.model or self._services[route.service].model)

    def _match_model(
        self, found: list[bundle.Route], body: bytes
    ) -> Matched | outcomes.NotRun:
        try:
            facts = self._decoder.decode(body)
        except msgspec.MsgspecError as error:
            return outcomes.NotRun(
                reason=outcomes.Reason.MALFORMED,
                detail=f'the body is not a chat request: {error}',
            )
        for route in found:
            model = route.model or self._services[route.service].model
            if model == facts.model:
                return self._pick(route, facts)
        return outcomes.NotRun(
            reason=outcomes.Reason.UNKNOWN_ROUTE,
            detail=f'no route for the model {facts.model!r}',
        )

    def _pick(self, route: bundle.Route, facts: ChatFacts | None) -> Matched:
        return Matched(
            route=route, service=self._services[route.service], facts=facts
        )


def _name(method: str, path: str) -> str:
    return f'{method} {path}'
