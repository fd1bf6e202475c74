"""One customer's limit divided over its entries, by two rules.

The customer asks for twice its limit all the time.  Its calls come to its
entries evenly or not, datagrams between entries get lost, an entry dies.
"""

import collections
import dataclasses
import functools
import pathlib
import random as random_module
import tracemalloc
from typing import Callable
from typing import Collection

import anyio
import msgspec

from marigoldramp import bundle
from marigoldramp import demands
from marigoldramp import limits
from marigoldramp import messages
from marigoldramp import shares
from marigoldramp import usage_exchange

from . import plots
from . import tables
from . import virtual

ENTRIES = ('entry-0', 'entry-1', 'entry-2')
LIMIT = 200.0
CUSTOMER = bundle.Customer(
    name='customer',
    key_digests=(),
    services=(),
    requests_per_second=LIMIT,
    concurrent_calls=10_000,
    tokens_per_second=1e9,
    entries=2,
)
#: Calls asked for, over the limit.
DEMAND = 2.0
SECONDS = 60.0
WARM = 5.0
WINDOW = 5.0
NETWORK_SECONDS = 0.0005
#: Membership's verdict on an entry, and callers' flight from it.
VERDICT_SECONDS = 2.3
FLIGHT_SECONDS = 1.0
#: Bytes of seal and headers around a datagram's contents.
OVERHEAD = 16 + 28
FAULT_AT = 20.0
FAULT_ENDS = 40.0


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Scenario:
    """How calls arrive and what goes wrong.

    :ivar first: part of the calls that go to the first entry; the rest go
        to the second.
    :ivar swaps: seconds after which the two change places, 0 for never.
    :ivar loss: part of the datagrams that is lost.
    :ivar cut: datagrams from the first to the second entry are lost from
        ``FAULT_AT`` to ``FAULT_ENDS``.
    :ivar dies: the first entry dies at ``FAULT_AT``; a third one follows.
    :ivar doubted: from ``FAULT_AT`` to ``FAULT_ENDS`` the third entry takes
        the first one for dead, and calls come to all three.
    """

    name: str
    first: float = 0.5
    swaps: float = 0.0
    loss: float = 0.0
    cut: bool = False
    dies: bool = False
    doubted: bool = False


SCENARIOS = (
    Scenario(name='even'),
    Scenario(name='skewed', first=0.8),
    Scenario(name='one_entry', first=1.0),
    Scenario(name='swapping', first=1.0, swaps=10.0),
    Scenario(name='swapping_lossy', first=1.0, swaps=10.0, loss=0.3),
    Scenario(name='swapping_cut', first=0.9, swaps=10.0, cut=True),
    Scenario(name='entry_dies', first=0.7, dies=True),
    Scenario(name='views_differ', first=0.7, doubted=True),
)
RULES = ('equal', 'by_demand')


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Row:
    """One rule in one scenario.

    :ivar used: admitted calls over the limit, the whole run.
    :ivar unused: what was left of the limit, as it was asked for twice.
    :ivar most: admitted calls over the limit in the worst window of 5 s; a
        full bucket alone may give 1.2 once.
    :ivar bytes_per_second: of datagrams, from and to all entries.
    """

    scenario: str
    rule: str
    used: float
    unused: float
    most: float
    bytes_per_second: float


class _Entry:
    """The real limits, shares and exchange of one entry."""

    def __init__(
        self,
        *,
        name: str,
        rule: str,
        live: Callable[[], Collection[str]],
        send: usage_exchange.Send,
    ) -> None:
        self.limits = limits.Limits(clock=virtual.clock, most_customers=10)
        known = demands.Demands(entry=name, clock=virtual.clock, most_peers=64)
        self.shares = shares.Shares(
            entry=name,
            live_entries=live,
            clock=virtual.clock,
            most=10,
            known=known if rule == 'by_demand' else None,
        )
        self.exchange = usage_exchange.Exchange(
            entry=name,
            incarnation=1,
            limits=self.limits,
            shares=self.shares,
            known=known,
            send=send,
            wall=virtual.clock,
        )

    def admit(self) -> bool:
        """Ask for one call, which ends at once."""
        share = self.shares.find(CUSTOMER)
        grant = self.limits.admit(customer=CUSTOMER, tokens=0, share=share)
        if not isinstance(grant, limits.Grant):
            return False
        self.limits.release(grant=grant, tokens_used=0)
        return True


