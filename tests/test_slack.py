"""Tests of how long the calls in flight can be delayed."""

import math

import pytest

from marigoldramp import executions
from marigoldramp import slack


def make_running(begun, deadline):
    execution = executions.Execution(call='call', window=1)
    execution.begun = begun
    execution.deadline = deadline
    execution.hand_over()
    return execution


@pytest.mark.anyio
@pytest.mark.parametrize(
    ('calls', 'seconds'),
    [
        ([], math.inf),
        ([(100.0, 110.0)], 5.0),
        ([(96.0, 106.0)], 5.0),
        ([(90.0, 101.0)], 1.0),
        ([(100.0, 103.0), (100.0, 120.0)], -2.0),
    ],
    ids=['idle', 'begun-now', 'about-to-end', 'overdue', 'too-late'],
)
async def test_slack(calls, seconds):
    running = [make_running(*call) for call in calls]
    waiting = executions.Execution(call='waiting', window=1)
    found = slack.find(
        running=[*running, waiting], service_seconds=5.0, now=100.0
    )
    assert found == seconds
