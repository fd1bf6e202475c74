"""Property tests that all ranks use one map in every step."""

import hypothesis
from hypothesis import stateful
from hypothesis import strategies

from marigoldramp import steps
from marigoldramp_standins import group
from marigoldramp_standins import group_network

RANKS = 4
AGENTS = 2
LEADERS = ('leader-0', 'leader-1')
FAIR_ROUNDS = 80

INDEX = strategies.integers(min_value=0, max_value=7)
RANK = strategies.integers(min_value=0, max_value=RANKS - 1)
AGENT = strategies.sampled_from([f'agent-{n}' for n in range(AGENTS)])
LEADER = strategies.sampled_from(LEADERS)
STEP = strategies.sampled_from(
    [step for step in steps.Step if step.startswith(('map.', 'lease.'))]
)
FAULTS = list(group_network.Fault)
LEADER_WAYS = ['kill_leader', 'start_leader', 'pause_leader', 'wake_leader']
AGENT_WAYS = [
    'cut_agent',
    'join_agent',
    'stop_agent',
    'start_agent',
    'unlist_agent',
    'list_agent',
]
STORE_WAYS = [
    'store_out',
    'store_back',
    'store_stale',
    'store_loses_reply',
    'store_loses_request',
]
SECONDS = strategies.sampled_from([0.25, 0.5, 1.0, 4.0])


class OneMap(stateful.RuleBasedStateMachine):
    """Real leaders and agents against an adversarial network and store."""

    network = None

    @stateful.initialize(
        checks_fence=strategies.booleans(),
        installed=strategies.booleans(),
        steps_a_round=strategies.sampled_from([1, 3]),
    )
    def start(self, checks_fence, installed, steps_a_round):
        self.network = group_network.Network(
            group=group.Group(
                ranks=RANKS, checks_fence=checks_fence, load_seconds=0.1
            ),
            agents=AGENTS,
            steps_a_round=steps_a_round,
        )
        if installed:
            self.network.install()
        for leader in LEADERS:
            self.network.start_leader(leader)

    def pick(self, index):
        envelopes = self.network.envelopes
        return envelopes[index % len(envelopes)] if envelopes else None

    @stateful.rule(index=INDEX)
    def deliver(self, index):
        envelope = self.pick(index)
        if envelope is not None and not envelope.delivered:
            self.network.deliver(envelope)

    @stateful.rule(index=INDEX)
    def lose(self, index):
        envelope = self.pick(index)
        if envelope is not None:
            self.network.lose(envelope)

    @stateful.rule(index=INDEX)
    def double(self, index):
        envelope = self.pick(index)
        if envelope is not None:
            self.network.double(envelope)

    @stateful.rule(rank=RANK)
    def enter(self, rank):
        self.network.group.enter(rank)

    @stateful.rule(rounds=strategies.integers(1, 8))
    def run_fairly(self, rounds):
        self.network.run_fairly(rounds=rounds)

    @stateful.rule(orders=strategies.integers(1, 6))
    def carry(self, orders):
        for _ in range(orders):
            self.network.carry_all()

    @stateful.rule(seconds=SECONDS)
    def advance(self, seconds):
        self.network.advance(seconds)

    @stateful.rule(steps_=strategies.integers(1, 6))
    def enter_all(self, steps_):
        for _ in range(steps_):
            self.network.group.step()

    @stateful.rule(
        step=STEP,
        fault=strategies.sampled_from(FAULTS),
        rounds=strategies.integers(0, 8),
    )
    def set_trap(self, step, fault, rounds):
        self.network.traps[step] = fault
        self.network.run_fairly(rounds=rounds)

    @stateful.rule(leader=LEADER, way=strategies.sampled_from(LEADER_WAYS))
    def trouble_leader(self, leader, way):
        getattr(self.network, way)(leader)

    @stateful.rule(agent=AGENT, way=strategies.sampled_from(AGENT_WAYS))
    def trouble_agent(self, agent, way):
        getattr(self.network, way)(agent)

    @stateful.rule(rank=RANK)
    def restart_engine(self, rank):
        self.network.group.restart(rank)

    @stateful.rule(way=strategies.sampled_from(STORE_WAYS))
    def trouble_store(self, way):
        getattr(self.network, way)()

    @stateful.rule(rank=RANK, endless=strategies.booleans())
    def turn_loads(self, rank, endless):
        loads = self.network.group.endless_loads
        (loads.add if endless else loads.discard)(rank)

    @stateful.rule()
    def heal(self):
        self.network.heal()
        self.network.run_fairly(rounds=10)

    @stateful.invariant()
    def no_step_mixes_maps(self):
        if self.network is not None:
            assert self.network.group.mixed_steps == []

    def teardown(self):
        """After the last fault the group goes on and ends on one map."""
        if self.network is None:
            return
        network = self.network
        try:
            network.heal()
            network.planning = False
            network.run_fairly(rounds=FAIR_ROUNDS)
            assert network.at_rest()
            before = network.group.steps
            network.run_fairly(rounds=5)
            assert network.group.steps == before + 5 * network.steps_a_round
            assert network.group.mixed_steps == []
        finally:
            network.close()


TestOneMap = OneMap.TestCase
TestOneMap.settings = hypothesis.settings(stateful_step_count=60)
