"""Tests of reaching ranks: reports, counts, experts and orders."""

import gateway.fake_endpoint as fake
import msgspec
import pytest

from marigoldramp.gateway import outbound
from marigoldramp.gateway import ranks as rank_types
from marigoldramp.platform import ranks

pytestmark = pytest.mark.anyio
#: Bytes a second.
LINK_RATE = 2_500_000.0
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
PLAIN = {
    'group': {'Name': 'g', 'epoch': 2, 'rank': 3, 'State': 'broken'},
    'size': 16,
}


async def ask(question, *scripts):
    """Put a question to a rank that answers by scripts."""
    one = fake.FakeEndpoint(identity='i-1', scripts=scripts)
    async with one.serve():
        address = outbound.Address(host=fake.HOST, port=one.port)
        found = await question(ranks.Ranks(link_rate=LINK_RATE), address)
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
            PLAIN,
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
    found, seen = await ask(report, answer(body))
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
async def test_report_that_cannot_be_read_is_none(script):
    """A leader that takes half a report for a state could mix maps."""
    found, _ = await ask(report, script)
    assert isinstance(found, rank_types.NoReply)
    assert found.detail


async def test_counts_and_experts_are_read():
    async def counts(api, address):
        return await api.counts(address=address, identity='i-1')

    async def experts(api, address):
        return await api.experts(address=address, identity='i-1')

    found, _ = await ask(
        counts, answer({'step': 4, 'epoch': 2, 'Counts': [3, 0]})
    )
    assert found == rank_types.RankCounts(epoch=2, step=4, counts=(3, 0))
    lists = {'ExpertMap': {'Version': 7, 'Experts': [[0, 2], [1]]}}
    found, _ = await ask(experts, answer(lists))
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
    """An order without a reply may yet be carried out, and is not refused."""

    async def order(api, address):
        return await api.order(
            address=address,
            identity='i-1',
            order=rank_types.Order(
                token=5, epoch=2, body=rank_types.Hold(step=9)
            ),
        )

    found, seen = await ask(order, script)
    assert len(seen) == 1
    if expected is None:
        assert isinstance(found, rank_types.NoReply)
    else:
        assert found == expected


@pytest.mark.parametrize(
    ('size', 'link_rate', 'least', 'most'),
    [
        (100, 2_500_000.0, 0.08, 0.1),
        (25_000, 2_500_000.0, 0.4, 0.6),
        (25_000, 12_500_000.0, 0.2, 0.3),
    ],
    ids=['small order', 'map on a narrow link', 'map on a wide link'],
)
def test_order_is_given_the_time_of_its_bytes(size, link_rate, least, most):
    """No map is ever changed in a group of 192 ranks.

    Sequence: a leader sends a map of 25 KB to each rank; all that are sent at
    once need 0.1 s of its link of 20 Mbit/s; after 0.08 s each order counts as
    lost and is sent again, ten times, until the leader gives up.
    Cause: a map was given the time of an order of a hundred bytes.
    """
    found = ranks.find_order_seconds(size=size, link_rate=link_rate)
    assert least <= found <= most


async def test_each_rank_is_sent_the_whole_map():
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

    _, seen = await ask(prepare, answer({}, 202))
    sent = [msgspec.json.decode(one.body)['ExpertMap'] for one in seen]
    assert sent == [
        [[list(held) for held in layer] for layer in one]
        for one in (layers, layers, other)
    ]
