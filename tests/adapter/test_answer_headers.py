"""Tests of numbers in the headers of answers."""

import pytest

from marigoldramp.platform import headers


@pytest.mark.parametrize(
    ('name', 'value', 'field', 'expected'),
    [
        (b'runner-load', b'9' * 5000 + b',0,8', 'load', None),
        (b'runner-load', b'1,2', 'load', None),
        (b'server-limit', b'1' + b'0' * 308, 'rate_limit', headers.MAX_RATE),
        (b'server-limit', b'9' * 5000, 'rate_limit', 0.0),
        (b'server-limit', b'2.5', 'rate_limit', 2.5),
        (b'server-limit', b'0.0', 'rate_limit', 0.0),
    ],
)
def test_numbers_of_an_answer_are_bounded(name, value, field, expected):
    """Guards against an answer whose numbers end processes."""
    facts = headers.Codec().read_answer(200, [(name, value)])
    assert getattr(facts, field) == expected
