"""Tests of the keys under which non-idempotent calls run."""

import dataclasses

import matrix_caller
import matrix_cells
import matrix_clock
import pytest

from marigoldramp import outcomes
from marigoldramp_standins import site as site_module

pytestmark = pytest.mark.anyio


@pytest.fixture
def anyio_backend():
    return matrix_clock.BACKEND


def set_closed(site, closed):
    for agent in site.agents:
        agent.program.calls._closed = closed


def make_ask(site, key):
    made = matrix_cells.make_ask(site, 'own key', 'call')
    return dataclasses.replace(made, key=key, seconds=2.0)


async def ask_twice(site, ask, first_door, second_door):
    """Ask while no agent takes calls, then again when they do."""
    set_closed(site, True)
    refused = await matrix_caller.send(ask, site.doors[first_door].port)
    set_closed(site, False)
    return refused, await matrix_caller.send(ask, site.doors[second_door].port)


@pytest.mark.parametrize('second_door', [0, 1], ids=['same', 'other'])
async def test_callers_own_key_can_be_tried_again(second_door):
    """A caller's own key is refused for ever after one "not run".

    Sequence: no agent takes calls, the key is refused and barred at its
    agent; the agents take calls again, the caller repeats the request with
    its key.  Cause: the claim went on pairing the key with the barred one.
    """
    layout = matrix_cells.make_layout('own key')
    async with site_module.open_site(layout) as site:
        ask = make_ask(site, 'mine')
        refused, again = await ask_twice(site, ask, 0, second_door)
        runs = matrix_caller.count_runs(site, ask)
    assert isinstance(refused.refusal, outcomes.NotRun)
    assert isinstance(again, matrix_caller.Whole)
    assert runs == 1


async def test_bound_key_stays_barred():
    """The caller's bound key has no claim that could be replaced."""
    layout = matrix_cells.make_layout('bound key')
    async with site_module.open_site(layout) as site:
        key = matrix_caller.bind(site)
        ask = make_ask(site, key)
        refused, again = await ask_twice(site, ask, 0, 1)
    assert isinstance(refused.refusal, outcomes.NotRun)
    assert isinstance(again.refusal, outcomes.NotRun)
