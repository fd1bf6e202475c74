"""Tests of what gateways report to each other about endpoints."""

import msgspec
import pytest

from . import fake_endpoint as fake
from . import site

pytestmark = pytest.mark.anyio


def slow_down(quality, now):
    quality.note_pace(pace=1.6, now=now)


def break_request(quality, now):
    quality.note_break(now=now)


def fail(quality, now):
    quality.note_error(now=now)


def stay_well(quality, now):
    quality.note_pace(pace=1.0, now=now)


@pytest.mark.parametrize(
    ('learn', 'slow', 'paces', 'is_slow_rank', 'is_slower'),
    [
        (stay_well, {}, {}, False, False),
        (slow_down, {}, {'i-1': 1.6}, True, False),
        (break_request, {'i-1': 2.5}, {}, False, True),
        (fail, {}, {}, False, False),
    ],
)
async def test_peers_learn_what_one_gateway_measures_of_an_endpoint(
    learn, slow, paces, is_slow_rank, is_slower
):
    """Guards against each gateway finding a bad endpoint by itself.

    Each would need a failed or slow request of its own for it, and one gateway
    that still uses a slow rank is enough to slow down a whole group.
    """
    one = fake.FakeEndpoint(identity='i-1', scripts=[fake.answer()])
    async with site.run_site(one) as first:
        async with site.run_site(one, instance='entry-2') as second:
            sender = first.gateway
            now = sender._clock()
            learn(sender.table.find('i-1').quality, now)
            sender._reporter.invalidate()
            report = sender._reporter.build_report(None)
            assert report.slow_endpoints == pytest.approx(slow, rel=0.05)
            assert report.paces == paces
            receiver = second.gateway
            sent = msgspec.structs.replace(report, instance='entry-1')
            receiver._reporter.apply_report(sent, frozenset())
            quality = receiver.table.find('i-1').quality
            now = receiver._clock()
            assert quality.is_slow_rank(now=now) is is_slow_rank
            assert (quality.slowness(usual=0.02, now=now) > 2.0) is is_slower
            # A gateway does not pass on what it knows only from reports.
            receiver._reporter.invalidate()
            assert receiver._reporter.build_report(None).paces == {}
            assert receiver._reporter.build_report(None).slow_endpoints == {}


async def test_pass_durations_are_reported_to_peers():
    one = fake.FakeEndpoint(identity='i-1', scripts=[fake.answer()])
    async with site.run_site(one) as first:
        async with site.run_site(one, instance='entry-2') as second:
            sender = first.gateway
            sender.dispatcher.limiter('notes').pass_times.note_local(0.12)
            sender._reporter.invalidate()
            report = sender._reporter.build_report(None, 0.1)
            assert report.passes == {'notes': 0.12}
            receiver = second.gateway
            receiver._reporter.apply_report(
                msgspec.structs.replace(report, instance='entry-1'),
                frozenset(),
            )
            assert list(receiver.dispatcher.limited_services()) == ['notes']
            receiver._reporter.invalidate()
            assert receiver._reporter.build_report(None).passes == {}


async def test_counts_of_peers_are_kept_as_reports_and_endpoints_change():
    """Guards against slots that seem free or taken after a change.

    Only the counts that a report changes are looked at, so an endpoint that
    comes back and a peer that falls silent need attention of their own.
    """
    one = fake.FakeEndpoint(identity='i-1', scripts=[fake.answer()])
    async with site.run_site(one) as entry:
        gateway = entry.gateway

        def hear(peer, sent, count):
            report = site.make_report(
                peer, sent=sent, in_flight={'i-1': count} if count else {}
            )
            touched = gateway.peers.apply_report(report)
            gateway._reporter.apply_report(report, touched)
            found = gateway.table.find('i-1')
            return touched, found and found.peer_requests

        assert hear('a', 1.0, 2) == ({'i-1'}, 2)
        assert hear('a', 2.0, 2) == (frozenset(), 2)
        assert hear('b', 1.0, 1) == ({'i-1'}, 3)
        removed = gateway.table.remove('i-1')
        assert hear('a', 3.0, 2) == (frozenset(), None)
        gateway.table.put(removed.record)
        gateway._handle_endpoint_change()
        assert hear('a', 4.0, 2) == (frozenset(), 3)
        silent = next(one for one in gateway.peers if one.instance == 'b')
        silent.heard_at = float('-inf')
        silent.known_since = gateway._clock()
        gateway.peers.expire_silent()
        assert hear('a', 5.0, 2) == ({'i-1'}, 2)
        assert hear('b', 2.0, 1) == ({'i-1'}, 3)


