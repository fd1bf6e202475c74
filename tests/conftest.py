"""Settings shared by all tests."""

import collections
import dataclasses
import os

import hypothesis
import known_red
import pytest

hypothesis.settings.register_profile(
    'ci', derandomize=True, deadline=None, max_examples=60, database=None
)
hypothesis.settings.register_profile(
    'long', deadline=None, max_examples=2000, print_blob=True
)
hypothesis.settings.load_profile(os.environ.get('HYPOTHESIS_PROFILE', 'ci'))


@pytest.fixture
def anyio_backend() -> str:
    """Run coroutine tests on asyncio, as the programs do."""
    return 'asyncio'


@dataclasses.dataclass(kw_only=True)
class _Row:
    cells: int = 0
    checks: int = 0
    impossible: int = 0
    outcomes: collections.Counter = dataclasses.field(
        default_factory=collections.Counter
    )


class FaultTable:
    """Counts of the fault matrix, printed at the end of a test run."""

    def __init__(self):
        self.rows = {}

    def add(self, fault, kind, cell):
        """Count a cell that has passed."""
        row = self.rows.setdefault(fault, _Row())
        row.cells += 1
        row.checks += cell.checks
        row.outcomes[cell.outcome] += 1

    def describe(self):
        """Return the rows as values that one process can send another."""
        return {
            name: dataclasses.asdict(row) | {'outcomes': dict(row.outcomes)}
            for name, row in self.rows.items()
        }

    def merge(self, described):
        """Add the rows of another process."""
        for name, values in described.items():
            row = self.rows.setdefault(name, _Row())
            row.cells += values['cells']
            row.checks += values['checks']
            row.impossible += values['impossible']
            row.outcomes.update(values['outcomes'])

    def add_impossible(self, fault, cells):
        """Count cells that cannot occur, for a stated reason."""
        self.rows.setdefault(fault, _Row()).impossible += cells

    def lines(self):
        """Return the table as text."""
        form = '{:44} {:>5} {:>10} {:>6} {:>8} {:>7} {:>7}'
        yield form.format(
            'fault',
            'cells',
            'impossible',
            'checks',
            'answered',
            'not run',
            'unknown',
        )
        for name, row in self.rows.items():
            counts = (
                row.outcomes[one] for one in ('answered', 'not run', 'unknown')
            )
            yield form.format(
                name, row.cells, row.impossible, row.checks, *counts
            )


_FAULT_TABLE = FaultTable()


@pytest.fixture
def fault_table():
    """Return the table to which the cells of the matrix are added."""
    return _FAULT_TABLE


def pytest_sessionfinish(session):
    """Send what a worker of a parallel run has counted to its controller."""
    output = getattr(session.config, 'workeroutput', None)
    if output is not None:
        output['fault_table'] = _FAULT_TABLE.describe()


@pytest.hookimpl(optionalhook=True)
def pytest_testnodedown(node, error):
    """Take over what a worker has counted, if it has not crashed."""
    _FAULT_TABLE.merge(
        getattr(node, 'workeroutput', {}).get('fault_table', {})
    )


def pytest_terminal_summary(terminalreporter):
    """Print the fault matrix, if any of it was run."""
    if not _FAULT_TABLE.rows:
        return
    terminalreporter.section('fault matrix')
    for line in _FAULT_TABLE.lines():
        terminalreporter.write_line(line)


def pytest_configure(config):
    """Pass over the tests that are known to fail, and print them."""
    config.pluginmanager.register(known_red.Plugin(known_red.load()))
