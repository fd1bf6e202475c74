"""Tests of how entries come to know the same suspects, in virtual time.

The load is that of one caller that comes back with a request which ends its
endpoint, each 0.3 s at any of 8 entries, while reports get lost, entries are
cut off from the others and start anew.
"""

import os
import random

import anyio
import pytest
import virtual_time

from marigoldramp.gateway import endpoint_ends
from marigoldramp.gateway import peers
from marigoldramp.gateway import suspect_exchange
from marigoldramp.gateway import suspects

from . import site

pytestmark = pytest.mark.anyio
#: Seconds between two reports of an entry to a peer.
PERIOD = 0.1
#: Seconds of calm after which an entry counts as in touch with the others.
CONTACT = 3.0
#: How often a request may be sent by entries in touch, that long after it has
#: ended three endpoints.
MOST_SENDS = 3
DELAY = 0.002
#: Schedules of faults that are tried; `make test-long` tries more.
SEEDS = 50 if os.environ.get('HYPOTHESIS_PROFILE') == 'long' else 3


@pytest.fixture
def anyio_backend():
    return virtual_time.make_backend()


class Peers:
    """The peers that one entry hears."""

    def __init__(self, entry, network):
        self._entry = entry
        self._network = network

    def live(self):
        return [
            other.peer
            for other in self._network.entries
            if other is not self._entry
            and self._network.reaches(self._entry, other)
        ]


class Entry:
    """What one entry knows of suspects, and its reports."""

    def __init__(self, name, network):
        self.name = name
        self.network = network
        self.cut_until = float('-inf')
        self.fetches = 0
        self.peer = peers.Peer(
            instance=name, host='h', port=1, known_since=0.0, live=True
        )
        self._scope = anyio.CancelScope()
        self.start()

    def start(self):
        """Start with nothing known."""
        self.suspects = suspects.Suspects(
            is_prober=lambda fingerprint: self.name
            == suspects.choose_prober(
                fingerprint, [one.name for one in self.network.entries]
            ),
            on_block=lambda fingerprint: None,
            clock=virtual_time.now,
        )
        self.exchange = suspect_exchange.SuspectExchange(
            known=self.suspects,
            peers=Peers(self, self.network),
            fetch=self._fetch,
            send_reports_now=self._report_soon,
            clock=virtual_time.now,
        )
        self.peer.report = None
        self._scope.cancel()
        self._scope = anyio.CancelScope()
        self.network.tasks.start_soon(self._ask, self._scope)

    def end(self, endpoint, *fingerprints):
        """Note that an endpoint has ended."""
        self.suspects.note_end(
            endpoint_ends.End(
                start=endpoint_ends.Start(identity=endpoint, born=0),
                service='notes',
                fingerprints=fingerprints,
            )
        )
        for fingerprint in fingerprints:
            self.exchange.note_change(fingerprint)

    def report(self):
        """Report to all peers, as far as reports arrive."""
        report = site.make_report(
            self.name, suspect_news=self.exchange.make_update()
        )
        self.peer.report = report
        for other in self.network.entries:
            if other is not self and self.network.delivers(self, other):
                self.network.tasks.start_soon(self._deliver, other, report)

    async def run(self):
        """Report until cancelled."""
        while True:
            await anyio.sleep(PERIOD)
            self.suspects.refresh()
            self.report()

    async def _ask(self, scope):
        with scope:
            await self.exchange.run()

    async def _deliver(self, other, report):
        await anyio.sleep(DELAY)
        other.exchange.handle_report(report)

    def _report_soon(self):
        self.network.tasks.start_soon(self._report_now)

    async def _report_now(self):
        self.report()

    async def _fetch(self, peer):
        self.fetches += 1
        await anyio.sleep(DELAY)
        for other in self.network.entries:
            if other.peer is peer and self.network.reaches(self, other):
                return other.exchange.list_all()
        return None


class Network:
    """Entries that report to each other."""

    def __init__(self, tasks, count, seed=1, loss=0.0):
        self.tasks = tasks
        self.random = random.Random(seed)
        self.loss = loss
        self.cut = set()
        self.entries = []
        for number in range(count):
            self.entries.append(Entry(f'entry-{number}', self))
        for entry in self.entries:
            tasks.start_soon(entry.run)

    def reaches(self, one, other):
        return (one in self.cut) == (other in self.cut)

    def delivers(self, one, other):
        return self.reaches(one, other) and self.random.random() >= self.loss

    def knowing(self, fingerprint, verdict=suspects.Blocked):
        return sum(
            isinstance(entry.suspects.decide(fingerprint), verdict)
            for entry in self.entries
        )


@pytest.mark.parametrize(
    ('seconds', 'knowing'),
    [(0.01, 0), (suspects.PEER_REPORT_SECONDS + 0.01, 12)],
)
async def test_all_know_within_a_tenth_of_a_second(seconds, knowing):
    async with anyio.create_task_group() as tasks:
        network = Network(tasks, 12)
        network.entries[0].end('i-1', 'a')
        network.entries[1].end('i-2', 'a')
        await anyio.sleep(seconds)
        assert network.knowing('a') == knowing
        assert network.knowing('a', suspects.Allowed) == 0
        tasks.cancel_scope.cancel()


