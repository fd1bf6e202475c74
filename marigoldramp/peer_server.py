"""Answers requests of peers.

Bodies are authenticated as the bytes that travelled, before anything parses
them; every reply and every refusal is sealed in turn.
"""

import abc
import contextlib
import time
from typing import Any
from typing import AsyncIterator
from typing import Callable

import anyio
import google.protobuf.message
import grpc

from . import peer_messages
from . import peer_seals
from . import seals

MOST_CONCURRENT = 256
#: Attempts to find a free port, and seconds in between.
BIND_ATTEMPTS = 20
BIND_EVERY = 0.1


class Handlers(abc.ABC):
    """What a process does with its peers' requests.

    Requests reach a handler only when they are authenticated, and those of
    :meth:`order` and :meth:`hand_over` only once each.  ``sender`` is the
    instance that asked.
    """

    @abc.abstractmethod
    async def probe(self, *, sender: str) -> peer_messages.ProbeReply:
        """Answer at once; see ``membership.Membership.answer_probe``."""

    @abc.abstractmethod
    async def fetch_manifest(
        self, *, have: int, sender: str
    ) -> peer_messages.ManifestReply:
        """Return the manifest in force, or none if not above ``have``."""

    @abc.abstractmethod
    async def fetch_parts(
        self, *, digests: tuple[str, ...], sender: str
    ) -> tuple[peer_messages.Part, ...]:
        """Return the parts held of those asked for."""

    @abc.abstractmethod
    async def order(
        self, *, order: peer_messages.MapOrder, sender: str
    ) -> peer_messages.MapReply:
        """Carry out an order about a rank group."""

    @abc.abstractmethod
    async def hand_over(
        self, *, request: peer_messages.HandOverRequest, sender: str
    ) -> peer_messages.HandOverReply:
        """Keep records of another agent's non-idempotent calls."""


class Server:
    """Answers peers on one port.

    :param session: this process's incarnation.
    """

    def __init__(
        self,
        *,
        handlers: Handlers,
        sealer: seals.Sealer,
        instance: str,
        session: int,
        host: str,
        port: int,
        clock: Callable[[], float] = time.monotonic,
        wall: Callable[[], float] = time.time,
    ) -> None:
        self._handlers = handlers
        self._checker = peer_seals.Checker(
            sealer=sealer,
            instance=instance,
            session=session,
            clock=clock,
            wall=wall,
        )
        self._host = host
        self._port = port
        self._server: Any = None
        self.refusals: dict[peer_seals.Refusal, int] = {}

    async def start(self) -> int:
        """Listen, and return the port."""
        self._server = grpc.aio.server(
            options=peer_messages.OPTIONS,
            maximum_concurrent_rpcs=MOST_CONCURRENT,
        )
        unary = grpc.unary_unary_rpc_method_handler
        methods = {
            'Probe': unary(self._probe),
            'FetchManifest': unary(self._fetch_manifest),
            'FetchParts': grpc.unary_stream_rpc_method_handler(
                self._fetch_parts
            ),
            'Order': unary(self._order),
            'HandOver': unary(self._hand_over),
        }
        self._server.add_generic_rpc_handlers(
            (
                grpc.method_handlers_generic_handler(
                    peer_messages.SERVICE, methods
                ),
            )
        )
        bound = await self._bind(self._server)
        await self._server.start()
        return bound

    async def _bind(self, server: Any) -> int:
        """Bind the port; try again where any free one would do.

        Thousands of connections that have just ended can hold every port
        for a moment, and the system then finds none at the first attempt.
        """
        target = peer_messages.target_of(self._host, self._port)
        for _ in range(BIND_ATTEMPTS - 1):
            with contextlib.suppress(RuntimeError):
                bound: int = server.add_insecure_port(target)
                return bound
            if self._port:
                break
            await anyio.sleep(BIND_EVERY)
        bound = server.add_insecure_port(target)
        return bound

    async def stop(self, grace: float = 0.0) -> None:
        """Refuse new requests; give running ones ``grace`` seconds."""
        server, self._server = self._server, None
        if server is not None:
            await server.stop(grace)

    async def _probe(self, body: bytes, context: Any) -> bytes:
        ask = await self._check('Probe', body, context)
        reply = await self._handlers.probe(sender=ask.sender)
        return self._reply(ask, reply, context)

    async def _fetch_manifest(self, body: bytes, context: Any) -> bytes:
        ask = await self._check('FetchManifest', body, context)
        request = peer_messages.ManifestRequest.FromString(body)
        reply = await self._handlers.fetch_manifest(
            have=request.have, sender=ask.sender
        )
        return self._reply(ask, reply, context)

    async def _fetch_parts(
        self, body: bytes, context: Any
    ) -> AsyncIterator[bytes]:
        ask = await self._check('FetchParts', body, context)
        request = peer_messages.PartsRequest.FromString(body)
        parts = await self._handlers.fetch_parts(
            digests=tuple(request.digests), sender=ask.sender
        )
        bodies = [part.SerializeToString() for part in parts]
        for each in bodies:
            yield each
        self._seal(ask, peer_seals.digest_of(*bodies), context)

    async def _order(self, body: bytes, context: Any) -> bytes:
        ask = await self._check('Order', body, context, once=True)
        reply = await self._handlers.order(
            order=peer_messages.MapOrder.FromString(body), sender=ask.sender
        )
        return self._reply(ask, reply, context)

    async def _hand_over(self, body: bytes, context: Any) -> bytes:
        ask = await self._check('HandOver', body, context, once=True)
        reply = await self._handlers.hand_over(
            request=peer_messages.HandOverRequest.FromString(body),
            sender=ask.sender,
        )
        return self._reply(ask, reply, context)

    async def _check(
        self, method: str, body: bytes, context: Any, *, once: bool = False
    ) -> peer_seals.Ask:
        """Return the request's metadata, or end the request."""
        checked = self._checker.check(
            method=method,
            sealed=peer_messages.find_seal(context.invocation_metadata()),
            body=body,
            once=once,
        )
        if isinstance(checked, peer_seals.Refused):
            await self._refuse(checked, context)
            raise AssertionError('abort() returned')
        return checked

    async def _refuse(self, refused: peer_seals.Refused, context: Any) -> None:
        """End the request, sealed where it came from one of the fleet.

        An unsealed refusal could be forged by whoever let the request pass,
        and the sender would take an order as not given that was carried out.
        """
        refusal = refused.refusal
        self.refusals[refusal] = self.refusals.get(refusal, 0) + 1
        metadata: tuple[tuple[str, bytes], ...] = ()
        if refused.ask is not None:
            sealed = self._checker.seal(
                ask=refused.ask, digest=peer_seals.digest_of(refusal.encode())
            )
            metadata = ((peer_seals.METADATA_KEY, sealed),)
        await context.abort(
            grpc.StatusCode.UNAUTHENTICATED, str(refusal), metadata
        )

    def _reply(
        self,
        ask: peer_seals.Ask,
        reply: google.protobuf.message.Message,
        context: Any,
    ) -> bytes:
        body = reply.SerializeToString()
        self._seal(ask, peer_seals.digest_of(body), context)
        return body

    def _seal(self, ask: peer_seals.Ask, digest: bytes, context: Any) -> None:
        sealed = self._checker.seal(ask=ask, digest=digest)
        context.set_trailing_metadata(((peer_seals.METADATA_KEY, sealed),))
