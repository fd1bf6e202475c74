"""The subcommand that submits a bundle for sign-off."""

from .. import settings as settings_module
from . import commands
from . import exits
from . import output as output_module
from . import readers


def submit(
    file: commands.BundlePath,
    *,
    settings: commands.SettingsPath,
    operator: commands.OperatorName,
    output: commands.Output = 'text',
) -> int:
    """Check the file and store it as a proposal; print its digest."""
    from .. import proposals
    from . import platform_calls

    known = readers.read_settings(
        settings, settings_module.Role.OPERATOR, output
    )
    whole = readers.read_bundle(file, output) if known else None
    if known is None or whole is None:
        return exits.BAD_INPUT
    outcome = platform_calls.run(
        known, operator, lambda one: proposals.submit(one, whole=whole)
    )
    if not isinstance(outcome, proposals.Submitted):
        return platform_calls.report_failure(outcome, output)
    digest = outcome.manifest.digest
    result = {
        'number': outcome.manifest.number,
        'digest': digest,
        'parts_written': outcome.parts_written,
        'bytes_written': outcome.bytes_written,
    }
    output_module.report_done(digest, result, output)
    return exits.DONE


COMMAND = commands.Command(
    name='submit',
    help='Submit a bundle for sign-off and print the digest to sign.',
    function=submit,
)
