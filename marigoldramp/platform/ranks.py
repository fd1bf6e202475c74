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
    """Reaches ranks by HTTP."""

    __slots__ = ('_pool', '_limiter')

    def __init__(self) -> None:
        self._pool = outbound.Pool(most_idle=MOST_IDLE)
        self._limiter = anyio.CapacityLimiter(MOST_AT_ONCE)

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
            whole=found.group.state == _OPEN,
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
        async with self._limiter:
            reply = await outbound.exchange(
                pool=self._pool,
                address=address,
                identity=identity,
                method=b'POST',
                target=ORDER.encode(),
                headers=[
                    (b'content-type', b'application/json'),
                    (headers.ENDPOINT, identity.encode()),
                ],
                body=msgspec.json.encode(_encode(order)),
                seconds=ORDER_SECONDS,
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
            reply = await outbound.exchange(
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


def _encode(order: ranks.Order) -> dict[str, Any]:
    """Return the fields of an order's body."""
    fields: dict[str, Any] = {
        'FencingToken': order.token,
        'epoch': order.epoch,
    }
    match order.body:
        case ranks.Prepare(version=version, layers=layers):
            fields |= {
                'Operation': 'prepare',
                'Version': version,
                'ExpertMap': layers,
            }
        case ranks.Arm(version=version, step=step):
            fields |= {'Operation': 'arm', 'Version': version, 'step': step}
        case ranks.Disarm(version=version):
            fields |= {'Operation': 'disarm', 'Version': version}
        case ranks.Hold(step=step):
            fields |= {'Operation': 'Hold', 'step': step}
        case ranks.Release(step=step):
            fields |= {'Operation': 'go', 'step': step}
    return fields
