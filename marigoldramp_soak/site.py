"""The site of one seed: a store, endpoints, gateways and callers."""

import dataclasses
import pathlib
import random
import socket
import tempfile

import anyio

from . import callers
from . import entries
from . import objects
from . import proxies
from . import ranks
from . import runners

HOST = '127.0.0.1'
ENTRIES = 3
CALLERS = 6
SERVICES = {'stream': 4, 'plain': 3}
KEYS = 8
#: Seconds for which an endpoint that has ended is down, and after which it is
#: listed no longer.
DOWN_SECONDS = 1.5
#: Service whose endpoints carry a group of ranks, and what callers ask of it.
RANKED = 'ranked'
#: Data centre that may be evacuated.
EVACUATED = 'two'
RANKED_PATH = '/ranked/1'
#: Time that routes give an answer, in seconds.
TIMEOUT = 4.0
#: The same where gateways are stopped in series: longer than they live on.
LONG_TIMEOUT = 9.0
#: Longest pause in the middle of a body, in seconds.
BODY_PAUSE = 5.0
#: Longest pause between two requests of an eager caller, in seconds.
EAGER_PAUSE = 0.05
#: Seeds of which one has ranks that check tokens.
SEEDS_A_CHECK = 3
#: Copies of the store to which it may go back, and seconds between two.
COPIES = 6
COPY_SECONDS = 1.0
#: Requests a second that a cold endpoint tolerates.
COLD_RATE = 3.0
LAPSE_SECONDS = 3.6
ROUTES = (
    ('/safe/', 'idempotent', 'plain', 2, False),
    ('/once/', 'non_idempotent', 'plain', 1, False),
    ('/stream/', 'streaming', 'stream', 2, True),
)


@dataclasses.dataclass(kw_only=True)
class Evacuation:
    """The time from an evacuation's acknowledgement to its withdrawal."""

    begun: float
    ended: float = float('inf')


