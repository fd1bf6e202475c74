"""Carries the orders of a group's leader to ranks that take them directly.

Here no agent stands beside a rank.  A rank may leave an order unanswered and
carry it out seconds later.  What makes such an order harmless is the token:
each order has a higher one than all before it, and a rank refuses a lower
token than it has seen in an order that it *obeyed*.  An order without a reply
is therefore sent again, under a new token, until one is obeyed; every earlier
copy is dead from then on.

Reports of ranks lag.  A state is taken only from a report that was asked for
long enough after the last order, as a leader that decides on an older one
could undo on some ranks what others have begun to use.
"""

import dataclasses
import itertools
from typing import Awaitable
from typing import Callable

from absl import logging
import anyio

from .. import expert_maps
from .. import logs
from .. import map_orders
from . import endpoints
from . import quality
from . import ranks

#: Tokens of one fence; each order takes one.
TOKENS_A_FENCE = 1 << 24
#: Maps that one leader can name under one fence.
MAPS_A_FENCE = 10_000
#: Copies of an order that are sent before its reply counts as lost.
TRIES = 10
#: Seconds between two copies of an order.
RETRY_SECONDS = 0.02
#: Seconds after an order from which on a report shows its effect; ranks
#: state the lag of their reports as 0.2 s.
REPORT_LAG = 0.35

Refusal = map_orders.Refusal
Reply = map_orders.Reply
RankState = map_orders.RankState
Sleep = Callable[[float], Awaitable[None]]


def number_version(version: expert_maps.Version) -> int:
    """Return the number by which ranks know a map."""
    return version.fence * MAPS_A_FENCE + version.number


def read_version(number: int) -> expert_maps.Version:
    """Return the version that a number stands for."""
    return expert_maps.Version(
        fence=number // MAPS_A_FENCE, number=number % MAPS_A_FENCE
    )


class _Link:
    """What is known of one rank.

    :ivar acted_at: when the last order went out.
    :ivar dropped: the last prepared map that was given up.
    :ivar armed: the map that our orders may have armed.
    :ivar endpoint: where the rank was when it was last listed.
    :ivar released: the last step whose hold was ended by us.
    """

    __slots__ = (
        'report',
        'acted_at',
        'dropped',
        'armed',
        'endpoint',
        'released',
    )

    def __init__(self) -> None:
        self.endpoint: endpoints.Endpoint | None = None
        self.report: ranks.RankReport | None = None
        self.acted_at = float('-inf')
        self.dropped = 0
        self.armed: int | None = None
        self.released = 0


