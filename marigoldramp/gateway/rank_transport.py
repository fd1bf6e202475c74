"""Sends the orders of a group's leader directly to the ranks.

No agent runs beside a rank here.  A rank may leave an order unanswered and
carry it out seconds later.  Fencing tokens make such a late order harmless:
each order has a higher token than all before it, and a rank refuses a token
lower than that of an order that it has *carried out*.  An order without a
reply is therefore sent again with a new token until one is carried out, after
which all earlier copies are refused.

Reports of ranks lag.  State is taken only from a report that was requested
long enough after the last order, as a leader that decides on an older one
could undo on some ranks what others have begun to use.
"""

import itertools
from typing import Awaitable
from typing import Callable

from absl import logging
import anyio
import msgspec

from .. import expert_maps
from .. import logs
from .. import map_orders
from . import ranks
from .balancing import endpoints
from .balancing import quality

#: Tokens reserved for each fencing number; each order takes one.
TOKENS_PER_FENCE = 1 << 24
#: Map versions reserved for each fencing number.
MAPS_PER_FENCE = 10_000
#: Copies of an order that are sent before it is reported as lost.
MAX_ATTEMPTS = 10
#: Interval between two copies of an order.
RETRY_INTERVAL_SECONDS = 0.02
#: Time after an order from which on reports show its effect; the documented
#: lag of reports is 0.2 s.
REPORT_LAG_SECONDS = 0.35

Refusal = map_orders.Refusal
Reply = map_orders.Reply
RankState = map_orders.RankState
Sleep = Callable[[float], Awaitable[None]]


def encode_version(version: expert_maps.Version) -> int:
    """Return the number that identifies a map version to ranks."""
    return version.fence * MAPS_PER_FENCE + version.number


def decode_version(number: int) -> expert_maps.Version:
    """Return the map version that a number identifies."""
    return expert_maps.Version(
        fence=number // MAPS_PER_FENCE, number=number % MAPS_PER_FENCE
    )


class _RankView:
    """What the leader knows of one rank.

    :ivar report: the last report.
    :ivar last_order_at: when the last order was sent or answered.
    :ivar discarded: the newest prepared map that was undone.
    :ivar armed: the map that an order of this leader may have armed.
    :ivar endpoint: the endpoint of the rank when it was last listed.
    :ivar released_step: the latest held step that was released.
    """

    __slots__ = (
        'report',
        'last_order_at',
        'discarded',
        'armed',
        'endpoint',
        'released_step',
    )

    def __init__(self) -> None:
        self.endpoint: endpoints.Endpoint | None = None
        self.report: ranks.RankReport | None = None
        self.last_order_at = float('-inf')
        self.discarded = 0
        self.armed: int | None = None
        self.released_step = 0


