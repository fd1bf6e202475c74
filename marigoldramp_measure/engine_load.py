"""Calls beside foreign work on one engine, with and without its report."""

import dataclasses
import pathlib
import random as random_module

import anyio
import httpcore

from marigoldramp import messages
from marigoldramp_standins import answers
from marigoldrampplug import model_engine

from . import affinity
from . import site as site_module
from . import tables

ENGINES = 2
SLOTS = 8
#: Streams that somebody else keeps running on the first engine.
FOREIGN = 6
#: Calls a second; with few, an entry learns little from its own.
RATES = (3.0, 20.0)
SECONDS = 10.0
TOKENS = 24


class DeafEngine(model_engine.ModelEngine):
    """Does not take the engine's load report into the agent's."""

    name = 'deaf_engine'

    def complete(self, load: messages.Load) -> messages.Load:
        return load


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Row:
    """Calls with the report heard or not.

    :ivar beside: share of the calls that went to the engine with the
        foreign work.
    """

    rate: float
    heard: bool
    calls: int
    answered: int
    beside: float
    first_p50: float
    first_p95: float
    total_p95: float


def _write_request(text: str, tokens: int) -> answers.ChatRequest:
    return answers.ChatRequest(
        model=site_module.MODEL,
        messages=(answers.Message(role='user', content=text),),
        max_tokens=tokens,
        stream=True,
    )


async def _keep_busy(engine: site_module.Engine) -> None:
    """Submit foreign work to an engine, again when it has ended."""
    for number in range(10_000):
        job = engine.core.submit(
            request=_write_request('foreign', answers.MOST_TOKENS),
            name=f'foreign-{number}',
        )
        if job is None:
            return
        while not job.has_ended():
            await job.changed.wait()


async def _measure(*, rate: float, heard: bool, seed: int) -> Row:
    kind = 'model_engine' if heard else DeafEngine.name
    layout = site_module.Layout(engines=ENGINES, slots=SLOTS, kind=kind)
    chance = random_module.Random(seed)
    found: list[affinity.Answered | None] = []

    async def ask(at: float, number: int) -> None:
        await anyio.sleep(at)
        found.append(
            await affinity.ask_entry(
                pool=pool,
                address=site.address,
                request=_write_request(f'call {number}', TOKENS),
            )
        )

    async with (
        httpcore.AsyncConnectionPool(max_connections=None) as pool,
        site_module.start(layout=layout, seed=seed) as site,
        anyio.create_task_group() as foreign,
    ):
        for _ in range(FOREIGN):
            foreign.start_soon(_keep_busy, site.engines[0])
        await anyio.sleep(2.0)
        async with anyio.create_task_group() as group:
            at = chance.expovariate(rate)
            while at < SECONDS:
                group.start_soon(ask, at, len(found))
                at += chance.expovariate(rate)
        beside = len(site.engines[0].jobs) - FOREIGN
        foreign.cancel_scope.cancel()
    whole = [one for one in found if one is not None]
    firsts = [one.first for one in whole]
    return Row(
        rate=rate,
        heard=heard,
        calls=len(found),
        answered=len(whole),
        beside=beside / len(found),
        first_p50=tables.quantile(firsts, 0.5),
        first_p95=tables.quantile(firsts, 0.95),
        total_p95=tables.quantile([one.total for one in whole], 0.95),
    )


def run(*, seed: int, out: pathlib.Path) -> None:
    """Measure the same calls twice."""
    rows = []
    for rate in RATES:
        for heard in (False, True):

            async def main() -> Row:
                return await _measure(rate=rate, heard=heard, seed=seed)

            rows.append(anyio.run(main))
    tables.write(rows=rows, path=out / 'engine_load.csv')
