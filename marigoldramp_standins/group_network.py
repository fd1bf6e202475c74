"""Leaders, agents and a stand-in group in one process, under full control.

Orders, replies, time, leases and the steps of the ranks move only when they
are told to, so a test decides each interleaving.  A process here is a task;
to kill it is to cancel it, to pause it is to complete nothing it waits for.
"""

import asyncio
import dataclasses
import enum
import math
from typing import Awaitable
from typing import Callable

from marigoldramp import expert_maps
from marigoldramp import leases
from marigoldramp import map_client
from marigoldramp import map_fences
from marigoldramp import map_leader
from marigoldramp import map_orders
from marigoldramp import map_ranks
from marigoldramp import steps
from marigoldramp import store

from . import group as groups
from . import memory
from . import objects

GROUP = 'drafts'
#: Turns of the event loop after which every task waits for something.
TURNS = 20
LEASE = store.Key(kind=leases.KIND, name='group-drafts')
LEASE_SECONDS = 3.0
STEP_SECONDS = 0.25


class Fault(enum.Enum):
    """What happens to a leader, or to its next order, at a named step."""

    KILL = 'kill'
    PAUSE = 'pause'
    LOSE_ORDER = 'lost order'
    LOSE_REPLY = 'lost reply'
    DOUBLE = 'doubled order'
    LATE = 'late order'


class Killed(Exception):
    """The process was killed at a named step."""


@dataclasses.dataclass(slots=True, kw_only=True)
class Sleeper:
    """A task that sleeps."""

    owner: str
    until: float
    future: asyncio.Future[None]


@dataclasses.dataclass(slots=True, kw_only=True)
class Envelope:
    """An order on its way, or its reply on the way back."""

    owner: str
    agent: str
    order: map_orders.Order
    future: asyncio.Future[map_orders.Reply | map_orders.Lost] | None
    delivered: bool = False
    handling: asyncio.Task[None] | None = None
    reply: map_orders.Reply | None = None
    fault: Fault | None = None


class Turning:
    """A planner that wants the ranks' experts turned round by one."""

    def __init__(self, *, network: 'Network') -> None:
        self._network = network

    async def plan(
        self,
        *,
        expert_map: expert_maps.ExpertMap,
        client: map_client.GroupClient,
    ) -> map_leader.Plan | None:
        """Return the next turn, while the test wants changes."""
        if not self._network.planning:
            return None
        layers = tuple(layer[1:] + layer[:1] for layer in expert_map.layers)
        return map_leader.Plan(
            layers=layers, load_limit=5.0, stall_seconds=0.05
        )

    def record_outcome(self, *, plan: map_leader.Plan, done: bool) -> None:
        """Count the changes that took place."""
        self._network.changes += done


@dataclasses.dataclass(slots=True, kw_only=True)
class _Transport:
    network: 'Network'
    owner: str

    async def order(
        self, *, rank_agent: str, order: map_orders.Order
    ) -> map_orders.Reply | map_orders.Lost:
        return await self.network.send(self.owner, rank_agent, order)


