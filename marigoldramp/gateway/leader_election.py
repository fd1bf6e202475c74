"""Has one entry lead each group of ranks.

Leading is under a lease in the store, whose number makes ranks refuse an
older leader; where ranks check no number, see
:mod:`marigoldramp.map_decisions_unfenced`.  Contending for a lease costs
calls of the store, so only one entry contends: the first in an order on which
all agree, among those that are heard and fit, and only while nobody says that
it leads.
Where entries disagree about who that is, the lease decides.
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
from . import deployment
from . import endpoints
from . import expert_planner
from . import group_lease
from . import group_members
from . import pass_times
from . import rank_transport
from . import ranks

#: Seconds between two looks at who should lead.
LOOK_EVERY = 0.2
#: Seconds for which a renewal of a lease lasts, and between two renewals.
LEASE_SECONDS = 3.0
RENEW_SECONDS = 1.2
#: Seconds for which the holder of a lease must say that it does not lead
#: before its lease counts as one of an earlier start; reports come more often.
IDLE_SECONDS = 0.4
#: Seconds without the ranks after which a leader lets another one try, and
#: for which it does not try again itself.
UNREACHED_SECONDS = 3.0
UNFIT_SECONDS = 10.0
#: Times of a leader, see :class:`.map_reconciliation.Timing`; the planner
#: waits too.
TIMING = map_reconciliation.Timing(
    poll_seconds=0.1,
    retry_seconds=0.15,
    contend_seconds=0.5,
    lead_steps=8,
)


class _Office:
    """The leadership of one group, held or contended for by us."""

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
    """The part that one entry takes in leading groups.

    :param services: returns the services now configured.
    :param fenced: whether ranks refuse orders of older leaders.
    :param eligible_peers: returns the entries that are heard and fit to lead,
        and about as strong as any.
    :param has_stronger_peer: whether one of them can do much more than we.
    :param pause_share: returns the pauses of a service's streams, as a part of
        the accepted ones.
    :param passes: returns how long the passes of a service's group last.
    :param concurrency_limit: returns how many requests an endpoint of a
        service may run, by its slots.
    :param led_by_peers: returns the groups that peers say they lead.
    :param denies_leading: whether an entry says that it does not lead a group.
    :param is_gone: whether an entry is taken to have ended; the next leader
        does not wait for the end of its lease then, as two leaders at once
        part no ranks.
    :param is_store_reachable: whether the store answers us.
    :ivar eligible: we may lead; told to peers.
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
        '_idle_since',
        '_pause_share',
        '_passes',
        '_concurrency_limit',
        '_api',
        '_store',
        '_is_store_reachable',
        '_clock',
        '_offices',
        '_groups',
        '_unfit_until',
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
        self._idle_since: dict[str, float] = {}
        self._pause_share = pause_share
        self._passes = passes
        self._concurrency_limit = concurrency_limit
        self._api = api
        self._store = store
        self._is_store_reachable = is_store_reachable
        self._clock = clock
        self._offices: dict[str, _Office] = {}
        self._groups = group_members.GroupMembers(api=api, table=table)
        self._unfit_until = float('-inf')
        self._looked_at = float('-inf')
        self._stopping = False

    @property
    def eligible(self) -> bool:
        """Whether we may lead.

        One that the store turns away would keep others from contending, and
        could not take the lease.
        """
        if self._stopping or not self._is_store_reachable():
            return False
        return self._clock() >= self._unfit_until

    def led_groups(self) -> tuple[str, ...]:
        """Return the groups that we lead.

        One whose ranks know a newer leader is not ours, though the store
        may be away and not tell us so.
        """
        return tuple(
            name
            for name, office in self._offices.items()
            if office.lease.held()
            and office.leader.failure is not map_client.Failure.DEPOSED
        )

    async def run(self) -> None:
        """Lead what falls to us until cancelled."""
        async with anyio.create_task_group() as tasks:
            while True:
                await anyio.sleep(LOOK_EVERY)
                for service in self._services():
                    engine = service.engine
                    if engine is not None and engine.layers:
                        await self._look(service.name, engine, tasks)

    async def stop(self) -> None:
        """Settle the groups that we lead and give the leases up."""
        self._stopping = True
        async with anyio.create_task_group() as tasks:
            for office in list(self._offices.values()):
                if office.lease.held():
                    tasks.start_soon(office.leader.resign)
                else:
                    office.scope.cancel()

    async def _look(
        self,
        service: str,
        engine: deployment.Engine,
        tasks: anyio.abc.TaskGroup,
    ) -> None:
        """Begin or end to contend for the groups of a service."""
        self._leave_offices()
        is_first = self._is_first(service)
        if is_first or self._leads_in(service):
            # Endpoints come and go for a leader too, also when another entry
            # has come that would be the first now.
            await self._groups.refresh(service)
        if not is_first:
            return
        elsewhere = self._led_by_peers()
        for group in self._groups:
            if group.service != service or group.name in self._offices:
                continue
            if group.name not in elsewhere:
                self._begin(group, engine, tasks)

    def _is_first(self, service: str) -> bool:
        """Whether it falls to us to contend."""
        if not self.eligible or self._has_stronger_peer():
            return False
        names = {self._instance, *self._eligible_peers()}
        first = rendezvous.choose(key=service, names=names, count=1)
        return first == (self._instance,)

    def _leads_in(self, service: str) -> bool:
        return any(
            office.group.service == service
            for office in self._offices.values()
        )

    def _leave_offices(self) -> None:
        """Stop contending where another leads, or where we cannot lead."""
        elsewhere = self._led_by_peers()
        now = self._clock()
        for name, office in list(self._offices.items()):
            held = office.lease.held()
            if not held and (name in elsewhere or not self.eligible):
                office.scope.cancel()
                continue
            failure = office.leader.failure
            if failure is not map_client.Failure.UNREACHED:
                office.unreached_since = float('inf')
                continue
            office.unreached_since = min(office.unreached_since, now)
            if now - office.unreached_since > UNREACHED_SECONDS:
                logging.info(
                    'ranks not reached', extra=logs.fields(group=name)
                )
                self._unfit_until = now + UNFIT_SECONDS
                office.scope.cancel()

    def _begin(
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
            find=self._table.find,
            clock=self._clock,
            fenced=fenced,
        )
        leader = map_leader.Leader(
            group=group.name,
            instance=self._instance,
            shape=shape,
            agents=lambda: self._agents(group.name),
            transport=transport,
            lease=lease,
            renew_seconds=RENEW_SECONDS,
            planner=expert_planner.ExpertPlanner(
                api=self._api,
                shape=shape,
                spare=engine.spare,
                slots=engine.slots,
                seconds_a_copy=_time_copy(engine),
                find=self._table.find,
                use=lambda: self._use(group),
                passes=self._passes(group.service),
                slow_ranks=transport.slow_ranks,
                clock=self._clock,
            ),
            clock=self._clock,
            timing=TIMING,
            fenced=fenced,
        )
        office = _Office(group=group, leader=leader, lease=lease)
        self._offices[group.name] = office
        logging.info('contending', extra=logs.fields(group=group.name))
        tasks.start_soon(self._hold, office)

    def _has_ended(self, group: str, holder: str) -> bool:
        """Whether the holder of a group's lease no longer leads.

        After a restart of all entries each lease is still held by one that
        has forgotten it.  Left to lapse, the group would keep its first map
        for three seconds in which everybody comes back at once.
        """
        if holder == self._instance:
            # An earlier start of ours; our own writes are recognised before.
            return True
        if self._is_gone(holder):
            return True
        now = self._clock()
        if not self._denies_leading(holder, group):
            self._idle_since.pop(group, None)
            return False
        return now - self._idle_since.setdefault(group, now) >= IDLE_SECONDS

    def _agents(self, name: str) -> tuple[str, ...]:
        """Return the endpoints of a group that are still known."""
        return tuple(one.identity for one in self._groups.list_known(name))

    def _use(self, group: group_members.Group) -> float:
        """Return the use of a group, by its slots and by its pauses."""
        members = self._groups.list_known(group.name)
        service = group.service
        room = sum(
            self._concurrency_limit(service, endpoint.record.slots)
            for endpoint in members
        )
        if not room:
            return 0.0
        used = sum(endpoint.in_flight for endpoint in members) / room
        return max(used, self._pause_share(service))

    async def _hold(self, office: _Office) -> None:
        try:
            with office.scope:
                await office.leader.run()
        finally:
            self._offices.pop(office.group.name, None)
            logging.info(
                'no longer contending',
                extra=logs.fields(group=office.group.name),
            )


def _time_copy(engine: deployment.Engine) -> float:
    """Return the seconds in which a rank copies an expert, 0 if unknown."""
    if not engine.link_rate:
        return 0.0
    return engine.expert_bytes / engine.link_rate
