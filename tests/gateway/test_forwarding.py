"""Tests of serving requests with endpoints that fail in various ways."""

import anyio
import msgspec
import pytest

from marigoldramp.gateway import deployment
from marigoldramp.gateway import outbound
from marigoldramp import logs

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


def make_endpoint(identity, *scripts):
    return Fake(identity=identity, scripts=scripts)


@pytest.mark.parametrize(
    ('method', 'body'), [('GET', b''), ('POST', b'x' * 5000), ('POST', b'')]
)
async def test_whole_answer_and_unchanged_request(method, body):
    one = make_endpoint('i-1', fake.answer(b'fine', more='X-Own: 7\r\n'))
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
        fake.answer(signed=False),
        fake.answer(attempt='other'),
        fake.answer(more='Content-Encoding: gzip\r\n'),
    ],
    ids=['cut', 'garbage', 'truncated', 'unsealed', 'foreign', 'encoded'],
)
async def test_request_that_may_have_run_is_retried_only_if_repeatable(
    kind, fault
):
    """Guards against forbidden retries and outcomes wrongly given as not run.

    An endpoint accepts a request and sends no valid response.  Whether the
    request may be retried depends on its route.
    """
    one = make_endpoint('i-1', fault)
    two = make_endpoint('i-2', fault)
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
    one = make_endpoint('i-1', fake.decline())
    two = make_endpoint('i-2', fake.decline())
    three = make_endpoint('i-3', fake.answer(b'ran'))
    config = site.make_configuration(ROUTES[kind]())
    async with site.run_site(one, two, three, configuration=config) as running:
        got = await site.call(running, 'POST', body=b'x')
    assert (got.status, got.body) == (200, b'ran')
    assert len(three.seen) == 1


@pytest.mark.parametrize('kind', ROUTES)
@pytest.mark.parametrize('status', [421, 429, 503])
async def test_request_declined_everywhere_is_reported_as_not_run(
    kind, status
):
    one = make_endpoint('i-1', fake.decline(status))
    config = site.make_configuration(ROUTES[kind](timeout=0.3))
    async with site.run_site(one, configuration=config) as running:
        got = await site.call(running, 'POST', body=b'x')
    assert got.status == 503
    assert float(got.headers['retry-after']) > 0.0
    assert msgspec.json.decode(got.body)['outcome'] == 'not_run'


async def test_unreachable_endpoint_is_skipped():
    one = make_endpoint('i-1', fake.answer(b'never'))
    two = make_endpoint('i-2', fake.answer(b'ran'))
    config = site.make_configuration(site.FORBIDDEN())
    async with site.run_site(one, two, configuration=config) as running:
        table = running.gateway.table
        table.put(site.make_record(one, port=1))
        for _ in range(4):
            got = await site.call(running, 'POST', body=b'x')
            assert (got.status, got.body) == (200, b'ran')
    assert not one.seen


@pytest.mark.parametrize(
    ('dead', 'sound', 'status'), [(4, 1, 200), (12, 2, 200), (12, 0, 503)]
)
async def test_request_reaches_the_sound_one_of_many_dead_endpoints(
    dead, sound, status
):
    """Guards against a refusal for no endpoint while one is there."""
    endpoints = [
        make_endpoint(f'sound-{number}', fake.answer())
        for number in range(sound)
    ]
    gone = make_endpoint('gone')
    # Nothing listens there; a port that was freed may be taken by another.
    gone.port = 1
    route = site.make_route(timeout=8.0)
    config = site.make_configuration(route)
    async with site.run_site(*endpoints, configuration=config) as running:
        table = running.gateway.table
        for number in range(dead):
            table.put(site.make_record(gone, identity=f'dead-{number}'))
        # The dead ones look idle, and are chosen first.
        for one in endpoints:
            table.find(one.identity).peer_requests = 2
        got = await site.call(running)
    assert got.status == status


@pytest.mark.parametrize('kind', ROUTES)
async def test_error_response_is_passed_on_unchanged(kind):
    one = make_endpoint('i-1', fake.answer(b'bad', 500))
    config = site.make_configuration(ROUTES[kind](attempts=1))
    async with site.run_site(one, configuration=config) as running:
        got = await site.call(running, 'POST', body=b'x')
    assert (got.status, got.body) == (500, b'bad')
    assert got.headers['runner-seal'] == 's.1'


async def test_error_response_to_an_idempotent_request_is_retried():
    one = make_endpoint('i-1', fake.answer(b'bad', 500), fake.answer(b'good'))
    two = make_endpoint('i-2', fake.answer(b'bad', 500), fake.answer(b'good'))
    async with site.run_site(one, two) as running:
        statuses = []
        for _ in range(3):
            statuses.append((await site.call(running)).status)
    assert statuses[-1] == 200


