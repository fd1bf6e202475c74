"""Tests of the adapter between the platform's protocol and the gateway."""

import pathlib
import re

import msgspec
import pytest

from marigoldramp import api_client
from marigoldramp.gateway import codecs
from marigoldramp.gateway import deployment
from marigoldramp.gateway import listings
from marigoldramp.gateway import outbound
from marigoldramp.gateway import ranks as rank_types
from marigoldramp.gateway import settings
from marigoldramp.platform import configuration
from marigoldramp.platform import endpoints
from marigoldramp.platform import evacuations
from marigoldramp.platform import headers
from marigoldramp.platform import objects
from marigoldramp.platform import ranks
from marigoldramp.platform import settings_file
from marigoldramp import store

pytestmark = pytest.mark.anyio
ROOT = pathlib.Path(__file__).parents[2]

SETTINGS = """\
NodeName = "edge-a-1"
Ip = "10.1.0.40"
Zone = "hala-a"
Region = "bts"
InternalPorts = [7340, 7355]
SeedNodes = ["10.1.0.40:8229", "10.2.0.29:8229"]
FutureField = 1
[Listen]
FrontAddr = "10.1.0.40:8227"
Ready = "10.1.0.40:8220"
Directory = "10.1.0.40:8224"
[Limits]
MaxFds = 4100
CpuShare = 0.5
CpuCores = 2
LinkMbps = 20.0
[Bounds]
DrainMs = 2000
GraceS = 8
RevokeMs = 5000
RetryBudgetRatio = 0.2
BudgetWindowS = 10
BudgetExtra = 92
ttl_max_s = 5
[PlatformStore]
Address = "10.200.1.7:8223"
"""


def test_settings_are_read(tmp_path):
    path = tmp_path / 'local.toml'
    path.write_text(SETTINGS)
    found = settings_file.read(str(path))
    assert found.instance == 'edge-a-1'
    assert found.data_centre == 'hala-a'
    assert found.calls == outbound.Address(host='10.1.0.40', port=8227)
    assert found.peers == outbound.Address(host='10.1.0.40', port=7340)
    assert [seed.port for seed in found.seeds] == [7340, 7340]
    assert found.cores == 1.0
    assert found.link_rate == 2_500_000.0
    assert found.bounds.revoke == 5.0
    assert found.bounds.retries.extra == 92.0


@pytest.mark.parametrize(
    ('old', 'new', 'expected_text'),
    [
        ('Ip = "10.1.0.40"\n', '', 'Ip'),
        ('[7340, 7355]', '"x"', 'InternalPorts'),
        ('LinkMbps = 20.0', 'LinkMbps = 0', 'LinkMbps'),
        ('"10.200.1.7:8223"', '"nowhere"', 'nowhere'),
        ('DrainMs = 2000', 'DrainMs = "soon"', 'DrainMs'),
        ('Region = "bts"', 'Region = ', 'line 4'),
    ],
)
def test_invalid_settings_name_the_file_and_the_setting(
    tmp_path, old, new, expected_text
):
    path = tmp_path / 'local.toml'
    path.write_text(SETTINGS.replace(old, new))
    with pytest.raises(ValueError) as error:
        settings_file.read(str(path))
    assert str(path) in str(error.value)
    assert expected_text in str(error.value)


@pytest.mark.parametrize(
    'lines, evacuate, cold',
    [
        ('', None, None),
        ('EvacuateMs = 5000\n', 5.0, None),
        ('ColdOverage = 1.5\n', None, None),
        (
            'ColdOverage = 1.5\nColdSlack = 5\n',
            None,
            settings.ColdBounds(factor=1.5, extra=5.0),
        ),
    ],
)
def test_bounds_that_a_deployment_may_lack(tmp_path, lines, evacuate, cold):
    path = tmp_path / 'local.toml'
    path.write_text(SETTINGS.replace('[Bounds]\n', f'[Bounds]\n{lines}'))
    bounds = settings_file.read(str(path)).bounds
    assert bounds.evacuate == evacuate
    assert bounds.cold == cold


