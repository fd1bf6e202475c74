"""Finds which endpoints carry the ranks of which groups."""

import dataclasses
from typing import Iterator

import anyio

from . import endpoints
from . import outbound
from . import ranks


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Group:
    """A group of ranks, as reports show it.

    :ivar members: names of the endpoints that carry its ranks.
    """

    name: str
    service: str
    size: int
    members: tuple[str, ...]


class GroupMembers:
    """The groups of ranks that reports of endpoints show."""

    __slots__ = ('_api', '_table', '_asked', '_groups', '_first_seen')

    def __init__(
        self, *, api: ranks.RankApi, table: endpoints.EndpointTable
    ) -> None:
        self._api = api
        self._table = table
        self._asked: dict[str, frozenset[str]] = {}
        self._groups: dict[str, Group] = {}
        self._first_seen: dict[str, int] = {}

    def __iter__(self) -> Iterator[Group]:
        return iter(list(self._groups.values()))

    def list_known(self, name: str) -> list[endpoints.Endpoint]:
        """Return the endpoints of a group that are still known."""
        return [
            endpoint
            for member in self._groups[name].members
            if (endpoint := self._table.find(member)) is not None
        ]

    async def look(self, service: str) -> None:
        """Ask endpoints for their groups when there are other ones."""
        known = self._drop_replaced(self._table.of_service(service))
        names = frozenset(one.identity for one in known)
        if names == self._asked.get(service):
            return
        found: dict[str, list[str]] = {}
        sizes: dict[str, int] = {}
        missing = False

        async def ask(endpoint: endpoints.Endpoint) -> None:
            nonlocal missing
            report = await self._api.report(
                address=endpoint.address, identity=endpoint.identity
            )
            if isinstance(report, ranks.NoReply):
                missing = True
                return
            found.setdefault(report.group, []).append(endpoint.identity)
            sizes[report.group] = report.size

        async with anyio.create_task_group() as tasks:
            for endpoint in known:
                tasks.start_soon(ask, endpoint)
        if not missing:
            self._asked[service] = names
        for name, members in found.items():
            if name:
                self._groups[name] = Group(
                    name=name,
                    service=service,
                    size=sizes[name],
                    members=tuple(sorted(members)),
                )

    def _drop_replaced(
        self, known: list[endpoints.Endpoint]
    ) -> list[endpoints.Endpoint]:
        """Return the newest endpoint at each address.

        The entry of one that has crashed stays for some seconds.  Another
        start at its address answers for both, seen as two endpoints that
        carry one rank, and a group that is not led until the entry lapses.
        """
        newest: dict[outbound.Address, endpoints.Endpoint] = {}
        for endpoint in known:
            name = endpoint.identity
            self._first_seen.setdefault(name, len(self._first_seen))
            other = newest.setdefault(endpoint.address, endpoint)
            if self._order_of(other) < self._order_of(endpoint):
                newest[endpoint.address] = endpoint
        return list(newest.values())

    def _order_of(self, endpoint: endpoints.Endpoint) -> tuple[int, int]:
        """Return by what starts at one address are ordered."""
        first_seen = self._first_seen[endpoint.identity]
        return endpoint.record.born, first_seen