class RankTransport:
    """Sends orders to ranks, see :class:`.map_client.Transport`.

    :param find_endpoint: returns the endpoint with a name.
    :param fenced: whether ranks check tokens.
    """

    __slots__ = (
        '_api',
        '_group',
        '_shape',
        '_find_endpoint',
        '_fenced',
        '_clock',
        '_sleep',
        '_views',
        '_token_numbers',
        '_known_maps',
    )

    def __init__(
        self,
        *,
        api: ranks.RankApi,
        group: str,
        shape: expert_maps.Shape,
        find_endpoint: Callable[[str], endpoints.Endpoint | None],
        clock: Callable[[], float],
        fenced: bool = True,
        sleep: Sleep = anyio.sleep,
    ) -> None:
        self._api = api
        self._group = group
        self._shape = shape
        self._find_endpoint = find_endpoint
        self._fenced = fenced
        self._clock = clock
        self._sleep = sleep
        self._views: dict[str, _RankView] = {}
        self._token_numbers = itertools.count(1)
        self._known_maps: dict[expert_maps.Version, expert_maps.ExpertMap] = {}

    async def order(
        self, *, rank_agent: str, order: map_orders.Order
    ) -> Reply | map_orders.Lost:
        """Send an order and return the reply of the rank."""
        view = self._views.setdefault(rank_agent, _RankView())
        match order.body:
            case map_orders.Fetch(version=version):
                return await self._fetch_map(order, version)
            case map_orders.Confirm(settled=settled):
                return await self._inspect(rank_agent, view, order, settled)
            case map_orders.Inspect() if not self._fenced:
                return await self._inspect(rank_agent, view, order)
        if view.report is None or not order.incarnation:
            reply = await self._inspect(rank_agent, view, order)
            if isinstance(reply, map_orders.Lost) or not reply.accepted:
                return reply
        if _has_no_effect(view, order.body):
            return _make_reply(order, view, order.fence)
        if _may_be_released_late(view, order.body):
            return _make_refusal(order, Refusal.STEP_ENTERED)
        return await self._deliver(rank_agent, view, order)

    def slow_ranks(self) -> dict[int, float]:
        """Return the slowdown factor of each slow rank, as last reported."""
        reports = [view.report for view in self._views.values()]
        return {
            report.rank: report.pace
            for report in reports
            if report is not None and report.pace >= quality.MIN_SLOW_PACE
        }

    def _locate(self, name: str, view: _RankView) -> endpoints.Endpoint | None:
        """Return the endpoint of a rank, or the one that was last listed.

        The registration of a running rank may expire for a second or two.
        Without its endpoint in the middle of a change, the group would be
        held for all that time.
        """
        listed = self._find_endpoint(name)
        if listed is not None:
            view.endpoint = listed
        return view.endpoint

    async def _inspect(
        self,
        name: str,
        view: _RankView,
        order: map_orders.Order,
        settled: bool = True,
    ) -> Reply | map_orders.Lost:
        """Request a report and return the state of the rank.

        :param settled: whether the report has to show the effect of the last
            order.
        """
        wait = view.last_order_at + REPORT_LAG_SECONDS - self._clock()
        if settled and wait > 0.0:
            await self._sleep(wait)
        endpoint = self._locate(name, view)
        if endpoint is None:
            return map_orders.Lost(detail='the endpoint is not known')
        report = await self._api.report(
            address=endpoint.address, identity=name
        )
        if isinstance(report, ranks.NoReply):
            return map_orders.Lost(detail=report.detail)
        if report.group != self._group:
            return _make_refusal(order, Refusal.OTHER_GROUP)
        if not report.group_open:
            return _make_refusal(order, Refusal.ENGINE_FAILED)
        last = view.report
        if last is not None and (
            (last.epoch, last.born) != (report.epoch, report.born)
        ):
            # The rank has restarted or its group formed again, so what was
            # armed, discarded and released before no longer applies.
            view.armed = None
            view.discarded = 0
            view.released_step = 0
        view.report = report
        endpoint.quality.note_pace(pace=report.pace, now=self._clock())
        if report.version == view.armed:
            view.armed = None
        if order.incarnation and order.incarnation != report.epoch:
            return _make_refusal(order, Refusal.INCARNATION)
        return _make_reply(order, view, self._find_highest_fence(view, order))

    def _find_highest_fence(
        self, view: _RankView, order: map_orders.Order
    ) -> int:
        """Return the highest fencing number that a rank has obeyed.

        Ranks that check no tokens show by their map versions that they have
        obeyed a newer leader.  An older leader that continued would have its
        maps refused forever.
        """
        state = _build_state(view)
        if self._fenced or state.schedule is None:
            return order.fence
        versions = (*state.loaded, *state.schedule.versions())
        return max(order.fence, max(versions).fence)

    async def _deliver(
        self, name: str, view: _RankView, order: map_orders.Order
    ) -> Reply | map_orders.Lost:
        assert view.report is not None
        body = self._translate(view, order)
        result = await self._send(name, view, order, body)
        match result:
            case ranks.NoReply(detail=detail):
                return map_orders.Lost(detail=detail)
            case ranks.TokenOld():
                return _make_refusal(order, Refusal.FENCE_OLD)
            case ranks.Refused():
                return _make_refusal(order, _infer_refusal(order.body))
        self._record_effect(view, order.body)
        return _make_reply(order, view, order.fence)

    async def _send(
        self,
        name: str,
        view: _RankView,
        order: map_orders.Order,
        body: ranks.OrderBody,
    ) -> ranks.OrderReply:
        """Send an order until it is answered, each time with a new token."""
        assert view.report is not None
        result: ranks.OrderReply = ranks.NoReply(detail='not sent')
        for number in range(MAX_ATTEMPTS):
            if number:
                await self._sleep(RETRY_INTERVAL_SECONDS)
            endpoint = self._locate(name, view)
            if endpoint is None:
                return ranks.NoReply(detail='the endpoint is not known')
            token = order.fence * TOKENS_PER_FENCE + next(self._token_numbers)
            view.last_order_at = self._clock()
            result = await self._api.order(
                address=endpoint.address,
                identity=name,
                order=ranks.Order(
                    token=token, epoch=view.report.epoch, body=body
                ),
            )
            view.last_order_at = self._clock()
            if not isinstance(result, ranks.Accepted):
                logging.info(
                    'order not obeyed',
                    extra=logs.fields(
                        endpoint=name,
                        rank=view.report.rank,
                        order=type(body).__name__,
                        result=type(result).__name__,
                        token=token,
                        epoch=view.report.epoch,
                        number=number,
                    ),
                )
            if not isinstance(result, ranks.NoReply):
                return result
        return result

    def _translate(
        self, view: _RankView, order: map_orders.Order
    ) -> ranks.OrderBody:
        """Return the order in the form that ranks take."""
        assert view.report is not None
        match order.body:
            case map_orders.Prepare(expert_map=new):
                self._known_maps[new.version] = new
                return ranks.Prepare(
                    version=encode_version(new.version), layers=new.layers
                )
            case map_orders.Hold(before_step=step):
                return ranks.Hold(step=step)
            case map_orders.Arm(version=version, from_step=step):
                view.armed = encode_version(version)
                return ranks.Arm(version=view.armed, step=step)
            case map_orders.Release():
                step = view.report.held or 0
                view.released_step = max(view.released_step, step)
                return ranks.Release(step=step)
            case map_orders.Undo(version=version) if version is not None:
                return ranks.Disarm(version=encode_version(version))
            case map_orders.Undo() if view.armed is not None:
                return ranks.Disarm(version=view.armed)
            case map_orders.Undo() if view.report.armed is not None:
                return ranks.Disarm(version=view.report.armed.version)
        # Has no effect except that the rank remembers the token.
        return ranks.Disarm(version=order.fence * MAPS_PER_FENCE)

    def _record_effect(self, view: _RankView, body: map_orders.Body) -> None:
        """Record the effect of an order that was carried out."""
        assert view.report is not None
        match body:
            case map_orders.Hold(before_step=step):
                view.report = msgspec.structs.replace(view.report, held=step)
            case map_orders.Undo():
                view.armed = None
                if view.report.prepared is not None:
                    view.discarded = max(view.discarded, view.report.prepared)

    async def _fetch_map(
        self, order: map_orders.Order, version: expert_maps.Version
    ) -> Reply | map_orders.Lost:
        """Return a map, from memory or assembled from all ranks."""
        known = self._known_maps.get(version)
        if known is None and version.fence == 0:
            known = initial_map(shape=self._shape)
        if known is None:
            known = await self._gather_map(version)
        if known is None:
            return map_orders.Lost(
                detail='the ranks did not return the whole map'
            )
        self._known_maps = {version: known}
        return Reply(
            refusal=Refusal.NONE,
            fence=order.fence,
            incarnation=order.incarnation,
            expert_map=known,
        )

    async def _gather_map(
        self, version: expert_maps.Version
    ) -> expert_maps.ExpertMap | None:
        """Return a map, assembled from the experts that each rank holds.

        All ranks are read at once: 72 ranks one after the other take 0.2 s,
        in which a group that has lost its leader keeps an uneven map.
        """
        held: dict[int, tuple[tuple[int, ...], ...]] = {}

        async def fetch(name: str, rank: int) -> None:
            endpoint = self._find_endpoint(name)
            if endpoint is None:
                return
            found = await self._api.experts(
                address=endpoint.address, identity=name
            )
            if isinstance(found, ranks.NoReply):
                return
            if decode_version(found.version) == version:
                held[rank] = found.layers

        async with anyio.create_task_group() as tasks:
            for name, view in self._views.items():
                if view.report is not None:
                    tasks.start_soon(fetch, name, view.report.rank)
        if sorted(held) != list(range(self._shape.ranks)):
            return None
        layers = tuple(
            tuple(
                tuple(held[rank][layer]) for rank in range(self._shape.ranks)
            )
            for layer in range(self._shape.layers)
        )
        return expert_maps.ExpertMap(version=version, layers=layers)


