"""Tests of cache events on their way from an engine to a routing policy."""

import random

import anyio
import fake_network
import hypothesis
from hypothesis import strategies
import msgspec
import pytest
import virtual_time

from marigoldramp import cache_events
from marigoldramp import engine_reports
from marigoldramp import heartbeats
from marigoldramp import marked_datagrams
from marigoldramp import messages
from marigoldramp import prefix_index
from marigoldramp import seals

SEALER = seals.Sealer(fleet_key=b'k' * 32, use='datagram')
#: Digests that are all spoken of, unlike most.
BLOCKS = tuple(bytes([number] * 7 + [0]) for number in range(200))
Change = cache_events.Change


def make_events(sequence=1, **rest):
    return messages.CacheEvents(
        instance=rest.pop('instance', 'a'),
        service='s',
        incarnation=rest.pop('incarnation', 1),
        sequence=sequence,
        sent_at=rest.pop('sent_at', 0.0),
        **rest,
    )


# From the engine to the agent


def encode(*events):
    return msgspec.json.encode({'events': events, 'last': 0})


def event(seq, stored=(), evicted=()):
    return {
        'seq': seq,
        'stored': [BLOCKS[one].hex() for one in stored],
        'evicted': [BLOCKS[one].hex() for one in evicted],
    }


def make_follower():
    changes = []
    follower = engine_reports.EventFollower(
        reader=None, path='/e', on_change=changes.append
    )
    return follower, changes


@pytest.mark.parametrize(
    ('seqs', 'gaps'),
    [
        ([1, 2, 3], [False, False, False]),
        ([7, 8], [False, False]),
        ([1, 3, 4], [False, True, False]),
        ([5, 1, 2], [False, True, False]),
    ],
    ids=['whole', 'joined late', 'one lost', 'engine began anew'],
)
def test_follower_notices_gaps(seqs, gaps):
    follower, changes = make_follower()
    for seq in seqs:
        assert follower.take(encode(event(seq, stored=[seq])))
    assert [change.gap for change in changes] == gaps
    assert [change.stored for change in changes] == [
        (BLOCKS[seq],) for seq in seqs
    ]


@pytest.mark.parametrize(
    'body',
    [b'', b'{}', b'{"events": [{"seq": 1, "stored": ["zz"]}]}'],
)
def test_follower_outlasts_broken_pages(body):
    follower, changes = make_follower()
    assert not follower.take(body)
    assert not changes


@pytest.mark.anyio
async def test_follower_asks_a_new_engine_from_its_first_event(monkeypatch):
    """Nothing is heard of an engine that was restarted.

    It counts its events from one again, while the agent asks for those
    above the number to which the former process had come.
    """
    monkeypatch.setattr(engine_reports, 'RETRY_SECONDS', 0.0)
    monkeypatch.setattr(engine_reports, 'EVENTS_EVERY', 0.0)
    answers_in_order = [
        encode(event(41), event(42)),
        engine_reports.Away(detail='refused', gone=True),
        encode(event(1)),
    ]
    targets, changes = [], []

    class Reader:
        async def read(self, *, target, seconds, most):
            targets.append(target.partition('?')[2].partition('&')[0])
            if answers_in_order:
                return answers_in_order.pop(0)
            await anyio.Event().wait()

    follower = engine_reports.EventFollower(
        reader=Reader(), path='/e', on_change=changes.append
    )
    async with anyio.create_task_group() as group:
        group.start_soon(follower.run)
        while len(targets) < 4:
            await anyio.sleep(0)
        group.cancel_scope.cancel()
    assert targets == ['after=0', 'after=42', 'after=0', 'after=1']
    assert [change.gap for change in changes] == [False, False, True, False]


# From the agent to the entries


class Wire:
    """Collects what a publisher sends to some receivers."""

    def __init__(self, receivers=1, names=1):
        self.now = 0.0
        self.sent = []
        self.receivers = receivers
        self.codec = make_codec()
        self.publisher = cache_events.Publisher(
            source=cache_events.Source(
                instance='a' * names, service='s' * names, incarnation=2**62
            ),
            send=self.send,
            clock=lambda: self.now,
            wall=lambda: self.now,
        )

    def send(self, events):
        self.sent.append(events)
        return self.receivers * len(self.codec.encode(events))

    def tick(self, seconds=1.0):
        self.now += seconds
        self.publisher.publish()


def make_codec(now=0.0, most=3):
    return marked_datagrams.Codec(
        kind=marked_datagrams.CACHE_EVENTS,
        sealer=SEALER,
        wall=lambda: now,
        most_senders=most,
    )