async def test_demand_by_priority_is_reported_to_peers():
    """Guards against a slot that is freed while an urgent request waits."""
    one = fake.FakeEndpoint(identity='i-1', scripts=[fake.answer()])
    async with site.run_site(one) as first:
        async with site.run_site(one, instance='entry-2') as second:
            for gateway in (first.gateway, second.gateway):
                gateway.dispatcher._priorities = lambda _: frozenset({0, 2})
                gateway.dispatcher.contention('notes')
            sender = first.gateway
            sender.dispatcher.contention('notes').note_arrival(
                0, now=sender._clock()
            )
            sender._reporter.invalidate()
            report = sender._reporter.build_report(None, 0.1)
            assert [one.service for one in report.demands] == ['notes']
            receiver = second.gateway
            demand = receiver.dispatcher.contention('notes').demand
            for demands, is_known in ((report.demands, True), ((), False)):
                sent = msgspec.structs.replace(
                    report, instance='entry-1', demands=demands
                )
                receiver._reporter.apply_report(sent, frozenset())
                totals = demand._add_peers(receiver._clock())
                assert (totals.arrivals.get(0, 0.0) > 0.5) is is_known


@pytest.mark.parametrize(
    ('priorities', 'stated'), [((1,), None), ((1, 2), '1'), ((1, 12), '1')]
)
async def test_endpoints_learn_the_priority_where_there_are_several(
    priorities, stated
):
    """Guards against an endpoint that starts its queue in any order."""
    one = fake.FakeEndpoint(identity='i-1', scripts=[fake.answer()])
    routes = [
        site.make_route(
            name=f'r-{priority}',
            prefix='/notes/' if priority == 1 else f'/{priority}/',
            priority=priority,
        )
        for priority in priorities
    ]
    configuration = site.make_configuration(*routes)
    async with site.run_site(one, configuration=configuration) as first:
        await site.call(first)
        assert one.seen[0].headers.get('request-priority') == stated


async def test_answers_of_the_store_to_peers_are_known():
    """Guards against taking a silence of one gateway for an outage.

    A gateway that does not call the store itself hears when it answered a
    peer, whatever the call was for.
    """
    one = fake.FakeEndpoint(identity='i-1', scripts=[fake.answer()])
    async with site.run_site(one) as first:
        async with site.run_site(one, instance='entry-2') as second:
            sender, receiver = first.gateway, second.gateway
            now = sender._clock()
            sender.follower.store.reached_at = now - 9.0
            sender.refresher.store.reached_at = now - 0.5
            sender._reporter.invalidate()
            report = sender._reporter.build_report(None)
            assert report.revision_age == pytest.approx(0.5, abs=0.3)
            outages = receiver.follower.presence.outages
            outages._answered_at = [now - 9.0]
            assert outages.may_hide_endpoints()
            receiver._reporter.apply_report(
                msgspec.structs.replace(report, instance='entry-1'),
                frozenset(),
            )
            assert outages._answered_at[-1] == pytest.approx(
                now - 0.5, abs=0.3
            )


@pytest.mark.parametrize(
    ('echo_age', 'age', 'is_own_echo', 'expected'),
    [
        (0.25, 0.5, True, -0.75),
        (0.25, -1.0, True, None),
        (0.25, 0.5, False, None),
        (None, 0.5, True, None),
    ],
    ids=['told', 'never confirmed', 'earlier process', 'no echo'],
)
async def test_peer_confirms_the_list_as_of_when_it_was_asked(
    echo_age, age, is_own_echo, expected
):
    """Guards against an old list that counts as new after a freeze."""
    one = fake.FakeEndpoint(identity='i-1', scripts=[fake.answer()])
    async with site.run_site(one) as running:
        gateway = running.gateway
        known = gateway.follower.known.summarize_held()
        gateway.follower.confirmed_at = float('-inf')
        now = gateway._clock()
        incarnation = gateway._reporter._incarnation
        gateway._reporter.apply_report(
            site.make_report(
                'entry-2',
                echo=0.0 if echo_age is None else now - echo_age,
                echo_incarnation=incarnation if is_own_echo else 1,
                revision=known.newest,
                complete=known.complete,
                checksum=known.checksum,
                complete_age=age,
            ),
            frozenset(),
        )
        found = gateway.follower.confirmed_at
        if expected is None:
            assert found == float('-inf')
        else:
            assert found - now == pytest.approx(expected)
