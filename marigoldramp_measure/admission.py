"""Orders of the queue before one endpoint, at four loads and in floods."""

import collections
import dataclasses
import pathlib
import random as random_module
from typing import Any
from typing import Callable

import anyio

from marigoldramp import admission
from marigoldramp import bundle
from marigoldramp import fair_order
from marigoldramp import queue_order

from . import fakes
from . import tables
from . import traffic
from . import virtual

LOADS = (0.7, 1.0, 1.3, 2.0)
SECONDS = 120.0
WARM = 20.0
FLOODER = 'customer-0'


class _ListOrder(queue_order.Order[queue_order.Place]):
    """A baseline order: the least key goes first."""

    def __init__(self) -> None:
        self._places: list[queue_order.Place] = []

    def __len__(self) -> int:
        return len(self._places)

    def key(self, place: queue_order.Place) -> float:
        """Return the sort key of a call."""
        return place.arrived

    def push(self, place: queue_order.Place) -> None:
        self._places.append(place)
        self._places.sort(key=self.key)

    def remove(self, place: queue_order.Place) -> None:
        self._places.remove(place)

    def pop(self, *, urgent_only: bool) -> queue_order.Place | None:
        for position, place in enumerate(self._places):
            if place.waiting.priority == 0 or not urgent_only:
                return self._places.pop(position)
        return None

    def ahead(self, *, waiting: queue_order.Waiting, seconds: float) -> float:
        new = queue_order.Place(
            waiting=waiting, seconds=seconds, arrived=virtual.clock()
        )
        key = self.key(new)
        return sum(p.seconds for p in self._places if self.key(p) <= key)

    def work(self, *, priority: int) -> float:
        return sum(
            p.seconds for p in self._places if p.waiting.priority <= priority
        )

    def find_displaced(
        self, *, waiting: queue_order.Waiting, seconds: float
    ) -> queue_order.Place | None:
        last = self._places[-1]
        if last.waiting.priority > waiting.priority:
            return last
        return None


class Fifo(_ListOrder):
    """First come, first served."""


class Strict(_ListOrder):
    """Priority alone decides."""

    def key(self, place: queue_order.Place) -> float:
        return place.waiting.priority * 1e6 + place.arrived


class Aging(_ListOrder):
    """A lower priority is as if it had arrived 5 s later."""

    def key(self, place: queue_order.Place) -> float:
        return place.waiting.priority * 5.0 + place.arrived


class Deadline(_ListOrder):
    """Earliest deadline first."""

    def key(self, place: queue_order.Place) -> float:
        return place.waiting.deadline


ORDERS: dict[str, Callable[[], queue_order.Order[Any]]] = {
    'fifo': Fifo,
    'strict': Strict,
    'aging': Aging,
    'deadline': Deadline,
    'fair': fair_order.FairOrder,
}


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Row:
    """One order under one condition; see the routing experiment."""

    condition: str
    load: float
    order: str
    calls: int
    good_draft: float
    good_urgent: float
    good_quiet: float
    good_work: float
    p99_urgent: float
    p99_quiet: float
    p50_draft: float
    refused_p50: float
    wasted: float


def make_input(
    *, condition: str, load: float, seed: int
) -> list[traffic.Call]:
    """Return the calls of a condition, thinned to one endpoint."""
    random = random_module.Random(seed)
    one = load / traffic.MODEL_RUNNERS
    calls = traffic.generate(random=random, load=one, seconds=SECONDS)
    flood: dict[str, list[traffic.Call]] = {
        'steady': [],
        'urgent_flood': traffic.generate(
            random=random,
            load=8.0 / traffic.MODEL_RUNNERS,
            start=40.0,
            seconds=40.0,
            kinds=('urgent',),
        ),
        'customer_flood': traffic.generate(
            random=random,
            load=3.0 / traffic.MODEL_RUNNERS,
            start=40.0,
            seconds=40.0,
            customers=(FLOODER,),
        ),
    }
    return traffic.number(calls + flood[condition])


