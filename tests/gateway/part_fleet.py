"""Endpoints that end by a part of prompts, or by chance, in virtual time.

Many gateways exchange suspects.  Harmless requests share their first part with
others, and run on the endpoints beside requests with the harmful part, of
which no two are alike.  Requests are counted over all gateways.
"""

import dataclasses
import itertools

import anyio
import virtual_time

from marigoldramp.gateway import containment
from marigoldramp.gateway import fingerprints
from marigoldramp.gateway.shared_state import suspects

#: Seconds without a fault from which a gateway counts.
CONTACT_SECONDS = 3.0
#: Ends by the harmful part after which its sends are counted.
ENDS = 5
BAD = fingerprints.PART_MARK + 'bad'
#: Number of first parts that requests share.
FIRST_PARTS = 60
#: Seconds from the first token of a request with the harmful part to the end.
FUSE_SECONDS = 0.08
#: Seconds for which an endpoint is down after its end.
DOWN_SECONDS = 3.5
#: Seconds for which a group with a rank that has ended declines requests.
STALL_SECONDS = 4.0
MAX_RUN_SECONDS = 2.0


@dataclasses.dataclass(frozen=True, kw_only=True)
class Load:
    """What is sent.

    :ivar sound: harmless requests per second.
    :ivar bad: requests with the harmful part per second, in bursts.
    :ivar chance: ends by chance per second.
    :ivar slots: requests that run on an endpoint at once.
    :ivar harmful: number of harmful parts.
    :ivar pairs: whether a harmful part comes with one first part only.
    :ivar grouped: whether one end breaks all endpoints for some seconds.
    """

    sound: float = 40.0
    bad: float = 2.0
    chance: float = 0.0
    slots: int = 6
    grouped: bool = False
    harmful: int = 1
    pairs: bool = False


class Endpoint:
    """An endpoint and the requests that run on it."""

    def __init__(self):
        self.starts = 1
        self.down_until = float('-inf')
        self.running = {}


class PartFleet:
    """Plays a load on a network of gateways.

    :ivar ends: times of ends by the harmful part.
    :ivar late_sends: sends of it that count against the limit.
    :ivar asked: harmless requests in the time in which they are counted.
    :ivar refused: those of them that were refused as blocked.
    """

    def __init__(self, network, load, endpoints=16):
        self.network = network
        self.load = load
        self.endpoints = [Endpoint() for _ in range(endpoints)]
        self.ends = []
        self.sends = []
        self.asked = []
        self.refused = []
        self._numbers = itertools.count(1)
        self._stalled_until = float('-inf')

    async def run(self, seconds):
        """Play the load."""
        with anyio.move_on_after(seconds):
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(self._repeat, self.load.sound, self._send)
                tasks.start_soon(self._repeat, self.load.bad, self._send_bad)
                tasks.start_soon(self._repeat, self.load.chance, self._crash)

    def late_sends(self):
        """Return the sends later than the time of contact after five ends."""
        since = self._find_bound(CONTACT_SECONDS)
        return [at for at in self.sends if at > since]

    def count_refused(self):
        """Return how many harmless requests were refused, and how many came.

        They count from twice the time of contact after five ends, or from the
        start if the harmful part does not come.
        """
        since = self._find_bound(2.0 * CONTACT_SECONDS)
        if not self.load.bad:
            since = 0.0
        return (
            sum(at > since for at in self.refused),
            sum(at > since for at in self.asked),
        )

    def _find_bound(self, seconds):
        if not self.ends:
            return float('inf')
        return sorted(self.ends)[:ENDS][-1] + seconds

    async def _repeat(self, rate, send):
        if not rate:
            return
        while True:
            await anyio.sleep(self.network.random.expovariate(rate))
            self.network.tasks.start_soon(send)

    async def _send(self):
        await self._ask(self._name_first(), ())

    async def _send_bad(self):
        for _ in range(self.network.random.choice([1, 1, 1, 3])):
            number = self.network.random.randrange(self.load.harmful)
            first = f'{fingerprints.PART_MARK}first{number}'
            if not self.load.pairs:
                first = self._name_first()
            self.network.tasks.start_soon(
                self._ask, first, (f'{BAD}{number}',)
            )

    def _name_first(self):
        number = int(FIRST_PARTS * self.network.random.random() ** 2)
        return f'{fingerprints.PART_MARK}first{number}'

    async def _ask(self, first, more):
        """Have a gateway serve a request once there is room."""
        gateway = self.network.random.choice(self.network.gateways)
        names = (first, *more, f'request{next(self._numbers)}')
        if not more:
            self.asked.append(virtual_time.now())
        endpoint = await self._find_room()
        if endpoint is None:
            return
        decision = gateway.suspects.decide_all(names)
        while isinstance(decision, suspects.Undecided):
            await anyio.sleep(decision.seconds)
            decision = gateway.suspects.decide_all(names)
        if isinstance(decision, suspects.Blocked):
            if not more:
                self.refused.append(virtual_time.now())
            return
        if more and (
            virtual_time.now() - gateway.cut_until > CONTACT_SECONDS
            and gateway not in self.network.cut
        ):
            self.sends.append(virtual_time.now())
        await self._run(gateway, endpoint, names, is_bad=bool(more))

    async def _find_room(self):
        """Wait for an endpoint with a free slot, for some seconds."""
        for _ in range(40):
            now = virtual_time.now()
            free = [
                one
                for one in self.endpoints
                if one.down_until <= now and len(one.running) < self.load.slots
            ]
            if free and self._stalled_until <= now:
                return self.network.random.choice(free)
            await anyio.sleep(0.2)
        return None

    async def _run(self, gateway, endpoint, names, *, is_bad):
        key = names[-1]
        with anyio.CancelScope() as scope:
            endpoint.running[key] = (gateway, names, scope)
            if is_bad:
                await anyio.sleep(FUSE_SECONDS)
                self.ends.append(virtual_time.now())
                self._end(endpoint)
            await anyio.sleep(containment.SURVIVAL_SECONDS)
            self._clear(gateway, names[:-1])
            seconds = self.network.random.uniform(0.1, MAX_RUN_SECONDS)
            await anyio.sleep(seconds)
            self._clear(gateway, names)
        endpoint.running.pop(key, None)

    def _clear(self, gateway, names):
        for name in names:
            if gateway.suspects.note_answer(name):
                gateway.exchange.note_clearance(name)

    async def _crash(self):
        self._end(self.network.random.choice(self.endpoints))

    def _end(self, endpoint):
        """End an endpoint with all requests on it."""
        now = virtual_time.now()
        if endpoint.down_until > now:
            return
        endpoint.down_until = now + DOWN_SECONDS
        endpoint.starts += 1
        start = f'{self.endpoints.index(endpoint)} {endpoint.starts}'
        lost = {}
        for gateway, names, scope in endpoint.running.values():
            lost.setdefault(gateway, []).extend(names)
            scope.cancel()
        for gateway, names in lost.items():
            gateway.end(start, *dict.fromkeys(names))
        endpoint.running.clear()
        if self.load.grouped:
            self._stalled_until = now + STALL_SECONDS
            for other in self.endpoints:
                for _, _, scope in other.running.values():
                    scope.cancel()
