"""Faults that a seed injects, in series and overlapping."""

import dataclasses
import signal

import anyio

from . import crowds

PLANNED = ('stop', 'reload', 'configure', 'revoke', 'drain')
UNPLANNED = (
    'kill',
    'pause',
    'break_runner',
    'reset',
    'silence',
    'delay',
    'refuse',
    'store_away',
    'store_slow',
    'store_loses',
    'store_forgets',
    'cut_from_store',
)


#: Faults of a group of ranks, and shares of orders that get no reply.
GROUP_TROUBLE = ('shift', 'shift', 'lose', 'idle', 'lapse')
LOST_SHARES = (0.0, 0.0, 0.2, 0.5)
RANKED_CALLERS = 4
#: Rate limits that endpoints name, in requests per second; 0 for none.
RATE_LIMITS = (0.1, 0.5, 1.0, 1.0, 3.0, 10.0, 0.0)
#: Share of the limits that all endpoints of a service name at once, and of
#: the partitions between gateways among the troubles with limits.
LIMITED_SERVICE_SHARE = 0.3
PARTITION_SHARE = 0.25
#: Further callers, without which the usual load stays below most limits.
LIMITED_CALLERS = 8
#: Further callers whose bodies and answers take long.
SLOW_CALLERS = 6
#: Seconds before the end of the faults from which no limit is named: the
#: load returns in steps.
LIMITS_END = 4.0


@dataclasses.dataclass(kw_only=True)
class Disturbed:
    """When rules with a time bound do not hold."""

    begun: float
    ended: float = float('inf')


