"""What gateways fetch from each other over HTTP.

A gateway fetches the configuration and the list of endpoints from a peer whose
reports announce newer ones, for example while the platform's store does not
answer it.
"""

import random as random_module
from typing import Callable

from absl import logging
import anyio
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
from .shared_state import suspect_exchange

CONFIGURATION_PATH = '/configuration'
ENDPOINTS_PATH = '/endpoints'
STATUS_PATH = '/status'
SUSPECTS_PATH = '/suspects'
#: Followed by the fingerprint of a blocked request that may be sent again.
RELEASE_PATH = '/release/'
EXCHANGE_TIMEOUT_SECONDS = 1.0
#: Seconds after which the next peer is asked beside one that does not answer.
NEXT_PEER_SECONDS = 0.2


class EndpointList(msgspec.Struct, frozen=True, kw_only=True):
    """The endpoints that one gateway knows, see :class:`.listings.Listing`."""

    newest: int
    revision: int = 0
    settled: bool = False
    records: tuple[deployment.EndpointRecord, ...]


class PeerServer:
    """Answers the HTTP requests of peers and operators.

    :param describe: returns the status of this gateway.
    :param list_suspects: returns the requests that this gateway suspects of
        ending endpoints.
    :param release: unblocks the request with a fingerprint; returns whether it
        was blocked.
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
        elif path == ENDPOINTS_PATH and self._follower.known.listed:
            listing = self._follower.known.make_listing()
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


class PeerClient:
    """Fetches from peers whose reports announce newer information."""

    __slots__ = ('_peers', '_random')

    def __init__(
        self, *, peers: peers.PeerTable, random: random_module.Random
    ) -> None:
        self._peers = peers
        self._random = random

    async def fetch_configuration(self, version: int) -> bytes | None:
        """Return the document of this version or a newer one from a peer."""
        known = [
            peer
            for peer in self._peers.live()
            if peer.report is not None and peer.report.version >= version
        ]
        for peer in self._order_for_asking(known):
            found = await fetch(
                address=_address(peer), path=CONFIGURATION_PATH
            )
            if found is not None:
                return found
        return None

    def _order_for_asking(self, known: list[peers.Peer]) -> list[peers.Peer]:
        """Return peers in the order in which they are asked.

        Peers of the local data centre come first, in random order: if all
        gateways asked the first peer with a new version, its link would carry
        a document of hundreds of kilobytes once for each of them.
        """
        self._random.shuffle(known)
        return sorted(known, key=self._peers.is_near, reverse=True)

    async def fetch_endpoints(
        self, known: listings.Summary
    ) -> listings.Listing | None:
        """Return the endpoints of a peer that knows more of them.

        Peers whose list is settled come first.  Where the store has turned
        gateways away, most lists stay unsettled for two seconds, during which
        an endpoint that has left would still be used.

        :param known: what this gateway knows of them.
        """
        ahead = [
            peer
            for peer in self._peers.live()
            if peer.report is not None
            and peer.report.revision_age >= 0.0
            and (
                peer.report.revision > known.settled
                or _has_settled_more(peer, known)
            )
        ]
        ordered = sorted(
            self._order_for_asking(ahead),
            key=lambda peer: _has_settled_more(peer, known),
            reverse=True,
        )
        return await _fetch_from_first(ordered)


async def _fetch_from_first(
    ordered: list[peers.Peer],
) -> listings.Listing | None:
    """Return the endpoints of the first peer that answers.

    The next one is asked if the one before takes long, as it may stand still.
    """
    found: list[listings.Listing] = []
    async with anyio.create_task_group() as tasks:
        for peer in ordered:
            answered = anyio.Event()
            tasks.start_soon(_ask, peer, found, answered, tasks.cancel_scope)
            with anyio.move_on_after(NEXT_PEER_SECONDS):
                await answered.wait()
    return found[0] if found else None


async def _ask(
    peer: peers.Peer,
    found: list[listings.Listing],
    answered: anyio.Event,
    calls: anyio.CancelScope,
) -> None:
    """Fetch the endpoints of one peer; end all calls if it has some."""
    listing = await fetch_endpoints(address=_address(peer))
    if listing is not None:
        found.append(listing)
        calls.cancel()
    answered.set()


def _has_settled_more(peer: peers.Peer, known: listings.Summary) -> bool:
    """Whether a peer's list is settled and has what this gateway lacks."""
    if peer.report is None:
        return False
    summary = peer.report.summarize_endpoints()
    return summary.settled > known.settled or summary.is_more_complete(known)


def _address(peer: peers.Peer) -> outbound.Address:
    return outbound.Address(host=peer.host, port=peer.port)


async def fetch(*, address: outbound.Address, path: str) -> bytes | None:
    """Return the response of a peer, or ``None`` if the request failed."""
    reply = await outbound.send_request(
        pool=outbound.Pool(max_idle=0),
        address=address,
        identity='',
        method=b'GET',
        target=path.encode(),
        headers=[],
        body=b'',
        seconds=EXCHANGE_TIMEOUT_SECONDS,
    )
    if isinstance(reply, outbound.NoReply) or reply.status != 200:
        return None
    return reply.body


async def fetch_status(
    *, address: outbound.Address
) -> status_module.Status | None:
    """Return the status of a gateway, or ``None`` if the request failed."""
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
    """Have a gateway unblock a request; return whether it was blocked.

    :returns: ``None`` if the gateway did not answer.
    """
    reply = await outbound.send_request(
        pool=outbound.Pool(max_idle=0),
        address=address,
        identity='',
        method=b'POST',
        target=f'{RELEASE_PATH}{fingerprint}'.encode(),
        headers=[],
        body=b'',
        seconds=EXCHANGE_TIMEOUT_SECONDS,
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
    """Return the suspects that a peer knows, or ``None`` on failure."""
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
    """Return the endpoints that a peer knows, or ``None`` on failure."""
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
