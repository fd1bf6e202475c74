"""Sealed heads of calls and answers, each carried in one HTTP header."""

import base64
import binascii

import msgspec

from . import messages
from . import seals

CALL_HEADER = b'marigoldramp-head'
ANSWER_HEADER = b'marigoldramp-answer'
#: Headers with this prefix are between the system's own processes, or
#: between it and its callers, and are never relayed.
OWN_PREFIX = b'marigoldramp-'


class Heads:
    """Encodes and decodes heads under the fleet key.

    An agent runs nothing for a peer that cannot seal a head, and an entry
    takes no answer whose head was not sealed by an agent.
    """

    __slots__ = ('_calls', '_answers', '_encoder', '_call', '_answer')

    def __init__(self, *, fleet_key: bytes) -> None:
        self._calls = seals.Sealer(fleet_key=fleet_key, use='call')
        self._answers = seals.Sealer(fleet_key=fleet_key, use='answer')
        self._encoder = msgspec.msgpack.Encoder()
        self._call = msgspec.msgpack.Decoder(messages.CallHead)
        self._answer = msgspec.msgpack.Decoder(messages.AnswerHead)

    def encode_call(self, head: messages.CallHead) -> bytes:
        """Return the header value of a call's head."""
        sealed = self._calls.seal(self._encoder.encode(head))
        return base64.b64encode(sealed)

    def decode_call(self, value: str) -> messages.CallHead | None:
        """Return a call's head, or ``None`` if it is not genuine."""
        payload = _open(self._calls, value)
        if payload is None:
            return None
        try:
            return self._call.decode(payload)
        except msgspec.MsgspecError:
            return None

    def encode_answer(self, head: messages.AnswerHead) -> bytes:
        """Return the header value of an answer's head."""
        sealed = self._answers.seal(self._encoder.encode(head))
        return base64.b64encode(sealed)

    def decode_answer(self, value: str) -> messages.AnswerHead | None:
        """Return an answer's head, or ``None`` if it is not genuine."""
        payload = _open(self._answers, value)
        if payload is None:
            return None
        try:
            return self._answer.decode(payload)
        except msgspec.MsgspecError:
            return None


def _open(sealer: seals.Sealer, value: str) -> bytes | None:
    try:
        return sealer.open(base64.b64decode(value, validate=True))
    except (binascii.Error, ValueError):
        return None
