"""Tests of start and planned stop: every step with every fault.

Each cell runs real runtimes in one process, see ``runtime_site``.
"""

import process_site
import pytest
import runtime_site

from marigoldramp import outcomes
from marigoldramp import runtime
from marigoldramp import steps

S = steps.Step
NAMES = ('entry-1', 'entry-2', 'agent-1', 'agent-2')
WHOLE = process_site.WHOLE

pytestmark = pytest.mark.anyio


async def do_nothing(site, node):
    """Let the step pass."""


async def kill(site, node):
    site.group.start_soon(site.kill, node)


async def stop_store(site, node):
    site.take_platform_away()


async def cut_peer(site, node):
    """Cut one entry off from the node; calls between them still pass."""
    other = site.nodes['entry-2']
    if other is not node:
        site.cut(node, other)


async def freeze_peer(site, node):
    """Freeze a peer: it hears and says nothing until the step goes on."""
    frozen = site.nodes['entry-2']
    for one in site.nodes.values():
        if one is not frozen:
            site.cut(one, frozen)


async def thaw_peer(site, leaving):
    """Let the frozen peer go on, and wait until it knows an agent."""
    site.mend()
    entry = site.nodes['entry-2']
    for node in site.nodes.values():
        if node.endpoint and node is not leaving:
            await site.until_peer(entry, node.name, state='alive')


async def lag_list(site, node):
    """Let the list show the node as it was until its end, and after."""
    site.instances.lag = 1e9


#: Faults that keep no peer from hearing of a stop.
MILD = (do_nothing, stop_store, lag_list)
FAULTS = (do_nothing, kill, stop_store, cut_peer, freeze_peer, lag_list)
AGENT_LEAVES = (
    S.DRAIN_STARTED,
    S.DRAIN_ANNOUNCED,
    S.DRAIN_HANDED_OVER,
    S.DRAIN_IDLE,
)
ENTRY_LEAVES = (S.DRAIN_STARTED, S.DRAIN_ANNOUNCED, S.DRAIN_IDLE)
START = tuple(
    (name, step)
    for name in ('agent-9', 'entry-9')
    for step in (S.START_LISTENING, S.START_BUNDLE, S.START_READY)
)
#: Steps that come only once the calls in flight have ended.
LATE = (S.DRAIN_HANDED_OVER, S.DRAIN_IDLE)


async def stream_through(site, entry, victim, done):
    """Read a held stream that runs on the victim, to its end."""
    async with site.open_stream(entry, 'held') as stream:
        done.append(await stream.read())


async def get_pages(site, entries, name, count):
    """Ask for pages through entries; all have to be whole."""
    for number in range(count):
        entry = entries[number % len(entries)]
        page = await site.call(entry, 'GET', f'/pages/{name}')
        assert page.body == f'{name} ran'.encode(), page


async def use_keys(site, agent):
    """Use one key of an agent and return it, with two unused ones."""
    entry = site.nodes['entry-1']
    used, unused, long, *_ = (await site.keys_by_agent(entry))[agent.name]
    ran = await site.call(entry, 'POST', '/orders/x', key=used)
    assert ran.body == b'x ran'
    return used, unused, long


async def order(site, entry, key):
    """Give an order that the endpoint holds; the caller goes at the end."""
    return await site.call(entry, 'POST', '/orders/held-z', key=key)


async def has_run(node, name):
    return node.endpoint.runs[name] > 0


@pytest.mark.parametrize('fault', FAULTS, ids=lambda f: f.__name__)
@pytest.mark.parametrize('step', AGENT_LEAVES)
async def test_agent_leaves(tmp_path, step, fault):
    """Symptom: a planned stop cuts a call, or a leaving agent gets a new one.

    Sequence: a stream is in its middle and a key has been used when the stop
    begins; a fault lands at one of its steps.  Cause: peers that have not
    heard of the stop, or records that nobody has.
    """
    async with runtime_site.run(tmp_path, *NAMES) as site:
        entries = [site.nodes['entry-1'], site.nodes['entry-2']]
        async with site.open_stream(entries[0], 'held') as stream:
            leaving = site.find_runner('held')
            used, unused, long = await use_keys(site, leaving)
            site.group.start_soon(order, site, entries[0], long)
            await process_site.until(lambda: has_run(leaving, 'held-z'))
            site.at(leaving.name, step, fault)
            leaving.process.runtime.request_stop()
            if step in LATE:
                site.open_all()
            await site.until_landed()
            if fault is not kill:
                await get_pages(site, entries[:1], 'during', 4)
            if step is S.DRAIN_ANNOUNCED and fault in MILD:
                await get_pages(site, entries, 'announced', 10)
                assert leaving.endpoint.runs['announced'] == 0
            site.let_go.set()
            killed = fault is kill and step not in LATE
            if not killed:
                await process_site.until(lambda: has_closed(leaving))
            if fault is freeze_peer:
                await thaw_peer(site, leaving)
            await get_pages(site, entries, 'after', 10)
            assert leaving.endpoint.runs['after'] == 0
            site.open_all()
            if not killed:
                assert await stream.read() == WHOLE
        code = await leaving.process.wait()
        assert code == (None if fault is kill else runtime.STOPPED)
        site.mend()
        handed_over = fault is not kill or step in LATE
        for entry in entries:
            again = await site.call(entry, 'POST', '/orders/x', key=used)
            barred = await site.call(entry, 'POST', '/orders/y', key=unused)
            ended = await order(site, entry, long)
            if handed_over:
                assert again.body == b'x ran'
                assert ended.body == b'held-z ran'
                assert isinstance(barred.refusal, outcomes.NotRun)
            else:
                assert isinstance(again.refusal, outcomes.OutcomeUnknown)
                assert isinstance(ended.refusal, outcomes.OutcomeUnknown)
        assert site.count_runs('x') == 1 and not site.count_runs('y')
        assert site.count_runs('held-z') == 1


