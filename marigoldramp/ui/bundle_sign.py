"""The subcommand that signs a submitted bundle."""

from typing import Annotated

import cyclopts

from .. import settings as settings_module
from . import commands
from . import exits
from . import output as output_module
from . import readers


def sign(
    digest: commands.Digest,
    *,
    settings: commands.SettingsPath,
    operator: commands.OperatorName,
    key: Annotated[
        str,
        cyclopts.Parameter(help='Your private key, as env:NAME or file:PATH.'),
    ],
    output: commands.Output = 'text',
) -> int:
    """Sign the proposal with that digest."""
    from .. import credentials
    from .. import proposals
    from . import platform_calls

    known = readers.read_settings(
        settings, settings_module.Role.OPERATOR, output
    )
    if known is None:
        return exits.BAD_INPUT
    private = credentials.read(key)
    if isinstance(private, credentials.Missing):
        detail = f'--key: {private.detail}'
        output_module.report_fault('bad_input', detail, output)
        return exits.BAD_INPUT
    text = private.decode(errors='replace').strip()
    outcome = platform_calls.run(
        known,
        operator,
        lambda one: proposals.sign(one, digest=digest, private=text),
    )
    if not isinstance(outcome, proposals.Signed):
        return platform_calls.report_failure(outcome, output)
    needed = known.security.sign_offs
    number = outcome.manifest.number
    output_module.report_done(
        f'bundle {number}: {len(outcome.operators)} of {needed} sign-offs '
        f'({", ".join(outcome.operators)})',
        {
            'number': number,
            'operators': list(outcome.operators),
            'needed': needed,
        },
        output,
    )
    return exits.DONE


COMMAND = commands.Command(
    name='sign',
    help='Sign a submitted bundle with your private key.',
    function=sign,
)
