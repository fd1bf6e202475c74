"""The faults of the matrix: how each lands, and where it cannot occur."""

import dataclasses
from typing import Callable

import anyio

from marigoldramp import heads
from marigoldramp import steps
from marigoldramp_standins import links
from marigoldramp_standins import service
from marigoldramp_standins import web

S = steps.Step
#: A fault that is there when the call is made.
BEFORE = 'before'
STEPS = (
    BEFORE,
    S.CALL_ADMITTED,
    S.CALL_ENDPOINT_CHOSEN,
    S.CALL_SENT,
    S.AGENT_RECEIVED,
    S.AGENT_QUEUED,
    S.AGENT_RECORDED,
    S.AGENT_HANDED_OVER,
    S.AGENT_ANSWERED,
    S.CALL_ANSWER_STARTED,
    S.CALL_ANSWER_ENDED,
)
AT_AGENT = STEPS.index(S.AGENT_RECEIVED)


@dataclasses.dataclass(frozen=True, kw_only=True)
class Fault:
    """One row of the matrix.

    :ivar land: brings the fault about at a site.
    :ivar reason: says why a cell of that kind and step cannot occur, or
        nothing.
    :ivar loses_caller: the caller hears nothing more from its entry.
    """

    name: str
    land: Callable
    reason: Callable = lambda kind, step: ''
    loses_caller: bool = False


async def kill_agent(site):
    await site.kill_agent(0)


async def restart_agent(site):
    await site.restart_agent(0)


async def replace_unseen(site):
    await site.replace_agent(0)


async def kill_entry(site):
    site.entries[0].kill()


async def freeze_agent(site):
    site.freeze(site.agents[0])


async def freeze_entry(site):
    site.freeze(site.entries[0])


def put(fault, *, new=True):
    async def land(site):
        site.links[0][0].set_fault(fault)
        if new:
            site.links[0][0].new_fault = fault

    return land


async def close_connections(site):
    site.links[0][0].accepting = False
    await site.links[0][0].cut()


async def send_twice(site):
    """Send the bytes of the last request at the agent once more."""
    if not site.agents[0].taken:
        return
    taken = site.agents[0].taken[-1]

    async def send():
        await taken.whole.wait()
        port = site.agents[0].server.port
        async with await anyio.connect_tcp(web.HOST, port) as stream:
            await stream.send(taken.render())
            try:
                while True:
                    await stream.receive()
            except (anyio.EndOfStream, anyio.BrokenResourceError):
                pass

    site.group.start_soon(send)


async def let_earlier_arrive(site):
    site.links[0][0].release()


async def hold_first_attempt(site):
    """Hold the bytes of the first attempt; later ones pass."""
    site.links[0][0].new_fault = links.Fault.HELD

    async def pass_later(_):
        # The link learns of the connection after the entry does.
        for _ in range(20):
            await anyio.sleep(0)
        site.links[0][0].new_fault = links.Fault.NONE

    site.at(S.CALL_SENT, pass_later)


def came_twice(site):
    """Whether bytes of one call came to the agent more than once."""
    opener = heads.Heads(fleet_key=site.layout.fleet_key)
    calls = [
        opener.decode_call(value.decode()).call
        for taken in site.agents[0].taken
        for key, value in taken.headers
        if key == heads.CALL_HEADER
    ]
    return len(set(calls)) < len(calls)


async def lose_endpoint_reply(site):
    endpoint = site.endpoints[0]
    if isinstance(endpoint, service.Service):
        endpoint.faults.cut_after = 1
    else:
        endpoint.engine.faults.cut_streams = 1


async def lose_agent_reply(site):
    link = site.links[0][0]
    if S.AGENT_ANSWERED in site.reached:
        await link.cut()
        return
    link.set_fault(links.Fault.BACK)
    link.new_fault = links.Fault.BACK

    async def cut(_):
        link.new_fault = links.Fault.NONE
        await link.cut()

    site.at(S.AGENT_ANSWERED, cut)


