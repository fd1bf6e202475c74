"""Leads one rank group: makes the changes of its expert map, one at a time.

The leader holds the group's lease.  In a loop it brings all ranks to one map
(:mod:`.map_reconciliation`), asks the planner for a change and makes it
(:mod:`.map_changes`).  After a failed change reconciliation repairs the group.
"""

from typing import Awaitable
from typing import Callable
from typing import Protocol
from typing import Sequence

import anyio

from . import expert_maps
from . import map_changes
from . import map_client
from . import map_decisions
from . import map_decisions_unfenced
from . import map_reconciliation

Failure = map_client.Failure
Timing = map_reconciliation.Timing
Plan = map_changes.Plan


class Planner(Protocol):
    """Decides when to change the map, and to what."""

    async def plan(
        self,
        *,
        expert_map: expert_maps.ExpertMap,
        client: map_client.GroupClient,
    ) -> Plan | None:
        """Return the change to make now, if any."""

    def record_outcome(self, *, plan: Plan, done: bool) -> None:
        """Record whether a planned change took place."""


class Lease(Protocol):
    """What the leader needs of :class:`.leases.Lease`."""

    async def acquire(self) -> object:
        """Take the lease; the result has ``fence`` if it is held."""

    async def renew(self) -> object:
        """Extend the lease."""

    async def release(self) -> None:
        """Release the lease, so that others need not wait for it to lapse."""

    def held(self) -> bool:
        """Return whether it is still held, by the holder's own clock."""


class Leader:
    """Leads one group for as long as it holds the lease.

    :param agents: returns the names of the agents that run the group's ranks.
    :param renew_seconds: time between two renewals of the lease.
    :param fenced: whether ranks refuse orders of older leaders.
    :ivar client: the client of the current or last term, ``None`` before.
    """

    __slots__ = (
        '_group',
        '_instance',
        '_agents',
        '_transport',
        '_lease',
        '_renew_seconds',
        '_planner',
        '_timing',
        '_sleep',
        '_counters',
        '_reconciler',
        '_changer',
        '_current',
        '_resigning',
        '_is_leading',
        'client',
    )

    def __init__(
        self,
        *,
        group: str,
        instance: str,
        shape: expert_maps.Shape,
        agents: Callable[[], Sequence[str]],
        transport: map_client.Transport,
        lease: Lease,
        renew_seconds: float,
        planner: Planner,
        clock: Callable[[], float],
        timing: Timing | None = None,
        fenced: bool = True,
        sleep: Callable[[float], Awaitable[None]] = anyio.sleep,
    ) -> None:
        self._group = group
        self._instance = instance
        self._agents = agents
        self._transport = transport
        self._lease = lease
        self._renew_seconds = renew_seconds
        self._planner = planner
        self._timing = timing or Timing()
        self._sleep = sleep
        self._counters = map_client.Counters()
        self._reconciler = map_reconciliation.Reconciler(
            instance=instance,
            shape=shape,
            timing=self._timing,
            decide=(
                map_decisions.decide
                if fenced
                else map_decisions_unfenced.decide
            ),
            sleep=sleep,
        )
        self._changer = map_changes.MapChanger(
            instance=instance,
            timing=self._timing,
            clock=clock,
            may_continue=lease.held,
            fenced=fenced,
            sleep=sleep,
        )
        self._current: expert_maps.ExpertMap | None = None
        self._resigning = False
        self._is_leading = False
        self.client: map_client.GroupClient | None = None

    @property
    def decision(self) -> map_reconciliation.Decision | None:
        """Return the latest decision of the reconciliation loop."""
        return self._reconciler.decision

    @property
    def failure(self) -> Failure | None:
        """Return why the last inspection or order failed, if it did."""
        return self._reconciler.failure

    async def run(self) -> None:
        """Contend for the lease, and lead while it is held, until resigned."""
        while not self._resigning:
            taken = await self._lease.acquire()
            fence = getattr(taken, 'fence', None)
            if fence is not None:
                await self._lead_and_renew(fence)
            await self._sleep(self._timing.contend_seconds)

    async def resign(self) -> None:
        """Stop leading once the group is reconciled; release the lease.

        A leader that simply stopped in the middle of a change would leave a
        rank held.  The whole group and all its streams would wait until the
        lease has lapsed and the next leader has found the held rank.
        """
        self._resigning = True
        while self._is_leading:
            await self._sleep(self._timing.retry_seconds)

    async def _lead_and_renew(self, fence: int) -> None:
        self._is_leading = True
        try:
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(self._renew)
                await self._lead(fence)
                tasks.cancel_scope.cancel()
        finally:
            self._is_leading = False

    async def _renew(self) -> None:
        while True:
            await self._sleep(self._renew_seconds)
            await self._lease.renew()

    async def _lead(self, fence: int) -> None:
        """Reconcile the group and change its map until deposed.

        A leader whose lease has lapsed starts no change, but finishes the
        reconciliation: while the store is unavailable no other leader can
        do so, and the group may be waiting for a release.  That is safe, as
        agents refuse its orders once a newer leader has sent them one.
        """
        client = map_client.GroupClient(
            group=self._group,
            leader=self._instance,
            fence=fence,
            agents=self._agents,
            transport=self._transport,
            counters=self._counters,
        )
        self.client = client
        while True:
            failure = await self._reconciler.reconcile(client)
            if failure == Failure.DEPOSED or not self._lease.held():
                return
            if self._resigning:
                await self._lease.release()
                return
            if not await self._make_planned_change(client):
                await self._sleep(self._timing.poll_seconds)

    async def _make_planned_change(
        self, client: map_client.GroupClient
    ) -> bool:
        """Ask the planner for a change and make it.

        :returns: whether a change was started, so that the group has to be
            reconciled at once.
        """
        decision = self.decision
        if not isinstance(decision, map_decisions.Settled):
            return False
        current = await self._find_current(client, decision.version)
        if isinstance(current, Failure):
            return False
        plan = await self._planner.plan(expert_map=current, client=client)
        if plan is None:
            return False
        done = await self._changer.change(client, plan)
        self._planner.record_outcome(plan=plan, done=done)
        return True

    async def _find_current(
        self,
        client: map_client.GroupClient,
        version: expert_maps.Version,
    ) -> expert_maps.ExpertMap | Failure:
        """Return the map in force, fetched once for each version.

        A version never names two maps.  Fetching a map of 61 layers at each
        inspection would cost more than all other control work of the
        instance.
        """
        if self._current is not None and self._current.version == version:
            return self._current
        found = await map_reconciliation.fetch(client, version)
        if isinstance(found, expert_maps.ExpertMap):
            self._current = found
        return found
