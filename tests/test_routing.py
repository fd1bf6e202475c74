"""Tests of the choice of an endpoint."""

import random

import pytest

from marigoldramp import bundle
from marigoldramp import messages
from marigoldramp import outcomes
from marigoldramp import routing

SERVICE = bundle.Service(name='chat', kind='model_engine')


class Clock:
    """A clock that tests set."""

    def __init__(self):
        self.now = 0.0

    def __call__(self):
        return self.now


def make_heartbeat(instance, *, load=None, incarnation=1, **rest):
    values = {
        'role': messages.Role.AGENT,
        'data_centre': 'dc1',
        'host': '127.0.0.1',
        'call_port': 1,
        'control_port': 2,
        'datagram_port': 3,
        'sequence': 1,
        'sent_at': 0.0,
        'bundle': 1,
        'service': 'chat',
        **rest,
    }
    return messages.Heartbeat(
        instance=instance, incarnation=incarnation, load=load, **values
    )


def make_load(*, running=0, queued=0, slots=4, service_ms=1000, **rest):
    return messages.Load(
        running=running,
        queued=queued,
        slots=slots,
        service_ms=service_ms,
        wait_ms=0,
        **rest,
    )


def make_router(clock=None):
    return routing.Router(
        clock=clock or Clock(),
        random=random.Random(1),
        data_centre='dc1',
        most_endpoints=4,
    )


def make_facts(call='c', *, remaining=10.0, priority=1, **rest):
    return routing.CallFacts(
        call=call,
        service='chat',
        customer='a',
        priority=priority,
        remaining=remaining,
        **rest,
    )


def choose(router, *, exclude=frozenset(), **rest):
    return router.choose(
        service=SERVICE, facts=make_facts(**rest), exclude=exclude
    )


def test_no_endpoint():
    assert choose(make_router()).reason is outcomes.Reason.NO_ENDPOINT


def test_leaving_endpoint_is_found_but_not_chosen():
    router = make_router()
    router.report(heartbeat=make_heartbeat('a', leaving=True), now=0.0)
    assert choose(router).reason is outcomes.Reason.NO_ENDPOINT
    assert router.find(service='chat', instance='a').instance == 'a'


def test_call_that_cannot_end_in_time_is_refused():
    router = make_router()
    load = make_load(running=4, queued=40)
    router.report(heartbeat=make_heartbeat('a', load=load), now=0.0)
    refusal = choose(router, remaining=2.0)
    assert refusal.reason is outcomes.Reason.CANNOT_END_IN_TIME
    assert refusal.retry_after > 1.0


@pytest.mark.parametrize('policy', routing.RoutingPolicy.names())
def test_every_policy_keeps_to_the_options(policy):
    router = make_router()
    for instance in ('a', 'b', 'c'):
        router.report(
            heartbeat=make_heartbeat(instance, load=make_load()), now=0.0
        )
    service = bundle.Service(name='chat', kind='k', routing=policy)
    chosen = {
        router.choose(
            service=service, facts=make_facts(), exclude=frozenset('b')
        ).instance
        for _ in range(20)
    }
    assert chosen == {'a', 'c'}
