"""Finds the groups of ranks and the endpoints that are their members."""

from typing import Iterator

import anyio
import msgspec

from . import outbound
from . import ranks
from .balancing import endpoints


class Group(msgspec.Struct, frozen=True, kw_only=True):
    """A group of ranks, as reported by its members.

    :ivar size: number of its ranks.
    :ivar members: names of the endpoints that run its ranks.
    """

    name: str
    service: str
    size: int
    members: tuple[str, ...]


class _Membership(msgspec.Struct, frozen=True, kw_only=True):
    """The group of an endpoint, as reported since its last start.

    :ivar born: identifies the start.
    """

    born: int
    group: str
    size: int


class GroupMembers:
    """The groups of ranks that endpoints report."""

    __slots__ = ('_api', '_table', '_members', '_groups', '_seen_order')

    def __init__(
        self, *, api: ranks.RankApi, table: endpoints.EndpointTable
    ) -> None:
        self._api = api
        self._table = table
        self._members: dict[str, dict[str, _Membership]] = {}
        self._groups: dict[str, Group] = {}
        self._seen_order: dict[str, int] = {}

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

        Endpoints start one after the other.  Asking all of them whenever one
        starts would be half of the queries that a large group gets in a day.
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
        at the same address, the new process answers for both registrations.
        Two endpoints would seem to run one rank, and the group would not be
        led until the old registration expires.
        """
        newest: dict[outbound.Address, endpoints.Endpoint] = {}
        for endpoint in known:
            name = endpoint.identity
            self._seen_order.setdefault(name, len(self._seen_order))
            other = newest.setdefault(endpoint.address, endpoint)
            if self._start_order(other) < self._start_order(endpoint):
                newest[endpoint.address] = endpoint
        return list(newest.values())

    def _start_order(self, endpoint: endpoints.Endpoint) -> tuple[int, int]:
        """Return a sort key: endpoints that started later come last."""
        seen_order = self._seen_order[endpoint.identity]
        return endpoint.record.born, seen_order


def _has_reported(
    endpoint: endpoints.Endpoint, members: dict[str, _Membership]
) -> bool:
    """Return whether an endpoint reported its group since its last start."""
    member = members.get(endpoint.identity)
    return member is not None and member.born == endpoint.record.born