@pytest.mark.parametrize(
    ('kind', 'status'),
    [('idempotent', 504), ('non_idempotent', 504), ('resumable', 504)],
)
async def test_silent_endpoint_times_out_at_the_route_timeout(kind, status):
    one = make_endpoint('i-1', fake.hang)
    config = site.make_configuration(ROUTES[kind](timeout=0.3, attempts=1))
    async with site.run_site(one, configuration=config) as running:
        got = await site.call(running, 'POST', body=b'x')
    assert got.status == status
    assert got.complete


async def test_second_response_reaches_no_other_caller():
    """Guards against a caller that gets the response to another request.

    An endpoint responds to a request twice.  If the connection is reused with
    unread bytes, the second copy counts as the response to the next request.
    """
    one = make_endpoint('i-1', fake.answer_twice)
    async with site.run_site(one) as running:
        for number in range(6):
            got = await site.call(running, attempt=f'a{number}')
            assert got.status in (200, 502)
            if got.status == 200:
                assert got.body == b'right'


async def test_connections_are_reused():
    one = make_endpoint(
        'i-1', fake.answer(b'x', more='Keep-Alive: timeout=5\r\n')
    )
    async with site.run_site(one) as running:
        for _ in range(5):
            assert (await site.call(running)).status == 200
    assert one.connections == 1


async def test_requests_that_must_not_repeat_get_fresh_connections():
    """Guards against needless "outcome unknown" for requests without retries.

    An endpoint may close an idle connection just when a request is sent on it.
    """
    one = make_endpoint(
        'i-1', fake.answer(b'x', more='Keep-Alive: timeout=5\r\n')
    )
    config = site.make_configuration(site.FORBIDDEN())
    async with site.run_site(one, configuration=config) as running:
        for _ in range(3):
            assert (await site.call(running)).status == 200
    assert one.connections == 3


async def test_request_is_cancelled_when_its_caller_disconnects():
    """Guards against an endpoint that runs a request nobody waits for.

    A caller closes its connection before the response arrives.  The gateway
    must notice this at once and not only when the response arrives.
    """
    one = make_endpoint('i-1', fake.hang)
    async with site.run_site(one) as running:
        async with site.connect(running) as stream:
            await site.send_request(stream)
            await one.arrived.wait()
        with anyio.fail_after(site.TIMEOUT_SECONDS):
            await one.closed.wait()
        forwarder = running.gateway.forwarder
        await running.until(lambda: forwarder.running == 0)
        assert running.gateway.table.find('i-1').own_requests == 0


def next_event(seen):
    return int(seen.headers.get('last-event-id', '0')) + 1


@pytest.mark.parametrize('ending', ['cut', 'half', 'half_close'])
async def test_stream_is_resumed_at_another_endpoint(ending):
    """Guards against missing, repeated and mixed-up events.

    An endpoint fails after some events or in the middle of one, and another
    one resumes after the last complete event.  Bytes of an incomplete event
    must not be passed on.
    """
    scripts = [
        fake.stream_events(1, 3, ending=ending, begins=next_event),
        fake.stream_events(1, 6, begins=next_event),
    ]
    one = make_endpoint('i-1', *scripts)
    two = make_endpoint('i-2', *scripts)
    config = site.make_configuration(site.RESUMED())
    async with site.run_site(one, two, configuration=config) as running:
        # Only one endpoint may fail, as a request runs on two at most.
        one.scripts = scripts[1:]
        got = await site.call(running, 'POST', body=b'x')
        if not two.seen:
            two.scripts = scripts[1:]
            one.scripts = list(scripts)
            got = await site.call(running, 'POST', body=b'x', attempt='a2')
    assert got.body == b''.join(fake.event(one) for one in range(1, 7))
    assert got.complete


@pytest.mark.parametrize(
    ('ending', 'is_complete'),
    [('whole', True), ('close', True), ('cut', False), ('half_close', False)],
)
async def test_end_of_a_stream_that_is_not_resumed(ending, is_complete):
    one = make_endpoint('i-1', fake.stream_events(1, 3, ending=ending))
    route = site.FORBIDDEN(streams=True)
    config = site.make_configuration(route)
    async with site.run_site(one, configuration=config) as running:
        got = await site.call(running, 'POST', body=b'x')
    assert got.body == b''.join(fake.event(one) for one in range(1, 4))
    assert got.complete is is_complete


async def test_events_arrive_one_by_one():
    first = anyio.Event()

    async def script(stream, seen):
        more = 'Content-Type: text/event-stream\r\n'
        more += 'Transfer-Encoding: chunked\r\n\r\n'
        await stream.send(fake.head(seen, more=more).encode())
        await stream.send(fake.chunk(fake.event(1)))
        await first.wait()
        await stream.send(fake.chunk(fake.event(2)) + b'0\r\n\r\n')

    one = make_endpoint('i-1', script)
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


