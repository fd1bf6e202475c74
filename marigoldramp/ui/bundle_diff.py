"""The subcommand that shows what a bundle would change."""

from typing import Annotated
from typing import Any

import cyclopts

from .. import settings as settings_module
from . import commands
from . import exits
from . import output as output_module
from . import readers


def diff(
    file: commands.BundlePath = '',
    *,
    digest: Annotated[
        str,
        cyclopts.Parameter(help='Compare this proposal instead of a file.'),
    ] = '',
    settings: commands.SettingsPath,
    output: commands.Output = 'text',
) -> int:
    """Compare a file or a proposal with the bundle in force."""
    from .. import changes
    from . import platform_calls

    known = readers.read_settings(
        settings, settings_module.Role.OPERATOR, output
    )
    if known is None:
        return exits.BAD_INPUT
    if bool(file) == bool(digest):
        output_module.report_fault(
            'bad_input', 'give either FILE or --digest', output
        )
        return exits.BAD_INPUT
    if file:
        whole = readers.read_bundle(file, output)
        if whole is None:
            return exits.BAD_INPUT
        outcome = platform_calls.run(
            known, '', lambda one: changes.compare_bundle(one, whole=whole)
        )
    else:
        outcome = platform_calls.run(
            known, '', lambda one: changes.compare_proposal(one, digest=digest)
        )
    if not isinstance(outcome, changes.Comparison):
        return platform_calls.report_failure(outcome, output)
    output_module.report_done(_describe(outcome), outcome, output)
    return exits.DONE


def _describe(comparison: Any) -> str:
    differences = output_module.count(
        len(comparison.differences), 'difference'
    )
    lines = [
        f'bundle {comparison.number} against bundle {comparison.in_force} '
        f'in force: {differences}'
    ]
    for one in comparison.differences:
        lines.append(f'{one.change} in {one.section}: {one.name}')
        for field in one.fields:
            lines.append(
                f'    {field.field}: {_show(field.before)} -> '
                f'{_show(field.after)}'
            )
    return '\n'.join(lines)


def _show(value: Any) -> str:
    if isinstance(value, tuple):
        return '[' + ', '.join(_show(item) for item in value) + ']'
    return str(value)


COMMAND = commands.Command(
    name='diff',
    help='Show what a bundle would change against the one in force.',
    function=diff,
)