def measure(
    *, condition: str, load: float, order: str, calls: list[traffic.Call]
) -> Row:
    """Feed one endpoint directly."""

    async def main() -> tuple[fakes.Endpoint, list[fakes.Ended]]:
        endpoint = fakes.Endpoint(
            instance='model-0',
            data_centre='dc0',
            service=traffic.MODEL,
            slots=traffic.MODEL_SLOTS,
            bound=64,
            make_queue=lambda **rest: admission.Queue(
                order=ORDERS[order](), **rest
            ),
        )
        ended: list[fakes.Ended] = []

        async def serve(call: traffic.Call) -> None:
            began = virtual.clock()
            result = None
            with anyio.move_on_after(call.deadline):
                result = await endpoint.run(
                    call=call, attempt=1, remaining=call.deadline
                )
            outcome, served = fakes.Result.REFUSED, 0.0
            if isinstance(result, fakes.Answer):
                outcome, served = fakes.Result.ANSWERED, result.served
            ended.append(
                fakes.Ended(
                    call=call,
                    result=outcome,
                    ended_at=virtual.clock(),
                    seconds=virtual.clock() - began,
                    attempts=1,
                    served=served,
                )
            )

        async with anyio.create_task_group() as tasks:
            for call in calls:
                await anyio.sleep(call.at - virtual.clock())
                tasks.start_soon(serve, call)
        return endpoint, ended

    endpoint, ended = virtual.drive(main)
    return _summarise(
        condition=condition,
        load=load,
        order=order,
        endpoint=endpoint,
        ended=ended,
    )


def _summarise(
    *,
    condition: str,
    load: float,
    order: str,
    endpoint: fakes.Endpoint,
    ended: list[fakes.Ended],
) -> Row:
    ended = [one for one in ended if WARM < one.call.at < SECONDS]
    good = [one for one in ended if one.result is fakes.Result.ANSWERED]
    kinds = collections.Counter(one.call.priority for one in ended)
    goods = collections.Counter(one.call.priority for one in good)
    quiet = [one for one in ended if one.call.customer != FLOODER]
    good_quiet = [one for one in good if one.call.customer != FLOODER]
    urgent = bundle.Priority.URGENT
    draft = bundle.Priority.NORMAL
    useful = sum(one.served for one in good if WARM < one.ended_at < SECONDS)
    return Row(
        condition=condition,
        load=load,
        order=order,
        calls=len(ended),
        good_draft=goods[draft] / kinds[draft],
        good_urgent=goods[urgent] / kinds[urgent],
        good_quiet=len(good_quiet) / len(quiet),
        good_work=useful / (SECONDS - WARM) / traffic.MODEL_SLOTS,
        p99_urgent=tables.quantile(
            [one.seconds for one in good if one.call.priority is urgent], 0.99
        ),
        p99_quiet=tables.quantile(
            [one.seconds for one in good_quiet if one.call.priority is urgent],
            0.99,
        ),
        p50_draft=tables.quantile(
            [one.seconds for one in good if one.call.priority is draft], 0.5
        ),
        refused_p50=tables.quantile(
            [
                one.seconds
                for one in ended
                if one.result is fakes.Result.REFUSED
            ],
            0.5,
        ),
        wasted=endpoint.wasted / endpoint.busy,
    )


def run(*, seed: int, out: pathlib.Path) -> None:
    """Measure every order in a steady load and in two floods."""
    conditions = [('steady', load) for load in LOADS]
    conditions += [('urgent_flood', 0.7), ('customer_flood', 0.7)]
    rows = [
        measure(
            condition=condition,
            load=load,
            order=order,
            calls=make_input(condition=condition, load=load, seed=seed),
        )
        for condition, load in conditions
        for order in ORDERS
    ]
    tables.write(rows=rows, path=out / 'admission.csv')
