"""Random schedules of faults and departures for :mod:`.drain_fleet`."""

import random

import anyio

from . import drain_fleet

FAULTS = ('kill', 'freeze', 'cut', 'busy', 'silent', 'store')
FAULT_SECONDS = (1.0, 2.0, 4.0, 6.0)
FAULT_SHARES = (0.1, 0.3, 0.5)
#: Seconds within which the faults of a schedule begin, and departures occur.
FAULTS_WITHIN_SECONDS = 5.0
DEPARTURES_WITHIN_SECONDS = 14.0


class Schedule:
    """Random faults within seconds, while endpoints leave."""

    def __init__(self, fleet, seed):
        self._fleet = fleet
        self._random = random.Random(seed)

    async def run(self):
        """Play the schedule; return when everything has ended."""
        async with anyio.create_task_group() as tasks:
            for _ in range(self._random.randint(4, 7)):
                delay = self._random.uniform(0.0, FAULTS_WITHIN_SECONDS)
                tasks.start_soon(self._play_fault, delay)
            for number in range(10):
                delay = self._random.uniform(0.0, DEPARTURES_WITHIN_SECONDS)
                reports = self._random.random() < 0.5
                tasks.start_soon(self._leave, f'i-{number}', delay, reports)

    async def _play_fault(self, delay, fault=None):
        fault = fault or self._random.choice(FAULTS)
        seconds = self._random.choice(FAULT_SECONDS)
        lapses = self._random.choice((0.0, 0.5))
        also_lacks_store = self._random.random() < 0.5
        chosen = self._choose_gateways()
        await anyio.sleep(delay)
        if fault == 'store':
            kind = self._random.choice(('busy', 'silent'))
            await self._fleet.fail_store(kind, seconds, lapses=lapses)
            return
        async with anyio.create_task_group() as tasks:
            for gateway in chosen:
                tasks.start_soon(gateway.suffer, fault, seconds)
                if fault == 'cut' and also_lacks_store:
                    tasks.start_soon(gateway.suffer, 'silent', seconds)

    def _choose_gateways(self):
        """Return some gateways, or those that read the store for others."""
        gateways = self._fleet.gateways
        if self._random.random() < 0.15:
            return gateways[: drain_fleet.LARGE_GATEWAYS]
        share = self._random.choice(FAULT_SHARES)
        return self._random.sample(
            gateways, max(1, int(share * len(gateways)))
        )

    async def _leave(self, identity, delay, reports):
        await anyio.sleep(delay)
        self._fleet.leave(identity, reports=reports)
        if reports:
            await anyio.sleep(self._random.uniform(2.0, 6.0))
            if identity in self._fleet.store.records:
                self._fleet.store.remove(identity)


#: Faults beside those of :class:`Schedule`: gateways that read the store for
#: others are restarted, the store's answers are late, or its history is gone.
MORE_FAULTS = (*FAULTS, 'restart', 'late', 'compact')
#: Seconds that a restart takes: peers do not notice the silence.
RESTART_SECONDS = 0.4
#: Seconds between the faults of a series.
SERIES_SECONDS = 1.5


class WideSchedule(Schedule):
    """Also restarts, late answers, lost history and restarted endpoints.

    Often few endpoints leave: a later change would make up for one that a
    gateway has missed.
    """

    async def run(self):
        async with anyio.create_task_group() as tasks:
            for _ in range(self._random.randint(3, 6)):
                delay = self._random.uniform(0.0, DEPARTURES_WITHIN_SECONDS)
                fault = self._random.choice(MORE_FAULTS)
                tasks.start_soon(self._play, fault, delay)
            for number in range(self._random.randint(1, 10)):
                delay = self._random.uniform(0.0, DEPARTURES_WITHIN_SECONDS)
                reports = self._random.random() < 0.5
                tasks.start_soon(self._leave, f'i-{number}', delay, reports)
            for number in range(10, 13):
                delay = self._random.uniform(0.0, DEPARTURES_WITHIN_SECONDS)
                tasks.start_soon(self._restart_endpoint, f'i-{number}', delay)

    async def _play(self, fault, delay):
        match fault:
            case 'restart':
                await anyio.sleep(delay)
                await self._restart_readers()
            case 'compact':
                await anyio.sleep(delay)
                await self._fleet.store.compact()
            case _:
                await self._play_fault(delay, fault)

    async def _restart_readers(self):
        """Restart the gateways that read the store for others, in series."""
        for _ in range(self._random.randint(1, 3)):
            reading = [
                one
                for one in self._fleet.gateways
                if one.follower.relies_on_peers() is False
            ]
            async with anyio.create_task_group() as tasks:
                for gateway in reading:
                    tasks.start_soon(gateway.suffer, 'kill', RESTART_SECONDS)
            await anyio.sleep(self._random.uniform(0.0, SERIES_SECONDS))

    async def _restart_endpoint(self, identity, delay):
        await anyio.sleep(delay)
        self._fleet.restart_endpoint(identity)


#: Failures that are no outage, and do not excuse a gateway.
SHORT_FAILURES = ('cut watches', 'compact', 'reject', 'stall')
MAX_STALL_SECONDS = 1.0
MAX_REJECTIONS = 3


class ShortFailureSchedule(WideSchedule):
    """Also watches that are cut off, rejected calls and short stalls."""

    async def run(self):
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(super().run)
            for _ in range(self._random.randint(2, 6)):
                delay = self._random.uniform(0.0, DEPARTURES_WITHIN_SECONDS)
                failure = self._random.choice(SHORT_FAILURES)
                tasks.start_soon(self._fail_shortly, failure, delay)

    async def _fail_shortly(self, failure, delay):
        chosen = self._choose_gateways()
        await anyio.sleep(delay)
        match failure:
            case 'cut watches':
                self._fleet.store.cut_watches()
            case 'compact':
                await self._fleet.store.compact(cuts=True)
            case 'reject':
                for gateway in chosen:
                    gateway.rejections = self._random.randint(
                        1, MAX_REJECTIONS
                    )
            case 'stall':
                async with anyio.create_task_group() as tasks:
                    for gateway in chosen:
                        seconds = self._random.uniform(0.2, MAX_STALL_SECONDS)
                        tasks.start_soon(gateway.stall, seconds)


class ToldSchedule(ShortFailureSchedule):
    """Also endpoints that tell single gateways that they are leaving.

    Their records stay as they were, are written again without the report, or
    are gone for a time; other gateways know nothing of it.
    """

    def __init__(self, fleet, seed):
        super().__init__(fleet, seed)
        self._telling = random.Random(f'telling {seed}')

    async def run(self):
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(super().run)
            for number in range(14, 24):
                delay = self._telling.uniform(0.0, DEPARTURES_WITHIN_SECONDS)
                tasks.start_soon(self._tell, f'i-{number}', delay)

    async def _tell(self, identity, delay):
        gateways = self._telling.sample(self._fleet.gateways, 2)
        event = self._telling.choice(('keep', 'write', 'lapse'))
        pause = self._telling.uniform(0.0, SERIES_SECONDS)
        await anyio.sleep(delay)
        for gateway in gateways:
            gateway.answer_leaving(identity)
        await anyio.sleep(pause)
        record = self._fleet.store.records.get(identity)
        if record is None or self._fleet.store.fault:
            return
        if event == 'lapse':
            self._fleet.store.remove(identity)
            await anyio.sleep(pause)
        if event != 'keep' and not self._fleet.store.fault:
            self._fleet.store.write(record)
