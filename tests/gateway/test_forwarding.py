"""Tests of the way of a request, with endpoints that fail in every way."""

import anyio
import msgspec
import pytest

from marigoldramp.gateway import deployment

from . import fake_endpoint as fake
from . import site

pytestmark = pytest.mark.anyio
Fake = fake.FakeEndpoint
NOT_RUN = (408, 421, 429, 503)
ROUTES = {
    'idempotent': site.make_route,
    'non_idempotent': site.FORBIDDEN,
    'resumable': site.RESUMED,
}


def make(identity, *scripts):
    return Fake(identity=identity, scripts=scripts)


@pytest.mark.parametrize(
    ('method', 'body'), [('GET', b''), ('POST', b'x' * 5000), ('POST', b'')]
)
async def test_whole_answer_and_unchanged_request(method, body):
    one = make('i-1', fake.answer(b'fine', more='X-Own: 7\r\n'))
    async with site.run_site(one) as running:
        got = await site.call(
            running,
            method,
            '/notes/a%20b?q=1',
            body=body,
            more='X-Extra: 5\r\nTime-Budget-Ms: 900\r\nTenant: forged\r\n',
        )
    assert (got.status, got.body, got.complete) == (200, b'fine', True)
    assert got.headers['runner-seal'] == 's.1'
    assert got.headers['x-own'] == '7'
    seen = one.seen[0]
    assert (seen.method, seen.target) == (method, '/notes/a%20b?q=1')
    assert seen.body == body
    assert seen.headers['x-extra'] == '5'
    assert seen.headers['expect-instance'] == 'i-1'
    assert 0 < int(seen.headers['time-budget-ms']) <= 900
    assert 'tenant' not in seen.headers


@pytest.mark.parametrize('kind', ROUTES)
@pytest.mark.parametrize(
    'fault',
    [
        fake.cut,
        fake.garbage,
        fake.truncate,
        fake.answer(sealed=False),
        fake.answer(attempt='other'),
        fake.answer(more='Content-Encoding: gzip\r\n'),
    ],
    ids=['cut', 'garbage', 'truncated', 'unsealed', 'foreign', 'encoded'],
)
async def test_request_may_have_run(kind, fault):
    """A call runs twice, or its failure is told as "not run".

    Sequence: an endpoint takes a request and gives no sound answer.
    Cause: a retry without regard to what the route allows.
    """
    one = make('i-1', fault)
    two = make('i-2', fault)
    config = site.make_configuration(ROUTES[kind]())
    async with site.run_site(one, two, configuration=config) as running:
        got = await site.call(running, 'POST', body=b'x')
    runs = len(one.seen) + len(two.seen)
    assert runs == (1 if kind == 'non_idempotent' else 2)
    assert got.status == 502
    assert 'runner-seal' not in got.headers
    assert msgspec.json.decode(got.body)['outcome'] == 'outcome_unknown'


@pytest.mark.parametrize('kind', ROUTES)
async def test_declined_request_goes_elsewhere(kind):
    one = make('i-1', fake.decline())
    two = make('i-2', fake.decline())
    three = make('i-3', fake.answer(b'ran'))
    config = site.make_configuration(ROUTES[kind]())
    async with site.run_site(one, two, three, configuration=config) as running:
        got = await site.call(running, 'POST', body=b'x')
    assert (got.status, got.body) == (200, b'ran')
    assert len(three.seen) == 1


@pytest.mark.parametrize('kind', ROUTES)
@pytest.mark.parametrize('status', [421, 429, 503])
async def test_declined_everywhere_is_told_as_not_run(kind, status):
    one = make('i-1', fake.decline(status))
    config = site.make_configuration(ROUTES[kind](timeout=0.3))
    async with site.run_site(one, configuration=config) as running:
        got = await site.call(running, 'POST', body=b'x')
    assert got.status == 503
    assert float(got.headers['retry-after']) > 0.0
    assert msgspec.json.decode(got.body)['outcome'] == 'not_run'


async def test_endpoint_that_cannot_be_reached_costs_nothing():
    one = make('i-1', fake.answer(b'never'))
    two = make('i-2', fake.answer(b'ran'))
    config = site.make_configuration(site.FORBIDDEN())
    async with site.run_site(one, two, configuration=config) as running:
        table = running.gateway.table
        table.put(site.make_record(one, port=1))
        for _ in range(4):
            got = await site.call(running, 'POST', body=b'x')
            assert (got.status, got.body) == (200, b'ran')
    assert not one.seen