class RankTransport:
    """A transport of orders, see :class:`.map_client.Transport`.

    :param find: returns the endpoint of a name.
    :param fenced: ranks refuse a lower token than they have seen.
    """

    __slots__ = (
        '_api',
        '_group',
        '_shape',
        '_find',
        '_fenced',
        '_clock',
        '_sleep',
        '_links',
        '_tokens',
        '_maps',
    )

    def __init__(
        self,
        *,
        api: ranks.RankApi,
        group: str,
        shape: expert_maps.Shape,
        find: Callable[[str], endpoints.Endpoint | None],
        clock: Callable[[], float],
        fenced: bool = True,
        sleep: Sleep = anyio.sleep,
    ) -> None:
        self._api = api
        self._group = group
        self._shape = shape
        self._find = find
        self._fenced = fenced
        self._clock = clock
        self._sleep = sleep
        self._links: dict[str, _Link] = {}
        self._tokens = itertools.count(1)
        self._maps: dict[expert_maps.Version, expert_maps.ExpertMap] = {}

    async def order(
        self, *, rank_agent: str, order: map_orders.Order
    ) -> Reply | map_orders.Lost:
        """Deliver an order and return what the rank made of it."""
        link = self._links.setdefault(rank_agent, _Link())
        match order.body:
            case map_orders.Fetch(version=version):
                return await self._fetch(order, version)
            case map_orders.Confirm(settled=settled):
                return await self._look(rank_agent, link, order, settled)
            case map_orders.Inspect() if not self._fenced:
                return await self._look(rank_agent, link, order)
        if link.report is None or not order.incarnation:
            found = await self._look(rank_agent, link, order)
            if isinstance(found, map_orders.Lost) or not found.accepted:
                return found
        if _has_no_effect(link, order.body):
            return _answer(order, link, order.fence)
        if _was_released(link, order.body):
            return _refuse(order, Refusal.STEP_ENTERED)
        return await self._act(rank_agent, link, order)

    def slow_ranks(self) -> dict[int, float]:
        """Return the slow ranks and their pace, as last reported."""
        reports = [link.report for link in self._links.values()]
        return {
            report.rank: report.pace
            for report in reports
            if report is not None and report.pace >= quality.MIN_SLOW_PACE
        }

    def _locate(self, name: str, link: _Link) -> endpoints.Endpoint | None:
        """Return where a rank is, or was when it was last listed.

        Its entry may lapse for a second or two though it goes on.  Given up
        in the middle of a change, the group would stand all the while.
        """
        listed = self._find(name)
        if listed is not None:
            link.endpoint = listed
        return link.endpoint

    async def _look(
        self,
        name: str,
        link: _Link,
        order: map_orders.Order,
        settled: bool = True,
    ) -> Reply | map_orders.Lost:
        """Return a rank's state from a report.

        :param settled: the report is to show the effect of our last order.
        """
        wait = link.acted_at + REPORT_LAG - self._clock()
        if settled and wait > 0.0:
            await self._sleep(wait)
        endpoint = self._locate(name, link)
        if endpoint is None:
            return map_orders.Lost(detail='the endpoint is gone')
        found = await self._api.report(address=endpoint.address, identity=name)
        if isinstance(found, ranks.NoReply):
            return map_orders.Lost(detail=found.detail)
        if found.group != self._group:
            return _refuse(order, Refusal.OTHER_GROUP)
        if not found.group_open:
            return _refuse(order, Refusal.ENGINE_FAILED)
        last = link.report
        if last is not None and (
            (last.epoch, last.born) != (found.epoch, found.born)
        ):
            # A start that is over had armed and dropped what this one never
            # had.
            link.armed = None
            link.dropped = 0
            link.released = 0
        link.report = found
        endpoint.quality.note_pace(pace=found.pace, now=self._clock())
        if found.version == link.armed:
            link.armed = None
        if order.incarnation and order.incarnation != found.epoch:
            return _refuse(order, Refusal.INCARNATION)
        return _answer(order, link, self._read_fence(link, order))

    def _read_fence(self, link: _Link, order: map_orders.Order) -> int:
        """Return the highest fence that a rank is known to have obeyed.

        Ranks that check no tokens tell by their maps that a newer leader has
        spoken to them.  An older one that went on would have its maps
        refused for ever.
        """
        state = _read_state(link)
        if self._fenced or state.schedule is None:
            return order.fence
        versions = (*state.loaded, *state.schedule.versions())
        return max(order.fence, max(versions).fence)

    async def _act(
        self, name: str, link: _Link, order: map_orders.Order
    ) -> Reply | map_orders.Lost:
        assert link.report is not None
        body = self._translate(link, order)
        result = await self._send(name, link, order, body)
        match result:
            case ranks.NoReply(detail=detail):
                return map_orders.Lost(detail=detail)
            case ranks.TokenOld():
                return _refuse(order, Refusal.FENCE_OLD)
            case ranks.Refused():
                return _refuse(order, _explain(order.body))
        self._note(link, order.body)
        return _answer(order, link, order.fence)

    async def _send(
        self,
        name: str,
        link: _Link,
        order: map_orders.Order,
        body: ranks.OrderBody,
    ) -> ranks.OrderReply:
        """Send an order until it is answered, each time by a new token."""
        assert link.report is not None
        result: ranks.OrderReply = ranks.NoReply(detail='not sent')
        for number in range(TRIES):
            if number:
                await self._sleep(RETRY_SECONDS)
            endpoint = self._locate(name, link)
            if endpoint is None:
                return ranks.NoReply(detail='the endpoint is gone')
            token = order.fence * TOKENS_A_FENCE + next(self._tokens)
            link.acted_at = self._clock()
            result = await self._api.order(
                address=endpoint.address,
                identity=name,
                order=ranks.Order(
                    token=token, epoch=link.report.epoch, body=body
                ),
            )
            link.acted_at = self._clock()
            if not isinstance(result, ranks.Accepted):
                logging.info(
                    'order not obeyed',
                    extra=logs.fields(
                        endpoint=name,
                        rank=link.report.rank,
                        order=type(body).__name__,
                        result=type(result).__name__,
                        token=token,
                        epoch=link.report.epoch,
                        number=number,
                    ),
                )
            if not isinstance(result, ranks.NoReply):
                return result
        return result

    def _translate(
        self, link: _Link, order: map_orders.Order
    ) -> ranks.OrderBody:
        """Return the order in the rank's terms."""
        assert link.report is not None
        match order.body:
            case map_orders.Prepare(expert_map=new):
                self._maps[new.version] = new
                return ranks.Prepare(
                    version=number_version(new.version), layers=new.layers
                )
            case map_orders.Hold(before_step=step):
                return ranks.Hold(step=step)
            case map_orders.Arm(version=version, from_step=step):
                link.armed = number_version(version)
                return ranks.Arm(version=link.armed, step=step)
            case map_orders.Release():
                step = link.report.held or 0
                link.released = max(link.released, step)
                return ranks.Release(step=step)
            case map_orders.Undo(version=version) if version is not None:
                return ranks.Disarm(version=number_version(version))
            case map_orders.Undo() if link.armed is not None:
                return ranks.Disarm(version=link.armed)
            case map_orders.Undo() if link.report.armed is not None:
                return ranks.Disarm(version=link.report.armed.version)
        # Has no effect but for the token, which a rank remembers.
        return ranks.Disarm(version=order.fence * MAPS_A_FENCE)

    def _note(self, link: _Link, body: map_orders.Body) -> None:
        """Remember what an order that was obeyed has done."""
        assert link.report is not None
        match body:
            case map_orders.Hold(before_step=step):
                link.report = dataclasses.replace(link.report, held=step)
            case map_orders.Undo():
                link.armed = None
                if link.report.prepared is not None:
                    link.dropped = max(link.dropped, link.report.prepared)

    async def _fetch(
        self, order: map_orders.Order, version: expert_maps.Version
    ) -> Reply | map_orders.Lost:
        """Return a map, put together from what all ranks hold."""
        known = self._maps.get(version)
        if known is None and version.fence == 0:
            known = initial_map(shape=self._shape)
        if known is None:
            known = await self._gather(version)
        if known is None:
            return map_orders.Lost(detail='no rank could tell the map')
        self._maps = {version: known}
        return Reply(
            refusal=Refusal.NONE,
            fence=order.fence,
            incarnation=order.incarnation,
            expert_map=known,
        )

    async def _gather(
        self, version: expert_maps.Version
    ) -> expert_maps.ExpertMap | None:
        """Return a map, put together from what each rank holds of it.

        All are asked at once: one after the other 72 ranks take 0.2 s, in
        which a group that has lost its leader keeps an uneven map.
        """
        held: dict[int, tuple[tuple[int, ...], ...]] = {}

        async def ask(name: str, rank: int) -> None:
            endpoint = self._find(name)
            if endpoint is None:
                return
            found = await self._api.experts(
                address=endpoint.address, identity=name
            )
            if isinstance(found, ranks.NoReply):
                return
            if read_version(found.version) == version:
                held[rank] = found.layers

        async with anyio.create_task_group() as tasks:
            for name, link in self._links.items():
                if link.report is not None:
                    tasks.start_soon(ask, name, link.report.rank)
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
    """Return the map with which a group forms: experts dealt out in turn."""
    layer = tuple(
        tuple(range(rank, shape.experts, shape.ranks))
        for rank in range(shape.ranks)
    )
    return expert_maps.ExpertMap(
        version=read_version(0), layers=(layer,) * shape.layers
    )


