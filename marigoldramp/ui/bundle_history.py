"""The subcommand that lists the rolls of the last days."""

from .. import settings as settings_module
from . import commands
from . import exits
from . import output as output_module
from . import readers


def show_history(
    *,
    settings: commands.SettingsPath,
    days: commands.Days = 7,
    most: commands.Most = 50,
    output: commands.Output = 'text',
) -> int:
    """List who rolled which bundle and how it ended, the newest first."""
    from .. import history
    from . import platform_calls

    known = readers.read_settings(
        settings, settings_module.Role.OPERATOR, output
    )
    if known is None:
        return exits.BAD_INPUT
    outcome = platform_calls.run(
        known, '', lambda one: history.read(one, days=days, most=most)
    )
    if not isinstance(outcome, history.History):
        return platform_calls.report_failure(outcome, output)
    rows = [
        (
            output_module.format_time(roll.at),
            str(roll.number),
            roll.author,
            roll.state.value,
            roll.digest[: output_module.SHORT_DIGEST],
            roll.detail,
        )
        for roll in outcome.rolls
    ]
    head = ('TIME', 'BUNDLE', 'OPERATOR', 'STATE', 'DIGEST', 'DETAIL')
    text = output_module.format_table(head, rows)
    if not outcome.complete:
        text += '\nthere are more; ask for more with --most'
    output_module.report_done(text, outcome, output)
    return exits.DONE


COMMAND = commands.Command(
    name='history',
    help='List the rolls of the last days.',
    function=show_history,
)