@pytest.mark.parametrize(
    ('line', 'expected'),
    [('', 1.2), ('HeartbeatMs = 0\n', 1.2), ('HeartbeatMs = 900\n', 0.9)],
)
def test_heartbeat_that_a_deployment_may_lack(tmp_path, line, expected):
    path = tmp_path / 'local.toml'
    path.write_text(line + SETTINGS)
    assert settings_file.read(str(path)).heartbeat == expected


def make_document(**more):
    route = {
        'Name': 'r',
        'Hostname': 'a.example',
        'PathPrefix': '/x/',
        'RouteKind': 'streaming',
        'TimeoutMs': 8000,
        'TargetLatencyMs': 402,
        'Priority': 1,
        'Service': 's',
        'MaxAttempts': 2,
        'PublicAccess': False,
        'StreamResume': True,
    }
    document = {
        'Version': 7,
        'Routes': [route | more],
        'Services': [
            {
                'Name': 's',
                'MaxConnections': 9,
                'Engine': {
                    'Slots': 6,
                    'step_ms': 5.85,
                    'per_seq_ms': 0.71,
                    'read_per_s': 61200.0,
                    'usual': {'prompt': 835, 'answer': 139},
                    'Sets': 4,
                    'Experts': 64,
                    'Placements': 5,
                    'Spare': 2,
                    'ExpertMb': 880.0,
                    'LinkMbps': 180000.0,
                },
            }
        ],
        'Limits': {
            'MaxHeaderBytes': 16384,
            'MaxBodyBytes': 4194304,
            'HeaderTimeoutMs': 3000,
            'IdleTimeoutMs': 15000,
        },
        'Tenants': [{'Name': 't', 'ApiKeys': ['k1', 'k2'], 'Priority': 1}],
    }
    return msgspec.json.encode(document)


def test_configuration_is_read():
    found = configuration.decode(make_document())
    route = found.routes[0]
    assert (route.timeout, route.objective) == (8.0, 0.402)
    assert found.customers['k2'].name == 't'
    assert found.limits.idle_seconds == 15.0
    engine = found.services['s'].engine
    assert engine.step == pytest.approx(0.00585)
    assert engine.expert_bytes == 880e6
    assert engine.link_rate == 22.5e9


@pytest.mark.parametrize(
    ('more', 'policy'),
    [
        ({'RouteKind': 'idempotent'}, deployment.RetryPolicy.ALLOWED),
        ({'RouteKind': 'non_idempotent'}, deployment.RetryPolicy.FORBIDDEN),
        ({'RouteKind': 'streaming'}, deployment.RetryPolicy.RESUMED),
        ({'StreamResume': False}, deployment.RetryPolicy.FORBIDDEN),
        ({'RouteKind': 'unheard-of'}, deployment.RetryPolicy.FORBIDDEN),
    ],
)
def test_retry_policy_by_route_kind(more, policy):
    assert (
        configuration.decode(make_document(**more)).routes[0].retry_policy
        is policy
    )


@pytest.mark.parametrize(
    'more, expected',
    [
        ({}, None),
        ({'ColdStartS': 3.0, 'ColdPerS': 0.0}, None),
        ({'ColdStartS': 0.0, 'ColdPerS': 15.0}, None),
        (
            {'ColdStartS': 3.0, 'ColdPerS': 15.0},
            deployment.ColdStart(seconds=3.0, rate=15.0),
        ),
    ],
)
def test_cold_start_of_a_service(more, expected):
    document = msgspec.json.decode(make_document())
    document['Services'][0] |= more
    found = configuration.decode(msgspec.json.encode(document))
    name = document['Services'][0]['Name']
    assert found.services[name].cold_start == expected


def test_traffic_split_of_a_route():
    shares = [
        {'Service': 's', 'Weight': 90},
        {'Service': 't', 'Weight': 10},
    ]
    found = configuration.decode(make_document(TrafficSplit=shares))
    assert [target.weight for target in found.routes[0].targets] == [90, 10]


def test_invalid_configuration_names_the_field():
    with pytest.raises(ValueError, match=r'\$.Routes\[0\].TimeoutMs'):
        configuration.decode(make_document(TimeoutMs='soon'))