@pytest.mark.parametrize('fault', FAULTS, ids=lambda f: f.__name__)
@pytest.mark.parametrize('step', ENTRY_LEAVES)
async def test_entry_leaves(tmp_path, step, fault):
    """Symptom: a caller loses its answer when an entry is stopped.

    Sequence: a stream is in its middle when the stop begins; a fault lands
    at one of its steps.  Cause: an entry that ends before its calls, or
    that sends callers to itself while it leaves.
    """
    async with runtime_site.run(tmp_path, *NAMES) as site:
        leaving, other = site.nodes['entry-1'], site.nodes['entry-2']
        await site.until_peer(other, leaving.name, state='alive')
        site.at(leaving.name, step, fault)
        async with site.open_stream(leaving, 'held') as stream:
            leaving.process.runtime.request_stop()
            if step in LATE:
                site.open_all()
            await site.until_landed()
            if fault is kill:
                await process_site.until(lambda: has_ended(leaving))
            elif step is not S.DRAIN_IDLE:
                told = await site.addresses(leaving)
                assert leaving.address not in told
                assert await site.read_ready(leaving) == 503
            if step is S.DRAIN_ANNOUNCED and fault in MILD:
                assert await site.addresses(other) == [other.address]
            if fault is freeze_peer:
                await thaw_peer(site, leaving)
            await get_pages(site, [other], 'during', 4)
            site.let_go.set()
            site.open_all()
            if fault is not kill or step is S.DRAIN_IDLE:
                assert await stream.read() == WHOLE
        code = await leaving.process.wait()
        assert code == (None if fault is kill else runtime.STOPPED)
        site.mend()
        await get_pages(site, [other], 'after', 4)
        await process_site.until(
            lambda: is_only_address(site, other, other.address)
        )


@pytest.mark.parametrize('fault', FAULTS, ids=lambda f: f.__name__)
@pytest.mark.parametrize('name, step', START)
async def test_start(tmp_path, name, step, fault):
    """Symptom: a process without a bundle serves, or one never gets ready.

    Sequence: a process starts in a running site; a fault lands at one of
    its steps.  Cause: readiness that does not wait for the bundle; a bundle
    that only the store can give.
    """
    async with runtime_site.run(tmp_path, *NAMES) as site:
        site.at(name, step, fault)
        seeds = site.seeds()
        if fault is lag_list:
            await lag_list(site, None)
        new = await site.add(name, linger=0.1, seeds=seeds)
        await site.until_landed()
        ready = new.process.runtime.ready
        assert ready == (step is S.START_READY)
        if step is S.START_BUNDLE and fault is not kill:
            assert await site.read_ready(new) == 503
        await get_pages(site, [site.nodes['entry-1']], 'during', 4)
        site.let_go.set()
        if fault is kill:
            await process_site.until(lambda: has_ended(new))
            await site.start(new)
        elif fault in (cut_peer, freeze_peer):
            site.mend()
        await site.until_ready(new)
        assert new.process.runtime.config.number == 1
        for entry in site.nodes.values():
            if not entry.endpoint and new.endpoint:
                await site.until_peer(entry, new.name, state='alive')
        if not new.endpoint:
            await get_pages(site, [new], 'new', 4)


async def test_start_without_any_bundle(tmp_path):
    """Symptom: a process without configuration takes calls.

    Sequence: the store is away and no peer lives; calls come; the store
    comes back.  Cause: an entry that answers before it knows its customers.
    """
    async with runtime_site.run(tmp_path) as site:
        site.take_platform_away()
        entry = await site.add('entry-1')
        await process_site.until(lambda: has_answered(site, entry))
        refused = await site.call(entry, 'GET', '/pages/p')
        assert refused.reason == 'no_bundle'
        assert isinstance(refused.refusal, outcomes.NotRun)
        assert not entry.process.runtime.ready
        site.bring_platform_back()
        await site.until_ready(entry)


@pytest.mark.parametrize('name', ['entry-1', 'agent-1'])
async def test_second_request_cuts(tmp_path, name):
    """Symptom: a stop that cut a call looks like a good one.

    Sequence: a stream never ends, a second signal comes.  Cause: an exit
    code that does not count what was cut.
    """
    async with runtime_site.run(tmp_path, 'entry-1', 'agent-1') as site:
        node = site.nodes[name]
        async with site.open_stream(site.nodes['entry-1'], 'held'):
            site.at(name, S.DRAIN_ANNOUNCED, do_nothing)
            node.process.runtime.request_stop()
            await site.until_landed()
            node.process.runtime.request_stop()
            assert await node.process.wait() == runtime.CUT


async def has_closed(node):
    return node.process.program.calls.closed or node.process.has_ended()


async def has_ended(node):
    return node.process.has_ended()


async def is_only_address(site, entry, address):
    return await site.addresses(entry) == [address]


async def has_answered(site, node):
    return await site.read_ready(node) is not None
