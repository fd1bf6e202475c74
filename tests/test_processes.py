"""Tests with real processes and real signals, one site for each test.

Everything that a test waits for is an event: a ready page, a status, an
exit code or a first byte.  What is checked afterwards are counts of runs
and whole answers.
"""

import signal

import anyio
import process_site
import pytest

from marigoldramp import client
from marigoldramp import outcomes

WHOLE = process_site.WHOLE
STOPPED, CUT = 0, 5

pytestmark = pytest.mark.anyio


async def test_planned_stop_of_an_entry(tmp_path):
    """Symptom: a caller's stream is cut when an entry is stopped.

    Sequence: a stream is in its middle, SIGTERM comes, callers go on
    asking the entry.  Cause: a process that ends on the signal, or closes
    its port before its callers know other addresses.
    """
    async with process_site.run(
        tmp_path, 'entry-1', 'entry-2', 'agent-1'
    ) as site:
        one, two, agent = site.nodes.values()
        async with site.open_stream(one, 'held') as stream:
            one.process.send_signal(signal.SIGTERM)
            await site.until_unready(one)
            assert await site.addresses(one) == [two.address]
            answers = [await site.call(one, 'GET', '/pages/a')]
            while answers[-1].status == 200:
                answers.append(await site.call(one, 'GET', '/pages/a'))
            assert answers[-1].reason == 'leaving'
            assert isinstance(answers[-1].refusal, outcomes.NotRun)
            assert agent.endpoint.runs['a'] == len(answers) - 1
            assert not one.process.has_ended()
            site.open_all()
            assert await stream.read() == WHOLE
        assert await one.process.wait() == STOPPED
        assert 'no call was cut off' in one.log()
        assert (await site.call(two, 'GET', '/pages/b')).body == b'b ran'


async def test_planned_stop_of_an_agent(tmp_path):
    """Symptom: after a planned stop a used key runs again, or is lost.

    Sequence: a key is used, SIGTERM comes in the middle of a stream, the
    key and an unused one are sent again when the agent has gone.  Cause:
    records that die with the process that holds them.
    """
    async with process_site.run(
        tmp_path, 'entry-1', 'agent-1', 'agent-2'
    ) as site:
        entry = site.nodes['entry-1']
        async with site.open_stream(entry, 'held') as stream:
            leaving = site.find_runner('held')
            used, unused, *_ = (await site.keys_by_agent(entry))[leaving.name]
            ran = await site.call(entry, 'POST', '/orders/x', key=used)
            assert ran.body == b'x ran' and leaving.endpoint.runs['x'] == 1
            leaving.process.send_signal(signal.SIGTERM)
            await site.until_unready(leaving)
            await site.until_peer(entry, leaving.name, leaving=True)
            for _ in range(20):
                await site.call(entry, 'GET', '/pages/new')
            assert leaving.endpoint.runs['new'] == 0
            assert site.count_runs('new') == 20
            site.open_all()
            assert await stream.read() == WHOLE
        assert await leaving.process.wait() == STOPPED
        again = await site.call(entry, 'POST', '/orders/x', key=used)
        assert again.body.decode() == 'x ran'
        assert site.count_runs("x") == 1
        barred = await site.call(entry, 'POST', '/orders/y', key=unused)
        assert isinstance(barred.refusal, outcomes.NotRun)
        assert barred.reason == 'incarnation_gone'
        assert site.count_runs('y') == 0


@pytest.mark.parametrize('name', ['entry-1', 'agent-1'])
@pytest.mark.parametrize('by', ['second signal', 'limit'])
async def test_stop_that_cuts_says_so(tmp_path, name, by):
    """Symptom: an operator takes a stop that cut calls for a planned one.

    Sequence: a stream never ends; a second signal comes, or the drain
    limit passes.  Cause: an exit code that does not tell the two apart.
    """
    limit = 20.0 if by == 'second signal' else 0.5
    async with process_site.run(
        tmp_path, 'entry-1', 'agent-1', drain_limit=limit
    ) as site:
        node = site.nodes[name]
        async with site.open_stream(site.nodes['entry-1'], 'held'):
            node.process.send_signal(signal.SIGTERM)
            if by == 'second signal':
                await site.until_unready(node)
                node.process.send_signal(signal.SIGTERM)
            assert await node.process.wait() == CUT
            assert 'cutting off 1 calls' in node.log()


