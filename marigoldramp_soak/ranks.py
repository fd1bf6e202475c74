"""Stand-in of a group of ranks in lock-step, which endpoints carry.

Its reports lag, and orders may be lost, obeyed without a reply or obeyed
seconds later.  Each pass in which ranks use different maps is noted.
"""

import collections
import json
import urllib.parse

import anyio
import httpcore

NAME = 'soak-0'
PATH = '/marigoldramp/'
SIZE = 4
LAYERS = 2
EXPERTS = 16
PLACES = 6
SPARE = 2
HOT = 3
HOT_COUNT = 12
PASS_SECONDS = 0.03
LAG_SECONDS = 0.2
COPY_SECONDS = 0.12
MOST_LATE = 8.0
JSON = (b'content-type', b'application/json')
#: Figures of the engine, as the configuration states them.
ENGINE = {
    'Slots': 6,
    'Stride': 6,
    'step_ms': 4.8,
    'per_seq_ms': 0.7,
    'read_per_s': 70000.0,
    'usual': {'prompt': 800, 'answer': 150},
    'Sets': LAYERS,
    'Experts': EXPERTS,
    'Placements': PLACES,
    'Spare': SPARE,
    'ExpertMb': 1000.0,
    'LinkMbps': 180000.0,
    'ExpertShare': 0.85,
}


class Group:
    """Ranks in lock-step.

    :param tokens: ranks refuse a lower token than they have obeyed.
    :ivar lost_share: share of the orders that get no reply.
    :ivar idle: it makes no passes.
    :ivar mixed: passes in which ranks used different maps.
    :ivar passes: when each pass began.
    :ivar changes: how often a map has come into force.
    """

    def __init__(self, *, draw, tokens):
        self.tokens = tokens
        self.step = 0
        self.lost_share = 0.0
        self.idle = False
        self.mixed = []
        self.passes = []
        self.changes = 0
        self.draw = draw
        self.tasks = None
        self.hot = ()
        self.ranks = [Rank(group=self, number=one) for one in range(SIZE)]
        self._reports = collections.deque(maxlen=20)
        self.shift()

    def shift(self):
        """Have other experts in demand."""
        self.hot = tuple(
            tuple(self.draw.sample(range(EXPERTS), HOT)) for _ in range(LAYERS)
        )

    async def run(self, tasks):
        """Make passes until cancelled."""
        self.tasks = tasks
        while True:
            now = anyio.current_time()
            reports = [rank.report() for rank in self.ranks]
            self._reports.append((now, reports))
            if not self.idle:
                self._try_pass()
            await anyio.sleep(PASS_SECONDS)

    def find_report(self, number):
        """Return what a rank reports, which is some moments old."""
        until = anyio.current_time() - LAG_SECONDS
        found = self._reports[0][1]
        for at, reports in self._reports:
            if at <= until:
                found = reports
        return found[number]

    def _try_pass(self):
        coming = self.step + 1
        if any(rank.held == coming for rank in self.ranks):
            return
        self.step = coming
        self.passes.append(anyio.current_time())
        for rank in self.ranks:
            rank.begin_pass(coming)
        used = {rank.version for rank in self.ranks}
        if len(used) > 1:
            self.mixed.append(f'pass {coming}: maps {sorted(used)}')