@pytest.mark.parametrize('kind', ROUTES)
async def test_failure_of_the_endpoint_is_passed_on_unchanged(kind):
    one = make('i-1', fake.answer(b'bad', 500))
    config = site.make_configuration(ROUTES[kind](attempts=1))
    async with site.run_site(one, configuration=config) as running:
        got = await site.call(running, 'POST', body=b'x')
    assert (got.status, got.body) == (500, b'bad')
    assert got.headers['runner-seal'] == 's.1'


async def test_failure_of_an_idempotent_request_is_tried_elsewhere():
    one = make('i-1', fake.answer(b'bad', 500), fake.answer(b'good'))
    two = make('i-2', fake.answer(b'bad', 500), fake.answer(b'good'))
    async with site.run_site(one, two) as running:
        statuses = []
        for _ in range(3):
            statuses.append((await site.call(running)).status)
    assert statuses[-1] == 200


@pytest.mark.parametrize(
    ('kind', 'status'),
    [('idempotent', 504), ('non_idempotent', 504), ('resumable', 504)],
)
async def test_silent_endpoint_ends_at_the_route_s_timeout(kind, status):
    one = make('i-1', fake.hang)
    config = site.make_configuration(ROUTES[kind](timeout=0.3, attempts=1))
    async with site.run_site(one, configuration=config) as running:
        got = await site.call(running, 'POST', body=b'x')
    assert got.status == status
    assert got.complete


async def test_answer_that_comes_twice_reaches_nobody_else():
    """A caller gets the answer to another one's request.

    Sequence: an endpoint answers a request twice; the connection is used
    again; the second copy is taken for the next request's answer.
    Cause: a connection kept with bytes left to read on it.
    """
    one = make('i-1', fake.answer_twice)
    async with site.run_site(one) as running:
        for number in range(6):
            got = await site.call(running, attempt=f'a{number}')
            assert got.status in (200, 502)
            if got.status == 200:
                assert got.body == b'right'


async def test_connections_are_used_again():
    one = make('i-1', fake.answer(b'x', more='Keep-Alive: timeout=5\r\n'))
    async with site.run_site(one) as running:
        for _ in range(5):
            assert (await site.call(running)).status == 200
    assert one.connections == 1


async def test_requests_that_must_not_repeat_get_fresh_connections():
    """A call that must not repeat ends as "outcome unknown" for nothing.

    Sequence: an endpoint closes an idle connection as a request goes out.
    Cause: the request had to use that connection.
    """
    one = make('i-1', fake.answer(b'x', more='Keep-Alive: timeout=5\r\n'))
    config = site.make_configuration(site.FORBIDDEN())
    async with site.run_site(one, configuration=config) as running:
        for _ in range(3):
            assert (await site.call(running)).status == 200
    assert one.connections == 3


async def test_caller_that_leaves_ends_the_work():
    """An endpoint works on for a caller that has gone.

    Sequence: a caller closes its connection before the answer comes.
    Cause: the end of the caller's connection goes unnoticed until then.
    """
    one = make('i-1', fake.hang)
    async with site.run_site(one) as running:
        async with site.connect(running) as stream:
            await site.send_request(stream)
            await one.arrived.wait()
        with anyio.fail_after(site.TIMEOUT_SECONDS):
            await one.closed.wait()
        forwarder = running.gateway.forwarder
        await running.until(lambda: forwarder.running == 0)
        assert running.gateway.table.find('i-1').own_requests == 0


def resume(seen):
    return int(seen.headers.get('last-event-id', '0')) + 1


@pytest.mark.parametrize('ending', ['cut', 'half', 'half_close'])
async def test_stream_goes_on_at_another_endpoint(ending):
    """A stream misses events, repeats some, or joins two halves of events.

    Sequence: an endpoint breaks off after some events, or in the middle of
    one; another goes on after the last whole event.
    Cause: bytes of an event that was not whole were passed on.
    """
    scripts = [
        fake.stream_events(1, 3, ending=ending, begins=resume),
        fake.stream_events(1, 6, begins=resume),
    ]
    one = make('i-1', *scripts)
    two = make('i-2', *scripts)
    config = site.make_configuration(site.RESUMED())
    async with site.run_site(one, two, configuration=config) as running:
        # Both break off at first; the request may run on two endpoints.
        one.scripts = scripts[1:]
        got = await site.call(running, 'POST', body=b'x')
        if not two.seen:
            two.scripts = scripts[1:]
            one.scripts = list(scripts)
            got = await site.call(running, 'POST', body=b'x', attempt='a2')
    assert got.body == b''.join(fake.event(one) for one in range(1, 7))
    assert got.complete


