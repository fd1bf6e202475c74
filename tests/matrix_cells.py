"""One cell of the matrix: a call, its faults, and what must hold."""

import dataclasses
import itertools

import anyio
import matrix_caller
import matrix_clock
import matrix_faults

from marigoldramp import outcomes
from marigoldramp_standins import site as site_module
from marigoldramp_standins import site_layout

KINDS = ('bound key', 'own key', 'idempotent', 'stream')
ONCE = ('bound key', 'own key')
#: Rounds of the event loop in which released bytes reach their ends.
ROUNDS = 40
PATIENCE = 60.0
_numbers = itertools.count()
LATER_SECONDS = 5.0
QUICK = {'silence': 0.1}
SHORT = {'resume_seconds': 0.3, 'overtime': 2.0}


@dataclasses.dataclass(kw_only=True)
class Cell:
    """What a cell has seen.

    :ivar heard: final answers in the order of the caller's requests.
    :ivar landed: the faults that came about.
    """

    kind: str
    landed: list = dataclasses.field(default_factory=list)
    heard: list = dataclasses.field(default_factory=list)
    checks: int = 0

    def check(self, holds, what):
        self.checks += 1
        assert holds, f'{what}; heard {self.heard}'

    @property
    def outcome(self):
        """How the caller fared until its deadline, retry included."""
        if any(isinstance(one, matrix_caller.Whole) for one in self.heard[:2]):
            return 'answered'
        refusals = [
            one.refusal
            for one in self.heard[:2]
            if isinstance(one, matrix_caller.Refused)
        ]
        if refusals and isinstance(refusals[-1], outcomes.NotRun):
            return 'not run'
        return 'unknown'


def make_layout(kind, **entry):
    return site_layout.Layout(
        service=site_layout.CHAT if kind == 'stream' else site_layout.LEDGER,
        entry={**QUICK, **entry},
        agent=SHORT,
        clock=matrix_clock.now,
        fleet_key=b'key of site %d of this run' % next(_numbers),
    )


def make_ask(site, kind, name, agent=0):
    """Return a request; a bound key is one of that agent.

    The request names its site.  A site that runs beside it can be given a
    port that it frees; a stray run there would else count as a second one.
    """
    name = f'{name} at {site.doors[0].port}'
    match kind:
        case 'stream':
            return matrix_caller.Ask(
                path='/v1/chat/completions',
                body=matrix_caller.write_chat(name),
            )
        case 'idempotent':
            return matrix_caller.Ask(
                path='/quotes/q', body=matrix_caller.write_order(name)
            )
    key = f'own {name}'
    if kind == 'bound key':
        key = matrix_caller.bind(site, agent)
    return matrix_caller.Ask(
        path='/ledger/pay',
        body=matrix_caller.write_order(name),
        key=key,
        first=True,
    )


async def run_cell(kind, landings):
    """Run a call with faults that land at steps; return the cell.

    :param landings: pairs of a step and a fault.
    """
    cell = Cell(kind=kind)
    with anyio.fail_after(PATIENCE):
        async with site_module.open_site(make_layout(kind)) as site:
            await _Run(cell, site, landings).run()
    return cell


