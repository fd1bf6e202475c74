"""Tests of how long requests are of use to their callers."""

import types

import anyio
import pytest

from marigoldramp.gateway import call_deadlines

from . import fake_endpoint as fake
from . import site

USUAL = 8.0


class Clock:
    """A clock that a test moves."""

    def __init__(self):
        self.now = 0.0

    def __call__(self):
        return self.now


@pytest.mark.parametrize(
    ('asked', 'expected'),
    [
        ([(0.0, 8.0)], 8.0),
        ([(0.0, 8.0), (1.0, 6.0)], 8.0),
        ([(0.0, 6.0), (1.0, 8.0)], 8.0),
        # Callers of the route state less from now on: learned within two
        # windows.
        ([(0.0, 8.0), (11.0, 5.0), (22.0, 5.0)], 5.0),
        ([(0.0, 8.0), (11.0, 5.0)], 8.0),
        ([(0.0, 8.0), (90.0, 5.0)], 5.0),
    ],
)
def test_usual_time_is_the_longest_stated_lately(asked, expected):
    clock = Clock()
    stated = call_deadlines.StatedTimeouts(clock=clock)
    for at, seconds in asked:
        clock.now = at
        found = stated.find_longest(route='r', stated=seconds)
    assert found == expected
    assert stated.find_longest(route='other', stated=1.0) == 1.0


def make_call(*, runs=0, asked=100.0, whole=8.0, **route):
    return types.SimpleNamespace(
        runs=runs,
        arrived=100.0,
        first_asked_at=asked,
        deadline=100.0 + whole,
        route=site.make_route(**route),
    )


@pytest.mark.parametrize(
    ('call', 'expected'),
    [
        (make_call(), 104.8),
        (make_call(streams=True), 101.6),
        (make_call(streams=True, objective=1.0), 103.6),
        (make_call(streams=True, longest_pause=0.5), 103.6),
        (make_call(streams=True, whole=1.0), 100.6),
        (make_call(streams=True, runs=1), 108.0),
        (make_call(runs=1), 108.0),
    ],
)
def test_request_is_refused_before_its_caller_gives_up(call, expected):
    """Callers leave streams that wait, and ask again to wait again.

    Sequence: a group stands for a while; more requests wait than it runs
    in two seconds; each is held until its caller has left.
    Cause: the wait was a part of the route's whole time, and callers of
    streams wait two seconds for an event.
    """
    assert call_deadlines.find_latest_start(call) == pytest.approx(expected)


@pytest.mark.parametrize(
    ('asked', 'expected'), [(100.0, 100.22), (98.0, 98.22)]
)
def test_time_of_an_earlier_attempt_counts(asked, expected):
    call = make_call(asked=asked)
    assert call_deadlines.find_late_after(call) == pytest.approx(expected)


@pytest.mark.anyio
async def test_request_that_asks_again_goes_behind_those_in_time():
    """Under load no request is answered in time, though many could be.

    Sequence: requests wait until their callers ask again; the new attempts
    arrive before others that ask for the first time and are served first,
    though they are late already.
    Cause: a second attempt was taken for a new request.
    """
    opened = anyio.Event()

    async def wait(stream, seen):
        await opened.wait()
        await fake.answer()(stream, seen)

    one = fake.FakeEndpoint(identity='i-1', scripts=[wait, fake.answer()])
    route = site.make_route(timeout=USUAL, objective=2.0)
    config = site.make_configuration(route)
    async with site.run_site(one, configuration=config) as running:
        record = site.make_record(one, slots=1)
        running.endpoints.records = [record]
        running.gateway.table.put(record)
        async with anyio.create_task_group() as tasks:
            dispatcher = running.gateway.dispatcher
            for number, (path, left) in enumerate(
                [('first', 8.0), ('again', 6.0), ('fresh', 8.0)]
            ):
                more = f'Time-Budget-Ms: {left * 1000:.0f}\r\n'

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
                    await one.arrived.wait()
            opened.set()
    targets = [seen.target for seen in one.seen]
    assert targets == ['/notes/first', '/notes/fresh', '/notes/again']
