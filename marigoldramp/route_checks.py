"""Checks of a bundle's routes against each other and their services."""

import re
from typing import Sequence

from . import bundle
from . import documents
from . import findings

METHODS = (
    'GET',
    'HEAD',
    'POST',
    'PUT',
    'PATCH',
    'DELETE',
    'OPTIONS',
)
ANY_METHOD = '*'
PREFIX_MARK = '/*'
RESERVED = '/marigoldramp'

_SEGMENTS = re.compile(r"(?:/[A-Za-z0-9._~!$&'()+,;=:@%-]*)+")


def check(
    loaded: documents.Loaded[bundle.Bundle],
    services: Sequence[bundle.Service | None],
    routes: Sequence[bundle.Route | None],
) -> list[findings.Finding]:
    """Report faults of the sound routes."""
    checks = _Checks(loaded=loaded, services=services)
    for index, route in enumerate(routes):
        if route is None:
            continue
        checks.check_form(index, route)
        checks.check_deadlines(index, route)
        checks.check_service(index, route)
        checks.check_shadow(index, route)
    return checks.found


class _Checks:
    """Collects findings about routes, one after the other."""

    __slots__ = ('_before', '_loaded', '_services', 'found')

    def __init__(
        self,
        *,
        loaded: documents.Loaded[bundle.Bundle],
        services: Sequence[bundle.Service | None],
    ) -> None:
        self.found: list[findings.Finding] = []
        self._loaded = loaded
        self._services = {one.name: one for one in services if one is not None}
        self._before: list[tuple[int, bundle.Route]] = []

    def _find(self, message: str, index: int, field: str) -> None:
        self.found.append(
            self._loaded.finding(message, 'routes', index, field)
        )

    def check_form(self, index: int, route: bundle.Route) -> None:
        if route.method not in (*METHODS, ANY_METHOD):
            self._find(
                'must be one of ' + ', '.join((*METHODS, ANY_METHOD)),
                index,
                'method',
            )
        is_prefix = route.path.endswith(PREFIX_MARK)
        if route.method == ANY_METHOD and not is_prefix:
            self._find(
                'any method is possible only for a path that ends in /*',
                index,
                'method',
            )
        path = route.path[:-1] if is_prefix else route.path
        if not _SEGMENTS.fullmatch(path):
            self._find(
                'must begin with / and hold no blank, query or * but a '
                'last /*',
                index,
                'path',
            )
        if '//' in path or '/./' in f'{path}/' or '/../' in f'{path}/':
            self._find('must hold no empty or dotted segment', index, 'path')
        if f'{path}/'.startswith(f'{RESERVED}/'):
            self._find(f'{RESERVED} is served by the entry', index, 'path')

    def check_deadlines(self, index: int, route: bundle.Route) -> None:
        if route.default_deadline_seconds > route.longest_deadline_seconds:
            self._find(
                'must not exceed longest_deadline_seconds, which is '
                f'{route.longest_deadline_seconds:g}',
                index,
                'default_deadline_seconds',
            )

    def check_service(self, index: int, route: bundle.Route) -> None:
        service = self._services.get(route.service)
        if service is None:
            return
        if not route.idempotent and service.hedge_after_seconds:
            # The second attempt of a hedged call is a second run.
            self._find(
                f'the service {service.name!r} hedges its calls, so none of '
                'its routes may be non-idempotent',
                index,
                'idempotent',
            )
        if route.model and route.model != service.model:
            self._find(
                f'the service {service.name!r} has the model '
                f'{service.model!r}',
                index,
                'model',
            )

    def check_shadow(self, index: int, route: bundle.Route) -> None:
        for earlier, other in self._before:
            if self._shadows(other, route):
                line = self._loaded.place('routes', earlier).line
                self._find(
                    f'the route in line {line} takes all of its requests',
                    index,
                    'path',
                )
                break
        self._before.append((index, route))

    def _shadows(self, other: bundle.Route, route: bundle.Route) -> bool:
        if other.path != route.path:
            return False
        if other.method not in (route.method, ANY_METHOD):
            return False
        if route.path.endswith(PREFIX_MARK):
            return True
        return self._name_model(other) in ('', self._name_model(route))

    def _name_model(self, route: bundle.Route) -> str:
        service = self._services.get(route.service)
        return route.model or (service.model if service else '')
