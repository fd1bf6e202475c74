"""Tests of the demonstration's parts that need no fleet."""

import os
import subprocess
import sys

import pytest

from marigoldramp_standins import demo_calls
from marigoldramp_standins import demo_table
from marigoldramp_standins import processes

KIND = demo_calls.Kind
OUTCOME = demo_calls.Outcome


def make_result(kind=KIND.PLEDGE, outcome=OUTCOME.ANSWERED, **rest):
    plan = demo_calls.Plan(kind=kind, reference='call-1')
    return demo_calls.Result(plan=plan, outcome=outcome, **rest)


@pytest.mark.parametrize(
    ('kind', 'outcome', 'runs', 'faults'),
    [
        (KIND.PLEDGE, OUTCOME.ANSWERED, 1, 0),
        (KIND.PLEDGE, OUTCOME.ANSWERED, 0, 1),
        (KIND.PLEDGE, OUTCOME.ANSWERED, 2, 1),
        (KIND.DISPATCH, OUTCOME.NOT_RUN, 0, 1),
        (KIND.DISPATCH, OUTCOME.UNKNOWN, 2, 2),
        (KIND.DISPATCH, OUTCOME.WRONG, 1, 1),
        (KIND.STREAMED_DRAFT, OUTCOME.ANSWERED, 0, 0),
        (KIND.STREAMED_DRAFT, OUTCOME.WRONG, 0, 1),
    ],
)
def test_judge(kind, outcome, runs, faults):
    verdict = demo_table.judge(
        results=[make_result(kind, outcome)], runs={'call-1': runs}
    )
    assert len(verdict.faults) == faults


@pytest.mark.parametrize(
    ('share', 'value'), [(0.5, 50.0), (0.95, 95.0), (0.99, 99.0), (1, 100.0)]
)
def test_percentile(share, value):
    values = [float(one) for one in range(100, 0, -1)]
    assert demo_table.find_percentile(values, share) == value
    assert demo_table.find_percentile([7.0], share) == 7.0


def test_table_has_a_row_for_each_kind_that_was_called():
    results = [
        make_result(total=0.010),
        make_result(outcome=OUTCOME.NOT_RUN),
        make_result(kind=KIND.STREAMED_DRAFT, first=0.002, total=0.1),
    ]
    text = demo_table.render(results=results, runs={'call-1': 2})
    head, streamed, pledge = text.splitlines()
    assert streamed.split()[:5] == ['streamed', 'draft', '1', '1', '0']
    assert '2.0 / 2.0 / 2.0' in streamed and '100.0 / 100.0' in streamed
    assert pledge.split()[:5] == ['pledge', 'confirmation', '2', '1', '1']
    assert pledge.endswith('2x: 2') and '10.0 / 10.0 / 10.0' in pledge
    assert len({len(line) for line in (head, streamed, pledge)}) == 1


def test_plan_is_repeatable_and_names_each_call_once():
    plans = demo_calls.plan_calls(count=200, seed=3)
    assert plans == demo_calls.plan_calls(count=200, seed=3)
    assert len({plan.reference for plan in plans}) == 200
    assert {plan.kind for plan in plans} == set(KIND)


@pytest.mark.anyio
async def test_standin_process_prints_its_address_and_stops(tmp_path):
    process = await processes.start(
        name='ledger',
        arguments=['marigoldramp_standins.service', '--name', 'ledger'],
        folder=tmp_path,
        reads_address=True,
    )
    address = await process.read_address()
    assert address.startswith('http://127.0.0.1:')
    ended = await process.stop(seconds=60)
    assert (ended.code, ended.killed) == (0, False)
    assert process.read_log() == ''


@pytest.mark.anyio
async def test_process_that_ends_early_is_told_with_its_log(tmp_path):
    process = await processes.start(
        name='ledger',
        arguments=['marigoldramp_standins.service', '--unknown'],
        folder=tmp_path,
        reads_address=True,
    )
    with pytest.raises(processes.Failed, match='required: --name'):
        await process.read_address()
    assert (await process.stop(seconds=60)).code == 2


class EndedChild:
    """A child that has ended, which the event loop has not noticed yet."""

    def __init__(self):
        self.child = subprocess.Popen([sys.executable, '-c', 'exit(2)'])
        self.pid = self.child.pid
        self.returncode = None
        os.waitid(os.P_PID, self.pid, os.WEXITED | os.WNOWAIT)

    def send_signal(self, number):
        self.child.send_signal(number)

    async def wait(self):
        try:
            status = os.waitpid(self.pid, 0)[1]
        except ChildProcessError:
            self.returncode = 255
        else:
            self.returncode = os.waitstatus_to_exitcode(status)
        # Seen as ended, so that nobody waits for it again.
        self.child.returncode = self.returncode
        return self.returncode


@pytest.mark.anyio
async def test_exit_code_is_told_though_a_stop_came_just_after_the_end(
    tmp_path,
):
    """A process that ended with 2 is told to have ended with 255.

    Sequence: the process ends; before the event loop has its exit status, it
    is asked to stop, which looks whether it has ended and takes the status.
    Cause: a signal sent by a way that polls the process first.
    """
    process = processes.Process(
        name='ledger', log=tmp_path / 'log', process=EndedChild()
    )
    assert (await process.stop(seconds=60)).code == 2


@pytest.mark.anyio
async def test_command_that_fails_is_told_with_its_output():
    with pytest.raises(processes.Failed, match='required: --name'):
        await processes.run(arguments=['marigoldramp_standins.service'])