class Site:
    """Everything that one seed runs.

    :param has_group: there is a group of ranks as well.
    :param has_cold_starts: endpoints are cold after a restart.
    :param has_evacuations: half of the endpoints are in the data centre that
        may be evacuated.
    :param gateways: number of gateway processes.
    :ivar evacuations: the evacuations of ``EVACUATED``, in order.
    """

    def __init__(
        self,
        *,
        seed,
        draw,
        folder,
        has_group=False,
        has_cold_starts=False,
        has_evacuations=False,
        gateways=ENTRIES,
        timeout=TIMEOUT,
    ):
        self._seed = seed
        self._timeout = timeout
        self.has_evacuations = has_evacuations
        self.evacuations = []
        self.group = None
        self.carriers = []
        if has_group:
            self.group = ranks.Group(
                draw=random.Random(f'ranks {seed}'),
                tokens=seed % SEEDS_A_CHECK == 0,
            )
        self.store = objects.Objects()
        self.runs = []
        self.arrivals = []
        self.told = []
        self.runners = []
        self.all_runners = []
        self.ended = {}
        self.copies = []
        self.entries = []
        self.store_proxies = []
        self.revoked = {}
        self._keys = [f'key-{number}' for number in range(KEYS)]
        self._version = 0
        self._runner_proxies = {}
        self._draw = draw
        self._folder = folder
        self._gateways = gateways
        self._has_cold_starts = has_cold_starts
        self._listeners = []
        self._tasks = None

    async def start(self, tasks):
        """Start all; return when the gateways are up."""
        self._tasks = tasks
        self.configure()
        tasks.start_soon(self.keep_copies)
        listener, port = await objects.serve(self.store.handle, HOST, 0, tasks)
        self._listeners.append(listener)
        for service, count in SERVICES.items():
            for _ in range(count):
                await self._add_runner(service)
        if self.group is not None:
            tasks.start_soon(self.group.run, tasks)
            for rank in self.group.ranks:
                await self._add_carrier(rank)
        ports = find_ports()
        for number in range(self._gateways):
            proxy = proxies.Proxy(host=HOST, target=port)
            await proxy.listen(tasks)
            self.store_proxies.append(proxy)
            entry = entries.Entry(
                number=number,
                seed=self._seed,
                ports=ports,
                folder=self._folder,
                store=proxy.port,
                fenced=self.group is None or self.group.tokens,
                evacuates=self.has_evacuations,
            )
            entry.start()
            self.entries.append(entry)

    def close_listeners(self):
        """Accept no connections any more.

        A connection that is accepted once the tasks have ended has no task
        that could serve it.
        """
        for listener in [*self._listeners, *self.proxies()]:
            listener.close()

    async def aclose(self):
        """End every process that was started.

        One that a failed run leaves behind asks at the ports of the next one.
        """
        with anyio.CancelScope(shield=True):
            for entry in self.entries:
                await entry.kill()

    def proxies(self):
        """Return all proxies."""
        return [*self._runner_proxies.values(), *self.store_proxies]

    def make_callers(self):
        """Return the callers."""
        places = [(entry.host, entry.calls) for entry in self.entries]
        return [
            callers.Caller(
                name=f'c{number}',
                draw=self._draw,
                entries=places,
                key=lambda: self._draw.choice(
                    [*self._keys, *self.revoked] or ['none']
                ),
                told=self.told,
            )
            for number in range(CALLERS)
        ]

    def make_ending_caller(self, number):
        """Return a caller whose requests end the endpoints that run them."""
        caller = self.make_callers()[0]
        caller.name = f'ending-{number}'
        path = self._draw.choice(('/safe/', '/stream/', '/once/'))
        if number % 2:
            caller.paths = (f'{path}{runners.ENDS}{number}',)
        else:
            caller.paths = (f'{path}{number}',)
            caller.part = f'{runners.ENDS_BY_PART}{number}'
        key = self._draw.choice(self._keys)
        caller.key = lambda: key
        return caller

    def make_slow_caller(self, number):
        """Return a caller whose bodies and streams take long."""
        caller = self.make_callers()[0]
        caller.name = f'slow-{number}'
        caller.paths = ('/safe/1', '/once/1', '/stream/1', '/stream/long')
        caller.max_body_pause = BODY_PAUSE
        caller.stated = self._timeout
        return caller

    def make_eager_caller(self, number):
        """Return a caller that makes more requests than the others."""
        caller = self.make_callers()[0]
        caller.name = f'eager-{number}'
        caller.paths = ('/safe/1',)
        caller.max_pause = EAGER_PAUSE
        return caller

    def make_ranked_caller(self, number):
        """Return a caller of the endpoints that carry ranks."""
        caller = self.make_callers()[0]
        caller.name = f'ranked-{number}'
        caller.paths = (RANKED_PATH,)
        return caller

    async def lapse(self, draw):
        """Have the entry of a rank's endpoint lapse, and come back."""
        carrier = draw.choice(self.carriers)
        self.store.drop('servers', carrier.identity)
        await anyio.sleep(draw.uniform(0.3, 1.8))
        self.store.put('servers', carrier.identity, carrier.record())

    def partition(self, cut):
        """Cut entries off from the other entries, and no others."""
        hosts = ''.join(f'{entry.host}\n' for entry in cut)
        path = self._folder / entries.PARTITION
        fresh = path.with_suffix('.new')
        fresh.write_text(hosts)
        fresh.rename(path)

    def customer_of(self, key):
        """Return the customer to whom a key belongs."""
        return 'house-' + key.rpartition('-')[2]

    def configure(self):
        """Put a new version of the configuration into the store."""
        self._version += self._draw.randrange(1, 4)
        self.store.put(
            'config',
            'main',
            {
                'Version': self._version,
                'Routes': [
                    self._make_route(*route) for route in self._list_routes()
                ],
                'Services': self._list_services(),
                'Limits': {
                    'MaxHeaderBytes': 16384,
                    'MaxBodyBytes': 1000000,
                    'HeaderTimeoutMs': 3000,
                    'IdleTimeoutMs': 15000,
                },
                'Tenants': [
                    {'Name': self.customer_of(key), 'ApiKeys': [key]}
                    for key in self._keys
                ],
            },
        )

    def find_service(self, path):
        """Return the service that runs the requests of a path."""
        return next(
            service
            for prefix, _, service, _, _ in self._list_routes()
            if path.startswith(prefix)
        )

    def _list_routes(self):
        if self.group is None:
            return ROUTES
        return (*ROUTES, ('/ranked/', 'idempotent', RANKED, 2, False))

    def _list_services(self):
        cold = {}
        if self._has_cold_starts:
            cold = {'ColdStartS': runners.COLD_SECONDS, 'ColdPerS': COLD_RATE}
        plain = [
            {'Name': name, 'MaxConnections': 200, **cold} for name in SERVICES
        ]
        if self.group is None:
            return plain
        ranked = {
            'Name': RANKED,
            'MaxConnections': 200,
            'Engine': ranks.ENGINE,
        }
        return [*plain, ranked]

    async def keep_copies(self):
        """Make a copy of the store each second, until cancelled."""
        while True:
            self.copies = [*self.copies, self.store.copy()][-COPIES:]
            await anyio.sleep(COPY_SECONDS)

    async def restore_store(self, draw):
        """Have the store come back from a copy some seconds old.

        The operator and the endpoints write again what they wrote since;
        entries of endpoints that are no more lapse.
        """
        self.store.away = True
        await anyio.sleep(draw.uniform(0.1, 1.0))
        self.store.restore(draw.choice(self.copies))
        self.copies = [self.store.copy()]
        self.store.away = False
        await anyio.sleep(draw.uniform(0.1, 1.5))
        self.configure()
        self.write_evacuation()
        for runner in [*self.runners, *self.carriers]:
            self.store.put('servers', runner.identity, runner.record())
        for runner in self.all_runners:
            if runner.leaving_since is not None and runner.serves:
                self.store.put('servers', runner.identity, runner.record())
        await anyio.sleep(LAPSE_SECONDS)
        living = {one.identity for one in self.all_runners if one.serves}
        for name in list(self.store.kinds.get('servers', {})):
            if name not in living:
                self.store.drop('servers', name)

    async def evacuate(self):
        """Evacuate a data centre; return once the store has it."""
        while self.store.away:
            await anyio.sleep(0.1)
        self.evacuations.append(Evacuation(begun=anyio.current_time()))
        self.write_evacuation()

    async def withdraw(self):
        """Withdraw the evacuation."""
        while self.store.away:
            await anyio.sleep(0.1)
        self.evacuations[-1].ended = anyio.current_time()
        self.write_evacuation()

    def write_evacuation(self):
        """Write or remove the object by what the operator wants."""
        if self.evacuations and self.evacuations[-1].ended == float('inf'):
            self.store.put('evacuations', EVACUATED, {})
        else:
            self.store.drop('evacuations', EVACUATED)

    def revoke(self, draw):
        """Take a key away; it is not given back."""
        if len(self._keys) > 2:
            key = draw.choice(self._keys)
            self._keys.remove(key)
            self.configure()
            self.revoked[key] = anyio.current_time()

    async def replace_runner(self, draw):
        """Have an endpoint leave, after another one has come."""
        if not self.runners:
            return
        old = draw.choice(self.runners)
        await self._add_runner(old.service)
        self.runners.remove(old)
        old.leaving_since = anyio.current_time()
        self.store.put('servers', old.identity, old.record())
        await anyio.sleep(runners.SERVES_ON)
        old.serves = False
        self.store.drop('servers', old.identity)

    async def end_runner(self, runner):
        """Have an endpoint's process end, and another one start later.

        Its entry stays listed until it has lapsed.
        """
        if runner not in self.runners:
            return
        self.runners.remove(runner)
        runner.serves = False
        self.ended[runner.identity] = anyio.current_time()
        self._runner_proxies.pop(runner.identity).close()
        self._tasks.start_soon(self._restart_runner, runner)

    async def restart_cold(self, draw):
        """Have an endpoint end and start again under its name, cold.

        Each one does so once, so that the time of its end is known.
        """
        free = [one for one in self.runners if one.identity not in self.ended]
        if len(free) < 2:
            return
        runner = draw.choice(free)
        proxy = self._runner_proxies[runner.identity]
        self.ended[runner.identity] = anyio.current_time()
        proxy.close()
        await anyio.sleep(draw.uniform(0.3, 1.5))
        if runner not in self.runners:
            return
        runner.restart()
        await proxy.listen(self._tasks)
        self.store.put('servers', runner.identity, runner.record())

    async def _restart_runner(self, runner):
        await anyio.sleep(DOWN_SECONDS)
        await self._add_runner(runner.service)
        await anyio.sleep(LAPSE_SECONDS - DOWN_SECONDS)
        self.store.drop('servers', runner.identity)

    async def _add_runner(self, service):
        self.runners.append(await self._register(service))

    async def _add_carrier(self, rank):
        self.carriers.append(await self._register(RANKED, rank))

    async def _register(self, service, rank=None):
        """Return a new endpoint that serves and is listed."""
        runner = runners.Runner(
            service=service,
            draw=self._draw,
            runs=self.runs,
            arrivals=self.arrivals,
            on_end=self.end_runner,
            rank=rank,
            zone=self._choose_zone(service),
        )
        listener, runner.port = await objects.serve(
            runner.handle, HOST, 0, self._tasks
        )
        self._listeners.append(listener)
        proxy = proxies.Proxy(host=HOST, target=runner.port)
        await proxy.listen(self._tasks)
        runner.address = f'{HOST}:{proxy.port}'
        self._runner_proxies[runner.identity] = proxy
        self.all_runners.append(runner)
        self.store.put('servers', runner.identity, runner.record())
        return runner

    def _choose_zone(self, service):
        """Return the data centre with the fewest endpoints of a service."""
        zones = [one.zone for one in self.runners if one.service == service]
        names = ['one', EVACUATED] if self.has_evacuations else ['one']
        return min(names, key=zones.count)

    def _make_route(self, prefix, kind, service, attempts, resumes):
        return {
            'Name': prefix.strip('/'),
            'Hostname': 'soak.example',
            'PathPrefix': prefix,
            'RouteKind': kind,
            'TimeoutMs': int(1000.0 * self._timeout),
            'TargetLatencyMs': 400,
            'Priority': 1,
            'Service': service,
            'MaxAttempts': attempts,
            'StreamResume': resumes,
        }


def find_ports():
    """Return ports that are free on all addresses of this machine."""
    names = ('calls', 'ready', 'directory', 'peers')
    held = [socket.socket() for _ in names]
    for one in held:
        one.bind(('', 0))
    found = {name: one.getsockname()[1] for name, one in zip(names, held)}
    for one in held:
        one.close()
    return found


def make_folder():
    """Return a new folder for settings and logs."""
    return pathlib.Path(tempfile.mkdtemp(prefix='soak-'))
