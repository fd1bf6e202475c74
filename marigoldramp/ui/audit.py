"""The subcommand that prints the audit trail."""

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
    output: commands.Output = 'text',
) -> int:
    """Print who submitted, signed and rolled what, the newest first."""
    from .. import audit
    from .. import operations
    from .. import store
    from . import platform_calls

    known = readers.read_settings(
        settings, settings_module.Role.OPERATOR, output
    )
    if known is None:
        return exits.BAD_INPUT
    trail = platform_calls.run(
        known,
        '',
        lambda one: audit.read(
            one.store, now=one.wall(), days=days, most=most
        ),
    )
    if isinstance(trail, store.Unavailable):
        failure = operations.PlatformAway(detail=trail.detail)
        return platform_calls.report_failure(failure, output)
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