@pytest.mark.parametrize(
    ('ending', 'whole'),
    [('whole', True), ('close', True), ('cut', False), ('half_close', False)],
)
async def test_end_of_a_stream_that_is_not_resumed(ending, whole):
    one = make('i-1', fake.stream_events(1, 3, ending=ending))
    route = site.FORBIDDEN(streams=True)
    config = site.make_configuration(route)
    async with site.run_site(one, configuration=config) as running:
        got = await site.call(running, 'POST', body=b'x')
    assert got.body == b''.join(fake.event(one) for one in range(1, 4))
    assert got.complete is whole


async def test_events_arrive_one_by_one():
    first = anyio.Event()

    async def script(stream, seen):
        more = 'Content-Type: text/event-stream\r\n'
        more += 'Transfer-Encoding: chunked\r\n\r\n'
        await stream.send(fake.head(seen, more=more).encode())
        await stream.send(fake.chunk(fake.event(1)))
        await first.wait()
        await stream.send(fake.chunk(fake.event(2)) + b'0\r\n\r\n')

    one = make('i-1', script)
    config = site.make_configuration(site.RESUMED())
    async with site.run_site(one, configuration=config) as running:
        async with site.connect(running) as stream:
            await site.send_request(stream, 'POST', body=b'x')
            seen = b''
            while fake.event(1) not in seen:
                seen += await stream.receive()
            assert fake.event(2) not in seen
            first.set()
            while not seen.endswith(b'0\r\n\r\n'):
                seen += await stream.receive()


async def test_leaving_endpoint_gets_nothing_new():
    """An endpoint that leaves still gets requests.

    Sequence: requests wait for room; the endpoint says that it leaves.
    Cause: only new requests, not waiting ones, look at who leaves.
    """
    release = anyio.Event()

    async def slow(stream, seen):
        await release.wait()
        await fake.answer()(stream, seen)

    one = make('i-1', slow)
    config = site.make_configuration(site.make_route(timeout=1.0))
    async with site.run_site(one, configuration=config) as running:
        running.gateway.table.put(site.make_record(one, slots=1))
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(site.call, running)
            await one.arrived.wait()
            waiting = running.gateway.dispatcher
            tasks.start_soon(site.call, running)
            await running.until(lambda: waiting.count_waiting('notes') == 1)
            running.gateway.follower.apply_changes(
                site.listings.Changes(
                    records=(site.make_record(one, leaving=True),),
                    removed=(),
                    revision=2,
                )
            )
            release.set()
    assert len(one.seen) == 1


@pytest.mark.parametrize(
    ('key', 'public', 'age', 'status'),
    [
        ('good', False, 0.0, 200),
        ('bad', False, 0.0, 401),
        ('', False, 0.0, 401),
        ('', True, 0.0, 200),
        ('bad', False, 3.0, 503),
        ('good', False, 3.0, 200),
        ('good', False, 4.9, 503),
        ('', True, 60.0, 200),
    ],
)
async def test_keys_are_trusted_for_a_time_only(key, public, age, status):
    """A key works long after it was taken away.

    Sequence: the store and all peers go silent; the operator takes a key
    away; a caller uses it.
    Cause: a configuration believed for longer than it was confirmed.
    """
    one = make('i-1', fake.answer())
    config = site.make_configuration(
        site.make_route(public=public),
        customers={'good': deployment.Customer(name='house')},
    )
    async with site.run_site(one, configuration=config) as running:
        running.configuration.away = True
        held = running.gateway.active_configuration
        held.confirmed_at = running.gateway._clock() - age
        more = f'Authorization: Bearer {key}\r\n' if key else ''
        got = await site.call(running, more=more + 'Tenant: forged\r\n')
    assert got.status == status
    if status == 200:
        expected = 'house' if key == 'good' else None
        assert one.seen[0].headers.get('tenant') == expected
        assert 'authorization' not in one.seen[0].headers