class _Run:
    """One rule in one scenario."""

    def __init__(self, *, scenario: Scenario, rule: str, seed: int) -> None:
        self.scenario = scenario
        self.random = random_module.Random(seed)
        self.rule = rule
        self.entries: dict[str, _Entry] = {}
        self.admitted: list[float] = []
        self.bytes = 0

    def _is_faulty(self) -> bool:
        return FAULT_AT <= virtual.clock() < FAULT_ENDS

    def _list_live(self, entry: str) -> Collection[str]:
        """Return the entries that serve the customer, as one sees them."""
        now = virtual.clock()
        first, second, third = ENTRIES
        if self.scenario.dies and now >= FAULT_AT + VERDICT_SECONDS:
            return (second, third)
        if self.scenario.doubted and self._is_faulty() and entry == third:
            return (second, third)
        return (first, second)

    def _make_entry(self, name: str) -> _Entry:
        return _Entry(
            name=name,
            rule=self.rule,
            live=functools.partial(self._list_live, name),
            send=functools.partial(self._send, name),
        )

    def _choose(self) -> str:
        """Return the entry to which the next call goes."""
        scenario, now = self.scenario, virtual.clock()
        first, second, third = ENTRIES
        if scenario.dies and now >= FAULT_AT + FLIGHT_SECONDS:
            first = second
            if now >= FAULT_AT + VERDICT_SECONDS + FLIGHT_SECONDS:
                second = third
        if scenario.doubted and self._is_faulty():
            second = self.random.choice((second, third))
        if scenario.swaps and int(now / scenario.swaps) % 2:
            first, second = second, first
        return first if self.random.random() < scenario.first else second

    def is_dead(self, entry: str) -> bool:
        """Return whether an entry has died by now."""
        return (
            self.scenario.dies
            and entry == ENTRIES[0]
            and virtual.clock() >= FAULT_AT
        )

    async def _call(self) -> None:
        while virtual.clock() < SECONDS:
            await anyio.sleep(self.random.expovariate(DEMAND * LIMIT))
            name = self._choose()
            if self.is_dead(name):
                continue
            if self.entries[name].admit():
                self.admitted.append(virtual.clock())

    async def _publish(self, name: str, phase: float) -> None:
        await anyio.sleep(phase)
        while not self.is_dead(name):
            self.entries[name].exchange.publish()
            await anyio.sleep(demands.PUBLISH_SECONDS)

    def _send(self, name: str, peer: str, usage: messages.Usage) -> None:
        self.bytes += 2 * (len(msgspec.msgpack.encode(usage)) + OVERHEAD)
        cut = self.scenario.cut and self._is_faulty()
        if cut and name == ENTRIES[0]:
            return
        if self.random.random() >= self.scenario.loss:
            self.entries[peer].exchange.receive(usage)

    async def main(self) -> None:
        """Send calls and datagrams until the end."""
        async with anyio.create_task_group() as tasks:
            for position, name in enumerate(ENTRIES):
                self.entries[name] = self._make_entry(name)
                tasks.start_soon(self._publish, name, 0.17 * position)
            await self._call()
            tasks.cancel_scope.cancel()

    def summarise(self) -> Row:
        """Return the row of figures."""
        counts = collections.Counter(int(at) for at in self.admitted)
        last = int(SECONDS - WINDOW)
        windows = [
            sum(counts[second + more] for more in range(int(WINDOW)))
            for second in range(int(WARM), last)
        ]
        steady = sum(at >= WARM for at in self.admitted)
        used = steady / LIMIT / (SECONDS - WARM)
        return Row(
            scenario=self.scenario.name,
            rule=self.rule,
            used=used,
            unused=max(0.0, 1.0 - used),
            most=max(windows) / LIMIT / WINDOW,
            bytes_per_second=self.bytes / SECONDS,
        )


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Memory:
    """Memory of the limits of so many customers at one entry."""

    customers: int
    bytes_each: float


def weigh_memory(customers: int) -> Memory:
    """Return the bytes that one customer's state takes."""
    known = [
        dataclasses.replace(CUSTOMER, name=f'customer-{number}')
        for number in range(customers)
    ]
    tracemalloc.start()
    before, _ = tracemalloc.get_traced_memory()
    table = limits.Limits(clock=lambda: 0.0, most_customers=customers)
    for customer in known:
        table.admit(customer=customer, tokens=1, share=0.5)
    after, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    assert len(table) == customers
    return Memory(customers=customers, bytes_each=(after - before) / customers)


def run(*, seed: int, out: pathlib.Path) -> None:
    """Measure both rules in every scenario, and memory a customer."""
    rows = []
    lines = []
    for scenario in SCENARIOS:
        for rule in RULES:
            one = _Run(scenario=scenario, rule=rule, seed=seed)
            virtual.drive(one.main)
            rows.append(one.summarise())
            if scenario.name == 'entry_dies':
                counts = collections.Counter(int(at) for at in one.admitted)
                seconds = range(int(SECONDS))
                lines.append(
                    plots.Line(
                        label=rule,
                        x=[float(second) for second in seconds],
                        y=[counts[second] / LIMIT for second in seconds],
                    )
                )
    tables.write(rows=rows, path=out / 'limits.csv')
    tables.write(
        rows=[weigh_memory(count) for count in (1000, 4000, 16000)],
        path=out / 'limits_memory.csv',
    )
    plots.draw(
        path=out / 'limits.png',
        title='Calls admitted over the limit; an entry dies at 20 s',
        x_label='seconds',
        y_label='admitted calls, over the limit',
        lines=lines,
    )