@pytest.mark.parametrize(
    ('sent', 'seconds', 'tokens', 'key'),
    [
        ([], None, (0, 0), ''),
        ([(b'time-budget-ms', b'1500')], 1.5, (0, 0), ''),
        ([(b'token-counts', b'1460,80')], None, (1460, 80), ''),
        ([(b'token-counts', b'nonsense')], None, (0, 0), ''),
        ([(b'authorization', b'Bearer k1')], None, (0, 0), 'k1'),
        ([(b'authorization', b'Basic k1')], None, (0, 0), ''),
    ],
)
def test_request_headers(sent, seconds, tokens, key):
    found = headers.Codec().read_request(sent)
    assert found.seconds == seconds
    assert (found.prompt_tokens, found.answer_tokens) == tokens
    assert found.key == key


@pytest.mark.parametrize(
    ('text', 'parts'),
    [
        (b'', ()),
        (b'5c1e:800', ()),
        (b'5c1e:800,91bd:410,e440:250', ('5c1e', '91bd')),
        (b'5C1E:800, 91bd:410,e440:250', ('5c1e', '91bd')),
        (b'5c1e:800,5c1e:800,e440:250', ('5c1e',)),
        (b':800,,91bd,e440:250', ('91bd',)),
        (b'\xff:1,e440:250', ('\xff',)),
        (
            b','.join(b'%x:1' % number for number in range(99)),
            tuple(f'{number:x}' for number in range(16)),
        ),
    ],
)
def test_shared_parts_of_a_prompt(text, parts):
    found = headers.Codec().read_request([(b'prompt-prefix', text)])
    assert found.shared_parts == parts


@pytest.mark.parametrize('text', [b'soon', b'-1', b'inf', b'nan'])
def test_invalid_time_budget_is_refused(text):
    with pytest.raises(ValueError, match='time budget'):
        headers.Codec().read_request([(b'time-budget-ms', text)])


def test_request_headers_to_an_endpoint():
    sent = headers.Codec().write_request(
        [
            (b'host', b'a'),
            (b'attempt-id', b'a1'),
            (b'authorization', b'Bearer secret'),
            (b'tenant', b'forged'),
            (b'expect-instance', b'forged'),
            (b'connection', b'x-mine'),
            (b'x-mine', b'1'),
            (b'x-other', b'2'),
            (b'last-event-id', b'3'),
            (b'time-budget-ms', b'9'),
        ],
        codecs.OutgoingFacts(
            seconds=1.2345, identity='i-1', customer='c', last_event='12'
        ),
    )
    assert dict(sent) == {
        b'host': b'a',
        b'attempt-id': b'a1',
        b'x-other': b'2',
        b'time-budget-ms': b'1234',
        b'expect-instance': b'i-1',
        b'tenant': b'c',
        b'last-event-id': b'12',
    }
    assert len(sent) == 7


@pytest.mark.parametrize(
    ('status', 'sent', 'not_run', 'signed'),
    [
        (200, [(b'runner-seal', b's')], False, True),
        (503, [(b'not-executed', b'1')], True, False),
        (421, [], True, False),
        (503, [], False, False),
    ],
)
def test_answer_headers(status, sent, not_run, signed):
    found = headers.Codec().read_answer(status, sent)
    assert (found.not_run, found.signed) == (not_run, signed)


@pytest.mark.parametrize(
    ('status', 'values', 'seconds', 'warnings'),
    [
        (503, [], 0.0, 0),
        (503, [b'3'], 3.0, 0),
        (503, [b'0.25'], 0.25, 0),
        (503, [b'0'], 0.0, 0),
        (503, [b'1', b'3'], 3.0, 0),
        (503, [b'-1'], 0.0, 1),
        (503, [b'nan'], 0.0, 1),
        (503, [b'1e999'], 0.0, 1),
        (503, [b'soon'], 0.0, 1),
        (503, [b'soon', b'2'], 2.0, 1),
        (200, [b'3'], 0.0, 0),
        (429, [b'3'], 0.0, 0),
    ],
)
def test_retry_after_of_an_endpoint(caplog, status, values, seconds, warnings):
    """Invalid values must not set a backoff or go unlogged."""
    sent = [(b'retry-after', value) for value in values]
    found = headers.Codec().read_answer(status, sent)
    assert found.retry_after == seconds
    messages = [record.getMessage() for record in caplog.records]
    assert messages == ['header not understood'] * warnings


