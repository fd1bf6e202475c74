"""Tests of message authentication."""

import pytest

from marigoldramp import seals

KEY = b'0123456789abcdef'


@pytest.mark.parametrize(
    ('key', 'use', 'change', 'opened'),
    [
        (KEY, 'datagram', 0, b'payload'),
        (KEY, 'order', 0, None),
        (b'another key of 16', 'datagram', 0, None),
        (KEY, 'datagram', 1, None),
    ],
    ids=['same', 'other-use', 'other-key', 'changed-byte'],
)
def test_open(key, use, change, opened):
    sealed = bytearray(
        seals.Sealer(fleet_key=KEY, use='datagram').seal(b'payload')
    )
    sealed[-1] ^= change
    reader = seals.Sealer(fleet_key=key, use=use)
    assert reader.open(bytes(sealed)) == opened


def test_short_key_is_refused():
    with pytest.raises(ValueError):
        seals.Sealer(fleet_key=b'short', use='datagram')
