"""Tests of the choice of an endpoint."""

import collections
import random

import hypothesis
from hypothesis import strategies
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


def make_router(clock=None, *, loads=None, most_endpoints=4):
    clock = clock or Clock()
    router = routing.Router(
        clock=clock,
        random=random.Random(1),
        data_centre='dc1',
        most_endpoints=most_endpoints,
    )
    for instance, load in (loads or {}).items():
        router.report(
            heartbeat=make_heartbeat(instance, load=load), now=clock()
        )
    return router


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


def send(router, *, instance, call, **rest):
    """Send a call to an endpoint; return what ends it."""
    candidate = router.find(service='chat', instance=instance)
    facts = make_facts(call, **rest)
    router.sent(candidate=candidate, facts=facts)

    def end(*, seconds, answered=True):
        router.ended(
            candidate=candidate,
            facts=facts,
            seconds=seconds,
            answered=answered,
        )

    return end


def count_choices(router, **rest):
    counts = collections.Counter()
    for _ in range(60):
        counts[choose(router, **rest).instance] += 1
    return counts


def test_no_endpoint():
    assert choose(make_router()).reason is outcomes.Reason.NO_ENDPOINT


def test_leaving_endpoint_is_found_but_not_chosen():
    router = make_router()
    router.report(heartbeat=make_heartbeat('a', leaving=True), now=0.0)
    assert choose(router).reason is outcomes.Reason.NO_ENDPOINT
    assert router.find(service='chat', instance='a').instance == 'a'


@pytest.mark.parametrize(
    ('load', 'remaining', 'retry_after'),
    [
        (make_load(running=4, queued=40), 2.0, 8.25),
        (make_load(running=4, queued=0, waits_ms=(0, 9000, 9000)), 2.0, 7.0),
    ],
    ids=['by-counts', 'by-forecast'],
)
def test_call_that_cannot_end_in_time_is_refused(load, remaining, retry_after):
    router = make_router(loads={'a': load})
    refusal = choose(router, remaining=remaining)
    assert refusal.reason is outcomes.Reason.CANNOT_END_IN_TIME
    assert refusal.retry_after == pytest.approx(retry_after)


def test_call_that_never_fits_is_not_asked_back():
    router = make_router(loads={'a': make_load()})
    send(router, instance='a', call='x')(seconds=5.0)
    refusal = choose(router, remaining=2.0)
    assert refusal.reason is outcomes.Reason.CANNOT_END_IN_TIME
    assert refusal.retry_after is None


@pytest.mark.parametrize('policy', routing.RoutingPolicy.names())
def test_every_policy_keeps_to_the_options(policy):
    router = make_router(loads={name: make_load() for name in 'abc'})
    service = bundle.Service(name='chat', kind='k', routing=policy)
    chosen = {
        router.choose(
            service=service, facts=make_facts(), exclude=frozenset('b')
        ).instance
        for _ in range(20)
    }
    assert chosen == {'a', 'c'}


def test_own_sends_correct_a_lagging_report():
    """Between two reports the entry's own calls count.

    Symptom: all calls of a burst go to the endpoint that looked best.
    Sequence: one report, then four calls to an endpoint before the next.
    Cause: a report does not know what was sent after it was made.
    """
    router = make_router(loads={name: make_load() for name in 'ab'})
    ends = [send(router, instance='a', call=f'{n}') for n in range(4)]
    assert count_choices(router) == {'b': 60}
    for end in ends:
        end(seconds=1.0)
    assert set(count_choices(router)) == {'a', 'b'}


def test_report_that_lies_low_is_found_out():
    """An endpoint that reports no load is believed by its waits.

    Symptom: one endpoint gets most calls and answers them late.
    Sequence: it reports idle slots; own calls take 3 s longer there.
    Cause: a wrong load report.
    """
    clock = Clock()
    loads = {'liar': make_load(), 'honest': make_load(running=3)}
    router = make_router(clock, loads=loads)
    send(router, instance='honest', call='first')(seconds=1.0)
    for number in range(30):
        for instance, seconds in (('liar', 4.0), ('honest', 1.0)):
            end = send(router, instance=instance, call=f'{number}')
            end(seconds=seconds)
    assert count_choices(router) == {'honest': 60}
    # The verdict fades, so that an endpoint that is well again gets calls.
    clock.now += 120.0
    for instance, load in loads.items():
        router.report(
            heartbeat=make_heartbeat(instance, load=load), now=clock.now
        )
    assert 'liar' in count_choices(router)