@pytest.mark.parametrize(
    ('status', 'values', 'rate', 'is_unreadable', 'warnings'),
    [
        (200, [], 0.0, False, 0),
        (200, [b'1'], 1.0, False, 0),
        (500, [b'0.25'], 0.25, False, 0),
        (503, [b'12.5'], 12.5, False, 0),
        (421, [b'1'], 0.0, False, 0),
        (421, [b'soon'], 0.0, False, 0),
        (200, [b'0'], 0.0, True, 1),
        (200, [b'-1'], 0.0, True, 1),
        (200, [b'nan'], 0.0, True, 1),
        (200, [b'1e999'], 0.0, True, 1),
        (200, [b'9' * 400], 0.0, True, 1),
        (200, [b'1_0'], 0.0, True, 1),
        (200, [b''], 0.0, True, 1),
        (200, [b'1, 2'], 0.0, True, 1),
        (200, [b'3', b'2'], 2.0, False, 2),
        (200, [b'3', b'soon'], 3.0, True, 2),
    ],
)
def test_rate_limit_of_an_endpoint(
    caplog, status, values, rate, is_unreadable, warnings
):
    """Guards against a limit that is missed, or invalid and not logged."""
    sent = [(b'server-limit', value) for value in values]
    found = headers.Codec().read_answer(status, sent)
    assert found.rate_limit == rate
    assert found.has_unreadable_rate_limit == is_unreadable
    messages = [record.getMessage() for record in caplog.records]
    assert messages == ['header not understood'] * warnings


@pytest.mark.parametrize(
    ('status', 'values', 'leaving', 'warnings'),
    [
        (200, [], False, 0),
        (200, [b'1'], True, 0),
        (503, [b'1'], True, 0),
        (421, [b'1'], False, 0),
        (200, [b'0'], False, 1),
        (200, [b''], False, 1),
        (200, [b'yes'], False, 1),
        (200, [b'1', b'yes'], True, 1),
    ],
)
def test_leaving_of_an_endpoint(caplog, status, values, leaving, warnings):
    """Guards against missed shutdowns and unlogged invalid values."""
    sent = [(b'server-leaving', value) for value in values]
    found = headers.Codec().read_answer(status, sent)
    assert found.leaving == leaving
    messages = [record.getMessage() for record in caplog.records]
    assert messages == ['header not understood'] * warnings


def test_load_of_an_endpoint():
    found = headers.Codec().read_answer(200, [(b'runner-load', b'3,1,8')])
    assert found.load == codecs.ReportedLoad(running=3, waiting=1, slots=8)


class FakeClient:
    """Client of the store that returns prepared replies in order."""

    def __init__(self, *replies):
        self.replies = list(replies)
        self.requests = []

    async def call(self, request):
        self.requests.append(request)
        return self.replies.pop(0)


def reply(status, value=None):
    body = b'' if value is None else msgspec.json.encode(value)
    return api_client.Reply(status=status, headers=[], body=body)


def make_object(name, revision=3, **spec):
    return {
        'Metadata': {'Name': name, 'Revision': revision, 'Created': 1},
        'Spec': spec,
        'Status': None,
    }


def make_store(*replies):
    object_store = objects.ObjectStore(
        address=outbound.Address(host='127.0.0.1', port=1)
    )
    object_store._client = FakeClient(*replies)
    return object_store, object_store._client


KEY = store.Key(kind='leases', name='g')
LOST_REPLY = api_client.Failure(begun=True, detail='cut')
UNSENT_REQUEST = api_client.Failure(begun=False, detail='refused')


@pytest.mark.parametrize(
    ('store_reply', 'kind'),
    [
        (reply(200, make_object('g', a=1)), store.Stored),
        (reply(404), store.Absent),
        (reply(503), store.Unavailable),
        (reply(429), store.Unavailable),
        (reply(200), store.Unavailable),
        (LOST_REPLY, store.Unavailable),
    ],
)
async def test_read_of_an_object(store_reply, kind):
    object_store, _ = make_store(store_reply)
    assert isinstance(await object_store.read(key=KEY), kind)


