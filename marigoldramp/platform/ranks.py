"""Reports and orders of ranks in the platform's form."""

from typing import Any

import anyio
import msgspec

from ..gateway import outbound
from ..gateway import ranks
from . import headers

REPORT = '/marigoldramp/report'
COUNTS = '/marigoldramp/picked'
EXPERTS = '/marigoldramp/picked?Lists=1'
ORDER = '/marigoldramp/order'
#: Seconds for one question, and for one order.  A rank answers within
#: milliseconds or not at all, and while one leaves an order unanswered the
#: group may be held.
QUESTION_SECONDS = 0.5
ORDER_SECONDS = 0.08
#: Exchanges at once.  With 72 ranks, all at once take longer on one processor
#: than a rank is given to answer.
MOST_AT_ONCE = 12
#: Maps that are sent at once.  A map of 192 ranks has 25 KB and takes longer
#: on the link of its rank than on ours, so more of them are on their way.
MOST_MAPS_AT_ONCE = 32
#: Bytes a second that the link of a rank takes at least.
RANK_LINK_RATE = 250_000.0
#: Connections that are kept for each rank.
MOST_IDLE = 1
_OPEN = 'open'
TOKEN_OLD = 412


class _Group(
    msgspec.Struct,
    kw_only=True,
    rename={'name': 'Name', 'state': 'State'},
):
    name: str
    epoch: int
    rank: int
    state: str


class _Armed(msgspec.Struct, kw_only=True, rename={'version': 'Version'}):
    version: int
    step: int


class _Report(
    msgspec.Struct,
    kw_only=True,
    rename={
        'version': 'ExpertMap',
        'prepared': 'Prepared',
        'armed': 'Armed',
    },
):
    """``ExpertMap`` holds a version here, and lists of experts elsewhere."""

    group: _Group
    size: int
    step: int = 0
    version: int = 0
    prepared: int | None = None
    armed: _Armed | None = None
    held: int | None = None
    pace: float = 1.0
    born: int = 0


class _Counts(msgspec.Struct, kw_only=True, rename={'counts': 'Counts'}):
    """Counts of all layers behind one another."""

    step: int
    epoch: int
    counts: list[int]
    born: int = 0


class _Experts(
    msgspec.Struct,
    kw_only=True,
    rename={'version': 'Version', 'experts': 'Experts'},
):
    version: int
    experts: list[tuple[int, ...]]


class _Lists(msgspec.Struct, kw_only=True, rename={'in_force': 'ExpertMap'}):
    in_force: _Experts


