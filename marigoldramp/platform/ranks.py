"""HTTP client of model-serving ranks: reads reports and sends orders."""

from typing import Any

import anyio
import msgspec

from ..gateway import outbound
from ..gateway import ranks
from . import headers

REPORT_PATH = '/marigoldramp/report'
COUNTS_PATH = '/marigoldramp/picked'
EXPERTS_PATH = '/marigoldramp/picked?Lists=1'
ORDER_PATH = '/marigoldramp/order'
#: A rank responds within milliseconds or not at all.
MAX_READ_SECONDS = 0.5
#: Timeout of an order without the time of its transfer.  Short, as the group
#: may be held while a rank does not respond to an order.
MAX_SMALL_ORDER_SECONDS = 0.08
#: On one core, 72 ranks cannot all be called at once within the timeout.
MAX_CONCURRENT_REQUESTS = 12
#: Higher than the limit of other requests: a map for 192 ranks has 25 KB and
#: takes longer on the rank's link than on this instance's link.
MAX_CONCURRENT_MAPS = 32
MIN_RANK_LINK_BYTES_PER_SECOND = 250_000.0
#: Connections kept open to each rank.
MAX_IDLE_CONNECTIONS = 1
_OPEN_STATE = 'open'
TOKEN_OLD_STATUS = 412


class _GroupState(
    msgspec.Struct,
    kw_only=True,
    rename={'name': 'Name', 'state': 'State'},
):
    name: str
    epoch: int
    rank: int
    state: str


class _Armed(msgspec.Struct, kw_only=True, rename={'version': 'Version'}):
    """A prepared map that takes effect when ``step`` begins."""

    version: int
    step: int


class _ReportResponse(
    msgspec.Struct,
    kw_only=True,
    rename={
        'version': 'ExpertMap',
        'prepared': 'Prepared',
        'armed': 'Armed',
    },
):
    """State of a rank.

    :ivar version: version of the map in force; ``ExpertMap`` holds a version
        here, and lists of experts in other messages.
    :ivar prepared: version of the map whose experts are all copied, if any.
    :ivar held: the step that does not begin before a release, if any.
    :ivar pace: slowdown of the rank, as a multiple of its usual time.
    """

    group: _GroupState
    size: int
    step: int = 0
    version: int = 0
    prepared: int | None = None
    armed: _Armed | None = None
    held: int | None = None
    pace: float = 1.0
    born: int = 0


class _CountsResponse(
    msgspec.Struct, kw_only=True, rename={'counts': 'Counts'}
):
    """How often each expert was picked, with the layers concatenated."""

    step: int
    epoch: int
    counts: list[int]
    born: int = 0


class _Experts(
    msgspec.Struct,
    kw_only=True,
    rename={'version': 'Version', 'experts': 'Experts'},
):
    """Experts of one rank, by layer."""

    version: int
    experts: list[tuple[int, ...]]


class _ExpertsResponse(
    msgspec.Struct, kw_only=True, rename={'in_force': 'ExpertMap'}
):
    in_force: _Experts