async def test_request_that_is_answered_anywhere_is_cleared_everywhere():
    async with anyio.create_task_group() as tasks:
        network = Network(tasks, 12)
        network.entries[0].end('i-1', 'a')
        await anyio.sleep(0.05)
        network.entries[5].suspects.note_answer('a')
        network.entries[5].exchange.note_change('a')
        await anyio.sleep(0.05)
        assert network.knowing('a', suspects.Allowed) == 12
        tasks.cancel_scope.cancel()


@pytest.mark.parametrize('learns', ['those cut off', 'the others', 'both'])
async def test_word_that_was_not_heard_is_fetched(learns):
    """After a partition some entries send on what others have blocked.

    Sequence: four of twelve entries are cut off for longer than reports tell
    of an end.  A request ends two endpoints meanwhile.
    """
    async with anyio.create_task_group() as tasks:
        network = Network(tasks, 12)
        network.cut.update(network.entries[:4])
        if learns != 'the others':
            network.entries[0].end('i-1', 'a')
            network.entries[0].end('i-2', 'a')
        if learns != 'those cut off':
            network.entries[9].end('i-3', 'a', 'b')
            network.entries[9].end('i-4', 'a')
        await anyio.sleep(suspect_exchange.REPORTING_SECONDS + 1.0)
        network.cut.clear()
        await anyio.sleep(suspect_exchange.MIN_DIFFERENCE_SECONDS + 0.5)
        assert network.knowing('a') == 12
        await anyio.sleep(10.0)
        digests = {str(one.suspects.digest()) for one in network.entries}
        assert len(digests) == 1
        # All ask once or twice, and nobody asks for ever.
        assert max(one.fetches for one in network.entries) <= 4
        tasks.cancel_scope.cancel()


async def test_entry_that_starts_asks_one_and_is_asked_by_none():
    """All entries ask an entry that has just started what it knows."""
    async with anyio.create_task_group() as tasks:
        network = Network(tasks, 12)
        network.entries[0].end('i-1', 'a')
        network.entries[0].end('i-2', 'a')
        await anyio.sleep(suspect_exchange.REPORTING_SECONDS + 1.0)
        network.entries[0].start()
        await anyio.sleep(0.35)
        assert network.knowing('a') == 12
        await anyio.sleep(5.0)
        assert [one.fetches for one in network.entries] == [1] + [0] * 11
        tasks.cancel_scope.cancel()


class Caller:
    """A caller that comes back with a request, and what it costs.

    :ivar sends: when it was sent, by whether its entry was in touch.
    """

    def __init__(self, network):
        self.network = network
        self.ends = []
        self.sends = []
        self.refused = 0

    async def run(self, seconds):
        end = virtual_time.now() + seconds
        async with anyio.create_task_group() as tasks:
            while virtual_time.now() < end:
                for _ in range(self.network.random.choice([1, 1, 1, 3])):
                    entry = self.network.random.choice(self.network.entries)
                    tasks.start_soon(self.ask, entry)
                await anyio.sleep(self.network.random.uniform(0.05, 0.6))

    async def ask(self, entry):
        """Ask one entry once; a place is free at once."""
        known = entry.suspects
        while isinstance(known.decide('a'), suspects.Undecided):
            await anyio.sleep(suspects.PEER_REPORT_SECONDS / 4.0)
        if isinstance(known.decide('a'), suspects.Blocked):
            self.refused += 1
            return
        known.begin('a')
        now = virtual_time.now()
        if now - entry.cut_until > CONTACT:
            self.sends.append(now)
        await anyio.sleep(self.network.random.uniform(0.01, 0.2))
        known.finish('a')
        self.ends.append(virtual_time.now())
        entry.end(f'i-{len(self.ends)}', 'a')

    def late_sends(self):
        """Return the sends that count against the bound."""
        if len(self.ends) < 3:
            return []
        third = sorted(self.ends)[2]
        return [at for at in self.sends if at > third + CONTACT]


async def disturb(network, kinds):
    """Cut entries off and start them anew, again and again."""
    while True:
        await anyio.sleep(network.random.uniform(0.5, 4.0))
        some = network.random.sample(
            network.entries, network.random.randint(1, 5)
        )
        match network.random.choice(kinds):
            case 'cut':
                network.cut.update(some)
                await anyio.sleep(network.random.uniform(0.1, 6.0))
                network.cut.clear()
                for entry in some:
                    entry.cut_until = virtual_time.now()
            case 'restart':
                for entry in some:
                    entry.start()
                    entry.cut_until = virtual_time.now()


@pytest.mark.parametrize('seed', range(SEEDS))
@pytest.mark.parametrize(
    ('loss', 'kinds'),
    [
        (0.0, ()),
        (0.3, ()),
        (0.05, ('cut',)),
        (0.05, ('restart',)),
        (0.2, ('cut', 'restart')),
    ],
)
async def test_request_that_comes_back_ends_few_endpoints(loss, kinds, seed):
    """One request ends an endpoint at each entry that it reaches.

    Whatever happens to reports and entries meanwhile, it is sent three times
    more at most by entries that were in touch, once all could know of the
    third end.
    """
    async with anyio.create_task_group() as tasks:
        network = Network(tasks, 8, seed=seed, loss=loss)
        caller = Caller(network)
        if kinds:
            tasks.start_soon(disturb, network, kinds)
        await caller.run(45.0)
        tasks.cancel_scope.cancel()
    assert caller.refused > 50
    assert len(caller.late_sends()) <= MOST_SENDS