async def test_killed_agent(tmp_path):
    """Symptom: calls fail, or run twice, after an agent has died.

    Sequence: SIGKILL while a non-idempotent call runs; its key is asked
    again, other calls go on.  Cause: a second agent that takes the key.
    """
    async with process_site.run(
        tmp_path, 'entry-1', 'agent-1', 'agent-2'
    ) as site:
        entry, victim, other = site.nodes.values()
        key = (await site.keys_by_agent(entry))[victim.name][0]
        answers = []

        async def order():
            answers.append(
                await site.call(entry, 'POST', '/orders/held', key=key)
            )

        async with anyio.create_task_group() as group:
            group.start_soon(order)
            await process_site.until(
                lambda: is_true(victim.endpoint.runs['held'])
            )
            await site.kill(victim)
            for _ in range(10):
                page = await site.call(entry, 'GET', '/pages/p')
                assert page.body == b'p ran'
        answers.append(await site.call(entry, 'POST', '/orders/held', key=key))
        for answer in answers:
            assert isinstance(answer.refusal, outcomes.OutcomeUnknown)
        assert site.count_runs('held') == 1
        await site.until_peer(entry, victim.name, state='dead')


async def test_killed_entry(tmp_path):
    """Symptom: a streamed draft stops in its middle when an entry dies.

    Sequence: a caller of the client library reads a stream, SIGKILL ends
    the entry.  Cause: an answer that only the dead entry could go on with.
    """
    async with process_site.run(
        tmp_path, 'entry-1', 'entry-2', 'agent-1'
    ) as site:
        one, two, agent = site.nodes.values()
        await site.until_peer(one, two.name, state='alive')
        caller = client.Client(
            addresses=[one.address, two.address], key=process_site.CALLER_KEY
        )
        body = b''
        call = client.Call(method='GET', path='/streams/held')
        async for chunk in caller.stream(call):
            assert isinstance(chunk, bytes)
            if not body:
                await site.kill(await find_server(site, one, two))
                agent.endpoint.opened.set()
            body += chunk
        assert body == WHOLE
        assert agent.endpoint.runs['held'] == 1
        await caller.close()


@pytest.mark.parametrize('asked_again', [False, True])
async def test_frozen_agent(tmp_path, asked_again):
    """Symptom: an order runs long after its caller was given an answer.

    Sequence: SIGSTOP, a bound order waits in the agent's socket until its
    deadline, SIGCONT.  Cause: bytes in a buffer that start a call late.
    """
    async with process_site.run(
        tmp_path, 'entry-1', 'agent-1', 'agent-2'
    ) as site:
        entry, frozen, _ = site.nodes.values()
        key, second, *_ = (await site.keys_by_agent(entry))[frozen.name]
        frozen.process.send_signal(signal.SIGSTOP)
        late = await site.call(
            entry, 'POST', '/orders/x', key=key, seconds=0.5
        )
        assert isinstance(late.refusal, outcomes.OutcomeUnknown)
        await site.until_peer(entry, frozen.name, state='dead')
        for _ in range(10):
            page = await site.call(entry, 'GET', '/pages/p')
            assert page.body == b'p ran'
        assert frozen.endpoint.runs['p'] == 0
        frozen.process.send_signal(signal.SIGCONT)
        await site.until_peer(entry, frozen.name, state='alive')
        if asked_again:
            again = await site.call(entry, 'POST', '/orders/x', key=key)
            ran = again.body == b'x ran'
            assert ran or isinstance(again.refusal, outcomes.NotRun)
            assert site.count_runs('x') == ran
        other = await site.call(entry, 'POST', '/orders/y', key=second)
        assert other.body == b'y ran' and frozen.endpoint.runs['y'] == 1
        assert asked_again or site.count_runs('x') == 0


