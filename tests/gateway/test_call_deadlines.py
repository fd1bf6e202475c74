"""Tests of the deadlines for starting a request."""

import types

import anyio
import pytest

from marigoldramp.gateway import call_deadlines

from . import fake_endpoint as fake
from . import site

ROUTE_TIMEOUT = 8.0


class Clock:
    """A clock that a test advances."""

    def __init__(self):
        self.now = 0.0

    def __call__(self):
        return self.now


@pytest.mark.parametrize(
    ('attempts', 'expected'),
    [
        ([(0.0, 8.0)], 8.0),
        ([(0.0, 8.0), (1.0, 6.0)], 8.0),
        ([(0.0, 6.0), (1.0, 8.0)], 8.0),
        # Callers of the route start to state a shorter time, which is found
        # within two windows.
        ([(0.0, 8.0), (11.0, 5.0), (22.0, 5.0)], 5.0),
        ([(0.0, 8.0), (11.0, 5.0)], 8.0),
        ([(0.0, 8.0), (90.0, 5.0)], 5.0),
    ],
)
def test_first_attempt_states_the_longest_recent_time(attempts, expected):
    clock = Clock()
    stated = call_deadlines.StatedTimeouts(clock=clock)
    for now, seconds in attempts:
        clock.now = now
        found = stated.find_longest(route='r', stated=seconds)
    assert found == expected
    assert stated.find_longest(route='other', stated=1.0) == 1.0


def make_call(*, runs=0, first_asked_at=100.0, time_budget=8.0, **route):
    return types.SimpleNamespace(
        runs=runs,
        arrived=100.0,
        first_asked_at=first_asked_at,
        deadline=100.0 + time_budget,
        route=site.make_route(**route),
    )


@pytest.mark.parametrize(
    ('call', 'expected'),
    [
        (make_call(), 104.8),
        (make_call(streams=True), 101.6),
        (make_call(streams=True, objective=1.0), 103.6),
        (make_call(streams=True, longest_pause=0.5), 103.6),
        (make_call(streams=True, time_budget=1.0), 100.6),
        (make_call(streams=True, runs=1), 108.0),
        (make_call(runs=1), 108.0),
    ],
)
def test_request_is_refused_before_its_caller_gives_up(call, expected):
    """Guards against requests held until their callers give up and retry.

    Callers of streams wait two seconds for an event.  After a group has
    stopped for a while, more requests are queued than it runs in that time.
    If only a share of the route's timeout bounds their wait, each is lost.
    """
    assert call_deadlines.find_latest_start(call) == pytest.approx(expected)


@pytest.mark.parametrize(
    ('first_asked_at', 'expected'), [(100.0, 100.22), (98.0, 98.22)]
)
def test_objective_counts_from_the_first_attempt(first_asked_at, expected):
    call = make_call(first_asked_at=first_asked_at)
    assert call_deadlines.find_late_after(call) == pytest.approx(expected)


@pytest.mark.anyio
async def test_retried_request_is_queued_behind_those_on_time():
    """Guards against late responses to all requests under overload.

    Many could be in time.  Callers retry while their requests are queued.
    Treated as new, a retry is served before first attempts that arrive after
    it, though it is already late.
    """
    endpoint_released = anyio.Event()

    async def wait(stream, seen):
        await endpoint_released.wait()
        await fake.answer()(stream, seen)

    endpoint = fake.FakeEndpoint(identity='i-1', scripts=[wait, fake.answer()])
    route = site.make_route(timeout=ROUTE_TIMEOUT, objective=2.0)
    config = site.make_configuration(route)
    async with site.run_site(endpoint, configuration=config) as running:
        record = site.make_record(endpoint, slots=1)
        running.endpoints.records = [record]
        running.gateway.table.put(record)
        async with anyio.create_task_group() as tasks:
            dispatcher = running.gateway.dispatcher
            for number, (path, remaining) in enumerate(
                [('first', 8.0), ('again', 6.0), ('fresh', 8.0)]
            ):
                more = f'Time-Budget-Ms: {remaining * 1000:.0f}\r\n'

                async def ask(path=path, more=more):
                    got = await site.call(
                        running, 'GET', f'/notes/{path}', more=more
                    )
                    assert got.status == 200

                tasks.start_soon(ask)
                if number:
                    await running.until(
                        lambda number=number: dispatcher.count_waiting('notes')
                        == number
                    )
                else:
                    await endpoint.arrived.wait()
            endpoint_released.set()
    targets = [seen.target for seen in endpoint.seen]
    assert targets == ['/notes/first', '/notes/fresh', '/notes/again']
