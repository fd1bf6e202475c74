"""The leader of one rank group: changes the expert map, one at a time.

It holds the group's lease and alternates between settling the group, asking
the planner and making a change.  Whatever goes wrong in a change, it falls
back on settling.
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
        """Learn whether a change took place."""


class Lease(Protocol):
    """What the leader needs of :class:`.leases.Lease`."""

    async def acquire(self) -> object:
        """Take the lease; the answer has ``fence`` when it is held."""

    async def renew(self) -> object:
        """Prolong it."""

    async def release(self) -> None:
        """Give it up, so that another agent need not wait for its end."""

    def held(self) -> bool:
        """Say whether it is still held, by the holder's own clock."""


class Leader:
    """Leads one group for as long as it holds the lease.

    :param agents: returns the names of the agents that carry the group.
    :param renew_seconds: between two renewals of the lease.
    :param fenced: whether ranks refuse orders of older leaders.
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
        '_numbers',
        '_settler',
        '_changer',
        '_current',
        '_resigning',
        '_in_office',
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
        self._numbers = map_client.Numbers()
        self._settler = map_reconciliation.Settler(
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
        self._changer = map_changes.Changer(
            instance=instance,
            timing=self._timing,
            clock=clock,
            may_go_on=lease.held,
            fenced=fenced,
            sleep=sleep,
        )
        self._current: expert_maps.ExpertMap | None = None
        self._resigning = False
        self._in_office = False
        self.client: map_client.GroupClient | None = None

    @property
    def decision(self) -> map_reconciliation.Decision | None:
        """Return what was to be done when the group was last looked at."""
        return self._settler.decision

    @property
    def failure(self) -> Failure | None:
        """Return why the last look at the group or deed in it failed."""
        return self._settler.failure

    async def run(self) -> None:
        """Take the lease and lead, again and again, until resigned."""
        while not self._resigning:
            taken = await self._lease.acquire()
            fence = getattr(taken, 'fence', None)
            if fence is not None:
                await self._hold_office(fence)
            await self._sleep(self._timing.contend_seconds)

    async def resign(self) -> None:
        """Return when the group is settled and the lease given up.

        A leader that just stopped in the middle of a change would leave a
        rank held.  The whole group would wait until the lease has lapsed
        and the next leader has found it, and every stream with it.
        """
        self._resigning = True
        while self._in_office:
            await self._sleep(self._timing.retry_seconds)

    async def _hold_office(self, fence: int) -> None:
        self._in_office = True
        try:
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(self._renew)
                await self._lead(fence)
                tasks.cancel_scope.cancel()
        finally:
            self._in_office = False

    async def _renew(self) -> None:
        while True:
            await self._sleep(self._renew_seconds)
            await self._lease.renew()

    async def _lead(self, fence: int) -> None:
        """Settle the group and change its map until deposed.

        A leader whose lease has lapsed begins nothing new, but goes on
        settling: with the store away nobody else can, and the group may be
        waiting for a release.  That is safe as long as agents obey it; they
        refuse it from the moment a newer leader has spoken to them.
        """
        client = map_client.GroupClient(
            group=self._group,
            leader=self._instance,
            fence=fence,
            agents=self._agents,
            transport=self._transport,
            numbers=self._numbers,
        )
        self.client = client
        while True:
            failure = await self._settler.settle(client)
            if failure == Failure.DEPOSED or not self._lease.held():
                return
            if self._resigning:
                await self._lease.release()
                return
            if not await self._consider(client):
                await self._sleep(self._timing.poll_seconds)

    async def _consider(self, client: map_client.GroupClient) -> bool:
        """Ask the planner, and change the map if it wants that.

        :returns: whether a change was begun, so that the group is to be
            settled at once.
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

        A version never names two maps.  Fetched at every look, a map of 61
        layers would cost more than all other control of the instance.
        """
        if self._current is not None and self._current.version == version:
            return self._current
        found = await map_reconciliation.fetch(client, version)
        if isinstance(found, expert_maps.ExpertMap):
            self._current = found
        return found
