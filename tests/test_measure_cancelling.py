"""Tests of the whole way from a caller that leaves to its engine."""

import anyio
import pytest

from marigoldramp_measure import cancelling
from marigoldramp_measure import site as site_module
from marigoldramp_standins import answers
from marigoldramp_standins import batching

pytestmark = pytest.mark.anyio

#: An agent that is not told keeps the call for so long.
LONG = 1000.0


async def test_engine_stops_when_the_caller_has_gone(monkeypatch):
    """An engine generates to the end what nobody reads.

    The caller closes its connection in mid-stream and says nothing of
    coming back; entry, agent and engine would all wait for it.
    """
    monkeypatch.setattr(cancelling, 'TOKENS', answers.MOST_TOKENS)
    layout = site_module.Layout(
        resume_seconds=LONG,
        speed=batching.Speed(step=0.001, sequence=0.0),
        agent={'resume_seconds': LONG},
    )
    async with site_module.start(layout=layout, seed=1) as site:
        (engine,) = site.engines
        stopped = anyio.Event()
        note = engine.core.on_change

        def watch():
            note()
            if not engine.core.running and not engine.core.waiting:
                stopped.set()

        engine.core.on_change = watch
        with anyio.fail_after(30):
            await cancelling.leave_early(site.address, 1, True)
            await stopped.wait()
        assert site.count_tokens() < answers.MOST_TOKENS
