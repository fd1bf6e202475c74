"""Tests of the plain-service stand-in."""

import httpcore
import msgspec
import pytest

from marigoldramp_standins import service
from marigoldramp_standins import web

pytestmark = pytest.mark.anyio

BODY = b'{"reference": "pledge-1", "amount": 5}'


async def ask(address, method, path, body=b''):
    async with httpcore.AsyncConnectionPool() as pool:
        return await pool.request(method, address + path, content=body)


@pytest.mark.parametrize(
    ('method', 'path', 'body', 'reference', 'runs'),
    [
        ('POST', '/pledges/1/confirm', BODY, 'pledge-1', {'pledge-1': 1}),
        ('PUT', '/pledges/1', BODY, 'pledge-1', {}),
        ('GET', '/pledges/1', b'', '', {}),
        ('POST', '/pledges', b'no json \xff', '', {}),
    ],
)
async def test_call_is_confirmed_and_counted(
    method, path, body, reference, runs
):
    ledger = service.Service(name='ledger')
    async with web.serve(handle=ledger.handle) as address:
        found = await ask(address, method, path, body)
        counted = await ask(address, 'GET', '/standin/runs')
    confirmation = msgspec.json.decode(
        found.content, type=service.Confirmation
    )
    assert confirmation == service.Confirmation(
        service='ledger',
        method=method,
        path=path.strip('/'),
        reference=reference,
        run=runs.get(reference, 0),
        body=service.digest(body),
    )
    assert msgspec.json.decode(counted.content) == {'runs': runs}


@pytest.mark.parametrize(
    ('fault', 'status', 'runs'),
    [
        (b'{"cut_before": 1}', None, 0),
        (b'{"cut_after": 1}', None, 1),
        (b'{"fail": 1}', 500, 1),
    ],
)
async def test_faulty_call(fault, status, runs):
    """The caller gets no answer, or an error.

    The connection breaks before or after the call ran, or the call fails
    after it ran; only one call is hit.
    """
    ledger = service.Service(name='ledger')
    async with web.serve(handle=ledger.handle) as address:
        await ask(address, 'POST', '/standin/faults', fault)
        if status is None:
            with pytest.raises(httpcore.RemoteProtocolError):
                await ask(address, 'POST', '/pledges', BODY)
        else:
            found = await ask(address, 'POST', '/pledges', BODY)
            assert found.status == status
        assert ledger.runs.get('pledge-1', 0) == runs
        assert (await ask(address, 'POST', '/pledges', BODY)).status == 200


@pytest.mark.parametrize('size', [0, 10, 200_000])
async def test_receipt(size):
    ledger = service.Service(name='ledger')
    async with web.serve(handle=ledger.handle) as address:
        found = await ask(address, 'GET', f'/receipts/7?bytes={size}')
    assert found.content == service.write_receipt(number='7', size=size)
    assert len(found.content) == size
