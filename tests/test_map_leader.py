"""Tests of a group's leader under faults at each step of a map change."""

import pytest

from marigoldramp import map_client
from marigoldramp import map_decisions
from marigoldramp import steps
from marigoldramp_standins import group
from marigoldramp_standins import group_network

Fault = group_network.Fault
MAP_STEPS = [one for one in steps.Step if one.startswith('map.')]
LEASE_STEPS = [steps.Step.LEASE_TAKEN, steps.Step.LEASE_RENEWED]
PROCESS_FAULTS = [Fault.KILL, Fault.PAUSE]
ORDER_FAULTS = [
    Fault.LOSE_ORDER,
    Fault.LOSE_REPLY,
    Fault.DOUBLE,
    Fault.LATE,
]


@pytest.fixture
def network():
    made = make_network()
    yield made
    made.close()


def make_network(checks_fence=False, traps=(), steps_a_round=1):
    made = group_network.Network(
        group=group.Group(ranks=4, checks_fence=checks_fence),
        agents=2,
        steps_a_round=steps_a_round,
    )
    made.install()
    made.traps.update(traps)
    for number in range(2):
        made.start_leader(f'leader-{number}')
    return made


def finish(network):
    """End all faults; check that the group continues on one map."""
    network.heal()
    network.planning = True
    changes = network.changes
    assert network.run_fairly(
        rounds=120, until=lambda: network.changes > changes
    )
    network.planning = False
    network.run_fairly(rounds=30)
    assert network.at_rest()
    before = network.group.steps
    network.run_fairly(rounds=5)
    assert network.group.steps == before + 5 * network.steps_a_round
    assert network.group.mixed_steps == []


@pytest.mark.parametrize('checks_fence', [False, True])
@pytest.mark.parametrize('fault', PROCESS_FAULTS)
@pytest.mark.parametrize('step', MAP_STEPS + LEASE_STEPS)
def test_process_fault_at_step(step, fault, checks_fence):
    """Ranks use different maps in one step, or the group waits forever.

    Sequence: the leader is killed or paused as it reaches the step; another
    one takes over; the paused one resumes.
    Cause: a step assumes that a leader is still the leader.
    """
    run_row(step, fault, checks_fence=checks_fence)


@pytest.mark.parametrize('agent', ['agent-0', 'agent-1'])
@pytest.mark.parametrize('fault', ORDER_FAULTS)
@pytest.mark.parametrize('step', MAP_STEPS + LEASE_STEPS)
def test_order_fault_at_step(step, fault, agent):
    """Ranks use different maps in one step, or the group waits forever.

    Sequence: once the leader has reached the step, its next order to an agent
    or the reply is lost, or the order is duplicated or delayed.
    Cause: a step assumes that an order did or did not take effect.
    """
    run_row(step, fault, agent=agent)


@pytest.mark.parametrize('checks_fence', [False, True])
@pytest.mark.parametrize('rounds', [0, 1, 3])
@pytest.mark.parametrize('agent', ['agent-0', 'agent-1'])
@pytest.mark.parametrize('step', MAP_STEPS)
def test_agent_that_is_unlisted_is_not_left_out(
    step, agent, rounds, checks_fence
):
    """Ranks use different maps in one step.

    Sequence: an agent is unlisted during a change, continues to run, and is
    listed again after some rounds.
    Cause: the change leaves out an agent that is not listed.
    """
    network = make_network(checks_fence=checks_fence, steps_a_round=3)
    seen = []

    def unlist(_):
        seen.append(step)
        network.unlist_agent(agent)

    try:
        network.watch(step, unlist)
        assert network.run_fairly(rounds=60, until=lambda: seen)
        network.run_fairly(rounds=rounds)
        network.list_agent(agent)
        network.run_fairly(rounds=20)
        finish(network)
    finally:
        network.close()


def run_row(step, fault, checks_fence=False, agent=None):
    network = make_network(
        checks_fence=checks_fence, traps=[(step, fault)], steps_a_round=3
    )
    network.faulty_agent = agent
    try:
        network.run_fairly(rounds=40)
        assert step in network.trapped
        network.release_late()
        network.paused.clear()
        network.run_fairly(rounds=20)
        finish(network)
    finally:
        network.close()


def test_leader_that_takes_its_lapsed_lease_again(network):
    """No change succeeds for a long time after an outage of the store.

    Sequence: the lease lapses while the store does not answer, nobody else
    takes it, and the leader takes it again under the same fence.
    Cause: the leader numbers its orders from 1 again, which agents refuse as
    overtaken, and gives a new map the version of an old one.
    """
    network.kill_leader('leader-1')
    assert network.run_fairly(rounds=200, until=lambda: network.changes >= 5)
    versions = network.group.record_versions()
    network.store_out()
    network.run_fairly(rounds=40)
    network.store_back()
    changes = network.changes
    assert network.run_fairly(
        rounds=30, until=lambda: network.changes > changes
    )
    network.run_fairly(rounds=10)
    assert network.group.versions().isdisjoint(versions)
    finish(network)