@pytest.mark.parametrize('reports', [True, False], ids=['reports', 'silent'])
def test_endpoint_that_has_stopped_gets_fewer_calls(reports):
    """Before any verdict an endpoint without answers ranks behind.

    Symptom: calls time out on an endpoint that looks idle.
    Sequence: answers of one endpoint stop; with its reports or without.
    Cause: an endpoint that answers nothing is not contradicted by anything.
    """
    clock = Clock()
    loads = {'dead': make_load(), 'alive': make_load(running=3)}
    router = make_router(clock, loads=loads)
    for number in range(16):
        clock.now += 0.5
        send(router, instance='alive', call=f'{number}')(seconds=0.5)
        if number < 2:
            send(router, instance='dead', call=f'{number}')(seconds=0.5)
        if number == 2 and reports:
            send(router, instance='dead', call='lost')
        for instance, load in loads.items():
            if instance == 'alive' or reports or number < 2:
                router.report(
                    heartbeat=make_heartbeat(instance, load=load),
                    now=clock.now,
                )
    assert count_choices(router) == {'alive': 60}


def test_failures_do_not_attract():
    """An endpoint that fails at once must not look fast.

    Symptom: most calls fail although most endpoints are well.
    Sequence: an endpoint refuses connections within a millisecond.
    Cause: its calls end quickly, so it always seems to have free slots.
    """
    router = make_router(loads={name: make_load() for name in 'ab'})
    for number in range(3):
        end = send(router, instance='a', call=f'{number}')
        end(seconds=0.001, answered=False)
    assert count_choices(router) == {'b': 60}


def test_own_data_centre_at_equal_estimate():
    router = make_router()
    for instance, data_centre in (('far', 'dc2'), ('near', 'dc1')):
        router.report(
            heartbeat=make_heartbeat(
                instance, data_centre=data_centre, load=make_load()
            ),
            now=0.0,
        )
    assert count_choices(router) == {'near': 60}
    end = send(router, instance='near', call='one')
    assert count_choices(router) == {'far': 60}
    end(seconds=1.0)


def test_urgent_call_is_judged_by_its_own_wait():
    load = make_load(running=4, queued=40, waits_ms=(200, 60000, 60000))
    router = make_router(loads={'a': load})
    assert choose(router, priority=0, remaining=2.0).instance == 'a'
    refusal = choose(router, priority=1, remaining=20.0)
    assert refusal.reason is outcomes.Reason.CANNOT_END_IN_TIME


def test_new_incarnation_starts_afresh():
    router = make_router(loads={'a': make_load()})
    end = send(router, instance='a', call='old')
    router.report(
        heartbeat=make_heartbeat('a', incarnation=2, load=make_load()),
        now=1.0,
    )
    assert router.find(service='chat', instance='a').in_flight == 0
    end(seconds=1.0, answered=False)
    assert router.find(service='chat', instance='a').in_flight == 0


def test_table_is_bounded():
    loads = {f'{number}': make_load() for number in range(9)}
    router = make_router(loads=loads, most_endpoints=4)
    assert len(router.candidates('chat')) == 4
    router.drop(instance='0')
    assert len(router.candidates('chat')) == 3


STEPS = strategies.lists(
    strategies.tuples(
        strategies.sampled_from(['send', 'end', 'report', 'choose']),
        strategies.sampled_from('abc'),
        strategies.floats(0.0, 5.0),
    ),
    max_size=60,
)


@hypothesis.given(steps=STEPS)
def test_own_calls_are_counted_exactly(steps):
    """Whatever ends in whatever order, no call is counted twice or lost."""
    clock = Clock()
    loads = {name: make_load() for name in 'abc'}
    router = make_router(clock, loads=loads)
    open_calls = {name: [] for name in 'abc'}
    for number, (step, instance, seconds) in enumerate(steps):
        clock.now += seconds / 10.0
        match step:
            case 'send':
                end = send(router, instance=instance, call=f'{number}')
                open_calls[instance].append(end)
            case 'end' if open_calls[instance]:
                end = open_calls[instance].pop(0)
                end(seconds=seconds, answered=seconds < 4.0)
            case 'report':
                router.report(
                    heartbeat=make_heartbeat(instance, load=loads[instance]),
                    now=clock.now,
                )
            case 'choose':
                chosen = choose(router)
                assert chosen.instance in 'abc'
        for name, ends in open_calls.items():
            found = router.find(service='chat', instance=name)
            assert found.in_flight == len(ends)
