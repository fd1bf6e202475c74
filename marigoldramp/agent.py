"""The agent daemon: the only way to the endpoint beside it."""

from typing import Any

from absl import logging
import anyio
import anyio.abc

from . import admission
from . import agent_calls
from . import asgi
from . import bindings
from . import credentials
from . import endpoint_kinds
from . import executor
from . import heads
from . import keys
from . import membership
from . import messages
from . import peers
from . import predecessors
from . import runtime as runtime_module
from . import settings as settings_module
from . import steps

#: Records in one hand-over message.
HAND_OVER_BATCH = 64
IDLE_CHECK = 0.02


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
        self.runtime: runtime_module.Runtime
        self.queue: admission.Queue
        self.executor: executor.Executor
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
        runtime.members.load_source = self.queue.load
        runtime.members.on_told_leaving(self._note_told)
        group.start_soon(self.kind.watch)

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
        await anyio.sleep(self.settings.linger)
        self.calls.close()
        while self.in_flight():
            await anyio.sleep(IDLE_CHECK)
        await self._hand_over()
        await steps.reach(steps.Step.DRAIN_HANDED_OVER, self.instance)

    async def hand_over(
        self, *, request: peers.HandOverRequest, sender: str
    ) -> peers.HandOverReply:
        if request.service != self.service or request.agent != sender:
            return peers.HandOverReply(kept=False, reason='not for this agent')
        kept = self.executor.predecessors.take(
            agent=request.agent,
            incarnation=request.incarnation,
            handed_over=predecessors.decode(request.records),
            complete=request.complete,
        )
        return peers.HandOverReply(kept=kept, reason='' if kept else 'full')

    def _note_told(self) -> None:
        """The platform has planned this instance's stop: take nothing new.

        The instance list lags and this process may be cut off from it, so
        peers tell what they have read in it.
        """
        logging.info('the instance is leaving; no new call is taken')
        self.calls.close()

    async def _hand_over(self) -> None:
        """Give the records to the agents that entries will ask for them."""
        others = [
            peer
            for peer in self.runtime.members.peers(messages.Role.AGENT)
            if peer.service == self.service
        ]
        others.sort(key=lambda peer: keys.rank(self.instance, peer.instance))
        records = self.executor.records.describe()
        for peer in others[: keys.MOST_SUCCESSORS]:
            await self._hand_over_to(peer, records)

    async def _hand_over_to(
        self, peer: membership.Peer, records: list[predecessors.HandedOver]
    ) -> None:
        for start in range(0, max(1, len(records)), HAND_OVER_BATCH):
            batch = records[start : start + HAND_OVER_BATCH]
            reply = await self.runtime.client.hand_over(
                peer.host,
                peer.control_port,
                receiver=peer.instance,
                request=peers.HandOverRequest(
                    agent=self.instance,
                    service=self.service,
                    incarnation=self.runtime.incarnation,
                    complete=start + HAND_OVER_BATCH >= len(records),
                    records=predecessors.encode(batch),
                ),
            )
            if isinstance(reply, peers.Unreachable) or not reply.kept:
                logging.warning('%s took no records', peer.instance)
                return
        logging.info('handed %d records to %s', len(records), peer.instance)


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
