"""Finds the groups of ranks and the endpoints that are their members."""

import dataclasses
from typing import Iterator

import anyio

from . import endpoints
from . import outbound
from . import ranks


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Group:
    """A group of ranks, as reported by its members.

    :ivar size: number of its ranks.
    :ivar members: names of the endpoints that run its ranks.
    """

    name: str
    service: str
    size: int
    members: tuple[str, ...]


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class _Membership:
    """The group of an endpoint, as reported since its last start.

    :ivar born: identifies the start.
    """

    born: int
    group: str
    size: int


class GroupMembers:
    """The groups of ranks that endpoints report."""

    __slots__ = ('_api', '_table', '_members', '_groups', '_first_seen')

    def __init__(
        self, *, api: ranks.RankApi, table: endpoints.EndpointTable
    ) -> None:
        self._api = api
        self._table = table
        self._members: dict[str, dict[str, _Membership]] = {}
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
        """Request the group of each endpoint that has not reported it yet.

        Asking all endpoints at each change, while they start one after the
        other, would be half of all requests to a large group in a day.
        """
        known = self._drop_replaced(self._table.list_for_service(service))
        names = {endpoint.identity for endpoint in known}
        members = self._members.setdefault(service, {})
        gone = set(members) - names
        for name in gone:
            del members[name]
        new = [
            endpoint
            for endpoint in known
            if not _has_reported(endpoint, members)
        ]
        async with anyio.create_task_group() as tasks:
            for endpoint in new:
                tasks.start_soon(self._fetch_membership, endpoint, members)
        if new or gone:
            self._update_groups(service, members)

    async def _fetch_membership(
        self, endpoint: endpoints.Endpoint, members: dict[str, _Membership]
    ) -> None:
        report = await self._api.report(
            address=endpoint.address, identity=endpoint.identity
        )
        if not isinstance(report, ranks.NoReply):
            members[endpoint.identity] = _Membership(
                born=endpoint.record.born,
                group=report.group,
                size=report.size,
            )

    def _update_groups(
        self, service: str, members: dict[str, _Membership]
    ) -> None:
        """Derive the groups of a service from its memberships."""
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

        A crashed endpoint stays registered for some seconds.  If it restarts
        at the same address, the new process answers for both, so that two
        endpoints seem to run one rank; the group would not be led until the
        old registration expires.
        """
        newest: dict[outbound.Address, endpoints.Endpoint] = {}
        for endpoint in known:
            name = endpoint.identity
            self._first_seen.setdefault(name, len(self._first_seen))
            other = newest.setdefault(endpoint.address, endpoint)
            if self._start_order(other) < self._start_order(endpoint):
                newest[endpoint.address] = endpoint
        return list(newest.values())

    def _start_order(self, endpoint: endpoints.Endpoint) -> tuple[int, int]:
        """Return the sort key of starts at one address."""
        first_seen = self._first_seen[endpoint.identity]
        return endpoint.record.born, first_seen


def _has_reported(
    endpoint: endpoints.Endpoint, members: dict[str, _Membership]
) -> bool:
    """Return whether an endpoint reported its group since its last start."""
    member = members.get(endpoint.identity)
    return member is not None and member.born == endpoint.record.born