@pytest.mark.parametrize(
    ('expected', 'method', 'store_reply', 'kind'),
    [
        (0, 'POST', reply(201, make_object('g')), store.Written),
        (0, 'POST', reply(409, make_object('g')), store.Conflict),
        (5, 'PUT', reply(200, make_object('g')), store.Written),
        (5, 'PUT', reply(409, make_object('g')), store.Conflict),
        (5, 'PUT', reply(404), store.Conflict),
        (5, 'PUT', reply(503), store.Unavailable),
        (5, 'PUT', reply(429), store.Unavailable),
        (5, 'PUT', reply(500), store.Uncertain),
        (5, 'PUT', reply(200), store.Uncertain),
        (5, 'PUT', LOST_REPLY, store.Uncertain),
        (5, 'PUT', UNSENT_REQUEST, store.Unavailable),
    ],
)
async def test_conditional_write(expected, method, store_reply, kind):
    object_store, client = make_store(store_reply)
    found = await object_store.write(
        key=KEY, value=b'{"a":1}', expected=expected
    )
    assert isinstance(found, kind)
    sent = client.requests[0]
    assert sent.method == method
    body = msgspec.json.decode(sent.body)
    assert body['Spec'] == {'a': 1}
    assert body['Metadata'] == {'Name': 'g', 'Revision': expected}


async def test_list_reads_all_pages():
    first = {'Items': [make_object('a')], 'More': True, 'AtRev': 7}
    second = {'Items': [make_object('b')], 'More': False, 'AtRev': 9}
    object_store, client = make_store(reply(200, first), reply(200, second))
    found = await object_store.list_objects(kind='x')
    assert [one.key.name for one in found.objects] == ['a', 'b']
    assert found.version == 7
    assert client.requests[1].path.endswith('?After=a')


async def test_list_fails_if_a_page_fails():
    first = {'Items': [make_object('a')], 'More': True, 'AtRev': 7}
    object_store, _ = make_store(reply(200, first), LOST_REPLY)
    assert isinstance(
        await object_store.list_objects(kind='x'), store.Unavailable
    )


def make_endpoint_object(name, state='ready', **more):
    return make_object(
        name,
        Service='s',
        Address='10.1.1.1:80',
        Zone='z',
        Slots=6,
        State=state,
        **more,
    )


async def test_watch_returns_the_last_state_of_endpoints():
    events = {
        'events': [
            {'Object': make_endpoint_object('i-1'), 'Deleted': False},
            {
                'Object': make_endpoint_object('i-1', 'draining'),
                'Deleted': False,
            },
            {'Object': make_endpoint_object('i-2'), 'Deleted': True},
        ],
        'AtRev': 12,
    }
    object_store, client = make_store(reply(200, events))
    source = endpoints.StoreEndpointSource(objects=object_store)
    found = await source.watch(after=5, seconds=2.0)
    assert [(one.identity, one.leaving) for one in found.records] == [
        ('i-1', True)
    ]
    assert found.removed == ('i-2',)
    assert (found.revision, found.newest) == (12, 3)
    assert client.requests[0].path.endswith('?Watch=5&WaitMs=2000')


async def test_invalid_address_does_not_hide_other_endpoints():
    invalid = make_endpoint_object('i-1')
    invalid['Spec']['Address'] = 'nowhere'
    page = {'Items': [invalid, make_endpoint_object('i-2')], 'AtRev': 3}
    object_store, _ = make_store(reply(200, page))
    found = await endpoints.StoreEndpointSource(
        objects=object_store
    ).list_all()
    assert [one.identity for one in found.records] == ['i-2']


@pytest.mark.parametrize(
    'more, expected',
    [
        ({}, None),
        ({'ColdRemainingMs': 0}, 0.0),
        ({'ColdRemainingMs': 2500}, 2.5),
        ({'ColdRemainingMs': -3}, 0.0),
    ],
)
async def test_cold_time_in_a_record(more, expected):
    page = {'Items': [make_endpoint_object('i-1', **more)], 'AtRev': 3}
    found_store, _ = make_store(reply(200, page))
    source = endpoints.StoreEndpointSource(objects=found_store)
    found = await source.list_all()
    assert found.records[0].cold_seconds == expected


