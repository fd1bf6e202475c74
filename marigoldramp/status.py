"""What a process tells an operator about itself, and who may ask."""

import base64
import binascii
import struct
import typing
from typing import Callable

import msgspec

from . import seals

if typing.TYPE_CHECKING:
    from . import membership

PATH = '/marigoldramp/status'
HEADER = b'marigoldramp-operator'
#: Seconds for which a token is good.
TOKEN_SECONDS = 60.0
_TIME = struct.Struct('>d')


class PeerStatus(msgspec.Struct, frozen=True, kw_only=True):
    """One peer as a process sees it."""

    instance: str
    role: str
    data_centre: str
    service: str
    state: str
    leaving: bool
    bundle: int
    running: int | None = None
    queued: int | None = None


class Alarm(msgspec.Struct, frozen=True, kw_only=True):
    """Something an operator should look at; docs/OPERATORS.md lists all.

    :ivar name: stable name of the alarm.
    """

    name: str
    detail: str


class Status(msgspec.Struct, frozen=True, kw_only=True):
    """State of one process.

    :ivar bundle: number of the bundle in force, 0 for none.
    :ivar in_flight: calls that have not ended.
    """

    instance: str
    role: str
    data_centre: str
    version: str
    incarnation: int
    bundle: int
    ready: bool
    leaving: bool
    in_flight: int
    peers: list[PeerStatus]
    alarms: list[Alarm]


def describe_peer(peer: 'membership.Peer') -> PeerStatus:
    """Return a peer as the status shows it."""
    return PeerStatus(
        instance=peer.instance,
        role=peer.role.name.lower(),
        data_centre=peer.data_centre,
        service=peer.service,
        state=peer.state.value,
        leaving=peer.leaving,
        bundle=peer.bundle,
        running=peer.load.running if peer.load else None,
        queued=peer.load.queued if peer.load else None,
    )


class Tokens:
    """Short-lived tokens that only a holder of the fleet key can make.

    The status names customers' services and every peer's address, so it is
    not for everybody who reaches the port.
    """

    __slots__ = ('_sealer', '_wall')

    def __init__(self, *, fleet_key: bytes, wall: Callable[[], float]) -> None:
        self._sealer = seals.Sealer(fleet_key=fleet_key, use='status')
        self._wall = wall

    def make(self) -> bytes:
        """Return a token for the header ``HEADER``."""
        sealed = self._sealer.seal(_TIME.pack(self._wall()))
        return base64.b64encode(sealed)

    def check(self, token: str) -> bool:
        """Whether a token is genuine and fresh."""
        try:
            payload = self._sealer.open(base64.b64decode(token))
        except (binascii.Error, ValueError):
            return False
        if payload is None or len(payload) != _TIME.size:
            return False
        made_at: float = _TIME.unpack(payload)[0]
        return abs(self._wall() - made_at) <= TOKEN_SECONDS
