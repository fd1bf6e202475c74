"""Tests of the status: who may ask for it, and which alarms it shows."""

import types

import pytest

from marigoldramp import alarms
from marigoldramp import findings
from marigoldramp import heartbeats
from marigoldramp import membership
from marigoldramp import status

KEY = b'k' * 32
N = alarms.Name
State = membership.State


class Clock:
    """Clock that a test moves."""

    def __init__(self):
        self.now = 1000.0

    def __call__(self):
        return self.now


class Members:
    """What the alarms ask of a membership."""

    lacks_list = True

    def __init__(self):
        self.refusals = {}
        self.states = {}
        self.silent = None

    def on_silent(self, callback):
        self.silent = callback

    def all_peers(self):
        return [
            types.SimpleNamespace(instance=name, state=state, leaving=leaving)
            for name, (state, leaving) in self.states.items()
        ]


class Process:
    """Alarms of one process whose state a test sets."""

    def __init__(self):
        self.clock = Clock()
        self.members = Members()
        self.watch = alarms.Watch(clock=self.clock)
        self.alarms = alarms.ProcessAlarms(
            watch=self.watch, members=self.members, clock=self.clock
        )
        self.bundle = 1
        self.found = ()

    def show(self):
        self.shown = self.alarms.show(bundle=self.bundle, found=self.found)
        return [alarm.name for alarm in self.shown]


@pytest.mark.parametrize(
    'made, asked, key, good',
    [
        (0.0, 0.0, KEY, True),
        (0.0, 60.0, KEY, True),
        (0.0, 61.0, KEY, False),
        (61.0, 0.0, KEY, False),
        (0.0, 0.0, b'x' * 32, False),
    ],
)
def test_token(made, asked, key, good):
    token = status.Tokens(fleet_key=KEY, wall=lambda: made).make()
    tokens = status.Tokens(fleet_key=key, wall=lambda: asked)
    assert tokens.check(token.decode()) == good


@pytest.mark.parametrize('token', ['', 'x', '!!!', 'AAAA', 'é'])
def test_token_that_is_none(token):
    assert not status.Tokens(fleet_key=KEY, wall=lambda: 0.0).check(token)


def set_dead(process):
    process.members.states['a'] = (State.DEAD, False)


def set_unreachable(process):
    process.members.states['a'] = (State.UNREACHABLE, False)


def set_silent(process):
    process.members.states['a'] = (State.SILENT, False)


def set_kept_out(process):
    place = findings.Place(source='store')
    process.found = (
        findings.Finding(place=place, field='bundle 4', message='older'),
    )


def note_silent_connections(process):
    process.members.silent(types.SimpleNamespace(instance='a'))


def refuse_datagram(process):
    process.members.refusals[heartbeats.Refusal.UNAUTHENTICATED] = 1


@pytest.mark.parametrize(
    'cause, name',
    [
        (set_dead, N.PEERS_DEAD),
        (set_unreachable, N.PEERS_UNREACHABLE),
        (set_silent, N.PEERS_SILENT),
        (set_kept_out, N.BUNDLE_KEPT_OUT),
        (note_silent_connections, N.CONNECTIONS_SILENT),
        (refuse_datagram, N.DATAGRAMS_REFUSED),
    ],
)
def test_alarm_of_each_cause(cause, name):
    process = Process()
    assert process.show() == []
    cause(process)
    assert process.show() == [name]
    assert process.shown[0].detail


def test_leaving_or_replayed_is_no_alarm():
    process = Process()
    process.members.states['a'] = (State.DEAD, True)
    process.members.refusals[heartbeats.Refusal.REPLAYED] = 7
    assert process.show() == []


def test_trouble_of_a_moment_passes():
    process = Process()
    refuse_datagram(process)
    process.show()
    process.clock.now += alarms.RECENT - 1
    process.alarms.note_list_read()
    assert process.show() == [N.DATAGRAMS_REFUSED]
    process.clock.now += 1
    process.alarms.note_list_read()
    assert process.show() == []


def test_store_that_is_away():
    process = Process()
    process.clock.now += alarms.STORE_AWAY_AFTER - 1
    assert process.show() == []
    process.clock.now += 1
    assert process.show() == [N.STORE_AWAY]
    process.alarms.note_list_read()
    assert process.show() == []


def test_no_bundle_is_an_alarm_only_when_it_lasts():
    process = Process()
    process.bundle = 0
    assert process.show() == []
    process.clock.now += alarms.NO_BUNDLE_AFTER
    process.alarms.note_list_read()
    assert process.show() == [N.NO_BUNDLE]
    process.bundle = 1
    assert process.show() == []
    process.bundle = 0
    assert process.show() == []


def test_many_names_are_counted():
    names = [f'agent-{number}' for number in range(8)]
    assert alarms.spell(names) == (
        'agent-0, agent-1, agent-2, agent-3, agent-4 and 3 more'
    )


@pytest.mark.parametrize('count, shown', [(0, 0), (8, 0), (9, 1), (10, 1)])
def test_nearly_full(count, shown):
    found = alarms.nearly_full(
        name=N.QUEUE_NEARLY_FULL, count=count, bound=10, setting='agent.queue'
    )
    assert len(found) == shown


def test_alarm_is_logged_when_it_comes_and_goes(caplog):
    watch = alarms.Watch(clock=Clock())
    alarm = alarms.make(N.STORE_AWAY, 'away')
    with caplog.at_level('INFO', logger='absl'):
        for shown in ([alarm], [alarm], [], []):
            watch.log_changes(shown)
            assert watch.count == len(shown)
    assert [record.getMessage() for record in caplog.records] == [
        'alarm store_away: away',
        'alarm store_away is over',
    ]
