"""Prefix hits and first-token time with and without prefix affinity.

Prompts begin with one of some long templates and end in text of their own.
No engine's cache holds all templates.
"""

import dataclasses
import pathlib
import random as random_module
import time

import anyio
import httpcore

from marigoldramp import messages
from marigoldramp_standins import answers
from marigoldramp_standins import prefixes
from marigoldrampplug import prefix_affinity

from . import site as site_module
from . import tables

ENGINES = 3
ENTRIES = 4
TEMPLATES = 24
TEMPLATE_BLOCKS = 64
OWN_BYTES = 1024
#: Each engine has room for about so many templates.
CACHED_TEMPLATES = 10
TOKENS = 16
#: Calls a second over all engines; the highest is near what they can do
#: without any hit.
RATES = (6.0, 15.0, 24.0, 36.0)
SECONDS = 10.0
#: Calls of the first seconds fill the caches and are not counted.
WARM = 3.0
BASELINE = 'two_choices'


class FromCalls(prefix_affinity.PrefixAffinity):
    """Learns from the entry's own calls alone."""

    name = 'prefix_from_calls'

    def note_cache_events(self, events: messages.CacheEvents) -> None:
        return


class FromEvents(prefix_affinity.PrefixAffinity):
    """Learns from cache events alone."""

    name = 'prefix_from_events'
    learns_from_calls = False


POLICIES = (
    BASELINE,
    FromEvents.name,
    FromCalls.name,
    'prefix_affinity',
)


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Row:
    """One policy at one rate.

    :ivar hits: prompt blocks found in the cache, over all asked for.
    :ivar first_p50: seconds until the first token, at the caller.
    :ivar spread: calls of the busiest engine over those of the idlest.
    :ivar core: share of a core that the whole process used; the figures say
        nothing where it is near 1.
    """

    rate: float
    policy: str
    calls: int
    answered: int
    hits: float
    first_p50: float
    first_p95: float
    total_p95: float
    spread: float
    core: float


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class _Call:
    at: float
    entry: int
    request: answers.ChatRequest


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Answered:
    first: float
    total: float


def _make_text(random: random_module.Random, size: int) -> str:
    return random.randbytes(size // 2).hex()


def make_calls(*, random: random_module.Random, rate: float) -> list[_Call]:
    """Return Poisson arrivals of prompts with shared beginnings."""
    size = TEMPLATE_BLOCKS * prefixes.BLOCK_BYTES
    templates = [_make_text(random, size) for _ in range(TEMPLATES)]
    calls = []
    at = random.expovariate(rate)
    while at < SECONDS:
        text = random.choice(templates) + _make_text(random, OWN_BYTES)
        message = answers.Message(role='user', content=text)
        request = answers.ChatRequest(
            model=site_module.MODEL,
            messages=(message,),
            max_tokens=TOKENS,
            stream=True,
        )
        entry = random.randrange(ENTRIES)
        calls.append(_Call(at=at, entry=entry, request=request))
        at += random.expovariate(rate)
    return calls


async def ask_entry(
    *,
    pool: httpcore.AsyncConnectionPool,
    address: str,
    request: answers.ChatRequest,
) -> Answered | None:
    begun = time.monotonic()
    first = 0.0
    body = b''
    response = await pool.handle_async_request(
        site_module.make_request(address=address, request=request)
    )
    try:
        async for chunk in response.aiter_stream():
            first = first or time.monotonic() - begun
            body += chunk
    finally:
        await response.aclose()
    if answers.read_stream(body) != answers.write_text(request):
        return None
    return Answered(first=first, total=time.monotonic() - begun)


async def _measure(*, policy: str, rate: float, seed: int) -> Row:
    blocks = TEMPLATE_BLOCKS + OWN_BYTES // prefixes.BLOCK_BYTES
    layout = site_module.Layout(
        engines=ENGINES,
        entries=ENTRIES,
        routing=policy,
        cache_blocks=CACHED_TEMPLATES * blocks,
    )
    calls = make_calls(random=random_module.Random(seed), rate=rate)
    found: list[Answered | None] = []

    async def ask(call: _Call) -> None:
        await anyio.sleep(call.at)
        answered = await ask_entry(
            pool=pool,
            address=site.addresses[call.entry],
            request=call.request,
        )
        if call.at >= WARM:
            found.append(answered)

    async def begin_to_count() -> None:
        await anyio.sleep(WARM)
        for one in site.engines:
            one.cache.asked = one.cache.found = 0

    async with (
        httpcore.AsyncConnectionPool(max_connections=None) as pool,
        site_module.start(layout=layout, seed=seed) as site,
    ):
        begun, used = time.monotonic(), time.process_time()
        async with anyio.create_task_group() as group:
            group.start_soon(begin_to_count)
            for call in calls:
                group.start_soon(ask, call)
        core = (time.process_time() - used) / (time.monotonic() - begun)
        asked = sum(one.cache.asked for one in site.engines)
        hits = sum(one.cache.found for one in site.engines)
        shares = [len(one.jobs) for one in site.engines]
    whole = [one for one in found if one is not None]
    firsts = [one.first for one in whole]
    return Row(
        rate=rate,
        policy=policy,
        calls=len(found),
        answered=len(whole),
        hits=hits / max(1, asked),
        first_p50=tables.quantile(firsts, 0.5),
        first_p95=tables.quantile(firsts, 0.95),
        total_p95=tables.quantile([one.total for one in whole], 0.95),
        spread=max(shares) / max(1, min(shares)),
        core=core,
    )


def run(*, seed: int, out: pathlib.Path) -> None:
    """Measure every policy at every rate on the same prompts."""
    rows = []
    for rate in RATES:
        for policy in POLICIES:

            async def main() -> Row:
                return await _measure(policy=policy, rate=rate, seed=seed)

            rows.append(anyio.run(main))
    tables.write(rows=rows, path=out / 'affinity.csv')
