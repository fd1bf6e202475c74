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


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class _Member:
    """What one start of an endpoint has said of its group."""

    born: int
    group: str
    size: int


class GroupMembers:
    """The groups of ranks that reports of endpoints show."""

    __slots__ = ('_api', '_table', '_members', '_groups', '_first_seen')

    def __init__(
        self, *, api: ranks.RankApi, table: endpoints.EndpointTable
    ) -> None:
        self._api = api
        self._table = table
        self._members: dict[str, dict[str, _Member]] = {}
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

    async def refresh(self, service: str) -> None:
        """Ask the endpoints for their groups that have not said so yet.

        While endpoints start one after the other, asking all of them at each
        change were half of the questions that a large group gets in a day.
        """
        known = self._drop_replaced(self._table.list_for_service(service))
        names = {one.identity for one in known}
        members = self._members.setdefault(service, {})
        gone = set(members) - names
        for name in gone:
            del members[name]
        new = [one for one in known if not _is_asked(one, members)]
        async with anyio.create_task_group() as tasks:
            for endpoint in new:
                tasks.start_soon(self._ask, endpoint, members)
        if new or gone:
            self._group(service, members)

    async def _ask(
        self, endpoint: endpoints.Endpoint, members: dict[str, _Member]
    ) -> None:
        report = await self._api.report(
            address=endpoint.address, identity=endpoint.identity
        )
        if not isinstance(report, ranks.NoReply):
            members[endpoint.identity] = _Member(
                born=endpoint.record.born,
                group=report.group,
                size=report.size,
            )

    def _group(self, service: str, members: dict[str, _Member]) -> None:
        """Sort the members of a service by their groups."""
        found: dict[str, list[str]] = {}
        sizes: dict[str, int] = {}
        for identity, member in members.items():
            found.setdefault(member.group, []).append(identity)
            sizes[member.group] = member.size
        for name, identities in found.items():
            if name:
                self._groups[name] = Group(
                    name=name,
                    service=service,
                    size=sizes[name],
                    members=tuple(sorted(identities)),
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


def _is_asked(
    endpoint: endpoints.Endpoint, members: dict[str, _Member]
) -> bool:
    """Whether this start of an endpoint has said which group it is in."""
    member = members.get(endpoint.identity)
    return member is not None and member.born == endpoint.record.born
