"""Tokens that engines generate for callers that have gone."""

import dataclasses
import pathlib

import anyio
import httpcore

from marigoldramp import event_streams
from marigoldramp_standins import answers
from marigoldrampplug import model_engine

from . import site as site_module
from . import tables

CALLERS = 16
TOKENS = 400
#: Tokens after which each caller leaves.
READ = 20
#: Seconds after that in which the engine's work is counted.
AFTER = 8.0
#: How long an engine keeps a stream that nobody reads.
KEPT = (0.0, 30.0)
#: A caller that says it comes back; its entry then tells the agent nothing.
RESUMABLE = (b'marigoldramp-resumable', b'1')


class ClosingEngine(model_engine.ModelEngine):
    """Cancels by closing the connection alone."""

    name = 'closing_engine'

    async def _cancel(self, stream: event_streams.Stream) -> None:
        return


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Row:
    """One way of giving up.

    :ivar kept: seconds for which the engine keeps streams without readers.
    :ivar delete: the agent cancels the stream at the engine.
    :ivar told: the entry tells the agent that the caller has gone.
    :ivar unread: tokens generated that no caller had read, in all.
    :ivar share: the same over all tokens generated.
    """

    kept: float
    delete: bool
    told: bool
    callers: int
    generated: int
    unread: int
    share: float


async def leave_early(address: str, number: int, told: bool) -> int:
    """Read some tokens of a stream and go; return how many were read."""
    message = answers.Message(role='user', content=f'call {number}')
    request = site_module.make_request(
        address=address,
        request=answers.ChatRequest(
            model=site_module.MODEL,
            messages=(message,),
            max_tokens=TOKENS,
            stream=True,
        ),
        headers=() if told else [RESUMABLE],
    )
    read = 0
    async with httpcore.AsyncConnectionPool() as pool:
        response = await pool.handle_async_request(request)
        try:
            async for chunk in response.aiter_stream():
                read += chunk.count(b'data: ')
                if read >= READ:
                    break
        finally:
            await response.aclose()
    return read


async def _measure(*, kept: float, delete: bool, told: bool, seed: int) -> Row:
    kind = 'model_engine' if delete else ClosingEngine.name
    layout = site_module.Layout(slots=CALLERS, resume_seconds=kept, kind=kind)
    counts: list[int] = []

    async def call(number: int) -> None:
        counts.append(await leave_early(site.address, number, told))

    async with site_module.start(layout=layout, seed=seed) as site:
        async with anyio.create_task_group() as group:
            for number in range(CALLERS):
                group.start_soon(call, number)
        await anyio.sleep(AFTER)
        generated = site.count_tokens()
    unread = generated - sum(counts)
    return Row(
        kept=kept,
        delete=delete,
        told=told,
        callers=CALLERS,
        generated=generated,
        unread=unread,
        share=unread / generated,
    )


def run(*, seed: int, out: pathlib.Path) -> None:
    """Measure the three ways with engines that keep streams or do not."""
    rows = []
    for kept in KEPT:
        for delete, told in ((False, False), (True, False), (True, True)):

            async def main() -> Row:
                return await _measure(
                    kept=kept, delete=delete, told=told, seed=seed
                )

            rows.append(anyio.run(main))
    tables.write(rows=rows, path=out / 'cancelling.csv')
