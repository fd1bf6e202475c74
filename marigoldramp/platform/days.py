"""Runs test days with one kind of disruption each on the users' test bench.

Run by ``python -m marigoldramp.platform.days``.  A day is one scenario of the
bench; a site is the simulated deployment.  ``deploy/days.toml`` lists the
disruptions; traffic and length are those of a quiet day of the site.  Each
disruption has two days: on ``often`` it occurs early, twice in a row and
late, on ``away`` while the platform's store is down.
"""

import copy
import dataclasses
import functools
import json
import pathlib
import subprocess
import sys
import tempfile
import tomllib
from typing import Annotated
from typing import Any
from typing import Iterator
from typing import Literal

import anyio
import anyio.to_thread
import cyclopts

TomlTable = dict[str, Any]

#: When a disruption occurs on the day ``often``, from the start of traffic.
#: Days of a site last about 30 s.
REPEATED_AT_SECONDS = (1.0, 9.0, 12.0, 22.0)
#: The same on the day ``away``, during the outage of the store.
OUTAGE_AT_SECONDS = (10.0, 16.0)
STORE_OUTAGE: TomlTable = {
    'kind': 'platform_down',
    'how': 'silent',
    'at': 8.0,
    'for_s': 9.0,
}
#: Several times what a day takes on a busy machine.
MAX_DAY_SECONDS = 600.0


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Day:
    """One day.

    :ivar content: the day's table, as in a site's file.
    """

    name: str
    content: dict[str, Any]


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Outcome:
    """Result of a day.

    :ivar broken: how often each rule was broken.
    :ivar served: share of the requests that were served at all.
    :ivar worth: the bench's score of the day.
    :ivar fault: why the day has no valid result; empty if it has one.
    """

    name: str
    broken: dict[str, int]
    served: float
    worth: float
    fault: str


def make_days(
    *, disruptions: dict[str, Any], quiet_day: TomlTable
) -> Iterator[Day]:
    """Return all days, made from a quiet day of a site."""
    for part in ('plan', 'faults'):
        for disruption in disruptions[part]:
            name = _make_name(disruption)
            yield _make_day(
                f'{name}-often',
                quiet_day,
                part,
                disruption,
                REPEATED_AT_SECONDS,
                (),
            )
            yield _make_day(
                f'{name}-away',
                quiet_day,
                part,
                disruption,
                OUTAGE_AT_SECONDS,
                (STORE_OUTAGE,),
            )


def _make_name(disruption: TomlTable) -> str:
    words = [disruption['kind'], *str(disruption.get('how', '')).split()]
    return '-'.join(words)


def _make_day(
    name: str,
    quiet_day: TomlTable,
    part: str,
    disruption: TomlTable,
    times: tuple[float, ...],
    other_faults: tuple[TomlTable, ...],
) -> Day:
    content = copy.deepcopy(quiet_day)
    content |= {'name': name, 'plan': [], 'faults': list(other_faults)}
    content[part] += [disruption | {'at': at} for at in times]
    return Day(name=name, content=content)


def find_quiet_day(site: dict[str, Any]) -> TomlTable:
    """Return the first quiet day of a site.

    :raises ValueError: it has none.
    """
    for day in site['day']:
        if day['slot'] == 'quiet':
            return dict(day)
    raise ValueError('the site has no quiet day')


def render_toml(day: Day) -> str:
    """Return a day as TOML."""
    lines = ['[[day]]']
    for key, value in day.content.items():
        lines.append(f'{key} = {_render_value(value)}')
    return '\n'.join(lines) + '\n'


def _render_value(value: Any) -> str:
    match value:
        case dict():
            inner = (
                f'{key} = {_render_value(item)}' for key, item in value.items()
            )
            return '{ ' + ', '.join(inner) + ' }'
        case list() | tuple():
            return '[' + ', '.join(_render_value(item) for item in value) + ']'
        case _:
            return json.dumps(value)


def read_report(*, name: str, text: str) -> Outcome:
    """Return the outcome in a report of the bench."""
    report = json.loads(text)
    return Outcome(
        name=name,
        broken=dict(report['breaks']),
        served=report['served'],
        worth=report['G'],
        fault=report['fault'] or '',
    )


def _run_day(bench: str, site: str, day: Day, why: str) -> Outcome:
    with tempfile.TemporaryDirectory() as folder:
        written = pathlib.Path(folder, 'day.toml')
        written.write_text(render_toml(day))
        report = pathlib.Path(folder, 'report.json')
        arguments = [bench, 'run', site, str(written), '--report']
        arguments += [str(report), '--why', f'{why}: {day.name}']
        completed = subprocess.run(
            arguments, capture_output=True, text=True, timeout=MAX_DAY_SECONDS
        )
        if not report.exists():
            lines = (completed.stdout + completed.stderr).strip().splitlines()
            detail = lines[-1] if lines else 'no output'
            return Outcome(
                name=day.name, broken={}, served=0.0, worth=0.0, fault=detail
            )
        return read_report(name=day.name, text=report.read_text())


async def _run_days(
    bench: str, site: str, days: list[Day], jobs: int, why: str
) -> list[Outcome]:
    limiter = anyio.CapacityLimiter(jobs)
    outcomes: dict[str, Outcome] = {}

    async def run(day: Day) -> None:
        outcome = await anyio.to_thread.run_sync(
            _run_day, bench, site, day, why, limiter=limiter
        )
        outcomes[day.name] = outcome
        print(_describe(outcome), flush=True)

    async with anyio.create_task_group() as tasks:
        for day in days:
            tasks.start_soon(run, day)
    return [outcomes[day.name] for day in days]


def _describe(outcome: Outcome) -> str:
    broken = ' '.join(
        f'{rule}:{count}' for rule, count in sorted(outcome.broken.items())
    )
    return (
        f'{outcome.name:36} {outcome.served:6.3f} {outcome.worth:6.3f}  '
        f'{outcome.fault or broken or "-"}'
    )


def run(
    site: str,
    *,
    bench: str,
    days: pathlib.Path = pathlib.Path('deploy/days.toml'),
    only: str = '',
    part: Literal['all', 'often', 'away'] = 'all',
    jobs: Annotated[
        int, cyclopts.Parameter(validator=cyclopts.validators.Number(gte=1))
    ] = 4,
    why: str = 'Days with one kind of trouble',
) -> int:
    """Run the days of a site and print a table.

    Exits with 1 if a rule was broken or a day has no valid result.

    :param site: the site's file.
    :param bench: the bench's program.
    :param days: file of the disruptions.
    :param only: run the days whose names begin with this.
    :param part: run only one of the two days of each disruption.
    :param jobs: days run at once.
    :param why: a line for the bench's journal.
    """
    quiet_day = find_quiet_day(tomllib.loads(pathlib.Path(site).read_text()))
    disruptions = tomllib.loads(days.read_text())
    ending = '' if part == 'all' else f'-{part}'
    selected = [
        day
        for day in make_days(disruptions=disruptions, quiet_day=quiet_day)
        if day.name.startswith(only) and day.name.endswith(ending)
    ]
    print(f'{"day":36} served  worth  rules broken', flush=True)
    outcomes = anyio.run(
        functools.partial(_run_days, bench, site, selected, jobs, why)
    )
    failed = [item.name for item in outcomes if item.broken or item.fault]
    print(
        f'{len(outcomes)} days, {len(failed)} failed: '
        f'{" ".join(failed) or "none"}'
    )
    return 1 if failed else 0


if __name__ == '__main__':
    sys.exit(cyclopts.run(run))