class Network:
    """Everything that one test of a rank group needs.

    :param agents: how many agents share the ranks.
    :param steps_a_round: steps that the group can enter while orders and
        replies take one hop each.
    """

    def __init__(
        self,
        *,
        group: groups.Group,
        agents: int,
        layers: int = 1,
        steps_a_round: int = 1,
    ) -> None:
        self.loop = asyncio.new_event_loop()
        self.group = group
        self.table = objects.Table()
        self.now = 100.0
        self.planning = True
        #: Seconds by which calls in flight can wait.
        self.slack = math.inf
        self.steps_a_round = steps_a_round
        self.changes = 0
        self.sleepers: list[Sleeper] = []
        self.envelopes: list[Envelope] = []
        self.paused: set[str] = set()
        self.cut: set[str] = set()
        self.unlisted: set[str] = set()
        self.traps: dict[steps.Step, Fault] = {}
        self.trapped: list[steps.Step] = []
        #: The agent whose next order is faulty, ``None`` for any.
        self.faulty_agent: str | None = None
        self._order_faults: dict[str, Fault] = {}
        self._watchers: list[tuple[steps.Step, Callable[[str], object]]] = []
        self.agents: dict[str, map_ranks.OrderHandler | None] = {}
        self.leaders: dict[str, asyncio.Task[None] | None] = {}
        self.running: dict[str, map_leader.Leader] = {}
        self.shape = expert_maps.Shape(
            ranks=len(group.ranks),
            experts=len(group.ranks) * 2,
            layers=layers,
            slots=2,
        )
        self._incarnation = 0
        self._engines = group.engines()
        self._shares = {
            f'agent-{number}': range(number, len(group.ranks), agents)
            for number in range(agents)
        }
        for agent in self._shares:
            self.start_agent(agent)

    def close(self) -> None:
        """End all tasks and the event loop."""
        tasks = asyncio.all_tasks(self.loop)
        for task in tasks:
            task.cancel()
        self.loop.run_until_complete(
            asyncio.gather(*tasks, return_exceptions=True)
        )
        self.loop.close()

    def pump(self) -> None:
        """Run all tasks until each waits for something."""
        self.loop.run_until_complete(_turn(TURNS))

    def install(self) -> None:
        """Put a first map into force on every rank."""
        version = expert_maps.Version(fence=0, number=1)
        self.group.install(
            expert_maps.spread(shape=self.shape, version=version)
        )

    # Processes

    def start_agent(self, agent: str) -> None:
        """Start an agent, or start it again; it has forgotten everything."""
        self.stop_agent(agent)
        self._incarnation += 1

        async def learn() -> int | None:
            return await map_fences.learn(
                group=GROUP,
                instance=agent,
                agents=self.list_agents(),
                transport=_Transport(network=self, owner=agent),
                read_fence=self._read_fence,
            )

        self.agents[agent] = map_ranks.OrderHandler(
            group=GROUP,
            engines={
                rank: self._engines[rank] for rank in self._shares[agent]
            },
            incarnation=self._incarnation,
            learn_fence=learn,
            slack=lambda: self.slack,
        )

    async def _read_fence(self) -> int | None:
        return await map_fences.read(
            platform=memory.MemoryStore(table=self.table), key=LEASE
        )

    def stop_agent(self, agent: str) -> None:
        """End an agent; orders to it are lost until it is started."""
        self.agents[agent] = None
        for envelope in self.envelopes:
            if envelope.agent == agent and envelope.handling is not None:
                envelope.handling.cancel()
        self.pump()

    def start_leader(self, name: str) -> None:
        """Start a process that leads once it gets the lease."""
        task = self.leaders.get(name)
        if task is not None and not task.done():
            return
        self.paused.discard(name)
        leader = map_leader.Leader(
            group=GROUP,
            instance=name,
            shape=self.shape,
            agents=self.list_agents,
            transport=_Transport(network=self, owner=name),
            lease=leases.Lease(
                store=memory.MemoryStore(table=self.table),
                name=LEASE.name,
                holder=name,
                seconds=LEASE_SECONDS,
                clock=lambda: self.now,
            ),
            renew_seconds=LEASE_SECONDS / 3,
            planner=Turning(network=self),
            clock=lambda: self.now,
            timing=map_leader.Timing(
                poll_seconds=0.25, retry_seconds=0.25, lead_steps=3
            ),
            sleep=self._make_sleep(name),
        )
        self.running[name] = leader
        with steps.observe(self._observe):
            self.leaders[name] = self.loop.create_task(self._run(leader))
        self.pump()

    async def _run(self, leader: map_leader.Leader) -> None:
        try:
            await leader.run()
        except BaseExceptionGroup as group:
            rest = group.split(Killed)[1]
            if rest is not None:
                raise rest from None

    async def _observe(self, step: steps.Step, where: str) -> None:
        """Let the fault that a test has set for this step happen."""
        for watched, tell in self._watchers:
            if watched is step:
                self._watchers.remove((watched, tell))
                tell(where)
                break
        fault = self.traps.pop(step, None)
        if fault is None:
            return
        self.trapped.append(step)
        match fault:
            case Fault.KILL:
                raise Killed
            case Fault.PAUSE:
                self.paused.add(where)
                await self._make_sleep(where)(0.0)
            case _:
                self._order_faults[where] = fault

    def watch(self, step: steps.Step, tell: Callable[[str], object]) -> None:
        """Call ``tell`` once, when a leader reaches a step."""
        self._watchers.append((step, tell))

    def release_late(self) -> None:
        """Let the orders that were to come late come now."""
        for envelope in self.envelopes:
            envelope.fault = None

    def pause_leader(self, name: str) -> None:
        """Freeze a leader until it is woken."""
        self.paused.add(name)

    def wake_leader(self, name: str) -> None:
        """Let a leader go on, which knows nothing of the time it lost."""
        self.paused.discard(name)

    def list_agents(self) -> tuple[str, ...]:
        """Return the agents that are listed for the group."""
        return tuple(one for one in self._shares if one not in self.unlisted)

    def unlist_agent(self, agent: str) -> None:
        """Take an agent that goes on from the list."""
        self.unlisted.add(agent)

    def list_agent(self, agent: str) -> None:
        """Put an agent back on the list."""
        self.unlisted.discard(agent)

    def cut_agent(self, agent: str) -> None:
        """Let orders to an agent and its replies wait on their way."""
        self.cut.add(agent)

    def join_agent(self, agent: str) -> None:
        """End the cut."""
        self.cut.discard(agent)

    def kill_leader(self, name: str) -> None:
        """End a leader at once; orders on their way stay on their way."""
        task = self.leaders[name]
        self.leaders[name] = None
        self.paused.discard(name)
        if task is not None:
            task.cancel()
            self.pump()

    def store_out(self) -> None:
        """Let the store refuse every call."""
        self.table.faults.outage = True

    def store_back(self) -> None:
        """End the outage, and reads that show an old state."""
        self.table.faults = objects.Faults()

    def store_loses_reply(self) -> None:
        """Let the next write take effect without a reply."""
        self.table.faults.lose_replies = 1

    def store_loses_request(self) -> None:
        """Let the next write get lost."""
        self.table.faults.lose_requests = 1

    def store_stale(self) -> None:
        """Let reads go on showing the lease as it is now."""
        self.table.freeze(kind=LEASE.kind)

    def _make_sleep(self, owner: str) -> Callable[[float], Awaitable[None]]:
        async def sleep(seconds: float) -> None:
            future: asyncio.Future[None] = self.loop.create_future()
            self.sleepers.append(
                Sleeper(owner=owner, until=self.now + seconds, future=future)
            )
            await future

        return sleep

    # Orders

    async def send(
        self, owner: str, agent: str, order: map_orders.Order
    ) -> map_orders.Reply | map_orders.Lost:
        """Put an order on its way and wait for the reply."""
        if agent in self.unlisted:
            return map_orders.Lost(detail='the agent is not listed')
        future: asyncio.Future[map_orders.Reply | map_orders.Lost]
        future = self.loop.create_future()
        envelope = Envelope(
            owner=owner, agent=agent, order=order, future=future
        )
        self.envelopes.append(envelope)
        if self.faulty_agent in (None, agent):
            envelope.fault = self._order_faults.pop(owner, None)
        if envelope.fault == Fault.DOUBLE:
            self.double(envelope)
        return await future

    def deliver(self, envelope: Envelope) -> None:
        """Let an order reach its agent, which obeys or refuses it."""
        ranks = self.agents[envelope.agent]
        envelope.delivered = True
        if ranks is None:
            self.lose(envelope)
            return
        envelope.handling = self.loop.create_task(
            self._handle(ranks, envelope)
        )
        self.pump()

    async def _handle(
        self, ranks: map_ranks.OrderHandler, envelope: Envelope
    ) -> None:
        envelope.reply = await ranks.handle(envelope.order)

    def answer(self, envelope: Envelope) -> None:
        """Let the reply reach the sender, unless that one is paused."""
        if envelope.owner in self.paused:
            return
        if envelope.reply is None:
            return
        self._complete(envelope, envelope.reply)

    def lose(self, envelope: Envelope) -> None:
        """Tell the sender that no reply came.

        An order that was not delivered stays on its way and comes late.
        """
        if envelope.owner in self.paused:
            return
        self._complete(envelope, map_orders.Lost())
        if not envelope.delivered and envelope.fault != Fault.LOSE_ORDER:
            self.envelopes.append(dataclasses.replace(envelope, future=None))

    def double(self, envelope: Envelope) -> None:
        """Put a copy of an order on its way."""
        self.envelopes.append(
            dataclasses.replace(
                envelope,
                future=None,
                delivered=False,
                handling=None,
                reply=None,
                fault=None,
            )
        )

    def _complete(
        self, envelope: Envelope, value: map_orders.Reply | map_orders.Lost
    ) -> None:
        self.envelopes.remove(envelope)
        future = envelope.future
        if future is not None and not future.done():
            future.set_result(value)
            self.pump()

    # Time

    def advance(self, seconds: float) -> None:
        """Let time pass: loads go on and sleepers that are due wake."""
        self.now += seconds
        self.group.advance(seconds)
        due = [
            sleeper
            for sleeper in self.sleepers
            if sleeper.until <= self.now and sleeper.owner not in self.paused
        ]
        for sleeper in due:
            self.sleepers.remove(sleeper)
            if not sleeper.future.done():
                sleeper.future.set_result(None)
        self.pump()

    def run_fairly(
        self, *, rounds: int, until: Callable[[], bool] = lambda: False
    ) -> bool:
        """Deliver, answer, step and let time pass in turn.

        :returns: whether ``until`` came true.
        """
        for _ in range(rounds):
            if until():
                return True
            self.carry_all()
            for _ in range(self.steps_a_round):
                self.group.step()
            self.advance(STEP_SECONDS)
        return until()

    def carry_all(self) -> None:
        """Deliver every order that is on its way and answer it.

        Those to an agent that is cut off stay where they are, and so do
        orders that are to come late.
        """
        for envelope in list(self.envelopes):
            self._carry(envelope)

    def _carry(self, envelope: Envelope) -> None:
        if envelope not in self.envelopes or envelope.agent in self.cut:
            return
        match envelope.fault:
            case Fault.LATE if envelope.future is None:
                return
            case Fault.LOSE_ORDER | Fault.LATE:
                self.lose(envelope)
                return
        if not envelope.delivered:
            self.deliver(envelope)
        if envelope not in self.envelopes:
            return
        if envelope.fault == Fault.LOSE_REPLY:
            self.lose(envelope)
        elif envelope.reply is not None:
            self.answer(envelope)
        elif envelope.handling is None or envelope.handling.done():
            self.lose(envelope)

    def heal(self) -> None:
        """End every fault that is in force."""
        self.table.faults = objects.Faults()
        self.paused.clear()
        self.cut.clear()
        self.unlisted.clear()
        self.traps.clear()
        self.release_late()
        self.group.endless_loads.clear()
        for agent, ranks in self.agents.items():
            if ranks is None:
                self.start_agent(agent)
        for name, task in self.leaders.items():
            if task is None or task.done():
                self.start_leader(name)

    def at_rest(self) -> bool:
        """Say whether all ranks use one map and nothing is armed or held."""
        ranks = self.group.ranks
        return len(self.group.versions()) == 1 and all(
            rank.schedule is not None
            and rank.schedule.following is None
            and rank.hold_before is None
            and not rank.loads
            for rank in ranks
        )


async def _turn(times: int) -> None:
    for _ in range(times):
        await asyncio.sleep(0)
