"""Small fakes at the interfaces of the router and the queue.

Entries and endpoints are real but for the engines and the network, which
takes half a millisecond.
"""

import random as random_module
from typing import Callable

import anyio

from marigoldramp import admission
from marigoldramp import messages

from . import fake_endpoints
from . import fake_entries
from . import traffic
from . import virtual

Answer = fake_endpoints.Answer
Endpoint = fake_endpoints.Endpoint
Ended = fake_entries.Ended
Entry = fake_entries.Entry
Result = fake_entries.Result
make_facts = fake_entries.make_facts

REPORT_SECONDS = 0.5
#: Silence until membership's verdict: 1.6 s, then a probe of 0.7 s.
VERDICT_SECONDS = 2.3


class Fleet:
    """All endpoints and entries of one run."""

    def __init__(
        self,
        *,
        policy: str,
        seed: int,
        bound: int = 64,
        retry_share: float = 0.1,
        make_queue: Callable[..., admission.Queue] = admission.Queue,
        make_entry: type[fake_entries.Entry] = fake_entries.Entry,
    ) -> None:
        self.endpoints: dict[str, fake_endpoints.Endpoint] = {}
        for service, count, slots in (
            (traffic.MODEL, traffic.MODEL_RUNNERS, traffic.MODEL_SLOTS),
            (traffic.PLAIN, traffic.PLAIN_RUNNERS, traffic.PLAIN_SLOTS),
        ):
            for one in range(count):
                instance = f'{service}-{one}'
                self.endpoints[instance] = fake_endpoints.Endpoint(
                    instance=instance,
                    data_centre=f'dc{one % 3}',
                    service=service,
                    slots=slots,
                    bound=bound,
                    make_queue=make_queue,
                )
        self.entries = [
            make_entry(
                data_centre=f'dc{one % 3}',
                random=random_module.Random(seed * 1000 + one),
                endpoints=self.endpoints,
                policy=policy,
                retry_share=retry_share,
            )
            for one in range(traffic.ENTRIES)
        ]
        self.ended: list[fake_entries.Ended] = []

    async def serve(
        self,
        calls: list[traffic.Call],
        *,
        at: float | None = None,
        then: Callable[['Fleet'], None] = lambda fleet: None,
    ) -> None:
        """Send the calls; at a time of the run call ``then``."""
        async with anyio.create_task_group() as background:
            for position, endpoint in enumerate(self.endpoints.values()):
                background.start_soon(self._report, endpoint, position)
            if at is not None:
                background.start_soon(self._fault, at, then)
            await anyio.sleep(REPORT_SECONDS)
            async with anyio.create_task_group() as tasks:
                began = virtual.clock()
                for call in calls:
                    await anyio.sleep(began + call.at - virtual.clock())
                    tasks.start_soon(self._serve, call)
            background.cancel_scope.cancel()

    def kill(self, instance: str) -> None:
        """Let an endpoint fall silent."""
        self.endpoints[instance].die()

    async def _serve(self, call: traffic.Call) -> None:
        ended = await self.entries[call.entry].serve(call)
        self.ended.append(ended)

    async def _fault(self, at: float, then: Callable[['Fleet'], None]) -> None:
        await anyio.sleep(at + REPORT_SECONDS)
        then(self)
        dead = [one for one in self.endpoints.values() if one.faults.dead]
        await anyio.sleep(VERDICT_SECONDS)
        for endpoint in dead:
            for entry in self.entries:
                entry.declare_dead(endpoint.instance)

    async def _report(
        self, endpoint: fake_endpoints.Endpoint, position: int
    ) -> None:
        """Send heartbeats, each endpoint at its own phase."""
        await anyio.sleep(REPORT_SECONDS * position / len(self.endpoints))
        async with anyio.create_task_group() as tasks:
            while not endpoint.faults.dead:
                tasks.start_soon(
                    self._deliver, endpoint.heartbeat(), endpoint.faults.delay
                )
                await anyio.sleep(REPORT_SECONDS)

    async def _deliver(
        self, heartbeat: messages.Heartbeat, delay: float
    ) -> None:
        await anyio.sleep(fake_endpoints.NETWORK_SECONDS + delay)
        for entry in self.entries:
            entry.router.report(heartbeat=heartbeat, now=virtual.clock())
