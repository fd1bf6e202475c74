"""Tests of the pages that every process serves beside its calls."""

import msgspec
import pytest

from marigoldramp import pages
from marigoldramp import problems
from marigoldramp import status

pytestmark = pytest.mark.anyio

TOKENS = status.Tokens(fleet_key=b'k' * 32, wall=lambda: 0.0)


class Metrics:
    """Metrics with one line."""

    def render(self):
        return b'marigoldramp_bundle 4\n'


def describe(ready=True, leaving=False):
    return status.Status(
        instance='entry-1',
        role='entry',
        data_centre='a',
        version='0',
        incarnation=1,
        bundle=4,
        ready=ready,
        leaving=leaving,
        in_flight=0,
        peers=[],
        alarms=[status.Alarm(name='store_away', detail='away')],
    )


async def ask(path, *, headers=(), state=None):
    """Return status and body of a page; calls answer with 299."""
    sent = []

    async def send(event):
        sent.append(event)

    async def calls(scope, receive, send):
        await send({'type': 'http.response.start', 'status': 299})
        await send({'type': 'http.response.body', 'body': b'call'})

    application = pages.Pages(
        tokens=TOKENS,
        metrics=Metrics(),
        describe=lambda: state or describe(),
        calls=calls,
    )
    scope = {
        'type': 'http',
        'method': 'GET',
        'path': path,
        'raw_path': path.encode(),
        'query_string': b'',
        'headers': list(headers),
    }
    await application.handle(scope, None, send)
    body = b''.join(event.get('body', b'') for event in sent)
    return sent[0]['status'], body


@pytest.mark.parametrize(
    'ready, leaving, expected',
    [
        (True, False, (200, b'ready\n')),
        (False, False, (503, b'not ready\n')),
        (True, True, (503, b'not ready\n')),
    ],
)
async def test_ready(ready, leaving, expected):
    state = describe(ready=ready, leaving=leaving)
    assert await ask('/marigoldramp/ready', state=state) == expected


async def test_metrics():
    page = await ask('/marigoldramp/metrics')
    assert page == (200, b'marigoldramp_bundle 4\n')


@pytest.mark.parametrize('token', [None, b'', b'AAAA', b'\xff'])
async def test_status_is_not_for_everybody(token):
    headers = [] if token is None else [(status.HEADER, token)]
    code, body = await ask(status.PATH, headers=headers)
    assert code == 401
    assert problems.decode(body).reason.value == 'unauthenticated'
    assert b'entry-1' not in body


async def test_status():
    headers = [(status.HEADER, TOKENS.make())]
    code, body = await ask(status.PATH, headers=headers)
    told = msgspec.json.decode(body, type=status.Status)
    assert (code, told) == (200, describe())


@pytest.mark.parametrize('path', ['/', '/marigoldramp/addresses', '/x'])
async def test_everything_else_is_a_call(path):
    assert await ask(path) == (299, b'call')
