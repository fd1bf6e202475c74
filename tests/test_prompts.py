"""Tests of the blocks into which a prompt is cut."""

import hypothesis
from hypothesis import strategies
import msgspec
import pytest

from marigoldramp_standins import answers
from marigoldramp_standins import prefixes
from marigoldrampplug import model_engine


@hypothesis.given(
    texts=strategies.lists(strategies.text(max_size=700), max_size=4)
)
def test_chain_is_the_engines(texts):
    request = answers.ChatRequest(
        model='m',
        messages=tuple(answers.Message(role='u', content=t) for t in texts),
    )
    expected = prefixes.hash_blocks(answers.join_prompt(request))
    body = msgspec.json.encode(request)
    assert model_engine.ModelEngine.chain(body) == expected


@pytest.mark.parametrize(
    ('body', 'blocks'),
    [
        (b'no json', 0),
        (b'{"model": "m"}', 0),
        (b'{"messages": []}', 0),
        (b'{"messages": [{"role": "u", "content": [{"a": 1}]}]}', 0),
        (
            b'{"messages": [{"role": "u", "content": "%b"},'
            b'{"role": "u", "content": null}]}' % (b'x' * 600),
            2,
        ),
        (
            b'{"messages": [{"role": "u", "content": "%b"}]}'
            % (b'x' * 1_000_000),
            model_engine.ModelEngine.MOST_BLOCKS,
        ),
    ],
    ids=['garbage', 'none', 'empty', 'parts', 'text then null', 'long'],
)
def test_chain_of_any_body(body, blocks):
    assert len(model_engine.ModelEngine.chain(body)) == blocks