async def test_frozen_entry(tmp_path):
    """Symptom: callers wait for an entry that does not move.

    Sequence: SIGSTOP of one entry of two, calls by the client library, a
    newer bundle, SIGCONT.  Cause: callers that never leave an address; a
    thawed entry that goes on with what it knew.
    """
    async with process_site.run(
        tmp_path, 'entry-1', 'entry-2', 'agent-1'
    ) as site:
        frozen, other, _ = site.nodes.values()
        frozen.process.send_signal(signal.SIGSTOP)
        await site.until_peer(other, frozen.name, state='dead')
        assert await site.addresses(other) == [other.address]
        await site.roll(2)
        await site.until_bundle(2, other)
        frozen.process.send_signal(signal.SIGCONT)
        await site.until_bundle(2, frozen)
        await site.until_peer(other, frozen.name, state='alive')
        await site.until_ready(frozen)
        page = await site.call(frozen, 'GET', '/pages/p')
        assert page.body == b'p ran'


@pytest.mark.parametrize('survivor', ['entry-1', 'agent-1'])
async def test_site_restarts_while_the_platform_is_away(tmp_path, survivor):
    """Symptom: a whole site stays down until the platform is back.

    Sequence: the platform goes, all processes but one die and are started
    again.  Cause: bundles and peers that only the platform can tell.
    """
    async with process_site.run(
        tmp_path, 'entry-1', 'entry-2', 'agent-1', number=7
    ) as site:
        site.take_platform_away()
        others = [one for one in site.nodes.values() if one.name != survivor]
        await site.kill(*others)
        seeds = site.seeds()
        for node in others:
            values = node.settings
            role = node.name.split('-')[0]
            site.write_settings(node.name, role, values[role], seeds)
            await site.start(node)
        await site.until_ready(*others)
        await site.until_bundle(7, *others)
        for entry in (site.nodes['entry-1'], site.nodes['entry-2']):
            page = await site.call(entry, 'GET', '/pages/p')
            assert page.body == b'p ran'


async def test_start_while_the_store_is_away(tmp_path):
    """Symptom: an entry without configuration serves by guesswork.

    Sequence: the store is away, an entry starts and no peer lives; the
    store comes back.  Cause: readiness that does not wait for a bundle.
    """
    async with process_site.run(tmp_path, number=3) as site:
        site.take_platform_away()
        entry = await site.add('entry-1')
        await process_site.until(lambda: answers(site, entry))
        assert await site.read_ready(entry) == 503
        refused = await site.call(entry, 'GET', '/pages/p')
        assert refused.reason == 'no_bundle'
        assert isinstance(refused.refusal, outcomes.NotRun)
        site.bring_platform_back()
        await site.until_ready(entry)
        await site.until_bundle(3, entry)


async def test_bundle_rolled_while_an_agent_is_frozen(tmp_path):
    """Symptom: a thawed agent works by an old bundle, or gives it to others.

    Sequence: SIGSTOP, a roll, SIGCONT; then the store shows the old bundle
    again.  Cause: a process that trusts the last thing it was shown.
    """
    async with process_site.run(
        tmp_path, 'entry-1', 'agent-1', number=4
    ) as site:
        entry, agent = site.nodes.values()
        agent.process.send_signal(signal.SIGSTOP)
        await site.roll(5)
        await site.until_bundle(5, entry)
        agent.process.send_signal(signal.SIGCONT)
        await site.until_bundle(5, agent)
        await site.roll(4)
        await process_site.until(lambda: has_alarm(site, entry))
        for node in (entry, agent):
            assert (await site.status(node)).bundle == 5
        told = await site.show_status()
        assert 'entry-1: bundle_kept_out: ' in told
        table = [line.split() for line in told.splitlines()]
        assert ['agent-1', 'agent', 'a', '5', 'ready'] in [
            cells[:5] for cells in table
        ]
        assert 'PEER OF entry-1' in told


async def is_true(value):
    return bool(value)


async def answers(site, node):
    return await site.read_ready(node) is not None


async def has_alarm(site, node):
    state = await site.status(node)
    return 'bundle_kept_out' in [alarm.name for alarm in state.alarms]


async def find_server(site, *entries):
    """Return the entry that serves the one call in flight."""
    for entry in entries:
        if (await site.status(entry)).in_flight:
            return entry
    raise AssertionError('no entry serves a call')