class Faults:
    """Injects faults into a site until a time.

    :ivar disturbed: when rules with a time bound do not hold.
    :ivar network_faults: when responses may be lost or delayed.
    :param more: the source of random times of each further kind of fault, by
        its name, so that the schedules do not depend on each other.
    """

    def __init__(self, *, site, draw, planned_only, more):
        self._site = site
        self._draw = draw
        self._more = more
        self._kinds = PLANNED if planned_only else PLANNED + UNPLANNED
        self.disturbed = []
        self.network_faults = []
        self.injected = []

    async def run(self, until):
        """Inject until a time, then end all faults."""
        async with anyio.create_task_group() as tasks:
            for kind, draw in self._more.items():
                tasks.start_soon(getattr(self, f'_inject_{kind}'), draw, until)
            while anyio.current_time() < until:
                kind = self._draw.choice(self._kinds)
                self.injected.append(kind)
                tasks.start_soon(getattr(self, f'_{kind}'))
                await anyio.sleep(self._draw.uniform(0.1, 1.5))

    async def _inject_ends(self, draw, until):
        """Send requests that end their endpoints, in series."""
        async with anyio.create_task_group() as tasks:
            number = 0
            while anyio.current_time() < until:
                number += 1
                self.injected.append('end_endpoints')
                caller = self._site.make_ending_caller(number)
                stays = draw.uniform(2.0, 10.0)
                leaves = min(until, anyio.current_time() + stays)
                tasks.start_soon(caller.run, lambda leaves=leaves: leaves)
                await anyio.sleep(draw.uniform(0.5, 4.0))

    async def _inject_crowds(self, draw, until):
        """Have crowds of clients come to random listeners."""
        async with anyio.create_task_group() as tasks:
            while anyio.current_time() < until:
                await anyio.sleep(draw.uniform(0.2, 2.0))
                entry = draw.choice(self._site.entries)
                kind = draw.choice(crowds.KINDS)
                self.injected.append(f'crowd_{kind}')
                tasks.start_soon(self._bring_crowd, draw, entry, kind, until)
        for entry in self._site.entries:
            entry.note_peak()

    async def _bring_crowd(self, draw, entry, kind, until):
        seconds = draw.uniform(0.5, crowds.MOST_SECONDS)
        await crowds.run_crowd(
            kind=kind,
            address=(entry.host, draw.choice(entry.ports)),
            clients=draw.randrange(5, crowds.MOST_CLIENTS),
            seconds=min(seconds, until - anyio.current_time()),
        )
        entry.note_peak()

    async def _inject_backoffs(self, draw, until):
        """Start backoff periods on random endpoints; they may overlap."""
        async with anyio.create_task_group() as tasks:
            while anyio.current_time() < until:
                await anyio.sleep(draw.uniform(0.2, 1.5))
                self.injected.append('backoff')
                tasks.start_soon(self._request_backoff, draw)

    async def _request_backoff(self, draw):
        if not self._site.runners:
            return
        runner = draw.choice(self._site.runners)
        runner.backoff = draw.uniform(0.8, 4.0)
        await anyio.sleep(draw.uniform(1.0, 5.0))
        runner.backoff = 0.0

    async def _inject_limits(self, draw, until):
        """Have endpoints name rate limits, and partition gateways."""
        until -= LIMITS_END
        async with anyio.create_task_group() as tasks:
            for number in range(LIMITED_CALLERS):
                caller = self._site.make_eager_caller(number)
                tasks.start_soon(caller.run, lambda: until)
            while anyio.current_time() < until:
                if draw.random() < PARTITION_SHARE:
                    self.injected.append('partition')
                    tasks.start_soon(self._partition, draw)
                else:
                    self.injected.append('limit')
                    self._limit_runners(draw)
                await anyio.sleep(draw.uniform(0.5, 3.0))
        for runner in self._site.all_runners:
            runner.limit(0.0)

    def _limit_runners(self, draw):
        """Have one endpoint or all of a service name another limit."""
        if not self._site.runners:
            return
        chosen = [draw.choice(self._site.runners)]
        if draw.random() < LIMITED_SERVICE_SHARE:
            chosen = [
                one
                for one in self._site.runners
                if one.service == chosen[0].service
            ]
        rate = draw.choice(RATE_LIMITS)
        for runner in chosen:
            runner.limit(rate)

    async def _partition(self, draw):
        """Cut one gateway off from the others; it reaches all else."""
        span = self._begin()
        self._site.partition([draw.choice(self._site.entries)])
        await anyio.sleep(draw.uniform(0.3, 6.0))
        self._site.partition([])
        span.ended = anyio.current_time()

    async def _inject_colds(self, draw, until):
        """Have endpoints restart cold under demand, and gateways cut off."""
        until -= LIMITS_END
        async with anyio.create_task_group() as tasks:
            for number in range(LIMITED_CALLERS):
                caller = self._site.make_eager_caller(number)
                tasks.start_soon(caller.run, lambda: until)
            while anyio.current_time() < until:
                if draw.random() < PARTITION_SHARE:
                    self.injected.append('partition')
                    tasks.start_soon(self._partition, draw)
                else:
                    self.injected.append('cold_start')
                    tasks.start_soon(self._site.restart_cold, draw)
                await anyio.sleep(draw.uniform(0.5, 3.0))

    async def _inject_stops(self, draw, until):
        """Stop gateways in series, while bodies and answers take long."""
        async with anyio.create_task_group() as tasks:
            for number in range(SLOW_CALLERS):
                caller = self._site.make_slow_caller(number)
                tasks.start_soon(caller.run, lambda: until)
            while anyio.current_time() < until:
                self.injected.append('stop')
                tasks.start_soon(self._stop)
                await anyio.sleep(draw.uniform(0.5, 3.0))

    async def _inject_restores(self, draw, until):
        """Restore the store from copies, sometimes twice in a row."""
        while anyio.current_time() < until:
            await anyio.sleep(draw.uniform(1.0, 5.0))
            self.injected.append('store_restored')
            span = self._begin()
            await self._site.restore_store(draw)
            span.ended = anyio.current_time()

    async def _inject_evacuations(self, draw, until):
        """Evacuate a data centre and withdraw that, again and again."""
        while anyio.current_time() < until:
            await anyio.sleep(draw.uniform(0.2, 2.0))
            self.injected.append('evacuation')
            await self._site.evacuate()
            left = max(0.0, until - anyio.current_time())
            await anyio.sleep(min(left, draw.uniform(0.2, 12.0)))
            await self._site.withdraw()

    async def _inject_maps(self, draw, until):
        """Disturb a group of ranks while its expert map is changed."""
        group = self._site.group
        async with anyio.create_task_group() as tasks:
            for number in range(RANKED_CALLERS):
                caller = self._site.make_ranked_caller(number)
                tasks.start_soon(caller.run, lambda: until)
            while anyio.current_time() < until:
                await anyio.sleep(draw.uniform(0.2, 1.2))
                kind = draw.choice(GROUP_TROUBLE)
                self.injected.append(f'group_{kind}')
                match kind:
                    case 'shift':
                        group.shift()
                    case 'lose':
                        group.lost_share = draw.choice(LOST_SHARES)
                    case 'idle':
                        tasks.start_soon(self._idle_group, draw)
                    case 'lapse':
                        tasks.start_soon(self._site.lapse, draw)
        group.lost_share = 0.0

    async def _idle_group(self, draw):
        self._site.group.idle = True
        await anyio.sleep(draw.uniform(0.2, 1.5))
        self._site.group.idle = False

    def _begin(self):
        span = Disturbed(begun=anyio.current_time())
        self.disturbed.append(span)
        return span

    async def _for(self, low, high):
        await anyio.sleep(self._draw.uniform(low, high))

    def _entry(self):
        """Return a running entry without a fault, if there is one."""
        free = [
            one
            for one in self._site.entries
            if one.runs and not one.stopping and not one.paused
        ]
        return self._draw.choice(free) if len(free) > 1 else None

    async def _stop(self):
        entry = self._entry()
        if entry is not None:
            await entry.stop()
            entry.start()

    async def _reload(self):
        entry = self._entry()
        if entry is not None:
            entry.signal(signal.SIGHUP)

    async def _configure(self):
        self._site.configure()

    async def _revoke(self):
        self._site.revoke(self._draw)

    async def _drain(self):
        await self._site.replace_runner(self._draw)

    async def _kill(self):
        entry = self._entry()
        if entry is not None:
            span = self._begin()
            entry.stopping = True
            await entry.kill()
            await self._for(0.1, 1.0)
            entry.start()
            span.ended = anyio.current_time()

    async def _pause(self):
        entry = self._entry()
        if entry is not None:
            span = self._begin()
            entry.paused = True
            entry.signal(signal.SIGSTOP)
            await self._for(0.3, 6.0)
            entry.signal(signal.SIGCONT)
            entry.note_resume()
            entry.paused = False
            span.ended = anyio.current_time()

    async def _break_runner(self):
        if not self._site.runners:
            return
        runner = self._draw.choice(self._site.runners)
        runner.fault = self._draw.choice(
            ('decline', 'fail', 'cut', 'slow', 'hang')
        )
        await self._for(0.5, 3.0)
        runner.fault = ''

    async def _reset(self):
        self.network_faults.append(
            Disturbed(begun=anyio.current_time(), ended=anyio.current_time())
        )
        self._draw.choice(self._site.proxies()).reset()

    async def _silence(self):
        span = self._begin()
        self.network_faults.append(span)
        self._draw.choice(self._site.proxies()).silence()
        span.ended = anyio.current_time() + 3.0

    async def _delay(self):
        span = self._begin()
        self.network_faults.append(span)
        proxy = self._draw.choice(self._site.proxies())
        proxy.delay = self._draw.uniform(0.01, 0.3)
        await self._for(0.5, 2.0)
        proxy.delay = 0.0
        span.ended = anyio.current_time()

    async def _refuse(self):
        span = self._begin()
        proxy = self._draw.choice(self._site.proxies())
        proxy.refuses = True
        await self._for(0.5, 2.0)
        proxy.refuses = False
        span.ended = anyio.current_time()

    async def _store_away(self):
        span = self._begin()
        self._site.store.away = True
        await self._for(0.5, 7.0)
        self._site.store.away = False
        span.ended = anyio.current_time()

    async def _store_slow(self):
        span = self._begin()
        self._site.store.slow = self._draw.uniform(0.05, 0.5)
        await self._for(0.5, 3.0)
        self._site.store.slow = 0.0
        span.ended = anyio.current_time()

    async def _store_loses(self):
        self._site.store.loses = True
        await self._for(0.5, 3.0)
        self._site.store.loses = False

    async def _store_forgets(self):
        self._site.store.forget_history()

    async def _cut_from_store(self):
        span = self._begin()
        proxy = self._draw.choice(self._site.store_proxies)
        proxy.refuses = True
        proxy.reset()
        await self._for(0.5, 8.0)
        proxy.refuses = False
        span.ended = anyio.current_time()
