"""What subcommands print, as text for a person or JSON for a script."""

import os
import sys
import time
from typing import Any
from typing import Iterable
from typing import Sequence

import msgspec

from .. import findings as findings_module
from . import commands

#: Digits of a digest that a table shows.
SHORT_DIGEST = 12


class FindingLine(msgspec.Struct, frozen=True, kw_only=True):
    """A finding as JSON."""

    file: str
    line: int
    column: int
    field: str
    message: str


class Report(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    """How a command ended, as JSON.

    :ivar outcome: ``done``, ``refused``, ``bad_input``,
        ``platform_unavailable`` or ``outcome_uncertain``.
    """

    outcome: str
    detail: str = ''
    findings: tuple[FindingLine, ...] = ()
    result: Any = None


def say(text: str) -> None:
    """Print a text for a person.

    The reader may have gone, as ``head`` goes after some lines.  What the
    command did stands all the same, so its exit code stays what it is.
    """
    try:
        print(text, flush=True)
    except BrokenPipeError:
        sys.stdout = open(os.devnull, 'w')


def complain(text: str) -> None:
    """Print a line about a fault."""
    print(text, file=sys.stderr)


def write_json(value: Any) -> None:
    """Print a value as one JSON document, indented."""
    text = msgspec.json.format(msgspec.json.encode(value), indent=2)
    say(text.decode())


def report_findings(
    findings: Iterable[findings_module.Finding], output: commands.OutputForm
) -> None:
    """Print every finding on its own line."""
    found = tuple(findings)
    if output == 'json':
        write_json(
            Report(
                outcome='bad_input',
                findings=tuple(_make_line(one) for one in found),
            )
        )
        return
    for one in found:
        complain(str(one))
    complain(count(len(found), 'finding'))


def _make_line(finding: findings_module.Finding) -> FindingLine:
    return FindingLine(
        file=finding.place.source,
        line=finding.place.line,
        column=finding.place.column,
        field=finding.field,
        message=finding.message,
    )


def report_fault(
    outcome: str, detail: str, output: commands.OutputForm
) -> None:
    """Print why a command was not carried out."""
    if output == 'json':
        write_json(Report(outcome=outcome, detail=detail))
    else:
        complain(f'{outcome.replace("_", " ")}: {detail}')


def report_done(text: str, result: Any, output: commands.OutputForm) -> None:
    """Print the result of a command that was carried out."""
    if output == 'json':
        write_json(Report(outcome='done', result=result))
    else:
        say(text)


def count(number: int, noun: str) -> str:
    """Return a number and its noun, which takes a plain s as plural."""
    return f'{number} {noun}' if number == 1 else f'{number} {noun}s'


def format_time(seconds: float) -> str:
    """Return a wall clock time in UTC."""
    return time.strftime('%Y-%m-%d %H:%M:%SZ', time.gmtime(seconds))


def format_table(head: Sequence[str], rows: Iterable[Sequence[str]]) -> str:
    """Return rows under a head, in aligned columns."""
    table = [head, *rows]
    widths = [
        max(len(row[column]) for row in table) for column in range(len(head))
    ]
    lines = []
    for row in table:
        cells = [cell.ljust(width) for cell, width in zip(row, widths)]
        lines.append('  '.join(cells).rstrip())
    return '\n'.join(lines)
