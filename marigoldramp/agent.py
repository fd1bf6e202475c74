"""The agent daemon: the only way to the endpoint beside it."""

from typing import Any

from absl import logging
import anyio
import anyio.abc

from . import admission
from . import agent_calls
from . import alarms
from . import asgi
from . import bindings
from . import bundle
from . import cache_events
from . import credentials
from . import endpoint_kinds
from . import executor
from . import hand_overs
from . import heads
from . import map_client
from . import messages
from . import peers
from . import planner
from . import rank_groups
from . import runtime as runtime_module
from . import settings as settings_module
from . import status
from . import steps
from . import supervision

IDLE_CHECK = 0.02
#: Seconds for which the leader of a group cannot settle it.
MAP_STALLED_AFTER = 30.0


class Agent(runtime_module.Program):
    """One agent on a runtime."""

    role = messages.Role.AGENT

    def __init__(self, *, settings: settings_module.Settings) -> None:
        self.settings = settings.agent
        self.service = settings.agent.service
        self.instance = settings.instance
        plugin: Any = endpoint_kinds.EndpointKind.find(settings.agent.kind)
        self.kind: endpoint_kinds.EndpointKind = plugin(
            settings=settings.agent
        )
        self.rank_group: rank_groups.RankGroup | None = None
        self.planner: planner.Planner | None = None
        self._described: bundle.Group | None = None
        self._group_changed = anyio.Event()
        self._leading = anyio.CancelScope()
        self.runtime: runtime_module.Runtime
        self.queue: admission.Queue
        self.executor: executor.Executor
        self.hand_overs: hand_overs.HandOvers
        self.calls: agent_calls.AgentCalls

    def start(
        self, runtime: runtime_module.Runtime, group: anyio.abc.TaskGroup
    ) -> None:
        self.runtime = runtime
        self.queue = admission.Queue(
            slots=self.settings.slots,
            bound=self.settings.queue,
            clock=runtime.clock,
            margin=self.settings.expiry_margin,
        )
        self.executor = executor.Executor(
            settings=self.settings,
            queue=self.queue,
            kind=self.kind,
            binder=bindings.Binder(fleet_key=runtime.fleet_key),
            incarnation=runtime.incarnation,
            clock=runtime.clock,
            wall=runtime.wall,
        )
        self.executor.start(group)
        self.hand_overs = hand_overs.HandOvers(
            instance=self.instance,
            service=self.service,
            incarnation=runtime.incarnation,
            executor=self.executor,
            members=runtime.members,
            client=runtime.client,
        )
        self.calls = agent_calls.AgentCalls(
            identity=agent_calls.Identity(
                instance=self.instance,
                service=self.service,
                incarnation=runtime.incarnation,
            ),
            settings=self.settings,
            executor=self.executor,
            heads=heads.Heads(fleet_key=runtime.fleet_key),
            offsets=runtime.offsets,
            clock=runtime.clock,
        )
        supervisor = supervision.Supervisor(tasks=group)
        self._start_ranks(supervisor)
        runtime.members.load_source = self._report_load
        self._publish_cache_events(supervisor)
        runtime.members.on_told_leaving(self._note_told)
        supervisor.keep_running(self.kind.watch)

    def _report_load(self) -> messages.Load:
        return self.kind.complete(self.queue.load())

    def _publish_cache_events(
        self, supervisor: supervision.Supervisor
    ) -> None:
        """Pass what the endpoint tells of its cache on to entries."""
        publisher = cache_events.Publisher(
            source=cache_events.Source(
                instance=self.instance,
                service=self.service,
                incarnation=self.runtime.incarnation,
            ),
            send=self.runtime.members.send_cache_events,
            clock=self.runtime.clock,
            wall=self.runtime.wall,
        )
        self.kind.on_cache_change = publisher.note
        supervisor.keep_running(publisher.run)

    async def handle(
        self, scope: Any, receive: asgi.Receive, send: asgi.Send
    ) -> None:
        await self.calls.handle(scope, receive, send)

    def in_flight(self) -> int:
        return self.executor.in_flight

    async def drain(self) -> None:
        """Take no new call, end those in flight, hand the records over.

        Calls whose keys are bound to this agent are still taken for a
        moment, as their callers would need new keys otherwise.
        """
        if self.rank_group is not None:
            await self.rank_group.resign()
        await anyio.sleep(self.settings.linger)
        self.calls.close()
        while self.in_flight():
            await anyio.sleep(IDLE_CHECK)
        await self._hand_over()
        await steps.reach(steps.Step.DRAIN_HANDED_OVER, self.instance)

    async def hand_over(
        self, *, request: peers.HandOverRequest, sender: str
    ) -> peers.HandOverReply:
        if self.runtime.leaving:
            return peers.HandOverReply(kept=False, reason='leaving')
        return self.hand_overs.take(request=request, sender=sender)

    def alarms(self) -> list[status.Alarm]:
        return [
            *alarms.nearly_full(
                name=alarms.Name.QUEUE_NEARLY_FULL,
                count=self.queue.load().queued,
                bound=self.settings.queue,
                setting='agent.queue',
            ),
            *alarms.nearly_full(
                name=alarms.Name.RECORDS_NEARLY_FULL,
                count=len(self.executor.records),
                bound=self.settings.records,
                setting='agent.records',
            ),
            *self._show_group(),
        ]

    def _show_group(self) -> list[status.Alarm]:
        """Return what the leader of a rank group has found."""
        found = []
        if self.planner is not None:
            found = [
                alarms.make(alarms.Name.STRAGGLER_RANK, str(one))
                for one in self.planner.findings()
            ]
        leader = self.rank_group.leader if self.rank_group else None
        failure = leader.failure if leader else None
        if self.runtime.watch.lasts(
            alarms.Name.MAP_CHANGE_STALLED,
            present=failure not in (None, map_client.Failure.DEPOSED),
            seconds=MAP_STALLED_AFTER,
        ):
            assert failure is not None
            detail = f'{self.settings.group}: {failure.value}'
            found.append(alarms.make(alarms.Name.MAP_CHANGE_STALLED, detail))
        return found

    # Rank groups

    def _start_ranks(self, supervisor: supervision.Supervisor) -> None:
        """Serve orders for the ranks beside this agent, and lead in turn."""
        if not self.settings.group:
            return
        self.rank_group = rank_groups.RankGroup(
            name=self.settings.group,
            instance=self.instance,
            incarnation=self.runtime.incarnation,
            engines=self.kind.rank_engines(),
            platform=self.runtime.platform,
            client=self.runtime.client,
            list_instances=lambda: self.runtime.listed,
            clock=self.runtime.clock,
            slack=self.executor.slack,
        )
        self.runtime.config.subscribe(self._note_bundle)
        supervisor.keep_running(self._lead, self.rank_group)

    async def _lead(self, rank_group: rank_groups.RankGroup) -> None:
        """Lead by the bundle in force; begin anew when it says otherwise."""
        while True:
            changed = self._group_changed
            described = self._find_group()
            self._described = described
            with anyio.CancelScope() as self._leading:
                if described is not None:
                    self.planner = planner.Planner(
                        group=described,
                        collect=rank_group.collect,
                        clock=self.runtime.clock,
                    )
                    await rank_group.lead(
                        group=described, map_planner=self.planner
                    )
                await changed.wait()

    def _find_group(self) -> bundle.Group | None:
        in_force = self.runtime.config.in_force
        for group in in_force.groups if in_force else ():
            if group.name == self.settings.group:
                return group
        return None

    def _note_bundle(self, _: bundle.Bundle) -> None:
        if self._find_group() == self._described:
            return
        changed, self._group_changed = self._group_changed, anyio.Event()
        changed.set()
        self._leading.cancel()

    async def order(
        self, *, order: peers.MapOrder, sender: str
    ) -> peers.MapReply:
        if self.rank_group is None or order.leader != sender:
            return peers.MapReply(accepted=False, reason='no rank is here')
        return await self.rank_group.handle(order)

    # Planned stop

    def _note_told(self) -> None:
        """The platform has planned this instance's stop: take nothing new.

        The instance list lags and this process may be cut off from it, so
        peers tell what they have read in it.
        """
        logging.info('the instance is leaving; no new call is taken')
        self.calls.close()

    async def _hand_over(self) -> None:
        """Give the records to the agents that entries will ask for them."""
        if not await self.hand_overs.give():
            count = len(self.executor.records)
            logging.warning('no agent took the %d records', count)
            self.runtime.watch.note(
                alarms.Name.RECORDS_NOT_HANDED_OVER,
                f'no agent of {self.service} took {count} records',
            )


async def run(settings: settings_module.Settings) -> int:
    """Run an agent until it is stopped; return the exit code."""
    key = runtime_module.read_fleet_key(settings)
    if isinstance(key, credentials.Missing):
        logging.error('security.fleet_key: %s', key.detail)
        return runtime_module.BAD_SETTINGS
    program = Agent(settings=settings)
    runtime = runtime_module.Runtime(
        settings=settings, program=program, fleet_key=key
    )
    return await runtime_module.run_until_signal(runtime)
