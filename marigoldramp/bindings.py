"""Bound idempotency keys: a key that names the one process that may run it.

An entry hands out keys with its address answer.  Each key carries, under a
message authentication code, the agent and the incarnation that alone may run
the call.  A retry through any entry therefore reaches the same record, and
no store takes part.  Keys of an incarnation that has died never run again.
"""

import base64
import binascii
import dataclasses
import secrets

import msgspec

from . import messages
from . import seals

PREFIX = 'mr1.'
NONCE_BYTES = 12
#: Longest key that is looked at; a longer one is no key of ours.
MOST_CHARACTERS = 512


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Bare:
    """A key that a caller made up; it is bound through the store."""

    key: str


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Invalid:
    """A key that looks like ours and is not, or is another customer's."""

    detail: str


class Binder:
    """Makes and opens bound keys."""

    __slots__ = ('_sealer', '_encoder', '_decoder')

    def __init__(self, *, fleet_key: bytes) -> None:
        self._sealer = seals.Sealer(fleet_key=fleet_key, use='binding')
        self._encoder = msgspec.msgpack.Encoder()
        self._decoder = msgspec.msgpack.Decoder(messages.Binding)

    def make(
        self,
        *,
        service: str,
        customer: str,
        agent: str,
        incarnation: int,
        made_at: float,
    ) -> str:
        """Return a new key that only this incarnation of the agent runs."""
        binding = messages.Binding(
            service=service,
            customer=customer,
            agent=agent,
            incarnation=incarnation,
            made_at=made_at,
            nonce=secrets.token_bytes(NONCE_BYTES),
        )
        sealed = self._sealer.seal(self._encoder.encode(binding))
        return PREFIX + base64.urlsafe_b64encode(sealed).decode()

    def open(
        self, *, key: str, customer: str, service: str
    ) -> messages.Binding | Bare | Invalid:
        """Return what a key is bound to.

        A key of another customer or service is refused: it would let one
        customer read the answer to another one's call.
        """
        if not key.startswith(PREFIX):
            return Bare(key=key)
        binding = self._decode(key)
        if binding is None:
            return Invalid(detail='the idempotency key is not genuine')
        if binding.customer != customer or binding.service != service:
            return Invalid(
                detail='the idempotency key was made for another call'
            )
        return binding

    def _decode(self, key: str) -> messages.Binding | None:
        if len(key) > MOST_CHARACTERS:
            return None
        try:
            sealed = base64.urlsafe_b64decode(key[len(PREFIX) :])
            payload = self._sealer.open(sealed)
            if payload is None:
                return None
            return self._decoder.decode(payload)
        except (binascii.Error, ValueError, msgspec.MsgspecError):
            return None