async def test_endpoint_that_is_shutting_down_gets_no_queued_request():
    """Guards against sending queued requests to a stopping endpoint.

    A request waits for a slot when the endpoint reports that it is shutting
    down.  Queued requests must avoid the endpoint as well as new ones.
    """
    release = anyio.Event()

    async def slow(stream, seen):
        await release.wait()
        await fake.answer()(stream, seen)

    one = make_endpoint('i-1', slow)
    config = site.make_configuration(site.make_route(timeout=1.0))
    async with site.run_site(one, configuration=config) as running:
        running.gateway.table.put(site.make_record(one, slots=1))
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(site.call, running)
            await one.arrived.wait()
            dispatcher = running.gateway.dispatcher
            tasks.start_soon(site.call, running)
            await running.until(lambda: dispatcher.count_waiting('notes') == 1)
            running.gateway.follower.known.apply_changes(
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
async def test_keys_are_trusted_for_a_limited_time(key, public, age, status):
    """Guards against a key that works long after it was removed.

    The store and all peers become unreachable, the operator removes a key and
    a caller uses it.  A configuration must not be trusted for long after it
    was last confirmed.
    """
    one = make_endpoint('i-1', fake.answer())
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
    one = make_endpoint('i-1', fake.answer())
    async with site.run_site(one) as running:
        assert (await site.call(running, path='/other/')).status == 404
        assert (await site.call(running, host='other')).status == 404
        running.gateway.active_configuration.current = None
        assert (await site.call(running)).status == 503
    assert not one.seen


async def test_stop_lets_running_requests_finish():
    """Guards against a stop that cuts off requests in flight.

    The process must not end before the requests that it is serving.
    """
    release = anyio.Event()

    async def slow(stream, seen):
        await release.wait()
        await fake.answer(b'late')(stream, seen)

    one = make_endpoint('i-1', slow)
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


async def test_requests_wait_while_their_service_runs_none():
    """Guards against refusals and cut streams while a service recovers.

    A group of ranks breaks: every endpoint declines all requests and cuts off
    its streams, and recovers a moment later.  Meanwhile the requests must not
    use up their attempts and the retry budget.
    """
    recovered = False

    async def script(stream, seen):
        if not recovered:
            await fake.decline()(stream, seen)
            return True
        return await fake.stream_events(1, 3, begins=next_event)(stream, seen)

    async def first(stream, seen):
        return await fake.stream_events(1, 1, ending='cut')(stream, seen)

    fakes = [make_endpoint(f'i-{number}', script) for number in range(3)]
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
            recovered = True
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
async def test_each_request_is_logged_with_its_outcome(
    path, script, timeout, outcome, lines
):
    one = make_endpoint('i-1', script)
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


async def test_lines_of_requests_without_a_route_leave_room_for_others(lines):
    """Guards against a crowd's lines that replace those of other callers."""
    now = 0.0
    one = make_endpoint('i-1', fake.answer())
    async with site.run_site(one) as running:
        running.gateway.forwarder._unadmitted_lines = logs.LineBudget(
            lines_a_second=2, clock=lambda: now
        )
        for number in range(5):
            await site.call(running, path='/none/', attempt=f'n-{number}')
        await site.call(running, attempt='a-7')
        now = 1.0
        await site.call(running, path='/none/', attempt='n-5')
        await running.until(lambda: len(lines('request ended')) == 4)
    found = lines('request ended')
    written = [line['request'] for line in found]
    assert written == ['n-0', 'n-1', 'a-7', 'n-5']
    assert found[-1]['skipped_lines'] == 3


async def test_metrics_page_shows_requests_and_state():
    one = make_endpoint('i-1', fake.answer())
    async with site.run_site(one) as running:
        await site.call(running)
        await running.until(lambda: running.gateway.forwarder.running == 0)
        page = running.gateway._metrics.render().decode()
    assert 'marigoldramp_requests_total{outcome="served",route="r"} 1' in page
    assert 'marigoldramp_request_seconds_count{outcome="served"} 1' in page
    assert 'marigoldramp_configuration_version 1' in page
    assert 'marigoldramp_known_endpoints 1.0' in page


@pytest.mark.parametrize('change', ['leaving', 'gone'])
async def test_endpoint_that_leaves_while_a_connection_opens_gets_no_request(
    change, monkeypatch
):
    """Guards against requests that are sent long after the choice."""
    one = make_endpoint('i-1', fake.answer(b'late'))
    two = make_endpoint('i-2', fake.answer(b'ran'))
    opened = outbound.Pool.open

    async with site.run_site(one, two) as running:
        presence = running.gateway.follower.presence

        async def open_connection(pool, *, address, **more):
            if address.port == one.port:
                if change == 'leaving':
                    presence.note_leaving(site.make_record(one))
                else:
                    presence.note_unlisted('i-1', revision=1)
            return await opened(pool, address=address, **more)

        monkeypatch.setattr(outbound.Pool, 'open', open_connection)
        for _ in range(8):
            got = await site.call(running)
            assert (got.status, got.body) == (200, b'ran')
    assert not one.seen