class HttpRankApi(ranks.RankApi):
    """Sends requests to ranks over HTTP.

    A rank may answer a request twice, and the second answer may come when the
    next one is due.  An order that changes the map in force is therefore sent
    on a connection of its own.  The next report is requested on a new one, as
    a second answer to an earlier report would show the state before the order.

    :param link_rate: bytes per second of this instance's link.
    """

    __slots__ = (
        '_pool',
        '_report_pool',
        '_limiter',
        '_map_limiter',
        '_link_rate',
        '_encoder',
    )

    def __init__(self, *, link_rate: float) -> None:
        self._pool = outbound.Pool(max_idle=MAX_IDLE_CONNECTIONS)
        self._report_pool = outbound.Pool(max_idle=MAX_IDLE_CONNECTIONS)
        self._limiter = anyio.CapacityLimiter(MAX_CONCURRENT_REQUESTS)
        self._map_limiter = anyio.CapacityLimiter(MAX_CONCURRENT_MAPS)
        self._link_rate = link_rate
        self._encoder = OrderEncoder()

    async def report(
        self, *, address: outbound.Address, identity: str
    ) -> ranks.RankReport | ranks.NoReply:
        body = await self._get(
            address, identity, REPORT_PATH, pool=self._report_pool
        )
        if isinstance(body, ranks.NoReply):
            return body
        try:
            found = msgspec.json.decode(body, type=_ReportResponse)
        except msgspec.MsgspecError as error:
            return ranks.NoReply(detail=str(error))
        armed = found.armed
        return ranks.RankReport(
            group=found.group.name,
            epoch=found.group.epoch,
            rank=found.group.rank,
            size=found.size,
            group_open=found.group.state == _OPEN_STATE,
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
        body = await self._get(address, identity, COUNTS_PATH, pool=self._pool)
        if isinstance(body, ranks.NoReply):
            return body
        try:
            found = msgspec.json.decode(body, type=_CountsResponse)
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
        body = await self._get(
            address, identity, EXPERTS_PATH, pool=self._pool
        )
        if isinstance(body, ranks.NoReply):
            return body
        try:
            found = msgspec.json.decode(body, type=_ExpertsResponse).in_force
        except msgspec.MsgspecError as error:
            return ranks.NoReply(detail=str(error))
        return ranks.RankExperts(
            version=found.version, layers=tuple(found.experts)
        )

    async def order(
        self, *, address: outbound.Address, identity: str, order: ranks.Order
    ) -> ranks.OrderReply:
        limiter = self._limiter
        is_prepare = isinstance(order.body, ranks.Prepare)
        if is_prepare:
            limiter = self._map_limiter
        self._report_pool.drop(identity=identity)
        async with limiter:
            body = self._encoder.encode(order)
            reply = await outbound.send_request(
                pool=self._pool,
                address=address,
                identity=identity,
                method=b'POST',
                target=ORDER_PATH.encode(),
                headers=[
                    (b'content-type', b'application/json'),
                    (headers.EXPECTED_ENDPOINT, identity.encode()),
                ],
                body=body,
                seconds=compute_order_timeout(
                    size=len(body), link_rate=self._link_rate
                ),
                # A rank that has not prepared a map refuses to arm it.
                shares_connection=is_prepare,
            )
        if isinstance(reply, outbound.NoReply):
            return ranks.NoReply(detail=reply.detail)
        if reply.status in (200, 202):
            return ranks.Accepted()
        if reply.status == TOKEN_OLD_STATUS:
            return ranks.TokenOld()
        return ranks.Refused(status=reply.status)

    async def _get(
        self,
        address: outbound.Address,
        identity: str,
        path: str,
        *,
        pool: outbound.Pool,
    ) -> bytes | ranks.NoReply:
        async with self._limiter:
            reply = await outbound.send_request(
                pool=pool,
                address=address,
                identity=identity,
                method=b'GET',
                target=path.encode(),
                headers=[(headers.EXPECTED_ENDPOINT, identity.encode())],
                body=b'',
                seconds=MAX_READ_SECONDS,
            )
        if isinstance(reply, outbound.NoReply):
            return ranks.NoReply(detail=reply.detail)
        if reply.status != 200:
            return ranks.NoReply(detail=f'status {reply.status}')
        return reply.body


class OrderEncoder:
    """Encodes orders; a map that is sent to many ranks is encoded once."""

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


def compute_order_timeout(*, size: int, link_rate: float) -> float:
    """Return the timeout of an order in seconds.

    A map is large: 25 KB for 192 ranks.  Maps sent at once share this
    instance's link, and each also passes its rank's link.  With the timeout
    of a small order, each map is sent again ten times, no rank responds in
    time, and the group keeps its first map.

    :param size: bytes of the order.
    """
    local_link_seconds = size * MAX_CONCURRENT_MAPS / link_rate
    return (
        MAX_SMALL_ORDER_SECONDS
        + local_link_seconds
        + size / MIN_RANK_LINK_BYTES_PER_SECOND
    )