def test_publisher_tells_changes_and_evictions_of_what_it_told():
    wire = Wire()
    wire.tick()
    wire.publisher.note(Change(stored=BLOCKS[:3]))
    wire.publisher.note(Change(stored=BLOCKS[3:5], evicted=BLOCKS[4:9]))
    wire.tick()
    wire.publisher.note(Change(evicted=(BLOCKS[0], BLOCKS[100])))
    wire.tick()
    wire.tick()
    assert [one.sequence for one in wire.sent] == [1, 2]
    assert wire.sent[0].stored == BLOCKS[:4]
    assert wire.sent[0].evicted == ()
    assert wire.sent[1].evicted == (BLOCKS[0],)


@pytest.mark.parametrize('digest', [8, 32, 64])
def test_datagram_fits_whatever_the_digests(digest):
    wire = Wire(names=64)
    blocks = [bytes([number]) * digest for number in range(64)]
    wire.publisher.note(Change(stored=tuple(blocks)))
    wire.publisher.note(
        Change(stored=tuple(one[::-1] + b'x' for one in blocks))
    )
    wire.tick()
    datagram = wire.codec.encode(wire.sent[0])
    assert heartbeats.MOST_BYTES - 300 < len(datagram)
    assert len(datagram) <= heartbeats.MOST_BYTES


def test_publisher_is_bounded_in_bytes_a_second():
    wire = Wire(receivers=16)
    chance = random.Random(1)
    size = 0
    for _ in range(400):
        blocks = tuple(chance.randbytes(8) for _ in range(128))
        wire.publisher.note(Change(stored=blocks))
        wire.tick(0.25)
    size = sum(wire.receivers * len(wire.codec.encode(e)) for e in wire.sent)
    allowed = 100 * cache_events.BYTES_PER_SECOND
    assert 0.5 * allowed < size < 1.3 * allowed
    assert any(one.gap for one in wire.sent)


@pytest.mark.parametrize('way', ['gap', 'flood'])
def test_gap_is_told(way):
    """Entries go on believing in blocks that are long gone.

    An event of the engine was lost, or more came than could be passed on;
    what was lost may have been evictions.
    """
    wire = Wire()
    wire.publisher.note(Change(stored=BLOCKS[:2]))
    wire.tick()
    if way == 'gap':
        wire.publisher.note(Change(gap=True, stored=BLOCKS[2:3]))
    else:
        for number in range(cache_events.MOST_PENDING + 1):
            wire.publisher.note(Change(stored=(b'%7d0' % number,)))
    wire.tick()
    assert [one.gap for one in wire.sent] == [False, True]


@pytest.mark.parametrize(
    ('datagram', 'refusal'),
    [
        (make_codec().encode(make_events())[:-1], 'unauthenticated'),
        (
            SEALER.seal(marked_datagrams.CACHE_EVENTS.mark + b'\x90'),
            'malformed',
        ),
        (
            SEALER.seal(marked_datagrams.CACHE_EVENTS.mark + b'x' * 1200),
            'oversized',
        ),
        (make_codec().encode(make_events(sent_at=-31.0)), 'old'),
        (make_codec().encode(make_events(4)), 'replayed'),
        (
            make_codec().encode(make_events(9, incarnation=0)),
            'stale_incarnation',
        ),
    ],
    ids=lambda value: value if isinstance(value, str) else '',
)
def test_datagrams_that_are_not_believed(datagram, refusal):
    codec = make_codec()
    assert isinstance(
        codec.accept(codec.encode(make_events(5))), messages.CacheEvents
    )
    assert marked_datagrams.CACHE_EVENTS.matches(datagram)
    refused = codec.accept(datagram)
    assert refused.reason is heartbeats.Refusal(refusal)


def test_heartbeats_and_cache_events_are_never_mixed_up():
    codec = heartbeats.Codec(sealer=SEALER, wall=lambda: 0.0, most_senders=3)
    events = make_codec().encode(make_events())
    refused = codec.accept(events)
    assert refused.reason is heartbeats.Refusal.MALFORMED


def test_senders_are_bounded():
    codec = make_codec(most=3)
    for name in 'abcdef':
        codec.accept(codec.encode(make_events(instance=name)))
    assert len(codec._last) == 3


# At the entry


def count(index, prefix=BLOCKS, instance='a'):
    return index.count(instance=instance, prefix=prefix)


