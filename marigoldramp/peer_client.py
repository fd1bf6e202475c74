"""Asks peers: one connection kept per peer, and fresh ones for probes."""

import collections
import dataclasses
import time
from typing import Any
from typing import Callable

import google.protobuf.message
import grpc

from . import peer_messages
from . import peer_seals
from . import seals

#: Seconds for one request where the caller states none.
TIMEOUT = 2.0
MOST_CHANNELS = 64


@dataclasses.dataclass(slots=True, kw_only=True)
class _Kept:
    """A connection that is kept.

    :ivar session: the peer's start, learned from its first reply.
    :ivar users: requests under way on it.
    """

    channel: Any
    session: int = 0
    users: int = 0


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class _Replied:
    """Bodies of a believed reply and the metadata that came with it."""

    bodies: tuple[bytes, ...]
    answer: peer_seals.Answer


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class _Request:
    """One request as it is to be sent."""

    method: str
    receiver: str
    body: bytes
    session: int = 0
    stream: bool = False


class Client:
    """Sends requests to peers and believes only sealed replies.

    :param instance: this process's instance name.
    :param most_channels: connections kept; the longest unused one goes.
    """

    def __init__(
        self,
        *,
        sealer: seals.Sealer,
        instance: str,
        most_channels: int = MOST_CHANNELS,
        wall: Callable[[], float] = time.time,
    ) -> None:
        self._asker = peer_seals.Asker(
            sealer=sealer, instance=instance, wall=wall
        )
        self._most_channels = most_channels
        self._kept: collections.OrderedDict[str, _Kept] = (
            collections.OrderedDict()
        )

    async def probe(
        self,
        host: str,
        port: int,
        *,
        receiver: str = peer_seals.ANYONE,
        timeout: float = TIMEOUT,
    ) -> peer_messages.ProbeReply | peer_messages.Unreachable:
        """Ask over a connection opened for this one request."""
        channel = _open(host, port)
        try:
            replied = await self._send(
                channel,
                _Request(
                    method='Probe',
                    receiver=receiver,
                    body=peer_messages.ProbeRequest().SerializeToString(),
                ),
                timeout,
            )
        finally:
            await channel.close()
        if isinstance(replied, peer_messages.Unreachable):
            return replied
        return peer_messages.ProbeReply.FromString(replied.bodies[0])

    async def fetch_manifest(
        self,
        host: str,
        port: int,
        *,
        have: int,
        timeout: float = TIMEOUT,
    ) -> peer_messages.ManifestReply | peer_messages.Unreachable:
        """Ask for the manifest in force if its number is above ``have``."""
        request = peer_messages.ManifestRequest(have=have)
        replied = await self._ask(
            host, port, 'FetchManifest', request, timeout=timeout
        )
        if isinstance(replied, peer_messages.Unreachable):
            return replied
        return peer_messages.ManifestReply.FromString(replied.bodies[0])

    async def fetch_parts(
        self,
        host: str,
        port: int,
        *,
        digests: tuple[str, ...],
        timeout: float = TIMEOUT,
    ) -> tuple[peer_messages.Part, ...] | peer_messages.Unreachable:
        """Ask for parts; the peer returns those that it holds."""
        request = peer_messages.PartsRequest(digests=digests)
        replied = await self._ask(
            host, port, 'FetchParts', request, timeout=timeout, stream=True
        )
        if isinstance(replied, peer_messages.Unreachable):
            return replied
        return tuple(
            peer_messages.Part.FromString(body) for body in replied.bodies
        )

    async def order(
        self,
        host: str,
        port: int,
        *,
        receiver: str,
        order: peer_messages.MapOrder,
        timeout: float = TIMEOUT,
    ) -> peer_messages.MapReply | peer_messages.Unreachable:
        """Give an order; ``Unreachable`` leaves open whether it arrived."""
        replied = await self._ask_once(
            host, port, 'Order', order, receiver=receiver, timeout=timeout
        )
        if isinstance(replied, peer_messages.Unreachable):
            return replied
        return peer_messages.MapReply.FromString(replied.bodies[0])

    async def hand_over(
        self,
        host: str,
        port: int,
        *,
        receiver: str,
        request: peer_messages.HandOverRequest,
        timeout: float = TIMEOUT,
    ) -> peer_messages.HandOverReply | peer_messages.Unreachable:
        """Hand records over; ``Unreachable`` as with :meth:`order`."""
        replied = await self._ask_once(
            host, port, 'HandOver', request, receiver=receiver, timeout=timeout
        )
        if isinstance(replied, peer_messages.Unreachable):
            return replied
        return peer_messages.HandOverReply.FromString(replied.bodies[0])

    async def forget(self, host: str, port: int) -> None:
        """Close the kept connection to a peer, if there is one."""
        kept = self._kept.pop(peer_messages.target_of(host, port), None)
        if kept is not None:
            await kept.channel.close()

    async def close(self) -> None:
        """Close every connection."""
        while self._kept:
            _, kept = self._kept.popitem()
            await kept.channel.close()

    async def _ask_once(
        self,
        host: str,
        port: int,
        method: str,
        request: google.protobuf.message.Message,
        *,
        receiver: str,
        timeout: float,
    ) -> _Replied | peer_messages.Unreachable:
        """Ask a named peer, in its present session.

        The session is learned first where it is unknown.  A peer that has
        restarted refuses the old one, so nothing has happened and the
        request is sent once more.
        """
        refused: _Replied | peer_messages.Unreachable
        refused = peer_messages.Unreachable(detail='no session')
        for _ in range(2):
            session = await self._learn_session(host, port, receiver, timeout)
            if isinstance(session, peer_messages.Unreachable):
                return session
            refused = await self._ask(
                host,
                port,
                method,
                request,
                receiver=receiver,
                session=session,
                timeout=timeout,
            )
            if not _names(refused, peer_seals.Refusal.WRONG_SESSION):
                return refused
            self._keep(host, port).session = 0
        return refused

    async def _learn_session(
        self, host: str, port: int, receiver: str, timeout: float
    ) -> int | peer_messages.Unreachable:
        kept = self._kept.get(peer_messages.target_of(host, port))
        if kept is not None and kept.session:
            return kept.session
        replied = await self._ask(
            host,
            port,
            'Probe',
            peer_messages.ProbeRequest(),
            receiver=receiver,
            timeout=timeout,
        )
        if isinstance(replied, peer_messages.Unreachable):
            return replied
        return replied.answer.session

    async def _ask(
        self,
        host: str,
        port: int,
        method: str,
        request: google.protobuf.message.Message,
        *,
        receiver: str = peer_seals.ANYONE,
        session: int = 0,
        timeout: float,
        stream: bool = False,
    ) -> _Replied | peer_messages.Unreachable:
        """Ask over the kept connection; give it up when it is silent.

        Something between two ends can lose track of a connection: sends go
        nowhere and no error comes.  Every later request on it would time
        out too, so the next one gets a new connection.
        """
        kept = self._keep(host, port)
        kept.users += 1
        try:
            replied = await self._send(
                kept.channel,
                _Request(
                    method=method,
                    receiver=receiver,
                    body=request.SerializeToString(),
                    session=session,
                    stream=stream,
                ),
                timeout,
            )
        finally:
            kept.users -= 1
        if isinstance(replied, _Replied):
            kept.session = replied.answer.session
        elif replied.refusal is None:
            await self._drop(peer_messages.target_of(host, port), kept)
        return replied

    async def _drop(self, target: str, kept: _Kept) -> None:
        if self._kept.get(target) is kept:
            del self._kept[target]
        if not kept.users:
            await kept.channel.close()

    def _keep(self, host: str, port: int) -> _Kept:
        """Return the connection to a peer, and make room for it."""
        target = peer_messages.target_of(host, port)
        kept = self._kept.get(target)
        if kept is None:
            self._make_room()
            kept = _Kept(channel=_open(host, port))
            self._kept[target] = kept
        self._kept.move_to_end(target)
        return kept

    def _make_room(self) -> None:
        for target, kept in list(self._kept.items()):
            if len(self._kept) < self._most_channels:
                return
            if not kept.users:
                # The channel closes its connection when it is collected.
                del self._kept[target]

    async def _send(
        self, channel: Any, request: _Request, timeout: float
    ) -> _Replied | peer_messages.Unreachable:
        ask = self._asker.ask(
            method=request.method,
            receiver=request.receiver,
            session=request.session,
            body=request.body,
        )
        path = f'/{peer_messages.SERVICE}/{request.method}'
        make = channel.unary_stream if request.stream else channel.unary_unary
        call = make(path)(
            request.body,
            metadata=((peer_seals.METADATA_KEY, self._asker.seal(ask)),),
            timeout=timeout,
        )
        try:
            if request.stream:
                bodies = tuple([body async for body in call])
            else:
                bodies = (await call,)
            metadata = await call.trailing_metadata()
        except grpc.aio.AioRpcError as error:
            return self._explain(ask, error)
        answer = self._asker.open(
            ask=ask,
            sealed=peer_messages.find_seal(metadata),
            digest=peer_seals.digest_of(*bodies),
            sender=request.receiver,
        )
        if isinstance(answer, peer_seals.Refusal):
            return peer_messages.Unreachable(
                detail=f'reply not believed: {answer}'
            )
        return _Replied(bodies=bodies, answer=answer)

    def _explain(
        self, ask: peer_seals.Ask, error: Any
    ) -> peer_messages.Unreachable:
        detail = error.details() or ''
        answer = self._asker.open(
            ask=ask,
            sealed=peer_messages.find_seal(error.trailing_metadata()),
            digest=peer_seals.digest_of(detail.encode()),
            sender=peer_seals.ANYONE,
        )
        if isinstance(answer, peer_seals.Answer):
            return peer_messages.Unreachable(
                detail=f'refused: {detail}',
                refusal=peer_seals.Refusal(detail),
            )
        return peer_messages.Unreachable(
            detail=f'{error.code().name}: {detail}'
        )


def _names(
    replied: _Replied | peer_messages.Unreachable,
    refusal: peer_seals.Refusal,
) -> bool:
    return (
        isinstance(replied, peer_messages.Unreachable)
        and replied.refusal is refusal
    )


def _open(host: str, port: int) -> Any:
    return grpc.aio.insecure_channel(
        peer_messages.target_of(host, port), options=peer_messages.OPTIONS
    )
