"""The subcommand that brings a signed bundle into force."""

from .. import settings as settings_module
from . import commands
from . import exits
from . import output as output_module
from . import readers


def roll(
    digest: commands.Digest,
    *,
    settings: commands.SettingsPath,
    operator: commands.OperatorName,
    output: commands.Output = 'text',
) -> int:
    """Roll the proposal with that digest, if enough operators signed it."""
    from .. import rolls
    from . import platform_calls

    known = readers.read_settings(
        settings, settings_module.Role.OPERATOR, output
    )
    if known is None:
        return exits.BAD_INPUT
    try:
        outcome = platform_calls.run(
            known, operator, lambda one: rolls.roll(one, digest=digest)
        )
    except KeyboardInterrupt:
        output_module.report_fault(
            'outcome_uncertain',
            'interrupted; the bundle may be in force or come into force: '
            'look at the history before rolling again',
            output,
        )
        return exits.OUTCOME_UNCERTAIN
    if not isinstance(outcome, rolls.Rolled):
        return platform_calls.report_failure(outcome, output)
    number = outcome.manifest.number
    text = f'bundle {number} came into force'
    if outcome.replaced_by:
        text += f' and was replaced by bundle {outcome.replaced_by} since'
    if not outcome.noted:
        text += '; the audit trail only says that the roll was started'
    result = {
        'number': number,
        'digest': digest,
        'replaced_by': outcome.replaced_by,
        'noted': outcome.noted,
    }
    output_module.report_done(text, result, output)
    return exits.DONE


COMMAND = commands.Command(
    name='roll',
    help='Bring a signed bundle into force.',
    function=roll,
)
