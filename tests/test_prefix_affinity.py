"""Tests of the routing policy that follows prefix caches."""

import random

import pytest

from marigoldramp import bundle
from marigoldramp import messages
from marigoldramp import outcomes
from marigoldramp import routing

PREFIX = tuple(bytes([number] * 7 + [0]) for number in range(64))
SERVICE = bundle.Service(
    name='s', kind='model_engine', routing='prefix_affinity'
)
NAMES = ('a', 'b', 'c', 'd', 'e', 'f')


def make_facts(prefix=PREFIX):
    return routing.CallFacts(
        call='c',
        service='s',
        customer='c',
        priority=1,
        remaining=10.0,
        prefix=prefix,
    )


def make_heartbeat(name, running=0, service_ms=400):
    return messages.Heartbeat(
        instance=name,
        role=messages.Role.AGENT,
        data_centre='x',
        host='127.0.0.1',
        call_port=1,
        control_port=1,
        datagram_port=1,
        incarnation=1,
        sequence=1,
        sent_at=0.0,
        bundle=1,
        service='s',
        load=messages.Load(
            running=running,
            queued=0,
            slots=8,
            service_ms=service_ms,
            wait_ms=0,
        ),
    )


class Entry:
    """A router over six endpoints with one policy."""

    def __init__(self, **running):
        self.router = routing.Router(
            clock=lambda: 0.0,
            random=random.Random(1),
            data_centre='x',
            most_endpoints=9,
        )
        for name in NAMES:
            self.report(name, running.get(name, 0))
        # The policy is made with the first call.
        self.choose(prefix=())

    def report(self, name, running=0):
        self.router.report(heartbeat=make_heartbeat(name, running), now=0.0)

    def choose(self, prefix=PREFIX):
        chosen = self.router.choose(
            service=SERVICE, facts=make_facts(prefix), exclude=frozenset()
        )
        assert not isinstance(chosen, outcomes.NotRun)
        return chosen.instance

    def tell(self, name, sequence=1, **rest):
        self.router.note_cache_events(
            messages.CacheEvents(
                instance=name,
                service='s',
                incarnation=1,
                sequence=sequence,
                sent_at=0.0,
                **rest,
            )
        )


def test_call_goes_where_its_prefix_is():
    entry = Entry()
    entry.tell('e', stored=PREFIX)
    assert {entry.choose() for _ in range(20)} == {'e'}


def test_call_follows_the_ones_before_it():
    entry = Entry()
    first = entry.choose()
    assert {entry.choose() for _ in range(20)} == {first}


@pytest.mark.parametrize(
    ('running', 'outbid'), [(0, False), (2, False), (4, True), (8, True)]
)
def test_load_outbids_the_cache(running, outbid):
    """One endpoint gets all calls of a template and the others stand idle.

    What the cache saves is bounded; a batch that is full costs more.
    """
    entry = Entry(e=running)
    entry.tell('e', stored=PREFIX)
    assert (entry.choose() != 'e') == outbid


@pytest.mark.parametrize('way', ['gap', 'evicted', 'gone'])
def test_cache_that_was_lost_attracts_nothing(way):
    entry = Entry(e=2)
    entry.tell('e', stored=PREFIX)
    assert entry.choose() == 'e'
    match way:
        case 'gap':
            entry.tell('e', sequence=2, gap=True)
        case 'evicted':
            entry.tell('e', sequence=2, evicted=PREFIX)
        case 'gone':
            entry.router.drop(instance='e')
            entry.report('e', 2)
    assert entry.choose() != 'e'


def test_events_of_other_services_are_ignored():
    entry = Entry()
    entry.router.note_cache_events(
        messages.CacheEvents(
            instance='e', service='t', incarnation=1, sequence=1, sent_at=0.0
        )
    )
    assert entry.choose() in NAMES


def test_calls_without_a_prefix_are_spread():
    entry = Entry()
    assert len({entry.choose(prefix=()) for _ in range(60)}) == len(NAMES)
