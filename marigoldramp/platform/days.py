"""Plays days with one kind of trouble each on the users' bench.

Run by ``python -m marigoldramp.platform.days``.  The days stand in
``deploy/days.toml``; traffic and lengths come from a calm day of the site
that is played.  Each trouble is played as two days: ``often`` has it early,
twice in a row and late; ``away`` has it while the platform's store is down.
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

Trouble = dict[str, Any]

#: Seconds from the start of traffic at which a trouble comes, on the day that
#: has it often.  Days of a site last some 30 s.
OFTEN = (1.0, 9.0, 12.0, 22.0)
#: The same on the day without a store, and when that is down.
AWAY = (10.0, 16.0)
STORE_DOWN: Trouble = {
    'kind': 'platform_down',
    'how': 'silent',
    'at': 8.0,
    'for_s': 9.0,
}
#: Seconds for one day; a few times what one takes on a busy machine.
LONGEST_DAY = 600.0


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Day:
    """One day.

    :ivar content: a site's entry for a day.
    """

    name: str
    content: dict[str, Any]


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Outcome:
    """What came of a day.

    :ivar broken: how often each rule was broken.
    :ivar served: part of the requests that were served at all.
    :ivar fault: why the day could not be judged, if it could not.
    """

    name: str
    broken: dict[str, int]
    served: float
    worth: float
    fault: str


def make_days(*, troubles: dict[str, Any], calm: Trouble) -> Iterator[Day]:
    """Return all days, made from a calm day of a site."""
    for part in ('plan', 'faults'):
        for trouble in troubles[part]:
            name = _name(trouble)
            yield _make_day(f'{name}-often', calm, part, trouble, OFTEN, ())
            yield _make_day(
                f'{name}-away', calm, part, trouble, AWAY, (STORE_DOWN,)
            )


def _name(trouble: Trouble) -> str:
    words = [trouble['kind'], *str(trouble.get('how', '')).split()]
    return '-'.join(words)


def _make_day(
    name: str,
    calm: Trouble,
    part: str,
    trouble: Trouble,
    times: tuple[float, ...],
    more: tuple[Trouble, ...],
) -> Day:
    content = copy.deepcopy(calm)
    content |= {'name': name, 'plan': [], 'faults': list(more)}
    content[part] += [trouble | {'at': at} for at in times]
    return Day(name=name, content=content)


def find_calm(site: dict[str, Any]) -> Trouble:
    """Return the first calm day of a site.

    :raises ValueError: it has none.
    """
    for day in site['day']:
        if day['slot'] == 'quiet':
            return dict(day)
    raise ValueError('the site has no calm day')


def render(day: Day) -> str:
    """Return a day as TOML."""
    lines = ['[[day]]']
    for key, value in day.content.items():
        lines.append(f'{key} = {_render(value)}')
    return '\n'.join(lines) + '\n'


def _render(value: Any) -> str:
    match value:
        case dict():
            inner = (f'{key} = {_render(one)}' for key, one in value.items())
            return '{ ' + ', '.join(inner) + ' }'
        case list() | tuple():
            return '[' + ', '.join(_render(one) for one in value) + ']'
        case _:
            return json.dumps(value)


def read_report(*, name: str, text: str) -> Outcome:
    """Return the outcome in a report of the bench."""
    found = json.loads(text)
    return Outcome(
        name=name,
        broken=dict(found['breaks']),
        served=found['served'],
        worth=found['G'],
        fault=found['fault'] or '',
    )


def _play(bench: str, site: str, day: Day, why: str) -> Outcome:
    with tempfile.TemporaryDirectory() as folder:
        written = pathlib.Path(folder, 'day.toml')
        written.write_text(render(day))
        report = pathlib.Path(folder, 'report.json')
        arguments = [bench, 'run', site, str(written), '--report']
        arguments += [str(report), '--why', f'{why}: {day.name}']
        done = subprocess.run(
            arguments, capture_output=True, text=True, timeout=LONGEST_DAY
        )
        if not report.exists():
            lines = (done.stdout + done.stderr).strip().splitlines()
            detail = lines[-1] if lines else 'no output'
            return Outcome(
                name=day.name, broken={}, served=0.0, worth=0.0, fault=detail
            )
        return read_report(name=day.name, text=report.read_text())


async def _play_all(
    bench: str, site: str, days: list[Day], jobs: int, why: str
) -> list[Outcome]:
    limiter = anyio.CapacityLimiter(jobs)
    outcomes: dict[str, Outcome] = {}

    async def play(day: Day) -> None:
        outcome = await anyio.to_thread.run_sync(
            _play, bench, site, day, why, limiter=limiter
        )
        outcomes[day.name] = outcome
        print(_describe(outcome), flush=True)

    async with anyio.create_task_group() as tasks:
        for day in days:
            tasks.start_soon(play, day)
    return [outcomes[day.name] for day in days]


def _describe(outcome: Outcome) -> str:
    broken = ' '.join(
        f'{rule}:{count}' for rule, count in sorted(outcome.broken.items())
    )
    return (
        f'{outcome.name:36} {outcome.served:6.3f} {outcome.worth:6.3f}  '
        f'{outcome.fault or broken or "-"}'
    )


def play(
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
    """Play the days of a site and print a table; 1 if a rule was broken.

    :param site: the site's file.
    :param bench: the bench's program.
    :param days: the troubles.
    :param only: play the days whose names begin so.
    :param part: play only one of the two days of each trouble.
    :param jobs: days played at once.
    :param why: a line for the bench's journal.
    """
    calm = find_calm(tomllib.loads(pathlib.Path(site).read_text()))
    troubles = tomllib.loads(days.read_text())
    ending = '' if part == 'all' else f'-{part}'
    chosen = [
        day
        for day in make_days(troubles=troubles, calm=calm)
        if day.name.startswith(only) and day.name.endswith(ending)
    ]
    print(f'{"day":36} served  worth  rules broken', flush=True)
    outcomes = anyio.run(
        functools.partial(_play_all, bench, site, chosen, jobs, why)
    )
    bad = [one.name for one in outcomes if one.broken or one.fault]
    print(f'{len(outcomes)} days, {len(bad)} red: {" ".join(bad) or "none"}')
    return 1 if bad else 0


if __name__ == '__main__':
    sys.exit(cyclopts.run(play))