async def test_record_has_the_version_at_which_it_was_written():
    """Guards against records that cannot be ordered by their age."""
    older = make_endpoint_object('i-1')
    newer = make_endpoint_object('i-2')
    older['Metadata']['Revision'] = 2
    newer['Metadata']['Revision'] = 3
    page = {'Items': [older, newer], 'AtRev': 3}
    object_store, _ = make_store(reply(200, page))
    found = await endpoints.StoreEndpointSource(
        objects=object_store
    ).list_all()
    first, second = found.records
    assert 0 < first.revision < second.revision == found.revision


def make_invalid_endpoint(**more):
    """Return an endpoint's object with fields replaced; None removes one."""
    endpoint_object = make_endpoint_object('i-1')
    endpoint_object['Spec'] = {
        name: value
        for name, value in (endpoint_object['Spec'] | more).items()
        if value is not None
    }
    return endpoint_object


INVALID_OBJECTS = [
    pytest.param(make_invalid_endpoint(Service=None), id='no service'),
    pytest.param(
        make_invalid_endpoint(Service=4), id='service of another type'
    ),
    pytest.param(
        make_invalid_endpoint(Service=''), id='service without a name'
    ),
    pytest.param(make_invalid_endpoint(Address=None), id='no address'),
    pytest.param(
        make_invalid_endpoint(Address='nowhere'), id='address without port'
    ),
    pytest.param(make_invalid_endpoint(Zone=None), id='no data centre'),
    pytest.param(make_invalid_endpoint(Slots=None), id='no slots'),
    pytest.param(
        make_invalid_endpoint(Slots='six'), id='slots of another type'
    ),
    pytest.param(make_invalid_endpoint(State=None), id='no state'),
    pytest.param(make_invalid_endpoint(State='resting'), id='unknown state'),
    pytest.param(
        make_invalid_endpoint(State=True), id='state of another type'
    ),
    pytest.param(
        make_invalid_endpoint(born='today'), id='start of another type'
    ),
    pytest.param(
        {'Metadata': {'Name': 'i-1', 'Revision': 3}, 'Spec': 'x'},
        id='a value that is text',
    ),
    pytest.param({'Metadata': {'Name': 'i-1'}}, id='no value'),
    pytest.param(
        {'Metadata': {'Name': 'i-1', 'Revision': 'x'}, 'Spec': {}},
        id='revision of another type',
    ),
    pytest.param({'Metadata': {'Revision': 3}, 'Spec': {}}, id='no name'),
    pytest.param({'Spec': {}}, id='nothing that names it'),
    pytest.param('text', id='no object'),
]


@pytest.mark.parametrize('invalid', INVALID_OBJECTS)
async def test_invalid_object_does_not_hide_other_endpoints(invalid):
    """Guards against losing all endpoints, or using an invalid one.

    Sequence: another program writes an object among the endpoints that lacks
    a field, has a field of the wrong type, or is not an object at all.
    Cause: the list was decoded as a whole, and an unknown state was taken for
    ready.
    """
    page = {'Items': [invalid, make_endpoint_object('i-2')], 'AtRev': 3}
    events = {
        'events': [
            {'Object': invalid, 'Deleted': False},
            {'Object': make_endpoint_object('i-2'), 'Deleted': False},
        ],
        'AtRev': 12,
    }
    object_store, _ = make_store(reply(200, page), reply(200, events))
    source = endpoints.StoreEndpointSource(objects=object_store)
    listed = await source.list_all()
    changed = await source.watch(after=5, seconds=2.0)
    assert [one.identity for one in listed.records] == ['i-2']
    assert [one.identity for one in changed.records] == ['i-2']
    assert set(changed.removed) <= {'i-1'}


async def test_invalid_utf8_does_not_hide_other_endpoints():
    page = {
        'Items': [
            make_invalid_endpoint(State='???'),
            make_endpoint_object('i-2'),
        ]
    }
    body = msgspec.json.encode(page).replace(b'???', b'\xff\xfe')
    object_store, _ = make_store(
        api_client.Reply(status=200, headers=[], body=body)
    )
    listed = await endpoints.StoreEndpointSource(
        objects=object_store
    ).list_all()
    assert [one.identity for one in listed.records] == ['i-2']


