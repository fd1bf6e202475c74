"""Client of the engine of one rank, over HTTP.

Each order is a ``POST`` of a JSON object to ``/ranks/RANK/VERB``; the response
is the rank's state, or a reason with status 409.  ``GET /ranks/RANK`` returns
the state alone.
"""

from typing import TypeVar

import httpcore
import msgspec

from . import connections
from . import expert_maps
from . import map_orders
from . import map_ranks
from . import popularity

CONNECT_SECONDS = 1.0
ACCEPTED = 200

T = TypeVar('T')


class PrepareBody(msgspec.Struct, frozen=True, kw_only=True):
    """Body of ``prepare``."""

    fence: int
    expert_map: expert_maps.ExpertMap


class HoldBody(msgspec.Struct, frozen=True, kw_only=True):
    """Body of ``hold``."""

    fence: int
    before_step: int


class ArmBody(msgspec.Struct, frozen=True, kw_only=True):
    """Body of ``arm``."""

    fence: int
    version: expert_maps.Version
    from_step: int


class FenceBody(msgspec.Struct, frozen=True, kw_only=True):
    """Body of ``release`` and ``undo``."""

    fence: int


class AdoptBody(msgspec.Struct, frozen=True, kw_only=True):
    """Body of ``adopt``."""

    fence: int
    schedule: expert_maps.Schedule


class RefusedBody(msgspec.Struct, frozen=True, kw_only=True):
    """Response of an engine that refused an order."""

    reason: map_orders.Refusal


class HttpRankEngine(map_ranks.RankEngine):
    """The engine of one rank.

    There is no timeout for the response to an order.  With one, the order
    could take effect later, after a newer leader was answered with a state
    that it changes.  A frozen engine therefore blocks its agent's orders; one
    that has died closes the connection and forgets all orders.
    """

    def __init__(self, *, host: str, port: int, rank: int) -> None:
        self._host = host
        self._port = port
        self._path = f'/ranks/{rank}'

    async def state(self) -> map_ranks.EngineAnswer:
        """Return the state of the rank."""
        return await self._ask('GET', self._path, b'')

    async def fetch_map(
        self, *, version: expert_maps.Version
    ) -> expert_maps.ExpertMap | None:
        """Return a map that the rank uses or has loaded."""
        path = f'{self._path}/maps/{version.fence}.{version.number}'
        reply = await self._exchange('GET', path, b'')
        return _decode(reply, expert_maps.ExpertMap)

    async def fetch_report(self) -> popularity.Report | None:
        """Return the counts since the last call."""
        path = f'{self._path}/report'
        reply = await self._exchange('GET', path, b'')
        return _decode(reply, popularity.Report)

    async def prepare(
        self, *, fence: int, expert_map: expert_maps.ExpertMap
    ) -> map_ranks.EngineAnswer:
        """Start loading the weights that a map needs."""
        body = PrepareBody(fence=fence, expert_map=expert_map)
        return await self._order('prepare', body)

    async def hold(
        self, *, fence: int, before_step: int
    ) -> map_ranks.EngineAnswer:
        """Do not enter a step."""
        body = HoldBody(fence=fence, before_step=before_step)
        return await self._order('hold', body)

    async def arm(
        self, *, fence: int, version: expert_maps.Version, from_step: int
    ) -> map_ranks.EngineAnswer:
        """Use a loaded map from a step on."""
        body = ArmBody(fence=fence, version=version, from_step=from_step)
        return await self._order('arm', body)

    async def release(self, *, fence: int) -> map_ranks.EngineAnswer:
        """Let the rank go on."""
        return await self._order('release', FenceBody(fence=fence))

    async def undo(self, *, fence: int) -> map_ranks.EngineAnswer:
        """Disarm a map; drop weights that the one in force does not need."""
        return await self._order('undo', FenceBody(fence=fence))

    async def adopt(
        self, *, fence: int, schedule: expert_maps.Schedule
    ) -> map_ranks.EngineAnswer:
        """Adopt a schedule."""
        body = AdoptBody(fence=fence, schedule=schedule)
        return await self._order('adopt', body)

    async def _order(
        self, verb: str, body: msgspec.Struct
    ) -> map_ranks.EngineAnswer:
        path = f'{self._path}/{verb}'
        return await self._ask('POST', path, msgspec.json.encode(body))

    async def _ask(
        self, method: str, path: str, body: bytes
    ) -> map_ranks.EngineAnswer:
        reply = await self._exchange(method, path, body)
        state = _decode(reply, map_orders.RankState)
        if state is not None:
            return state
        refused = _decode(reply, RefusedBody, accepted=False)
        reason = map_orders.Refusal.ENGINE_FAILED
        if refused is not None:
            reason = refused.reason
        return map_ranks.EngineRefusal(reason=reason)

    async def _exchange(
        self, method: str, path: str, body: bytes
    ) -> '_Reply | None':
        """Return the engine's response, ``None`` if the connection broke."""
        opened = await connections.connect(
            host=self._host, port=self._port, seconds=CONNECT_SECONDS
        )
        if isinstance(opened, connections.Unreached):
            return None
        try:
            response = await opened.handle_async_request(
                connections.build(
                    host=self._host,
                    port=self._port,
                    method=method,
                    target=path.encode(),
                    headers=[(b'content-type', b'application/json')],
                    body=body,
                )
            )
            content = await response.aread()
        except (httpcore.NetworkError, httpcore.ProtocolError):
            return None
        finally:
            await opened.aclose()
        return _Reply(accepted=response.status == ACCEPTED, body=content)


class _Reply(msgspec.Struct, frozen=True, kw_only=True):
    accepted: bool
    body: bytes


def _decode(
    reply: _Reply | None, shape: type[T], *, accepted: bool = True
) -> T | None:
    if reply is None or reply.accepted != accepted:
        return None
    try:
        return msgspec.json.decode(reply.body, type=shape)
    except msgspec.MsgspecError:
        return None
