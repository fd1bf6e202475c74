"""Property test of endpoint selection under backoff and shutdown signals.

Runs responses with these signals, changes of endpoint records, outages of the
store and advances of the clock in any order.  Guards against requests to an
endpoint that is in backoff or has reported its shutdown, and against rate
limits that are lost or outlast their process.
"""

import random
import types

from hypothesis import stateful
from hypothesis import strategies

from marigoldramp.gateway.balancing import endpoints
from marigoldramp.gateway import codecs
from marigoldramp.gateway import deployment
from marigoldramp.gateway import endpoint_signals
from marigoldramp.gateway import presence
from marigoldramp.gateway import store_outages
from marigoldramp import metrics

from . import rate_limit_fleet

IDENTITIES = strategies.sampled_from(['i-1', 'i-2'])
METRICS = metrics.create_local(instance='entry-1')
CALL = types.SimpleNamespace(
    facts=types.SimpleNamespace(attempt_id='a1'), sends=1, sent_at=0.0
)


class EndpointSignalsMachine(stateful.RuleBasedStateMachine):
    """Compares the endpoint table with a model of the signals received.

    The model identifies each process of an endpoint by ``(identity, born)``.
    """

    def __init__(self):
        super().__init__()
        self.now = 100.0
        self.latest_born = {}
        self.backoff_until = {}
        self.leaving = set()
        self.rates = {}
        self.table = endpoints.EndpointTable(
            data_centre='one', random=random.Random(1)
        )
        self.outages = store_outages.StoreOutages(clock=lambda: self.now)
        self.presence = presence.Presence(
            table=self.table,
            outages=self.outages,
            clock=lambda: self.now,
            on_gone=lambda _: None,
            on_restart=lambda _: None,
        )
        self.signals = endpoint_signals.EndpointSignals(
            clock=lambda: self.now,
            metrics=METRICS,
            on_leaving=self.presence.note_leaving,
            shares=rate_limit_fleet.make_shares(
                self.table, clock=lambda: self.now
            ),
        )

    @stateful.rule(identity=IDENTITIES, written=strategies.booleans())
    def register(self, identity, written):
        """Report the record of the current process, from a watch or a list."""
        born = self.latest_born.setdefault(identity, 1)
        self._put(make_record(identity, born), written)

    @stateful.rule(identity=IDENTITIES)
    def restart(self, identity):
        """Restart an endpoint under the same identity."""
        self.latest_born[identity] = self.latest_born.get(identity, 0) + 1
        self.register(identity, True)

    @stateful.rule(identity=IDENTITIES)
    def list_stale_record(self, identity):
        """Report the record of the previous process, from an outdated list."""
        born = self.latest_born.get(identity, 1) - 1
        if born > 0:
            self._put(make_record(identity, born), False)

    @stateful.rule(identity=IDENTITIES)
    def lapse(self, identity):
        """Remove an endpoint's record from the store."""
        self.presence.note_unlisted(identity, revision=1)

    @stateful.rule()
    def answer_store_call(self):
        """Report that the store answered a request, maybe after long."""
        self.outages.note_answer()

    @stateful.rule(seconds=strategies.floats(0.01, 3.0))
    def wait(self, seconds):
        """Advance the clock and remove endpoints whose records lapsed."""
        self.now += seconds
        self.presence.remove_lapsed()

    @stateful.rule(
        identity=IDENTITIES,
        backoff=strategies.sampled_from([0.0, 0.5, 4.0, 30.0]),
        leaving=strategies.booleans(),
        rate=strategies.sampled_from([0.0, 0.5, 3.0]),
    )
    def answer(self, identity, backoff, leaving, rate):
        """Receive a response to a request that was sent earlier."""
        endpoint = self.table.find(identity)
        if endpoint is None:
            return
        start = identity, endpoint.record.born
        self.backoff_until[start] = max(
            self.backoff_until.get(start, 0.0), self.now + backoff
        )
        if leaving:
            self.leaving.add(start)
        if rate:
            # All requests were sent before the first response, so none shows
            # that a limit has ended or risen.
            known = self.rates.get(start, rate)
            self.rates[start] = min(known, rate)
        self.signals.note_answer(
            call=CALL,
            endpoint=endpoint,
            facts=codecs.AnswerFacts(
                attempt_id='a1',
                signed=True,
                not_run=False,
                has_unrequested_encoding=False,
                leaving=leaving,
                retry_after=backoff,
                rate_limit=rate,
            ),
        )

    @stateful.invariant()
    def open_endpoints_accept_requests(self):
        """No open endpoint is in backoff or shutting down."""
        for endpoint in self.table:
            if not endpoint.is_open(now=self.now):
                continue
            start = endpoint.identity, endpoint.record.born
            assert start not in self.leaving
            assert self.now >= self.backoff_until.get(start, 0.0)

    @stateful.invariant()
    def endpoints_keep_the_limits_they_named(self):
        """Each process has the limit that it named, and no other one."""
        for endpoint in self.table:
            start = endpoint.identity, endpoint.record.born
            assert endpoint.rate_limit.named_rate == self.rates.get(start, 0.0)

    def _put(self, record, written):
        if written:
            self.presence.put_written(record)
        else:
            self.presence.put_listed(record)


def make_record(identity, born):
    """Return the record of one process of an endpoint."""
    return deployment.EndpointRecord(
        identity=identity,
        service='notes',
        host='h',
        port=1,
        data_centre='one',
        slots=4,
        leaving=False,
        born=born,
    )


TestEndpointSignals = EndpointSignalsMachine.TestCase


def test_backoff_outlasts_its_record():
    """Guards against a backoff that is lost when a record lapses."""
    table = endpoints.EndpointTable(data_centre='one', random=random.Random(1))
    table.put(make_record('i-1', 1))
    table.find('i-1').note_backoff(seconds=3.0, now=100.0)
    table.remove('i-1')
    table.put(make_record('i-1', 1))
    assert not table.find('i-1').is_open(now=102.9)
    assert table.find('i-1').is_open(now=103.0)
    table.put(make_record('i-1', 2))
    assert table.find('i-1').is_open(now=102.9)
