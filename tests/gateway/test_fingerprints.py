"""Tests of the fingerprints of requests."""

import pytest

from marigoldramp.gateway import fingerprints
from marigoldramp.gateway import inbound


def compute(
    method=b'POST',
    target=b'/notes/1?q=2',
    host='notes.example',
    customer='house',
    body=b'text',
    attempt=b'a1',
):
    head = inbound.Head(
        method=method,
        target=target,
        host=host,
        headers=[(b'attempt-id', attempt), (b'time-budget-ms', attempt)],
        arrived=0.0,
    )
    return fingerprints.compute_fingerprint(
        head=head, customer=customer, body=body
    )


@pytest.mark.parametrize(
    ('more', 'same'),
    [
        ({}, True),
        ({'attempt': b'a2'}, True),
        ({'host': 'Notes.Example'}, True),
        ({'method': b'PUT'}, False),
        ({'target': b'/notes/1?q=3'}, False),
        ({'host': 'other.example'}, False),
        ({'customer': 'other'}, False),
        ({'body': b'text.'}, False),
        ({'customer': 'houset', 'body': b'ext'}, False),
    ],
)
def test_same_caller_and_content_share_a_fingerprint(more, same):
    assert (compute(**more) == compute()) is same


@pytest.mark.parametrize(
    ('service', 'parts', 'same'),
    [
        ('notes', ('a', 'b'), (True, True)),
        ('notes', ('c', 'b'), (False, True)),
        ('other', ('a', 'b'), (False, False)),
        ('notesa', ('', 'b'), (False, False)),
    ],
)
def test_a_part_has_one_fingerprint_for_each_service(service, parts, same):
    found = fingerprints.compute_part_fingerprints(
        service=service, parts=parts
    )
    expected = fingerprints.compute_part_fingerprints(
        service='notes', parts=('a', 'b')
    )
    equal = [one == two for one, two in zip(found, expected, strict=True)]
    assert equal == list(same)
    assert all(fingerprints.is_part(one) for one in found)
    assert not fingerprints.is_part(compute())