def initial_map(*, shape: expert_maps.Shape) -> expert_maps.ExpertMap:
    """Return the map of a newly formed group: experts assigned in turn."""
    layer = tuple(
        tuple(range(rank, shape.experts, shape.ranks))
        for rank in range(shape.ranks)
    )
    return expert_maps.ExpertMap(
        version=decode_version(0), layers=(layer,) * shape.layers
    )


def _build_state(view: _RankView) -> RankState:
    report = view.report
    assert report is not None
    in_force = decode_version(report.version)
    following = None
    from_step = 0
    if report.armed is not None:
        following = decode_version(report.armed.version)
        from_step = report.armed.step
    loaded = [in_force]
    if report.prepared is not None and report.prepared > view.discarded:
        loaded.append(decode_version(report.prepared))
    return RankState(
        rank=report.rank,
        entered=report.step,
        schedule=expert_maps.Schedule(
            in_force=in_force, following=following, from_step=from_step
        ),
        loaded=tuple(loaded),
        hold_before=report.held,
    )


def _has_no_effect(view: _RankView, body: map_orders.Body) -> bool:
    """Return whether an order undoes a map that a rank has not armed.

    Leaders of ranks that check tokens name no map to undo, so that the order
    is sent and the rank gets its token.
    """
    assert view.report is not None
    match body:
        case map_orders.Undo(version=version) if version is not None:
            number = encode_version(version)
            armed = view.report.armed
            return view.armed != number and (
                armed is None or armed.version != number
            )
    return False


def _may_be_released_late(view: _RankView, body: map_orders.Body) -> bool:
    """Return whether a late copy of a release could end a hold.

    An idle group does not begin the step that was held last.  If that step
    is held again, a late release could let it begin while only some ranks
    have armed a map.
    """
    match body:
        case map_orders.Hold(before_step=step):
            return step <= view.released_step
    return False


def _make_reply(order: map_orders.Order, view: _RankView, fence: int) -> Reply:
    assert view.report is not None
    return Reply(
        refusal=Refusal.NONE,
        fence=fence,
        incarnation=view.report.epoch,
        states=(_build_state(view),),
    )


def _make_refusal(order: map_orders.Order, refusal: Refusal) -> Reply:
    return Reply(
        refusal=refusal, fence=order.fence, incarnation=order.incarnation
    )


def _infer_refusal(body: map_orders.Body) -> Refusal:
    """Return the likely reason for which a rank refused an order."""
    match body:
        case map_orders.Hold() | map_orders.Arm():
            return Refusal.STEP_ENTERED
        case map_orders.Prepare():
            return Refusal.CHANGE_ARMED
    return Refusal.NOT_LOADED
