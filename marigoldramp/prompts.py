"""The prompt of a chat request, cut into the blocks that engines cache."""

import hashlib
from typing import Any

import msgspec


class Message(msgspec.Struct, frozen=True, kw_only=True):
    """One message of a chat request, as far as its text is concerned."""

    role: str
    content: Any


class Prompt(msgspec.Struct, frozen=True, kw_only=True):
    """The part of a chat request that an engine keeps in its cache."""

    messages: tuple[Message, ...]


_DECODER = msgspec.json.Decoder(Prompt)


def join(*, body: bytes, most: int) -> bytes:
    """Return the beginning of the text over which prefixes are cached.

    It ends before the first content that is no plain text, and is empty
    where the body is no chat request.
    """
    try:
        prompt = _DECODER.decode(body)
    except msgspec.MsgspecError:
        return b''
    text = b''
    for message in prompt.messages:
        if not isinstance(message.content, str) or len(text) >= most:
            break
        text += f'{message.role}: {message.content}\n'.encode()
    return text[:most]


def chain(
    *, text: bytes, block_bytes: int, digest_bytes: int
) -> tuple[bytes, ...]:
    """Return a digest of each whole block and all before it."""
    digests = []
    digest = b''
    for end in range(block_bytes, len(text) + 1, block_bytes):
        block = text[end - block_bytes : end]
        digest = hashlib.blake2b(
            digest + block, digest_size=digest_bytes
        ).digest()
        digests.append(digest)
    return tuple(digests)