@pytest.mark.parametrize(
    'found',
    [
        make_object('dc-1'),
        make_object('dc-1') | {'Spec': 'nothing'},
        {'Metadata': {'Name': 'dc-1', 'Revision': 'x'}, 'Spec': 7},
    ],
    ids=['empty', 'other value', 'malformed'],
)
async def test_evacuation_counts_by_its_name(found):
    """Guards against an evacuation that is missed for its value."""
    event = {'Object': found, 'Deleted': False}
    object_store, client = make_store(
        reply(200, {'Items': [found], 'More': False, 'AtRev': 9}),
        reply(200, {'events': [event], 'AtRev': 10}),
        reply(200, {'events': [event | {'Deleted': True}], 'AtRev': 11}),
        reply(410),
    )
    source = evacuations.StoreEvacuationSource(store_objects=object_store)
    listed = await source.list_all()
    assert (listed.data_centres, listed.version) == ({'dc-1'}, 9)
    for after, added, removed in ((9, {'dc-1'}, set()), (10, set(), {'dc-1'})):
        changes = await source.watch(after=after, seconds=2.0)
        assert (changes.added, changes.removed) == (added, removed)
        assert changes.version == after + 1
    gone = await source.watch(after=11, seconds=2.0)
    assert isinstance(gone, listings.HistoryGone)
    paths = [request.path for request in client.requests]
    assert paths[1] == '/marigoldramp/objects/evacuations?Watch=9&WaitMs=2000'


async def test_list_fails_if_a_page_has_no_name_to_continue_from():
    page = {'Items': ['text'], 'More': True, 'AtRev': 3}
    object_store, _ = make_store(reply(200, page))
    found = await endpoints.StoreEndpointSource(
        objects=object_store
    ).list_all()
    assert isinstance(found, store.Unavailable)


@pytest.mark.parametrize(
    ('body', 'expected'),
    [
        (
            rank_types.Prepare(version=4, layers=(((0, 2), (1, 0)),)),
            {
                'Operation': 'prepare',
                'Version': 4,
                'ExpertMap': [[[0, 2], [1, 0]]],
            },
        ),
        (
            rank_types.Arm(version=4, step=9),
            {'Operation': 'arm', 'Version': 4, 'step': 9},
        ),
        (rank_types.Disarm(version=4), {'Operation': 'disarm', 'Version': 4}),
        (rank_types.Hold(step=9), {'Operation': 'Hold', 'step': 9}),
        (rank_types.Release(step=9), {'Operation': 'go', 'step': 9}),
    ],
)
def test_orders_to_ranks(body, expected):
    order = rank_types.Order(token=11, epoch=2, body=body)
    found = msgspec.json.decode(ranks.OrderEncoder().encode(order))
    assert found == expected | {'FencingToken': 11, 'epoch': 2}


#: Standard HTTP headers, which other packages may use too.
COMMON_HEADERS = frozenset(('Retry-After', 'Authorization', 'Last-Event-Id'))


def list_protocol_names():
    """Return the protocol names in the adapter's sources."""
    names = set()
    for path in (ROOT / 'marigoldramp' / 'platform').glob('*.py'):
        text = path.read_text()
        names.update(re.findall(r"'([A-Z][A-Za-z]+)'", text))
        names.update(re.findall(r"b'([a-z]+-[a-z-]+)'", text))
    common = {name.lower() for name in COMMON_HEADERS}
    content_headers = {'content-type', 'content-length', 'content-encoding'}
    return {
        name
        for name in names
        if name.lower() not in common | content_headers
        and (re.search(r'[a-z][A-Z]|-', name))
    }


def test_protocol_names_are_used_in_the_adapter_only():
    names = list_protocol_names()
    assert {'PathPrefix', 'attempt-id'} <= names
    faults = []
    for package in ('marigoldramp', 'marigoldrampplug'):
        for path in (ROOT / package).rglob('*.py'):
            if 'platform' in path.parts:
                continue
            text = path.read_text()
            faults += [
                f'{path.name}: {name}'
                for name in names
                if re.search(rf'[\'"]{re.escape(name)}[\'"]', text, re.I)
            ]
    assert faults == []
