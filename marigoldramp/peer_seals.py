"""Authentication of requests and replies between peers.

The tag of a request covers who asks whom for what, when, under which nonce
and with which body; that of a reply covers the request's nonce.  So neither
can be altered, sent to another instance or used in answer to another
request.
"""

import dataclasses
import enum
import hashlib
import secrets
from typing import Callable

import msgspec

from . import replays
from . import seals

METADATA_KEY = 'mr-auth-bin'
#: Difference of two wall clocks that is still believed, in seconds.
MOST_AGE = 30.0
#: Orders and hand-overs remembered; each costs some 150 bytes.
MOST_NONCES = 8192
NONCE_BYTES = 12
#: Any instance may answer: its name is not known yet.
ANYONE = ''


class Ask(msgspec.Struct, frozen=True, array_like=True, kw_only=True):
    """What the tag of a request covers.

    :ivar receiver: instance for which it is meant, or ``ANYONE``.
    :ivar session: the receiver's start for which it is meant; 0 for any.
        Nonces are forgotten when a process ends, so a recorded order could
        otherwise be given again to its successor.
    """

    method: str
    sender: str
    receiver: str
    session: int
    sent_at: float
    nonce: bytes
    digest: bytes


class Answer(msgspec.Struct, frozen=True, array_like=True, kw_only=True):
    """What the tag of a reply covers; ``session`` as in :class:`Ask`."""

    sender: str
    session: int
    nonce: bytes
    digest: bytes


class Refusal(enum.StrEnum):
    """Why a request was not believed."""

    UNAUTHENTICATED = 'unauthenticated'
    WRONG_METHOD = 'wrong_method'
    WRONG_RECEIVER = 'wrong_receiver'
    WRONG_SESSION = 'wrong_session'
    WRONG_BODY = 'wrong_body'
    OLD = 'old'
    REPLAYED = 'replayed'
    #: A reason that only a newer version of the program knows.
    OTHER = 'other'

    @classmethod
    def _missing_(cls, value: object) -> 'Refusal':
        return cls.OTHER


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Refused:
    """A request that was not believed.

    :ivar ask: its metadata where the tag was right, so that the refusal can
        be sealed.
    """

    refusal: Refusal
    ask: Ask | None = None


def digest_of(*bodies: bytes) -> bytes:
    """Return the digest of a body sent in one or more messages."""
    digest = hashlib.blake2b(digest_size=32)
    for body in bodies:
        digest.update(len(body).to_bytes(8, 'big'))
        digest.update(body)
    return digest.digest()


class Asker:
    """Seals requests and opens replies, on the client's side."""

    __slots__ = ('_decoder', '_instance', '_sealer', '_wall')

    def __init__(
        self,
        *,
        sealer: seals.Sealer,
        instance: str,
        wall: Callable[[], float],
    ) -> None:
        self._sealer = sealer
        self._instance = instance
        self._wall = wall
        self._decoder = msgspec.msgpack.Decoder(Answer)

    def ask(
        self, *, method: str, receiver: str, session: int, body: bytes
    ) -> Ask:
        """Return what is to be covered by the tag of a new request."""
        return Ask(
            method=method,
            sender=self._instance,
            receiver=receiver,
            session=session,
            sent_at=self._wall(),
            nonce=secrets.token_bytes(NONCE_BYTES),
            digest=digest_of(body),
        )

    def seal(self, ask: Ask) -> bytes:
        """Return the metadata value of a request."""
        return self._sealer.seal(msgspec.msgpack.encode(ask))

    def open(
        self, *, ask: Ask, sealed: bytes, digest: bytes, sender: str
    ) -> Answer | Refusal:
        """Return the checked metadata of the reply to ``ask``.

        :param sender: the instance that must have answered, or ``ANYONE``.
        """
        payload = self._sealer.open(sealed)
        if payload is None:
            return Refusal.UNAUTHENTICATED
        try:
            answer = self._decoder.decode(payload)
        except msgspec.MsgspecError:
            return Refusal.UNAUTHENTICATED
        if answer.nonce != ask.nonce:
            return Refusal.REPLAYED
        if sender not in (ANYONE, answer.sender):
            return Refusal.WRONG_RECEIVER
        if answer.digest != digest:
            return Refusal.WRONG_BODY
        return answer


class Checker:
    """Opens requests and seals replies, on the server's side.

    :param session: number of this start of the process.
    """

    __slots__ = (
        '_decoder',
        '_instance',
        '_replays',
        '_sealer',
        '_wall',
        'session',
    )

    def __init__(
        self,
        *,
        sealer: seals.Sealer,
        instance: str,
        session: int,
        clock: Callable[[], float],
        wall: Callable[[], float],
    ) -> None:
        self._sealer = sealer
        self._instance = instance
        self._wall = wall
        self._decoder = msgspec.msgpack.Decoder(Ask)
        self._replays = replays.ReplayWindow(
            seconds=2 * MOST_AGE, most=MOST_NONCES, clock=clock
        )
        self.session = session

    def check(
        self, *, method: str, sealed: bytes, body: bytes, once: bool
    ) -> Ask | Refused:
        """Return the checked metadata of a request.

        :param once: the request changes something, so it has to name this
            session and must not have been seen before.
        """
        payload = self._sealer.open(sealed)
        if payload is None:
            return Refused(refusal=Refusal.UNAUTHENTICATED)
        try:
            ask = self._decoder.decode(payload)
        except msgspec.MsgspecError:
            return Refused(refusal=Refusal.UNAUTHENTICATED)
        refusal = self._judge(ask, method, body)
        if refusal is None and once:
            refusal = self._take(ask)
        if refusal is not None:
            return Refused(refusal=refusal, ask=ask)
        return ask

    def seal(self, *, ask: Ask, digest: bytes) -> bytes:
        """Return the metadata value of the reply to a checked request."""
        answer = Answer(
            sender=self._instance,
            session=self.session,
            nonce=ask.nonce,
            digest=digest,
        )
        return self._sealer.seal(msgspec.msgpack.encode(answer))

    def _judge(self, ask: Ask, method: str, body: bytes) -> Refusal | None:
        if ask.method != method:
            return Refusal.WRONG_METHOD
        if ask.receiver not in (ANYONE, self._instance):
            return Refusal.WRONG_RECEIVER
        if abs(self._wall() - ask.sent_at) > MOST_AGE:
            return Refusal.OLD
        if ask.digest != digest_of(body):
            return Refusal.WRONG_BODY
        return None

    def _take(self, ask: Ask) -> Refusal | None:
        if ask.session != self.session:
            return Refusal.WRONG_SESSION
        if not self._replays.take(ask.nonce):
            return Refusal.REPLAYED
        return None