async def test_unknown_route_and_no_configuration():
    one = make('i-1', fake.answer())
    async with site.run_site(one) as running:
        assert (await site.call(running, path='/other/')).status == 404
        assert (await site.call(running, host='other')).status == 404
        running.gateway.active_configuration.current = None
        assert (await site.call(running)).status == 503
    assert not one.seen


async def test_planned_stop_cuts_nothing():
    """A stop cuts a request that is in flight.

    Sequence: a request runs; the process is asked to stop.
    Cause: the process ends before its requests do.
    """
    release = anyio.Event()

    async def slow(stream, seen):
        await release.wait()
        await fake.answer(b'late')(stream, seen)

    one = make('i-1', slow)
    async with site.run_site(one) as running:
        async with site.connect(running) as stream:
            await site.send_request(stream)
            await one.arrived.wait()
            running.gateway.begin_stop()
            assert not running.gateway.is_ready()
            release.set()
            got = await site.read_answer(stream)
    assert (got.status, got.body) == (200, b'late')
    assert got.headers['connection'] == 'close'


async def test_requests_outlast_a_service_that_runs_nothing_for_a_while():
    """Requests are refused or cut though their service is back in time.

    Sequence: a group of ranks breaks; every endpoint declines all requests,
    and cuts the streams that it runs; a moment later all is well.
    Cause: requests that use up their tries and the budget of repeats while
    nothing can run.
    """
    well = False

    async def script(stream, seen):
        if not well:
            await fake.decline()(stream, seen)
            return True
        return await fake.stream_events(1, 3, begins=resume)(stream, seen)

    async def first(stream, seen):
        return await fake.stream_events(1, 1, ending='cut')(stream, seen)

    fakes = [make(f'i-{number}', script) for number in range(3)]
    fakes[0].scripts = [first, script]
    config = site.make_configuration(site.RESUMED())
    statuses = []

    async with site.run_site(*fakes, configuration=config) as running:
        breaker = running.gateway.dispatcher.circuit_breaker('notes')

        async def run(number):
            got = await site.call(
                running, 'POST', body=b'x', attempt=f'a{number}'
            )
            statuses.append((got.status, got.complete, got.body))

        async with anyio.create_task_group() as tasks:
            for number in range(8):
                tasks.start_soon(run, number)
            await running.until(lambda: breaker.is_tripped)
            sends = sum(len(one.seen) for one in fakes)
            await anyio.sleep(0.5)
            assert sum(len(one.seen) for one in fakes) - sends <= 5
            well = True
    events = b''.join(fake.event(one) for one in range(1, 4))
    good = [one for one in statuses if one == (200, True, events)]
    assert len(good) >= 6
    refused = [one for one in statuses if one not in good]
    assert {status for status, _, _ in refused} <= {503}


@pytest.mark.parametrize(
    ('path', 'script', 'timeout', 'outcome'),
    [
        ('/notes/', fake.answer(), 5.0, 'served'),
        ('/other/', fake.answer(), 5.0, 'refused:unknown_route'),
        ('/notes/', fake.cut, 5.0, 'unknown:endpoint_failed'),
        ('/notes/', fake.hang, 0.3, 'unknown:deadline'),
        ('/notes/', fake.decline(), 0.3, 'refused:'),
    ],
)
async def test_each_request_leaves_a_line_with_what_decided_it(
    path, script, timeout, outcome, lines
):
    one = make('i-1', script)
    config = site.make_configuration(site.make_route(timeout=timeout))
    async with site.run_site(one, configuration=config) as running:
        await site.call(running, path=path, attempt='a-7')
        await running.until(lambda: lines('request ended'))
    found = lines('request ended')[0]
    assert found['request'] == 'a-7'
    assert found['outcome'].startswith(outcome)
    assert found['version'] == 1
    assert 0.0 <= found['version_age'] < 5.0
    assert found['seconds'] >= 0.0


async def test_metrics_page_shows_requests_and_beliefs():
    one = make('i-1', fake.answer())
    async with site.run_site(one) as running:
        await site.call(running)
        await running.until(lambda: running.gateway.forwarder.running == 0)
        page = running.gateway._metrics.render().decode()
    assert 'marigoldramp_requests_total{outcome="served",route="r"} 1' in page
    assert 'marigoldramp_request_seconds_count{outcome="served"} 1' in page
    assert 'marigoldramp_configuration_version 1' in page
    assert 'marigoldramp_known_endpoints 1.0' in page
