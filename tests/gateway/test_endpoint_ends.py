"""Tests of noticing that endpoints have ended, and what they had then."""

import random

import anyio
import pytest
import virtual_time

from marigoldramp.gateway import endpoint_ends
from marigoldramp.gateway import endpoints
from marigoldramp.gateway import outbound
from marigoldramp import metrics

from . import site

pytestmark = pytest.mark.anyio
REFUSED = outbound.Unreached(detail='refused', refused=True)
SILENT = outbound.Unreached(detail='no connection in time')


@pytest.fixture
def anyio_backend():
    return virtual_time.make_backend()


class Sound(outbound.Connection):
    """A connection that somebody has accepted."""

    def __init__(self, stands=True):
        self.stands = stands

    async def stays_open(self, seconds):
        return self.stands


class FakePort:
    """Where an endpoint listens, or does not."""

    def __init__(self, port):
        self.identity = 'i-1'
        self.port = port


class Call:
    """What the watch looks at of a call."""

    def __init__(self, fingerprint):
        self.fingerprint = fingerprint


class Watched:
    """One endpoint that is watched, and what was told of it."""

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
            self.detector.begin(Call(one), self.endpoint)
            for one in fingerprints
        ]

    async def lose_all(self, runs):
        async with anyio.create_task_group() as tasks:
            for run in runs:
                tasks.start_soon(self.detector.note_break, run)

    @property
    def blamed(self):
        return sorted(one for end in self.ends for one in end.fingerprints)


@pytest.mark.parametrize(
    ('answer', 'ended'),
    [(REFUSED, True), (SILENT, False), (Sound(), False)],
    ids=['refused', 'silent', 'accepted'],
)
async def test_port_tells_whether_an_endpoint_has_ended(answer, ended):
    """One rank of a group ends, and all others count as ended, too.

    Sequence: the rank's process ends; its group stalls, and each other rank
    resets what it has.
    Cause: a connection that breaks was taken for the end of its endpoint.
    """
    one = Watched(answer)
    await one.lose_all(one.begin('a', 'b', 'c'))
    assert one.blamed == (['a', 'b', 'c'] if ended else [])
    assert one.checks == 1
    assert len(one.ends) == ended


@pytest.mark.parametrize(
    ('answers', 'ended'),
    [
        ((Sound(stands=False), REFUSED), True),
        ((Sound(stands=False), Sound()), False),
        ((Sound(stands=False), SILENT), False),
    ],
)
async def test_port_that_closes_later_than_its_connections(answers, ended):
    """An endpoint that ends takes one connection more, and counts as sound.

    Sequence: the process closes what it has, then its port.  A connection
    that is opened in between waits unaccepted, and is reset.
    Cause: the first connection that opens was taken for proof.
    """
    one = Watched(*answers)
    await one.lose_all(one.begin('a'))
    assert one.blamed == (['a'] if ended else [])


@pytest.mark.parametrize(
    ('answer', 'event', 'ended'),
    [
        (SILENT, 'gone', True),
        (SILENT, 'restart', True),
        (Sound(), 'gone', False),
        (Sound(), 'restart', True),
    ],
)
async def test_endpoint_that_refuses_nothing_is_known_by_its_entry(
    answer, event, ended
):
    """An endpoint whose instance has died ends without a word.

    Sequence: nothing answers there any more, its entry lapses seconds later,
    or it is listed with a later start.
    Cause of a wrong end: one that lives is taken off the list, and breaks off
    an answer besides.
    """
    one = Watched(answer)
    [run] = one.begin('a')
    await one.detector.note_break(run)
    await anyio.sleep(3.5)
    if event == 'gone':
        one.detector.note_gone('i-1')
    else:
        one.detector.note_restart('i-1')
    assert one.blamed == (['a'] if ended else [])


@pytest.mark.parametrize('before', ['leaving', 'removed'])
async def test_end_of_an_endpoint_that_leaves_blames_nothing(before):
    one = Watched(leaving=before == 'leaving')
    runs = one.begin('a', 'b')
    if before == 'removed':
        one.table.remove('i-1')
    await one.lose_all(runs)
    assert one.ends == []


async def test_endpoint_that_answers_others_has_not_ended():
    """An endpoint with all its connections taken counts as ended.

    Sequence: it breaks off an answer and refuses one connection more; what it
    had before goes on.
    Cause: a refused connection was taken for proof.
    """
    one = Watched()
    lost, kept = one.begin('lost', 'kept')
    await one.detector.note_break(lost)
    assert one.ends == []
    one.detector.finish(kept)
    assert one.ends == []


async def test_requests_that_break_later_are_told_later():
    """A request is not counted as its packet came 50 ms after another's."""
    one = Watched()
    first, second = one.begin('first', 'second')
    await one.detector.note_break(first)
    assert one.ends == []
    await anyio.sleep(0.05)
    assert await one.detector.note_break(second)
    assert one.blamed == ['first', 'second']


@pytest.mark.parametrize(
    ('seconds', 'blamed'), [(0.5, ['left', 'lost']), (1.5, ['lost'])]
)
async def test_request_that_its_caller_left_just_before_counts(
    seconds, blamed
):
    """A caller leaves as its request ends the endpoint, and none is told."""
    one = Watched()
    left, lost = one.begin('left', 'lost')
    one.detector.abandon(left)
    await anyio.sleep(seconds)
    await one.detector.note_break(lost)
    assert one.blamed == blamed


async def test_refused_connection_of_another_request_tells_as_well():
    one = Watched()
    [left] = one.begin('left')
    one.detector.abandon(left)
    await one.detector.note_refused(one.endpoint)
    assert one.blamed == ['left']
    assert one.checks == 0


async def test_answered_requests_are_not_told():
    one = Watched()
    answered, lost = one.begin('answered', 'lost')
    one.detector.finish(answered)
    await one.detector.note_break(lost)
    assert one.blamed == ['lost']


async def test_nothing_is_kept_of_what_is_over():
    one = Watched(Sound())
    answered, lost = one.begin('answered', 'lost')
    one.detector.finish(answered)
    await one.detector.note_break(lost)
    await anyio.sleep(endpoint_ends.RETENTION_SECONDS + 0.1)
    one.detector.prune()
    assert one.detector._states == {}
