"""Tests of the Python client against what docs/CALLERS.md promises."""

import matrix_caller
import matrix_cells
import matrix_clock
import pytest

from marigoldramp import client
from marigoldramp import outcomes
from marigoldramp import steps
from marigoldramp_standins import answers
from marigoldramp_standins import site as site_module
from marigoldramp_standins import site_layout
from marigoldramp_standins import web

pytestmark = pytest.mark.anyio
S = steps.Step


@pytest.fixture
def anyio_backend():
    return matrix_clock.BACKEND


def make_client(site):
    return client.Client(
        addresses=[f'http://{web.HOST}:{door.port}' for door in site.doors],
        key=site_layout.KEY,
        clock=matrix_clock.now,
    )


def make_order():
    return client.Call(
        method='POST',
        path='/ledger/pay',
        body=matrix_caller.write_order('call'),
        seconds=3.0,
        service=site_layout.LEDGER,
    )


def count(site):
    return sum(one.runs.get('call', 0) for one in site.endpoints)


async def kill_its_entry(site):
    for entry in site.entries:
        if entry.program.in_flight():
            entry.kill()


@pytest.mark.parametrize(
    'step', [S.CALL_ADMITTED, S.CALL_SENT, S.AGENT_HANDED_OVER]
)
async def test_key_is_kept_when_an_entry_dies(step):
    """A call ran twice: its client took a new key after a lost entry."""
    layout = matrix_cells.make_layout('bound key')
    async with site_module.open_site(layout) as site:
        site.at(step, lambda _: kill_its_entry(site))
        caller = make_client(site)
        answer = await caller.call(make_order())
        await caller.close()
        assert isinstance(answer, client.Answer)
        assert count(site) == 1
        assert sum(entry.alive for entry in site.entries) == 1


async def test_new_key_is_taken_after_not_run():
    layout = matrix_cells.make_layout('bound key')
    async with site_module.open_site(layout) as site:
        await site.stop_link(site.backs[0])
        caller = make_client(site)
        heard = [await caller.call(make_order()) for _ in range(3)]
        await caller.close()
    assert all(isinstance(one, client.Answer) for one in heard)


async def test_stream_goes_on_through_another_entry():
    """A caller got a stream without its middle, or twice its beginning."""
    layout = matrix_cells.make_layout('stream')
    async with site_module.open_site(layout) as site:
        site.at(S.AGENT_ANSWERED, lambda _: kill_its_entry(site))
        caller = make_client(site)
        body = matrix_caller.write_chat('call')
        chunks = []
        async for item in caller.stream(
            client.Call(
                method='POST',
                path='/v1/chat/completions',
                body=body,
                seconds=3.0,
            )
        ):
            chunks.append(item)
        await caller.close()
        assert not any(isinstance(one, outcomes.NotRun) for one in chunks)
        ask = matrix_caller.Ask(path='/v1/chat/completions', body=body)
        assert matrix_caller.is_own(ask, b''.join(chunks))
        assert answers.STREAM_END in chunks[-1]
        assert sum(entry.alive for entry in site.entries) == 1


async def test_refusal_that_is_final_is_returned():
    layout = matrix_cells.make_layout('bound key')
    async with site_module.open_site(layout) as site:
        caller = client.Client(
            addresses=[f'http://{web.HOST}:{site.doors[0].port}'],
            key='nobody',
            clock=matrix_clock.now,
        )
        heard = await caller.call(make_order())
        await caller.close()
        assert isinstance(heard, outcomes.NotRun)
        assert count(site) == 0