class Rank:
    """One rank; the endpoint that carries it hands requests on.

    :ivar highest: the newest version that it was told to prepare.
    :ivar armed: version and step, ``None`` if nothing is armed.
    """

    def __init__(self, *, group, number):
        self.version = 0
        self.held = None
        self._group = group
        self._number = number
        self._highest = 0
        self._prepared = None
        self._ready_at = 0.0
        self._armed = None
        self._token = 0
        self._sequence = 0
        self._lists = {0: [list(range(number, EXPERTS, SIZE))] * LAYERS}
        self._counts = [0] * (LAYERS * EXPERTS)

    def begin_pass(self, step):
        """Count what requests choose; take an armed map if it is time."""
        if self._armed is not None and self._armed[1] == step:
            self.version = self._armed[0]
            self._armed = None
            self._prepared = None
            self._group.changes += self._number == 0
        for layer, hot in enumerate(self._group.hot):
            for expert in range(EXPERTS):
                chosen = HOT_COUNT if expert in hot else 1
                self._counts[layer * EXPERTS + expert] += chosen

    def report(self):
        """Return the rank's state."""
        ready = anyio.current_time() >= self._ready_at
        armed = self._armed
        return {
            'group': {
                'Name': NAME,
                'epoch': 1,
                'rank': self._number,
                'State': 'open',
            },
            'size': SIZE,
            'step': self._group.step,
            'Sequence': self._sequence,
            'ExpertMap': self.version,
            'Prepared': self._prepared if ready else None,
            'Armed': armed and {'Version': armed[0], 'step': armed[1]},
            'held': self.held,
        }

    async def handle(self, exchange):
        """Answer a question or an order."""
        query = urllib.parse.parse_qs(exchange.head.query)
        match exchange.head.path.removeprefix(PATH):
            case 'report':
                await self._tell(
                    exchange, self._group.find_report(self._number)
                )
            case 'picked' if 'Lists' in query:
                lists = {
                    'Version': self.version,
                    'Experts': self._lists[self.version],
                }
                await self._tell(exchange, {'ExpertMap': lists})
            case 'picked':
                counted = {
                    'step': self._group.step,
                    'epoch': 1,
                    'Counts': self._counts,
                }
                await self._tell(exchange, counted)
            case 'order':
                await self._take(exchange)
            case _:
                await exchange.respond(status=404, headers=[], body=b'')

    async def _tell(self, exchange, value):
        body = json.dumps(value).encode()
        await exchange.respond(status=200, headers=[JSON], body=body)

    async def _take(self, exchange):
        order = json.loads(
            await exchange.read_body(max_bytes=1 << 20, seconds=5.0)
        )
        draw = self._group.draw
        if draw.random() >= self._group.lost_share:
            status = self._obey(order)
            await exchange.respond(status=status, headers=[JSON], body=b'{}')
            return
        delay = draw.choice([None, 0.0, draw.uniform(0.3, MOST_LATE)])
        if delay is not None:
            self._group.tasks.start_soon(self._obey_late, order, delay)
        await anyio.sleep(1.0)
        raise httpcore.ReadError('the reply is lost')

    async def _obey_late(self, order, delay):
        await anyio.sleep(delay)
        self._obey(order)

    def _obey(self, order):
        """Carry an order out; return the status of the reply."""
        if self._group.tokens and order['FencingToken'] < self._token:
            return 412
        if order['epoch'] != 1:
            return 409
        if not self._carry_out(order):
            return 409
        self._token = max(self._token, order['FencingToken'])
        self._sequence += 1
        return 200

    def _carry_out(self, order):
        match order:
            case {'Operation': 'prepare', 'Version': version}:
                return self._prepare(version, order['ExpertMap'])
            case {'Operation': 'arm', 'Version': version, 'step': step}:
                return self._arm(version, step)
            case {'Operation': 'disarm', 'Version': version}:
                if self._armed is not None and self._armed[0] == version:
                    self._armed = None
                return version != self.version
            case {'Operation': 'Hold', 'step': step}:
                return self._hold(step)
            case {'Operation': 'go', 'step': step}:
                if self.held == step:
                    self.held = None
                return True
        return False

    def _prepare(self, version, layers):
        if self._prepared == version:
            return True
        if version <= self._highest or self._armed is not None:
            return False
        self._highest = self._prepared = version
        self._ready_at = anyio.current_time() + COPY_SECONDS
        self._lists[version] = [layer[self._number] for layer in layers]
        return True

    def _arm(self, version, step):
        if self._armed == (version, step):
            return True
        ready = anyio.current_time() >= self._ready_at
        if self._prepared != version or not ready or step <= self._group.step:
            return False
        self._armed = (version, step)
        return True

    def _hold(self, step):
        if self.held == step:
            return True
        if self.held is not None or step <= self._group.step:
            return False
        self.held = step
        return True