async def lose_entry_reply(site):
    site.doors[0].set_fault(links.Fault.BACK)
    site.doors[0].new_fault = links.Fault.BACK


async def close_door(site):
    await site.doors[0].cut()


async def stop_store(site):
    site.table.faults.outage = True


async def slow_store(site):
    site.table.faults.slowness = 1.0
    site.store_answers = anyio.Event()


async def lose_store_reply(site):
    site.table.faults.lose_replies = 1


def needs_bytes(kind, step):
    if not_own(kind, step):
        return not_own(kind, step)
    if STEPS.index(step) < AT_AGENT:
        return 'no bytes of the call have come to an agent yet'
    return ''


def needs_reply(last, why):
    def reason(kind, step):
        if STEPS.index(step) > STEPS.index(last):
            return why
        return not_own(kind, step)

    return reason


def not_own(kind, step):
    if kind == 'own key':
        return 'as with a bound key, once the claim stands'
    return ''


def needs_store(kind, step):
    return '' if kind == 'own key' else 'the call does not ask the store'


def needs_claim(kind, step):
    return needs_store(kind, step) or (
        '' if step == BEFORE else 'the claim is written before admission'
    )


FAULTS = (
    Fault(name='agent killed', land=kill_agent, reason=not_own),
    Fault(
        name='agent killed and started anew',
        land=restart_agent,
        reason=not_own,
    ),
    Fault(name='entry killed', land=kill_entry),
    Fault(name='agent frozen, thawed', land=freeze_agent, reason=not_own),
    Fault(name='entry frozen, thawed', land=freeze_entry, loses_caller=True),
    Fault(
        name='cut one way, to the agent',
        land=put(links.Fault.FORWARD),
        reason=not_own,
    ),
    Fault(
        name='cut one way, to the entry',
        land=put(links.Fault.BACK),
        reason=not_own,
    ),
    Fault(name='cut both ways', land=put(links.Fault.SILENT), reason=not_own),
    Fault(name='connections closed', land=close_connections, reason=not_own),
    Fault(
        name='silent connection',
        land=put(links.Fault.SILENT, new=False),
        reason=not_own,
    ),
    Fault(name='delay', land=put(links.Fault.HELD, new=False), reason=not_own),
    Fault(name='duplicate', land=send_twice, reason=needs_bytes),
    Fault(name='reorder', land=let_earlier_arrive, reason=needs_bytes),
    Fault(
        name='reply lost, endpoint to agent',
        land=lose_endpoint_reply,
        reason=needs_reply(S.AGENT_RECORDED, 'the endpoint may have replied'),
    ),
    Fault(
        name='reply lost, agent to entry',
        land=lose_agent_reply,
        reason=needs_reply(S.CALL_ANSWER_STARTED, 'the entry has the reply'),
    ),
    Fault(
        name='reply lost, entry to caller',
        land=lose_entry_reply,
        reason=needs_reply(S.CALL_ANSWER_STARTED, 'the reply has been sent'),
        loses_caller=True,
    ),
    Fault(name='caller connection closed', land=close_door),
    Fault(name='store down', land=stop_store, reason=needs_store),
    Fault(
        name='store slow',
        land=slow_store,
        reason=needs_store,
    ),
    Fault(name='store reply lost', land=lose_store_reply, reason=needs_claim),
    Fault(name='stale list', land=replace_unseen, reason=not_own),
)
BY_NAME = {fault.name: fault for fault in FAULTS}

#: Where the two faults of a pair land.
FIRST_STEP, SECOND_STEP = S.CALL_SENT, S.AGENT_RECORDED


def list_pairs(kind):
    """Return the pairs of faults that can land one after the other."""
    pairs = {}
    for number, one in enumerate(FAULTS):
        for other in FAULTS[number + 1 :]:
            for first, second in ((one, other), (other, one)):
                if first.reason(kind, FIRST_STEP):
                    continue
                if second.reason(kind, SECOND_STEP):
                    continue
                landings = ((FIRST_STEP, first), (SECOND_STEP, second))
                pairs[f'{first.name} + {second.name}'] = landings
                break
    return pairs
