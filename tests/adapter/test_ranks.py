"""Tests of the HTTP client of ranks: reports, counts, experts and orders."""

import gateway.fake_endpoint as fake
import msgspec
import pytest

from marigoldramp.gateway import outbound
from marigoldramp.gateway import ranks as rank_types
from marigoldramp.platform import ranks

pytestmark = pytest.mark.anyio
LINK_BYTES_PER_SECOND = 2_500_000.0
REPORT = {
    'group': {'Name': 'g', 'epoch': 2, 'rank': 3, 'State': 'open'},
    'size': 16,
    'step': 40,
    'ExpertMap': 7,
    'Prepared': 8,
    'Armed': {'Version': 8, 'step': 44},
    'held': 43,
    'pace': 1.6,
    'QueueDepth': 0,
}
MINIMAL_REPORT = {
    'group': {'Name': 'g', 'epoch': 2, 'rank': 3, 'State': 'broken'},
    'size': 16,
}


async def call_rank(call, *scripts):
    """Call a scripted fake rank; return the result and its requests."""
    one = fake.FakeEndpoint(identity='i-1', scripts=scripts)
    async with one.serve():
        address = outbound.Address(host=fake.HOST, port=one.port)
        found = await call(
            ranks.HttpRankApi(link_rate=LINK_BYTES_PER_SECOND), address
        )
    return found, one.seen


def answer(value, status=200):
    return fake.answer(msgspec.json.encode(value), status)


async def report(api, address):
    return await api.report(address=address, identity='i-1')


@pytest.mark.parametrize(
    ('body', 'expected'),
    [
        (
            REPORT,
            rank_types.RankReport(
                group='g',
                epoch=2,
                rank=3,
                size=16,
                group_open=True,
                step=40,
                version=7,
                prepared=8,
                armed=rank_types.Armed(version=8, step=44),
                held=43,
                pace=1.6,
            ),
        ),
        (
            MINIMAL_REPORT,
            rank_types.RankReport(
                group='g',
                epoch=2,
                rank=3,
                size=16,
                group_open=False,
                step=0,
                version=0,
                prepared=None,
                armed=None,
                held=None,
                pace=1.0,
            ),
        ),
    ],
    ids=['whole', 'plain'],
)
async def test_report_is_read(body, expected):
    found, seen = await call_rank(report, answer(body))
    assert found == expected
    assert seen[0].headers['expect-instance'] == 'i-1'


@pytest.mark.parametrize(
    'script',
    [
        answer(REPORT, 503),
        answer({'size': 'many'}),
        fake.answer(b'no JSON'),
        fake.cut,
        fake.garbage,
    ],
    ids=['refused', 'type', 'syntax', 'cut', 'garbage'],
)
async def test_unreadable_report_counts_as_no_reply(script):
    """A leader that accepts a partial report could mix maps in a group."""
    found, _ = await call_rank(report, script)
    assert isinstance(found, rank_types.NoReply)
    assert found.detail


async def test_counts_and_experts_are_read():
    async def counts(api, address):
        return await api.counts(address=address, identity='i-1')

    async def experts(api, address):
        return await api.experts(address=address, identity='i-1')

    found, _ = await call_rank(
        counts, answer({'step': 4, 'epoch': 2, 'Counts': [3, 0]})
    )
    assert found == rank_types.RankCounts(epoch=2, step=4, counts=(3, 0))
    lists = {'ExpertMap': {'Version': 7, 'Experts': [[0, 2], [1]]}}
    found, _ = await call_rank(experts, answer(lists))
    assert found == rank_types.RankExperts(version=7, layers=((0, 2), (1,)))


@pytest.mark.parametrize(
    ('script', 'expected'),
    [
        (answer({}), rank_types.Accepted()),
        (answer({}, 202), rank_types.Accepted()),
        (answer({}, 409), rank_types.Refused(status=409)),
        (answer({}, 400), rank_types.Refused(status=400)),
        (answer({}, 412), rank_types.TokenOld()),
        (fake.cut, None),
        (fake.hang, None),
    ],
    ids=['done', 'begun', 'unfit', 'unknown', 'old', 'cut', 'silent'],
)
async def test_outcome_of_an_order(script, expected):
    """An order without a reply may still take effect; it is not refused."""

    async def order(api, address):
        return await api.order(
            address=address,
            identity='i-1',
            order=rank_types.Order(
                token=5, epoch=2, body=rank_types.Hold(step=9)
            ),
        )

    found, seen = await call_rank(order, script)
    assert len(seen) == 1
    if expected is None:
        assert isinstance(found, rank_types.NoReply)
    else:
        assert found == expected


