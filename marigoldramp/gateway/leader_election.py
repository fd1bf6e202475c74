"""Elects a gateway as the leader of each group of ranks.

A leader holds a lease in the store, whose fencing number makes ranks refuse an
older leader; for ranks that check no number, see
:mod:`marigoldramp.map_decisions_unfenced`.  Contending for a lease costs store
calls, so only one gateway contends: the first in an order on which all agree,
among those that are heard and eligible, and only while no gateway reports that
it leads.  Where gateways disagree about which one is first, the lease decides.
"""

from typing import Callable
from typing import Iterable

from absl import logging
import anyio
import anyio.abc

from .. import expert_maps
from .. import leases
from .. import logs
from .. import map_client
from .. import map_leader
from .. import map_reconciliation
from .. import rendezvous
from .. import store as store_module
from .. import supervision
from . import deployment
from . import expert_planner
from . import group_lease
from . import group_members
from . import rank_transport
from . import ranks
from .balancing import endpoints
from .queueing import pass_times

#: Interval between checks of which gateway should lead.
CHECK_INTERVAL_SECONDS = 0.2
#: Duration of a lease, and interval between its renewals.
LEASE_SECONDS = 3.0
RENEW_INTERVAL_SECONDS = 1.2
#: Time for which the holder of a lease has to report that it does not lead
#: before others assume that it took the lease before a restart.  Reports are
#: more frequent.
MIN_NOT_LEADING_SECONDS = 0.4
#: Time without a reply from the ranks after which a leader lets another
#: gateway try, and time for which it then does not contend itself.
MAX_UNREACHED_SECONDS = 3.0
INELIGIBLE_SECONDS = 10.0
#: Time for which a gateway does not contend after its leader has failed, long
#: enough for another one to take the lead.
FAILED_INELIGIBLE_SECONDS = 2.0
#: Timing of a leader, see :class:`.map_reconciliation.Timing`; its planner
#: waits in addition.
TIMING = map_reconciliation.Timing(
    poll_seconds=0.1,
    retry_seconds=0.15,
    contend_seconds=0.5,
    lead_steps=8,
)


class _Candidacy:
    """A lease held or contended for by this gateway, with its leader."""

    __slots__ = ('group', 'leader', 'lease', 'scope', 'unreached_since')

    def __init__(
        self,
        *,
        group: group_members.Group,
        leader: map_leader.Leader,
        lease: group_lease.GroupLease,
    ) -> None:
        self.group = group
        self.leader = leader
        self.lease = lease
        self.scope = anyio.CancelScope()
        self.unreached_since = float('inf')


