"""Tokens with which a caller goes on with a stream through another entry.

An entry that dies takes its callers' connections with it, but the answer is
still in the agent's memory.  The token, sent with each answer, tells any
other entry where.
"""

import base64
import binascii

import msgspec

from . import seals


class Resume(msgspec.Struct, frozen=True, array_like=True, kw_only=True):
    """Where the answer to a call is.

    :ivar call: identifier of the call.
    """

    call: str
    customer: str
    service: str
    agent: str
    incarnation: int


class Resumes:
    """Makes and opens resume tokens under the fleet key."""

    __slots__ = ('_sealer', '_decoder')

    def __init__(self, *, fleet_key: bytes) -> None:
        self._sealer = seals.Sealer(fleet_key=fleet_key, use='resume')
        self._decoder = msgspec.msgpack.Decoder(Resume)

    def make(self, resume: Resume) -> bytes:
        """Return the token."""
        sealed = self._sealer.seal(msgspec.msgpack.encode(resume))
        return base64.urlsafe_b64encode(sealed)

    def open(self, *, token: str, customer: str) -> Resume | None:
        """Return what a token says, ``None`` unless it is this customer's."""
        try:
            payload = self._sealer.open(base64.urlsafe_b64decode(token))
            if payload is None:
                return None
            resume = self._decoder.decode(payload)
        except (binascii.Error, ValueError, msgspec.MsgspecError):
            return None
        return resume if resume.customer == customer else None