@pytest.mark.parametrize(
    ('size', 'link_rate', 'min_seconds', 'max_seconds'),
    [
        (100, 2_500_000.0, 0.08, 0.1),
        (25_000, 2_500_000.0, 0.4, 0.6),
        (25_000, 12_500_000.0, 0.2, 0.3),
    ],
    ids=['small order', 'map on a narrow link', 'map on a wide link'],
)
def test_order_timeout_grows_with_its_size(
    size, link_rate, min_seconds, max_seconds
):
    """Guards against a group of 192 ranks that can never change its map.

    Sequence: a leader sends a map of 25 KB to each rank; all that are sent at
    once need 0.1 s of its link of 20 Mbit/s; after 0.08 s each order counts as
    lost and is sent again, ten times, until the leader gives up.
    Cause: a map had the timeout of an order of a hundred bytes.
    """
    found = ranks.compute_order_timeout(size=size, link_rate=link_rate)
    assert min_seconds <= found <= max_seconds


async def test_each_order_contains_its_own_map():
    layers = (((0, 1), (2, 3)), ((3, 0), (1, 2)))
    other = (((1, 0), (2, 3)), ((3, 0), (1, 2)))

    async def prepare(api, address):
        for number, one in enumerate((layers, layers, other)):
            await api.order(
                address=address,
                identity='i-1',
                order=rank_types.Order(
                    token=number,
                    epoch=2,
                    body=rank_types.Prepare(version=7, layers=one),
                ),
            )

    _, seen = await call_rank(prepare, answer({}, 202))
    sent = [msgspec.json.decode(one.body)['ExpertMap'] for one in seen]
    assert sent == [
        [[list(held) for held in layer] for layer in one]
        for one in (layers, layers, other)
    ]


def answer_twice(*answers):
    """Return a script that gives each answer again when the next is due."""
    remaining = list(answers)
    given = {}

    async def script(stream, seen):
        status, value = remaining.pop(0)
        body = msgspec.json.encode(value)
        text = f'HTTP/1.1 {status} X\r\nContent-Length: {len(body)}\r\n\r\n'
        before = given.get(stream, b'')
        given[stream] = text.encode() + body
        await stream.send(before + given[stream])

    return script


def make_order(body):
    return rank_types.Order(token=5, epoch=2, body=body)


PREPARE = rank_types.Prepare(version=8, layers=())


@pytest.mark.parametrize(
    'body',
    [
        rank_types.Arm(version=8, step=44),
        rank_types.Disarm(version=8),
        rank_types.Hold(step=43),
        rank_types.Release(step=43),
    ],
    ids=lambda body: type(body).__name__,
)
@pytest.mark.parametrize('before', ['prepare', 'report'])
async def test_second_answer_is_not_taken_for_that_to_an_order(before, body):
    """Guards against a held step that begins while ranks differ in maps."""

    async def call(api, address):
        if before == 'prepare':
            await api.order(
                address=address, identity='i-1', order=make_order(PREPARE)
            )
        else:
            await report(api, address)
        return await api.order(
            address=address, identity='i-1', order=make_order(body)
        )

    script = answer_twice((200, REPORT), (409, None))
    found, _ = await call_rank(call, script)
    assert found == rank_types.Refused(status=409)


async def test_report_after_an_order_is_not_one_from_before_it():
    """Guards against acting on a state that an order has changed."""

    async def call(api, address):
        await report(api, address)
        await api.order(
            address=address,
            identity='i-1',
            order=make_order(rank_types.Disarm(version=8)),
        )
        return await report(api, address)

    script = answer_twice(
        (200, REPORT), (202, None), (200, REPORT | {'Armed': None})
    )
    found, _ = await call_rank(call, script)
    assert found.armed is None