class LeaderElector:
    """Contends for the leadership of groups and runs their leaders.

    :param services: returns the services now configured.
    :param fenced: whether ranks refuse orders of older leaders.
    :param eligible_peers: returns the gateways that are heard and eligible,
        without those much weaker than the strongest.
    :param has_stronger_peer: whether one of them is much stronger than this
        gateway.
    :param pause_share: returns the pauses of a service's streams, as a part of
        the accepted ones.
    :param passes: returns how long the passes of a service's group last.
    :param concurrency_limit: returns how many requests an endpoint of a
        service may run, by its slots.
    :param led_by_peers: returns the groups that peers report to lead.
    :param denies_leading: whether a gateway reports that it does not lead a
        group.
    :param is_gone: whether a gateway is assumed to have ended.  The next
        leader then does not wait for its lease to expire, as ranks never use
        different maps even with two leaders at once.
    :param is_store_reachable: whether the store answers this gateway.
    """

    __slots__ = (
        '_instance',
        '_table',
        '_services',
        '_fenced',
        '_eligible_peers',
        '_has_stronger_peer',
        '_led_by_peers',
        '_denies_leading',
        '_is_gone',
        '_not_leading_since',
        '_pause_share',
        '_passes',
        '_concurrency_limit',
        '_api',
        '_store',
        '_is_store_reachable',
        '_clock',
        '_candidacies',
        '_groups',
        '_ineligible_until',
        '_looked_at',
        '_stopping',
    )

    def __init__(
        self,
        *,
        instance: str,
        table: endpoints.EndpointTable,
        services: Callable[[], Iterable[deployment.Service]],
        fenced: Callable[[], bool],
        eligible_peers: Callable[[], Iterable[str]],
        led_by_peers: Callable[[], frozenset[str]],
        denies_leading: Callable[[str, str], bool],
        is_gone: Callable[[str], bool],
        pause_share: Callable[[str], float],
        passes: Callable[[str], pass_times.PassTimes],
        concurrency_limit: Callable[[str, float], float],
        api: ranks.RankApi,
        store: store_module.PlatformStore,
        is_store_reachable: Callable[[], bool],
        clock: Callable[[], float],
        has_stronger_peer: Callable[[], bool] = lambda: False,
    ) -> None:
        self._instance = instance
        self._table = table
        self._services = services
        self._fenced = fenced
        self._eligible_peers = eligible_peers
        self._has_stronger_peer = has_stronger_peer
        self._led_by_peers = led_by_peers
        self._denies_leading = denies_leading
        self._is_gone = is_gone
        self._not_leading_since: dict[str, float] = {}
        self._pause_share = pause_share
        self._passes = passes
        self._concurrency_limit = concurrency_limit
        self._api = api
        self._store = store
        self._is_store_reachable = is_store_reachable
        self._clock = clock
        self._candidacies: dict[str, _Candidacy] = {}
        self._groups = group_members.GroupMembers(api=api, table=table)
        self._ineligible_until = float('-inf')
        self._looked_at = float('-inf')
        self._stopping = False

    @property
    def eligible(self) -> bool:
        """Whether this gateway may lead; reported to peers.

        A gateway that the store rejects could not take the lease, and would
        keep others from contending.
        """
        if self._stopping or not self._is_store_reachable():
            return False
        return self._clock() >= self._ineligible_until

    def led_groups(self) -> tuple[str, ...]:
        """Return the groups that this gateway leads.

        A group whose ranks know a newer leader is left out, even if the lease
        still seems to be held because the store is unavailable.
        """
        return tuple(
            name
            for name, candidacy in self._candidacies.items()
            if candidacy.lease.held()
            and candidacy.leader.failure is not map_client.Failure.DEPOSED
        )

    async def run(self) -> None:
        """Contend for groups and lead them until cancelled."""
        async with anyio.create_task_group() as tasks:
            while True:
                await anyio.sleep(CHECK_INTERVAL_SECONDS)
                for service in self._services():
                    engine = service.engine
                    if engine is not None and engine.layers:
                        await self._check_service(service.name, engine, tasks)

    async def stop(self) -> None:
        """Settle the groups that are led here and release their leases."""
        self._stopping = True
        async with anyio.create_task_group() as tasks:
            for candidacy in list(self._candidacies.values()):
                if candidacy.lease.held():
                    tasks.start_soon(candidacy.leader.resign)
                else:
                    candidacy.scope.cancel()

    async def _check_service(
        self,
        service: str,
        engine: deployment.Engine,
        tasks: anyio.abc.TaskGroup,
    ) -> None:
        """Start or end candidacies for the groups of a service."""
        self._withdraw_candidacies()
        is_first = self._is_first(service)
        if is_first or self._leads_in(service):
            # A leader also has to learn of new and removed endpoints, even
            # when another gateway is the first by now.
            await self._groups.refresh(service)
        if not is_first:
            return
        led_by_peers = self._led_by_peers()
        for group in self._groups:
            if group.service != service or group.name in self._candidacies:
                continue
            if group.name not in led_by_peers:
                self._start_candidacy(group, engine, tasks)

    def _is_first(self, service: str) -> bool:
        """Return whether this gateway is the first, which contends."""
        if not self.eligible or self._has_stronger_peer():
            return False
        names = {self._instance, *self._eligible_peers()}
        first = rendezvous.choose(key=service, names=names, count=1)
        return first == (self._instance,)

    def _leads_in(self, service: str) -> bool:
        return any(
            candidacy.group.service == service
            for candidacy in self._candidacies.values()
        )

    def _withdraw_candidacies(self) -> None:
        """Stop contending where a peer leads or this gateway cannot lead."""
        led_by_peers = self._led_by_peers()
        now = self._clock()
        for name, candidacy in list(self._candidacies.items()):
            held = candidacy.lease.held()
            if not held and (name in led_by_peers or not self.eligible):
                candidacy.scope.cancel()
                continue
            failure = candidacy.leader.failure
            if failure is not map_client.Failure.UNREACHED:
                candidacy.unreached_since = float('inf')
                continue
            candidacy.unreached_since = min(candidacy.unreached_since, now)
            if now - candidacy.unreached_since > MAX_UNREACHED_SECONDS:
                logging.info(
                    'ranks not reached', extra=logs.fields(group=name)
                )
                self._ineligible_until = now + INELIGIBLE_SECONDS
                candidacy.scope.cancel()

    def _start_candidacy(
        self,
        group: group_members.Group,
        engine: deployment.Engine,
        tasks: anyio.abc.TaskGroup,
    ) -> None:
        shape = expert_maps.Shape(
            ranks=group.size,
            experts=engine.experts,
            layers=engine.layers,
            slots=engine.places,
        )
        lease = group_lease.GroupLease(
            lease=leases.Lease(
                store=self._store,
                name=f'group-{group.name}',
                holder=self._instance,
                seconds=LEASE_SECONDS,
                clock=self._clock,
                is_gone=lambda holder: self._has_ended(group.name, holder),
            ),
            led_by_peers=lambda: group.name in self._led_by_peers(),
        )
        fenced = self._fenced()
        transport = rank_transport.RankTransport(
            api=self._api,
            group=group.name,
            shape=shape,
            find_endpoint=self._table.find,
            clock=self._clock,
            fenced=fenced,
        )
        leader = map_leader.Leader(
            group=group.name,
            instance=self._instance,
            shape=shape,
            agents=lambda: self._list_members(group.name),
            transport=transport,
            lease=lease,
            renew_seconds=RENEW_INTERVAL_SECONDS,
            planner=expert_planner.ExpertPlanner(
                api=self._api,
                shape=shape,
                max_new_experts=engine.spare,
                slots=engine.slots,
                copy_seconds=_estimate_copy_seconds(engine),
                find_endpoint=self._table.find,
                utilization=lambda: self._compute_utilization(group),
                passes=self._passes(group.service),
                slow_ranks=transport.slow_ranks,
                clock=self._clock,
            ),
            clock=self._clock,
            timing=TIMING,
            fenced=fenced,
        )
        candidacy = _Candidacy(group=group, leader=leader, lease=lease)
        self._candidacies[group.name] = candidacy
        logging.info('contending', extra=logs.fields(group=group.name))
        tasks.start_soon(self._run_candidacy, candidacy)

    def _has_ended(self, group: str, holder: str) -> bool:
        """Return whether the holder of a group's lease no longer leads.

        After a restart of all gateways, each lease names a holder that does
        not know of it.  Waiting for the lease to expire would leave the group
        its initial map for three seconds, while all callers come back at once.
        """
        if holder == self._instance:
            # A lease recognises writes of its own process, so this one is
            # from before a restart.
            return True
        if self._is_gone(holder):
            return True
        now = self._clock()
        if not self._denies_leading(holder, group):
            self._not_leading_since.pop(group, None)
            return False
        return (
            now - self._not_leading_since.setdefault(group, now)
            >= MIN_NOT_LEADING_SECONDS
        )

    def _list_members(self, name: str) -> tuple[str, ...]:
        """Return the endpoints of a group that are still known."""
        return tuple(
            endpoint.identity for endpoint in self._groups.list_known(name)
        )

    def _compute_utilization(self, group: group_members.Group) -> float:
        """Return the utilization by concurrent requests and by pauses."""
        members = self._groups.list_known(group.name)
        service = group.service
        capacity = sum(
            self._concurrency_limit(service, endpoint.record.slots)
            for endpoint in members
        )
        if not capacity:
            return 0.0
        used = sum(endpoint.in_flight for endpoint in members) / capacity
        return max(used, self._pause_share(service))

    async def _run_candidacy(self, candidacy: _Candidacy) -> None:
        try:
            with candidacy.scope:
                await self._run_leader(candidacy.leader)
        finally:
            self._candidacies.pop(candidacy.group.name, None)
            logging.info(
                'no longer contending',
                extra=logs.fields(group=candidacy.group.name),
            )

    async def _run_leader(self, leader: map_leader.Leader) -> None:
        """Run a leader; let another gateway try if it fails."""
        if not await supervision.run_contained(leader.run):
            self._ineligible_until = max(
                self._ineligible_until,
                self._clock() + FAILED_INELIGIBLE_SECONDS,
            )


def _estimate_copy_seconds(engine: deployment.Engine) -> float:
    """Return the seconds in which a rank copies an expert, 0 if unknown."""
    if not engine.link_rate:
        return 0.0
    return engine.expert_bytes / engine.link_rate
