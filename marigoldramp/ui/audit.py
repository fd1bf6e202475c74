"""The subcommand that prints the audit trail."""

from typing import Annotated

import cyclopts

from .. import settings as settings_module
from . import commands
from . import exits
from . import output as output_module
from . import readers


def show_trail(
    *,
    settings: commands.SettingsPath,
    days: commands.Days = 7,
    most: commands.Most = 100,
    bundle: Annotated[
        int,
        cyclopts.Parameter(
            help='Only this bundle, with the time at which each instance '
            'took it up.'
        ),
    ] = 0,
    output: commands.Output = 'text',
) -> int:
    """Print who submitted, signed and rolled what, the newest first."""
    from .. import audit
    from .. import operations
    from . import platform_calls

    async def read(
        operator: operations.Operations,
    ) -> audit.Trail | operations.Failure:
        from .. import bundle_trails

        if bundle:
            return await bundle_trails.read(
                operator, number=bundle, days=days, most=most
            )
        trail = await audit.read(
            operator.store, now=operator.wall(), days=days, most=most
        )
        if isinstance(trail, audit.Trail):
            return trail
        return operations.PlatformAway(detail=trail.detail)

    known = readers.read_settings(
        settings, settings_module.Role.OPERATOR, output
    )
    if known is None:
        return exits.BAD_INPUT
    trail = platform_calls.run(known, '', read)
    if not isinstance(trail, audit.Trail):
        return platform_calls.report_failure(trail, output)
    rows = [
        (
            output_module.format_time(entry.at),
            entry.actor,
            entry.action.value,
            str(entry.number),
            entry.digest[: output_module.SHORT_DIGEST],
            entry.detail,
        )
        for entry in trail.entries
    ]
    head = ('TIME', 'ACTOR', 'ACTION', 'BUNDLE', 'DIGEST', 'DETAIL')
    text = output_module.format_table(head, rows)
    if not trail.complete:
        text += '\nthere are more; ask for more with --most'
    output_module.report_done(text, trail, output)
    return exits.DONE


COMMAND = commands.Command(
    name='audit',
    help='Print who changed, signed and rolled what, and when.',
    function=show_trail,
)
