"""Tests of the leader of a rank group: faults at each step of a change."""

import pytest

from marigoldramp import map_conversation
from marigoldramp import map_recovery
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


def make_network(checks_fence=False, traps=()):
    made = group_network.Network(
        group=group.Group(ranks=4, checks_fence=checks_fence), agents=2
    )
    made.install()
    made.traps.update(traps)
    for number in range(2):
        made.start_leader(f'leader-{number}')
    return made


def finish(network):
    """End all faults; the group has to go on, on one map."""
    network.heal()
    network.planning = True
    changes = network.changes
    assert network.run_fairly(
        rounds=120, until=lambda: network.changes > changes
    )
    network.planning = False
    network.run_fairly(rounds=60)
    assert network.at_rest()
    before = network.group.steps
    network.run_fairly(rounds=5)
    assert network.group.steps == before + 5
    assert network.group.mixed_steps == []


@pytest.mark.parametrize('checks_fence', [False, True])
@pytest.mark.parametrize('fault', PROCESS_FAULTS + ORDER_FAULTS)
@pytest.mark.parametrize('step', MAP_STEPS + LEASE_STEPS)
def test_fault_at_step(step, fault, checks_fence):
    """A step mixes maps, or the group waits for ever.

    Sequence: the leader meets the fault as it reaches the step, is deposed
    where it was killed or paused, and goes on later where it was paused.
    Cause: any step that takes for granted what a lost, late or doubled
    order did, or that a leader is still the leader.
    """
    network = make_network(checks_fence=checks_fence, traps=[(step, fault)])
    try:
        network.run_fairly(rounds=60)
        assert step in network.trapped
        network.release_late()
        network.paused.clear()
        network.run_fairly(rounds=20)
        finish(network)
    finally:
        network.close()


def test_leader_that_takes_its_lapsed_lease_again(network):
    """No change takes place for long after an outage of the store.

    Sequence: the lease lapses while the store is away, nobody else takes
    it, and the leader is given it again under the same fence.
    Cause: it numbered its orders from 1 again, which agents refuse as
    overtaken, and named a new map like an old one.
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


def test_deposed_leaders_order_comes_after_the_undo(network):
    """A rank arms a map on its own and the next step mixes maps.

    Sequence: a leader is killed after it has armed one agent; the order to
    the other is late.  The next leader undoes the change and releases the
    held rank; then the late order arrives, numbered higher than all of the
    new leader's.
    Cause: neither the agent nor the engine refuses the old fence.
    """
    assert network.run_fairly(rounds=200, until=lambda: network.changes >= 9)
    network.traps[steps.Step.MAP_ARM_SENT] = Fault.LATE
    assert network.run_fairly(rounds=60, until=lambda: network.trapped)
    network.kill_leader('leader-0')
    late = [one for one in network.envelopes if one.fault == Fault.LATE]
    assert late
    released = []
    network.watch(steps.Step.MAP_RELEASED, released.append)
    network.planning = False
    assert network.run_fairly(rounds=60, until=lambda: bool(released))
    for envelope in late:
        network.deliver(envelope)
    network.run_fairly(rounds=20)
    assert network.group.mixed_steps == []
    finish(network)


@pytest.mark.parametrize('away', [False, True], ids=['store', 'no-store'])
def test_agent_restarts_while_the_group_is_held(network, away):
    """The group waits for as long as the store is away.

    Sequence: a rank is held; its agent restarts and knows no fence; the
    store cannot be read.
    Cause: only the store could tell the fence; now the other agents do.
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
    the others are at different stages of the change.
    Cause: it was given a map before it was settled which one is in force.
    """
    network.watch(step, lambda _: network.group.restart(rank))
    network.run_fairly(rounds=60)
    assert network.group.mixed_steps == []
    finish(network)


def test_load_that_never_ends_is_undone(network):
    """A change hangs, and with it every later one.

    Sequence: one rank's weights never arrive.
    Cause: without a limit the leader waits for ever; the group must not be
    touched meanwhile.
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


def test_dead_rank_is_shown(network):
    """The group stands still and nobody says why.

    Sequence: an engine dies for good in the middle of a change.
    Cause: a group in lock-step cannot go on without a rank; the operator
    has to see which.
    """
    network.watch(steps.Step.MAP_ARMED, lambda _: network.group.kill(2))
    network.run_fairly(rounds=60)
    decisions = [one.decision for one in network.running.values()]
    assert map_recovery.Missing(ranks=(2,)) in decisions
    assert network.group.mixed_steps == []


def test_agent_that_is_gone_is_shown(network):
    """A leader waits and the operator cannot see for which agent."""
    network.run_fairly(rounds=10)
    network.stop_agent('agent-1')
    network.run_fairly(rounds=10)
    troubles = [one.trouble for one in network.running.values()]
    assert map_conversation.Trouble.UNREACHED in troubles
    network.start_agent('agent-1')
    finish(network)
