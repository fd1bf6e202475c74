"""Tests of the entry: its pages for callers, its peers and its alarms."""

import types

import msgspec
import process_site
import pytest
import runtime_site
from test_agent import has_alarm
from test_agent import list_alarms
from test_agent import read_list
from test_agent import show_as_leaving

from marigoldramp import entry as entry_module

pytestmark = pytest.mark.anyio


@pytest.mark.parametrize('path', ['/marigoldramp/addresses', '/v1/models'])
@pytest.mark.parametrize(
    'headers, reason',
    [
        ([], 'no_key'),
        ([(b'authorization', b'Basic x')], 'no_key'),
        ([(b'authorization', b'Bearer wrong')], 'unknown_key'),
    ],
)
async def test_pages_need_a_key(tmp_path, path, headers, reason):
    async with runtime_site.run(tmp_path, 'entry-1') as site:
        answer = await site.ask(
            site.nodes['entry-1'], 'GET', path, headers=headers
        )
        assert answer.status == 401 and answer.reason == reason


async def test_models_of_a_customer_without_any(tmp_path):
    async with runtime_site.run(tmp_path, 'entry-1') as site:
        answer = await site.call(site.nodes['entry-1'], 'GET', '/v1/models')
        assert msgspec.json.decode(answer.body) == {
            'data': [],
            'object': 'list',
        }


async def test_entry_that_the_platform_shows_as_leaving(tmp_path):
    """Symptom: callers are sent to an entry that is about to go.

    Sequence: the instance list shows it as leaving; it has no signal yet.
    Cause: address answers that only look at who lives.
    """
    async with runtime_site.run(
        tmp_path, 'entry-1', 'entry-2', 'agent-1'
    ) as site:
        leaving, other, _ = site.nodes.values()
        await site.until_peer(other, leaving.name, state='alive')
        await read_list(site)
        show_as_leaving(site, leaving)
        await process_site.until(lambda: names_only(site, other))
        page = await site.call(leaving, 'GET', '/pages/p')
        assert page.body == b'p ran'


async def names_only(site, entry):
    return await site.addresses(entry) == [entry.address]


async def test_alarm_of_a_service_without_agents(tmp_path, monkeypatch):
    monkeypatch.setattr(entry_module, 'NO_ENDPOINT_AFTER', 0.0)
    async with runtime_site.run(tmp_path, 'entry-1') as site:
        entry = site.nodes['entry-1']
        assert await list_alarms(site, entry) == ['no_endpoint']
        await site.add('agent-1')
        await site.until_peer(entry, 'agent-1', state='alive')
        assert await list_alarms(site, entry) == []


async def test_alarms_of_calls_and_dead_peers(tmp_path):
    async with runtime_site.run(tmp_path, 'entry-1', calls=1) as site:
        agent = await site.add('agent-1')
        entry = site.nodes['entry-1']
        await site.until_peer(entry, 'agent-1', state='alive')
        async with site.open_stream(entry, 'held'):
            assert 'calls_nearly_full' in await list_alarms(site, entry)
            site.open_all()
        await site.kill(agent)
        await process_site.until(lambda: has_alarm(site, entry, 'peers_dead'))


async def test_connections_follow_an_agent_that_moved(tmp_path):
    """Symptom: calls go to the address that an agent had before.

    Sequence: an agent is started anew at another port under its name.
    Cause: connections that are kept by name alone.
    """
    async with runtime_site.run(tmp_path, 'entry-1') as site:
        program = site.nodes['entry-1'].process.program
        first = types.SimpleNamespace(
            instance='agent-1', host='127.0.0.1', call_port=1
        )
        second = types.SimpleNamespace(
            instance='agent-1', host='127.0.0.1', call_port=2
        )
        pool = program.find_pool(first)
        assert program.find_pool(first) is pool
        assert program.find_pool(second).port == 2
