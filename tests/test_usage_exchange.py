"""Tests of the exchange of usage between entries, over their datagrams."""

import anyio
import fake_network
import pytest
import virtual_time

from marigoldramp import bundle
from marigoldramp import demands
from marigoldramp import limits
from marigoldramp import marked_datagrams
from marigoldramp import messages
from marigoldramp import seals
from marigoldramp import shares
from marigoldramp import usage_exchange

ENTRIES = ('entry-1', 'entry-2')
CUSTOMER = bundle.Customer(
    name='c', key_digests=(), services=(), requests_per_second=10.0
)


@pytest.fixture
def anyio_backend():
    return virtual_time.make_backend()


class Entry:
    """What an entry makes of limits, shares and the exchange."""

    def __init__(self, *, node, group):
        self.limits = limits.Limits(clock=anyio.current_time, most_customers=8)
        known = demands.Demands(
            entry=node.name, clock=anyio.current_time, most_peers=8
        )
        self.shares = shares.Shares(
            entry=node.name,
            live_entries=lambda: ENTRIES,
            clock=anyio.current_time,
            most=8,
            known=known,
        )
        exchange = usage_exchange.Exchange(
            entry=node.name,
            incarnation=1,
            limits=self.limits,
            shares=self.shares,
            known=known,
            send=node.membership.send_usage,
            wall=fake_network.wall,
        )
        node.membership.on_usage(exchange.receive)
        group.start_soon(exchange.run)

    def ask(self):
        grant = self.limits.admit(
            customer=CUSTOMER, tokens=0, share=self.shares.find(CUSTOMER)
        )
        if not isinstance(grant, limits.Grant):
            return 0
        self.limits.release(grant=grant, tokens_used=0)
        return 1


@pytest.mark.anyio
async def test_a_customer_gets_its_whole_limit_at_one_entry():
    """A customer whose callers keep to one entry gets its whole limit.

    Symptom: half of a limit is never reached.
    Sequence: all calls come to one of the two entries that serve it.
    Cause: equal shares.
    """
    async with anyio.create_task_group() as group:
        site = fake_network.Site(group)
        nodes = [site.start(name) for name in ENTRIES]
        await anyio.sleep(0)
        site.seed(*nodes)
        await anyio.sleep(3)
        first, second = (Entry(node=node, group=group) for node in nodes)
        for _ in range(100):
            await anyio.sleep(0.05)
            first.ask()
        admitted = 0
        for _ in range(200):
            await anyio.sleep(0.05)
            admitted += first.ask()
        assert admitted / 10.0 == pytest.approx(10.0, rel=0.1)
        assert second.shares.find(CUSTOMER) == pytest.approx(0.05)
        group.cancel_scope.cancel()


def make_codec(*, key=b'0123456789abcdef'):
    return marked_datagrams.Codec(
        kind=marked_datagrams.USAGE,
        sealer=seals.Sealer(fleet_key=key, use='datagram'),
        wall=lambda: 100.0,
        most_senders=4,
    )


def make_usage(*, sequence=1, sent_at=100.0):
    return messages.Usage(
        entry='entry-1', incarnation=1, sequence=sequence, sent_at=sent_at
    )


@pytest.mark.parametrize(
    ('usage', 'key', 'reason'),
    [
        (make_usage(sent_at=0.0), b'0123456789abcdef', 'old'),
        (make_usage(), b'another key of 16', 'unauthenticated'),
    ],
)
def test_usage_is_not_believed(usage, key, reason):
    datagram = make_codec(key=key).encode(usage)
    assert marked_datagrams.USAGE.matches(datagram)
    assert make_codec().accept(datagram).reason == reason


def test_usage_is_taken_once():
    codec = make_codec()
    datagram = codec.encode(make_usage())
    assert codec.accept(datagram) == make_usage()
    assert codec.accept(datagram).reason == 'replayed'


def test_a_full_datagram_fits():
    named = messages.Demand(customer='c' * 32, fraction=1.23456)
    usage = messages.Usage(
        entry='entry-of-a-long-name',
        incarnation=2**63,
        sequence=2**31,
        sent_at=100.0,
        demands=(named,) * demands.MOST_DEMANDS,
    )
    assert len(make_codec().encode(usage)) <= 1200
