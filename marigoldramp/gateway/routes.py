"""Finds the route of a request by its host and longest path prefix."""

import random as random_module
from typing import Iterable

from . import deployment


class RouteTable:
    """Routes of one configuration by host and path prefix.

    A deployment may have hundreds of routes, so a lookup tries each prefix of
    the path instead of each route.
    """

    __slots__ = ('_by_host', '_accepted_pauses', '_priorities')

    def __init__(self, *, routes: Iterable[deployment.Route]) -> None:
        self._by_host: dict[str, dict[str, deployment.Route]] = {}
        self._accepted_pauses: dict[str, float] = {}
        self._priorities: dict[str, frozenset[int]] = {}
        for route in routes:
            for target in route.targets:
                self._priorities[target.service] = self.priorities(
                    target.service
                ) | {route.priority}
            prefixes = self._by_host.setdefault(route.host.lower(), {})
            prefixes[route.prefix] = route
            if route.longest_pause:
                self._record_accepted_pause(route)

    def accepted_pause(self, service: str) -> float:
        """Return the shortest accepted pause of a service's routes.

        It is in seconds; return 0 if no route of the service has one.
        """
        return self._accepted_pauses.get(service, 0.0)

    def priorities(self, service: str) -> frozenset[int]:
        """Return the priorities of a service's routes."""
        return self._priorities.get(service, frozenset())

    def _record_accepted_pause(self, route: deployment.Route) -> None:
        for target in route.targets:
            known = self._accepted_pauses.get(target.service)
            self._accepted_pauses[target.service] = min(
                route.longest_pause, known or route.longest_pause
            )

    def find(self, *, host: str, path: str) -> deployment.Route | None:
        """Return the route of a request, ``None`` if there is none.

        :param host: the host header; a port is ignored.
        :param path: the path without the query.
        """
        prefixes = self._by_host.get(host.partition(':')[0].lower())
        if prefixes is None:
            return None
        end = path.rfind('/')
        while end >= 0:
            route = prefixes.get(path[: end + 1])
            if route is not None:
                return route
            end = path.rfind('/', 0, end)
        return None


def pick_service(
    *, route: deployment.Route, random: random_module.Random
) -> str:
    """Return a service of the route, chosen at random by weight."""
    if len(route.targets) == 1:
        return route.targets[0].service
    weights = [target.weight for target in route.targets]
    if sum(weights) <= 0.0:
        return route.targets[0].service
    return random.choices(route.targets, weights)[0].service