def test_index_counts_leading_blocks():
    index = prefix_index.PrefixIndex()
    index.note(make_events(1, stored=BLOCKS[:2] + BLOCKS[3:5]))
    assert count(index) == 2
    index.note(make_events(2, stored=(BLOCKS[2],)))
    assert count(index) == 5
    assert count(index, prefix=()) == 0
    assert count(index, instance='b') == 0
    index.note(make_events(3, evicted=(BLOCKS[1],)))
    assert count(index) == 1
    index.forget('a')
    assert count(index) == 0


@hypothesis.given(
    prompt=strategies.lists(
        strategies.binary(min_size=8, max_size=8), unique=True
    ),
    lost=strategies.integers(0, 60),
)
def test_sampled_blocks_tell_of_those_that_they_cover(prompt, lost):
    spoken = [
        position
        for position, digest in enumerate(prompt)
        if cache_events.is_sampled(digest)
    ]
    wire, index = Wire(), prefix_index.PrefixIndex()
    wire.publisher.note(Change(stored=tuple(prompt)))
    wire.tick()
    for events in wire.sent:
        index.note(events)
    assert count(index, prefix=prompt) == (spoken[-1] + 1 if spoken else 0)
    wire.publisher.note(Change(evicted=tuple(prompt[lost:])))
    wire.tick()
    for events in wire.sent[1:]:
        index.note(events)
    kept = [position for position in spoken if position < lost]
    assert count(index, prefix=prompt) == (kept[-1] + 1 if kept else 0)


@pytest.mark.parametrize(
    ('events', 'left'),
    [
        (make_events(2), 4),
        (make_events(3), 0),
        (make_events(2, gap=True), 0),
        (make_events(2, incarnation=2), 0),
        (make_events(3, stored=BLOCKS[:1]), 1),
    ],
    ids=['next', 'one lost', 'gap', 'new process', 'lost, then told'],
)
def test_gap_forgets_an_endpoint(events, left):
    """Calls go to a loaded endpoint for a cache that it no longer has.

    A datagram with evictions was lost, or the agent says that it missed
    some; only that endpoint's blocks are in doubt.
    """
    index = prefix_index.PrefixIndex()
    for name in 'ab':
        index.note(make_events(1, instance=name, stored=BLOCKS[:4]))
    index.note(events)
    assert (count(index), count(index, instance='b')) == (left, 4)


def test_index_is_bounded_and_keeps_beginnings():
    index = prefix_index.PrefixIndex()
    most = prefix_index.MOST_BLOCKS
    long = tuple(b'%07d0' % number for number in range(2 * most))
    index.learn(instance='a', prefix=long)
    assert count(index, prefix=long) == most
    for number in range(2 * prefix_index.MOST_INSTANCES):
        index.learn(instance=f'{number}', prefix=long[:1])
    assert len(index._caches) == prefix_index.MOST_INSTANCES


# Over the membership


@pytest.fixture
def anyio_backend():
    return virtual_time.make_backend()


@pytest.mark.anyio
async def test_events_reach_entries_once_and_nobody_else():
    """An index forgets what it knows, or believes an old recording.

    The network doubles every datagram; a doubled one must neither count
    twice nor look like a gap.
    """
    async with anyio.create_task_group() as group:
        site = fake_network.Site(group)
        entries = [site.start(f'entry-{number}') for number in range(2)]
        agents = [
            site.start(
                f'agent-{number}', role=messages.Role.AGENT, service='s'
            )
            for number in range(2)
        ]
        await anyio.sleep(0)
        site.seed(*entries, *agents)
        await anyio.sleep(3)
        heard = []
        for node in (*entries, *agents):
            node.membership.on_cache_events(
                lambda events, node=node: heard.append((node.name, events))
            )
        site.network.tamper = lambda datagram: [datagram, datagram]
        events = make_events(sent_at=fake_network.wall(), stored=BLOCKS[:9])
        size = agents[0].membership.send_cache_events(events)
        await anyio.sleep(1)
        assert heard == [('entry-0', events), ('entry-1', events)]
        assert size == 2 * len(make_codec().encode(events))
        replayed = heartbeats.Refusal.REPLAYED
        assert entries[0].membership.refusals[replayed]
        assert {one.state_of(agents[0]) for one in entries} == {'alive'}
        group.cancel_scope.cancel()


@pytest.mark.anyio
async def test_agent_passes_its_engines_events_on():
    wire = Wire()
    async with anyio.create_task_group() as group:
        group.start_soon(wire.publisher.run)
        wire.publisher.note(Change(stored=BLOCKS[:2]))
        await anyio.sleep(3)
        group.cancel_scope.cancel()
    assert [one.stored for one in wire.sent] == [BLOCKS[:2]]
