"""Gateways that exchange suspects over a faulty network, in virtual time."""

import random

import anyio
import virtual_time

from marigoldramp.gateway import endpoint_ends
from marigoldramp.gateway import peers
from marigoldramp.gateway.shared_state import suspect_exchange
from marigoldramp.gateway.shared_state import suspects

from . import site

#: Seconds between two reports of a gateway to a peer.
REPORT_INTERVAL_SECONDS = 0.1
#: Seconds that a report or a fetch takes.
DELAY_SECONDS = 0.002


class Peers:
    """The peers that one gateway can reach."""

    def __init__(self, gateway, network):
        self._gateway = gateway
        self._network = network

    def live(self):
        return [
            other.peer
            for other in self._network.gateways
            if other is not self._gateway
            and self._network.can_reach(self._gateway, other)
        ]


class Gateway:
    """A gateway with its suspects and its reports."""

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
        """Start, or restart, without any suspects."""
        self.suspects = suspects.Suspects(
            is_prober=lambda fingerprint: self.name
            == suspects.choose_prober(
                fingerprint, [one.name for one in self.network.gateways]
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
        self.network.tasks.start_soon(self._run_exchange, self._scope)

    def end(self, endpoint, *fingerprints):
        """Record that an endpoint has ended."""
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
        """Send a report to all peers; some may not receive it."""
        report = site.make_report(
            self.name, suspect_news=self.exchange.make_update()
        )
        self.peer.report = report
        for other in self.network.gateways:
            if other is not self and self.network.delivers(self, other):
                self.network.tasks.start_soon(self._deliver, other, report)

    async def run(self):
        """Report until cancelled."""
        while True:
            await anyio.sleep(REPORT_INTERVAL_SECONDS)
            self.suspects.refresh()
            self.report()

    async def _run_exchange(self, scope):
        with scope:
            await self.exchange.run()

    async def _deliver(self, other, report):
        await anyio.sleep(DELAY_SECONDS)
        other.exchange.handle_report(report)

    def _report_soon(self):
        self.network.tasks.start_soon(self._report_now)

    async def _report_now(self):
        self.report()

    async def _fetch(self, peer):
        self.fetches += 1
        await anyio.sleep(DELAY_SECONDS)
        for other in self.network.gateways:
            if other.peer is peer and self.network.can_reach(self, other):
                return other.exchange.list_all()
        return None


class Network:
    """Gateways that report to each other over a faulty network."""

    def __init__(self, tasks, count, seed=1, loss=0.0):
        self.tasks = tasks
        self.random = random.Random(seed)
        self.loss = loss
        self.cut = set()
        self.gateways = []
        for number in range(count):
            self.gateways.append(Gateway(f'entry-{number}', self))
        for gateway in self.gateways:
            tasks.start_soon(gateway.run)

    def can_reach(self, one, other):
        return (one in self.cut) == (other in self.cut)

    def delivers(self, one, other):
        return self.can_reach(one, other) and self.random.random() >= self.loss

    def count_decisions(self, fingerprint, decision=suspects.Blocked):
        return sum(
            isinstance(gateway.suspects.decide(fingerprint), decision)
            for gateway in self.gateways
        )


async def disturb(network, kinds):
    """Cut off or restart some gateways at random times, until cancelled."""
    while True:
        await anyio.sleep(network.random.uniform(0.5, 4.0))
        some = network.random.sample(
            network.gateways, network.random.randint(1, 5)
        )
        match network.random.choice(kinds):
            case 'cut':
                network.cut.update(some)
                await anyio.sleep(network.random.uniform(0.1, 6.0))
                network.cut.clear()
                for gateway in some:
                    gateway.cut_until = virtual_time.now()
            case 'restart':
                for gateway in some:
                    gateway.start()
                    gateway.cut_until = virtual_time.now()
