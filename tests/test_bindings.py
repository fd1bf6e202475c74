"""Tests of bound idempotency keys."""

import base64

import pytest

from marigoldramp import bindings
from marigoldramp import messages

FLEET_KEY = b'0123456789abcdef'


def make(binder):
    return binder.make(
        service='dispatch',
        customer='apron',
        agent='agent-1',
        incarnation=7,
        made_at=100.0,
    )


def flip(key):
    raw = bytearray(base64.urlsafe_b64decode(key[len(bindings.PREFIX) :]))
    raw[-1] ^= 1
    return bindings.PREFIX + base64.urlsafe_b64encode(bytes(raw)).decode()


@pytest.mark.parametrize(
    ('customer', 'service', 'change', 'expected'),
    [
        ('apron', 'dispatch', lambda key: key, messages.Binding),
        ('other', 'dispatch', lambda key: key, bindings.Invalid),
        ('apron', 'ledger', lambda key: key, bindings.Invalid),
        ('apron', 'dispatch', flip, bindings.Invalid),
        ('apron', 'dispatch', lambda key: key[:20], bindings.Invalid),
        ('apron', 'dispatch', lambda key: 'mr1.%%', bindings.Invalid),
        ('apron', 'dispatch', lambda key: key * 9, bindings.Invalid),
        ('apron', 'dispatch', lambda key: 'my-key', bindings.Bare),
    ],
)
def test_open(customer, service, change, expected):
    binder = bindings.Binder(fleet_key=FLEET_KEY)
    opened = binder.open(
        key=change(make(binder)), customer=customer, service=service
    )
    assert isinstance(opened, expected)


def test_key_of_another_fleet_is_invalid():
    key = make(bindings.Binder(fleet_key=b'fedcba9876543210'))
    opened = bindings.Binder(fleet_key=FLEET_KEY).open(
        key=key, customer='apron', service='dispatch'
    )
    assert isinstance(opened, bindings.Invalid)


def test_two_keys_differ():
    binder = bindings.Binder(fleet_key=FLEET_KEY)
    assert make(binder) != make(binder)