class Ranks(ranks.RankApi):
    """Reaches ranks by HTTP.

    :param link_rate: bytes a second of our own link.
    """

    __slots__ = ('_pool', '_limiter', '_map_limiter', '_link_rate', '_encoder')

    def __init__(self, *, link_rate: float) -> None:
        self._pool = outbound.Pool(max_idle=MOST_IDLE)
        self._limiter = anyio.CapacityLimiter(MOST_AT_ONCE)
        self._map_limiter = anyio.CapacityLimiter(MOST_MAPS_AT_ONCE)
        self._link_rate = link_rate
        self._encoder = OrderEncoder()

    async def report(
        self, *, address: outbound.Address, identity: str
    ) -> ranks.RankReport | ranks.NoReply:
        body = await self._get(address, identity, REPORT)
        if isinstance(body, ranks.NoReply):
            return body
        try:
            found = msgspec.json.decode(body, type=_Report)
        except msgspec.MsgspecError as error:
            return ranks.NoReply(detail=str(error))
        armed = found.armed
        return ranks.RankReport(
            group=found.group.name,
            epoch=found.group.epoch,
            rank=found.group.rank,
            size=found.size,
            group_open=found.group.state == _OPEN,
            step=found.step,
            version=found.version,
            prepared=found.prepared,
            armed=(
                None
                if armed is None
                else ranks.Armed(version=armed.version, step=armed.step)
            ),
            held=found.held,
            pace=found.pace,
            born=found.born,
        )

    async def counts(
        self, *, address: outbound.Address, identity: str
    ) -> ranks.RankCounts | ranks.NoReply:
        body = await self._get(address, identity, COUNTS)
        if isinstance(body, ranks.NoReply):
            return body
        try:
            found = msgspec.json.decode(body, type=_Counts)
        except msgspec.MsgspecError as error:
            return ranks.NoReply(detail=str(error))
        return ranks.RankCounts(
            epoch=found.epoch,
            step=found.step,
            counts=tuple(found.counts),
            born=found.born,
        )

    async def experts(
        self, *, address: outbound.Address, identity: str
    ) -> ranks.RankExperts | ranks.NoReply:
        body = await self._get(address, identity, EXPERTS)
        if isinstance(body, ranks.NoReply):
            return body
        try:
            found = msgspec.json.decode(body, type=_Lists).in_force
        except msgspec.MsgspecError as error:
            return ranks.NoReply(detail=str(error))
        return ranks.RankExperts(
            version=found.version, layers=tuple(found.experts)
        )

    async def order(
        self, *, address: outbound.Address, identity: str, order: ranks.Order
    ) -> ranks.OrderReply:
        limiter = self._limiter
        if isinstance(order.body, ranks.Prepare):
            limiter = self._map_limiter
        async with limiter:
            body = self._encoder.encode(order)
            reply = await outbound.send_request(
                pool=self._pool,
                address=address,
                identity=identity,
                method=b'POST',
                target=ORDER.encode(),
                headers=[
                    (b'content-type', b'application/json'),
                    (headers.ENDPOINT, identity.encode()),
                ],
                body=body,
                seconds=find_order_seconds(
                    size=len(body), link_rate=self._link_rate
                ),
            )
        if isinstance(reply, outbound.NoReply):
            return ranks.NoReply(detail=reply.detail)
        if reply.status in (200, 202):
            return ranks.Accepted()
        if reply.status == TOKEN_OLD:
            return ranks.TokenOld()
        return ranks.Refused(status=reply.status)

    async def _get(
        self, address: outbound.Address, identity: str, path: str
    ) -> bytes | ranks.NoReply:
        async with self._limiter:
            reply = await outbound.send_request(
                pool=self._pool,
                address=address,
                identity=identity,
                method=b'GET',
                target=path.encode(),
                headers=[(headers.ENDPOINT, identity.encode())],
                body=b'',
                seconds=QUESTION_SECONDS,
            )
        if isinstance(reply, outbound.NoReply):
            return ranks.NoReply(detail=reply.detail)
        if reply.status != 200:
            return ranks.NoReply(detail=f'status {reply.status}')
        return reply.body


class OrderEncoder:
    """Encodes orders; a map once for all ranks that it is sent to."""

    __slots__ = ('_layers', '_encoded')

    def __init__(self) -> None:
        self._layers: ranks.Layers = ()
        self._encoded = msgspec.Raw(b'[]')

    def encode(self, order: ranks.Order) -> bytes:
        """Return the body of an order."""
        fields: dict[str, Any] = {
            'FencingToken': order.token,
            'epoch': order.epoch,
        }
        match order.body:
            case ranks.Prepare(version=version, layers=layers):
                fields |= {
                    'Operation': 'prepare',
                    'Version': version,
                    'ExpertMap': self._encode_map(layers),
                }
            case ranks.Arm(version=version, step=step):
                fields |= {
                    'Operation': 'arm',
                    'Version': version,
                    'step': step,
                }
            case ranks.Disarm(version=version):
                fields |= {'Operation': 'disarm', 'Version': version}
            case ranks.Hold(step=step):
                fields |= {'Operation': 'Hold', 'step': step}
            case ranks.Release(step=step):
                fields |= {'Operation': 'go', 'step': step}
        return msgspec.json.encode(fields)

    def _encode_map(self, layers: ranks.Layers) -> msgspec.Raw:
        if layers is not self._layers:
            self._layers = layers
            self._encoded = msgspec.Raw(msgspec.json.encode(layers))
        return self._encoded


def find_order_seconds(*, size: int, link_rate: float) -> float:
    """Return the seconds for which the reply to an order is waited for.

    A map is large: 25 KB for 192 ranks.  All that are sent at once share our
    link, and each one passes the link of its rank.  Given up after the time
    of a small order, every copy of it was sent again ten times, no rank ever
    answered in time, and the group kept its first map.

    :param size: bytes of the order.
    """
    on_its_way = size * MOST_MAPS_AT_ONCE / link_rate
    return ORDER_SECONDS + on_its_way + size / RANK_LINK_RATE
