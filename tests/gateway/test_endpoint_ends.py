"""Tests of detecting ended endpoints and the requests they were running."""

import random

import anyio
import pytest
import virtual_time

from marigoldramp.gateway.balancing import endpoints
from marigoldramp.gateway import endpoint_ends
from marigoldramp.gateway import outbound
from marigoldramp import metrics

from . import site

pytestmark = pytest.mark.anyio
REFUSED = outbound.Unreached(detail='refused', refused=True)
SILENT = outbound.Unreached(detail='no connection in time')


@pytest.fixture
def anyio_backend():
    return virtual_time.make_backend()


class Accepted(outbound.Connection):
    """An accepted connection, which is reset unless it is stable."""

    def __init__(self, is_stable=True):
        self.is_stable = is_stable

    async def stays_open(self, seconds):
        return self.is_stable


class FakePort:
    """The identity and port of an endpoint."""

    def __init__(self, port):
        self.identity = 'i-1'
        self.port = port


class FakeCall:
    """The part of a call that the detector reads."""

    def __init__(self, fingerprint):
        self.fingerprint = fingerprint
        self.parts = ()


class DetectorSite:
    """A detector with one endpoint, and the ends that it reports."""

    def __init__(self, *answers, **more):
        self.answers = list(answers or [REFUSED])
        self.checks = 0
        self.ends = []
        self.table = endpoints.EndpointTable(
            data_centre='one', random=random.Random(1)
        )
        self.table.put(site.make_record(FakePort(1), **more))
        self.endpoint = self.table.find('i-1')
        self.detector = endpoint_ends.EndDetector(
            open_connection=self._open,
            on_end=self.ends.append,
            metrics=metrics.create_local(instance='m'),
            clock=virtual_time.now,
        )

    async def _open(self, address, seconds):
        self.checks += 1
        await anyio.sleep(0.001)
        if len(self.answers) > 1:
            return self.answers.pop(0)
        return self.answers[0]

    def begin(self, *fingerprints):
        return [
            self.detector.begin(FakeCall(one), self.endpoint)
            for one in fingerprints
        ]

    async def lose_all(self, runs):
        async with anyio.create_task_group() as tasks:
            for run in runs:
                tasks.start_soon(self.detector.note_break, run)

    @property
    def reported(self):
        return sorted(one for end in self.ends for one in end.fingerprints)


@pytest.mark.parametrize(
    ('answer', 'ended'),
    [(REFUSED, True), (SILENT, False), (Accepted(), False)],
    ids=['refused', 'silent', 'accepted'],
)
async def test_only_a_refused_connection_proves_an_end(answer, ended):
    """Guards against treating each broken connection as an end.

    When one rank of a group ends, the group stalls, and all other ranks reset
    their connections as well.
    """
    one = DetectorSite(answer)
    await one.lose_all(one.begin('a', 'b', 'c'))
    assert one.reported == (['a', 'b', 'c'] if ended else [])
    assert one.checks == 1
    assert len(one.ends) == ended


@pytest.mark.parametrize(
    ('answers', 'ended'),
    [
        ((Accepted(is_stable=False), REFUSED), True),
        ((Accepted(is_stable=False), Accepted()), False),
        ((Accepted(is_stable=False), SILENT), False),
    ],
)
async def test_port_that_closes_after_its_connections(answers, ended):
    """Guards against missing an end because a connection could be opened.

    An ending process closes its connections first and its port later.  A
    connection that is opened in between waits unaccepted and is reset.
    """
    one = DetectorSite(*answers)
    await one.lose_all(one.begin('a'))
    assert one.reported == (['a'] if ended else [])


@pytest.mark.parametrize(
    ('answer', 'event', 'ended'),
    [
        (SILENT, 'gone', True),
        (SILENT, 'restart', True),
        (Accepted(), 'gone', False),
        (Accepted(), 'restart', True),
    ],
)
async def test_end_of_an_unreachable_endpoint_shows_in_the_list(
    answer, event, ended
):
    """Guards against missing the end of an endpoint whose instance died.

    Nothing answers there any more; seconds later its record lapses, or it is
    listed as restarted.  A live endpoint that broke off an answer and is then
    removed from the list has not ended.
    """
    one = DetectorSite(answer)
    [run] = one.begin('a')
    await one.detector.note_break(run)
    await anyio.sleep(3.5)
    if event == 'gone':
        one.detector.note_gone('i-1')
    else:
        one.detector.note_restart('i-1')
    assert one.reported == (['a'] if ended else [])


@pytest.mark.parametrize('before', ['leaving', 'removed'])
async def test_end_of_a_leaving_endpoint_is_not_reported(before):
    one = DetectorSite(leaving=before == 'leaving')
    runs = one.begin('a', 'b')
    if before == 'removed':
        one.table.remove('i-1')
    await one.lose_all(runs)
    assert one.ends == []


async def test_endpoint_with_other_requests_has_not_ended():
    """Guards against treating an endpoint at its connection limit as ended.

    It breaks off an answer and refuses a further connection, while its other
    requests continue.
    """
    one = DetectorSite()
    lost, kept = one.begin('lost', 'kept')
    await one.detector.note_break(lost)
    assert one.ends == []
    one.detector.finish(kept)
    assert one.ends == []


async def test_requests_that_break_later_are_reported_later():
    """Guards against ignoring a connection that breaks 50 ms later."""
    one = DetectorSite()
    first, second = one.begin('first', 'second')
    await one.detector.note_break(first)
    assert one.ends == []
    await anyio.sleep(0.05)
    assert await one.detector.note_break(second)
    assert one.reported == ['first', 'second']


@pytest.mark.parametrize(
    ('seconds', 'reported'), [(0.5, ['left', 'lost']), (1.5, ['lost'])]
)
async def test_request_whose_caller_just_left_is_reported(seconds, reported):
    """Guards against ignoring a request whose caller left during the end."""
    one = DetectorSite()
    left, lost = one.begin('left', 'lost')
    one.detector.abandon(left)
    await anyio.sleep(seconds)
    await one.detector.note_break(lost)
    assert one.reported == reported


async def test_refused_connection_of_another_request_proves_an_end():
    one = DetectorSite()
    [left] = one.begin('left')
    one.detector.abandon(left)
    await one.detector.note_refused(one.endpoint)
    assert one.reported == ['left']
    assert one.checks == 0


async def test_answered_requests_are_not_reported():
    one = DetectorSite()
    answered, lost = one.begin('answered', 'lost')
    one.detector.finish(answered)
    await one.detector.note_break(lost)
    assert one.reported == ['lost']


async def test_old_states_are_pruned():
    one = DetectorSite(Accepted())
    answered, lost = one.begin('answered', 'lost')
    one.detector.finish(answered)
    await one.detector.note_break(lost)
    await anyio.sleep(endpoint_ends.RETENTION_SECONDS + 0.1)
    one.detector.prune()
    assert one.detector._states == {}
