"""Chat-completions messages and the engine stand-in's predictable answers.

An answer's text follows from the request alone, and its first and last word
carry a digest of the request.  A caller can so tell that an answer is whole
and is the answer to its own request.
"""

import hashlib
import random
from typing import Any

import msgspec

MOST_TOKENS = 4096
WORDS = (
    'agent arrives before the gate closes and brings both a chair note '
    'passenger booking remark summary pledge thanks receipt house appeal '
    'update volunteer reads calm voice later today with care please'
).split()
STREAM_END = b'data: [DONE]\n\n'


class Message(msgspec.Struct, frozen=True, kw_only=True):
    """One message of a conversation."""

    role: str
    content: str


class ChatRequest(msgspec.Struct, frozen=True, kw_only=True):
    """The fields of a chat-completions request that the engine reads."""

    model: str
    messages: tuple[Message, ...]
    stream: bool = False
    max_tokens: int = 48
    priority: int = 1


class Usage(msgspec.Struct, frozen=True, kw_only=True):
    """Tokens of a call."""

    prompt_tokens: int
    completion_tokens: int
    total_tokens: int


class Choice(msgspec.Struct, frozen=True, kw_only=True):
    """The only choice of a whole completion."""

    index: int = 0
    message: Message
    finish_reason: str = 'stop'


class Completion(msgspec.Struct, frozen=True, kw_only=True):
    """A whole completion."""

    id: str
    object: str = 'chat.completion'
    created: int
    model: str
    choices: tuple[Choice, ...]
    usage: Usage


class Delta(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    """What one chunk adds to the message."""

    role: str = ''
    content: str = ''


class ChunkChoice(msgspec.Struct, frozen=True, kw_only=True):
    """The only choice of a chunk."""

    index: int = 0
    delta: Delta
    finish_reason: str | None = None


class Chunk(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    """One event of a streamed completion."""

    id: str
    object: str
    created: int
    model: str
    choices: tuple[ChunkChoice, ...]
    usage: Usage | None = None


def join_prompt(request: ChatRequest) -> bytes:
    """Return the text over which prefixes are cached."""
    return b''.join(
        f'{message.role}: {message.content}\n'.encode()
        for message in request.messages
    )


def write_words(request: ChatRequest) -> tuple[str, ...]:
    """Return the words of the answer; a word counts as a token."""
    count = max(2, min(request.max_tokens, MOST_TOKENS))
    prompt = request.model.encode() + b'\0' + join_prompt(request)
    digest = hashlib.blake2b(prompt, digest_size=6).hexdigest()
    chosen = random.Random(digest).choices(WORDS, k=count - 2)
    return (f'[{digest}', *chosen, f'{digest}/{count}]')


def write_text(request: ChatRequest) -> str:
    """Return the text of the answer."""
    return ' '.join(write_words(request))


def encode_chunk(
    *,
    stream: str,
    created: int,
    model: str,
    delta: Delta,
    finish_reason: str | None = None,
    usage: Usage | None = None,
) -> bytes:
    """Return one server-sent event."""
    choice = ChunkChoice(delta=delta, finish_reason=finish_reason)
    chunk = Chunk(
        id=stream,
        object='chat.completion.chunk',
        created=created,
        model=model,
        choices=(choice,),
        usage=usage,
    )
    return b'data: ' + msgspec.json.encode(chunk) + b'\n\n'


def read_stream(body: bytes) -> str | None:
    """Return the text of a streamed answer, ``None`` if it is not whole."""
    if not body.endswith(STREAM_END):
        return None
    words = []
    for line in body.removesuffix(STREAM_END).split(b'\n'):
        if not line.startswith(b'data: '):
            continue
        event: Any = msgspec.json.decode(line.removeprefix(b'data: '))
        if 'error' in event:
            return None
        chunk = msgspec.convert(event, Chunk)
        words.append(chunk.choices[0].delta.content)
    return ''.join(words)
