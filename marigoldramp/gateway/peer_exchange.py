"""What entries fetch from each other by HTTP.

An entry that the store turns away gets the configuration and the list of
endpoints from a peer whose reports show that it knows more.
"""

import random as random_module
from typing import Callable

from absl import logging
import msgspec

from .. import logs
from . import configurations
from . import deployment
from . import discovery
from . import inbound
from . import listings
from . import outbound
from . import peers
from . import status as status_module
from . import suspect_exchange

CONFIGURATION_PATH = '/configuration'
ENDPOINTS_PATH = '/endpoints'
STATUS_PATH = '/status'
SUSPECTS_PATH = '/suspects'
#: Before the fingerprint of a request that is to run again.
RELEASE_PATH = '/release/'
#: Seconds for one exchange with a peer.
EXCHANGE_SECONDS = 1.0


class EndpointList(msgspec.Struct, frozen=True, kw_only=True):
    """Endpoints as one entry knows them."""

    newest: int
    revision: int = 0
    settled: bool = False
    records: tuple[deployment.EndpointRecord, ...]


class PeerPages:
    """Answers what peers and operators ask.

    :param describe: returns the state of this entry.
    :param list_suspects: returns the suspects that this entry knows.
    :param release: lets a request run again; whether it was held back.
    """

    __slots__ = (
        '_configuration',
        '_follower',
        '_describe',
        '_list_suspects',
        '_release',
    )

    def __init__(
        self,
        *,
        configuration: configurations.ActiveConfiguration,
        follower: discovery.EndpointFollower,
        describe: Callable[[], status_module.Status],
        list_suspects: Callable[[], suspect_exchange.SuspectList],
        release: Callable[[str], bool],
    ) -> None:
        self._configuration = configuration
        self._follower = follower
        self._describe = describe
        self._list_suspects = list_suspects
        self._release = release

    async def handle(self, exchange: inbound.Exchange) -> None:
        """Answer one request."""
        status = 200
        body = b''
        path = exchange.head.path
        if path == CONFIGURATION_PATH and self._configuration.document:
            body = self._configuration.document
        elif path == ENDPOINTS_PATH and self._follower.listed:
            listing = self._follower.make_listing()
            body = msgspec.json.encode(
                EndpointList(
                    newest=listing.newest,
                    revision=listing.revision,
                    settled=listing.settled,
                    records=listing.records,
                )
            )
        elif path == STATUS_PATH:
            body = msgspec.json.encode(self._describe())
        elif path == SUSPECTS_PATH:
            body = msgspec.json.encode(self._list_suspects())
        elif path.startswith(RELEASE_PATH) and exchange.head.method == b'POST':
            released = self._release(path.removeprefix(RELEASE_PATH))
            status = 200 if released else 404
        else:
            status = 404
        await exchange.respond(status=status, headers=[], body=body)


class PeerSource:
    """Fetches from peers whose reports show that they know more."""

    __slots__ = ('_peers', '_random')

    def __init__(
        self, *, peers: peers.PeerTable, random: random_module.Random
    ) -> None:
        self._peers = peers
        self._random = random

    async def fetch_configuration(self, version: int) -> bytes | None:
        """Return the document of a version or a newer one, if one has it."""
        known = [
            peer
            for peer in self._peers.live()
            if peer.report is not None and peer.report.version >= version
        ]
        for peer in self._order(known):
            found = await fetch(
                address=_address(peer), path=CONFIGURATION_PATH
            )
            if found is not None:
                return found
        return None

    def _order(self, known: list[peers.Peer]) -> list[peers.Peer]:
        """Return peers in the order in which they are asked.

        Those of our data centre come first, by chance: were all to ask the
        first that knows more, its link would carry a document of hundreds of
        kilobytes once for each entry.
        """
        self._random.shuffle(known)
        return sorted(known, key=self._peers.is_near, reverse=True)

    async def fetch_endpoints(
        self, *, newer_than: int
    ) -> listings.Listing | None:
        """Return the endpoints that some peer knows, if it knows more.

        Those come first whose list is settled.  Near a part of the entries
        that the store has turned away most lists are not for two seconds,
        and an endpoint that has left would be used until then.
        """
        known = [
            peer
            for peer in self._peers.live()
            if peer.report is not None
            and peer.report.revision_age >= 0.0
            and peer.report.revision > newer_than
        ]
        ordered = sorted(
            self._order(known),
            key=lambda peer: _settled(peer) > newer_than,
            reverse=True,
        )
        for peer in ordered:
            found = await fetch_endpoints(address=_address(peer))
            if found is not None:
                return found
        return None


def _settled(peer: peers.Peer) -> int:
    return 0 if peer.report is None else peer.report.settled


def _address(peer: peers.Peer) -> outbound.Address:
    return outbound.Address(host=peer.host, port=peer.port)


async def fetch(*, address: outbound.Address, path: str) -> bytes | None:
    """Return a page of a peer, ``None`` if it could not be had."""
    reply = await outbound.send_request(
        pool=outbound.Pool(max_idle=0),
        address=address,
        identity='',
        method=b'GET',
        target=path.encode(),
        headers=[],
        body=b'',
        seconds=EXCHANGE_SECONDS,
    )
    if isinstance(reply, outbound.NoReply) or reply.status != 200:
        return None
    return reply.body


async def fetch_status(
    *, address: outbound.Address
) -> status_module.Status | None:
    """Return the state of an entry, ``None`` if it could not be had."""
    body = await fetch(address=address, path=STATUS_PATH)
    if body is None:
        return None
    try:
        return msgspec.json.decode(body, type=status_module.Status)
    except msgspec.MsgspecError:
        return None


async def release(
    *, address: outbound.Address, fingerprint: str
) -> bool | None:
    """Have an entry let a request run again; whether it was held back.

    :returns: ``None`` if the entry could not be asked.
    """
    reply = await outbound.send_request(
        pool=outbound.Pool(max_idle=0),
        address=address,
        identity='',
        method=b'POST',
        target=f'{RELEASE_PATH}{fingerprint}'.encode(),
        headers=[],
        body=b'',
        seconds=EXCHANGE_SECONDS,
    )
    match reply:
        case outbound.Reply(status=200):
            return True
        case outbound.Reply(status=404):
            return False
    return None


async def fetch_suspects(
    peer: peers.Peer,
) -> suspect_exchange.SuspectList | None:
    """Return the suspects that a peer knows, if it could be asked."""
    body = await fetch(address=_address(peer), path=SUSPECTS_PATH)
    if body is None:
        return None
    try:
        return msgspec.json.decode(body, type=suspect_exchange.SuspectList)
    except msgspec.MsgspecError as error:
        logging.warning(
            'suspects not understood',
            extra=logs.fields(peer=peer.instance, detail=str(error)),
        )
        return None


async def fetch_endpoints(
    *, address: outbound.Address
) -> listings.Listing | None:
    """Return the endpoints that a peer knows."""
    body = await fetch(address=address, path=ENDPOINTS_PATH)
    if body is None:
        return None
    try:
        found = msgspec.json.decode(body, type=EndpointList)
    except msgspec.MsgspecError:
        return None
    return listings.Listing(
        records=found.records,
        revision=found.revision,
        newest=found.newest,
        settled=found.settled,
    )