def _read_state(link: _Link) -> RankState:
    report = link.report
    assert report is not None
    in_force = read_version(report.version)
    following = None
    from_step = 0
    if report.armed is not None:
        following = read_version(report.armed.version)
        from_step = report.armed.step
    loaded = [in_force]
    if report.prepared is not None and report.prepared > link.dropped:
        loaded.append(read_version(report.prepared))
    return RankState(
        rank=report.rank,
        entered=report.step,
        schedule=expert_maps.Schedule(
            in_force=in_force, following=following, from_step=from_step
        ),
        loaded=tuple(loaded),
        hold_before=report.held,
    )


def _has_no_effect(link: _Link, body: map_orders.Body) -> bool:
    """Whether an order gives up a map that a rank has not armed.

    Where ranks check tokens even such an order is sent, for its token.
    """
    assert link.report is not None
    match body:
        case map_orders.Undo(version=version) if version is not None:
            number = number_version(version)
            armed = link.report.armed
            return link.armed != number and (
                armed is None or armed.version != number
            )
    return False


def _was_released(link: _Link, body: map_orders.Body) -> bool:
    """Whether a copy of a release could end a hold at any later moment.

    An idle group does not begin the step that was held last.  Held again,
    it could go on while some ranks have armed a map and others have not.
    """
    match body:
        case map_orders.Hold(before_step=step):
            return step <= link.released
    return False


def _answer(order: map_orders.Order, link: _Link, fence: int) -> Reply:
    assert link.report is not None
    return Reply(
        refusal=Refusal.NONE,
        fence=fence,
        incarnation=link.report.epoch,
        states=(_read_state(link),),
    )


def _refuse(order: map_orders.Order, refusal: Refusal) -> Reply:
    return Reply(
        refusal=refusal, fence=order.fence, incarnation=order.incarnation
    )


def _explain(body: map_orders.Body) -> Refusal:
    """Return why a rank refuses an order that does not fit its state."""
    match body:
        case map_orders.Hold() | map_orders.Arm():
            return Refusal.STEP_ENTERED
        case map_orders.Prepare():
            return Refusal.CHANGE_ARMED
    return Refusal.NOT_LOADED