class _Run:
    def __init__(self, cell, site, landings):
        self.cell = cell
        self.site = site
        self.landings = landings
        self.lost = anyio.Event()

    async def run(self):
        site, cell = self.site, self.cell
        ask = make_ask(site, cell.kind, 'call')
        await self._prepare()
        first = await self._send_first(ask)
        if _refused(first, outcomes.NotRun):
            await self._release()
            self._check_unrun(ask, first)
        retry = self._retry(ask, first)
        cell.heard.append(await matrix_caller.send(retry, self._door(1)))
        self._check_heard(retry, first)
        await self._release()
        # The retry has a key of its own if the call was told "not run".
        if _refused(cell.heard[1], outcomes.NotRun):
            self._check_unrun(retry, cell.heard[1])
        repeats = {'duplicate', 'reorder'}
        if len(self.landings) == 1 and repeats & set(cell.landed):
            cell.check(matrix_faults.came_twice(site), 'no bytes came twice')
        await self._check_once(ask)
        self._check_answers()
        await self._check_unharmed()

    def _door(self, number):
        return self.site.doors[number].port

    async def _prepare(self):
        """Set the faults off at their steps."""
        for step, fault in self.landings:
            if fault.name == 'reorder':
                await matrix_faults.hold_first_attempt(self.site)
            if step == matrix_faults.BEFORE:
                await self._land(fault)
            else:
                self.site.at(step, lambda _, fault=fault: self._land(fault))

    async def _land(self, fault):
        self.cell.landed.append(fault.name)
        await fault.land(self.site)
        if fault.loses_caller:
            self.lost.set()

    async def _send_first(self, ask):
        """Return the final answer, or nothing if none can come any more."""
        heard = []

        async def send():
            heard.append(await matrix_caller.send(ask, self._door(0)))
            self.lost.set()

        async with anyio.create_task_group() as group:
            group.start_soon(send)
            await self.lost.wait()
            if not heard:
                # The caller's time passes; then it asks elsewhere.
                await anyio.sleep(ask.seconds)
            group.cancel_scope.cancel()
        self.site.go_on.set()
        first = heard[0] if heard else None
        self.cell.heard.append(first)
        self._check_heard(ask, first)
        return first

    def _retry(self, ask, first):
        if ask.key and not _refused(first, outcomes.NotRun):
            return dataclasses.replace(ask, first=False)
        if isinstance(first, matrix_caller.Cut) and first.body:
            return dataclasses.replace(
                ask,
                resume=first.headers[b'marigoldramp-resume'].decode(),
                received=len(first.body),
            )
        return make_ask(self.site, self.cell.kind, 'again', agent=1)

    def _check_heard(self, ask, first):
        """A whole answer is the caller's own; else an error is explicit."""
        heard, check = self.cell.heard[-1], self.cell.check
        match heard:
            case matrix_caller.Whole(body=body):
                if ask.resume:
                    body = first.body + body
                check(heard.status == 200, 'the status is the own one')
                check(matrix_caller.is_own(ask, body), 'own whole answer')
            case matrix_caller.Cut(body=body):
                lost = {'entry killed', 'caller connection closed'}
                excused = lost & set(self.cell.landed)
                check(excused or body, 'a cut without an explicit error')
                check(
                    excused or self.cell.kind != 'stream',
                    'a stream ended without an error event',
                )

    def _check_unrun(self, ask, refused):
        if self.cell.kind == 'stream':
            runs = matrix_caller.count_streams(self.site, refused.call)
        else:
            runs = matrix_caller.count_runs(self.site, ask)
        self.cell.check(runs == 0, 'told "not run", and it ran')

    async def _check_once(self, ask):
        """The key runs at most once, also when it is asked about again."""
        if not ask.key:
            return
        again = dataclasses.replace(ask, first=False, seconds=LATER_SECONDS)
        door = 0 if self.site.entries[0].alive else 1
        heard = await matrix_caller.send(again, self._door(door))
        runs = matrix_caller.count_runs(self.site, ask)
        self.cell.heard.append(heard)
        self._check_heard(ask, None)
        self.cell.check(runs <= 1, f'ran {runs} times')
        if _refused(heard, outcomes.NotRun):
            self._check_unrun(ask, heard)

    def _check_answers(self):
        """No request got two answers, none that was served got nothing."""
        for entry in self.site.entries:
            for taken in entry.taken:
                self.cell.check(taken.starts <= 1, 'two answers begun')
                self.cell.check(taken.ends <= 1, 'two answers ended')

    async def _check_unharmed(self):
        """A later call through the same entry is answered whole."""
        await self.site.heal()
        ask = dataclasses.replace(
            make_ask(self.site, self.cell.kind, 'later'),
            seconds=LATER_SECONDS,
        )
        self.cell.heard.append(await matrix_caller.send(ask, self._door(0)))
        self._check_heard(ask, None)
        self.cell.check(
            isinstance(self.cell.heard[-1], matrix_caller.Whole),
            'a later call was harmed',
        )

    async def _release(self):
        """End the faults and wait until nothing of the call is left."""
        self.site.release()
        await let_bytes_arrive()
        while self.site.busy:
            await anyio.sleep(0.01)
        await let_bytes_arrive()


async def let_bytes_arrive():
    """Let what was released come to its end."""
    for _ in range(ROUNDS):
        await anyio.sleep(0)


def _refused(heard, kind):
    return isinstance(heard, matrix_caller.Refused) and isinstance(
        heard.refusal, kind
    )
