"""Tests of heartbeat datagrams."""

import random

import anyio
import hypothesis
from hypothesis import strategies
import msgspec
import pytest

from marigoldramp import heartbeats
from marigoldramp import messages
from marigoldramp import seals

KEY = b'0123456789abcdef'
NOW = 1_700_000_000.0
Refusal = heartbeats.Refusal


def make_codec(key=KEY, most_senders=10):
    return heartbeats.Codec(
        sealer=seals.Sealer(fleet_key=key, use='datagram'),
        wall=lambda: NOW,
        most_senders=most_senders,
    )


def make_heartbeat(**changes):
    values = {
        'instance': 'agent-1',
        'role': messages.Role.AGENT,
        'data_centre': 'a',
        'host': '127.0.0.1',
        'call_port': 1,
        'control_port': 2,
        'datagram_port': 3,
        'incarnation': 7,
        'sequence': 1,
        'sent_at': NOW,
        'bundle': 4,
    }
    return messages.Heartbeat(**(values | changes))


def accept(codec, heartbeat):
    """Return what became of a heartbeat: itself or the reason."""
    accepted = codec.accept(make_codec().encode(heartbeat))
    return getattr(accepted, 'reason', accepted)


@pytest.mark.parametrize(
    ('changes', 'refusal'),
    [
        ({}, None),
        ({'sent_at': NOW - 31}, Refusal.OLD),
        ({'sent_at': NOW + 31}, Refusal.OLD),
        ({'data_centre': 'x' * 1200}, Refusal.OVERSIZED),
    ],
    ids=['whole', 'old', 'early', 'oversized'],
)
def test_accept(changes, refusal):
    heartbeat = make_heartbeat(**changes)
    assert accept(make_codec(), heartbeat) == (refusal or heartbeat)


@pytest.mark.parametrize(
    ('datagram', 'refusal'),
    [
        (b'', Refusal.UNAUTHENTICATED),
        (b'x' * 100, Refusal.UNAUTHENTICATED),
        (
            make_codec(b'another key of 16').encode(make_heartbeat()),
            Refusal.UNAUTHENTICATED,
        ),
        (
            seals.Sealer(fleet_key=KEY, use='datagram').seal(b'\xc1'),
            Refusal.MALFORMED,
        ),
        (
            seals.Sealer(fleet_key=KEY, use='datagram').seal(
                msgspec.msgpack.encode(['agent-1'])
            ),
            Refusal.MALFORMED,
        ),
    ],
    ids=['empty', 'noise', 'other-key', 'not-msgpack', 'too-few-fields'],
)
def test_refuse(datagram, refusal):
    assert make_codec().accept(datagram).reason is refusal


@pytest.mark.parametrize(
    ('incarnation', 'sequence', 'refusal'),
    [
        (7, 6, None),
        (7, 5, Refusal.REPLAYED),
        (7, 4, Refusal.REPLAYED),
        (8, 1, None),
        (6, 9, Refusal.STALE_INCARNATION),
    ],
)
def test_order(incarnation, sequence, refusal):
    codec = make_codec()
    accept(codec, make_heartbeat(sequence=5))
    heartbeat = make_heartbeat(incarnation=incarnation, sequence=sequence)
    assert accept(codec, heartbeat) == (refusal or heartbeat)


def test_fresh_connection_decides_the_incarnation():
    """An instance restarts with its wall clock set back."""
    codec = make_codec()
    accept(codec, make_heartbeat(incarnation=7, sequence=5))
    codec.expect(make_heartbeat(incarnation=6, sequence=1))
    assert accept(codec, make_heartbeat(incarnation=6, sequence=1)) is (
        Refusal.REPLAYED
    )
    after = make_heartbeat(incarnation=6, sequence=2)
    assert accept(codec, after) == after


def test_memory_is_bounded():
    codec = make_codec(most_senders=3)
    for number in range(10):
        accept(codec, make_heartbeat(instance=f'agent-{number}'))
    assert len(codec._last) == 3


@hypothesis.given(
    strategies.lists(
        strategies.tuples(
            strategies.integers(1, 3), strategies.integers(1, 6)
        ),
        max_size=30,
    )
)
def test_accepted_heartbeats_only_grow(arrivals):
    """Datagrams arrive lost, doubled and in any order."""
    codec = make_codec()
    accepted = []
    for incarnation, sequence in arrivals:
        heartbeat = make_heartbeat(incarnation=incarnation, sequence=sequence)
        if accept(codec, heartbeat) == heartbeat:
            accepted.append((incarnation, sequence))
    assert accepted == sorted(set(accepted))
    if arrivals:
        assert accepted[-1] == max(arrivals)


@hypothesis.given(strategies.binary(max_size=40), strategies.integers(0, 60))
def test_changed_datagrams_are_refused(noise, place):
    datagram = make_codec().encode(make_heartbeat())
    changed = datagram[:place] + noise + datagram[place + len(noise) :]
    hypothesis.assume(changed != datagram)
    assert make_codec().accept(changed).reason is Refusal.UNAUTHENTICATED


def test_later_start_has_the_higher_incarnation():
    make = heartbeats.make_incarnation
    numbers = [
        make(wall=NOW + milliseconds / 1000, random=random.Random(1))
        for milliseconds in (0, 1.5, 3)
    ]
    assert numbers == sorted(set(numbers))
    assert numbers[-1] < 2**63


@pytest.mark.anyio
async def test_udp_transport():
    received = []
    arrived = anyio.Event()

    def receive(datagram):
        received.append(datagram)
        if datagram == b'last':
            arrived.set()

    one, other = heartbeats.UdpTransport(), heartbeats.UdpTransport()
    port = await other.open(host='127.0.0.1', port=0, receive=receive)
    own = await one.open(host='127.0.0.1', port=0, receive=received.append)
    one.send(datagram=b'to a closed port', host='127.0.0.1', port=9)
    one.send(datagram=b'last', host='127.0.0.1', port=port)
    await arrived.wait()
    one.close()
    one.send(datagram=b'after the end', host='127.0.0.1', port=port)
    other.close()
    assert received == [b'last']
    assert own != port