@pytest.mark.parametrize('restarts', [False, True])
def test_deposed_leader_releases_another_ones_hold(network, restarts):
    """Ranks that have armed a map continue beside ranks that have not.

    Sequence: a leader is paused before it releases the held rank.  The next
    leader finishes that change and starts its own: it holds the same rank
    and has armed only one agent.  The first leader resumes and sends its
    release, in one case to an agent that has restarted in between.
    Cause: an agent obeys an old fence, or knows none after its restart.
    """
    assert network.run_fairly(rounds=200, until=lambda: network.changes >= 3)
    network.traps[steps.Step.MAP_RELEASE_SENT] = Fault.PAUSE
    assert network.run_fairly(rounds=60, until=lambda: network.trapped)
    (deposed,) = network.paused
    network.watch(
        steps.Step.MAP_ARM_SENT, lambda _: network.cut_agent('agent-0')
    )
    assert network.run_fairly(rounds=60, until=lambda: network.cut)
    network.run_fairly(rounds=2)
    assert network.group.ranks[1].schedule.following is not None
    assert network.group.ranks[0].schedule.following is None
    if restarts:
        network.start_agent('agent-0')
    network.wake_leader(deposed)
    network.advance(0.0)
    (release,) = [
        one
        for one in network.envelopes
        if one.owner == deposed and one.agent == 'agent-0'
    ]
    network.deliver(release)
    network.run_fairly(rounds=10)
    assert network.group.mixed_steps == []
    finish(network)


def test_released_change_is_finished(network):
    """A change is undone on some ranks after others have switched maps.

    Sequence: a leader is killed after the release; some ranks have entered
    the step of the change, others have not; the next leader inspects them.
    Cause: it undoes a change that can only be finished.
    """
    network.traps[steps.Step.MAP_RELEASED] = Fault.KILL
    assert network.run_fairly(rounds=60, until=lambda: network.trapped)
    network.planning = False
    network.steps_a_round = 0
    ranks = network.group.ranks
    while ranks[3].schedule.following is not None:
        network.group.enter(3) or network.group.step()
    assert ranks[0].schedule.following is not None
    network.run_fairly(rounds=60)
    assert ranks[0].schedule.following is not None
    network.steps_a_round = 1
    network.run_fairly(rounds=10)
    assert network.group.mixed_steps == []
    finish(network)


@pytest.mark.parametrize('away', [False, True], ids=['store', 'no-store'])
def test_agent_restarts_while_the_group_is_held(network, away):
    """The group waits for as long as the store does not answer.

    Sequence: a rank is held; its agent restarts and knows no fence; the
    store cannot be read.
    Cause: the agent reads the fence from the store only, not from other
    agents.
    """
    network.traps[steps.Step.MAP_ARMED] = Fault.PAUSE
    assert network.run_fairly(rounds=60, until=lambda: network.trapped)
    if away:
        network.store_out()
    network.start_agent('agent-0')
    network.paused.clear()
    network.run_fairly(rounds=20)
    assert network.at_rest()
    assert network.group.stalls < 25
    finish(network)


@pytest.mark.parametrize(
    'step',
    [steps.Step.MAP_HELD, steps.Step.MAP_ARM_SENT, steps.Step.MAP_ARMED],
)
@pytest.mark.parametrize('rank', [0, 3], ids=['held', 'other'])
def test_engine_restarts_during_a_change(network, step, rank):
    """A restarted engine enters a step with another map than the rest.

    Sequence: during a change the engine of a rank restarts and has no map;
    the others are at different phases of the change.
    Cause: the engine is given a map before it is known which one is in force.
    """
    network.watch(step, lambda _: network.group.restart(rank))
    network.run_fairly(rounds=60)
    assert network.group.mixed_steps == []
    finish(network)


def test_load_that_never_ends_is_undone(network):
    """A change and all later ones hang.

    Sequence: the weights of one rank never arrive.
    Cause: without a limit the leader waits forever.  The group must not be
    held in the meantime.
    """
    network.group.load_seconds = 0.1
    network.group.endless_loads.add(2)
    network.run_fairly(rounds=10)
    assert network.group.stalls == 0
    network.planning = False
    network.run_fairly(rounds=40)
    assert network.group.stalls == 0
    assert network.at_rest()
    network.planning = True
    finish(network)


def test_loaded_change_waits_for_promised_deadlines(network):
    """A map change makes a call in flight miss its deadline.

    Sequence: a call that cannot be delayed starts while weights are loaded.
    Cause: the leader checks the slack of calls only before the loading.
    """
    network.watch(
        steps.Step.MAP_PREPARED, lambda _: setattr(network, 'slack', 0.01)
    )
    network.run_fairly(rounds=30)
    assert network.slack == 0.01
    assert network.changes == 0
    assert all(rank.hold_before is None for rank in network.group.ranks)
    network.slack = 1.0
    finish(network)


def test_dead_rank_is_shown(network):
    """The group stops and the operator cannot see why.

    Sequence: an engine dies for good during a change.
    Cause: a group in lock-step cannot continue without a rank, so the
    operator has to be shown which one is missing.
    """
    network.watch(steps.Step.MAP_ARMED, lambda _: network.group.kill(2))
    network.run_fairly(rounds=60)
    decisions = [one.decision for one in network.running.values()]
    assert map_decisions.Missing(ranks=(2,)) in decisions
    assert network.group.mixed_steps == []


def test_agent_that_is_gone_is_shown(network):
    """A leader waits for an agent and the operator cannot see why."""
    network.run_fairly(rounds=10)
    network.stop_agent('agent-1')
    network.run_fairly(rounds=10)
    troubles = [one.failure for one in network.running.values()]
    assert map_client.Failure.UNREACHED in troubles
    network.start_agent('agent-1')
    finish(network)
